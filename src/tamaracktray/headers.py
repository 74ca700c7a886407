"""Names of the product's own HTTP headers, and helpers to read header values."""

import math
import re

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

# Characters of an invalid value that an error shows.
MAX_SHOWN = 100

# Texts that a header can hold and that its reader gets unchanged: visible characters of
# Latin-1, with blanks only between them.
FIELD_VALUE = re.compile(r"[!-~\x80-\xff](?:[\t -~\x80-\xff]*[!-~\x80-\xff])?")


def is_field_value(text: str) -> bool:
    """Return whether a text can be sent as the value of a header, unchanged."""
    return FIELD_VALUE.fullmatch(text) is not None


def require_field_value(text: str) -> None:
    """Raise ``ValueError`` if a text can't be sent as the value of a header."""
    if not is_field_value(text):
        raise ValueError(f"{text[:MAX_SHOWN]!r} can't be sent in a header")


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
