"""Reads requests from a client connection."""

from http import HTTPStatus
from urllib.parse import parse_qsl, unquote, urlsplit

import curio
import h11

from tamaracktray.http_messages import (
    HEAD_READ_BYTES,
    READ_BYTES,
    HttpLimits,
    Request,
    RequestRejectedError,
    decode_headers,
)
from tamaracktray.memory_budget import (
    HEADER_LINE_BYTES,
    REQUEST_BYTES,
    MemoryShare,
)
from tamaracktray.part_pacing import BodyPace, PartPacer
from tamaracktray.task_yields import TaskYield
from tamaracktray.tracebacks import drop_traceback

# Parts of a body after which the task yields to others: a client may send them faster
# than they are parsed.
YIELD_AFTER_EVENTS = 64

# Retry delay of a request for which there is no memory, in seconds.
BUSY_RETRY_S = 1.0

# A complete body is in memory twice while it is sent to an endpoint.
BODY_COPIES = 2


async def receive_request(
    connection: h11.Connection,
    client: curio.io.Socket,
    limits: HttpLimits,
    share: MemoryShare,
    pacer: PartPacer,
) -> Request | None:
    """Read one complete request; return ``None`` if the client has closed.

    It is charged to ``share``, and ``pacer`` limits the small parts of its body.
    """
    try:
        _resize(share, limits.max_header_bytes)
        first = await curio.timeout_after(
            limits.receive_timeout_s, next_event(connection, client)
        )
        if not isinstance(first, h11.Request):
            return None
        _check_length(first, limits)
        _resize(share, _measure_head(first))
        pace = BodyPace(pacer)
        body = await curio.timeout_after(
            limits.receive_timeout_s,
            _receive_body(connection, client, limits, share, pace),
        )
    except curio.TaskTimeout as error:
        drop_traceback(error)
        if connection.their_state is h11.IDLE and not connection.trailing_data[0]:
            return None
        raise RequestRejectedError(
            HTTPStatus.REQUEST_TIMEOUT, "the request did not arrive in time"
        ) from error
    except h11.RemoteProtocolError as error:
        raise RequestRejectedError(error.error_status_hint, str(error)) from error
    return _build_request(first, body)


async def _receive_body(
    connection: h11.Connection,
    client: curio.io.Socket,
    limits: HttpLimits,
    share: MemoryShare,
    pace: BodyPace,
) -> bytes:
    """Read the body of a request, rejecting one above the size limit."""
    if connection.they_are_waiting_for_100_continue:
        interim = h11.InformationalResponse(status_code=100, headers=[])
        await client.sendall(connection.send(interim))
    body = bytearray()
    head_bytes = share.held_bytes
    task_yield = TaskYield(YIELD_AFTER_EVENTS)
    while True:
        await task_yield.step()
        event = connection.next_event()
        if event is h11.NEED_DATA:
            data = await client.recv(READ_BYTES)
            # Parsing moves the data to the body, so this covers both buffers.
            _resize(share, head_bytes + len(body) + len(data))
            connection.receive_data(data)
            continue
        if isinstance(event, h11.EndOfMessage):
            _resize(share, head_bytes + BODY_COPIES * len(body))
            return bytes(body)
        if not isinstance(event, h11.Data):
            raise RequestRejectedError(HTTPStatus.BAD_REQUEST, "request was cut off")
        body += event.data
        await pace.note_part(len(event.data))
        if len(body) > limits.max_body_bytes:
            raise RequestRejectedError(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                f"the body exceeds {limits.max_body_bytes} bytes",
            )


def _check_length(event: h11.Request, limits: HttpLimits) -> None:
    """Reject a request whose announced length exceeds the size limit."""
    for name, value in event.headers:
        if name == b"content-length" and int(value) > limits.max_body_bytes:
            raise RequestRejectedError(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                f"the body exceeds {limits.max_body_bytes} bytes",
            )


def _measure_head(event: h11.Request) -> int:
    """Return the charge of a request without its body, in bytes."""
    return REQUEST_BYTES + HEADER_LINE_BYTES * len(event.headers)


def _resize(share: MemoryShare, held_bytes: int) -> None:
    """Change the share of a request, rejecting it if there is no room."""
    if not share.resize(held_bytes):
        raise RequestRejectedError(
            HTTPStatus.SERVICE_UNAVAILABLE,
            "too many bytes of requests are held",
            BUSY_RETRY_S,
        )


def _build_request(event: h11.Request, body: bytes) -> Request:
    target = event.target.decode("ascii")
    try:
        parts = urlsplit(target)
    except ValueError as error:
        raise RequestRejectedError(HTTPStatus.BAD_REQUEST, str(error)) from error
    return Request(
        method=event.method.decode("ascii"),
        path=unquote(parts.path),
        target=target,
        query=dict(parse_qsl(parts.query)),
        headers=decode_headers(event.headers),
        body=body,
        raw_headers=event.headers.raw_items(),
    )


async def next_event(connection: h11.Connection, socket: curio.io.Socket) -> h11.Event:
    """Return the next protocol event, reading from the socket as needed."""
    while True:
        event = connection.next_event()
        if event is not h11.NEED_DATA:
            return event
        connection.receive_data(await socket.recv(HEAD_READ_BYTES))
