"""Documents that the platform's operator and endpoints write to the store."""

from typing import Any

from tamaracktray.types import Address

ENGINE_MODEL = "kiln-1"
LAYERS = 16
CHUNKS = 12
CHUNK_BYTES = 1_024


def build_route(
    name: str, kind: str, service: str, *, prefix: str = "", **fields: Any
) -> dict[str, Any]:
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": "studio.example",
        "pathPrefix": prefix or f"/{name}/",
        "type": kind,
        "timeoutMs": 3000,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "public": False,
        "sticky": kind == "stream",
        "resumable": kind == "stream",
        "gapTargetMs": 300,
        "allowedRegions": [],
        **fields,
    }


def build_worker(
    service: str, address: Address, zone: str, /, **fields: Any
) -> dict[str, Any]:
    """Return the record that a worker writes to the store."""
    return {
        "service": service,
        "address": str(address),
        "zone": zone,
        "version": "v1",
        "maxBatchSize": 16,
        "state": "ready",
        "coldRemainingMs": 0,
        "stage": "both",
        "models": [],
        "seq": 0,
        "born": 1,
        **fields,
    }


def build_engine_service(name: str, **fields: Any) -> dict[str, Any]:
    """Return a service of model engines."""
    return {
        "name": name,
        "healthPath": "/healthz",
        "maxConnections": 64,
        "protocol": "h1",
        "tls": False,
        "warmupS": 3.0,
        "coldPerS": 36.0,
        "engine": {
            "maxBatchSize": 16,
            "kvCapacity": 1640000,
            "stride": 6,
            "models": [{"name": ENGINE_MODEL, "pace": 1.0, "warmS": 0.05}],
            "step_ms": 6.73,
            "per_seq_ms": 0.0219,
            "context_per_k": 0.0068,
            "read_per_s": 30600.0,
            "pairs_per_m": 0.647,
            "chunk": 2048,
            "usual": {"prompt": 964, "answer": 119},
            "layers": LAYERS,
            "chunks": CHUNKS,
            "chunkBytes": CHUNK_BYTES,
        },
        **fields,
    }


def build_plain_service(name: str) -> dict[str, Any]:
    """Return a service of plain workers."""
    return {
        "name": name,
        "healthPath": "/healthz",
        "maxConnections": 64,
        "protocol": "h1",
        "tls": False,
        "warmupS": 0.0,
        "coldPerS": 0.0,
    }


def build_configuration(
    version: int,
    routes: list[dict[str, Any]],
    services: list[dict[str, Any]],
    tenants: list[dict[str, Any]] | None = None,
) -> dict[str, Any]:
    """Return a complete configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": tenants or [],
    }


def build_tenant(name: str, *keys: str, **fields: Any) -> dict[str, Any]:
    """Return a tenant with its API keys."""
    return {
        "name": name,
        "apiKeys": list(keys),
        "priority": 1,
        "allowedRegions": [],
        **fields,
    }
