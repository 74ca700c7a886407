"""Retry delays and places for callers that were refused for lack of capacity."""

import math
from collections import deque

from tamaracktray.calls import Call, Rank
from tamaracktray.reentry.early_callers import EarlyCallers
from tamaracktray.reentry.event_window import EventWindow
from tamaracktray.reentry.promises import Promises
from tamaracktray.refusals import (
    BUSY_RETRY_S,
    SCARCE_RETRY_S,
    SCARCE_SPREAD_S,
    spread_retry_delay,
)
from tamaracktray.wait_queue import RETURN_WAIT_S

# Time over which starts and refusals are measured, in seconds.
MEASURED_S = 2.0

# Largest share of the starts that retrying callers may take. New callers can still be
# answered within their objective, which is worth more than a late answer.
MAX_PROMISED_SHARE = 0.25

# Share of these places that is promised. The others cover that the number of retries
# at an entry varies, since callers retry at any entry.
PROMISED_FILL = 0.4

# Promised delays, in seconds and as shares of the time that the caller still waits.
# Entries promise about the same delays, so that each recognises the callers of the
# others. An earlier retry would take its slot from a call that can start in time.
MIN_PROMISED_DELAY_S = 1.2
MAX_PROMISED_DELAY_S = 1.5
MIN_PROMISED_DELAY_SHARE = 1 / 5
MAX_PROMISED_DELAY_SHARE = 1 / 4

# Longest time from the end of a promised delay to the arrival of the retry, in seconds
# and as a share of the caller's whole wait: the first try's time in the queue and the
# ways of both requests. Callers without a promise wait a third of their time and come
# later than this.
LATE_TOLERANCE_S = 0.25
LATE_TOLERANCE_SHARE = 1 / 24

# Tolerance for an early retry in seconds: delays are sent in milliseconds, and callers
# round the time that they still wait.
EARLY_TOLERANCE_S = 0.01

# Time after the last retry delay given for a shortage in which retrying callers may
# queue, in seconds: the longest promised delay with its tolerance, and the longest wait
# in the queue.
ACTIVE_S = 2.75

# Delay before which no room is expected for a caller without a promise, in seconds: the
# time for which the starts are predicted.
UNPROMISED_DELAY_S = 2.0

# Least share of the promised places with which a rank reckons if more urgent ranks ask
# for all of them; it keeps the delays of that rank finite.
MIN_LEFT_SHARE = 0.1


class ServicePlaces:
    """Starts, promises and retrying callers of one service.

    ``expected_by_rank`` is the time at which room is expected for the next caller
    without a promise. ``queued_until`` are the ends of the waits of retrying callers
    that were let into the queue and have not started.
    """

    __slots__ = (
        "active_until",
        "expected_by_rank",
        "promises",
        "queued_until",
        "refusals_by_rank",
        "starts",
        "taken",
    )

    def __init__(self) -> None:
        self.active_until = -math.inf
        self.starts = EventWindow(MEASURED_S)
        self.taken = EventWindow(MEASURED_S)
        self.promises = Promises()
        self.refusals_by_rank: dict[Rank, EventWindow] = {}
        self.expected_by_rank: dict[Rank, float] = {}
        self.queued_until: deque[float] = deque()

    def measure_promised_rate(self, now: float) -> float:
        """Return the places that may be promised per second."""
        return MAX_PROMISED_SHARE * PROMISED_FILL * self.starts.measure_rate(now)

    def measure_urgent_rate(self, now: float, rank: Rank) -> float:
        """Return the recent refusals of more urgent ranks per second."""
        return sum(
            refusals.measure_rate(now)
            for other, refusals in self.refusals_by_rank.items()
            if other < rank
        )

    def count_places(self, now: float) -> int:
        """Return the places that retrying callers may take now."""
        allowed = math.floor(MAX_PROMISED_SHARE * self.starts.count(now))
        return max(allowed - self.taken.count(now), 0)

    def count_queued(self, now: float) -> int:
        """Return the retrying callers in the queue."""
        while self.queued_until and self.queued_until[0] <= now:
            self.queued_until.popleft()
        return len(self.queued_until)


class Reentry:
    """Decides when refused callers retry and which of them may wait for a place."""

    __slots__ = ("_early", "_places_by_service")

    def __init__(self) -> None:
        self._places_by_service: dict[str, ServicePlaces] = {}
        self._early = EarlyCallers()

    def choose_retry_delay(
        self, now: float, call: Call, rank: Rank, prior_wait_s: float = 0.0
    ) -> float:
        """Return the retry delay of a caller refused for lack of capacity, in seconds.

        Callers that were refused before get no promise: they seldom retry again, and
        those that retry often would collect promises.
        """
        places = self._find_places(call.services[0])
        rate = places.measure_promised_rate(now)
        if rate * MAX_PROMISED_DELAY_S < 1.0:
            return spread_retry_delay(now, call, SCARCE_RETRY_S, SCARCE_SPREAD_S)
        left_rate = rate - places.measure_urgent_rate(now, rank)
        is_first = prior_wait_s < BUSY_RETRY_S
        if is_first:
            refusals = places.refusals_by_rank.setdefault(rank, EventWindow(MEASURED_S))
            refusals.note(now)
        places.active_until = now + ACTIVE_S
        remaining_s = _measure_remaining(now, call)
        if is_first and left_rate > 0.0:
            shortest_s, longest_s = _bound_promise(remaining_s)
            due_at = places.promises.find_due_time(now + shortest_s, now, left_rate)
            if due_at <= now + longest_s:
                places.promises.add(due_at)
                return due_at - now
        left_rate = max(left_rate, rate * MIN_LEFT_SHARE)
        return _expect_room(places, now, rank, left_rate, remaining_s)

    def may_queue(self, now: float, call: Call, prior_wait_s: float) -> bool:
        """Return whether a retrying caller may wait although its objective has passed.

        Only callers that have waited as long as a promise says may do so, unless they
        also retried before that.
        """
        places = self._find_places(call.services[0])
        if now >= places.active_until or prior_wait_s < BUSY_RETRY_S:
            return False
        if _is_early(call, prior_wait_s):
            self._early.note(now, call.fingerprint)
            return False
        if _is_late(call, prior_wait_s) or self._early.is_known(now, call.fingerprint):
            return False
        coming = MAX_PROMISED_SHARE * places.starts.measure_rate(now) * RETURN_WAIT_S
        if places.count_places(now) + coming - places.count_queued(now) < 1.0:
            return False
        places.queued_until.append(now + RETURN_WAIT_S)
        return True

    def take_place(self, now: float, service: str) -> bool:
        """Take a place for a retrying caller; return whether one was left."""
        places = self._find_places(service)
        if not places.count_places(now):
            return False
        places.taken.note(now)
        places.promises.take(now)
        return True

    def note_started(self, now: float, call: Call, *, is_returning: bool) -> None:
        """Record that a call was sent; a retrying one takes a place if one is left."""
        places = self._find_places(call.services[0])
        places.starts.note(now)
        if not is_returning:
            return
        if places.count_queued(now):
            places.queued_until.popleft()
        self.take_place(now, call.services[0])

    def count_places(self, now: float, service: str) -> int:
        """Return the places that retrying callers may take now."""
        return self._find_places(service).count_places(now)

    def count_promised(self, now: float, service: str) -> int:
        """Return the number of promises that have not expired."""
        return self._find_places(service).promises.count(now)

    def _find_places(self, service: str) -> ServicePlaces:
        return self._places_by_service.setdefault(service, ServicePlaces())


def _measure_remaining(now: float, call: Call) -> float:
    """Return the time that the caller still waits, in seconds.

    A stated wait beyond the route's timeout counts as that timeout. Otherwise callers
    that state any more would defer the time at which others are told to retry.
    """
    wait_s = min(call.wait_s, call.route.timeout_s)
    deadline = call.arrived + wait_s if wait_s else call.deadline
    return max(deadline - now, 0.0)


def _bound_promise(remaining_s: float) -> tuple[float, float]:
    """Return the shortest and the longest delay to promise, in seconds."""
    return (
        min(MIN_PROMISED_DELAY_S, remaining_s * MIN_PROMISED_DELAY_SHARE),
        min(MAX_PROMISED_DELAY_S, remaining_s * MAX_PROMISED_DELAY_SHARE),
    )


def _is_early(call: Call, prior_wait_s: float) -> bool:
    """Return whether a caller has waited less than any promise says."""
    shortest_s, _ = _bound_promise(prior_wait_s + call.wait_s)
    return prior_wait_s < shortest_s - EARLY_TOLERANCE_S


def _is_late(call: Call, prior_wait_s: float) -> bool:
    """Return whether a caller has waited longer than any promise says."""
    whole_s = prior_wait_s + call.wait_s
    _, longest_s = _bound_promise(whole_s)
    tolerance_s = min(LATE_TOLERANCE_S, whole_s * LATE_TOLERANCE_SHARE)
    return prior_wait_s > longest_s + tolerance_s


def _expect_room(
    places: ServicePlaces, now: float, rank: Rank, rate: float, remaining_s: float
) -> float:
    """Return the time until room is expected for a caller without a promise.

    A caller that will have given up by then leaves the room to the next one.
    """
    earliest = now + UNPROMISED_DELAY_S
    expected_at = max(places.expected_by_rank.get(rank, earliest), earliest)
    if expected_at - now <= remaining_s:
        places.expected_by_rank[rank] = expected_at + 1.0 / rate
    return expected_at - now
