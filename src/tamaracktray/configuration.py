"""The configuration in effect in one process.

A configuration is an immutable value. A merge keeps the highest version of each object,
so a stale replica or a delayed message cannot revert a change.
"""

from collections.abc import Iterable

import msgspec

from tamaracktray.hashing import hash_text
from tamaracktray.resources import (
    Kind,
    Resource,
    RolloutSpec,
    VersionSpec,
    ZoneSpec,
)


class Configuration(msgspec.Struct, frozen=True):
    """All resources known at a revision, including tombstones of deleted ones.

    A process at revision R knows every change up to R. The objects with a version above
    R' < R are therefore exactly the changes that a peer at R' lacks. Single objects may
    be newer than the revision. ``digest`` is equal for equal sets of live objects.
    """

    revision: int = 0
    by_key: dict[str, Resource] = {}
    digest: int = 0

    def merge(
        self, resources: Iterable[Resource], revision: int, *, complete: bool = False
    ) -> "Configuration":
        """Return this configuration merged with newer resources.

        ``revision`` is the revision up to which the sender knows every change.
        ``complete`` means that ``resources`` is the whole configuration, so that absent
        objects count as deleted. A complete list older than this configuration is
        ignored. An unknown object that is not newer than the revision of this
        configuration has been deleted, so a stale peer cannot restore it.
        """
        if complete and revision < self.revision:
            return self
        by_key = dict(self.by_key)
        received_keys: set[str] = set()
        for resource in resources:
            received_keys.add(resource.key)
            known = by_key.get(resource.key)
            known_version = 0 if complete else self.revision
            if known is not None:
                known_version = known.resource_version
            if known_version >= resource.resource_version:
                continue
            by_key[resource.key] = resource
        if complete:
            _add_tombstones(by_key, received_keys, revision)
        if revision <= self.revision and by_key == self.by_key:
            return self
        return Configuration(
            max(revision, self.revision), by_key, _digest_objects(by_key)
        )

    def changes_since(self, revision: int) -> list[Resource]:
        """Return the resources and tombstones with changes after a revision."""
        return [
            resource
            for resource in self.by_key.values()
            if resource.resource_version > revision
        ]

    def get(self, kind: Kind, name: str) -> Resource | None:
        """Return a live resource or ``None``."""
        resource = self.by_key.get(f"{kind.value}.{name}")
        if resource is None or resource.deleted:
            return None
        return resource

    def list_kind(self, kind: Kind) -> list[Resource]:
        """Return the live resources of one kind, sorted by name."""
        live = [
            resource
            for resource in self.by_key.values()
            if resource.kind is kind and not resource.deleted
        ]
        return sorted(live, key=lambda resource: resource.name)

    def is_zone_out(self, zone: str) -> bool:
        """Return whether operators have taken an availability zone out of service."""
        resource = self.get(Kind.ZONE, zone)
        return (
            resource is not None
            and isinstance(resource.spec, ZoneSpec)
            and resource.spec.out
        )

    def find_rollout(self, model: str) -> Resource | None:
        """Return the newest rollout of a model or ``None``."""
        newest: Resource | None = None
        for resource in self.list_kind(Kind.ROLLOUT):
            if not isinstance(resource.spec, RolloutSpec):
                continue
            if resource.spec.model != model:
                continue
            if newest is None or resource.resource_version > newest.resource_version:
                newest = resource
        return newest

    def find_manifest(self, version: str) -> str | None:
        """Return the manifest digest of a version or ``None``."""
        resource = self.get(Kind.VERSION, version)
        if resource is None or not isinstance(resource.spec, VersionSpec):
            return None
        return resource.spec.manifest


def _digest_objects(by_key: dict[str, Resource]) -> int:
    """Return a 64-bit digest of all live objects that ignores their order."""
    digest = 0
    for key, resource in by_key.items():
        if not resource.deleted:
            digest ^= hash_text(f"{key}@{resource.resource_version}")
    return digest


def _add_tombstones(
    by_key: dict[str, Resource], received_keys: set[str], revision: int
) -> None:
    """Replace objects that are absent from a complete list by tombstones."""
    for key, resource in list(by_key.items()):
        if key in received_keys or resource.deleted:
            continue
        if resource.resource_version > revision:
            continue
        by_key[key] = msgspec.structs.replace(
            resource, deleted=True, resource_version=revision
        )
