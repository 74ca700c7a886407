"""Plan of one weight transfer: which chunk to fetch next, and from where.

For each chunk, regions and the instances within a region are ranked by rendezvous
hashing. The first instance of the first region fetches the chunk from the origin. The
first instance of every other region fetches it from that instance. All others fetch it
from a peer of their region that is known to have it, or from the first instance of
their region. The origin and each slow link between regions thus carry about one copy.
Every answer of a peer includes a map of the chunks that it has. A lower-ranked instance
takes over after a deadline that grows with its rank. The deadline restarts while a
higher-ranked instance is at work.
"""

from collections.abc import Iterable

import msgspec

from tamaracktray.effects import FetchChunk
from tamaracktray.holders import (
    ORIGIN,
    ChunkRanking,
    Holders,
    Source,
    hash_rendezvous,
    index_chunks,
)
from tamaracktray.outcomes import FetchOutcome
from tamaracktray.weights import Manifest

MAX_PARALLEL_FETCHES = 4
OWNER_INITIAL_PROBES = 2
OWNER_PROBE_INTERVAL = 4
MAX_RANKED_SOURCES = 2
CHUNK_RETRY_S = 0.1
FAILED_SOURCE_BACKOFF_S = 10.0
CORRUPT_SOURCE_BACKOFF_S = 2.0
FIRST_REGION_TAKEOVERS = 2


class TransferSettings(msgspec.Struct, frozen=True):
    """Timeouts of one transfer, in seconds.

    ``chunk_timeout_s`` limits one fetch. ``takeover_s`` is the time after which the
    next instance in rank uses the source of the instance ranked above it. A
    verification of the staged chunks is valid for ``verify_ttl_s``.
    """

    chunk_timeout_s: float = 10.0
    takeover_s: float = 5.0
    verify_ttl_s: float = 30.0


class ChunkState:
    """Progress of one missing chunk.

    ``tries`` counts the choices of a source. ``stalled_since`` is the time since which
    no higher-ranked peer of the region has reported the chunk as pending, or 0 while
    one does. ``upstream_stalled_since`` is the same for sources outside the region.
    Takeover timeouts count from these times. A source that sent a corrupt copy is
    avoided only until its deadline because it may be the only source.
    ``has_upstream_failed`` is set if a source outside the region failed, or if the
    first instance of the region has no usable source.
    """

    __slots__ = (
        "corrupt_deadline_by_source",
        "has_upstream_failed",
        "retry_deadline",
        "stalled_since",
        "tries",
        "upstream_stalled_since",
    )

    def __init__(self) -> None:
        self.tries = 0
        self.stalled_since = 0.0
        self.upstream_stalled_since = 0.0
        self.retry_deadline = 0.0
        self.has_upstream_failed = False
        self.corrupt_deadline_by_source: dict[str, float] = {}


class Transfer:
    """State of fetching the chunks of one manifest.

    ``chunk_maps_by_source`` holds the last chunk map of each peer, a bitmap over the
    manifest's chunks. ``_local_map`` is the union of the maps of the local region.
    """

    __slots__ = (
        "_holders",
        "_index_by_digest",
        "_local_map",
        "_fetch_order",
        "_settings",
        "block_deadline_by_source",
        "in_flight",
        "manifest",
        "chunk_maps_by_source",
        "missing_by_digest",
    )

    def __init__(
        self,
        manifest: Manifest,
        staged: Iterable[str],
        holders: Holders,
        settings: TransferSettings,
    ) -> None:
        self.manifest = manifest
        self._settings = settings
        staged_digests = set(staged)
        self.missing_by_digest = {
            digest: ChunkState()
            for digest in manifest.chunks
            if digest not in staged_digests
        }
        self._index_by_digest = index_chunks(manifest)
        self.in_flight: dict[str, str] = {}
        self.chunk_maps_by_source: dict[str, int] = {}
        self._local_map = 0
        self.block_deadline_by_source: dict[str, float] = {}
        self.update_holders(holders)

    def update_holders(self, holders: Holders) -> None:
        """Apply a new instance list and recompute the fetch order."""
        self._holders = holders
        own_name = holders.own.name
        self._fetch_order = sorted(
            self.missing_by_digest,
            key=lambda digest: (
                not self._is_owner(digest),
                hash_rendezvous(digest, own_name),
            ),
        )

    @property
    def is_complete(self) -> bool:
        """Return whether every chunk is staged."""
        return not self.missing_by_digest

    def is_pending(self, digest: str) -> bool:
        """Return whether a missing chunk is expected to be staged soon."""
        chunk = self.missing_by_digest.get(digest)
        return chunk is not None and not chunk.has_upstream_failed

    def plan(self, now: float) -> list[FetchChunk]:
        """Return the fetches to start now."""
        fetches: list[FetchChunk] = []
        if len(self.in_flight) >= MAX_PARALLEL_FETCHES:
            return fetches
        for digest in self._list_candidates(now):
            if len(self.in_flight) >= MAX_PARALLEL_FETCHES:
                break
            chunk = self.missing_by_digest[digest]
            source = self._choose_source(now, digest, chunk)
            if source is None:
                chunk.retry_deadline = now + CHUNK_RETRY_S
                continue
            self.in_flight[digest] = source.name
            fetches.append(self._build_fetch(digest, source))
        return fetches

    def _list_candidates(self, now: float) -> list[str]:
        """Return the chunks to try now, those with a known holder first.

        The others follow in the order of their retry deadlines, which keeps unavailable
        chunks from blocking the rest.
        """
        known: list[str] = []
        unknown: list[str] = []
        for digest in self._fetch_order:
            chunk = self.missing_by_digest.get(digest)
            if chunk is None or digest in self.in_flight:
                continue
            if chunk.retry_deadline > now:
                continue
            if self._local_map >> self._index_by_digest[digest] & 1:
                known.append(digest)
                continue
            unknown.append(digest)
        unknown.sort(key=lambda digest: self.missing_by_digest[digest].retry_deadline)
        return known + unknown

    def record_chunk_map(self, source: str, bitmap: int) -> None:
        """Record the chunk map that a peer reported."""
        self.chunk_maps_by_source[source] = bitmap
        instance = self._holders.by_name.get(source)
        if instance is not None and instance.region == self._holders.own.region:
            self._local_map |= bitmap

    def note_result(
        self, now: float, digest: str, source: str, outcome: FetchOutcome
    ) -> None:
        """Record the result of one fetch."""
        if self.in_flight.get(digest) == source:
            del self.in_flight[digest]
        chunk = self.missing_by_digest.get(digest)
        if chunk is None:
            return
        if outcome is FetchOutcome.STORED:
            del self.missing_by_digest[digest]
            return
        chunk.retry_deadline = now + CHUNK_RETRY_S
        if outcome is FetchOutcome.CORRUPT:
            chunk.corrupt_deadline_by_source[source] = now + CORRUPT_SOURCE_BACKOFF_S
        if outcome is FetchOutcome.FAILED:
            self.block_deadline_by_source[source] = now + FAILED_SOURCE_BACKOFF_S
            chunk.has_upstream_failed = chunk.has_upstream_failed or self._is_upstream(
                source
            )
        if self._is_upstream(source):
            chunk.upstream_stalled_since = _update_stalled_since(
                now, chunk.upstream_stalled_since, outcome
            )
            if outcome is FetchOutcome.PENDING:
                chunk.has_upstream_failed = False
        elif self._is_ranked_higher(digest, source):
            chunk.stalled_since = _update_stalled_since(
                now, chunk.stalled_since, outcome
            )

    def mark_missing(self, digests: Iterable[str]) -> None:
        """Mark chunks as missing again."""
        for digest in digests:
            self.missing_by_digest.setdefault(digest, ChunkState())
        self.update_holders(self._holders)

    def _is_upstream(self, source: str) -> bool:
        instance = self._holders.by_name.get(source)
        return instance is None or instance.region != self._holders.own.region

    def _is_ranked_higher(self, digest: str, source: str) -> bool:
        """Return whether a local peer is ranked higher than this instance."""
        own = self._holders.own
        local = self._holders.rank(digest).names_by_region[own.region]
        return local.index(source) < local.index(own.name)

    def _build_fetch(self, digest: str, source: Source) -> FetchChunk:
        return FetchChunk(
            digest,
            source.name,
            source.address,
            source.is_cross_region,
            self._settings.chunk_timeout_s,
        )

    def _choose_source(
        self, now: float, digest: str, chunk: ChunkState
    ) -> Source | None:
        """Return the next source to ask for a chunk, or ``None``.

        Every second try (fewer for the owner) goes to a random peer of the region. Its
        answer includes its chunk map, which reveals new holders and spreads uploads.
        """
        try_number = chunk.tries
        chunk.tries += 1
        if self._is_probe(digest, try_number):
            peer = self._choose_random_peer(digest, try_number)
            if peer and self._is_usable(now, chunk, peer):
                return self._holders.source(peer)
        known = self._list_known(now, digest, chunk)
        if known:
            start = hash_rendezvous(digest, self._holders.own.name)
            return self._holders.source(known[(start + try_number // 2) % len(known)])
        usable = [
            source
            for source in self._list_sources(now, digest, chunk)
            if self._is_usable(now, chunk, source.name)
        ]
        if not usable:
            # Peers must not wait for this instance to get the chunk.
            chunk.has_upstream_failed = chunk.has_upstream_failed or self._is_owner(
                digest
            )
            return None
        return usable[try_number // 2 % len(usable)]

    def _is_owner(self, digest: str) -> bool:
        """Return whether this instance is ranked first in its region for a chunk."""
        own = self._holders.own
        return self._holders.rank(digest).names_by_region[own.region][0] == own.name

    def _is_probe(self, digest: str, try_number: int) -> bool:
        """Return whether a try goes to a random peer, which is rare for an owner."""
        if self._is_owner(digest):
            return (
                try_number < OWNER_INITIAL_PROBES
                or try_number % OWNER_PROBE_INTERVAL == 0
            )
        return try_number % 2 == 1

    def _choose_random_peer(self, digest: str, try_number: int) -> str:
        """Return a random peer of the local region, or an empty name."""
        local = self._holders.rank(digest).names_by_region[self._holders.own.region]
        own_name = self._holders.own.name
        if len(local) < 2:
            return ""
        position = hash_rendezvous(digest, f"{own_name}{try_number}") % len(local)
        if local[position] == own_name:
            position = (position + 1) % len(local)
        return local[position]

    def _is_usable(self, now: float, chunk: ChunkState, source: str) -> bool:
        if chunk.corrupt_deadline_by_source.get(source, 0.0) > now:
            return False
        return self.block_deadline_by_source.get(source, 0.0) <= now

    def _list_known(self, now: float, digest: str, chunk: ChunkState) -> list[str]:
        """Return the usable local peers that reported a chunk."""
        bit = 1 << self._index_by_digest[digest]
        by_name = self._holders.by_name
        region = self._holders.own.region
        return [
            name
            for name, bitmap in self.chunk_maps_by_source.items()
            if bitmap & bit
            and name in by_name
            and by_name[name].region == region
            and self._is_usable(now, chunk, name)
        ]

    def _list_sources(self, now: float, digest: str, chunk: ChunkState) -> list[Source]:
        """Return the sources to ask while no local holder is known."""
        ranking = self._holders.rank(digest)
        local = ranking.names_by_region[self._holders.own.region]
        rank = local.index(self._holders.own.name)
        higher_ranked = local[:rank][:MAX_RANKED_SOURCES]
        takeover_rank = rank if self._holders.is_listed else len(local)
        if not any(self._is_usable(now, chunk, name) for name in higher_ranked):
            chunk.stalled_since = chunk.stalled_since or now
        sources = [self._holders.source(name) for name in higher_ranked]
        if not chunk.stalled_since:
            return sources
        stalled_s = now - chunk.stalled_since
        if stalled_s >= takeover_rank * self._settings.takeover_s:
            sources.extend(self._list_upstream(now, ranking, chunk))
        return sources

    def _list_upstream(
        self, now: float, ranking: ChunkRanking, chunk: ChunkState
    ) -> list[Source]:
        """Return the sources outside the local region, preferred sources first."""
        own_region = self._holders.own.region
        position = ranking.regions.index(own_region)
        if position == 0:
            return [ORIGIN]
        first_region_names = ranking.names_by_region[ranking.regions[0]]
        upstream = [self._holders.source(first_region_names[0])]
        steps = 0
        if not self._is_usable(now, chunk, first_region_names[0]):
            chunk.upstream_stalled_since = chunk.upstream_stalled_since or now
        if chunk.upstream_stalled_since:
            stalled_s = now - chunk.upstream_stalled_since
            steps = int(stalled_s // self._settings.takeover_s)
        if steps >= 1:
            upstream.extend(
                self._holders.source(name) for name in first_region_names[1:2]
            )
            upstream.extend(
                self._holders.source(ranking.names_by_region[region][0])
                for region in ranking.regions[1:position]
            )
        # The instances of the first region may use the origin before this one.
        if steps > position + FIRST_REGION_TAKEOVERS:
            upstream.append(ORIGIN)
        return upstream


def _update_stalled_since(
    now: float, stalled_since: float, outcome: FetchOutcome
) -> float:
    """Return the updated start of a stall after one more answer."""
    if outcome is FetchOutcome.PENDING:
        return 0.0
    return stalled_since or now
