"""Capacity of an endpoint: a concurrency window and a short fair queue.

The window has two states. A cold endpoint gets at most ``cold_limit`` concurrent
requests. After several healthy answers in a row it counts as warm and the window grows.
A latency jump, a failure or the endpoint's own report marks it cold again at once.
In both states, at most ``cold_limit`` requests are unproven: they await their first
byte, or it came so late that the endpoint may be cold. An answer only shows that the
endpoint was warm when the request arrived, so only this bound protects a warm endpoint
that turns cold without warning: even before the change is detected, it receives no more
new requests than the cold limit.

Answers of an endpoint that was never warm can't tell a cold one from a slow one. A
started endpoint is therefore assumed to be cold for ``cold_s`` unless it reports
otherwise.
"""

from collections import deque

import msgspec

from tamaracktray.events import CallerRequest
from tamaracktray.types import Priority

GROWTH_PER_ANSWER = 0.5
SHRINK_FACTOR = 0.8
BASELINE_WEIGHT = 0.1
OVERLOAD_FACTOR = 2.0


class WindowSettings(msgspec.Struct, frozen=True):
    """Bounds of a window.

    Limits are in requests, times in seconds. ``target_s`` is the longest time to the
    first byte of a healthy answer. A time to the first byte above ``jump_factor`` times
    the baseline is a latency jump. ``warm_proofs`` is the number of healthy answers in
    a row after which a cold endpoint counts as warm. ``baseline_ttl_s`` is how long
    the baseline of the last warm period still applies to a cold endpoint. ``cold_s`` is
    the longest time for which a started endpoint may be cold.
    """

    cold_limit: int = 2
    max_limit: int = 32
    target_s: float = 1.3
    jump_factor: float = 4.0
    warm_proofs: int = 8
    cold_s: float = 3.0
    baseline_ttl_s: float = 60.0


class Window:
    """Concurrency window of one endpoint."""

    __slots__ = (
        "_baseline_deadline",
        "_baseline_s",
        "_cold_deadline",
        "_healthy_answers",
        "_settings",
        "_shrink_deadline",
        "_size",
        "is_warm",
    )

    def __init__(self, settings: WindowSettings) -> None:
        self._settings = settings
        self._size = float(settings.cold_limit)
        self._baseline_s = 0.0
        self._baseline_deadline = 0.0
        self._cold_deadline = 0.0
        self._shrink_deadline = 0.0
        self._healthy_answers = 0
        self.is_warm = False

    @property
    def size(self) -> int:
        """Return the maximum number of concurrent requests."""
        return int(self._size)

    def has_capacity(self, running: int, unproven: int) -> bool:
        """Return whether another request may start.

        ``running`` counts all requests at the endpoint, ``unproven`` those of them that
        haven't shown that the endpoint is warm.
        """
        return running < self.size and unproven < self._settings.cold_limit

    def is_proof(self, latency_s: float) -> bool:
        """Return whether a time to the first byte shows that the endpoint is warm."""
        return not self._baseline_s or latency_s <= OVERLOAD_FACTOR * self._baseline_s

    def note_first_byte(self, now: float, latency_s: float, running: int) -> None:
        """Update the window with the time to the first byte of one answer."""
        if self.is_latency_jump(now, latency_s):
            self.mark_cold(now)
            return
        if not self.is_warm:
            self._count_healthy_answer(now, latency_s)
            return
        if latency_s > OVERLOAD_FACTOR * self._baseline_s:
            self._shrink(now, latency_s)
            return
        self._baseline_s += BASELINE_WEIGHT * (latency_s - self._baseline_s)
        if running >= self.size - 1:
            grown = self._size + GROWTH_PER_ANSWER
            self._size = min(grown, float(self._settings.max_limit))

    def is_latency_jump(self, now: float, latency_s: float) -> bool:
        """Return whether a time to the first byte indicates a cold endpoint."""
        if latency_s > self._settings.target_s:
            return True
        if not self._baseline_s:
            return False
        if not self.is_warm and now >= self._baseline_deadline:
            return False
        return latency_s > self._settings.jump_factor * self._baseline_s

    def mark_cold(self, now: float) -> None:
        """Mark the endpoint cold and reset the window to the cold limit."""
        if self.is_warm:
            self._baseline_deadline = now + self._settings.baseline_ttl_s
        self.is_warm = False
        self._healthy_answers = 0
        self._size = float(self._settings.cold_limit)

    def reset(self, now: float) -> None:
        """Assume that the endpoint is cold and discard the latency baseline."""
        self._assume_cold(now)
        self._baseline_s = 0.0

    def note_report(self, now: float, *, is_cold: bool | None) -> None:
        """Apply the endpoint's own report, ``None`` if it does not say."""
        if is_cold:
            self._assume_cold(now)
        elif is_cold is not None:
            self._cold_deadline = 0.0

    def _assume_cold(self, now: float) -> None:
        self.mark_cold(now)
        self._cold_deadline = now + self._settings.cold_s

    def _count_healthy_answer(self, now: float, latency_s: float) -> None:
        if now < self._cold_deadline:
            return
        if now < self._baseline_deadline and not self.is_proof(latency_s):
            self._healthy_answers = 0
            return
        self._healthy_answers += 1
        if self._healthy_answers < self._settings.warm_proofs:
            return
        self.is_warm = True
        if not self._baseline_s or now >= self._baseline_deadline:
            self._baseline_s = latency_s

    def _shrink(self, now: float, latency_s: float) -> None:
        # Shrinks once per round trip: the requests of other answers in this period were
        # sent under the old window.
        if now < self._shrink_deadline:
            return
        self._shrink_deadline = now + latency_s
        floor = float(self._settings.cold_limit)
        self._size = max(self._size * SHRINK_FACTOR, floor)


class FairQueue:
    """Wait queue served by priority and then evenly between teams.

    Each team has a virtual service counter. The team with the lowest counter is served
    next. A team that returns after an idle period starts at least at the lowest counter
    of the waiting teams, so it cannot accumulate credit.
    """

    __slots__ = ("_length", "_service_by_team", "_teams_by_priority")

    def __init__(self) -> None:
        self._teams_by_priority: dict[Priority, dict[str, deque[CallerRequest]]] = {
            priority: {} for priority in Priority
        }
        self._service_by_team: dict[str, float] = {}
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def push(self, request: CallerRequest) -> None:
        """Append a request to the queue of its team."""
        if not self._is_waiting(request.team):
            self._raise_service_counter(request.team)
        teams = self._teams_by_priority[request.priority]
        teams.setdefault(request.team, deque()).append(request)
        self._length += 1

    def pop(self) -> CallerRequest | None:
        """Remove and return the request to serve next."""
        for teams in self._teams_by_priority.values():
            if not teams:
                continue
            team = min(teams, key=lambda name: (self._service_by_team[name], name))
            self.charge(team)
            return self._remove(teams, team, from_end=False)
        return None

    def charge(self, team: str) -> None:
        """Count one request of a team as served."""
        self._service_by_team[team] = self._service_by_team.get(team, 0.0) + 1.0

    def count_ahead(self, request: CallerRequest) -> int:
        """Return how many queued requests would be served before a new one."""
        ahead = 0
        for priority, teams in self._teams_by_priority.items():
            if priority > request.priority:
                break
            if priority < request.priority:
                ahead += sum(len(waiting) for waiting in teams.values())
                continue
            own_count = len(teams.get(request.team, ()))
            ahead += sum(min(len(waiting), own_count + 1) for waiting in teams.values())
        return ahead

    def evict_for(self, request: CallerRequest) -> CallerRequest | None:
        """Remove and return a request that a new one may displace, if any.

        A request can be displaced by one of higher priority, or by one of the same
        priority from a team with fewer queued requests. The newest request of the team
        with the longest queue is evicted first.
        """
        for priority in reversed(Priority):
            teams = self._teams_by_priority[priority]
            if not teams:
                continue
            if priority < request.priority:
                return None
            longest = max(teams, key=lambda name: (len(teams[name]), name))
            own_count = len(teams.get(request.team, ()))
            if priority == request.priority and len(teams[longest]) <= own_count + 1:
                return None
            return self._remove(teams, longest, from_end=True)
        return None

    def remove_expired(self, now: float) -> list[CallerRequest]:
        """Remove and return the requests whose deadline has passed."""
        expired: list[CallerRequest] = []
        for teams in self._teams_by_priority.values():
            for team, waiting in list(teams.items()):
                overdue = [request for request in waiting if request.deadline <= now]
                if not overdue:
                    continue
                expired.extend(overdue)
                teams[team] = deque(
                    request for request in waiting if request.deadline > now
                )
                if not teams[team]:
                    del teams[team]
        self._length -= len(expired)
        return expired

    def drain(self) -> list[CallerRequest]:
        """Remove and return all queued requests."""
        drained: list[CallerRequest] = []
        for teams in self._teams_by_priority.values():
            for waiting in teams.values():
                drained.extend(waiting)
            teams.clear()
        self._length = 0
        return drained

    def _remove(
        self, teams: dict[str, deque[CallerRequest]], team: str, *, from_end: bool
    ) -> CallerRequest:
        waiting = teams[team]
        request = waiting.pop() if from_end else waiting.popleft()
        if not waiting:
            del teams[team]
        self._length -= 1
        return request

    def _is_waiting(self, team: str) -> bool:
        return any(team in teams for teams in self._teams_by_priority.values())

    def _raise_service_counter(self, team: str) -> None:
        active = [
            self._service_by_team[name]
            for teams in self._teams_by_priority.values()
            for name in teams
        ]
        floor = min(active) if active else 0.0
        if not active:
            # The queue is empty, so past service no longer affects the order.
            self._service_by_team.clear()
        self._service_by_team[team] = max(self._service_by_team.get(team, 0.0), floor)
