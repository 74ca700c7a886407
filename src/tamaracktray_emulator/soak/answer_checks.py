"""Checks that every accepted request gets an answer."""

from tamaracktray_emulator.soak.binding_checks import (
    CONTACT_S,
    STORE_SUBJECTS,
    BindingLog,
)
from tamaracktray_emulator.soak.fault_log import FaultLog
from tamaracktray_emulator.soak.record import SoakCall, SoakRecord

PROMISE = "an accepted request gets an answer"

# Time after the last byte of a request by which an entry has read it, in seconds.
READ_S = 0.2

# Share of a call's time after which a change may end it.
LATE_SHARE = 0.7

# Time by which the log of a fault may be later than its effect, in seconds.
LOG_DELAY_S = 0.1


class AnswerChecker:
    """Checks all calls of a soak once it is over.

    Only these excuse the end of a connection: a start or a fault of the call's entry,
    and faults of the store and of the endpoints that the call has reached. Silences and
    planned operations do not. ``timeout_s`` is the shortest timeout of any call.
    """

    def __init__(
        self,
        record: SoakRecord,
        fault_log: FaultLog,
        binding_log: BindingLog,
        timeout_s: float,
    ) -> None:
        self._record = record
        self._fault_log = fault_log
        self._log = binding_log
        self._late_s = LATE_SHARE * timeout_s
        self._endpoints_by_id: dict[str, set[str]] = {}
        for arrival in record.arrivals:
            if arrival.is_addressed:
                endpoints = self._endpoints_by_id.setdefault(arrival.call_id, set())
                endpoints.add(arrival.endpoint)

    def check(self) -> None:
        """Check every call whose end is recorded."""
        for call in self._record.calls_by_id.values():
            if not call.ended_at:
                continue
            is_lost = self._record.is_cut(call, excuses_crash=True)
            holds = not (is_lost and self._is_accepted(call)) or self._is_excused(call)
            endpoints = ", ".join(sorted(self._endpoints_by_id.get(call.id, ())))
            detail = (
                f"{call.kind.value} {call.id} by {call.entry} at {endpoints or 'none'} "
                f"cut after {call.ended_at - call.sent_at:.2f} s"
            )
            self._record.check(PROMISE, holds, call.ended_at, detail)

    def _is_accepted(self, call: SoakCall) -> bool:
        if call.id in self._endpoints_by_id:
            return True
        stalled_s = sum(
            max(min(end, call.ended_at) - max(start, call.written_at), 0.0)
            for start, end in self._record.stalls
        )
        return call.ended_at - call.written_at - stalled_s > READ_S

    def _is_excused(self, call: SoakCall) -> bool:
        is_late = call.ended_at - call.sent_at >= self._late_s
        if is_late or call.id in self._record.dropped_ids:
            return True
        run = self._log.find_run(call.entry, call.sent_at)
        if run is None or call.sent_at - run.started_at < CONTACT_S:
            return True
        end = call.ended_at + LOG_DELAY_S
        for period in self._fault_log.periods:
            is_own = period.names(call.entry) or period.name.endswith(STORE_SUBJECTS)
            if is_own and period.overlaps(call.sent_at - CONTACT_S, end):
                return True
            if not period.overlaps(call.sent_at, end):
                continue
            for endpoint in self._endpoints_by_id.get(call.id, ()):
                path = f"path to {endpoint.partition('.')[0]}"
                if period.names(endpoint) or period.names(path):
                    return True
        return False
