"""Starts stand-ins and daemons as separate processes on loopback, for tests and demos.

Only tests, demos and measurements use the launcher: no process of tamaracktray starts
another one.
"""

import contextlib
import functools
import http.client
import itertools
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from tamaracktray.types import Address, Instance, Role

HOST = "127.0.0.1"
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0
POLL_S = 0.05

# Ports are handed out in blocks, each reserved by one process at a time. They lie below
# the range of ephemeral ports, so no outgoing connection can take one.
FIRST_PORT = 12_000
BLOCK_PORTS = 1_500
BLOCKS = 12
FIRST_LOCK_PORT = FIRST_PORT - BLOCKS


class HttpAnswer(msgspec.Struct, frozen=True):
    """A complete HTTP answer; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body as JSON."""
        return msgspec.json.decode(self.body)


class LaunchError(Exception):
    """A process did not start, or a condition did not become true in time."""


def call(
    address: Address,
    method: str,
    path: str,
    document: Any = None,
    headers: dict[str, str] | None = None,
    *,
    timeout_s: float = 30.0,
) -> HttpAnswer:
    """Make one blocking HTTP call; raise ``OSError`` if it does not complete."""
    connection = http.client.HTTPConnection(
        address.host, address.port, timeout=timeout_s
    )
    body = b"" if document is None else msgspec.json.encode(document)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        data = response.read()
    except http.client.HTTPException as error:
        raise ConnectionError(f"incomplete HTTP answer: {error!r}") from error
    finally:
        connection.close()
    lowered = {name.lower(): value for name, value in response.getheaders()}
    return HttpAnswer(response.status, lowered, data)


@functools.cache
def _reserve_ports() -> tuple[Iterator[int], socket.socket]:
    """Reserve a block of ports for this process; return the ports and the lock."""
    for block in range(BLOCKS):
        lock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            lock.bind((HOST, FIRST_LOCK_PORT + block))
        except OSError:
            lock.close()
            continue
        first = FIRST_PORT + block * BLOCK_PORTS
        return itertools.cycle(range(first, first + BLOCK_PORTS)), lock
    raise LaunchError("all blocks of ports are reserved")


def find_free_port() -> int:
    """Return a port of this process's block that is free now."""
    ports, _ = _reserve_ports()
    for port in itertools.islice(ports, BLOCK_PORTS):
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
            return port
    raise LaunchError("no free port left")


def find_free_address() -> Address:
    """Return a loopback address with a free port."""
    return Address(HOST, find_free_port())


def wait_until(
    condition: Any, timeout_s: float = START_TIMEOUT_S, what: str = "a condition"
) -> float:
    """Wait until ``condition()`` is true; return the time it took in seconds."""
    started = time.monotonic()
    while time.monotonic() - started < timeout_s:
        with contextlib.suppress(OSError):
            if condition():
                return time.monotonic() - started
        time.sleep(POLL_S)
    raise LaunchError(f"{what}: timed out after {timeout_s:g} s")


class AgentPlan(msgspec.Struct, frozen=True):
    """Parameters of an agent and its endpoint."""

    name: str
    zone: str
    region: str
    serves: str
    kind: str = "models"
    options: dict[str, dict[str, str]] = {}


class EntryPlan(msgspec.Struct, frozen=True):
    """Parameters of an entry."""

    name: str
    zone: str
    region: str
    options: dict[str, dict[str, str]] = {}


class Fleet:
    """The processes of a demo or test and their addresses, by name."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.process_by_name: dict[str, subprocess.Popen] = {}
        self.address_by_name: dict[str, Address] = {}
        self.control_by_name: dict[str, Address] = {}
        self.api_by_name: dict[str, Address] = {}
        self.endpoint_by_name: dict[str, Address] = {}
        self.instances: list[Instance] = []
        self._starting: list[str] = []

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *exception: object) -> None:
        self.stop_all()

    def start_platform(self, *, origin_options: list[str] | None = None) -> None:
        """Start the object API, the instance list and the origin."""
        self.start_stand_in("object-api", "object-api", [])
        self.start_stand_in("instance-list", "instance-list", [])
        self.start_stand_in("origin", "origin", origin_options or [])

    def start_stand_in(self, name: str, kind: str, options: list[str]) -> Address:
        """Start one stand-in."""
        address = self.address_by_name.get(name) or find_free_address()
        self.address_by_name[name] = address
        module = "tamaracktray_emulator.main"
        command = [sys.executable, "-m", module, kind, "--listen", str(address)]
        self._start(name, [*command, *options])
        return address

    def start_endpoint(self, plan: AgentPlan, behavior: dict[str, Any]) -> None:
        """Start the endpoint of an agent."""
        name = f"endpoint-{plan.name}"
        kind = "engine" if plan.kind == "models" else "service"
        options = ["--behavior", msgspec.json.encode(behavior).decode()]
        self.endpoint_by_name[plan.name] = self.start_stand_in(name, kind, options)

    def start_agent(self, plan: AgentPlan) -> None:
        """Start an agent and add it to the instances."""
        sections = {
            "node": {"role": "agent", "zone": plan.zone, "region": plan.region},
            "endpoint": {
                "kind": plan.kind,
                "serves": plan.serves,
                "address": str(self.endpoint_by_name[plan.name]),
            },
            "weights": {"origin": str(self.address_by_name["origin"])},
        }
        self._start_daemon(plan.name, sections, plan.options)
        self._add_instance(plan.name, Role.AGENT, plan.zone, plan.region, plan.serves)

    def start_entry(self, plan: EntryPlan) -> None:
        """Start an entry and add it to the instances."""
        api = self.api_by_name.get(plan.name) or find_free_address()
        self.api_by_name[plan.name] = api
        sections = {
            "node": {"role": "entry", "zone": plan.zone, "region": plan.region},
            "api": {"listen": str(api)},
        }
        self._start_daemon(plan.name, sections, plan.options)
        self._add_instance(plan.name, Role.ENTRY, plan.zone, plan.region, "")

    def publish_instances(self, instances: list[Instance] | None = None) -> None:
        """Wait for all processes, then publish the instance list.

        ``instances`` replaces the instances that this fleet has started.
        """
        self.wait_ready()
        listed = self.instances if instances is None else instances
        document = msgspec.to_builtins(listed)
        call(self.address_by_name["instance-list"], "PUT", "/instances", document)

    def wait_ready(self) -> None:
        """Wait until all started processes accept connections."""
        for name in self._starting:
            self._wait_listening(name)
        self._starting.clear()

    def _wait_listening(self, name: str) -> None:
        """Wait until a process accepts connections.

        Raises ``LaunchError`` as soon as the process has exited.
        """
        address = self.address_by_name[name]

        def is_listening() -> bool:
            process = self.process_by_name.get(name)
            if process is not None and process.poll() is not None:
                text = self.read_log(name)[-2000:]
                raise LaunchError(f"{name} exited with {process.returncode}: {text}")
            with socket.create_connection((address.host, address.port), 1.0):
                return True
            return False

        wait_until(is_listening, what=f"{name} at {address}")

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self.process_by_name[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process and wait until it has exited."""
        process = self.process_by_name.pop(name)
        process.kill()
        process.wait()

    def stop(self, name: str) -> int:
        """Stop a process with SIGTERM and return its exit code."""
        process = self.process_by_name.pop(name)
        process.send_signal(signal.SIGTERM)
        return process.wait(STOP_TIMEOUT_S)

    def stop_all(self) -> None:
        """Kill all processes."""
        for process in self.process_by_name.values():
            process.kill()
        for process in self.process_by_name.values():
            process.wait()
        self.process_by_name.clear()

    def read_log(self, name: str) -> str:
        """Return the output of a process."""
        return (self.directory / f"{name}.log").read_text("utf-8", "replace")

    def read_memory_bytes(self, name: str) -> int:
        """Return the resident memory of a process in bytes."""
        pid = self.process_by_name[name].pid
        pages = Path(f"/proc/{pid}/statm").read_text("ascii").split()[1]
        return int(pages) * os.sysconf("SC_PAGE_SIZE")

    def read_cpu_s(self, name: str) -> float:
        """Return the CPU time of a process in seconds."""
        pid = self.process_by_name[name].pid
        text = Path(f"/proc/{pid}/stat").read_text("ascii").rpartition(")")[2]
        fields = text.split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def _start_daemon(
        self,
        name: str,
        sections: dict[str, dict[str, str]],
        options: dict[str, dict[str, str]],
    ) -> None:
        address = self.address_by_name.setdefault(name, find_free_address())
        control = self.control_by_name.setdefault(name, find_free_address())
        sections["node"].update(
            {"name": name, "listen": str(address), "control": str(control)}
        )
        sections["platform"] = {
            "object_api": str(self.address_by_name["object-api"]),
            "instance_list": str(self.address_by_name["instance-list"]),
            "list_interval_s": "1",
        }
        for section, values in options.items():
            sections.setdefault(section, {}).update(values)
        path = self.directory / f"{name}.ini"
        path.write_text(_format_ini(sections), "utf-8")
        command = [sys.executable, "-m", "tamaracktray.daemon", "--config", str(path)]
        self._start(name, command)

    def _start(self, name: str, command: list[str]) -> None:
        self._starting.append(name)
        with (self.directory / f"{name}.log").open("ab") as log:
            self.process_by_name[name] = subprocess.Popen(
                command, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    def _add_instance(
        self, name: str, role: Role, zone: str, region: str, serves: str
    ) -> None:
        self.instances = [item for item in self.instances if item.name != name]
        self.instances.append(
            Instance(
                name,
                role,
                zone,
                region,
                self.address_by_name[name],
                self.control_by_name[name],
                serves,
            )
        )


def _format_ini(sections: dict[str, dict[str, str]]) -> str:
    lines: list[str] = []
    for section, values in sections.items():
        lines.append(f"[{section}]")
        lines.extend(f"{key} = {value}" for key, value in values.items())
        lines.append("")
    return "\n".join(lines)
