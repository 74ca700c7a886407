"""A steady clock that also runs while the machine is suspended.

The monotonic clock stops during a suspension. Facts about another process go out of
date all the same, because that process may run on or be on another machine.
"""

import time


def read_elapsed() -> float:
    """Return a steady time in seconds that includes suspensions."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def measure_suspension() -> float:
    """Return by how many seconds the monotonic clock is behind ``read_elapsed``."""
    return read_elapsed() - time.monotonic()
