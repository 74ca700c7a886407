"""Endpoints of an entry: ownership, cold limits and eligibility for a call."""

from tamaracktray.budgets import PermitBucket
from tamaracktray.calls import Call, FleetView
from tamaracktray.endpoint_loads import EndpointLoad
from tamaracktray.endpoint_pace.levels import USUAL_PACE
from tamaracktray.gateway_crashes import is_quarantined, list_avoided, note_leaving
from tamaracktray.gateway_state import (
    USABLE_LIMIT_SHARE,
    GatewayContext,
    GatewayState,
    PendingCall,
)
from tamaracktray.ownership import FleetNode, find_owned_endpoints
from tamaracktray.placement import (
    choose_endpoint,
    is_available,
    is_eligible,
    list_with_capacity,
)
from tamaracktray.roster import EndpointRecord
from tamaracktray.routes import Service

# Largest number of entries that share the limit of a cold endpoint, since each needs at
# least one call a second. In a larger fleet only the endpoint's owner sends it calls;
# two entries may both act as owner while ownership changes.
MAX_COLD_SENDERS = 12
OWNERS_DURING_HANDOVER = 2


def apply_roster(
    context: GatewayContext, now: float, records_by_id: dict[str, EndpointRecord]
) -> None:
    """Apply a new endpoint list, keeping the load state of endpoints that remain."""
    state = context.state
    loads: dict[str, EndpointLoad] = {}
    for endpoint_id, record in records_by_id.items():
        load = state.loads_by_id.get(endpoint_id)
        if load is None or load.record.start_time_ms != record.start_time_ms:
            load = EndpointLoad(record)
            load.cold_deadline = now + record.cold_s
        if load.record is not record:
            load.replace_record(record)
            load.cold_deadline = now + record.cold_s
        state.apply_notices(load)
        loads[endpoint_id] = load
    state.replace_loads(loads)
    note_leaving(context)
    state.notices.expire(now, records_by_id)
    update_ownership(context)


def update_ownership(context: GatewayContext) -> None:
    """Update which of the engines that can serve now are owned by this entry.

    Does nothing while the inputs of the assignment are unchanged.
    """
    state, services = context.state, context.placement_context.services_by_name
    usable_by_service = {
        name: _list_usable(context, service)
        for name, service in services.items()
        if service.engine is not None
    }
    ownership_inputs = (state.entries, state.peer_count, services, usable_by_service)
    if ownership_inputs == state.ownership_inputs:
        return
    state.ownership_inputs = ownership_inputs
    state.spillover.update_entries(state.entries)
    if state.entries:
        owned: set[str] = set()
        for usable in usable_by_service.values():
            owned.update(find_owned_endpoints(state.name, state.entries, usable))
        state.owned_ids = frozenset(owned)
    for endpoint_id, load in state.loads_by_id.items():
        service = services.get(load.record.service)
        is_engine = service is not None and service.engine is not None
        is_owned = endpoint_id in state.owned_ids or not is_engine
        load.set_owned(state.name, is_owned=is_owned)
        _update_cold_limit(state, load, service)


def _list_usable(context: GatewayContext, service: Service) -> list[FleetNode]:
    """Return the engines of a service that can be sent calls."""
    placement_context = context.placement_context
    models = [model.name for model in service.engine.models]
    return [
        FleetNode(
            load.record.id, placement_context.region_by_zone.get(load.record.zone, "")
        )
        for load in context.state.loads_by_id.values()
        if load.record.service == service.name
        and not load.record.is_draining
        and not load.is_record_stale
        and not load.is_superseded
        and not load.is_leaving
        and load.record.zone not in placement_context.evacuated_zones
        and any(load.find_version(model) for model in models)
    ]


def _update_cold_limit(
    state: GatewayState, load: EndpointLoad, service: Service | None
) -> None:
    """Limit the rate at which this process sends calls to a cold endpoint.

    A warm endpoint needs no such limit: it gets no more calls than it processes at a
    time, which is a lower rate than the limit of a cold one.
    """
    if service is None or not service.cold_rate:
        load.cold_budget = None
        return
    senders = state.peer_count + 1
    if senders > MAX_COLD_SENDERS:
        senders = OWNERS_DURING_HANDOVER if load.is_owned else 0
    share = USABLE_LIMIT_SHARE / senders if senders else 0.0
    minimum = min(float(senders), 1.0)
    rate = max(service.cold_rate * share, minimum)
    burst = max(state.bounds.cold_burst * share, minimum)
    if load.cold_budget is None:
        load.cold_budget = PermitBucket(rate, burst)
        return
    load.cold_budget.resize(rate, burst)


def is_barred(context: GatewayContext, now: float, pending: PendingCall) -> bool:
    """Return whether a call gets no further attempt at any endpoint."""
    return pending.revocation is not None or is_quarantined(context, now, pending)


def choose(
    context: GatewayContext, now: float, pending: PendingCall, excluded_id: str = ""
) -> EndpointLoad | None:
    """Return the endpoint for a call, ``None`` if none is available with capacity.

    A call that can stay at an attempt is not refused if no endpoint takes it, so it is
    not sent to zones outside those that spill-over names.
    """
    if is_barred(context, now, pending):
        return None
    has_attempt = bool(excluded_id or pending.parked_by_id)
    return choose_endpoint(
        now,
        pending.call,
        context.state.loads_by_zone,
        context.placement_context,
        list_avoided(context, pending) | {excluded_id},
        context.state.spillover,
        uses_other_zones=not has_attempt,
    )


def has_eligible(context: GatewayContext, pending: PendingCall) -> bool:
    """Return whether any endpoint is eligible for a call, paused or not."""
    avoided = list_avoided(context, pending)
    return any(
        load.record.id not in avoided
        and is_eligible(pending.call, load, context.placement_context)
        for load in context.state.loads_by_id.values()
    )


def has_available(context: GatewayContext, now: float, pending: PendingCall) -> bool:
    """Return whether any endpoint is eligible for a call and not paused."""
    if is_barred(context, now, pending):
        return False
    avoided = list_avoided(context, pending)
    return any(
        load.record.id not in avoided
        and is_available(now, pending.call, load, context.placement_context)
        for load in context.state.loads_by_id.values()
    )


def has_free_slot(context: GatewayContext, now: float, call: Call) -> bool:
    """Return whether an endpoint that may run a call has a free slot."""
    return any(
        is_eligible(call, load, context.placement_context)
        for load in list_with_capacity(context.state.loads_by_id.values(), now)
    )


def find_pause_end(context: GatewayContext, now: float, call: Call) -> float | None:
    """Return when the first pause among the eligible endpoints ends.

    Returns ``None`` if no endpoint is eligible or one of them is not paused.
    """
    earliest_end: float | None = None
    for load in context.state.loads_by_id.values():
        if not is_eligible(call, load, context.placement_context):
            continue
        if not load.is_paused(now):
            return None
        if earliest_end is None or load.pause_deadline < earliest_end:
            earliest_end = load.pause_deadline
    return earliest_end


def view_fleet(context: GatewayContext, now: float, pending: PendingCall) -> FleetView:
    """Return the counts on which the decision on a call is based, for the log."""
    call = pending.call
    listed = eligible = blocked = paused = swapping = running = slow = saturated = 0
    for load in context.state.loads_by_id.values():
        if load.record.service not in call.services:
            continue
        listed += 1
        if not is_eligible(call, load, context.placement_context):
            continue
        eligible += 1
        blocked += load.blocked_deadline > now
        paused += load.is_paused(now)
        swapping += load.is_swapping
        slow += load.pace.measure(now) > USUAL_PACE
        saturated += load.pace.is_saturated(now, load.record.max_batch)
        running += load.count_running(now)
    floor = context.placement_context.version_floor_by_model.get(call.model, 0)
    waiting = len(context.state.waiting)
    promised = context.state.reentry.count_promised(now, call.services[0])
    return FleetView(
        listed,
        eligible,
        blocked,
        paused,
        swapping,
        running,
        waiting,
        floor,
        slow,
        saturated,
        promised,
    )
