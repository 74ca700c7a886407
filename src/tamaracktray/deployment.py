"""What a process needs from the place where it is deployed."""

from abc import ABC, abstractmethod

from tamaracktray.engines import StagingEngine, VersionOrigin
from tamaracktray.objects import ObjectStore
from tamaracktray.protocol import RequestProtocol
from tamaracktray.types import Address


class Deployment(ABC):
    """Opens the outside systems of one deployment."""

    @property
    @abstractmethod
    def protocol(self) -> RequestProtocol:
        """Return how callers and endpoints speak."""

    @abstractmethod
    def open_store(self, address: Address, timeout_s: float) -> ObjectStore:
        """Return a client of the store."""

    @abstractmethod
    def open_engine(self, address: Address) -> StagingEngine:
        """Return a client of a model engine."""

    @abstractmethod
    def open_origin(self, address: Address) -> VersionOrigin:
        """Return a client of the origin of weights."""
