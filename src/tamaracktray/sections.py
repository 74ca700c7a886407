"""The sections of the settings file, with the range and unit of every key."""

from typing import Annotated, Any

import msgspec
from msgspec import Meta

from tamaracktray.types import Role, TargetKind

NAME = r"^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$"
ADDRESS = r"^[0-9.]+:[0-9]{1,5}$"
ADDRESS_OR_EMPTY = r"^([0-9.]+:[0-9]{1,5})?$"
ADDRESS_LIST = r"^([0-9.]+:[0-9]{1,5}([ ,]+[0-9.]+:[0-9]{1,5})*)?$"
LEVEL = r"^(debug|info|warning|error)$"
UNIT = "unit"


def meta(description: str, unit: str = "", **bounds: Any) -> Meta:
    """Describe a setting for messages and the reference page."""
    return Meta(description=description, extra={UNIT: unit}, **bounds)


def seconds_meta(description: str, low: float, high: float) -> Meta:
    """Describe a time in seconds."""
    return meta(description, "seconds", ge=low, le=high)


def count_meta(description: str, unit: str, low: int, high: int) -> Meta:
    """Describe a number of ``unit``."""
    return meta(description, unit, ge=low, le=high)


class NodeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The process and its addresses."""

    role: Annotated[Role, meta("What the process does.")]
    name: Annotated[str, meta("Unique name of the process.", pattern=NAME)]
    zone: Annotated[str, meta("Availability zone of the instance.", pattern=NAME)]
    region: Annotated[str, meta("Region of the availability zone.", pattern=NAME)]
    listen: Annotated[
        str, meta("Address for requests and chunks.", "IP:port", pattern=ADDRESS)
    ]
    control: Annotated[
        str, meta("Address for gRPC between processes.", "IP:port", pattern=ADDRESS)
    ]


class PlatformSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The platform's services."""

    object_api: Annotated[
        str, meta("Address of the object API.", "IP:port", pattern=ADDRESS)
    ]
    instance_list: Annotated[
        str, meta("Address of the instance list.", "IP:port", pattern=ADDRESS)
    ]
    token_file: Annotated[str, meta("File with the bearer token.", "path")] = ""
    token_variable: Annotated[
        str, meta("Environment variable with the bearer token.")
    ] = ""
    timeout_s: Annotated[float, seconds_meta("Longest call.", 0.1, 60.0)] = 2.0
    watch_s: Annotated[float, seconds_meta("Mean time of one watch.", 1.0, 300.0)] = (
        10.0
    )
    list_interval_s: Annotated[
        float, seconds_meta("Time between reads of the instance list.", 0.2, 300.0)
    ] = 5.0


class ApiSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The resource API for operators; used by entries."""

    listen: Annotated[
        str,
        meta("Address; empty for none.", "IP:port", pattern=ADDRESS_OR_EMPTY),
    ] = ""
    token_file: Annotated[str, meta("File with the operators' token.", "path")] = ""
    token_variable: Annotated[
        str, meta("Environment variable with the operators' token.")
    ] = ""


class PeerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Exchange between the processes."""

    seeds: Annotated[
        str,
        meta(
            "Control addresses to ask at the start, when the platform is out.",
            "IP:port, separated by commas",
            pattern=ADDRESS_LIST,
        ),
    ] = ""
    key_file: Annotated[str, meta("File with the key shared by peers.", "path")] = ""
    key_variable: Annotated[
        str, meta("Environment variable with the key shared by peers.")
    ] = ""
    contact_s: Annotated[
        float,
        seconds_meta(
            "Time after which a silent platform and zone mean isolation.", 1, 60
        ),
    ] = 5.0
    quarantine_s: Annotated[
        float, seconds_meta("Time for which a crash of an endpoint counts.", 1, 86_400)
    ] = 300.0


class EndpointSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The endpoint beside an agent."""

    kind: Annotated[TargetKind, meta("Whether it serves a model or a service.")] = (
        TargetKind.MODEL
    )
    serves: Annotated[str, meta("Name of the model or service.")] = ""
    address: Annotated[
        str, meta("Address of the endpoint.", "IP:port", pattern=ADDRESS_OR_EMPTY)
    ] = ""
    echoes_request_id: Annotated[
        bool, meta("Whether answers must repeat the request's x-request-id.")
    ] = True
    cold_limit: Annotated[
        int, count_meta("Load that a cold endpoint bears.", "requests", 1, 1000)
    ] = 2
    max_limit: Annotated[
        int,
        count_meta("Load that a warm endpoint bears at most.", "requests", 1, 10_000),
    ] = 32
    target_s: Annotated[
        float, seconds_meta("Longest healthy time to the first byte.", 0.01, 600)
    ] = 1.3
    jump_factor: Annotated[
        float, meta("Multiple of the usual time that means cold.", ge=1.5, le=100)
    ] = 4.0
    warm_proofs: Annotated[
        int,
        count_meta("Healthy answers that make a cold one warm.", "answers", 1, 1000),
    ] = 8
    queue_limit: Annotated[int, count_meta("Longest queue.", "requests", 0, 10_000)] = (
        32
    )
    status_interval_s: Annotated[
        float, seconds_meta("Time between reads of the engine's status.", 0.05, 60)
    ] = 1.0


class WeightSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Transfer of weights and rollout slots."""

    origin: Annotated[
        str, meta("Address of the origin.", "IP:port", pattern=ADDRESS_OR_EMPTY)
    ] = ""
    chunk_timeout_s: Annotated[
        float, seconds_meta("Longest fetch of one chunk.", 0.1, 600)
    ] = 10.0
    takeover_s: Annotated[
        float, seconds_meta("Time after which the next in rank takes over.", 0.1, 600)
    ] = 5.0
    cross_region_bytes_s: Annotated[
        int,
        count_meta(
            "Rate for weights from other regions; 0 is unlimited.", "B/s", 0, 10**12
        ),
    ] = 0
    lease_s: Annotated[float, seconds_meta("Lease of a rollout slot.", 1, 86_400)] = (
        120.0
    )
    load_timeout_s: Annotated[
        float, seconds_meta("Longest load of a version.", 1, 86_400)
    ] = 60.0


class RequestSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds on callers' requests."""

    max_header_bytes: Annotated[
        int, count_meta("Largest header.", "bytes", 1_024, 1_048_576)
    ] = 16_384
    max_body_bytes: Annotated[
        int, count_meta("Largest body.", "bytes", 1_024, 64 * 1_048_576)
    ] = 1_048_576
    idle_timeout_s: Annotated[
        float, seconds_meta("Longest wait for a request on a connection.", 0.1, 3_600)
    ] = 30.0
    receive_timeout_s: Annotated[
        float, seconds_meta("Longest arrival of one request.", 0.1, 600)
    ] = 10.0
    send_timeout_s: Annotated[
        float, seconds_meta("Longest write of a part of an answer.", 0.1, 600)
    ] = 10.0
    deadline_s: Annotated[
        float, seconds_meta("Deadline of a request that names none.", 0.1, 3_600)
    ] = 30.0
    max_deadline_s: Annotated[
        float, seconds_meta("Latest deadline a request may name.", 0.1, 3_600)
    ] = 300.0
    stall_s: Annotated[
        float, seconds_meta("Longest pause within an answer.", 0.1, 600)
    ] = 10.0
    claim_margin_s: Annotated[
        float, seconds_meta("Lease of a key beyond the request's deadline.", 0.1, 600)
    ] = 5.0
    acknowledge_s: Annotated[
        float, seconds_meta("Longest silence of an agent after an attempt.", 0.05, 60)
    ] = 1.0
    key_retention_s: Annotated[
        float,
        seconds_meta("Time for which an idempotency key is kept.", 60, 30 * 86_400),
    ] = 86_400.0


class TelemetrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Logs, metrics and traces."""

    log_level: Annotated[str, meta("debug to error.", pattern=LEVEL)] = "info"
    statsd: Annotated[
        str,
        meta("Address of the statsd server.", "IP:port", pattern=ADDRESS_OR_EMPTY),
    ] = ""
    statsd_prefix: Annotated[str, meta("Prefix of all metrics.")] = "tamaracktray"
    trace_file: Annotated[
        str, meta("File for spans as JSON lines; empty for none.", "path")
    ] = ""
