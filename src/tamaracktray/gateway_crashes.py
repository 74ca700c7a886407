"""An entry's handling of requests that crash the endpoints which run them."""

from tamaracktray.effects import Effect
from tamaracktray.gateway_state import GatewayContext, PendingCall
from tamaracktray.placement import EndpointLoad
from tamaracktray.suspicions import Incarnation, ListedEndpoint

# Silence of an endpoint after which it may have crashed, in seconds.
SUSPECT_SILENCE_S = 0.5


def suspect_endpoint(
    context: GatewayContext, now: float, pending: PendingCall, endpoint_id: str
) -> list[Effect]:
    """Suspect a call's request of having crashed an endpoint.

    Endpoints that had announced that they are leaving are not suspected.
    """
    if pending.is_endpoint_leaving:
        return []
    endpoint = Incarnation(endpoint_id, pending.start_time_ms)
    return list(context.crashes.suspect(now, pending.call.fingerprint, endpoint))


def suspect_on_disconnect(
    context: GatewayContext, now: float, pending: PendingCall, endpoint_id: str
) -> list[Effect]:
    """Handle the loss of a call's connection.

    The list entry of a crashed endpoint outlives it, so an endpoint that is no longer
    listed has shut down in an orderly way.
    """
    if endpoint_id not in context.state.loads_by_id:
        return []
    return suspect_endpoint(context, now, pending, endpoint_id)


def suspect_on_silence(
    context: GatewayContext, now: float, pending: PendingCall
) -> list[Effect]:
    """Handle the end of a call whose endpoint was silent."""
    if now - pending.sent_at <= SUSPECT_SILENCE_S:
        return []
    load = context.state.loads_by_id.get(pending.endpoint_id)
    if load is not None and load.measure_silence(now) <= SUSPECT_SILENCE_S:
        return []
    return suspect_endpoint(context, now, pending, pending.endpoint_id)


def note_leaving(context: GatewayContext) -> None:
    """Mark the calls in flight at endpoints that have announced that they leave."""
    loads = context.state.loads_by_id
    for pending in context.state.pending_by_id.values():
        load = loads.get(pending.endpoint_id)
        if load is not None and _is_leaving(load):
            pending.is_endpoint_leaving = True


def evaluate_suspicions(
    context: GatewayContext, now: float, responsive_ids: frozenset[str]
) -> list[Effect]:
    """Update suspicions from the endpoint list and from received data."""
    if context.crashes.is_empty:
        return []
    loads = context.state.loads_by_id
    listed = {
        endpoint_id: _describe(loads[endpoint_id])
        for endpoint_id in context.crashes.list_endpoints()
        if endpoint_id in loads
    }
    return list(
        context.crashes.evaluate(now, listed, responsive_ids, context.list_valid_from)
    )


def _describe(load: EndpointLoad) -> ListedEndpoint:
    return ListedEndpoint(load.record.start_time_ms, _is_leaving(load))


def _is_leaving(load: EndpointLoad) -> bool:
    return load.is_leaving or load.record.is_draining


def list_avoided(context: GatewayContext, pending: PendingCall) -> frozenset[str]:
    """Return the ids of the endpoints that a call must not be sent to.

    Those are the ones already tried and those that its request may have crashed.
    """
    avoided = context.crashes.list_avoided(pending.call.fingerprint)
    if not avoided:
        return frozenset(pending.tried)
    loads = context.state.loads_by_id
    suspected_ids = {
        endpoint.endpoint_id
        for endpoint in avoided
        if endpoint.endpoint_id in loads
        and loads[endpoint.endpoint_id].record.start_time_ms == endpoint.start_time_ms
    }
    return frozenset(pending.tried | suspected_ids)


def is_quarantined(context: GatewayContext, now: float, pending: PendingCall) -> bool:
    """Return whether a call's request is quarantined."""
    return (
        context.crashes.find_quarantine_end(now, pending.call.fingerprint) is not None
    )
