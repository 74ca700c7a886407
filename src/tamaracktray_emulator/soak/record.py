"""What callers and endpoints saw during a soak, and whether promises were kept."""

from collections import Counter
from enum import Enum

import msgspec

from tamaracktray_emulator.soak.plan import Violation

# Statuses that promise that a request was not run and will not be.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class Kind(str, Enum):
    """What may be repeated of a call."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class Run(msgspec.Struct, frozen=True):
    """An endpoint began to work on a request; ``version`` is of its weights."""

    at: float
    endpoint: str
    zone: str
    target: str
    body: bytes
    team: str
    has_key: bool
    version: int = 0


class SoakCall(msgspec.Struct):
    """One request of a caller; ``status`` is 0 without a whole answer.

    ``cut_by`` names the entry that ended the connection without one.
    """

    id: str
    kind: Kind
    entry: str
    target: str
    body: bytes
    team: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    cut_by: str = ""


class SoakRecord:
    """Everything that the checks go by."""

    def __init__(self) -> None:
        self.calls_by_id: dict[str, SoakCall] = {}
        self.runs_by_id: dict[str, list[Run]] = {}
        self.checked: Counter[str] = Counter()
        self.violations: list[Violation] = []

    def note_run(self, call_id: str, run: Run) -> None:
        """Take in that an endpoint runs a request, and check what must always hold."""
        runs = self.runs_by_id.setdefault(call_id, [])
        runs.append(run)
        call = self.calls_by_id.get(call_id)
        self.check("no request but the callers'", call is not None, run.at, call_id)
        if call is None:
            return
        is_same = (run.target, run.body) == (call.target, call.body)
        self.check("request unchanged", is_same, run.at, call_id)
        is_own = run.team == call.team and not run.has_key
        self.check("team named, key withheld", is_own, run.at, call_id)
        is_first = len(runs) == 1 or call.kind is not Kind.UNSAFE
        self.check("at most once", is_first, run.at, call_id)
        refused = call.status in NOT_RUN_STATUSES
        self.check("not run is true", not refused, run.at, f"{call_id} ran later")
        endpoints = {item.endpoint for item in runs}
        self.check("attempts are bounded", len(endpoints) <= 2, run.at, call_id)

    def note_answer(self, call: SoakCall) -> None:
        """Check a final answer against the runs so far."""
        if call.status in NOT_RUN_STATUSES:
            has_run = bool(self.runs_by_id.get(call.id))
            detail = f"{call.id}: {call.status} after a run"
            self.check("not run is true", not has_run, call.ended_at, detail)

    def check(self, promise: str, holds: bool, at: float, detail: str) -> None:
        """Count a check, and keep it if the promise was not kept."""
        self.checked[promise] += 1
        if not holds:
            self.violations.append(Violation(promise, round(at, 3), detail))
