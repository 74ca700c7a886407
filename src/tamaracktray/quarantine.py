"""Quarantine of requests that crash endpoints.

A request whose fingerprint crashed two distinct endpoints is refused until the crash
notes expire. Processes exchange their notes and keep the latest deadline of each.
"""

from collections.abc import Iterable

from tamaracktray.events import CrashNote

CRASHES_TO_QUARANTINE = 2
MAX_NOTES = 1_000


class CrashLedger:
    """Recent crashes by request fingerprint and endpoint."""

    __slots__ = ("_deadlines_by_fingerprint", "_quarantine_s")

    def __init__(self, quarantine_s: float) -> None:
        self._quarantine_s = quarantine_s
        self._deadlines_by_fingerprint: dict[str, dict[str, float]] = {}

    def record(self, now: float, fingerprint: str, endpoint: str) -> None:
        """Record a crash seen by this process."""
        self.merge(now, [CrashNote(fingerprint, endpoint, now + self._quarantine_s)])

    def merge(self, now: float, notes: Iterable[CrashNote]) -> None:
        """Merge notes; no deadline exceeds the quarantine time from now."""
        for note in notes:
            deadline = min(note.deadline, now + self._quarantine_s)
            if deadline <= now:
                continue
            if len(self._deadlines_by_fingerprint) >= MAX_NOTES:
                self.expire(now)
            deadlines = self._deadlines_by_fingerprint.setdefault(note.fingerprint, {})
            deadlines[note.endpoint] = max(deadlines.get(note.endpoint, 0.0), deadline)

    def find_quarantine_end(self, now: float, fingerprint: str) -> float | None:
        """Return the end of a request's quarantine, or ``None`` if there is none."""
        deadlines = self._deadlines_by_fingerprint.get(fingerprint)
        if deadlines is None:
            return None
        active = sorted(deadline for deadline in deadlines.values() if deadline > now)
        if len(active) < CRASHES_TO_QUARANTINE:
            return None
        return active[-CRASHES_TO_QUARANTINE]

    def crashed_endpoints(self, now: float, fingerprint: str) -> set[str]:
        """Return the endpoints that a fingerprint crashed recently."""
        deadlines = self._deadlines_by_fingerprint.get(fingerprint, {})
        return {name for name, deadline in deadlines.items() if deadline > now}

    def list_notes(self, now: float) -> list[CrashNote]:
        """Return the notes that have not expired."""
        return [
            CrashNote(fingerprint, endpoint, deadline)
            for fingerprint, deadlines in self._deadlines_by_fingerprint.items()
            for endpoint, deadline in deadlines.items()
            if deadline > now
        ]

    def expire(self, now: float) -> None:
        """Drop expired notes."""
        for fingerprint, deadlines in list(self._deadlines_by_fingerprint.items()):
            for endpoint, deadline in list(deadlines.items()):
                if deadline <= now:
                    del deadlines[endpoint]
            if not deadlines:
                del self._deadlines_by_fingerprint[fingerprint]
