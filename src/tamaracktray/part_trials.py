"""Single requests that test whether quarantined prompt parts are fatal.

A quarantine of a part that most prompts hold refuses the requests that could acquit it.
Where a part has been answered before, or most callers are refused for it, one request
passes as a trial some time after the last crash. If its answer goes on, all processes
end the quarantine. If it crashes its endpoint, the next trial waits several times as
long, so that a part that is fatal costs few endpoints.

One process of the fleet makes the trials; the others take over in the order of their
rank, as the first one may get no such requests.
"""

from collections import Counter
from collections.abc import Iterable

# Time from the last crash to the first trial, in seconds, and its factor for each
# further crash: three trials within a minute and a half.
FIRST_TRIAL_S = 1.0
TRIAL_FACTOR = 4.0

# Time that each process gives the one ranked before it to make a trial, in seconds.
TAKEOVER_S = 1.0

# Time after which a trial without a result is repeated, in seconds.
TRIAL_TIMEOUT_S = 2.0

# Share of the calls, of so many at least, that a quarantine must refuse for a trial of
# a part without a known sound answer.
BROAD_SHARE = 0.5
MIN_CALLS = 10

# Calls after which older ones count half.
MAX_CALLS = 200


class PartTrials:
    """Counts refused calls while parts are quarantined, and times the trials."""

    __slots__ = ("_calls", "_refused_by_part", "_retry_deadline_by_part")

    def __init__(self) -> None:
        self._calls = 0
        self._refused_by_part: Counter[str] = Counter()
        self._retry_deadline_by_part: dict[str, float] = {}

    def reset(self) -> None:
        """Forget all calls and trials, as no part is quarantined any more."""
        self._calls = 0
        self._refused_by_part.clear()
        self._retry_deadline_by_part.clear()

    def note_call(self, quarantined: Iterable[str]) -> None:
        """Count a call and the parts for which it is refused."""
        self._calls += 1
        self._refused_by_part.update(list(quarantined))
        if self._calls > MAX_CALLS:
            self._calls //= 2
            for part in list(self._refused_by_part):
                self._refused_by_part[part] //= 2

    def is_broad(self, part: str) -> bool:
        """Return whether most calls are refused for a part."""
        refused = self._refused_by_part[part]
        return self._calls >= MIN_CALLS and refused > BROAD_SHARE * self._calls

    def is_due(
        self, now: float, part: str, last_crash_at: float, extra_crashes: int, rank: int
    ) -> bool:
        """Return whether the process of this rank may test a part now.

        ``extra_crashes`` are the crashes since the part was quarantined.
        """
        if now < self._retry_deadline_by_part.get(part, 0.0):
            return False
        delay_s = FIRST_TRIAL_S * TRIAL_FACTOR**extra_crashes
        return now >= last_crash_at + delay_s + rank * TAKEOVER_S

    def begin(self, now: float, parts: Iterable[str]) -> None:
        """Record that a trial of some parts begins."""
        for part in parts:
            self._retry_deadline_by_part[part] = now + TRIAL_TIMEOUT_S
