"""Restarts entries as the store comes back from a copy that lacks recent changes."""

import signal
from functools import partial

import curio

from tamaracktray.types import Role
from tamaracktray_emulator.soak.callers import Callers
from tamaracktray_emulator.soak.fault_log import FaultLog, FaultPeriod
from tamaracktray_emulator.soak.fleet import Daemon, SoakFleet, build_random
from tamaracktray_emulator.soak.operations import Operations
from tamaracktray_emulator.soak.region_injector import RegionInjector
from tamaracktray_emulator.soak.store_restores import StoreRestoreInjector

# Times from the changes to the store's outage, of the outage, and from its end to the
# repeated writes, in seconds.
CHANGE_AGE_S = 4.5
AWAY_S = 0.5
GAP_S = 2.0

# Time before the changes, in which the regions of the copy become known.
SETTLED_S = 3.0

# Times that a process has to end and to start, in seconds.
END_TIMEOUT_S = 1.0
START_S = 1.0


class CopyRestartInjector:
    """Changes regions and lets an endpoint leave; then the store forgets both."""

    def __init__(
        self,
        fleet: SoakFleet,
        fault_log: FaultLog,
        callers: Callers,
        operations: Operations,
        restores: StoreRestoreInjector,
    ) -> None:
        self._fleet = fleet
        self._fault_log = fault_log
        self._callers = callers
        self._operations = operations
        self._restores = restores
        self._regions = RegionInjector(fleet)
        self._random = build_random(fleet.plan, "copy restarts")

    async def run(self) -> None:
        """Repeat the sequence until cancelled."""
        self._regions.move_team()
        await curio.sleep(SETTLED_S)
        async with curio.TaskGroup() as group:
            while True:
                copy = self._fleet.store.copy()
                self._regions.move_team()
                await group.spawn(self._operations.drain)
                await curio.sleep(CHANGE_AGE_S)
                entry = self._random.choice(self._fleet.list_role(Role.ENTRY))
                period = self._fault_log.begin(f"kill {entry.name}", self._fleet.now)
                entry.is_stop_expected = True
                self._fleet.send_signal(entry, signal.SIGKILL)
                pass_gap = partial(self._pass_gap, group, entry, period)
                await self._restores.restore(copy, AWAY_S, pass_gap)

    async def _pass_gap(
        self, group: curio.TaskGroup, entry: Daemon, period: FaultPeriod
    ) -> None:
        await self._fleet.wait_ended(entry, END_TIMEOUT_S)
        self._fleet.launch(entry)
        period.end = self._fleet.now + START_S
        await group.spawn(self._callers.press, entry.name, GAP_S)
        await curio.sleep(GAP_S)
