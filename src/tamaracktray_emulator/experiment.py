"""Simulates load on entries and agents in virtual time, without sockets.

Entries and agents run the production reducers; the endpoints are small fakes that crash
above a load bound. Runs of the same plan give the same results.
"""

import heapq
import random
from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Callable

import msgspec
from typing_extensions import override

from tamaracktray.effects import (
    AnswerRefusal,
    RefuseAttempt,
    SendAttempt,
    StartRun,
)
from tamaracktray.events import (
    AttemptArrived,
    AttemptEnded,
    CallerRequest,
    RequestArrived,
    RunEnded,
    RunProgressed,
    Tick,
)
from tamaracktray.limits import WindowSettings
from tamaracktray.outcomes import AttemptPhase, RunOutcome
from tamaracktray.routing import AffinityPolicy, RoutingPolicy
from tamaracktray.testing import (
    Driver,
    make_agent,
    make_entry,
    make_instance,
    make_zone,
)
from tamaracktray.types import Priority, Refusal, RunState, TargetKind

TICK_INTERVAL_S = 0.05
NETWORK_DELAY_S = 0.001
SERVICE_NAME = "kiln"


class EndpointModel(msgspec.Struct, frozen=True):
    """Parameters of a fake endpoint; times in seconds, bounds in concurrent requests.

    ``cached_first_byte_s`` is the time to the first byte when the request's prefix is
    among the ``cache_size`` most recently used ones.
    """

    first_byte_s: float = 0.05
    cached_first_byte_s: float = 0.05
    stream_s: float = 0.4
    warm_bound: int = 16
    cold_bound: int = 2
    cold_s: float = 2.0
    cold_slowdown: float = 10.0
    down_s: float = 2.0
    cache_size: int = 64


class LoadPlan(msgspec.Struct, frozen=True):
    """Parameters of one experiment; ``rate`` is in requests per second.

    ``prefixes`` is the number of prompt prefixes, drawn from a Zipf distribution; 0
    means requests without affinity. Every ``turn_cold_every_s`` seconds the next
    endpoint in turn becomes cold; 0 disables this.
    """

    rate: float
    seed: int = 1
    queue_limit: int = 32
    warm_up_s: float = 12.0
    measured_s: float = 30.0
    deadline_s: float = 2.0
    endpoints: int = 4
    entries: int = 3
    prefixes: int = 0
    turn_cold_every_s: float = 0.0
    report_loss: float = 0.0
    model: EndpointModel = EndpointModel()


class LoadReport(msgspec.Struct):
    """Results of one experiment, for the measured time only."""

    asked: int = 0
    answered_in_time: int = 0
    answered_late: int = 0
    refused: int = 0
    lost: int = 0
    attempts: int = 0
    falls: int = 0
    cache_hits: int = 0
    runs: int = 0
    busiest_share: float = 0.0
    latencies_s: list[float] = []
    answered_by_team: dict[str, int] = {}
    asked_by_team: dict[str, int] = {}

    def percentile(self, share: float) -> float:
        """Return the latency in seconds at a percentile given as a share."""
        if not self.latencies_s:
            return 0.0
        ordered = sorted(self.latencies_s)
        return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


class FakeEndpoint:
    """An endpoint that crashes when its load exceeds its bound."""

    __slots__ = (
        "_cold_running",
        "_model",
        "cache",
        "cache_hits",
        "cold_until",
        "down_until",
        "epoch",
        "crashes",
        "name",
        "running",
        "runs",
    )

    def __init__(self, name: str, model: EndpointModel) -> None:
        self.name = name
        self._model = model
        self.running = 0
        self._cold_running = 0
        self.cold_until = model.cold_s
        self.down_until = 0.0
        self.epoch = 0
        self.crashes = 0
        self.runs = 0
        self.cache_hits = 0
        self.cache: OrderedDict[str, None] = OrderedDict()

    def start(self, now: float, affinity: str) -> tuple[float, float] | None:
        """Return seconds to the first byte and to the end, or ``None`` if down."""
        if now < self.down_until:
            return None
        is_cold = now < self.cold_until
        self.running += 1
        self.runs += 1
        self._cold_running += is_cold
        bound = self._model.cold_bound if is_cold else self._model.warm_bound
        load = self._cold_running if is_cold else self.running
        if load > bound:
            self._crash(now)
            return None
        factor = self._model.cold_slowdown if is_cold else 1.0
        first_byte_s = self._model.first_byte_s
        if self._is_cached(affinity):
            first_byte_s = self._model.cached_first_byte_s
        return first_byte_s * factor, (first_byte_s + self._model.stream_s) * factor

    def finish(self, epoch: int, *, was_cold: bool) -> None:
        """End a run; one that a crash has already ended is ignored."""
        if epoch != self.epoch:
            return
        self.running -= 1
        self._cold_running = max(self._cold_running - was_cold, 0)

    def turn_cold(self, now: float) -> None:
        """Become cold without reporting it."""
        self.cold_until = now + self._model.cold_s
        self._cold_running = 0

    def _is_cached(self, affinity: str) -> bool:
        if not affinity:
            return False
        is_hit = affinity in self.cache
        self.cache_hits += is_hit
        self.cache[affinity] = None
        self.cache.move_to_end(affinity)
        while len(self.cache) > self._model.cache_size:
            self.cache.popitem(last=False)
        return is_hit

    def _crash(self, now: float) -> None:
        self.crashes += 1
        self.epoch += 1
        self.running = 0
        self._cold_running = 0
        self.down_until = now + self._model.down_s
        self.cold_until = self.down_until + self._model.cold_s
        self.cache.clear()


class Experiment(ABC):
    """Virtual clock, arrivals and endpoints; subclasses route the requests."""

    def __init__(self, plan: LoadPlan) -> None:
        self.plan = plan
        self.random = random.Random(plan.seed)
        self.report = LoadReport(latencies_s=[], answered_by_team={}, asked_by_team={})
        self.endpoints = [
            FakeEndpoint(f"m{number}", plan.model) for number in range(plan.endpoints)
        ]
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        self._arrived_at: dict[str, float] = {}
        self._prefix_weights = [1.0 / (rank + 1) for rank in range(plan.prefixes)]

    @abstractmethod
    def send(self, request: CallerRequest) -> None:
        """Route a request that has just arrived."""

    def run(self) -> LoadReport:
        """Run the plan and return the report."""
        self.schedule_at(0.0, self._generate_arrival)
        if self.plan.turn_cold_every_s:
            self.schedule_at(self.plan.warm_up_s, self._turn_cold)
        end = self.plan.warm_up_s + self.plan.measured_s + 2 * self.plan.deadline_s
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.report.falls = sum(endpoint.crashes for endpoint in self.endpoints)
        runs = [endpoint.runs for endpoint in self.endpoints]
        self.report.runs = sum(runs)
        hits = [endpoint.cache_hits for endpoint in self.endpoints]
        self.report.cache_hits = sum(hits)
        self.report.busiest_share = max(runs) / max(sum(runs), 1)
        return self.report

    def schedule_at(self, time: float, action: Callable[[], None]) -> None:
        """Schedule an action at a virtual time in seconds."""
        self._event_count += 1
        heapq.heappush(self._events, (time, self._event_count, action))

    def schedule_after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay in seconds."""
        self.schedule_at(self.now + delay_s, action)

    def finish(self, request: CallerRequest, *, is_answered: bool) -> None:
        """Count the final answer or refusal of a request."""
        arrived_at = self._arrived_at.pop(request.id, None)
        if arrived_at is None or not self._is_measured(arrived_at):
            return
        if not is_answered:
            self.report.refused += 1
            return
        latency_s = self.now - arrived_at
        if latency_s > self.plan.deadline_s:
            self.report.answered_late += 1
            return
        self.report.answered_in_time += 1
        self.report.latencies_s.append(latency_s)
        answered = self.report.answered_by_team
        answered[request.team] = answered.get(request.team, 0) + 1

    def record_loss(self, request: CallerRequest) -> None:
        """Count a request that failed at an endpoint."""
        arrived_at = self._arrived_at.pop(request.id, None)
        if arrived_at is not None and self._is_measured(arrived_at):
            self.report.lost += 1

    def _is_measured(self, time: float) -> bool:
        start = self.plan.warm_up_s
        return start <= time < start + self.plan.measured_s

    def _generate_arrival(self) -> None:
        end = self.plan.warm_up_s + self.plan.measured_s
        if self.now >= end:
            return
        # Endpoints start cold; the first half of the warm-up has a tenth of the load.
        rate = self.plan.rate
        if self.now < self.plan.warm_up_s / 2:
            rate *= 0.1
        request = self._make_request()
        self._arrived_at[request.id] = self.now
        if self._is_measured(self.now):
            self.report.asked += 1
            asked = self.report.asked_by_team
            asked[request.team] = asked.get(request.team, 0) + 1
        self.send(request)
        self.schedule_after(self.random.expovariate(rate), self._generate_arrival)

    def _make_request(self) -> CallerRequest:
        """Return a request from one of ten teams, two of which send most requests."""
        number = self._event_count
        team = self.random.choices(range(10), [8, 6, 1, 1, 1, 1, 1, 1, 1, 1])[0]
        affinity = ""
        if self.plan.prefixes:
            choice = self.random.choices(
                range(self.plan.prefixes), self._prefix_weights
            )
            affinity = f"prefix-{choice[0]}"
        return CallerRequest(
            id=f"r{number}",
            kind=TargetKind.SERVICE,
            target=SERVICE_NAME,
            team=f"team-{team}",
            priority=Priority.NORMAL,
            deadline=self.now + self.plan.deadline_s,
            fingerprint=f"f{number}",
            affinity=affinity,
        )

    def _turn_cold(self) -> None:
        turn = int(self.now / self.plan.turn_cold_every_s)
        self.endpoints[turn % len(self.endpoints)].turn_cold(self.now)
        self.schedule_after(self.plan.turn_cold_every_s, self._turn_cold)


class DirectExperiment(Experiment):
    """Baseline: callers send directly to the endpoints."""

    def __init__(self, plan: LoadPlan, *, is_least_loaded: bool) -> None:
        super().__init__(plan)
        self._is_least_loaded = is_least_loaded
        self._sent_count = 0

    @override
    def send(self, request: CallerRequest) -> None:
        self.report.attempts += 1
        endpoint = self._choose()
        is_cold = self.now < endpoint.cold_until
        times = endpoint.start(self.now, request.affinity)
        if times is None:
            self.record_loss(request)
            return
        epoch = endpoint.epoch

        def end() -> None:
            endpoint.finish(epoch, was_cold=is_cold)
            if epoch == endpoint.epoch:
                self.finish(request, is_answered=True)
                return
            self.record_loss(request)

        self.schedule_after(times[1], end)

    def _choose(self) -> FakeEndpoint:
        if self._is_least_loaded:
            return min(self.endpoints, key=lambda endpoint: endpoint.running)
        self._sent_count += 1
        return self.endpoints[self._sent_count % len(self.endpoints)]


class SystemExperiment(Experiment):
    """Experiment that routes requests through the reducers of entries and agents."""

    def __init__(
        self,
        plan: LoadPlan,
        policy: Callable[[], RoutingPolicy] = AffinityPolicy,
        window: WindowSettings | None = None,
    ) -> None:
        super().__init__(plan)
        settings = window or WindowSettings(
            cold_limit=plan.model.cold_bound, max_limit=plan.model.warm_bound
        )
        self._agents = {
            endpoint.name: make_agent(
                endpoint.name,
                serves=SERVICE_NAME,
                window=settings,
                queue_limit=plan.queue_limit,
            )
            for endpoint in self.endpoints
        }
        self._endpoint_by_name = {
            endpoint.name: endpoint for endpoint in self.endpoints
        }
        self._entries = [make_entry(f"e{number}") for number in range(plan.entries)]
        self._request_by_id: dict[str, CallerRequest] = {}
        instances = [make_instance(name, serves=SERVICE_NAME) for name in self._agents]
        for driver in [*self._agents.values(), *self._entries]:
            driver.now = 0.0
            driver.configure(make_zone("zone-a", 2))
            driver.list_instances(instances)
        for entry in self._entries:
            entry.state.dispatch.policy = policy()
        self.schedule_at(0.0, self._tick)

    @override
    def send(self, request: CallerRequest) -> None:
        self._request_by_id[request.id] = request
        entry = self.random.choice(self._entries)
        entry.send(RequestArrived(self.now, request))
        self._execute_entry_effects(entry)

    def _tick(self) -> None:
        for name, agent in self._agents.items():
            agent.send(Tick(self.now))
            self._execute_agent_effects(name, agent)
        self.schedule_after(TICK_INTERVAL_S, self._tick)

    def _execute_entry_effects(self, entry: Driver) -> None:
        for effect in entry.effects:
            if isinstance(effect, AnswerRefusal):
                self._handle_refusal(effect)
                continue
            if isinstance(effect, SendAttempt):
                self._send_attempt(entry, effect)

    def _handle_refusal(self, effect: AnswerRefusal) -> None:
        request = self._request_by_id.pop(effect.request_id)
        if effect.refusal.run is RunState.NOT_RUN:
            self.finish(request, is_answered=False)
            return
        self.record_loss(request)

    def _send_attempt(self, entry: Driver, effect: SendAttempt) -> None:
        self.report.attempts += 1
        request = self._request_by_id[effect.request_id]
        attempt = msgspec.structs.replace(
            request, id=f"{request.id}/{effect.attempt}/{self._entries.index(entry)}"
        )

        def arrive() -> None:
            agent = self._agents[effect.endpoint]
            agent.send(AttemptArrived(self.now, attempt))
            self._execute_agent_effects(effect.endpoint, agent)

        self.schedule_after(NETWORK_DELAY_S, arrive)

    def _execute_agent_effects(self, name: str, agent: Driver) -> None:
        for effect in agent.effects:
            if isinstance(effect, RefuseAttempt):
                self._end_attempt(name, effect.attempt_id, effect.refusal)
                continue
            if isinstance(effect, StartRun):
                self._start_run(name, agent, effect.attempt_id)

    def _start_run(self, name: str, agent: Driver, attempt_id: str) -> None:
        endpoint = self._endpoint_by_name[name]
        run = agent.state.admission.runs_by_id[attempt_id]
        is_cold = self.now < endpoint.cold_until
        times = endpoint.start(self.now, run.request.affinity)
        if times is None:
            self.schedule_after(
                0.0, lambda: self._end_run(name, attempt_id, RunOutcome.CUT)
            )
            return
        epoch = endpoint.epoch

        def progress() -> None:
            if epoch == endpoint.epoch:
                agent.send(RunProgressed(self.now, attempt_id))
                self._execute_agent_effects(name, agent)

        def end() -> None:
            endpoint.finish(epoch, was_cold=is_cold)
            is_completed = epoch == endpoint.epoch
            outcome = RunOutcome.COMPLETED if is_completed else RunOutcome.CUT
            self._end_run(name, attempt_id, outcome)

        self.schedule_after(times[0], progress)
        self.schedule_after(times[1], end)

    def _end_run(self, name: str, attempt_id: str, outcome: RunOutcome) -> None:
        agent = self._agents[name]
        agent.send(RunEnded(self.now, attempt_id, outcome))
        self._execute_agent_effects(name, agent)
        phase = AttemptPhase.SENT
        if outcome is RunOutcome.COMPLETED:
            phase = AttemptPhase.ANSWERED
        self._end_attempt(name, attempt_id, None, phase)

    def _end_attempt(
        self,
        name: str,
        attempt_id: str,
        refusal: Refusal | None,
        phase: AttemptPhase = AttemptPhase.REFUSED,
    ) -> None:
        """Report the end of an attempt to its entry; the load report may be lost."""
        request_id, _, index = attempt_id.split("/")
        entry = self._entries[int(index)]
        load = self._agents[name].state.admission.load
        if self.random.random() < self.plan.report_loss:
            load = None

        def deliver_result() -> None:
            if phase is AttemptPhase.ANSWERED:
                request = self._request_by_id.pop(request_id)
                self.finish(request, is_answered=True)
            entry.send(AttemptEnded(self.now, request_id, name, phase, refusal, load))
            self._execute_entry_effects(entry)

        self.schedule_after(NETWORK_DELAY_S, deliver_result)


def compute_capacity(plan: LoadPlan) -> float:
    """Return the requests per second that warm endpoints complete at their bound."""
    duration_s = plan.model.first_byte_s + plan.model.stream_s
    return plan.endpoints * plan.model.warm_bound / duration_s
