"""Estimates of a call's times by the engines of its service."""

from tamaracktray.calls import Call
from tamaracktray.costs import estimate_cost, estimate_prefill
from tamaracktray.gateway_state import GatewayContext


def estimate_call_cost(context: GatewayContext, call: Call) -> float:
    """Return the engine time that a call takes, in seconds; 0 if it is unknown."""
    service = context.placement_context.services_by_name.get(call.services[0])
    if service is None or service.engine is None:
        return 0.0
    return estimate_cost(call, service.engine)


def estimate_call_prefill(context: GatewayContext, call: Call) -> float:
    """Return the time that reading a call's prompt takes, in seconds; 0 if unknown."""
    service = context.placement_context.services_by_name.get(call.services[0])
    if service is None or service.engine is None:
        return 0.0
    return estimate_prefill(call, service.engine)


def estimate_call_start(context: GatewayContext, call: Call) -> float:
    """Return the time from sending a call to the start of its answer, in seconds."""
    delay_s = context.state.start_delay_by_service.get(call.services[0], 0.0)
    return delay_s + estimate_call_prefill(context, call)
