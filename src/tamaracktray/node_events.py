"""Events and effects of processes that follow the platform's store."""

from tamaracktray.beacons import Beacon
from tamaracktray.effects import Effect
from tamaracktray.events import Event
from tamaracktray.in_force import InForceReport
from tamaracktray.objects import StoredObject
from tamaracktray.positions import Position
from tamaracktray.snapshots import Collection, Snapshot
from tamaracktray.types import Address


class CollectionListed(Event, frozen=True):
    """The whole content of a collection was read from the store."""

    collection: Collection
    objects: list[StoredObject]
    revision: int
    era: int = 0


class CollectionChanged(Event, frozen=True):
    """The store reported the changes of a collection up to ``revision``."""

    collection: Collection
    changes: list[StoredObject]
    revision: int
    era: int = 0


class SnapshotsReceived(Event, frozen=True):
    """A peer sent snapshots newer than those of this process."""

    snapshot_by_collection: dict[Collection, Snapshot]


class StoreLost(Event, frozen=True):
    """A call to the store failed.

    Unless the failure ``is_confirmed``, only a waiting watch got no answer, which may
    be the fault of its connection.
    """

    is_confirmed: bool = True


class BeaconReceived(Event, frozen=True):
    """A peer's beacon arrived."""

    beacon: Beacon
    sender: Address


class PeerLost(Event, frozen=True):
    """A peer did not answer a call."""

    address: Address


class PullSnapshots(Effect, frozen=True):
    """Request the snapshots that are newer on a peer than here."""

    address: Address


class SendBeacon(Effect, frozen=True):
    """Send a beacon to a peer whose revisions are older."""

    address: Address


class BroadcastBeacon(Effect, frozen=True):
    """Send a beacon to all peers immediately."""


class RelistCollections(Effect, frozen=True):
    """Read all collections again because the store was restored from an older copy.

    ``known_by_collection`` are the positions known before.
    """

    era: int
    known_by_collection: dict[Collection, Position]


class InForceReported(Event, frozen=True):
    """A peer reported what it has in force."""

    report: InForceReport


class TakeoverEnded(Event, frozen=True):
    """The peers were asked what they have in force; some may not have answered."""


class AskPeer(Effect, frozen=True):
    """Ask a peer what it has in force."""

    address: Address


class AskPeers(Effect, frozen=True):
    """Ask peers what they have in force, until one has answered."""


class LogTakeover(Effect, frozen=True):
    """Log what was taken over from a peer because the store lacks it.

    ``version`` is that of the routing table, ``None`` if the one of ``known_version``
    stays in force. The store may lack the rest for ``settle_s`` seconds.
    """

    peer: str
    known_version: int
    version: int | None
    version_by_model: dict[str, int]
    zones: list[str]
    departed: int
    settle_s: float


class RegisterMember(Effect, frozen=True):
    """Write this entry's member record again."""


class CloseIdleConnections(Effect, frozen=True):
    """Close callers' connections that have no request in progress."""


class PrefetchVersion(Effect, frozen=True):
    """Fetch a newly announced version before agents request it."""

    model: str
    version: int


class RecordAnnouncements(Effect, frozen=True):
    """Store when versions of a model were announced, the newest last.

    ``name`` and ``revision`` are those of the store object that announces them.
    """

    model: str
    name: str
    revision: int
    announcements: tuple[tuple[int, float], ...]


class AnnouncementsRecorded(Event, frozen=True):
    """The store acknowledged the announcement record of a version."""

    model: str
    version: int


class LogAnnouncement(Effect, frozen=True):
    """Log since when a version counts as announced.

    ``age_s`` is the age of the announcement in seconds, ``None`` while unknown.
    ``source`` is the peer that reported it, ``record`` for the stored record, or empty
    for the announcement itself.
    """

    model: str
    version: int
    age_s: float | None
    source: str = ""


class LogDueVersion(Effect, frozen=True):
    """Log that calls may now start only on a version or a newer one."""

    model: str
    version: int


class ReadCollection(Effect, frozen=True):
    """Read a collection that the process does not follow from the store, once."""

    collection: Collection


class ApplyRouting(Effect, frozen=True):
    """Apply the settings of a new routing table."""
