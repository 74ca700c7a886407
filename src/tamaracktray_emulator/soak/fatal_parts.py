"""Sends different requests that share a prompt part which crashes engines."""

import itertools

import curio

from tamaracktray_emulator.platform.worker import CrashMode, CrashPoint
from tamaracktray_emulator.soak.callers import FATAL_PART, SHARED_PART, Callers
from tamaracktray_emulator.soak.endpoints import SoakEngine
from tamaracktray_emulator.soak.fault_log import FaultLog
from tamaracktray_emulator.soak.fleet import SoakFleet, build_random
from tamaracktray_emulator.soak.record import CallKind, SoakCall, SoakRecord

MEAN_INTERVAL_S = 1.0
RESTART_DELAY_S = 1.0

# After this many crashes and a further ``CONTACT_S`` seconds the part must be
# quarantined; at most ``ALLOWED_REQUESTS`` may still run.
CRASHES_TO_QUARANTINE = 5
CONTACT_S = 3.0
ALLOWED_REQUESTS = 3

POLL_S = 0.02


class FatalPartInjector:
    """Sends streams with the fatal part and restarts the engines they crashed.

    It has its own random generator, so that it does not alter the other faults of a
    seed.
    """

    def __init__(
        self,
        fleet: SoakFleet,
        fault_log: FaultLog,
        callers: Callers,
        record: SoakRecord,
    ) -> None:
        self._fleet = fleet
        self._fault_log = fault_log
        self._callers = callers
        self._record = record
        self._random = build_random(fleet.plan, "fatal parts")
        self._numbers = itertools.count(1)
        self._calls: list[SoakCall] = []
        self._crash_times: list[float] = []
        self._engines = [
            endpoint for endpoint in fleet.endpoints if isinstance(endpoint, SoakEngine)
        ]

    async def run(self) -> None:
        """Send fatal streams until cancelled, then restore the engines."""
        for engine in self._engines:
            engine.fatal_parts = frozenset({FATAL_PART})
            engine.crash_mode = self._random.choice(list(CrashMode))
            engine.crash_point = self._random.choice(list(CrashPoint))
        try:
            async with curio.TaskGroup() as group:
                for engine in self._engines:
                    await group.spawn(self._restart_after_crashes, engine)
                while True:
                    await curio.sleep(self._random.expovariate(1 / MEAN_INTERVAL_S))
                    await group.spawn(self._send)
        finally:
            for engine in self._engines:
                engine.fatal_parts = frozenset()
                self._restart(engine)

    async def _send(self) -> None:
        entry = self._random.choice(sorted(self._fleet.entry_proxies))
        number = next(self._numbers)
        call = self._callers.build_call(
            entry,
            CallKind.STREAM,
            f"/talk/part-{number}",
            f"fatal {number}".encode(),
            (SHARED_PART, FATAL_PART),
        )
        self._calls.append(call)
        address = self._fleet.entry_proxies[entry].address
        await self._callers.send_on_new_connection(call, address)

    async def _restart_after_crashes(self, engine: SoakEngine) -> None:
        while True:
            while not engine.crashed_at:
                await curio.sleep(POLL_S)
            self._crash_times.append(self._fleet.now)
            self._check_containment()
            await curio.sleep(RESTART_DELAY_S)
            self._restart(engine)

    def _restart(self, engine: SoakEngine) -> None:
        if not engine.crashed_at:
            return
        engine.is_leaving = False
        self._fleet.restart_engine(engine)

    def _check_containment(self) -> None:
        """Check that few requests with the part run once it crashed enough engines."""
        if len(self._crash_times) < CRASHES_TO_QUARANTINE:
            return
        contained_at = self._crash_times[CRASHES_TO_QUARANTINE - 1] + CONTACT_S
        late = sum(
            len(self._record.runs_by_id.get(call.id, ()))
            for call in self._calls
            if call.sent_at > contained_at and self._is_path_fault_free(call)
        )
        detail = f"{late} runs after {contained_at:.1f} s"
        holds = late <= ALLOWED_REQUESTS
        self._record.check("fatal part contained", holds, self._fleet.now, detail)

    def _is_path_fault_free(self, call: SoakCall) -> bool:
        """Return whether entry and store had no fault shortly before a call."""
        start, end = call.sent_at - CONTACT_S, call.sent_at + POLL_S
        return not any(
            self._fault_log.has_fault(subject, start, end)
            for subject in (call.entry, "store")
        )
