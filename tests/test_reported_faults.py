"""Regression tests for faults that operators of similar systems have reported."""

import math
import struct
import time
import zlib

import curio
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from gateways import (
    MODEL,
    STREAM,
    UNSAFE,
    ZONE,
    Gateway,
    build_call,
    build_entry_state,
    build_route,
    engine,
)
from gateways import worker as build_worker
from platforms import KEY, WORKER_PORT, PlatformFleet, next_host, run_fleet
from tamaracktray.attempt_abandonment import reserve_move
from tamaracktray.beacons import Beacon, EndpointStatus, decode_beacon, encode_beacon
from tamaracktray.calls import SendCall
from tamaracktray.effects import Exit
from tamaracktray.events import ShutdownRequested, Tick
from tamaracktray.http import HttpServer
from tamaracktray.http_messages import Request
from tamaracktray.idle_timeouts import compute_idle_timeout
from tamaracktray.node_events import BeaconReceived, CloseIdleConnections
from tamaracktray.node_reducer import reduce_node
from tamaracktray.node_state import NodeState
from tamaracktray.peers import read_member
from tamaracktray.persistent_client import PersistentClient
from tamaracktray.platform.protocol import PlatformProtocol
from tamaracktray.routes import RepeatKind
from tamaracktray.snapshot_codec import MAX_DECOMPRESSED_BYTES, decode_snapshots
from tamaracktray.types import Address
from tamaracktray_emulator.platform.documents import build_tenant
from tamaracktray_emulator.platform.store import Outage
from tamaracktray_emulator.platform.worker import EVENTS, Mode

# Pause of a slow but working engine, and the latest end of a stream that sends no
# whole event, in seconds.
SLOW_PAUSE_S = 1.3
MAX_STALLED_STREAM_S = 3.5

ID_HEADER = b"x-tamaracktray-request-id"


def build_entry() -> NodeState:
    return build_entry_state(Gateway(engine("a"), engine("bb")).state)


async def list_raw_worker(fleet: PlatformFleet, serve) -> None:
    """List a worker whose connections ``serve`` answers, and wait until it is used."""
    worker = await fleet.add_worker("w-1")
    address = Address(next_host(), WORKER_PORT)
    server = curio.network.tcp_server_socket(address.host, address.port)
    await curio.spawn(curio.network.run_server, server, serve, daemon=True)
    document = worker.describe(ZONE, address=str(address))
    fleet.store.write("servers", "w-1", document)
    roster = fleet.entries[0].state.roster
    await fleet.until(
        lambda: [item.address for item in roster.records_by_id.values()] == [address]
    )


class TestDuplicateAnswer:
    """A late duplicate answer was taken as the answer to the next request.

    It arrived on a connection that the client had reused.
    """

    @pytest.mark.parametrize("gap_s", [0.0, 0.05])
    def test_next_request_gets_its_own_answer(self, gap_s):
        async def serve(client, _address) -> None:
            number = 0
            while await client.recv(65_536):
                number += 1
                answer = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n%d" % number
                await client.sendall(answer)
                await curio.sleep(gap_s)
                await client.sendall(answer)

        async def scenario() -> list[bytes]:
            server = curio.network.tcp_server_socket("127.0.0.1", 0)
            port = server.getsockname()[1]
            task = await curio.spawn(
                curio.network.run_server, server, serve, daemon=True
            )
            client = PersistentClient(Address("127.0.0.1", port))
            bodies = []
            for _ in range(4):
                reply = await client.fetch("GET", "/report")
                bodies.append(reply.unwrap().body)
                await curio.sleep(0.1)
            await task.cancel()
            return bodies

        # Each answer is the first one on its own connection.
        assert curio.run(scenario) == [b"1"] * 4

    def test_duplicate_that_arrives_after_the_next_request_is_not_its_answer(self):
        async def serve(client, _address) -> None:
            previous = b""
            while request := await client.recv(65_536):
                lines = request.split(b"\r\n")
                echo = next(line for line in lines if line.startswith(ID_HEADER))
                await client.sendall(previous)
                await curio.sleep(0.02)
                previous = b"HTTP/1.1 200 OK\r\n%b\r\ncontent-length: %d\r\n\r\n%b" % (
                    echo,
                    len(echo),
                    echo,
                )
                await client.sendall(previous)

        async def scenario() -> list[bytes]:
            server = curio.network.tcp_server_socket("127.0.0.1", 0)
            port = server.getsockname()[1]
            task = await curio.spawn(
                curio.network.run_server, server, serve, daemon=True
            )
            client = PersistentClient(Address("127.0.0.1", port), ID_HEADER.decode())
            bodies = []
            for _ in range(4):
                reply = await client.fetch("GET", "/report")
                bodies.append(reply.unwrap().body.rpartition(b": ")[2])
            await task.cancel()
            return bodies

        assert curio.run(scenario) == [b"GET-1", b"GET-3", b"GET-5", b"GET-7"]

    def test_entries_never_use_a_connection_twice(self):
        async def serve(client, _address) -> None:
            while data := await client.recv(65_536):
                lines = data.split(b"\r\n")
                own = next(line for line in lines if line.startswith(ID_HEADER))
                request_id = own.partition(b":")[2].strip()
                head = b"HTTP/1.1 200 OK\r\n%s\r\n" % own
                head += b"x-tamaracktray-server-signature: sig\r\n"
                head += b"content-length: %d\r\n\r\n" % len(request_id)
                # The duplicate arrives when a client may have reused the connection.
                await client.sendall(head + request_id)
                await curio.sleep(0.02)
                await client.sendall(head + request_id)

        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            await list_raw_worker(fleet, serve)
            for number in range(5):
                reply = await fleet.call("/order/1", f"id-{number}")
                assert (reply.status, reply.body) == (200, b"id-%d" % number)
                await curio.sleep(0.05)

        run_fleet(scenario)


class TestGracefulShutdown:
    """A graceful shutdown cut off requests that had just been accepted."""

    async def connect(self, server: HttpServer) -> curio.io.Socket:
        """Open a connection on which the server waits for a request."""
        await server.open()
        await curio.spawn(server.serve, daemon=True)
        client = await curio.open_connection("127.0.0.1", server.address.port)
        await curio.sleep(0.05)
        return client

    def test_received_request_is_answered_when_idle_connections_close(self):
        async def handle(request: Request, responder) -> None:
            await responder.respond(200, [], b"answer")

        async def scenario() -> bytes:
            server = HttpServer(Address("127.0.0.1", 0), handle)
            client = await self.connect(server)
            # Sent before the server's task can run.
            client._socket.send(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
            time.sleep(0.01)
            assert server.busy_connections == 1
            await server.close_idle_connections()
            answer = await curio.timeout_after(1.0, client.recv, 65_536)
            await client.close()
            return answer

        assert b"answer" in curio.run(scenario)

    def test_connection_without_a_request_is_closed(self):
        async def scenario() -> bytes:
            server = HttpServer(Address("127.0.0.1", 0), None)
            client = await self.connect(server)
            assert server.busy_connections == 0
            await server.close_idle_connections()
            return await curio.timeout_after(1.0, client.recv, 65_536)

        assert curio.run(scenario) == b""

    def test_process_waits_for_requests_in_progress(self):
        state = build_entry()
        reduce_node(state, ShutdownRequested(0.0))
        effects = reduce_node(state, Tick(3.0, open_connections=1))[1]
        assert not any(isinstance(effect, Exit) for effect in effects)
        assert any(isinstance(effect, CloseIdleConnections) for effect in effects)
        effects = reduce_node(state, Tick(3.1))[1]
        assert any(isinstance(effect, Exit) for effect in effects)

    def test_process_exits_before_sigkill(self):
        state = build_entry()
        reduce_node(state, ShutdownRequested(0.0))
        effects = reduce_node(state, Tick(7.8, open_connections=1))[1]
        assert any(isinstance(effect, Exit) for effect in effects)


class TestStalledStreams:
    """Slow but working streams were cut; ones without whole events never ended."""

    def test_slow_stream_without_another_endpoint_continues(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            slow = await fleet.add_engine("e-1")
            slow.pause_after = 2
            slow.pause_s = SLOW_PAUSE_S
            await fleet.until_listed(1)
            reply = await fleet.call("/talk/1", wait_ms=6_000)
            assert reply.status == 200
            assert reply.body.count(b"id:") == EVENTS
            assert len(slow.runs["id-1"]) == 1

        run_fleet(scenario)

    def test_stalled_stream_resumes_at_a_free_endpoint(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            for name in ("e-1", "e-2"):
                stalled = await fleet.add_engine(name)
                stalled.pause_after = 2
                stalled.pause_s = 30.0
            await fleet.until_listed(2)
            other: list[str] = []

            async def resume_other_engine() -> None:
                while not other:
                    for name, worker in fleet.workers.items():
                        if "id-1" in worker.runs:
                            other.extend({"e-1", "e-2"} - {name})
                            fleet.workers[other[0]].pause_s = 0.0
                    await curio.sleep(0.01)

            await curio.spawn(resume_other_engine, daemon=True)
            reply = await fleet.call("/talk/1", wait_ms=6_000)
            assert reply.body.count(b"id:") == EVENTS
            assert fleet.workers[other[0]].runs["id-1"][0]["last-event-id"] == "2"

        run_fleet(scenario)

    def test_stream_that_drips_bytes_ends(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            dripping = await fleet.add_engine("e-1")
            dripping.mode = Mode.DRIPPING
            await fleet.until_listed(1)
            started_at = time.monotonic()
            reply = await fleet.call("/talk/1", wait_ms=9_000)
            assert reply.status == 502
            assert time.monotonic() - started_at < MAX_STALLED_STREAM_S

        run_fleet(scenario)

    @pytest.mark.parametrize(
        ("objective_s", "gap_s", "min_timeout_s"), [(0.4, 0.3, 2.4), (0.6, 0.5, 4.0)]
    )
    def test_idle_timeout_is_not_below_that_of_callers(
        self, objective_s, gap_s, min_timeout_s
    ):
        route = build_route(
            RepeatKind.STREAM,
            "engines",
            target_latency_s=objective_s,
            gap_target_s=gap_s,
        )
        assert compute_idle_timeout(build_call("1", route)) >= min_timeout_s

    def test_stream_that_is_not_resumable_is_not_moved(self):
        gateway = Gateway(engine("a"), engine("bb"))
        route = build_route(RepeatKind.STREAM, "engines", is_resumable=False)
        call = build_call("1", route)
        assert [e for e in gateway.arrive(call) if isinstance(e, SendCall)]
        pending_by_id = gateway.state.pending_by_id
        assert not reserve_move(gateway.context, gateway.now, pending_by_id[call.id])
        other = build_call("2", STREAM)
        gateway.arrive(other)
        assert reserve_move(gateway.context, gateway.now, pending_by_id[other.id])


class TestLostAnswer:
    """After a lost answer, the work ran again or was reported as not run."""

    @pytest.mark.parametrize("path", ["/order/1", "/look/1"])
    def test_refusal_that_is_sent_once_more_refuses_no_other_request(self, path):
        """A worker repeats its first refusal before each answer on a connection."""
        ran: list[bytes] = []

        async def serve(client, _address) -> None:
            request = await client.recv(65_536)
            lines = request.split(b"\r\n")
            own = next(line for line in lines if line.startswith(ID_HEADER))
            refusal = (
                b"HTTP/1.1 503 Full\r\n%b\r\nx-tamaracktray-not-executed: 1\r\n"
                b"content-length: 0\r\n\r\n"
            )
            if own.endswith(b"id-0"):
                await client.sendall(refusal % own)
                await curio.sleep(0.1)
                await client.sendall(refusal % own)
                return
            ran.append(own)
            await client.sendall(refusal % own.replace(own[-4:], b"id-0"))
            await curio.sleep(0.1)
            head = b"HTTP/1.1 200 OK\r\n%b\r\nx-tamaracktray-server-signature: sig\r\n"
            await client.sendall(head % own + b"content-length: 2\r\n\r\nok")

        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            await list_raw_worker(fleet, serve)
            for number in range(4):
                reply = await fleet.call(path, f"id-{number}")
                # Only the first request was not run.
                assert reply.status == (503 if number == 0 else 502)
                await curio.sleep(0.3)
            assert len(ran) == len(set(ran)) == 3

        run_fleet(scenario)

    def test_refusal_of_another_request_causes_no_retry(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            wrong_answer_worker = await fleet.add_worker("w-1")
            wrong_answer_worker.mode = Mode.WRONG_ID_REFUSAL
            await fleet.add_worker("w-2", zone="zone-b")
            await fleet.until_listed(2)
            reply = await fleet.call("/order/1", "id-1")
            runs = sum(
                len(worker.runs.get("id-1", [])) for worker in fleet.workers.values()
            )
            assert runs == 1
            assert reply.status == 502

        run_fleet(scenario)


class TestMalformedMessages:
    """One malformed message or unexpected error ended the whole process."""

    @pytest.mark.parametrize(
        "value",
        [
            None,
            7,
            {},
            {"name": "entry-1"},
            {"name": "entry-1", "zone": 3, "address": {"host": "10.0.0.1", "port": 1}},
            {"name": "entry-1", "zone": "z", "address": {"host": "a..b", "port": 1}},
            {
                "name": "entry-1",
                "zone": "z",
                "address": {"host": "10.0.0.1", "port": 99_999},
            },
            {"name": "x", "zone": "z", "address": {"host": "10.0.0.1", "port": 1}},
        ],
    )
    def test_unreadable_member_is_ignored(self, value):
        with pytest.raises(ValueError):
            read_member("entry-1", value)

        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start(entries=2)
            fleet.store.write("members", "entry-1", value)
            await curio.sleep(0.3)
            await fleet.add_worker("w-1")
            await fleet.until_listed(1)
            assert (await fleet.call("/order/1")).status == 200
            assert all(not entry.is_halted for entry in fleet.entries)

        run_fleet(scenario)

    @pytest.mark.parametrize(
        "address", ["a..b:80", "10.0.0.1:99999", "nowhere", "10.0.0.1:", "\u0661:80"]
    )
    def test_endpoint_with_an_invalid_address_is_ignored(self, address):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            invalid_worker = await fleet.add_worker("w-0")
            fleet.store.write(
                "servers", "w-0", invalid_worker.describe(ZONE, address=address)
            )
            await fleet.add_worker("w-1")
            await fleet.until(lambda: fleet.entries[0].state.roster.records_by_id)
            await curio.sleep(0.6)
            for number in range(4):
                reply = await fleet.call("/order/1", f"id-{number}")
                assert (reply.status, reply.body) == (200, b"answer of w-1")

        run_fleet(scenario)

    @pytest.mark.parametrize(
        "fields",
        [
            {"announcement_ages_by_model": {MODEL: [(2, math.nan)]}},
            {"announcement_ages_by_model": {MODEL: [(2, -5.0)]}},
            {"announcement_ages_by_model": {MODEL: [(2, math.inf)]}},
            {"in_flight_by_endpoint": {"a": -3}},
            {"status": EndpointStatus("10.0.0.1:1", False, {}, math.nan)},
            {"status": EndpointStatus("10.0.0.1:1", False, {}, -math.inf)},
        ],
    )
    def test_beacon_with_invalid_numbers_is_rejected(self, fields):
        data = encode_beacon(Beacon("peer", 1, 1, {}, {}, **fields))
        assert decode_beacon(data).failure()

    @given(st.binary(max_size=200))
    def test_any_datagram_is_decoded_without_an_exception(self, data):
        decode_beacon(data)

    @given(st.binary(max_size=200))
    def test_any_snapshot_answer_is_decoded_without_an_exception(self, data):
        decode_snapshots(data)

    @given(
        st.builds(
            Beacon,
            st.text(max_size=5),
            st.integers(0, 3),
            st.integers(0, 99),
            st.just({}),
            st.just({}),
            st.dictionaries(st.sampled_from(["a", "bb", "x"]), st.integers(0, 2**60)),
            st.none()
            | st.builds(
                EndpointStatus,
                st.sampled_from(["10.0.0.1:1001", "x", ":", "10.0.0.1:1002"]),
                st.booleans(),
                st.dictionaries(st.just(MODEL), st.integers(-5, 2**60)),
                st.none() | st.floats(-1e300, 1e300),
                st.integers(-5, 2**62),
            ),
            st.dictionaries(st.just(MODEL), st.integers(-5, 2**60)),
            st.dictionaries(
                st.just(MODEL),
                st.lists(st.tuples(st.integers(-5, 2**60), st.floats(0, 1e300))),
            ),
        )
    )
    def test_any_beacon_is_reduced_without_an_exception(self, beacon):
        state = build_entry()
        decoded = decode_beacon(encode_beacon(beacon)).unwrap()
        reduce_node(state, BeaconReceived(0.0, decoded, Address("10.0.1.1", 1)))
        reduce_node(state, Tick(0.1))

    @pytest.mark.parametrize(
        "name",
        [
            "x-tamaracktray-deadline-ms",
            "x-tamaracktray-token-usage",
            "x-tamaracktray-length-hint",
        ],
    )
    def test_huge_number_in_a_request_counts_as_absent(self, name):
        headers = {name: "9" * 6_000}
        request = Request("POST", "/", "/", {}, headers)
        fields = PlatformProtocol().parse_caller_fields(request)
        assert fields.wait_s is None
        assert fields.prompt_tokens == fields.expected_output == 0

    def test_huge_number_in_an_answer_counts_as_absent(self):
        headers = {"x-tamaracktray-weight-versions": "9" * 6_000}
        assert PlatformProtocol().parse_answer_fields(200, headers).version == 0

    def test_invalid_answer_of_a_peer_does_not_end_the_process(self):
        async def answer(client, _address) -> None:
            await client.recv(65_536)
            body = struct.pack("<Q", 1)
            head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body)
            await client.sendall(head + body)

        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            entry = fleet.entries[0]
            server = curio.network.tcp_server_socket("127.0.0.1", 0)
            port = server.getsockname()[1]
            await curio.spawn(curio.network.run_server, server, answer, daemon=True)
            await entry.pull_snapshots(Address("127.0.0.1", port))
            assert not entry.is_halted

        run_fleet(scenario)

    def test_snapshot_with_a_value_of_another_type_is_refused(self):
        document = {"members": {"revision": 1, "objects_by_name": {"m": {"name": 3}}}}
        body = zlib.compress(msgspec.msgpack.encode(document))
        assert decode_snapshots(body).failure()

    def test_snapshots_that_decompress_beyond_the_limit_are_refused(self):
        body = zlib.compress(bytes(4 * MAX_DECOMPRESSED_BYTES))
        assert decode_snapshots(body).failure()

    @given(st.binary(max_size=200))
    def test_any_compressed_snapshot_answer_is_decoded_without_an_exception(self, data):
        decode_snapshots(zlib.compress(data))


class TestRevokedAfterRestart:
    """A revoked key or a removed server was used again after a restart."""

    def test_key_revoked_while_no_watch_was_answered_is_refused(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start(entries=2)
            await fleet.add_worker("w-1")
            await fleet.until_listed(1)
            # The watches that are open when the store goes silent are never answered.
            fleet.store.faults.outage = Outage.SILENT
            await curio.sleep(0.3)
            fleet.store.faults.outage = Outage.NONE
            fleet.tenants = [build_tenant("team-1", "key-2")]
            fleet.configure()
            await curio.sleep(5.0)
            for entry in range(2):
                reply = await fleet.call(
                    "/order/1", f"id-{entry}", entry=entry, key=KEY
                )
                assert reply.status == 401

        run_fleet(scenario)

    def test_revoked_key_and_removed_server_stay_out_after_a_restart(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start(entries=2)
            await fleet.add_worker("w-1")
            await fleet.add_worker("w-2")
            await fleet.until_listed(2)
            fleet.store.remove("servers", "w-1")
            fleet.tenants = [build_tenant("team-1", "key-2")]
            fleet.configure()
            await fleet.until_listed(1)
            entry = await fleet.restart_entry(0)
            await fleet.until(lambda: entry.state.is_initialized)
            reply = await fleet.call("/order/1", "old-key", key=KEY)
            assert reply.status == 401
            for number in range(4):
                reply = await fleet.call("/order/1", f"id-{number}", key="key-2")
                assert reply.body == b"answer of w-2"

        run_fleet(scenario)


def test_unsafe_route_is_not_resumable():
    gateway = Gateway(build_worker("a"), build_worker("bb"))
    call = build_call("1", UNSAFE)
    assert gateway.arrive(call)
    pending = gateway.state.pending_by_id[call.id]
    assert not reserve_move(gateway.context, gateway.now, pending)
