"""Data that a client sends beyond the end of its current request."""

import curio
import h11

from tamaracktray.http_messages import HEAD_READ_BYTES, HttpLimits
from tamaracktray.memory_budget import CONNECTION_BYTES, MemoryShare


class PipelinedData:
    """The buffered data of one connection while a request is handled.

    It stays buffered for later requests of the connection, so a limit for each request
    would not bound it.
    """

    __slots__ = ("_buffered_bytes", "_connection", "_max_bytes", "_share")

    def __init__(
        self, connection: h11.Connection, share: MemoryShare, limits: HttpLimits
    ) -> None:
        self._connection = connection
        self._share = share
        self._max_bytes = limits.max_pipelined_bytes
        self._buffered_bytes = len(connection.trailing_data[0])
        share.force(CONNECTION_BYTES + self._buffered_bytes)

    @property
    def free_bytes(self) -> int:
        """Return how many more bytes may be buffered."""
        return self._max_bytes - self._buffered_bytes

    def append(self, data: bytes) -> None:
        """Buffer received data; no more may be buffered if the budget is used up."""
        self._connection.receive_data(data)
        self._buffered_bytes += len(data)
        held_bytes = CONNECTION_BYTES + self._buffered_bytes
        if not self._share.resize(held_bytes):
            self._share.force(held_bytes)
            self._max_bytes = 0


async def watch_client(
    buffered: PipelinedData, client: curio.io.Socket, handler: curio.Task
) -> None:
    """Cancel the handler if the client closes; buffer data received meanwhile.

    Ends when no more may be buffered; more data then stays in the socket buffers.
    """
    while (free_bytes := buffered.free_bytes) > 0:
        try:
            data = await client.recv(min(HEAD_READ_BYTES, free_bytes))
        except OSError:
            data = b""
        if not data:
            await handler.cancel(blocking=False)
            return
        buffered.append(data)
