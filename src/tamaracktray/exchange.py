"""HTTP/1.1 client that sends each request on a new connection.

The head of an answer is read first, then its body piece by piece. A complete body is
always distinguished from a truncated one.
"""

import contextlib
import socket as socket_module
import time
from collections.abc import Callable

import curio
import h11
from returns.result import Failure, Result, Success

from tamaracktray.answer_ends import AnswerEnd
from tamaracktray.connections import connect, peek, reset_on_close
from tamaracktray.exceptions import AnswerTooLargeError, TransportError
from tamaracktray.http_messages import (
    READ_BYTES,
    Headers,
    RawHeaders,
    Reply,
    decode_headers,
)
from tamaracktray.request_sending import RequestSender, build_head
from tamaracktray.types import Address

# Default size limit of an answer's body in bytes.
MAX_ANSWER_BYTES = 16 * 1_048_576

# Limit of the bytes received for an answer: a factor on the body limit, plus a constant
# for its framing and the heads of interim answers.
FRAMING_RATIO = 2
FRAMING_BYTES = 131_072

# Minimum charge of a chunk against this limit, in bytes: parsing many small chunks
# takes CPU time.
MIN_CHUNK_CHARGE_BYTES = 1_024

# Maximum number of interim answers before the final one.
MAX_INTERIM_ANSWERS = 16

# HTTP defines no status above this one, but h11 accepts any of three digits.
MAX_STATUS = 599

# Bytes read and chunks parsed after which the task yields to others.
YIELD_AFTER_BYTES = 16_384
YIELD_AFTER_CHUNKS = 128


class Exchange:
    """A request that is being sent and whose answer is being read.

    Each exchange has its own connection, so a late answer to an earlier request cannot
    be taken for this one. Reading fails if far more than ``max_bytes`` arrive, framing
    included. ``is_abandoned`` is set if this side ended the exchange. ``end`` is how
    the body ended, ``None`` before that.
    """

    __slots__ = (
        "_byte_budget",
        "_connection",
        "_early_head",
        "_interim_answers",
        "_is_closed",
        "_sender",
        "_socket",
        "end",
        "is_abandoned",
        "headers",
        "raw_headers",
        "status",
    )

    def __init__(
        self,
        connection: h11.Connection,
        socket: curio.io.Socket,
        max_bytes: int = MAX_ANSWER_BYTES,
        sender: RequestSender | None = None,
    ) -> None:
        self._byte_budget = max_bytes * FRAMING_RATIO + FRAMING_BYTES
        self._interim_answers = 0
        self._connection = connection
        self._socket = socket
        self._sender = sender
        self._is_closed = False
        self.is_abandoned = False
        self.end: AnswerEnd | None = None
        self._early_head: h11.Event | None = None
        self.status = 0
        self.headers: dict[str, str] = {}
        self.raw_headers: RawHeaders = []

    @property
    def is_framed(self) -> bool:
        """Return whether framing distinguishes a complete body from a truncated one."""
        return "content-length" in self.headers or "transfer-encoding" in self.headers

    async def read_acknowledgement(
        self, timeout_s: float
    ) -> Result[None, TransportError]:
        """Wait for an interim answer, which shows that the request is being handled.

        The head of the final answer also counts and is kept for ``read_head``.
        """
        try:
            event = await curio.timeout_after(timeout_s, self._next_event())
        except curio.TaskTimeout:
            return Failure(TransportError("no acknowledgement in time", sent=True))
        except (OSError, h11.RemoteProtocolError) as error:
            return Failure(TransportError(f"no answer: {error}", sent=True))
        if not isinstance(event, h11.InformationalResponse):
            self._early_head = event
        return Success(None)

    async def read_head(self, timeout_s: float) -> Result[None, TransportError]:
        """Read the status and headers of the answer.

        Bytes without a status of HTTP are no answer, whatever else they say.
        """
        try:
            event = await curio.timeout_after(timeout_s, self._read_response())
        except curio.TaskTimeout:
            return Failure(TransportError("no answer in time", sent=True))
        except (OSError, h11.RemoteProtocolError) as error:
            return Failure(TransportError(f"no answer: {error}", sent=True))
        if not isinstance(event, h11.Response):
            return Failure(TransportError("closed without an answer", sent=True))
        if event.status_code > MAX_STATUS:
            self.is_abandoned = True
            message = f"the answer's status, {event.status_code}, is none of HTTP's"
            return Failure(TransportError(message, sent=True))
        self.status = event.status_code
        self.headers = decode_headers(event.headers)
        self.raw_headers = event.headers.raw_items()
        return Success(None)

    async def _read_response(self) -> h11.Event:
        if self._early_head is not None:
            return self._early_head
        while True:
            event = await self._next_event()
            if not isinstance(event, h11.InformationalResponse):
                return event
            self._interim_answers += 1
            if self._interim_answers > MAX_INTERIM_ANSWERS:
                self.is_abandoned = True
                raise AnswerTooLargeError("too many interim answers")

    async def _next_event(self) -> h11.Event:
        while True:
            event = self._connection.next_event()
            if event is not h11.NEED_DATA:
                return event
            await self._receive()

    async def _receive(self) -> None:
        """Receive data; raise ``AnswerTooLargeError`` above the limit."""
        data = await self._socket.recv(READ_BYTES)
        if not data and self.is_abandoned:
            # This side shut down reading, which says nothing about the answer.
            raise ConnectionAbortedError("the exchange was abandoned")
        if not data and self._sender is not None and self._sender.error is not None:
            raise ConnectionResetError(str(self._sender.error))
        self._is_closed = not data
        self._charge_bytes(len(data))
        self._connection.receive_data(data)
        if len(data) >= YIELD_AFTER_BYTES:
            # curio does not switch tasks while the socket has data.
            await curio.sleep(0)

    def _charge_bytes(self, amount: int) -> None:
        self._byte_budget -= amount
        if self._byte_budget < 0:
            self.is_abandoned = True
            raise AnswerTooLargeError("the answer has too many bytes")

    async def read_data(
        self, timeout_s: float
    ) -> Result[bytes | AnswerEnd, TransportError]:
        """Return the next piece of the body, or how the body ended.

        Chunks that arrived together are returned as one piece, so the cost of a relay
        depends on the number of reads and not on the sender's chunk size.
        """
        pieces: list[bytes] = []
        try:
            while self.end is None:
                event = self._connection.next_event()
                if event is h11.NEED_DATA:
                    if pieces:
                        return Success(b"".join(pieces))
                    await curio.timeout_after(timeout_s, self._receive())
                    continue
                if isinstance(event, h11.Data):
                    self._charge_bytes(max(MIN_CHUNK_CHARGE_BYTES - len(event.data), 0))
                    pieces.append(bytes(event.data))
                    if len(pieces) % YIELD_AFTER_CHUNKS == 0:
                        await curio.sleep(0)
                    continue
                is_complete = isinstance(event, h11.EndOfMessage)
                self.end = self._find_end() if is_complete else AnswerEnd.CUT
        except curio.TaskTimeout:
            return Failure(TransportError("answer stalled", sent=True, is_timeout=True))
        except (OSError, h11.RemoteProtocolError) as error:
            self.end = AnswerEnd.ABANDONED if self.is_abandoned else AnswerEnd.CUT
            if not pieces:
                return Failure(TransportError(f"answer was cut: {error}", sent=True))
        if not pieces and self.end in (AnswerEnd.CUT, AnswerEnd.ABANDONED):
            return Failure(TransportError("answer was cut", sent=True))
        return Success(b"".join(pieces) or self.end)

    def _find_end(self) -> AnswerEnd:
        """Return how the body ended that the protocol takes for complete."""
        if "transfer-encoding" in self.headers:
            return AnswerEnd.LAST_CHUNK
        if not self._is_closed or "content-length" in self.headers:
            return AnswerEnd.LENGTH
        return AnswerEnd.CLOSE

    async def read_body(
        self, timeout_s: float, max_bytes: int
    ) -> Result[bytes, TransportError]:
        """Return the complete body; fail if it exceeds ``max_bytes``."""
        body = bytearray()
        while True:
            piece = await self.read_data(timeout_s)
            if isinstance(piece, Failure):
                return piece
            data = piece.unwrap()
            if isinstance(data, AnswerEnd):
                return Success(bytes(body))
            body += data
            if len(body) > max_bytes:
                message = f"answer exceeds {max_bytes} bytes"
                return Failure(TransportError(message, sent=True))

    @property
    def has_unread_data(self) -> bool:
        """Whether data of the answer has arrived and waits to be read."""
        return bool(peek(self._socket))

    async def abandon(self) -> None:
        """Shut down reading; the task that reads sees the end and closes the socket."""
        self.is_abandoned = True
        with contextlib.suppress(OSError):
            await self._socket.shutdown(socket_module.SHUT_RD)

    async def close(self) -> None:
        """Close the connection; reset it if the request or answer is incomplete."""
        is_sent = True
        if self._sender is not None:
            await self._sender.stop()
            is_sent = self._sender.is_complete
        if not is_sent or self.end in (None, AnswerEnd.CUT, AnswerEnd.ABANDONED):
            reset_on_close(self._socket)
        await self._socket.close()


def _always_send(connect_s: float) -> bool:
    return True


async def open_exchange(
    address: Address,
    method: str,
    target: str,
    headers: Headers | RawHeaders,
    body: bytes = b"",
    *,
    connect_timeout_s: float = 2.0,
    has_host_header: bool = False,
    may_send: Callable[[float], bool] = _always_send,
    max_bytes: int = MAX_ANSWER_BYTES,
) -> Result[Exchange, TransportError]:
    """Connect, start to send one request and return the exchange.

    What the socket doesn't accept at once is sent while the answer is read, within the
    timeouts for reading. Set ``has_host_header`` if ``headers`` include the host.
    ``may_send`` is called with the connection time in seconds once connected, as the
    decision to send may be out of date by then. Reading an answer fails if its body far
    exceeds ``max_bytes``. The failure states whether any byte of the request may have
    been sent; none has if HTTP can't carry the target or a header.
    """
    connection = h11.Connection(h11.CLIENT)
    framing = [("content-length", str(len(body))), ("connection", "close")]
    if not has_host_header:
        framing.append(("host", str(address)))
    head = build_head(method, target, [*headers, *framing])
    if isinstance(head, Failure):
        return head
    payload = connection.send(head.unwrap()) + connection.send(h11.Data(data=body))
    payload += connection.send(h11.EndOfMessage())
    started_at = time.monotonic()
    try:
        socket = await curio.timeout_after(connect_timeout_s, connect(address))
    except (OSError, curio.TaskTimeout) as error:
        reason = str(error) or "timed out"
        message = f"cannot connect to {address}: {reason}"
        return Failure(TransportError(message, sent=False))
    if not may_send(time.monotonic() - started_at):
        await socket.close()
        message = "withdrawn while connecting"
        return Failure(TransportError(message, sent=False, is_withdrawn=True))
    sender = RequestSender(socket)
    exchange = Exchange(connection, socket, max_bytes, sender)
    try:
        await sender.start(payload)
    except OSError as error:
        await exchange.close()
        return Failure(TransportError(f"request was cut: {error}", sent=True))
    except curio.CancelledError:
        await exchange.close()
        raise
    return Success(exchange)


async def fetch(
    address: Address,
    method: str,
    target: str,
    headers: Headers | None = None,
    body: bytes = b"",
    *,
    timeout_s: float = 5.0,
    connect_timeout_s: float | None = None,
    head_timeout_s: float | None = None,
    max_bytes: int = 4 * 1_048_576,
    has_host_header: bool = False,
    may_send: Callable[[float], bool] = _always_send,
) -> Result[Reply, TransportError]:
    """Send one request and return its complete answer within ``timeout_s`` seconds.

    ``connect_timeout_s`` is limited to half of that, so that an unsent request can be
    distinguished from an unanswered one. The head of the answer must arrive within
    ``head_timeout_s``. ``may_send`` is asked once connected.
    """
    exchange = _fetch(
        address,
        method,
        target,
        headers or [],
        body,
        timeout_s,
        min(connect_timeout_s or timeout_s, timeout_s / 2),
        head_timeout_s or timeout_s,
        max_bytes,
        has_host_header,
        may_send,
    )
    try:
        return await curio.timeout_after(timeout_s, exchange)
    except curio.TaskTimeout:
        message = f"{address}: no whole answer within {timeout_s:g} s"
        return Failure(TransportError(message, sent=True, is_timeout=True))


async def _fetch(
    address: Address,
    method: str,
    target: str,
    headers: Headers,
    body: bytes,
    timeout_s: float,
    connect_timeout_s: float,
    head_timeout_s: float,
    max_bytes: int,
    has_host_header: bool,
    may_send: Callable[[float], bool],
) -> Result[Reply, TransportError]:
    opened = await open_exchange(
        address,
        method,
        target,
        headers,
        body,
        connect_timeout_s=connect_timeout_s,
        has_host_header=has_host_header,
        may_send=may_send,
        max_bytes=max_bytes,
    )
    if isinstance(opened, Failure):
        return opened
    exchange = opened.unwrap()
    try:
        head = await exchange.read_head(head_timeout_s)
        if isinstance(head, Failure):
            return head
        answer = await exchange.read_body(timeout_s, max_bytes)
        if isinstance(answer, Failure):
            return answer
        return Success(Reply(exchange.status, exchange.headers, answer.unwrap()))
    finally:
        await exchange.close()
