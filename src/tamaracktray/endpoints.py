"""Clients for an agent's endpoint: a model engine or a plain service.

Both answer callers' requests over HTTP. A model engine also accepts weights and load
orders on administration paths, which its plug-in provides next to the completion API.
"""

import time
from abc import ABC, abstractmethod

import msgspec
from returns.result import Failure, Result, Success
from typing_extensions import override

from tamaracktray.decoding import decode_json
from tamaracktray.exceptions import OrderExpiredError, TransportError, WeightError
from tamaracktray.exchange import Exchange, fetch, open_exchange
from tamaracktray.http_messages import Headers, Reply
from tamaracktray.types import Address
from tamaracktray.weights import MAX_CHUNK_BYTES


class EngineStatus(msgspec.Struct, frozen=True):
    """The status that a model engine reports.

    ``boot`` changes with every start. ``manifest`` is the manifest digest of the
    version being served, empty for none. ``cold`` is ``None`` if it is unknown.
    """

    boot: str
    manifest: str
    ready: bool
    cold: bool | None = None
    staged: list[str] = []


class LoadOrder(msgspec.Struct, frozen=True):
    """An order to load staged chunks as a version, with a fencing token."""

    manifest: str
    chunks: list[str]
    fence: int


class PlainService(ABC):
    """An endpoint that answers requests."""

    @abstractmethod
    async def send(
        self, target: str, headers: Headers, body: bytes
    ) -> Result[Exchange, TransportError]:
        """Send one request on a new connection."""

    @abstractmethod
    async def is_alive(self) -> bool:
        """Return whether the endpoint answers its health check."""


class ModelEngine(PlainService):
    """An endpoint that also holds weights and loads versions."""

    @abstractmethod
    async def read_status(self) -> Result[EngineStatus, TransportError]:
        """Read the engine's status."""

    @abstractmethod
    async def stage_chunk(self, digest: str, data: bytes) -> Result[None, WeightError]:
        """Store a verified chunk in the engine's memory."""

    @abstractmethod
    async def read_chunk(self, digest: str) -> Result[bytes, WeightError]:
        """Read a staged chunk back."""

    @abstractmethod
    async def load(
        self, order: LoadOrder, timeout_s: float, deadline: float
    ) -> Result[None, WeightError]:
        """Order a load and wait until it succeeds or fails.

        Fails with ``OrderExpiredError`` if it could not be sent before ``deadline``.
        """


class HttpPlainService(PlainService):
    """Sends requests to an endpoint over HTTP."""

    __slots__ = ("_address",)

    def __init__(self, address: Address) -> None:
        self._address = address

    @override
    async def send(
        self, target: str, headers: Headers, body: bytes
    ) -> Result[Exchange, TransportError]:
        return await open_exchange(self._address, "POST", target, headers, body)

    @override
    async def is_alive(self) -> bool:
        reply = await fetch(self._address, "GET", "/health", timeout_s=1.0)
        return isinstance(reply, Success)


class HttpModelEngine(HttpPlainService, ModelEngine):
    """Sends requests and administration calls to a model engine over HTTP."""

    __slots__ = ()

    @override
    async def read_status(self) -> Result[EngineStatus, TransportError]:
        reply = await fetch(self._address, "GET", "/admin/status", timeout_s=1.0)
        if isinstance(reply, Failure):
            return reply
        return decode_json(reply.unwrap().body, EngineStatus).alt(
            lambda error: TransportError(f"status: {error.message}", sent=True)
        )

    @override
    async def stage_chunk(self, digest: str, data: bytes) -> Result[None, WeightError]:
        reply = await fetch(
            self._address, "PUT", f"/admin/chunks/{digest}", None, data, timeout_s=10.0
        )
        return _check_reply(reply).map(lambda _: None)

    @override
    async def read_chunk(self, digest: str) -> Result[bytes, WeightError]:
        reply = await fetch(
            self._address,
            "GET",
            f"/admin/chunks/{digest}",
            timeout_s=10.0,
            max_bytes=MAX_CHUNK_BYTES,
        )
        return _check_reply(reply).map(lambda answer: answer.body)

    @override
    async def load(
        self, order: LoadOrder, timeout_s: float, deadline: float
    ) -> Result[None, WeightError]:
        reply = await fetch(
            self._address,
            "POST",
            "/admin/load",
            [("content-type", "application/json")],
            msgspec.json.encode(order),
            timeout_s=timeout_s,
            may_send=lambda connect_s: time.monotonic() < deadline,
        )
        if isinstance(reply, Failure) and reply.failure().is_withdrawn:
            return Failure(OrderExpiredError("the order to load expired"))
        return _check_reply(reply).map(lambda _: None)


def _check_reply(reply: Result[Reply, TransportError]) -> Result[Reply, WeightError]:
    if isinstance(reply, Failure):
        return Failure(WeightError(reply.failure().message))
    answer = reply.unwrap()
    if answer.status >= 300:
        text = answer.body.decode("utf-8", "replace")[:200]
        return Failure(WeightError(f"the engine answered {answer.status}: {text}"))
    return Success(answer)
