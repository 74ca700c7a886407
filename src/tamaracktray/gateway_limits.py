"""An entry's handling of the limits that endpoints name."""

from collections.abc import Mapping

from tamaracktray.effects import Effect
from tamaracktray.endpoint_limits import (
    REPORT_TTL_S,
    EndpointLimitReceived,
    LimitShare,
    LogLimit,
    bound_limit,
    count_senders,
    create_limit,
    is_valid_limit,
    share_limit,
)
from tamaracktray.endpoint_loads import EndpointLoad
from tamaracktray.gateway import refuse_unavailable
from tamaracktray.gateway_state import GatewayContext, GatewayState
from tamaracktray.hashing import count_ranked_before
from tamaracktray.node_events import BroadcastBeacon


def handle_limit(context: GatewayContext, event: EndpointLimitReceived) -> list[Effect]:
    """Observe the limit that an answer named, or drop it if the answer named none.

    An answer to a request from before the limit was named doesn't end it, since answers
    may overtake each other. An unreadable limit changes nothing.
    """
    now, rate_per_s = event.now, event.rate_per_s
    load = context.state.loads_by_id.get(event.endpoint_id)
    if load is None:
        return []
    if rate_per_s is None:
        return _end_limit(load, event.sent_at)
    if not is_valid_limit(rate_per_s):
        return [LogLimit(event.endpoint_id, rate_per_s, is_valid=False)]
    is_changed = _set_limit(context, now, load, rate_per_s)
    load.limit.named_at = now
    if not is_changed:
        return []
    note = LogLimit(
        event.endpoint_id,
        rate_per_s,
        load.limit.budget.rate if load.limit.is_sender else 0.0,
        load.count_recent(now),
    )
    return [note, BroadcastBeacon(), *refuse_unavailable(context, now)]


def _end_limit(load: EndpointLoad, sent_at: float) -> list[Effect]:
    limit = load.limit
    if limit is None or limit.named_at is None or sent_at <= limit.named_at:
        return []
    load.limit = None
    return [LogLimit(load.record.id)]


def _set_limit(
    context: GatewayContext, now: float, load: EndpointLoad, rate_per_s: float
) -> bool:
    """Set an endpoint's limit; return whether it is new or has changed."""
    share = _find_share(context, load, rate_per_s)
    known = load.limit
    rate_per_s = bound_limit(rate_per_s)
    if known is None:
        load.limit = create_limit(now, rate_per_s, load.count_recent(now), share)
        return True
    is_changed = known.rate_per_s != rate_per_s
    known.rate_per_s = rate_per_s
    share_limit(now, known, share)
    return is_changed


def merge_peer_limits(
    context: GatewayContext, now: float, rates_by_id: Mapping[str, float]
) -> None:
    """Observe the limits that a peer reports."""
    for endpoint_id, rate_per_s in rates_by_id.items():
        load = context.state.loads_by_id.get(endpoint_id)
        if load is None:
            continue
        if load.limit is None or load.limit.named_at is None:
            _set_limit(context, now, load, rate_per_s)
        load.limit.report_deadline = now + REPORT_TTL_S


def list_limits(state: GatewayState, now: float) -> dict[str, float]:
    """Return the limits that endpoints lately named to this entry, for its peers."""
    return {
        endpoint_id: load.limit.rate_per_s
        for endpoint_id, load in state.loads_by_id.items()
        if load.limit is not None and load.limit.is_reported(now)
    }


def update_limit_shares(context: GatewayContext, now: float) -> None:
    """Update this entry's shares after a change of ownership or of the entries."""
    for load in context.state.loads_by_id.values():
        if load.limit is not None:
            share = _find_share(context, load, load.limit.rate_per_s)
            share_limit(now, load.limit, share)


def _find_share(
    context: GatewayContext, load: EndpointLoad, rate_per_s: float
) -> LimitShare:
    state, services = context.state, context.placement_context.services_by_name
    service = services.get(load.record.service)
    peers = [entry.name for entry in state.entries if entry.name != state.name]
    entries = len(peers) + 1
    rank = count_ranked_before(state.name, peers, load.record.id)
    if service is not None and service.engine is not None:
        # The owner ranks first, whatever the hash.
        return LimitShare(0 if load.is_owned else rank + 1, 1, entries)
    return LimitShare(rank, count_senders(rate_per_s, entries), entries)
