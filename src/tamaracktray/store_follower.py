"""Follows collections of the platform's store by long polls.

A watch that is open when the store falls silent may never be answered, though its
connection lives. The configuration is therefore watched for short times, and when one
of these watches gets no answer all others are opened anew. While the store fails, one
collection asks it again and again and the others wait: every call is paid for, also
those that are turned away.
"""

import random
import time
from collections.abc import Awaitable, Callable

import curio
import msgspec
import structlog
from returns.result import Failure, Result

from tamaracktray.direct_events import (
    CollectionChanged,
    CollectionListed,
    StoreLost,
)
from tamaracktray.events import Event
from tamaracktray.exceptions import (
    PlatformError,
    PlatformUnavailableError,
    RevisionExpiredError,
    WatchReopenedError,
)
from tamaracktray.metrics import Metrics
from tamaracktray.objects import ObjectList, ObjectStore
from tamaracktray.snapshots import Collection, Knowledge

# Pause between two watches of a collection, so that changes which come together cost
# one call, in seconds.
SETTLE_S = 0.05
SETTLE_S_BY_COLLECTION = {
    Collection.ENDPOINTS: 0.5,
    Collection.ROUTING: 0.4,
    # All entries of a fleet that starts enter themselves within about a second.
    Collection.MEMBERS: 1.0,
}

# Changes that one watch of the configuration may bring before the next read lists its
# newest state only: each change carries it as a whole.
MAX_WATCHED_CHANGES = 1

# Pause before a process that leaves the reading to others looks again whether it still
# may, in seconds.
FOLLOWER_CHECK_S = 0.2

# Longest time in which a collection waits for another to find the store again, in
# seconds: calls may fail for one collection alone.
PROBE_WAIT_S = 3.0


class StoreCalls(msgspec.Struct):
    """What reading the store needs of a process.

    ``may_read`` tells whether the process itself reads a collection. A watch waits for
    ``watch_s``, one of the configuration for ``probe_s``. Failed calls are repeated
    after ``least_pause_s`` to ``longest_pause_s``.
    """

    store: ObjectStore
    read_knowledge: Callable[[], Knowledge]
    may_read: Callable[[Collection], bool]
    dispatch: Callable[[Event], Awaitable[None]]
    metrics: Metrics
    random: random.Random
    watch_s: float
    probe_s: float
    least_pause_s: float
    longest_pause_s: float


class StoreFollower:
    """Reads the collections of one process."""

    __slots__ = ("_calls", "_log", "_prober", "_returned", "_watches")

    def __init__(self, calls: StoreCalls) -> None:
        self._calls = calls
        self._log = structlog.get_logger()
        self._prober: Collection | None = None
        self._returned = curio.Event()
        self._watches: dict[Collection, curio.Task] = {}

    def build_loop(self, collection: Collection) -> Callable[[], Awaitable[None]]:
        """Return the endless task that follows a collection."""

        async def follow() -> None:
            await self._follow(collection)

        return follow

    async def read_once(self, collection: Collection) -> None:
        """Read a collection, if the store answers."""
        failure = await self._list(collection)
        if failure is not None:
            self._log.info(
                "collection not read",
                collection=collection.value,
                error=failure.message,
            )

    async def _follow(self, collection: Collection) -> None:
        """Follow a collection by one long poll after another."""
        is_listed = is_stormy = False
        failed_at = 0.0
        while True:
            begun = time.monotonic()
            if not self._calls.may_read(collection):
                is_listed = False
                await curio.sleep(FOLLOWER_CHECK_S)
                continue
            if not is_listed:
                before = self._find_change(collection)
                failure, changes = await self._list(collection), 1
                is_listed = failure is None
                if is_stormy:
                    # As long as every list brings a change, a watch would bring more.
                    is_stormy = is_listed and self._find_change(collection) != before
                    is_listed = is_listed and not is_stormy
            else:
                failure, changes = await self._watch(collection)
                is_stormy = (
                    collection is Collection.ROUTING and changes > MAX_WATCHED_CHANGES
                )
                is_expired = isinstance(failure, RevisionExpiredError)
                is_listed = not is_stormy and not is_expired
                if isinstance(failure, WatchReopenedError):
                    await self._pause(collection, failure)
                    continue
            if failure is None:
                await self._note_success(collection, failed_at)
                failed_at = 0.0
                settle_s = SETTLE_S_BY_COLLECTION.get(collection, SETTLE_S)
                if not changes:
                    settle_s -= time.monotonic() - begun
                await curio.sleep(max(settle_s, 0.0))
                continue
            if isinstance(failure, RevisionExpiredError):
                self._log.info("history expired", collection=collection.value)
                continue
            await self._note_failure(collection, failure, is_first=not failed_at)
            failed_at = failed_at or time.monotonic()
            await self._pause(collection, failure)

    async def _pause(self, collection: Collection, failure: PlatformError) -> None:
        """Wait before the next call; only one collection asks again by itself."""
        if isinstance(failure, WatchReopenedError) and self._prober is None:
            # The store has returned already.
            return
        if self._prober is None:
            self._prober = collection
            self._returned.clear()
        if isinstance(failure, PlatformUnavailableError) and failure.is_silent:
            await self._reopen_watches(collection)
        if self._prober is not collection:
            await curio.ignore_after(PROBE_WAIT_S, self._returned.wait())
            return
        calls = self._calls
        pause_s = calls.random.uniform(calls.least_pause_s, calls.longest_pause_s)
        await curio.sleep(pause_s)

    async def _reopen_watches(self, silent: Collection) -> None:
        """Give up the watches that may be as dead as the one that got no answer."""
        for collection, watch in list(self._watches.items()):
            if collection is not silent:
                await watch.cancel(blocking=False)

    async def _note_success(self, collection: Collection, failed_at: float) -> None:
        if self._prober is not None:
            self._prober = None
            await self._returned.set()
        if failed_at:
            lost_s = round(time.monotonic() - failed_at, 3)
            self._log.info("store regained", collection=collection.value, lost_s=lost_s)

    async def _note_failure(
        self, collection: Collection, failure: PlatformError, *, is_first: bool
    ) -> None:
        self._calls.metrics.count("store_failures", collection=collection.value)
        await self._calls.dispatch(StoreLost(time.monotonic()))
        if is_first:
            self._log.warning(
                "store lost", collection=collection.value, error=failure.message
            )

    def _find_change(self, collection: Collection) -> int:
        return self._calls.read_knowledge().by_collection[collection].changed_revision

    async def _list(self, collection: Collection) -> PlatformError | None:
        self._count(collection, "list")
        listed = await self._calls.store.list(collection)
        if isinstance(listed, Failure):
            return listed.failure()
        objects = listed.unwrap()
        await self._calls.dispatch(
            CollectionListed(
                time.monotonic(), collection, objects.items, objects.revision
            )
        )
        return None

    async def _watch(self, collection: Collection) -> tuple[PlatformError | None, int]:
        """Wait for changes; return what failed and how many changes came."""
        self._count(collection, "watch")
        revision = self._calls.read_knowledge().by_collection[collection].revision
        watched = await self._wait(collection, revision)
        if isinstance(watched, Failure):
            return watched.failure(), 0
        changes = watched.unwrap()
        await self._calls.dispatch(
            CollectionChanged(
                time.monotonic(), collection, changes.items, changes.revision
            )
        )
        return None, len(changes.items)

    async def _wait(
        self, collection: Collection, revision: int
    ) -> Result[ObjectList, PlatformError]:
        """Wait for changes in a task of its own, so that the wait can be given up."""
        watch_s = self._calls.watch_s
        if collection is Collection.ROUTING:
            watch_s = min(watch_s, self._calls.probe_s)
        if self._prober is collection:
            # The call that finds the store again must not wait for a change.
            watch_s = 0.0
        watch = await curio.spawn(
            self._calls.store.watch, collection, revision, watch_s
        )
        self._watches[collection] = watch
        try:
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

    def _count(self, collection: Collection, kind: str) -> None:
        metrics = self._calls.metrics
        metrics.count("store_calls", kind=kind, collection=collection.value)
