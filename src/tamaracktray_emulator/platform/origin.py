"""Stand-in for the platform's weight origin."""

import hashlib
from typing import Any

import curio
from typing_extensions import override

from tamaracktray.http_messages import Request
from tamaracktray.responders import Responder
from tamaracktray.types import Address
from tamaracktray.weights import digest_bytes
from tamaracktray_emulator.platform.documents import (
    CHUNK_BYTES,
    CHUNKS,
    ENGINE_MODEL,
    LAYERS,
)
from tamaracktray_emulator.standin import StandIn, send_json


def make_chunk(version: int, index: int) -> bytes:
    """Return the bytes of a chunk, unique to its version and position."""
    seed = hashlib.sha256(f"{version}/{index}".encode()).digest()
    return (seed * (CHUNK_BYTES // len(seed) + 1))[:CHUNK_BYTES]


def list_digests(version: int) -> list[str]:
    """Return the digests of a version's chunks in order."""
    return [digest_bytes(make_chunk(version, index)) for index in range(CHUNKS)]


def build_manifest(version: int, **fields: Any) -> dict[str, Any]:
    """Return the manifest of a version."""
    return {
        "model": ENGINE_MODEL,
        "version": version,
        "chunkBytes": CHUNK_BYTES,
        "layers": LAYERS,
        "digests": list_digests(version),
        **fields,
    }


class OriginStandIn(StandIn):
    """Serves manifests and chunks; counts the chunks sent.

    ``is_down`` resets every call. The chunks in ``corrupted`` are corrupted the next
    time they are sent, and so is the next manifest if ``is_manifest_corrupted`` is set.
    The next manifests are ``wrong_manifests``, as far as these go. Calls for
    ``withheld`` chunks are reset. Chunks are sent one at a time and take
    ``chunk_s`` seconds each.
    """

    def __init__(self, address: Address) -> None:
        super().__init__(address)
        self.chunks_sent = 0
        self.is_down = False
        self.corrupted: set[int] = set()
        self.is_manifest_corrupted = False
        self.wrong_manifests: list[dict[str, Any]] = []
        self.withheld: set[int] = set()
        self.chunk_s = 0.0
        self._link = curio.Lock()

    @override
    async def answer(self, request: Request, responder: Responder) -> None:
        if self.is_down:
            await responder.abort()
            return
        version = int(request.query.get("version", "1"))
        if request.path == f"/manifest/{ENGINE_MODEL}":
            digests = list_digests(version)
            if self.is_manifest_corrupted:
                self.is_manifest_corrupted = False
                digests[0] = "0" * 64
            document = build_manifest(version)
            document["digests"] = digests
            if self.wrong_manifests:
                document = self.wrong_manifests.pop()
            await send_json(responder, 200, document)
            return
        if request.path.startswith("/manifest/"):
            await responder.respond(404, [])
            return
        index = int(request.query["quantity"])
        if index in self.withheld:
            await responder.abort()
            return
        async with self._link:
            await curio.sleep(self.chunk_s)
        data = make_chunk(version, index)
        if index in self.corrupted:
            self.corrupted.discard(index)
            data = b"\x00" + data[1:]
        self.chunks_sent += 1
        await responder.respond(200, [], data)
