"""Saturated links: chunks that all agents fetch, and requests that arrive late.

Guards against agents that all ask one entry at a time, uploads that fill the link, and
calls that reach an engine when its version is already too old.
"""

import time

import curio
import pytest
from returns.result import Success

from gateways import (
    MODEL,
    REGION_BY_ZONE,
    SERVICES,
    STREAM,
    ZONE,
    build_call,
    build_entry_state,
    engine,
)
from tamaracktray.announcements import WITHDRAWAL_MARGIN_S
from tamaracktray.byte_rates import UPLOAD_BURST_S, TokenBucket, build_upload_bucket
from tamaracktray.call_context import may_send
from tamaracktray.calls import CallArrived, SendCall
from tamaracktray.chunk_relay import ChunkRelay
from tamaracktray.chunk_sources import list_sources, order_chunks
from tamaracktray.http_messages import Request
from tamaracktray.node_events import CollectionListed
from tamaracktray.node_reducer import reduce_node
from tamaracktray.node_state import NodeState
from tamaracktray.objects import StoredObject
from tamaracktray.peers import Member
from tamaracktray.routes import RoutingTable
from tamaracktray.snapshots import Collection
from tamaracktray.types import Address

CHUNKS = 96
BOUND_S = 10.0

# An availability zone of the large fleet.
ENTRIES = 7
AGENTS = 16
IN_FLIGHT = 2
CHUNK_BYTES = 24_576


class TestChunkOrder:
    @pytest.mark.parametrize("entries", [0, 1, 2, ENTRIES])
    def test_every_chunk_is_fetched_once_and_near_its_position(self, entries):
        order = order_chunks(CHUNKS, entries, "agent-1")
        assert sorted(order) == list(range(CHUNKS))
        for position, index in enumerate(order):
            assert abs(position - index) < max(entries, 1)

    def test_agents_spread_their_requests_over_entries(self):
        """All agents fetch at one rate and prefer the same source for a chunk."""
        members = [
            Member(f"entry-{n}", ZONE, Address("10.0.0.1", 7_000 + n))
            for n in range(ENTRIES)
        ]
        orders = [
            order_chunks(CHUNKS, ENTRIES, f"agent-{number}") for number in range(AGENTS)
        ]

        def count_busiest(position: int) -> int:
            asked: dict[Address, int] = {}
            for order in orders:
                for index in order[position : position + IN_FLIGHT]:
                    key = f"/versions/kiln/2/{index}"
                    source = list_sources(ZONE, members, REGION_BY_ZONE, key)[0]
                    asked[source] = asked.get(source, 0) + 1
            return max(asked.values())

        busiest = [count_busiest(position) for position in range(0, CHUNKS, IN_FLIGHT)]
        # With the same order for all agents, one entry gets 16 to 32 requests.
        assert sum(busiest) / len(busiest) < AGENTS
        assert max(busiest) < AGENTS * IN_FLIGHT


def build_entry() -> NodeState:
    state = build_entry_state(version_bound_s=BOUND_S)
    table = RoutingTable(1, (STREAM,), SERVICES)
    record = engine("a")
    for collection, name, value in (
        (Collection.ROUTING, "main", table),
        (Collection.ENDPOINTS, record.id, record),
    ):
        item = StoredObject(name, 1, value, deleted=False)
        reduce_node(state, CollectionListed(0.0, collection, [item], 1))
    return state


class TestRequestsInTransit:
    """A call must begin before its engine's version becomes too old."""

    @pytest.mark.parametrize(
        ("before_due_s", "connect_s", "is_sent"),
        [
            (3.0, 0.005, True),
            (3.0, 0.4, True),
            (1.0, 0.005, True),
            # Arrives about when it must begin; a cancellation would arrive later.
            (1.0, 0.4, False),
            (WITHDRAWAL_MARGIN_S + 0.05, 0.01, True),
            (WITHDRAWAL_MARGIN_S + 0.05, 0.05, False),
            (WITHDRAWAL_MARGIN_S - 0.01, 0.0, False),
        ],
    )
    def test_decision_to_send_allows_for_the_connection_time(
        self, before_due_s, connect_s, is_sent
    ):
        state = build_entry()
        call = build_call("1", now=1.0)
        effects = reduce_node(state, CallArrived(1.0, call))[1]
        (decision,) = [item for item in effects if isinstance(item, SendCall)]
        state.announcements.add(MODEL, 2, 0.0)
        now = BOUND_S - before_due_s
        assert may_send(state, now, decision, connect_s) is is_sent


class RecordingResponder:
    """Records the size and time of each answer."""

    def __init__(self) -> None:
        self.sent: list[tuple[float, int]] = []

    async def respond(self, status: int, headers, body: bytes = b"") -> None:
        assert status == 200
        self.sent.append((time.monotonic(), len(body)))


class CompleteRelay(ChunkRelay):
    """A relay that has every chunk."""

    async def find_chunk(self, key, index):
        return Success(bytes(CHUNK_BYTES))


class TestUpload:
    """Many agents fetch the same chunks at once when the origin has recovered."""

    RATE_BYTES_S = 1_000_000.0

    def test_chunk_uploads_stay_within_their_rate(self):
        responder = RecordingResponder()

        async def scenario() -> float:
            upload = TokenBucket(self.RATE_BYTES_S, UPLOAD_BURST_S)
            relay = CompleteRelay(None, None, None, upload)
            started_at = time.monotonic()
            async with curio.TaskGroup() as group:
                for index in range(AGENTS):
                    path = f"/versions/kiln/2/{index}"
                    request = Request("GET", path, path, {}, {})
                    await group.spawn(relay.handle, request, responder)
            return started_at

        started_at = curio.run(scenario)
        sent_bytes = 0
        for sent_at, amount in responder.sent:
            sent_bytes += amount
            allowed = (sent_at - started_at + UPLOAD_BURST_S + 0.02) * self.RATE_BYTES_S
            assert sent_bytes <= allowed + CHUNK_BYTES
        assert sent_bytes == AGENTS * CHUNK_BYTES

    def test_uploads_may_use_three_quarters_of_the_link(self):
        assert build_upload_bucket(20.0).rate_bytes_s == 0.75 * 20e6 / 8
        assert build_upload_bucket(0.0).rate_bytes_s == 0.0
