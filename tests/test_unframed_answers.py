"""Answers without a length or chunks, which end with their connection.

Guards against a stream that broke off inside an event and is relayed as complete.
"""

import contextlib
import socket
import threading

import pytest

from platforms import (
    ENGINES,
    ORDERS,
    WORKER_PORT,
    ZONE,
    PlatformFleet,
    next_host,
    run_fleet,
)
from tamaracktray.http_messages import Reply
from tamaracktray.types import Address
from tamaracktray_emulator.platform.documents import build_worker
from tamaracktray_emulator.platform.worker import EVENTS, REQUEST_ID, SIGNATURE

EVENT = b"id: %d\ndata: token %d\n\n"
HALF_EVENT = b"id: 3\ndata: tok"


def build_events(first: int, last: int) -> bytes:
    return b"".join(EVENT % (number, number) for number in range(first, last + 1))


class UnframedServer:
    """Answers each request with the same bytes and closes the connection."""

    def __init__(self, body: bytes) -> None:
        self.address = Address(next_host(), WORKER_PORT)
        self._body = body
        self._listener = socket.create_server((self.address.host, self.address.port))
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            with client:
                self._answer(client)

    def _answer(self, client: socket.socket) -> None:
        head = b""
        while b"\r\n\r\n" not in head:
            head += client.recv(65_536)
        name = REQUEST_ID.encode() + b": "
        request_id = head.lower().partition(name)[2].partition(b"\r\n")[0]
        fields = [
            b"HTTP/1.1 200 OK",
            name + request_id,
            SIGNATURE.encode() + b": sig.unframed",
            b"content-type: text/event-stream",
            b"connection: close",
        ]
        client.sendall(b"\r\n".join(fields) + b"\r\n\r\n" + self._body)

    def describe(self, service: str) -> dict:
        return build_worker(
            service,
            self.address,
            ZONE,
            models=[{"name": "kiln-1", "version": 1, "adapters": []}],
            layers=[{"from": 0, "to": 16, "version": 1}],
        )


class TestUnframedAnswers:
    def run_call(self, body: bytes, check, *, service: str, is_resumable: bool) -> None:
        """Call an unframed server, and list an engine that can resume its stream."""

        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            server = UnframedServer(body)
            fleet.store.write("servers", "unframed", server.describe(service))
            await fleet.until_listed(1)
            if is_resumable:
                await fleet.add_engine("other", zone="zone-b")
                await fleet.until_listed(2)
            path = "/talk/1" if service == ENGINES else "/look/1"
            reply: Reply | None = None
            with contextlib.suppress(AssertionError):
                reply = await fleet.call(path)
            server.close()
            check(reply)

        run_fleet(scenario)

    @pytest.mark.parametrize("rest", [b"", b"\n"])
    def test_complete_stream_is_relayed_whole(self, rest):
        events = build_events(1, EVENTS) + rest

        def check(reply: Reply | None) -> None:
            assert reply is not None and (reply.status, reply.body) == (200, events)

        self.run_call(events, check, service=ENGINES, is_resumable=False)

    def test_complete_body_is_relayed_whole(self):
        def check(reply: Reply | None) -> None:
            assert reply is not None
            assert (reply.status, reply.body) == (200, b"a receipt")

        self.run_call(b"a receipt", check, service=ORDERS, is_resumable=False)

    @pytest.mark.parametrize("rest", [HALF_EVENT, EVENT.rstrip(b"\n") % (3, 3)])
    def test_stream_that_ends_inside_an_event_is_not_completed(self, rest):
        def check(reply: Reply | None) -> None:
            assert reply is None or reply.status == 502

        for body in (rest, build_events(1, 2) + rest):
            self.run_call(body, check, service=ENGINES, is_resumable=False)

    def test_stream_that_ends_inside_an_event_is_resumed_elsewhere(self):
        def check(reply: Reply | None) -> None:
            assert reply is not None
            assert (reply.status, reply.body) == (200, build_events(1, EVENTS))

        body = build_events(1, 2) + HALF_EVENT
        self.run_call(body, check, service=ENGINES, is_resumable=True)
