"""Waits that callers have lately stated on each route, which show who is retrying.

Callers send the time that they still wait. The longest such time on a route is taken as
the initial one, so a caller with less time left must be retrying.
"""

from collections import deque
from collections.abc import Iterable

from tamaracktray.admission_control.windows import MAX_EVENT_DELAY_S
from tamaracktray.calls import Call

# Time for which a stated wait counts, in seconds: longer than a promised delay with its
# tolerance and the wait in the queue, so that the callers of a shortage are recognised.
VALID_S = 10.0

# Bound on a stated wait as a multiple of the timeout of its route, which applies to one
# try: callers that try more than once may wait for longer.
MAX_TIMEOUTS = 2.0

# Least time between two waits that are kept, in seconds; it bounds the state of a route
# whose callers state ever shorter ones.
SPACING_S = 0.5


class StatedWait:
    """A stated wait in seconds with the time at which it expires."""

    __slots__ = ("deadline", "wait_s")

    def __init__(self, deadline: float, wait_s: float) -> None:
        self.deadline = deadline
        self.wait_s = wait_s


class RouteWaits:
    """The longest wait stated on a route, and shorter ones that expire after it.

    A wait that is not the longest may expire up to ``SPACING_S`` early.
    """

    __slots__ = ("_waits",)

    def __init__(self) -> None:
        self._waits: deque[StatedWait] = deque()

    def __len__(self) -> int:
        return len(self._waits)

    def note(self, now: float, wait_s: float) -> None:
        """Record a stated wait in seconds."""
        self._expire(now)
        while self._waits and self._waits[-1].wait_s <= wait_s:
            self._waits.pop()
        deadline = now + VALID_S
        if self._waits and deadline < self._waits[-1].deadline + SPACING_S:
            return
        self._waits.append(StatedWait(deadline, wait_s))

    def find_longest(self, now: float) -> float:
        """Return the longest wait that has not expired, in seconds, 0 if none."""
        self._expire(now)
        return self._waits[0].wait_s if self._waits else 0.0

    def _expire(self, now: float) -> None:
        """Remove expired waits, and all of them if the clock was set back."""
        latest = now + VALID_S + MAX_EVENT_DELAY_S
        if self._waits and self._waits[-1].deadline > latest:
            self._waits.clear()
        while self._waits and self._waits[0].deadline <= now:
            self._waits.popleft()


class StatedWaits:
    """Waits stated on the routes of one entry.

    Waits beyond the timeout of a route are kept apart, so that callers who state them
    don't make those who keep to it count as retrying.
    """

    __slots__ = ("_waits_by_kind",)

    def __init__(self) -> None:
        self._waits_by_kind: dict[tuple[str, bool], RouteWaits] = {}

    def __len__(self) -> int:
        return len(self._waits_by_kind)

    def estimate_prior_wait(self, now: float, call: Call) -> float:
        """Record a call's stated wait; return the caller's wait in earlier tries.

        Both are in seconds.
        """
        if not call.wait_s:
            return 0.0
        timeout_s = call.route.timeout_s
        is_longer = call.wait_s > timeout_s
        max_wait_s = timeout_s * MAX_TIMEOUTS if is_longer else timeout_s
        wait_s = min(call.wait_s, max_wait_s)
        kind = (call.route.name, is_longer)
        waits = self._waits_by_kind.setdefault(kind, RouteWaits())
        waits.note(now, wait_s)
        # A table that came into force since may have shortened the timeout.
        return min(waits.find_longest(now), max_wait_s) - wait_s

    def retain(self, routes: Iterable[str]) -> None:
        """Forget the waits on all other routes than those with these names."""
        kept = set(routes)
        for kind in list(self._waits_by_kind):
            if kind[0] not in kept:
                del self._waits_by_kind[kind]
