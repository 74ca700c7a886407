"""HTTP/1.1 server over curio sockets; h11 implements the protocol.

The server passes complete requests to a handler and rejects malformed, oversized and
slow ones. Answers are in ``responders``, the client is in ``exchange``.
"""

import errno
import socket as socket_module
import sys
import time
from collections.abc import Awaitable, Callable

import curio
import h11
import structlog

from tamaracktray.connections import peek
from tamaracktray.http_messages import (
    HEAD_READ_BYTES,
    HttpLimits,
    Request,
    RequestRejectedError,
)
from tamaracktray.lingering import linger
from tamaracktray.memory_budget import CONNECTION_BYTES, MemoryBudget, MemoryShare
from tamaracktray.messages import encode_refusal
from tamaracktray.part_pacing import PartPacer
from tamaracktray.pipelined_data import PipelinedData, watch_client
from tamaracktray.request_reading import receive_request
from tamaracktray.responders import ConnectionResponder, Responder
from tamaracktray.task_yields import TaskYield
from tamaracktray.tracebacks import run_releasing
from tamaracktray.types import Address

LISTEN_BACKLOG = 512

# Connections, and requests of one connection, after which a task yields to others.
YIELD_AFTER = 8

# Errors of ``accept`` that concern the listening socket and don't pass, and those that
# are a lack of descriptors or memory.
LISTENER_ERRORS = frozenset(
    {errno.EBADF, errno.EINVAL, errno.ENOTSOCK, errno.EOPNOTSUPP}
)
SHORTAGE_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})

# Pause after a failed ``accept``, or while all connections are busy, and the least time
# between two log lines about it, in seconds.
ACCEPT_PAUSE_S = 0.02
ACCEPT_LOG_INTERVAL_S = 1.0

# Shortest wait for the first bytes of a request, in seconds.
MIN_IDLE_READ_S = 0.01

Handler = Callable[[Request, Responder], Awaitable[None]]


class HttpServer:
    """Accepts connections on one address and passes requests to a handler.

    With ``cancel_on_disconnect`` a handler is cancelled when its client closes the
    connection. ``limits`` may be replaced at any time and applies to later requests.
    With ``max_connections`` open, one that only waits for its client to close is closed
    for a new one, then the one that has been idle for longest; if there is none, new
    ones wait to be accepted. All that clients make the server hold is charged to
    ``budget``: without room, connections wait to be accepted, requests are refused with
    503 and connections whose answers are not read are closed.
    """

    __slots__ = (
        "_accept_log_deadline",
        "_active_requests",
        "_budget",
        "_cancel_on_disconnect",
        "_handler",
        "_idle_sockets_by_task",
        "_is_closed",
        "_lingering_tasks",
        "_listener",
        "_max_connections",
        "_pacer",
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
        max_connections: int = sys.maxsize,
        budget: MemoryBudget | None = None,
    ) -> None:
        self.address = address
        self.limits = limits or HttpLimits()
        self._handler = handler
        self._cancel_on_disconnect = cancel_on_disconnect
        self._listener: curio.io.Socket | None = None
        self._is_closed = False
        self._max_connections = max_connections
        self._budget = budget or MemoryBudget(sys.maxsize)
        self._pacer = PartPacer()
        self._accept_log_deadline = 0.0
        self._active_requests = 0
        self._tasks: set[curio.Task] = set()
        self._idle_sockets_by_task: dict[curio.Task, curio.io.Socket] = {}
        # Ordered by the time of their answers.
        self._lingering_tasks: dict[curio.Task, None] = {}

    @property
    def active_requests(self) -> int:
        """Return the number of requests being answered."""
        return self._active_requests

    @property
    def open_connections(self) -> int:
        """Return the number of all connections."""
        return len(self._tasks)

    @property
    def busy_connections(self) -> int:
        """Return the number of connections with a request in progress."""
        idle = sum(not peek(client) for client in self._idle_sockets_by_task.values())
        return len(self._tasks) - idle - len(self._lingering_tasks)

    async def open(self) -> None:
        """Bind the listening socket; port 0 selects a free port."""
        self._listener = curio.network.tcp_server_socket(
            self.address.host, self.address.port, backlog=LISTEN_BACKLOG
        )
        self._is_closed = False
        self.address = Address(self.address.host, self._listener.getsockname()[1])

    async def serve(self) -> None:
        """Accept connections until cancelled."""
        if self._listener is None:
            await self.open()
        async with self._listener as listener:
            task_yield = TaskYield(YIELD_AFTER)
            while True:
                await task_yield.step()
                try:
                    client, _ = await listener.accept()
                except OSError as error:
                    if error.errno in LISTENER_ERRORS:
                        raise
                    is_shortage = error.errno in SHORTAGE_ERRORS
                    await self._pause_accepting(str(error), is_shortage=is_shortage)
                    continue
                try:
                    await self._wait_for_room()
                except curio.CancelledError:
                    await client.close()
                    raise
                if self._is_closed:
                    # This task still runs until its next wait.
                    await client.close()
                    continue
                task = await curio.spawn(
                    run_releasing, self._run_connection, client, daemon=True
                )
                self._tasks.add(task)

    async def _wait_for_room(self) -> None:
        """Wait until one more connection may be open."""
        while len(self._tasks) >= self._max_connections:
            await self._pause_accepting("too many connections", is_shortage=True)
        while not self._budget.has_room(CONNECTION_BYTES, CONNECTION_BYTES):
            # Closing connections helps only if one of them makes enough room.
            is_shortage = self._budget.has_room(0, CONNECTION_BYTES)
            reason = "too many bytes are held"
            await self._pause_accepting(reason, is_shortage=is_shortage)

    async def _pause_accepting(self, reason: str, *, is_shortage: bool) -> None:
        """Wait a moment, or close an idle connection if there is a shortage."""
        now = time.monotonic()
        if now >= self._accept_log_deadline:
            self._accept_log_deadline = now + ACCEPT_LOG_INTERVAL_S
            structlog.get_logger().warning(
                "connection not accepted",
                reason=reason,
                address=str(self.address),
                open=len(self._tasks),
                idle=len(self._idle_sockets_by_task),
                lingering=len(self._lingering_tasks),
            )
        if is_shortage and await self._close_dispensable():
            await curio.sleep(0)
            return
        await curio.sleep(ACCEPT_PAUSE_S)

    async def _close_dispensable(self) -> bool:
        """Close a connection without a request in progress; return whether any is.

        A connection with an unread request in its socket buffer stays open.
        """
        for task in self._lingering_tasks:
            await task.cancel(blocking=False)
            return True
        for task, client in self._idle_sockets_by_task.items():
            if not peek(client):
                await task.cancel(blocking=False)
                return True
        return False

    async def close(self) -> None:
        """Accept no more connections and close the open ones at once."""
        self._is_closed = True
        await self.close_connections()

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
                client.setsockopt(
                    socket_module.IPPROTO_TCP, socket_module.TCP_NODELAY, 1
                )
                with self._budget.open_share() as share:
                    share.force(CONNECTION_BYTES)
                    if await self._serve_connection(client, share):
                        share.force(CONNECTION_BYTES)
                        await self._linger(client)
        except OSError:
            return
        finally:
            self._tasks.discard(await curio.current_task())

    async def _linger(self, client: curio.io.Socket) -> None:
        task = await curio.current_task()
        self._lingering_tasks[task] = None
        try:
            await linger(client)
        finally:
            self._lingering_tasks.pop(task, None)

    async def _serve_connection(
        self, client: curio.io.Socket, connection_share: MemoryShare
    ) -> bool:
        """Answer requests; return whether the client may still be sending."""
        connection = h11.Connection(h11.SERVER)
        header_limit = 0
        task_yield = TaskYield(YIELD_AFTER)
        while True:
            await task_yield.step()
            if not await self._wait_for_request(connection, client):
                return False
            limits = self.limits
            if limits.max_header_bytes != header_limit:
                header_limit = limits.max_header_bytes
                connection = _renew_connection(connection, header_limit)
            with self._budget.open_share() as share:
                responder = ConnectionResponder(
                    connection, client, limits.send_timeout_s, share
                )
                try:
                    request = await receive_request(
                        connection, client, limits, share, self._pacer
                    )
                except RequestRejectedError as error:
                    await _reject(responder, connection, error)
                    return connection.our_state is h11.MUST_CLOSE
                if request is None:
                    return False
                buffered = PipelinedData(connection, connection_share, limits)
                responder.sends_body = request.method != "HEAD"
                is_last = connection.their_state is h11.MUST_CLOSE
                if self._cancel_on_disconnect:
                    if peek(client) == b"":
                        # After a stall of this process, the client may have left.
                        return False
                    await self._handle_until_disconnect(
                        request, responder, buffered, client
                    )
                else:
                    await self._handle(request, responder)
                request = None
            if responder.is_aborted:
                return False
            if connection.our_state is h11.MUST_CLOSE:
                return not is_last or bool(peek(client))
            if connection.our_state is not h11.DONE:
                return False
            connection.start_next_cycle()

    async def _wait_for_request(
        self, connection: h11.Connection, client: curio.io.Socket
    ) -> bool:
        """Wait for the first bytes of a request; return whether any arrived.

        A raised limit applies to idle connections at once.
        """
        if connection.trailing_data[0]:
            return True
        task = await curio.current_task()
        self._idle_sockets_by_task[task] = client
        idle_since = time.monotonic()
        data: bytes | None = None
        try:
            while data is None:
                remaining_s = self.limits.idle_timeout_s - time.monotonic() + idle_since
                if remaining_s <= 0 and not peek(client):
                    return False
                data = await curio.ignore_after(
                    max(remaining_s, MIN_IDLE_READ_S), client.recv(HEAD_READ_BYTES)
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
        responder: ConnectionResponder,
        buffered: PipelinedData,
        client: curio.io.Socket,
    ) -> None:
        """Run the handler until it ends or the client closes the connection."""
        handler = await curio.spawn(run_releasing, self._handle, request, responder)
        watcher = await curio.spawn(
            run_releasing, watch_client, buffered, client, handler
        )
        responder.watcher = watcher
        try:
            await handler.wait()
        finally:
            await watcher.cancel()
            await handler.cancel()
        if handler.cancelled:
            responder.is_aborted = True

    async def _handle(self, request: Request, responder: ConnectionResponder) -> None:
        """Run the handler; an exception in it ends only this request."""
        self._active_requests += 1
        try:
            await self._handler(request, responder)
        except OSError:
            await responder.abort()
        except Exception:
            structlog.get_logger().exception("handler failed", path=request.path)
            await responder.fail()
        finally:
            self._active_requests -= 1


def _renew_connection(
    connection: h11.Connection, max_header_bytes: int
) -> h11.Connection:
    """Return a connection with another limit, and the same data to read."""
    renewed = h11.Connection(h11.SERVER, max_incomplete_event_size=max_header_bytes)
    renewed.receive_data(connection.trailing_data[0])
    return renewed


async def _reject(
    responder: ConnectionResponder,
    connection: h11.Connection,
    error: RequestRejectedError,
) -> None:
    """Answer a rejected request; the connection is closed afterwards."""
    if connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    headers, body = encode_refusal(error.refusal)
    headers.append(("connection", "close"))
    await responder.respond(error.refusal.status, headers, body)
