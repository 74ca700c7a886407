"""Events and effects of an agent's work on versions of weights."""

from tamaracktray.effects import Effect
from tamaracktray.engines import EngineReport, OrderOutcome, StartOrder
from tamaracktray.events import Event
from tamaracktray.weights import Manifest


class ManifestRead(Event, frozen=True):
    """The manifest of a version was read, or could not be."""

    version: int
    manifest: Manifest | None


class ChunkArrived(Event, frozen=True):
    """A chunk was fetched and verified, or could not be."""

    version: int
    index: int
    is_good: bool


class ChunkStaged(Event, frozen=True):
    """A chunk was handed to the engine, or could not be."""

    index: int
    digest: str
    is_good: bool


class StageChecked(Event, frozen=True):
    """Staged chunks were read back; ``digest_by_index`` tells what lies there."""

    digest_by_index: dict[int, str]


class EngineSeen(Event, frozen=True):
    """The engine answered with a report."""

    report: EngineReport


class EngineSilent(Event, frozen=True):
    """The engine did not answer."""


class OrderAnswered(Event, frozen=True):
    """The engine answered an order; ``None`` when no answer came."""

    version: int
    outcome: OrderOutcome | None


class ReadManifest(Effect, frozen=True):
    """Read the manifest of a version."""

    model: str
    version: int
    attempt: int


class FetchPart(Effect, frozen=True):
    """Fetch one chunk into memory and verify it."""

    model: str
    version: int
    index: int
    digest: str
    attempt: int


class StagePart(Effect, frozen=True):
    """Hand a chunk from memory to the engine."""

    model: str
    index: int
    digest: str


class CheckStage(Effect, frozen=True):
    """Read staged chunks back."""

    model: str
    indices: list[int]


class OrderStart(Effect, frozen=True):
    """Order the engine to load what is staged."""

    order: StartOrder


class KeepChunks(Effect, frozen=True):
    """Forget all chunks in memory but these."""

    digests: frozenset[str]
