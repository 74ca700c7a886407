"""Test harness for a request that crashes the workers which begin to run it.

Times are scaled down from those of the platform, which drops a worker from its list
after three missed heartbeats.
"""

import itertools
import time
from typing import Any

import curio

from platforms import PlatformFleet
from tamaracktray.http_messages import Reply
from tamaracktray_emulator.platform.worker import CrashMode, WorkerStandIn

HEARTBEAT_S = 0.4
EXPIRY_S = 3 * HEARTBEAT_S
RESTART_S = 1.0
CONTACT_S = 2.0
FATAL_BODY = b"a vase that breaks the kiln"

# Crashes after which the platform counts further runs, and how many runs it allows.
CRASHES_TO_CONTAINMENT = 3
ALLOWED_RETRIES = 3

BOUNDS: dict[str, Any] = {
    "contact_ms": CONTACT_S * 1_000.0,
    "heartbeat_ms": HEARTBEAT_S * 1_000.0,
}


class CrashHarness:
    """A fleet whose workers crash on one fatal request and are replaced by new ones.

    ``reached_at`` are the times at which the request began to run at a worker, and
    ``replies`` the answers to its callers.
    """

    def __init__(self, fleet: PlatformFleet, crash_mode: CrashMode) -> None:
        self.fleet = fleet
        self.crash_mode = crash_mode
        self.reached_at: list[float] = []
        self.replies: list[Reply] = []
        self._numbers = itertools.count(1)
        self._tasks: list[curio.Task] = []

    async def start(self, *, entries: int, workers: int) -> None:
        """Start entries and workers."""
        await self.fleet.start(entries=entries)
        for _ in range(workers):
            await self.add_worker()
        await self.wait_until_known(workers)

    async def wait_until_known(self, count: int) -> None:
        """Wait until every entry knows ``count`` workers."""
        await self.fleet.until(
            lambda: all(
                len(entry.state.roster.records_by_id) == count
                for entry in self.fleet.entries
            )
        )

    async def add_worker(self) -> WorkerStandIn:
        """Start a worker that crashes on the fatal request and is replaced then."""
        worker = await self.fleet.add_worker(f"w-{next(self._numbers)}")
        worker.fatal_body = FATAL_BODY
        worker.crash_mode = self.crash_mode
        self._tasks.append(await curio.spawn(self._replace, worker, daemon=True))
        return worker

    async def _replace(self, worker: WorkerStandIn) -> None:
        while not worker.crashed_at:
            await curio.sleep(0.01)
        self.reached_at.append(worker.crashed_at)
        if worker.crash_mode is CrashMode.RESET:
            await self.fleet.close(worker)
        await curio.sleep(RESTART_S)
        await self.add_worker()
        await curio.sleep(EXPIRY_S - RESTART_S)
        self.fleet.store.remove("servers", worker.id)

    async def send_fatal(self, entry: int, path: str = "/look/1") -> None:
        """Send the request once to an entry, without waiting for the answer."""
        self._tasks.append(await curio.spawn(self._call, entry, path, daemon=True))

    async def _call(self, entry: int, path: str) -> None:
        request_id = f"fatal-{time.monotonic_ns()}"
        reply = await self.fleet.call(
            path, request_id, entry=entry, body=FATAL_BODY, wait_ms=1_500
        )
        self.replies.append(reply)

    async def send_series(
        self, *, count: int, gap_s: float, path: str = "/look/1"
    ) -> None:
        """Send the request ``count`` times, to each entry in turn."""
        for number in range(count):
            await self.send_fatal(number % len(self.fleet.entries), path)
            await curio.sleep(gap_s)

    def count_uncontained_runs(self) -> int:
        """Return how often the request ran after it should have been contained."""
        times = sorted(self.reached_at)
        if len(times) < CRASHES_TO_CONTAINMENT:
            return 0
        contained_at = times[CRASHES_TO_CONTAINMENT - 1] + CONTACT_S
        return sum(reached > contained_at for reached in times)

    async def close(self) -> None:
        """Cancel all background tasks."""
        for task in self._tasks:
            await task.cancel(blocking=False)
