"""Clients of the platform's model engines and of its origin of weights."""

from collections.abc import Mapping

import msgspec
from returns.result import Failure, Result, Success
from typing_extensions import override

from tamaracktray.chunk_reads import require_ok
from tamaracktray.decoding import UNREADABLE, decode_json
from tamaracktray.engines import (
    EngineReport,
    OrderOutcome,
    StagingEngine,
    StartOrder,
    VersionOrigin,
)
from tamaracktray.exceptions import TransportError, WeightError
from tamaracktray.exchange import fetch
from tamaracktray.http_messages import Headers, Reply
from tamaracktray.platform.documents import read_manifest, read_report
from tamaracktray.platform.protocol import REQUEST_ID
from tamaracktray.stage_connections import LOCAL_TIMEOUT_S, StageConnections
from tamaracktray.targets import encode_target
from tamaracktray.types import Address
from tamaracktray.weights import MAX_CHUNK_BYTES, Manifest

JSON: Headers = [("content-type", "application/json")]

# Timeout of a chunk transfer, which shares its link with other chunks and live answers.
CHUNK_TIMEOUT_S = 4.0

# Switch mode that lets running requests finish before the load.
WAIT_FOR_RUNNING = "wait"

OUTCOME_BY_STATUS = {
    200: OrderOutcome.IN_EFFECT,
    202: OrderOutcome.BEGUN,
    409: OrderOutcome.CONFLICT,
    412: OrderOutcome.FENCED,
}


class PlatformEngine(StagingEngine):
    """Calls the model engine on the same instance."""

    __slots__ = ("_address", "_connections")

    def __init__(self, address: Address) -> None:
        self._address = address
        self._connections = StageConnections(address, REQUEST_ID)

    @override
    async def read_report(self) -> Result[EngineReport, TransportError]:
        reply = await self._connections.get("/report")
        if isinstance(reply, Failure):
            return reply
        answer = reply.unwrap()
        try:
            return Success(read_report(answer.body))
        except UNREADABLE as error:
            message = f"unreadable report ({answer.status}): {error}"
            return Failure(TransportError(message, sent=True))

    @override
    async def list_staged(self, model: str) -> Result[list[int], WeightError]:
        reply = await self._connections.read(encode_target("stage-get", model))
        if isinstance(reply, Failure):
            return reply
        staged = decode_json(reply.unwrap().body, dict[str, list[int]])
        return staged.map(lambda by_name: by_name.get("held", [])).alt(
            lambda error: WeightError(f"list of staged chunks: {error.message}")
        )

    @override
    async def read_chunk(
        self, model: str, index: int, reader: int = 0
    ) -> Result[bytes, WeightError]:
        # The platform's parameter "quantity" is the index of the chunk.
        target = encode_target("stage-get", model, quantity=index)
        reply = await self._connections.read(target, reader)
        return reply.map(lambda answer: answer.body)

    @override
    async def write_chunk(
        self, model: str, index: int, data: bytes
    ) -> Result[None, WeightError]:
        target = encode_target("stage-put", model, quantity=index)
        return await self._connections.write(target, data)

    @override
    async def start(self, order: StartOrder) -> Result[OrderOutcome, TransportError]:
        document = {
            "op": "start",
            "model": order.model,
            "version": order.version,
            "switchMode": WAIT_FOR_RUNNING,
            "precondition": order.sequence,
            "fencingToken": order.fence,
        }
        reply = await fetch(
            self._address,
            "POST",
            "/order",
            JSON,
            msgspec.json.encode(document),
            timeout_s=LOCAL_TIMEOUT_S,
            may_send=order.is_sendable,
        )
        if isinstance(reply, Failure) and reply.failure().is_withdrawn:
            return Success(OrderOutcome.EXPIRED)
        return reply.map(
            lambda answer: OUTCOME_BY_STATUS.get(answer.status, OrderOutcome.REFUSED)
        )


class PlatformOrigin(VersionOrigin):
    """Fetches manifests and chunks from the origin of weights.

    ``chunks_by_model`` has the number of chunks of a model's versions, where known.
    """

    __slots__ = ("_address", "_chunks_by_model")

    def __init__(
        self, address: Address, chunks_by_model: Mapping[str, int] | None = None
    ) -> None:
        self._address = address
        self._chunks_by_model = chunks_by_model or {}

    @override
    async def read_manifest(
        self, model: str, version: int
    ) -> Result[Manifest, WeightError]:
        reply = await self._call(encode_target("manifest", model, version=version))
        if isinstance(reply, Failure):
            return reply
        try:
            body = reply.unwrap().body
            chunk_bytes, digests = read_manifest(body, model, version)
        except UNREADABLE as error:
            return Failure(WeightError(f"unreadable manifest: {error}"))
        if len(digests) != self._chunks_by_model.get(model, len(digests)):
            return Failure(WeightError(f"manifest lists {len(digests)} chunks"))
        return Success(Manifest(chunk_bytes, chunk_bytes * len(digests), digests))

    @override
    async def read_chunk(
        self, model: str, version: int, index: int
    ) -> Result[bytes, WeightError]:
        target = encode_target("piece", model, quantity=index, version=version)
        return (await self._call(target)).map(lambda answer: answer.body)

    async def _call(self, target: str) -> Result[Reply, WeightError]:
        reply = await fetch(
            self._address,
            "GET",
            target,
            timeout_s=CHUNK_TIMEOUT_S,
            max_bytes=MAX_CHUNK_BYTES,
        )
        return require_ok(reply, f"GET {target}")
