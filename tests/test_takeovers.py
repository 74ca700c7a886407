"""A process that starts beside a store that was restored from an older copy.

Guards against a process that goes by the copy although its peers have in force what the
store has lost.
"""

import time

import curio
import pytest

from platforms import KEY, TEAM, PlatformFleet, run_fleet
from tamaracktray.exchange import fetch
from tamaracktray.peer_questions import (
    ASK_BOUND_S,
    PeerQuestions,
)
from tamaracktray.types import Address
from tamaracktray_emulator.platform.documents import build_tenant
from tamaracktray_emulator.platform.store import StoreCopy

OTHER_KEY = "key-2"
MODEL = "kiln-1"
AWAY_S = 0.3
STARTED = 2
PEERS = (0, 1)

# Time for a process that starts beside its peers, or beside none, to take callers.
START_S = 1.5

# Time within which a settled store's content is in force, in seconds.
SETTLED_S = 7.0


async def start_fleet(fleet: PlatformFleet) -> None:
    """Start three entries that know each other, and two workers in two regions."""
    fleet.tenants = [build_tenant(TEAM, KEY, OTHER_KEY)]
    await fleet.start(entries=3)
    await fleet.add_worker("near")
    await fleet.add_worker("far", zone="zone-b")
    for entry in fleet.entries:
        state = entry.state
        await fleet.until(lambda state=state: len(state.roster.records_by_id) == 2)
        await fleet.until(lambda state=state: len(state.peers.members_by_name) == 2)


async def restore(fleet: PlatformFleet, copy: StoreCopy) -> None:
    """Restore the store from a copy; nobody has repeated a change yet."""
    await fleet.store.go_away()
    await curio.sleep(AWAY_S)
    fleet.store.restore(copy)


async def restart(fleet: PlatformFleet, number: int = STARTED) -> None:
    """Kill an entry and start it again; wait until it takes callers."""
    entry = await fleet.restart_entry(number)
    await fleet.until(lambda: entry.state.is_initialized, START_S)


async def configure_everywhere(fleet: PlatformFleet) -> None:
    """Write a configuration and wait until all entries have it in force."""
    fleet.configure()
    version = fleet.version
    for entry in fleet.entries:
        await fleet.until(
            lambda state=entry.state: state.index.table.version == version
        )


async def call_during(
    fleet: PlatformFleet, seconds: float, entry: int = STARTED, **fields
) -> list[tuple[int, bytes]]:
    """Send calls at an entry for a time; return status and body of each answer."""
    replies, deadline = [], time.monotonic() + seconds
    while time.monotonic() < deadline:
        request_id = f"id-{len(replies)}-{entry}"
        reply = await fleet.call(
            "/look/1", request_id, entry=entry, method="GET", **fields
        )
        replies.append((reply.status, reply.body))
        await curio.sleep(0.05)
    return replies


class TestConfigurations:
    def test_started_entry_refuses_a_key_that_was_dropped(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await start_fleet(fleet)
            copy = fleet.store.copy()
            fleet.tenants = [build_tenant(TEAM, KEY)]
            await configure_everywhere(fleet)
            await restore(fleet, copy)
            await restart(fleet)
            replies = await call_during(fleet, 2.0, key=OTHER_KEY)
            assert {status for status, _ in replies} == {401}

        run_fleet(scenario)

    def test_started_entry_keeps_to_the_regions_in_force(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await start_fleet(fleet)
            copy = fleet.store.copy()
            fleet.tenants = [build_tenant(TEAM, KEY, allowedRegions=["region-b"])]
            await configure_everywhere(fleet)
            await restore(fleet, copy)
            await restart(fleet)
            replies = await call_during(fleet, 2.0)
            assert set(replies) == {(200, b"answer of far")}

        run_fleet(scenario)

    @pytest.mark.parametrize("restores", [1, 2])
    def test_entry_started_while_the_store_is_away(self, restores):
        async def scenario(fleet: PlatformFleet) -> None:
            await start_fleet(fleet)
            copy = fleet.store.copy()
            fleet.tenants = [build_tenant(TEAM, KEY)]
            await configure_everywhere(fleet)
            for _ in range(restores - 1):
                await restore(fleet, copy)
                await curio.sleep(0.2)
            await fleet.store.go_away()
            entry = await fleet.restart_entry(STARTED)
            await curio.sleep(AWAY_S)
            fleet.store.restore(copy)
            await fleet.until(lambda: entry.state.is_initialized, START_S)
            replies = await call_during(fleet, 1.5, key=OTHER_KEY)
            assert {status for status, _ in replies} == {401}

        run_fleet(scenario)

    def test_entries_started_one_after_another_hand_it_on(self):
        """In the end no process is left that has read it from the store."""

        async def scenario(fleet: PlatformFleet) -> None:
            await start_fleet(fleet)
            copy = fleet.store.copy()
            fleet.tenants = [build_tenant(TEAM, KEY)]
            await configure_everywhere(fleet)
            await restore(fleet, copy)
            for number in range(3):
                await restart(fleet, number)
            for number in range(3):
                reply = await fleet.call("/look/1", entry=number, key=OTHER_KEY)
                assert reply.status == 401

        run_fleet(scenario)

    def test_entries_that_start_together_hear_the_one_that_ran(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await start_fleet(fleet)
            copy = fleet.store.copy()
            fleet.tenants = [build_tenant(TEAM, KEY)]
            await configure_everywhere(fleet)
            await restore(fleet, copy)
            started = [await fleet.restart_entry(number) for number in (0, STARTED)]
            for entry in started:
                await fleet.until(
                    lambda state=entry.state: state.is_initialized, START_S
                )
            for number in (0, STARTED):
                replies = await call_during(fleet, 0.5, number, key=OTHER_KEY)
                assert {status for status, _ in replies} == {401}

        run_fleet(scenario)

    def test_entry_that_missed_a_change_learns_it_after_the_restore(self):
        """It could reach neither the store nor its peers when the change was made."""

        async def scenario(fleet: PlatformFleet) -> None:
            await start_fleet(fleet)
            copy = fleet.store.copy()
            cut_off = fleet.entries[STARTED]
            address = cut_off.store._address
            cut_off.store._address = Address(address.host, 9)
            fleet.store.faults.hides_changes = True
            dispatch = cut_off.dispatch

            async def ignore(event) -> None:
                if type(event).__name__ not in ignored:
                    await dispatch(event)

            ignored = {"BeaconReceived", "CollectionChanged", "CollectionListed"}
            cut_off.dispatch = ignore
            cut_off._reader._context.dispatch = ignore
            fleet.store.faults.hides_changes = False
            fleet.tenants = [build_tenant(TEAM, KEY)]
            fleet.configure()
            fleet.store.write("evacuations", "zone-a", {})
            version = fleet.version
            for number in PEERS:
                state = fleet.entries[number].state
                await fleet.until(
                    lambda state=state: state.index.table.version == version
                )
                await fleet.until(lambda state=state: state.evacuated_zones)
            assert cut_off.state.index.table.version < version
            await restore(fleet, copy)
            await curio.sleep(0.3)
            ignored.clear()
            cut_off.store._address = address
            await fleet.until(
                lambda: cut_off.state.index.table.version == version, START_S
            )
            await fleet.until(lambda: cut_off.state.evacuated_zones, START_S)

        run_fleet(scenario)

    def test_limits_of_requests_are_those_in_force(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await start_fleet(fleet)
            copy = fleet.store.copy()
            document = fleet.store.objects["config", "main"]["spec"]
            fleet.version += 1
            limits = {"maxBodyBytes": 100}
            fleet.store.write(
                "config",
                "main",
                document | {"version": fleet.version, "limits": limits},
            )
            for entry in fleet.entries:
                await fleet.until(
                    lambda state=entry.state: state.index.table.version == fleet.version
                )
            expected = fleet.entries[0].state.index.table.limits.max_body_bytes
            assert expected == 100
            await restore(fleet, copy)
            await restart(fleet)
            await fleet.until(
                lambda: (
                    fleet.entries[STARTED]._caller_server.limits.max_body_bytes
                    == expected
                ),
                START_S,
            )
            reply = await fleet.call("/order/1", entry=STARTED, body=b"x" * 200)
            assert reply.status == 413

        run_fleet(scenario)


class TestSettling:
    def test_started_entry_uses_no_evacuated_zone_until_the_store_has_settled(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await start_fleet(fleet)
            copy = fleet.store.copy()
            fleet.store.write("evacuations", "zone-a", {})
            for entry in fleet.entries:
                await fleet.until(lambda state=entry.state: state.evacuated_zones)
            await restore(fleet, copy)
            restored_at = time.monotonic()
            await restart(fleet)
            replies = await call_during(fleet, 2.0)
            assert set(replies) == {(200, b"answer of far")}
            state = fleet.entries[STARTED].state
            remaining_s = restored_at + SETTLED_S - time.monotonic()
            await fleet.until(lambda: not state.evacuated_zones, remaining_s)

        run_fleet(scenario)

    @pytest.mark.parametrize("is_announced", [True, False])
    def test_started_entry_uses_no_endpoint_that_leaves_or_has_left(self, is_announced):
        async def scenario(fleet: PlatformFleet) -> None:
            await start_fleet(fleet)
            await fleet.add_worker("near-2")
            for entry in fleet.entries:
                state = entry.state
                await fleet.until(
                    lambda state=state: len(state.roster.records_by_id) == 3
                )
            copy = fleet.store.copy()
            leaving = fleet.workers["near"]
            if is_announced:
                fleet.list_worker(leaving, state="draining")
            else:
                fleet.store.remove("servers", "near")
            await curio.sleep(1.2)
            await restore(fleet, copy)
            restored_at = time.monotonic()
            await restart(fleet)
            arrivals = leaving.arrivals
            replies = await call_during(fleet, 2.0)
            assert {status for status, _ in replies} == {200}
            assert leaving.arrivals == arrivals
            roster = fleet.entries[STARTED].state.roster
            remaining_s = restored_at + SETTLED_S - time.monotonic()
            await fleet.until(
                lambda: not roster.records_by_id["near"].is_draining, remaining_s
            )

        run_fleet(scenario)


class TestVersions:
    def test_entry_and_agent_that_start_go_by_the_version_named(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await start_fleet(fleet)
            copy = fleet.store.copy()
            fleet.store.write("versions", MODEL, {"model": MODEL, "version": 2})
            for entry in fleet.entries:
                await fleet.until(lambda state=entry.state: state.target_by_model)
            await curio.sleep(0.5)
            await restore(fleet, copy)
            engine = await fleet.add_engine("e-1", version=1)
            agent = await fleet.add_agent(engine)
            await restart(fleet)
            state = fleet.entries[STARTED].state
            assert state.target_by_model[MODEL].version == 2
            await fleet.until(
                lambda: state.announcements.list_floors(time.monotonic()), 3.0
            )
            assert state.announcements.list_floors(time.monotonic()) == {MODEL: 2}
            await fleet.until(lambda: engine.version == 2, 4.0)
            assert agent.state.target_by_model[MODEL].version == 2

        run_fleet(scenario, version_ms=3_000.0)

    def test_agent_tells_entries_that_have_all_started_again(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await start_fleet(fleet)
            engine = await fleet.add_engine("e-1", version=1)
            agent = await fleet.add_agent(engine)
            await fleet.until(lambda: agent.state.is_initialized)
            copy = fleet.store.copy()
            fleet.store.write("versions", MODEL, {"model": MODEL, "version": 2})
            await fleet.until(lambda: engine.version == 2, 4.0)
            for entry in fleet.entries:
                await entry.kill()
            await restore(fleet, copy)
            for number in range(3):
                entry = await fleet.restart_entry(number)
                await fleet.until(lambda state=entry.state: state.target_by_model, 3.0)

        run_fleet(scenario, version_ms=3_000.0)

    def test_started_agent_orders_no_older_version_than_its_engine_has(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await start_fleet(fleet)
            fleet.store.write("versions", MODEL, {"model": MODEL, "version": 2})
            await curio.sleep(0.3)
            copy = fleet.store.copy()
            fleet.store.write("versions", MODEL, {"model": MODEL, "version": 3})
            await curio.sleep(0.3)
            for entry in fleet.entries:
                await entry.kill()
            await restore(fleet, copy)
            engine = await fleet.add_engine("e-1", version=3)
            for number in range(3):
                await fleet.restart_entry(number)
            await fleet.add_agent(engine)
            for _ in range(20):
                assert engine.version == 3
                await curio.sleep(0.1)

        run_fleet(scenario, version_ms=3_000.0)


class TestPeersKnown:
    def test_peers_known_only_by_seeds_are_asked(self):
        """The copy is from before any entry had registered."""

        async def scenario(fleet: PlatformFleet) -> None:
            for stand_in in (fleet.store, fleet.origin):
                await fleet.open(stand_in)
            fleet.tenants = [build_tenant(TEAM, KEY, OTHER_KEY)]
            fleet.configure()
            copy = fleet.store.copy()
            for _ in range(3):
                await fleet.add_entry()
            for entry in fleet.entries:
                state = entry.state
                await fleet.until(
                    lambda state=state: len(state.peers.members_by_name) == 2
                )
            fleet.tenants = [build_tenant(TEAM, KEY)]
            await configure_everywhere(fleet)
            await restore(fleet, copy)
            for name in list(fleet.store.objects):
                if name[0] == "members":
                    fleet.store.remove(*name)
            await restart(fleet)
            reply = await fleet.call("/look/1", entry=STARTED, key=OTHER_KEY)
            assert reply.status == 401

        run_fleet(scenario)

    def test_entry_starts_though_no_peer_answers(self):
        async def hang(*args) -> None:
            await curio.sleep(60.0)

        async def scenario(fleet: PlatformFleet) -> None:
            await start_fleet(fleet)
            for number in PEERS:
                for server in fleet.entries[number]._servers:
                    server._handler = hang
            await restart(fleet)
            assert (await fleet.call("/look/1", entry=STARTED)).status == 200

        run_fleet(scenario)

    def test_entries_that_all_start_at_once_do_not_wait(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await start_fleet(fleet)
            began_at = time.monotonic()
            await fleet.restart_all()
            assert time.monotonic() - began_at < START_S

        run_fleet(scenario)

    def test_entry_takes_no_callers_before_a_peer_has_answered(self, monkeypatch):
        serve = PeerQuestions.serve

        async def serve_slowly(*args) -> None:
            await curio.sleep(ASK_BOUND_S / 2)
            await serve(*args)

        async def scenario(fleet: PlatformFleet) -> None:
            await start_fleet(fleet)
            copy = fleet.store.copy()
            fleet.tenants = [build_tenant(TEAM, KEY)]
            await configure_everywhere(fleet)
            await restore(fleet, copy)
            monkeypatch.setattr(PeerQuestions, "serve", serve_slowly)
            entry = await fleet.restart_entry(STARTED)
            await fleet.until(lambda: entry.state.has_configuration, START_S)
            address = Address.parse(entry.settings.listen.readiness)
            ready = await fetch(address, "GET", "/", timeout_s=1.0)
            assert ready.unwrap().status == 503
            statuses = [
                status for status, _ in await call_during(fleet, 1.0, key=OTHER_KEY)
            ]
            assert set(statuses) == {503, 401}
            ready = await fetch(address, "GET", "/", timeout_s=1.0)
            assert ready.unwrap().status == 200

        run_fleet(scenario)

    def test_peer_that_answers_late_is_still_heard(self, monkeypatch):
        serve = PeerQuestions.serve

        async def serve_late(*args) -> None:
            await curio.sleep(ASK_BOUND_S * 2)
            await serve(*args)

        async def scenario(fleet: PlatformFleet) -> None:
            await start_fleet(fleet)
            copy = fleet.store.copy()
            fleet.store.write("evacuations", "zone-a", {})
            for entry in fleet.entries:
                await fleet.until(lambda state=entry.state: state.evacuated_zones)
            await restore(fleet, copy)
            monkeypatch.setattr(PeerQuestions, "serve", serve_late)
            await restart(fleet)
            state = fleet.entries[STARTED].state
            await fleet.until(lambda: state.evacuated_zones, START_S)

        run_fleet(scenario)

    def test_calm_start_costs_few_questions_and_no_later_ones(self, monkeypatch):
        serve = PeerQuestions.serve
        questions = []

        async def count(*args) -> None:
            questions.append(time.monotonic())
            await serve(*args)

        monkeypatch.setattr(PeerQuestions, "serve", count)

        async def scenario(fleet: PlatformFleet) -> None:
            await start_fleet(fleet)
            for entry in fleet.entries:
                # As entries that have run for long.
                entry.state.takeover.note_informed()
            await curio.sleep(1.5)
            questions.clear()
            await restart(fleet)
            assert len(questions) == 1
            fleet.configure()
            fleet.store.write("versions", MODEL, {"model": MODEL, "version": 2})
            await curio.sleep(3.0)
            assert len(questions) == 1

        run_fleet(scenario)
