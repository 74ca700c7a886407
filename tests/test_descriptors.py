"""Servers that run out of file descriptors.

Guards against a process that ends, and closes all its connections without an answer,
because it could not accept one more.
"""

import contextlib
import errno
import http.client
import resource
import subprocess
import sys

import curio
import pytest

from tamaracktray.connections import connect
from tamaracktray.descriptors import (
    MIN_CALLER_CONNECTIONS,
    count_caller_connections,
    read_descriptor_limit,
)
from tamaracktray.exchange import fetch
from tamaracktray.http import HttpServer
from tamaracktray.types import Address

DESCRIPTORS = 40

LIMITED_SERVER = """
import resource, sys
import curio
from tamaracktray.http import HttpServer
from tamaracktray.types import Address

async def answer(request, responder):
    await curio.sleep(1.0)
    await responder.respond(200, [], b"whole")

async def main():
    server = HttpServer(Address("127.0.0.1", 0), answer)
    await server.open()
    limit = int(sys.argv[1])
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))
    print(server.address.port, flush=True)
    await server.serve()

curio.run(main)
"""


@pytest.fixture
def port():
    process = subprocess.Popen(
        [sys.executable, "-c", LIMITED_SERVER, str(DESCRIPTORS)],
        stdout=subprocess.PIPE,
        text=True,
    )
    yield int(process.stdout.readline())
    process.kill()
    process.wait()


def send(port: int) -> http.client.HTTPConnection:
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10.0)
    connection.request("GET", "/")
    return connection


def read(connection: http.client.HTTPConnection) -> bytes:
    with contextlib.closing(connection):
        return connection.getresponse().read()


class TestServerWithoutDescriptors:
    def test_all_requests_are_answered(self, port):
        connections = [send(port) for _ in range(2 * DESCRIPTORS)]
        answers = [read(connection) for connection in connections]
        assert answers == [b"whole"] * len(connections)

    @pytest.mark.parametrize(
        "code",
        [
            errno.EMFILE,
            errno.ENFILE,
            errno.ENOBUFS,
            errno.ENOMEM,
            errno.ECONNABORTED,
            errno.EPERM,
            errno.EPROTO,
            errno.EHOSTUNREACH,
        ],
    )
    def test_server_serves_on_after_a_failed_accept(self, code, monkeypatch):
        async def answer(request, responder):
            await responder.respond(200, [])

        async def main():
            server = HttpServer(Address("127.0.0.1", 0), answer)
            await server.open()
            accept = server._listener.accept
            failures = [OSError(code, "no more") for _ in range(3)]

            async def accept_later():
                if failures:
                    raise failures.pop()
                return await accept()

            monkeypatch.setattr(server._listener, "accept", accept_later)
            task = await curio.spawn(server.serve, daemon=True)
            reply = await fetch(server.address, "GET", "/")
            assert reply.unwrap().status == 200
            await task.cancel()

        curio.run(main)

    def test_longest_idle_connection_makes_room_for_a_new_one(self):
        async def answer(request, responder):
            await responder.respond(200, [])

        async def main():
            server = HttpServer(Address("127.0.0.1", 0), answer, max_connections=2)
            await server.open()
            task = await curio.spawn(server.serve, daemon=True)
            kept = [await connect(server.address) for _ in range(2)]
            await curio.sleep(0.1)
            reply = await fetch(server.address, "GET", "/", timeout_s=2.0)
            assert reply.unwrap().status == 200
            assert await curio.timeout_after(1.0, kept[0].recv(1)) == b""
            await kept[1].sendall(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
            assert (await kept[1].recv(100)).startswith(b"HTTP/1.1 200")
            for client in kept:
                await client.close()
            await task.cancel()

        curio.run(main)

    def test_new_connections_wait_while_all_have_a_request(self):
        async def answer(request, responder):
            await curio.sleep(0.3)
            await responder.respond(200, [])

        async def main():
            server = HttpServer(Address("127.0.0.1", 0), answer, max_connections=2)
            await server.open()
            task = await curio.spawn(server.serve, daemon=True)
            calls = [
                await curio.spawn(fetch, server.address, "GET", "/") for _ in "abcd"
            ]
            replies = [(await call.join()).unwrap() for call in calls]
            assert [reply.status for reply in replies] == [200] * 4
            await task.cancel()

        curio.run(main)

    def test_closed_listener_ends_the_server(self):
        async def main():
            server = HttpServer(Address("127.0.0.1", 0), None)
            await server.open()
            server._listener._socket.close()
            with pytest.raises(OSError):
                await server.serve()

        curio.run(main)


class TestLimit:
    def test_soft_limit_counts(self, monkeypatch):
        monkeypatch.setattr(resource, "getrlimit", lambda _: (64, 512))
        assert read_descriptor_limit() == 64

    def test_no_limit_bounds_no_callers(self, monkeypatch):
        pair = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)
        monkeypatch.setattr(resource, "getrlimit", lambda _: pair)
        assert count_caller_connections(read_descriptor_limit()) > 1_000_000

    def test_unreadable_limit_bounds_no_callers(self, monkeypatch):
        def refuse(kind):
            raise OSError("refused")

        monkeypatch.setattr(resource, "getrlimit", refuse)
        assert count_caller_connections(read_descriptor_limit()) > 1_000_000

    def test_calls_of_all_callers_leave_descriptors(self):
        assert count_caller_connections(4_100) == 1_900
        assert count_caller_connections(64) == MIN_CALLER_CONNECTIONS
