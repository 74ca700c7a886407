"""Simulates admission control of entries in front of model engines, in virtual time.

Entries run the production reducer and exchange load reports as in production. Engines
follow their published performance model. A refused caller retries once.
"""

import heapq
import itertools
import random
from collections.abc import Callable

import msgspec
from typing_extensions import override

from tamaracktray.calls import (
    AbandonAttempt,
    Call,
    CallArrived,
    CallAttemptEnded,
    CallEnded,
    CallStarted,
    RefuseCall,
    SendCall,
    SendLoadBeacon,
)
from tamaracktray.costs import estimate_cost
from tamaracktray.crash_watch import CrashWatch
from tamaracktray.effects import Effect
from tamaracktray.gateway import (
    handle_attempt_ended,
    handle_call,
    handle_call_ended,
    handle_call_started,
    handle_gateway_tick,
    send_queued_calls,
)
from tamaracktray.gateway_fleet import apply_roster
from tamaracktray.gateway_state import GatewayBounds, GatewayContext, GatewayState
from tamaracktray.outcomes import AttemptPhase
from tamaracktray.ownership import FleetNode
from tamaracktray.part_watch import PartWatch
from tamaracktray.placement import PlacementContext
from tamaracktray.roster import EndpointRecord, LoadedModel
from tamaracktray.routes import (
    Backend,
    EngineSpec,
    ModelSpec,
    RepeatKind,
    Route,
    Service,
)
from tamaracktray.types import Address
from tamaracktray.wait_queue import WaitQueue
from tamaracktray_emulator.engine_model import EngineJob, EngineModel

MODEL_NAME = "kiln"
SERVICE_NAME = "engines"

# Times of the simulation in seconds.
TICK_INTERVAL_S = 0.025
BEACON_INTERVAL_S = 0.05
NETWORK_DELAY_S = 0.006
BEACON_DELAY_S = 0.001
CALLER_DEADLINE_S = 6.0

# Calls that an engine queues beyond its batch before it refuses more.
ENGINE_QUEUE_LIMIT = 32

# The worth of a call grows linearly with its size, from the base factor to the maximum
# factor; both are multiples of the worth of a call of its kind's mean size.
MAX_WORTH_FACTOR = 4.0
BASE_WORTH_FACTOR = 0.3

# Share of the worth that an answer after its latency objective still earns.
LATE_WORTH_SHARE = 0.25

ENGINE_SPEC = EngineSpec(
    max_batch=16,
    models=(ModelSpec(MODEL_NAME),),
    stride=6,
    step_s=0.00673,
    per_request_s=0.0000219,
    per_context_token_s=6.8e-9,
    read_tokens_s=30_600.0,
    pair_s=6.47e-10,
    read_chunk=2_048,
    usual_prompt=964.0,
    usual_answer=119.0,
)


class CallKind(msgspec.Struct, frozen=True):
    """A kind of call: traffic weight, worth, latency objective and sizes in tokens."""

    name: str
    weight: float
    worth: float
    objective_s: float
    prompt_mean: float
    prompt_max: int
    output_mean: float
    output_max: int


CALL_KINDS = (
    CallKind("design", 49.4, 2.5, 0.406, 1_330, 3_880, 144, 360),
    CallKind("plan", 35.3, 2.1, 0.406, 827, 3_330, 144, 360),
    CallKind("brief", 41.4, 1.3, 0.305, 647, 2_640, 70, 360),
)

# Standard deviations of the logarithms of prompt and output sizes.
PROMPT_SIGMA = 0.75
OUTPUT_SIGMA = 0.65


class AdmissionPlan(msgspec.Struct, frozen=True):
    """Parameters of one experiment; ``rate`` is in calls per second over all entries.

    An engine runs up to ``batch`` calls at a time, and entries keep up to ``window``
    calls in flight at it. Without ``has_homes`` every entry owns all engines.
    """

    rate: float
    engines: int = 8
    entries: int = 4
    window: int = 16
    batch: int = 16
    duration_s: float = 30.0
    warm_up_s: float = 5.0
    seed: int = 1
    slow_engines: int = 0
    has_homes: bool = True


class CallerRecord:
    """A caller's call and its result over all submissions."""

    __slots__ = (
        "arrived",
        "entry",
        "first_part_at",
        "is_completed",
        "kind",
        "output_tokens",
        "prompt_tokens",
        "submissions",
        "worth",
    )

    def __init__(
        self, kind: CallKind, arrived: float, prompt_tokens: int, output_tokens: int
    ) -> None:
        self.kind = kind
        self.arrived = arrived
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.entry = 0
        self.submissions = 0
        self.first_part_at: float | None = None
        self.is_completed = False
        size = prompt_tokens + 10 * output_tokens
        mean = kind.prompt_mean + 10 * kind.output_mean
        scaled = BASE_WORTH_FACTOR + (1 - BASE_WORTH_FACTOR) * size / mean
        self.worth = kind.worth * min(scaled, MAX_WORTH_FACTOR)

    @property
    def size(self) -> int:
        """Return the size in prompt tokens; an output token counts as ten."""
        return self.prompt_tokens + 10 * self.output_tokens

    @property
    def is_in_time(self) -> bool:
        """Return whether the first part of a complete answer met the objective."""
        if self.first_part_at is None or not self.is_completed:
            return False
        return self.first_part_at - self.arrived <= self.kind.objective_s


class AdmissionReport(msgspec.Struct, frozen=True):
    """Results for callers, as shares, and times to the first part in seconds."""

    asked: int
    in_time: float
    served: float
    worth: float
    largest_served: float
    first_part_p50: float
    first_part_p95: float
    engine_refusals: int
    worth_by_kind: dict[str, float]


class FirstComeQueue(WaitQueue):
    """Baseline queue that serves calls in order of arrival."""

    @override
    def push(
        self,
        now: float,
        call: Call,
        *,
        cost: float,
        start_s: float = 0.0,
        prior_wait_s: float = 0.0,
        is_underserved: bool = False,
        is_below_floor: bool = False,
        is_resumed: bool = False,
        is_returning: bool = False,
    ) -> bool:
        return super().push(
            now, call, cost=0.0, start_s=start_s, prior_wait_s=prior_wait_s
        )


class NoQueue(WaitQueue):
    """Baseline that refuses a call when no endpoint has a free slot."""

    @override
    def push(
        self,
        now: float,
        call: Call,
        *,
        cost: float,
        start_s: float = 0.0,
        prior_wait_s: float = 0.0,
        is_underserved: bool = False,
        is_below_floor: bool = False,
        is_resumed: bool = False,
        is_returning: bool = False,
    ) -> bool:
        return False


class AdmissionExperiment:
    """Deterministic run of one plan: equal plans give equal reports."""

    def __init__(
        self, plan: AdmissionPlan, make_queue: Callable[[], WaitQueue] = WaitQueue
    ) -> None:
        self._plan = plan
        self._spec = msgspec.structs.replace(ENGINE_SPEC, max_batch=plan.batch)
        self._random = random.Random(plan.seed)
        self._now = 0.0
        self._sequence = itertools.count()
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._callers: list[CallerRecord] = []
        self._caller_by_call: dict[str, CallerRecord] = {}
        self._calls_by_id: dict[str, Call] = {}
        self._endpoint_by_call: dict[str, str] = {}
        self._engine_refusals = 0
        self._engines = {
            f"e{number}": EngineModel(
                self._spec,
                ENGINE_QUEUE_LIMIT,
                slowdown=5.0 if number < plan.slow_engines else 1.0,
            )
            for number in range(plan.engines)
        }
        self._busy_ids: set[str] = set()
        self._responsive_ids: list[set[str]] = [set() for _ in range(plan.entries)]
        self._placement_context = PlacementContext(
            "zone",
            {"zone": "region"},
            frozenset(),
            {SERVICE_NAME: self._build_service()},
            {},
        )
        self._entries = [
            self._make_entry(f"entry-{number}", make_queue)
            for number in range(plan.entries)
        ]

    def _build_service(self) -> Service:
        return Service(SERVICE_NAME, engine=self._spec)

    def _make_entry(
        self, name: str, make_queue: Callable[[], WaitQueue]
    ) -> GatewayState:
        state = GatewayState(name, GatewayBounds(repeat_reserve=1e6))
        state.waiting = make_queue()
        state.peer_count = self._plan.entries - 1
        records = {
            name: EndpointRecord(
                name,
                SERVICE_NAME,
                Address("10.0.0.1", number),
                "zone",
                self._plan.window,
                models=(LoadedModel(MODEL_NAME, 1),),
            )
            for number, name in enumerate(self._engines)
        }
        if self._plan.has_homes:
            state.entries = tuple(
                FleetNode(f"entry-{number}", "region")
                for number in range(self._plan.entries)
            )
        else:
            state.owned_ids = frozenset(records)
        apply_roster(self._build_context(state), 0.0, records)
        return state

    def _build_context(self, state: GatewayState) -> GatewayContext:
        return GatewayContext(
            state,
            self._placement_context,
            CrashWatch(1.0, 0.1),
            PartWatch(1.0, 0.1),
            False,
        )

    def run(self) -> AdmissionReport:
        """Run the plan and report on callers that arrived after the warm-up."""
        plan = self._plan
        self._schedule_after(0.0, self._generate_arrival)
        self._schedule_after(TICK_INTERVAL_S, self._tick)
        self._schedule_after(BEACON_INTERVAL_S, self._broadcast_load_reports)
        end = plan.warm_up_s + plan.duration_s
        while self._timers and self._timers[0][0] <= end + CALLER_DEADLINE_S:
            self._now, _, action = heapq.heappop(self._timers)
            action()
        return self._report(end)

    def _schedule_after(self, delay_s: float, action: Callable[[], None]) -> None:
        timer = (self._now + delay_s, next(self._sequence), action)
        heapq.heappush(self._timers, timer)

    def _generate_arrival(self) -> None:
        """Submit the call of a new caller and schedule the next arrival."""
        plan = self._plan
        if self._now > plan.warm_up_s + plan.duration_s:
            return
        self._schedule_after(
            self._random.expovariate(plan.rate), self._generate_arrival
        )
        (kind,) = self._random.choices(CALL_KINDS, [kind.weight for kind in CALL_KINDS])
        caller = CallerRecord(
            kind,
            self._now,
            self._sample_tokens(kind.prompt_mean, PROMPT_SIGMA, kind.prompt_max),
            self._sample_tokens(kind.output_mean, OUTPUT_SIGMA, kind.output_max),
        )
        self._callers.append(caller)
        self._submit_call(caller)

    def _sample_tokens(self, mean: float, sigma: float, largest: int) -> int:
        mu = -sigma * sigma / 2
        return int(min(max(mean * self._random.lognormvariate(mu, sigma), 1), largest))

    def _submit_call(self, caller: CallerRecord) -> None:
        caller.submissions += 1
        caller.entry = self._choose_entry(caller)
        call = self._build_call(caller)
        self._caller_by_call[call.id] = caller
        self._calls_by_id[call.id] = call
        state = self._entries[caller.entry]
        event = CallArrived(self._now, call)
        self._execute_effects(
            caller.entry, handle_call(self._build_context(state), event)
        )

    def _choose_entry(self, caller: CallerRecord) -> int:
        """Return the number of the entry that gets a caller's next submission."""
        return self._random.randrange(len(self._entries))

    def _build_call(self, caller: CallerRecord) -> Call:
        route = Route(
            caller.kind.name,
            "h",
            "/",
            RepeatKind.STREAM,
            (Backend(SERVICE_NAME),),
            CALLER_DEADLINE_S,
            caller.kind.objective_s,
            max_attempts=2,
            is_resumable=True,
        )
        name = str(next(self._sequence))
        return Call(
            name,
            name,
            route,
            (SERVICE_NAME,),
            self._now,
            caller.arrived + CALLER_DEADLINE_S,
            model=MODEL_NAME,
            prompt_tokens=caller.prompt_tokens,
            output_tokens=caller.output_tokens,
            max_output=caller.output_tokens,
            wait_s=caller.arrived + CALLER_DEADLINE_S - self._now,
            fingerprint=name,
        )

    def _execute_effects(self, entry: int, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SendCall):
                self._send_call(entry, effect)
            elif isinstance(effect, RefuseCall):
                self._handle_refusal(effect)
            elif isinstance(effect, AbandonAttempt):
                self._schedule_after(
                    NETWORK_DELAY_S,
                    lambda call_id=effect.call_id: self._abandon(entry, call_id),
                )
            elif isinstance(effect, SendLoadBeacon):
                self._schedule_after(
                    BEACON_DELAY_S, lambda: self._send_load_report(entry)
                )

    def _send_call(self, entry: int, effect: SendCall) -> None:
        caller = self._caller_by_call[effect.call_id]

        def deliver() -> None:
            job = EngineJob(effect.call_id, caller.prompt_tokens, caller.output_tokens)
            if not self._offer_job(effect.endpoint_id, job):
                self._engine_refusals += 1
                self._end_attempt(entry, effect, AttemptPhase.REFUSED)
                return
            self._endpoint_by_call[effect.call_id] = effect.endpoint_id
            self._start_pass(effect.endpoint_id)

        self._schedule_after(NETWORK_DELAY_S, deliver)

    def _abandon(self, entry: int, call_id: str) -> None:
        """Withdraw a call from its engine, unless it has ended there."""
        endpoint_id = self._endpoint_by_call.pop(call_id, "")
        caller = self._caller_by_call.get(call_id)
        if not endpoint_id or caller is None or caller.is_completed:
            return
        self._engines[endpoint_id].drop(call_id)
        context = self._build_context(self._entries[entry])
        ended = CallAttemptEnded(self._now, call_id, endpoint_id, AttemptPhase.SENT)
        self._execute_effects(entry, handle_attempt_ended(context, ended))

    def _offer_job(self, endpoint_id: str, job: EngineJob) -> bool:
        return self._engines[endpoint_id].accept(job)

    def _handle_refusal(self, effect: RefuseCall) -> None:
        caller = self._caller_by_call.pop(effect.call_id)
        retry_after_s = effect.refusal.retry_after_s
        if caller.submissions > 1 or retry_after_s is None:
            return
        left_s = caller.arrived + CALLER_DEADLINE_S - self._now
        self._schedule_after(
            min(retry_after_s, left_s / 3), lambda: self._submit_call(caller)
        )

    def _start_pass(self, endpoint_id: str) -> None:
        """Start the next pass of an engine unless it is busy or idle."""
        engine = self._engines[endpoint_id]
        if endpoint_id in self._busy_ids or engine.is_idle:
            return
        self._busy_ids.add(endpoint_id)
        result = engine.run_pass()

        def finish() -> None:
            self._busy_ids.discard(endpoint_id)
            for call_id in result.progressed:
                if self._endpoint_by_call.get(call_id) == endpoint_id:
                    self._handle_progress(endpoint_id, call_id)
            for call_id in result.finished:
                if self._endpoint_by_call.get(call_id) == endpoint_id:
                    self._complete_call(endpoint_id, call_id)
            self._start_pass(endpoint_id)
            self._on_pass_ended(endpoint_id)

        self._schedule_after(result.duration_s, finish)

    def _on_pass_ended(self, endpoint_id: str) -> None:
        """Handle the end of an engine pass; a hook for subclasses."""

    def _handle_progress(self, endpoint_id: str, call_id: str) -> None:
        caller = self._caller_by_call[call_id]
        self._responsive_ids[caller.entry].add(endpoint_id)
        if caller.first_part_at is not None:
            return
        caller.first_part_at = self._now + NETWORK_DELAY_S
        context = self._build_context(self._entries[caller.entry])
        event = CallStarted(self._now, call_id, endpoint_id, 1)
        handle_call_started(context, event)

    def _complete_call(self, endpoint_id: str, call_id: str) -> None:
        caller = self._caller_by_call[call_id]
        caller.is_completed = True
        context = self._build_context(self._entries[caller.entry])
        ended = CallAttemptEnded(
            self._now, call_id, endpoint_id, AttemptPhase.ANSWERED, 200
        )
        self._execute_effects(caller.entry, handle_attempt_ended(context, ended))
        handle_call_ended(context, CallEnded(self._now, call_id))

    def _end_attempt(self, entry: int, effect: SendCall, phase: AttemptPhase) -> None:
        context = self._build_context(self._entries[entry])
        ended = CallAttemptEnded(
            self._now, effect.call_id, effect.endpoint_id, phase, 503
        )
        self._execute_effects(entry, handle_attempt_ended(context, ended))

    def _tick(self) -> None:
        self._schedule_after(TICK_INTERVAL_S, self._tick)
        for entry, state in enumerate(self._entries):
            responsive_ids = frozenset(self._responsive_ids[entry])
            self._responsive_ids[entry].clear()
            effects = handle_gateway_tick(
                self._build_context(state), self._now, responsive_ids
            )
            self._execute_effects(entry, effects)

    def _broadcast_load_reports(self) -> None:
        """Send every entry's number of calls at each engine to all other entries."""
        self._schedule_after(BEACON_INTERVAL_S, self._broadcast_load_reports)
        for sender in range(len(self._entries)):
            self._send_load_report(sender)

    def _send_load_report(self, sender: int) -> None:
        counts = self._entries[sender].count_in_flight()
        for entry, peer in enumerate(self._entries):
            if entry == sender:
                continue
            for load in peer.loads_by_id.values():
                count = counts.get(load.record.id, 0)
                load.record_peer_load(self._now, str(sender), count)
            self._execute_effects(
                entry, send_queued_calls(self._build_context(peer), self._now)
            )

    def _report(self, end: float) -> AdmissionReport:
        measured = [
            caller
            for caller in self._callers
            if self._plan.warm_up_s <= caller.arrived <= end
        ]
        first_parts = sorted(
            caller.first_part_at - caller.arrived
            for caller in measured
            if caller.first_part_at is not None
        )
        largest = sorted(measured, key=lambda caller: caller.size)[
            -len(measured) // 10 :
        ]
        return AdmissionReport(
            asked=len(measured),
            in_time=_compute_share(measured, lambda caller: caller.is_in_time),
            served=_compute_share(measured, lambda caller: caller.is_completed),
            worth=measure_worth(measured),
            largest_served=_compute_share(largest, lambda caller: caller.is_completed),
            first_part_p50=first_parts[len(first_parts) // 2],
            first_part_p95=first_parts[int(len(first_parts) * 0.95)],
            engine_refusals=self._engine_refusals,
            worth_by_kind={
                kind.name: measure_worth(
                    [caller for caller in measured if caller.kind is kind]
                )
                for kind in CALL_KINDS
            },
        )


def _compute_share(
    callers: list[CallerRecord], predicate: Callable[[CallerRecord], bool]
) -> float:
    return round(sum(map(predicate, callers)) / len(callers), 3)


def measure_worth(callers: list[CallerRecord]) -> float:
    """Return the share of the possible worth that was earned."""
    possible_worth = sum(caller.worth for caller in callers)
    earned = 0.0
    for caller in callers:
        if caller.is_in_time:
            earned += caller.worth
        elif caller.is_completed:
            earned += LATE_WORTH_SHARE * caller.worth
    return round(earned / possible_worth, 3)


def compute_mean_cost() -> float:
    """Return the mean engine time per call in seconds, weighted by kind."""
    total = sum(kind.weight for kind in CALL_KINDS)
    cost = 0.0
    for kind in CALL_KINDS:
        route = Route(kind.name, "h", "/", RepeatKind.STREAM, (), 1.0, 1.0)
        call = Call(
            "",
            "",
            route,
            (SERVICE_NAME,),
            0.0,
            0.0,
            prompt_tokens=int(kind.prompt_mean),
            output_tokens=int(kind.output_mean),
        )
        cost += kind.weight / total * estimate_cost(call, ENGINE_SPEC)
    return cost
