"""Admission control as the gateway calls it: what arrives, and what is sent."""

from tamaracktray.call_estimates import estimate_call_cost
from tamaracktray.calls import Call
from tamaracktray.gateway_fleet import choose
from tamaracktray.gateway_state import GatewayContext, PendingCall
from tamaracktray.placement import count_free_slots

# Share of an endpoint's slots that calls beyond their rank's share leave free. Urgent
# calls wait for only a fraction of their objective, in which an entry with few slots
# often sees none become free.
RESERVED_SLOT_SHARE = 1 / 12


def may_enter(context: GatewayContext, now: float, pending: PendingCall) -> bool:
    """Return whether a call that arrived is admitted.

    A call beyond its rank's share is still admitted while slots are free beyond the
    reserved ones. Otherwise an entry that sheds too much would measure fewer starts
    and shed even more.
    """
    call = pending.call
    bands = context.state.find_bands(call.route.name)
    is_admitted = context.state.admission.admit(
        now,
        call,
        _measure_cost(context, call),
        is_underserved=call.size > 0 and bands.is_underserved(call.size),
    )
    if is_admitted:
        return True
    load = choose(context, now, pending)
    if load is None:
        return False
    reserved = int(load.record.max_batch * RESERVED_SLOT_SHARE)
    return count_free_slots(load, now) > reserved


def note_sent(context: GatewayContext, now: float, pending: PendingCall) -> None:
    """Record the first attempt of a call as started."""
    if pending.attempts == 1:
        cost_s = _measure_cost(context, pending.call)
        context.state.admission.note_started(now, pending.call, cost_s)


def _measure_cost(context: GatewayContext, call: Call) -> float:
    """Return the engine time of a call, in seconds, at most the time of its route.

    Callers state token counts themselves, and the shares of all ranks depend on them.
    """
    return min(estimate_call_cost(context, call), call.route.timeout_s)
