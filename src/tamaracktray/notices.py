"""What endpoints say of themselves in answers: that they leave, or take no more yet.

Such a notice binds the process that got it for as long as that life of the endpoint
lasts, whatever lists and peers say of the endpoint meanwhile.
"""

import math

import msgspec

from tamaracktray.effects import Effect
from tamaracktray.events import Event
from tamaracktray.roster import EndpointRecord

# Pause that an endpoint gets whose own figure is unreadable or negative, in seconds.
DEFAULT_PAUSE_S = 1.0

# Longest pause that an endpoint can ask for, in seconds.
MAX_PAUSE_S = 600.0

# Endpoints whose notices are kept after they have left the list.
MAX_UNLISTED = 1_000

MS_PER_S = 1_000.0


class EndpointNoticed(Event, frozen=True):
    """The head of an endpoint's answer said something about the endpoint itself.

    ``pause_s`` is how long it wants nothing more, in seconds, ``None`` if it did not
    ask and not a number if it cannot be read. An answer that ``is_misdirected`` came
    from another endpoint at the same address, or from another life.
    """

    endpoint_id: str
    is_leaving: bool = False
    pause_s: float | None = None
    is_misdirected: bool = False


class NoteNotice(Effect, frozen=True):
    """Note what an endpoint said of itself; ``pause_s`` is the pause that it gets.

    ``is_bounded`` tells that the endpoint's own figure, ``asked_s``, was not usable.
    """

    endpoint_id: str
    is_leaving: bool = False
    pause_s: float | None = None
    asked_s: float | None = None
    is_bounded: bool = False


class Life(msgspec.Struct, frozen=True):
    """One life of an endpoint, as far as the process that heard from it can tell.

    ``latest_born_ms`` is the latest Unix time in milliseconds at which it can have
    started: when it answered, or its start according to the list.
    """

    endpoint_id: str
    latest_born_ms: float

    def includes(self, record: EndpointRecord) -> bool:
        """Tell whether a record may be of this life."""
        return record.born_ms <= self.latest_born_ms


class EndpointNotices:
    """Which endpoints leave or pause, by the endpoints' own answers."""

    __slots__ = ("_leaving_by_id", "_pause_by_id")

    def __init__(self) -> None:
        self._leaving_by_id: dict[str, Life] = {}
        self._pause_by_id: dict[str, tuple[Life, float]] = {}

    def note_leaving(self, life: Life) -> None:
        """Take in that an endpoint leaves."""
        self._leaving_by_id[life.endpoint_id] = life

    def note_pause(self, life: Life, deadline: float) -> None:
        """Take in that an endpoint takes nothing before ``deadline``."""
        _, known = self._pause_by_id.get(life.endpoint_id, (None, 0.0))
        self._pause_by_id[life.endpoint_id] = (life, max(known, deadline))

    def is_leaving(self, record: EndpointRecord) -> bool:
        """Tell whether the endpoint of a record has said that it leaves."""
        life = self._leaving_by_id.get(record.id)
        return life is not None and life.includes(record)

    def find_pause_deadline(self, record: EndpointRecord) -> float:
        """Return when the endpoint of a record takes calls again, 0 if it does now."""
        life, deadline = self._pause_by_id.get(record.id, (None, 0.0))
        return deadline if life is not None and life.includes(record) else 0.0

    def expire(self, now: float, listed: dict[str, EndpointRecord]) -> None:
        """Forget pauses that are over and the oldest endpoints that are not listed."""
        for endpoint_id, (_, deadline) in list(self._pause_by_id.items()):
            if deadline <= now:
                del self._pause_by_id[endpoint_id]
        unlisted = [name for name in self._leaving_by_id if name not in listed]
        for endpoint_id in unlisted[:-MAX_UNLISTED]:
            del self._leaving_by_id[endpoint_id]


def bound_pause(asked_s: float) -> float:
    """Return the pause in seconds that an endpoint gets when it asks for one."""
    if math.isnan(asked_s) or asked_s < 0.0:
        return DEFAULT_PAUSE_S
    return min(asked_s, MAX_PAUSE_S)
