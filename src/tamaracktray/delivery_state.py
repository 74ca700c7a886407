"""Delivery state of one agent, and the choice of its target version."""

from enum import Enum

import msgspec

from tamaracktray.configuration import Configuration
from tamaracktray.effects import ReportEndpoint
from tamaracktray.holders import Holders
from tamaracktray.resources import Kind, RolloutSpec, RolloutState, VersionSpec
from tamaracktray.transfer import Transfer, TransferSettings
from tamaracktray.weights import Manifest


class Phase(str, Enum):
    """Phases of the delivery of a version."""

    IDLE = "idle"
    MANIFEST = "fetching_manifest"
    CHUNKS = "fetching_chunks"
    VERIFY = "verifying"
    SLOT = "waiting_for_slot"
    DRAIN = "draining"
    LOAD = "loading"
    WARM = "warming"
    SERVING = "serving"
    FAILED = "failed"


SWAPPING_PHASES = frozenset({Phase.DRAIN, Phase.LOAD, Phase.WARM})


class Target(msgspec.Struct, frozen=True):
    """The version that an agent is to serve and the rollout that requests it.

    With ``is_rollback`` the version is not the one that the rollout introduces but an
    earlier one to return to.
    """

    rollout: str = ""
    version: str = ""
    manifest: str = ""
    max_unavailable: int = 1
    failure_limit: int = 1
    is_rollback: bool = False


class DeliveryState:
    """Delivery state of one agent.

    ``engine_manifest`` is the manifest that the engine last reported as loaded.
    ``serving`` is the manifest for which the agent admits requests.
    ``failed_manifests`` are not tried again until the rollout changes, except for the
    rollback version, which is retried from ``load_retry_deadline`` on. The last
    verification of the staged chunks is valid until ``verified_deadline``, and
    ``is_verifying`` is set while another one is under way.
    """

    __slots__ = (
        "boot",
        "engine_manifest",
        "failed_manifests",
        "fence",
        "holders",
        "is_verifying",
        "last_report",
        "lease_deadline",
        "load_retry_deadline",
        "manifest",
        "manifest_attempts",
        "model",
        "phase",
        "previous_manifest",
        "reason",
        "retry_deadline",
        "rollout_version",
        "serving",
        "settings",
        "staged",
        "target",
        "transfer",
        "verified_deadline",
    )

    def __init__(
        self, model: str, holders: Holders, settings: TransferSettings
    ) -> None:
        self.model = model
        self.holders = holders
        self.settings = settings
        self.phase = Phase.IDLE
        self.target = Target()
        self.rollout_version = 0
        self.boot = ""
        self.engine_manifest = ""
        self.serving = ""
        self.previous_manifest = ""
        self.staged: set[str] = set()
        self.manifest: Manifest | None = None
        self.manifest_attempts = 0
        self.transfer: Transfer | None = None
        self.is_verifying = False
        self.verified_deadline = 0.0
        self.fence = 0
        self.lease_deadline = 0.0
        self.retry_deadline = 0.0
        self.load_retry_deadline = 0.0
        self.failed_manifests: set[str] = set()
        self.reason = ""
        self.last_report: ReportEndpoint | None = None

    def is_pending(self, digest: str) -> bool:
        """Return whether a chunk is missing and expected to be staged soon."""
        return self.transfer is not None and self.transfer.is_pending(digest)

    @property
    def is_swapping(self) -> bool:
        """Return whether a version change blocks new requests."""
        return self.phase in SWAPPING_PHASES


def choose_target(state: DeliveryState, configuration: Configuration) -> Target:
    """Return the target version; an empty target keeps the served version."""
    rollout = configuration.find_rollout(state.model)
    if rollout is None or not isinstance(rollout.spec, RolloutSpec):
        return Target()
    spec = rollout.spec
    if spec.state is RolloutState.PAUSED:
        return Target()
    candidates = [spec.version, spec.previous_version]
    if spec.state is RolloutState.ABORTED:
        candidates = [spec.previous_version]
    for version in candidates:
        manifest = configuration.find_manifest(version)
        if manifest is None or manifest in state.failed_manifests:
            continue
        return _build_target(rollout.name, spec, version, manifest)
    if state.previous_manifest and not state.serving:
        version = find_version_name(configuration, state.previous_manifest)
        return _build_target(rollout.name, spec, version, state.previous_manifest)
    return Target()


def _build_target(
    rollout: str, spec: RolloutSpec, version: str, manifest: str
) -> Target:
    return Target(
        rollout,
        version,
        manifest,
        spec.max_unavailable,
        spec.failure_limit,
        is_rollback=version != spec.version,
    )


def find_version_name(configuration: Configuration, manifest: str) -> str:
    """Return the name of the version with this manifest, or the digest if unknown."""
    if not manifest:
        return ""
    for resource in configuration.list_kind(Kind.VERSION):
        if isinstance(resource.spec, VersionSpec) and (
            resource.spec.manifest == manifest
        ):
            return resource.name
    return manifest
