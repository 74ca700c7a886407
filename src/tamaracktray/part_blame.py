"""Decides which prompt parts are quarantined by the evidence of crashes.

A part is quarantined after several crashes in a row: each by a request that was sent
after the crash before it. Endpoints that are lost at the same moment count as one
crash. Parts that no sound answer is known of, at any entry, are blamed before others
and for fewer crashes. Parts that were in the same crashes are quarantined only for
prompts that hold all of them, so that other prompts can show which of them is fatal.

A new part that different requests hold beside parts with sound answers is quarantined
early: by crashes that needn't come in a row, and by two of them for a short time.
"""

import itertools
import math
from collections.abc import Container, Iterable, Mapping

import msgspec

from tamaracktray.suspicions import Incarnation, Suspicion, list_counted

# Crashes in a row that quarantine a part: of one without a known sound answer, and of
# one that has been answered, which the crashes are more likely to have met by chance.
CRASHES_TO_QUARANTINE = 3
CRASHES_TO_QUARANTINE_SOUND = 5

# Crashes, beside a part with a known sound answer, by which a part without one is
# quarantined early, and for how long after the second one, in seconds. Further ones
# quarantine it for the whole time.
EARLY_CRASHES = 2
EARLY_QUARANTINE_S = 15.0

# Crashes of a part without a known sound answer that excuse parts with one.
CRASHES_TO_EXCUSE = 2

# Crashes by which parts may differ and still be suspected alike, as any endpoint may
# crash for another reason.
MAX_CHANCE_CRASHES = 1

# Error of times that peers report as ages, in seconds: the latency of a beacon.
AGE_ERROR_S = 0.05


class PartQuarantine(msgspec.Struct, frozen=True):
    """The quarantine of a part until ``end``.

    It holds for prompts with all ``suspects``: the part and those suspected alike.
    """

    end: float
    suspects: frozenset[str]


Evidence = Mapping[str, Mapping[Incarnation, Suspicion]]


def find_quarantines(
    now: float, evidence: Evidence, sound: Container[str]
) -> dict[str, PartQuarantine]:
    """Return the quarantined parts, found by blaming the most suspect ones first.

    ``evidence`` are the suspicions by part and endpoint, and ``sound`` the parts with a
    known sound answer. A crash that a quarantined part explains doesn't count against
    parts that are less suspect. Parts with a known sound answer are also excused for
    crashes of parts without one that have crashed repeatedly.
    """
    quarantine_by_part: dict[str, PartQuarantine] = {}
    active_by_part = {
        part: list_current(now, suspicions)
        for part, suspicions in evidence.items()
        if len(suspicions) >= count_needed(part, sound)
    }

    def rank(part: str) -> tuple[bool, int]:
        return part in sound, -len(active_by_part[part])

    explained: set[Incarnation] = set()
    ranked = sorted(active_by_part, key=rank)
    for (is_known_sound, _), parts in itertools.groupby(ranked, rank):
        if is_known_sound:
            explained.update(_list_excused(now, evidence, sound))
        unexplained_by_part: dict[str, list[Suspicion]] = {}
        for part in parts:
            items = [
                item for item in active_by_part[part] if item.endpoint not in explained
            ]
            if len(list_successive(items)) >= count_needed(part, sound):
                unexplained_by_part[part] = items
        quarantine_by_part.update(_quarantine_equals(now, unexplained_by_part, sound))
        for items in unexplained_by_part.values():
            explained.update(item.endpoint for item in items)
    for part, early in _quarantine_early(now, evidence, sound).items():
        known = quarantine_by_part.get(part)
        if known is None or known.end < early.end:
            quarantine_by_part[part] = early
    return quarantine_by_part


def count_needed(part: str, sound: Container[str]) -> int:
    """Return the number of crashes in a row that quarantine a part."""
    return CRASHES_TO_QUARANTINE_SOUND if part in sound else CRASHES_TO_QUARANTINE


def _list_excused(
    now: float, evidence: Evidence, sound: Container[str]
) -> set[Incarnation]:
    """Return the crashes that excuse parts with a known sound answer."""
    excused: set[Incarnation] = set()
    for part, suspicions in evidence.items():
        if part in sound:
            continue
        active = [
            item
            for item in suspicions.values()
            if item.is_active and item.find_deadline(now) > now
        ]
        if len(active) >= CRASHES_TO_EXCUSE:
            excused.update(item.endpoint for item in active)
    return excused


def _quarantine_equals(
    now: float,
    suspicions_by_part: Mapping[str, list[Suspicion]],
    sound: Container[str],
) -> dict[str, PartQuarantine]:
    """Quarantine equally suspect parts, those of the same crashes together."""
    quarantine_by_part: dict[str, PartQuarantine] = {}
    endpoints_by_part = {
        part: frozenset(item.endpoint for item in suspicions)
        for part, suspicions in suspicions_by_part.items()
    }
    for part, suspicions in suspicions_by_part.items():
        deadlines = sorted(
            item.find_deadline(now) for item in list_successive(suspicions)
        )
        suspects = frozenset(
            other
            for other, endpoints in endpoints_by_part.items()
            if len(endpoints_by_part[part] - endpoints) <= MAX_CHANCE_CRASHES
        )
        end = deadlines[-count_needed(part, sound)]
        quarantine_by_part[part] = PartQuarantine(end, suspects)
    return quarantine_by_part


def _quarantine_early(
    now: float, evidence: Evidence, sound: Container[str]
) -> dict[str, PartQuarantine]:
    """Quarantine parts by few crashes, of prompts that were sound otherwise.

    Parts of the same crashes are quarantined only together, and none whose crashes
    another part explains that has more of them.
    """
    crashes_by_part: dict[str, list[Suspicion]] = {}
    for part, suspicions in evidence.items():
        if part in sound or len(suspicions) < EARLY_CRASHES:
            continue
        active = list_current(now, suspicions)
        if len(active) >= EARLY_CRASHES:
            crashes_by_part[part] = active
    endpoints_by_part = {
        part: frozenset(item.endpoint for item in crashes)
        for part, crashes in crashes_by_part.items()
    }
    quarantine_by_part: dict[str, PartQuarantine] = {}
    for part, crashes in crashes_by_part.items():
        if not all(item.is_beside_sound for item in crashes):
            continue
        endpoints = endpoints_by_part[part]
        if any(endpoints < others for others in endpoints_by_part.values()):
            continue
        end = max(item.seen_at for item in crashes) + EARLY_QUARANTINE_S
        if len(crashes) > EARLY_CRASHES:
            deadlines = sorted(item.find_deadline(now) for item in crashes)
            end = max(end, deadlines[-1 - EARLY_CRASHES])
        suspects = frozenset(
            other for other, others in endpoints_by_part.items() if others == endpoints
        )
        quarantine_by_part[part] = PartQuarantine(end, suspects)
    return quarantine_by_part


def list_current(
    now: float, suspicions: Mapping[Incarnation, Suspicion]
) -> list[Suspicion]:
    """Return the suspicions of a part that count toward a quarantine."""
    return list_counted(
        item for item in suspicions.values() if item.find_deadline(now) > now
    )


def list_successive(suspicions: Iterable[Suspicion]) -> list[Suspicion]:
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
