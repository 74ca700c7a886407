"""The answers of a process that is about to exit."""

from tamaracktray.calls import AbandonAttempt
from tamaracktray.effects import Effect
from tamaracktray.gateway_refusals import refuse
from tamaracktray.gateway_state import GatewayContext
from tamaracktray.parked_attempts import end_parked_attempts

# Reason for ending attempts whose callers have got nothing.
PROCESS_ENDING = "the process is ending"


def end_unanswered_calls(context: GatewayContext, now: float) -> list[Effect]:
    """End the calls whose callers have got nothing, once the process is ending."""
    if not context.is_ending:
        return []
    effects: list[Effect] = []
    for pending in list(context.state.pending_by_id.values()):
        if pending.is_started or pending.is_abandoned:
            continue
        if not pending.endpoint_id:
            effects.extend(refuse(context, now, pending))
            continue
        effects.extend(
            end_parked_attempts(context, pending, PROCESS_ENDING, lambda item: True)
        )
        pending.is_abandoned = True
        effects.append(AbandonAttempt(pending.call.id, PROCESS_ENDING))
    return effects
