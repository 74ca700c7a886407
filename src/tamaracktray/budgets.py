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
        refilled = self._level + max(now - self._updated, 0.0) * self.rate
        self._level = min(refilled, self.burst)
        self._updated = now

    def has_permit(self, now: float) -> bool:
        """Return whether a permit is left."""
        self._refill(now)
        return self._level >= 1.0

    def take(self, now: float) -> bool:
        """Take a permit; return whether one was left."""
        if not self.has_permit(now):
            return False
        self._level -= 1.0
        return True

    def fill(self, now: float) -> None:
        """Fill the bucket to its burst."""
        self._level = self.burst
        self._updated = now

    def charge(self, amount: float) -> None:
        """Take permits that were used before, even if that leaves a deficit."""
        self._level -= amount

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
        "_earned_previous",
        "_earned_current",
        "_current_deadline",
        "_max_earned",
        "_ratio",
        "_reserve",
        "_window_s",
    )

    def __init__(self, ratio: float, reserve: float, window_s: float) -> None:
        self._ratio = ratio
        self._window_s = window_s
        self._earned_previous = 0.0
        self._earned_current = 0.0
        self._current_deadline = 0.0
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
        headroom = max(
            self._max_earned - self._earned_previous - self._earned_current, 0.0
        )
        self._earned_current += min(self._ratio, headroom)

    def spend(self, now: float) -> bool:
        """Spend one retry; return whether the budget allowed it."""
        self._expire(now)
        if self._earned_previous + self._earned_current < 1.0:
            return self._reserve.take(now)
        from_previous = min(self._earned_previous, 1.0)
        self._earned_previous -= from_previous
        self._earned_current -= 1.0 - from_previous
        return True

    def _expire(self, now: float) -> None:
        """Expire retries earned more than a window ago, one half window at a time."""
        half_s = self._window_s / 2
        if now < self._current_deadline:
            return
        is_recent = now < self._current_deadline + half_s
        self._earned_previous = self._earned_current if is_recent else 0.0
        self._earned_current = 0.0
        self._current_deadline = now + half_s
