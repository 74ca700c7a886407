"""Opens the store, engines and origin of the platform."""

from collections.abc import Mapping
from typing import Any

from typing_extensions import override

from tamaracktray.deployment import Deployment
from tamaracktray.engines import StagingEngine, VersionOrigin
from tamaracktray.objects import ObjectStore
from tamaracktray.platform.documents import read_configuration
from tamaracktray.platform.engine import PlatformEngine, PlatformOrigin
from tamaracktray.platform.protocol import PlatformProtocol
from tamaracktray.platform.store import PlatformStore
from tamaracktray.protocol import RequestProtocol
from tamaracktray.routes import RoutingTable
from tamaracktray.types import Address


class PlatformDeployment(Deployment):
    """Deployment on the users' platform."""

    def __init__(self) -> None:
        self._protocol = PlatformProtocol()

    @property
    @override
    def protocol(self) -> RequestProtocol:
        return self._protocol

    @override
    def open_store(self, address: Address, timeout_s: float) -> ObjectStore:
        return PlatformStore(address, timeout_s=timeout_s)

    @override
    def open_engine(self, address: Address) -> StagingEngine:
        return PlatformEngine(address)

    @override
    def open_origin(
        self, address: Address, chunks_by_model: Mapping[str, int]
    ) -> VersionOrigin:
        return PlatformOrigin(address, chunks_by_model)

    @override
    def read_configuration(self, document: Any) -> RoutingTable:
        return read_configuration("", document)
