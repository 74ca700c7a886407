"""The reducer's part for entries that send calls straight to endpoints."""

import msgspec

from tamaracktray.budgets import PermitBucket, RepeatBudget
from tamaracktray.calls import (
    AbandonAttempt,
    Call,
    CallArrived,
    CallAttemptEnded,
    CallEnded,
    CallStarted,
    CutCall,
    FleetView,
    RefuseCall,
    RelayFailure,
    SendCall,
    TellLoads,
)
from tamaracktray.costs import estimate_cost, estimate_reading
from tamaracktray.effects import Effect
from tamaracktray.fairness import ServedRate, SizeBands
from tamaracktray.hashing import hash_text
from tamaracktray.homes import Place, find_homes
from tamaracktray.outcomes import AttemptPhase
from tamaracktray.placement import (
    EndpointLoad,
    Surroundings,
    choose_endpoint,
    is_eligible,
)
from tamaracktray.quarantine import CrashLedger
from tamaracktray.roster import EndpointRecord
from tamaracktray.routes import Service
from tamaracktray.types import ErrorCode, Refusal, RunState
from tamaracktray.waiting import WaitingLine

# Connections that one call may try in vain, beside its attempts.
MAX_UNREACHABLE = 3

# When a refused caller should come back while most are served, in seconds: soon enough
# to meet its objective, about the time in which an engine ends one of its calls.
BUSY_RETRY_S = 0.06

# When it should come back while most are refused, in seconds. Returning at once would
# meet the same lack of room, which seldom lasts longer than a change of version or the
# loss of an instance does.
SCARCE_RETRY_S = 1.0
SCARCE_SPREAD_S = 1.0

# Share of calls that find room below which room is scarce.
SCARCE_SHARE = 0.5

# When a caller should come back that no endpoint may serve at all, in seconds. A change
# of version, a crash or a lost instance seldom takes less, and its objective is missed
# in any case; callers come back spread over the second value.
NO_ENDPOINT_RETRY_S = 1.4
NO_ENDPOINT_SPREAD_S = 0.6

# Part of the time left after which callers do not come back: they wait no longer than
# a third of it.
LONGEST_RETURN_SHARE = 1 / 3

# Weight of a new measurement in the mean time to the begin of an answer; about the last
# 20 count.
START_DELAY_WEIGHT = 0.05

# Silence of an endpoint after which its calls go elsewhere, in seconds: before the
# first part of an answer, and within a stream, whose reader knows pauses.
GIVE_UP_S = 0.5
GIVE_UP_STREAM_S = 0.7

HASH_RANGE = 2**64
LEAVING_RETRY_S = 0.02

# Part of the fleet's bounds that is spent, so that stale counts stay within the rest.
SAFE_SHARE = 0.5


# Entries that can share what a cold endpoint bears, each at least one call a second. In
# a larger fleet its home alone sends it calls, or two while homes change.
MAX_COLD_SHARERS = 12
HOMES_AT_A_TIME = 2


class GatewayBounds(msgspec.Struct, frozen=True):
    """Bounds that hold for all processes together; times in seconds.

    ``repeat_ratio`` and ``repeat_reserve`` bound repeats within ``repeat_window_s``.
    ``cold_burst`` is what cold endpoints bear beyond their rate in a second.
    """

    repeat_ratio: float = 0.2
    repeat_reserve: float = 100.0
    repeat_window_s: float = 10.0
    cold_burst: float = 5.0


class PendingCall:
    """A call that has no final answer yet.

    ``may_have_run`` is set once an attempt was sent and did not promise that the call
    was not run; from then on no answer may promise it. ``endpoint_id`` names where an
    attempt, sent at ``sent_at``, is under way; ``is_abandoned`` tells that it is being
    given up. ``spent_s`` is what the caller has waited in earlier tries. ``version`` is
    that of the weights which began a stream.
    """

    __slots__ = (
        "attempts",
        "call",
        "endpoint_id",
        "has_failed_answer",
        "is_abandoned",
        "is_started",
        "last_event_id",
        "may_have_run",
        "sent_at",
        "spent_s",
        "tried",
        "unreachable",
        "version",
    )

    def __init__(self, call: Call) -> None:
        self.call = call
        self.attempts = 0
        self.unreachable = 0
        self.endpoint_id = ""
        self.may_have_run = False
        self.has_failed_answer = False
        self.is_started = False
        self.is_abandoned = False
        self.sent_at = 0.0
        self.spent_s = 0.0
        self.last_event_id = call.last_event_id
        self.version = 0
        self.tried: set[str] = set()


class GatewayState:
    """The calls and endpoint loads of the entry ``name``.

    ``home_ids`` are the engines whose home it is among the ``entries`` that answer.
    """

    __slots__ = (
        "bands_by_route",
        "bounds",
        "budget_by_service",
        "entries",
        "home_ids",
        "loads_by_id",
        "longest_wait_by_route",
        "name",
        "peers",
        "pending_by_id",
        "room_by_service",
        "start_delay_by_service",
        "waiting",
    )

    def __init__(self, name: str, bounds: GatewayBounds) -> None:
        self.name = name
        self.bounds = bounds
        self.peers = 0
        self.entries: tuple[Place, ...] = ()
        self.home_ids: frozenset[str] = frozenset()
        self.loads_by_id: dict[str, EndpointLoad] = {}
        self.pending_by_id: dict[str, PendingCall] = {}
        self.waiting = WaitingLine()
        self.budget_by_service: dict[str, RepeatBudget] = {}
        self.bands_by_route: dict[str, SizeBands] = {}
        self.longest_wait_by_route: dict[str, float] = {}
        self.room_by_service: dict[str, ServedRate] = {}
        self.start_delay_by_service: dict[str, float] = {}

    def measure_spent(self, call: Call) -> float:
        """Return how long the caller has waited in earlier tries, in seconds.

        Callers say how long they will wait yet. The longest wait on a route is what its
        callers begin with, so one that waits less has been here before.
        """
        if not call.wait_s:
            return 0.0
        longest = max(self.longest_wait_by_route.get(call.route.name, 0.0), call.wait_s)
        self.longest_wait_by_route[call.route.name] = longest
        return longest - call.wait_s

    def note_start(self, service: str, delay_s: float) -> None:
        """Take in how long an answer took to begin, beyond reading its prompt."""
        known = self.start_delay_by_service.get(service, delay_s)
        known += START_DELAY_WEIGHT * (delay_s - known)
        self.start_delay_by_service[service] = known

    def count_in_flight(self) -> dict[str, int]:
        """Return the own calls at each endpoint that has any."""
        return {
            endpoint_id: load.in_flight
            for endpoint_id, load in self.loads_by_id.items()
            if load.in_flight
        }

    def may_have_run(self, call_id: str) -> bool:
        """Tell whether an endpoint may have run a call, or may run it still."""
        pending = self.pending_by_id.get(call_id)
        if pending is None:
            return True
        return pending.may_have_run or bool(pending.endpoint_id)

    def find_bands(self, route: str) -> SizeBands:
        """Return the size bands of a route."""
        return self.bands_by_route.setdefault(route, SizeBands())

    def note_outcome(self, call: Call, *, is_served: bool) -> None:
        """Take in whether a call was served."""
        room = self.room_by_service.setdefault(call.services[0], ServedRate())
        room.note(is_served=is_served)
        if call.size:
            bands = self.find_bands(call.route.name)
            bands.note_outcome(call.size, is_served=is_served)

    def find_budget(self, service: str) -> RepeatBudget:
        """Return the own part of a service's budget for repeats."""
        budget = self.budget_by_service.get(service)
        if budget is None:
            bounds = self.bounds
            share = SAFE_SHARE / (self.peers + 1)
            budget = RepeatBudget(
                bounds.repeat_ratio * SAFE_SHARE,
                bounds.repeat_reserve * share * SAFE_SHARE,
                bounds.repeat_window_s,
            )
            self.budget_by_service[service] = budget
        return budget


class GatewayContext(msgspec.Struct):
    """The parts of the process state that the gateway reads.

    A process that ``is_closing`` takes no new calls.
    """

    state: GatewayState
    around: Surroundings
    ledger: CrashLedger
    is_closing: bool


def follow_roster(
    context: GatewayContext, now: float, records_by_id: dict[str, EndpointRecord]
) -> None:
    """Follow the endpoints in use, keeping what is known of those that stay."""
    state = context.state
    loads: dict[str, EndpointLoad] = {}
    for endpoint_id, record in records_by_id.items():
        load = state.loads_by_id.get(endpoint_id)
        if load is None or load.record.born_ms != record.born_ms:
            load = EndpointLoad(record)
            load.cold_deadline = now + record.cold_s
        if load.record is not record:
            load.follow_record(record)
            load.cold_deadline = now + record.cold_s
        loads[endpoint_id] = load
    state.loads_by_id = loads
    deal_homes(context)


def deal_homes(context: GatewayContext) -> None:
    """Follow which engines are at home here, of those that can serve now."""
    state, services = context.state, context.around.services_by_name
    if state.entries:
        homes: set[str] = set()
        for service in services.values():
            if service.engine is not None:
                usable = _list_usable(context, service)
                homes.update(find_homes(state.name, state.entries, usable))
        state.home_ids = frozenset(homes)
    for endpoint_id, load in state.loads_by_id.items():
        service = services.get(load.record.service)
        is_engine = service is not None and service.engine is not None
        is_home = endpoint_id in state.home_ids or not is_engine
        load.follow_home(state.name, is_home=is_home)
        _follow_cold_rate(state, load, service)


def _list_usable(context: GatewayContext, service: Service) -> list[Place]:
    """Return the engines of a service that may be sent calls at all."""
    around = context.around
    models = [model.name for model in service.engine.models]
    return [
        Place(load.record.id, around.region_by_zone.get(load.record.zone, ""))
        for load in context.state.loads_by_id.values()
        if load.record.service == service.name
        and not load.record.is_draining
        and not load.is_outdated
        and load.record.zone not in around.evacuated_zones
        and any(load.find_version(model) for model in models)
    ]


def _follow_cold_rate(
    state: GatewayState, load: EndpointLoad, service: Service | None
) -> None:
    """Bound what the own process sends to an endpoint while it is cold.

    A warm one needs no such bound: no more calls are sent than it works on at a time,
    which is fewer in a second than a cold one bears.
    """
    if service is None or not service.cold_rate:
        load.cold_budget = None
        return
    sharers = state.peers + 1
    if sharers > MAX_COLD_SHARERS:
        sharers = HOMES_AT_A_TIME if load.is_home else 0
    share = SAFE_SHARE / sharers if sharers else 0.0
    least = min(float(sharers), 1.0)
    rate = max(service.cold_rate * share, least)
    burst = max(state.bounds.cold_burst * share, least)
    if load.cold_budget is None:
        load.cold_budget = PermitBucket(rate, burst)
        return
    load.cold_budget.resize(rate, burst)


def handle_call(context: GatewayContext, event: CallArrived) -> list[Effect]:
    """Send a call, let it wait for room, or refuse it."""
    state = context.state
    call = event.call
    if context.is_closing:
        return [RefuseCall(call.id, refuse_leaving())]
    for service in call.services:
        state.find_budget(service).earn()
    if call.size:
        state.find_bands(call.route.name).note_size(call.size)
    release = context.ledger.find_release(event.now, call.fingerprint)
    if release is not None:
        return [RefuseCall(call.id, _refuse_crashing(release - event.now))]
    pending = PendingCall(call)
    pending.spent_s = state.measure_spent(call)
    state.pending_by_id[call.id] = pending
    return _place(context, event.now, pending)


def handle_call_started(context: GatewayContext, event: CallStarted) -> list[Effect]:
    """Note that an answer has begun, after which it can only go on."""
    pending = context.state.pending_by_id.get(event.call_id)
    if pending is not None:
        if not pending.is_started:
            _note_start(context, event.now, pending)
        pending.is_started = True
        pending.version = event.version or pending.version
    load = context.state.loads_by_id.get(event.endpoint_id)
    if load is not None:
        load.note_success()
    return []


def _note_start(context: GatewayContext, now: float, pending: PendingCall) -> None:
    call = pending.call
    reading_s = _estimate_reading(context, call)
    delay_s = max(now - pending.sent_at - reading_s, 0.0)
    context.state.note_start(call.services[0], delay_s)


def handle_attempt_ended(
    context: GatewayContext, event: CallAttemptEnded
) -> list[Effect]:
    """Take in the end of an attempt and decide what the caller gets."""
    state = context.state
    pending = state.pending_by_id.get(event.call_id)
    load = state.loads_by_id.get(event.endpoint_id)
    if load is not None:
        load.note_ended()
        _judge_endpoint(load, event)
    if pending is None:
        return fill_room(context, event.now)
    pending.endpoint_id = ""
    pending.last_event_id = event.last_event_id or pending.last_event_id
    effects = _continue_call(context, event, pending)
    return effects + fill_room(context, event.now)


def handle_call_ended(context: GatewayContext, event: CallEnded) -> list[Effect]:
    """Forget a call whose caller has its answer or is gone."""
    state = context.state
    state.waiting.remove(event.call_id)
    pending = state.pending_by_id.pop(event.call_id, None)
    if pending is None or not pending.endpoint_id:
        return []
    load = state.loads_by_id.get(pending.endpoint_id)
    if load is not None:
        load.note_ended()
    return fill_room(context, event.now)


def handle_gateway_tick(
    context: GatewayContext, now: float, heard: frozenset[str]
) -> list[Effect]:
    """Send calls that found room and refuse those that have waited long enough.

    ``heard`` are the endpoints that sent something since the last tick.
    """
    state = context.state
    for endpoint_id, load in state.loads_by_id.items():
        load.expire_status(now)
        if endpoint_id in heard:
            load.heard_at = now
    effects = _give_up_silent(context, now)
    effects.extend(fill_room(context, now))
    for call in state.waiting.remove_expired(now):
        pending = state.pending_by_id.get(call.id)
        if pending is not None:
            effects.extend(_refuse(context, now, pending))
    return effects


def _give_up_silent(context: GatewayContext, now: float) -> list[Effect]:
    """Take calls away from endpoints that have gone silent."""
    state = context.state
    silence_by_id = {
        endpoint_id: load.measure_silence(now)
        for endpoint_id, load in state.loads_by_id.items()
        if load.measure_silence(now) > GIVE_UP_S
    }
    if not silence_by_id:
        return []
    effects: list[Effect] = []
    for pending in state.pending_by_id.values():
        silence = silence_by_id.get(pending.endpoint_id, 0.0)
        bound = GIVE_UP_STREAM_S if pending.is_started else GIVE_UP_S
        if silence <= bound or pending.is_abandoned:
            continue
        call = pending.call
        has_attempts = pending.attempts < call.route.max_attempts
        if not call.route.is_idempotent or not has_attempts:
            continue
        if now - pending.sent_at <= bound:
            continue
        if _choose(context, now, pending, pending.endpoint_id) is None:
            continue
        pending.is_abandoned = True
        effects.append(AbandonAttempt(call.id))
    return effects


def fill_room(context: GatewayContext, now: float) -> list[Effect]:
    """Send waiting calls, in order, to endpoints with room."""
    state = context.state
    effects: list[Effect] = []
    if not len(state.waiting):
        return effects
    for call in state.waiting.list_ordered():
        pending = state.pending_by_id.get(call.id)
        if pending is None:
            state.waiting.remove(call.id)
            continue
        load = _choose(context, now, pending)
        if load is None:
            continue
        state.waiting.remove(call.id)
        effects.extend(_send(context, now, pending, load))
    return effects


def _choose(
    context: GatewayContext, now: float, pending: PendingCall, passed_over: str = ""
) -> EndpointLoad | None:
    crashed = context.ledger.crashed_endpoints(now, pending.call.fingerprint)
    return choose_endpoint(
        now,
        pending.call,
        context.state.loads_by_id.values(),
        context.around,
        pending.tried | crashed | {passed_over},
    )


def _place(context: GatewayContext, now: float, pending: PendingCall) -> list[Effect]:
    load = _choose(context, now, pending)
    if load is not None:
        return _send(context, now, pending, load)
    if not _has_eligible(context, pending):
        return _refuse(context, now, pending)
    call = pending.call
    bands = context.state.find_bands(call.route.name)
    is_waiting = context.state.waiting.push(
        now,
        call,
        cost=_estimate_cost(context, call),
        start_s=_estimate_start(context, call),
        spent_s=pending.spent_s,
        is_behind=call.size > 0 and bands.is_behind(call.size),
        is_resumed=pending.is_started,
    )
    if not is_waiting:
        return _refuse(context, now, pending)
    return []


def _estimate_cost(context: GatewayContext, call: Call) -> float:
    """Return the part of an endpoint's time that a call takes, 0 if nobody can tell."""
    service = context.around.services_by_name.get(call.services[0])
    if service is None or service.engine is None:
        return 0.0
    return estimate_cost(call, service.engine)


def _estimate_reading(context: GatewayContext, call: Call) -> float:
    service = context.around.services_by_name.get(call.services[0])
    if service is None or service.engine is None:
        return 0.0
    return estimate_reading(call, service.engine)


def _estimate_start(context: GatewayContext, call: Call) -> float:
    """Return the time from sending a call to the begin of its answer, in seconds."""
    delay_s = context.state.start_delay_by_service.get(call.services[0], 0.0)
    return delay_s + _estimate_reading(context, call)


def _has_eligible(context: GatewayContext, pending: PendingCall) -> bool:
    return any(
        load.record.id not in pending.tried
        and is_eligible(pending.call, load, context.around)
        for load in context.state.loads_by_id.values()
    )


def _send(
    context: GatewayContext, now: float, pending: PendingCall, load: EndpointLoad
) -> list[Effect]:
    # While several versions may answer, an endpoint is free to change in between.
    is_version_due = pending.call.model in context.around.version_floor_by_model
    pending.attempts += 1
    pending.endpoint_id = load.record.id
    pending.sent_at = now
    pending.is_abandoned = False
    running = load.count_running(now)
    load.note_sent(now)
    send = SendCall(
        pending.call.id,
        pending.attempts,
        load.record.id,
        load.record.address,
        version=load.find_version(pending.call.model) if is_version_due else 0,
        urgency=None,
        last_event_id=pending.last_event_id,
        running=running,
    )
    return [send] if load.is_home else [send, TellLoads()]


def _judge_endpoint(load: EndpointLoad, event: CallAttemptEnded) -> None:
    if event.phase is AttemptPhase.ANSWERED:
        load.note_success()
    elif event.phase is AttemptPhase.NOT_SENT:
        load.note_unreachable(event.now)
    elif event.phase is AttemptPhase.MISDIRECTED:
        load.note_misdirected(event.now)
    elif event.phase is AttemptPhase.REFUSED:
        load.note_full(event.now)
    else:
        load.note_failure(event.now)


def _continue_call(
    context: GatewayContext, event: CallAttemptEnded, pending: PendingCall
) -> list[Effect]:
    now = event.now
    if event.phase is AttemptPhase.ANSWERED:
        del context.state.pending_by_id[event.call_id]
        context.state.note_outcome(pending.call, is_served=True)
        return []
    if event.phase is AttemptPhase.NOT_SENT:
        pending.attempts -= 1
        pending.unreachable += 1
        pending.tried.add(event.endpoint_id)
        if pending.unreachable > MAX_UNREACHABLE:
            return _refuse(context, now, pending)
        return _place(context, now, pending)
    pending.tried.add(event.endpoint_id)
    if not event.phase.is_not_run:
        pending.may_have_run = True
        pending.has_failed_answer = event.phase is AttemptPhase.FAILED
        if event.is_reset:
            context.ledger.record(now, pending.call.fingerprint, event.endpoint_id)
    if not _may_repeat(context, now, pending):
        return _refuse(context, now, pending)
    return _place(context, now, pending)


def _may_repeat(context: GatewayContext, now: float, pending: PendingCall) -> bool:
    call = pending.call
    if pending.attempts >= call.route.max_attempts or now >= call.deadline:
        return False
    if pending.may_have_run and not call.route.is_idempotent:
        return False
    if context.ledger.find_release(now, call.fingerprint) is not None:
        return False
    return context.state.find_budget(call.services[0]).spend(now)


def view_fleet(context: GatewayContext, now: float, pending: PendingCall) -> FleetView:
    """Return what a decision on a call is based on."""
    call = pending.call
    listed = eligible = blocked = swapping = running = 0
    for load in context.state.loads_by_id.values():
        if load.record.service not in call.services:
            continue
        listed += 1
        if not is_eligible(call, load, context.around):
            continue
        eligible += 1
        blocked += load.blocked_deadline > now
        swapping += load.is_swapping
        running += load.count_running(now)
    floor = context.around.version_floor_by_model.get(call.model, 0)
    waiting = len(context.state.waiting)
    return FleetView(listed, eligible, blocked, swapping, running, waiting, floor)


def _refuse(context: GatewayContext, now: float, pending: PendingCall) -> list[Effect]:
    """Give the caller its final answer, promising "not run" only when it is true."""
    call = pending.call
    view = view_fleet(context, now, pending)
    context.state.pending_by_id.pop(call.id, None)
    context.state.waiting.remove(call.id)
    context.state.note_outcome(call, is_served=False)
    if pending.is_started:
        return [CutCall(call.id, "the stream broke off and no endpoint can resume it")]
    if pending.has_failed_answer:
        return [RelayFailure(call.id)]
    if pending.may_have_run:
        return [RefuseCall(call.id, refuse_unanswered(), view)]
    if not _has_eligible(context, pending):
        retry_after_s = _spread_return(
            now, call, NO_ENDPOINT_RETRY_S, NO_ENDPOINT_SPREAD_S
        )
        return [RefuseCall(call.id, refuse_no_endpoint(retry_after_s), view)]
    retry_after_s = _choose_return(context, now, call)
    return [RefuseCall(call.id, refuse_busy(retry_after_s), view)]


def _choose_return(context: GatewayContext, now: float, call: Call) -> float:
    """Return when a caller that met no room should come back, in seconds."""
    room = context.state.room_by_service.get(call.services[0])
    if room is None or room.value >= SCARCE_SHARE:
        return BUSY_RETRY_S
    return _spread_return(now, call, SCARCE_RETRY_S, SCARCE_SPREAD_S)


def _spread_return(now: float, call: Call, least_s: float, spread_s: float) -> float:
    """Return a time to come back that the caller keeps, in seconds.

    Callers who come back at the same moment would meet each other.
    """
    return_s = least_s + spread_s * hash_text(call.request_id) / HASH_RANGE
    if not call.wait_s:
        return return_s
    left_s = call.arrived + call.wait_s - now
    return max(min(return_s, left_s * LONGEST_RETURN_SHARE), BUSY_RETRY_S)


def refuse_unanswered() -> Refusal:
    """Return the error for a call that was sent and not answered as it should be."""
    return Refusal(
        ErrorCode.OUTCOME_UNKNOWN,
        "the request was sent but not answered",
        RunState.UNKNOWN,
        502,
    )


def refuse_leaving() -> Refusal:
    """Return the refusal of a process that shuts down; another takes the call now."""
    return Refusal(
        ErrorCode.LEAVING,
        "this entry is shutting down",
        RunState.NOT_RUN,
        503,
        LEAVING_RETRY_S,
    )


def refuse_late(may_have_run: bool) -> Refusal:
    """Return the error for a call whose time is over."""
    if may_have_run:
        return Refusal(
            ErrorCode.TIMED_OUT,
            "the endpoint did not answer in time",
            RunState.UNKNOWN,
            504,
        )
    return Refusal(
        ErrorCode.DEADLINE_EXCEEDED,
        "the deadline passed before the request could run",
        RunState.NOT_RUN,
        503,
        BUSY_RETRY_S,
    )


def refuse_busy(retry_after_s: float) -> Refusal:
    """Return the refusal of a call for which no endpoint has room."""
    return Refusal(
        ErrorCode.OVERLOADED,
        "all endpoints are busy",
        RunState.NOT_RUN,
        503,
        retry_after_s,
    )


def refuse_no_endpoint(retry_after_s: float) -> Refusal:
    """Return the refusal of a call that no endpoint may run now."""
    return Refusal(
        ErrorCode.NO_ENDPOINT,
        "no endpoint can take the request now",
        RunState.NOT_RUN,
        503,
        retry_after_s,
    )


def _refuse_crashing(left_s: float) -> Refusal:
    return Refusal(
        ErrorCode.QUARANTINED,
        "this request crashed several endpoints and is refused for a while",
        RunState.NOT_RUN,
        503,
        left_s,
    )
