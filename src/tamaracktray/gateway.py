"""Reducer for calls on entries that send them directly to endpoints."""

from collections.abc import Callable

from tamaracktray.admission_control.gate import may_enter, note_sent
from tamaracktray.attempt_abandonment import (
    MAX_FAILED_CONNECTIONS,
    abandon_outdated_attempts,
    abandon_quarantined_attempts,
    abandon_silent_attempts,
    move_noted_attempts,
    take_return,
)
from tamaracktray.call_estimates import (
    estimate_call_cost,
    estimate_call_prefill,
    estimate_call_start,
)
from tamaracktray.calls import (
    AttemptResumed,
    CallArrived,
    CallAttemptEnded,
    CallEnded,
    CallStarted,
    RefuseCall,
    SendCall,
    SendLoadBeacon,
)
from tamaracktray.effects import Effect
from tamaracktray.endpoint_loads import EndpointLoad
from tamaracktray.gateway_crashes import (
    evaluate_suspicions,
    is_quarantined,
    record_sound_answer,
    suspect_on_disconnect,
    suspect_on_silence,
    take_trial,
)
from tamaracktray.gateway_fleet import choose, has_available, has_free_slot
from tamaracktray.gateway_refusals import refuse, refuse_if_quarantined
from tamaracktray.gateway_state import GatewayContext, PendingCall
from tamaracktray.outcomes import AttemptPhase
from tamaracktray.parked_attempts import (
    note_parked_end,
    resume_parked,
    take_resumed,
)
from tamaracktray.placement import is_eligible, list_with_capacity
from tamaracktray.reentry.service_order import order_by_places
from tamaracktray.refusals import refuse_leaving
from tamaracktray.routes import RepeatKind


def handle_call(context: GatewayContext, event: CallArrived) -> list[Effect]:
    """Send a call, queue it until an endpoint has capacity, or refuse it."""
    state = context.state
    call = event.call
    if context.is_closing:
        return [RefuseCall(call.id, refuse_leaving())]
    for service in call.services:
        state.find_budget(service).earn(event.now)
    if call.size:
        state.find_bands(call.route.name).note_size(call.size)
    is_trial = take_trial(context, event.now, call)
    refusal = refuse_if_quarantined(context, event.now, call, is_trial=is_trial)
    if refusal is not None:
        return [RefuseCall(call.id, refusal)]
    pending = state.add_call(event.now, call)
    pending.is_trial = is_trial
    effects: list[Effect] = []
    if state.waiting.has_more_urgent(call) and has_free_slot(context, event.now, call):
        # A slot that became free without an event is theirs.
        effects = send_queued_calls(context, event.now)
    is_admitted = may_enter(context, event.now, pending)
    # A caller that retries when it was told to is not refused again on arrival.
    if not is_admitted and not pending.is_returning:
        return effects + refuse(context, event.now, pending, is_shed=True)
    return effects + _place_call(context, event.now, pending)


def handle_call_started(context: GatewayContext, event: CallStarted) -> list[Effect]:
    """Record that an answer has begun, after which the call can only be resumed."""
    pending = context.state.pending_by_id.get(event.call_id)
    if pending is not None:
        if not pending.is_started and pending.call.route.kind is RepeatKind.STREAM:
            _record_start_delay(context, event.now, pending)
        if not pending.is_answer_started:
            pending.answer_began_at = event.now
            pending.observed_since = event.now
            pending.silent_since = event.now
        context.state.drop_parked(pending)
        pending.is_started = True
        pending.is_answer_started = True
        pending.has_event_id = pending.has_event_id or event.has_event_id
        pending.version = event.version or pending.version
    load = context.state.loads_by_id.get(event.endpoint_id)
    if load is not None:
        load.note_success()
    return []


def _record_start_delay(
    context: GatewayContext, now: float, pending: PendingCall
) -> None:
    call = pending.call
    prefill_s = estimate_call_prefill(context, call)
    delay_s = max(now - pending.sent_at - prefill_s, 0.0)
    context.state.record_start_delay(now, pending, delay_s)


def handle_attempt_ended(
    context: GatewayContext, event: CallAttemptEnded
) -> list[Effect]:
    """Record the end of an attempt and decide how the call continues."""
    state = context.state
    pending = state.pending_by_id.get(event.call_id)
    load = state.loads_by_id.get(event.endpoint_id)
    if load is not None:
        load.note_attempt_end(event.now, event.phase)
    if pending is not None and event.endpoint_id in pending.parked_by_id:
        note_parked_end(context, pending, event)
        return send_queued_calls(context, event.now)
    if pending is not None and event.endpoint_id != pending.endpoint_id:
        # The attempt was parked until another endpoint began to answer.
        return []
    if pending is not None and event.is_parked:
        pending.park()
    elif load is not None:
        load.note_ended()
    if pending is None:
        return send_queued_calls(context, event.now)
    pending.endpoint_id = ""
    was_abandoned, pending.is_abandoned = pending.is_abandoned, False
    is_paid = state.release(pending)
    pending.last_event_id = event.last_event_id or pending.last_event_id
    effects = _continue_call(
        context, event, pending, is_paid=is_paid, was_abandoned=was_abandoned
    )
    effects.extend(move_noted_attempts(context, event.now))
    return effects + send_queued_calls(context, event.now)


def handle_attempt_resumed(
    context: GatewayContext, event: AttemptResumed
) -> list[Effect]:
    """Go back to a parked attempt that went on by itself."""
    take_resumed(context, event)
    return send_queued_calls(context, event.now)


def handle_call_ended(context: GatewayContext, event: CallEnded) -> list[Effect]:
    """Remove a call whose caller has its answer or has disconnected."""
    state = context.state
    state.waiting.remove(event.call_id)
    pending = state.remove(event.call_id)
    if pending is None or not pending.endpoint_id:
        return []
    state.release(pending)
    effects = suspect_on_silence(context, event.now, pending)
    load = state.loads_by_id.get(pending.endpoint_id)
    if load is not None:
        load.note_ended()
    return effects + send_queued_calls(context, event.now)


def handle_gateway_tick(
    context: GatewayContext, now: float, responsive_ids: frozenset[str]
) -> list[Effect]:
    """Send queued calls where capacity is free and refuse those past their deadline.

    ``responsive_ids`` are the ids of endpoints that sent data since the last tick.
    """
    state = context.state
    for endpoint_id, load in state.loads_by_id.items():
        load.expire_status(now)
        if endpoint_id in responsive_ids:
            load.last_contact_at = now
    effects: list[Effect] = [*state.spillover.take_changes()]
    effects.extend(evaluate_suspicions(context, now, responsive_ids))
    effects.extend(abandon_silent_attempts(context, now))
    effects.extend(abandon_outdated_attempts(context))
    effects.extend(abandon_quarantined_attempts(context, now))
    effects.extend(_refuse_waiting_quarantined(context, now))
    effects.extend(send_queued_calls(context, now))
    for call in state.waiting.remove_expired(now):
        pending = state.pending_by_id.get(call.id)
        if pending is not None:
            effects.extend(give_up(context, now, pending))
    return effects


def _refuse_waiting_quarantined(context: GatewayContext, now: float) -> list[Effect]:
    """Refuse the queued calls whose requests have since been quarantined."""
    if not len(context.state.waiting):
        return []
    if context.crashes.is_empty and context.part_crashes.is_empty:
        return []
    return _refuse_waiting(
        context, now, lambda pending: is_quarantined(context, now, pending)
    )


def refuse_unavailable(context: GatewayContext, now: float) -> list[Effect]:
    """Refuse the queued calls for which no endpoint is available."""
    return _refuse_waiting(
        context, now, lambda pending: not has_available(context, now, pending)
    )


def _refuse_waiting(
    context: GatewayContext, now: float, is_refused: Callable[[PendingCall], bool]
) -> list[Effect]:
    effects: list[Effect] = []
    for call in context.state.waiting.list_ordered():
        pending = context.state.pending_by_id.get(call.id)
        if pending is None or not is_refused(pending):
            continue
        effects.extend(give_up(context, now, pending))
    return effects


def send_queued_calls(context: GatewayContext, now: float) -> list[Effect]:
    """Send queued calls, in order, to endpoints with free slots."""
    state = context.state
    effects: list[Effect] = []
    if not len(state.waiting):
        return effects
    # While calls wait, few endpoints or none have free slots.
    with_capacity = list_with_capacity(state.loads_by_id.values(), now)
    if not with_capacity:
        return effects
    queued = state.waiting.list_ordered()
    for call in order_by_places(state.reentry, now, queued, state.pending_by_id):
        pending = state.pending_by_id.get(call.id)
        if pending is None:
            state.waiting.remove(call.id)
            continue
        if not any(
            is_eligible(call, load, context.placement_context) for load in with_capacity
        ):
            continue
        load = choose(context, now, pending)
        if load is None:
            continue
        state.waiting.remove(call.id)
        effects.extend(_send(context, now, pending, load))
        with_capacity = list_with_capacity(with_capacity, now)
    return effects


def _place_call(
    context: GatewayContext, now: float, pending: PendingCall
) -> list[Effect]:
    if context.is_ending:
        return resume_parked(context, now, pending) or refuse(context, now, pending)
    load = choose(context, now, pending)
    if load is not None:
        return _send(context, now, pending, load)
    if not has_available(context, now, pending):
        return give_up(context, now, pending)
    call = pending.call
    bands = context.state.find_bands(call.route.name)
    is_waiting = context.state.waiting.push(
        now,
        call,
        cost=estimate_call_cost(context, call),
        start_s=estimate_call_start(context, call),
        prior_wait_s=pending.prior_wait_s,
        is_underserved=call.size > 0 and bands.is_underserved(call.size),
        is_below_floor=context.state.admission.is_below_floor(now, call),
        is_resumed=pending.is_started,
        is_returning=pending.is_returning,
    )
    if not is_waiting:
        return give_up(context, now, pending)
    displaced = context.state.waiting.take_displaced()
    if displaced is None or displaced.id not in context.state.pending_by_id:
        return []
    return give_up(context, now, context.state.pending_by_id[displaced.id])


def give_up(context: GatewayContext, now: float, pending: PendingCall) -> list[Effect]:
    """Go back to an attempt or endpoint that the call left, or refuse the call."""
    resumed = resume_parked(context, now, pending)
    if resumed:
        return resumed
    load = take_return(context, now, pending)
    if load is None:
        return refuse(context, now, pending)
    context.state.waiting.remove(pending.call.id)
    return _send(context, now, pending, load)


def _send(
    context: GatewayContext, now: float, pending: PendingCall, load: EndpointLoad
) -> list[Effect]:
    context.state.note_start(now, pending)
    held_version = load.find_version(pending.call.model)
    floor = context.placement_context.version_floor_by_model.get(pending.call.model, 0)
    pending.attempts += 1
    note_sent(context, now, pending)
    pending.endpoint_id = load.record.id
    pending.start_time_ms = load.record.start_time_ms
    pending.is_endpoint_leaving = False
    pending.sent_at = now
    pending.silent_since = now
    pending.held_version = held_version
    pending.is_answer_started = False
    pending.progress_at = 0.0
    pending.is_sound = False
    pending.is_abandoned = False
    running = load.count_running(now)
    load.note_sent(now)
    is_spilled = context.state.spillover.note_sent(pending.call, load.record.zone)
    send = SendCall(
        pending.call.id,
        pending.attempts,
        load.record.id,
        load.record.address,
        team=pending.call.team,
        # Without a floor any version may answer, even if the endpoint swaps meanwhile.
        version=held_version if floor else 0,
        urgency=None,
        last_event_id=pending.last_event_id,
        running=running,
        held_version=held_version,
        version_floor=floor,
        is_trial=pending.is_trial,
        is_spilled=is_spilled,
        start_time_ms=load.record.start_time_ms,
    )
    return [send] if load.is_owned else [send, SendLoadBeacon()]


def _continue_call(
    context: GatewayContext,
    event: CallAttemptEnded,
    pending: PendingCall,
    *,
    is_paid: bool,
    was_abandoned: bool,
) -> list[Effect]:
    """Return how a call goes on.

    ``is_paid`` is set if its retry has been paid for, and ``was_abandoned`` if this
    process ended the attempt.
    """
    now = event.now
    if event.phase is AttemptPhase.ANSWERED:
        context.state.remove(event.call_id)
        context.state.note_outcome(pending.call, is_served=True)
        effects: list[Effect] = []
        if event.status < 300:
            effects.extend(record_sound_answer(context, now, pending))
        effects.extend(context.crashes.record_answered(now, pending.call.fingerprint))
        return effects
    if event.phase is AttemptPhase.WITHDRAWN:
        pending.attempts -= 1
        pending.tried.add(event.endpoint_id)
        return _place_call(context, now, pending)
    if event.phase is AttemptPhase.NOT_SENT:
        pending.attempts -= 1
        pending.failed_connections += 1
        pending.tried.add(event.endpoint_id)
        if pending.failed_connections > MAX_FAILED_CONNECTIONS:
            return give_up(context, now, pending)
        return _place_call(context, now, pending)
    pending.tried.add(event.endpoint_id)
    effects = []
    if not event.phase.is_not_run:
        if event.endpoint_id != pending.left_id:
            pending.left_id = ""
        pending.may_have_run = True
        # An attempt that this process has ended says nothing new.
        keeps_failure = pending.has_failed_answer and was_abandoned
        is_failed = event.phase is AttemptPhase.FAILED
        pending.has_failed_answer = is_failed or keeps_failure
        if event.is_reset:
            effects = suspect_on_disconnect(context, now, pending, event.endpoint_id)
    # Resuming a broken stream needs the id of the last event.
    is_unresumable = event.phase is AttemptPhase.CUT and not event.last_event_id
    if is_unresumable or not _may_retry(context, now, pending, is_paid=is_paid):
        return effects + give_up(context, now, pending)
    return effects + _place_call(context, now, pending)


def _may_retry(
    context: GatewayContext, now: float, pending: PendingCall, *, is_paid: bool
) -> bool:
    call = pending.call
    if context.is_ending:
        return False
    if pending.attempts >= call.route.max_attempts or now >= call.deadline:
        return False
    if pending.may_have_run and not call.route.is_idempotent:
        return False
    if not has_available(context, now, pending):
        return False
    return is_paid or context.state.find_budget(call.services[0]).spend(now)
