"""Bounds the memory that the bodies of all requests take."""

from types import TracebackType
from typing import Self

# Largest sum of the bodies of callers' requests that an entry holds at once, in bytes.
# A body may be in memory twice while it is sent.
MAX_HELD_BYTES = 64 * 1_048_576


class BodyBudget:
    """The bytes of bodies that a server may hold at once."""

    __slots__ = ("_free_bytes",)

    def __init__(self, max_bytes: int) -> None:
        self._free_bytes = max_bytes

    def open_share(self) -> "BodyShare":
        """Return the share of one request, which holds nothing yet."""
        return BodyShare(self)

    def take(self, amount: int) -> bool:
        """Take bytes; return whether there were as many."""
        if amount > self._free_bytes:
            return False
        self._free_bytes -= amount
        return True

    def give_back(self, amount: int) -> None:
        """Give back bytes that were taken."""
        self._free_bytes += amount


class BodyShare:
    """What the body of one request holds until the context ends."""

    __slots__ = ("_budget", "_held_bytes")

    def __init__(self, budget: BodyBudget) -> None:
        self._budget = budget
        self._held_bytes = 0

    def take(self, amount: int) -> bool:
        """Take bytes for this request; return whether there were as many."""
        is_taken = self._budget.take(amount)
        if is_taken:
            self._held_bytes += amount
        return is_taken

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._budget.give_back(self._held_bytes)
        self._held_bytes = 0
