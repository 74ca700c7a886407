"""Crowds of hostile clients at processes of their own.

Guards against an entry or agent that a crowd makes hold so much memory, or so many
descriptors, that it ends or answers nobody any more.
"""

import json
import math
import os
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import curio
import msgspec
import pytest

from platforms import (
    CALLER_PORT,
    HOST,
    KEY,
    ORDERS,
    PEER_PORT,
    PEER_PORTS,
    READY_PORT,
    REGIONS,
    WORKER_PORT,
    ZONE,
    PlatformFleet,
    fetch_with_host,
    next_host,
    run_fleet,
)
from tamaracktray.exchange import fetch
from tamaracktray.http_messages import Reply
from tamaracktray.types import Address
from tamaracktray_emulator.platform.documents import build_route
from tamaracktray_emulator.platform.worker import WorkerStandIn

KIBIBYTE = 1_024
MEBIBYTE = 1_024 * KIBIBYTE

CONNECTIONS = 40
CROWD_S = 3.0
BODY_BYTES = 4_000_000

# Bound of what a crowd adds to the memory of a process. It is far below what 40
# connections can send, and above what the lowered limits allow them to be held.
MAX_GROWTH_BYTES = 32 * MEBIBYTE
MAX_DESCRIPTORS = 400
ANSWER_BYTES = 250_000

# Timeout of the route of the ordinary requests, in seconds.
TIMEOUT_S = 1.2

# The answer of an ordinary request may wait for the crowd's requests to time out.
ORDINARY_S = 20.0

LOWERED_LIMITS = {
    "held_bytes": 6 * MEBIBYTE,
    "connections": 120,
    "peer_held_bytes": 6 * MEBIBYTE,
    "peer_connections": 60,
}


def build_head(framing: str, path: str = "/order/{n}") -> str:
    return (
        f"POST {path} HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Token {KEY}\r\n"
        f"x-tamaracktray-deadline-ms: 2500\r\n{framing}\r\n\r\n"
    )


def build_chunk(size: int) -> str:
    return f"{size:x}\r\n" + "x" * size + "\r\n"


def announce(length: int) -> str:
    return f"content-length: {length}"


CHUNKED = "transfer-encoding: chunked"
MANY_HEADERS = "\r\n".join(f"a{number}:1" for number in range(1_400))


class Crowd(msgspec.Struct, frozen=True):
    """What each connection of a crowd sends."""

    head: str
    piece: str = ""
    count: int = 0
    tail: str = ""
    connections: int = CONNECTIONS
    reads: bool = True


WHOLE_REQUEST = build_head(announce(16_000), "/order/1") + "x" * 16_000
LOOK = build_head(announce(0), "/look/1").replace("POST", "GET")

CROWDS = {
    "whole bodies": Crowd(build_head(announce(BODY_BYTES)), "x" * 1_000, 4_000),
    "bodies short of their end": Crowd(
        build_head(announce(BODY_BYTES)), "x" * 1_000, 3_999, "x" * 999
    ),
    "large chunks": Crowd(build_head(CHUNKED), build_chunk(65_536), 60),
    "small chunks": Crowd(build_head(CHUNKED), build_chunk(64), 60_000),
    "tiny chunks": Crowd(build_head(CHUNKED), build_chunk(1), 300_000),
    "announced beyond the limit": Crowd(
        build_head(announce(100 * MEBIBYTE)), "x" * 65_536, 400
    ),
    "sent beyond the limit": Crowd(build_head(CHUNKED), build_chunk(65_536), 400),
    "pipelined requests": Crowd("", WHOLE_REQUEST, 200),
    "pipelined and unread": Crowd("", WHOLE_REQUEST, 200, reads=False),
    "heads of many headers": Crowd(build_head(MANY_HEADERS)),
    "heads short of their end": Crowd(build_head(MANY_HEADERS)[:-2], connections=400),
    "unread answers": Crowd("", LOOK, 200, reads=False),
    "many connections": Crowd(LOOK, connections=500),
    "many idle connections": Crowd("", connections=500),
}

PEER_CROWDS = {
    "bodies short of their end": Crowd(
        build_head(announce(1_000_000), "/snapshots"), "x" * 1_000, 999
    ),
    "pipelined requests": Crowd("", build_head(announce(0), "/snapshots"), 50_000),
    "unread answers": Crowd(
        "", build_head(announce(1), "/snapshots") + "\x80", 5_000, reads=False
    ),
    "many idle connections": Crowd("", connections=500),
}


class LargeWorker(WorkerStandIn):
    """Answers slowly, and at length to some requests."""

    async def run(self, request: Any, responder: Any, headers: Any) -> None:
        if request.path.startswith("/order/"):
            await curio.sleep(0.5)
        await super().run(request, responder, headers)

    def compute_answer_bytes(self, request: Any) -> int:
        return ANSWER_BYTES if request.path.startswith("/look/") else 0


class Process:
    """An entry or agent that the test starts with a settings file."""

    def __init__(
        self,
        path: Path,
        role: str,
        store: Address,
        limits: dict[str, int] = LOWERED_LIMITS,
    ) -> None:
        self.ip = next_host()
        sections = {
            "node": {
                "role": role,
                "name": f"{role}-1",
                "zone": ZONE,
                "regions": REGIONS,
                "ip": self.ip,
            },
            "listen": {"peer_ports": PEER_PORTS},
            "store": {"address": str(store), "timeout_s": 0.5, "watch_s": 5.0},
            "callers": limits,
        }
        if role == "entry":
            sections["listen"]["callers"] = f"{self.ip}:{CALLER_PORT}"
            sections["listen"]["readiness"] = f"{self.ip}:{READY_PORT}"
        lines: list[str] = []
        for section, values in sections.items():
            lines.append(f"[{section}]")
            lines.extend(f"{key} = {value}" for key, value in values.items())
        path.write_text("\n".join(lines) + "\n", "utf-8")
        self._process = subprocess.Popen(
            [sys.executable, "-m", "tamaracktray.platform"],
            env={**os.environ, "TAMARACKTRAY_NODE_FILE": str(path)},
            stdout=subprocess.DEVNULL,
        )

    @property
    def is_running(self) -> bool:
        return self._process.poll() is None

    def read_memory(self, name: str) -> int:
        """Return a figure of the process's own status, in bytes."""
        status = Path(f"/proc/{self._process.pid}/status").read_text("ascii")
        (line,) = (line for line in status.splitlines() if line.startswith(name))
        return int(line.split()[1]) * KIBIBYTE

    def count_descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self._process.pid}/fd"))

    def end(self) -> None:
        self._process.kill()
        self._process.wait()


async def call(process: Process) -> int:
    """Return the status of an ordinary request of a caller, 0 without an answer."""
    headers = [
        ("host", HOST),
        ("authorization", f"Token {KEY}"),
        ("x-tamaracktray-deadline-ms", "2000"),
    ]
    address = Address(process.ip, CALLER_PORT)
    reply = await fetch_with_host(address, "POST", "/order/1", headers, b"x" * 500)
    return reply.status if isinstance(reply, Reply) else 0


async def ask_peer(process: Process) -> int:
    """Return the status of an ordinary request of a peer, 0 without an answer."""
    body = msgspec.msgpack.encode({})
    address = Address(process.ip, PEER_PORT)
    reply = await fetch(address, "POST", "/snapshots", None, body, timeout_s=2.0)
    return reply.unwrap().status if reply.value_or(None) else 0


async def until_answered(
    process: Process, ask: Callable[[Process], Awaitable[int]]
) -> None:
    deadline = time.monotonic() + ORDINARY_S
    while await ask(process) != 200:
        assert process.is_running
        assert time.monotonic() < deadline, "no ordinary request was answered"
        await curio.sleep(0.1)


async def run_crowd(process: Process, port: int, crowd: Crowd) -> int:
    """Let a crowd send; return the largest number of descriptors seen."""
    plan = {
        **msgspec.to_builtins(crowd),
        "host": process.ip,
        "port": port,
        "seconds": CROWD_S,
    }
    program = Path(__file__).parent / "crowd_program.py"
    descriptors = 0
    with subprocess.Popen([sys.executable, program, json.dumps(plan)]) as clients:
        while clients.poll() is None and process.is_running:
            descriptors = max(descriptors, process.count_descriptors())
            await curio.sleep(0.02)
    return descriptors


def check_crowd(
    path: Path,
    role: str,
    port: int,
    crowd: Crowd,
    ask: Callable[[Process], Awaitable[int]],
) -> None:
    """Check that a process outlives a crowd within its bounds."""

    async def main() -> None:
        fleet = PlatformFleet()
        for stand_in in (fleet.store, fleet.origin):
            await fleet.open(stand_in)
        fleet.configure()
        worker = LargeWorker(Address(next_host(), WORKER_PORT), "w-1", "orders")
        await fleet.open(worker)
        fleet.list_worker(worker)
        process = Process(path / "node.ini", role, fleet.store.server.address)
        try:
            await until_answered(process, ask)
            before = process.read_memory("VmRSS:")
            descriptors = await run_crowd(process, port, crowd)
            await until_answered(process, ask)
            growth = process.read_memory("VmHWM:") - before
            assert process.is_running
            assert growth < MAX_GROWTH_BYTES
            assert descriptors < MAX_DESCRIPTORS
        finally:
            process.end()
            await fleet.stop()

    curio.run(main)


class TestCallers:
    @pytest.mark.parametrize("name", CROWDS)
    def test_entry_outlives_a_crowd_within_its_bounds(self, name, tmp_path):
        check_crowd(tmp_path, "entry", CALLER_PORT, CROWDS[name], call)


class TestPeers:
    @pytest.mark.parametrize("name", PEER_CROWDS)
    @pytest.mark.parametrize("role", ["entry", "agent"])
    def test_process_outlives_a_crowd_at_its_peer_port(self, role, name, tmp_path):
        check_crowd(tmp_path, role, PEER_PORT, PEER_CROWDS[name], ask_peer)


class TestOrdinaryCallers:
    # Guards against bodies in very small chunks, read side by side, that take all of an
    # entry's processor time.
    def test_requests_are_answered_beside_a_crowd_with_tiny_chunks(self, tmp_path):
        crowd = Crowd(build_head(CHUNKED), build_chunk(1), 2_000, connections=400)
        durations: list[float] = []

        async def call_timed(process: Process) -> None:
            began_at = time.monotonic()
            status = await call(process)
            durations.append(time.monotonic() - began_at if status == 200 else math.inf)

        async def scenario(fleet: PlatformFleet) -> None:
            route = build_route("order", "unsafe", ORDERS, timeoutMs=TIMEOUT_S * 1_000)
            fleet.routes = [{**route, "maxAttempts": 1}]
            await fleet.start(entries=0)
            await fleet.add_worker("w-1")
            address = fleet.store.server.address
            process = Process(tmp_path / "node.ini", "entry", address, limits={})
            try:
                await until_answered(process, call)
                clients = await curio.spawn(run_crowd, process, CALLER_PORT, crowd)
                calls = []
                while not clients.terminated:
                    calls.append(await curio.spawn(call_timed, process))
                    await curio.sleep(0.1)
                for timed in calls:
                    await timed.join()
                assert process.is_running
            finally:
                process.end()

        run_fleet(scenario)
        late = [took_s for took_s in durations if took_s > TIMEOUT_S]
        unanswered = [took_s for took_s in late if took_s > TIMEOUT_S + 0.5]
        assert len(durations) > CROWD_S * 5
        assert len(late) < 8 or len(unanswered) <= len(late) / 2, durations
