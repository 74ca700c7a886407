"""Endpoints and callers that write and read HTTP byte by byte.

Endpoints can end an answer in any way, and callers tell a complete answer from one that
was broken off.
"""

import struct
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import Any

import curio
import h11
import msgspec
from curio import socket

from platforms import HOST, KEY, WORKER_PORT, ZONE, PlatformFleet, next_host
from tamaracktray.types import Address
from tamaracktray_emulator.platform.documents import build_worker
from tamaracktray_emulator.platform.worker import EVENTS, REQUEST_ID, SIGNATURE

EVENT = b"id: %d\ndata: token %d\n\n"
HALF_EVENT = b"id: 3\ndata: tok"
EVENT_STREAM = "text/event-stream"
READ_BYTES = 65_536
HANG_S = 60.0

# A caller that waits this long in seconds has got no end of its answer.
CALLER_TIMEOUT_S = 10.0


def build_events(first: int, last: int = EVENTS) -> bytes:
    return b"".join(EVENT % (number, number) for number in range(first, last + 1))


class Framing(str, Enum):
    """How an endpoint marks the end of its answer."""

    LENGTH = "length"
    CHUNKS = "chunks"
    NEITHER = "neither"


class RawAnswer:
    """An answer that an endpoint writes to a connection."""

    def __init__(
        self,
        endpoint: "RawEndpoint",
        client: Any,
        request_id: str,
        last_event_id: int,
        unread_bytes: int = 0,
    ) -> None:
        self.endpoint = endpoint
        self.last_event_id = last_event_id
        self._unread_bytes = unread_bytes
        self._client = client
        self._request_id = request_id
        self._framing = Framing.NEITHER

    async def read_body(self) -> bool:
        """Read the rest of the request; return whether it arrived as a whole."""
        while self._unread_bytes > 0:
            data = await self._client.recv(READ_BYTES)
            if not data:
                return False
            self._unread_bytes -= len(data)
        return True

    async def begin(
        self,
        framing: Framing,
        length: int = 0,
        *,
        status: int = 200,
        content_type: str = EVENT_STREAM,
        is_signed: bool = True,
    ) -> None:
        """Send the head; ``length`` is announced with ``Framing.LENGTH``."""
        self._framing = framing
        lines = [f"HTTP/1.1 {status} Status", f"{REQUEST_ID}: {self._request_id}"]
        if is_signed:
            lines.append(f"{SIGNATURE}: sig.raw")
        if content_type:
            lines.append(f"content-type: {content_type}")
        if framing is Framing.LENGTH:
            lines.append(f"content-length: {length}")
        if framing is Framing.CHUNKS:
            lines.append("transfer-encoding: chunked")
        lines.append("connection: close")
        await self.send_raw("\r\n".join([*lines, "", ""]).encode())

    async def send(self, data: bytes) -> None:
        if self._framing is Framing.CHUNKS:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        await self.send_raw(data)

    async def send_raw(self, data: bytes) -> None:
        await self._client.sendall(data)

    async def finish(self) -> None:
        """Mark the body as complete, as far as its framing can."""
        if self._framing is Framing.CHUNKS:
            await self.send_raw(b"0\r\n\r\n")

    async def respond(self, framing: Framing, body: bytes, **fields: Any) -> None:
        await self.begin(framing, len(body), **fields)
        if body:
            await self.send(body)
        await self.finish()

    def shut_down(self) -> None:
        """End the connection at once, without a switch of tasks."""
        self._client._socket.shutdown(socket.SHUT_RDWR)

    async def wait_closed(self) -> None:
        """Wait until the entry closes or resets the connection."""
        try:
            while await self._client.recv(READ_BYTES):
                continue
        except OSError:
            return

    async def reset(self) -> None:
        # What was sent before has to arrive first.
        await curio.sleep(0.05)
        linger = struct.pack("ii", 1, 0)
        self._client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


Play = Callable[[RawAnswer], Awaitable[None]]


class RawEndpoint:
    """Plays an answer to each request and then closes the connection."""

    def __init__(self, play: Play) -> None:
        self.address = Address(next_host(), WORKER_PORT)
        self.arrivals = 0
        self.play = play
        self._acceptor: Any = None

    async def open(self) -> None:
        listener = curio.network.tcp_server_socket(self.address.host, WORKER_PORT)
        self._acceptor = await curio.spawn(self._accept, listener, daemon=True)

    async def stop_listening(self) -> None:
        """Refuse connections, like the address of a process that has ended."""
        await self._acceptor.cancel()

    async def _accept(self, listener: Any) -> None:
        async with listener:
            while True:
                client, _ = await listener.accept()
                await curio.spawn(self._answer, client, daemon=True)

    async def _answer(self, client: Any) -> None:
        async with client:
            head = b""
            while b"\r\n\r\n" not in head:
                data = await client.recv(READ_BYTES)
                if not data:
                    return
                head += data
            self.arrivals += 1
            fields: dict[str, str] = {}
            head, _, body = head.partition(b"\r\n\r\n")
            for line in head.decode().split("\r\n")[1:]:
                name, _, value = line.partition(": ")
                fields[name.lower()] = value
            last_event_id = int(fields.get("last-event-id", "0"))
            answer = RawAnswer(
                self,
                client,
                fields.get(REQUEST_ID, ""),
                last_event_id,
                int(fields.get("content-length", "0")) - len(body),
            )
            try:
                await self.play(answer)
            except OSError:
                # The entry has given the attempt up.
                return

    def describe(self, service: str) -> dict[str, Any]:
        """Return the record that the endpoint writes to the store."""
        return build_worker(
            service,
            self.address,
            ZONE,
            models=[{"name": "kiln-1", "version": 1, "adapters": []}],
            layers=[{"from": 0, "to": 16, "version": 1}],
        )


async def list_endpoint(
    fleet: PlatformFleet, name: str, service: str, play: Play
) -> RawEndpoint:
    """Open an endpoint and write its record to the store."""
    endpoint = RawEndpoint(play)
    await endpoint.open()
    fleet.store.write("servers", name, endpoint.describe(service))
    return endpoint


class CallerProtocol(str, Enum):
    """What a caller speaks, and whether it keeps its connection."""

    HTTP_1_0 = "HTTP/1.0"
    HTTP_1_1_CLOSE = "HTTP/1.1, closed"
    HTTP_1_1_KEPT = "HTTP/1.1, kept"


class CallerAnswer(msgspec.Struct, frozen=True):
    """What a caller got; ``is_complete`` by all that its protocol shows."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool


class RawCaller:
    """Calls an entry over a connection of its own and reads answers by h11."""

    def __init__(self, fleet: PlatformFleet, protocol: CallerProtocol) -> None:
        self._address = Address.parse(fleet.entries[0].settings.listen.callers)
        self._protocol = protocol
        self._socket: Any = None
        self._connection = h11.Connection(h11.CLIENT)

    async def call(self, path: str, request_id: str, **fields: str) -> CallerAnswer:
        """Send a request and read its answer up to the end."""
        if self._socket is None:
            self._socket = await curio.open_connection(
                self._address.host, self._address.port
            )
        if self._connection.our_state is h11.DONE:
            self._connection.start_next_cycle()
        headers = [
            ("host", HOST),
            (REQUEST_ID, request_id),
            ("x-tamaracktray-deadline-ms", fields.pop("wait_ms", "4000")),
            ("x-tamaracktray-model", "kiln-1"),
            ("x-tamaracktray-token-usage", "100,20"),
            ("authorization", f"Token {KEY}"),
            *fields.items(),
        ]
        if self._protocol is CallerProtocol.HTTP_1_1_CLOSE:
            headers.append(("connection", "close"))
        request = h11.Request(method="GET", target=path, headers=headers)
        payload = self._connection.send(request)
        payload += self._connection.send(h11.EndOfMessage())
        if self._protocol is CallerProtocol.HTTP_1_0:
            payload = payload.replace(b" HTTP/1.1\r\n", b" HTTP/1.0\r\n", 1)
        await self._socket.sendall(payload)
        return await curio.timeout_after(CALLER_TIMEOUT_S, self._read_answer())

    async def _read_answer(self) -> CallerAnswer:
        status, headers, body = 0, {}, b""
        is_complete = False
        try:
            while True:
                event = self._connection.next_event()
                if event is h11.NEED_DATA:
                    data = await self._socket.recv(READ_BYTES)
                    self._connection.receive_data(data)
                    continue
                if isinstance(event, h11.Response):
                    status = event.status_code
                    headers = {
                        name.decode(): value.decode() for name, value in event.headers
                    }
                elif isinstance(event, h11.Data):
                    body += bytes(event.data)
                else:
                    is_complete = isinstance(event, h11.EndOfMessage)
                    break
        except (OSError, h11.RemoteProtocolError):
            is_complete = False
        return CallerAnswer(status, headers, body, is_complete)

    async def close(self) -> None:
        if self._socket is not None:
            await self._socket.close()
