"""Counts of a service's calls over a short time, by rank."""

from collections import deque

from tamaracktray.calls import Rank

# Time over which engine time is measured, in seconds: about two durations of a call, so
# that each slot is counted about twice, and short against a burst of traffic.
WINDOW_S = 2.0

# Time after which a part of the window expires, in seconds.
BUCKET_S = 0.1

# Engine time that counts as none, in seconds: what rounding leaves of a rank whose
# calls have all expired. Any call takes far more.
ROUNDING_S = 1e-9


# Longest time by which an event is reduced after newer ones, in seconds; an earlier one
# shows that the clock was set back.
MAX_EVENT_DELAY_S = 0.5

# Least share of the engine time for which calls of a route priority count as traffic of
# their own. Single requests that only probe a route don't.
MIN_PRIORITY_SHARE = 0.02


class Bucket:
    """Engine time offered and started, in seconds, and refusals, from ``begin`` on."""

    __slots__ = ("begin", "offered_s_by_rank", "refused", "started_s_by_rank")

    def __init__(self, begin: float) -> None:
        self.begin = begin
        self.offered_s_by_rank: dict[Rank, float] = {}
        self.started_s_by_rank: dict[Rank, float] = {}
        self.refused = 0


class ServiceWindow:
    """Engine time offered and started, and refusals, of the last ``WINDOW_S``.

    A clock that jumps back empties the window, and one that jumps ahead lets it expire.
    Events may be reduced a little later than others that are newer.
    """

    __slots__ = ("_buckets", "offered_s_by_rank", "refused", "started_s_by_rank")

    def __init__(self) -> None:
        self._buckets: deque[Bucket] = deque()
        self.clear()

    def clear(self) -> None:
        """Forget all measurements."""
        self._buckets.clear()
        self.offered_s_by_rank: dict[Rank, float] = {}
        self.started_s_by_rank: dict[Rank, float] = {}
        self.refused = 0

    @property
    def offered_s(self) -> float:
        """Return the engine time of all calls that arrived, in seconds."""
        return sum(self.offered_s_by_rank.values())

    @property
    def started_s(self) -> float:
        """Return the engine time of all calls that were started, in seconds."""
        return sum(self.started_s_by_rank.values())

    @property
    def has_ranked_routes(self) -> bool:
        """Whether calls of two or more route priorities make up the traffic.

        Priorities of teams alone don't count: few calls have urgent teams, for which
        the order of the queue suffices.
        """
        offered_s_by_priority: dict[int, float] = {}
        for (_, route_priority), offered_s in self.offered_s_by_rank.items():
            known_s = offered_s_by_priority.get(route_priority, 0.0)
            offered_s_by_priority[route_priority] = known_s + offered_s
        least_s = MIN_PRIORITY_SHARE * self.offered_s
        return sum(s > least_s for s in offered_s_by_priority.values()) > 1

    def expire(self, now: float) -> None:
        """Remove what is older than the window."""
        if self._buckets and now < self._buckets[-1].begin - MAX_EVENT_DELAY_S:
            self.clear()
        while self._buckets and self._buckets[0].begin <= now - WINDOW_S:
            oldest = self._buckets.popleft()
            self.refused -= oldest.refused
            _subtract(self.offered_s_by_rank, oldest.offered_s_by_rank)
            _subtract(self.started_s_by_rank, oldest.started_s_by_rank)
        if not self._buckets:
            self.clear()

    def note_offered(self, now: float, rank: Rank, cost_s: float) -> None:
        """Record a call that arrived."""
        bucket = self._open_bucket(now)
        _add(bucket.offered_s_by_rank, rank, cost_s)
        _add(self.offered_s_by_rank, rank, cost_s)

    def note_started(self, now: float, rank: Rank, cost_s: float) -> None:
        """Record a call that was sent to an endpoint."""
        bucket = self._open_bucket(now)
        _add(bucket.started_s_by_rank, rank, cost_s)
        _add(self.started_s_by_rank, rank, cost_s)

    def note_refused(self, now: float) -> None:
        """Record a call that was refused or displaced for lack of slots."""
        self._open_bucket(now).refused += 1
        self.refused += 1

    def _open_bucket(self, now: float) -> Bucket:
        self.expire(now)
        if not self._buckets or now >= self._buckets[-1].begin + BUCKET_S:
            self._buckets.append(Bucket(now))
        return self._buckets[-1]


def _add(amount_by_rank: dict[Rank, float], rank: Rank, amount: float) -> None:
    amount_by_rank[rank] = amount_by_rank.get(rank, 0.0) + amount


def _subtract(
    amount_by_rank: dict[Rank, float], expired_by_rank: dict[Rank, float]
) -> None:
    for rank, amount in expired_by_rank.items():
        remaining = amount_by_rank.get(rank, 0.0) - amount
        if remaining < ROUNDING_S:
            amount_by_rank.pop(rank, None)
            continue
        amount_by_rank[rank] = remaining
