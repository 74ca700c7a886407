"""Reads of the manifest and chunks of a version from a peer or the origin."""

from returns.result import Failure, Result, Success

from tamaracktray.decoding import decode_msgpack
from tamaracktray.engines import VersionOrigin
from tamaracktray.exceptions import (
    SourceUnreachableError,
    TransportError,
    WeightError,
)
from tamaracktray.exchange import fetch
from tamaracktray.http_messages import Reply
from tamaracktray.types import Address
from tamaracktray.version_keys import VersionKey
from tamaracktray.weights import MAX_CHUNK_BYTES, Manifest, verify_chunk

MANIFEST_PART = "/manifest"

# Largest manifest that is accepted from a peer, in bytes.
MAX_MANIFEST_BYTES = 4 * 1_048_576

# Query parameter that requests a chunk only if the peer has it or is reading it from
# the origin.
HELD_QUERY = "held"

# Timeout of a call to a peer for a chunk, in seconds. The peer may have to read the
# chunk from the origin first, over a link that all agents share.
PEER_CHUNK_TIMEOUT_S = 3.0

# Connect timeout of a call to a peer, in seconds. A running peer accepts a connection
# within milliseconds, and there are other sources.
PEER_CONNECT_S = 0.4

# Equal reads needed to accept a manifest from the origin, as it has no known digest.
MATCHING_MANIFEST_READS = 2

MAX_MANIFEST_READS = 6


async def _read_peer(
    address: Address, target: str, max_bytes: int = MAX_MANIFEST_BYTES
) -> Result[bytes, WeightError]:
    """Request a part; fail with ``SourceUnreachableError`` if there is no answer."""
    reply = await fetch(
        address,
        "GET",
        target,
        timeout_s=PEER_CHUNK_TIMEOUT_S,
        max_bytes=max_bytes,
        connect_timeout_s=PEER_CONNECT_S,
    )
    if isinstance(reply, Failure):
        return Failure(SourceUnreachableError(reply.failure().message))
    answer = reply.unwrap()
    if answer.status != 200:
        return Failure(WeightError(f"{address} answered {answer.status}"))
    return Success(answer.body)


async def read_peer_manifest(
    address: Address, key: VersionKey
) -> Result[Manifest, WeightError]:
    """Read a manifest from a peer."""
    body = await _read_peer(address, key.path + MANIFEST_PART)
    if isinstance(body, Failure):
        return body
    return decode_msgpack(body.unwrap(), Manifest).alt(
        lambda error: WeightError(f"{address}: manifest: {error.message}")
    )


async def read_peer_chunk(
    address: Address,
    key: VersionKey,
    index: int,
    digest: str,
    *,
    only_if_held: bool = False,
) -> Result[bytes, WeightError]:
    """Read a chunk from a peer and verify it.

    If ``only_if_held`` is set, the peer refuses unless it has the chunk or is reading
    it from the origin.
    """
    query = f"?{HELD_QUERY}=1" if only_if_held else ""
    target = f"{key.path}/{index}{query}"
    body = await _read_peer(address, target, MAX_CHUNK_BYTES)
    return body.bind(lambda data: verify_chunk(data, digest))


async def read_origin_manifest(
    origin: VersionOrigin, key: VersionKey
) -> Result[Manifest, WeightError]:
    """Read a manifest until two reads agree, as the origin may send corrupt data."""
    manifests: list[Manifest] = []
    failure = WeightError("the origin's manifests differ")
    for _ in range(MAX_MANIFEST_READS):
        read = await origin.read_manifest(key.model, key.version)
        if isinstance(read, Failure):
            failure = read.failure()
            continue
        manifest = read.unwrap()
        manifests.append(manifest)
        if manifests.count(manifest) >= MATCHING_MANIFEST_READS:
            return Success(manifest)
    return Failure(failure)


async def read_origin_chunk(
    origin: VersionOrigin, key: VersionKey, index: int, digest: str
) -> Result[bytes, WeightError]:
    """Read a chunk from the origin and verify it."""
    read = await origin.read_chunk(key.model, key.version, index)
    return read.bind(lambda data: verify_chunk(data, digest))


def require_ok(
    reply: Result[Reply, TransportError], call: str
) -> Result[Reply, WeightError]:
    """Return an answer with status 200, else an error that names the call."""
    if isinstance(reply, Failure):
        return Failure(WeightError(f"{call}: {reply.failure().message}"))
    answer = reply.unwrap()
    if answer.status != 200:
        return Failure(WeightError(f"{call}: answered {answer.status}"))
    return Success(answer)
