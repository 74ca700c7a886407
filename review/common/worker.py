"""Stand-in of a worker of a plain service, after PROTOCOL.md."""

import asyncio
import contextlib
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from common.wire import Message, encode, read_message

REQUEST_ID = "x-tamaracktray-request-id"
EXPECTED = "x-tamaracktray-expect-instance"
TENANT = "x-tamaracktray-tenant"


@dataclass
class Run:
    """A request that a worker has run, and when it arrived (monotonic seconds)."""

    at: float
    worker: str
    request_id: str
    target: str
    tenant: str


class Worker:
    """Runs the requests that name it, each for ``work_s`` seconds."""

    def __init__(
        self, name: str, service: str, zone: str, record: Callable[[str], None]
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.work_s = 0.02
        self.born = int(time.time() * 1_000)
        self.address = ""
        self.runs: list[Run] = []
        self._record = record

    async def serve(self, host: str, port: int) -> asyncio.Server:
        """Start to listen."""
        self.address = f"{host}:{port}"
        return await asyncio.start_server(self._run_connection, host, port)

    def describe(self, **fields: Any) -> dict[str, Any]:
        """Return the entry that the worker writes to the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "maxBatchSize": 16,
            "state": "ready",
            "coldRemainingMs": 0,
            "seq": 0,
            "born": self.born,
            "stage": "both",
            "models": [],
            **fields,
        }

    async def _run_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while request := await read_message(reader):
                writer.write(await self.answer(request))
                await writer.drain()
                if request.headers.get("connection", "") == "close":
                    break
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            with contextlib.suppress(OSError):
                writer.close()

    async def answer(self, request: Message) -> bytes:
        """Run a request and return its answer."""
        request_id = request.headers.get(REQUEST_ID, "")
        echo = {"X-Tamaracktray-Request-Id": request_id}
        if request.headers.get(EXPECTED, self.name) != self.name:
            return encode("HTTP/1.1 421 Misdirected Request", echo)
        self.note_run(request, request_id)
        await asyncio.sleep(self.work_s)
        signed = {**echo, "X-Tamaracktray-Server-Signature": f"sig.{self.name}"}
        return encode("HTTP/1.1 200 OK", signed, b"done by " + self.name.encode())

    def note_run(self, request: Message, request_id: str) -> None:
        """Record that a request has begun to run."""
        run = Run(
            time.monotonic(),
            self.name,
            request_id,
            request.target,
            request.headers.get(TENANT, ""),
        )
        self.runs.append(run)
        self._record(
            f"{self.name} runs {request_id} {request.target} tenant={run.tenant}"
        )
