"""Record of the calls and runs of a soak, with checks of the promises."""

import math
from collections import Counter
from collections.abc import Callable
from enum import Enum

import msgspec

from tamaracktray.types import Refusal
from tamaracktray_emulator.soak.plan import Violation

# Statuses which promise that a request was not run and will not be run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class CallKind(str, Enum):
    """Kind of a call, which determines whether it may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class Run(msgspec.Struct, frozen=True):
    """Execution of a request by an endpoint.

    ``at`` is its start in seconds since the start of the soak; ``version`` is the
    version of the endpoint's weights, or 0.
    """

    at: float
    endpoint: str
    zone: str
    target: str
    body: bytes
    team: str
    has_key: bool
    version: int = 0


class Arrival(msgspec.Struct, frozen=True):
    """Arrival of a request; ``is_addressed`` unless meant for another endpoint."""

    at: float
    call_id: str
    endpoint: str
    zone: str
    is_addressed: bool = True


class SoakCall(msgspec.Struct):
    """One request of a caller; ``status`` is 0 without a complete answer.

    ``cut_by`` is the entry that closed the connection before the answer was complete;
    the last byte of the request was sent to it at ``written_at``. ``parts`` are the
    shared parts of its prompt. ``refusal`` is what the answer says if it is an error,
    and ``retry_after`` its header of that name.
    """

    id: str
    kind: CallKind
    entry: str
    target: str
    body: bytes
    team: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    cut_by: str = ""
    parts: tuple[str, ...] = ()
    written_at: float = math.inf
    refusal: Refusal | None = None
    retry_after: str | None = None


class SentAnswer:
    """The answer of one run, as seen by its endpoint.

    ``is_disconnected`` tells whether the entry has closed the connection.
    """

    __slots__ = ("_is_disconnected", "_is_left_at_end", "endpoint")

    def __init__(self, endpoint: str, is_disconnected: Callable[[], bool]) -> None:
        self.endpoint = endpoint
        self._is_disconnected: Callable[[], bool] | None = is_disconnected
        self._is_left_at_end = False

    @property
    def is_open(self) -> bool:
        """Whether the endpoint is still answering and the entry still connected."""
        return self._is_disconnected is not None and not self._is_disconnected()

    @property
    def is_left(self) -> bool:
        """Whether the entry closed the connection before the answer was complete."""
        if self._is_disconnected is None:
            return self._is_left_at_end
        return self._is_disconnected()

    def end(self) -> None:
        """Record that the endpoint has ended its answer."""
        self._is_left_at_end = self.is_left
        self._is_disconnected = None


class SoakRecord:
    """Calls, runs and check results of a soak.

    ``broken_ids`` are the calls whose answer an endpoint may break off, ``crashed_ids``
    those that had their last run at an endpoint as it crashed, or had gone back to it,
    ``dropped_ids`` those that reached one after its crash. A call may reach
    ``max_attempts`` endpoints. During each of ``stalls``, from one time to another, the
    soak itself was held up. ``answers_by_id`` are in the order of their runs.
    """

    def __init__(self, max_attempts: int = 2) -> None:
        self.max_attempts = max_attempts
        self.calls_by_id: dict[str, SoakCall] = {}
        self.arrivals: list[Arrival] = []
        self.runs_by_id: dict[str, list[Run]] = {}
        self.answers_by_id: dict[str, list[SentAnswer]] = {}
        self.broken_ids: set[str] = set()
        self.crashed_ids: set[str] = set()
        self.dropped_ids: set[str] = set()
        self.stalls: list[tuple[float, float]] = []
        self.check_counts: Counter[str] = Counter()
        self.violations: list[Violation] = []

    def note_run(self, call_id: str, run: Run) -> None:
        """Record that an endpoint runs a request and check the invariants."""
        runs = self.runs_by_id.setdefault(call_id, [])
        runs.append(run)
        self.crashed_ids.discard(call_id)
        call = self.calls_by_id.get(call_id)
        self.check("no request but the callers'", call is not None, run.at, call_id)
        if call is None:
            return
        is_same = (run.target, run.body) == (call.target, call.body)
        self.check("request unchanged", is_same, run.at, call_id)
        is_own = run.team == call.team and not run.has_key
        self.check("team named, key withheld", is_own, run.at, call_id)
        is_first = len(runs) == 1 or call.kind is not CallKind.UNSAFE
        self.check("at most once", is_first, run.at, call_id)
        refused = call.status in NOT_RUN_STATUSES
        self.check("not run is true", not refused, run.at, f"{call_id} ran later")
        endpoints = {item.endpoint for item in runs}
        is_bounded = len(endpoints) <= self.max_attempts
        self.check("attempts are bounded", is_bounded, run.at, call_id)

    def note_crash(self, endpoint: str) -> None:
        """Record the calls that lose their answer by the crash of an endpoint."""
        for call_id, runs in self.runs_by_id.items():
            call = self.calls_by_id.get(call_id)
            if call is None or call.ended_at:
                continue
            is_last = runs[-1].endpoint == endpoint
            if is_last or self._has_gone_back(call_id, endpoint):
                self.crashed_ids.add(call_id)

    def _has_gone_back(self, call_id: str, endpoint: str) -> bool:
        """Return whether a call has left all later endpoints for an earlier one.

        An entry that goes back to an answer closes the connections of the others.
        """
        for answer in reversed(self.answers_by_id.get(call_id, [])):
            if answer.is_open:
                return answer.endpoint == endpoint
            if not answer.is_left:
                return False
        return False

    def note_answer(self, call: SoakCall) -> None:
        """Check that a request answered as not run has no run so far."""
        if call.status in NOT_RUN_STATUSES:
            has_run = bool(self.runs_by_id.get(call.id))
            detail = f"{call.id}: {call.status} after a run"
            self.check("not run is true", not has_run, call.ended_at, detail)

    def is_cut(self, call: SoakCall, *, excuses_crash: bool) -> bool:
        """Return whether an entry cut an answer that no endpoint broke off."""
        is_broken = call.id in self.broken_ids
        if excuses_crash:
            is_broken |= call.id in self.crashed_ids
        return bool(call.cut_by) and not is_broken

    def check(self, promise: str, holds: bool, at: float, detail: str) -> None:
        """Count a check and record a violation if the promise does not hold."""
        self.check_counts[promise] += 1
        if not holds:
            self.violations.append(Violation(promise, round(at, 3), detail))
