"""The processes of one soak and the stand-ins they work with."""

import os
import random
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import curio
import msgspec

from tamaracktray.platform.__main__ import SETTINGS_VARIABLE
from tamaracktray.types import Address, Role
from tamaracktray_emulator.platform.documents import (
    ENGINE_MODEL,
    build_configuration,
    build_engine_service,
    build_plain_service,
    build_route,
    build_tenant,
)
from tamaracktray_emulator.platform.origin import OriginStandIn
from tamaracktray_emulator.platform.store import PlatformStoreStandIn
from tamaracktray_emulator.soak.binding_checks import BindingLog, Homes
from tamaracktray_emulator.soak.endpoints import SoakEngine, SoakWorker
from tamaracktray_emulator.soak.plan import SoakPlan
from tamaracktray_emulator.soak.proxy import FaultProxy
from tamaracktray_emulator.soak.record import SoakRecord

ENGINES = "engines"
ORDERS = "orders"
RETURNS = "returns"
TEAM = "team-1"
ZONES = ("zone-a", "zone-b", "zone-c")
REGION_BY_ZONE = {"zone-a": "region-a", "zone-b": "region-a", "zone-c": "region-c"}
REGIONS = ", ".join(f"{zone}={region}" for zone, region in REGION_BY_ZONE.items())

# Routes of streams in soaks with overloads, by priority; the second is the usual one.
RANKED_ROUTES = ("talk-first", "talk", "talk-last")

# Slots of all engines together in soaks with overloads, and the time of an event in
# seconds: 37 streams a second.
OVERLOAD_SLOTS = 18
OVERLOAD_EVENT_S = 0.08

# Every process and stand-in has its own loopback address.
CALLER_PORT = 21_080
READY_PORT = 21_081
SERVER_PORT = 21_082
PEER_PORT = 21_090
STORE_PORT = 21_100

# Bounds in the settings of the processes, in seconds.
VERSION_BOUND_S = 4.0
GRACE_S = 6.0

# Time that a process has to exit after SIGTERM before it is killed, in seconds.
STOP_TIMEOUT_S = GRACE_S + 2.0


class Daemon(msgspec.Struct):
    """A project process; ``is_stop_expected`` is set before a deliberate stop."""

    name: str
    role: Role
    zone: str
    ip: str
    settings: Path
    store: FaultProxy
    process: subprocess.Popen | None = None
    launched_at: float = 0.0
    is_stop_expected: bool = False


class SoakFleet:
    """Processes, stand-ins and proxies, all in one loopback network."""

    def __init__(self, plan: SoakPlan, directory: Path, record: SoakRecord) -> None:
        self.plan = plan
        self.record = record
        self.directory = directory
        self.started = time.monotonic()
        self._network = f"127.{100 + os.getpid() % 100}.{plan.seed % 250}"
        self._hosts = iter(range(1, 250))
        self.store = PlatformStoreStandIn(Address(self._next_host(), STORE_PORT))
        self.origin = OriginStandIn(Address(self._next_host(), STORE_PORT))
        self.endpoints: list[SoakWorker | SoakEngine] = []
        self.proxy_by_endpoint: dict[str, FaultProxy] = {}
        self.daemons: list[Daemon] = []
        self.entry_proxies: dict[str, FaultProxy] = {}
        self.version = 0
        self.keys = ["key-0"]
        timeout_ms = int(plan.deadline_s * 1_000)
        self.routes = [
            build_route("talk", "stream", ENGINES, timeoutMs=timeout_ms),
            build_route("look", "safe", ORDERS, timeoutMs=timeout_ms),
            build_route("order", "unsafe", ORDERS, maxAttempts=1, timeoutMs=timeout_ms),
        ]
        self.services = [build_engine_service(ENGINES), build_plain_service(ORDERS)]
        if plan.has_silences:
            self.services.append(build_plain_service(RETURNS))
        self.ranked_routes: list[dict[str, Any]] = []
        self.engine_slots = 0
        if plan.has_overloads:
            self.engine_slots = max(OVERLOAD_SLOTS // plan.engines, 1)
            self.services[0]["engine"]["maxBatchSize"] = self.engine_slots
            self.ranked_routes = [
                build_route(
                    name, "stream", ENGINES, timeoutMs=timeout_ms, priority=rank
                )
                for rank, name in enumerate(RANKED_ROUTES)
                if name != self.routes[0]["name"]
            ]
        self.dropped_routes: set[str] = set()
        self.limits: dict[str, Any] = {}
        self.team_priority = 1
        self.binding_log = BindingLog()
        self.team_regions: tuple[str, ...] = ()
        self.regions_by_route: dict[str, tuple[str, ...]] = {}
        self._tasks: list[curio.Task] = []

    def _next_host(self) -> str:
        return f"{self._network}.{next(self._hosts)}"

    @property
    def now(self) -> float:
        """Return the seconds since the soak was set up."""
        return time.monotonic() - self.started

    def list_role(self, role: Role) -> list[Daemon]:
        """Return the processes of a role."""
        return [daemon for daemon in self.daemons if daemon.role is role]

    async def start(self) -> None:
        """Start all stand-ins, processes and proxies, without waiting for readiness."""
        for stand_in in (self.store, self.origin):
            await self._spawn(stand_in)
        self.configure()
        for number in range(self.plan.workers):
            await self.add_endpoint(SoakWorker, f"w-{number}", ORDERS, number)
        if self.plan.has_silences:
            for number in range(self.plan.workers):
                await self.add_endpoint(SoakWorker, f"r-{number}", RETURNS, number)
        for number in range(self.plan.engines):
            engine = await self.add_endpoint(SoakEngine, f"e-{number}", ENGINES, number)
            engine.version = 1
            if self.engine_slots:
                engine.max_batch = self.engine_slots
                engine.event_s = OVERLOAD_EVENT_S
            self.list_endpoint(engine)
            self._add_daemon(
                f"agent-{number}", Role.AGENT, engine.zone, engine.server.address
            )
        for number in range(self.plan.entries):
            zone = ZONES[number % len(ZONES)]
            daemon = self._add_daemon(f"entry-{number}", Role.ENTRY, zone)
            proxy = self._add_proxy(Address(daemon.ip, CALLER_PORT))
            self.entry_proxies[daemon.name] = proxy
        for daemon in self.daemons:
            await curio.spawn(daemon.store.serve, daemon=True)
            self.launch(daemon)
        for proxy in self.entry_proxies.values():
            await curio.spawn(proxy.serve, daemon=True)

    async def _spawn(self, stand_in: Any) -> None:
        await stand_in.server.open()
        self._tasks.append(await curio.spawn(stand_in.serve, daemon=True))

    def _add_proxy(self, target: Address) -> FaultProxy:
        return FaultProxy(Address(self._next_host(), SERVER_PORT), target)

    async def add_endpoint(
        self, kind: type, name: str, service: str, number: int
    ) -> Any:
        """Start and list an endpoint behind a proxy."""
        zone = ZONES[number % len(ZONES)]
        endpoint = kind(Address(self._next_host(), SERVER_PORT), name, service)
        endpoint.prepare(self.record, zone, self.started)
        proxy = self._add_proxy(endpoint.server.address)
        # Agents connect to their engine directly, so entries must see the same address.
        endpoint.listed_address = (
            proxy.address if kind is SoakWorker else endpoint.server.address
        )
        self.proxy_by_endpoint[name] = proxy
        self.endpoints.append(endpoint)
        await self._spawn(endpoint)
        await curio.spawn(proxy.serve, daemon=True)
        self.list_endpoint(endpoint)
        return endpoint

    def list_endpoint(self, endpoint: SoakWorker | SoakEngine, **fields: Any) -> None:
        """Write the endpoint's record to the store."""
        entry = endpoint.describe(endpoint.zone, **fields)
        is_leaving = entry["state"] == "draining"
        self.binding_log.note_listed(endpoint.id, is_leaving, self.now)
        self.store.write("servers", endpoint.id, entry)

    def restart_engine(self, engine: SoakEngine) -> None:
        """Restart an engine under its id and list it again without its model."""
        engine.restart()
        if engine.notice_checker is not None:
            engine.notice_checker.note_restart(engine.id, self.now)
        self.list_endpoint(engine)

    def is_listed_ready(self, name: str) -> bool:
        """Return whether the store lists an endpoint that isn't leaving."""
        return self.find_listed_state(name) == "ready"

    def find_listed_state(self, name: str) -> str:
        """Return the state with which the store lists an endpoint, if it does."""
        stored = self.store.objects.get(("servers", name), {})
        spec = stored.get("spec")
        # Another writer may have replaced the record by an unreadable one.
        return str(spec.get("state", "")) if isinstance(spec, dict) else ""

    def unlist_endpoint(self, name: str) -> None:
        """Remove an endpoint's record from the store, if present."""
        self.binding_log.note_listed(name, True, self.now)
        self.store.withdraw("servers", name)

    def configure(self) -> int:
        """Write the current routes and keys to the store.

        Returns the version of the configuration.
        """
        self.version += 1
        origin = {
            "name": "origin",
            "origin": str(self.origin.server.address),
            "zone": ZONES[0],
            "linkMbps": 7.3,
            "maxConnections": 48,
        }
        services = [*self.services, origin]
        regions = list(self.team_regions)
        fields = {"priority": self.team_priority, "allowedRegions": regions}
        tenants = [build_tenant(TEAM, *self.keys, **fields)]
        routes = [
            {**item, "allowedRegions": self.regions_by_route.get(item["name"], ())}
            for item in (*self.routes, *self.ranked_routes)
            if item["name"] not in self.dropped_routes
        ]
        document = build_configuration(self.version, routes, services, tenants)
        document["limits"].update(self.limits)
        self.store.write("config", "main", document)
        regions_by_prefix = {
            item["pathPrefix"]: tuple(item["allowedRegions"]) for item in routes
        }
        homes = Homes(self.now, self.team_regions, regions_by_prefix)
        self.binding_log.homes.append(homes)
        return self.version

    def announce_version(self, version: int) -> None:
        """Announce a weight version."""
        document = {"model": ENGINE_MODEL, "version": version}
        self.store.write("versions", ENGINE_MODEL, document)

    def _add_daemon(
        self, name: str, role: Role, zone: str, engine: Address | None = None
    ) -> Daemon:
        ip = engine.host if engine is not None else self._next_host()
        store = self._add_proxy(self.store.server.address)
        path = self.directory / f"{name}.ini"
        daemon = Daemon(name, role, zone, ip, path, store)
        self.daemons.append(daemon)
        self._write_settings(daemon, engine)
        return daemon

    def _write_settings(self, daemon: Daemon, engine: Address | None) -> None:
        entries = [item for item in self.daemons if item.role is Role.ENTRY]
        sections: dict[str, dict[str, object]] = {
            "node": {
                "role": daemon.role.value,
                "name": daemon.name,
                "zone": daemon.zone,
                "regions": REGIONS,
                "ip": daemon.ip,
            },
            "listen": {
                "peer_ports": f"{PEER_PORT}, {PEER_PORT + 5}",
                "callers": f"{daemon.ip}:{CALLER_PORT}",
                "readiness": f"{daemon.ip}:{READY_PORT}",
            },
            "store": {"address": daemon.store.address},
            "peers": {"seeds": ", ".join(f"{e.ip}:{PEER_PORT}" for e in entries[:3])},
            "engine": {"address": engine or "", "service": ENGINES if engine else ""},
            "bounds": {
                "version_ms": VERSION_BOUND_S * 1_000,
                "grace_s": GRACE_S,
                "contact_ms": 3_000,
            },
        }
        lines: list[str] = []
        for section, values in sections.items():
            lines.append(f"[{section}]")
            lines.extend(f"{key} = {value}" for key, value in values.items())
        daemon.settings.write_text("\n".join(lines) + "\n", "utf-8")

    def launch(self, daemon: Daemon) -> None:
        """Start a process unless it is running; its output goes to a log file."""
        if daemon.process is not None and daemon.process.poll() is None:
            return
        environment = {
            **os.environ,
            SETTINGS_VARIABLE: str(daemon.settings),
        }
        daemon.is_stop_expected = False
        daemon.launched_at = self.now
        if daemon.role is Role.ENTRY:
            self.binding_log.note_start(daemon.name, self.now)
        log = daemon.settings.with_suffix(".log")
        with log.open("ab") as output:
            daemon.process = subprocess.Popen(
                [sys.executable, "-m", "tamaracktray.platform"],
                env=environment,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def send_signal(self, daemon: Daemon, number: int) -> None:
        """Send a signal to a process, if it is still running."""
        if daemon.process is None or daemon.process.poll() is not None:
            return
        daemon.process.send_signal(number)
        if daemon.role is Role.ENTRY and number in (signal.SIGTERM, signal.SIGKILL):
            self.binding_log.note_stop(daemon.name, self.now)

    async def wait_ended(self, daemon: Daemon, timeout_s: float) -> bool:
        """Wait until a process has exited; return ``False`` after the timeout."""
        deadline = time.monotonic() + timeout_s
        while daemon.process is not None and daemon.process.poll() is None:
            if time.monotonic() >= deadline:
                return False
            await curio.sleep(0.02)
        return True

    def find_crashed(self) -> list[Daemon]:
        """Return the processes that exited without having been stopped."""
        return [
            daemon
            for daemon in self.daemons
            if daemon.process is not None
            and daemon.process.poll() is not None
            and not daemon.is_stop_expected
        ]

    async def restore(self) -> None:
        """Undo evacuations, list all endpoints and restart stopped processes."""
        for zone in ZONES:
            if ("evacuations", zone) in self.store.objects:
                self.store.remove("evacuations", zone)
        for endpoint in self.endpoints:
            self.list_endpoint(endpoint)
        for daemon in self.daemons:
            if daemon.is_stop_expected:
                if not await self.wait_ended(daemon, STOP_TIMEOUT_S):
                    self.send_signal(daemon, signal.SIGKILL)
                    await self.wait_ended(daemon, 1.0)
                self.launch(daemon)

    async def stop(self) -> None:
        """Stop all processes and stand-ins of this soak."""
        for daemon in self.daemons:
            daemon.is_stop_expected = True
            self.send_signal(daemon, signal.SIGCONT)
            self.send_signal(daemon, signal.SIGTERM)
        for daemon in self.daemons:
            if not await self.wait_ended(daemon, STOP_TIMEOUT_S):
                self.send_signal(daemon, signal.SIGKILL)
                await self.wait_ended(daemon, 1.0)
        for task in self._tasks:
            await task.cancel(blocking=False)


def build_random(plan: SoakPlan, purpose: str) -> random.Random:
    """Return a random generator for one purpose, derived from the plan's seed."""
    return random.Random(f"{plan.seed}/{purpose}")
