"""Declares the sections of the settings file with the range and unit of every key."""

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
    """Return the metadata of a setting for error messages and the reference page."""
    return Meta(description=description, extra={UNIT: unit}, **bounds)


def seconds_meta(description: str, low: float, high: float) -> Meta:
    """Return the metadata of a time in seconds."""
    return meta(description, "seconds", ge=low, le=high)


def count_meta(description: str, unit: str, low: int, high: int) -> Meta:
    """Return the metadata of a number of ``unit``."""
    return meta(description, unit, ge=low, le=high)


class NodeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Identity and addresses of the process."""

    role: Annotated[Role, meta("Role of the process.")]
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
    """Access to the platform's services."""

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
    timeout_s: Annotated[float, seconds_meta("Timeout of one call.", 0.1, 60.0)] = 2.0
    watch_s: Annotated[
        float, seconds_meta("Mean duration of one watch.", 1.0, 300.0)
    ] = 10.0
    list_interval_s: Annotated[
        float, seconds_meta("Time between reads of the instance list.", 0.2, 300.0)
    ] = 5.0


class ApiSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Resource API for operators, served by entries."""

    listen: Annotated[
        str,
        meta(
            "Listen address; empty disables the API.",
            "IP:port",
            pattern=ADDRESS_OR_EMPTY,
        ),
    ] = ""
    token_file: Annotated[str, meta("File with the operators' token.", "path")] = ""
    token_variable: Annotated[
        str, meta("Environment variable with the operators' token.")
    ] = ""


class PeerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Exchange of state between processes."""

    seeds: Annotated[
        str,
        meta(
            "Control addresses contacted at startup if the platform is unavailable.",
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
            "Time without contact to platform and zone that means isolation.", 1, 60
        ),
    ] = 5.0
    quarantine_s: Annotated[
        float,
        seconds_meta("Time for which a crash of an endpoint is counted.", 1, 86_400),
    ] = 300.0


class EndpointSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Endpoint of an agent."""

    kind: Annotated[
        TargetKind, meta("Whether the endpoint serves a model or a service.")
    ] = TargetKind.MODEL
    serves: Annotated[str, meta("Name of the model or service.")] = ""
    address: Annotated[
        str, meta("Address of the endpoint.", "IP:port", pattern=ADDRESS_OR_EMPTY)
    ] = ""
    echoes_request_id: Annotated[
        bool, meta("Whether answers must repeat the request's x-request-id.")
    ] = True
    cold_limit: Annotated[
        int, count_meta("Concurrency limit of a cold endpoint.", "requests", 1, 1000)
    ] = 2
    max_limit: Annotated[
        int,
        count_meta(
            "Largest concurrency limit of a warm endpoint.", "requests", 1, 10_000
        ),
    ] = 32
    target_s: Annotated[
        float,
        seconds_meta("Longest time to the first byte of a healthy answer.", 0.01, 600),
    ] = 1.3
    jump_factor: Annotated[
        float,
        meta(
            "Multiple of the usual time to the first byte that means cold.",
            ge=1.5,
            le=100,
        ),
    ] = 4.0
    warm_proofs: Annotated[
        int,
        count_meta(
            "Consecutive healthy answers that make it warm.", "answers", 1, 1000
        ),
    ] = 8
    cold_s: Annotated[
        float,
        seconds_meta(
            "Longest time for which a started engine that reports nothing is cold.",
            0,
            600,
        ),
    ] = 3.0
    queue_limit: Annotated[
        int, count_meta("Largest length of the queue.", "requests", 0, 10_000)
    ] = 32
    status_interval_s: Annotated[
        float, seconds_meta("Time between reads of the engine's status.", 0.05, 60)
    ] = 1.0


class WeightSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Transfer of weights, and rollout slots."""

    origin: Annotated[
        str, meta("Address of the origin.", "IP:port", pattern=ADDRESS_OR_EMPTY)
    ] = ""
    chunk_timeout_s: Annotated[
        float, seconds_meta("Timeout of the fetch of one chunk.", 0.1, 600)
    ] = 10.0
    takeover_s: Annotated[
        float,
        seconds_meta("Time after which the next process in rank takes over.", 0.1, 600),
    ] = 5.0
    cross_region_bytes_s: Annotated[
        int,
        count_meta(
            "Rate limit for weights from other regions; 0 is unlimited.",
            "B/s",
            0,
            10**12,
        ),
    ] = 0
    verify_ttl_s: Annotated[
        float,
        seconds_meta(
            "Time within which a version is loaded after its chunks were verified; "
            "longer than the verification takes.",
            1,
            3_600,
        ),
    ] = 30.0
    lease_s: Annotated[
        float, seconds_meta("Lease time of a rollout slot.", 1, 86_400)
    ] = 120.0
    load_timeout_s: Annotated[
        float, seconds_meta("Timeout of the load of a version.", 1, 86_400)
    ] = 60.0


class RequestSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on callers' requests."""

    max_header_bytes: Annotated[
        int, count_meta("Largest size of all headers.", "bytes", 1_024, 1_048_576)
    ] = 16_384
    max_body_bytes: Annotated[
        int, count_meta("Largest size of a body.", "bytes", 1_024, 64 * 1_048_576)
    ] = 1_048_576
    idle_timeout_s: Annotated[
        float, seconds_meta("Idle timeout of a connection.", 0.1, 3_600)
    ] = 30.0
    receive_timeout_s: Annotated[
        float, seconds_meta("Timeout for receiving one request.", 0.1, 600)
    ] = 10.0
    send_timeout_s: Annotated[
        float, seconds_meta("Timeout for writing a part of an answer.", 0.1, 600)
    ] = 10.0
    deadline_s: Annotated[
        float, seconds_meta("Default deadline of a request.", 0.1, 3_600)
    ] = 30.0
    max_deadline_s: Annotated[
        float, seconds_meta("Latest deadline that a request may set.", 0.1, 3_600)
    ] = 300.0
    stall_s: Annotated[
        float, seconds_meta("Idle timeout within an answer.", 0.1, 600)
    ] = 10.0
    claim_margin_s: Annotated[
        float,
        seconds_meta("Lease of a key beyond the deadline of its request.", 0.1, 600),
    ] = 5.0
    acknowledge_s: Annotated[
        float,
        seconds_meta("Timeout for an agent's acknowledgement of an attempt.", 0.05, 60),
    ] = 1.0
    key_retention_s: Annotated[
        float,
        seconds_meta("Time for which an idempotency key is kept.", 60, 30 * 86_400),
    ] = 86_400.0


class TelemetrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Logs, metrics and traces."""

    log_level: Annotated[str, meta("Lowest level that is logged.", pattern=LEVEL)] = (
        "info"
    )
    statsd: Annotated[
        str,
        meta("Address of the statsd server.", "IP:port", pattern=ADDRESS_OR_EMPTY),
    ] = ""
    statsd_prefix: Annotated[str, meta("Prefix of all metrics.")] = "tamaracktray"
    trace_file: Annotated[
        str, meta("File for spans as JSON lines; empty for none.", "path")
    ] = ""
