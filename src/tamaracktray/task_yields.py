"""Lets other tasks run in loops that read from a socket.

curio switches tasks only where one has to wait, so a loop whose socket is always
readable would keep timers and other connections from being served.
"""

import time

import curio
import structlog

# Delay of a timer from which it is logged, in seconds.
LAG_WARNING_S = 0.5


class TaskYield:
    """Yields to other tasks after each ``steps`` steps of a loop."""

    __slots__ = ("_remaining", "_steps")

    def __init__(self, steps: int) -> None:
        self._steps = steps
        self._remaining = steps

    async def step(self) -> None:
        """Count a step of the loop, and yield if it is time to."""
        self._remaining -= 1
        if self._remaining:
            return
        self._remaining = self._steps
        await curio.sleep(0)


class LoopLag:
    """Measures how late a periodic timer is because other tasks hold the processor."""

    __slots__ = ("_log", "_longest_s")

    def __init__(self) -> None:
        self._log = structlog.get_logger()
        self._longest_s = 0.0

    async def sleep(self, seconds: float) -> None:
        """Sleep, and log a warning if that takes much longer."""
        due_at = time.monotonic() + seconds
        await curio.sleep(seconds)
        lag_s = time.monotonic() - due_at
        self._longest_s = max(self._longest_s, lag_s)
        if lag_s >= LAG_WARNING_S:
            self._log.warning("held up", lag_s=round(lag_s, 3))

    def take_longest(self) -> float:
        """Return the longest delay since the last call, in seconds."""
        longest_s, self._longest_s = self._longest_s, 0.0
        return longest_s
