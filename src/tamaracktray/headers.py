"""Names of the product's own HTTP headers, and helpers to read header values."""

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

# Headers that concern a single connection.
HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

# Longer numbers are treated as malformed.
MAX_DIGITS = 15


def read_decimal(text: str | None) -> float | None:
    """Parse a decimal number; return ``None`` if absent and NaN if malformed."""
    if text is None:
        return None
    try:
        return float(text)
    except ValueError:
        return math.nan


def list_connection_headers(headers: dict[str, str]) -> set[str]:
    """Return the names listed in the ``connection`` header, in lower case."""
    value = headers.get("connection", "")
    return {part.strip().lower() for part in value.split(",") if part.strip()}


def read_media_type(headers: dict[str, str]) -> str:
    """Return the media type of a body in lower case, empty if absent."""
    return headers.get("content-type", "").partition(";")[0].strip().lower()


def read_int(text: str) -> int | None:
    """Parse a non-negative integer; return ``None`` if absent or malformed."""
    text = text.strip()
    if not text.isascii() or not text.isdigit() or len(text) > MAX_DIGITS:
        return None
    return int(text)
