"""Data that a client sends beyond the end of its current request."""

import h11

from tamaracktray.http_messages import HttpLimits
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
