"""Writes claims to the platform, batched into one conditional update per shard."""

import time
import uuid
from collections import OrderedDict

import curio
import msgspec
import structlog
from returns.result import Failure, Success

from tamaracktray.claims import (
    MAX_SHARD_BYTES,
    ClaimChange,
    ClaimResult,
    ClaimShard,
    apply_changes,
    name_shard,
)
from tamaracktray.decoding import convert_value
from tamaracktray.exceptions import (
    ConflictError,
    ObjectNotFoundError,
    WriteOutcomeUnknownError,
)
from tamaracktray.objects import CLAIMS, ObjectStore, put_and_confirm
from tamaracktray.outcomes import ClaimOutcome

BATCH_WINDOW_S = 0.003
MAX_TRIES = 10
MAX_CACHED_SHARDS = 16
MAX_CACHED_BYTES = 100_000

UNAVAILABLE = ClaimResult(ClaimOutcome.UNAVAILABLE)


class _PendingChange:
    """A change that waits for its batch to be written."""

    __slots__ = ("change", "event", "result")

    def __init__(self, change: ClaimChange) -> None:
        self.change = change
        self.event = curio.Event()
        self.result = UNAVAILABLE


class ClaimWriter:
    """Batches the claim changes of ``BATCH_WINDOW_S`` by shard.

    Recently used shards are cached, so a claim usually costs one write and no read. A
    stale cache entry costs a write conflict and a read.
    """

    __slots__ = ("_cache", "_store", "_pending_by_shard", "writes")

    def __init__(self, store: ObjectStore) -> None:
        self._store = store
        self._pending_by_shard: dict[str, list[_PendingChange]] = {}
        self._cache: OrderedDict[str, tuple[ClaimShard, int]] = OrderedDict()
        self.writes = 0

    async def apply(self, change: ClaimChange) -> ClaimResult:
        """Apply one change and return its result.

        ``UNAVAILABLE`` means that the change is not known to have been applied.
        """
        shard_name = name_shard(change.key)
        pending = _PendingChange(change)
        batch = self._pending_by_shard.get(shard_name)
        if batch is None:
            self._pending_by_shard[shard_name] = [pending]
            await curio.spawn(self._write_batch, shard_name, daemon=True)
        else:
            batch.append(pending)
        await pending.event.wait()
        return pending.result

    async def _write_batch(self, shard_name: str) -> None:
        await curio.sleep(BATCH_WINDOW_S)
        batch = self._pending_by_shard.pop(shard_name)
        changes = [pending.change for pending in batch]
        results = await self._write(shard_name, changes)
        for pending, result in zip(batch, results, strict=True):
            pending.result = result
            await pending.event.set()

    async def _write(
        self, shard_name: str, changes: list[ClaimChange]
    ) -> list[ClaimResult]:
        """Update a shard; read it again and retry after each conflict."""
        unavailable = [UNAVAILABLE] * len(changes)
        for _ in range(MAX_TRIES):
            read = await self._read(shard_name)
            if read is None:
                return unavailable
            shard, version = read
            changed, results = apply_changes(shard, changes, time.time())
            if changed is shard and self._cache.pop(shard_name, None) is not None:
                # Without a write, nothing shows that the cached shard is current.
                continue
            if changed is shard:
                return results
            if len(msgspec.json.encode(changed)) > MAX_SHARD_BYTES:
                return unavailable
            self.writes += 1
            written = await put_and_confirm(
                self._store,
                CLAIMS,
                shard_name,
                msgspec.to_builtins(changed),
                version,
                uuid.uuid4().hex,
            )
            if isinstance(written, Success):
                self._cache_shard(shard_name, changed, written.unwrap().version)
                return results
            self._cache.pop(shard_name, None)
            error = written.failure()
            # A write with an unclear outcome is retried. That is idempotent, as the
            # record contains its holder.
            if not isinstance(error, ConflictError | WriteOutcomeUnknownError):
                return unavailable
        return unavailable

    async def _read(self, shard_name: str) -> tuple[ClaimShard, int] | None:
        cached = self._cache.get(shard_name)
        if cached is not None:
            return cached
        found = await self._store.get(CLAIMS, shard_name)
        if isinstance(found, Failure):
            if isinstance(found.failure(), ObjectNotFoundError):
                return ClaimShard(), 0
            return None
        stored = found.unwrap()
        shard = convert_value(stored.value, ClaimShard)
        if isinstance(shard, Failure):
            error = shard.failure().message
            structlog.get_logger().warning(
                "claims unreadable", shard=shard_name, error=error
            )
            return None
        return shard.unwrap(), stored.version

    def _cache_shard(self, shard_name: str, shard: ClaimShard, version: int) -> None:
        self._cache.pop(shard_name, None)
        if len(msgspec.json.encode(shard)) > MAX_CACHED_BYTES:
            return
        self._cache[shard_name] = (shard, version)
        while len(self._cache) > MAX_CACHED_SHARDS:
            self._cache.popitem(last=False)
