"""Keeps collections of the platform's store current by long polls.

A watch that is open when the store stops responding may never be answered, although
its connection stays up. The configuration is therefore watched with a short timeout. If
such a watch gets no answer, all other watches are reopened. If its answer shows that
the store has changed since another watch was opened, that one is reopened: it may be
silent while new connections work.

A waiting watch may be cut off or become silent while the store is available, so it
takes a failed retry to show an outage. While the store fails, only one collection
retries and the others wait, because every call is charged, including rejected ones.
"""

import math
import random
import time
from collections.abc import Awaitable, Callable

import curio
import msgspec
import structlog
from returns.result import Failure, Result

from tamaracktray.events import Event
from tamaracktray.exceptions import (
    PlatformError,
    RevisionExpiredError,
    WatchReopenedError,
)
from tamaracktray.metrics import Metrics
from tamaracktray.node_events import (
    CollectionChanged,
    CollectionListed,
    StoreLost,
)
from tamaracktray.objects import ObjectList, ObjectStore
from tamaracktray.positions import UNKNOWN, Position
from tamaracktray.snapshots import Collection, SnapshotCache

# Delay in seconds between two watches of a collection, which batches changes that occur
# together into one call.
BATCH_DELAY_S = 0.05
BATCH_DELAY_S_BY_COLLECTION = {
    Collection.ENDPOINTS: 0.5,
    Collection.ROUTING: 0.4,
    # All entries of a starting fleet register within about one second.
    Collection.MEMBERS: 1.0,
}

# Age in seconds from which a watch is reopened if the store has changed since it was
# opened. The endpoints come first, because they change most and at the shortest notice.
RENEWAL_AGE_S_BY_COLLECTION = {
    Collection.ENDPOINTS: 0.0,
    Collection.EVACUATIONS: 2.0,
    Collection.VERSIONS: 2.0,
}

# Time in seconds within which a store that is available answers a retry. A store that
# hangs answers what it holds later, and records may have expired meanwhile.
PROMPT_ANSWER_S = 0.3

# Changes in one watch of the configuration above which the next read is a list: each
# change contains the whole configuration, a list only the latest one.
MAX_WATCHED_CHANGES = 1

# Interval in seconds at which a process that does not read the store checks whether it
# has become a reader.
READER_CHECK_INTERVAL_S = 0.2

# Maximum time in seconds that a collection waits for another one's retries to succeed.
# It is bounded because calls may fail for a single collection only.
MAX_PROBE_WAIT_S = 3.0

# Reads of a collection that is needed once, until one succeeds.
MAX_READS = 6


class StoreReadContext(msgspec.Struct):
    """The store, callbacks and timeouts that ``CollectionReader`` uses.

    ``may_read`` returns whether this process reads a collection itself. A watch lasts
    up to ``watch_s`` seconds, one of the configuration at most ``probe_s``. Failed
    calls are retried after a random delay of ``min_retry_delay_s`` to
    ``max_retry_delay_s`` seconds.
    """

    store: ObjectStore
    read_snapshot_cache: Callable[[], SnapshotCache]
    may_read: Callable[[Collection], bool]
    dispatch: Callable[[Event], Awaitable[None]]
    metrics: Metrics
    random: random.Random
    watch_s: float
    probe_s: float
    min_retry_delay_s: float
    max_retry_delay_s: float


class OpenWatch(msgspec.Struct, frozen=True):
    """A waiting watch, opened at ``opened_at`` when ``known`` was the last position."""

    task: curio.Task
    opened_at: float
    known: Position


class CollectionReader:
    """Reads the collections for one process."""

    __slots__ = (
        "_context",
        "_last_position",
        "_log",
        "_probing_collection",
        "_relist_due",
        "_store_available",
        "_watches",
    )

    def __init__(self, context: StoreReadContext) -> None:
        self._context = context
        self._log = structlog.get_logger()
        self._probing_collection: Collection | None = None
        self._store_available = curio.Event()
        self._relist_due: set[Collection] = set()
        self._last_position = UNKNOWN
        self._watches: dict[Collection, OpenWatch] = {}

    def build_loop(self, collection: Collection) -> Callable[[], Awaitable[None]]:
        """Return the background loop that keeps a collection current."""

        async def run_collection() -> None:
            await self._run_collection(collection)

        return run_collection

    async def relist(self) -> None:
        """Make all collections be listed again, also those with an open watch."""
        self._relist_due.update(Collection)
        for watch in list(self._watches.values()):
            await watch.task.cancel(blocking=False)

    async def read_once(self, collection: Collection) -> None:
        """Read a collection; log failures and retry a few times."""
        context = self._context
        for _ in range(MAX_READS):
            failure = await self._list(collection)
            if failure is None:
                return
            self._log.info(
                "collection not read",
                collection=collection.value,
                error=failure.message,
            )
            retry_delay_s = context.random.uniform(
                context.min_retry_delay_s, context.max_retry_delay_s
            )
            await curio.sleep(retry_delay_s)

    async def _run_collection(self, collection: Collection) -> None:
        """Keep a collection current by repeated long polls."""
        is_listed = is_changing_fast = False
        failed_at = 0.0
        while True:
            started_at = time.monotonic()
            if not self._context.may_read(collection):
                is_listed = False
                await curio.sleep(READER_CHECK_INTERVAL_S)
                continue
            if collection in self._relist_due:
                self._relist_due.discard(collection)
                is_listed = False
            is_waiting = is_listed and self._probing_collection is not collection
            if not is_listed:
                previous_change = self._read_changed_position(collection)
                failure, changes = await self._list(collection), 1
                is_listed = failure is None
                if is_changing_fast:
                    # While every list returns a change, a watch would return several.
                    is_changing_fast = (
                        is_listed
                        and self._read_changed_position(collection) != previous_change
                    )
                    is_listed = is_listed and not is_changing_fast
            else:
                failure, changes = await self._watch(collection)
                is_changing_fast = (
                    collection is Collection.ROUTING and changes > MAX_WATCHED_CHANGES
                )
                is_expired = isinstance(failure, RevisionExpiredError)
                is_listed = not is_changing_fast and not is_expired
                is_cut = is_waiting and failure is not None and failure.is_cut
                if is_cut:
                    # The retry shows whether the store is available.
                    self._note_cut(collection)
                if is_cut or isinstance(failure, WatchReopenedError):
                    await self._pause(collection, failure)
                    continue
            if failure is None:
                await self._record_success(collection, failed_at)
                if collection is Collection.ROUTING:
                    await self._renew_watches()
                failed_at = 0.0
                batch_delay_s = BATCH_DELAY_S_BY_COLLECTION.get(
                    collection, BATCH_DELAY_S
                )
                if not changes:
                    batch_delay_s -= time.monotonic() - started_at
                await curio.sleep(max(batch_delay_s, 0.0))
                continue
            if isinstance(failure, RevisionExpiredError):
                self._log.info("history expired", collection=collection.value)
                continue
            is_confirmed = not (is_waiting and failure.is_timed_out)
            await self._record_failure(
                collection, failure, is_first=not failed_at, is_confirmed=is_confirmed
            )
            failed_at = failed_at or time.monotonic()
            await self._pause(collection, failure, is_confirmed=is_confirmed)

    async def _pause(
        self,
        collection: Collection,
        failure: PlatformError,
        *,
        is_confirmed: bool = True,
    ) -> None:
        """Wait before the next call; only one collection retries at a time.

        There is no wait after a failure that isn't confirmed yet.
        """
        if isinstance(failure, WatchReopenedError) and self._probing_collection is None:
            # The store became available again while this watch was being cancelled.
            return
        if self._probing_collection is None:
            self._probing_collection = collection
            self._store_available.clear()
        if failure.is_timed_out:
            await self._reopen_watches(collection)
        if self._probing_collection is not collection:
            await curio.ignore_after(MAX_PROBE_WAIT_S, self._store_available.wait())
            return
        if not is_confirmed:
            return
        context = self._context
        retry_delay_s = context.random.uniform(
            context.min_retry_delay_s, context.max_retry_delay_s
        )
        await curio.sleep(retry_delay_s)

    async def _reopen_watches(self, unresponsive: Collection) -> None:
        """Cancel all other watches, which may not be answered either."""
        for collection, watch in list(self._watches.items()):
            if collection is not unresponsive:
                await watch.task.cancel(blocking=False)

    async def _renew_watches(self) -> None:
        """Reopen old watches that have not returned any of the latest changes."""
        now = time.monotonic()
        for collection, watch in list(self._watches.items()):
            renewal_age_s = RENEWAL_AGE_S_BY_COLLECTION.get(collection, math.inf)
            if now - watch.opened_at < renewal_age_s:
                continue
            if watch.known < self._last_position:
                await watch.task.cancel(blocking=False)

    async def _record_success(self, collection: Collection, failed_at: float) -> None:
        if self._probing_collection is not None:
            self._probing_collection = None
            await self._store_available.set()
        if failed_at:
            lost_s = round(time.monotonic() - failed_at, 3)
            self._log.info("store regained", collection=collection.value, lost_s=lost_s)

    async def _record_failure(
        self,
        collection: Collection,
        failure: PlatformError,
        *,
        is_first: bool,
        is_confirmed: bool,
    ) -> None:
        self._context.metrics.count("store_failures", collection=collection.value)
        await self._context.dispatch(
            StoreLost(time.monotonic(), is_confirmed=is_confirmed)
        )
        if is_first:
            self._log.warning(
                "store lost", collection=collection.value, error=failure.message
            )

    def _read_changed_position(self, collection: Collection) -> Position:
        return (
            self._context.read_snapshot_cache()
            .by_collection[collection]
            .changed_position
        )

    async def _list(self, collection: Collection) -> PlatformError | None:
        self._count_call(collection, "list")
        listed = await self._context.store.list(collection)
        if isinstance(listed, Failure):
            return listed.failure()
        objects = listed.unwrap()
        self._note_position(objects)
        self._count_unreadable(collection, objects)
        await self._context.dispatch(
            CollectionListed(
                time.monotonic(),
                collection,
                objects.items,
                objects.revision,
                objects.era,
            )
        )
        if objects.era >= (self._context.store.era or 0):
            self._relist_due.discard(collection)
        return None

    async def _watch(self, collection: Collection) -> tuple[PlatformError | None, int]:
        """Wait for changes; return the failure, if any, and the number of changes."""
        self._count_call(collection, "watch")
        known = self._context.read_snapshot_cache().by_collection[collection].position
        watched = await self._wait_for_changes(collection, known.revision)
        if isinstance(watched, Failure):
            return watched.failure(), 0
        changes = watched.unwrap()
        self._note_position(changes)
        if changes.era != known.era:
            message = f"{collection.value}: watched from era {known.era}"
            return RevisionExpiredError(message), 0
        self._count_unreadable(collection, changes)
        await self._context.dispatch(
            CollectionChanged(
                time.monotonic(),
                collection,
                changes.items,
                changes.revision,
                changes.era,
            )
        )
        return None, len(changes.items)

    async def _wait_for_changes(
        self, collection: Collection, revision: int
    ) -> Result[ObjectList, PlatformError]:
        """Wait for changes in a separate task, so that the watch can be cancelled."""
        watch_s = self._context.watch_s
        if collection is Collection.ROUTING:
            watch_s = min(watch_s, self._context.probe_s)
        if self._probing_collection is collection:
            # A retry must return at once to show that the store is available again.
            watch_s = 0.0
        watch = await curio.spawn(
            self._context.store.watch, collection, revision, watch_s
        )
        self._watches[collection] = OpenWatch(
            watch, time.monotonic(), self._last_position
        )
        try:
            if not watch_s:
                await self._note_slow_retry(watch)
            return await watch.join()
        except curio.TaskError as error:
            if not watch.cancelled:
                raise
            return Failure(WatchReopenedError(f"{collection.value}: {error}"))
        except curio.CancelledError:
            await watch.cancel()
            raise
        finally:
            del self._watches[collection]

    async def _note_slow_retry(self, retry: curio.Task) -> None:
        """Report an outage if a retry is not answered promptly."""
        await curio.ignore_after(PROMPT_ANSWER_S, retry.wait)
        if not retry.terminated:
            await self._context.dispatch(StoreLost(time.monotonic()))

    def _count_unreadable(self, collection: Collection, objects: ObjectList) -> None:
        for item in objects.items:
            if item.value is not None or item.deleted:
                continue
            self._context.metrics.count(
                "objects_unreadable", collection=collection.value
            )

    def _note_position(self, objects: ObjectList) -> None:
        position = Position(objects.era, objects.revision)
        self._last_position = max(self._last_position, position)

    def _note_cut(self, collection: Collection) -> None:
        self._context.metrics.count("watches_cut", collection=collection.value)
        self._log.info("watch cut", collection=collection.value)

    def _count_call(self, collection: Collection, kind: str) -> None:
        metrics = self._context.metrics
        metrics.count("store_calls", kind=kind, collection=collection.value)
