"""State of an agent's engine and of the versions being staged in it."""

import math
from enum import Enum

import msgspec

from tamaracktray.engines import EngineReport, StartOrder
from tamaracktray.weights import Manifest

NEVER = -math.inf


class Step(str, Enum):
    """Steps of the work on a version."""

    MANIFEST = "manifest"
    CHUNKS = "chunks"
    CHECK = "check"
    TURN = "turn"
    ORDER = "order"
    LOADING = "loading"
    DONE = "done"


class Turn(msgspec.Struct, frozen=True):
    """Position of an engine in the order in which its service's engines swap versions.

    ``share`` runs from 0 for the first engine to 1 for the last. ``is_odd`` is set for
    every other engine.
    """

    share: float = 0.0
    is_odd: bool = False


class StagedChunk(msgspec.Struct, frozen=True):
    """Digest of a chunk in the engine's stage.

    ``checked_at`` is when its last verification began, in seconds of
    ``clocks.read_elapsed``, ``NEVER`` after a write. The chunk may have turned bad at
    any time after that, also before the verification ended.
    """

    digest: str
    checked_at: float


class VersionWork:
    """The work on one version.

    ``fetch_order`` lists the chunk indices in fetch order and is empty before the first
    fetch. ``attempts_by_index`` counts failed fetches. ``staged_at`` is the time at
    which all chunks were staged, ``None`` before. An engine that has not loaded the
    version by ``due_at`` gets no calls. If an earlier version was skipped in favor of
    this one, ``skipped_due_at`` is its deadline and ``due_at`` is no later.
    """

    __slots__ = (
        "attempts_by_index",
        "due_at",
        "fetch_order",
        "in_flight",
        "manifest",
        "manifest_attempts",
        "skipped_due_at",
        "staged_at",
        "started_at",
        "version",
    )

    def __init__(self, version: int, now: float, due_at: float) -> None:
        self.version = version
        self.due_at = due_at
        self.skipped_due_at = math.inf
        self.started_at = now
        self.staged_at: float | None = None
        self.manifest: Manifest | None = None
        self.manifest_attempts = 0
        self.fetch_order: list[int] = []
        self.in_flight: set[int] = set()
        self.attempts_by_index: dict[int, int] = {}

    @property
    def digests(self) -> list[str]:
        """Return the digests of the chunks; empty while the manifest is unknown."""
        return [] if self.manifest is None else self.manifest.chunks


class StagingState:
    """State of an agent's engine and of its current and following version.

    ``is_probed`` is set once the engine has been queried. ``stage_by_index`` is the
    known content of its stage. ``is_stage_known`` is cleared while the stage must be
    read back, which takes time and is only worth it if the engine has lost its model.
    ``name`` is the agent's name and ``local_entries`` the number of entries in its
    region. ``buffered_digests`` are the digests of the chunks in memory. ``following``
    is the version to work on after ``current``. Reads and writes of the stage that
    began before ``stage_began_at``, in seconds of ``clocks.read_elapsed``, may be of an
    earlier start of the engine. ``suspended_s`` is by how much the
    monotonic clock is behind ``clocks.read_elapsed``. The engine may still begin
    ``sent_order``, the last order, while it is being sent and, if it got no answer,
    until ``unanswered_order_deadline``.
    """

    __slots__ = (
        "buffered_digests",
        "current",
        "fetch_retry_deadline",
        "following",
        "is_checking",
        "is_manifest_requested",
        "is_ordering",
        "is_probed",
        "is_stage_known",
        "is_staging",
        "last_report_at",
        "local_entries",
        "manifest_retry_deadline",
        "model",
        "name",
        "order_retry_deadline",
        "report",
        "sent_order",
        "stage_began_at",
        "stage_by_index",
        "stage_retry_deadline",
        "step",
        "suspended_s",
        "turn",
        "unanswered_order_deadline",
        "version_bound_s",
    )

    def __init__(self, version_bound_s: float, name: str = "") -> None:
        self.version_bound_s = version_bound_s
        self.name = name
        self.local_entries = 1
        self.model = ""
        self.turn = Turn()
        self.report: EngineReport | None = None
        self.last_report_at = 0.0
        self.step = Step.DONE
        self.current: VersionWork | None = None
        self.following: VersionWork | None = None
        self.buffered_digests: set[str] = set()
        self.stage_by_index: dict[int, StagedChunk] = {}
        self.is_probed = False
        self.is_stage_known = False
        self.is_checking = False
        self.is_staging = False
        self.is_ordering = False
        self.is_manifest_requested = False
        self.manifest_retry_deadline = 0.0
        self.fetch_retry_deadline = 0.0
        self.order_retry_deadline = 0.0
        self.sent_order: StartOrder | None = None
        self.unanswered_order_deadline = 0.0
        self.stage_began_at = 0.0
        self.stage_retry_deadline = 0.0
        self.suspended_s = 0.0

    def elapse(self, now: float) -> float:
        """Return the time of ``clocks.read_elapsed`` at a monotonic time."""
        return now + self.suspended_s

    def may_begin_order(self, now: float) -> bool:
        """Return whether the engine may still begin an order sent earlier."""
        return self.is_ordering or now < self.unanswered_order_deadline

    @property
    def is_swapping(self) -> bool:
        """Whether a load order keeps the engine from accepting new work."""
        if self.step in (Step.ORDER, Step.LOADING):
            return True
        return self.report is not None and self.report.is_busy

    @property
    def loaded_version(self) -> int:
        """Return the version of the model that the engine has loaded, or 0."""
        loaded = None if self.report is None else self.report.find_model(self.model)
        return 0 if loaded is None else loaded.version


def list_missing(state: StagingState, work: VersionWork) -> list[int]:
    """Return the indices of chunks that are neither staged nor in memory."""
    return [
        index
        for index, digest in enumerate(work.digests)
        if digest not in state.buffered_digests and not is_staged(state, index, digest)
    ]


def is_staged(state: StagingState, index: int, digest: str) -> bool:
    """Return whether the chunk at ``index`` is staged in the engine."""
    staged = state.stage_by_index.get(index)
    return staged is not None and staged.digest == digest
