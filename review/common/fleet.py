"""Starts the project's processes with the commands of the deploy file."""

import asyncio
import os
import random
import signal
import socket
import subprocess
import time
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from common.engine import Origin
from common.store import Store
from common.wire import Message, encode, read_message, reset
from common.worker import Worker

# The scripts run the copy of this package that ``build.sh`` puts under ``target``.
ROOT = Path(__file__).resolve().parents[3]
REGION_BY_ZONE = {
    "nairobi-a": "nairobi",
    "mombasa-a": "mombasa",
    "kisumu-a": "kisumu",
}
HOST = "jepu9.example"
READY_TIMEOUT_S = 30.0
KEY_TENANT = "tenant-1"
LINK_MBPS_BY_ROLE = {"entry": 100.0, "agent": 3.65}

# The values of the bounds are those of the deployment mawimbi-glass-grown.
BOUNDS = {
    "contactMs": 4_000,
    "version_ms": 10_000,
    "graceS": 8,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetExtraRetries": 136,
    "coldTolerance": 5,
}


class Recorder:
    """Writes ``record.txt`` with the seconds since its creation on each line."""

    def __init__(self, folder: Path) -> None:
        self.started = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def __call__(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
        self._file.flush()


class Process:
    """One process of the project."""

    def __init__(
        self, name: str, command: list[str], settings: Path, address: str, ready: str
    ) -> None:
        self.name = name
        self.address = address
        self.ready = ready
        self._command = command
        self._settings = settings
        self._process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process; its output goes to a file beside its settings."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["TAMARACKTRAY_NODE_FILE"] = str(self._settings)
        with self._settings.with_suffix(".log").open("ab") as output:
            self._process = subprocess.Popen(
                self._command,
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    @property
    def log(self) -> Path:
        """Return the file with the output."""
        return self._settings.with_suffix(".log")

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, ``None`` while the process runs."""
        return None if self._process is None else self._process.poll()

    def describe_usage(self) -> str:
        """Return the state and the processor time of the process, for the record."""
        if self._process is None:
            return "not started"
        stat = Path(f"/proc/{self._process.pid}/stat").read_text().split()
        ticks = os.sysconf("SC_CLK_TCK")
        used_s = (int(stat[13]) + int(stat[14])) / ticks
        return f"state {stat[2]}, {used_s:.1f} s of processor time used"

    def send(self, number: int) -> None:
        """Send a signal to the process if it still runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def end(self) -> None:
        """Kill the process and wait for its end."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()


class Fleet:
    """The processes and stand-ins of one case, each with its own loopback address."""

    def __init__(self, folder: Path, record: Recorder) -> None:
        self.folder = folder
        self.record = record
        self.store = Store(record)
        self.store_address = ""
        self.workers: dict[str, Worker] = {}
        self.entries: list[Process] = []
        self.agents: list[Process] = []
        self.version = 0
        self.routes: list[dict[str, Any]] = []
        self.services: list[dict[str, Any]] = []
        self.tenants: list[dict[str, Any]] = []
        self._deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._network = _find_network()
        self._hosts = iter(range(2, 250))
        self._peer_port = _find_port(f"{self._network}.1")
        self._servers: list[asyncio.Server] = []

    def next_host(self) -> str:
        """Return an unused loopback address."""
        return f"{self._network}.{next(self._hosts)}"

    async def open_store(self) -> None:
        """Start the store."""
        host = self.next_host()
        port = _find_port(host)
        self.store_address = f"{host}:{port}"
        self._servers.append(await self.store.serve(host, port))

    async def open_origin(self, origin: Origin) -> str:
        """Start the origin of weights and return its address."""
        host = self.next_host()
        port = _find_port(host)
        self._servers.append(await origin.serve(host, port))
        return f"{host}:{port}"

    async def add_worker(self, worker: Worker, **fields: Any) -> None:
        """Start a worker and list it."""
        host = self.next_host()
        self._servers.append(await worker.serve(host, _find_port(host)))
        self.workers[worker.name] = worker
        self.store.write("servers", worker.name, worker.describe(**fields))

    def configure(self) -> int:
        """Write the current routes, services and tenants as a new configuration."""
        self.version += random.randint(1, 3)
        document = {
            "version": self.version,
            "routes": list(self.routes),
            "services": list(self.services),
            "limits": {
                "maxHeaderBytes": 16_384,
                "maxBodyBytes": 4_194_304,
                "headerTimeoutMs": 3_000,
                "idleTimeoutMs": 15_000,
            },
            "tenants": list(self.tenants),
        }
        revision = self.store.write("config", "main", document)
        self.record(f"operator: config/main {self.version} acknowledged at {revision}")
        return self.version

    def add_entry(self, zone: str) -> Process:
        """Prepare an entry of a zone; it is started by ``start``."""
        host = self.next_host()
        fields = {
            "listen.frontend": f"{host}:{_find_port(host)}",
            "listen.ready": f"{host}:{_find_port(host)}",
        }
        name = f"edge-{zone}-{len(self.entries) + 1}"
        entry = self._prepare("entry", name, zone, host, fields)
        self.entries.append(entry)
        return entry

    def add_agent(self, engine: Worker) -> Process:
        """Prepare the agent beside a model worker; it is started by ``start``."""
        fields = {"app": engine.address, "service": engine.service}
        host = engine.address.partition(":")[0]
        name = f"side-{engine.zone}-{engine.name}"
        agent = self._prepare("agent", name, engine.zone, host, fields)
        self.agents.append(agent)
        return agent

    def _prepare(
        self, role: str, name: str, zone: str, host: str, own_fields: dict[str, str]
    ) -> Process:
        deploy = self._deploy["roles"][role]
        first = _find_port(host)
        seeds = [entry.address.partition(":")[0] for entry in self.entries[:3]]
        fields = {
            "role": role,
            "nodeName": name,
            "zone": zone,
            "zones": REGION_BY_ZONE,
            "ip": host,
            "internalPorts": f"{self._peer_port},{self._peer_port + 15}",
            "listen.frontend": "",
            "listen.ready": "",
            "platform.address": self.store_address,
            "seeds": ",".join(f"{seed}:{first}" for seed in seeds),
            "limits.linkMbps": LINK_MBPS_BY_ROLE[role],
            "app": "",
            "service": "",
            "heartbeatMs": 1_200,
            **{f"bounds.{key}": value for key, value in BOUNDS.items()},
            **own_fields,
        }
        settings = self.folder / f"{name}.ini"
        template = (ROOT / deploy["template"]).read_text()
        settings.write_text(render(template, fields))
        return Process(
            name,
            deploy["run"].split(),
            settings,
            str(fields["listen.frontend"]),
            str(fields["listen.ready"]),
        )

    async def start(self) -> None:
        """Start all entries and wait until they are ready."""
        for process in [*self.entries, *self.agents]:
            process.start()
        deadline = time.monotonic() + READY_TIMEOUT_S
        for entry in self.entries:
            while not await is_ready(entry):
                if entry.exit_code is not None:
                    raise RuntimeError(f"{entry.name} ended: {entry.exit_code}")
                if time.monotonic() > deadline:
                    raise TimeoutError(f"{entry.name} is not ready")
                await asyncio.sleep(0.1)
        self.record("all entries are ready")

    def stop(self) -> None:
        """End all processes that the case started."""
        for process in [*self.entries, *self.agents]:
            process.end()
        for server in self._servers:
            server.close()


def render(template: str, fields: Mapping[str, Any]) -> str:
    """Fill in the placeholders that the settings template of this project uses."""
    zones = ",".join(f"{zone}={region}" for zone, region in fields["zones"].items())
    text = template.replace("{{#zones}}{{@}}={{.}}{{,}}{{/zones}}", zones)
    for name, value in fields.items():
        text = text.replace("{{" + name + "}}", str(value))
    return text


def _find_network() -> str:
    """Return a loopback network in which nothing listens on a common port."""
    while True:
        network = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"
        with socket.socket() as probe:
            try:
                probe.bind((f"{network}.2", 9_100))
            except OSError:
                continue
        return network


def _find_port(host: str) -> int:
    """Return a free port."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


async def is_ready(entry: Process) -> bool:
    """Ask an entry whether it is ready, as the platform does once a second."""
    host, _, port = entry.ready.partition(":")
    request = encode("GET /readyz HTTP/1.1", {"Host": entry.ready})
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return False
    try:
        writer.write(request)
        answer = await asyncio.wait_for(read_message(reader), 1.0)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return False
    finally:
        writer.close()
    return answer is not None and answer.status == 200


class Client:
    """Sends requests and records their answers."""

    def __init__(self, record: Recorder) -> None:
        self._record = record
        self._sent = 0
        self._prefix = f"{random.getrandbits(32):08x}"

    def next_id(self) -> str:
        """Return a new request id."""
        self._sent += 1
        return f"{self._prefix}{self._sent:08x}"

    async def send(
        self,
        entry: Process,
        target: str,
        *,
        key: str = "",
        body: bytes = b"",
        method: str = "POST",
        deadline_ms: int = 2_500,
        request_id: str = "",
        extra: Mapping[str, str] | None = None,
    ) -> tuple[str, float, Message | None]:
        """Send a request on a new connection; return its id, time and answer."""
        request_id = request_id or self.next_id()
        headers = {
            "Host": HOST,
            "X-Tamaracktray-Request-Id": request_id,
            "X-Tamaracktray-Deadline-Ms": str(deadline_ms),
            **(extra or {}),
        }
        if key:
            headers["Authorization"] = f"Token {key}"
        host, _, port = entry.address.partition(":")
        sent_at = time.monotonic()
        answer: Message | None = None
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(deadline_ms / 1_000.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                sent_at = time.monotonic()
                writer.write(encode(f"{method} {target} HTTP/1.1", headers, body))
                answer = await read_message(reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            answer = None
        finally:
            if writer is not None:
                reset(writer)
        status = "no answer" if answer is None else answer.status
        self._record(
            f"client: {request_id} {target} key={key or '-'} at {entry.name}, "
            f"sent {sent_at - self._record.started:.3f}: {status}"
        )
        return request_id, sent_at, answer

    async def connect(
        self, entry: Process
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection that is kept for several requests."""
        host, _, port = entry.address.partition(":")
        return await asyncio.open_connection(host, int(port))

    async def send_on(
        self,
        connection: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        entry: Process,
        target: str,
        *,
        key: str = "",
        deadline_ms: int = 2_500,
    ) -> tuple[str, bool]:
        """Send a request on a kept connection.

        Return its id, and whether the connection was closed without an answer.
        """
        reader, writer = connection
        request_id = self.next_id()
        headers = {
            "Host": HOST,
            "X-Tamaracktray-Request-Id": request_id,
            "X-Tamaracktray-Deadline-Ms": str(deadline_ms),
            "Authorization": f"Token {key}",
        }
        status: str | int = "closed without an answer"
        try:
            writer.write(encode(f"POST {target} HTTP/1.1", headers, b"{}"))
            async with asyncio.timeout(deadline_ms / 1_000.0):
                answer = await read_message(reader)
            if answer is not None:
                status = answer.status
        except TimeoutError:
            status = "no answer in time"
        except (OSError, asyncio.IncompleteReadError):
            status = "closed without an answer"
        self._record(f"client: {request_id} {target} at {entry.name}: {status}")
        return request_id, status == "closed without an answer"
