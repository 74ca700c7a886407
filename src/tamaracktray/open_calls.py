"""Calls in progress with the connections to their callers."""

import curio
import msgspec

from tamaracktray.calls import Call
from tamaracktray.event_stream import EventBuffer
from tamaracktray.exchange import Exchange
from tamaracktray.headers import read_media_type
from tamaracktray.http_messages import RawHeaders, Request
from tamaracktray.responders import Responder


class BufferedAnswer(msgspec.Struct, frozen=True):
    """A complete answer of an endpoint that has not been relayed yet."""

    status: int
    headers: RawHeaders
    body: bytes


class OpenCall:
    """A call in progress and the connection to its caller.

    ``decisions`` queues the reducer's effects on the call. ``exchange`` is the current
    attempt once it is open; ``is_abandoned`` may be set before that. ``buffer`` keeps
    the position in a stream across attempts. ``failure`` is the last complete error
    answer of an endpoint. ``status`` and ``media_type`` are those of the head that was
    sent to the caller.
    """

    __slots__ = (
        "buffer",
        "call",
        "decisions",
        "exchange",
        "failure",
        "is_abandoned",
        "is_head_sent",
        "media_type",
        "request",
        "responder",
        "status",
    )

    def __init__(self, call: Call, request: Request, responder: Responder) -> None:
        self.call = call
        self.request = request
        self.responder = responder
        self.decisions: curio.Queue = curio.Queue()
        self.buffer = EventBuffer()
        self.failure: BufferedAnswer | None = None
        self.exchange: Exchange | None = None
        self.is_abandoned = False
        self.is_head_sent = False
        self.status = 0
        self.media_type = ""

    @property
    def last_event_id(self) -> str | None:
        """The last event sent to the caller, ``None`` before the head was sent."""
        return self.buffer.last_event_id if self.is_head_sent else None

    def begin(self, exchange: Exchange) -> None:
        """Record the head that is sent to the caller."""
        self.is_head_sent = True
        self.status = exchange.status
        self.media_type = read_media_type(exchange.headers)

    def is_continued_by(self, exchange: Exchange) -> bool:
        """Return whether the body of an answer may follow what the caller has."""
        if not self.is_head_sent:
            return True
        is_same_type = read_media_type(exchange.headers) == self.media_type
        return exchange.status == self.status and is_same_type

    async def abandon(self) -> None:
        """Abandon the current attempt, even while its request is being sent."""
        self.is_abandoned = True
        if self.exchange is not None:
            await self.exchange.abandon()
