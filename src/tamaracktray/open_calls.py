"""Calls in progress with the connections to their callers."""

from collections.abc import Awaitable

import curio
import msgspec

from tamaracktray.calls import Call, CallAttemptEnded, SendCall
from tamaracktray.effects import Effect
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


class AttemptError(msgspec.Struct, frozen=True):
    """An exception that ended the task of an attempt."""

    error: Exception


class Attempt:
    """One attempt of a call and the task that carries it out.

    ``exchange`` is set once it is open; ``is_abandoned`` may be set before that.
    ``buffer`` keeps the position in a stream. ``is_ended`` is set once its task has
    queued its end. ``is_leading`` is set while the caller's answer comes from this
    attempt, ``is_parked`` while the call has left it but may go back, and
    ``is_superseded`` once another attempt has taken its place.
    """

    __slots__ = (
        "buffer",
        "decision",
        "exchange",
        "is_abandoned",
        "is_ended",
        "is_leading",
        "is_parked",
        "is_superseded",
        "task",
    )

    def __init__(self, decision: SendCall, buffer: EventBuffer) -> None:
        self.decision = decision
        self.buffer = buffer
        self.exchange: Exchange | None = None
        self.is_abandoned = False
        self.is_ended = False
        self.is_leading = False
        self.is_parked = False
        self.is_superseded = False
        self.task: curio.Task | None = None

    async def abandon(self) -> None:
        """Abandon the attempt, even while its request is being sent."""
        self.is_abandoned = True
        if self.exchange is not None:
            await self.exchange.abandon()

    async def cancel(self, *, blocking: bool = True) -> None:
        """Cancel the task, which closes the connection to the endpoint."""
        if self.task is not None:
            await self.task.cancel(blocking=blocking)


class OpenCall:
    """A call in progress and the connection to its caller.

    ``attempts`` are one that is current and those that are parked, each until its end
    is taken. ``buffer`` is that of the attempt which led last. ``failure`` is the last
    complete error answer of an endpoint. ``status`` and ``media_type`` are those of the
    head that was sent to the caller. ``is_sending`` is set while a part of the answer
    is being sent, and ``answered`` is the end of the attempt that answered the call.
    """

    __slots__ = (
        "_epoch",
        "_items",
        "answered",
        "attempts",
        "buffer",
        "call",
        "failure",
        "is_head_sent",
        "is_sending",
        "media_type",
        "request",
        "responder",
        "status",
    )

    def __init__(self, call: Call, request: Request, responder: Responder) -> None:
        self.call = call
        self.request = request
        self.responder = responder
        self._items: curio.Queue = curio.Queue()
        self._epoch = 0
        self.attempts: list[Attempt] = []
        self.buffer = EventBuffer()
        self.failure: BufferedAnswer | None = None
        self.answered: CallAttemptEnded | None = None
        self.is_head_sent = False
        self.is_sending = False
        self.status = 0
        self.media_type = ""

    @property
    def last_event_id(self) -> str | None:
        """The last event sent to the caller, ``None`` before the head was sent."""
        return self.buffer.last_event_id if self.is_head_sent else None

    async def put(
        self,
        item: Effect | CallAttemptEnded | AttemptError,
        attempt: Attempt | None = None,
    ) -> None:
        """Queue a decision on the call, or the end of one of its attempts."""
        await self._items.put((self._epoch, item, attempt))

    async def take(self) -> Effect | CallAttemptEnded | AttemptError:
        """Return the next queued item that is still valid."""
        while True:
            epoch, item, attempt = await self._items.get()
            if attempt is not None:
                if attempt.is_superseded:
                    continue
                self.attempts.remove(attempt)
            if epoch == self._epoch or isinstance(item, AttemptError):
                return item

    def begin_attempt(self, decision: SendCall) -> Attempt:
        """Add an attempt, which becomes the current one."""
        attempt = Attempt(decision, self.buffer.fork(decision.last_event_id))
        self.attempts.append(attempt)
        return attempt

    def find_current(self) -> Attempt | None:
        """Return the attempt that the call has not left."""
        for attempt in self.attempts:
            if not attempt.is_parked and not attempt.is_ended:
                return attempt
        return None

    def find_attempt(self, endpoint_id: str) -> Attempt | None:
        """Return the attempt at an endpoint."""
        for attempt in self.attempts:
            if attempt.is_superseded:
                continue
            if attempt.decision.endpoint_id == endpoint_id:
                return attempt
        return None

    async def let_lead(self, attempt: Attempt) -> None:
        """Let the caller's answer come from an attempt and end the others.

        What is queued was decided for them if the call had left this attempt.
        """
        others = [other for other in self.attempts if other is not attempt]
        for other in others:
            other.is_superseded = True
            other.is_leading = False
        self.attempts = [attempt]
        self.buffer = attempt.buffer
        attempt.is_leading = True
        if attempt.is_parked:
            attempt.is_parked = False
            self._epoch += 1
        for other in others:
            await other.cancel(blocking=False)

    async def abandon(self) -> None:
        """Abandon the current attempt."""
        attempt = self.find_current()
        if attempt is not None:
            await attempt.abandon()

    async def end_attempts(self) -> None:
        """End all attempts."""
        for attempt in list(self.attempts):
            await attempt.cancel()

    async def deliver(self, step: Awaitable[None]) -> None:
        """Send a part of the answer to the caller."""
        self.is_sending = True
        try:
            await step
        finally:
            self.is_sending = False

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
