"""Notices in endpoints' answers: that the endpoint leaves, or asks for a pause.

The process that received a notice follows it for the lifetime of that incarnation of
the endpoint, regardless of what the endpoint list and peers report meanwhile.
"""

import math

import msgspec

from tamaracktray.effects import Effect
from tamaracktray.events import Event
from tamaracktray.roster import EndpointRecord

# Pause used if the requested one is invalid or negative, in seconds.
DEFAULT_PAUSE_S = 1.0

# Longest pause that an endpoint can request, in seconds.
MAX_PAUSE_S = 600.0

# Number of endpoints whose notices are kept after they have left the endpoint list.
MAX_UNLISTED = 1_000

MS_PER_S = 1_000.0


class EndpointNoticeReceived(Event, frozen=True):
    """An endpoint's answer contained a notice about the endpoint in its headers.

    ``pause_s`` is the requested pause in seconds, ``None`` if there is none and NaN if
    it is unreadable. An answer that ``is_misdirected`` came from another endpoint at
    the same address, or from another incarnation. ``start_time_ms`` is the start time
    of the endpoint that was called, in Unix milliseconds.
    """

    endpoint_id: str
    is_leaving: bool = False
    pause_s: float | None = None
    is_misdirected: bool = False
    start_time_ms: int = 0


class LogNotice(Effect, frozen=True):
    """Log a notice; ``pause_s`` is the pause that is applied, in seconds.

    ``is_bounded`` is set if the requested pause, ``asked_s``, was replaced.
    """

    endpoint_id: str
    is_leaving: bool = False
    pause_s: float | None = None
    asked_s: float | None = None
    is_bounded: bool = False


class NoticedIncarnation(msgspec.Struct, frozen=True):
    """One incarnation of an endpoint, identified by an upper bound of its start time.

    ``latest_start_ms`` is the latest Unix time in milliseconds at which it can have
    started: when its answer arrived, or the listed start time if that is later by the
    clock of this process, which may be behind.
    """

    endpoint_id: str
    latest_start_ms: float

    def includes(self, record: EndpointRecord) -> bool:
        """Return whether a record may describe this incarnation."""
        return record.start_time_ms <= self.latest_start_ms

    def merge(self, earlier: "NoticedIncarnation | None") -> "NoticedIncarnation":
        """Return the later bound; a clock that steps back yields an early one."""
        if earlier is None or earlier.latest_start_ms < self.latest_start_ms:
            return self
        return earlier


class EndpointNotices:
    """Notices of all endpoints: which ones leave, and which ones are paused."""

    __slots__ = ("_leaving_by_id", "_pause_by_id")

    def __init__(self) -> None:
        self._leaving_by_id: dict[str, NoticedIncarnation] = {}
        self._pause_by_id: dict[str, tuple[NoticedIncarnation, float]] = {}

    def note_leaving(self, incarnation: NoticedIncarnation) -> None:
        """Record that an endpoint leaves."""
        known = self._leaving_by_id.get(incarnation.endpoint_id)
        self._leaving_by_id[incarnation.endpoint_id] = incarnation.merge(known)

    def note_pause(self, incarnation: NoticedIncarnation, deadline: float) -> None:
        """Record a pause until ``deadline``, unless a longer one is known."""
        endpoint_id = incarnation.endpoint_id
        known, known_deadline = self._pause_by_id.get(endpoint_id, (None, 0.0))
        pause = (incarnation.merge(known), max(known_deadline, deadline))
        self._pause_by_id[endpoint_id] = pause

    def is_leaving(self, record: EndpointRecord) -> bool:
        """Return whether the endpoint of a record has announced that it leaves."""
        incarnation = self._leaving_by_id.get(record.id)
        return incarnation is not None and incarnation.includes(record)

    def find_pause_deadline(self, record: EndpointRecord) -> float:
        """Return when the pause of a record's endpoint ends, 0 if it is not paused."""
        paused, deadline = self._pause_by_id.get(record.id, (None, 0.0))
        return deadline if paused is not None and paused.includes(record) else 0.0

    def expire(self, now: float, listed: dict[str, EndpointRecord]) -> None:
        """Remove pauses that have ended and the oldest unlisted endpoints."""
        for endpoint_id, (_, deadline) in list(self._pause_by_id.items()):
            if deadline <= now:
                del self._pause_by_id[endpoint_id]
        unlisted = [name for name in self._leaving_by_id if name not in listed]
        for endpoint_id in unlisted[:-MAX_UNLISTED]:
            del self._leaving_by_id[endpoint_id]


def bound_pause(asked_s: float) -> float:
    """Return the pause to apply for a requested one, in seconds."""
    if math.isnan(asked_s) or asked_s < 0.0:
        return DEFAULT_PAUSE_S
    return min(asked_s, MAX_PAUSE_S)
