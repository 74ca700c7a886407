"""HTTP requests and answers, and the limits of a client connection."""

from http import HTTPStatus

import h11
import msgspec

from tamaracktray.types import ErrorCode, Refusal, RunState

READ_BYTES = 65_536

# Most bytes read at once while a request's head is expected. What arrives beyond its
# end is buffered, so this is less than for bodies.
HEAD_READ_BYTES = 16_384

Headers = list[tuple[str, str]]
RawHeaders = list[tuple[bytes, bytes]]


class HttpLimits(msgspec.Struct, frozen=True):
    """Limits for one client connection.

    Sizes are in bytes, timeouts in seconds. ``idle_timeout_s`` applies to the wait for
    the next request on a connection, ``receive_timeout_s`` to the head and to the body
    of a request and ``send_timeout_s`` to times in which a client reads nothing of its
    answer. No more is read while ``max_pipelined_bytes`` beyond a request's end are
    buffered.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    idle_timeout_s: float = 30.0
    receive_timeout_s: float = 10.0
    send_timeout_s: float = 10.0
    max_pipelined_bytes: int = 32_768


class Request(msgspec.Struct, frozen=True):
    """A complete request; header names are in lower case.

    ``target`` is the path and query as sent, ``path`` is the decoded path.
    ``raw_headers`` preserves the order and spelling of the sender.
    """

    method: str
    path: str
    target: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes = b""
    raw_headers: RawHeaders = []


class Reply(msgspec.Struct, frozen=True):
    """A complete answer; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes = b""


class RequestRejectedError(Exception):
    """A request that the server rejects before it calls a handler."""

    def __init__(
        self, status: int, message: str, retry_after_s: float | None = None
    ) -> None:
        super().__init__(message)
        code = _CODE_BY_STATUS.get(status, ErrorCode.BAD_REQUEST)
        self.refusal = Refusal(code, message, RunState.NOT_RUN, status, retry_after_s)


_CODE_BY_STATUS = {
    HTTPStatus.REQUEST_TIMEOUT: ErrorCode.TIMED_OUT,
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE: ErrorCode.TOO_LARGE,
    HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE: ErrorCode.TOO_LARGE,
    HTTPStatus.SERVICE_UNAVAILABLE: ErrorCode.OVERLOADED,
}


def decode_headers(headers: h11._headers.Headers) -> dict[str, str]:
    """Return header values by lower-case name."""
    return {name.decode("ascii"): value.decode("latin-1") for name, value in headers}


def encode_headers(headers: Headers | RawHeaders) -> RawHeaders:
    """Return headers as bytes, so that decoded values are sent as they were received.

    Raises ``UnicodeEncodeError`` for a value outside Latin-1.
    """
    return [
        (name.encode("ascii"), value.encode("latin-1"))
        if isinstance(name, str)
        else (name, value)
        for name, value in headers
    ]
