"""HTTP server and client over real sockets.

Guards against bad input or slow readers that occupy the server, truncated bodies taken
as complete, and abandoned requests that still reach a server later.
"""

import socket
import subprocess
import sys
import time

import curio
import msgspec
import pytest
from returns.result import Success

from tamaracktray.exchange import fetch, open_exchange
from tamaracktray.http import YIELD_AFTER, HttpServer
from tamaracktray.http_messages import HttpLimits
from tamaracktray.messages import decode_refusal
from tamaracktray.types import Address, RunState

LIMITS = HttpLimits(
    max_header_bytes=2_048,
    max_body_bytes=4_096,
    idle_timeout_s=0.3,
    receive_timeout_s=0.3,
)


def serve(handler, client):
    """Run a client against a server with small limits."""

    async def main():
        server = HttpServer(Address("127.0.0.1", 0), handler, LIMITS)
        await server.open()
        task = await curio.spawn(server.serve, daemon=True)
        try:
            return await curio.timeout_after(10.0, client(server))
        finally:
            await task.cancel()

    return curio.run(main)


async def echo(request, responder):
    await responder.respond(200, [("x-path", request.path)], request.body)


async def send_raw(address, data, *, end=False):
    socket = await curio.open_connection(address.host, address.port)
    async with socket:
        await socket.sendall(data)
        if end:
            await socket.shutdown(1)
        received = b""
        while piece := await socket.recv(4_096):
            received += piece
        return received


class TestBadInput:
    @pytest.mark.parametrize(
        ("data", "end", "status"),
        [
            (b"nonsense\r\n\r\n", False, b"400"),
            (b"GET //[ HTTP/1.1\r\nhost: a\r\n\r\n", False, b"400"),
            (b"GET / HTTP/1.1\r\nhost: a\r\nx: " + b"y" * 9_000, False, b"431"),
            (
                b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9000\r\n\r\n"
                + b"z" * 9_000,
                False,
                b"413",
            ),
            (
                b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nabc",
                False,
                b"408",
            ),
            (
                b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nabc",
                True,
                b"400",
            ),
            (b"POST / HTTP/1.1\r\nhos", False, b"408"),
            (b"", False, b""),
        ],
    )
    def test_bad_request_gets_a_status_and_is_not_active(self, data, end, status):
        async def client(server):
            received = await send_raw(server.address, data, end=end)
            return received, server.active_requests

        received, active = serve(echo, client)
        assert received[9:12] == status
        assert active == 0
        if status:
            assert b'"run":"not_run"' in received
        codes = {b"413": b"too_large", b"431": b"too_large", b"408": b"timed_out"}
        assert codes.get(status, b"") in received


class TestServer:
    def test_requests_on_one_connection(self):
        async def client(server):
            request = b"GET /%d HTTP/1.1\r\nhost: a\r\n\r\n"
            return await send_raw(server.address, request % 1 + request % 2)

        assert serve(echo, client).count(b"200 ") == 2

    def test_answer_to_a_head_request_has_the_length_of_its_body_and_no_body(self):
        async def refuse(request, responder):
            await responder.respond(404, [("x-path", request.path)], b"no route")

        async def client(server):
            requests = b"HEAD /%d HTTP/1.1\r\nhost: a\r\n\r\n"
            return await send_raw(server.address, requests % 1 + requests % 2)

        answers = serve(refuse, client)
        assert answers.count(b"HTTP/1.1 404") == 2
        assert answers.count(b"content-length: 8\r\n") == 2
        assert b"no route" not in answers

    def test_raised_idle_limit_applies_to_idle_connections(self):
        """A caller reuses a connection within the limit that is in force now."""

        async def client(address: Address, server: HttpServer) -> bytes:
            connection = await curio.open_connection(address.host, address.port)
            async with connection:
                await curio.sleep(LIMITS.idle_timeout_s / 2)
                server.limits = msgspec.structs.replace(LIMITS, idle_timeout_s=1.0)
                await curio.sleep(LIMITS.idle_timeout_s)
                request = b"GET /x HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n"
                await connection.sendall(request)
                return await connection.recv(4_096)

        answer = serve(echo, lambda server: client(server.address, server))
        assert answer.startswith(b"HTTP/1.1 200")

    def test_lowered_limits_cut_neither_a_body_in_pieces_nor_an_idle_wait(self):
        """A caller keeps to the limits that were in force when it began."""
        lowered = HttpLimits(
            max_header_bytes=256,
            max_body_bytes=100,
            idle_timeout_s=0.05,
            receive_timeout_s=0.05,
        )
        raised = msgspec.structs.replace(LIMITS, receive_timeout_s=1.0)
        head = b"POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: 3000\r\n\r\n"

        async def client(server: HttpServer) -> bytes:
            server.limits = raised
            address = server.address
            connection = await curio.open_connection(address.host, address.port)
            async with connection:
                await connection.sendall(head + b"y" * 1_000)
                await curio.sleep(0.05)
                server.limits = lowered
                for _ in range(2):
                    await curio.sleep(0.1)
                    await connection.sendall(b"y" * 1_000)
                received = await connection.recv(4_096)
                server.limits = raised
                await curio.sleep(0.15)
                server.limits = lowered
                await curio.sleep(0.1)
                request = b"GET /x HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n"
                await connection.sendall(request)
                while piece := await connection.recv(65_536):
                    received += piece
                return received

        assert serve(echo, client).count(b"HTTP/1.1 200") == 2

    @pytest.mark.parametrize("is_header_large", [True, False])
    def test_raised_size_limits_apply_to_open_connections(self, is_header_large):
        """A caller sends the sizes that the limits in force allow."""
        raised = msgspec.structs.replace(
            LIMITS, max_header_bytes=32_768, max_body_bytes=65_536
        )
        filler = b"x" * 20_000 if is_header_large else b""
        body = b"" if is_header_large else b"y" * 20_000
        small = b"GET /small HTTP/1.1\r\nhost: h\r\n\r\n"
        large = b"POST /large HTTP/1.1\r\nhost: h\r\nx: %b\r\n" % filler
        large += b"content-length: %d\r\nconnection: close\r\n\r\n" % len(body) + body

        async def client(server: HttpServer) -> bytes:
            address = server.address
            connection = await curio.open_connection(address.host, address.port)
            async with connection:
                await connection.sendall(small)
                received = await connection.recv(4_096)
                server.limits = raised
                await connection.sendall(large[:15_000])
                await curio.sleep(0.05)
                await connection.sendall(large[15_000:])
                while piece := await connection.recv(65_536):
                    received += piece
                return received

        answers = serve(echo, client)
        assert answers.count(b"HTTP/1.1 200") == 2

    def test_handler_exception_closes_only_its_connection(self, handler_faults):
        async def handler(request, responder):
            if request.path == "/bad":
                raise ValueError("fault")
            await echo(request, responder)

        async def client(server):
            bad = await fetch(server.address, "GET", "/bad")
            good = await fetch(server.address, "GET", "/good")
            return bad, good

        bad, good = serve(handler, client)
        answer = bad.unwrap()
        assert (answer.status, answer.headers["connection"]) == (500, "close")
        assert decode_refusal(answer).unwrap().run is RunState.UNKNOWN
        assert good.unwrap().status == 200
        assert handler_faults == ["/bad: ValueError('fault')"]
        handler_faults.clear()


# How long a test keeps the kernel from running tasks, in seconds.
BLOCKED_S = 0.1


class TestClose:
    def test_connection_that_arrives_during_close_starts_no_task(self):
        """curio's kernel fails if a task starts while it shuts down."""
        clients: list[socket.socket] = []

        def connect_many(server: HttpServer) -> None:
            address = (server.address.host, server.address.port)
            clients.extend(
                socket.create_connection(address) for _ in range(YIELD_AFTER + 3)
            )

        async def main():
            server = HttpServer(Address("127.0.0.1", 0), echo)
            await server.open()
            task = await curio.spawn(server.serve, daemon=True)
            blocker = await curio.spawn(_block_kernel, lambda: connect_many(server))
            # The server accepts some connections and yields in the cycle in which
            # this task wakes up.
            await curio.sleep(BLOCKED_S / 2)
            await task.cancel(blocking=False)
            await server.close()
            await blocker.join()

        curio.run(main)
        assert all(_is_closed(client) for client in clients)

    def test_closed_server_serves_again_once_it_is_opened(self):
        async def main():
            server = HttpServer(Address("127.0.0.1", 0), echo)
            for _ in range(2):
                await server.open()
                task = await curio.spawn(server.serve, daemon=True)
                reply = await fetch(server.address, "GET", "/again")
                assert reply.unwrap().status == 200
                await task.cancel()
                await server.close()

        curio.run(main)


async def _block_kernel(function) -> None:
    function()
    time.sleep(BLOCKED_S)


def _is_closed(client: socket.socket) -> bool:
    with client:
        client.settimeout(1.0)
        try:
            return client.recv(1) == b""
        except ConnectionResetError:
            return True


ENDLESS_SERVER = """
import curio
from tamaracktray.http import YIELD_AFTER, HttpServer
from tamaracktray.types import Address

async def begin(request, responder):
    await responder.send_head(200, [])
    await responder.send_data(b"half of ")
    await curio.sleep(60.0)

async def main():
    server = HttpServer(Address("127.0.0.1", 0), begin)
    await server.open()
    print(server.address.port, flush=True)
    await server.serve()

curio.run(main)
"""


class TestAnswersWithoutFraming:
    """Answers to HTTP/1.0, whose length no client knows in advance."""

    REQUEST = b"GET / HTTP/1.0\r\nhost: a\r\n\r\n"

    def test_complete_answer_ends_in_order(self):
        async def respond(request, responder):
            await responder.send_head(200, [])
            await responder.send_data(b"half of ")
            await responder.finish()

        async def client(server):
            return await send_raw(server.address, self.REQUEST)

        assert serve(respond, client).endswith(b"\r\n\r\nhalf of ")

    @pytest.mark.parametrize("way", ["abort", "raise", "return", "stop"])
    def test_interrupted_answer_is_reset(self, way, handler_faults):
        async def interrupt(request, responder):
            await responder.send_head(200, [])
            await responder.send_data(b"half of ")
            if way == "abort":
                await responder.abort()
            elif way == "raise":
                raise ValueError("the handler failed")
            elif way == "stop":
                await curio.sleep(60.0)

        async def client(server):
            reader = await curio.spawn(send_raw, server.address, self.REQUEST)
            await curio.sleep(0.1)
            if way == "stop":
                await server.close_connections()
            with pytest.raises(curio.TaskError) as error:
                await reader.join()
            return error.value.__cause__

        assert isinstance(serve(interrupt, client), ConnectionResetError)
        handler_faults.clear()

    def test_answer_of_a_killed_process_is_reset(self):
        arguments = [sys.executable, "-c", ENDLESS_SERVER]
        with subprocess.Popen(arguments, stdout=subprocess.PIPE) as process:
            port = int(process.stdout.readline())
            with socket.create_connection(("127.0.0.1", port)) as client:
                client.sendall(self.REQUEST)
                received = b""
                while not received.endswith(b"half of "):
                    received += client.recv(4_096)
                process.kill()
                with pytest.raises(ConnectionResetError):
                    client.recv(4_096)


class TestSlowReader:
    """A client reads slower than the server's socket accepts data."""

    PIECE = b"x" * 4_000_000

    def serve_stream(self, client, limits: HttpLimits = LIMITS) -> list[str]:
        """Run a client against a streaming server; return how each answer ended."""
        outcomes: list[str] = []

        async def handler(request, responder):
            try:
                await responder.send_head(200, [])
                await responder.send_data(b"first")
                await responder.send_data(self.PIECE)
                await responder.send_data(b"last")
                await responder.finish()
            except ConnectionError as error:
                outcomes.append(str(error))
                raise
            outcomes.append("whole")

        async def main():
            server = HttpServer(Address("127.0.0.1", 0), handler, limits)
            await server.open()
            task = await curio.spawn(server.serve, daemon=True)
            try:
                await curio.timeout_after(10.0, client(server))
            finally:
                await task.cancel()

        curio.run(main)
        return outcomes

    def test_all_bytes_arrive_in_order(self):
        bodies: list[bytes] = []

        async def client(server):
            opened = await open_exchange(server.address, "GET", "/", [])
            exchange = opened.unwrap()
            await exchange.read_head(1.0)
            await curio.sleep(0.1)
            read = await exchange.read_body(5.0, 10_000_000)
            bodies.append(read.unwrap())
            await exchange.close()

        assert self.serve_stream(client) == ["whole"]
        assert bodies == [b"first" + self.PIECE + b"last"]

    def test_answer_is_whole_if_its_client_reads_slowly_all_the_time(self):
        sizes: list[int] = []

        async def client(server):
            connection = await curio.open_connection(
                server.address.host, server.address.port
            )
            async with connection:
                await connection.sendall(b"GET / HTTP/1.0\r\nhost: a\r\n\r\n")
                while piece := await connection.recv(65_536):
                    sizes.append(len(piece))
                    await curio.sleep(0.02)

        assert self.serve_stream(client, HttpLimits(send_timeout_s=0.2)) == ["whole"]
        assert sum(sizes) > len(self.PIECE)

    def test_answer_is_aborted_after_the_timeout(self):
        async def client(server):
            opened = await open_exchange(server.address, "GET", "/", [])
            await curio.sleep(0.6)
            await opened.unwrap().close()

        limits = HttpLimits(send_timeout_s=0.2)
        outcomes = self.serve_stream(client, limits)
        assert outcomes == ["client does not read the answer"]

    def test_timeout_is_set_only_for_blocking_writes(self, monkeypatch):
        waits: list[float] = []
        timeout_after = curio.timeout_after

        def count(seconds, *args):
            if seconds == limits.send_timeout_s:
                waits.append(seconds)
            return timeout_after(seconds, *args)

        async def client(server):
            reply = await fetch(server.address, "GET", "/", max_bytes=10_000_000)
            assert len(reply.unwrap().body) == len(self.PIECE) + 9

        limits = HttpLimits(send_timeout_s=7.125)
        monkeypatch.setattr(curio, "timeout_after", count)
        assert self.serve_stream(client, limits) == ["whole"]
        assert len(waits) <= 1


class TestClient:
    def test_refused_connection_is_not_sent(self):
        async def main():
            return await fetch(Address("127.0.0.1", 1), "GET", "/")

        assert not curio.run(main).failure().sent

    @pytest.mark.parametrize("is_cut", [True, False])
    def test_truncated_body_differs_from_a_complete_one(self, is_cut):
        async def handler(request, responder):
            await responder.send_head(200, [])
            await responder.send_data(b"abc")
            if is_cut:
                await responder.abort()
                return
            await responder.finish()

        async def client(server):
            return await fetch(server.address, "GET", "/")

        assert isinstance(serve(handler, client), Success) is not is_cut

    def test_timeout_covers_a_slow_answer_as_a_whole(self):
        async def handler(request, responder):
            await responder.send_head(200, [])
            for _ in range(100):
                await responder.send_data(b"a")
                await curio.sleep(0.05)

        async def client(server):
            return await fetch(server.address, "GET", "/", timeout_s=0.3)

        assert serve(handler, client).failure().sent

    def test_answer_with_a_length_is_framed(self):
        async def client(server):
            opened = await open_exchange(server.address, "GET", "/", [])
            exchange = opened.unwrap()
            await exchange.read_head(1.0)
            await exchange.close()
            return exchange.is_framed

        assert serve(echo, client)


class TestGivingUp:
    """An abandoned request resets its connection, so it is not retransmitted."""

    def observe_connection_end(self, abandon) -> str:
        """Return how a server that never answers sees the connection end."""

        async def main() -> str:
            listener = curio.network.tcp_server_socket("127.0.0.1", 0)
            address = Address("127.0.0.1", listener.getsockname()[1])
            outcomes: list[str] = []

            async def serve_once() -> None:
                client, _ = await listener.accept()
                await client.recv(4_096)
                try:
                    outcomes.append("closed" if not await client.recv(1) else "data")
                except ConnectionResetError:
                    outcomes.append("reset")
                await client.close()

            server = await curio.spawn(serve_once)
            await abandon(address)
            await server.join()
            await listener.close()
            return outcomes[0]

        return curio.run(main)

    def test_closing_an_unanswered_exchange_resets(self):
        async def close(address: Address) -> None:
            opened = await open_exchange(address, "POST", "/", [], b"data")
            await opened.unwrap().close()

        assert self.observe_connection_end(close) == "reset"

    def test_cancelled_fetch_resets(self):
        async def cancel(address: Address) -> None:
            task = await curio.spawn(fetch, address, "POST", "/", None, b"data")
            await curio.sleep(0.05)
            await task.cancel()

        assert self.observe_connection_end(cancel) == "reset"

    def test_abandoned_exchange_resets(self):
        async def abandon(address: Address) -> None:
            opened = await open_exchange(address, "POST", "/", [], b"data")
            exchange = opened.unwrap()
            reader = await curio.spawn(exchange.read_head, 5.0)
            await curio.sleep(0.05)
            await exchange.abandon()
            await reader.join()
            await exchange.close()

        assert self.observe_connection_end(abandon) == "reset"
