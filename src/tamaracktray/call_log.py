"""Log lines and metrics about callers' requests, with one line for each decision.

Lines about a request carry its id, so that an operator can trace a failed request to
the decision that failed it and to the state on which that decision was based.
"""

import time

import msgspec
import structlog

from tamaracktray.calls import Call, CallAttemptEnded, RefuseCall, SendCall
from tamaracktray.endpoint_limits import LogLimit
from tamaracktray.exceptions import PlatformError
from tamaracktray.metrics import Metrics
from tamaracktray.notices import LogNotice
from tamaracktray.quarantine_records import RecordQuarantine
from tamaracktray.snapshots import Collection, SnapshotCache
from tamaracktray.spillover.policy import LogSpillover
from tamaracktray.suspicions import LogFinding
from tamaracktray.types import Refusal

TIME_DECIMALS = 4

# Logged prefix of a fingerprint, which identifies repeats of the same request.
FINGERPRINT_DIGITS = 12


class CallLog:
    """Writes the request log and metrics of one entry."""

    __slots__ = ("_snapshot_cache", "_log", "_metrics")

    def __init__(self, snapshot_cache: SnapshotCache, metrics: Metrics) -> None:
        self._snapshot_cache = snapshot_cache
        self._log = structlog.get_logger()
        self._metrics = metrics

    def note_rejected(self, request_id: str, refusal: Refusal, routing: int) -> None:
        """Log a request refused for lack of a route, a valid key or a configuration.

        ``routing`` is the version of the routing table in use, or 0 if there is none.
        """
        self._metrics.count("calls_refused", code=refusal.code.value)
        self._write(
            "refused",
            request_id,
            status=refusal.status,
            code=refusal.code.value,
            run=refusal.run.value,
            retry_after_s=refusal.retry_after_s,
            routing=routing,
        )

    def note_arrived(self, call: Call) -> None:
        """Count a call."""
        self._metrics.count("calls", kind=call.route.kind.value)

    def note_attempt(self, call: Call, decision: SendCall, routing: int) -> None:
        """Log the endpoint to which a call is sent, and its known load and version."""
        now = time.monotonic()
        self._metrics.count("attempts", number=str(decision.attempt))
        if decision.is_trial:
            self._metrics.count("trials")
        if decision.is_spilled:
            self._metrics.count("calls_spilled")
        self._metrics.time("call_wait", now - call.arrived)
        snapshots = self._snapshot_cache.by_collection
        self._write(
            "attempt",
            call.request_id,
            number=decision.attempt,
            route=call.route.name,
            team=decision.team,
            fingerprint=call.fingerprint[:FINGERPRINT_DIGITS],
            endpoint=decision.endpoint_id,
            running=decision.running,
            version=decision.version,
            held_version=decision.held_version,
            version_floor=decision.version_floor,
            is_trial=decision.is_trial,
            after_event=decision.last_event_id,
            waited_s=round(now - call.arrived, TIME_DECIMALS),
            left_s=round(call.deadline - now, TIME_DECIMALS),
            routing=routing,
            endpoints_revision=snapshots[Collection.ENDPOINTS].revision,
        )

    def note_first_part(self, call: Call) -> None:
        """Measure the time to the first part of an answer."""
        elapsed_s = time.monotonic() - call.arrived
        self._metrics.time("first_part", elapsed_s, kind=call.route.kind.value)

    def note_attempt_end(self, call: Call, ended: CallAttemptEnded) -> None:
        """Log how an attempt ended."""
        elapsed_s = ended.now - call.arrived
        answer_end = "" if ended.answer_end is None else ended.answer_end.value
        self._metrics.count("attempt_ends", phase=ended.phase.value)
        self._metrics.count("answer_ends", end=answer_end or "none")
        if ended.phase.is_answer:
            self._metrics.time("answer", elapsed_s, kind=call.route.kind.value)
        self._write(
            "attempt ended",
            call.request_id,
            fingerprint=call.fingerprint[:FINGERPRINT_DIGITS],
            endpoint=ended.endpoint_id,
            phase=ended.phase.value,
            is_reset=ended.is_reset,
            status=ended.status,
            after_s=round(elapsed_s, TIME_DECIMALS),
            last_event=ended.last_event_id,
            answer_end=answer_end,
            detail=ended.detail,
        )

    def note_abandoned(self, call: Call, reason: str) -> None:
        """Log that an attempt is abandoned."""
        self._metrics.count("attempts_given_up")
        self._write("attempt given up", call.request_id, reason=reason)

    def note_resumed(
        self, call: Call, endpoint_id: str, reason: str, age_s: float = 0.0
    ) -> None:
        """Log that a call goes back to an attempt that it had left.

        ``age_s`` is the time since the attempt was sent, in seconds, 0 if unknown.
        """
        self._metrics.count("attempts_resumed")
        self._write(
            "attempt resumed",
            call.request_id,
            endpoint=endpoint_id,
            reason=reason,
            age_s=round(age_s, TIME_DECIMALS),
        )

    def note_refused(self, call: Call, decision: RefuseCall, routing: int) -> None:
        """Log a refusal and the state on which it was based."""
        refusal = decision.refusal
        snapshots = self._snapshot_cache.by_collection
        self._metrics.count("calls_refused", code=refusal.code.value)
        if decision.is_shed:
            rank = "-".join(str(priority) for priority in call.rank)
            self._metrics.count("calls_shed", rank=rank)
        self._write(
            "refused",
            call.request_id,
            status=refusal.status,
            code=refusal.code.value,
            run=refusal.run.value,
            retry_after_s=refusal.retry_after_s,
            waited_s=round(time.monotonic() - call.arrived, TIME_DECIMALS),
            route=call.route.name,
            rank=call.rank,
            is_shed=decision.is_shed,
            fingerprint=call.fingerprint[:FINGERPRINT_DIGITS],
            routing=routing,
            endpoints_revision=snapshots[Collection.ENDPOINTS].revision,
            zones_revision=snapshots[Collection.EVACUATIONS].revision,
            **msgspec.to_builtins(decision.view),
        )

    def note_deadline_passed(self, call: Call, refusal: Refusal | None) -> None:
        """Log that a call passed its deadline.

        ``refusal`` is ``None`` if the answer had begun and its stream was cut.
        """
        self._metrics.count("calls_late")
        self._write(
            "time over",
            call.request_id,
            status=0 if refusal is None else refusal.status,
            run="run" if refusal is None else refusal.run.value,
            waited_s=round(time.monotonic() - call.arrived, TIME_DECIMALS),
        )

    def note_failure_relayed(self, call: Call, status: int) -> None:
        """Log that an endpoint's error response is relayed to the caller."""
        self._metrics.count("failures_passed_on")
        self._write("failure passed on", call.request_id, status=status)

    def note_notice(self, notice: LogNotice) -> None:
        """Log a notice that an endpoint sent with an answer."""
        self._metrics.count("endpoint_notices", leaving=str(notice.is_leaving).lower())
        write = self._log.warning if notice.is_bounded else self._log.info
        write(
            "endpoint notice",
            endpoint=notice.endpoint_id,
            is_leaving=notice.is_leaving,
            pause_s=notice.pause_s,
            asked_s=notice.asked_s,
            endpoints_revision=self._snapshot_cache.by_collection[
                Collection.ENDPOINTS
            ].revision,
            request_line=True,
        )

    def note_limit(self, effect: LogLimit) -> None:
        """Log that an endpoint's limit came into force, changed or ended."""
        self._metrics.count("endpoint_limits", valid=str(effect.is_valid).lower())
        write = self._log.info if effect.is_valid else self._log.warning
        write(
            "endpoint limit" if effect.rate_per_s is not None else "endpoint unlimited",
            endpoint=effect.endpoint_id,
            rate_per_s=effect.rate_per_s,
            share_per_s=round(effect.share_per_s, TIME_DECIMALS),
            recent=effect.recent,
            is_valid=effect.is_valid,
            request_line=True,
        )

    def note_spillover(self, effect: LogSpillover) -> None:
        """Log that calls begin to leave the region early, or no longer do."""
        self._log.info(
            "spill-over changed",
            service=effect.service,
            model=effect.model,
            is_spilling=effect.is_spilling,
            slots=effect.slots,
            free_slots=effect.free_slots,
            share_by_zone={
                zone: round(share, TIME_DECIMALS)
                for zone, share in effect.share_by_zone.items()
            },
        )

    def note_finding(self, note: LogFinding) -> None:
        """Log a change in a suspicion that a request crashed an endpoint."""
        self._metrics.count("crash_findings", finding=note.finding.value)
        self._log.info(
            "endpoint " + note.finding.value,
            fingerprint=note.fingerprint[:FINGERPRINT_DIGITS],
            endpoint=note.endpoint.endpoint_id,
            born_ms=note.endpoint.start_time_ms,
            age_s=round(note.age_s, TIME_DECIMALS),
            reason=note.reason,
            endpoints_revision=self._snapshot_cache.by_collection[
                Collection.ENDPOINTS
            ].revision,
            request_line=True,
        )

    def note_quarantine(
        self, effect: RecordQuarantine, failure: PlatformError | None
    ) -> None:
        """Log whether the record of a quarantined request was stored."""
        self._log.info(
            "quarantine recorded" if failure is None else "quarantine not recorded",
            fingerprint=effect.fingerprint[:FINGERPRINT_DIGITS],
            endpoints=[
                suspicion.endpoint.endpoint_id for suspicion in effect.record.ends
            ],
            error="" if failure is None else failure.message,
        )

    def note_answer_aborted(self, call: Call, reason: str) -> None:
        """Log that an answer was aborted."""
        self._metrics.count("answers_cut")
        self._write("answer cut", call.request_id, reason=reason)

    def note_caller_disconnected(self, call: Call) -> None:
        """Log that the caller closed its connection."""
        self._metrics.count("callers_gone")
        waited_s = round(time.monotonic() - call.arrived, TIME_DECIMALS)
        self._write("caller gone", call.request_id, waited_s=waited_s)

    def _write(self, event: str, request_id: str, **fields: object) -> None:
        """Log a line about a request, subject to the limit on such lines."""
        self._log.info(event, request=request_id, request_line=True, **fields)
