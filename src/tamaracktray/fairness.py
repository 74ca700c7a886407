"""Protection of large calls from starvation by shortest-first ordering.

Calls of a route are grouped into bands by size. A band whose served rate is clearly
below that of its route takes precedence over the others until it has caught up.
"""

from bisect import bisect_left, insort
from collections import deque

# Upper ends of the bands, as quantiles of the recent sizes: most calls, the large ones,
# and the largest tenth.
BAND_ENDS = (0.7, 0.9, 1.0)

# Number of recent sizes from which the bands of a route are computed.
SAMPLE_SIZE = 200

# A band is underserved below this share of the route's served rate. Operators require
# one half; the margin covers outcomes that a process learns of late.
UNDERSERVED_SHARE = 0.9

# Weight of a new outcome in the moving average; about the last 50 outcomes count.
OUTCOME_WEIGHT = 0.02


class ServedRate:
    """Moving average of the share of calls that were served."""

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value = 1.0

    def note(self, *, is_served: bool) -> None:
        """Record one outcome."""
        self.value += OUTCOME_WEIGHT * (float(is_served) - self.value)


class SizeBands:
    """Size bands of one route with their served rates."""

    __slots__ = ("_recent_sizes", "_rates", "_sorted_sizes", "_route_rate")

    def __init__(self) -> None:
        self._recent_sizes: deque[float] = deque()
        self._sorted_sizes: list[float] = []
        self._rates = [ServedRate() for _ in BAND_ENDS]
        self._route_rate = ServedRate()

    def note_size(self, size: float) -> None:
        """Record the size of a call that arrived."""
        self._recent_sizes.append(size)
        insort(self._sorted_sizes, size)
        if len(self._recent_sizes) > SAMPLE_SIZE:
            oldest = self._recent_sizes.popleft()
            del self._sorted_sizes[bisect_left(self._sorted_sizes, oldest)]

    def find_band(self, size: float) -> int:
        """Return the index of the band that a size belongs to."""
        if not self._sorted_sizes:
            return 0
        rank = bisect_left(self._sorted_sizes, size) / len(self._sorted_sizes)
        for band, end in enumerate(BAND_ENDS):
            if rank < end:
                return band
        return len(BAND_ENDS) - 1

    def note_outcome(self, size: float, *, is_served: bool) -> None:
        """Record whether a call was served."""
        self._rates[self.find_band(size)].note(is_served=is_served)
        self._route_rate.note(is_served=is_served)

    def is_underserved(self, size: float) -> bool:
        """Return whether calls of this size are underserved."""
        rate = self._rates[self.find_band(size)].value
        return rate < UNDERSERVED_SHARE * self._route_rate.value
