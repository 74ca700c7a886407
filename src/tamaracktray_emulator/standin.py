"""Base class and helpers of the HTTP stand-ins."""

import time
from abc import ABC, abstractmethod

import curio
import msgspec

from tamaracktray.http import HttpServer
from tamaracktray.http_messages import Headers, HttpLimits, Request
from tamaracktray.responders import Responder
from tamaracktray.types import Address

JSON: Headers = [("content-type", "application/json")]
OCTETS: Headers = [("content-type", "application/octet-stream")]
LIMITS = HttpLimits(
    max_body_bytes=16 * 1_048_576, idle_timeout_s=120.0, receive_timeout_s=60.0
)


class StandIn(ABC):
    """Base class of a stand-in with an HTTP server."""

    def __init__(self, address: Address) -> None:
        self.server = HttpServer(address, self._handle, LIMITS)

    @abstractmethod
    async def answer(self, request: Request, responder: Responder) -> None:
        """Answer one request."""

    async def serve(self) -> None:
        """Serve until cancelled."""
        await self.server.serve()

    async def _handle(self, request: Request, responder: Responder) -> None:
        if request.path == "/health":
            await responder.respond(200, [])
            return
        try:
            await self.answer(request, responder)
        except msgspec.DecodeError as error:
            await send_json(responder, 400, {"message": str(error)})


class RateLimit:
    """A limit of ``rate_bytes_s`` bytes per second on a link; 0 means no limit."""

    __slots__ = ("_idle_from", "rate_bytes_s")

    def __init__(self, rate_bytes_s: float) -> None:
        self.rate_bytes_s = rate_bytes_s
        self._idle_from = 0.0

    async def throttle(self, amount: int) -> None:
        """Wait until the link has transferred ``amount`` bytes."""
        if not self.rate_bytes_s:
            return
        now = time.monotonic()
        self._idle_from = max(self._idle_from, now) + amount / self.rate_bytes_s
        await curio.sleep(self._idle_from - now)


async def send_json(responder: Responder, status: int, document: object) -> None:
    """Answer with a JSON document."""
    await responder.respond(status, JSON, msgspec.json.encode(document))
