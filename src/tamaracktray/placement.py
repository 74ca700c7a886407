"""Choice of the endpoint for a call: capacity, weights, zones and distance.

The fleet ordinarily runs close to its capacity. An endpoint gets at most as many calls
as it processes at a time, so that no queue forms there: that queue could not be
reordered, and waiting in it is what makes calls miss their latency objectives.
"""

from collections.abc import Iterable, Mapping, Sequence

import msgspec

from tamaracktray.calls import Call
from tamaracktray.costs import estimate_duration
from tamaracktray.endpoint_loads import EndpointLoad
from tamaracktray.routes import Service
from tamaracktray.spillover.policy import LoadsByZone, SpilloverPolicy

# Time without data from an endpoint with calls in flight after which others are
# preferred, in seconds. A healthy engine sends data at least every fifth of a second,
# even during the prefill of other prompts.
SILENCE_THRESHOLD_S = 0.4

# Granularity in which overruns of a planned version swap are compared, in seconds.
OVERRUN_STEP_S = 0.25


# Penalty for sending a call to another availability zone or region, in running calls.
# Another call hardly slows an engine down, while links between regions are thin.
ZONE_DISTANCE = 1.0
REGION_DISTANCE = 5.0


# Batch slots that borrowing entries leave free for the endpoint's owner: an upper limit
# and a share of the batch. They cover the calls that the borrower does not know of yet.
BORROW_MARGIN = 3
BORROW_MARGIN_SHARE = 0.25


class PlacementContext(msgspec.Struct, frozen=True):
    """Inputs of placement other than the endpoints' loads.

    ``version_floor_by_model`` is the oldest version to which a call may be sent, and
    ``last_floor_by_model`` the oldest on which a call that was sent may still begin.
    """

    zone: str
    region_by_zone: Mapping[str, str]
    evacuated_zones: frozenset[str]
    services_by_name: Mapping[str, Service]
    version_floor_by_model: Mapping[str, int]
    last_floor_by_model: Mapping[str, int] = {}

    @property
    def region(self) -> str:
        """Return the region of this process."""
        return self.region_by_zone.get(self.zone, "")

    def measure_distance(self, zone: str) -> float:
        """Return the penalty for an availability zone, in running calls."""
        if zone == self.zone:
            return 0.0
        if self.region_by_zone.get(zone, "") == self.region:
            return ZONE_DISTANCE
        return REGION_DISTANCE


def is_eligible(
    call: Call, load: EndpointLoad, placement_context: PlacementContext
) -> bool:
    """Return whether an endpoint may run a call, regardless of its load."""
    record = load.record
    if record.service not in call.services or record.is_draining:
        return False
    if load.is_record_stale or load.is_superseded or load.is_leaving:
        return False
    if record.zone in placement_context.evacuated_zones:
        return False
    if (
        call.regions
        and placement_context.region_by_zone.get(record.zone) not in call.regions
    ):
        return False
    service = placement_context.services_by_name.get(record.service)
    if service is None:
        return False
    if service.engine is None or not call.model:
        return True
    loaded = record.find_model(call.model)
    if loaded is not None and not loaded.is_whole(service.engine.layers):
        return False
    floor = max(placement_context.version_floor_by_model.get(call.model, 0), 1)
    return load.find_version(call.model) >= floor


def is_available(
    now: float, call: Call, load: EndpointLoad, placement_context: PlacementContext
) -> bool:
    """Return whether an endpoint is eligible, not paused and not left to others."""
    if load.is_paused(now) or load.is_reserved(now):
        return False
    return is_eligible(call, load, placement_context)


def count_free_slots(load: EndpointLoad, now: float) -> int:
    """Return the free slots of an endpoint, 0 while it must get no calls."""
    if load.blocked_deadline > now:
        return 0
    return count_open_slots(load, now)


def count_open_slots(load: EndpointLoad, now: float) -> int:
    """Return the free slots of an endpoint, whether it has failed lately or not."""
    if load.is_swapping or load.is_paused(now):
        return 0
    if not load.has_cold_permit(now) or not load.has_limit_permit(now):
        return 0
    return max(count_usable_slots(load, now) - load.count_running(now), 0)


def count_usable_slots(load: EndpointLoad, now: float) -> int:
    """Return the slots of an endpoint, weighted by pace and less an owner's margin."""
    slots = load.pace.weight_slots(now, load.record.max_batch)
    if not load.is_owned:
        slots -= min(BORROW_MARGIN, int(slots * BORROW_MARGIN_SHARE))
    return slots


def list_with_capacity(loads: Iterable[EndpointLoad], now: float) -> list[EndpointLoad]:
    """Return the endpoints with free slots."""
    return [load for load in loads if count_free_slots(load, now)]


def choose_endpoint(
    now: float,
    call: Call,
    loads_by_zone: LoadsByZone,
    placement_context: PlacementContext,
    tried: frozenset[str],
    spillover: SpilloverPolicy,
    *,
    uses_other_zones: bool = True,
) -> EndpointLoad | None:
    """Return the endpoint with the lowest cost that has a free slot, or ``None``.

    ``spillover`` chooses the zones. Endpoints of a later group of zones are used only
    if all those of earlier groups are full, or silent or about to be swapped.
    Endpoints that are silent cost most, then those whose planned swap the call would
    delay; equal ones are compared by running calls plus the penalties for distance and
    borrowing, weighted by pace. Endpoints of the service selected for the call come
    first; the route's other services are used only if the selected one has no available
    endpoint. If none of the services has one that is not in ``tried``, the zones in no
    group are used, unless ``uses_other_zones`` is cleared.
    """
    groups = spillover.choose(now, call, loads_by_zone, placement_context)
    load, has_candidates = _choose_in_groups(
        now, call, loads_by_zone, groups, placement_context, tried
    )
    if has_candidates or not uses_other_zones:
        return load
    grouped = {zone for zones in groups for zone in zones}
    others = tuple(zone for zone in loads_by_zone if zone not in grouped)
    load, _ = _choose_in_groups(
        now, call, loads_by_zone, (others,), placement_context, tried
    )
    return load


def _choose_in_groups(
    now: float,
    call: Call,
    loads_by_zone: LoadsByZone,
    groups: Sequence[tuple[str, ...]],
    placement_context: PlacementContext,
    tried: frozenset[str],
) -> tuple[EndpointLoad | None, bool]:
    """Return the endpoint chosen in the groups, and whether any is available there."""
    has_candidates = False
    impaired: list[EndpointLoad] = []
    for service in call.services:
        for zones in groups:
            candidates = [
                load
                for zone in zones
                for load in loads_by_zone.get(zone, ())
                if load.record.service == service
                and load.record.id not in tried
                and is_available(now, call, load, placement_context)
            ]
            has_candidates = has_candidates or bool(candidates)
            best = _choose_cheapest(now, call, candidates, placement_context)
            if best is None:
                continue
            if not any(_measure_impairment(now, call, best, placement_context)):
                return best, True
            impaired.append(best)
        if has_candidates:
            break
    best = min(
        impaired,
        key=lambda load: _measure_impairment(now, call, load, placement_context),
        default=None,
    )
    return best, has_candidates


def _choose_cheapest(
    now: float,
    call: Call,
    candidates: list[EndpointLoad],
    placement_context: PlacementContext,
) -> EndpointLoad | None:
    best: EndpointLoad | None = None
    best_cost = (True, 0, 0.0)
    for load in candidates:
        if not count_free_slots(load, now):
            continue
        distance = (
            placement_context.measure_distance(load.record.zone) + load.borrow_penalty
        )
        is_silent, overrun = _measure_impairment(now, call, load, placement_context)
        running = load.count_running(now) + distance
        cost = (is_silent, overrun, load.pace.weight_cost(now, running))
        if best is None or cost < best_cost:
            best, best_cost = load, cost
    return best


def _measure_impairment(
    now: float, call: Call, load: EndpointLoad, placement_context: PlacementContext
) -> tuple[bool, int]:
    """Return whether an endpoint is silent, and the overrun of its swap in steps."""
    overrun_s = _measure_overrun(now, call, load, placement_context)
    is_silent = load.measure_silence(now) > SILENCE_THRESHOLD_S
    return is_silent, int(overrun_s / OVERRUN_STEP_S)


def _measure_overrun(
    now: float, call: Call, load: EndpointLoad, placement_context: PlacementContext
) -> float:
    """Return how long a call would delay a planned version swap, in seconds.

    Once ordered to swap, an engine accepts no calls until its longest one has ended.
    """
    service = placement_context.services_by_name.get(load.record.service)
    if load.swap_at is None or service is None or service.engine is None:
        return 0.0
    return max(now + estimate_duration(call, service.engine) - load.swap_at, 0.0)
