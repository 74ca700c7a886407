"""Relays chunks of versions from the origin to agents, fetching each chunk once."""

import time
from collections import deque
from collections.abc import Awaitable, Callable

import curio
import msgspec
import structlog
from returns.result import Failure, Result, Success

from tamaracktray.byte_rates import TokenBucket
from tamaracktray.chunk_reads import (
    HELD_QUERY,
    MANIFEST_PART,
    read_origin_chunk,
    read_origin_manifest,
    read_peer_chunk,
    read_peer_manifest,
)
from tamaracktray.engines import VersionOrigin
from tamaracktray.exceptions import SourceUnreachableError, WeightError
from tamaracktray.http_messages import Request
from tamaracktray.responders import Responder
from tamaracktray.types import Address
from tamaracktray.upstreams import Upstreams
from tamaracktray.version_keys import VersionKey, read_version_key
from tamaracktray.weights import Manifest

# Pause in calls to the origin after one has failed, in seconds.
ORIGIN_PAUSE_S = 0.1

# Unreachable peers that are tried for a part before the origin.
MAX_PEER_READS = 3

# One in this many refusals by reachable peers leads to a direct call to the origin, in
# case only the peers are disconnected from it.
REFUSALS_PER_ORIGIN_CALL = 16

# Versions of each model whose chunks are kept: the newest and the one before it.
KEPT_VERSIONS = 2

# Attempts to read a chunk from the origin before the fetch fails.
MAX_ORIGIN_READS = 2

# Concurrent chunk prefetches of an entry; two keep the origin's link busy.
MAX_PREFETCHES = 2

# Delay before a failed prefetch is retried, in seconds.
PREFETCH_RETRY_S = 0.1


class _PendingFetch:
    """A fetch in progress, whose result is shared by all requests for the part.

    ``is_from_origin`` is set while the part is read from the origin.
    """

    __slots__ = ("done", "is_from_origin", "result")

    def __init__(self) -> None:
        self.is_from_origin = False
        self.done = curio.Event()
        self.result: Result = Failure(WeightError("the fetch was cancelled"))


class ChunkRelay:
    """Chunk cache of an entry that fetches missing chunks and serves them to peers.

    ``upstreams`` selects the peers to fetch from. ``note_lost`` is called with peers
    that do not answer, so that others are selected. ``upload`` limits the rate of the
    answers to peers.
    """

    __slots__ = (
        "_chunk_by_part",
        "_manifest_by_key",
        "_report_lost",
        "_open_origin",
        "_origin_deadline",
        "_pending_by_part",
        "_prefetched_keys",
        "_refusals",
        "_upload",
        "_upstreams",
        "bytes_from_origin",
    )

    def __init__(
        self,
        upstreams: Upstreams,
        open_origin: Callable[[], VersionOrigin | None],
        note_lost: Callable[[Address], Awaitable[None]],
        upload: TokenBucket,
    ) -> None:
        self._upload = upload
        self._upstreams = upstreams
        self._open_origin = open_origin
        self._report_lost = note_lost
        self._origin_deadline = 0.0
        self._refusals = 0
        self._prefetched_keys: set[VersionKey] = set()
        self._manifest_by_key: dict[VersionKey, Manifest] = {}
        self._chunk_by_part: dict[tuple[VersionKey, int], bytes] = {}
        self._pending_by_part: dict[tuple[VersionKey, int], _PendingFetch] = {}
        self.bytes_from_origin = 0

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer a request of a peer for a part of a version."""
        key = read_version_key(request.target)
        part = request.path.rpartition("/")[2]
        if key is not None and request.path.endswith(MANIFEST_PART):
            manifest = await self.find_manifest(key)
            encoded = manifest.map(msgspec.msgpack.encode)
        elif key is not None and part.isdigit():
            if HELD_QUERY in request.query and not self._is_available(key, int(part)):
                await responder.respond(404, [])
                return
            encoded = await self.find_chunk(key, int(part))
        else:
            await responder.respond(404, [])
            return
        if isinstance(encoded, Failure):
            await responder.respond(503, [])
            return
        responder.is_body_shared = True
        await self._upload.take(len(encoded.unwrap()))
        await responder.respond(200, [], encoded.unwrap())

    def _is_available(self, key: VersionKey, index: int) -> bool:
        """Return whether a chunk is cached or being read from the origin."""
        if (key, index) in self._chunk_by_part:
            return True
        pending = self._pending_by_part.get((key, index))
        return pending is not None and pending.is_from_origin

    async def prefetch(self, key: VersionKey) -> None:
        """Fetch the chunks of a version that this entry fetches for its region."""
        if key in self._prefetched_keys:
            return
        self._prefetched_keys.add(key)
        manifest = await self.find_manifest(key)
        while isinstance(manifest, Failure):
            await curio.sleep(PREFETCH_RETRY_S)
            if self._is_outdated(key):
                return
            manifest = await self.find_manifest(key)
        remaining = deque(range(len(manifest.unwrap().chunks)))
        async with curio.TaskGroup() as group:
            for _ in range(MAX_PREFETCHES):
                await group.spawn(self._run_prefetch, key, remaining)
        structlog.get_logger().info(
            "version fetched",
            model=key.model,
            version=key.version,
            bytes_from_origin=self.bytes_from_origin,
        )

    async def _run_prefetch(self, key: VersionKey, remaining: deque[int]) -> None:
        while remaining and not self._is_outdated(key):
            index = remaining.popleft()
            if not self._upstreams.is_region_fetcher(f"{key.path}/{index}"):
                continue
            found = await self.find_chunk(key, index)
            if isinstance(found, Failure):
                remaining.append(index)
                await curio.sleep(PREFETCH_RETRY_S)

    def _is_outdated(self, key: VersionKey) -> bool:
        return any(
            other.model == key.model and other.version > key.version
            for other in self._manifest_by_key
        )

    async def find_manifest(self, key: VersionKey) -> Result[Manifest, WeightError]:
        """Return a manifest, fetching it if it is not cached."""
        known = self._manifest_by_key.get(key)
        if known is not None:
            return Success(known)
        return await self._fetch_once((key, -1), self._fetch_manifest, key)

    async def find_chunk(
        self, key: VersionKey, index: int
    ) -> Result[bytes, WeightError]:
        """Return a chunk, fetching it if it is not cached."""
        known = self._chunk_by_part.get((key, index))
        if known is not None:
            return Success(known)
        return await self._fetch_once((key, index), self._fetch_chunk, key, index)

    async def _fetch_once(self, part, fetch_part, *args) -> Result:
        """Fetch a part once for all concurrent requests."""
        pending = self._pending_by_part.get(part)
        if pending is not None:
            await pending.done.wait()
            return pending.result
        pending = _PendingFetch()
        self._pending_by_part[part] = pending
        try:
            pending.result = await fetch_part(*args)
        finally:
            del self._pending_by_part[part]
            await pending.done.set()
        return pending.result

    async def _fetch_manifest(self, key: VersionKey) -> Result[Manifest, WeightError]:
        part = key.path + MANIFEST_PART

        async def read_peer(upstream: Address) -> Result[Manifest, WeightError]:
            return await read_peer_manifest(upstream, key)

        read = await self._read_upstream(part, read_peer)
        if read is None:
            read = await self._read_origin_manifest(key)
        if isinstance(read, Success):
            self._manifest_by_key[key] = read.unwrap()
            self._evict_old(key)
        else:
            _log_failure(key, "manifest", read.failure())
        return read

    async def _fetch_chunk(
        self, key: VersionKey, index: int
    ) -> Result[bytes, WeightError]:
        manifest = await self.find_manifest(key)
        if isinstance(manifest, Failure):
            return manifest
        chunks = manifest.unwrap().chunks
        if index >= len(chunks):
            return Failure(WeightError(f"version {key.version} has no chunk {index}"))
        digest = chunks[index]

        async def read_peer(upstream: Address) -> Result[bytes, WeightError]:
            return await read_peer_chunk(upstream, key, index, digest)

        read = await self._read_upstream(f"{key.path}/{index}", read_peer)
        if read is None:
            read = await self._read_fallback(key, index, digest)
        if read is None:
            self._pending_by_part[key, index].is_from_origin = True
            read = await self._read_origin(key, index, digest)
        if isinstance(read, Success):
            self._chunk_by_part[key, index] = read.unwrap()
        else:
            _log_failure(key, str(index), read.failure())
        return read

    async def _read_upstream(
        self, part: str, read_peer: Callable[[Address], Awaitable[Result]]
    ) -> Result | None:
        """Read a part from the upstream peer; return ``None`` to read the origin.

        A peer without the part asks the origin itself, so after its refusal this entry
        rarely does the same, because the origin's link is the slowest.
        """
        for _ in range(MAX_PEER_READS):
            upstream = self._upstreams.find(part)
            if upstream is None:
                return None
            read = await read_peer(upstream)
            if isinstance(read, Success):
                return read
            if isinstance(read.failure(), SourceUnreachableError):
                await self._report_lost(upstream)
                continue
            self._refusals += 1
            return None if self._refusals % REFUSALS_PER_ORIGIN_CALL == 0 else read
        return None

    async def _read_fallback(
        self, key: VersionKey, index: int, digest: str
    ) -> Result[bytes, WeightError] | None:
        """Read a chunk that the fallback peer has; return ``None`` if it has none."""
        fallback = self._upstreams.find_fallback(f"{key.path}/{index}")
        if fallback is None:
            return None
        read = await read_peer_chunk(fallback, key, index, digest, only_if_held=True)
        if isinstance(read, Success):
            return read
        if isinstance(read.failure(), SourceUnreachableError):
            await self._report_lost(fallback)
        return None

    async def _read_origin_manifest(
        self, key: VersionKey
    ) -> Result[Manifest, WeightError]:
        origin = self._open_origin()
        if origin is None:
            return Failure(WeightError("the origin is not known yet"))
        if time.monotonic() < self._origin_deadline:
            return Failure(WeightError("the origin has just failed"))
        read = await read_origin_manifest(origin, key)
        if isinstance(read, Failure):
            self._origin_deadline = time.monotonic() + ORIGIN_PAUSE_S
        return read

    async def _read_origin(
        self, key: VersionKey, index: int, digest: str
    ) -> Result[bytes, WeightError]:
        """Read a chunk from the origin, retrying if that fails or it is corrupt."""
        read: Result[bytes, WeightError] = Failure(WeightError("not tried"))
        for _ in range(MAX_ORIGIN_READS):
            origin = self._open_origin()
            if origin is None:
                return Failure(WeightError("the origin is not known yet"))
            if time.monotonic() < self._origin_deadline:
                return Failure(WeightError("the origin has just failed"))
            read = await read_origin_chunk(origin, key, index, digest)
            if isinstance(read, Success):
                self.bytes_from_origin += len(read.unwrap())
                return read
        self._origin_deadline = time.monotonic() + ORIGIN_PAUSE_S
        return read

    def _evict_old(self, newest: VersionKey) -> None:
        """Evict all but the newest versions of a model."""
        versions = sorted(
            key.version for key in self._manifest_by_key if key.model == newest.model
        )
        for version in versions[:-KEPT_VERSIONS]:
            outdated = VersionKey(newest.model, version)
            del self._manifest_by_key[outdated]
            self._prefetched_keys.discard(outdated)
            for part in [part for part in self._chunk_by_part if part[0] == outdated]:
                del self._chunk_by_part[part]


def _log_failure(key: VersionKey, part: str, error: WeightError) -> None:
    structlog.get_logger().info(
        "part not fetched",
        request_line=True,
        model=key.model,
        version=key.version,
        part=part,
        error=error.message,
    )
