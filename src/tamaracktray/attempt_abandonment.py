"""Abandons attempts so that their calls can be retried at another endpoint.

A decision to send is carried out later, and a call may queue at its endpoint. The state
on which the decision was based may have changed by then.
"""

from collections import Counter

import msgspec

from tamaracktray.calls import AbandonAttempt, LeaveAttempt, SendCall
from tamaracktray.effects import Effect
from tamaracktray.endpoint_loads import EndpointLoad
from tamaracktray.gateway_crashes import suspect_endpoint
from tamaracktray.gateway_fleet import choose, is_barred
from tamaracktray.gateway_state import GatewayContext
from tamaracktray.parked_attempts import end_parked_attempts
from tamaracktray.pending_calls import ParkedAttempt, PendingCall
from tamaracktray.placement import count_open_slots, is_available

# Silence of an endpoint after which its calls are retried elsewhere, in seconds: before
# the first part of an answer, and within a stream, whose reader tolerates pauses.
SILENCE_TIMEOUT_S = 0.5
STREAM_SILENCE_TIMEOUT_S = 0.7

# Reason for ending a silent attempt that nothing can complete any more.
RESTARTED = "endpoint has started again"

# Least time between the last data of an attempt and a start of its endpoint that has
# ended it, in seconds: clocks of instances differ, and a start takes longer.
RESTART_MARGIN_S = 1.0
MS_PER_S = 1_000.0

# Time without a complete event after which a stream is resumed elsewhere although its
# endpoint sends other data, in seconds.
STALL_S = 1.0

# Time without data of an answer that has not begun after which the call is retried
# elsewhere: the larger of a number of latency objectives and a minimum in seconds.
START_TIMEOUT_OBJECTIVES = 4.0
MIN_START_TIMEOUT_S = 1.0

# Failed connections allowed per call; they do not count as attempts.
MAX_FAILED_CONNECTIONS = 3

# Calls of the same services that find no place, after which no further ones are tried
# at a tick: each try looks at all endpoints.
MAX_FAILED_MOVES = 4


def abandon_silent_attempts(context: GatewayContext, now: float) -> list[Effect]:
    """Leave attempts that get no data if another endpoint can take the call.

    The others are noted, to move before queued calls once a slot is free.
    """
    state = context.state
    state.move_reason_by_id = {}
    effects: list[Effect] = []
    failed_by_services: Counter[tuple[str, ...]] = Counter()
    for pending in state.pending_by_id.values():
        effects.extend(_end_restarted(context, pending))
        if not pending.endpoint_id or pending.is_abandoned:
            continue
        if not _is_movable(pending):
            is_silent = now - pending.silent_since > SILENCE_TIMEOUT_S
            if is_silent and _has_restarted(context, pending):
                pending.is_abandoned = True
                effects.append(AbandonAttempt(pending.call.id, RESTARTED))
            continue
        reason = _find_silence(context, now, pending)
        if not reason:
            continue
        services = pending.call.services
        if failed_by_services[services] < MAX_FAILED_MOVES:
            moved = _move(context, now, pending, reason)
            if moved:
                effects.extend(moved)
                continue
            failed_by_services[services] += 1
        state.move_reason_by_id[pending.call.id] = reason
    return effects


def _end_restarted(context: GatewayContext, pending: PendingCall) -> list[Effect]:
    """End parked attempts that nothing can complete any more."""
    if not pending.parked_by_id:
        return []
    return end_parked_attempts(
        context, pending, RESTARTED, lambda item: _has_restarted(context, item)
    )


def _has_restarted(
    context: GatewayContext, attempt: PendingCall | ParkedAttempt
) -> bool:
    """Return whether an endpoint has started again since it last sent data.

    One that starts as a call arrives may answer it, although it was listed with its
    earlier start when the call was sent.
    """
    load = context.state.loads_by_id.get(attempt.endpoint_id)
    if load is None:
        return False
    start_time_ms = max(load.record.start_time_ms, load.reported_start_ms)
    if not start_time_ms > attempt.start_time_ms > 0:
        return False
    started_at = start_time_ms / MS_PER_S - context.unix_offset_s
    return attempt.silent_since < started_at - RESTART_MARGIN_S


def _find_silence(context: GatewayContext, now: float, pending: PendingCall) -> str:
    """Return why an attempt counts as silent, or an empty text if it doesn't."""
    timeout_s = STREAM_SILENCE_TIMEOUT_S if pending.is_started else SILENCE_TIMEOUT_S
    load = context.state.loads_by_id.get(pending.endpoint_id)
    endpoint_silence_s = 0.0 if load is None else load.measure_silence(now)
    silence_s = now - pending.silent_since
    if min(endpoint_silence_s, now - pending.sent_at, silence_s) > timeout_s:
        return "endpoint is silent"
    if pending.is_answer_started:
        return "stream stalled" if silence_s >= STALL_S else ""
    target_s = pending.call.route.target_latency_s
    start_timeout_s = max(START_TIMEOUT_OBJECTIVES * target_s, MIN_START_TIMEOUT_S)
    return "answer is overdue" if silence_s > start_timeout_s else ""


def move_noted_attempts(context: GatewayContext, now: float) -> list[Effect]:
    """Leave noted attempts, as many as there are free slots."""
    state = context.state
    effects: list[Effect] = []
    for call_id, reason in list(state.move_reason_by_id.items()):
        pending = state.pending_by_id.get(call_id)
        if pending is None or pending.is_abandoned or not pending.endpoint_id:
            del state.move_reason_by_id[call_id]
            continue
        moved = _move(context, now, pending, reason)
        if not moved:
            break
        effects.extend(moved)
        del state.move_reason_by_id[call_id]
    return effects


def _move(
    context: GatewayContext, now: float, pending: PendingCall, reason: str
) -> list[Effect]:
    """Leave an attempt if another endpoint can take the call.

    The endpoint may be sound and go on soon, so the attempt is parked.
    """
    endpoint_id = pending.endpoint_id
    if not reserve_move(context, now, pending):
        return []
    pending.is_abandoned = True
    pending.left_id = endpoint_id
    return [
        LeaveAttempt(pending.call.id, reason),
        *suspect_endpoint(context, now, pending, endpoint_id),
    ]


def reserve_move(context: GatewayContext, now: float, pending: PendingCall) -> bool:
    """Reserve a slot at another endpoint and a retry; return whether both exist."""
    if context.is_ending or not _is_movable(pending):
        return False
    load = choose(context, now, pending, pending.endpoint_id)
    if load is None or load.measure_silence(now) > SILENCE_TIMEOUT_S:
        return False
    if not context.state.find_budget(pending.call.services[0]).spend(now):
        return False
    load.reserved += 1
    pending.reserved_id = load.record.id
    return True


def take_return(
    context: GatewayContext, now: float, pending: PendingCall
) -> EndpointLoad | None:
    """Return the endpoint that a call has left if it may go back there, once.

    Its silence was no proof of a failure, and a second run there takes the call to no
    further endpoint.
    """
    load = context.state.loads_by_id.get(pending.left_id)
    pending.left_id = ""
    call = pending.call
    if load is None or now >= call.deadline or context.is_ending:
        return None
    if is_barred(context, now, pending):
        return None
    if not is_available(now, call, load, context.placement_context):
        return None
    if not count_open_slots(load, now):
        return None
    if not context.state.find_budget(call.services[0]).spend(now):
        return None
    return load


def _is_movable(pending: PendingCall) -> bool:
    """Return whether a call may be sent to another endpoint.

    An answer that has begun can only be resumed after an event with an id.
    """
    if pending.revocation is not None:
        return False
    route = pending.call.route
    if pending.is_started and not pending.has_event_id:
        return False
    if pending.failed_connections > MAX_FAILED_CONNECTIONS:
        return False
    return route.is_idempotent and pending.attempts < route.max_attempts


def abandon_outdated_attempts(context: GatewayContext) -> list[Effect]:
    """Abandon attempts that have not begun at endpoints with an outdated version."""
    state = context.state
    effects: list[Effect] = []
    reason = "version is too old"
    for pending in state.pending_by_id.values():
        model = pending.call.model
        effects.extend(_end_outdated(context, pending, reason))
        if not pending.endpoint_id or pending.is_answer_started or pending.is_abandoned:
            continue
        if not _is_outdated(context, model, pending):
            continue
        pending.is_abandoned = True
        effects.append(AbandonAttempt(pending.call.id, reason))
    return effects


def abandon_quarantined_attempts(context: GatewayContext, now: float) -> list[Effect]:
    """Abandon attempts that have not begun and hold a quarantined prompt part."""
    if context.part_crashes.is_empty:
        return []
    effects: list[Effect] = []
    reason = "prompt part is quarantined"
    for pending in context.state.pending_by_id.values():
        is_unbegun = bool(pending.endpoint_id) and not pending.is_answer_started
        if pending.is_trial or not (is_unbegun or pending.parked_by_id):
            continue
        end = context.part_crashes.find_prompt_quarantine_end(now, pending.call.parts)
        if end is None:
            continue
        effects.extend(
            end_parked_attempts(
                context, pending, reason, lambda item: not item.is_answer_started
            )
        )
        if not is_unbegun or pending.is_abandoned:
            continue
        pending.is_abandoned = True
        effects.append(AbandonAttempt(pending.call.id, reason))
        # The endpoint may have begun to answer before the attempt is taken back.
        effects.extend(suspect_endpoint(context, now, pending, pending.endpoint_id))
    return effects


def is_sendable(context: GatewayContext, now: float, decision: SendCall) -> bool:
    """Return whether a decision to send is still valid once the connection is open."""
    pending = context.state.pending_by_id.get(decision.call_id)
    if pending is None or pending.endpoint_id != decision.endpoint_id:
        return False
    load = context.state.loads_by_id.get(decision.endpoint_id)
    if load is None or pending.is_abandoned or is_barred(context, now, pending):
        return False
    if decision.team != pending.call.team:
        return False
    # A call already assigned may begin on the oldest version that is still allowed.
    floors = context.placement_context.last_floor_by_model
    placement_context = msgspec.structs.replace(
        context.placement_context, version_floor_by_model=floors
    )
    return is_available(now, pending.call, load, placement_context)


def _end_outdated(
    context: GatewayContext, pending: PendingCall, reason: str
) -> list[Effect]:
    """End parked attempts that have not begun and must not begin any more."""
    if not pending.parked_by_id:
        return []
    model = pending.call.model

    def must_end(parked: ParkedAttempt) -> bool:
        return not parked.is_answer_started and _is_outdated(context, model, parked)

    return end_parked_attempts(context, pending, reason, must_end)


def _is_outdated(
    context: GatewayContext, model: str, attempt: PendingCall | ParkedAttempt
) -> bool:
    """Return whether the endpoint's version is too old for an answer to begin."""
    floor = context.placement_context.last_floor_by_model.get(model, 0)
    if not floor:
        return False
    load = context.state.loads_by_id.get(attempt.endpoint_id)
    # An endpoint that is no longer listed may still begin a call sent to it.
    version = attempt.held_version if load is None else load.find_version(model)
    return 0 < version < floor
