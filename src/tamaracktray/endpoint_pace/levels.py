"""Decision whether an engine counts as slow, with hysteresis."""

import math

# Pace from which an engine counts as slow. Its requests then take half as long again as
# the service's performance model says, on which the estimates of calls are based.
SLOW_PACE = 1.5

# Pace below which a slow engine counts as normal again. The distance to ``SLOW_PACE``
# keeps a pace that varies by a tenth from changing the weights with every report.
NORMAL_PACE = 1.25

# Pace of an engine that reports none, or an invalid one.
USUAL_PACE = 1.0


def is_valid_pace(pace: float) -> bool:
    """Return whether a reported pace is finite and not negative."""
    return math.isfinite(pace) and pace >= 0


class PaceLevel:
    """Whether an engine counts as slow, by its latest reports."""

    __slots__ = ("is_slow",)

    def __init__(self) -> None:
        self.is_slow = False

    def update(self, pace: float) -> bool:
        """Take a new pace into account and return whether the engine is slow."""
        self.is_slow = pace >= (NORMAL_PACE if self.is_slow else SLOW_PACE)
        return self.is_slow
