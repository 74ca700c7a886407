"""Rankings of the instances that participate in a transfer, for each chunk."""

from collections.abc import Iterable
from functools import lru_cache

import msgspec

from tamaracktray.hashing import hash_text
from tamaracktray.types import Address, Instance
from tamaracktray.weights import Manifest


class Source(msgspec.Struct, frozen=True):
    """A source of chunks; the origin has an empty name and no address."""

    name: str
    address: Address | None
    is_cross_region: bool


ORIGIN = Source("", None, True)


class ChunkRanking(msgspec.Struct, frozen=True):
    """Regions and their instances, each ranked for one chunk."""

    regions: tuple[str, ...]
    names_by_region: dict[str, tuple[str, ...]]


class Holders:
    """The instances that participate in a transfer, with cached rankings.

    ``is_listed`` is set if the instance list contains this instance. A list without it
    is stale; this instance is then ranked after all others.
    """

    __slots__ = ("_rank", "by_name", "is_listed", "own")

    def __init__(
        self, own: Instance, peers: Iterable[Instance], *, is_listed: bool = True
    ) -> None:
        self.own = own
        self.is_listed = is_listed
        self.by_name: dict[str, Instance] = {own.name: own}
        for peer in peers:
            if peer.serves == own.serves and not peer.leaving:
                self.by_name[peer.name] = peer
        self._rank = lru_cache(maxsize=4_096)(self._rank_chunk)

    def is_same(self, other: "Holders") -> bool:
        """Return whether another table ranks the same instances."""
        return self.by_name == other.by_name and self.is_listed == other.is_listed

    def rank(self, digest: str) -> ChunkRanking:
        """Return the ranking of the instances for one chunk."""
        return self._rank(digest)

    def _rank_chunk(self, digest: str) -> ChunkRanking:
        names_by_region: dict[str, list[str]] = {}
        for instance in self.by_name.values():
            names_by_region.setdefault(instance.region, []).append(instance.name)
        regions = sorted(
            names_by_region, key=lambda name: hash_rendezvous(digest, name)
        )
        ranked = {
            region: tuple(sorted(names, key=lambda name: hash_rendezvous(digest, name)))
            for region, names in names_by_region.items()
        }
        return ChunkRanking(tuple(regions), ranked)

    def source(self, name: str) -> Source:
        """Return an instance as a source of chunks."""
        instance = self.by_name[name]
        is_cross_region = instance.region != self.own.region
        return Source(name, instance.address, is_cross_region)


def index_chunks(manifest: Manifest) -> dict[str, int]:
    """Return the index of every chunk; equal chunks share the first index."""
    index_by_digest: dict[str, int] = {}
    for index, digest in enumerate(manifest.chunks):
        index_by_digest.setdefault(digest, index)
    return index_by_digest


def encode_map(index_by_digest: dict[str, int], staged: set[str]) -> int:
    """Return a bitmap in which the bits of the staged chunks are set."""
    bitmap = 0
    for digest, index in index_by_digest.items():
        if digest in staged:
            bitmap |= 1 << index
    return bitmap


def hash_rendezvous(digest: str, name: str) -> int:
    """Return the rendezvous hash of a chunk and a name."""
    return hash_text(f"{digest}\n{name}")
