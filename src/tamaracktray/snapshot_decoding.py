"""Reads the snapshots that peers send, with their values in their types."""

import msgspec

from tamaracktray.engines import VersionTarget
from tamaracktray.objects import StoredObject
from tamaracktray.roster import EndpointRecord
from tamaracktray.routes import RoutingTable
from tamaracktray.snapshots import Collection, Snapshot

VALUE_TYPE_BY_COLLECTION: dict[Collection, type] = {
    Collection.ROUTING: RoutingTable,
    Collection.ENDPOINTS: EndpointRecord,
    Collection.EVACUATIONS: str,
    Collection.VERSIONS: VersionTarget,
    Collection.MEMBERS: dict,
}


def decode_snapshots(body: bytes) -> dict[Collection, Snapshot]:
    """Return the snapshots that a peer sent, with their values in their types."""
    received = msgspec.msgpack.decode(body, type=dict[Collection, Snapshot])
    return {
        collection: _convert_values(collection, snapshot)
        for collection, snapshot in received.items()
    }


def _convert_values(collection: Collection, snapshot: Snapshot) -> Snapshot:
    value_type = VALUE_TYPE_BY_COLLECTION[collection]
    objects: dict[str, StoredObject] = {}
    for name, item in snapshot.objects_by_name.items():
        value = item.value
        if value is not None:
            value = msgspec.convert(value, value_type)
        objects[name] = msgspec.structs.replace(item, value=value)
    return msgspec.structs.replace(snapshot, objects_by_name=objects)
