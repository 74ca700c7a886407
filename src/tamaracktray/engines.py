"""Model engines that stage chunks by position, and the origin of named versions."""

from abc import ABC, abstractmethod
from enum import Enum

import msgspec
from returns.result import Result

from tamaracktray.exceptions import TransportError, WeightError
from tamaracktray.roster import LoadedModel
from tamaracktray.weights import Manifest


class VersionTarget(msgspec.Struct, frozen=True):
    """The version of a model's weights that the operator wants in service.

    ``namings`` are it and versions before it, each with the Unix time in seconds at
    which an entry saw it named, 0 if none did.
    """

    model: str
    version: int
    namings: tuple[tuple[int, float], ...] = ()


class NamingRecord(msgspec.Struct, frozen=True):
    """What the product keeps in the store beside a named version."""

    namings: tuple[tuple[int, float], ...] = ()


def add_record(target: VersionTarget, status: object) -> VersionTarget:
    """Return a version with what is kept of namings, nothing if it is unreadable."""
    try:
        record = msgspec.convert(status or {}, NamingRecord)
    except msgspec.ValidationError:
        return target
    return VersionTarget(target.model, target.version, record.namings)


class EngineReport(msgspec.Struct, frozen=True):
    """What an engine reports of itself.

    ``is_busy`` tells that an order is being carried out and ``sequence`` counts the
    orders begun. ``queued`` and ``running`` are requests. ``born_ms`` is the Unix time
    of the engine's start in milliseconds; ``pace`` is above 1 on a slow engine.
    """

    models: tuple[LoadedModel, ...] = ()
    is_busy: bool = False
    sequence: int = 0
    queued: int = 0
    running: int = 0
    born_ms: int = 0
    pace: float = 1.0

    def find_model(self, name: str) -> LoadedModel | None:
        """Return what the engine holds of a model."""
        for model in self.models:
            if model.name == name:
                return model
        return None


class StartOrder(msgspec.Struct, frozen=True):
    """An order to load what is staged of a model as a version.

    The order is void unless the engine has begun exactly ``sequence`` orders. Engines
    that check fencing numbers refuse a ``fence`` below one that they have seen.
    """

    model: str
    version: int
    sequence: int
    fence: int


class OrderOutcome(str, Enum):
    """How an engine answered an order."""

    BEGUN = "begun"
    IN_EFFECT = "in_effect"
    CONFLICT = "conflict"
    FENCED = "fenced"
    REFUSED = "refused"


class StagingEngine(ABC):
    """The model engine on the own instance."""

    @abstractmethod
    async def read_report(self) -> Result[EngineReport, TransportError]:
        """Read what the engine reports of itself."""

    @abstractmethod
    async def list_staged(self, model: str) -> Result[list[int], WeightError]:
        """Return the positions of the chunks that are staged."""

    @abstractmethod
    async def read_chunk(self, model: str, index: int) -> Result[bytes, WeightError]:
        """Read a staged chunk back."""

    @abstractmethod
    async def write_chunk(
        self, model: str, index: int, data: bytes
    ) -> Result[None, WeightError]:
        """Stage a chunk over what lies at its position."""

    @abstractmethod
    async def start(self, order: StartOrder) -> Result[OrderOutcome, TransportError]:
        """Order the engine to load what is staged.

        Fails when no answer came; the order may have begun nevertheless.
        """


class VersionOrigin(ABC):
    """The origin of weights, which knows versions by number."""

    @abstractmethod
    async def read_manifest(
        self, model: str, version: int
    ) -> Result[Manifest, WeightError]:
        """Return the manifest of a version, not verified."""

    @abstractmethod
    async def read_chunk(
        self, model: str, version: int, index: int
    ) -> Result[bytes, WeightError]:
        """Return a chunk of a version, not verified."""
