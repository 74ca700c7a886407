"""When the operator announced versions of weights, and which versions are due.

A version must be in service within a fixed time after its announcement, even if a newer
one has been announced since. Processes send each other the ages of the announcements
that they observed, so that a process that started later or was disconnected uses the
same announcement times.
"""

from bisect import bisect_left
from collections.abc import Mapping

import msgspec

# Time before the deadline of a version from which calls are sent to that version only,
# in seconds. A call may need this long to reach its endpoint over a congested link and
# to start there.
DUE_MARGIN_S = 0.7

# Time before the deadline of a version at which calls that have not started on an older
# one are withdrawn from their endpoint, in seconds. It covers a tick, the network delay
# to the endpoint and the delay with which the announcement became known.
WITHDRAWAL_MARGIN_S = 0.3

# Time for which a process that has just started waits for peers to report the ages of
# announcements, in seconds. Each peer sends at least three beacons in it.
AGE_REPORT_WAIT_S = 1.5

# Difference below which two announcement times count as equal, in seconds. The latency
# of beacons varies by less.
SAME_TIME_TOLERANCE_S = 0.02

# Largest expected difference between the clocks of two instances, in seconds.
CLOCK_MARGIN_S = 0.2

# Announcements kept for each model: the due one and newer ones that are not due yet.
MAX_ANNOUNCEMENTS = 8

# Versions and the ages of their announcements in seconds, by model.
Ages = Mapping[str, list[tuple[int, float]]]


class Announcement(msgspec.Struct, frozen=True):
    """Announcement of a version; times are monotonic seconds.

    ``announced_at`` is ``None`` while the announcement time is unknown. Peers have
    until ``wait_deadline`` to report it. ``is_recorded`` is set if the time was
    computed from a stored record and the wall clock.
    """

    version: int
    announced_at: float | None
    wait_deadline: float = 0.0
    is_recorded: bool = False


class Announcements:
    """The announcements that one process knows of.

    A version of unknown age counts as due once its deadline for reports by peers has
    passed, because all processes may have restarted.
    """

    __slots__ = (
        "_bound_s",
        "_floor_deadline",
        "_announcements_by_model",
        "_peer_floor_by_model",
    )

    def __init__(self, now: float, bound_s: float) -> None:
        self._bound_s = bound_s
        self._floor_deadline = now + AGE_REPORT_WAIT_S
        self._announcements_by_model: dict[str, list[Announcement]] = {}
        self._peer_floor_by_model: dict[str, int] = {}

    def add(
        self,
        model: str,
        version: int,
        announced_at: float | None,
        reported_at: float | None = None,
    ) -> None:
        """Add an announcement from the store, or reported by a peer at ``reported_at``.

        Peers adopt the versions that are due here, so a version of unknown age must not
        become due before they have had time to report its age.
        """
        wait_deadline = self._floor_deadline
        if reported_at is not None:
            wait_deadline = max(wait_deadline, reported_at + AGE_REPORT_WAIT_S)
        self._merge(model, Announcement(version, announced_at, wait_deadline))

    def add_recorded(self, model: str, announcement: Announcement) -> bool:
        """Add a recorded announcement; return whether that changed anything."""
        waiting = msgspec.structs.replace(
            announcement, wait_deadline=self._floor_deadline
        )
        return self._merge(model, waiting)

    def find_bound_start(self, announcement: Announcement) -> float:
        """Return the time from which the deadline of a version is computed.

        A version of unknown age has its deadline when entries start to count it as due.
        """
        if announcement.announced_at is None:
            return announcement.wait_deadline - self._bound_s
        return announcement.announced_at

    def list_observed_times(self, model: str) -> dict[int, float | None]:
        """Return the observed announcement times of a model, by version.

        The time is ``None`` if no process that observed the announcement has reported
        it.
        """
        return {
            item.version: None if item.is_recorded else item.announced_at
            for item in self._announcements_by_model.get(model, [])
        }

    def merge_peer_ages(
        self, now: float, floors: Mapping[str, int], ages: Ages
    ) -> list[tuple[str, Announcement]]:
        """Merge the due versions and announcement ages reported by a peer.

        Return the announcements that changed, each with its model.
        """
        changed: list[tuple[str, Announcement]] = []
        for model, version in floors.items():
            known = self._peer_floor_by_model.get(model, 0)
            self._peer_floor_by_model[model] = max(known, version)
        for model, versions in ages.items():
            for version, age_s in versions:
                announcement = Announcement(version, now - age_s)
                if self._merge(model, announcement):
                    changed.append((model, announcement))
        return changed

    def _merge(self, model: str, announcement: Announcement) -> bool:
        """Store an announcement with the earliest time at which a process observed it.

        Return whether that changed anything.
        """
        announcements = self._announcements_by_model.setdefault(model, [])
        index = bisect_left(
            announcements, announcement.version, key=lambda item: item.version
        )
        if (
            index == len(announcements)
            or announcements[index].version != announcement.version
        ):
            announcements.insert(index, announcement)
            del announcements[:-MAX_ANNOUNCEMENTS]
            return True
        known = announcements[index]
        if announcement.announced_at is None:
            return False
        if known.announced_at is not None:
            if announcement.is_recorded:
                return False
            # An observed time is more exact than a recorded one, which is set early.
            slack_s = (
                2 * CLOCK_MARGIN_S if known.is_recorded else -SAME_TIME_TOLERANCE_S
            )
            if known.announced_at + slack_s <= announcement.announced_at:
                return False
        announcements[index] = announcement
        return True

    def find_newest(self, model: str) -> Announcement | None:
        """Return the newest announcement of a model."""
        announcements = self._announcements_by_model.get(model)
        return announcements[-1] if announcements else None

    def list_floors(self, now: float) -> dict[str, int]:
        """Return the oldest version on which new calls may start, by model."""
        return self._raise_to_peer_floors(self._list_due(now))

    def list_last_floors(self, now: float) -> dict[str, int]:
        """Return the oldest version on which calls already sent may start, by model."""
        return self._raise_to_peer_floors(
            self._list_due(now - DUE_MARGIN_S + WITHDRAWAL_MARGIN_S)
        )

    def _raise_to_peer_floors(self, floors: dict[str, int]) -> dict[str, int]:
        """Raise floors to the versions that are due at peers, unless the age is known.

        A peer that has just started may have counted a version of unknown age as due.
        """
        for model, version in self._peer_floor_by_model.items():
            if not self._is_age_known(model, version):
                floors[model] = max(floors.get(model, 0), version)
        return floors

    def _list_due(self, now: float) -> dict[str, int]:
        floors: dict[str, int] = {}
        for model, announcements in self._announcements_by_model.items():
            due = [item.version for item in announcements if self._is_due(now, item)]
            if due:
                floors[model] = due[-1]
        return floors

    def _is_age_known(self, model: str, version: int) -> bool:
        return any(
            item.version == version and item.announced_at is not None
            for item in self._announcements_by_model.get(model, [])
        )

    def list_ages(self, now: float) -> dict[str, list[tuple[int, float]]]:
        """Return the ages to report to peers, by model.

        Recorded times are left out because every process reads the records.
        """
        return {
            model: [
                (item.version, now - item.announced_at)
                for item in announcements
                if item.announced_at is not None and not item.is_recorded
            ]
            for model, announcements in self._announcements_by_model.items()
        }

    def _is_due(self, now: float, announcement: Announcement) -> bool:
        if announcement.announced_at is None:
            return now >= announcement.wait_deadline
        return now - announcement.announced_at >= self._bound_s - DUE_MARGIN_S
