"""Adds plain workers one after the other while single entries are killed."""

import curio

from tamaracktray_emulator.soak.endpoints import SoakWorker
from tamaracktray_emulator.soak.fault_injector import FaultInjector
from tamaracktray_emulator.soak.fleet import ORDERS, SoakFleet, build_random
from tamaracktray_emulator.soak.notice_checks import NoticeChecker

MEAN_KILL_INTERVAL_S = 3.0

ADD_INTERVAL_S = 0.5
MAX_ADDED = 20

# Time for which an added worker is cold, and between its writes of the rest of it, in
# seconds.
COLD_S = 3.0
HEARTBEAT_S = 1.2

MS_PER_S = 1_000.0


class ScaleOutInjector:
    """Adds workers, each of which writes how much longer it is cold.

    It has its own random generator, so that it does not alter the other faults of a
    seed.
    """

    def __init__(
        self,
        fleet: SoakFleet,
        fault_injector: FaultInjector,
        notice_checker: NoticeChecker,
    ) -> None:
        self._fleet = fleet
        self._fault_injector = fault_injector
        self._notice_checker = notice_checker
        self._random = build_random(fleet.plan, "scale-out")

    async def run(self) -> None:
        """Add workers and kill entries until cancelled."""
        async with curio.TaskGroup() as group:
            await group.spawn(self._kill_entries)
            for number in range(MAX_ADDED):
                worker = await self._fleet.add_endpoint(
                    SoakWorker, f"a-{number}", ORDERS, number
                )
                worker.notice_checker = self._notice_checker
                await group.spawn(self._warm_up, worker)
                await curio.sleep(ADD_INTERVAL_S)

    async def _warm_up(self, worker: SoakWorker) -> None:
        """Write the rest of the cold time until it is over or the worker leaves."""
        name = worker.id
        remaining_s = COLD_S
        while worker.id == name and self._fleet.is_listed_ready(name):
            remaining_ms = int(max(remaining_s, 0.0) * MS_PER_S)
            self._fleet.list_endpoint(worker, coldRemainingMs=remaining_ms)
            if not remaining_ms:
                return
            await curio.sleep(HEARTBEAT_S)
            remaining_s -= HEARTBEAT_S

    async def _kill_entries(self) -> None:
        while True:
            await curio.sleep(self._random.expovariate(1 / MEAN_KILL_INTERVAL_S))
            await self._fault_injector.kill_entry(self._random)
