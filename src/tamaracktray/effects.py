"""Effects: everything that the reducer may ask the shell to do, as plain data."""

import msgspec

from tamaracktray.types import Address, Refusal


class Effect(msgspec.Struct, frozen=True):
    """Base of all effects."""


class PublishConfiguration(Effect, frozen=True):
    """Let peers and readers see the configuration in force."""


class ExchangeWithPeer(Effect, frozen=True):
    """Tell a peer the revision in force and take what it knows beyond."""

    peer: str
    control: Address


class ProbePlatform(Effect, frozen=True):
    """Read the newest configuration changes at once, without waiting for any."""


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
    """Answer an attempt with the recorded answer of its key."""

    attempt_id: str


class StartRun(Effect, frozen=True):
    """Send an attempt to the endpoint.

    ``manifest`` is the version the answer must come from; empty for plain services.
    """

    attempt_id: str
    manifest: str


class ReleaseKey(Effect, frozen=True):
    """Undo the claim of an attempt that was never sent to the endpoint."""

    attempt_id: str


class FetchManifest(Effect, frozen=True):
    """Read and verify a manifest from peers, and from the origin if they lack it."""

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
    """Claim a rollout slot of the own availability zone.

    ``failure_limit`` is ``None`` where failures of the rollout do not count.
    """

    manifest: str
    rollout: str
    max_unavailable: int
    failure_limit: int | None
    is_swap: bool


class ReleaseSlot(Effect, frozen=True):
    """Give a rollout slot back; ``failure`` records why the version failed."""

    rollout: str
    failure: str = ""


class LoadVersion(Effect, frozen=True):
    """Order the engine to load a version under a fencing number."""

    manifest: str
    chunks: list[str]
    fence: int


class ReportEndpoint(Effect, frozen=True):
    """Write the endpoint's state to the platform; sent on changes only."""

    phase: str
    version: str
    target: str
    reason: str


class Exit(Effect, frozen=True):
    """All work is finished after a shutdown request; the process ends."""
