"""Sends a request that crashes plain endpoints to one entry after another."""

import time

import curio

from tamaracktray.types import Address
from tamaracktray_emulator.platform.worker import CrashMode
from tamaracktray_emulator.soak.callers import Callers
from tamaracktray_emulator.soak.endpoints import SoakWorker
from tamaracktray_emulator.soak.fault_log import FaultLog
from tamaracktray_emulator.soak.fleet import SoakFleet, build_random
from tamaracktray_emulator.soak.record import CallKind, SoakCall, SoakRecord

FATAL_TARGET = "/look/fatal"
FATAL_BODY = b"ends whoever runs it"
MEAN_INTERVAL_S = 0.7

# Delay from a crash to the removal from the list, and from there to the restart, in
# seconds.
UNLIST_DELAY_S = 3.6
RESTART_DELAY_S = 1.0

# After this many crashes and a further ``CONTACT_S`` seconds the request must be
# quarantined; at most ``ALLOWED_RETRIES`` may still run.
CRASHES_TO_QUARANTINE = 3
CONTACT_S = 3.0
ALLOWED_RETRIES = 3

POLL_S = 0.02
MS_PER_S = 1_000.0


class FatalRequestInjector:
    """Sends the fatal request repeatedly and restarts the workers it crashed.

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
        self._random = build_random(fleet.plan, "fatal")
        self._crashes: list[tuple[float, SoakCall | None]] = []
        self._workers: list[SoakWorker] = []

    async def run(self) -> None:
        """Send fatal requests until cancelled, then restore the endpoints."""
        try:
            async with curio.TaskGroup() as group:
                while True:
                    await self._watch_workers(group)
                    await curio.sleep(self._random.expovariate(1 / MEAN_INTERVAL_S))
                    await self._watch_workers(group)
                    entry = self._random.choice(sorted(self._fleet.entry_proxies))
                    address = self._fleet.entry_proxies[entry].address
                    await group.spawn(self._send, entry, address)
        finally:
            for worker in self._workers:
                worker.fatal_body = None
                self._restart(worker)

    async def _watch_workers(self, group: curio.TaskGroup) -> None:
        """Let the request crash the workers that were started since the last call."""
        for worker in self._fleet.endpoints:
            if not isinstance(worker, SoakWorker) or worker in self._workers:
                continue
            self._workers.append(worker)
            worker.fatal_body = FATAL_BODY
            worker.crash_mode = self._random.choice(list(CrashMode))
            await group.spawn(self._restart_after_crashes, worker)

    async def _send(self, entry: str, address: Address) -> None:
        call = self._callers.build_call(entry, CallKind.SAFE, FATAL_TARGET, FATAL_BODY)
        await self._callers.send_on_new_connection(call, address)

    async def _restart_after_crashes(self, worker: SoakWorker) -> None:
        while True:
            while not worker.crashed_at:
                await curio.sleep(POLL_S)
            self._record_crash(worker)
            await curio.sleep(UNLIST_DELAY_S)
            self._fleet.unlist_endpoint(worker.id)
            await curio.sleep(RESTART_DELAY_S)
            self._restart(worker)

    def _restart(self, worker: SoakWorker) -> None:
        if not worker.crashed_at:
            return
        worker.crashed_at = 0.0
        worker.is_leaving = False
        self._fleet.unlist_endpoint(worker.id)
        worker.id = f"{worker.id.split('.')[0]}.f{int(self._fleet.now * 10)}"
        worker.start_time_ms = int(time.time() * MS_PER_S)
        if worker.notice_checker is not None:
            worker.notice_checker.note_restart(worker.id, self._fleet.now)
        self._fleet.list_endpoint(worker)

    def _record_crash(self, worker: SoakWorker) -> None:
        """Check that the request rarely runs once it has crashed enough workers."""
        now = self._fleet.now
        self._crashes.append((now, self._find_call(worker)))
        crash_times = sorted(at for at, _ in self._crashes)
        if len(crash_times) < CRASHES_TO_QUARANTINE:
            return
        quarantined_at = crash_times[CRASHES_TO_QUARANTINE - 1] + CONTACT_S
        late = [
            call
            for at, call in self._crashes
            if at > quarantined_at
            and call is not None
            and self._is_path_fault_free(call)
        ]
        detail = f"{len(late)} runs after {quarantined_at:.1f} s"
        holds = len(late) <= ALLOWED_RETRIES
        self._record.check("fatal request contained", holds, now, detail)

    def _find_call(self, worker: SoakWorker) -> SoakCall | None:
        """Return the call whose run crashed a worker."""
        for call_id, runs in reversed(self._record.runs_by_id.items()):
            if runs[-1].endpoint == worker.id and runs[-1].body == FATAL_BODY:
                return self._record.calls_by_id.get(call_id)
        return None

    def _is_path_fault_free(self, call: SoakCall) -> bool:
        """Return whether entry and store had no fault shortly before a call."""
        start, end = call.sent_at - CONTACT_S, call.sent_at + POLL_S
        subjects = (call.entry, "store")
        return not any(
            self._fault_log.has_fault(subject, start, end) for subject in subjects
        )
