"""Checks that every running entry answers the platform's probe."""

import curio
from returns.result import Failure

from tamaracktray.exchange import fetch
from tamaracktray.types import Address, Role
from tamaracktray_emulator.soak.fault_log import FaultLog
from tamaracktray_emulator.soak.fleet import READY_PORT, Daemon, SoakFleet
from tamaracktray_emulator.soak.record import SoakRecord

PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 1.0

# Probes in a row without an answer that mean that a process hangs.
MISSED_PROBES = 9


class ProbeChecker:
    """Probes the entries that run and are not paused; agents are not probed."""

    def __init__(
        self, fleet: SoakFleet, fault_log: FaultLog, record: SoakRecord
    ) -> None:
        self._fleet = fleet
        self._fault_log = fault_log
        self._record = record
        self._missed_by_name: dict[str, int] = {}

    async def run(self) -> None:
        """Probe all entries until cancelled."""
        while True:
            async with curio.TaskGroup() as group:
                for daemon in self._fleet.list_role(Role.ENTRY):
                    await group.spawn(self._probe, daemon)
                await group.spawn(curio.sleep, PROBE_INTERVAL_S)

    async def _probe(self, daemon: Daemon) -> None:
        start = self._fleet.now
        launched_at = daemon.launched_at
        reply = await fetch(
            Address(daemon.ip, READY_PORT),
            "GET",
            "/readyz",
            timeout_s=PROBE_TIMEOUT_S,
        )
        has_process = daemon.process is not None and daemon.process.poll() is None
        is_expected = has_process and not daemon.is_stop_expected
        is_same = daemon.launched_at == launched_at
        now = self._fleet.now
        is_paused = self._fault_log.has_fault(f"pause {daemon.name}", start, now)
        if not is_expected or not is_same or is_paused:
            self._missed_by_name[daemon.name] = 0
            return
        missed = 0
        if isinstance(reply, Failure):
            missed = self._missed_by_name.get(daemon.name, 0) + 1
        self._missed_by_name[daemon.name] = missed
        detail = f"{daemon.name}: {missed} probes in a row without an answer"
        self._record.check("answers its probe", missed != MISSED_PROBES, now, detail)
