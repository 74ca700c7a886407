"""Work per event, counted, which must not grow with the size of the fleet.

Guards against events that place every queued call or scan every endpoint again.
"""

import curio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from gateways import (
    ORDERS,
    SAFE,
    Gateway,
    build_call,
    build_entry_state,
    engine,
    worker,
)
from platforms import PlatformFleet, run_fleet
from tamaracktray import call_context, gateway_fleet, node_process, node_reducer
from tamaracktray.beacons import Beacon, EndpointStatus, encode_beacon
from tamaracktray.calls import SendCall
from tamaracktray.endpoint_loads import PEER_COUNT_VALID_S, EndpointLoad
from tamaracktray.node_events import BeaconReceived
from tamaracktray.outcomes import AttemptPhase
from tamaracktray.ownership import FleetNode
from tamaracktray.placement import choose_endpoint
from tamaracktray.suspicions import Incarnation
from tamaracktray.types import Address

ENDPOINTS = 29
WAITING = 50


@pytest.fixture
def choices(monkeypatch) -> list[str]:
    """The ids of the calls for which the choice of an endpoint was run."""
    chosen: list[str] = []

    def choose(now, call, *args, **options):
        chosen.append(call.id)
        return choose_endpoint(now, call, *args, **options)

    monkeypatch.setattr(gateway_fleet, "choose_endpoint", choose)
    return chosen


class TestWaitingCalls:
    """Events must not trigger placement of queued calls that cannot be sent."""

    def build(self, *others) -> Gateway:
        gateway = Gateway(*(engine(f"e{n}") for n in range(ENDPOINTS)), *others)
        for load in gateway.state.loads_by_id.values():
            if load.record.service != ORDERS:
                load.record_peer_load(0.0, "peer", load.record.max_batch)
        for number in range(WAITING):
            assert gateway.arrive(build_call(f"w{number}")) == []
        assert len(gateway.state.waiting) == WAITING
        return gateway

    def test_no_call_is_placed_while_no_endpoint_has_capacity(self, choices):
        gateway = self.build()
        choices.clear()
        assert gateway.tick(0.01) == []
        assert choices == []

    def test_no_call_is_placed_for_capacity_that_it_cannot_use(self, choices):
        gateway = self.build(worker("x"), engine("old", version=0))
        choices.clear()
        assert gateway.tick(0.01) == []
        assert choices == []

    def test_one_free_slot_causes_one_placement(self, choices):
        gateway = self.build()
        choices.clear()
        gateway.load("e3").record_peer_load(0.01, "peer", 3)
        sent = [effect for effect in gateway.tick(0.01) if isinstance(effect, SendCall)]
        assert [effect.endpoint_id for effect in sent] == ["e3"]
        assert len(choices) == 1

    def test_end_of_a_call_frees_a_slot_for_one(self, choices):
        gateway = self.build(worker("x", max_batch=1))
        first, second = build_call("first", SAFE), build_call("second", SAFE)
        assert len(gateway.arrive(first)) == 1
        assert gateway.arrive(second) == []
        choices.clear()
        sent = gateway.end(first, "x", AttemptPhase.ANSWERED)
        assert [effect.call_id for effect in sent] == ["second"]
        assert choices == ["second"]


class TestBeacons:
    """An entry of a large fleet receives hundreds of beacons a second."""

    def receive(
        self, gateway: Gateway, name: str, *, number: int = 1, **fields
    ) -> list:
        state = build_entry_state(gateway.state)
        beacon = Beacon(name, 1, number, {}, {}, **fields)
        event = BeaconReceived(gateway.now, beacon, Address("10.0.1.1", 1))
        return node_reducer.reduce_node(state, event)[1]

    def test_load_beacon_does_not_change_known_revisions(self):
        """Guards against mistaking the sender for a peer that lost its state."""
        state = build_entry_state()
        state.newer_peer = "peer"
        state.behind_since = 0.0
        beacon = Beacon("peer", 1, 1, {}, {}, {"a": 1})
        event = BeaconReceived(0.1, beacon, Address("10.0.1.1", 1))
        assert node_reducer.reduce_node(state, event)[1] == []
        assert state.newer_peer == "peer"

    @pytest.mark.parametrize(
        "fields",
        [
            {"in_flight_by_endpoint": {"a": 1}},
            {"status": EndpointStatus("10.0.0.1:1001", False, {})},
        ],
    )
    def test_placement_context_is_not_built_while_no_call_waits(
        self, monkeypatch, fields
    ):
        built: list[float] = []
        monkeypatch.setattr(
            call_context,
            "build_placement_context",
            lambda state, now: built.append(now),
        )
        assert self.receive(Gateway(engine("a")), "peer", **fields) == []
        assert built == []

    def test_capacity_is_freed_when_a_peer_reports_no_more_calls(self):
        gateway = Gateway(engine("a"), engine("b"))
        self.receive(gateway, "peer", in_flight_by_endpoint={"a": 4, "b": 4})
        assert gateway.arrive(build_call("x")) == []
        self.receive(gateway, "peer", number=2, in_flight_by_endpoint={"a": 4})
        sent = gateway.tick(0.01)
        assert [effect.endpoint_id for effect in sent] == ["b"]

    def test_status_applies_only_to_the_engine_at_its_address(self):
        gateway = Gateway(engine("a"), engine("bb"))
        status = EndpointStatus("10.0.0.1:1002", True, {})
        self.receive(gateway, "agent", status=status)
        assert not gateway.load("a").is_swapping
        assert gateway.load("bb").is_swapping

    def test_beacon_is_encoded_once_for_all_peers(self, monkeypatch):
        encoded: list[Beacon] = []

        def encode(beacon: Beacon) -> bytes:
            encoded.append(beacon)
            return encode_beacon(beacon)

        monkeypatch.setattr(node_process, "encode_beacon", encode)

        async def check(fleet: PlatformFleet) -> None:
            await fleet.start(entries=4)
            entry = fleet.entries[0]
            await fleet.until(lambda: len(entry.state.peers.members_by_name) == 3)
            encoded.clear()
            await entry.broadcast_beacon()
            assert [beacon.name for beacon in encoded] == ["entry-0"]

        run_fleet(check)

    @pytest.mark.parametrize("address", ["", "nowhere", "10.0.0.1:x"])
    def test_status_with_an_invalid_address_is_ignored(self, address):
        gateway = Gateway(engine("a"))
        self.receive(gateway, "agent", status=EndpointStatus(address, True, {}))
        assert not gateway.load("a").is_swapping


class TestStoreCalls:
    """Calls to the platform's store are billed, so their number is limited."""

    def test_starting_entries_do_not_read_each_member_separately(self):
        entries = 8

        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.open(fleet.store)
            fleet.configure()
            for _ in range(entries):
                await fleet.add_entry()
                await curio.sleep(0.05)
            await fleet.until(
                lambda: all(
                    len(entry.state.peers.members_by_name) == entries - 1
                    for entry in fleet.entries
                )
            )
            # Each entry writes its record, reads the list once and then only changes.
            assert fleet.store.calls_by_kind["members"] <= 5 * entries

        run_fleet(scenario)


class TestLargeFleets:
    """The cost of one event must not depend on the size of the fleet."""

    def build(self) -> Gateway:
        return Gateway(*(engine(f"e{n}") for n in range(ENDPOINTS)))

    def test_load_report_updates_only_the_endpoints_that_it_names(self, monkeypatch):
        touched: list[str] = []
        record_peer_load = EndpointLoad.record_peer_load

        def note(load, now, peer, count):
            touched.append(load.record.id)
            record_peer_load(load, now, peer, count)

        monkeypatch.setattr(EndpointLoad, "record_peer_load", note)
        gateway = self.build()
        gateway.state.record_peer_counts(0.0, "peer", {"e1": 2, "e2": 1})
        assert sorted(touched) == ["e1", "e2"]
        touched.clear()
        gateway.state.record_peer_counts(0.1, "peer", {"e2": 3, "gone": 1})
        assert sorted(touched) == ["e1", "e2"]
        assert gateway.load("e1").count_running(0.1) == 0
        assert gateway.load("e2").count_running(0.1) == 3

    def test_counts_of_peers_add_up_and_expire(self):
        gateway = self.build()
        gateway.state.record_peer_counts(0.0, "p", {"e1": 2})
        gateway.state.record_peer_counts(0.6, "q", {"e1": 3})
        load = gateway.load("e1")
        assert load.count_running(0.9) == 5
        assert load.count_running(PEER_COUNT_VALID_S + 0.1) == 3
        gateway.state.record_peer_counts(PEER_COUNT_VALID_S + 0.2, "p", {"e1": 1})
        assert load.count_running(PEER_COUNT_VALID_S + 0.3) == 4
        assert load.count_running(2 * PEER_COUNT_VALID_S + 0.3) == 0

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["p", "q", "r"]),
                st.dictionaries(st.sampled_from(["e0", "e1", "x"]), st.integers(0, 5)),
                st.floats(0.0, 0.8),
            ),
            max_size=20,
        )
    )
    def test_running_calls_are_the_sum_of_the_valid_counts(self, beacons):
        gateway = self.build()
        counts_by_endpoint: dict[str, dict[str, tuple[int, float]]] = {
            "e0": {},
            "e1": {},
        }
        now = 0.0
        for peer, counts, gap_s in beacons:
            now += gap_s
            gateway.state.record_peer_counts(now, peer, counts)
            for name, by_peer in counts_by_endpoint.items():
                by_peer[peer] = (counts.get(name, 0), now + PEER_COUNT_VALID_S)
                expected = sum(count for count, end in by_peer.values() if end > now)
                assert gateway.load(name).count_running(now) == expected

    def test_ownership_is_recomputed_only_after_a_change(self, monkeypatch):
        computed: list[str] = []
        find = gateway_fleet.find_owned_endpoints

        def find_owned_endpoints(name, entries, endpoints):
            computed.append(name)
            return find(name, entries, endpoints)

        monkeypatch.setattr(gateway_fleet, "find_owned_endpoints", find_owned_endpoints)
        gateway = self.build()
        gateway.state.entries = (FleetNode("entry-0", "region-a"),)
        gateway_fleet.update_ownership(gateway.context)
        assert len(computed) == 1
        gateway_fleet.update_ownership(gateway.context)
        assert len(computed) == 1
        gateway.load("e3").note_status(0.0, is_swapping=True, version_by_model={})
        gateway_fleet.update_ownership(gateway.context)
        assert len(computed) == 2
        gateway.follow(*(engine(f"e{n}") for n in range(ENDPOINTS - 1)))
        assert len(computed) == 3


class TestSuspicions:
    def test_suspected_endpoints_cause_no_placement_on_a_tick(self, monkeypatch):
        gateway = Gateway(*(worker(f"w{n}", max_batch=1) for n in range(ENDPOINTS)))
        for number in range(ENDPOINTS + WAITING):
            gateway.arrive(build_call(str(number), SAFE))
        assert len(gateway.state.waiting) == WAITING
        gateway.crashes.suspect(0.0, "broken", Incarnation("w0"))
        looked: list[str] = []
        monkeypatch.setattr(
            gateway_fleet, "is_available", lambda *args: looked.append(args[1].id)
        )
        assert gateway.tick(0.01) == []
        assert looked == []
