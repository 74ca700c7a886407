"""Rollouts of versions through entries to engines, with faults.

Guards against late swaps, corrupt weights, calls on an outdated version and repeated
downloads from the origin when sources fail or entries restart.
"""

import time

import curio
import pytest

from platforms import (
    PEER_PORT,
    WORKER_PORT,
    ZONE,
    PlatformFleet,
    next_host,
    run_fleet,
)
from tamaracktray import attempt_relay, exchange
from tamaracktray.types import Address
from tamaracktray_emulator.platform.documents import CHUNKS, ENGINE_MODEL
from tamaracktray_emulator.platform.origin import (
    build_manifest,
    list_digests,
    make_chunk,
)
from tamaracktray_emulator.platform.worker import Mode


def announce_version(fleet: PlatformFleet, version: int) -> None:
    document = {"model": ENGINE_MODEL, "version": version}
    fleet.store.write("versions", ENGINE_MODEL, document)


async def start(fleet: PlatformFleet, engines: int, version: int = 1, entries: int = 1):
    await fleet.start(entries=entries)
    added_engines = [await fleet.add_engine(f"e-{n}", version) for n in range(engines)]
    for engine in added_engines:
        await fleet.add_agent(engine)
    return added_engines


class TestRollout:
    def test_every_engine_loads_the_whole_version(self):
        async def scenario(fleet: PlatformFleet) -> None:
            engines = await start(fleet, 3)
            await curio.sleep(0.2)
            announce_version(fleet, 2)
            await fleet.until(lambda: all(e.version == 2 for e in engines), 8.0)
            for engine in engines:
                assert engine.loaded_digests == list_digests(2)
                assert len(engine.orders) == 1

        run_fleet(scenario, version_ms=3_000.0)

    def test_origin_sends_about_one_copy_of_a_version(self):
        async def scenario(fleet: PlatformFleet) -> None:
            engines = await start(fleet, 4, entries=2)
            await fleet.until(
                lambda: all(e.state.peers.members_by_name for e in fleet.entries)
            )
            announce_version(fleet, 2)
            await fleet.until(lambda: all(e.version == 2 for e in engines), 8.0)
            assert fleet.origin.chunks_sent <= CHUNKS * 1.2

        run_fleet(scenario, version_ms=3_000.0)

    def test_engines_take_turns(self):
        async def scenario(fleet: PlatformFleet) -> None:
            engines = await start(fleet, 4)
            await fleet.until(
                lambda: all(agent.state.staging.report for agent in fleet.agents)
            )
            announce_version(fleet, 2)
            serving: list[int] = []

            def is_done() -> bool:
                serving.append(sum(e.version > 0 for e in engines))
                return all(e.version == 2 for e in engines)

            await fleet.until(is_done, 8.0)
            assert min(serving) >= 2

        run_fleet(scenario, version_ms=6_000.0)

    def test_engines_take_turns_although_the_store_was_slow_to_list_them(self):
        async def scenario(fleet: PlatformFleet) -> None:
            engines = await start(fleet, 4)
            await fleet.until(
                lambda: all(agent.state.staging.report for agent in fleet.agents)
            )
            fleet.store.faults.delay_s = 0.6
            announce_version(fleet, 2)
            serving: list[int] = []
            slow_until = time.monotonic() + 1.2

            def is_done() -> bool:
                if time.monotonic() >= slow_until:
                    fleet.store.faults.delay_s = 0.0
                serving.append(sum(e.version > 0 for e in engines))
                return all(e.version == 2 for e in engines)

            await fleet.until(is_done, 8.0)
            assert min(serving) >= 2

        run_fleet(scenario, version_ms=6_000.0)

    def test_newest_of_two_quick_announcements_is_loaded(self):
        async def scenario(fleet: PlatformFleet) -> None:
            engines = await start(fleet, 2)
            announce_version(fleet, 2)
            await curio.sleep(0.05)
            announce_version(fleet, 3)
            await fleet.until(lambda: all(e.version == 3 for e in engines), 8.0)
            assert all(e.loaded_digests == list_digests(3) for e in engines)

        run_fleet(scenario, version_ms=3_000.0)

    def test_calls_start_only_on_the_due_version(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            old = await fleet.add_engine("old", 1)
            await fleet.until(lambda: fleet.entries[0].state.roster.records_by_id)
            announce_version(fleet, 2)
            assert (await fleet.call("/talk/1")).status == 200
            await curio.sleep(1.1)
            assert (await fleet.call("/talk/1", "id-2")).status == 503
            assert "id-2" not in old.runs

        run_fleet(scenario, version_ms=1_500.0)


class TestLateSending:
    def test_call_is_not_sent_if_the_version_expires_while_connecting(
        self, monkeypatch
    ):
        connect = exchange.connect

        async def connect_slowly(address: Address):
            if address.port == WORKER_PORT:
                await curio.sleep(1.2)
            return await connect(address)

        monkeypatch.setattr(exchange, "connect", connect_slowly)
        monkeypatch.setattr(attempt_relay, "CONNECT_TIMEOUT_S", 2.0)

        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            engine = await fleet.add_engine("e-1")
            await fleet.until(lambda: fleet.entries[0].state.roster.records_by_id)
            announce_version(fleet, 2)
            reply = await fleet.call("/talk/x", wait_ms=4_000)
            assert not engine.runs
            assert reply.status == 503

        run_fleet(scenario, version_ms=1_000.0)

    def test_call_is_withdrawn_if_the_version_expires_while_sending(self, monkeypatch):
        """The tick that withdraws calls runs before the exchange has been opened."""
        open_exchange = attempt_relay.open_exchange

        async def open_slowly(*args, **options):
            opened = await open_exchange(*args, **options)
            await curio.sleep(1.2)
            return opened

        monkeypatch.setattr(attempt_relay, "open_exchange", open_slowly)

        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            engine = await fleet.add_engine("e-1")
            engine.mode = Mode.HANGING
            await fleet.until(lambda: fleet.entries[0].state.roster.records_by_id)
            announce_version(fleet, 2)
            started = time.monotonic()
            reply = await fleet.call("/talk/x", wait_ms=4_000)
            assert time.monotonic() - started < 2.0
            assert reply.status == 502

        run_fleet(scenario, version_ms=1_000.0)


class TestSources:
    """Chunks come from reachable entries; the origin gets few requests."""

    def test_agents_do_not_overload_a_recovered_origin(self):
        async def scenario(fleet: PlatformFleet) -> None:
            engines = await start(fleet, 4, entries=2)
            await fleet.until(
                lambda: all(e.state.peers.members_by_name for e in fleet.entries)
            )
            fleet.origin.is_down = True
            announce_version(fleet, 2)
            await curio.sleep(1.5)
            fleet.origin.is_down = False
            await fleet.until(lambda: all(e.version == 2 for e in engines), 8.0)
            assert fleet.origin.chunks_sent <= CHUNKS * 1.2

        run_fleet(scenario, version_ms=3_000.0)

    @pytest.mark.parametrize("is_silent", [True, False])
    def test_unreachable_entry_does_not_delay_a_rollout(self, is_silent):
        """The unreachable entry stays listed as the first source of half the chunks."""

        async def scenario(fleet: PlatformFleet) -> None:
            (engine,) = await start(fleet, 1)
            stale_address = Address(next_host(), PEER_PORT)
            listener = None
            if is_silent:
                listener = curio.network.tcp_server_socket(
                    stale_address.host, stale_address.port
                )
            address = {"host": stale_address.host, "port": stale_address.port}
            document = {"name": "ghost", "zone": ZONE, "address": address}
            fleet.store.write("members", "ghost", document)
            await fleet.until(
                lambda: "ghost" in fleet.agents[0].state.peers.members_by_name
            )
            announce_version(fleet, 2)
            await fleet.until(lambda: engine.version == 2, 4.5)
            if listener is not None:
                await listener.close()

        run_fleet(scenario, version_ms=1_500.0)


class TestRestartedEntries:
    """Entries that restart during a rollout fetch only the chunks agents still need."""

    def test_successive_restarts_fetch_about_one_copy(self):
        async def scenario(fleet: PlatformFleet) -> None:
            engines = await start(fleet, 4, entries=3)
            await fleet.until(
                lambda: all(
                    len(e.state.peers.members_by_name) == 2 for e in fleet.entries
                )
            )
            fleet.origin.chunk_s = 0.2
            announce_version(fleet, 2)
            for number in range(3):
                minimum = 3 + 3 * number
                await fleet.until(
                    lambda minimum=minimum: fleet.origin.chunks_sent >= minimum
                )
                await fleet.restart_entry(number)
            await fleet.until(lambda: all(e.version == 2 for e in engines), 12.0)
            await curio.sleep(1.0)
            assert fleet.origin.chunks_sent <= CHUNKS * 1.5

        run_fleet(scenario, version_ms=6_000.0)

    async def stage_all_but_two(self, fleet: PlatformFleet):
        """Stage all but the last two chunks of a version in two engines."""
        engines = await start(fleet, 2, entries=2)
        await fleet.until(
            lambda: all(e.state.peers.members_by_name for e in fleet.entries)
        )
        fleet.origin.withheld = {CHUNKS - 2, CHUNKS - 1}
        announce_version(fleet, 2)
        await fleet.until(
            lambda: all(len(e.staged) == CHUNKS - 2 for e in engines), 8.0
        )
        return engines

    def test_restarted_entries_fetch_only_missing_chunks(self):
        async def scenario(fleet: PlatformFleet) -> None:
            engines = await self.stage_all_but_two(fleet)
            sent = fleet.origin.chunks_sent
            for number in range(2):
                await fleet.restart_entry(number)
            fleet.origin.withheld = set()
            fleet.origin.chunk_s = 0.3
            await fleet.until(lambda: all(e.version == 2 for e in engines), 3.0)
            await curio.sleep(1.0)
            assert fleet.origin.chunks_sent - sent <= 3

        run_fleet(scenario, version_ms=2_000.0)

    @pytest.mark.parametrize("last", [0, 1])
    def test_restarted_entry_reuses_chunks_of_another(self, last):
        async def scenario(fleet: PlatformFleet) -> None:
            engines = await self.stage_all_but_two(fleet)
            sent = fleet.origin.chunks_sent
            await fleet.entries[last].kill()
            await fleet.restart_entry(1 - last)
            fleet.origin.withheld = set()
            fleet.origin.chunk_s = 0.3
            await curio.sleep(0.2)
            await fleet.restart_entry(last)
            await fleet.until(lambda: all(e.version == 2 for e in engines), 4.0)
            await curio.sleep(1.0)
            assert fleet.origin.chunks_sent - sent <= 3

        run_fleet(scenario, version_ms=2_000.0)

    def test_version_announced_before_the_start_is_not_prefetched(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            announce_version(fleet, 2)
            await fleet.until(lambda: fleet.origin.chunks_sent == CHUNKS, 2.0)
            await fleet.restart_entry(0)
            state = fleet.entries[0].state
            await fleet.until(lambda: state.is_initialized)
            await curio.sleep(0.5)
            assert fleet.origin.chunks_sent == CHUNKS
            announce_version(fleet, 3)
            await fleet.until(lambda: fleet.origin.chunks_sent == 2 * CHUNKS, 2.0)

        run_fleet(scenario, version_ms=2_000.0)


class TestMissingChunks:
    def test_unavailable_chunks_do_not_delay_the_others(self):
        async def scenario(fleet: PlatformFleet) -> None:
            (engine,) = await start(fleet, 1)
            fleet.origin.withheld = {0, 1}
            announce_version(fleet, 2)
            await fleet.until(lambda: len(engine.staged) == CHUNKS - 2, 4.0)
            fleet.origin.withheld = set()
            await fleet.until(lambda: engine.version == 2, 4.0)

        run_fleet(scenario, version_ms=4_000.0)


class TestEmptyEngines:
    def test_added_engine_is_loaded_and_gets_calls(self):
        async def scenario(fleet: PlatformFleet) -> None:
            (engine,) = await start(fleet, 1, version=0)
            await fleet.until(lambda: engine.version == 1, 8.0)
            assert engine.loaded_digests == list_digests(1)
            gateway = fleet.entries[0].state.gateway
            await fleet.until(lambda: "e-0" in gateway.loads_by_id, 2.0)
            load = gateway.loads_by_id["e-0"]
            await fleet.until(lambda: load.find_version(ENGINE_MODEL))
            assert (await fleet.call("/talk/1")).status == 200

        run_fleet(scenario)

    def test_restarted_engine_reuses_staged_chunks(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            engine = await fleet.add_engine("e-1")
            engine.staged = {index: make_chunk(1, index) for index in range(CHUNKS)}
            agent = await fleet.add_agent(engine)
            await fleet.until(lambda: agent.state.staging.report is not None)
            engine.restart()
            await fleet.until(lambda: engine.version == 1 and not engine.is_busy)
            assert engine.loaded_digests == list_digests(1)
            assert fleet.origin.chunks_sent == 0

        run_fleet(scenario)

    def test_chunks_are_fetched_before_a_late_engine_starts(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            engine = await fleet.add_engine("e-1", 0)
            staged = engine.answer

            async def abort_request(request, responder) -> None:
                await responder.abort()

            engine.answer = abort_request
            agent = await fleet.add_agent(engine)
            buffered_digests = agent.state.staging.buffered_digests
            await fleet.until(lambda: len(buffered_digests) == CHUNKS)
            engine.answer = staged
            await fleet.until(lambda: engine.version == 1, 2.0)

        run_fleet(scenario)


class TestCorruptWeights:
    @pytest.mark.parametrize("count", [1, CHUNKS])
    def test_corrupt_chunks_of_the_origin_are_fetched_again(self, count):
        async def scenario(fleet: PlatformFleet) -> None:
            (engine,) = await start(fleet, 1)
            fleet.origin.corrupted = set(range(count))
            fleet.origin.is_manifest_corrupted = True
            announce_version(fleet, 2)
            await fleet.until(lambda: engine.version == 2, 8.0)
            assert engine.loaded_digests == list_digests(2)

        run_fleet(scenario, version_ms=2_000.0)

    @pytest.mark.parametrize(
        "wrong",
        [
            build_manifest(1),
            build_manifest(2, model="another", digests=list_digests(1)),
            build_manifest(2, digests=[]),
            build_manifest(2, digests=list_digests(1)[:-1]),
        ],
        ids=["of another version", "of another model", "empty", "cut"],
    )
    def test_wrong_manifest_is_not_loaded_from_the_stage(self, wrong):
        async def scenario(fleet: PlatformFleet) -> None:
            # Equal answers confirm each other, also wrong ones.
            fleet.origin.wrong_manifests = [wrong] * 2
            await fleet.start()
            announce_version(fleet, 2)
            engine = await fleet.add_engine("e-1", 0)
            engine.staged = {index: make_chunk(1, index) for index in range(CHUNKS)}
            await fleet.add_agent(engine)
            await fleet.until(lambda: engine.version == 2, 8.0)
            assert engine.loaded_digests == list_digests(2)

        run_fleet(scenario, version_ms=2_000.0)

    def test_chunk_corrupted_in_the_stage_is_staged_again(self):
        async def scenario(fleet: PlatformFleet) -> None:
            engines = await start(fleet, 2)
            announce_version(fleet, 2)
            # The agent with the last turn waits, so the check of its staged chunks
            # expires and must be repeated before the engine is ordered to load.
            waiting = lambda: [  # noqa: E731
                agent
                for agent in fleet.agents
                if agent.state.staging.step.value == "turn"
                and agent.state.staging.turn.share == 1.0
            ]
            await fleet.until(waiting)
            engine = engines[fleet.agents.index(waiting()[0])]
            engine.staged[3] = b"rotten"
            await fleet.until(lambda: all(e.version == 2 for e in engines), 8.0)
            assert engine.loaded_digests == list_digests(2)

        run_fleet(scenario, version_ms=4_500.0)

    def test_rollout_resumes_when_the_origin_recovers(self):
        async def scenario(fleet: PlatformFleet) -> None:
            (engine,) = await start(fleet, 1)
            fleet.origin.is_down = True
            announce_version(fleet, 2)
            await curio.sleep(1.0)
            assert engine.version == 1
            fleet.origin.is_down = False
            await fleet.until(lambda: engine.version == 2, 8.0)

        run_fleet(scenario, version_ms=2_000.0)
