"""Snapshots of the platform's store, one for each collection.

Revisions come from a single counter of the store, so a complete snapshot replaces one
with an earlier position and never one with a later position. A process that cannot
reach the store gets newer snapshots from its peers.
"""

from collections.abc import Iterable, Mapping
from enum import Enum
from typing import Any

import msgspec

from tamaracktray.objects import StoredObject
from tamaracktray.positions import UNKNOWN, Position


class Collection(str, Enum):
    """The collections of the store that processes keep up to date."""

    ROUTING = "routing"
    ENDPOINTS = "endpoints"
    EVACUATIONS = "evacuations"
    VERSIONS = "versions"
    MEMBERS = "members"
    QUARANTINES = "quarantines"


class Snapshot(msgspec.Struct, frozen=True):
    """The complete content of a collection at ``revision`` of the store's ``era``.

    ``changed_revision`` is the revision of the last change in that era. Revision 0
    means that the content is unknown.
    """

    revision: int = 0
    changed_revision: int = 0
    objects_by_name: dict[str, StoredObject] = {}
    era: int = 0

    @property
    def position(self) -> Position:
        """Return the position up to which the content is known."""
        return Position(self.era, self.revision)

    @property
    def changed_position(self) -> Position:
        """Return the position of the last change."""
        return Position(self.era, self.changed_revision)

    def replace_all(
        self, objects: Iterable[StoredObject], revision: int, era: int = 0
    ) -> "Snapshot":
        """Return the snapshot of a complete list at ``revision`` of ``era``."""
        if Position(era, revision) < self.position:
            return self
        objects_by_name = {item.name: item for item in objects}
        changed_revision = self.changed_revision
        if _list_versions(objects_by_name) != _list_versions(self.objects_by_name):
            changed_revision = revision
        # The same version of an object may have another content in another era.
        if not self.revision or era != self.era:
            changed_revision = revision
        return Snapshot(revision, changed_revision, objects_by_name, era)

    def apply_changes(
        self, changes: Iterable[StoredObject], revision: int, era: int = 0
    ) -> "Snapshot":
        """Return the snapshot with all changes up to ``revision`` of ``era`` applied.

        Changes of another era don't continue this snapshot and are ignored.
        """
        if era != self.era or revision < self.revision:
            return self
        objects_by_name = dict(self.objects_by_name)
        is_changed = False
        for item in changes:
            known = objects_by_name.get(item.name)
            if known is not None and known.version > item.version:
                continue
            if item.deleted:
                is_changed = objects_by_name.pop(item.name, None) is not None or (
                    is_changed
                )
                continue
            if known is not None and known.version == item.version:
                continue
            objects_by_name[item.name] = item
            is_changed = True
        if not is_changed:
            return Snapshot(revision, self.changed_revision, self.objects_by_name, era)
        return Snapshot(revision, revision, objects_by_name, era)


def _list_versions(objects_by_name: Mapping[str, StoredObject]) -> dict[str, int]:
    return {name: item.version for name, item in objects_by_name.items()}


class SnapshotCache:
    """The snapshots of one process.

    Collections in ``followed`` are kept up to date. A part of each collection in
    ``initial`` is read once; it is neither reported nor sent to peers.
    """

    __slots__ = ("by_collection", "followed", "initial")

    def __init__(
        self,
        followed: Iterable[Collection] = tuple(Collection),
        initial: Iterable[Collection] = (),
    ) -> None:
        self.followed = tuple(followed)
        self.initial = tuple(initial)
        self.by_collection: dict[Collection, Snapshot] = {
            collection: Snapshot() for collection in Collection
        }

    def merge(self, collection: Collection, snapshot: Snapshot) -> bool:
        """Store a newer snapshot; return whether the content changed."""
        known = self.by_collection[collection]
        if snapshot.position <= known.position:
            return False
        self.by_collection[collection] = snapshot
        return snapshot.changed_position > known.position or not known.revision

    def list_values(self, collection: Collection) -> list[Any]:
        """Return the readable values of a collection."""
        objects = self.by_collection[collection].objects_by_name.values()
        return [item.value for item in objects if item.value is not None]

    @property
    def is_complete(self) -> bool:
        """Whether there is a snapshot of every followed and initial collection."""
        needed = (*self.followed, *self.initial)
        return all(self.by_collection[name].revision for name in needed)

    def list_positions(self) -> dict[Collection, Position]:
        """Return the position up to which each followed collection is known."""
        return {name: self.by_collection[name].position for name in self.followed}

    def list_changed_positions(self) -> dict[Collection, Position]:
        """Return the position of the last change to each followed collection."""
        return {
            name: self.by_collection[name].changed_position for name in self.followed
        }

    def list_missing(
        self, changed_by_collection: Mapping[Collection, Position]
    ) -> list[Collection]:
        """Return the followed collections that a peer knows in a newer state."""
        return [
            name
            for name in self.followed
            if changed_by_collection.get(name, UNKNOWN)
            > self.by_collection[name].position
        ]

    def select_newer(
        self, position_by_collection: Mapping[Collection, Position]
    ) -> dict[Collection, Snapshot]:
        """Return the snapshots that have changed since a peer's known positions."""
        return {
            collection: self.by_collection[collection]
            for collection, position in position_by_collection.items()
            if collection in self.followed
            and self.by_collection[collection].changed_position > position
        }
