"""Attempts that calls have left, and how calls go back to them.

A call leaves an endpoint that is silent, although the endpoint may be sound and go on.
Its attempt is parked: it ends only once another endpoint has begun to answer. Whatever
prevents that meanwhile, the call goes back to the attempt, and so it does if the
endpoint goes on first.
"""

from collections.abc import Callable

from tamaracktray.calls import (
    AttemptResumed,
    CallAttemptEnded,
    EndParkedAttempt,
    ResumeAttempt,
)
from tamaracktray.effects import Effect
from tamaracktray.gateway_state import GatewayContext
from tamaracktray.pending_calls import ParkedAttempt, PendingCall


def resume_parked(
    context: GatewayContext, now: float, pending: PendingCall
) -> list[Effect]:
    """Go back to the attempt that a call left last, if there is a parked one."""
    if not pending.parked_by_id:
        return []
    endpoint_id = next(reversed(pending.parked_by_id))
    context.state.waiting.remove(pending.call.id)
    pending.resume(endpoint_id)
    return [ResumeAttempt(pending.call.id, endpoint_id, now - pending.sent_at)]


def take_resumed(context: GatewayContext, event: AttemptResumed) -> None:
    """Keep to an attempt that went on by itself although its call had left it.

    A parked one becomes the only one of its call.
    """
    state = context.state
    pending = state.pending_by_id.get(event.call_id)
    if pending is None or not may_resume(context, event.call_id, event.endpoint_id):
        return
    state.release(pending)
    state.waiting.remove(event.call_id)
    if event.endpoint_id != pending.endpoint_id:
        load = state.loads_by_id.get(pending.endpoint_id)
        if load is not None:
            load.note_ended()
        pending.resume(event.endpoint_id)
        state.drop_parked(pending)
    pending.is_abandoned = False
    pending.left_id = ""


def may_resume(context: GatewayContext, call_id: str, endpoint_id: str) -> bool:
    """Return whether the answer of a call's attempt may still reach its caller."""
    pending = context.state.pending_by_id.get(call_id)
    if pending is None:
        return False
    return endpoint_id == pending.endpoint_id or endpoint_id in pending.parked_by_id


def note_parked_end(
    context: GatewayContext, pending: PendingCall, event: CallAttemptEnded
) -> None:
    """Forget a parked attempt that has ended by itself."""
    del pending.parked_by_id[event.endpoint_id]
    if event.is_reset and pending.left_id == event.endpoint_id:
        pending.left_id = ""
    load = context.state.loads_by_id.get(event.endpoint_id)
    if load is not None:
        load.note_ended()


def end_parked_attempts(
    context: GatewayContext,
    pending: PendingCall,
    reason: str,
    must_end: Callable[[ParkedAttempt], bool],
) -> list[Effect]:
    """End those parked attempts of a call that must not go on, or can't."""
    effects: list[Effect] = []
    for parked in list(pending.parked_by_id.values()):
        if not must_end(parked):
            continue
        del pending.parked_by_id[parked.endpoint_id]
        load = context.state.loads_by_id.get(parked.endpoint_id)
        if load is not None:
            load.note_ended()
        effects.append(EndParkedAttempt(pending.call.id, parked.endpoint_id, reason))
    return effects
