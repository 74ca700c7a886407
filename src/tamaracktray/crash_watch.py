"""Detection of requests that crash the endpoints which run them.

When a call breaks off or stalls at an endpoint, its request is suspected of having
crashed that incarnation of the endpoint. The suspicion is confirmed when the endpoint
disappears from the list or is listed with a later start time. It is dropped when the
endpoint responds again, remains listed or had announced that it is leaving. A request
with two open or confirmed suspicions is quarantined until one of them is dropped; two
confirmed suspicions quarantine it for the full quarantine time. Open suspicions that
rest on silence alone quarantine it only if there are many.
"""

from collections.abc import Callable, Iterable, Mapping

from tamaracktray.suspicions import (
    CrashReport,
    Finding,
    Incarnation,
    ListedEndpoint,
    LogFinding,
    Suspicion,
    list_counted,
)

# Suspicions, each about another incarnation, that quarantine a request.
SUSPICIONS_TO_QUARANTINE = 2

# Missed heartbeats after which the platform drops an endpoint from its list, and the
# delay until this process sees the change, in seconds.
HEARTBEATS_TO_EXPIRY = 3
LIST_LAG_S = 3.0

# Data that an endpoint sent before it crashed may be read this much later, in seconds.
IN_FLIGHT_DATA_S = 0.25

# Time for which a completely answered request can't be suspected, in seconds, and the
# number of such requests that are remembered.
ANSWERED_TTL_S = 60.0
MAX_ANSWERED = 1_000

# Bounds on the suspicions in memory and on the reports in one message to a peer.
MAX_SUSPICIONS = 500
MAX_REPORTS = 48

# Time for which a suspicion that quarantines no request is reported to peers, in
# seconds. Peers remember it, so it needn't be repeated for longer.
REPORT_TTL_S = 10.0

# Time for which the refutation of a suspicion is reported to peers, in seconds: six
# beacons. A peer that gets none of them drops the suspicion when its verdict is due.
REFUTATION_TTL_S = 3.0


def always_repeat(fingerprint: str) -> bool:
    """Select this entry as a repeater of all reports."""
    return True


class CrashWatch:
    """Suspicions by request fingerprint.

    ``verdict_s`` is the time within which the endpoint list shows a crash, and
    ``quarantine_s`` how long a confirmed crash counts against its request, both in
    seconds.
    """

    __slots__ = (
        "_by_fingerprint",
        "_answered_deadline_by_fingerprint",
        "_has_news",
        "quarantine_s",
        "verdict_s",
    )

    def __init__(self, quarantine_s: float, heartbeat_s: float) -> None:
        self.quarantine_s = quarantine_s
        self.verdict_s = HEARTBEATS_TO_EXPIRY * heartbeat_s + LIST_LAG_S
        self._by_fingerprint: dict[str, dict[Incarnation, Suspicion]] = {}
        self._answered_deadline_by_fingerprint: dict[str, float] = {}
        self._has_news = False

    def __len__(self) -> int:
        return sum(len(suspicions) for suspicions in self._by_fingerprint.values())

    @property
    def is_empty(self) -> bool:
        """Whether there are no suspicions."""
        return not self._by_fingerprint

    def suspect(
        self,
        now: float,
        fingerprint: str,
        endpoint: Incarnation,
        run_s: float = 0.0,
        *,
        is_silent: bool = False,
    ) -> list[LogFinding]:
        """Record that a call of this process broke off or stalled at an endpoint.

        ``run_s`` is the time since the call was sent, in seconds. ``is_silent`` is set
        if the endpoint only sent no data.
        """
        if self._is_cleared(now, fingerprint, now):
            return []
        known = self._by_fingerprint.get(fingerprint, {}).get(endpoint)
        if known is not None and not known.is_refuted_before(now):
            known.is_local = True
            if known.is_silent and not is_silent:
                known.is_silent = False
                self._has_news = True
            return []
        suspicion = self._add(
            fingerprint, endpoint, now, run_s, is_local=True, is_silent=is_silent
        )
        self._has_news = True
        return [suspicion.describe(now, Finding.SUSPECTED)]

    def merge(self, now: float, reports: Iterable[CrashReport]) -> list[LogFinding]:
        """Merge reports from peers, which expire no later than local suspicions."""
        notes: list[LogFinding] = []
        for report in reports:
            seen_at = now - report.age_s
            if not 0.0 <= report.age_s < self.quarantine_s:
                continue
            if self._is_cleared(now, report.fingerprint, seen_at):
                continue
            suspicions = self._by_fingerprint.get(report.fingerprint, {})
            suspicion = suspicions.get(report.endpoint)
            if report.answered_age_s is not None:
                answered_at = now - report.answered_age_s
                if suspicion is not None and _note_answer(suspicion, answered_at):
                    notes.append(suspicion.describe(now, Finding.ANSWERED, "told"))
                continue
            if suspicion is None or suspicion.is_refuted_before(seen_at):
                suspicion = self._add(
                    report.fingerprint,
                    report.endpoint,
                    seen_at,
                    report.run_s,
                    is_local=False,
                    is_silent=report.is_silent,
                )
                notes.append(suspicion.describe(now, Finding.REPORTED))
            if report.is_beside_sound:
                suspicion.is_beside_sound = True
            if not report.is_silent:
                suspicion.is_silent = False
            if report.is_confirmed and not suspicion.is_confirmed:
                suspicion.is_confirmed = True
                notes.append(suspicion.describe(now, Finding.CONFIRMED, "told"))
        return notes

    def record_answered(self, now: float, fingerprint: str) -> list[LogFinding]:
        """Drop all suspicions about a request that was answered completely."""
        self._answered_deadline_by_fingerprint.pop(fingerprint, None)
        self._answered_deadline_by_fingerprint[fingerprint] = now + ANSWERED_TTL_S
        if len(self._answered_deadline_by_fingerprint) > MAX_ANSWERED:
            oldest = next(iter(self._answered_deadline_by_fingerprint))
            del self._answered_deadline_by_fingerprint[oldest]
        cleared = self._by_fingerprint.pop(fingerprint, {})
        return [
            item.describe(now, Finding.DROPPED, "the request was answered")
            for item in cleared.values()
        ]

    def evaluate(
        self,
        now: float,
        listed_by_id: Mapping[str, ListedEndpoint],
        responsive_ids: frozenset[str],
        list_valid_from: float,
    ) -> list[LogFinding]:
        """Confirm or drop suspicions; return one note for each change.

        ``responsive_ids`` are the endpoints that sent data since the previous call.
        Crashes from before ``list_valid_from`` show in the list only once
        ``verdict_s`` has passed since then.
        """
        notes: list[LogFinding] = []
        for fingerprint, suspicions in list(self._by_fingerprint.items()):
            for endpoint, suspicion in list(suspicions.items()):
                listed = listed_by_id.get(endpoint.endpoint_id)
                note = self._evaluate_one(
                    now, suspicion, listed, responsive_ids, list_valid_from
                )
                if note is None:
                    continue
                notes.append(note)
                if note.finding is Finding.DROPPED:
                    del suspicions[endpoint]
            if not suspicions:
                del self._by_fingerprint[fingerprint]
        return notes

    def _evaluate_one(
        self,
        now: float,
        suspicion: Suspicion,
        listed: ListedEndpoint | None,
        responsive_ids: frozenset[str],
        list_valid_from: float,
    ) -> LogFinding | None:
        if now >= suspicion.quarantine_deadline:
            return suspicion.describe(now, Finding.DROPPED, "long ago")
        if suspicion.is_confirmed:
            return None
        due = max(suspicion.verdict_deadline, list_valid_from + self.verdict_s)
        start_time_ms = suspicion.endpoint.start_time_ms
        if listed is not None and (listed.start_time_ms == start_time_ms or now < due):
            if listed.start_time_ms > start_time_ms:
                return self._confirm(now, suspicion, "started again")
            suspicion.was_listed = True
            suspicion.is_leaving = suspicion.is_leaving or listed.is_leaving
            if now >= due + self.verdict_s:
                return suspicion.describe(now, Finding.DROPPED, "still listed")
            if now >= due and not suspicion.is_overdue:
                suspicion.is_overdue = True
                return suspicion.describe(now, Finding.LISTED)
            return self._check_answering(now, suspicion, responsive_ids)
        if listed is not None:
            return self._confirm(now, suspicion, "started again")
        # A peer that was held up may have read data from before the crash.
        if suspicion.is_leaving or suspicion.is_answer_local:
            reason = "left" if suspicion.is_leaving else "answered later"
            return suspicion.describe(now, Finding.DROPPED, reason)
        # The endpoint may be missing only because this list lags behind a peer's.
        if suspicion.was_listed or now >= due:
            return self._confirm(now, suspicion, "gone")
        return None

    def _check_answering(
        self, now: float, suspicion: Suspicion, responsive_ids: frozenset[str]
    ) -> LogFinding | None:
        if suspicion.endpoint.endpoint_id not in responsive_ids:
            return None
        is_first = _note_answer(suspicion, now)
        suspicion.is_answer_local = suspicion.is_answering
        if not is_first:
            return None
        return suspicion.describe(now, Finding.ANSWERED)

    def _confirm(self, now: float, suspicion: Suspicion, reason: str) -> LogFinding:
        suspicion.is_confirmed = True
        return suspicion.describe(now, Finding.CONFIRMED, reason)

    def find_quarantine_end(self, now: float, fingerprint: str) -> float | None:
        """Return the end of a request's quarantine, or ``None`` if there is none."""
        suspicions = self._by_fingerprint.get(fingerprint)
        if suspicions is None:
            return None
        deadlines = sorted(
            item.find_deadline(now) for item in list_counted(suspicions.values())
        )
        if len(deadlines) < SUSPICIONS_TO_QUARANTINE:
            return None
        quarantine_end = deadlines[-SUSPICIONS_TO_QUARANTINE]
        return quarantine_end if quarantine_end > now else None

    def list_avoided(self, fingerprint: str) -> frozenset[Incarnation]:
        """Return the endpoints that a request may have crashed."""
        suspicions = self._by_fingerprint.get(fingerprint)
        if suspicions is None:
            return frozenset()
        return frozenset(
            endpoint for endpoint, item in suspicions.items() if item.is_active
        )

    def list_quarantined(self, now: float) -> dict[str, list[Suspicion]]:
        """Return the active suspicions of each quarantined request."""
        return {
            fingerprint: list_counted(suspicions.values())
            for fingerprint, suspicions in self._by_fingerprint.items()
            if len(suspicions) >= SUSPICIONS_TO_QUARANTINE
            and self.find_quarantine_end(now, fingerprint) is not None
        }

    def list_endpoints(self) -> set[str]:
        """Return the ids of all suspected endpoints."""
        return {
            endpoint.endpoint_id
            for suspicions in self._by_fingerprint.values()
            for endpoint in suspicions
        }

    def is_suspected(self, fingerprint: str) -> bool:
        """Return whether there is any suspicion about a request."""
        return fingerprint in self._by_fingerprint

    def take_news(self) -> bool:
        """Return whether this process has something to tell since the last call.

        That is a crash, or the end of a quarantine, that it has observed itself.
        """
        has_news, self._has_news = self._has_news, False
        return has_news

    def list_reports(
        self, now: float, is_repeater: Callable[[str], bool] = always_repeat
    ) -> list[CrashReport]:
        """Return the reports for peers.

        Suspicions that quarantine a request come first; those known only from peers are
        included if ``is_repeater`` holds for their fingerprint. Of the others, only
        recent local ones are reported, newest first, as there may be many in the fleet,
        and then those that were refuted lately by data of their endpoint.
        """
        if self.is_empty:
            return []
        quarantined = self.list_quarantined(now)
        local_suspicions = [
            item
            for fingerprint, suspicions in self._by_fingerprint.items()
            if fingerprint not in quarantined
            for item in suspicions.values()
            if item.is_active and item.is_local and now - item.seen_at < REPORT_TTL_S
        ]
        local_suspicions.sort(key=lambda item: -item.seen_at)
        refuted = [
            item
            for suspicions in self._by_fingerprint.values()
            for item in suspicions.values()
            if item.is_answer_local and _is_refuted_lately(now, item)
        ]
        quarantining = [
            item
            for fingerprint, suspicions in quarantined.items()
            for item in suspicions
            if item.is_local or is_repeater(fingerprint)
        ]
        selected = quarantining + local_suspicions + refuted
        return [
            CrashReport(
                item.fingerprint,
                item.endpoint,
                max(now - item.seen_at, 0.0),
                item.is_confirmed,
                item.seen_at - item.sent_at,
                item.is_beside_sound,
                item.is_silent,
                item.measure_answer_age(now),
            )
            for item in selected[:MAX_REPORTS]
        ]

    def _is_cleared(self, now: float, fingerprint: str, seen_at: float) -> bool:
        """Return whether a suspicion that arose at ``seen_at`` is already refuted."""
        return self._answered_deadline_by_fingerprint.get(fingerprint, 0.0) > now

    def _add(
        self,
        fingerprint: str,
        endpoint: Incarnation,
        seen_at: float,
        run_s: float,
        *,
        is_local: bool,
        is_silent: bool = False,
    ) -> Suspicion:
        if len(self) >= MAX_SUSPICIONS:
            self._drop_oldest()
        suspicion = Suspicion(
            fingerprint,
            endpoint,
            seen_at,
            seen_at + self.verdict_s,
            seen_at + self.quarantine_s,
            is_local=is_local,
            is_silent=is_silent,
            run_s=run_s,
        )
        self._by_fingerprint.setdefault(fingerprint, {})[endpoint] = suspicion
        return suspicion

    def _drop_oldest(self) -> None:
        """Drop the oldest request among those with the fewest suspicions."""
        oldest = min(
            self._by_fingerprint,
            key=lambda name: (
                len(self._by_fingerprint[name]),
                max(item.seen_at for item in self._by_fingerprint[name].values()),
            ),
        )
        del self._by_fingerprint[oldest]


def _is_refuted_lately(now: float, suspicion: Suspicion) -> bool:
    answer_age_s = suspicion.measure_answer_age(now)
    return answer_age_s is not None and answer_age_s < REFUTATION_TTL_S


def _note_answer(suspicion: Suspicion, answered_at: float) -> bool:
    """Record that the endpoint sent data; return whether that refutes it first."""
    is_late = answered_at - suspicion.seen_at >= IN_FLIGHT_DATA_S
    if suspicion.is_answering or not is_late:
        return False
    suspicion.answered_at = answered_at
    return True
