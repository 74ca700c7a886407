"""The endpoints in the platform's list, with a grace period after store outages."""

from collections.abc import Iterable

import msgspec

from tamaracktray.types import Address

# Time for which a removed endpoint is remembered, in seconds; longer than the age of a
# copy from which the store may be restored.
DEPARTED_MEMORY_S = 60.0


class LoadedModel(msgspec.Struct, frozen=True):
    """A model that is loaded at an endpoint.

    The layers from ``first_layer`` up to but excluding ``end_layer`` are loaded; both
    are 0 if the endpoint doesn't report layers.
    """

    name: str
    version: int
    first_layer: int = 0
    end_layer: int = 0

    def is_whole(self, layers: int) -> bool:
        """Return whether all ``layers`` of the model are loaded."""
        if not self.end_layer:
            return not layers
        return self.first_layer == 0 and self.end_layer >= layers


class EndpointRecord(msgspec.Struct, frozen=True):
    """One endpoint of the list.

    ``cold_s`` is how long the endpoint stays cold, counted from the time of the record.
    ``start_time_ms`` is its start time, a Unix time in milliseconds, which
    distinguishes the incarnations under one id. ``sequence`` counts the orders that it
    has begun.
    """

    id: str
    service: str
    address: Address
    zone: str
    max_batch: int
    is_draining: bool = False
    cold_s: float = 0.0
    start_time_ms: int = msgspec.field(default=0, name="born_ms")
    sequence: int = 0
    is_busy: bool = False
    models: tuple[LoadedModel, ...] = ()

    def find_model(self, name: str) -> LoadedModel | None:
        """Return the loaded model of that name, or ``None``."""
        for model in self.models:
            if model.name == name:
                return model
        return None


class Roster:
    """The endpoints in use.

    During an outage of the platform's store, the records of live endpoints may expire.
    A record that disappears within ``expiry_grace_s`` seconds after an outage is
    therefore retained until that grace period ends. At any other time the endpoint is
    removed at once.

    A store that was restored from an older copy may list endpoints that have left or
    are leaving as if they were in use. They are held as draining for a time.
    """

    __slots__ = (
        "_departed_by_incarnation",
        "_expiry_grace_s",
        "_grace_deadline_by_id",
        "_hold_deadline",
        "records_by_id",
    )

    def __init__(self, expiry_grace_s: float) -> None:
        self._expiry_grace_s = expiry_grace_s
        self._hold_deadline = 0.0
        self._departed_by_incarnation: dict[tuple[str, int], float] = {}
        self._grace_deadline_by_id: dict[str, float] = {}
        self.records_by_id: dict[str, EndpointRecord] = {}

    def update(
        self, now: float, records: Iterable[EndpointRecord], outage_end: float
    ) -> None:
        """Apply a new list; ``outage_end`` is when the last store outage ended."""
        listed = {record.id: self._hold(now, record) for record in records}
        grace_deadline = outage_end + self._expiry_grace_s
        for endpoint_id, record in self.records_by_id.items():
            if endpoint_id in listed:
                self._grace_deadline_by_id.pop(endpoint_id, None)
                continue
            retain_until = self._grace_deadline_by_id.get(endpoint_id, grace_deadline)
            if now >= retain_until or record.is_draining:
                self._grace_deadline_by_id.pop(endpoint_id, None)
                self._note_departed(now, record)
                continue
            self._grace_deadline_by_id[endpoint_id] = retain_until
            listed[endpoint_id] = record
        self._drop_reused_addresses(listed)
        self.records_by_id = listed

    def hold_departed(self, deadline: float) -> None:
        """Until ``deadline``, hold endpoints as draining that have left or are leaving.

        Another incarnation of such an endpoint is not held.
        """
        self._hold_deadline = deadline

    def adopt_departed(
        self, now: float, incarnations: Iterable[tuple[str, int]], deadline: float
    ) -> list[str]:
        """Hold endpoints too that a peer has seen leave; return the ids of new ones."""
        known = set(self.list_departed(now))
        new = [item for item in incarnations if item not in known]
        self._departed_by_incarnation.update(dict.fromkeys(new, now))
        self.hold_departed(deadline)
        return [endpoint_id for endpoint_id, _ in new]

    def list_departed(self, now: float) -> list[tuple[str, int]]:
        """Return the id and start time of endpoints that have left or are leaving."""
        departed = [
            incarnation
            for incarnation, departed_at in self._departed_by_incarnation.items()
            if now - departed_at < DEPARTED_MEMORY_S
        ]
        leaving = [
            (record.id, record.start_time_ms)
            for record in self.records_by_id.values()
            if record.is_draining
        ]
        return list(dict.fromkeys(departed + leaving))

    def _hold(self, now: float, record: EndpointRecord) -> EndpointRecord:
        incarnation = (record.id, record.start_time_ms)
        if now >= self._hold_deadline:
            # It is back, as after an outage in which its record expired.
            self._departed_by_incarnation.pop(incarnation, None)
            return record
        known = self.records_by_id.get(record.id)
        is_leaving = (
            known is not None
            and known.is_draining
            and known.start_time_ms == record.start_time_ms
        )
        if not is_leaving and incarnation not in self._departed_by_incarnation:
            return record
        return msgspec.structs.replace(record, is_draining=True)

    def _note_departed(self, now: float, record: EndpointRecord) -> None:
        """Remember an endpoint that was removed from the list, for a while."""
        departed = self._departed_by_incarnation
        for incarnation, departed_at in list(departed.items()):
            if now - departed_at < DEPARTED_MEMORY_S:
                break
            del departed[incarnation]
        incarnation = (record.id, record.start_time_ms)
        departed.pop(incarnation, None)
        departed[incarnation] = now

    def expire(self, now: float) -> list[str]:
        """Drop retained records whose grace period has ended and return their ids."""
        expired = [
            endpoint_id
            for endpoint_id, deadline in self._grace_deadline_by_id.items()
            if now >= deadline
        ]
        for endpoint_id in expired:
            del self._grace_deadline_by_id[endpoint_id]
            record = self.records_by_id.pop(endpoint_id, None)
            if record is not None:
                self._note_departed(now, record)
        return expired

    def _drop_reused_addresses(self, listed: dict[str, EndpointRecord]) -> None:
        """Drop retained records whose address another endpoint now uses."""
        retained = set(self._grace_deadline_by_id)
        taken = {
            record.address for key, record in listed.items() if key not in retained
        }
        for endpoint_id in retained:
            record = listed.get(endpoint_id)
            if record is None or record.address not in taken:
                continue
            del listed[endpoint_id]
            del self._grace_deadline_by_id[endpoint_id]
