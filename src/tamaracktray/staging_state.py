"""What an agent knows of its engine and of the versions that it works on."""

import math
from enum import Enum

import msgspec

from tamaracktray.engines import EngineReport
from tamaracktray.weights import Manifest


class Step(str, Enum):
    """How far the work on a version has come."""

    MANIFEST = "manifest"
    CHUNKS = "chunks"
    CHECK = "check"
    TURN = "turn"
    ORDER = "order"
    LOADING = "loading"
    DONE = "done"


class Turn(msgspec.Struct, frozen=True):
    """When an engine changes versions among those of its service.

    ``share`` goes from 0, the first, to 1, the last; every other engine ``is_odd``.
    """

    share: float = 0.0
    is_odd: bool = False


class StagedChunk(msgspec.Struct, frozen=True):
    """What lies at one position of the engine's stage, and when that was seen."""

    digest: str
    checked_at: float


class VersionWork:
    """The work on one version.

    ``fetch_order`` are the positions in the order in which they are fetched, empty
    before the first. ``attempts_by_index`` counts failed fetches. ``staged_at`` is when
    all chunks lay in the engine's stage, ``None`` before. From ``due_at`` on the engine
    serves nobody without the version, or one that was left out for it, which is due at
    ``left_out_due_at``.
    """

    __slots__ = (
        "attempts_by_index",
        "due_at",
        "fetch_order",
        "in_flight",
        "left_out_due_at",
        "manifest",
        "manifest_attempts",
        "staged_at",
        "started_at",
        "version",
    )

    def __init__(self, version: int, now: float, due_at: float) -> None:
        self.version = version
        self.due_at = due_at
        self.left_out_due_at = math.inf
        self.started_at = now
        self.staged_at: float | None = None
        self.manifest: Manifest | None = None
        self.manifest_attempts = 0
        self.fetch_order: list[int] = []
        self.in_flight: set[int] = set()
        self.attempts_by_index: dict[int, int] = {}

    @property
    def digests(self) -> list[str]:
        """Return the digests of the chunks, none while the manifest is unknown."""
        return [] if self.manifest is None else self.manifest.chunks


class StagingState:
    """State of the versions of one agent.

    ``is_probed`` tells that the engine was asked at least once. ``stage_by_index`` is
    what lies in its stage, as far as that is known; ``is_stage_known`` tells that it
    was read, which is worth its time only for an engine that has lost its model.
    ``name`` is the agent's, and ``local_entries`` are those of its region.
    ``held`` are the digests of the chunks in memory. ``following`` is the version after
    the one that is being worked on.
    """

    __slots__ = (
        "current",
        "fetch_retry_deadline",
        "following",
        "held",
        "is_checking",
        "is_manifest_asked",
        "is_ordering",
        "is_probed",
        "is_stage_known",
        "is_staging",
        "last_seen",
        "local_entries",
        "manifest_retry_deadline",
        "model",
        "name",
        "order_retry_deadline",
        "report",
        "stage_by_index",
        "step",
        "turn",
        "version_bound_s",
    )

    def __init__(self, version_bound_s: float, name: str = "") -> None:
        self.version_bound_s = version_bound_s
        self.name = name
        self.local_entries = 1
        self.model = ""
        self.turn = Turn()
        self.report: EngineReport | None = None
        self.last_seen = 0.0
        self.step = Step.DONE
        self.current: VersionWork | None = None
        self.following: VersionWork | None = None
        self.held: set[str] = set()
        self.stage_by_index: dict[int, StagedChunk] = {}
        self.is_probed = False
        self.is_stage_known = False
        self.is_checking = False
        self.is_staging = False
        self.is_ordering = False
        self.is_manifest_asked = False
        self.manifest_retry_deadline = 0.0
        self.fetch_retry_deadline = 0.0
        self.order_retry_deadline = 0.0

    @property
    def is_swapping(self) -> bool:
        """Tell whether the engine takes no new work because of an order."""
        if self.step in (Step.ORDER, Step.LOADING):
            return True
        return self.report is not None and self.report.is_busy

    @property
    def loaded_version(self) -> int:
        """Return the version that the engine holds of the model, 0 for none."""
        held = None if self.report is None else self.report.find_model(self.model)
        return 0 if held is None else held.version


def list_missing(state: StagingState, work: VersionWork) -> list[int]:
    """Return the positions whose chunk is neither staged nor in memory."""
    return [
        index
        for index, digest in enumerate(work.digests)
        if digest not in state.held and not is_staged(state, index, digest)
    ]


def is_staged(state: StagingState, index: int, digest: str) -> bool:
    """Tell whether a chunk lies at its position in the engine's stage."""
    staged = state.stage_by_index.get(index)
    return staged is not None and staged.digest == digest
