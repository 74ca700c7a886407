"""HTTP/1.1 server over curio sockets; h11 implements the protocol.

The server passes complete requests to a handler and rejects malformed, oversized and
slow ones. The client is in ``exchange``.
"""

import socket as socket_module
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from http import HTTPStatus

import curio
import h11
import msgspec
import structlog

from tamaracktray.connections import close_in_order, reset_on_close
from tamaracktray.http_messages import (
    READ_BYTES,
    Headers,
    HttpLimits,
    RawHeaders,
    Request,
    RequestRejectedError,
)
from tamaracktray.request_reading import receive_request
from tamaracktray.types import Address

# Older clients see the end of a body without length by the end of the connection.
CHUNKED_SINCE = b"1.1"

LISTEN_BACKLOG = 512


class Responder(ABC):
    """Sends one answer; implemented by the server's connections and by tests."""

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


Handler = Callable[[Request, Responder], Awaitable[None]]


class _ConnectionResponder(Responder):
    """Answers one request on a server connection."""

    __slots__ = (
        "_connection",
        "_resets_on_close",
        "_socket",
        "_timeout_s",
        "is_aborted",
        "watcher",
    )

    def __init__(
        self, connection: h11.Connection, socket: curio.io.Socket, timeout_s: float
    ) -> None:
        self._connection = connection
        self._socket = socket
        self._timeout_s = timeout_s
        self._resets_on_close = False
        self.is_aborted = False
        self.watcher: curio.Task | None = None

    async def _send(self, *events: h11.Event) -> None:
        data = b"".join(self._connection.send(event) or b"" for event in events)
        unsent = data[_send_nonblocking(self._socket, data) :]
        if not unsent:
            return
        try:
            await curio.timeout_after(self._timeout_s, self._socket.sendall(unsent))
        except curio.TaskTimeout as error:
            raise ConnectionError("client does not read the answer") from error

    async def acknowledge(self) -> None:
        await self._send(
            h11.InformationalResponse(status_code=HTTPStatus.PROCESSING, headers=[])
        )

    async def send_head(self, status: int, headers: Headers | RawHeaders) -> None:
        if self._connection.their_http_version < CHUNKED_SINCE:
            self._resets_on_close = True
            reset_on_close(self._socket)
        framed_headers = [*headers, ("transfer-encoding", "chunked")]
        await self._send(h11.Response(status_code=status, headers=framed_headers))

    async def send_data(self, data: bytes) -> None:
        await self._send(h11.Data(data=data))

    async def finish(self) -> None:
        await self._send(h11.EndOfMessage())
        if self._resets_on_close:
            close_in_order(self._socket)

    async def abort(self) -> None:
        self.is_aborted = True
        self._connection.send_failed()
        if self.watcher is not None:
            # No task may be waiting on the socket when it is closed.
            await self.watcher.cancel()
        await self._socket.close()

    async def respond(
        self, status: int, headers: Headers | RawHeaders, body: bytes = b""
    ) -> None:
        framed_headers = [*headers, ("content-length", str(len(body)))]
        head = h11.Response(status_code=status, headers=framed_headers)
        await self._send(head, h11.Data(data=body), h11.EndOfMessage())


class HttpServer:
    """Accepts connections on one address and passes requests to a handler.

    With ``cancel_on_disconnect`` a handler is cancelled when its client closes the
    connection. ``limits`` may be replaced at any time and applies to later requests.
    """

    __slots__ = (
        "_active_requests",
        "_cancel_on_disconnect",
        "_handler",
        "_idle_sockets_by_task",
        "_listener",
        "_tasks",
        "address",
        "limits",
    )

    def __init__(
        self,
        address: Address,
        handler: Handler,
        limits: HttpLimits | None = None,
        *,
        cancel_on_disconnect: bool = False,
    ) -> None:
        self.address = address
        self.limits = limits or HttpLimits()
        self._handler = handler
        self._cancel_on_disconnect = cancel_on_disconnect
        self._listener: curio.io.Socket | None = None
        self._active_requests = 0
        self._tasks: set[curio.Task] = set()
        self._idle_sockets_by_task: dict[curio.Task, curio.io.Socket] = {}

    @property
    def active_requests(self) -> int:
        """Return the number of requests being answered."""
        return self._active_requests

    @property
    def busy_connections(self) -> int:
        """Return the number of connections with a request in progress."""
        idle = sum(not peek(client) for client in self._idle_sockets_by_task.values())
        return len(self._tasks) - idle

    async def open(self) -> None:
        """Bind the listening socket; port 0 selects a free port."""
        self._listener = curio.network.tcp_server_socket(
            self.address.host, self.address.port, backlog=LISTEN_BACKLOG
        )
        self.address = Address(self.address.host, self._listener.getsockname()[1])

    async def serve(self) -> None:
        """Accept connections until cancelled."""
        if self._listener is None:
            await self.open()
        async with self._listener as listener:
            while True:
                client, _ = await listener.accept()
                client.setsockopt(
                    socket_module.IPPROTO_TCP, socket_module.TCP_NODELAY, 1
                )
                task = await curio.spawn(self._run_connection, client, daemon=True)
                self._tasks.add(task)

    async def close_connections(self) -> None:
        """Close all connections at once except that of the calling task."""
        current = await curio.current_task()
        for task in list(self._tasks):
            if task is not current:
                await task.cancel(blocking=False)

    async def close_idle_connections(self) -> None:
        """Close the connections without a request in progress.

        A connection with an unread request in its socket buffer stays open.
        """
        for task, client in list(self._idle_sockets_by_task.items()):
            if not peek(client):
                await task.cancel(blocking=False)

    async def _run_connection(self, client: curio.io.Socket) -> None:
        try:
            async with client:
                await self._serve_connection(client)
        except OSError:
            return
        finally:
            self._tasks.discard(await curio.current_task())

    async def _serve_connection(self, client: curio.io.Socket) -> None:
        connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self.limits.max_header_bytes
        )
        while True:
            limits = self.limits
            responder = _ConnectionResponder(connection, client, limits.send_timeout_s)
            try:
                if not await self._wait_for_request(connection, client):
                    return
                request = await receive_request(connection, client, limits)
            except RequestRejectedError as error:
                await _reject(responder, connection, error)
                return
            if request is None:
                return
            if self._cancel_on_disconnect:
                if peek(client) == b"":
                    # After a stall of this process, the client may have disconnected.
                    return
                await self._handle_until_disconnect(
                    request, responder, connection, client
                )
            else:
                await self._handle(request, responder)
            if responder.is_aborted or connection.our_state is not h11.DONE:
                return
            connection.start_next_cycle()

    async def _wait_for_request(
        self, connection: h11.Connection, client: curio.io.Socket
    ) -> bool:
        """Wait for the first bytes of a request; return whether any arrived."""
        if connection.trailing_data[0]:
            return True
        task = await curio.current_task()
        self._idle_sockets_by_task[task] = client
        try:
            data = await curio.ignore_after(
                self.limits.idle_timeout_s, client.recv(READ_BYTES)
            )
        finally:
            self._idle_sockets_by_task.pop(task, None)
        if not data:
            return False
        connection.receive_data(data)
        return True

    async def _handle_until_disconnect(
        self,
        request: Request,
        responder: _ConnectionResponder,
        connection: h11.Connection,
        client: curio.io.Socket,
    ) -> None:
        """Run the handler until it ends or the client closes the connection."""
        handler = await curio.spawn(self._handle, request, responder)
        watcher = await curio.spawn(_watch_client, connection, client, handler)
        responder.watcher = watcher
        try:
            await handler.wait()
        finally:
            await watcher.cancel()
            await handler.cancel()
        if handler.cancelled:
            responder.is_aborted = True

    async def _handle(self, request: Request, responder: _ConnectionResponder) -> None:
        """Run the handler; an exception in it closes only this connection."""
        self._active_requests += 1
        try:
            await self._handler(request, responder)
        except OSError:
            await responder.abort()
        except Exception:
            structlog.get_logger().exception("handler failed", path=request.path)
            await responder.abort()
        finally:
            self._active_requests -= 1


def _send_nonblocking(socket: curio.io.Socket, data: bytes) -> int:
    """Send as much as the socket accepts without blocking; return the byte count.

    This is nearly always all of ``data``, which saves setting a timeout.
    """
    if not data:
        return 0
    try:
        return socket._socket.send(data)
    except BlockingIOError:
        return 0


def peek(socket: curio.io.Socket) -> bytes | None:
    """Return the next unread byte without consuming it, ``None`` if there is none.

    The result is empty if the peer has closed or the connection is lost.
    """
    try:
        return socket._socket.recv(1, socket_module.MSG_PEEK)
    except BlockingIOError:
        return None
    except OSError:
        return b""


async def _watch_client(
    connection: h11.Connection, client: curio.io.Socket, handler: curio.Task
) -> None:
    """Cancel the handler if the client closes; buffer data received meanwhile."""
    buffered_bytes = 0
    while buffered_bytes < READ_BYTES:
        try:
            data = await client.recv(READ_BYTES)
        except OSError:
            data = b""
        if not data:
            await handler.cancel(blocking=False)
            return
        buffered_bytes += len(data)
        connection.receive_data(data)


async def _reject(
    responder: _ConnectionResponder,
    connection: h11.Connection,
    error: RequestRejectedError,
) -> None:
    """Answer a rejected request; the connection is closed afterwards."""
    if connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    body = msgspec.json.encode({"error": error.refusal})
    headers = [("content-type", "application/json"), ("connection", "close")]
    await responder.respond(error.refusal.status, headers, body)
