"""A loopback proxy that injects faults into its connections."""

import socket as socket_module
import struct
import time
from enum import Enum

import curio

from tamaracktray.types import Address

READ_BYTES = 65_536
BACKLOG = 256

# Interval at which a blocked direction checks whether to resume, in seconds.
BLOCK_POLL_S = 0.05

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ProxyFault(str, Enum):
    """Fault that a proxy injects into its connections.

    ``BLOCK_REQUESTS`` blocks data to the server, ``BLOCK_ANSWERS`` data to the client
    and ``BLOCK_BOTH`` both directions; connections stay open.
    """

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    BLOCK_REQUESTS = "deaf"
    BLOCK_ANSWERS = "mute"
    BLOCK_BOTH = "silent"


class FaultProxy:
    """Forwards connections from ``address`` to ``target``.

    ``forwarded_at_by_port`` holds when the target was last sent data of the client with
    a port, on the monotonic clock.
    """

    def __init__(self, address: Address, target: Address) -> None:
        self.address = address
        self.target = target
        self.fault = ProxyFault.NONE
        self.delay_s = 0.0
        self.forwarded_at_by_port: dict[int, float] = {}
        self._sockets: set[curio.io.Socket] = set()
        self._reset_sockets: set[curio.io.Socket] = set()

    async def serve(self) -> None:
        """Accept connections until cancelled."""
        await curio.tcp_server(
            self.address.host, self.address.port, self._forward, backlog=BACKLOG
        )

    async def reset_all(self) -> None:
        """Reset every open connection."""
        self._reset_sockets.update(self._sockets)
        for socket in list(self._sockets):
            await _reset(socket)

    async def _forward(self, client: curio.io.Socket, address: tuple[str, int]) -> None:
        if self.fault is ProxyFault.RESET:
            await _reset(client)
            return
        try:
            server = await curio.open_connection(self.target.host, self.target.port)
        except OSError:
            await _reset(client)
            return
        for socket in (client, server):
            socket.setsockopt(socket_module.IPPROTO_TCP, socket_module.TCP_NODELAY, 1)
        self._sockets.update((client, server))
        try:
            async with curio.TaskGroup(wait=any) as group:
                await group.spawn(
                    self._pump, client, server, ProxyFault.BLOCK_REQUESTS, address[1]
                )
                await group.spawn(self._pump, server, client, ProxyFault.BLOCK_ANSWERS)
        finally:
            self._sockets.difference_update((client, server))
            self._reset_sockets.difference_update((client, server))
            await server.close()

    async def _pump(
        self,
        source: curio.io.Socket,
        sink: curio.io.Socket,
        direction_block: ProxyFault,
        client_port: int = 0,
    ) -> None:
        """Copy one direction until it ends, delaying or blocking it during a fault."""
        try:
            while data := await source.recv(READ_BYTES):
                if self.fault is ProxyFault.DELAY:
                    await curio.sleep(self.delay_s)
                while self.fault in (direction_block, ProxyFault.BLOCK_BOTH):
                    await curio.sleep(BLOCK_POLL_S)
                await sink.sendall(data)
                if client_port:
                    self.forwarded_at_by_port[client_port] = time.monotonic()
            if source not in self._reset_sockets:
                await sink.shutdown(socket_module.SHUT_WR)
        except OSError:
            await _reset(sink)


async def _reset(socket: curio.io.Socket) -> None:
    """Shut down reading so that the socket's own task closes it with a reset.

    Only the task that owns the socket may close it. Shutting down writing would end an
    answer without framing in order.
    """
    try:
        socket.setsockopt(
            socket_module.SOL_SOCKET, socket_module.SO_LINGER, RESET_ON_CLOSE
        )
        await socket.shutdown(socket_module.SHUT_RD)
    except OSError:
        return
