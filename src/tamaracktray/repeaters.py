"""Which entries repeat to their peers what they know only from peers."""

from collections.abc import Iterable

from tamaracktray.hashing import count_ranked_before
from tamaracktray.ownership import FleetNode

# Entries that repeat the same report. Two of them may be held up or have just started.
REPEATERS = 3

# Time for which all entries repeat everything after the set of reachable entries has
# changed, in seconds. Those that are new or were cut off get six beacons in it.
FULL_REPEAT_S = 3.0


class Repeaters:
    """Selects the entries that repeat a report, by rendezvous hash of its key.

    Without it, each of n entries would send the same report to all others in each of
    its beacons. ``name`` is the name of this entry.
    """

    __slots__ = ("_full_deadline", "_name", "_peers")

    def __init__(self, name: str) -> None:
        self._name = name
        self._peers: frozenset[str] = frozenset()
        self._full_deadline = 0.0

    def update(self, now: float, entries: Iterable[FleetNode]) -> None:
        """Replace the reachable entries."""
        peers = frozenset(entry.name for entry in entries) - {self._name}
        if peers != self._peers:
            self._peers = peers
            self._full_deadline = now + FULL_REPEAT_S

    def is_repeater(self, now: float, key: str) -> bool:
        """Return whether this entry repeats the reports with a key."""
        if now < self._full_deadline or len(self._peers) < REPEATERS:
            return True
        return count_ranked_before(self._name, self._peers, key) < REPEATERS
