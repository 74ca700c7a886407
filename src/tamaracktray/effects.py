"""Effects: the actions that the reducer requests from the shell, as plain data."""

import msgspec

from tamaracktray.types import Address, Refusal


class Effect(msgspec.Struct, frozen=True):
    """Base class of all effects."""


class PublishConfiguration(Effect, frozen=True):
    """Publish the current configuration to peers and readers."""


class ExchangeWithPeer(Effect, frozen=True):
    """Send a peer the current revision and fetch the newer changes that it knows."""

    peer: str
    control: Address


class ProbePlatform(Effect, frozen=True):
    """Read the newest configuration changes from the platform without blocking."""


class SendAttempt(Effect, frozen=True):
    """Send a request to the agent that accepts requests at ``address``."""

    request_id: str
    attempt: int
    endpoint: str
    address: Address


class AnswerRefusal(Effect, frozen=True):
    """Answer a caller of an entry with a final error."""

    request_id: str
    refusal: Refusal


class RefuseAttempt(Effect, frozen=True):
    """Answer an entry with a final error."""

    attempt_id: str
    refusal: Refusal


class ClaimKey(Effect, frozen=True):
    """Claim the idempotency key of an attempt on the platform."""

    attempt_id: str


class ReplayAnswer(Effect, frozen=True):
    """Answer an attempt with the recorded answer of its idempotency key."""

    attempt_id: str


class StartRun(Effect, frozen=True):
    """Send an attempt to the endpoint.

    ``manifest`` is the version that must produce the answer, and empty for services.
    """

    attempt_id: str
    manifest: str


class ReleaseKey(Effect, frozen=True):
    """Release the claim of an attempt that was not sent to the endpoint."""

    attempt_id: str


class FetchManifest(Effect, frozen=True):
    """Fetch and verify a manifest from peers, or from the origin if they lack it."""

    digest: str
    peers: list[Address] = []
    may_use_origin: bool = True


class FetchChunk(Effect, frozen=True):
    """Fetch one chunk, verify it and stage it in the engine.

    ``source`` is ``None`` for the origin.
    """

    digest: str
    source_name: str
    source: Address | None
    is_cross_region: bool
    timeout_s: float


class VerifyWeights(Effect, frozen=True):
    """Read all staged chunks back from the engine and compare their digests."""

    manifest: str
    chunks: list[str]


class ClaimSlot(Effect, frozen=True):
    """Claim a rollout slot of the local availability zone.

    ``failure_limit`` is ``None`` if failures of the rollout are ignored.
    """

    manifest: str
    rollout: str
    max_unavailable: int
    failure_limit: int | None
    is_swap: bool


class ReleaseSlot(Effect, frozen=True):
    """Release a rollout slot; ``failure`` is the reason if the version failed."""

    rollout: str
    failure: str = ""


class LoadVersion(Effect, frozen=True):
    """Order the engine to load a version under a fencing token.

    The order is not sent after ``deadline``, because the staged chunks may have turned
    bad since they were verified, or the slot may have another holder.
    """

    manifest: str
    chunks: list[str]
    fence: int
    deadline: float


class ReportEndpoint(Effect, frozen=True):
    """Write the endpoint's state to the platform; requested only on changes."""

    phase: str
    version: str
    target: str
    reason: str


class Exit(Effect, frozen=True):
    """End the process; all work has finished after a shutdown request."""
