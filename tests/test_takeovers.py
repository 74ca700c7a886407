"""A process that starts beside a store that was restored from an older copy.

Guards against a process that goes by the copy although its peers have in force what the
store has lost.
"""

import math
import time
import zlib

import curio
import msgspec
import pytest
from returns.result import Failure

from platforms import KEY, TEAM, PlatformFleet, run_fleet
from tamaracktray.beacons import Beacon, decode_beacon, encode_beacon
from tamaracktray.engines import VersionTarget
from tamaracktray.events import Tick
from tamaracktray.exchange import fetch
from tamaracktray.gateway_state import GatewayBounds, GatewayState
from tamaracktray.in_force import InForceReport, decode_report, encode_report
from tamaracktray.node_events import (
    AskPeer,
    AskPeers,
    BeaconReceived,
    CollectionListed,
    InForceReported,
    LogTakeover,
    TakeoverEnded,
)
from tamaracktray.node_reducer import reduce_node
from tamaracktray.node_state import NodeState
from tamaracktray.objects import StoredObject
from tamaracktray.peer_questions import (
    ASK_BOUND_S,
    ASK_STAGGER_S,
    Outcome,
    PeerQuestions,
    ask_in_turn,
)
from tamaracktray.peers import Member
from tamaracktray.positions import Position
from tamaracktray.roster import EndpointRecord
from tamaracktray.routes import RoutingTable
from tamaracktray.snapshots import Collection
from tamaracktray.takeover import build_report
from tamaracktray.types import Address, Role
from tamaracktray_emulator.platform.documents import build_tenant
from tamaracktray_emulator.platform.store import StoreCopy

OTHER_KEY = "key-2"
MODEL = "kiln-1"
AWAY_S = 0.3
ADDRESS = Address("10.0.0.9", 80)
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


class TestQuestions:
    def ask(self, answers: list[tuple[float, bool]]) -> tuple[Outcome, float, int]:
        """Ask peers that answer after a time; return outcome, time and questions."""
        asked: list[Address] = []

        async def ask(address: Address) -> bool:
            asked.append(address)
            delay_s, is_informed = answers[address.port]
            await curio.sleep(delay_s)
            return is_informed

        async def spawn(function, *args) -> None:
            await curio.spawn(function, *args, daemon=True)

        async def main() -> tuple[Outcome, float, int]:
            began_at = time.monotonic()
            addresses = [Address("10.0.0.1", port) for port in range(len(answers))]
            outcome = await ask_in_turn(addresses, ask, spawn)
            return outcome, time.monotonic() - began_at, len(asked)

        return curio.run(main)

    def test_first_informed_peer_suffices(self):
        outcome, _, asked = self.ask([(0.01, True), (0.0, True), (0.0, True)])
        assert (outcome, asked) == (Outcome.HEARD, 1)

    def test_silent_peers_do_not_hide_one_that_answers(self):
        outcome, took_s, _ = self.ask([(60.0, True)] * 3 + [(0.0, True)])
        assert outcome is Outcome.HEARD
        assert took_s < ASK_BOUND_S

    def test_peers_that_know_nothing_cost_no_wait(self):
        outcome, took_s, asked = self.ask([(0.0, False)] * 5)
        assert (outcome, asked) == (Outcome.ALONE, 5)
        assert took_s < ASK_STAGGER_S

    def test_no_peers_cost_no_wait(self):
        assert self.ask([])[0] is Outcome.ALONE

    def test_silent_peers_are_not_waited_for_beyond_the_bound(self):
        outcome, took_s, _ = self.ask([(60.0, True)] * 40)
        assert outcome is Outcome.UNHEARD
        assert took_s < ASK_BOUND_S + 0.2


def build_state(name: str = "entry-0") -> NodeState:
    """Return an entry that ran before the store was restored."""
    state = NodeState(
        name,
        Role.ENTRY,
        "zone-a",
        {"zone-a": "region-a"},
        now=0.0,
        version_bound_s=8.0,
        grace_s=8.0,
        quarantine_s=300.0,
    )
    state.gateway = GatewayState(name, GatewayBounds(0.2, 100, 10.0, 1.5))
    for collection in Collection:
        table = [StoredObject("main", 5, RoutingTable(7))]
        items = table if collection is Collection.ROUTING else []
        reduce_node(state, CollectionListed(0.0, collection, items, 5, 1))
    return state


def report(state: NodeState, now: float, known_version: int = 0) -> InForceReport:
    """Return a report as a peer decodes it."""
    built = build_report(state, now, ADDRESS, known_version)
    return decode_report(encode_report(built)).unwrap()


class TestReports:
    def test_process_that_still_asks_reports_nothing(self):
        state = build_state()
        state.takeover.begin(5.0)
        assert report(state, 1.0) == InForceReport("entry-0")

    def test_process_that_heard_nobody_is_not_informed(self):
        state = build_state()
        state.takeover.begin(5.0)
        reduce_node(state, TakeoverEnded(1.0))
        assert not report(state, 1.0).is_informed
        assert report(state, 5.0).is_informed

    def test_table_that_the_peer_knows_is_left_out(self):
        state = build_state()
        assert report(state, 1.0, 6).table == RoutingTable(7)
        assert report(state, 1.0, 7).table is None

    def test_older_table_and_versions_change_nothing(self):
        state, older = build_state(), InForceReport("a", 1, True, 0.0, RoutingTable(6))
        targets = [VersionTarget(MODEL, 3)]
        newer = msgspec.structs.replace(older, table=None, targets=targets)
        older = msgspec.structs.replace(older, targets=[VersionTarget(MODEL, 2)])
        for item in (newer, older):
            reduce_node(state, InForceReported(1.0, item))
        assert state.index.table.version == 7
        assert state.target_by_model[MODEL].version == 3

    def test_settled_process_takes_no_evacuation_from_a_peer_that_settles(self):
        """Its own knowledge is newer: the evacuation may have ended meanwhile."""
        state = build_state()
        peer = InForceReport("a", 1, True, 4.0, zones=["zone-a"])
        reduce_node(state, InForceReported(1.0, peer))
        assert not state.evacuated_zones

    def test_peer_that_has_not_seen_the_restored_store_is_believed(self):
        state = build_state()
        state.takeover.begin(7.0)
        state.store_era.latest = 2
        departed = [("w", 1)]
        peer = InForceReport("a", 1, True, zones=["zone-a"], departed=departed)
        reduce_node(state, InForceReported(1.0, peer))
        assert state.evacuated_zones == {"zone-a"}
        record = EndpointRecord("w", "s", ADDRESS, "zone-a", 4, start_time_ms=1)
        item = StoredObject("w", 6, record)
        reduce_node(state, CollectionListed(1.1, Collection.ENDPOINTS, [item], 6, 2))
        assert state.roster.records_by_id["w"].is_draining

    @pytest.mark.parametrize("settle_s", [-1.0, 1e9])
    def test_settle_time_of_a_peer_is_bounded(self, settle_s):
        state = build_state()
        state.takeover.begin(5.0)
        reduce_node(state, InForceReported(1.0, InForceReport("a", 1, True, settle_s)))
        assert state.store_era.settle_deadline <= 1.0 + state.crashes.verdict_s

    @pytest.mark.parametrize(
        "body",
        [
            b"",
            b"x",
            zlib.compress(b"x"),
            encode_report(InForceReport("a", settle_s=math.nan)),
            encode_report(InForceReport("a", ages={MODEL: [(2, -1.0)]})),
            encode_report(
                InForceReport("a", members=[Member("b", "z", Address("", 0))])
            ),
        ],
    )
    def test_unreadable_report_is_refused(self, body):
        assert isinstance(decode_report(body), Failure)

    def test_peer_that_tells_nothing_new_is_not_logged_as_newer(self):
        def list_logged(state: NodeState) -> list[LogTakeover]:
            effects = reduce_node(state, InForceReported(1.0, peer))[1]
            return [item for item in effects if isinstance(item, LogTakeover)]

        peer = InForceReport("a", 1, True, 4.0, zones=["zone-a"], departed=[("w", 1)])
        state = build_state()
        state.takeover.begin(5.0)
        assert [(item.zones, item.departed) for item in list_logged(state)] == [
            (["zone-a"], 1)
        ]
        assert not list_logged(state)

    def test_later_era_is_asked_about_once(self):
        state = build_state()
        effects = reduce_node(state, Tick(1.0, store_era=2))[1]
        assert sum(isinstance(item, AskPeers) for item in effects) == 1
        effects = reduce_node(state, Tick(1.1, store_era=2))[1]
        assert not any(isinstance(item, AskPeers) for item in effects)


class TestBeacons:
    def receive(self, state: NodeState, **fields) -> bool:
        """Return whether a beacon makes an entry ask its sender."""
        changed = {Collection.ROUTING: Position(1, 5), Collection.VERSIONS: Position()}
        beacon = Beacon("a", 1, 1, {}, **({"changed_by_collection": changed} | fields))
        beacon = decode_beacon(encode_beacon(beacon)).unwrap()
        effects = reduce_node(state, BeaconReceived(1.0, beacon, ADDRESS))[1]
        return any(isinstance(item, AskPeer) for item in effects)

    def test_newer_configuration_beside_the_same_list_is_asked_for(self):
        assert self.receive(build_state(), routing_version=8)
        assert not self.receive(build_state(), routing_version=7)
        assert not self.receive(build_state())

    def test_newer_version_beside_the_same_list_is_asked_for(self):
        assert self.receive(build_state(), target_by_model={MODEL: 2})

    def test_change_that_the_list_will_show_is_not_asked_for(self):
        changed = {Collection.ROUTING: Position(1, 6)}
        fields = {"changed_by_collection": changed, "routing_version": 8}
        assert not self.receive(build_state(), **fields)

    def test_uninformed_process_asks_each_start_of_a_peer_once(self):
        state = build_state()
        state.takeover.begin(5.0)
        reduce_node(state, TakeoverEnded(0.5))
        assert self.receive(state, routing_version=7, is_informed=True)
        beacon = Beacon(
            "a", 1, 2, {}, {Collection.ROUTING: Position(1, 5)}, is_informed=True
        )
        effects = reduce_node(state, BeaconReceived(1.0, beacon, ADDRESS))[1]
        assert not any(isinstance(item, AskPeer) for item in effects)

    def test_beacon_without_the_new_fields_is_read(self):
        fields = msgspec.msgpack.decode(encode_beacon(Beacon("a", 1, 1, {}, {})))
        shorter = msgspec.msgpack.encode(fields[:-3])
        assert decode_beacon(shorter).unwrap().routing_version == 0
