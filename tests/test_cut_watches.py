"""Watches that the store cuts off while it answers all other calls.

Guards against taking a cut watch for an outage, after which endpoints that were removed
from the list stay in use as if their records had expired.
"""

import time

import curio
import pytest

from platforms import PlatformFleet, run_fleet
from tamaracktray_emulator.platform.store import Outage

DRAIN_S = 2.0
CUT_AFTER_S = 1.0
CALL_GAP_S = 0.02
CALLERS = 6


class Traffic:
    """Calls one entry again and again, and notes which endpoint got the last call."""

    def __init__(self, fleet: PlatformFleet, entry: int) -> None:
        self._fleet = fleet
        self._entry = entry
        self._calls = 0
        self.last_call_by_id: dict[str, float] = {}

    async def run(self) -> None:
        """Keep as many calls open as need all endpoints."""
        for _ in range(CALLERS):
            await curio.spawn(self._run_caller, daemon=True)

    async def _run_caller(self) -> None:
        while True:
            self._calls += 1
            call_id = f"{self._entry}-{self._calls}"
            started_at = time.monotonic()
            reply = await self._fleet.call(
                "/look/1", call_id, method="GET", entry=self._entry
            )
            name = reply.body.removeprefix(b"answer of ").decode()
            last_call_at = self.last_call_by_id.get(name, 0.0)
            self.last_call_by_id[name] = max(last_call_at, started_at)
            await curio.sleep(CALL_GAP_S)


async def find_late_calls(
    traffic: list[Traffic], removed_at: dict[str, float]
) -> dict[str, float]:
    """Return the seconds past the bound for each removed endpoint used too long."""
    for caller in traffic:
        await caller.run()
    await curio.sleep(2 * DRAIN_S)
    return {
        name: round(caller.last_call_by_id[name] - at - DRAIN_S, 3)
        for name, at in removed_at.items()
        for caller in traffic
        if caller.last_call_by_id.get(name, 0.0) > at + DRAIN_S
    }


async def start(fleet: PlatformFleet) -> list[Traffic]:
    await fleet.start(entries=3)
    for number in range(4):
        await fleet.add_worker(f"w-{number}")
    await fleet.until_listed(4)
    return [Traffic(fleet, number) for number in range(3)]


class TestCutWatches:
    def test_endpoint_removed_while_watches_are_cut_gets_no_calls(self):
        async def scenario(fleet: PlatformFleet) -> None:
            traffic = await start(fleet)
            fleet.store.faults.watch_cut_s = 0.0
            await curio.sleep(0.05)
            fleet.store.faults.watch_cut_s = 3_600.0
            fleet.store.remove("servers", "w-0")
            removed_at = {"w-0": time.monotonic()}
            assert await find_late_calls(traffic, removed_at) == {}

        run_fleet(scenario)

    @pytest.mark.parametrize("gap_s", [0.0, 0.1, 0.3])
    def test_endpoints_removed_while_each_watch_is_cut_get_no_calls(self, gap_s):
        async def scenario(fleet: PlatformFleet) -> None:
            traffic = await start(fleet)
            fleet.store.faults.watch_cut_s = CUT_AFTER_S
            await curio.sleep(CUT_AFTER_S * 1.3)
            removed_at: dict[str, float] = {}
            for name in ("w-0", "w-1"):
                fleet.store.remove("servers", name)
                removed_at[name] = time.monotonic()
                await curio.sleep(gap_s)
            assert await find_late_calls(traffic, removed_at) == {}

        run_fleet(scenario)

    def test_endpoint_that_expires_after_a_reset_is_kept(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            worker = await fleet.add_worker("w-1")
            await fleet.until_listed(1)
            fleet.store.faults.outage = Outage.RESET
            await curio.sleep(1.5)
            fleet.store.remove("servers", "w-1")
            fleet.store.faults.outage = Outage.NONE
            await curio.sleep(1.2)
            assert (await fleet.call("/order/1")).status == 200
            fleet.list_worker(worker)
            await curio.sleep(2.0)
            assert (await fleet.call("/order/1", "id-2")).status == 200

        run_fleet(scenario)
