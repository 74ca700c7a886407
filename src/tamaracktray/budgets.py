"""Budgets that all processes share: each spends its part of a fleet-wide bound."""


class PermitBucket:
    """Grants at most ``rate`` permits a second, and ``burst`` at once."""

    __slots__ = ("_level", "_updated", "burst", "rate")

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self._level = burst
        self._updated = 0.0

    def _refill(self, now: float) -> None:
        grown = self._level + max(now - self._updated, 0.0) * self.rate
        self._level = min(grown, self.burst)
        self._updated = now

    def has_permit(self, now: float) -> bool:
        """Tell whether a permit is left."""
        self._refill(now)
        return self._level >= 1.0

    def take(self, now: float) -> bool:
        """Take a permit; return whether one was left."""
        if not self.has_permit(now):
            return False
        self._level -= 1.0
        return True

    def resize(self, rate: float, burst: float) -> None:
        """Change the bounds; permits beyond the new burst are lost."""
        self.rate = rate
        self.burst = burst
        self._level = min(self._level, burst)


class RepeatBudget:
    """Bounds repeats to a share of the calls, plus a reserve for each window.

    Every call earns ``ratio`` of a repeat. The reserve refills over ``window_s``.
    """

    __slots__ = ("_earned", "_max_earned", "_ratio", "_reserve")

    def __init__(self, ratio: float, reserve: float, window_s: float) -> None:
        self._ratio = ratio
        self._earned = 0.0
        self._max_earned = reserve
        self._reserve = PermitBucket(reserve / window_s, reserve)

    def earn(self) -> None:
        """Count a call that arrived for the first time."""
        self._earned = min(self._earned + self._ratio, self._max_earned)

    def spend(self, now: float) -> bool:
        """Take one repeat; return whether the budget allowed it."""
        if self._earned >= 1.0:
            self._earned -= 1.0
            return True
        return self._reserve.take(now)
