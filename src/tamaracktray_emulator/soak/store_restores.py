"""Restores the store from older copies during a soak."""

import curio

from tamaracktray_emulator.platform.store import StoreCopy
from tamaracktray_emulator.soak.fault_log import FaultLog
from tamaracktray_emulator.soak.fleet import SoakFleet, build_random

MEAN_PAUSE_S = 9.0

# How old a copy is, and for how long the store is away, in seconds.
MAX_COPY_AGE_S = 4.0
MAX_AWAY_S = 1.0

# Time after a restore in which processes may hold departures, in seconds.
SETTLING_S = 6.0

OPERATOR_KINDS = ("config", "evacuations", "versions")
ENDPOINT_KINDS = ("servers",)


class StoreRestoreInjector:
    """Lets the store be away for a moment and come back from an older copy."""

    def __init__(self, fleet: SoakFleet, fault_log: FaultLog) -> None:
        self._fleet = fleet
        self._fault_log = fault_log
        self._random = build_random(fleet.plan, "restores")

    async def run(self) -> None:
        """Restore the store at random times until cancelled."""
        while True:
            await curio.sleep(self._random.expovariate(1 / MEAN_PAUSE_S))
            copy = self._fleet.store.copy()
            await curio.sleep(self._random.uniform(0.0, MAX_COPY_AGE_S))
            await self._restore(copy)

    async def _restore(self, copy: StoreCopy) -> None:
        store = self._fleet.store
        period = self._fault_log.begin("restored store", self._fleet.now)
        try:
            await store.go_away()
            await curio.sleep(self._random.uniform(0.1, MAX_AWAY_S))
        finally:
            newest = store.copy()
            store.restore(copy)
            store.repeat(newest, OPERATOR_KINDS)
            store.repeat(newest, ENDPOINT_KINDS)
        await curio.sleep(SETTLING_S)
        period.end = self._fleet.now
