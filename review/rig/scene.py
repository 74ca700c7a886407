"""A small deployment: a store, workers, a configuration and the project's entries."""

import asyncio
import time
from pathlib import Path

from rig.fleet import ZONES, Fleet, Process, choose_network
from rig.store import Store
from rig.wire import Reply, call
from rig.worker import Worker

HOST = "jepu9.example"
KEY = "jnbanfqasnmgkcuyj8pj"
TENANT = "bozi300"
ORDERS = "wuno96b"
TIMEOUT_MS = 1200
DEADLINE_MS = 2500
DEADLINE_S = DEADLINE_MS / 1_000
ZONE_NAMES = tuple(ZONES)
STORE_PORT = 8007
WORKER_PORT = 8080
READY_S = 20.0
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


def build_route(name: str, prefix: str, kind: str, **fields: object) -> dict:
    """Return a route of the small site's plain service."""
    route = {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "type": kind,
        "timeoutMs": TIMEOUT_MS,
        "targetLatencyMs": 205,
        "priority": 2,
        "service": ORDERS,
        "maxAttempts": 2 if kind == "safe" else 1,
        "public": False,
        "sticky": False,
        "resumable": False,
        "allowedRegions": [],
    }
    return route | fields


def build_service(name: str) -> dict:
    """Return a plain service."""
    return {
        "name": name,
        "healthPath": "/healthz",
        "maxConnections": 96,
        "protocol": "h1",
        "tls": False,
        "warmupS": 0.0,
        "coldPerS": 0.0,
    }


def build_tenant() -> dict:
    """Return the tenant that holds the clients' key."""
    return {"name": TENANT, "apiKeys": [KEY], "priority": 1, "allowedRegions": []}


def build_configuration(
    version: int, routes: list[dict], services: list[dict], tenants: list[dict]
) -> dict:
    """Return a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": LIMITS,
        "tenants": tenants,
    }


class Record:
    """Writes what happened to ``record.txt`` in the folder of the case."""

    def __init__(self, folder: str) -> None:
        self._file = (Path(folder) / "record.txt").open("w")
        self._began_at = time.monotonic()

    def note(self, text: str) -> None:
        """Write one line with the time since the start."""
        line = f"{time.monotonic() - self._began_at:7.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()
        print(line, flush=True)


class CannotRunError(Exception):
    """The case could not be set up."""


class Scene:
    """Stand-ins and processes of one case."""

    def __init__(self, folder: str) -> None:
        self.record = Record(folder)
        self.network = choose_network()
        self.store = Store(f"{self.network}.2", STORE_PORT)
        self.fleet = Fleet(self.network, self.store.address)
        self.workers: list[Worker] = []
        self.entries: list[Process] = []
        self._next_id = 0

    async def open(self, workers: int = 3, entries: int = 2) -> None:
        """Start all, and wait until each entry has answered a request."""
        await self.open_stand_ins(workers)
        await self.start_entries(entries)
        for entry in self.entries:
            deadline = time.monotonic() + READY_S
            while (await self.order(entry)).status != 200:
                if time.monotonic() > deadline:
                    raise CannotRunError(f"{entry.name} does not answer")
                await asyncio.sleep(0.1)

    async def open_stand_ins(self, workers: int) -> None:
        """Start the store and workers of the plain service."""
        await self.store.open()
        self.configure(7, [build_tenant()])
        for number in range(workers):
            host = f"{self.network}.{20 + number}"
            worker = Worker(self.store, host, WORKER_PORT, f"i-7f3a91c{number}", ORDERS)
            worker.zone = ZONE_NAMES[number % len(ZONE_NAMES)]
            await worker.open()
            self.workers.append(worker)

    async def start_entries(self, entries: int) -> None:
        """Start entries and wait until they say that they are ready."""
        self.fleet.seeds = [f"{self.network}.{40 + n}:8000" for n in range(entries)][:3]
        for number in range(entries):
            zone = ZONE_NAMES[number % len(ZONE_NAMES)]
            entry = self.fleet.add("entry", zone, 40 + number)
            self.entries.append(entry)
            self.fleet.start(entry)
        deadline = time.monotonic() + READY_S
        for entry in self.entries:
            while not await self.is_ready(entry):
                if time.monotonic() > deadline:
                    raise CannotRunError(f"{entry.name} is not ready")
                await asyncio.sleep(0.1)

    def configure(self, version: int, tenants: list[dict]) -> None:
        """Write a configuration as the operator does."""
        routes = [
            build_route("r-order", "/filo73/", "unsafe"),
            build_route("r-look", "/boye614/", "safe"),
        ]
        services = [build_service(ORDERS)]
        document = build_configuration(version, routes, services, tenants)
        self.store.write("config", "main", document)

    async def is_ready(self, entry: Process) -> bool:
        """Ask for readiness as the platform does."""
        headers = {"Host": entry.ip}
        reply = await call(
            entry.ip, entry.ready, "GET", "/readyz", headers, timeout_s=1.0
        )
        return reply.status == 200

    async def order(self, entry: Process, key: str = KEY) -> Reply:
        """Send an unsafe request of a proper client on a new connection."""
        self._next_id += 1
        headers = {
            "Host": HOST,
            "X-Tamaracktray-Request-Id": f"{self._next_id:016x}",
            "X-Tamaracktray-Deadline-Ms": str(DEADLINE_MS),
            "Authorization": f"Token {key}",
        }
        target = f"/filo73/de11/{self._next_id:x}"
        body = b"b" * 600
        return await call(
            entry.ip, entry.frontend, "POST", target, headers, body, DEADLINE_S
        )

    def close(self) -> None:
        """End all processes."""
        self.fleet.close()
