"""Detection of prompt parts that crash the endpoints which answer them.

A fatal part crashes every endpoint that begins to answer it, whatever else the request
holds. When an endpoint crashes, the parts of all requests whose answers had hardly
begun are suspected. An answer that begins later and goes well refutes the suspicion of
its parts, and so does another part that explains more of the same crashes.
``part_blame`` decides by this evidence which parts are quarantined.
"""

import itertools
import math
from collections.abc import Callable, Iterable, Mapping

import msgspec
from typing_extensions import override

from tamaracktray.crash_watch import (
    MAX_REPORTS,
    REPORT_TTL_S,
    CrashWatch,
    always_repeat,
)
from tamaracktray.part_blame import (
    PartQuarantine,
    count_needed,
    find_quarantines,
    list_current,
    list_successive,
)
from tamaracktray.part_trials import PartTrials
from tamaracktray.suspicions import (
    CrashReport,
    Finding,
    Incarnation,
    ListedEndpoint,
    LogFinding,
    Suspicion,
)

# Time for which an answer must go on to count as sound, in seconds. A fatal part
# crashes its endpoint as the answer begins.
SOUND_ANSWER_S = 0.3

# Parts for which the last sound answer is remembered.
MAX_SOUND_PARTS = 2_000

# Suspicions of a quarantined part that are reported and recorded.
MAX_QUARANTINE_REPORTS = 8

# Time for which every entry that knows a sound answer tells it after a suspicion of its
# part arose or was dropped, in seconds: six beacons. Later only the repeaters do.
SOUND_REPORT_S = 3.0

# Interval between assessments while the evidence doesn't change, in seconds.
REASSESSMENT_S = 0.25


class SoundAnswer(msgspec.Struct, frozen=True, array_like=True):
    """A sound answer to a prompt with a part, as reported to peers.

    ``age_s`` is the time since the answer began, in seconds.
    """

    part: str
    age_s: float


class PartWatch(CrashWatch):
    """Suspicions by prompt part, which takes the place of the request fingerprint."""

    __slots__ = (
        "_dispute_deadline_by_part",
        "_quarantine_by_part",
        "_reassessment_deadline",
        "_sound_at_by_part",
        "_trials",
    )

    def __init__(self, quarantine_s: float, heartbeat_s: float) -> None:
        super().__init__(quarantine_s, heartbeat_s)
        self._sound_at_by_part: dict[str, float] = {}
        self._dispute_deadline_by_part: dict[str, float] = {}
        self._quarantine_by_part: dict[str, PartQuarantine] = {}
        self._reassessment_deadline = 0.0
        self._trials = PartTrials()

    def record_sound(
        self, now: float, part: str, began_at: float, *, is_local: bool = True
    ) -> list[LogFinding]:
        """Drop the suspicions of a part up to the begin of a sound answer.

        ``is_local`` is set if this process observed the answer.
        """
        known_at = self._sound_at_by_part.pop(part, -math.inf)
        self._sound_at_by_part[part] = max(known_at, began_at)
        if known_at == -math.inf:
            # Its crashes now weigh less.
            self._reassessment_deadline = 0.0
        if len(self._sound_at_by_part) > MAX_SOUND_PARTS:
            oldest = next(iter(self._sound_at_by_part))
            del self._sound_at_by_part[oldest]
            self._dispute_deadline_by_part.pop(oldest, None)
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
        self._dispute_deadline_by_part[part] = now + SOUND_REPORT_S
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

    def list_sound(
        self, now: float, is_repeater: Callable[[str], bool] = always_repeat
    ) -> list[SoundAnswer]:
        """Return the sound answers that peers need to know.

        Those are recent ones that refute suspicions, and any of parts suspected now.
        After some time they are included only if ``is_repeater`` holds for their part.
        """
        disputed = self._dispute_deadline_by_part
        for part in list(disputed):
            if now - self._sound_at_by_part[part] >= REPORT_TTL_S:
                del disputed[part]
        suspected = (
            part
            for part in self._by_fingerprint
            if part in self._sound_at_by_part and part not in disputed
        )
        parts = (
            part
            for part in itertools.chain(disputed, suspected)
            if self._is_news(now, part) or is_repeater(part)
        )
        return [
            SoundAnswer(part, max(now - self._sound_at_by_part[part], 0.0))
            for part in itertools.islice(parts, MAX_REPORTS)
        ]

    def _is_news(self, now: float, part: str) -> bool:
        """Return whether peers may not know yet that a part was answered."""
        if now < self._dispute_deadline_by_part.get(part, -math.inf):
            return True
        suspicions = self._by_fingerprint.get(part, {}).values()
        return any(now - item.seen_at < SOUND_REPORT_S for item in suspicions)

    def suspect_prompt(
        self,
        now: float,
        parts: Iterable[str],
        endpoint: Incarnation,
        run_s: float,
        *,
        is_silent: bool = False,
    ) -> list[LogFinding]:
        """Record that a call whose prompt has these parts broke off or stalled."""
        notes: list[LogFinding] = []
        parts = tuple(parts)
        sound = [part for part in parts if part in self._sound_at_by_part]
        for part in parts:
            notes.extend(self.suspect(now, part, endpoint, run_s, is_silent=is_silent))
            suspicion = self._by_fingerprint.get(part, {}).get(endpoint)
            if suspicion is not None:
                suspicion.is_beside_sound = bool(sound) and part not in sound
        return notes

    @override
    def suspect(
        self,
        now: float,
        fingerprint: str,
        endpoint: Incarnation,
        run_s: float = 0.0,
        *,
        is_silent: bool = False,
    ) -> list[LogFinding]:
        self._reassessment_deadline = 0.0
        return super().suspect(now, fingerprint, endpoint, run_s, is_silent=is_silent)

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
        quarantined = self._list_prompt_quarantines(now, parts)
        return max((item.end for item in quarantined.values()), default=None)

    def _list_prompt_quarantines(
        self, now: float, parts: Iterable[str]
    ) -> dict[str, PartQuarantine]:
        self._reassess(now)
        held = frozenset(parts)
        return {
            part: quarantine
            for part, quarantine in self._quarantine_by_part.items()
            if part in held and quarantine.suspects <= held and quarantine.end > now
        }

    def take_trial(
        self, now: float, parts: Iterable[str], find_rank: Callable[[str], int]
    ) -> bool:
        """Return whether a call passes as a trial of its quarantined parts.

        ``find_rank`` returns the rank of this process for a part, from 0.
        """
        if self.is_empty:
            self._trials.reset()
            return False
        quarantined = self._list_prompt_quarantines(now, parts)
        self._trials.note_call(quarantined)
        for part in quarantined:
            is_known_sound = part in self._sound_at_by_part
            if not is_known_sound and not self._trials.is_broad(part):
                return False
            crashes = list_current(now, self._by_fingerprint.get(part, {}))
            last_at = max((item.seen_at for item in crashes), default=now)
            needed = count_needed(part, self._sound_at_by_part)
            extra = max(len(list_successive(crashes)) - needed, 0)
            if not self._trials.is_due(now, part, last_at, extra, find_rank(part)):
                return False
        self._trials.begin(now, quarantined)
        return bool(quarantined)

    @override
    def list_quarantined(self, now: float) -> dict[str, list[Suspicion]]:
        self._reassess(now)
        return {
            part: _select_evidence(list_current(now, self._by_fingerprint[part]))
            for part, quarantine in self._quarantine_by_part.items()
            if quarantine.end > now
        }

    @override
    def _is_cleared(self, now: float, fingerprint: str, seen_at: float) -> bool:
        if seen_at > self._sound_at_by_part.get(fingerprint, -math.inf):
            return False
        self._dispute_deadline_by_part[fingerprint] = now + SOUND_REPORT_S
        return True

    def _reassess(self, now: float) -> None:
        """Determine the quarantined parts anew if that is due."""
        if now < self._reassessment_deadline:
            return
        self._reassessment_deadline = now + REASSESSMENT_S
        self._quarantine_by_part = find_quarantines(
            now, self._by_fingerprint, self._sound_at_by_part
        )


def _select_evidence(suspicions: list[Suspicion]) -> list[Suspicion]:
    """Return the newest crashes in a row, and other crashes up to the bound."""
    selected = list_successive(suspicions)[-MAX_QUARANTINE_REPORTS:]
    chosen = {item.endpoint for item in selected}
    others = [item for item in suspicions if item.endpoint not in chosen]
    others.sort(key=lambda item: -item.seen_at)
    return selected + others[: MAX_QUARANTINE_REPORTS - len(selected)]
