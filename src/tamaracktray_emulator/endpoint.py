"""Base class of the endpoint stand-ins: load limits, crashes and a request log."""

import time
import uuid
from abc import abstractmethod

import curio
import msgspec

from tamaracktray import headers as names
from tamaracktray.http_messages import Request
from tamaracktray.responders import Responder
from tamaracktray.types import Address
from tamaracktray_emulator.standin import StandIn, send_json

POISON = b"poison"


# Control paths of tests, which are answered even while the endpoint is down.
CONTROL_PATHS = frozenset({"/behavior", "/log"})


class EndpointBehavior(msgspec.Struct):
    """Behavior of an endpoint stand-in; tests replace it with ``PUT /behavior``.

    Times are in seconds and bounds in concurrent requests. An endpoint above its bound
    crashes: it drops all connections and stays down for ``down_s``. A cold endpoint is
    ``cold_slowdown`` times slower. ``echo_wrong_id`` answers with the id of another
    request. ``cut`` resets the connection before an answer is complete. ``truncate``
    ends streams early as if they were complete. ``stage_bytes_s`` limits the rate at
    which an engine receives chunks, in bytes per second; 0 means no limit.
    """

    service_s: float = 0.02
    tokens: int = 8
    token_s: float = 0.002
    cold_bound: int = 2
    warm_bound: int = 16
    cold_s: float = 0.3
    cold_slowdown: float = 10.0
    down_s: float = 0.5
    echo_wrong_id: bool = False
    cut: bool = False
    truncate: bool = False
    reports_cold: bool = True
    fail_load: bool = False
    crash_on_load: bool = False
    refuses_old_fence: bool = True
    stage_bytes_s: float = 0.0


class EndpointStandIn(StandIn):
    """An endpoint with a load bound and a request log.

    ``runs_by_id`` counts the requests by id, ``runs_by_key`` by idempotency key and
    ``runs_by_item`` by the item they name. A request is counted as soon as it has been
    received completely.
    """

    def __init__(self, address: Address, behavior: EndpointBehavior) -> None:
        super().__init__(address)
        self.behavior = behavior
        self.boot = uuid.uuid4().hex
        self.runs_by_id: dict[str, int] = {}
        self.runs_by_key: dict[str, int] = {}
        self.runs_by_item: dict[str, int] = {}
        self.running = 0
        self.peak = 0
        self.crashes = 0
        self._cold_runs = 0
        self._cold_deadline = time.monotonic() + behavior.cold_s
        self._down_deadline = 0.0
        self._epoch = 0

    @property
    def is_cold(self) -> bool:
        """Return whether the endpoint is cold and has its lower load bound."""
        return time.monotonic() < self._cold_deadline

    def become_cold(self) -> None:
        """Become cold without notifying callers."""
        self._cold_deadline = time.monotonic() + self.behavior.cold_s
        self._cold_runs = 0

    async def crash(self) -> None:
        """Drop all connections and state, and stay down for ``down_s``."""
        self.crashes += 1
        self._epoch += 1
        self.boot = uuid.uuid4().hex
        self._down_deadline = time.monotonic() + self.behavior.down_s
        self.running = 0
        self._cold_runs = 0
        self._cold_deadline = self._down_deadline + self.behavior.cold_s
        await self.server.close_connections()

    async def _handle(self, request: Request, responder: Responder) -> None:
        if time.monotonic() < self._down_deadline and request.path not in CONTROL_PATHS:
            await responder.abort()
            return
        await super()._handle(request, responder)

    async def answer_control(self, request: Request, responder: Responder) -> bool:
        """Answer a control call of a test; return ``False`` for any other request."""
        if request.path == "/behavior":
            self.behavior = msgspec.json.decode(request.body, type=EndpointBehavior)
            await send_json(responder, 200, self.behavior)
            return True
        if request.path == "/cold":
            self.become_cold()
            await send_json(responder, 200, {})
            return True
        if request.path == "/log":
            document = {
                "runs_by_id": self.runs_by_id,
                "runs_by_key": self.runs_by_key,
                "runs_by_item": self.runs_by_item,
                "running": self.running,
                "peak": self.peak,
                "falls": self.crashes,
                **self.list_counters(),
            }
            await send_json(responder, 200, document)
            return True
        return False

    def list_counters(self) -> dict[str, int]:
        """Return additional counters for the log."""
        return {}

    async def run(self, request: Request, responder: Responder) -> None:
        """Run a request, or crash if it exceeds the load bound."""
        self._count_run(request)
        if POISON in request.body:
            await self.crash()
            return
        epoch = self._epoch
        is_cold = self.is_cold
        self.running += 1
        self._cold_runs += is_cold
        self.peak = max(self.peak, self.running)
        if self._is_overloaded():
            await self.crash()
            return
        try:
            await self.write_answer(request, responder)
        finally:
            if epoch == self._epoch:
                self.running -= 1
                self._cold_runs = max(self._cold_runs - is_cold, 0)

    @abstractmethod
    async def write_answer(self, request: Request, responder: Responder) -> None:
        """Write the answer to a request."""

    async def spend_time(self, duration_s: float) -> None:
        """Sleep for ``duration_s``, or longer while the endpoint is cold."""
        factor = self.behavior.cold_slowdown if self.is_cold else 1.0
        await curio.sleep(duration_s * factor)

    def answer_id(self, request: Request) -> str:
        """Return the request id for the answer."""
        received_id = request.headers.get(names.REQUEST_ID, "")
        return f"other-{received_id}" if self.behavior.echo_wrong_id else received_id

    def _is_overloaded(self) -> bool:
        if self.is_cold:
            return self._cold_runs > self.behavior.cold_bound
        return self.running > self.behavior.warm_bound

    def _count_run(self, request: Request) -> None:
        request_id = request.headers.get(names.REQUEST_ID, "")
        self.runs_by_id[request_id] = self.runs_by_id.get(request_id, 0) + 1
        key = request.headers.get(names.IDEMPOTENCY_KEY)
        if key:
            self.runs_by_key[key] = self.runs_by_key.get(key, 0) + 1
        item = msgspec.json.decode(request.body).get("item")
        if item:
            self.runs_by_item[item] = self.runs_by_item.get(item, 0) + 1
