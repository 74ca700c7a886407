"""Outgoing TCP connections, and how connections end."""

import array
import contextlib
import fcntl
import socket as socket_module
import struct
import termios

import curio

from tamaracktray.types import Address

# A peer lost without a reset is detected after the idle time and all probes.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2

MS_PER_S = 1_000.0

CONNECTION_OPTIONS = (
    (socket_module.IPPROTO_TCP, socket_module.TCP_NODELAY, 1),
    (socket_module.SOL_SOCKET, socket_module.SO_KEEPALIVE, 1),
    (socket_module.IPPROTO_TCP, socket_module.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket_module.IPPROTO_TCP, socket_module.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket_module.IPPROTO_TCP, socket_module.TCP_KEEPCNT, KEEPALIVE_PROBES),
)

# SO_LINGER value (on, 0 seconds) that makes close() discard unsent bytes and reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
CLOSE_IN_ORDER = struct.pack("ii", 0, 0)


async def connect(address: Address) -> curio.io.Socket:
    """Open a connection with TCP keepalive.

    The loss of the connection is detected within seconds, even while it is idle.
    """
    socket = curio.socket.socket(socket_module.AF_INET, socket_module.SOCK_STREAM)
    try:
        for level, option, value in CONNECTION_OPTIONS:
            socket.setsockopt(level, option, value)
        await socket.connect((address.host, address.port))
    except BaseException:
        await socket.close()
        raise
    return socket


def send_nonblocking(socket: curio.io.Socket, data: bytes | memoryview) -> int:
    """Send as much as the socket accepts without blocking; return the byte count.

    This is nearly always all of ``data``, which saves setting a timeout.
    """
    if not data:
        return 0
    try:
        return socket._socket.send(data)
    except BlockingIOError:
        return 0


def count_unacknowledged(socket: curio.io.Socket) -> int:
    """Return the bytes sent on a connection that its peer has not acknowledged."""
    unacknowledged = array.array("i", [0])
    fcntl.ioctl(socket.fileno(), termios.TIOCOUTQ, unacknowledged)
    return unacknowledged[0]


def limit_silence(socket: curio.io.Socket, timeout_s: float) -> None:
    """Fail a connection on which sent bytes are not acknowledged for a time."""
    socket.setsockopt(
        socket_module.IPPROTO_TCP,
        socket_module.TCP_USER_TIMEOUT,
        round(timeout_s * MS_PER_S),
    )


async def refuses_connections(address: Address, timeout_s: float) -> bool:
    """Return whether nothing listens at an address; no answer at all proves nothing."""
    try:
        socket = await curio.timeout_after(timeout_s, connect(address))
    except ConnectionRefusedError:
        return True
    except (OSError, curio.TaskTimeout):
        return False
    await socket.close()
    return False


def reset_on_close(socket: curio.io.Socket) -> None:
    """Make ``close`` reset the connection.

    An ordinary close keeps retransmitting over a broken link, so the server could start
    a request long after it was abandoned. The peer can't take a reset for the end of
    an answer without framing, even if it is the end of this process that closes.
    """
    _set_linger(socket, RESET_ON_CLOSE)


def close_in_order(socket: curio.io.Socket) -> None:
    """Make ``close`` deliver what was sent, which is the default."""
    _set_linger(socket, CLOSE_IN_ORDER)


def _set_linger(socket: curio.io.Socket, value: bytes) -> None:
    with contextlib.suppress(OSError):
        socket.setsockopt(socket_module.SOL_SOCKET, socket_module.SO_LINGER, value)


def peek(socket: curio.io.Socket) -> bytes | None:
    """Return the next unread byte without consuming it, ``None`` if there is none.

    The result is empty if the peer has closed or the connection is lost.
    """
    try:
        return socket._socket.recv(1, socket_module.MSG_PEEK)
    except BlockingIOError:
        return None
    except OSError:
        return b""
