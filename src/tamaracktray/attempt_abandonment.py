"""Abandons attempts so that their calls can be retried at another endpoint.

A decision to send is carried out later, and a call may queue at its endpoint. The state
on which the decision was based may have changed by then.
"""

import msgspec

from tamaracktray.calls import AbandonAttempt, SendCall
from tamaracktray.effects import Effect
from tamaracktray.gateway_crashes import is_quarantined, suspect_endpoint
from tamaracktray.gateway_fleet import choose
from tamaracktray.gateway_state import GatewayContext, PendingCall
from tamaracktray.placement import is_available
from tamaracktray.routes import RepeatKind

# Silence of an endpoint after which its calls are retried elsewhere, in seconds: before
# the first part of an answer, and within a stream, whose reader tolerates pauses.
SILENCE_TIMEOUT_S = 0.5
STREAM_SILENCE_TIMEOUT_S = 0.7


def abandon_silent_attempts(context: GatewayContext, now: float) -> list[Effect]:
    """Abandon attempts at silent endpoints if another endpoint can take the call."""
    state = context.state
    silence_by_id: dict[str, float] = {}
    for endpoint_id, load in state.loads_by_id.items():
        silence = load.measure_silence(now)
        if silence > SILENCE_TIMEOUT_S:
            silence_by_id[endpoint_id] = silence
    if not silence_by_id:
        return []
    effects: list[Effect] = []
    for pending in state.pending_by_id.values():
        silence = silence_by_id.get(pending.endpoint_id, 0.0)
        timeout_s = (
            STREAM_SILENCE_TIMEOUT_S if pending.is_started else SILENCE_TIMEOUT_S
        )
        if silence <= timeout_s or pending.is_abandoned:
            continue
        if now - pending.sent_at <= timeout_s:
            continue
        if not _can_move(context, now, pending):
            continue
        pending.is_abandoned = True
        effects.append(AbandonAttempt(pending.call.id, "endpoint is silent"))
        effects.extend(suspect_endpoint(context, now, pending, pending.endpoint_id))
    return effects


def _can_move(context: GatewayContext, now: float, pending: PendingCall) -> bool:
    """Return whether a call may be retried and another endpoint can take it now."""
    route = pending.call.route
    if pending.is_started and route.kind is not RepeatKind.STREAM:
        return False
    if not route.is_idempotent or pending.attempts >= route.max_attempts:
        return False
    return choose(context, now, pending, pending.endpoint_id) is not None


def is_resumable(context: GatewayContext, now: float, call_id: str) -> bool:
    """Return whether a stalled stream can be resumed at another endpoint now."""
    pending = context.state.pending_by_id.get(call_id)
    return pending is not None and _can_move(context, now, pending)


def abandon_outdated_attempts(context: GatewayContext) -> list[Effect]:
    """Abandon attempts that have not begun at endpoints with an outdated version."""
    state = context.state
    effects: list[Effect] = []
    for pending in state.pending_by_id.values():
        if not pending.endpoint_id or pending.is_answer_started or pending.is_abandoned:
            continue
        if not _is_outdated(context, pending):
            continue
        pending.is_abandoned = True
        effects.append(AbandonAttempt(pending.call.id, "version is too old"))
    return effects


def abandon_quarantined_attempts(context: GatewayContext, now: float) -> list[Effect]:
    """Abandon attempts that have not begun and hold a quarantined prompt part."""
    if context.part_crashes.is_empty:
        return []
    effects: list[Effect] = []
    for pending in context.state.pending_by_id.values():
        if not pending.endpoint_id or pending.is_answer_started or pending.is_abandoned:
            continue
        end = context.part_crashes.find_prompt_quarantine_end(now, pending.call.parts)
        if end is None:
            continue
        pending.is_abandoned = True
        effects.append(AbandonAttempt(pending.call.id, "prompt part is quarantined"))
    return effects


def is_sendable(context: GatewayContext, now: float, decision: SendCall) -> bool:
    """Return whether a decision to send is still valid once the connection is open."""
    pending = context.state.pending_by_id.get(decision.call_id)
    if pending is None or pending.endpoint_id != decision.endpoint_id:
        return False
    load = context.state.loads_by_id.get(decision.endpoint_id)
    if load is None or pending.is_abandoned or is_quarantined(context, now, pending):
        return False
    # A call already assigned may begin on the oldest version that is still allowed.
    floors = context.placement_context.last_floor_by_model
    placement_context = msgspec.structs.replace(
        context.placement_context, version_floor_by_model=floors
    )
    return is_available(now, pending.call, load, placement_context)


def _is_outdated(context: GatewayContext, pending: PendingCall) -> bool:
    """Return whether the endpoint's version is too old for the call to begin there."""
    model = pending.call.model
    floor = context.placement_context.last_floor_by_model.get(model, 0)
    if not floor:
        return False
    load = context.state.loads_by_id.get(pending.endpoint_id)
    # An endpoint that is no longer listed may still begin a call sent to it.
    version = pending.held_version if load is None else load.find_version(model)
    return 0 < version < floor
