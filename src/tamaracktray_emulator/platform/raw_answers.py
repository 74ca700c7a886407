"""Answers without framing, which end with their connection."""

from http import HTTPStatus

from tamaracktray.connections import close_in_order, reset_on_close
from tamaracktray.http_messages import Headers
from tamaracktray.responders import Responder


async def begin_unframed(responder: Responder, headers: Headers) -> None:
    """Send the head of an answer that has neither a length nor chunks.

    The body follows by ``send_unframed``. The connection is reset unless the answer
    ends by ``end_unframed``.
    """
    reset_on_close(responder._socket)
    lines = [f"HTTP/1.1 {HTTPStatus.OK.value} OK"]
    lines.extend(f"{name}: {value}" for name, value in headers)
    lines.append("connection: close")
    await send_unframed(responder, "\r\n".join([*lines, "", ""]).encode("latin-1"))


async def send_unframed(responder: Responder, data: bytes) -> None:
    """Send a part of the body."""
    # The server's interface frames every answer.
    await responder._socket.sendall(data)


async def end_unframed(responder: Responder) -> None:
    """Close the connection in order."""
    close_in_order(responder._socket)
    await responder.abort()
