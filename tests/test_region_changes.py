"""Configurations that come into force while calls wait for busy workers.

Guards against runs that only an earlier configuration allows.
"""

from typing import Any

import curio
import pytest
from typing_extensions import override

from platforms import (
    KEY,
    ORDERS,
    TEAM,
    WORKER_PORT,
    PlatformFleet,
    next_host,
    run_fleet,
)
from tamaracktray.types import Address
from tamaracktray_emulator.platform.documents import build_route, build_tenant
from tamaracktray_emulator.platform.store import Outage
from tamaracktray_emulator.platform.worker import WorkerStandIn

NEAR = "near"
FAR = "far"
WAITING = ("wait-1", "wait-2", "wait-3")

# The callers' wait, longer than any of these tests, in milliseconds.
WAIT_MS = 9_000

# Time in which a refusal must follow, far shorter than a call may wait, in seconds.
REFUSAL_S = 1.0


class HeldWorker(WorkerStandIn):
    """Answers once it is released."""

    def __init__(self, name: str) -> None:
        super().__init__(Address(next_host(), WORKER_PORT), name, ORDERS)
        self.released = curio.Event()

    @override
    async def run(self, request: Any, responder: Any, headers: Any) -> None:
        await self.released.wait()
        await super().run(request, responder, headers)


class BusyFleet:
    """An entry with calls that wait for two busy workers, one in each region."""

    def __init__(self, fleet: PlatformFleet) -> None:
        self.fleet = fleet
        self.workers = {name: HeldWorker(name) for name in (NEAR, FAR)}
        self.tasks: dict[str, curio.Task] = {}

    async def start(self, kind: str = "safe") -> None:
        fleet = self.fleet
        options = {"timeoutMs": WAIT_MS, "targetLatencyMs": 4 * WAIT_MS}
        fleet.routes.append(build_route("slow", kind, ORDERS, **options))
        await fleet.start()
        for name, zone in ((NEAR, "zone-a"), (FAR, "zone-b")):
            worker = self.workers[name]
            fleet.workers[name] = worker
            await fleet.open(worker)
            fleet.list_worker(worker, zone, maxBatchSize=1)
        await fleet.until_listed(2)
        for name in ("busy-1", "busy-2"):
            await self.call(name)
        await fleet.until(lambda: all(item.runs for item in self.workers.values()))
        for name in WAITING:
            await self.call(name)
        waiting = fleet.entries[0].state.gateway.waiting
        await fleet.until(lambda: len(waiting) == len(WAITING))

    async def call(self, name: str) -> None:
        call = self.fleet.call("/slow/1", name, wait_ms=WAIT_MS)
        self.tasks[name] = await curio.spawn(call)

    async def configure(self) -> None:
        """Bring the fleet's changed configuration into force."""
        fleet = self.fleet
        fleet.configure()
        state = fleet.entries[0].state
        await fleet.until(lambda: state.index.table.version == fleet.version)

    async def release(self) -> None:
        for worker in self.workers.values():
            await worker.released.set()

    async def join(self, *names: str) -> list[int]:
        """Return the statuses of calls, in order."""
        return [(await self.tasks[name].join()).status for name in names]

    def list_runs(self, worker: str) -> set[str]:
        return set(self.workers[worker].runs)


class TestUnknownKeys:
    """A public route, and a team whose regions an entry has not heard of."""

    def test_key_that_no_team_has_is_refused_on_a_public_route(self):
        async def scenario(fleet: PlatformFleet) -> None:
            fleet.routes.append(build_route("open", "safe", ORDERS, public=True))
            await fleet.start()
            worker = await fleet.add_worker(NEAR)
            await fleet.until_listed(1)
            assert (await fleet.call("/open/1", "id-1", key="bad")).status == 401
            assert (await fleet.call("/open/1", "id-2", key="")).status == 200
            assert (await fleet.call("/open/1", "id-3")).status == 200
            assert set(worker.runs) == {"id-2", "id-3"}

        run_fleet(scenario)

    def test_key_that_is_not_known_yet_runs_in_no_region_of_others(self):
        async def scenario(fleet: PlatformFleet) -> None:
            fleet.routes.append(build_route("open", "safe", ORDERS, public=True))
            await fleet.start()
            near = await fleet.add_worker(NEAR)
            far = await fleet.add_worker(FAR, "zone-b")
            await fleet.until_listed(2)
            entry = fleet.entries[0]
            fleet.store.faults.outage = Outage.RESET
            await fleet.until(lambda: entry.state.is_store_lost)
            fleet.tenants.append(
                build_tenant("new", "new-key", allowedRegions=["region-b"])
            )
            fleet.configure()
            reply = await fleet.call("/open/1", "early", key="new-key")
            assert reply.status == 401
            fleet.store.faults.outage = Outage.NONE
            await fleet.until(lambda: entry.state.index.table.version == fleet.version)
            assert (await fleet.call("/open/1", "late", key="new-key")).status == 200
            assert (set(near.runs), set(far.runs)) == (set(), {"late"})

        run_fleet(scenario)


class TestWaitingCalls:
    @pytest.mark.parametrize(
        ("allowed", "forbidden", "region"),
        [(FAR, NEAR, "region-b"), (NEAR, FAR, "region-a")],
    )
    @pytest.mark.parametrize("is_by_route", [False, True])
    def test_waiting_calls_follow_changed_regions(
        self, allowed, forbidden, region, is_by_route
    ):
        async def scenario(fleet: PlatformFleet) -> None:
            busy = BusyFleet(fleet)
            await busy.start()
            if is_by_route:
                fleet.routes[-1]["allowedRegions"] = [region]
            else:
                fleet.tenants = [build_tenant(TEAM, KEY, allowedRegions=[region])]
            await busy.configure()
            await busy.release()
            assert await busy.join(*busy.tasks) == [200] * len(busy.tasks)
            assert not busy.list_runs(forbidden) & set(WAITING)
            assert busy.list_runs(allowed) >= set(WAITING)

        run_fleet(scenario)

    def test_waiting_calls_without_an_allowed_worker_are_refused_at_once(self):
        async def scenario(fleet: PlatformFleet) -> None:
            busy = BusyFleet(fleet)
            await busy.start()
            fleet.tenants = [build_tenant(TEAM, KEY, allowedRegions=["region-c"])]
            await busy.configure()
            statuses = await curio.timeout_after(REFUSAL_S, busy.join(*WAITING))
            assert statuses == [503] * len(WAITING)
            await busy.release()
            # What runs already goes on.
            assert await busy.join("busy-1", "busy-2") == [200, 200]

        run_fleet(scenario)

    @pytest.mark.parametrize(("is_key_dropped", "status"), [(True, 401), (False, 404)])
    @pytest.mark.parametrize("kind", ["safe", "unsafe"])
    def test_waiting_calls_that_are_no_longer_allowed_are_refused_at_once(
        self, is_key_dropped, status, kind
    ):
        async def scenario(fleet: PlatformFleet) -> None:
            busy = BusyFleet(fleet)
            await busy.start(kind)
            if is_key_dropped:
                fleet.tenants = [build_tenant(TEAM, "key-2")]
            else:
                fleet.routes.pop()
            await busy.configure()
            statuses = await curio.timeout_after(REFUSAL_S, busy.join(*WAITING))
            assert statuses == [status] * len(WAITING)
            await busy.release()
            assert await busy.join("busy-1", "busy-2") == [200, 200]
            assert not (busy.list_runs(NEAR) | busy.list_runs(FAR)) & set(WAITING)

        run_fleet(scenario)

    def test_waiting_calls_are_passed_on_with_the_team_that_holds_the_key_now(self):
        async def scenario(fleet: PlatformFleet) -> None:
            busy = BusyFleet(fleet)
            await busy.start()
            fleet.tenants = [build_tenant(TEAM, "key-2"), build_tenant("other", KEY)]
            await busy.configure()
            await busy.release()
            assert await busy.join(*WAITING) == [200] * len(WAITING)
            for worker in busy.workers.values():
                for name in busy.list_runs(worker.id) & set(WAITING):
                    (seen,) = worker.runs[name]
                    assert seen["x-tamaracktray-tenant"] == "other"

        run_fleet(scenario)
