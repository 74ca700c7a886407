"""Which peers are reachable, judged by their beacons and by failed calls to them.

The platform's member list keeps processes that no longer exist. A peer that has stopped
for good can only be detected by missing beacons.
"""

from collections.abc import Iterable

import msgspec

from tamaracktray.hashing import hash_text
from tamaracktray.types import Address

# Time without a beacon after which a peer gets no requests, in seconds. It is longer
# than two of the longest intervals between a peer's beacons.
CONTACT_TIMEOUT_S = 1.3

# Time since this process last ran from which it counts as held up, in seconds. Beacons
# that arrived meanwhile have not been read yet.
HELD_UP_S = 0.25

# Time without a beacon after which a peer no longer counts as a user of the endpoints,
# in seconds. Regions that are disconnected for minutes continue to use them.
INACTIVE_S = 300.0

# Time for which a peer gets no requests after it did not answer one, in seconds.
PEER_BACKOFF_S = 2.0


class Member(msgspec.Struct, frozen=True):
    """An entry; ``address`` accepts beacons and calls from its peers."""

    name: str
    zone: str
    address: Address


def read_member(name: str, value: object) -> Member:
    """Parse the document of a member.

    Raise ``ValueError`` if it is invalid or has an unusable address.
    """
    member = msgspec.convert(value, Member)
    member.address.check()
    if member.name != name:
        raise ValueError(
            f"the document of member {name!r} has the name {member.name!r}"
        )
    return member


def rank_members(key: str, members: Iterable[Member]) -> list[Member]:
    """Return members in the order of their rendezvous hash with ``key``."""
    return sorted(members, key=lambda member: hash_text(f"{key}\n{member.name}"))


class Peers:
    """The other entries that a process knows, and their last contact.

    If ``expects_beacons`` is set, a peer without recent contact counts as unreachable.
    """

    __slots__ = (
        "_backoff_deadline_by_address",
        "_expects_beacons",
        "_last_contact_by_address",
        "_ran_at",
        "_without_store",
        "members_by_name",
    )

    def __init__(self, *, expects_beacons: bool) -> None:
        self._expects_beacons = expects_beacons
        self._last_contact_by_address: dict[Address, float] = {}
        self._backoff_deadline_by_address: dict[Address, float] = {}
        self._ran_at: float | None = None
        self._without_store: set[Address] = set()
        self.members_by_name: dict[str, Member] = {}

    def update_members(self, now: float, members: Iterable[Member]) -> None:
        """Apply a member list; a new peer counts as contacted at ``now``."""
        self.members_by_name = {member.name: member for member in members}
        for member in self.members_by_name.values():
            self._last_contact_by_address.setdefault(member.address, now)

    def note_running(self, now: float) -> None:
        """Record that this process runs, and excuse peers for a time it was held up."""
        held_up_s = self.measure_held_up(now)
        if held_up_s:
            for address, contact_at in self._last_contact_by_address.items():
                contact_at = min(contact_at + held_up_s, now)
                self._last_contact_by_address[address] = contact_at
        self._ran_at = now

    def measure_held_up(self, now: float) -> float:
        """Return for how long this process has been held up, in seconds."""
        if self._ran_at is None or now - self._ran_at < HELD_UP_S:
            return 0.0
        return now - self._ran_at

    def record_contact(
        self, now: float, address: Address, *, has_store: bool = True
    ) -> None:
        """Record contact with a peer, and whether it can reach the store."""
        self._last_contact_by_address[address] = now
        if has_store:
            self._without_store.discard(address)
        else:
            self._without_store.add(address)
        self._backoff_deadline_by_address.pop(address, None)

    def record_no_answer(self, now: float, address: Address) -> None:
        """Record that a call to a peer got no answer."""
        self._backoff_deadline_by_address[address] = now + PEER_BACKOFF_S

    def list_reachable(self, now: float) -> list[Member]:
        """Return the peers that are expected to answer."""
        return [
            member
            for member in self.members_by_name.values()
            if self._is_reachable(now, member.address)
        ]

    def list_with_store(self, now: float) -> list[Member]:
        """Return the reachable peers that can reach the platform's store."""
        return [
            member
            for member in self.list_reachable(now)
            if member.address not in self._without_store
        ]

    def list_active(self, now: float) -> list[Member]:
        """Return the peers that may be using the endpoints, reachable or not."""
        return [
            member
            for member in self.members_by_name.values()
            if self._time_since_contact(now, member.address) < INACTIVE_S
        ]

    def _is_reachable(self, now: float, address: Address) -> bool:
        if now < self._backoff_deadline_by_address.get(address, 0.0):
            return False
        return self._time_since_contact(now, address) < CONTACT_TIMEOUT_S

    def _time_since_contact(self, now: float, address: Address) -> float:
        if not self._expects_beacons:
            return 0.0
        silence_s = now - self._last_contact_by_address.get(address, now)
        return silence_s - self.measure_held_up(now)
