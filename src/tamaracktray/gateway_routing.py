"""Applies another routing table to an entry: its open calls and stated waits."""

import msgspec
from returns.result import Failure

from tamaracktray.call_binding import rebind_call
from tamaracktray.calls import CallArrived, RefuseCall
from tamaracktray.effects import Effect
from tamaracktray.gateway import give_up, handle_call
from tamaracktray.gateway_state import GatewayContext
from tamaracktray.routes import RouteIndex


def rebind_calls(
    context: GatewayContext, now: float, index: RouteIndex
) -> list[Effect]:
    """Bind the open calls to another routing table and end those that it forbids.

    An attempt in flight, or a parked one, ends by itself: it is withdrawn if it has not
    been sent, and otherwise its answer is still relayed. Waits stated on routes that
    the table doesn't have are forgotten.
    """
    state = context.state
    state.stated_waits.retain(route.name for route in index.table.routes)
    effects: list[Effect] = []
    for pending in list(state.pending_by_id.values()):
        bound = rebind_call(pending.call, index)
        if isinstance(bound, Failure):
            pending.revocation = bound.failure()
            if not pending.endpoint_id:
                effects.extend(give_up(context, now, pending))
            continue
        pending.revocation = None
        pending.call = bound.unwrap()
        state.waiting.replace(pending.call)
    return effects


def handle_arrival(context: GatewayContext, event: CallArrived) -> list[Effect]:
    """Handle a call that may have been built with an earlier routing table."""
    call, index = event.call, context.index
    if index is None or call.routing_version == index.table.version:
        return handle_call(context, event)
    bound = rebind_call(call, index)
    if isinstance(bound, Failure):
        return [RefuseCall(call.id, bound.failure())]
    return handle_call(context, msgspec.structs.replace(event, call=bound.unwrap()))
