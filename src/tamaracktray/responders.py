"""Answers of the HTTP server to its clients."""

from abc import ABC, abstractmethod
from http import HTTPStatus

import curio
import h11
import msgspec
from curio.traps import _write_wait
from typing_extensions import override

from tamaracktray.connections import (
    close_in_order,
    count_unacknowledged,
    peek,
    reset_on_close,
    send_nonblocking,
)
from tamaracktray.http_messages import Headers, RawHeaders, encode_headers
from tamaracktray.memory_budget import MemoryShare
from tamaracktray.tracebacks import drop_traceback
from tamaracktray.types import ErrorCode, Refusal, RunState

# Older clients see the end of a body without length by the end of the connection.
CHUNKED_SINCE = b"1.1"

# Largest answer that is copied to be sent at once, in bytes.
MAX_JOINED_BYTES = 65_536

# Answer to a request whose handler failed: it may have been passed on.
HANDLER_FAILED = Refusal(
    ErrorCode.OUTCOME_UNKNOWN, "the request failed here", RunState.UNKNOWN, 500
)


class Responder(ABC):
    """Sends one answer; implemented by the server's connections and by tests.

    Set ``is_body_shared`` for a body that is in memory anyway, such as a cached one.
    """

    is_body_shared = False

    def may_buffer(self, length: int) -> bool:
        """Return whether ``length`` bytes of the answer may be held in memory."""
        return True

    @abstractmethod
    async def acknowledge(self) -> None:
        """Send an interim answer: the request is complete and being handled."""

    @abstractmethod
    async def send_head(self, status: int, headers: Headers | RawHeaders) -> None:
        """Send the status line and headers of a chunked answer."""

    @abstractmethod
    async def send_data(self, data: bytes) -> None:
        """Send a piece of the body; raise ``OSError`` if the client disconnected."""

    @abstractmethod
    async def finish(self) -> None:
        """Mark the body as complete."""

    @abstractmethod
    async def abort(self) -> None:
        """Close the connection, so that the client sees an incomplete answer."""

    @abstractmethod
    async def respond(
        self, status: int, headers: Headers | RawHeaders, body: bytes = b""
    ) -> None:
        """Send a complete answer with its length."""


class ConnectionResponder(Responder):
    """Answers one request on a server connection.

    A client that reads nothing for two spans of ``timeout_s`` seconds loses the
    connection, however long the whole answer takes. What it doesn't read at once is
    charged to ``share``; without room there, it loses the connection too. Unset
    ``sends_body`` for a request whose answer has none.
    """

    __slots__ = (
        "_buffered_bytes",
        "_connection",
        "_resets_on_close",
        "_share",
        "_socket",
        "_timeout_s",
        "_unsent",
        "is_aborted",
        "sends_body",
        "watcher",
    )

    def __init__(
        self,
        connection: h11.Connection,
        socket: curio.io.Socket,
        timeout_s: float,
        share: MemoryShare,
    ) -> None:
        self._connection = connection
        self._socket = socket
        self._timeout_s = timeout_s
        self._share = share
        self._buffered_bytes = 0
        self._unsent = memoryview(b"")
        self._resets_on_close = False
        self.is_aborted = False
        self.sends_body = True
        self.watcher: curio.Task | None = None

    @override
    def may_buffer(self, length: int) -> bool:
        held_bytes = self._share.held_bytes + length - self._buffered_bytes
        if not self._share.resize(held_bytes):
            return False
        self._buffered_bytes = length
        return True

    @property
    def is_disconnected(self) -> bool:
        """Whether the client has closed the connection, unless this side has."""
        return not self.is_aborted and peek(self._socket) == b""

    async def _send(self, *events: h11.Event) -> None:
        parts: list[bytes] = []
        for event in events:
            parts += self._connection.send_with_data_passthrough(event) or ()
        length = sum(map(len, parts))
        if length <= MAX_JOINED_BYTES:
            parts = [b"".join(parts)]
        charged_bytes = 0
        try:
            for part in parts:
                self._unsent = memoryview(part)[send_nonblocking(self._socket, part) :]
                if self._unsent:
                    if not charged_bytes:
                        charged_bytes = self._charge_unsent(length)
                    await self._send_unsent()
        finally:
            # Even an empty view would keep the answer in memory while the connection
            # waits for its next request.
            self._unsent = memoryview(b"")
            self._share.force(self._share.held_bytes - charged_bytes)

    def _charge_unsent(self, length: int) -> int:
        """Charge an answer that the client doesn't read at once; return the charge."""
        charge = 0 if self.is_body_shared else max(length - self._buffered_bytes, 0)
        held_bytes = self._share.held_bytes + charge
        if self._buffered_bytes and charge <= MAX_JOINED_BYTES:
            # The body of a buffered answer is charged already; only its head is new.
            self._share.force(held_bytes)
        elif not self._share.resize(held_bytes):
            raise ConnectionError("too many bytes of answers are held")
        return charge

    async def _send_unsent(self) -> None:
        while self._unsent:
            remaining_bytes = self._count_remaining()
            try:
                await curio.timeout_after(self._timeout_s, self._send_rest())
            except curio.TaskTimeout as error:
                drop_traceback(error)
                if self._count_remaining() >= remaining_bytes:
                    message = "client does not read the answer"
                    raise ConnectionError(message) from error

    async def _send_rest(self) -> None:
        while self._unsent:
            await _write_wait(self._socket._fileno)
            sent = send_nonblocking(self._socket, self._unsent)
            self._unsent = self._unsent[sent:]

    def _count_remaining(self) -> int:
        """Return the bytes that the client's side has not accepted yet."""
        return len(self._unsent) + count_unacknowledged(self._socket)

    @override
    async def acknowledge(self) -> None:
        await self._send(
            h11.InformationalResponse(status_code=HTTPStatus.PROCESSING, headers=[])
        )

    @override
    async def send_head(self, status: int, headers: Headers | RawHeaders) -> None:
        if self._connection.their_http_version < CHUNKED_SINCE:
            self._resets_on_close = True
            reset_on_close(self._socket)
        framing = ("transfer-encoding", "chunked")
        framed_headers = encode_headers([*headers, framing])
        await self._send(h11.Response(status_code=status, headers=framed_headers))

    @override
    async def send_data(self, data: bytes) -> None:
        if self.sends_body:
            await self._send(h11.Data(data=data))

    @override
    async def finish(self) -> None:
        await self._send(h11.EndOfMessage())
        if self._resets_on_close:
            close_in_order(self._socket)

    @override
    async def abort(self) -> None:
        self.is_aborted = True
        self._connection.send_failed()
        if self.watcher is not None:
            # No task may be waiting on the socket when it is closed.
            await self.watcher.cancel()
        await self._socket.close()

    async def fail(self) -> None:
        """Answer that the outcome is unknown, or abort an answer that has begun."""
        if self._connection.our_state is not h11.SEND_RESPONSE:
            await self.abort()
            return
        headers = [("content-type", "application/json"), ("connection", "close")]
        body = msgspec.json.encode({"error": HANDLER_FAILED})
        try:
            await self.respond(HANDLER_FAILED.status, headers, body)
        except OSError:
            await self.abort()

    @override
    async def respond(
        self, status: int, headers: Headers | RawHeaders, body: bytes = b""
    ) -> None:
        framing = ("content-length", str(len(body)))
        framed_headers = encode_headers([*headers, framing])
        head = h11.Response(status_code=status, headers=framed_headers)
        data = body if self.sends_body else b""
        await self._send(head, h11.Data(data=data), h11.EndOfMessage())
