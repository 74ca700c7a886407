"""Calls, which are callers' requests on routes, with their events and effects."""

import msgspec

from tamaracktray.answer_ends import AnswerEnd
from tamaracktray.effects import Effect
from tamaracktray.events import Event
from tamaracktray.outcomes import AttemptPhase
from tamaracktray.routes import Route
from tamaracktray.types import Address, Refusal

# Weight of an output token in the size of a call, relative to a prompt token.
OUTPUT_SIZE = 10.0

# Urgency of a call: its team's priority, then its route's.
Rank = tuple[int, int]


class Call(msgspec.Struct, frozen=True):
    """One request of a caller on a route.

    ``id`` is unique in this process; ``request_id`` comes from the caller. ``services``
    are the services that may run it, the selected one first. ``deadline`` is the
    monotonic time at which the caller, or the route, gives up. ``host``, ``path`` and
    ``key`` are the caller's; ``route``, ``services``, ``team`` and ``regions`` follow
    from them by the routing table of version ``routing_version``. An empty ``regions``
    allows all. ``priority`` is the team's, or the route's if the team has none, and
    ``route_priority`` is always the route's; lower is more urgent. Token counts are 0
    for calls without a prompt; ``output_tokens`` is the estimated length of the output
    and ``max_output`` its limit. ``wait_s`` is the time that the caller says it still
    waits, in seconds, 0 if unknown. ``fingerprint`` is equal for equal requests of one
    caller. ``parts`` are digests of the prompt parts that other requests may share.
    """

    id: str
    request_id: str
    route: Route
    services: tuple[str, ...]
    arrived: float
    deadline: float
    host: str = ""
    path: str = ""
    key: str = ""
    routing_version: int = 0
    team: str = ""
    priority: int = 0
    route_priority: int = 0
    regions: frozenset[str] = frozenset()
    model: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    max_output: int = 0
    wait_s: float = 0.0
    session: str = ""
    fingerprint: str = ""
    last_event_id: str = ""
    parts: tuple[str, ...] = ()

    @property
    def rank(self) -> Rank:
        """Return the urgency among calls of a service; lower is more urgent."""
        return (self.priority, self.route_priority)

    @property
    def size(self) -> float:
        """Return the size by which operators compare calls of a route."""
        return self.prompt_tokens + OUTPUT_SIZE * self.max_output


class CallArrived(Event, frozen=True):
    """A caller's request was read and matched to a route."""

    call: Call


class CallAttemptEnded(Event, frozen=True):
    """An attempt at an endpoint ended.

    ``is_reset`` is set if the endpoint reset the connection. ``last_event_id`` is the
    id of the last complete stream event that was passed to the caller. ``answer_end``
    is how the body of the answer ended, ``None`` if it wasn't read to an end.
    ``is_parked`` is set if the call left the attempt, which goes on and may be resumed.
    """

    call_id: str
    endpoint_id: str
    phase: AttemptPhase
    status: int = 0
    is_reset: bool = False
    last_event_id: str = ""
    detail: str = ""
    answer_end: AnswerEnd | None = None
    is_parked: bool = False


class AttemptResumed(Event, frozen=True):
    """An attempt that its call had decided to leave goes on.

    If it was parked already, no other endpoint has begun to answer.
    """

    call_id: str
    endpoint_id: str


class CallStarted(Event, frozen=True):
    """An endpoint's answer began.

    ``version`` is the version of its weights. ``has_event_id`` is set if it is a stream
    whose events have ids.
    """

    call_id: str
    endpoint_id: str
    version: int = 0
    has_event_id: bool = False


class CallEnded(Event, frozen=True):
    """The caller got its final answer or disconnected."""

    call_id: str


class FleetView(msgspec.Struct, frozen=True):
    """Counts on which the decision on a call was based.

    ``listed`` counts the endpoints of the call's services and ``eligible`` those that
    may run it. Of the eligible ones, ``blocked`` count those that recently failed or
    were full, ``paused`` those that asked for a pause, ``swapping`` those that load a
    new version, ``slow`` those with fewer slots for their pace, ``saturated`` those
    whose queue or memory is full, and ``running`` all their calls. ``waiting`` counts
    the calls queued in this process and ``promised`` the places promised to refused
    callers. ``version_floor`` is the oldest version that may answer.
    """

    listed: int = 0
    eligible: int = 0
    blocked: int = 0
    paused: int = 0
    swapping: int = 0
    running: int = 0
    waiting: int = 0
    version_floor: int = 0
    slow: int = 0
    saturated: int = 0
    promised: int = 0


class SendCall(Effect, frozen=True):
    """Send a call to an endpoint.

    ``team`` is the caller's team, empty if there is none. ``version`` is the version
    that must answer, 0 for any. ``last_event_id`` is set
    when a stream is resumed at another endpoint. ``running`` counts the calls at the
    endpoint before this one, ``held_version`` is the version that it was expected to
    hold and ``version_floor`` the oldest one allowed. ``is_trial`` is set if the call
    tests quarantined parts of its prompt. ``start_time_ms`` is the endpoint's start
    time in Unix milliseconds. ``is_spilled`` is set if the endpoint is in another
    region, because the own one has too little room.
    """

    call_id: str
    attempt: int
    endpoint_id: str
    address: Address
    team: str = ""
    version: int = 0
    urgency: int | None = None
    last_event_id: str = ""
    running: int = 0
    held_version: int = 0
    version_floor: int = 0
    is_trial: bool = False
    start_time_ms: int = 0
    is_spilled: bool = False


class SendLoadBeacon(Effect, frozen=True):
    """Send a load report to nearby peers at once, because a slot was borrowed."""


class RefuseCall(Effect, frozen=True):
    """Answer a call with a final error.

    ``is_shed`` is set if admission control refused the call on its arrival.
    """

    call_id: str
    refusal: Refusal
    view: FleetView = FleetView()
    is_shed: bool = False


class AbandonAttempt(Effect, frozen=True):
    """Abandon the attempt in flight to retry the call elsewhere."""

    call_id: str
    reason: str = ""


class LeaveAttempt(AbandonAttempt, frozen=True):
    """Park the attempt in flight and retry the call elsewhere meanwhile."""


class ResumeAttempt(Effect, frozen=True):
    """Wait for a parked attempt again, as no other endpoint takes the call.

    The call was sent there ``age_s`` seconds ago.
    """

    call_id: str
    endpoint_id: str
    age_s: float = 0.0


class EndParkedAttempt(Effect, frozen=True):
    """End a parked attempt that must not go on."""

    call_id: str
    endpoint_id: str
    reason: str = ""


class AbortAnswer(Effect, frozen=True):
    """Abort an answer that has begun and cannot be completed."""

    call_id: str
    reason: str


class RelayFailure(Effect, frozen=True):
    """Relay the last failure answer of an endpoint to the caller."""

    call_id: str
