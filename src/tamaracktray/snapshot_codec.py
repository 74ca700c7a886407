"""Encoding of snapshots that peers send each other.

Snapshots are compressed, because a configuration with thousands of similar routes
shrinks to a tenth of its size, and the links also transfer answers to callers.
"""

import zlib

import msgspec
from returns.result import Failure, Result, Success

from tamaracktray.decoding import UNREADABLE
from tamaracktray.engines import VersionTarget
from tamaracktray.exceptions import ProtocolError
from tamaracktray.objects import StoredObject
from tamaracktray.peers import Member
from tamaracktray.quarantine_records import QuarantineRecord
from tamaracktray.roster import EndpointRecord
from tamaracktray.routes import RoutingTable
from tamaracktray.snapshots import Collection, Snapshot

VALUE_TYPE_BY_COLLECTION: dict[Collection, type] = {
    Collection.ROUTING: RoutingTable,
    Collection.ENDPOINTS: EndpointRecord,
    Collection.EVACUATIONS: str,
    Collection.VERSIONS: VersionTarget,
    Collection.MEMBERS: Member,
    Collection.QUARANTINES: QuarantineRecord,
}


# The fastest level gets most of the reduction within a few milliseconds.
COMPRESSION_LEVEL = 1

# Largest decompressed size of the snapshots that are accepted, in bytes.
MAX_DECOMPRESSED_BYTES = 32 * 1_048_576


def encode_snapshots(snapshots: dict[Collection, Snapshot]) -> bytes:
    """Encode and compress snapshots."""
    return zlib.compress(msgspec.msgpack.encode(snapshots), COMPRESSION_LEVEL)


def decode_snapshots(
    body: bytes,
) -> Result[dict[Collection, Snapshot], ProtocolError]:
    """Decode snapshots of a peer and convert their values to the collections' types."""
    try:
        decompressed = zlib.decompressobj().decompress(body, MAX_DECOMPRESSED_BYTES)
        received = msgspec.msgpack.decode(decompressed, type=dict[Collection, Snapshot])
        snapshots = {
            collection: _convert_values(collection, snapshot)
            for collection, snapshot in received.items()
        }
    except (zlib.error, *UNREADABLE) as error:
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
