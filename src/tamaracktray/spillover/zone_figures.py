"""Slots and free slots of zones for one kind of call, and the shares that follow."""

from collections.abc import Iterable, Mapping

import msgspec

from tamaracktray.calls import Call
from tamaracktray.endpoint_loads import EndpointLoad
from tamaracktray.placement import (
    PlacementContext,
    count_free_slots,
    count_usable_slots,
    is_available,
)

# Shares of the own region's slots that are free: calls begin to leave early below the
# first and stop above the second. At 1/12, one slot of an engine's usual batch is free.
START_FREE_SHARE = 1 / 12
STOP_FREE_SHARE = 1 / 4

# Largest share of the calls that leaves while the own region still has free slots. Each
# of them costs traffic between regions, though it could have been served at home.
MAX_EARLY_SHARE = 1 / 8


class ZoneFigures(msgspec.Struct):
    """Slots that this entry may use, how many are free, and how many of these it owns.

    The margin that borrowers leave to an endpoint's owner is not counted.
    """

    slots: int = 0
    free_slots: int = 0
    owned_free_slots: int = 0

    @property
    def free_share(self) -> float:
        """The share of the slots that is free, 0 without slots."""
        return self.free_slots / self.slots if self.slots else 0.0

    def add(self, other: "ZoneFigures") -> None:
        """Add the figures of another zone."""
        self.slots += other.slots
        self.free_slots += other.free_slots
        self.owned_free_slots += other.owned_free_slots


def measure_zone(
    now: float,
    call: Call,
    loads: Iterable[EndpointLoad],
    placement_context: PlacementContext,
) -> ZoneFigures:
    """Return the figures of the endpoints that are available for a call."""
    figures = ZoneFigures()
    for load in loads:
        if load.record.service != call.services[0]:
            continue
        if not is_available(now, call, load, placement_context):
            continue
        free_slots = count_free_slots(load, now)
        figures.slots += count_usable_slots(load, now)
        figures.free_slots += free_slots
        if load.is_owned:
            figures.owned_free_slots += free_slots
    return figures


def update_spilling(is_spilling: bool, home: ZoneFigures) -> bool:
    """Return whether calls leave early, with hysteresis."""
    if is_spilling:
        return home.free_share <= STOP_FREE_SHARE
    return home.free_share < START_FREE_SHARE


def compute_shares(
    home: ZoneFigures, weight_by_zone: Mapping[str, float]
) -> dict[str, float]:
    """Return the share of the calls that leaves early, by target zone.

    The weights are the free shares of the targets. The square keeps the shares small
    until the own region is nearly full, since every call that leaves costs traffic.
    """
    shortage = max(1.0 - home.free_share / STOP_FREE_SHARE, 0.0)
    total = sum(weight_by_zone.values())
    scale = MAX_EARLY_SHARE * shortage * shortage / max(total, 1.0)
    return {zone: scale * weight for zone, weight in weight_by_zone.items()}
