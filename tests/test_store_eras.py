"""A store that comes back from an older copy, and gives revisions out again.

Guards against processes that ignore later changes, mix two histories of the store, or
use again what had been withdrawn before.
"""

import time

import curio
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from platforms import KEY, TEAM, PlatformFleet, run_fleet
from tamaracktray.beacons import Beacon
from tamaracktray.crash_watch import SUSPICIONS_TO_QUARANTINE, CrashWatch
from tamaracktray.engines import VersionTarget
from tamaracktray.events import Tick
from tamaracktray.exceptions import PlatformUnavailableError
from tamaracktray.gateway_state import GatewayBounds, GatewayState
from tamaracktray.node_events import (
    BeaconReceived,
    CollectionChanged,
    CollectionListed,
    RecordAnnouncements,
    RegisterMember,
    RelistCollections,
    SnapshotsReceived,
)
from tamaracktray.node_reducer import reduce_node
from tamaracktray.node_state import NodeState
from tamaracktray.objects import StoredObject
from tamaracktray.peers import Member
from tamaracktray.platform.store import PlatformStore
from tamaracktray.positions import Position
from tamaracktray.quarantine_records import (
    RECORD_DELAY_S,
    QuarantineRecord,
    RecordedSuspicion,
    RecordQuarantine,
    RemoveQuarantine,
)
from tamaracktray.roster import EndpointRecord
from tamaracktray.snapshots import Collection, Snapshot, SnapshotCache
from tamaracktray.suspicions import Incarnation
from tamaracktray.types import Address, Role
from tamaracktray_emulator.platform import store as store_stand_in
from tamaracktray_emulator.platform.documents import build_tenant
from tamaracktray_emulator.platform.store import PlatformStoreStandIn, StoreCopy

OTHER_KEY = "key-2"
AWAY_S = 0.3
OPERATOR_KINDS = ("config", "evacuations", "versions")
ALL_KINDS = (*OPERATOR_KINDS, "servers")
APPLY_S = 3.0
DRAIN_S = 3.0
SETTLED_S = 7.0
MODEL = "kiln-1"
SENDER = Address("10.0.0.9", 80)


async def restore(
    fleet: PlatformFleet, copy: StoreCopy, kinds: tuple[str, ...] = ALL_KINDS
) -> None:
    """Restore the store from a copy; writers of ``kinds`` repeat their changes."""
    newest = fleet.store.copy()
    await fleet.store.go_away()
    await curio.sleep(AWAY_S)
    fleet.store.restore(copy)
    fleet.store.repeat(newest, kinds)


async def start_fleet(fleet: PlatformFleet, entries: int = 2) -> None:
    """Start entries that know each other, and two workers."""
    fleet.tenants = [build_tenant(TEAM, KEY, OTHER_KEY)]
    await fleet.start(entries=entries)
    await fleet.add_worker("w-1")
    await fleet.add_worker("w-2")
    for entry in fleet.entries:
        state = entry.state
        await fleet.until(lambda state=state: len(state.roster.records_by_id) == 2)
        await fleet.until(
            lambda state=state: len(state.peers.members_by_name) == entries - 1
        )


def change_often(fleet: PlatformFleet, times: int = 6) -> None:
    """Write changes that the store loses when it is restored."""
    for _ in range(times):
        fleet.configure()


class TestLaterChanges:
    @pytest.mark.parametrize("restores", [1, 2])
    def test_changes_after_a_restore_are_not_ignored(self, restores):
        async def scenario(fleet: PlatformFleet) -> None:
            await start_fleet(fleet)
            for _ in range(restores):
                copy = fleet.store.copy()
                change_often(fleet)
                await curio.sleep(0.6)
                await restore(fleet, copy)
            await curio.sleep(1.0)
            fleet.tenants = [build_tenant(TEAM, KEY)]
            fleet.configure()
            fleet.list_worker(fleet.workers["w-1"], state="draining")
            await curio.sleep(max(APPLY_S, DRAIN_S))
            arrivals = fleet.workers["w-1"].arrivals
            for number in range(6):
                entry = number % 2
                dropped = await fleet.call(
                    "/order/1", f"d-{number}", entry=entry, key=OTHER_KEY
                )
                kept = await fleet.call("/order/1", f"k-{number}", entry=entry)
                assert (dropped.status, kept.status) == (401, 200)
            assert fleet.workers["w-1"].arrivals == arrivals

        run_fleet(scenario)

    def test_revision_given_out_again_does_not_mix_two_histories(self):
        """The watched revision is there again, so no watch is refused."""

        async def scenario(fleet: PlatformFleet) -> None:
            await start_fleet(fleet)
            copy = fleet.store.copy()
            await fleet.add_worker("lost")
            for entry in fleet.entries:
                state = entry.state
                await fleet.until(
                    lambda state=state: "lost" in state.roster.records_by_id
                )
            await fleet.store.go_away()
            fleet.store.restore(copy)
            change_often(fleet, 20)
            for entry in fleet.entries:
                await fleet.until(
                    lambda state=entry.state: (
                        set(state.roster.records_by_id) == {"w-1", "w-2"}
                    ),
                    SETTLED_S,
                )

        run_fleet(scenario)

    def test_configuration_in_force_does_not_go_back(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await start_fleet(fleet)
            copy = fleet.store.copy()
            fleet.tenants = [build_tenant(TEAM, KEY)]
            fleet.configure()
            version = fleet.version
            for entry in fleet.entries:
                await fleet.until(
                    lambda state=entry.state: state.index.table.version == version
                )
            await restore(fleet, copy, kinds=("servers",))
            for number in range(20):
                reply = await fleet.call(
                    "/order/1", f"id-{number}", entry=number % 2, key=OTHER_KEY
                )
                assert reply.status == 401
                await curio.sleep(0.1)

        run_fleet(scenario)

    def test_entry_cut_off_from_the_store_follows_a_peer_into_the_era(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await start_fleet(fleet)
            cut_off = fleet.entries[0]
            address = cut_off.store._address
            copy = fleet.store.copy()
            change_often(fleet)
            await curio.sleep(0.6)
            cut_off.store._address = Address(address.host, 9)
            await restore(fleet, copy)
            await curio.sleep(0.5)
            fleet.configure()
            version = fleet.version
            await fleet.until(
                lambda: cut_off.state.index.table.version == version, APPLY_S
            )

        run_fleet(scenario)

    def test_slow_answers_around_a_restore_do_not_hide_later_changes(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await start_fleet(fleet)
            copy = fleet.store.copy()
            change_often(fleet)
            await curio.sleep(0.6)
            fleet.store.faults.delay_s = 0.4
            await restore(fleet, copy)
            fleet.store.faults.delay_s = 0.0
            fleet.configure()
            version = fleet.version
            for entry in fleet.entries:
                await fleet.until(
                    lambda state=entry.state: state.index.table.version == version,
                    APPLY_S,
                )

        run_fleet(scenario)

    def test_agents_follow_versions_named_after_a_restore(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await start_fleet(fleet)
            engine = await fleet.add_engine("e-1")
            agent = await fleet.add_agent(engine)
            await fleet.until(lambda: agent.state.staging.report)
            await fleet.until(lambda: agent.state.is_initialized)
            copy = fleet.store.copy()
            fleet.store.write("versions", MODEL, {"model": MODEL, "version": 2})
            await fleet.until(lambda: engine.version == 2, 8.0)
            change_often(fleet)
            await curio.sleep(0.6)
            await restore(fleet, copy)
            await curio.sleep(0.6)
            fleet.store.write("versions", MODEL, {"model": MODEL, "version": 3})
            await fleet.until(lambda: engine.version == 3, 8.0)

        run_fleet(scenario, version_ms=3_000.0)


class TestDepartures:
    @pytest.mark.parametrize("is_announced", [True, False])
    def test_endpoint_that_leaves_gets_no_calls_by_an_older_record(self, is_announced):
        async def scenario(fleet: PlatformFleet) -> None:
            await start_fleet(fleet)
            leaving = fleet.workers["w-1"]
            copy = fleet.store.copy()
            if is_announced:
                fleet.list_worker(leaving, state="draining")
            else:
                fleet.store.remove("servers", "w-1")
            await curio.sleep(1.2)
            await restore(fleet, copy, kinds=("config",))
            arrivals = leaving.arrivals
            for number in range(30):
                reply = await fleet.call(
                    "/look/1", f"id-{number}", entry=number % 2, method="GET"
                )
                assert reply.body == b"answer of w-2"
                await curio.sleep(0.1)
            assert leaving.arrivals == arrivals

        run_fleet(scenario)

    def test_endpoint_is_used_again_if_the_store_goes_on_to_list_it(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await start_fleet(fleet, entries=1)
            copy = fleet.store.copy()
            fleet.list_worker(fleet.workers["w-1"], state="draining")
            records = fleet.entries[0].state.roster
            await fleet.until(lambda: records.records_by_id["w-1"].is_draining)
            await restore(fleet, copy, kinds=("config",))
            await fleet.until(
                lambda: not records.records_by_id["w-1"].is_draining, SETTLED_S
            )

        run_fleet(scenario)

    def test_evacuated_zone_gets_no_calls_by_an_older_list(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await start_fleet(fleet, entries=1)
            await fleet.add_worker("far", zone="zone-b")
            state = fleet.entries[0].state
            await fleet.until(lambda: len(state.roster.records_by_id) == 3)
            copy = fleet.store.copy()
            fleet.store.write("evacuations", "zone-a", {})
            await fleet.until(lambda: state.evacuated_zones)
            await restore(fleet, copy, kinds=("config", "servers"))
            for number in range(15):
                reply = await fleet.call("/look/1", f"id-{number}", method="GET")
                assert reply.body == b"answer of far"
                await curio.sleep(0.1)
            fleet.store.write("evacuations", "zone-a", {})
            await curio.sleep(SETTLED_S - 1.5)
            assert state.evacuated_zones == {"zone-a"}
            fleet.store.remove("evacuations", "zone-a")
            await fleet.until(lambda: not state.evacuated_zones)

        run_fleet(scenario)

    def test_endpoint_added_in_the_lost_time_stays_in_use(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await start_fleet(fleet, entries=1)
            copy = fleet.store.copy()
            added = await fleet.add_worker("added")
            roster = fleet.entries[0].state.roster
            await fleet.until(lambda: "added" in roster.records_by_id)
            await restore(fleet, copy, kinds=("config",))
            for _ in range(10):
                assert "added" in roster.records_by_id
                await curio.sleep(0.1)
            fleet.list_worker(added)
            await curio.sleep(SETTLED_S)
            assert "added" in roster.records_by_id

        run_fleet(scenario)


class TestOwnRecords:
    def test_entries_that_the_store_lost_register_again(self):
        async def scenario(fleet: PlatformFleet) -> None:
            empty = fleet.store.copy()
            await start_fleet(fleet, entries=3)
            await restore(fleet, empty)
            names = {("members", entry.state.name) for entry in fleet.entries}
            await fleet.until(lambda: names <= set(fleet.store.objects))
            for entry in fleet.entries:
                assert len(entry.state.peers.members_by_name) == 2

        run_fleet(scenario)

    def test_announcement_time_is_recorded_again(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await start_fleet(fleet)
            copy = fleet.store.copy()
            target = {"model": MODEL, "version": 2}
            fleet.store.write("versions", MODEL, target)

            def read_status() -> dict | None:
                return fleet.store.objects.get(("versions", MODEL), {}).get("status")

            await fleet.until(read_status)
            recorded = read_status()
            await restore(fleet, copy)
            assert read_status() is None
            await fleet.until(read_status)
            ((_, first_s),) = recorded["namings"][-1:]
            ((_, second_s),) = read_status()["namings"][-1:]
            assert abs(first_s - second_s) < 0.05

        run_fleet(scenario, version_ms=8_000.0)


class TestPreconditionsGivenOutAgain:
    """A write succeeds by accident, before any answer has named the new era."""

    def test_announcement_time_is_recorded_for_the_version_in_force(self, monkeypatch):
        write = PlatformStoreStandIn._write

        async def scenario(fleet: PlatformFleet) -> None:
            await start_fleet(fleet)
            copy = fleet.store.copy()
            accidents: list[int] = []

            async def restore_and_write(store, request, responder, kind, name):
                if request.target.endswith(f"/{MODEL}/status") and not accidents:
                    accidents.append(store.objects[kind, MODEL]["metadata"]["revision"])
                    store.restore(copy)
                    store.revision = accidents[0] - 1
                    store.write(kind, MODEL, {"model": MODEL, "version": 3})
                await write(store, request, responder, kind, name)

            monkeypatch.setattr(PlatformStoreStandIn, "_write", restore_and_write)
            fleet.store.write("versions", MODEL, {"model": MODEL, "version": 2})
            await fleet.until(lambda: accidents)
            named_at = time.time()

            def read_named() -> dict[int, float]:
                status = fleet.store.objects["versions", MODEL]["status"] or {}
                return dict(status.get("namings", ()))

            await fleet.until(lambda: 3 in read_named())
            assert abs(read_named()[3] - named_at) < 0.5
            for entry in fleet.entries:
                ages = entry.state.announcements.list_ages(time.monotonic())
                assert [version for version, _ in ages[MODEL]][-1] == 3

        run_fleet(scenario, version_ms=8_000.0)

    def test_quarantine_that_was_removed_is_recorded_again(self):
        state = build_state()
        state.crashes = CrashWatch(300.0, 1.2)
        for number in range(SUSPICIONS_TO_QUARANTINE):
            state.crashes.suspect(1.0, "f", Incarnation(f"e-{number}", 1))

        def list_records(now: float) -> list[str]:
            effects = reduce_node(state, Tick(now, store_era=1))[1]
            records = [item for item in effects if isinstance(item, RecordQuarantine)]
            return [item.fingerprint for item in records]

        record = StoredObject("f", 6, QuarantineRecord())
        event = CollectionChanged(1.1, Collection.QUARANTINES, [record], 6, 1)
        reduce_node(state, event)
        assert list_records(2.0) + list_records(3.0) == []
        removed = msgspec.structs.replace(record, version=7, value=None, deleted=True)
        event = CollectionChanged(3.1, Collection.QUARANTINES, [removed], 7, 1)
        reduce_node(state, event)
        assert list_records(3.2) + list_records(3.2 + RECORD_DELAY_S) == ["f"]


def build_state() -> NodeState:
    state = NodeState(
        "entry-0",
        Role.ENTRY,
        "zone-a",
        {"zone-a": "region-a"},
        now=0.0,
        version_bound_s=8.0,
        grace_s=8.0,
        quarantine_s=300.0,
    )
    state.gateway = GatewayState("entry-0", GatewayBounds(0.2, 100, 10.0, 1.5))
    for collection in Collection:
        reduce_node(state, CollectionListed(0.0, collection, [], 5, 1))
    return state


class TestReducer:
    def list(self, state: NodeState, now: float, era: int, *objects: StoredObject):
        event = CollectionListed(now, Collection.VERSIONS, list(objects), 9, era)
        return reduce_node(state, event)[1]

    def test_first_era_is_no_change(self):
        state = build_state()
        assert state.store_era.latest == 1
        _, effects = reduce_node(state, Tick(0.1, store_era=1))
        assert not any(isinstance(item, RelistCollections) for item in effects)

    @pytest.mark.parametrize(
        "event",
        [
            Tick(1.0, store_era=2),
            CollectionListed(1.0, Collection.MEMBERS, [], 3, 2),
            CollectionChanged(1.0, Collection.MEMBERS, [], 9, 2),
            SnapshotsReceived(1.0, {Collection.MEMBERS: Snapshot(3, 3, {}, 2)}),
            BeaconReceived(
                1.0, Beacon("a", 1, 1, {Collection.MEMBERS: Position(2, 3)}, {}), SENDER
            ),
        ],
        ids=["write", "list", "watch", "peer's snapshots", "peer's beacon"],
    )
    def test_collections_are_listed_again_once_for_each_era(self, event):
        state = build_state()
        effects = reduce_node(state, event)[1]
        relists = [item for item in effects if isinstance(item, RelistCollections)]
        assert [item.era for item in relists] == [2]
        assert sum(isinstance(item, RegisterMember) for item in effects) == 1
        for later in (event, Tick(1.1, store_era=2), Tick(1.2, store_era=1)):
            effects = reduce_node(state, later)[1]
            assert not any(isinstance(item, RelistCollections) for item in effects)

    def test_unknown_positions_of_a_peer_name_no_era(self):
        state = build_state()
        beacon = Beacon("a", 1, 1, {Collection.MEMBERS: Position(7, 0)}, {})
        effects = reduce_node(state, BeaconReceived(1.0, beacon, SENDER))[1]
        assert not any(isinstance(item, RelistCollections) for item in effects)

    def test_no_precondition_of_an_earlier_era_is_used(self):
        state = build_state()
        item = StoredObject(MODEL, 7, VersionTarget(MODEL, 2))
        self.list(state, 1.0, 1, item)
        reduce_node(state, Tick(1.1, store_era=2))
        effects = reduce_node(state, Tick(1.2, store_era=2))[1]
        assert not any(isinstance(item, RecordAnnouncements) for item in effects)
        self.list(state, 1.3, 2, StoredObject(MODEL, 6, VersionTarget(MODEL, 2)))
        effects = reduce_node(state, Tick(1.4, store_era=2))[1]
        writes = [item for item in effects if isinstance(item, RecordAnnouncements)]
        assert [item.revision for item in writes] == [6]

    def test_unneeded_quarantine_of_an_earlier_era_is_not_removed(self):
        state = build_state()
        name, record = "f", QuarantineRecord()
        event = CollectionListed(
            1.0, Collection.QUARANTINES, [StoredObject(name, 7, record)], 7, 1
        )
        reduce_node(state, event)
        reduce_node(state, Tick(1.1, store_era=1))
        for now in (1.2, 30.0):
            effects = reduce_node(state, Tick(now, store_era=2))[1]
            assert not any(isinstance(item, RemoveQuarantine) for item in effects)

    def test_quarantine_under_a_version_given_out_again_is_read(self):
        state = build_state()
        suspicions = [
            RecordedSuspicion(Incarnation(name, 1), 1.0) for name in ("a", "b")
        ]
        for era, record in (
            (1, QuarantineRecord()),
            (2, QuarantineRecord(tuple(suspicions))),
        ):
            item = StoredObject("f", 7, record)
            event = CollectionListed(1.0, Collection.QUARANTINES, [item], 7, era)
            reduce_node(state, event)
            assert state.crashes.is_empty == (era == 1)

    def test_members_missing_after_a_restore_are_kept_while_it_settles(self):
        state = build_state()
        member = StoredObject("a", 6, Member("a", "zone-a", SENDER))
        event = CollectionListed(1.0, Collection.MEMBERS, [member], 6, 1)
        reduce_node(state, event)
        event = CollectionListed(2.0, Collection.MEMBERS, [], 3, 2)
        reduce_node(state, event)
        assert set(state.peers.members_by_name) == {"a"}
        reduce_node(state, Tick(2.0 + SETTLED_S))
        assert not state.peers.members_by_name

    def test_restarted_endpoint_is_not_held_for_its_earlier_incarnation(self):
        state = build_state()

        def build(start_time_ms: int, *, is_draining: bool) -> StoredObject:
            address = Address("10.0.0.1", 80)
            record = EndpointRecord(
                "w", "s", address, "zone-a", 4, is_draining, 0.0, start_time_ms
            )
            return StoredObject("w", 6 + start_time_ms, record)

        for now, era, item in (
            (1.0, 1, build(1, is_draining=True)),
            (2.0, 2, build(1, is_draining=False)),
        ):
            event = CollectionListed(now, Collection.ENDPOINTS, [item], 6, era)
            reduce_node(state, event)
            assert state.roster.records_by_id["w"].is_draining
        item = build(2, is_draining=False)
        event = CollectionListed(2.1, Collection.ENDPOINTS, [item], 7, 2)
        reduce_node(state, event)
        assert not state.roster.records_by_id["w"].is_draining


class TestSnapshots:
    @given(st.permutations([(1, 3), (1, 9), (2, 1), (2, 4), (3, 2)]))
    def test_later_era_wins_in_any_order(self, positions):
        cache = SnapshotCache()
        latest = (0, 0)
        for era, revision in positions:
            item = StoredObject("a", revision, f"{era}/{revision}")
            snapshot = Snapshot().replace_all([item], revision, era)
            cache.merge(Collection.ROUTING, snapshot)
            latest = max(latest, (era, revision))
            known = cache.by_collection[Collection.ROUTING]
            assert known.objects_by_name["a"].value == f"{latest[0]}/{latest[1]}"

    @given(
        st.lists(
            st.tuples(
                st.integers(1, 3), st.integers(1, 9), st.booleans(), st.booleans()
            ),
            max_size=12,
        )
    )
    def test_snapshot_never_mixes_objects_of_two_eras(self, answers):
        known = Snapshot()
        for era, revision, is_list, is_other in answers:
            item = StoredObject("b" if is_other else "a", revision, era)
            if is_list:
                known = known.replace_all([item], revision, era)
            else:
                known = known.apply_changes([item], revision, era)
            assert {item.value for item in known.objects_by_name.values()} <= {
                known.era
            }

    def test_same_versions_in_another_era_count_as_changed(self):
        known = Snapshot().replace_all([StoredObject("a", 3, "old")], 5, 1)
        later = known.replace_all([StoredObject("a", 3, "new")], 4, 2)
        assert later.changed_position == Position(2, 4)
        cache = SnapshotCache()
        cache.merge(Collection.ROUTING, known)
        assert cache.merge(Collection.ROUTING, later)

    def test_peer_with_a_later_era_is_ahead_whatever_its_revision(self):
        cache = SnapshotCache()
        cache.merge(Collection.ROUTING, Snapshot(90, 90, {}, 1))
        assert cache.list_missing({Collection.ROUTING: Position(2, 4)})
        assert not cache.select_newer({Collection.ROUTING: Position(2, 4)})
        assert cache.select_newer({Collection.ROUTING: Position(0, 99)})


class TestAdapter:
    def run(self, scenario) -> None:
        async def with_store(fleet: PlatformFleet) -> None:
            await fleet.open(fleet.store)
            client = PlatformStore(fleet.store.server.address, timeout_s=1.0)
            await scenario(fleet.store, client)

        run_fleet(with_store)

    @pytest.mark.parametrize("value", [None, "", "two", "-2", "2.5", "9" * 40])
    def test_absent_or_unreadable_era_counts_as_the_latest(self, value):
        async def scenario(store: PlatformStoreStandIn, client: PlatformStore) -> None:
            store.era = value
            assert (await client.list("members")).unwrap().era == 0
            assert client.era is None
            store.era = 4
            assert (await client.list("members")).unwrap().era == 4
            store.era = value
            assert (await client.list("members")).unwrap().era == 4
            assert (await client.watch("members", 1, 0.0)).unwrap().era == 4
            assert client.era == 4

        self.run(scenario)

    def test_refused_call_names_the_era_too(self):
        async def scenario(store: PlatformStoreStandIn, client: PlatformStore) -> None:
            store.era = 3
            assert await client.get("members", "nobody")
            assert client.era == 3

        self.run(scenario)

    def test_list_whose_pages_are_of_two_eras_is_read_again(self, monkeypatch):
        monkeypatch.setattr(store_stand_in, "PAGE_LENGTH", 1)

        async def scenario(store: PlatformStoreStandIn, client: PlatformStore) -> None:
            for name in ("a", "b"):
                store.write("members", name, {"name": name})
            send_list, pages = store._list, []

            async def change_era(*args) -> None:
                store.era += len(pages)
                pages.append(store.era)
                await send_list(*args)

            store._list = change_era
            failure = (await client.list("members")).failure()
            assert isinstance(failure, PlatformUnavailableError)
            assert pages == [1, 2]

        self.run(scenario)
