"""Enumerations and small value types shared by all modules."""

import ipaddress
from enum import Enum
from typing import Annotated

import msgspec


class Role(str, Enum):
    """Role of a daemon process."""

    ENTRY = "entry"
    AGENT = "agent"


class TargetKind(str, Enum):
    """Kind of endpoint to which a request is addressed."""

    MODEL = "models"
    SERVICE = "services"


class RunState(str, Enum):
    """Whether the endpoint ran a request, as reported to the caller."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RUN = "run"


class ErrorCode(str, Enum):
    """Machine-readable code of an error answer."""

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


# An integer that every codec of the project can encode.
Int64 = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]


class Address(msgspec.Struct, frozen=True):
    """An IPv4 address and a TCP port; all sockets of the project are of IPv4."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the address as ``host:port``."""
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parse ``host:port``; raise ``ValueError`` if it is malformed."""
        host, separator, port = text.rpartition(":")
        if not separator or not port.isascii() or not port.isdigit():
            raise ValueError(f"{text!r} is not an address of the form host:port")
        address = cls(host, int(port))
        address.check()
        return address

    def check(self) -> None:
        """Raise ``ValueError`` unless host and port are valid in IPv4."""
        ipaddress.IPv4Address(self.host)
        if not 0 <= self.port < PORT_END:
            raise ValueError(f"port {self.port} is not between 0 and 65535")


class Refusal(msgspec.Struct, frozen=True):
    """The final error answer to one request or attempt.

    ``retry_after_s`` is the number of seconds to wait before a retry, or ``None`` if a
    retry cannot succeed.
    """

    code: ErrorCode
    message: str
    run: RunState
    status: int
    retry_after_s: float | None = None


class Load(msgspec.Struct, frozen=True):
    """Load of one endpoint as measured by its agent, in requests."""

    running: int
    queued: int
    window: int

    def encode(self) -> str:
        """Return the value of the load header."""
        return f"{self.running},{self.queued},{self.window}"

    @classmethod
    def decode(cls, text: str) -> "Load | None":
        """Parse the value of a load header; return ``None`` if it is malformed."""
        parts = text.split(",")
        if len(parts) != 3 or not all(part.isdigit() for part in parts):
            return None
        running, queued, window = (int(part) for part in parts)
        return cls(running, queued, window)


class Instance(msgspec.Struct, frozen=True):
    """One row of the platform's instance list.

    ``address`` accepts requests and chunk transfers, ``control`` accepts gRPC calls.
    ``serves`` is the model or service of an agent's endpoint, and empty for an entry.
    """

    name: str
    role: Role
    zone: str
    region: str
    address: Address
    control: Address
    serves: str = ""
    leaving: bool = False
