"""Schemas of the platform's documents and their translation into internal types.

Each struct mirrors one document of the platform, but renames fields with misleading
names. A document that does not match its struct is rejected as a whole.
"""

from collections.abc import Callable
from typing import Any

import msgspec

from tamaracktray.endpoint_pace.reports import measure_share
from tamaracktray.engines import EngineReport, VersionTarget
from tamaracktray.headers import require_field_value
from tamaracktray.roster import EndpointRecord, LoadedModel
from tamaracktray.routes import (
    Backend,
    CallerLimits,
    EngineSpec,
    ModelSpec,
    RepeatKind,
    Route,
    RoutingTable,
    Service,
    Team,
)
from tamaracktray.types import Address, Int64

MS_PER_S = 1_000.0
PAIRS_PER_UNIT = 1e6
TOKENS_PER_UNIT = 1e3

# Only engines of this stage accept whole requests.
WHOLE_STAGE = "both"
SERVER_STATES = ("ready", "draining")


class _Document(msgspec.Struct, frozen=True, rename="camel"):
    """Base class of all documents; field names are in camel case on the wire."""


class _WeightedBackend(_Document, frozen=True):
    service: str
    weight: float = 1.0


class _Route(_Document, frozen=True):
    name: str
    host: str
    path_prefix: str
    # The platform's "type" states which requests may be repeated.
    repeat: RepeatKind = msgspec.field(name="type")
    timeout_ms: float
    target_latency_ms: float = 0.0
    priority: Int64 = 0
    service: str = ""
    backends: list[_WeightedBackend] = []
    max_attempts: Int64 = 1
    public: bool = False
    resumable: bool = False
    gap_target_ms: float = 0.0
    allowed_regions: list[str] = []


class _Model(_Document, frozen=True):
    name: str
    warm_s: float = 0.0


class _TypicalTokens(_Document, frozen=True):
    prompt: float = 0.0
    answer: float = 0.0


class _Engine(_Document, frozen=True, rename=None):
    # This document mixes snake case and camel case.
    max_batch: Int64 = msgspec.field(name="maxBatchSize")
    kv_tokens: Int64 = msgspec.field(name="kvCapacity", default=0)
    models: list[_Model] = []
    layers: Int64 = 0
    chunks: Int64 = 0
    chunk_bytes: Int64 = msgspec.field(name="chunkBytes", default=0)
    stride: Int64 = 1
    step_ms: float = 0.0
    # Time added to every step by each request that generates tokens.
    per_seq_ms: float = 0.0
    context_per_k: float = 0.0
    read_per_s: float = 0.0
    pairs_per_m: float = 0.0
    read_chunk: Int64 = msgspec.field(name="chunk", default=0)
    usual: _TypicalTokens = _TypicalTokens()


class _Service(_Document, frozen=True):
    name: str
    health_path: str = ""
    max_connections: Int64 = 0
    # Rate limit of a cold endpoint in requests per second.
    cold_per_s: float = 0.0
    engine: _Engine | None = None
    origin: str = ""
    zone: str = ""


class _Limits(_Document, frozen=True):
    max_header_bytes: Int64 = 16_384
    max_body_bytes: Int64 = 1_048_576
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 30_000.0


class _Tenant(_Document, frozen=True):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: Int64 | None = None
    allowed_regions: tuple[str, ...] = ()


class _Configuration(_Document, frozen=True):
    version: Int64
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = _Limits()
    tenants: list[_Tenant] = []


class _LayerRange(_Document, frozen=True):
    first: Int64 = msgspec.field(name="from")
    # One past the last loaded layer.
    end: Int64 = msgspec.field(name="to")
    version: Int64 = 0


class _ModelVersion(_Document, frozen=True):
    name: str
    version: Int64


class _ServerEntry(_Document, frozen=True):
    service: str
    address: str
    zone: str
    state: str
    max_batch_size: Int64
    # Counted from the time at which the entry was written.
    cold_remaining_ms: float = 0.0
    # Counts the orders that the engine has started, not the changes of this entry.
    seq: Int64 = 0
    born: Int64 = 0
    stage: str = WHOLE_STAGE
    models: list[_ModelVersion] = []
    layers: list[_LayerRange] | _LayerRange | None = None


class _Report(_Document, frozen=True):
    models: list[_ModelVersion] = []
    layers: list[_LayerRange] | _LayerRange | None = None
    stage: str = WHOLE_STAGE
    busy: bool = False
    seq: Int64 = 0
    queued: Int64 = 0
    active: Int64 = 0
    kv_used: Int64 = 0
    kv_total: Int64 = 0
    born: Int64 = 0
    pace: float = 1.0


class _AnnouncedVersion(_Document, frozen=True):
    model: str
    version: Int64


class _Manifest(_Document, frozen=True):
    model: str
    version: Int64
    chunk_bytes: Int64
    digests: list[str]


def read_configuration(name: str, spec: Any) -> RoutingTable:
    """Return the routing table of a configuration."""
    document = msgspec.convert(spec, _Configuration)
    services = [_read_service(service) for service in document.services]
    limits = document.limits
    return RoutingTable(
        document.version,
        tuple(_read_route(route) for route in document.routes),
        {service.name: service for service in services},
        tuple(
            Team(item.name, item.api_keys, item.priority, item.allowed_regions)
            for item in document.tenants
        ),
        CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / MS_PER_S,
            limits.idle_timeout_ms / MS_PER_S,
        ),
    )


def _read_route(route: _Route) -> Route:
    backends = [Backend(backend.service, backend.weight) for backend in route.backends]
    if route.service:
        backends = [Backend(route.service)]
    return Route(
        route.name,
        route.host,
        route.path_prefix,
        route.repeat,
        tuple(backends),
        route.timeout_ms / MS_PER_S,
        route.target_latency_ms / MS_PER_S,
        route.priority,
        route.max_attempts,
        route.public,
        route.resumable,
        route.gap_target_ms / MS_PER_S,
        tuple(route.allowed_regions),
    )


def _read_service(service: _Service) -> Service:
    origin = Address.parse(service.origin) if service.origin else None
    engine = _read_engine(service.engine) if service.engine is not None else None
    return Service(
        service.name,
        service.health_path,
        service.max_connections,
        service.cold_per_s,
        engine,
        origin,
        service.zone,
    )


def _read_engine(engine: _Engine) -> EngineSpec:
    return EngineSpec(
        max_batch=engine.max_batch,
        models=tuple(ModelSpec(model.name, model.warm_s) for model in engine.models),
        layers=engine.layers,
        chunks=engine.chunks,
        chunk_bytes=engine.chunk_bytes,
        kv_tokens=engine.kv_tokens,
        stride=engine.stride,
        step_s=engine.step_ms / MS_PER_S,
        per_request_s=engine.per_seq_ms / MS_PER_S,
        per_context_token_s=engine.context_per_k / MS_PER_S / TOKENS_PER_UNIT,
        read_tokens_s=engine.read_per_s,
        pair_s=engine.pairs_per_m / MS_PER_S / PAIRS_PER_UNIT,
        read_chunk=engine.read_chunk,
        usual_prompt=engine.usual.prompt,
        usual_answer=engine.usual.answer,
    )


def read_endpoint(name: str, spec: Any) -> EndpointRecord:
    """Return the record of an endpoint that requests can name, from its entry."""
    document = msgspec.convert(spec, _ServerEntry)
    if document.state not in SERVER_STATES:
        raise msgspec.ValidationError(f"unknown state {document.state!r}")
    require_field_value(name)
    is_whole = document.stage == WHOLE_STAGE
    models = _read_models(document.models, document.layers) if is_whole else ()
    return EndpointRecord(
        name,
        document.service,
        Address.parse(document.address),
        document.zone,
        document.max_batch_size,
        is_draining=document.state == "draining",
        cold_s=document.cold_remaining_ms / MS_PER_S,
        start_time_ms=document.born,
        sequence=document.seq,
        models=models,
    )


def _read_models(
    models: list[_ModelVersion], layers: list[_LayerRange] | _LayerRange | None
) -> tuple[LoadedModel, ...]:
    """Combine models with their loaded layers, which are matched by version."""
    ranges = layers if isinstance(layers, list) else [layers] if layers else []
    loaded: list[LoadedModel] = []
    for model in models:
        part = next((item for item in ranges if item.version == model.version), None)
        if part is None:
            loaded.append(LoadedModel(model.name, model.version))
            continue
        loaded.append(LoadedModel(model.name, model.version, part.first, part.end))
    return tuple(loaded)


def read_evacuation(name: str, spec: Any) -> str:
    """Return the name of the availability zone that is being evacuated."""
    return name


def read_version(name: str, spec: Any) -> VersionTarget:
    """Return the version of the weights that the operator has announced."""
    document = msgspec.convert(spec, _AnnouncedVersion)
    return VersionTarget(document.model, document.version)


def read_report(body: bytes) -> EngineReport:
    """Return the status report of an engine."""
    document = msgspec.json.decode(body, type=_Report)
    return EngineReport(
        models=_read_models(document.models, document.layers),
        is_busy=document.busy,
        sequence=document.seq,
        queued=document.queued,
        running=document.active,
        start_time_ms=document.born,
        pace=document.pace,
        kv_used_share=measure_share(document.kv_used, document.kv_total),
    )


def read_manifest(body: bytes, model: str, version: int) -> tuple[int, list[str]]:
    """Return the chunk size in bytes and the digests of all chunks in order.

    Raise ``ValueError`` if the manifest is of another version or lists no chunks.
    """
    document = msgspec.json.decode(body, type=_Manifest)
    if (document.model, document.version) != (model, version):
        raise ValueError(f"it is of {document.model}, version {document.version}")
    if not document.digests:
        raise ValueError("it lists no chunks")
    return document.chunk_bytes, document.digests


DocumentReader = Callable[[str, Any], Any]
