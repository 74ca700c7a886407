"""Interfaces of the model engine and the origin, and their messages and records."""

import math
from abc import ABC, abstractmethod
from enum import Enum

import msgspec
from returns.result import Result

from tamaracktray.clocks import read_elapsed
from tamaracktray.decoding import UNREADABLE
from tamaracktray.exceptions import TransportError, WeightError
from tamaracktray.roster import LoadedModel
from tamaracktray.types import Int64
from tamaracktray.weights import Manifest


class VersionTarget(msgspec.Struct, frozen=True):
    """The version of a model's weights that the operator wants in service.

    ``announcements`` lists this version and earlier ones, each with the Unix time in
    seconds at which an entry observed its announcement, or 0 if that is unknown.
    """

    model: str
    version: int
    announcements: tuple[tuple[Int64, float], ...] = msgspec.field(
        default=(), name="namings"
    )


class AnnouncementRecord(msgspec.Struct, frozen=True):
    """Status of an announced version in the store."""

    announcements: tuple[tuple[Int64, float], ...] = msgspec.field(
        default=(), name="namings"
    )


def add_record(target: VersionTarget, status: object) -> VersionTarget:
    """Return ``target`` with the times in ``status``, unchanged if it is unreadable."""
    try:
        record = msgspec.convert(status or {}, AnnouncementRecord)
    except UNREADABLE:
        return target
    return VersionTarget(target.model, target.version, record.announcements)


class EngineReport(msgspec.Struct, frozen=True):
    """Status report of an engine.

    ``is_busy`` is set while a load order is executed; ``sequence`` counts the started
    orders. ``queued`` and ``running`` count requests. ``start_time_ms`` is the start
    time of the engine as Unix time in milliseconds. ``pace`` is above 1 on a slow
    engine. ``kv_used_share`` is the used share of its memory for tokens.
    """

    models: tuple[LoadedModel, ...] = ()
    is_busy: bool = False
    sequence: int = 0
    queued: int = 0
    running: int = 0
    start_time_ms: int = 0
    pace: float = 1.0
    kv_used_share: float = 0.0

    def find_model(self, name: str) -> LoadedModel | None:
        """Return the loaded version of a model, ``None`` if there is none."""
        for model in self.models:
            if model.name == name:
                return model
        return None


class StartOrder(msgspec.Struct, frozen=True):
    """An order to load the staged chunks of a model as a version.

    The order is only valid if the engine has started exactly ``sequence`` orders since
    its start at ``start_time_ms``, because a restart may have emptied its stage. An
    engine that checks fencing tokens refuses a ``fence`` below the highest it has seen.
    The order is not sent after ``deadline``, in seconds of ``clocks.read_elapsed``,
    because the staged chunks may have turned bad since they were verified.
    """

    model: str
    version: int
    sequence: int
    fence: int
    deadline: float = math.inf
    start_time_ms: int = 0

    def fits(self, report: EngineReport) -> bool:
        """Return whether the order is still valid by the engine's latest report."""
        return not report.is_busy and self.may_begin(report)

    def may_begin(self, report: EngineReport) -> bool:
        """Return whether the engine may begin the order after this report."""
        if report.start_time_ms != self.start_time_ms:
            return False
        return report.sequence == self.sequence

    def is_sendable(self, connect_s: float) -> bool:
        """Return whether the order may be sent now, after ``connect_s`` seconds."""
        return read_elapsed() < self.deadline


class OrderOutcome(str, Enum):
    """Answer of an engine to a load order; ``EXPIRED`` means that it was not sent."""

    BEGUN = "begun"
    IN_EFFECT = "in_effect"
    CONFLICT = "conflict"
    FENCED = "fenced"
    REFUSED = "refused"
    EXPIRED = "expired"


class StagingEngine(ABC):
    """Interface to the model engine on the agent's own instance."""

    @abstractmethod
    async def read_report(self) -> Result[EngineReport, TransportError]:
        """Read the engine's status report."""

    @abstractmethod
    async def list_staged(self, model: str) -> Result[list[int], WeightError]:
        """Return the indices of the staged chunks."""

    @abstractmethod
    async def read_chunk(
        self, model: str, index: int, reader: int = 0
    ) -> Result[bytes, WeightError]:
        """Read a staged chunk back; each ``reader`` has a connection of its own."""

    @abstractmethod
    async def write_chunk(
        self, model: str, index: int, data: bytes
    ) -> Result[None, WeightError]:
        """Stage a chunk, replacing any chunk at its index."""

    @abstractmethod
    async def start(self, order: StartOrder) -> Result[OrderOutcome, TransportError]:
        """Order the engine to load the staged chunks.

        Fails if the engine does not answer; it may have started the order nevertheless.
        """


class VersionOrigin(ABC):
    """Interface to the origin of weights, which identifies versions by number."""

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
