"""An HTTP client that reuses one connection."""

import curio
import h11
from returns.result import Failure, Result, Success

from tamaracktray.connections import connect, limit_silence, peek, reset_on_close
from tamaracktray.exceptions import TransportError
from tamaracktray.exchange import Exchange
from tamaracktray.http_messages import Headers, Reply
from tamaracktray.request_sending import build_head
from tamaracktray.types import Address

# Effectively unlimited, in seconds: the timeout of the whole request bounds the read.
NO_TIMEOUT_S = 3_600.0


class PersistentClient:
    """Sends requests one at a time on a persistent connection, reopened if lost.

    Only for idempotent requests: one that fails on a reused connection, which the
    server may have closed, is sent again on a new connection. Each request has an id in
    the header ``id_header``, if that is set; an answer with another id is late and
    belongs to an earlier request. If ``silence_s`` is set, a connection on which the
    server's machine acknowledges nothing for that many seconds is lost.
    """

    __slots__ = (
        "_address",
        "_connection",
        "_id_header",
        "_lock",
        "_sent",
        "_silence_s",
        "_socket",
    )

    def __init__(
        self, address: Address, id_header: str = "", silence_s: float = 0.0
    ) -> None:
        self._address = address
        self._id_header = id_header
        self._silence_s = silence_s
        self._sent = 0
        self._lock = curio.Lock()
        self._socket: curio.io.Socket | None = None
        self._connection: h11.Connection | None = None

    async def fetch(
        self,
        method: str,
        target: str,
        headers: Headers | None = None,
        body: bytes = b"",
        *,
        timeout_s: float = 5.0,
        max_bytes: int = 4 * 1_048_576,
        repeat_unanswered: bool = True,
    ) -> Result[Reply, TransportError]:
        """Send a request and return the complete answer.

        Each of up to two tries fails after ``timeout_s`` seconds. The server may still
        execute a request that it has not answered in time; unset ``repeat_unanswered``
        if it must not be overtaken by its repeat.
        """
        async with self._lock:
            is_reused = self._socket is not None
            reply = await self._fetch_once(
                method, target, headers, body, timeout_s, max_bytes
            )
            if isinstance(reply, Success) or not is_reused:
                return reply
            if reply.failure().is_timeout and not repeat_unanswered:
                return reply
            return await self._fetch_once(
                method, target, headers, body, timeout_s, max_bytes
            )

    async def _fetch_once(
        self,
        method: str,
        target: str,
        headers: Headers | None,
        body: bytes,
        timeout_s: float,
        max_bytes: int,
    ) -> Result[Reply, TransportError]:
        self._sent += 1
        request_id = f"{method}-{self._sent}"
        framing = [("content-length", str(len(body))), ("host", str(self._address))]
        if self._id_header:
            framing.append((self._id_header, request_id))
        head = build_head(method, target, [*(headers or []), *framing])
        if isinstance(head, Failure):
            return head
        try:
            return Success(
                await curio.timeout_after(
                    timeout_s, self._send(head.unwrap(), body, request_id, max_bytes)
                )
            )
        except curio.TaskTimeout:
            await self._abandon()
            message = f"{self._address}: no complete answer within {timeout_s:g} s"
            return Failure(TransportError(message, sent=True, is_timeout=True))
        except curio.CancelledError:
            await self._abandon()
            raise
        except (OSError, h11.ProtocolError) as error:
            await self._abandon()
            return Failure(TransportError(f"{self._address}: {error}", sent=True))

    async def _send(
        self, head: h11.Request, body: bytes, request_id: str, max_bytes: int
    ) -> Reply:
        if self._socket is not None and peek(self._socket) is not None:
            # A late duplicate answer would be taken as the answer to this request.
            await self._close()
        if self._socket is None or self._connection is None:
            self._socket = await connect(self._address)
            if self._silence_s:
                limit_silence(self._socket, self._silence_s)
            self._connection = h11.Connection(h11.CLIENT)
        connection, socket = self._connection, self._socket
        payload = connection.send(head) + connection.send(h11.Data(data=body))
        await socket.sendall(payload + connection.send(h11.EndOfMessage()))
        exchange = Exchange(connection, socket, max_bytes)
        reply = Reply(*await _read_reply(exchange, max_bytes))
        if reply.headers.get(self._id_header, request_id) != request_id:
            raise ConnectionError("the answer belongs to an earlier request")
        if connection.our_state is h11.DONE and connection.their_state is h11.DONE:
            connection.start_next_cycle()
        if connection.our_state is not h11.IDLE or connection.trailing_data[0]:
            # The server closes the connection, or has sent more than one answer.
            await self._close()
        return reply

    async def _abandon(self) -> None:
        """Close the connection such that unsent bytes are not delivered later."""
        if self._socket is not None:
            reset_on_close(self._socket)
        await self._close()

    async def _close(self) -> None:
        if self._socket is not None:
            await self._socket.close()
        self._socket = None
        self._connection = None


class ClientPool:
    """Persistent clients of one address, by the number of their user."""

    __slots__ = ("_address", "_clients", "_id_header")

    def __init__(self, address: Address, id_header: str = "") -> None:
        self._address = address
        self._id_header = id_header
        self._clients: list[PersistentClient] = []

    def get_client(self, user: int = 0) -> PersistentClient:
        """Return the client of a user, counted from 0."""
        while user >= len(self._clients):
            self._clients.append(PersistentClient(self._address, self._id_header))
        return self._clients[user]


async def _read_reply(
    exchange: Exchange, max_bytes: int
) -> tuple[int, dict[str, str], bytes]:
    """Return the status, headers and body of an answer.

    Raise ``ConnectionError`` if it can't be read completely. There is no timeout here.
    """
    head = await exchange.read_head(NO_TIMEOUT_S)
    if isinstance(head, Failure):
        raise ConnectionError(head.failure().message)
    body = await exchange.read_body(NO_TIMEOUT_S, max_bytes)
    if isinstance(body, Failure):
        raise ConnectionError(body.failure().message)
    return exchange.status, exchange.headers, body.unwrap()
