"""Count of recent events in bins of fixed width."""

from collections import deque

# Width of a bin in seconds; a count is exact to the events of one bin.
BIN_S = 0.1


class EventWindow:
    """Counts the events of the last ``window_s`` seconds."""

    __slots__ = ("_bins", "_total", "window_s")

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self._bins: deque[list[float]] = deque()
        self._total = 0

    def note(self, now: float) -> None:
        """Record one event."""
        self.count(now)
        if self._bins and now < self._bins[-1][0] + BIN_S:
            self._bins[-1][1] += 1
        else:
            self._bins.append([now, 1])
        self._total += 1

    def count(self, now: float) -> int:
        """Return the number of recent events."""
        while self._bins and self._bins[0][0] <= now - self.window_s:
            self._total -= int(self._bins.popleft()[1])
        return self._total

    def measure_rate(self, now: float) -> float:
        """Return the recent events per second.

        Until a whole window has been measured, the result is too low.
        """
        return self.count(now) / self.window_s
