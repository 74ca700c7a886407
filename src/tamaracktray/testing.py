"""Test helpers: builders with defaults, and in-memory fakes."""

from collections.abc import Iterable
from typing import Any

import msgspec
from returns.result import Failure, Result, Success
from typing_extensions import override

from tamaracktray.admission import AdmissionState
from tamaracktray.core import ProcessState, reduce
from tamaracktray.delivery_state import DeliveryState
from tamaracktray.dispatch import DispatchState
from tamaracktray.effects import Effect
from tamaracktray.events import (
    CallerRequest,
    Event,
    InstancesListed,
    ObjectsReceived,
)
from tamaracktray.exceptions import (
    ConflictError,
    ObjectNotFoundError,
    PlatformError,
    PlatformUnavailableError,
    WriteOutcomeUnknownError,
)
from tamaracktray.holders import Holders
from tamaracktray.limits import WindowSettings
from tamaracktray.objects import ObjectList, ObjectStore, StoredObject
from tamaracktray.resources import Kind, ModelSpec, Resource, Spec, ZoneSpec
from tamaracktray.transfer import TransferSettings
from tamaracktray.types import Address, Instance, Priority, Role, TargetKind

CONTACT_S = 5.0
QUARANTINE_S = 60.0


def make_instance(
    name: str,
    *,
    role: Role = Role.AGENT,
    zone: str = "zone-a",
    region: str = "region-a",
    serves: str = "kiln",
    leaving: bool = False,
) -> Instance:
    """Return an instance with placeholder addresses."""
    address = Address("127.0.0.1", 1)
    return Instance(name, role, zone, region, address, address, serves, leaving)


def make_request(
    request_id: str = "r1",
    *,
    kind: TargetKind = TargetKind.MODEL,
    target: str = "kiln",
    team: str = "team-a",
    priority: Priority = Priority.NORMAL,
    deadline: float = 1_000.0,
    fingerprint: str = "f1",
    affinity: str = "",
    key: str = "",
) -> CallerRequest:
    """Return a caller's request."""
    return CallerRequest(
        request_id, kind, target, team, priority, deadline, fingerprint, affinity, key
    )


def make_resource(kind: Kind, name: str, spec: Spec, version: int) -> Resource:
    """Return a resource at a version."""
    return Resource(kind, name, spec, version)


def make_zone(name: str, version: int, *, out: bool = False) -> Resource:
    """Return an availability zone."""
    return make_resource(Kind.ZONE, name, ZoneSpec("region-a", out), version)


def make_model(name: str = "kiln", version: int = 1) -> Resource:
    """Return a model."""
    return make_resource(Kind.MODEL, name, ModelSpec(), version)


class Driver:
    """Wrapper that passes events to the reducer and keeps the last event's effects."""

    __slots__ = ("effects", "now", "state")

    def __init__(self, state: ProcessState) -> None:
        self.state = state
        self.now = 100.0
        self.effects: list[Effect] = []

    def send(self, event: Event) -> list[Effect]:
        """Reduce one event and return its effects."""
        self.state, self.effects = reduce(self.state, event)
        return self.effects

    def configure(self, *resources: Resource, revision: int = 10) -> list[Effect]:
        """Apply resources as if they were received from the platform."""
        event = ObjectsReceived(self.now, list(resources), revision, from_platform=True)
        return self.send(event)

    def list_instances(self, instances: Iterable[Instance]) -> list[Effect]:
        """Replace the instance list."""
        return self.send(InstancesListed(self.now, list(instances)))

    def find(self, effect_type: type[Effect]) -> list[Any]:
        """Return the effects of the last event that have the given type."""
        return [effect for effect in self.effects if isinstance(effect, effect_type)]


def make_entry(name: str = "entry-1", zone: str = "zone-a") -> Driver:
    """Return a driver of an entry without configuration."""
    own_instance = make_instance(name, role=Role.ENTRY, zone=zone, serves="")
    state = ProcessState(own_instance, CONTACT_S, QUARANTINE_S)
    state.dispatch = DispatchState(zone, own_instance.region)
    return Driver(state)


def make_agent(
    name: str = "agent-1",
    *,
    kind: TargetKind = TargetKind.SERVICE,
    serves: str = "orders",
    zone: str = "zone-a",
    window: WindowSettings | None = None,
    queue_limit: int = 8,
) -> Driver:
    """Return a driver of an agent without configuration."""
    own_instance = make_instance(name, zone=zone, serves=serves)
    state = ProcessState(own_instance, CONTACT_S, QUARANTINE_S)
    settings = window or WindowSettings()
    state.admission = AdmissionState(kind, serves, settings, queue_limit)
    if kind is TargetKind.MODEL:
        state.delivery = DeliveryState(
            serves, Holders(own_instance, []), TransferSettings()
        )
    return Driver(state)


class MemoryObjectStore(ObjectStore):
    """In-memory object store with injectable faults.

    ``is_out`` makes every call fail without effect. ``lose_answers`` is the number of
    next writes that take effect but lose their answer; with ``is_out_after_loss``, an
    outage begins at such a write.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.objects: dict[tuple[str, str], StoredObject] = {}
        self.changes: list[tuple[str, StoredObject]] = []
        self.is_out = False
        self.lose_answers = 0
        self.is_out_after_loss = False
        self.writes = 0
        self.reads = 0

    @override
    async def get(
        self, collection: str, name: str
    ) -> Result[StoredObject, PlatformError]:
        self.reads += 1
        if self.is_out:
            return _fail_unavailable()
        stored = self.objects.get((collection, name))
        if stored is None:
            return Failure(ObjectNotFoundError(f"{collection}/{name} does not exist"))
        return Success(stored)

    @override
    async def list(self, collection: str) -> Result[ObjectList, PlatformError]:
        self.reads += 1
        if self.is_out:
            return _fail_unavailable()
        items = [item for key, item in self.objects.items() if key[0] == collection]
        return Success(ObjectList(self.revision, items))

    @override
    async def put(
        self, collection: str, name: str, value: Any, version: int, writer: str
    ) -> Result[StoredObject, PlatformError]:
        self.writes += 1
        if self.is_out:
            return _fail_unavailable()
        current = self.objects.get((collection, name))
        if (0 if current is None else current.version) != version:
            if current is None:
                return Failure(ObjectNotFoundError(f"{collection}/{name} is gone"))
            message = f"{collection}/{name} is at {current.version}"
            return Failure(ConflictError(message, current_version=current.version))
        self.revision += 1
        # Copied through JSON so that callers cannot modify the stored value.
        copied = msgspec.json.decode(msgspec.json.encode(value))
        stored = StoredObject(name, self.revision, copied, writer)
        self.objects[collection, name] = stored
        self.changes.append((collection, stored))
        if self._should_lose_answer():
            return Failure(WriteOutcomeUnknownError("the answer was lost"))
        return Success(stored)

    @override
    async def delete(
        self, collection: str, name: str, version: int, writer: str
    ) -> Result[int, PlatformError]:
        self.writes += 1
        if self.is_out:
            return _fail_unavailable()
        current = self.objects.get((collection, name))
        if current is None:
            return Failure(ObjectNotFoundError(f"{collection}/{name} does not exist"))
        if current.version != version:
            message = f"{collection}/{name} is at {current.version}"
            return Failure(ConflictError(message, current_version=current.version))
        self.revision += 1
        del self.objects[collection, name]
        tombstone = msgspec.structs.replace(
            current, version=self.revision, deleted=True
        )
        self.changes.append((collection, tombstone))
        if self._should_lose_answer():
            return Failure(WriteOutcomeUnknownError("the answer was lost"))
        return Success(self.revision)

    @override
    async def watch(
        self, collection: str, revision: int, timeout_s: float
    ) -> Result[ObjectList, PlatformError]:
        self.reads += 1
        if self.is_out:
            return _fail_unavailable()
        items = [
            stored
            for name, stored in self.changes
            if name == collection and stored.version > revision
        ]
        return Success(ObjectList(self.revision, items))

    def _should_lose_answer(self) -> bool:
        if self.lose_answers <= 0:
            return False
        self.lose_answers -= 1
        self.is_out = self.is_out or self.is_out_after_loss
        return True


def _fail_unavailable() -> Failure[PlatformError]:
    return Failure(PlatformUnavailableError("the platform is unavailable"))
