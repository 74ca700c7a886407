"""Reads requests from a client connection."""

from http import HTTPStatus
from urllib.parse import parse_qsl, unquote, urlsplit

import curio
import h11

from tamaracktray.body_budget import BodyShare
from tamaracktray.http_messages import (
    READ_BYTES,
    HttpLimits,
    Request,
    RequestRejectedError,
    decode_headers,
)
from tamaracktray.task_yields import TaskYield

# Parts of a body after which the task yields to others: a client may send them faster
# than they are parsed.
YIELD_AFTER_EVENTS = 64

# Retry delay of a request for whose body there is no memory, in seconds.
BUSY_RETRY_S = 1.0


async def receive_request(
    connection: h11.Connection,
    client: curio.io.Socket,
    limits: HttpLimits,
    share: BodyShare,
) -> Request | None:
    """Read one complete request; return ``None`` if the client has closed.

    Its body is charged to ``share``.
    """
    try:
        first = await curio.timeout_after(
            limits.receive_timeout_s, next_event(connection, client)
        )
        if not isinstance(first, h11.Request):
            return None
        body = await curio.timeout_after(
            limits.receive_timeout_s, _receive_body(connection, client, limits, share)
        )
    except curio.TaskTimeout as error:
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
    share: BodyShare,
) -> bytes:
    """Read the body of a request, rejecting one above the size limit."""
    if connection.they_are_waiting_for_100_continue:
        interim = h11.InformationalResponse(status_code=100, headers=[])
        await client.sendall(connection.send(interim))
    body = bytearray()
    task_yield = TaskYield(YIELD_AFTER_EVENTS)
    while True:
        await task_yield.step()
        event = await next_event(connection, client)
        if isinstance(event, h11.EndOfMessage):
            return bytes(body)
        if not isinstance(event, h11.Data):
            raise RequestRejectedError(HTTPStatus.BAD_REQUEST, "request was cut off")
        body += event.data
        if len(body) > limits.max_body_bytes:
            raise RequestRejectedError(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                f"the body exceeds {limits.max_body_bytes} bytes",
            )
        if not share.take(len(event.data)):
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
        connection.receive_data(await socket.recv(READ_BYTES))
