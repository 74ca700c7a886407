"""Checks the requests that endpoints receive after a leaving or pause notice."""

import msgspec

from tamaracktray_emulator.soak.fault_log import FaultLog
from tamaracktray_emulator.soak.record import SoakCall, SoakRecord

# Time after an entry forwarded a leaving notice from which it may not send the endpoint
# further requests, in seconds.
DRAIN_S = 2.0

# Time after a pause notice from which an entry must respect the pause, in seconds, and
# the number of requests that may still arrive during the pause.
PAUSE_EFFECT_S = 0.5
MAX_REQUESTS_IN_PAUSE = 2


class Pause(msgspec.Struct):
    """A pause requested from an entry; ``arrivals`` counts requests during it."""

    entry: str
    endpoint: str
    begin: float
    end: float
    arrivals: int = 0


class NoticeChecker:
    """Checks requests against the notices that their endpoint sent to the entry."""

    def __init__(self, record: SoakRecord, fault_log: FaultLog) -> None:
        self._record = record
        self._fault_log = fault_log
        self._left_at: dict[tuple[str, str], float] = {}
        self._restarted_at: dict[str, float] = {}
        self._pauses: list[Pause] = []

    def note_forwarded_notice(self, call: SoakCall, endpoint: str) -> None:
        """Record that an entry forwarded an endpoint's leaving notice.

        A notice in the answer to a call sent before the endpoint last restarted may
        come from the previous incarnation, and is ignored.
        """
        if call.sent_at > self._restarted_at.get(endpoint, 0.0):
            self._left_at.setdefault((call.entry, endpoint), call.ended_at)

    def note_restart(self, endpoint: str, now: float) -> None:
        """Record an endpoint's restart, which cancels its earlier leaving notices."""
        self._restarted_at[endpoint] = now
        for key in [key for key in self._left_at if key[1] == endpoint]:
            del self._left_at[key]

    def note_entry_restart(self, entry: str) -> None:
        """Forget the notices that an entry got before a restart, as it keeps none."""
        for key in [key for key in self._left_at if key[0] == entry]:
            del self._left_at[key]
        self._pauses = [pause for pause in self._pauses if pause.entry != entry]

    def note_arrival(self, call_id: str, endpoint: str, now: float) -> None:
        """Check a request that reached the endpoint it was addressed to."""
        call = self._record.calls_by_id.get(call_id)
        if call is None:
            return
        self._check_leaving(call, endpoint, now)
        for pause in self._pauses:
            if (pause.entry, pause.endpoint) != (call.entry, endpoint):
                continue
            if not pause.begin + PAUSE_EFFECT_S < now < pause.end:
                continue
            pause.arrivals += 1
            holds = pause.arrivals <= MAX_REQUESTS_IN_PAUSE or self._had_fault(
                pause.begin, now, call.entry, f"path to {endpoint}"
            )
            self._record.check("pauses are kept", holds, now, call_id)

    def note_pause(
        self, call_id: str, endpoint: str, now: float, pause_s: float
    ) -> None:
        """Record that an endpoint refused a request and asked for a pause."""
        call = self._record.calls_by_id.get(call_id)
        if call is not None:
            self._pauses.append(Pause(call.entry, endpoint, now, now + pause_s))

    def _check_leaving(self, call: SoakCall, endpoint: str, now: float) -> None:
        left_at = self._left_at.get((call.entry, endpoint))
        if left_at is None or call.sent_at <= left_at + DRAIN_S:
            return
        holds = self._had_fault(left_at, now, call.entry)
        self._record.check("nothing after leaving", holds, now, call.id)

    def _had_fault(self, begin: float, end: float, *subjects: str) -> bool:
        return any(self._fault_log.has_fault(name, begin, end) for name in subjects)
