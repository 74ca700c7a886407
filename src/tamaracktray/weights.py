"""Content-addressed weights: manifests, chunks and their sources."""

import hashlib
from abc import ABC, abstractmethod

import msgspec
from returns.result import Failure, Result, Success
from typing_extensions import override

from tamaracktray import headers as names
from tamaracktray.decoding import UNREADABLE
from tamaracktray.exceptions import WeightError
from tamaracktray.exchange import fetch
from tamaracktray.http_messages import Headers, Reply
from tamaracktray.outcomes import FetchOutcome
from tamaracktray.types import Address

MAX_CHUNK_BYTES = 8 * 1_048_576
MAX_MANIFEST_BYTES = 1_048_576


class Manifest(msgspec.Struct, frozen=True):
    """The chunks of one version, in order, each given by its SHA-256 digest."""

    chunk_bytes: int
    total_bytes: int
    chunks: list[str]

    def chunk_size(self, index: int) -> int:
        """Return the size in bytes of the chunk at ``index``."""
        if index < len(self.chunks) - 1:
            return self.chunk_bytes
        return self.total_bytes - self.chunk_bytes * (len(self.chunks) - 1)


def digest_bytes(data: bytes) -> str:
    """Return the SHA-256 digest of ``data`` in lower-case hexadecimal."""
    return hashlib.sha256(data).hexdigest()


def build_manifest(data: bytes, chunk_bytes: int) -> tuple[Manifest, dict[str, bytes]]:
    """Split weights into chunks; return the manifest and the chunks by digest."""
    chunks_by_digest: dict[str, bytes] = {}
    digests: list[str] = []
    for offset in range(0, len(data), chunk_bytes):
        chunk = data[offset : offset + chunk_bytes]
        digest = digest_bytes(chunk)
        digests.append(digest)
        chunks_by_digest[digest] = chunk
    return Manifest(chunk_bytes, len(data), digests), chunks_by_digest


def encode_manifest(manifest: Manifest) -> bytes:
    """Return the canonical bytes of a manifest; their digest identifies the version."""
    return msgspec.json.encode(manifest, order="deterministic")


def decode_manifest(data: bytes, digest: str) -> Result[Manifest, WeightError]:
    """Verify and parse a manifest.

    Fails if the digest differs, the document is invalid or its sizes are inconsistent.
    """
    if digest_bytes(data) != digest:
        return Failure(WeightError(f"manifest {digest[:12]} is corrupt"))
    try:
        manifest = msgspec.json.decode(data, type=Manifest)
    except UNREADABLE as error:
        return Failure(WeightError(f"manifest {digest[:12]} is unreadable: {error}"))
    if not manifest.chunks or not 0 < manifest.chunk_bytes <= MAX_CHUNK_BYTES:
        message = f"chunks must have 1 to {MAX_CHUNK_BYTES} bytes"
        return Failure(WeightError(f"manifest {digest[:12]}: {message}"))
    if not 0 < manifest.chunk_size(len(manifest.chunks) - 1) <= manifest.chunk_bytes:
        return Failure(WeightError(f"manifest {digest[:12]}: sizes are inconsistent"))
    return Success(manifest)


def verify_chunk(data: bytes, digest: str) -> Result[bytes, WeightError]:
    """Return ``data`` if its digest matches, a failure otherwise."""
    if digest_bytes(data) != digest:
        return Failure(WeightError(f"chunk {digest[:12]} is corrupt"))
    return Success(data)


class ChunkAnswer(msgspec.Struct, frozen=True):
    """Answer of a source to a request for a chunk.

    ``data`` is the chunk, not verified, if the outcome is ``STORED``. ``bitmap`` marks
    the chunks of the manifest that the source has, ``None`` if it reported none.
    """

    outcome: FetchOutcome
    data: bytes = b""
    bitmap: int | None = None


class WeightSource(ABC):
    """A source from which manifests and chunks are read by digest."""

    @abstractmethod
    async def read_manifest(self, digest: str) -> Result[bytes, WeightError]:
        """Return the encoded bytes of a manifest, not verified."""

    @abstractmethod
    async def read_chunk(
        self, digest: str, manifest: str, timeout_s: float
    ) -> ChunkAnswer:
        """Return a chunk of a manifest, not verified."""


class HttpWeightSource(WeightSource):
    """Reads from the origin (the weight store) or another agent over HTTP."""

    __slots__ = ("_address", "_headers")

    def __init__(self, address: Address, headers: Headers | None = None) -> None:
        self._address = address
        self._headers = headers or []

    @override
    async def read_manifest(self, digest: str) -> Result[bytes, WeightError]:
        reply = await fetch(
            self._address,
            "GET",
            f"/weights/manifests/{digest}",
            self._headers,
            max_bytes=MAX_MANIFEST_BYTES,
        )
        if isinstance(reply, Failure):
            return Failure(WeightError(f"{self._address}: {reply.failure().message}"))
        answer = reply.unwrap()
        if answer.status != 200:
            return Failure(WeightError(f"{self._address} answered {answer.status}"))
        return Success(answer.body)

    @override
    async def read_chunk(
        self, digest: str, manifest: str, timeout_s: float
    ) -> ChunkAnswer:
        reply = await fetch(
            self._address,
            "GET",
            f"/weights/chunks/{digest}",
            [*self._headers, (names.MANIFEST, manifest)],
            timeout_s=timeout_s,
            max_bytes=MAX_CHUNK_BYTES,
        )
        if isinstance(reply, Failure):
            return ChunkAnswer(FetchOutcome.FAILED)
        answer = reply.unwrap()
        return ChunkAnswer(_classify(answer), answer.body, _read_map(answer))


def _classify(answer: Reply) -> FetchOutcome:
    if answer.status == 200:
        return FetchOutcome.STORED
    if answer.status in (429, 503) or names.PENDING in answer.headers:
        return FetchOutcome.PENDING
    if answer.status == 404:
        return FetchOutcome.ABSENT
    return FetchOutcome.FAILED


def _read_map(answer: Reply) -> int | None:
    try:
        return int(answer.headers.get(names.CHUNK_MAP, ""), 16)
    except ValueError:
        return None
