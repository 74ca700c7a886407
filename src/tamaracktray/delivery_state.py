"""State of the versions of one agent, and the choice of the version to work towards."""

from enum import Enum

import msgspec

from tamaracktray.configuration import Configuration
from tamaracktray.effects import ReportEndpoint
from tamaracktray.holders import Holders
from tamaracktray.resources import Kind, RolloutSpec, RolloutState, VersionSpec
from tamaracktray.transfer import Transfer, TransferSettings
from tamaracktray.weights import Manifest


class Phase(str, Enum):
    """Steps of bringing a version into service."""

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
    """The version an agent works towards and the rollout that asks for it.

    With ``is_rollback`` it is not the version that the rollout brings but the one that
    serves where that one failed.
    """

    rollout: str = ""
    version: str = ""
    manifest: str = ""
    max_unavailable: int = 1
    failure_limit: int = 1
    is_rollback: bool = False


class DeliveryState:
    """State of the versions of one agent.

    ``engine_manifest`` is what the engine last reported as loaded. ``serving`` is what
    the agent lets requests reach. ``failed_manifests`` are not tried again until the
    rollout changes, but for the version to go back to, from ``load_retry_deadline`` on.
    """

    __slots__ = (
        "boot",
        "engine_manifest",
        "failed_manifests",
        "fence",
        "holders",
        "last_report",
        "lease_deadline",
        "load_retry_deadline",
        "manifest",
        "manifest_tries",
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
        self.manifest_tries = 0
        self.transfer: Transfer | None = None
        self.fence = 0
        self.lease_deadline = 0.0
        self.retry_deadline = 0.0
        self.load_retry_deadline = 0.0
        self.failed_manifests: set[str] = set()
        self.reason = ""
        self.last_report: ReportEndpoint | None = None

    def is_pending(self, digest: str) -> bool:
        """Tell whether a chunk is about to be staged."""
        return self.transfer is not None and self.transfer.is_pending(digest)

    @property
    def is_swapping(self) -> bool:
        """Tell whether new work must wait for a version change."""
        return self.phase in SWAPPING_PHASES


def choose_target(state: DeliveryState, configuration: Configuration) -> Target:
    """Return the version to work towards; an empty target keeps what is served."""
    rollout = configuration.find_rollout(state.model)
    if rollout is None or not isinstance(rollout.spec, RolloutSpec):
        return Target()
    spec = rollout.spec
    if spec.state is RolloutState.PAUSED:
        return Target()
    wanted = [spec.version, spec.previous_version]
    if spec.state is RolloutState.ABORTED:
        wanted = [spec.previous_version]
    for version in wanted:
        manifest = configuration.find_manifest(version)
        if manifest is None or manifest in state.failed_manifests:
            continue
        return _build_target(rollout.name, spec, version, manifest)
    if state.previous_manifest and not state.serving:
        version = name_manifest(configuration, state.previous_manifest)
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


def name_manifest(configuration: Configuration, manifest: str) -> str:
    """Return the name of the version with a manifest, or its digest."""
    if not manifest:
        return ""
    for resource in configuration.list_kind(Kind.VERSION):
        if isinstance(resource.spec, VersionSpec) and (
            resource.spec.manifest == manifest
        ):
            return resource.name
    return manifest
