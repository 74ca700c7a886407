"""Suspicions that a call crashed the endpoint at which it broke off or stalled."""

from collections.abc import Iterable
from enum import Enum

import msgspec

from tamaracktray.effects import Effect
from tamaracktray.types import Int64

# Silent endpoints that count as crashed without any other evidence: a fatal request
# must not crash one endpoint after the other until the endpoint list shows it.
SILENCES_TO_COUNT = 4

# Shortest quarantine while the endpoint list can't be read, in seconds.
MIN_QUARANTINE_S = 0.5


class Incarnation(msgspec.Struct, frozen=True, array_like=True):
    """One incarnation of an endpoint.

    ``start_time_ms`` is its start time, a Unix time in milliseconds.
    """

    endpoint_id: str
    start_time_ms: Int64 = 0


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """A suspicion as reported to peers.

    ``age_s`` is its age and ``run_s`` how long the call had been at the endpoint, both
    in seconds. ``is_beside_sound`` is set for a part of a prompt with another part that
    had been answered before, and ``is_silent`` as in ``Suspicion``. If the endpoint
    sent data later, ``answered_age_s`` is the time since then in seconds.
    """

    fingerprint: str
    endpoint: Incarnation
    age_s: float
    is_confirmed: bool = False
    run_s: float = 0.0
    is_beside_sound: bool = False
    is_silent: bool = False
    answered_age_s: float | None = None


class Finding(str, Enum):
    """A change in the state of a suspicion."""

    SUSPECTED = "suspected"
    REPORTED = "told"
    CONFIRMED = "confirmed"
    ANSWERED = "answered"
    LISTED = "listed"
    DROPPED = "dropped"


class LogFinding(Effect, frozen=True):
    """Log a change in the state of a suspicion that is ``age_s`` seconds old."""

    fingerprint: str
    endpoint: Incarnation
    finding: Finding
    age_s: float = 0.0
    reason: str = ""


class ListedEndpoint(msgspec.Struct, frozen=True):
    """The list's entry for an endpoint that is suspected to have crashed."""

    start_time_ms: int
    is_leaving: bool = False


class Suspicion:
    """A call, sent at ``sent_at``, that broke off or stalled at ``seen_at``.

    ``is_local`` is set if this process observed it. ``answered_at`` is when the
    endpoint sent data again, ``None`` if it didn't, and ``is_answer_local`` is set if
    it did so to this process. ``is_silent`` is set if the endpoint merely sent no data,
    as a sound one may for a while. ``is_beside_sound`` is as in ``CrashReport``.
    ``was_listed`` and ``is_leaving`` are taken from the endpoint list. An up-to-date
    list shows a crash by ``verdict_deadline``. ``is_overdue`` is set if the endpoint
    was still listed then; a delayed list may still confirm the crash.
    """

    __slots__ = (
        "answered_at",
        "endpoint",
        "is_answer_local",
        "fingerprint",
        "quarantine_deadline",
        "is_beside_sound",
        "is_confirmed",
        "is_leaving",
        "is_overdue",
        "is_local",
        "is_silent",
        "seen_at",
        "sent_at",
        "verdict_deadline",
        "was_listed",
    )

    def __init__(
        self,
        fingerprint: str,
        endpoint: Incarnation,
        seen_at: float,
        verdict_deadline: float,
        quarantine_deadline: float,
        *,
        is_local: bool,
        is_silent: bool = False,
        run_s: float = 0.0,
    ) -> None:
        self.fingerprint = fingerprint
        self.endpoint = endpoint
        self.seen_at = seen_at
        self.sent_at = seen_at - run_s
        self.verdict_deadline = verdict_deadline
        self.quarantine_deadline = quarantine_deadline
        self.is_local = is_local
        self.is_silent = is_silent
        self.answered_at: float | None = None
        self.is_answer_local = False
        self.is_beside_sound = False
        self.is_confirmed = False
        self.is_leaving = False
        self.is_overdue = False
        self.was_listed = is_local

    @property
    def is_answering(self) -> bool:
        """Whether the endpoint sent data later."""
        return self.answered_at is not None

    def is_refuted_before(self, seen_at: float) -> bool:
        """Return whether the endpoint was sound before it was lost at ``seen_at``."""
        if self.answered_at is None or self.is_confirmed:
            return False
        return self.answered_at < seen_at

    def measure_answer_age(self, now: float) -> float | None:
        """Return the seconds since data refuted it, ``None`` if none has."""
        if self.answered_at is None or self.is_confirmed:
            return None
        return max(now - self.answered_at, 0.0)

    @property
    def is_active(self) -> bool:
        """Whether the suspicion still stands."""
        return self.is_confirmed or not (self.is_answering or self.is_overdue)

    @property
    def is_mere_silence(self) -> bool:
        """Whether nothing but the silence of its endpoint supports the suspicion."""
        return self.is_silent and not self.is_confirmed

    def find_deadline(self, now: float) -> float:
        """Return the time until which the suspicion counts toward a quarantine."""
        if self.is_confirmed:
            return self.quarantine_deadline
        return max(self.verdict_deadline, now + MIN_QUARANTINE_S)

    def describe(self, now: float, finding: Finding, reason: str = "") -> LogFinding:
        """Return the effect that logs a change in its state."""
        age_s = now - self.seen_at
        return LogFinding(self.fingerprint, self.endpoint, finding, age_s, reason)


def list_counted(suspicions: Iterable[Suspicion]) -> list[Suspicion]:
    """Return the suspicions that count toward a quarantine.

    Silence alone counts only if many endpoints fell silent.
    """
    active = [item for item in suspicions if item.is_active]
    if len(active) >= SILENCES_TO_COUNT:
        return active
    if all(item.is_mere_silence for item in active):
        return []
    return active
