"""Callers' requests to routes, with the events and effects that concern them."""

import msgspec

from tamaracktray.effects import Effect
from tamaracktray.events import Event
from tamaracktray.outcomes import AttemptPhase
from tamaracktray.routes import Route
from tamaracktray.types import Address, Refusal

# Prompt tokens that count as much as one output token in the size of a call.
OUTPUT_SIZE = 10.0


class Call(msgspec.Struct, frozen=True):
    """One request of a caller on a route.

    ``id`` is unique in this process; ``request_id`` is the caller's own. ``services``
    are the services that may take it, the drawn one first. ``deadline`` is the
    monotonic time at which the caller, or the route, gives up. An empty ``regions``
    allows all. Token counts are 0 for calls without a prompt; ``output_tokens`` is the
    estimate of what will be generated and ``max_output`` its bound. ``wait_s`` is how
    long the caller says it waits, 0 if it does not. ``fingerprint`` is
    equal for equal requests of one caller.
    """

    id: str
    request_id: str
    route: Route
    services: tuple[str, ...]
    arrived: float
    deadline: float
    team: str = ""
    priority: int = 0
    regions: frozenset[str] = frozenset()
    model: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    max_output: int = 0
    wait_s: float = 0.0
    session: str = ""
    fingerprint: str = ""
    last_event_id: str = ""

    @property
    def size(self) -> float:
        """Return the size by which operators compare calls of a route."""
        return self.prompt_tokens + OUTPUT_SIZE * self.max_output


class CallArrived(Event, frozen=True):
    """A caller's request was read and belongs to a route."""

    call: Call


class CallAttemptEnded(Event, frozen=True):
    """An attempt at an endpoint ended.

    ``is_reset`` tells that the endpoint broke the connection. ``last_event_id`` is the
    last whole event of a stream that the caller has got.
    """

    call_id: str
    endpoint_id: str
    phase: AttemptPhase
    status: int = 0
    is_reset: bool = False
    last_event_id: str = ""
    detail: str = ""


class CallStarted(Event, frozen=True):
    """The first part of an endpoint's answer arrived; ``version`` is of the weights."""

    call_id: str
    endpoint_id: str
    version: int = 0


class CallEnded(Event, frozen=True):
    """The caller got its final answer or is gone."""

    call_id: str


class FleetView(msgspec.Struct, frozen=True):
    """What a decision on a call was based on.

    Of the ``listed`` endpoints of the call's services, ``eligible`` ones may run it;
    of these, ``blocked`` ones failed or were full lately, ``paused`` ones have asked
    for nothing more yet, ``swapping`` ones load a new version and ``running`` calls are
    at all of them together. ``waiting`` calls wait in this process. ``version_floor``
    is the oldest version that may answer.
    """

    listed: int = 0
    eligible: int = 0
    blocked: int = 0
    paused: int = 0
    swapping: int = 0
    running: int = 0
    waiting: int = 0
    version_floor: int = 0


class SendCall(Effect, frozen=True):
    """Send a call to an endpoint.

    ``version`` is the version that must answer, 0 for any. ``last_event_id`` is set
    when a stream goes on at another endpoint. ``running`` counts the calls that were at
    the endpoint before, ``held_version`` is the version that it was thought to hold and
    ``version_floor`` the oldest one allowed.
    """

    call_id: str
    attempt: int
    endpoint_id: str
    address: Address
    version: int = 0
    urgency: int | None = None
    last_event_id: str = ""
    running: int = 0
    held_version: int = 0
    version_floor: int = 0


class TellLoads(Effect, frozen=True):
    """Tell peers near by at once of a place that was borrowed."""


class RefuseCall(Effect, frozen=True):
    """Answer a call with a final error."""

    call_id: str
    refusal: Refusal
    view: FleetView = FleetView()


class AbandonAttempt(Effect, frozen=True):
    """Give up the attempt under way, so that the call can go elsewhere."""

    call_id: str
    reason: str = ""


class CutCall(Effect, frozen=True):
    """Break off an answer that has begun and cannot be completed."""

    call_id: str
    reason: str


class RelayFailure(Effect, frozen=True):
    """Pass on the failure that an endpoint answered last."""

    call_id: str
