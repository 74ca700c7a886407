"""Queue of calls that wait for capacity at an endpoint.

A call waits only for a fraction of its latency objective: one that starts too late
would take capacity from a call that could still start in time.
"""

from tamaracktray.calls import Call, Rank

# Longest wait as a share of the latency objective, and in seconds for routes without
# an objective.
MAX_WAIT_SHARE = 0.25
DEFAULT_WAIT_S = 0.2

# Time in which a broken stream must find another endpoint, in seconds; callers give up
# on a stream after two seconds without data.
RESUME_WAIT_S = 0.7

# Longest wait of a retrying caller that may queue after its objective, in seconds; long
# enough for the next places to come up if several callers retry at the same time.
RETURN_WAIT_S = 1.0

# Queue limit of one process; each call takes a few kilobytes and an open connection.
MAX_WAITING = 200

SortKey = tuple[bool, bool, Rank, bool, bool, float]


class QueuedCall:
    """A queued call with the deadline of its wait and its sort key."""

    __slots__ = ("call", "deadline", "sort_key")

    def __init__(self, call: Call, deadline: float, sort_key: SortKey) -> None:
        self.call = call
        self.deadline = deadline
        self.sort_key = sort_key


class WaitQueue:
    """Priority queue of the calls in one process that wait for capacity.

    The order is: broken streams, ranks below their floor, rank, retrying callers by
    their total waiting time, calls of an underserved size, and lowest cost in endpoint
    time. Under overload, cheap calls first means that most callers are served in time.
    """

    __slots__ = ("_by_id", "_displaced")

    def __init__(self) -> None:
        self._by_id: dict[str, QueuedCall] = {}
        self._displaced: Call | None = None

    def __len__(self) -> int:
        return len(self._by_id)

    def __contains__(self, call_id: str) -> bool:
        return call_id in self._by_id

    def push(
        self,
        now: float,
        call: Call,
        *,
        cost: float,
        start_s: float = 0.0,
        prior_wait_s: float = 0.0,
        is_underserved: bool = False,
        is_below_floor: bool = False,
        is_resumed: bool = False,
        is_returning: bool = False,
    ) -> bool:
        """Add a call; return whether it was accepted.

        ``start_s`` is the expected time from sending the call to the start of its
        answer, and ``prior_wait_s`` the time that the caller waited in earlier tries,
        both in seconds. A call that ``is_returning`` may wait although its objective
        has passed. In a full queue the call displaces a less urgent one, if there is
        one; see ``take_displaced``.
        """
        order = cost
        if is_resumed:
            wait_end = now + RESUME_WAIT_S
        elif is_returning:
            wait_end = call.arrived + RETURN_WAIT_S
            order = call.arrived - prior_wait_s
        else:
            wait_end = _find_latest_start(call, start_s, prior_wait_s)
        deadline = min(wait_end, call.deadline)
        if deadline <= now:
            return False
        if len(self._by_id) >= MAX_WAITING and not self._displace_for(call):
            return False
        sort_key = (
            not is_resumed,
            not is_below_floor,
            call.rank,
            is_resumed or not is_returning,
            not is_underserved,
            order,
        )
        self._by_id[call.id] = QueuedCall(call, deadline, sort_key)
        return True

    def _displace_for(self, call: Call) -> bool:
        """Remove the last of the less urgent calls that wait for the same service.

        Broken streams and calls below their rank's floor keep their places.
        """
        candidates = [
            queued
            for queued in self._by_id.values()
            if queued.call.services[0] == call.services[0]
            and queued.call.rank > call.rank
            and queued.sort_key[:2] == (True, True)
        ]
        if not candidates:
            return False
        last = max(candidates, key=_get_position)
        del self._by_id[last.call.id]
        self._displaced = last.call
        return True

    def take_displaced(self) -> Call | None:
        """Return the call that the last one added has displaced, and forget it."""
        displaced, self._displaced = self._displaced, None
        return displaced

    def replace(self, call: Call) -> None:
        """Replace a call if it is queued; its place and its deadline stay."""
        queued = self._by_id.get(call.id)
        if queued is not None:
            queued.call = call

    def remove(self, call_id: str) -> None:
        """Remove a call if it is queued."""
        self._by_id.pop(call_id, None)

    def has_more_urgent(self, call: Call) -> bool:
        """Return whether a more urgent call waits for the same service."""
        return any(
            queued.call.rank < call.rank and queued.call.services[0] == call.services[0]
            for queued in self._by_id.values()
        )

    def list_ordered(self) -> list[Call]:
        """Return the queued calls in the order of service."""
        ordered = sorted(self._by_id.values(), key=_get_position)
        return [waiting.call for waiting in ordered]

    def remove_expired(self, now: float) -> list[Call]:
        """Remove and return the calls whose wait has reached its deadline."""
        expired = [item.call for item in self._by_id.values() if item.deadline <= now]
        for call in expired:
            del self._by_id[call.id]
        return expired


def _get_position(queued: QueuedCall) -> tuple[SortKey, float]:
    return (queued.sort_key, queued.call.arrived)


def _find_latest_start(call: Call, start_s: float, prior_wait_s: float) -> float:
    """Return the latest time to send a call that can still meet its objective."""
    objective_s = call.route.target_latency_s
    if not objective_s:
        return call.arrived + DEFAULT_WAIT_S
    wait_s = min(objective_s - start_s, objective_s * MAX_WAIT_SHARE)
    return call.arrived - prior_wait_s + wait_s
