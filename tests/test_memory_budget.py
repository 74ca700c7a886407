"""Accounting of what clients make a server hold.

Guards against charges that are never given back, a budget in which long bodies leave
no room for short requests, and a connection that adds to its buffer with each request.
"""

import curio
import h11

from tamaracktray.exchange import fetch
from tamaracktray.http import HttpServer
from tamaracktray.http_messages import HttpLimits
from tamaracktray.memory_budget import (
    CONNECTION_BYTES,
    RESERVE_DIVISOR,
    SMALL_SHARE_BYTES,
    MemoryBudget,
)
from tamaracktray.pipelined_data import PipelinedData
from tamaracktray.types import Address

BUDGET_BYTES = 4_000_000
REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"


class TestBudget:
    def test_large_shares_leave_the_reserve_to_small_ones(self):
        budget = MemoryBudget(BUDGET_BYTES)
        with budget.open_share() as large, budget.open_share() as small:
            free_bytes = BUDGET_BYTES - BUDGET_BYTES // RESERVE_DIVISOR
            assert not large.resize(free_bytes + 1)
            assert large.resize(free_bytes)
            assert not large.resize(free_bytes + 1)
            assert small.resize(SMALL_SHARE_BYTES)
            assert not small.resize(SMALL_SHARE_BYTES + 1)

    def test_share_is_free_again_at_its_end(self):
        budget = MemoryBudget(BUDGET_BYTES)
        with budget.open_share() as share:
            share.force(2 * BUDGET_BYTES)
            assert not budget.has_room(1, 1)
            assert share.resize(share.held_bytes - 1)
        assert budget.has_room(BUDGET_BYTES, 1)


class TestPipelinedData:
    def test_bound_holds_over_all_requests_of_a_connection(self):
        budget = MemoryBudget(BUDGET_BYTES)
        connection = h11.Connection(h11.SERVER)
        limits = HttpLimits(max_pipelined_bytes=100)
        with budget.open_share() as share:
            first = PipelinedData(connection, share, limits)
            first.append(b"x" * 60)
            assert first.free_bytes == 40
            later = PipelinedData(connection, share, limits)
            assert later.free_bytes == 40
            assert share.held_bytes == CONNECTION_BYTES + 60

    def test_nothing_more_is_buffered_without_room(self):
        budget = MemoryBudget(CONNECTION_BYTES)
        with budget.open_share() as share:
            data = PipelinedData(h11.Connection(h11.SERVER), share, HttpLimits())
            data.append(b"x")
            assert data.free_bytes <= 0
            assert share.held_bytes == CONNECTION_BYTES + 1


class TestServer:
    def test_all_is_given_back_after_ended_and_lost_connections(self):
        async def answer(request, responder):
            await responder.respond(200, [], b"x" * 5_000_000)

        async def scenario() -> None:
            budget = MemoryBudget(BUDGET_BYTES)
            server = HttpServer(Address("127.0.0.1", 0), answer, budget=budget)
            await server.open()
            serving = await curio.spawn(server.serve, daemon=True)
            # Answers beyond the budget are served if they are read, or closed.
            for _ in range(3):
                await fetch(server.address, "POST", "/", None, b"y" * 100_000)
            unread = await curio.open_connection("127.0.0.1", server.address.port)
            await unread.sendall(REQUEST * 20)
            await curio.sleep(0.2)
            await unread.close()
            await curio.sleep(0.2)
            assert budget.has_room(BUDGET_BYTES, 1)
            await serving.cancel()

        curio.run(scenario)

    def test_buffered_answer_is_not_cut_while_small_requests_use_the_reserve(self):
        """Guards against a close for the head of an answer that is charged already."""
        budget = MemoryBudget(64_000_000)
        body = b"x" * 8_000_000

        async def answer(request, responder):
            assert responder.may_buffer(len(body))
            with budget.open_share() as others:
                # Less than the reserve is left for large shares.
                others.force(64_000_000 - len(body) - 7_000_000)
                await responder.respond(200, [], body)

        async def scenario() -> None:
            server = HttpServer(Address("127.0.0.1", 0), answer, budget=budget)
            await server.open()
            serving = await curio.spawn(server.serve, daemon=True)
            reply = await fetch(server.address, "GET", "/", max_bytes=2 * len(body))
            assert len(reply.unwrap().body) == len(body)
            await serving.cancel()

        curio.run(scenario)

    def test_idle_connections_stay_open_if_closing_them_makes_no_room(self):
        """Guards against callers that lose their connections to a crowd of others."""

        async def answer(request, responder):
            await responder.respond(200, [], b"")

        async def scenario() -> None:
            budget = MemoryBudget(BUDGET_BYTES)
            server = HttpServer(Address("127.0.0.1", 0), answer, budget=budget)
            await server.open()
            serving = await curio.spawn(server.serve, daemon=True)
            host, port = server.address.host, server.address.port
            idle = [await curio.open_connection(host, port) for _ in range(10)]
            for client in idle:
                await client.sendall(REQUEST)
                assert await client.recv(1_000)
            with budget.open_share() as others:
                others.force(2 * BUDGET_BYTES)
                idle.append(await curio.open_connection(host, port))
                await curio.sleep(0.3)
                assert server.open_connections == 10
            for client in idle:
                await client.close()
            await serving.cancel()

        curio.run(scenario)
