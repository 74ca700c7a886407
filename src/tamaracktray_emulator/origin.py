"""Stand-in for the weight origin."""

import random

import msgspec

from tamaracktray.http_messages import Request
from tamaracktray.responders import Responder
from tamaracktray.types import Address
from tamaracktray.weights import build_manifest, digest_bytes, encode_manifest
from tamaracktray_emulator.standin import OCTETS, RateLimit, StandIn, send_json


class VersionRequest(msgspec.Struct, frozen=True):
    """Request to generate weights of a given size from a seed.

    The first ``shared_bytes`` bytes are generated from ``shared_seed``, which lets two
    versions share chunks.
    """

    seed: int
    total_bytes: int
    chunk_bytes: int
    shared_seed: int = 0
    shared_bytes: int = 0


class OriginStandIn(StandIn):
    """Serves manifests and chunks over a rate-limited link and counts the bytes sent.

    ``corrupt_share`` is the share of chunk answers in which one byte is corrupted.
    """

    def __init__(
        self,
        address: Address,
        *,
        rate_bytes_s: float = 0.0,
        corrupt_share: float = 0.0,
        seed: int = 1,
    ) -> None:
        super().__init__(address)
        self._link = RateLimit(rate_bytes_s)
        self._corrupt_share = corrupt_share
        self._random = random.Random(seed)
        self.body_by_digest: dict[str, bytes] = {}
        self.bytes_sent = 0

    async def answer(self, request: Request, responder: Responder) -> None:
        """Answer a call of an agent or a test."""
        if request.method == "POST" and request.path == "/versions":
            version_request = msgspec.json.decode(request.body, type=VersionRequest)
            await send_json(
                responder, 200, {"manifest": self.create_version(version_request)}
            )
            return
        if request.path == "/sent":
            await send_json(responder, 200, {"bytes": self.bytes_sent})
            return
        body = self.body_by_digest.get(request.path.rpartition("/")[2])
        if body is None:
            await responder.respond(404, [])
            return
        self.bytes_sent += len(body)
        await self._link.throttle(len(body))
        if "/chunks/" in request.path and self._random.random() < self._corrupt_share:
            body = bytes([body[0] ^ 1]) + body[1:]
        await responder.respond(200, OCTETS, body)

    def create_version(self, version_request: VersionRequest) -> str:
        """Generate weights and return the digest of their manifest."""
        shared = random.Random(version_request.shared_seed).randbytes(
            version_request.shared_bytes
        )
        own_bytes = version_request.total_bytes - version_request.shared_bytes
        data = shared + random.Random(version_request.seed).randbytes(own_bytes)
        manifest, chunks_by_digest = build_manifest(data, version_request.chunk_bytes)
        self.body_by_digest.update(chunks_by_digest)
        body = encode_manifest(manifest)
        digest = digest_bytes(body)
        self.body_by_digest[digest] = body
        return digest
