"""Closing the connection of a caller that may still be sending.

Guards against an answer that the caller loses to a connection reset, because the
server closed with bytes of the caller unread.
"""

import errno
import time

import curio
import pytest

from tamaracktray.http import HttpServer
from tamaracktray.http_messages import HttpLimits
from tamaracktray.lingering import LINGER_S, MAX_LINGER_BYTES
from tamaracktray.types import Address

LIMITS = HttpLimits(
    max_header_bytes=2_048,
    max_body_bytes=4_096,
    idle_timeout_s=5.0,
    receive_timeout_s=0.2,
)
HEAD = b"POST / HTTP/1.1\r\nhost: a\r\n"
LONG_BODY = b"content-length: 3000000\r\n\r\n"
SHORT_BODY = b"content-length: 3000\r\n\r\n"
UNREAD = b"x" * 2_000_000

# Longer than the server takes to answer and close.
CLOSED_S = 0.1


async def answer_and_close(request, responder):
    await responder.respond(200, [("connection", "close")], b"whole answer")


def serve(client, **options):
    """Run a client against a server that closes after each answer."""

    async def main():
        server = HttpServer(
            Address("127.0.0.1", 0), answer_and_close, LIMITS, **options
        )
        await server.open()
        task = await curio.spawn(server.serve, daemon=True)
        try:
            return await curio.timeout_after(10.0, client(server))
        finally:
            await task.cancel()
            await server.close()

    return curio.run(main)


async def open_connection(server):
    return await curio.open_connection(server.address.host, server.address.port)


async def read_all(connection):
    """Return what the server sent, and fail if it reset the connection."""
    received = b""
    while piece := await connection.recv(4_096):
        received += piece
    return received


async def send_until_reset(connection, total):
    """Send up to a number of bytes; return how many the server took."""
    piece = b"x" * 65_536
    taken = 0
    while taken < total:
        try:
            await connection.sendall(piece)
        except OSError as error:
            assert error.errno in (errno.EPIPE, errno.ECONNRESET)
            break
        taken += len(piece)
    return taken


class TestUnreadBytes:
    @pytest.mark.parametrize(
        ("first", "late", "status"),
        [
            (HEAD + LONG_BODY + UNREAD, b"", b"413"),
            (HEAD + LONG_BODY + b"abc", b"defg", b"413"),
            (HEAD + SHORT_BODY + b"abc", b"defg", b"408"),
            (HEAD + b"no field\r\n\r\n" + UNREAD, b"", b"400"),
            (HEAD + b"x: " + UNREAD, b"", b"431"),
            (HEAD + b"\r\n", HEAD + b"\r\n", b"200"),
        ],
        ids=[
            "long body",
            "announced body",
            "late body",
            "bad head",
            "long head",
            "pipelined request",
        ],
    )
    def test_unread_bytes_destroy_no_answer(self, first, late, status):
        async def client(server):
            connection = await open_connection(server)
            async with connection:
                await connection.sendall(first)
                await curio.sleep(LIMITS.receive_timeout_s + CLOSED_S)
                for _ in range(3):
                    await connection.sendall(late)
                    await curio.sleep(CLOSED_S)
                return await read_all(connection)

        received = serve(client)
        assert received[9:12] == status
        _, _, body = received.partition(b"\r\n\r\n")
        assert body.startswith((b'{"error"', b"whole answer"))

    def test_caller_that_sends_a_whole_body_first_reads_its_refusal(self):
        async def client(server):
            connection = await open_connection(server)
            async with connection:
                await connection.sendall(HEAD + LONG_BODY)
                assert await send_until_reset(connection, 3_000_000) >= 3_000_000
                await curio.sleep(CLOSED_S)
                return await read_all(connection)

        assert serve(client)[9:12] == b"413"


class TestBounds:
    """A connection that lingers holds up nothing else."""

    @staticmethod
    async def leave_lingering(server):
        """Return a connection that the server has answered and half-closed."""
        connection = await open_connection(server)
        await connection.sendall(HEAD + b"\r\n")
        assert (await read_all(connection)).endswith(b"whole answer")
        return connection

    def test_lingering_connection_is_no_request_in_progress(self):
        async def client(server):
            connection = await self.leave_lingering(server)
            await curio.sleep(CLOSED_S)
            async with connection:
                return server.open_connections, server.busy_connections

        assert serve(client) == (1, 0)

    def test_closing_idle_connections_leaves_an_answer_on_its_way(self):
        async def client(server):
            connection = await self.leave_lingering(server)
            await server.close_idle_connections()
            await curio.sleep(CLOSED_S)
            async with connection:
                return server.open_connections

        assert serve(client) == 1

    @pytest.mark.parametrize("sends", [False, True])
    def test_caller_that_never_closes_is_closed_at_a_deadline(self, sends):
        async def client(server):
            connection = await self.leave_lingering(server)
            deadline = time.monotonic() + LINGER_S + 1.0
            async with connection:
                while server.open_connections and time.monotonic() < deadline:
                    await curio.sleep(0.05)
                    if sends and server.open_connections:
                        await connection.sendall(b"x")
                return server.open_connections

        assert serve(client) == 0

    def test_no_more_than_a_bounded_number_of_bytes_is_discarded(self):
        async def client(server):
            connection = await self.leave_lingering(server)
            async with connection:
                return await send_until_reset(connection, 4 * MAX_LINGER_BYTES)

        assert serve(client) < 2 * MAX_LINGER_BYTES

    def test_lingering_connection_is_closed_for_a_new_one(self):
        async def client(server):
            lingering = await self.leave_lingering(server)
            started_at = time.monotonic()
            other = await self.leave_lingering(server)
            async with lingering, other:
                return time.monotonic() - started_at

        assert serve(client, max_connections=1) < LINGER_S / 2

    def test_stopped_server_closes_lingering_connections(self):
        async def client(server):
            connection = await self.leave_lingering(server)
            async with connection:
                await server.close()
                await curio.sleep(CLOSED_S)
                return server.open_connections

        assert serve(client) == 0

    def test_connection_whose_caller_announced_no_more_is_closed_at_once(self):
        async def client(server):
            connection = await open_connection(server)
            async with connection:
                await connection.sendall(HEAD + b"connection: close\r\n\r\n")
                await read_all(connection)
                await curio.sleep(CLOSED_S)
                return server.open_connections

        assert serve(client) == 0
