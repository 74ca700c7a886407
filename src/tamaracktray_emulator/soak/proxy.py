"""A loopback proxy that harms the connections that pass through it."""

import socket as socket_module
import struct
from enum import Enum

import curio

from tamaracktray.types import Address

READ_BYTES = 65_536
BACKLOG = 256

# Pause in which a silenced connection looks whether it may go on, in seconds.
SILENCE_POLL_S = 0.05

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Harm(str, Enum):
    """What a proxy does to its connections.

    ``DEAF`` lets nothing through to the server and ``MUTE`` nothing back; ``SILENT``
    does both while connections stay open.
    """

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    DEAF = "deaf"
    MUTE = "mute"
    SILENT = "silent"


class HarmfulProxy:
    """Forwards connections from ``address`` to ``target``."""

    def __init__(self, address: Address, target: Address) -> None:
        self.address = address
        self.target = target
        self.harm = Harm.NONE
        self.delay_s = 0.0
        self._sockets: set[curio.io.Socket] = set()

    async def serve(self) -> None:
        """Accept connections until cancelled."""
        await curio.tcp_server(
            self.address.host, self.address.port, self._forward, backlog=BACKLOG
        )

    async def reset_all(self) -> None:
        """Reset every open connection."""
        for socket in list(self._sockets):
            await _reset(socket)

    async def _forward(self, client: curio.io.Socket, address: object) -> None:
        if self.harm is Harm.RESET:
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
                await group.spawn(self._pump, client, server, Harm.DEAF)
                await group.spawn(self._pump, server, client, Harm.MUTE)
        finally:
            self._sockets.difference_update((client, server))
            await server.close()

    async def _pump(
        self, source: curio.io.Socket, sink: curio.io.Socket, silence: Harm
    ) -> None:
        """Copy one direction until it ends, holding it back while it is harmed."""
        try:
            while data := await source.recv(READ_BYTES):
                if self.harm is Harm.DELAY:
                    await curio.sleep(self.delay_s)
                while self.harm in (silence, Harm.SILENT):
                    await curio.sleep(SILENCE_POLL_S)
                await sink.sendall(data)
            await sink.shutdown(socket_module.SHUT_WR)
        except OSError:
            await _reset(sink)


async def _reset(socket: curio.io.Socket) -> None:
    """Let the task that owns a socket reset it: no other may close it meanwhile."""
    try:
        socket.setsockopt(
            socket_module.SOL_SOCKET, socket_module.SO_LINGER, RESET_ON_CLOSE
        )
        await socket.shutdown(socket_module.SHUT_RDWR)
    except OSError:
        return
