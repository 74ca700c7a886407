"""Planned operations during a soak, and checks that they take effect in time."""

import signal
import time

import curio
from returns.result import Failure

from tamaracktray.exchange import fetch
from tamaracktray.http_messages import Reply
from tamaracktray.types import Address, Role
from tamaracktray_emulator.platform.documents import build_route
from tamaracktray_emulator.soak.binding_checks import CONTACT_S
from tamaracktray_emulator.soak.callers import HOST, REQUEST_ID, Callers
from tamaracktray_emulator.soak.fault_log import FaultLog
from tamaracktray_emulator.soak.fleet import (
    CALLER_PORT,
    ORDERS,
    STOP_TIMEOUT_S,
    TEAM,
    VERSION_BOUND_S,
    ZONES,
    SoakFleet,
    build_random,
)
from tamaracktray_emulator.soak.record import CallKind, SoakCall, SoakRecord

# Bounds within which operations must take effect, in seconds.
CONFIG_BOUND_S = 2.0
EVACUATION_BOUND_S = 5.0
DRAIN_BOUND_S = 2.0

MEAN_PAUSE_S = 1.5

# Start-up time of the Python interpreter, in seconds. A process cannot handle signals
# before that, so SIGHUP would end it. ``test_signals`` covers the rest of the start.
INTERPRETER_START_S = 0.5
PROBE_TIMEOUT_S = 1.5

STOP_PROMISE = "shutdown cuts nothing"


class Operations:
    """Operations on the configuration, zones, versions, endpoints and processes."""

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
        self._random = build_random(fleet.plan, "works")
        self._weight_version = 1
        self._drained_ids: set[str] = set()

    async def run(self) -> None:
        """Start random operations until cancelled; they may overlap."""
        operations = [
            self._change_routes,
            self._change_keys,
            self._evacuate,
            self._announce_version,
            self.drain,
            self._terminate,
            self._reload,
        ]
        async with curio.TaskGroup() as group:
            while True:
                await curio.sleep(self._random.expovariate(1 / MEAN_PAUSE_S))
                await group.spawn(self._random.choice(operations))

    def _is_fault_free(self, start: float, end: float) -> bool:
        return self._fault_log.is_fault_free(start - CONTACT_S, end)

    async def _change_routes(self) -> None:
        """Add a route; every entry without a fault must serve it within the bound."""
        name = f"extra-{self._fleet.version}"
        self._fleet.routes = [
            *self._fleet.routes[:3],
            build_route(name, "safe", ORDERS),
        ]
        version = self._fleet.configure()
        start = self._fleet.now
        await curio.sleep(CONFIG_BOUND_S)
        for entry in self._list_entries():
            status = await self._probe(entry, f"/{name}/x", self._callers.key)
            is_current = self._fleet.version == version
            if is_current and self._is_fault_free(start, self._fleet.now):
                holds = status not in (401, 403, 404)
                detail = f"{entry}: {status} on a route of version {version}"
                self._record.check("change in force", holds, self._fleet.now, detail)
                self._check_cuts("change cuts nothing", entry, start, self._fleet.now)

    async def _change_keys(self) -> None:
        """Replace an API key; entries must refuse the old one within the bound."""
        if len(self._fleet.keys) > 1:
            # Another key change is in progress, and callers are about to use its key.
            return
        old_key = self._callers.key
        new_key = f"key-{self._fleet.version}"
        self._fleet.keys = [old_key, new_key]
        self._fleet.configure()
        await curio.sleep(CONFIG_BOUND_S + 1.0)
        self._callers.key = new_key
        await curio.sleep(0.5)
        if self._callers.key != new_key:
            return
        self._fleet.keys = [new_key]
        self._fleet.configure()
        start = self._fleet.now
        await curio.sleep(CONFIG_BOUND_S)
        for entry in self._list_entries():
            status = await self._probe(entry, "/look/x", old_key)
            if old_key in self._fleet.keys or not self._is_fault_free(
                start, self._fleet.now
            ):
                continue
            holds = status in (0, 401, 503)
            detail = f"{entry}: {status} for a key that was taken away"
            self._record.check("key taken away", holds, self._fleet.now, detail)

    async def _evacuate(self) -> None:
        """Evacuate a zone; it must receive no requests after the bound."""
        zone = self._random.choice(ZONES)
        if ("evacuations", zone) in self._fleet.store.objects:
            return
        self._fleet.store.write("evacuations", zone, {})
        start = self._fleet.now
        await curio.sleep(EVACUATION_BOUND_S + 1.0)
        end = self._fleet.now
        self._fleet.store.withdraw("evacuations", zone)
        self._check_no_runs(
            "zone that is out", start, start + EVACUATION_BOUND_S, end, zone=zone
        )

    async def _announce_version(self) -> None:
        """Announce a weight version; later calls must run on it after the bound."""
        self._weight_version += 1
        version = self._weight_version
        self._fleet.announce_version(version)
        start = self._fleet.now
        await curio.sleep(VERSION_BOUND_S + 1.5)
        end = self._fleet.now
        if not self._is_fault_free(start, end):
            return
        late = [
            run
            for runs in self._record.runs_by_id.values()
            for run in runs
            if run.version and start + VERSION_BOUND_S < run.at <= end
        ]
        for run in late:
            holds = run.version >= version
            detail = f"{run.endpoint} on {run.version}, {version} was due"
            self._record.check("version is due", holds, run.at, detail)

    async def drain(self) -> None:
        """Drain a plain endpoint and list it again under a new id."""
        workers = [
            item
            for item in self._fleet.endpoints
            if item.service == ORDERS and item.id not in self._drained_ids
        ]
        if len(workers) < 2:
            return
        worker = self._random.choice(workers)
        self._drained_ids.add(worker.id)
        old_id = worker.id
        self._fleet.list_endpoint(worker, state="draining")
        start = self._fleet.now
        await curio.sleep(DRAIN_BOUND_S + 1.0)
        end = self._fleet.now
        self._check_no_runs(
            "endpoint that leaves", start, start + DRAIN_BOUND_S, end, endpoint=old_id
        )
        self._fleet.unlist_endpoint(old_id)
        if worker.id != old_id:
            # The worker crashed meanwhile and was restarted under another id.
            return
        worker.id = f"{old_id.split('.')[0]}.{self._fleet.version}.{int(end * 10)}"
        self._fleet.list_endpoint(worker)

    def _check_no_runs(
        self,
        promise: str,
        start: float,
        due_at: float,
        end: float,
        *,
        zone: str = "",
        endpoint: str = "",
    ) -> None:
        if not self._is_fault_free(start, end):
            return
        for call_id, runs in self._record.runs_by_id.items():
            for run in runs:
                if due_at >= run.at or run.at > end:
                    continue
                is_match = run.zone == zone or run.endpoint == endpoint
                self._record.check(promise, not is_match, run.at, call_id)

    async def _terminate(self) -> None:
        """Stop a process gracefully; it must answer the requests it has received."""
        daemon = self._random.choice(self._fleet.daemons)
        if daemon.is_stop_expected or daemon.process is None:
            return
        daemon.is_stop_expected = True
        start = self._fleet.now
        self._fleet.send_signal(daemon, signal.SIGTERM)
        has_ended = await self._fleet.wait_ended(daemon, STOP_TIMEOUT_S)
        end = self._fleet.now
        if self._is_fault_free(start, end):
            detail = f"{daemon.name} after {end - start:.1f} s"
            self._record.check("ends within its grace", has_ended, end, detail)
            self._check_cuts(STOP_PROMISE, daemon.name, start, end)
        if not has_ended:
            self._fleet.send_signal(daemon, signal.SIGKILL)
            await self._fleet.wait_ended(daemon, 2.0)
        if self._callers.notice_checker is not None:
            self._callers.notice_checker.note_entry_restart(daemon.name)
        self._fleet.launch(daemon)

    def _check_cuts(self, promise: str, entry: str, start: float, end: float) -> None:
        """Check that an entry cut no call that had reached an endpoint.

        A call whose endpoint broke its answer off proves nothing, nor one that a crash
        ended, except around a planned stop.
        """
        for call in self._record.calls_by_id.values():
            if call.entry != entry or not start <= call.ended_at <= end + 0.1:
                continue
            has_run = bool(self._record.runs_by_id.get(call.id))
            is_cut = has_run and self._record.is_cut(
                call, excuses_crash=promise != STOP_PROMISE
            )
            self._record.check(promise, not is_cut, start, call.id)

    async def _reload(self) -> None:
        """Send SIGHUP to a process, which must not cut calls."""
        daemon = self._random.choice(self._fleet.daemons)
        start = self._fleet.now
        if start - daemon.launched_at < INTERPRETER_START_S:
            return
        self._fleet.send_signal(daemon, signal.SIGHUP)
        await curio.sleep(CONFIG_BOUND_S)
        if self._is_fault_free(start, self._fleet.now):
            name, end = daemon.name, self._fleet.now
            self._check_cuts("reload cuts nothing", name, start, end)

    def _list_entries(self) -> list[str]:
        """Return the entries that are not being stopped."""
        return [
            daemon.name
            for daemon in self._fleet.list_role(Role.ENTRY)
            if not daemon.is_stop_expected
        ]

    async def _probe(self, entry: str, target: str, key: str) -> int:
        """Send a request directly to an entry.

        Returns the status, or 0 without an answer.
        """
        daemon = next(item for item in self._fleet.daemons if item.name == entry)
        headers = [("host", HOST), ("authorization", f"Token {key}")]
        call_id = f"probe-{time.monotonic_ns()}"
        headers.append((REQUEST_ID, call_id))
        self._record.calls_by_id[call_id] = SoakCall(
            call_id, CallKind.SAFE, entry, target, b"", TEAM, self._fleet.now
        )
        reply = await fetch(
            Address(daemon.ip, CALLER_PORT),
            "GET",
            target,
            headers,
            timeout_s=PROBE_TIMEOUT_S,
            has_host_header=True,
        )
        if isinstance(reply, Failure):
            return 0
        answer: Reply = reply.unwrap()
        self._record.calls_by_id[call_id].status = answer.status
        return answer.status
