"""An endpoint that names a limit gets no more requests from all entries together.

Guards against entries that ignore the limit, and against entries that each keep it by
themselves, so that their sum exceeds it.
"""

import itertools
import time

import curio
import pytest

from platforms import PlatformFleet, run_fleet
from tamaracktray_emulator.platform.worker import WorkerStandIn

# The platform's bound: multiple of the limit, requests beyond it, window in seconds,
# and time after the limit was first named from which it holds, in seconds.
ALLOWED_MULTIPLE = 1.5
ALLOWED_EXTRA = 5
WINDOW_S = 4.0
CONTACT_S = 3.0


def count_most(arrivals: list[float], since: float) -> int:
    """Return the most arrivals in a window that ends at ``since`` or later."""
    return max(
        (
            sum(arrival - WINDOW_S < other <= arrival for other in arrivals)
            for arrival in arrivals
            if arrival >= since
        ),
        default=0,
    )


class LimitHarness:
    """Callers that send requests to all entries of a fleet in turn."""

    def __init__(self, fleet: PlatformFleet, path: str) -> None:
        self.fleet = fleet
        self.path = path
        self.statuses: list[int] = []
        self._numbers = itertools.count(1)
        self._tasks: list[curio.Task] = []

    async def start(self, *, entries: int, workers: int) -> None:
        """Start the fleet and wait until every entry knows all workers."""
        await self.fleet.start(entries=entries)
        for number in range(workers):
            if self.path == "/talk/1":
                await self.fleet.add_engine(f"w-{number}")
            else:
                await self.fleet.add_worker(f"w-{number}")
        await self.fleet.until(
            lambda: all(
                len(entry.state.roster.records_by_id) == workers
                for entry in self.fleet.entries
            )
        )

    @property
    def limited(self) -> WorkerStandIn:
        """The worker that names a limit."""
        return self.fleet.workers["w-0"]

    async def send(self, *, duration_s: float, rate_per_s: float) -> None:
        """Send requests at a steady rate without waiting for their answers."""
        deadline = time.monotonic() + duration_s
        while time.monotonic() < deadline:
            number = next(self._numbers)
            self._tasks.append(await curio.spawn(self._call, number, daemon=True))
            await curio.sleep(1.0 / rate_per_s)

    async def _call(self, number: int) -> None:
        entry = number % len(self.fleet.entries)
        reply = await self.fleet.call(self.path, f"id-{number}", entry=entry)
        self.statuses.append(reply.status)

    async def close(self) -> None:
        """Cancel the calls in progress."""
        for task in self._tasks:
            await task.cancel(blocking=False)


def run_scenario(scenario, path: str, **size: int) -> None:
    async def main(fleet: PlatformFleet) -> None:
        harness = LimitHarness(fleet, path)
        try:
            await harness.start(**size)
            await scenario(harness)
        finally:
            await harness.close()

    run_fleet(main)


class TestLimitIsKept:
    @pytest.mark.parametrize("path", ["/talk/1", "/look/1"])
    @pytest.mark.parametrize(
        ("entries", "workers", "limit_per_s", "rate_per_s"),
        [(1, 2, 1.7, 20.0), (4, 4, 1.7, 40.0), (10, 8, 1.8, 120.0), (4, 4, 6.0, 60.0)],
    )
    def test_limited_endpoint_gets_no_more_from_all_entries_together(
        self, path, entries, workers, limit_per_s, rate_per_s
    ):
        async def scenario(harness: LimitHarness) -> None:
            await harness.send(duration_s=1.0, rate_per_s=rate_per_s)
            harness.limited.limit = str(limit_per_s)
            named_at = time.monotonic()
            await harness.send(duration_s=7.5, rate_per_s=rate_per_s)
            arrivals = harness.limited.arrived_at
            allowed = ALLOWED_MULTIPLE * limit_per_s * WINDOW_S + ALLOWED_EXTRA
            assert count_most(arrivals, named_at + CONTACT_S) <= allowed
            # The limit is used, not only kept.
            used = sum(arrival > named_at + CONTACT_S for arrival in arrivals)
            assert used >= limit_per_s

        run_scenario(scenario, path, entries=entries, workers=workers)
