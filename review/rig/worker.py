"""Stand-ins for plain workers of a service."""

import asyncio
import time

from rig.store import Store
from rig.wire import Request, encode_answer, serve

REQUEST_ID = "x-tamaracktray-request-id"
EXPECTED = "x-tamaracktray-expect-instance"
TENANT = "x-tamaracktray-tenant"
HEARTBEAT_S = 1.2


class Worker:
    """A sound worker; ``runs`` has a row for each request that it began to run.

    A row holds the time, the request's id and the tenant that the worker was told.
    """

    def __init__(
        self, store: Store, host: str, port: int, worker_id: str, service: str
    ) -> None:
        self.store = store
        self.host = host
        self.port = port
        self.id = worker_id
        self.service = service
        self.zone = "zone-a"
        self.slots = 6
        self.work_s = 0.03
        self.born = int(time.time() * 1_000)
        self.runs: list[tuple[float, str, str]] = []
        self.answer = b"x" * 800

    async def open(self) -> None:
        """Start to serve and to report to the store."""
        await serve(self.host, self.port, self.handle)
        self.report()
        asyncio.get_running_loop().create_task(self._beat())

    def describe(self) -> dict:
        """Return the worker's entry in the store."""
        return {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "maxBatchSize": self.slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "seq": 0,
            "born": self.born,
        }

    def report(self) -> None:
        """Write the entry if it has changed; an equal one is no change."""
        known = self.store.objects.get(("servers", self.id))
        if known is None or known["spec"] != self.describe():
            self.store.write("servers", self.id, self.describe())

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.report()

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Answer one request."""
        request_id = request.headers.get(REQUEST_ID, "")
        headers = {"X-Tamaracktray-Request-Id": request_id}
        if request.headers.get(EXPECTED, self.id) != self.id:
            headers["X-Tamaracktray-Instance-Id"] = self.id
            headers["X-Tamaracktray-Not-Executed"] = "1"
            writer.write(encode_answer(421, headers, b""))
            return True
        if request.path == "/healthz":
            headers["X-Tamaracktray-Instance-Id"] = self.id
            writer.write(encode_answer(200, headers, b""))
            return True
        tenant = request.headers.get(TENANT, "")
        self.runs.append((time.monotonic(), request_id, tenant))
        await asyncio.sleep(self.work_s)
        headers["X-Tamaracktray-Server-Signature"] = f"{self.id}.{len(self.runs)}"
        writer.write(encode_answer(200, headers, self.answer))
        await writer.drain()
        return True
