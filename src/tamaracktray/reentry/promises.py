"""Counts of the places that an entry has promised, by the time at which they are due.

A place belongs to no particular caller, because callers retry at any entry.
"""

from bisect import bisect_right, insort

# Time after its due time at which a promise expires, in seconds. A caller that has not
# come by then has retried at another entry or has given up.
PROMISE_EXPIRY_S = 0.5


class Promises:
    """Due times of the promised places of one service."""

    __slots__ = ("_due_times",)

    def __init__(self) -> None:
        self._due_times: list[float] = []

    def count(self, now: float) -> int:
        """Return the number of promises that have not expired."""
        expired = bisect_right(self._due_times, now - PROMISE_EXPIRY_S)
        del self._due_times[:expired]
        return len(self._due_times)

    def find_due_time(self, earliest: float, now: float, rate: float) -> float:
        """Return the time for one more place, not before ``earliest``.

        Up to any later time, no more places are promised than come up by then at
        ``rate`` places per second.
        """
        index = self.count(now)
        while index:
            due_at = self._due_times[index - 1]
            if due_at <= earliest:
                break
            if index + 1 > rate * (due_at - now):
                earliest = due_at
                break
            index -= 1
        return max(earliest, now + (index + 1) / rate)

    def add(self, due_at: float) -> None:
        """Add a promise."""
        insort(self._due_times, due_at)

    def take(self, now: float) -> None:
        """Remove the promise that is due first, if there is one."""
        if self.count(now):
            del self._due_times[0]
