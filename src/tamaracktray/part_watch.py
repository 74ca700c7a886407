"""Detection of prompt parts that crash the endpoints which answer them.

A fatal part crashes every endpoint that begins to answer it, whatever else the request
holds. When an endpoint crashes, the parts of all requests whose answers had hardly
begun are suspected. An answer that begins later and goes well refutes the suspicion of
its parts, and so does another part that explains more of the same crashes.

A part is quarantined after several crashes in a row: each by a request that was sent
after the crash before it. Endpoints that are lost at the same moment count as one
crash. Parts that no sound answer is known of are blamed before others. Parts that were
in the same crashes are quarantined only for prompts that hold all of them, so that
other prompts can show which of them is fatal.
"""

import itertools
import math
from collections.abc import Iterable, Mapping

import msgspec
from typing_extensions import override

from tamaracktray.crash_watch import MAX_REPORTS, REPORT_TTL_S, CrashWatch
from tamaracktray.suspicions import (
    CrashReport,
    Finding,
    Incarnation,
    ListedEndpoint,
    LogFinding,
    Suspicion,
)

# Crashes in a row that quarantine a part.
CRASHES_TO_QUARANTINE = 3

# Crashes of a part without a known sound answer that excuse parts with one.
CRASHES_TO_EXCUSE = 2

# Crashes by which parts may differ and still be suspected alike, as any endpoint may
# crash for another reason.
MAX_CHANCE_CRASHES = 1

# Error of times that peers report as ages, in seconds: the latency of a beacon.
AGE_ERROR_S = 0.05

# Time for which an answer must go on to count as sound, in seconds. A fatal part
# crashes its endpoint as the answer begins.
SOUND_ANSWER_S = 0.3

# Parts for which the last sound answer is remembered.
MAX_SOUND_PARTS = 2_000

# Suspicions of a quarantined part that are reported and recorded.
MAX_QUARANTINE_REPORTS = 8

# Interval between assessments while the evidence doesn't change, in seconds.
REASSESSMENT_S = 0.25


class SoundAnswer(msgspec.Struct, frozen=True, array_like=True):
    """A sound answer to a prompt with a part, as reported to peers.

    ``age_s`` is the time since the answer began, in seconds.
    """

    part: str
    age_s: float


class PartQuarantine(msgspec.Struct, frozen=True):
    """The quarantine of a part until ``end``.

    It holds for prompts with all ``suspects``: the part and those suspected alike.
    """

    end: float
    suspects: frozenset[str]


class PartWatch(CrashWatch):
    """Suspicions by prompt part, which takes the place of the request fingerprint."""

    __slots__ = (
        "_disputed_parts",
        "_quarantine_by_part",
        "_reassessment_deadline",
        "_sound_at_by_part",
    )

    def __init__(self, quarantine_s: float, heartbeat_s: float) -> None:
        super().__init__(quarantine_s, heartbeat_s)
        self._sound_at_by_part: dict[str, float] = {}
        self._disputed_parts: set[str] = set()
        self._quarantine_by_part: dict[str, PartQuarantine] = {}
        self._reassessment_deadline = 0.0

    def record_sound(
        self, now: float, part: str, began_at: float, *, is_local: bool = True
    ) -> list[LogFinding]:
        """Drop the suspicions of a part up to the begin of a sound answer.

        ``is_local`` is set if this process observed the answer.
        """
        known_at = self._sound_at_by_part.pop(part, -math.inf)
        self._sound_at_by_part[part] = max(known_at, began_at)
        if len(self._sound_at_by_part) > MAX_SOUND_PARTS:
            oldest = next(iter(self._sound_at_by_part))
            del self._sound_at_by_part[oldest]
            self._disputed_parts.discard(oldest)
        suspicions = self._by_fingerprint.get(part, {})
        notes: list[LogFinding] = []
        for endpoint, suspicion in list(suspicions.items()):
            if suspicion.seen_at > began_at:
                continue
            del suspicions[endpoint]
            notes.append(
                suspicion.describe(now, Finding.DROPPED, "the part was answered")
            )
        if not notes:
            return []
        if not suspicions:
            del self._by_fingerprint[part]
        self._disputed_parts.add(part)
        self._reassessment_deadline = 0.0
        if is_local and part in self._quarantine_by_part:
            self._has_news = True
        return notes

    def merge_sound(
        self, now: float, answers: Iterable[SoundAnswer]
    ) -> list[LogFinding]:
        """Merge reports of sound answers from peers."""
        notes: list[LogFinding] = []
        for answer in answers:
            began_at = now - answer.age_s
            notes.extend(self.record_sound(now, answer.part, began_at, is_local=False))
        return notes

    def list_sound(self, now: float) -> list[SoundAnswer]:
        """Return the recent sound answers that refute suspicions, for peers."""
        for part in list(self._disputed_parts):
            if now - self._sound_at_by_part[part] >= REPORT_TTL_S:
                self._disputed_parts.discard(part)
        return [
            SoundAnswer(part, max(now - self._sound_at_by_part[part], 0.0))
            for part in itertools.islice(self._disputed_parts, MAX_REPORTS)
        ]

    @override
    def suspect(
        self,
        now: float,
        fingerprint: str,
        endpoint: Incarnation,
        run_s: float = 0.0,
    ) -> list[LogFinding]:
        self._reassessment_deadline = 0.0
        return super().suspect(now, fingerprint, endpoint, run_s)

    @override
    def merge(self, now: float, reports: Iterable[CrashReport]) -> list[LogFinding]:
        notes = super().merge(now, reports)
        if notes:
            self._reassessment_deadline = 0.0
        return notes

    @override
    def evaluate(
        self,
        now: float,
        listed_by_id: Mapping[str, ListedEndpoint],
        responsive_ids: frozenset[str],
        list_valid_from: float,
    ) -> list[LogFinding]:
        notes = super().evaluate(now, listed_by_id, responsive_ids, list_valid_from)
        if notes:
            self._reassessment_deadline = 0.0
        return notes

    @override
    def find_quarantine_end(self, now: float, fingerprint: str) -> float | None:
        return self.find_prompt_quarantine_end(now, (fingerprint,))

    def find_prompt_quarantine_end(
        self, now: float, parts: Iterable[str]
    ) -> float | None:
        """Return when a prompt's quarantine ends, or ``None`` if there is none."""
        if self.is_empty:
            return None
        self._reassess(now)
        held = frozenset(parts)
        ends = [
            quarantine.end
            for part, quarantine in self._quarantine_by_part.items()
            if part in held and quarantine.suspects <= held and quarantine.end > now
        ]
        return max(ends, default=None)

    @override
    def list_quarantined(self, now: float) -> dict[str, list[Suspicion]]:
        self._reassess(now)
        return {
            part: _select_evidence(_list_active(now, self._by_fingerprint[part]))
            for part, quarantine in self._quarantine_by_part.items()
            if quarantine.end > now
        }

    @override
    def _is_cleared(self, now: float, fingerprint: str, seen_at: float) -> bool:
        if seen_at > self._sound_at_by_part.get(fingerprint, -math.inf):
            return False
        self._disputed_parts.add(fingerprint)
        return True

    def _reassess(self, now: float) -> None:
        """Determine the quarantined parts, the most suspect ones first.

        A crash that a quarantined part explains doesn't count against parts that are
        less suspect. Parts with a known sound answer are also excused for crashes of
        parts without one that have crashed repeatedly.
        """
        if now < self._reassessment_deadline:
            return
        self._reassessment_deadline = now + REASSESSMENT_S
        self._quarantine_by_part = {}
        active_by_part = {
            part: _list_active(now, suspicions)
            for part, suspicions in self._by_fingerprint.items()
            if len(suspicions) >= CRASHES_TO_QUARANTINE
        }

        def rank(part: str) -> tuple[bool, int]:
            return part in self._sound_at_by_part, -len(active_by_part[part])

        explained: set[Incarnation] = set()
        ranked = sorted(active_by_part, key=rank)
        for (is_known_sound, _), parts in itertools.groupby(ranked, rank):
            if is_known_sound:
                explained.update(self._list_excused(now))
            unexplained_by_part: dict[str, list[Suspicion]] = {}
            for part in parts:
                items = [
                    item
                    for item in active_by_part[part]
                    if item.endpoint not in explained
                ]
                if len(_list_successive(items)) >= CRASHES_TO_QUARANTINE:
                    unexplained_by_part[part] = items
            self._quarantine_equals(now, unexplained_by_part)
            for items in unexplained_by_part.values():
                explained.update(item.endpoint for item in items)

    def _list_excused(self, now: float) -> set[Incarnation]:
        """Return the crashes that excuse parts with a known sound answer."""
        excused: set[Incarnation] = set()
        for part, suspicions in self._by_fingerprint.items():
            if part in self._sound_at_by_part:
                continue
            active = _list_active(now, suspicions)
            if len(active) >= CRASHES_TO_EXCUSE:
                excused.update(item.endpoint for item in active)
        return excused

    def _quarantine_equals(
        self, now: float, suspicions_by_part: Mapping[str, list[Suspicion]]
    ) -> None:
        """Quarantine equally suspect parts, those of the same crashes together."""
        endpoints_by_part = {
            part: frozenset(item.endpoint for item in suspicions)
            for part, suspicions in suspicions_by_part.items()
        }
        for part, suspicions in suspicions_by_part.items():
            deadlines = sorted(
                item.find_deadline(now) for item in _list_successive(suspicions)
            )
            suspects = frozenset(
                other
                for other, endpoints in endpoints_by_part.items()
                if len(endpoints_by_part[part] - endpoints) <= MAX_CHANCE_CRASHES
            )
            self._quarantine_by_part[part] = PartQuarantine(
                deadlines[-CRASHES_TO_QUARANTINE], suspects
            )


def _list_active(
    now: float, suspicions: Mapping[Incarnation, Suspicion]
) -> list[Suspicion]:
    return [
        item
        for item in suspicions.values()
        if item.is_active and item.find_deadline(now) > now
    ]


def _list_successive(suspicions: Iterable[Suspicion]) -> list[Suspicion]:
    """Return crashes of which each was sent after the one before had been seen."""
    successive: list[Suspicion] = []
    previous_at = -math.inf
    for item in sorted(suspicions, key=lambda item: item.seen_at):
        is_later = item.seen_at > previous_at + AGE_ERROR_S
        if not is_later or item.sent_at < previous_at - AGE_ERROR_S:
            continue
        successive.append(item)
        previous_at = item.seen_at
    return successive


def _select_evidence(suspicions: list[Suspicion]) -> list[Suspicion]:
    """Return the newest crashes in a row, and other crashes up to the bound."""
    selected = _list_successive(suspicions)[-MAX_QUARANTINE_REPORTS:]
    chosen = {item.endpoint for item in selected}
    others = [item for item in suspicions if item.endpoint not in chosen]
    others.sort(key=lambda item: -item.seen_at)
    return selected + others[: MAX_QUARANTINE_REPORTS - len(selected)]
