"""Keeps large calls from starving where short ones go first.

Calls of a route fall into bands by size. A band that is served clearly less often than
its whole route goes before the others until it has caught up.
"""

from bisect import bisect_left, insort
from collections import deque

# Upper ends of the bands, as shares of the sizes seen: most calls, the large ones, and
# the largest tenth.
BAND_ENDS = (0.7, 0.9, 1.0)

# Sizes that the bands of a route are taken from.
SAMPLE_LENGTH = 200

# A band is behind when it is served less often than this share of the route's rate. The
# operators ask for a half; the margin covers what a process sees too late.
BEHIND_SHARE = 0.9

# Weight of a new outcome in the rates; about the last 50 outcomes count.
OUTCOME_WEIGHT = 0.02


class ServedRate:
    """Moving share of calls that were served."""

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value = 1.0

    def note(self, *, is_served: bool) -> None:
        """Take in one outcome."""
        self.value += OUTCOME_WEIGHT * (float(is_served) - self.value)


class SizeBands:
    """The bands of one route."""

    __slots__ = ("_order", "_rates", "_sorted", "_whole")

    def __init__(self) -> None:
        self._order: deque[float] = deque()
        self._sorted: list[float] = []
        self._rates = [ServedRate() for _ in BAND_ENDS]
        self._whole = ServedRate()

    def note_size(self, size: float) -> None:
        """Take in the size of a call that arrived."""
        self._order.append(size)
        insort(self._sorted, size)
        if len(self._order) > SAMPLE_LENGTH:
            oldest = self._order.popleft()
            del self._sorted[bisect_left(self._sorted, oldest)]

    def find_band(self, size: float) -> int:
        """Return the band of a size."""
        if not self._sorted:
            return 0
        rank = bisect_left(self._sorted, size) / len(self._sorted)
        for band, end in enumerate(BAND_ENDS):
            if rank < end:
                return band
        return len(BAND_ENDS) - 1

    def note_outcome(self, size: float, *, is_served: bool) -> None:
        """Take in whether a call was served."""
        self._rates[self.find_band(size)].note(is_served=is_served)
        self._whole.note(is_served=is_served)

    def is_behind(self, size: float) -> bool:
        """Tell whether calls of this size are served too seldom."""
        rate = self._rates[self.find_band(size)].value
        return rate < BEHIND_SHARE * self._whole.value
