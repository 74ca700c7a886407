"""A small fleet with stand-ins of the platform's services, all in one curio kernel.

Each instance has its own loopback address, like the platform's machines.
"""

import itertools
import socket
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import curio

from tamaracktray.agent_process import AgentProcess
from tamaracktray.entry_process import EntryProcess
from tamaracktray.exchange import fetch
from tamaracktray.http_messages import Reply
from tamaracktray.node_process import NodeProcess
from tamaracktray.node_settings import (
    BoundSettings,
    EngineSettings,
    ListenSettings,
    NodeIdentitySettings,
    NodeLogSettings,
    NodePeerSettings,
    NodeProcessSettings,
    StoreSettings,
)
from tamaracktray.platform.deployment import PlatformDeployment
from tamaracktray.types import Address, Role
from tamaracktray_emulator.platform.documents import (
    build_configuration,
    build_engine_service,
    build_plain_service,
    build_route,
    build_tenant,
)
from tamaracktray_emulator.platform.origin import OriginStandIn
from tamaracktray_emulator.platform.store import PlatformStoreStandIn
from tamaracktray_emulator.platform.worker import EngineStandIn, WorkerStandIn

ENGINES = "engines"
ORDERS = "orders"
ZONE = "zone-a"
REGIONS = "zone-a=region-a, zone-b=region-b"
HOST = "studio.example"
KEY = "key-1"
TEAM = "team-1"

# Ports that no other test of the suite uses. Instances differ by address.
CALLER_PORT = 31_080
READY_PORT = 31_081
WORKER_PORT = 31_082
PEER_PORT = 31_090
PEER_PORTS = f"{PEER_PORT}, {PEER_PORT + 9}"
STORE_PORT = 31_100

# Loopback networks; a run of the suite reserves the first free one.
NETWORKS = range(16, 240)
LOCK_PORT = 31_099


def _reserve_network() -> tuple[int, socket.socket]:
    """Reserve a loopback network for this run; return its number and lock."""
    for network in NETWORKS:
        lock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            lock.bind((f"127.{network}.255.254", LOCK_PORT))
        except OSError:
            lock.close()
            continue
        return network, lock
    raise AssertionError("no loopback network is free")


_network, _lock = _reserve_network()
_hosts = itertools.count(1)


def next_host() -> str:
    """Return an unused loopback address."""
    number = next(_hosts)
    return f"127.{_network}.{number // 250}.{number % 250 + 1}"


class KillableProcess(NodeProcess):
    """A process whose background tasks end when it is killed."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self._background_tasks: set[curio.Task] = set()

    async def spawn(self, function: Callable[..., Awaitable[None]], *args: Any) -> None:
        async def run() -> None:
            task = await curio.current_task()
            self._background_tasks.add(task)
            try:
                await function(*args)
            finally:
                self._background_tasks.discard(task)

        await super().spawn(run)

    async def kill(self) -> None:
        """End the process without notice to its peers and release its addresses."""
        await self.halt()
        for task in list(self._background_tasks):
            await task.cancel(blocking=False)
        await self._datagrams.close()
        await curio.sleep(0.05)


class KillableEntry(KillableProcess, EntryProcess):
    """An entry that tests can kill."""


class KillableAgent(KillableProcess, AgentProcess):
    """An agent that tests can kill."""


class PlatformFleet:
    """Stand-ins and processes of one test.

    Changes to ``routes``, ``services`` and ``tenants`` apply with ``configure``, and
    those to ``store_options`` to processes that start later.
    """

    def __init__(self, **bounds: Any) -> None:
        self.store = PlatformStoreStandIn(Address(next_host(), STORE_PORT))
        self.origin = OriginStandIn(Address(next_host(), STORE_PORT))
        self.bounds = BoundSettings(**bounds)
        self.store_options: dict[str, Any] = {"timeout_s": 0.5, "watch_s": 5.0}
        self.workers: dict[str, WorkerStandIn] = {}
        self.entries: list[EntryProcess] = []
        self.agents: list[AgentProcess] = []
        self.version = 0
        self._stand_ins: list[tuple[curio.Task, Any]] = []
        self.routes = [
            build_route("talk", "stream", ENGINES),
            build_route("look", "safe", ORDERS),
            build_route("order", "unsafe", ORDERS, maxAttempts=1),
        ]
        self.services = [build_engine_service(ENGINES), build_plain_service(ORDERS)]
        self.tenants = [build_tenant(TEAM, KEY)]

    async def start(self, *, entries: int = 1, zone: str = ZONE) -> None:
        """Start the stand-ins and entries and wait until the entries are ready."""
        for stand_in in (self.store, self.origin):
            await self.open(stand_in)
        self.configure()
        for _ in range(entries):
            await self.add_entry(zone)
        await self.until(lambda: all(e.state.is_initialized for e in self.entries))

    async def stop(self) -> None:
        """Stop all processes and stand-ins."""
        for shell in [*self.entries, *self.agents]:
            await shell.halt()
        for task, stand_in in self._stand_ins:
            await task.cancel(blocking=False)
            await stand_in.server.close()

    async def open(self, stand_in: Any) -> None:
        """Start to serve a stand-in."""
        await stand_in.server.open()
        task = await curio.spawn(stand_in.serve, daemon=True)
        self._stand_ins.append((task, stand_in))

    async def close(self, stand_in: Any) -> None:
        """Stop a stand-in from accepting connections."""
        for task, served in self._stand_ins:
            if served is stand_in:
                await task.cancel(blocking=False)

    def configure(self) -> None:
        """Store a new configuration with the current routes and tenants."""
        self.version += 1
        services = [
            *self.services,
            {
                "name": "origin",
                "origin": str(self.origin.server.address),
                "zone": ZONE,
                "linkMbps": 7.3,
                "maxConnections": 48,
            },
        ]
        document = build_configuration(
            self.version, self.routes, services, self.tenants
        )
        self.store.write("config", "main", document)

    async def add_entry(self, zone: str = ZONE) -> EntryProcess:
        """Start an entry."""
        number = len(self.entries)
        settings = self._build_settings(f"entry-{number}", Role.ENTRY, zone)
        shell = KillableEntry(Path("unused"), settings, PlatformDeployment())
        self.entries.append(shell)
        await curio.spawn(shell.serve, daemon=True)
        return shell

    async def restart_entry(self, number: int) -> EntryProcess:
        """Kill an entry and restart it with the same name and addresses."""
        old = self.entries[number]
        await old.kill()
        shell = KillableEntry(Path("unused"), old.settings, PlatformDeployment())
        self.entries[number] = shell
        await curio.spawn(shell.serve, daemon=True)
        return shell

    async def restart_all(self) -> None:
        """Kill all entries and agents, then restart them."""
        for shell in [*self.entries, *self.agents]:
            await shell.kill()
        self.entries = [
            KillableEntry(Path("unused"), old.settings, PlatformDeployment())
            for old in self.entries
        ]
        self.agents = [
            KillableAgent(Path("unused"), old.settings, PlatformDeployment())
            for old in self.agents
        ]
        for shell in [*self.entries, *self.agents]:
            await curio.spawn(shell.serve, daemon=True)
        await self.until(lambda: all(e.state.is_initialized for e in self.entries))

    async def add_worker(
        self, name: str, zone: str = ZONE, **fields: Any
    ) -> WorkerStandIn:
        """Start a plain worker and list it."""
        worker = WorkerStandIn(Address(next_host(), WORKER_PORT), name, ORDERS)
        self.workers[name] = worker
        await self.open(worker)
        self.list_worker(worker, zone, **fields)
        return worker

    async def add_engine(
        self, name: str, version: int = 1, zone: str = ZONE, **fields: Any
    ) -> EngineStandIn:
        """Start an engine with a loaded version, 0 for none, and list it."""
        engine = EngineStandIn(Address(next_host(), WORKER_PORT), name, ENGINES)
        engine.version = version
        self.workers[name] = engine
        await self.open(engine)
        self.list_worker(engine, zone, **fields)
        return engine

    def list_worker(
        self, worker: WorkerStandIn, zone: str = ZONE, **fields: Any
    ) -> None:
        """Write a worker's record into the store."""
        self.store.write("servers", worker.id, worker.describe(zone, **fields))

    async def add_agent(self, engine: EngineStandIn, zone: str = ZONE) -> AgentProcess:
        """Start the agent of an engine."""
        address = engine.server.address
        engine_settings = EngineSettings(str(address), ENGINES, report_s=0.05)
        settings = self._build_settings(
            f"agent-{len(self.agents)}",
            Role.AGENT,
            zone,
            ip=address.host,
            engine=engine_settings,
        )
        shell = KillableAgent(Path("unused"), settings, PlatformDeployment())
        self.agents.append(shell)
        await curio.spawn(shell.serve, daemon=True)
        return shell

    def _build_settings(
        self,
        name: str,
        role: Role,
        zone: str,
        ip: str = "",
        engine: EngineSettings | None = None,
    ) -> NodeProcessSettings:
        ip = ip or next_host()
        seeds = ", ".join(f"{shell.own_address}" for shell in self.entries[:3])
        return NodeProcessSettings(
            NodeIdentitySettings(role, name, zone, REGIONS, ip),
            ListenSettings(PEER_PORTS, f"{ip}:{CALLER_PORT}", f"{ip}:{READY_PORT}", 0),
            StoreSettings(str(self.store.server.address), **self.store_options),
            NodePeerSettings(seeds),
            engine or EngineSettings(),
            self.bounds,
            NodeLogSettings(),
        )

    async def until(self, condition: Callable[[], Any], timeout_s: float = 5.0) -> None:
        """Wait until a condition is true; fail after ``timeout_s`` seconds."""
        deadline = time.monotonic() + timeout_s
        while not condition():
            assert time.monotonic() < deadline, "timed out waiting for the condition"
            await curio.sleep(0.01)

    async def until_listed(self, count: int) -> None:
        """Wait until the first entry uses ``count`` endpoints."""
        roster = self.entries[0].state.roster
        await self.until(lambda: len(roster.records_by_id) == count)

    async def call(
        self,
        path: str,
        request_id: str = "id-1",
        *,
        entry: int = 0,
        key: str = KEY,
        method: str = "POST",
        body: bytes = b"",
        headers: list[tuple[str, str]] | None = None,
        wait_ms: int = 2_000,
    ) -> Reply:
        """Send a caller's request; raise ``AssertionError`` without an answer."""
        all_headers = [
            ("host", HOST),
            ("x-tamaracktray-request-id", request_id),
            ("x-tamaracktray-deadline-ms", str(wait_ms)),
            ("x-tamaracktray-model", "kiln-1"),
            ("x-tamaracktray-token-usage", "100,20"),
            *(headers or []),
        ]
        if key:
            all_headers.append(("authorization", f"Token {key}"))
        address = Address.parse(self.entries[entry].settings.listen.callers)
        reply = await fetch_with_host(address, method, path, all_headers, body)
        assert isinstance(reply, Reply), reply
        return reply


async def fetch_with_host(
    address: Address, method: str, path: str, headers: list, body: bytes = b""
) -> Reply | str:
    """Send a request with its own host header; return the reply or the error."""
    fetched = await fetch(
        address, method, path, headers, body, timeout_s=10.0, has_host_header=True
    )
    return fetched.value_or(None) or fetched.failure().message


def run_fleet(test: Callable[[PlatformFleet], Awaitable[None]], **bounds: Any) -> None:
    """Run a test with a new fleet."""

    async def main() -> None:
        fleet = PlatformFleet(**bounds)
        try:
            await test(fleet)
        finally:
            await fleet.stop()

    curio.run(main)
