"""The reducer's part for entries that send calls straight to endpoints."""

import msgspec

from tamaracktray.budgets import PermitBucket
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
from tamaracktray.gateway_state import (
    SAFE_SHARE,
    GatewayContext,
    GatewayState,
    PendingCall,
)
from tamaracktray.homes import Place, find_homes
from tamaracktray.outcomes import AttemptPhase
from tamaracktray.placement import (
    EndpointLoad,
    choose_endpoint,
    is_eligible,
    list_roomy,
)
from tamaracktray.refusals import (
    BUSY_RETRY_S,
    NO_ENDPOINT_RETRY_S,
    NO_ENDPOINT_SPREAD_S,
    SCARCE_RETRY_S,
    SCARCE_SPREAD_S,
    refuse_busy,
    refuse_crashing,
    refuse_leaving,
    refuse_no_endpoint,
    refuse_unanswered,
    spread_return,
)
from tamaracktray.roster import EndpointRecord
from tamaracktray.routes import Service

# Connections that one call may try in vain, beside its attempts.
MAX_UNREACHABLE = 3


# Share of calls that find room below which room is scarce.
SCARCE_SHARE = 0.5


# Silence of an endpoint after which its calls go elsewhere, in seconds: before the
# first part of an answer, and within a stream, whose reader knows pauses.
GIVE_UP_S = 0.5
GIVE_UP_STREAM_S = 0.7


# Entries that can share what a cold endpoint bears, each at least one call a second. In
# a larger fleet its home alone sends it calls, or two while homes change.
MAX_COLD_SHARERS = 12
HOMES_AT_A_TIME = 2


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
        return [RefuseCall(call.id, refuse_crashing(release - event.now))]
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
        pending.has_begun = True
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
    effects.extend(_give_up_outdated(context))
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
        effects.append(AbandonAttempt(call.id, "endpoint is silent"))
    return effects


def _give_up_outdated(context: GatewayContext) -> list[Effect]:
    """Take calls away that have not begun where the version is about to be too old."""
    state = context.state
    effects: list[Effect] = []
    for pending in state.pending_by_id.values():
        if not pending.endpoint_id or pending.has_begun or pending.is_abandoned:
            continue
        if not _is_outdated(context, pending):
            continue
        pending.is_abandoned = True
        effects.append(AbandonAttempt(pending.call.id, "version is too old"))
    return effects


def is_sendable(context: GatewayContext, decision: SendCall) -> bool:
    """Tell whether a decision to send still holds once its connection stands."""
    pending = context.state.pending_by_id.get(decision.call_id)
    if pending is None or pending.endpoint_id != decision.endpoint_id:
        return False
    load = context.state.loads_by_id.get(decision.endpoint_id)
    if load is None or pending.is_abandoned:
        return False
    # A call on its way is bound by the oldest version on which it may still begin.
    floors = context.around.last_floor_by_model
    around = msgspec.structs.replace(context.around, version_floor_by_model=floors)
    return is_eligible(pending.call, load, around)


def _is_outdated(context: GatewayContext, pending: PendingCall) -> bool:
    """Tell whether the endpoint's version is too old for the call to begin there."""
    model = pending.call.model
    floor = context.around.last_floor_by_model.get(model, 0)
    if not floor:
        return False
    load = context.state.loads_by_id.get(pending.endpoint_id)
    # An endpoint that is listed no more may still begin what was sent to it.
    held = pending.held_version if load is None else load.find_version(model)
    return 0 < held < floor


def fill_room(context: GatewayContext, now: float) -> list[Effect]:
    """Send waiting calls, in order, to endpoints with room."""
    state = context.state
    effects: list[Effect] = []
    if not len(state.waiting):
        return effects
    # While calls wait, few endpoints or none have room.
    roomy = list_roomy(state.loads_by_id.values(), now)
    if not roomy:
        return effects
    for call in state.waiting.list_ordered():
        pending = state.pending_by_id.get(call.id)
        if pending is None:
            state.waiting.remove(call.id)
            continue
        if not any(is_eligible(call, load, context.around) for load in roomy):
            continue
        load = _choose(context, now, pending)
        if load is None:
            continue
        state.waiting.remove(call.id)
        effects.extend(_send(context, now, pending, load))
        roomy = list_roomy(roomy, now)
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
    held_version = load.find_version(pending.call.model)
    floor = context.around.version_floor_by_model.get(pending.call.model, 0)
    pending.attempts += 1
    pending.endpoint_id = load.record.id
    pending.sent_at = now
    pending.held_version = held_version
    pending.has_begun = False
    pending.is_abandoned = False
    running = load.count_running(now)
    load.note_sent(now)
    send = SendCall(
        pending.call.id,
        pending.attempts,
        load.record.id,
        load.record.address,
        # While several versions may answer, an endpoint is free to change in between.
        version=held_version if floor else 0,
        urgency=None,
        last_event_id=pending.last_event_id,
        running=running,
        held_version=held_version,
        version_floor=floor,
    )
    return [send] if load.is_home else [send, TellLoads()]


def _judge_endpoint(load: EndpointLoad, event: CallAttemptEnded) -> None:
    if event.phase is AttemptPhase.ANSWERED:
        load.note_success()
    elif event.phase is AttemptPhase.NOT_SENT:
        load.note_unreachable(event.now)
    elif event.phase is AttemptPhase.WITHDRAWN:
        return
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
    if event.phase is AttemptPhase.WITHDRAWN:
        pending.attempts -= 1
        pending.tried.add(event.endpoint_id)
        return _place(context, now, pending)
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
        retry_after_s = spread_return(
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
    return spread_return(now, call, SCARCE_RETRY_S, SCARCE_SPREAD_S)
