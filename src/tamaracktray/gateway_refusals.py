"""Final errors with which an entry answers calls that it doesn't serve."""

from tamaracktray.calls import (
    AbortAnswer,
    Call,
    RefuseCall,
    RelayFailure,
)
from tamaracktray.effects import Effect
from tamaracktray.gateway_crashes import find_quarantine_end
from tamaracktray.gateway_fleet import (
    find_pause_end,
    has_eligible,
    view_fleet,
)
from tamaracktray.gateway_state import (
    GatewayContext,
    PendingCall,
)
from tamaracktray.refusals import (
    BUSY_RETRY_S,
    NO_ENDPOINT_RETRY_S,
    NO_ENDPOINT_SPREAD_S,
    SCARCE_RETRY_S,
    SCARCE_SPREAD_S,
    compute_pause_delay,
    compute_quarantine_delay,
    refuse_busy,
    refuse_no_endpoint,
    refuse_paused,
    refuse_quarantined,
    refuse_unanswered,
    spread_retry_delay,
)
from tamaracktray.types import Refusal

# Share of served calls below which capacity counts as scarce.
SCARCE_SERVED_SHARE = 0.5


def refuse(
    context: GatewayContext,
    now: float,
    pending: PendingCall,
    *,
    is_shed: bool = False,
) -> list[Effect]:
    """End a call with an error; say "not run" only if no endpoint may have run it.

    ``is_shed`` is set if admission control refused the call on its arrival.
    """
    call = pending.call
    is_untouched = not pending.is_started and not pending.may_have_run
    if pending.revocation is not None and is_untouched:
        context.state.remove(call.id)
        context.state.waiting.remove(call.id)
        return [RefuseCall(call.id, pending.revocation)]
    view = view_fleet(context, now, pending)
    context.state.remove(call.id)
    context.state.waiting.remove(call.id)
    context.state.note_outcome(call, is_served=False)
    if pending.is_started:
        return [
            AbortAnswer(call.id, "the answer broke off and no endpoint can resume it")
        ]
    if pending.has_failed_answer:
        return [RelayFailure(call.id)]
    if pending.may_have_run:
        return [RefuseCall(call.id, refuse_unanswered(), view)]
    refusal = refuse_if_quarantined(context, now, call)
    if refusal is not None:
        return [RefuseCall(call.id, refusal, view)]
    pause_end = find_pause_end(context, now, call)
    if pause_end is not None:
        retry_after_s = compute_pause_delay(now, call, pause_end)
        return [RefuseCall(call.id, refuse_paused(retry_after_s), view)]
    if not has_eligible(context, pending):
        retry_after_s = spread_retry_delay(
            now, call, NO_ENDPOINT_RETRY_S, NO_ENDPOINT_SPREAD_S
        )
        return [RefuseCall(call.id, refuse_no_endpoint(retry_after_s), view)]
    retry_after_s = _choose_retry_delay(context, now, pending)
    if not is_shed:
        context.state.admission.note_refused(now, call)
    return [RefuseCall(call.id, refuse_busy(retry_after_s), view, is_shed)]


def refuse_if_quarantined(
    context: GatewayContext, now: float, call: Call, *, is_trial: bool = False
) -> Refusal | None:
    """Return the refusal of a call whose request is quarantined, or ``None``."""
    quarantine_end = find_quarantine_end(context, now, call, is_trial=is_trial)
    if quarantine_end is None:
        return None
    verdict_s = context.crashes.verdict_s
    return refuse_quarantined(
        compute_quarantine_delay(now, call, quarantine_end, verdict_s)
    )


def _choose_retry_delay(
    context: GatewayContext, now: float, pending: PendingCall
) -> float:
    """Return the retry delay for a caller refused for lack of capacity, in seconds."""
    call = pending.call
    served_rate = context.state.served_rate_by_service.get(call.services[0])
    if served_rate is None or served_rate.value >= SCARCE_SERVED_SHARE:
        return BUSY_RETRY_S
    if _promises_places(context, now, call.services[0]):
        rank = (call.priority, call.route.priority)
        return context.state.reentry.choose_retry_delay(
            now, call, rank, pending.prior_wait_s
        )
    return spread_retry_delay(now, call, SCARCE_RETRY_S, SCARCE_SPREAD_S)


def _promises_places(context: GatewayContext, now: float, service_name: str) -> bool:
    """Return whether places are promised to callers of a service.

    They are only where its routes differ in priority: in other deployments, new
    callers lose more answers in time than retrying ones gain. Nor are they while an
    engine loads a new version, since its slots return within seconds.
    """
    if not context.state.admission.has_ranked_routes(now, service_name):
        return False
    service = context.placement_context.services_by_name.get(service_name)
    if service is None or service.engine is None:
        return False
    return not any(
        load.is_swapping and load.record.service == service_name
        for load in context.state.loads_by_id.values()
    )
