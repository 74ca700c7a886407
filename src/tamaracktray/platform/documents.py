"""The platform's documents and their translation into the product's types.

Each structure follows one document of the platform; its fields are renamed where the
platform's name misleads. A document that does not fit its structure is unreadable and
names nothing that may be used.
"""

from collections.abc import Callable
from typing import Any

import msgspec

from tamaracktray.engines import EngineReport, VersionTarget
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
from tamaracktray.types import Address

MS_PER_S = 1_000.0
PAIRS_PER_UNIT = 1e6
TOKENS_PER_UNIT = 1e3

# Only engines of this stage take whole requests.
WHOLE_STAGE = "both"
STATES = ("ready", "draining")


class _Document(msgspec.Struct, frozen=True, rename="camel"):
    """Base of all documents; the platform's field names are in camel case."""


class _Split(_Document, frozen=True):
    service: str
    weight: float = 1.0


class _Route(_Document, frozen=True):
    name: str
    host: str
    path_prefix: str
    # Says what may be repeated, not what the route is for.
    repeat: RepeatKind = msgspec.field(name="type")
    timeout_ms: float
    target_latency_ms: float = 0.0
    priority: int = 0
    service: str = ""
    backends: list[_Split] = []
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_target_ms: float = 0.0
    allowed_regions: list[str] = []


class _Model(_Document, frozen=True):
    name: str
    warm_s: float = 0.0


class _Usual(_Document, frozen=True):
    prompt: float = 0.0
    answer: float = 0.0


class _Engine(_Document, frozen=True, rename=None):
    # The platform's names, which mix cases within this document.
    max_batch: int = msgspec.field(name="maxBatchSize")
    kv_tokens: int = msgspec.field(name="kvCapacity", default=0)
    models: list[_Model] = []
    layers: int = 0
    chunks: int = 0
    chunk_bytes: int = msgspec.field(name="chunkBytes", default=0)
    stride: int = 1
    step_ms: float = 0.0
    # A writing request slows every step by this much.
    per_seq_ms: float = 0.0
    context_per_k: float = 0.0
    read_per_s: float = 0.0
    pairs_per_m: float = 0.0
    read_chunk: int = msgspec.field(name="chunk", default=0)
    usual: _Usual = _Usual()


class _Service(_Document, frozen=True):
    name: str
    health_path: str = ""
    max_connections: int = 0
    # Requests a second that a cold endpoint bears.
    cold_per_s: float = 0.0
    engine: _Engine | None = None
    origin: str = ""
    zone: str = ""


class _Limits(_Document, frozen=True):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 30_000.0


class _Tenant(_Document, frozen=True):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    allowed_regions: list[str] = []


class _Configuration(_Document, frozen=True):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = _Limits()
    tenants: list[_Tenant] = []


class _Layers(_Document, frozen=True):
    first: int = msgspec.field(name="from")
    # The layer after the last one held.
    end: int = msgspec.field(name="to")
    version: int = 0


class _HeldModel(_Document, frozen=True):
    name: str
    version: int


class _Server(_Document, frozen=True):
    service: str
    address: str
    zone: str
    state: str
    max_batch_size: int
    # From the moment of writing.
    cold_remaining_ms: float = 0.0
    # Counts the orders begun, not the changes of this entry.
    seq: int = 0
    born: int = 0
    stage: str = WHOLE_STAGE
    models: list[_HeldModel] = []
    layers: list[_Layers] | _Layers | None = None


class _Report(_Document, frozen=True):
    models: list[_HeldModel] = []
    layers: list[_Layers] | _Layers | None = None
    stage: str = WHOLE_STAGE
    busy: bool = False
    seq: int = 0
    queued: int = 0
    active: int = 0
    kv_used: int = 0
    kv_total: int = 0
    born: int = 0
    pace: float = 1.0


class _NamedVersion(_Document, frozen=True):
    model: str
    version: int


class _Manifest(_Document, frozen=True):
    model: str
    version: int
    chunk_bytes: int
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
        tuple(_read_tenant(tenant) for tenant in document.tenants),
        CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / MS_PER_S,
            limits.idle_timeout_ms / MS_PER_S,
        ),
    )


def _read_route(route: _Route) -> Route:
    backends = [Backend(split.service, split.weight) for split in route.backends]
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


def _read_tenant(tenant: _Tenant) -> Team:
    return Team(
        tenant.name,
        tuple(tenant.api_keys),
        tenant.priority,
        tuple(tenant.allowed_regions),
    )


def read_endpoint(name: str, spec: Any) -> EndpointRecord:
    """Return the record of an endpoint from its entry in the store."""
    document = msgspec.convert(spec, _Server)
    if document.state not in STATES:
        raise msgspec.ValidationError(f"unknown state {document.state!r}")
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
        born_ms=document.born,
        sequence=document.seq,
        models=models,
    )


def _read_models(
    models: list[_HeldModel], layers: list[_Layers] | _Layers | None
) -> tuple[LoadedModel, ...]:
    """Join models with the layers held of them, which are listed in parallel."""
    ranges = layers if isinstance(layers, list) else [layers] if layers else []
    held: list[LoadedModel] = []
    for model in models:
        part = next((item for item in ranges if item.version == model.version), None)
        if part is None:
            held.append(LoadedModel(model.name, model.version))
            continue
        held.append(LoadedModel(model.name, model.version, part.first, part.end))
    return tuple(held)


def read_evacuation(name: str, spec: Any) -> str:
    """Return the availability zone that an evacuation empties."""
    return name


def read_version(name: str, spec: Any) -> VersionTarget:
    """Return the version of weights that the operator has named."""
    document = msgspec.convert(spec, _NamedVersion)
    return VersionTarget(document.model, document.version)


def read_report(body: bytes) -> EngineReport:
    """Return what an engine reports of itself."""
    document = msgspec.json.decode(body, type=_Report)
    return EngineReport(
        models=_read_models(document.models, document.layers),
        is_busy=document.busy,
        sequence=document.seq,
        queued=document.queued,
        running=document.active,
        born_ms=document.born,
        pace=document.pace,
    )


def read_manifest(body: bytes) -> tuple[int, list[str]]:
    """Return the size of a chunk in bytes and the chunks' digests, in order."""
    document = msgspec.json.decode(body, type=_Manifest)
    return document.chunk_bytes, document.digests


Reader = Callable[[str, Any], Any]
