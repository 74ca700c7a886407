"""Events: the inputs of the reducer, as plain data.

Every event has ``now``, the monotonic time in seconds at which the shell received it.
Deadlines in events use the same clock.
"""

import msgspec

from tamaracktray.outcomes import (
    AttemptPhase,
    ClaimOutcome,
    FetchOutcome,
    RunOutcome,
    SlotOutcome,
)
from tamaracktray.resources import Resource
from tamaracktray.types import Address, Instance, Load, Priority, Refusal, TargetKind
from tamaracktray.weights import Manifest


class Event(msgspec.Struct, frozen=True):
    """Base class of all events."""

    now: float


class Tick(Event, frozen=True):
    """A periodic timer event, on which deadlines are checked.

    ``random_value`` is a random number, the only source of randomness in the reducer.
    ``responsive_ids`` holds the endpoints that sent data since the last tick, and
    ``progress_at_by_call`` when data of each answer last arrived since then.
    ``sending_ids`` holds the calls whose answers wait for their callers to read.
    ``open_connections`` counts the caller connections on which a request is being
    received or answered. ``store_era`` is the latest era of the platform's store,
    ``None`` while unknown.
    """

    random_value: int = 0
    responsive_ids: frozenset[str] = frozenset()
    progress_at_by_call: dict[str, float] = {}
    sending_ids: frozenset[str] = frozenset()
    open_connections: int = 0
    store_era: int | None = None


class ObjectsReceived(Event, frozen=True):
    """Configuration objects arrived from the platform or from a peer.

    ``revision`` is the revision up to which the sender knows every change.
    ``complete`` means that ``resources`` is the whole configuration.
    """

    resources: list[Resource]
    revision: int
    complete: bool = False
    from_platform: bool = False


class InstancesListed(Event, frozen=True):
    """The platform's instance list was read."""

    instances: list[Instance]


class CrashNote(msgspec.Struct, frozen=True):
    """An endpoint crashed while it ran a request with this fingerprint."""

    fingerprint: str
    endpoint: str
    deadline: float


class PeerReported(Event, frozen=True):
    """A peer reported its name, zone, configuration digest and recent crashes.

    ``contact_deadline_by_zone`` holds the deadline of the peer's contact with each
    availability zone; the empty name stands for the platform. ``is_caught_up`` means
    that this process has applied every change that the peer knew.
    """

    name: str
    zone: str
    digest: int
    crash_notes: list[CrashNote] = []
    contact_deadline_by_zone: dict[str, float] = {}
    control: Address | None = None
    leaving: bool = False
    is_caught_up: bool = False


class ShutdownRequested(Event, frozen=True):
    """The process was asked to stop."""


class CallerRequest(msgspec.Struct, frozen=True):
    """The properties of a request that the reducer uses.

    ``fingerprint`` is a digest of the target and the body, ``affinity`` one of the part
    of the body that endpoints cache, and ``key`` one of the idempotency key and its
    scope.
    """

    id: str
    kind: TargetKind
    target: str
    team: str
    priority: Priority
    deadline: float
    fingerprint: str
    affinity: str
    key: str = ""

    @property
    def is_repeatable(self) -> bool:
        """Return whether the request is safe to run again."""
        return self.kind is TargetKind.MODEL or bool(self.key)


class RequestArrived(Event, frozen=True):
    """An entry received a complete request from a caller."""

    request: CallerRequest


class AttemptEnded(Event, frozen=True):
    """An attempt of an entry ended.

    ``ANSWERED`` means that the complete answer was relayed, ``CUT`` that it ended early
    after its head had been relayed. ``refusal`` is the refusal by the agent, if any.
    ``load`` is the load of the endpoint, if reported.
    """

    request_id: str
    endpoint: str
    phase: AttemptPhase
    refusal: Refusal | None = None
    load: Load | None = None
    detail: str = ""


class RequestEnded(Event, frozen=True):
    """An entry has sent its final answer, or the caller has disconnected."""

    request_id: str


class AttemptArrived(Event, frozen=True):
    """An agent received an attempt from an entry."""

    attempt: CallerRequest


class ClaimAnswered(Event, frozen=True):
    """The platform answered the claim of an idempotency key."""

    attempt_id: str
    outcome: ClaimOutcome
    retry_after_s: float | None = None


class RunProgressed(Event, frozen=True):
    """The first byte of an endpoint's answer arrived."""

    attempt_id: str


class RunEnded(Event, frozen=True):
    """A run at the endpoint ended and no longer uses its capacity."""

    attempt_id: str
    outcome: RunOutcome


class EngineReported(Event, frozen=True):
    """A model engine reported its state.

    ``boot`` changes with every start of the engine. ``manifest`` is the digest of the
    version in service. ``cold`` is ``None`` if the engine does not report it.
    """

    boot: str
    manifest: str
    ready: bool
    cold: bool | None = None
    staged: list[str] = []


class EngineLost(Event, frozen=True):
    """The endpoint does not answer status calls."""


class ManifestFetched(Event, frozen=True):
    """A manifest was read and verified, or no source had it."""

    digest: str
    manifest: Manifest | None


class ChunkFetched(Event, frozen=True):
    """A chunk was staged in the engine, or the fetch failed.

    ``source`` is the name of an instance, or empty for the origin. ``bitmap`` is the
    source's map of the chunks of ``manifest`` that it has, if reported.
    """

    digest: str
    source: str
    outcome: FetchOutcome
    manifest: str = ""
    bitmap: int | None = None


class WeightsVerified(Event, frozen=True):
    """All staged chunks were read back, from ``began_at`` on.

    ``bad_chunks`` failed verification.
    """

    manifest: str
    bad_chunks: list[str]
    began_at: float


class SlotAnswered(Event, frozen=True):
    """The platform answered the claim of a rollout slot.

    ``fence`` is the fencing token: the platform revision of the claim, which increases
    with every claim. ``lease_deadline`` is on the monotonic clock of this process.
    """

    manifest: str
    outcome: SlotOutcome
    fence: int = 0
    lease_deadline: float = 0.0
    reason: str = ""


class VersionLoaded(Event, frozen=True):
    """The engine executed or rejected an order to load a version."""

    manifest: str
    is_loaded: bool
    reason: str = ""


class LoadWithdrawn(Event, frozen=True):
    """An order to load a version was not sent, because it had expired."""

    manifest: str
    reason: str
