"""Names of the HTTP headers between callers, entries, agents and endpoints."""

import math

IDEMPOTENCY_KEY = "idempotency-key"
TEAM = "x-team"
PRIORITY = "x-priority"
DEADLINE_MS = "x-deadline-ms"
RETRY_AFTER = "retry-after"
REQUEST_ID = "x-request-id"
MODEL_VERSION = "x-model-version"
KEY_RETENTION_S = "x-idempotency-retention-s"
REPLAYED = "x-idempotent-replayed"

ATTEMPT = "x-tray-attempt"
AFFINITY = "x-tray-affinity"
FINGERPRINT = "x-tray-fingerprint"
REFUSED = "x-tray-refused"
LOAD = "x-tray-load"
SENDER = "x-tray-sender"
ZONE = "x-tray-zone"
CONTROL = "x-tray-control"
CONFIGURATION = "x-tray-configuration"
MANIFEST = "x-tray-manifest"
CHUNK_MAP = "x-tray-chunk-map"
PENDING = "x-tray-pending"
PEER_KEY = "x-tray-key"


def read_seconds(text: str | None) -> float | None:
    """Parse a time in seconds; return ``None`` if absent and NaN if malformed."""
    if text is None:
        return None
    try:
        return float(text)
    except ValueError:
        return math.nan
