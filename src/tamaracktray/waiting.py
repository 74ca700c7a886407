"""Calls that wait a moment for room at an endpoint, and the order in which they go.

A call waits only a fraction of its latency objective: one that starts later than its
objective takes room from one that could still start in time.
"""

from tamaracktray.calls import Call

# Longest wait for room as a share of the latency objective, and of a call whose route
# has none, in seconds.
MAX_WAIT_SHARE = 0.25
DEFAULT_WAIT_S = 0.2

# Time in which a stream that broke off must find another endpoint, in seconds; callers
# give a silent stream up after two.
RESUME_WAIT_S = 0.7

# Most calls that wait in one process; each is a few kilobytes and a held connection.
MAX_WAITING = 200


class WaitingCall:
    """A call with the time at which it must have found room and its place in line."""

    __slots__ = ("call", "deadline", "order")

    def __init__(
        self, call: Call, deadline: float, order: tuple[bool, int, bool, float]
    ) -> None:
        self.call = call
        self.deadline = deadline
        self.order = order


class WaitingLine:
    """The calls of one process that wait for room.

    Streams that broke off go first, then more urgent calls, then those of a size that
    is served too seldom, then the ones that take up least of an endpoint's time: while
    not all can be served, this serves most callers in time.
    """

    __slots__ = ("_by_id",)

    def __init__(self) -> None:
        self._by_id: dict[str, WaitingCall] = {}

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
        spent_s: float = 0.0,
        is_behind: bool = False,
        is_resumed: bool = False,
    ) -> bool:
        """Let a call wait; return whether it may.

        ``start_s`` is the time that its answer will need to begin once it is sent, and
        ``spent_s`` what its caller has waited in earlier tries.
        """
        if len(self._by_id) >= MAX_WAITING:
            return False
        end = (
            now + RESUME_WAIT_S if is_resumed else _find_latest(call, start_s, spent_s)
        )
        deadline = min(end, call.deadline)
        if deadline <= now:
            return False
        order = (not is_resumed, call.priority, not is_behind, cost)
        self._by_id[call.id] = WaitingCall(call, deadline, order)
        return True

    def remove(self, call_id: str) -> None:
        """Forget a call."""
        self._by_id.pop(call_id, None)

    def list_ordered(self) -> list[Call]:
        """Return the waiting calls, the one to serve first at the front."""
        ordered = sorted(
            self._by_id.values(),
            key=lambda waiting: (waiting.order, waiting.call.arrived),
        )
        return [waiting.call for waiting in ordered]

    def remove_expired(self, now: float) -> list[Call]:
        """Remove and return the calls that have waited as long as they may."""
        expired = [item.call for item in self._by_id.values() if item.deadline <= now]
        for call in expired:
            del self._by_id[call.id]
        return expired


def _find_latest(call: Call, start_s: float, spent_s: float) -> float:
    """Return when a call must be sent so that it can meet its objective."""
    objective_s = call.route.target_latency_s
    if not objective_s:
        return call.arrived + DEFAULT_WAIT_S
    wait_s = min(objective_s - start_s, objective_s * MAX_WAIT_SHARE)
    return call.arrived - spent_s + wait_s
