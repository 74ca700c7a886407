"""Bounds the memory that the clients of a server make it hold.

Charged are connections, data read from them, requests from their first byte to the end
of their answers, and answers that clients don't read.
"""

from types import TracebackType
from typing import Self

# Largest share that may use the reserve, in bytes. It holds a request without a long
# body, which is served while long bodies are refused.
SMALL_SHARE_BYTES = 131_072

# The reserve is the budget divided by this.
RESERVE_DIVISOR = 8

# Charge of a connection in bytes: the socket, its task and the protocol's state.
CONNECTION_BYTES = 8_192

# Charge of a request being handled in bytes: its tasks, the connection to an endpoint
# and the records of the call.
REQUEST_BYTES = 32_768

# Charge of a header line beyond its length in bytes: h11 and the request hold its name
# and value in three forms, each an object with its own overhead.
HEADER_LINE_BYTES = 512


class MemoryBudget:
    """The bytes that the clients of a server may make it hold at once.

    Large shares leave a reserve to small ones.
    """

    __slots__ = ("_free_bytes", "_reserve_bytes")

    def __init__(self, max_bytes: int) -> None:
        self._free_bytes = max_bytes
        self._reserve_bytes = max_bytes // RESERVE_DIVISOR

    def open_share(self) -> "MemoryShare":
        """Return the share of one connection or request, which holds nothing yet."""
        return MemoryShare(self)

    def has_room(self, amount: int, share_bytes: int) -> bool:
        """Return whether a share of ``share_bytes`` may take ``amount`` bytes."""
        reserve_bytes = 0 if share_bytes <= SMALL_SHARE_BYTES else self._reserve_bytes
        return amount <= self._free_bytes - reserve_bytes

    def take(self, amount: int) -> None:
        """Take bytes, or give them back if ``amount`` is negative."""
        self._free_bytes -= amount


class MemoryShare:
    """What one connection or request holds until the context ends."""

    __slots__ = ("_budget", "held_bytes")

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self.held_bytes = 0

    def resize(self, held_bytes: int) -> bool:
        """Hold ``held_bytes`` in all; return whether there was room for them.

        Without room the share stays as it is; a smaller share always fits.
        """
        growth = held_bytes - self.held_bytes
        if growth > 0 and not self._budget.has_room(growth, held_bytes):
            return False
        self.force(held_bytes)
        return True

    def force(self, held_bytes: int) -> None:
        """Hold ``held_bytes`` that are in memory already, even without room."""
        self._budget.take(held_bytes - self.held_bytes)
        self.held_bytes = held_bytes

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.force(0)
