"""Performs an agent's version effects: transfers, loads and status reports."""

import time
import uuid
from typing import TYPE_CHECKING

import curio
import msgspec
from returns.result import Failure, Success

from tamaracktray import headers as names
from tamaracktray.byte_rates import TokenBucket
from tamaracktray.delivery_state import DeliveryState
from tamaracktray.effects import (
    ClaimSlot,
    FetchChunk,
    FetchManifest,
    LoadVersion,
    ReleaseSlot,
    ReportEndpoint,
    VerifyWeights,
)
from tamaracktray.endpoints import LoadOrder, ModelEngine
from tamaracktray.events import (
    ChunkFetched,
    EngineLost,
    EngineReported,
    LoadWithdrawn,
    ManifestFetched,
    SlotAnswered,
    VersionLoaded,
    WeightsVerified,
)
from tamaracktray.exceptions import ObjectNotFoundError, OrderExpiredError
from tamaracktray.holders import Holders, encode_map, index_chunks
from tamaracktray.http_messages import Headers, Request
from tamaracktray.objects import ENDPOINTS, put_and_confirm
from tamaracktray.outcomes import FetchOutcome
from tamaracktray.resources import EndpointSpec, Kind
from tamaracktray.responders import Responder
from tamaracktray.slots import SlotClient
from tamaracktray.types import Address
from tamaracktray.weights import (
    HttpWeightSource,
    Manifest,
    WeightSource,
    decode_manifest,
    encode_manifest,
    verify_chunk,
)

if TYPE_CHECKING:
    from tamaracktray.agent import AgentShell

MAX_UPLOADS = 8
STATUS_RETRY_S = 2.0
REPORT_RETRIES = 5
OCTET_STREAM_HEADERS: Headers = [("content-type", "application/octet-stream")]


class VersionWorker:
    """Performs the effects of ``delivery`` for the agent of a model engine."""

    def __init__(self, agent: "AgentShell", engine: ModelEngine) -> None:
        self._agent = agent
        self._engine = engine
        settings = agent.settings
        self._origin = HttpWeightSource(Address.parse(settings.weights.origin))
        self._bucket = TokenBucket(settings.weights.cross_region_bytes_s)
        self._manifest_by_digest: dict[str, Manifest] = {}
        self._index_by_manifest: dict[str, dict[str, int]] = {}
        self._slots = SlotClient(
            agent.store,
            agent.own.name,
            agent.own.serves,
            agent.own.zone,
            settings.weights.lease_s,
        )
        self._report: ReportEndpoint | None = None
        self._uploads = 0
        agent.state.delivery = DeliveryState(
            agent.own.serves, Holders(agent.own, [], is_listed=False), settings.transfer
        )
        performers = {
            FetchManifest: self._fetch_manifest,
            FetchChunk: self._fetch_chunk,
            VerifyWeights: self._verify,
            ClaimSlot: self._claim_slot,
            ReleaseSlot: self._release_slot,
            LoadVersion: self._load,
            ReportEndpoint: self._write_report,
        }
        for effect_type, function in performers.items():
            self._register(effect_type, function)

    def _register(self, effect_type: type, function: object) -> None:
        async def perform(effect: object) -> None:
            await self._agent.spawn(function, effect)

        self._agent.add_performer(effect_type, perform)

    async def run_status(self) -> None:
        """Poll the engine's status at the configured interval."""
        while True:
            status = await self._engine.read_status()
            now = time.monotonic()
            if isinstance(status, Failure):
                await self._agent.dispatch(EngineLost(now))
            else:
                report = status.unwrap()
                await self._agent.dispatch(
                    EngineReported(
                        now,
                        report.boot,
                        report.manifest,
                        report.ready,
                        report.cold,
                        report.staged,
                    )
                )
            await curio.sleep(self._agent.settings.endpoint.status_interval_s)

    async def send_weights(self, request: Request, responder: Responder) -> None:
        """Handle a peer's request for a manifest or a chunk."""
        parts = request.path.strip("/").split("/")
        if len(parts) != 3:
            await responder.respond(404, [])
            return
        if parts[1] == "manifests" and parts[2] in self._manifest_by_digest:
            body = encode_manifest(self._manifest_by_digest[parts[2]])
            await responder.respond(200, OCTET_STREAM_HEADERS, body)
            return
        if parts[1] != "chunks":
            await responder.respond(404, [])
            return
        await self._send_chunk(request, responder)

    async def _send_chunk(self, request: Request, responder: Responder) -> None:
        """Send a staged chunk, or report it as missing or pending.

        Every answer has a bitmap of the staged chunks of the peer's manifest, if that
        manifest is known.
        """
        delivery = self._agent.state.delivery
        digest = request.path.rpartition("/")[2]
        headers = self._build_map_header(request)
        if delivery is None or digest not in delivery.staged:
            if delivery is not None and delivery.is_pending(digest):
                headers.append((names.PENDING, "1"))
            await responder.respond(404, headers)
            return
        if self._uploads >= MAX_UPLOADS:
            await responder.respond(503, headers)
            return
        self._uploads += 1
        try:
            await self._upload(digest, headers, responder)
        finally:
            self._uploads -= 1

    def _build_map_header(self, request: Request) -> Headers:
        delivery = self._agent.state.delivery
        index = self._index_by_manifest.get(request.headers.get(names.MANIFEST, ""))
        if delivery is None or index is None:
            return []
        return [(names.CHUNK_MAP, f"{encode_map(index, delivery.staged):x}")]

    async def _upload(
        self, digest: str, headers: Headers, responder: Responder
    ) -> None:
        chunk = await self._engine.read_chunk(digest)
        if isinstance(chunk, Failure):
            await responder.respond(404, headers)
            return
        data = chunk.unwrap()
        self._agent.metrics.count("chunk_bytes_sent", len(data))
        await responder.respond(200, [*OCTET_STREAM_HEADERS, *headers], data)

    async def _fetch_manifest(self, effect: FetchManifest) -> None:
        manifest: Manifest | None = None
        sources: list[WeightSource] = [self._open_peer(peer) for peer in effect.peers]
        if effect.may_use_origin:
            sources.append(self._origin)
        for source in sources:
            read = await source.read_manifest(effect.digest)
            decoded = read.bind(lambda data: decode_manifest(data, effect.digest))
            if isinstance(decoded, Success):
                manifest = decoded.unwrap()
                break
        if manifest is not None:
            self._manifest_by_digest[effect.digest] = manifest
            self._index_by_manifest[effect.digest] = index_chunks(manifest)
        await self._agent.dispatch(
            ManifestFetched(time.monotonic(), effect.digest, manifest)
        )

    def _open_peer(self, address: Address) -> HttpWeightSource:
        return HttpWeightSource(address, self._agent.build_peer_headers())

    async def _fetch_chunk(self, effect: FetchChunk) -> None:
        """Fetch, verify and stage one chunk."""
        source: WeightSource = self._origin
        if effect.source is not None:
            source = self._open_peer(effect.source)
        delivery = self._agent.state.delivery
        manifest = "" if delivery is None else delivery.target.manifest
        answer = await source.read_chunk(effect.digest, manifest, effect.timeout_s)
        outcome = answer.outcome
        if outcome is FetchOutcome.STORED:
            outcome = await self._stage_received_chunk(effect, answer.data)
        await self._agent.dispatch(
            ChunkFetched(
                time.monotonic(),
                effect.digest,
                effect.source_name,
                outcome,
                manifest,
                answer.bitmap,
            )
        )

    async def _stage_received_chunk(
        self, effect: FetchChunk, data: bytes
    ) -> FetchOutcome:
        """Verify a received chunk and stage it in the engine."""
        source_kind = "origin" if effect.source is None else "peers"
        self._agent.metrics.count(f"chunk_bytes_from_{source_kind}", len(data))
        if effect.is_cross_region:
            await self._bucket.take(len(data))
        if isinstance(verify_chunk(data, effect.digest), Failure):
            self._agent.metrics.count("corrupt_chunks")
            return FetchOutcome.CORRUPT
        staged = await self._engine.stage_chunk(effect.digest, data)
        if isinstance(staged, Failure):
            return FetchOutcome.FAILED
        return FetchOutcome.STORED

    async def _verify(self, effect: VerifyWeights) -> None:
        """Read every staged chunk back, one at a time, and check its digest."""
        began_at = time.monotonic()
        bad_chunks: list[str] = []
        for digest in dict.fromkeys(effect.chunks):
            read = await self._engine.read_chunk(digest)
            verified = read.bind(lambda data, name=digest: verify_chunk(data, name))
            if isinstance(verified, Failure):
                bad_chunks.append(digest)
        await self._agent.dispatch(
            WeightsVerified(time.monotonic(), effect.manifest, bad_chunks, began_at)
        )

    async def _claim_slot(self, effect: ClaimSlot) -> None:
        """Claim a slot.

        The lease starts before the write, so its remaining time is never overestimated.
        """
        now = time.monotonic()
        grant = await self._slots.claim(
            effect.rollout,
            effect.max_unavailable,
            effect.failure_limit,
            is_swap=effect.is_swap,
        )
        await self._agent.dispatch(
            SlotAnswered(
                time.monotonic(),
                effect.manifest,
                grant.outcome,
                grant.fence,
                now + self._agent.settings.weights.lease_s,
                grant.reason,
            )
        )

    async def _release_slot(self, effect: ReleaseSlot) -> None:
        if effect.failure:
            await self._record_failure(effect)
        for _ in range(REPORT_RETRIES):
            if await self._slots.release():
                return
            await curio.sleep(STATUS_RETRY_S)

    async def _record_failure(self, effect: ReleaseSlot) -> None:
        for _ in range(REPORT_RETRIES):
            if await self._slots.record_failure(effect.rollout, effect.failure):
                return
            await curio.sleep(STATUS_RETRY_S)

    async def _load(self, effect: LoadVersion) -> None:
        """Order a load, or report that the order has expired."""
        order = LoadOrder(effect.manifest, effect.chunks, effect.fence)
        timeout_s = self._agent.settings.weights.load_timeout_s
        loaded = await self._engine.load(order, timeout_s, effect.deadline)
        now = time.monotonic()
        if isinstance(loaded, Success):
            await self._agent.dispatch(VersionLoaded(now, effect.manifest, True))
            return
        error = loaded.failure()
        if isinstance(error, OrderExpiredError):
            await self._agent.dispatch(
                LoadWithdrawn(now, effect.manifest, error.message)
            )
            return
        await self._agent.dispatch(
            VersionLoaded(now, effect.manifest, False, error.message)
        )

    async def _write_report(self, effect: ReportEndpoint) -> None:
        """Write the endpoint's state unless a newer report has replaced it."""
        self._report = effect
        self._agent.log.info("endpoint", **msgspec.to_builtins(effect))
        for _ in range(REPORT_RETRIES):
            if self._report is not effect:
                return
            if await self._write_endpoint_object(effect):
                return
            await curio.sleep(STATUS_RETRY_S)

    async def _write_endpoint_object(self, effect: ReportEndpoint) -> bool:
        own = self._agent.own
        name = f"{Kind.ENDPOINT.value}.{own.name}"
        found = await self._agent.store.get(ENDPOINTS, name)
        version = 0
        if isinstance(found, Success):
            version = found.unwrap().version
        elif not isinstance(found.failure(), ObjectNotFoundError):
            return False
        spec = EndpointSpec(
            own.serves,
            own.zone,
            own.name,
            effect.phase,
            effect.version,
            effect.target,
            effect.reason,
        )
        value = {
            "kind": Kind.ENDPOINT.value,
            "name": own.name,
            "spec": msgspec.to_builtins(spec),
        }
        written = await put_and_confirm(
            self._agent.store, ENDPOINTS, name, value, version, uuid.uuid4().hex
        )
        return isinstance(written, Success)
