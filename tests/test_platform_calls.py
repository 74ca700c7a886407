"""Callers' requests through real sockets, with stand-ins of the platform's services.

Guards against altered or incomplete answers, and against unsafe calls that run again
after a worker failed.
"""

import time

import curio
import pytest

from gateways import Gateway, build_call, engine
from platforms import KEY, ORDERS, PlatformFleet, fetch_with_host, run_fleet
from tamaracktray.calls import CallArrived
from tamaracktray.events import ShutdownRequested
from tamaracktray.gateway import handle_call
from tamaracktray.http_messages import Reply
from tamaracktray.types import Address, RunState
from tamaracktray_emulator.platform.documents import build_route, build_tenant
from tamaracktray_emulator.platform.worker import EVENTS, Mode

EVENT_TEXT = "".join(f"id: {n}\ndata: token {n}\n\n" for n in range(1, EVENTS + 1))


def count_runs(fleet: PlatformFleet, request_id: str) -> int:
    return sum(
        len(worker.runs.get(request_id, [])) for worker in fleet.workers.values()
    )


class TestAnswers:
    def test_answer_is_relayed_unchanged(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            worker = await fleet.add_worker("w-1")
            await fleet.until(lambda: fleet.entries[0].state.roster.records_by_id)
            reply = await fleet.call("/order/1", body=b"a bowl")
            assert (reply.status, reply.body) == (200, b"answer of w-1")
            assert reply.headers["x-tamaracktray-server-signature"] == "sig.w-1"
            (seen,) = worker.runs["id-1"]
            assert seen["host"] == "studio.example"
            assert seen["x-tamaracktray-tenant"] == "team-1"
            assert seen["x-tamaracktray-expect-instance"] == "w-1"
            assert 0 < int(seen["x-tamaracktray-deadline-ms"]) <= 2_000
            assert "authorization" not in seen

        run_fleet(scenario)

    def test_reserved_headers_of_callers_are_replaced(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            worker = await fleet.add_worker("w-1")
            await fleet.until(lambda: fleet.entries[0].state.roster.records_by_id)
            forged = [
                ("x-tamaracktray-tenant", "team-2"),
                ("x-tamaracktray-expect-instance", "w-9"),
                ("x-tamaracktray-request-priority", "0"),
                ("path", "10.0.0.1:80=0-16"),
                ("x-custom", "kept"),
            ]
            reply = await fleet.call("/order/1", headers=forged)
            assert reply.status == 200
            (seen,) = worker.runs["id-1"]
            assert seen["x-tamaracktray-tenant"] == "team-1"
            assert seen["x-custom"] == "kept"
            assert "path" not in seen
            assert "x-tamaracktray-request-priority" not in seen

        run_fleet(scenario)

    def test_stream_is_relayed_completely(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            await fleet.add_engine("e-1")
            await fleet.until(lambda: fleet.entries[0].state.roster.records_by_id)
            reply = await fleet.call("/talk/1")
            assert (reply.status, reply.body.decode()) == (200, EVENT_TEXT)
            assert reply.headers["x-tamaracktray-weight-versions"] == "1"

        run_fleet(scenario)

    @pytest.mark.parametrize(
        ("path", "key", "status"),
        [("/none/1", KEY, 404), ("/order/1", "bad", 401), ("/order/1", "", 401)],
    )
    def test_final_refusals(self, path, key, status):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            await fleet.add_worker("w-1")
            await fleet.until(lambda: fleet.entries[0].state.roster.records_by_id)
            assert (await fleet.call(path, key=key)).status == status

        run_fleet(scenario)

    def test_call_without_endpoints_is_refused_with_retry_after(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            reply = await curio.timeout_after(0.5, fleet.call("/order/1"))
            assert reply.status == 503
            assert float(reply.headers["retry-after"]) > 0

        run_fleet(scenario)

    def test_process_without_configuration_answers_503(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.add_entry()
            await curio.sleep(0.05)
            reply = await fleet.call("/none/1")
            assert reply.status == 503

        run_fleet(scenario)


# Fault of a worker, and the status on a safe and on an unsafe route.
WORKER_FAULTS = [
    (Mode.FULL, 200, 503),
    (Mode.FAILING, 200, 500),
    (Mode.CUTTING, 200, 502),
    (Mode.WRONG_ID, 200, 502),
    (Mode.UNSIGNED, 200, 502),
]


class TestWorkerFaults:
    @pytest.mark.parametrize(("mode", "safe", "unsafe"), WORKER_FAULTS)
    def test_fault_of_one_worker(self, mode, safe, unsafe):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            bad = await fleet.add_worker("w-1")
            bad.mode = mode
            await fleet.until(lambda: fleet.entries[0].state.roster.records_by_id)
            reply = await fleet.call("/order/1", "unsafe-1")
            assert reply.status == unsafe
            assert count_runs(fleet, "unsafe-1") <= 1
            if reply.status in (429, 503):
                assert count_runs(fleet, "unsafe-1") == 0
            await fleet.add_worker("w-2")
            await fleet.until(
                lambda: len(fleet.entries[0].state.roster.records_by_id) == 2
            )
            reply = await fleet.call("/look/1", "safe-1", method="GET")
            assert (reply.status, reply.body) == (safe, b"answer of w-2")

        run_fleet(scenario)

    def test_unexpected_worker_at_a_listed_address_runs_nothing(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            worker = await fleet.add_worker("w-1")
            worker.id = "stranger"
            await fleet.until(lambda: fleet.entries[0].state.roster.records_by_id)
            reply = await fleet.call("/order/1")
            assert reply.status == 503
            assert count_runs(fleet, "id-1") == 0

        run_fleet(scenario)

    def test_cut_stream_is_resumed_at_whole_events(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            engines = [await fleet.add_engine(f"e-{n}") for n in range(2)]
            await fleet.until(
                lambda: len(fleet.entries[0].state.roster.records_by_id) == 2
            )
            for candidate in engines:
                candidate.mode = Mode.CUTTING
                candidate.cut_after = 3
            first_entry = fleet.entries[0]
            reply_task = await curio.spawn(fleet.call, "/talk/1")
            await fleet.until(lambda: any(candidate.runs for candidate in engines))
            other = next(candidate for candidate in engines if not candidate.runs)
            other.mode = Mode.GOOD
            reply = await reply_task.join()
            assert reply.body.decode() == EVENT_TEXT
            assert first_entry.state.gateway.pending_by_id == {}

        run_fleet(scenario)

    def test_safe_call_is_retried_when_a_worker_hangs(self):
        async def scenario(fleet: PlatformFleet) -> None:
            fleet.routes = [build_route("look", "safe", ORDERS, targetLatencyMs=50)]
            await fleet.start()
            hanging = await fleet.add_worker("w-1")
            hanging.mode = Mode.HANGING
            await fleet.until(lambda: fleet.entries[0].state.roster.records_by_id)
            task = await curio.spawn(
                lambda: fleet.call("/look/1", method="GET", wait_ms=3_000)
            )
            await fleet.until(lambda: hanging.runs)
            await fleet.add_worker("w-2")
            reply = await task.join()
            assert (reply.status, reply.body) == (200, b"answer of w-2")

        run_fleet(scenario)

    def test_stream_of_a_frozen_engine_moves_to_another(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            frozen = await fleet.add_engine("e-1")
            frozen.mode = Mode.HANGING
            gateway = fleet.entries[0].state.gateway
            await fleet.until(lambda: gateway.loads_by_id)
            task = await curio.spawn(fleet.call, "/talk/1")
            await fleet.until(lambda: frozen.runs)
            await fleet.add_engine("e-2", zone="zone-b")
            began = time.monotonic()
            reply = await task.join()
            assert (reply.status, reply.body.decode()) == (200, EVENT_TEXT)
            assert time.monotonic() - began < 1.0

        run_fleet(scenario)

    def test_unsafe_call_is_answered_at_its_deadline(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            hanging = await fleet.add_worker("w-1")
            hanging.mode = Mode.HANGING
            await fleet.until(lambda: fleet.entries[0].state.roster.records_by_id)
            reply = await fleet.call("/order/1", wait_ms=300)
            assert reply.status == 504
            assert count_runs(fleet, "id-1") == 1

        run_fleet(scenario)


class TestDisconnects:
    def test_work_stops_when_the_caller_disconnects(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            engine_server = await fleet.add_engine("e-1")
            await fleet.until(lambda: fleet.entries[0].state.roster.records_by_id)
            task = await curio.spawn(fleet.call, "/talk/1")
            await fleet.until(lambda: engine_server.runs)
            await task.cancel()
            gateway = fleet.entries[0].state.gateway
            await fleet.until(lambda: not gateway.pending_by_id, 0.5)
            assert gateway.loads_by_id["e-1"].in_flight == 0
            await curio.sleep(0.2)
            assert engine_server.finished == []

        run_fleet(scenario)

    def test_two_requests_on_one_connection(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            await fleet.add_worker("w-1")
            await fleet.until(lambda: fleet.entries[0].state.roster.records_by_id)
            address = Address.parse(fleet.entries[0].settings.listen.callers)
            client = await curio.open_connection(address.host, address.port)
            text = (
                "GET /look/{n} HTTP/1.1\r\nhost: studio.example\r\n"
                "x-tamaracktray-request-id: r{n}\r\n"
                f"authorization: Token {KEY}\r\n\r\n"
            )
            both = text.format(n=1) + text.format(n=2)
            await client.sendall(both.encode())
            received = b""
            while received.count(b"answer of w-1") < 2:
                received += await curio.timeout_after(2.0, client.recv(65_536))
            assert received.index(b"r1") < received.index(b"r2")

        run_fleet(scenario)


class TestTeams:
    def test_new_keys_and_routes_come_into_force(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            await fleet.add_worker("w-1")
            await fleet.until(lambda: fleet.entries[0].state.roster.records_by_id)
            fleet.routes.append(build_route("new", "safe", ORDERS))
            fleet.tenants.append(build_tenant("team-2", "key-2"))
            fleet.configure()
            version = fleet.version
            await fleet.until(
                lambda: fleet.entries[0].state.index.table.version == version
            )
            reply = await fleet.call("/new/1", key="key-2", method="GET")
            assert reply.status == 200
            (seen,) = fleet.workers["w-1"].runs["id-1"]
            assert seen["x-tamaracktray-tenant"] == "team-2"

        run_fleet(scenario)

    def test_calls_stay_in_the_allowed_regions_of_a_team(self):
        async def scenario(fleet: PlatformFleet) -> None:
            fleet.tenants = [build_tenant("t", KEY, allowedRegions=["region-b"])]
            await fleet.start()
            await fleet.add_worker("near")
            await fleet.add_worker("far", zone="zone-b")
            await fleet.until(
                lambda: len(fleet.entries[0].state.roster.records_by_id) == 2
            )
            for number in range(4):
                reply = await fleet.call("/look/1", f"id-{number}", method="GET")
                assert reply.body == b"answer of far"

        run_fleet(scenario)


class TestReadiness:
    def test_ready_once_the_configuration_is_known(self):
        async def scenario(fleet: PlatformFleet) -> None:
            entry = await fleet.add_entry()
            await curio.sleep(0.05)
            address = Address.parse(entry.settings.listen.readiness)
            before = await fetch_with_host(address, "GET", "/readyz", [("host", "h")])
            assert isinstance(before, Reply)
            assert before.status == 503
            for stand_in in (fleet.store, fleet.origin):
                await fleet.open(stand_in)
            fleet.configure()
            await fleet.until(lambda: entry.state.is_initialized)
            after = await fetch_with_host(address, "GET", "/readyz", [("host", "h")])
            assert after.status == 200

        run_fleet(scenario)


class TestShutdown:
    def test_shutdown_finishes_answers_and_closes_connections(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            await fleet.add_engine("e-1")
            entry = fleet.entries[0]
            await fleet.until(lambda: entry.state.roster.records_by_id)
            address = Address.parse(entry.settings.listen.callers)
            idle = await curio.open_connection(address.host, address.port)
            running = await curio.spawn(fleet.call, "/talk/1")
            await fleet.until(lambda: entry.state.gateway.pending_by_id)
            await entry.dispatch(ShutdownRequested(time.monotonic()))
            assert not entry.state.is_initialized or entry.state.is_leaving
            in_rotation = await fleet.call("/talk/2", "id-2")
            assert in_rotation.status == 200
            assert in_rotation.headers["connection"] == "close"
            assert (await running.join()).body.decode() == EVENT_TEXT
            assert await curio.timeout_after(4.0, idle.recv(1)) == b""

        run_fleet(scenario)

    def test_calls_after_the_close_deadline_are_refused(self):
        gateway = Gateway(engine("a"))
        context = gateway.context
        context.is_closing = True
        (effect,) = handle_call(context, CallArrived(0.0, build_call("1")))
        assert (effect.refusal.status, effect.refusal.run) == (503, RunState.NOT_RUN)
