"""Events and effects of processes that follow the platform's store."""

from tamaracktray.beacons import Beacon
from tamaracktray.effects import Effect
from tamaracktray.events import Event
from tamaracktray.objects import StoredObject
from tamaracktray.snapshots import Collection, Snapshot
from tamaracktray.types import Address


class CollectionListed(Event, frozen=True):
    """The whole content of a collection was read from the store."""

    collection: Collection
    objects: list[StoredObject]
    revision: int


class CollectionChanged(Event, frozen=True):
    """Changes of a collection up to ``revision`` came from the store."""

    collection: Collection
    changes: list[StoredObject]
    revision: int


class SnapshotsReceived(Event, frozen=True):
    """A peer sent snapshots that are newer than the own ones."""

    snapshot_by_collection: dict[Collection, Snapshot]


class StoreLost(Event, frozen=True):
    """A call to the store failed."""


class BeaconHeard(Event, frozen=True):
    """A peer's beacon arrived."""

    beacon: Beacon
    sender: Address


class PeerLost(Event, frozen=True):
    """A call to a peer got no answer."""

    address: Address


class PullSnapshots(Effect, frozen=True):
    """Ask a peer for the snapshots that are newer than the own ones."""

    address: Address


class AnswerBeacon(Effect, frozen=True):
    """Tell a peer that misses changes what this process knows."""

    address: Address


class TellPeers(Effect, frozen=True):
    """Tell all peers at once what this process knows."""


class CloseIdle(Effect, frozen=True):
    """Close callers' connections on which nothing is under way."""


class PrefetchVersion(Effect, frozen=True):
    """Fetch a version that has just been named, before agents ask for it."""

    model: str
    version: int


class RecordNamings(Effect, frozen=True):
    """Write down when versions of a model were named, the newest last.

    ``name`` and ``revision`` are those of the object that names them.
    """

    model: str
    name: str
    revision: int
    namings: tuple[tuple[int, float], ...]


class NamingsRecorded(Event, frozen=True):
    """The store has acknowledged the record of a version."""

    model: str
    version: int


class NoteNaming(Effect, frozen=True):
    """Note since when a version counts as named.

    ``age_s`` is how long ago that was, ``None`` if nobody could tell yet. ``source`` is
    the peer that told, ``record`` what the store keeps of it, empty for the naming.
    """

    model: str
    version: int
    age_s: float | None
    source: str = ""


class NoteDue(Effect, frozen=True):
    """Note that calls may begin on a version or a newer one only."""

    model: str
    version: int


class ReadCollection(Effect, frozen=True):
    """Read a collection that is not followed once from the store."""

    collection: Collection


class ApplyRouting(Effect, frozen=True):
    """A new routing table is in force."""
