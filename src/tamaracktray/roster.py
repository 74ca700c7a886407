"""The endpoints that the platform lists, and when one that vanished counts as gone."""

from collections.abc import Iterable

import msgspec

from tamaracktray.types import Address


class LoadedModel(msgspec.Struct, frozen=True):
    """A model as an endpoint holds it.

    ``first_layer`` and ``end_layer`` bound the layers held, the end excluded; both are
    0 when the endpoint does not tell layers apart.
    """

    name: str
    version: int
    first_layer: int = 0
    end_layer: int = 0

    def is_whole(self, layers: int) -> bool:
        """Tell whether all ``layers`` of the model are held."""
        if not self.end_layer:
            return not layers
        return self.first_layer == 0 and self.end_layer >= layers


class EndpointRecord(msgspec.Struct, frozen=True):
    """One endpoint of the list.

    ``cold_s`` is how long the endpoint stays cold from the moment of the record.
    ``born_ms`` is the Unix time of its start in milliseconds and tells two lives under
    one id apart; ``sequence`` numbers the orders that it has begun.
    """

    id: str
    service: str
    address: Address
    zone: str
    max_batch: int
    is_draining: bool = False
    cold_s: float = 0.0
    born_ms: int = 0
    sequence: int = 0
    is_busy: bool = False
    models: tuple[LoadedModel, ...] = ()

    def find_model(self, name: str) -> LoadedModel | None:
        """Return what the endpoint holds of a model."""
        for model in self.models:
            if model.name == name:
                return model
        return None


class Roster:
    """The endpoints in use.

    Entries may lapse while the platform's store is out though the endpoint lives. A
    record that vanishes within ``lapse_hold_s`` of such an outage is kept until the
    hold ends; at any other time its endpoint is gone at once.
    """

    __slots__ = ("_hold_deadline_by_id", "_lapse_hold_s", "records_by_id")

    def __init__(self, lapse_hold_s: float) -> None:
        self._lapse_hold_s = lapse_hold_s
        self._hold_deadline_by_id: dict[str, float] = {}
        self.records_by_id: dict[str, EndpointRecord] = {}

    def update(
        self, now: float, records: Iterable[EndpointRecord], outage_end: float
    ) -> None:
        """Follow a new list; ``outage_end`` is when the store last came back."""
        listed = {record.id: record for record in records}
        hold_deadline = outage_end + self._lapse_hold_s
        for endpoint_id, record in self.records_by_id.items():
            if endpoint_id in listed:
                self._hold_deadline_by_id.pop(endpoint_id, None)
                continue
            held_until = self._hold_deadline_by_id.get(endpoint_id, hold_deadline)
            if now >= held_until or record.is_draining:
                self._hold_deadline_by_id.pop(endpoint_id, None)
                continue
            self._hold_deadline_by_id[endpoint_id] = held_until
            listed[endpoint_id] = record
        self._drop_reused_addresses(listed)
        self.records_by_id = listed

    def expire(self, now: float) -> list[str]:
        """Drop held records whose hold has ended and return their ids."""
        ended = [
            endpoint_id
            for endpoint_id, deadline in self._hold_deadline_by_id.items()
            if now >= deadline
        ]
        for endpoint_id in ended:
            del self._hold_deadline_by_id[endpoint_id]
            self.records_by_id.pop(endpoint_id, None)
        return ended

    def _drop_reused_addresses(self, listed: dict[str, EndpointRecord]) -> None:
        """Drop held records whose address another endpoint has taken."""
        held = set(self._hold_deadline_by_id)
        taken = {record.address for key, record in listed.items() if key not in held}
        for endpoint_id in held:
            record = listed.get(endpoint_id)
            if record is None or record.address not in taken:
                continue
            del listed[endpoint_id]
            del self._hold_deadline_by_id[endpoint_id]
