"""Events and effects of fetching, staging and loading a version of weights."""

from tamaracktray.effects import Effect
from tamaracktray.engines import EngineReport, OrderOutcome, StartOrder
from tamaracktray.events import Event
from tamaracktray.staging_state import StagedChunk
from tamaracktray.weights import Manifest


class ManifestRead(Event, frozen=True):
    """The manifest of a version was read; it is ``None`` if that failed."""

    version: int
    manifest: Manifest | None


class ChunkArrived(Event, frozen=True):
    """The fetch and verification of a chunk ended."""

    version: int
    index: int
    is_successful: bool


class ChunkStaged(Event, frozen=True):
    """An attempt to stage a chunk in the engine ended.

    ``began_at`` is in seconds of ``clocks.read_elapsed``.
    """

    index: int
    digest: str
    is_successful: bool
    began_at: float


class StageChecked(Event, frozen=True):
    """Staged chunks were read back; ``None`` marks an unreadable chunk.

    ``began_at`` is when the first read began, in seconds of ``clocks.read_elapsed``.
    """

    chunk_by_index: dict[int, StagedChunk | None]
    began_at: float


class EngineAnswered(Event, frozen=True):
    """The engine answered with a report."""

    report: EngineReport


class EngineUnreachable(Event, frozen=True):
    """The engine did not answer."""


class OrderAnswered(Event, frozen=True):
    """The engine answered a load order; ``None`` means that it did not answer."""

    version: int
    outcome: OrderOutcome | None


class ReadManifest(Effect, frozen=True):
    """Read the manifest of a version."""

    model: str
    version: int
    attempt: int


class FetchVersionChunk(Effect, frozen=True):
    """Fetch one chunk into memory and verify it."""

    model: str
    version: int
    index: int
    digest: str
    attempt: int


class StageChunk(Effect, frozen=True):
    """Stage a chunk from memory in the engine."""

    model: str
    index: int
    digest: str


class CheckStage(Effect, frozen=True):
    """Read staged chunks back and compute their digests."""

    model: str
    indices: list[int]


class SendOrder(Effect, frozen=True):
    """Order the engine to load the staged chunks."""

    order: StartOrder


class RetainChunks(Effect, frozen=True):
    """Discard all chunks in memory except these."""

    digests: frozenset[str]
