"""Interface to the external systems of a deployment."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from typing import Any

from tamaracktray.engines import StagingEngine, VersionOrigin
from tamaracktray.objects import ObjectStore
from tamaracktray.protocol import RequestProtocol
from tamaracktray.routes import RoutingTable
from tamaracktray.types import Address


class Deployment(ABC):
    """Opens clients of a deployment's external systems."""

    @property
    @abstractmethod
    def protocol(self) -> RequestProtocol:
        """The request protocol of callers and endpoints."""

    @abstractmethod
    def open_store(self, address: Address, timeout_s: float) -> ObjectStore:
        """Return a client of the store."""

    @abstractmethod
    def open_engine(self, address: Address) -> StagingEngine:
        """Return a client of a model engine."""

    @abstractmethod
    def open_origin(
        self, address: Address, chunks_by_model: Mapping[str, int]
    ) -> VersionOrigin:
        """Return a client of the origin of weights.

        It refuses a manifest with another number of chunks than its model's.
        """

    @abstractmethod
    def read_configuration(self, document: Any) -> RoutingTable:
        """Return the routing table of a configuration document.

        Raises one of ``decoding.UNREADABLE`` if the document is no configuration.
        """
