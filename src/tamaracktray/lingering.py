"""Closes connections whose peer may still be sending.

A close with unread bytes resets the connection, and a reset may destroy an answer that
is on its way to the peer (RFC 9112, section 9.6).
"""

import socket as socket_module
import time

import curio

from tamaracktray.http_messages import READ_BYTES
from tamaracktray.task_yields import TaskYield

# How long in seconds, and for how many bytes, a peer is read after its answer.
LINGER_S = 2.0
MAX_LINGER_BYTES = 16 * 1_048_576

# Reads after which the task yields to others.
YIELD_AFTER_READS = 4


async def linger(socket: curio.io.Socket) -> None:
    """End the sending direction, then discard data until the peer closes.

    Returns after ``LINGER_S`` seconds or ``MAX_LINGER_BYTES`` at the latest. Raises
    ``OSError`` if the connection is lost. The caller closes the socket.
    """
    deadline = time.monotonic() + LINGER_S
    await socket.shutdown(socket_module.SHUT_WR)
    await curio.ignore_after(deadline - time.monotonic(), _discard(socket))


async def _discard(socket: curio.io.Socket) -> None:
    remaining_bytes = MAX_LINGER_BYTES
    task_yield = TaskYield(YIELD_AFTER_READS)
    while remaining_bytes > 0:
        await task_yield.step()
        data = await socket.recv(READ_BYTES)
        if not data:
            return
        remaining_bytes -= len(data)
