"""The endpoints in the platform's list, with a grace period after store outages."""

from collections.abc import Iterable

import msgspec

from tamaracktray.types import Address


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
    """

    __slots__ = ("_grace_deadline_by_id", "_expiry_grace_s", "records_by_id")

    def __init__(self, expiry_grace_s: float) -> None:
        self._expiry_grace_s = expiry_grace_s
        self._grace_deadline_by_id: dict[str, float] = {}
        self.records_by_id: dict[str, EndpointRecord] = {}

    def update(
        self, now: float, records: Iterable[EndpointRecord], outage_end: float
    ) -> None:
        """Apply a new list; ``outage_end`` is when the last store outage ended."""
        listed = {record.id: record for record in records}
        grace_deadline = outage_end + self._expiry_grace_s
        for endpoint_id, record in self.records_by_id.items():
            if endpoint_id in listed:
                self._grace_deadline_by_id.pop(endpoint_id, None)
                continue
            retain_until = self._grace_deadline_by_id.get(endpoint_id, grace_deadline)
            if now >= retain_until or record.is_draining:
                self._grace_deadline_by_id.pop(endpoint_id, None)
                continue
            self._grace_deadline_by_id[endpoint_id] = retain_until
            listed[endpoint_id] = record
        self._drop_reused_addresses(listed)
        self.records_by_id = listed

    def expire(self, now: float) -> list[str]:
        """Drop retained records whose grace period has ended and return their ids."""
        expired = [
            endpoint_id
            for endpoint_id, deadline in self._grace_deadline_by_id.items()
            if now >= deadline
        ]
        for endpoint_id in expired:
            del self._grace_deadline_by_id[endpoint_id]
            self.records_by_id.pop(endpoint_id, None)
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
