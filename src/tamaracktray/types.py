"""Identifiers, enumerations and small value types shared by all modules."""

import ipaddress
from enum import Enum

import msgspec


class Role(str, Enum):
    """Which part of the system a daemon process plays."""

    ENTRY = "entry"
    AGENT = "agent"


class TargetKind(str, Enum):
    """What kind of endpoint a request is addressed to."""

    MODEL = "models"
    SERVICE = "services"


class RunState(str, Enum):
    """Whether a request reached its endpoint, as told to the caller."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RUN = "run"


class ErrorCode(str, Enum):
    """Machine-readable reason of an error answer."""

    BAD_REQUEST = "bad_request"
    NOT_FOUND = "not_found"
    UNAUTHORIZED = "unauthorized"
    TOO_LARGE = "too_large"
    TIMED_OUT = "timed_out"
    NO_ENDPOINT = "no_endpoint"
    OVERLOADED = "overloaded"
    LEAVING = "leaving"
    ZONE_OUT = "zone_out"
    ISOLATED = "isolated"
    NOT_SERVING = "not_serving"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    QUARANTINED = "quarantined"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    CLAIM_RUNNING = "claim_running"
    OUTCOME_UNKNOWN = "outcome_unknown"
    ANSWER_NOT_KEPT = "answer_not_kept"
    KEY_REUSED = "key_reused"
    ENDPOINT_UNREACHABLE = "endpoint_unreachable"
    ENDPOINT_FAILED = "endpoint_failed"
    ENDPOINT_CRASHED = "endpoint_crashed"
    ANSWER_INVALID = "answer_invalid"


class Priority(int, Enum):
    """Order of service within one endpoint; lower values are served first."""

    HIGH = 0
    NORMAL = 1
    LOW = 2


PORT_END = 65_536


class Address(msgspec.Struct, frozen=True):
    """An IP address and a TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the address as ``host:port``."""
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parse ``host:port``; raise ``ValueError`` when it is neither."""
        host, separator, port = text.rpartition(":")
        if not separator or not port.isascii() or not port.isdigit():
            raise ValueError(f"{text!r} is not an address of the form host:port")
        address = cls(host, int(port))
        address.check()
        return address

    def check(self) -> None:
        """Raise ``ValueError`` unless this is an IP address and a port."""
        ipaddress.ip_address(self.host)
        if not 0 <= self.port < PORT_END:
            raise ValueError(f"{self.port} is not a port")


class Refusal(msgspec.Struct, frozen=True):
    """The final error answer to one request or attempt.

    ``retry_after_s`` is the time in seconds after which a repeat makes sense, or
    ``None`` when a repeat cannot succeed.
    """

    code: ErrorCode
    message: str
    run: RunState
    status: int
    retry_after_s: float | None = None


class Load(msgspec.Struct, frozen=True):
    """Load of one endpoint as its agent sees it, in requests."""

    running: int
    queued: int
    window: int

    def encode(self) -> str:
        """Return the value of the load header."""
        return f"{self.running},{self.queued},{self.window}"

    @classmethod
    def decode(cls, text: str) -> "Load | None":
        """Parse the value of a load header; return ``None`` when malformed."""
        parts = text.split(",")
        if len(parts) != 3 or not all(part.isdigit() for part in parts):
            return None
        running, queued, window = (int(part) for part in parts)
        return cls(running, queued, window)


class Instance(msgspec.Struct, frozen=True):
    """One row of the platform's instance list.

    ``address`` accepts requests and chunk transfers, ``control`` accepts gRPC.
    ``serves`` names the model or service beside an agent and is empty for an entry.
    """

    name: str
    role: Role
    zone: str
    region: str
    address: Address
    control: Address
    serves: str = ""
    leaving: bool = False
