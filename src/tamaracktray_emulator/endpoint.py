"""What the stand-ins for endpoints share: load, crashes and a log of what ran."""

import time
import uuid
from abc import abstractmethod

import curio
import msgspec

from tamaracktray import headers as names
from tamaracktray.http import Request, Responder
from tamaracktray.types import Address
from tamaracktray_emulator.standin import StandIn, send_json

POISON = b"poison"


# What tests ask of the stand-in itself, also while the endpoint is down.
CONTROL_PATHS = frozenset({"/behavior", "/log"})


class EndpointBehavior(msgspec.Struct):
    """How an endpoint stand-in behaves; tests replace it with ``PUT /behavior``.

    Times are in seconds, bounds in requests at a time. Above its bound an endpoint
    falls over: it drops all connections and stays down for ``down_s``. A cold endpoint
    answers ``cold_slowdown`` times slower. ``echo_wrong_id`` answers with another
    request's identity, ``cut_share`` is the share of answers that break off.
    ``truncate`` ends answers early as if they were whole. ``stage_bytes_s`` limits the
    link over which an engine takes chunks; 0 is no limit.
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
    """An endpoint with a load bound and a log.

    ``runs_by_id`` counts the requests by identity, ``runs_by_key`` by idempotency key
    and ``runs_by_item`` by the item they name, as soon as they are received whole.
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
        self.falls = 0
        self._started_cold = 0
        self._cold_deadline = time.monotonic() + behavior.cold_s
        self._down_deadline = 0.0
        self._epoch = 0

    @property
    def is_cold(self) -> bool:
        """Tell whether the endpoint bears only little load now."""
        return time.monotonic() < self._cold_deadline

    def turn_cold(self) -> None:
        """Become cold without any sign."""
        self._cold_deadline = time.monotonic() + self.behavior.cold_s
        self._started_cold = 0

    async def crash(self) -> None:
        """Drop all connections, forget everything and stay down for a while."""
        self.falls += 1
        self._epoch += 1
        self.boot = uuid.uuid4().hex
        self._down_deadline = time.monotonic() + self.behavior.down_s
        self.running = 0
        self._started_cold = 0
        self._cold_deadline = self._down_deadline + self.behavior.cold_s
        await self.server.close_connections()

    async def _handle(self, request: Request, responder: Responder) -> None:
        if time.monotonic() < self._down_deadline and request.path not in CONTROL_PATHS:
            await responder.abort()
            return
        await super()._handle(request, responder)

    async def answer_test(self, request: Request, responder: Responder) -> bool:
        """Answer a call of a test; return whether it was one."""
        if request.path == "/behavior":
            self.behavior = msgspec.json.decode(request.body, type=EndpointBehavior)
            await send_json(responder, 200, self.behavior)
            return True
        if request.path == "/cold":
            self.turn_cold()
            await send_json(responder, 200, {})
            return True
        if request.path == "/log":
            document = {
                "runs_by_id": self.runs_by_id,
                "runs_by_key": self.runs_by_key,
                "runs_by_item": self.runs_by_item,
                "running": self.running,
                "peak": self.peak,
                "falls": self.falls,
                **self.list_figures(),
            }
            await send_json(responder, 200, document)
            return True
        return False

    def list_figures(self) -> dict[str, int]:
        """Return further figures for the log."""
        return {}

    async def run(self, request: Request, responder: Responder) -> None:
        """Run a request under the load bound."""
        self._log(request)
        if POISON in request.body:
            await self.crash()
            return
        epoch = self._epoch
        is_cold = self.is_cold
        self.running += 1
        self._started_cold += is_cold
        self.peak = max(self.peak, self.running)
        if self._is_overloaded():
            await self.crash()
            return
        try:
            await self.produce(request, responder)
        finally:
            if epoch == self._epoch:
                self.running -= 1
                self._started_cold = max(self._started_cold - is_cold, 0)

    @abstractmethod
    async def produce(self, request: Request, responder: Responder) -> None:
        """Write the answer."""

    async def work(self, duration_s: float) -> None:
        """Spend the time that a piece of work takes now."""
        factor = self.behavior.cold_slowdown if self.is_cold else 1.0
        await curio.sleep(duration_s * factor)

    def answer_id(self, request: Request) -> str:
        """Return the request identity to answer with."""
        own = request.headers.get(names.REQUEST_ID, "")
        return f"other-{own}" if self.behavior.echo_wrong_id else own

    def _is_overloaded(self) -> bool:
        if self.is_cold:
            return self._started_cold > self.behavior.cold_bound
        return self.running > self.behavior.warm_bound

    def _log(self, request: Request) -> None:
        request_id = request.headers.get(names.REQUEST_ID, "")
        self.runs_by_id[request_id] = self.runs_by_id.get(request_id, 0) + 1
        key = request.headers.get(names.IDEMPOTENCY_KEY)
        if key:
            self.runs_by_key[key] = self.runs_by_key.get(key, 0) + 1
        item = msgspec.json.decode(request.body).get("item")
        if item:
            self.runs_by_item[item] = self.runs_by_item.get(item, 0) + 1
