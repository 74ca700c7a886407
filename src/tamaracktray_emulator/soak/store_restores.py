"""Restores the store from older copies during a soak."""

import signal
from collections.abc import Awaitable, Callable
from functools import partial

import curio

from tamaracktray.types import Role
from tamaracktray_emulator.platform.store import StoreCopy
from tamaracktray_emulator.soak.binding_checks import BOUND_S
from tamaracktray_emulator.soak.callers import Callers
from tamaracktray_emulator.soak.fault_injector import FaultInjector
from tamaracktray_emulator.soak.fault_log import FaultLog, FaultPeriod
from tamaracktray_emulator.soak.fleet import Daemon, SoakFleet, build_random
from tamaracktray_emulator.soak.operations import Operations
from tamaracktray_emulator.soak.region_injector import RegionInjector

MEAN_PAUSE_S = 9.0

# How old a copy is, and for how long the store is away, in seconds.
MAX_COPY_AGE_S = 4.0
MAX_AWAY_S = 1.0

# Longest time between the store's return and the repeated writes, in seconds, and the
# share of these times in which an entry starts.
MAX_GAP_S = 2.5
RESTART_SHARE = 0.7

# Time after a restore in which processes may hold departures, in seconds.
SETTLING_S = 6.0

# Times of the sequence with a restart, in seconds: from the changes to the outage, of
# the outage, and from its end to the repeated writes.
CHANGE_AGE_S = 4.5
AWAY_S = 0.5
GAP_S = 2.0

# Time that a process has to end, or to start, in seconds.
TURN_S = 1.0

OPERATOR_KINDS = ("config", "evacuations", "versions")
ENDPOINT_KINDS = ("servers",)


class StoreRestoreInjector:
    """Lets the store be away for a moment and come back from an older copy.

    In soaks that change regions, the copy lacks a change that is due, and operator and
    endpoints write again some time later rather than at once.
    """

    def __init__(
        self,
        fleet: SoakFleet,
        fault_log: FaultLog,
        fault_injector: FaultInjector,
        callers: Callers,
    ) -> None:
        self._fleet = fleet
        self._fault_log = fault_log
        self._fault_injector = fault_injector
        self._callers = callers
        self._regions = RegionInjector(fleet)
        self._random = build_random(fleet.plan, "restores")
        self._gap_random = build_random(fleet.plan, "restore gaps")

    async def run(self) -> None:
        """Restore the store at random times until cancelled."""
        while True:
            await curio.sleep(self._random.expovariate(1 / MEAN_PAUSE_S))
            copy = self._fleet.store.copy()
            if self._fleet.plan.changes_regions:
                self._regions.move_team()
                await curio.sleep(BOUND_S)
            await curio.sleep(self._random.uniform(0.0, MAX_COPY_AGE_S))
            away_s = self._random.uniform(0.1, MAX_AWAY_S)
            await self.restore(copy, away_s, self._pass_gap)

    async def restore(
        self, copy: StoreCopy, away_s: float, pass_gap: Callable[[], Awaitable[None]]
    ) -> None:
        """Let the store be away and come back; the gap precedes the repeated writes."""
        store = self._fleet.store
        period = self._fault_log.begin("restored store", self._fleet.now)
        try:
            try:
                await store.go_away()
                await curio.sleep(away_s)
            finally:
                newest = store.copy()
                store.restore(copy)
            await pass_gap()
        finally:
            store.repeat(newest, OPERATOR_KINDS)
            store.repeat(newest, ENDPOINT_KINDS)
            period.end = self._fleet.now
        period = self._fault_log.begin("restored store settling", self._fleet.now)
        await curio.sleep(SETTLING_S)
        period.end = self._fleet.now

    async def _pass_gap(self) -> None:
        """Wait before the repeated writes; an entry may start meanwhile."""
        if not self._fleet.plan.changes_regions:
            return
        gap_s = self._gap_random.uniform(0.0, MAX_GAP_S)
        if self._gap_random.random() < RESTART_SHARE:
            entry = await self._fault_injector.kill_entry(self._gap_random)
            await curio.spawn(self._callers.press, entry, gap_s, daemon=True)
        await curio.sleep(gap_s)


class CopyRestartInjector(StoreRestoreInjector):
    """Changes regions and lets an endpoint leave; then the store forgets both."""

    def __init__(
        self,
        fleet: SoakFleet,
        fault_log: FaultLog,
        fault_injector: FaultInjector,
        callers: Callers,
        operations: Operations,
    ) -> None:
        super().__init__(fleet, fault_log, fault_injector, callers)
        self._operations = operations

    async def run(self) -> None:
        """Repeat the sequence until cancelled."""
        self._regions.move_team()
        await curio.sleep(CHANGE_AGE_S)
        async with curio.TaskGroup() as group:
            while True:
                copy = self._fleet.store.copy()
                self._regions.move_team()
                await group.spawn(self._operations.drain)
                await curio.sleep(CHANGE_AGE_S)
                entry = self._gap_random.choice(self._fleet.list_role(Role.ENTRY))
                period = self._fault_log.begin(f"kill {entry.name}", self._fleet.now)
                entry.is_stop_expected = True
                self._fleet.send_signal(entry, signal.SIGKILL)
                await self.restore(copy, AWAY_S, partial(self._start, entry, period))

    async def _start(self, entry: Daemon, period: FaultPeriod) -> None:
        await self._fleet.wait_ended(entry, TURN_S)
        self._fleet.launch(entry)
        period.end = self._fleet.now + TURN_S
        await curio.spawn(self._callers.press, entry.name, GAP_S, daemon=True)
        await curio.sleep(GAP_S)
