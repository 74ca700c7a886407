"""What may reach endpoints that said to an entry that they leave, or want a pause."""

import msgspec

from tamaracktray_emulator.soak.calm import CalmLog
from tamaracktray_emulator.soak.record import SoakCall, SoakRecord

# Time after an entry passed on that an endpoint leaves by which nothing may reach the
# endpoint from there, in seconds.
DRAIN_S = 2.0

# Time after an endpoint asked for a pause by which an entry must keep to it, in
# seconds, and the requests that may still reach it.
SETTLE_S = 0.5
ALLOWED_IN_PAUSE = 2


class Pause(msgspec.Struct):
    """A pause that an endpoint asked of an entry; ``arrivals`` came within it."""

    entry: str
    endpoint: str
    begin: float
    end: float
    arrivals: int = 0


class NoticeCheck:
    """Checks what reaches endpoints against what they said to each entry."""

    def __init__(self, record: SoakRecord, calm: CalmLog) -> None:
        self._record = record
        self._calm = calm
        self._left_at: dict[tuple[str, str], float] = {}
        self._born_at: dict[str, float] = {}
        self._pauses: list[Pause] = []

    def note_passed_on(self, call: SoakCall, endpoint: str) -> None:
        """Take in that an entry passed on an answer of an endpoint that leaves.

        The answer to a call from before the endpoint's present life may be of an
        earlier one, which this life is not bound by.
        """
        if call.sent_at > self._born_at.get(endpoint, 0.0):
            self._left_at.setdefault((call.entry, endpoint), call.ended_at)

    def note_new_life(self, endpoint: str, now: float) -> None:
        """Take in that an endpoint starts again, and nothing of before binds."""
        self._born_at[endpoint] = now
        for key in [key for key in self._left_at if key[1] == endpoint]:
            del self._left_at[key]

    def note_arrival(self, call_id: str, endpoint: str, now: float) -> None:
        """Check a request that reached an endpoint and was meant for it."""
        call = self._record.calls_by_id.get(call_id)
        if call is None:
            return
        self._check_leaving(call, endpoint, now)
        for pause in self._pauses:
            if (pause.entry, pause.endpoint) != (call.entry, endpoint):
                continue
            if not pause.begin + SETTLE_S < now < pause.end:
                continue
            pause.arrivals += 1
            holds = pause.arrivals <= ALLOWED_IN_PAUSE or self._is_excused(
                pause.begin, now, call.entry, f"path to {endpoint}"
            )
            self._record.check("pauses are kept", holds, now, call_id)

    def note_pause(
        self, call_id: str, endpoint: str, now: float, pause_s: float
    ) -> None:
        """Take in that an endpoint turned a request away and asked for a pause."""
        call = self._record.calls_by_id.get(call_id)
        if call is not None:
            self._pauses.append(Pause(call.entry, endpoint, now, now + pause_s))

    def _check_leaving(self, call: SoakCall, endpoint: str, now: float) -> None:
        left_at = self._left_at.get((call.entry, endpoint))
        if left_at is None or call.sent_at <= left_at + DRAIN_S:
            return
        holds = self._is_excused(left_at, now, call.entry)
        self._record.check("nothing after leaving", holds, now, call.id)

    def _is_excused(self, begin: float, end: float, *subjects: str) -> bool:
        return any(self._calm.is_harmed(name, begin, end) for name in subjects)
