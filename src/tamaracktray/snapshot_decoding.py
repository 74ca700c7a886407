"""Reads the snapshots that peers send, with their values in their types."""

import msgspec
from returns.result import Failure, Result, Success

from tamaracktray.engines import VersionTarget
from tamaracktray.exceptions import ProtocolError
from tamaracktray.objects import StoredObject
from tamaracktray.peers import Member
from tamaracktray.roster import EndpointRecord
from tamaracktray.routes import RoutingTable
from tamaracktray.snapshots import Collection, Snapshot

VALUE_TYPE_BY_COLLECTION: dict[Collection, type] = {
    Collection.ROUTING: RoutingTable,
    Collection.ENDPOINTS: EndpointRecord,
    Collection.EVACUATIONS: str,
    Collection.VERSIONS: VersionTarget,
    Collection.MEMBERS: Member,
}


def decode_snapshots(
    body: bytes,
) -> Result[dict[Collection, Snapshot], ProtocolError]:
    """Return the snapshots that a peer sent, with their values in their types."""
    try:
        received = msgspec.msgpack.decode(body, type=dict[Collection, Snapshot])
        snapshots = {
            collection: _convert_values(collection, snapshot)
            for collection, snapshot in received.items()
        }
    except (msgspec.DecodeError, RecursionError) as error:
        return Failure(ProtocolError(f"unreadable snapshots: {error}"))
    return Success(snapshots)


def _convert_values(collection: Collection, snapshot: Snapshot) -> Snapshot:
    value_type = VALUE_TYPE_BY_COLLECTION[collection]
    objects: dict[str, StoredObject] = {}
    for name, item in snapshot.objects_by_name.items():
        value = item.value
        if value is not None:
            value = msgspec.convert(value, value_type)
        objects[name] = msgspec.structs.replace(item, value=value)
    return msgspec.structs.replace(snapshot, objects_by_name=objects)
