"""What processes tell each other that a restored store may have lost.

Guards against answers that end newer knowledge, and questions that feed themselves.
"""

import math
import time
import zlib

import curio
import msgspec
import pytest
from returns.result import Failure

from tamaracktray.beacons import Beacon, decode_beacon, encode_beacon
from tamaracktray.engines import VersionTarget
from tamaracktray.events import Tick
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
    ask_in_turn,
)
from tamaracktray.peers import Member
from tamaracktray.positions import Position
from tamaracktray.roster import EndpointRecord
from tamaracktray.routes import RoutingTable
from tamaracktray.snapshots import Collection
from tamaracktray.takeover import add_in_force, build_report, list_peers
from tamaracktray.types import Address, Role

MODEL = "kiln-1"
ADDRESS = Address("10.0.0.9", 80)


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

    def test_processes_do_not_all_ask_the_same_peer(self):
        members = [
            Member(f"m-{number}", "zone-a", Address(f"10.0.1.{number}", 80))
            for number in range(8)
        ]
        first = set()
        for number in range(40):
            state = build_state(f"entry-{number}")
            state.peers.update_members(0.0, members)
            listed = list_peers(state, ADDRESS, [members[0].address, ADDRESS])
            assert set(listed) == {member.address for member in members}
            assert len(listed) == len(members)
            first.add(listed[0])
        assert len(first) > len(members) / 2

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

    def test_process_that_still_asks_names_no_versions(self):
        state = build_state()
        beacon = Beacon("entry-0", 1, 1, {}, {})
        assert add_in_force(state, 1.0, beacon).routing_version == 7
        state.takeover.begin(5.0)
        assert add_in_force(state, 1.0, beacon) == beacon

    def test_beacon_without_the_new_fields_is_read(self):
        fields = msgspec.msgpack.decode(encode_beacon(Beacon("a", 1, 1, {}, {})))
        shorter = msgspec.msgpack.encode(fields[:-3])
        assert decode_beacon(shorter).unwrap().routing_version == 0
