"""Checks what callers are told and how ranks are served in overloads."""

import math
from collections import Counter

import msgspec

from tamaracktray.headers import read_decimal
from tamaracktray.types import ErrorCode, RunState
from tamaracktray_emulator.soak.binding_checks import CONTACT_S
from tamaracktray_emulator.soak.fault_log import FaultLog
from tamaracktray_emulator.soak.fleet import RANKED_ROUTES
from tamaracktray_emulator.soak.record import SoakCall, SoakRecord

NOT_RUN_PROMISE = "refusal marked as not run is true"
RANK_PROMISE = "every rank gets answers"
RETRY_PROMISE = "lack of room names a time"

# Codes of refusals for lack of room, and the status of those that state no code.
ROOM_CODES = (ErrorCode.OVERLOADED, ErrorCode.NO_ENDPOINT)
ROOM_STATUS = 503


class OverloadPeriod(msgspec.Struct):
    """Time in which callers send more than the engines can take.

    It ``is_disturbed`` if no sound engine could be reached at some time, for a reason
    that is not in the fault log.
    """

    start: float
    end: float = math.inf
    is_disturbed: bool = False


class OverloadChecker:
    """Checks the calls of a soak in which the engines are overloaded."""

    def __init__(self, record: SoakRecord, fault_log: FaultLog) -> None:
        self._record = record
        self._fault_log = fault_log

    def check_period(self, period: OverloadPeriod) -> None:
        """Check that calls of every rank were answered, unless there was a fault."""
        is_quiet = self._fault_log.is_fault_free(period.start - CONTACT_S, period.end)
        if period.is_disturbed or not is_quiet:
            return
        sent: Counter[str] = Counter()
        served: Counter[str] = Counter()
        for call in self._record.calls_by_id.values():
            if not period.start <= call.sent_at < period.end:
                continue
            route = call.target.split("/")[1]
            sent[route] += 1
            served[route] += 200 <= call.status < 300
        for route in RANKED_ROUTES:
            detail = f"{served[route]} of {sent[route]} calls of {route} answered"
            self._record.check(RANK_PROMISE, served[route] > 0, period.end, detail)

    def check_refusals(self) -> None:
        """Check all refusals once the soak is over."""
        for call in self._record.calls_by_id.values():
            if not call.ended_at or not call.status or 200 <= call.status < 300:
                continue
            refusal = call.refusal
            if refusal is not None and refusal.run is RunState.NOT_RUN:
                runs = self._record.runs_by_id.get(call.id, [])
                detail = f"{call.id}: {call.status} and {len(runs)} runs"
                holds = not runs
                self._record.check(NOT_RUN_PROMISE, holds, call.ended_at, detail)
            if _is_lack_of_room(call):
                retry_after_s = read_decimal(call.retry_after)
                holds = retry_after_s is not None and 0 <= retry_after_s < math.inf
                detail = f"{call.id}: {call.status} with {call.retry_after!r}"
                self._record.check(RETRY_PROMISE, holds, call.ended_at, detail)


def _is_lack_of_room(call: SoakCall) -> bool:
    if call.refusal is None:
        return call.status == ROOM_STATUS
    return call.refusal.code in ROOM_CODES
