"""When versions of weights were named, and which of them are due.

A version is owed within a bound after its naming, also when a newer one has been named
since. Processes tell each other how long ago they learned of a naming, so that one that
started later, or was cut off meanwhile, counts from the same moment.
"""

from bisect import bisect_left
from collections.abc import Mapping

import msgspec

# Time before a version is due from which calls go to it only, in seconds: a call may
# take that long to reach its endpoint over a full link and to begin there.
VERSION_MARGIN_S = 0.7

# Time before a version is due by which calls that have not begun on an older one are
# taken away from their endpoint, in seconds: a tick, the way there, and what the naming
# may have taken to become known.
LAST_MARGIN_S = 0.3

# Time in which peers tell a process that has just started how old the namings are, in
# seconds: three of the beacons that each sends at least.
FLOOR_WAIT_S = 1.5

# Difference below which two moments of a naming count as the same, in seconds: what a
# beacon takes to arrive varies by less.
SAME_NAMING_S = 0.02

# Difference between the clocks of two instances that is allowed for, in seconds.
CLOCK_MARGIN_S = 0.2

# Namings of a model that are kept: one that is due and newer ones that are not yet.
KEPT_NAMINGS = 8

# Versions and how long ago they were named in seconds, by model.
Ages = Mapping[str, list[tuple[int, float]]]


class Naming(msgspec.Struct, frozen=True):
    """When a version was named, in monotonic seconds.

    ``named_at`` is ``None`` for a version of which nobody could tell that yet. Peers
    are given until ``wait_deadline`` to tell its age. With ``is_recorded`` it follows
    from a record and the wall clock.
    """

    version: int
    named_at: float | None
    wait_deadline: float = 0.0
    is_recorded: bool = False


class Namings:
    """The namings that one process knows of.

    Versions that only peers can tell the age of count as due from a deadline on, if
    none has told it by then: all processes may have started anew.
    """

    __slots__ = (
        "_bound_s",
        "_floor_deadline",
        "_namings_by_model",
        "_peer_floor_by_model",
    )

    def __init__(self, now: float, bound_s: float) -> None:
        self._bound_s = bound_s
        self._floor_deadline = now + FLOOR_WAIT_S
        self._namings_by_model: dict[str, list[Naming]] = {}
        self._peer_floor_by_model: dict[str, int] = {}

    def add(
        self,
        model: str,
        version: int,
        named_at: float | None,
        told_at: float | None = None,
    ) -> None:
        """Take in a naming that the store tells of, or that a peer told at ``told_at``.

        Peers follow what counts as due here, so that a version of unknown age must not
        be due before they could tell its age.
        """
        wait_deadline = self._floor_deadline
        if told_at is not None:
            wait_deadline = max(wait_deadline, told_at + FLOOR_WAIT_S)
        self._note(model, Naming(version, named_at, wait_deadline))

    def add_recorded(self, model: str, naming: Naming) -> bool:
        """Take in what a record tells; return whether that changed anything."""
        waiting = msgspec.structs.replace(naming, wait_deadline=self._floor_deadline)
        return self._note(model, waiting)

    def find_start(self, naming: Naming) -> float:
        """Return the moment from which the bound of a version counts.

        The bound of one of unknown age is over when entries count it as due.
        """
        if naming.named_at is None:
            return naming.wait_deadline - self._bound_s
        return naming.named_at

    def list_seen(self, model: str) -> dict[int, float | None]:
        """Return when the known versions of a model were named.

        It is ``None`` where no process that saw the naming has told it.
        """
        return {
            item.version: None if item.is_recorded else item.named_at
            for item in self._namings_by_model.get(model, [])
        }

    def note_peer(
        self, now: float, floors: Mapping[str, int], ages: Ages
    ) -> list[tuple[str, Naming]]:
        """Follow a peer that has seen namings which this process saw later or not.

        The namings that changed are returned, each with its model.
        """
        changed: list[tuple[str, Naming]] = []
        for model, version in floors.items():
            known = self._peer_floor_by_model.get(model, 0)
            self._peer_floor_by_model[model] = max(known, version)
        for model, versions in ages.items():
            for version, age_s in versions:
                naming = Naming(version, now - age_s)
                if self._note(model, naming):
                    changed.append((model, naming))
        return changed

    def _note(self, model: str, naming: Naming) -> bool:
        """Count a naming from the earliest moment at which anybody saw it.

        Whether that changed anything is returned.
        """
        namings = self._namings_by_model.setdefault(model, [])
        place = bisect_left(namings, naming.version, key=lambda item: item.version)
        if place == len(namings) or namings[place].version != naming.version:
            namings.insert(place, naming)
            del namings[:-KEPT_NAMINGS]
            return True
        known = namings[place]
        if naming.named_at is None:
            return False
        if known.named_at is not None:
            if naming.is_recorded:
                return False
            # Who saw the naming is more exact than a record, which counts early.
            slack_s = 2 * CLOCK_MARGIN_S if known.is_recorded else -SAME_NAMING_S
            if known.named_at + slack_s <= naming.named_at:
                return False
        namings[place] = naming
        return True

    def find_newest(self, model: str) -> Naming | None:
        """Return the newest naming of a model."""
        namings = self._namings_by_model.get(model)
        return namings[-1] if namings else None

    def list_floors(self, now: float) -> dict[str, int]:
        """Return the oldest version on which calls may begin, by model."""
        return self._add_told(self._list_due(now))

    def list_last_floors(self, now: float) -> dict[str, int]:
        """Return the oldest version on which calls that were sent may still begin."""
        return self._add_told(self._list_due(now - VERSION_MARGIN_S + LAST_MARGIN_S))

    def _add_told(self, floors: dict[str, int]) -> dict[str, int]:
        """Raise floors to what peers count as due, unless the age is known here.

        A peer that has just started may have guessed.
        """
        for model, version in self._peer_floor_by_model.items():
            if not self._is_age_known(model, version):
                floors[model] = max(floors.get(model, 0), version)
        return floors

    def _list_due(self, now: float) -> dict[str, int]:
        floors: dict[str, int] = {}
        for model, namings in self._namings_by_model.items():
            due = [item.version for item in namings if self._is_due(now, item)]
            if due:
                floors[model] = due[-1]
        return floors

    def _is_age_known(self, model: str, version: int) -> bool:
        return any(
            item.version == version and item.named_at is not None
            for item in self._namings_by_model.get(model, [])
        )

    def list_ages(self, now: float) -> dict[str, list[tuple[int, float]]]:
        """Return what peers should know of the namings; all read records themselves."""
        return {
            model: [
                (item.version, now - item.named_at)
                for item in namings
                if item.named_at is not None and not item.is_recorded
            ]
            for model, namings in self._namings_by_model.items()
        }

    def _is_due(self, now: float, naming: Naming) -> bool:
        if naming.named_at is None:
            return now >= naming.wait_deadline
        return now - naming.named_at >= self._bound_s - VERSION_MARGIN_S
