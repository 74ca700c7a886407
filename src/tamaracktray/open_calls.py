"""Calls in progress with the connections to their callers."""

import curio
import msgspec

from tamaracktray.calls import Call
from tamaracktray.event_stream import EventBuffer
from tamaracktray.exchange import Exchange
from tamaracktray.http import RawHeaders, Request, Responder


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
    answer of an endpoint.
    """

    __slots__ = (
        "buffer",
        "call",
        "decisions",
        "exchange",
        "failure",
        "is_abandoned",
        "is_head_sent",
        "request",
        "responder",
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

    @property
    def last_event_id(self) -> str | None:
        """The last event sent to the caller, ``None`` before the head was sent."""
        return self.buffer.last_event_id if self.is_head_sent else None

    async def abandon(self) -> None:
        """Abandon the current attempt, even while its request is being sent."""
        self.is_abandoned = True
        if self.exchange is not None:
            await self.exchange.abandon()
