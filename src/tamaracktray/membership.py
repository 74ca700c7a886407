"""Known peers of a process, and detection of missed configuration changes.

Contacts are transitive: a process reports to its peers which availability zones, and
the platform, it has contact with and until when each contact is valid. A process is
isolated if it has no valid contact with the platform and lacks one with at least one
other zone. If only the platform fails, all zones stay in contact and no process is
isolated. On the smaller side of a network partition, the contact with a zone or the
platform expires.
"""

from collections.abc import Iterable, Mapping

import msgspec

from tamaracktray.configuration import Configuration
from tamaracktray.hashing import hash_text
from tamaracktray.resources import Kind
from tamaracktray.types import Instance

PLATFORM = ""
EXCHANGE_INTERVAL_S = 1.0
PUSH_FANOUT = 3
ABSENT_PEER_TTL_S = 60.0


class Membership:
    """The peers and contacts of one process.

    Deadlines are monotonic times in seconds.
    """

    __slots__ = (
        "_absent_deadline_by_name",
        "_contact_ttl_s",
        "contact_deadline_by_zone",
        "exchange_deadline",
        "instances_by_name",
        "is_listed",
        "own_name",
        "own_zone",
        "pulled_digests_by_name",
    )

    def __init__(self, own_name: str, own_zone: str, contact_s: float) -> None:
        self.own_name = own_name
        self.own_zone = own_zone
        self._contact_ttl_s = contact_s
        self.instances_by_name: dict[str, Instance] = {}
        self._absent_deadline_by_name: dict[str, float] = {}
        self.is_listed = False
        self.contact_deadline_by_zone: dict[str, float] = {}
        self.exchange_deadline = 0.0
        self.pulled_digests_by_name: dict[str, tuple[int, int]] = {}

    def update(self, now: float, instances: Iterable[Instance]) -> None:
        """Apply a new instance list.

        A peer that is absent from the list is kept for ``ABSENT_PEER_TTL_S`` seconds
        because the list may come from a stale replica. If the peer has really stopped,
        this only costs refused connections.
        """
        by_name = {instance.name: instance for instance in instances}
        listed = set(by_name)
        self.is_listed = by_name.pop(self.own_name, None) is not None
        for name, instance in self.instances_by_name.items():
            if name in by_name:
                continue
            deadline = self._absent_deadline_by_name.setdefault(
                name, now + ABSENT_PEER_TTL_S
            )
            if now < deadline:
                by_name[name] = instance
        self._absent_deadline_by_name = {
            name: deadline
            for name, deadline in self._absent_deadline_by_name.items()
            if name in by_name and name not in listed
        }
        self.instances_by_name = by_name
        for name in set(self.pulled_digests_by_name) - set(self.instances_by_name):
            del self.pulled_digests_by_name[name]

    def mark_peer_leaving(self, name: str) -> None:
        """Mark a peer as leaving before the instance list shows it."""
        peer = self.instances_by_name[name]
        self.instances_by_name[name] = msgspec.structs.replace(peer, leaving=True)

    def needs_pull(self, name: str, peer_digest: int, own_digest: int) -> bool:
        """Return whether to pull changes from a peer, once per pair of digests."""
        if peer_digest == own_digest:
            return False
        pair = (peer_digest, own_digest)
        if self.pulled_digests_by_name.get(name) == pair:
            return False
        self.pulled_digests_by_name[name] = pair
        return True

    def record_contact(self, now: float, zone: str) -> None:
        """Record a contact with a zone, or with ``PLATFORM``, at time ``now``."""
        self.contact_deadline_by_zone[zone] = now + self._contact_ttl_s

    def merge_contacts(self, now: float, deadline_by_zone: Mapping[str, float]) -> None:
        """Merge the contacts of a peer; none may outlast a contact made now."""
        latest = now + self._contact_ttl_s
        for zone, deadline in deadline_by_zone.items():
            if zone == self.own_zone:
                continue
            known = self.contact_deadline_by_zone.get(zone, 0.0)
            self.contact_deadline_by_zone[zone] = max(known, min(deadline, latest))

    def list_contacts(self, now: float) -> dict[str, float]:
        """Return the valid contacts to report to peers, with the local zone."""
        contacts = {
            zone: deadline
            for zone, deadline in self.contact_deadline_by_zone.items()
            if deadline > now
        }
        contacts[self.own_zone] = now + self._contact_ttl_s
        return contacts

    def is_isolated(self, now: float, configuration: Configuration) -> bool:
        """Return whether this process may have missed a configuration change."""
        if self.contact_deadline_by_zone.get(PLATFORM, 0.0) > now:
            return False
        for zone in self._list_other_zones(configuration):
            if self.contact_deadline_by_zone.get(zone, 0.0) <= now:
                return True
        return False

    def is_isolation_near(self, now: float, configuration: Configuration) -> bool:
        """Return whether isolation is near and the platform should be probed."""
        return self.is_isolated(now + self._contact_ttl_s / 2, configuration)

    def choose_peers(self, random_value: int, count: int) -> list[Instance]:
        """Return up to ``count`` random peers, those of other zones first."""
        peers = [peer for peer in self.instances_by_name.values() if not peer.leaving]
        peers.sort(
            key=lambda peer: (
                peer.zone == self.own_zone,
                hash_text(peer.name, seed=random_value & 0xFFFFFFFF),
            )
        )
        return peers[:count]

    def _list_other_zones(self, configuration: Configuration) -> set[str]:
        zones = {peer.zone for peer in self.instances_by_name.values()}
        zones.update(zone.name for zone in configuration.list_kind(Kind.ZONE))
        zones.discard(self.own_zone)
        return {zone for zone in zones if not configuration.is_zone_out(zone)}
