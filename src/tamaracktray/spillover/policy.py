"""Interface of spill-over policies, and the policy that goes by distance alone."""

from abc import ABC, abstractmethod
from collections.abc import Iterable, Mapping, Sequence
from typing import TYPE_CHECKING

from typing_extensions import override

from tamaracktray.calls import Call
from tamaracktray.effects import Effect
from tamaracktray.endpoint_loads import EndpointLoad
from tamaracktray.ownership import FleetNode

if TYPE_CHECKING:
    from tamaracktray.placement import PlacementContext

LoadsByZone = Mapping[str, Sequence[EndpointLoad]]


class LogSpillover(Effect, frozen=True):
    """Log that calls of a service begin to leave the region early, or no longer do.

    ``slots`` and ``free_slots`` are of the own region. ``share_by_zone`` are the shares
    of the calls that each target zone gets while the own region still has free slots.
    """

    service: str
    model: str
    is_spilling: bool
    slots: int
    free_slots: int
    share_by_zone: dict[str, float]


class SpilloverPolicy(ABC):
    """Decides in which zones an endpoint for a call is looked for."""

    @abstractmethod
    def choose(
        self,
        now: float,
        call: Call,
        loads_by_zone: LoadsByZone,
        placement_context: "PlacementContext",
    ) -> Sequence[tuple[str, ...]]:
        """Return the groups of zones that may serve a call, in the order of choice.

        A group is used only if no earlier one has a free slot for the call. Placement
        uses zones in no group only for a call that has no other endpoint left to try.
        """

    def note_sent(self, call: Call, zone: str) -> bool:
        """Record the zone that a call is sent to; return whether the call spilled."""
        return False

    def note_report(self, now: float, peer: str) -> None:
        """Record that a peer has reported its calls at the endpoints."""
        return

    def note_start_delay(
        self, now: float, service: str, zone: str, delay_s: float
    ) -> None:
        """Record the time until an answer from a zone began, excluding prefill."""
        return

    def update_entries(self, entries: Iterable[FleetNode]) -> None:
        """Replace the reachable entries, this one included."""
        return

    def take_changes(self) -> list[LogSpillover]:
        """Return the changes since the last call."""
        return []


class ZonePreference(SpilloverPolicy):
    """Lets all zones compete; placement adds their distances to their loads."""

    __slots__ = ()

    @override
    def choose(
        self,
        now: float,
        call: Call,
        loads_by_zone: LoadsByZone,
        placement_context: "PlacementContext",
    ) -> Sequence[tuple[str, ...]]:
        return (tuple(loads_by_zone),)
