"""Budgets of fleet-wide limits, of which each process spends its own share."""


class PermitBucket:
    """Token bucket that grants ``rate`` permits a second, and ``burst`` at once."""

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
        """Change the limits; permits beyond the new burst are dropped."""
        self.rate = rate
        self.burst = burst
        self._level = min(self._level, burst)


class RetryBudget:
    """Limits retries to a share of the calls, plus a reserve for each window.

    Every call earns ``ratio`` of a retry, which expires within ``window_s`` seconds.
    The reserve refills over that time.
    """

    __slots__ = (
        "_earlier",
        "_latest",
        "_latest_deadline",
        "_max_earned",
        "_ratio",
        "_reserve",
        "_window_s",
    )

    def __init__(self, ratio: float, reserve: float, window_s: float) -> None:
        self._ratio = ratio
        self._window_s = window_s
        self._earlier = 0.0
        self._latest = 0.0
        self._latest_deadline = 0.0
        self._reserve = PermitBucket(reserve / window_s, reserve)
        self.resize(reserve)

    def resize(self, reserve: float) -> None:
        """Change this process's share of the reserve."""
        # In a fleet of any size, each process can earn one whole retry.
        self._max_earned = max(reserve, 1.0)
        self._reserve.resize(reserve / self._window_s, reserve)

    def earn(self, now: float) -> None:
        """Credit the share of a retry that a new call earns."""
        self._expire(now)
        headroom = max(self._max_earned - self._earlier - self._latest, 0.0)
        self._latest += min(self._ratio, headroom)

    def spend(self, now: float) -> bool:
        """Spend one retry; return whether the budget allowed it."""
        self._expire(now)
        if self._earlier + self._latest < 1.0:
            return self._reserve.take(now)
        from_earlier = min(self._earlier, 1.0)
        self._earlier -= from_earlier
        self._latest -= 1.0 - from_earlier
        return True

    def _expire(self, now: float) -> None:
        """Expire retries earned more than a window ago, one half window at a time."""
        half_s = self._window_s / 2
        if now < self._latest_deadline:
            return
        is_recent = now < self._latest_deadline + half_s
        self._earlier = self._latest if is_recent else 0.0
        self._latest = 0.0
        self._latest_deadline = now + half_s
