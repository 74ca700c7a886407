"""Recorded announcement times, which outlive a restart of all processes.

Without a record, restarted processes do not know the age of a version and require it
too early or too late.
"""

import time
from typing import Any

import curio
import msgspec
import pytest

from platforms import PlatformFleet, run_fleet
from tamaracktray.announcement_records import (
    MAX_AGE_S,
    RECORD_RETRY_S,
    TAKEOVER_S,
    AnnouncementRecords,
    Observation,
    rank_writer,
    read_records,
)
from tamaracktray.announcements import (
    AGE_REPORT_WAIT_S,
    CLOCK_MARGIN_S,
    DUE_MARGIN_S,
    Announcement,
    Announcements,
)
from tamaracktray.engines import AnnouncementRecord, VersionTarget, add_record
from tamaracktray.events import Tick
from tamaracktray.gateway_state import GatewayBounds, GatewayState
from tamaracktray.node_events import (
    CollectionChanged,
    CollectionListed,
    RecordAnnouncements,
    SnapshotsReceived,
)
from tamaracktray.node_reducer import reduce_node
from tamaracktray.node_state import NodeState
from tamaracktray.objects import StoredObject
from tamaracktray.snapshots import Collection, Snapshot
from tamaracktray.types import Role
from tamaracktray_emulator.platform.documents import ENGINE_MODEL

MODEL = "kiln"
BOUND_S = 8.0

# Offset of the wall clock from the monotonic clock in these tests, in seconds.
OFFSET_S = 1_000_000.0


def announce_version(fleet: PlatformFleet, version: int) -> None:
    document = {"model": ENGINE_MODEL, "version": version}
    fleet.store.write("versions", ENGINE_MODEL, document)


def find_status(fleet: PlatformFleet) -> Any:
    return fleet.store.objects["versions", ENGINE_MODEL]["status"]


def build_record(*announcements: tuple[int, float]) -> VersionTarget:
    return VersionTarget(MODEL, announcements[-1][0], announcements)


def build_list_event(now: float, target: VersionTarget) -> CollectionListed:
    items = [StoredObject(MODEL, 5, target)]
    return CollectionListed(now, Collection.VERSIONS, items, 5)


def start_process(target: VersionTarget, now: float) -> NodeState:
    state = NodeState(
        "entry-0",
        Role.ENTRY,
        "zone-a",
        {"zone-a": "region-a"},
        now=now,
        version_bound_s=BOUND_S,
        grace_s=8.0,
        quarantine_s=300.0,
    )
    state.unix_offset_s = OFFSET_S
    reduce_node(state, build_list_event(now, target))
    return state


class TestReading:
    def test_starting_process_uses_the_recorded_time(self):
        state = start_process(build_record((2, OFFSET_S + 10.0)), now=13.0)
        due_at = 10.0 + BOUND_S - DUE_MARGIN_S
        assert state.announcements.list_floors(13.0 + AGE_REPORT_WAIT_S) == {}
        assert state.announcements.list_floors(due_at - CLOCK_MARGIN_S - 0.1) == {}
        assert state.announcements.list_floors(due_at) == {MODEL: 2}

    def test_older_version_keeps_its_own_deadline(self):
        target = build_record((2, OFFSET_S + 10.0), (3, OFFSET_S + 14.0))
        state = start_process(target, now=15.0)
        assert state.announcements.list_floors(10.0 + BOUND_S) == {MODEL: 2}
        assert state.announcements.list_floors(14.0 + BOUND_S) == {MODEL: 3}

    def test_record_of_an_older_version_does_not_apply_to_a_newer(self):
        target = VersionTarget(MODEL, 3, ((2, OFFSET_S + 10.0),))
        state = start_process(target, now=12.0)
        assert state.announcements.list_floors(12.0 + AGE_REPORT_WAIT_S) == {MODEL: 3}

    def test_implausible_ages_are_unknown(self):
        for unix_s in (OFFSET_S + 13.0 + 2 * CLOCK_MARGIN_S, OFFSET_S - MAX_AGE_S):
            state = start_process(build_record((2, unix_s)), now=13.0)
            assert state.announcements.list_floors(13.0 + AGE_REPORT_WAIT_S - 0.1) == {}
            assert state.announcements.list_floors(13.0 + AGE_REPORT_WAIT_S) == {
                MODEL: 2
            }

    def test_time_slightly_in_the_future_counts_as_now(self):
        (announcement,) = read_records(
            build_record((2, OFFSET_S + 13.1)), 13.0, OFFSET_S
        )
        assert announcement.announced_at == 13.0 - CLOCK_MARGIN_S

    def test_record_received_after_the_start_is_applied(self):
        state = start_process(VersionTarget(MODEL, 2), now=13.0)
        change = StoredObject(MODEL, 6, build_record((2, OFFSET_S + 12.9)))
        reduce_node(state, CollectionChanged(13.2, Collection.VERSIONS, [change], 6))
        assert state.announcements.list_floors(13.0 + AGE_REPORT_WAIT_S) == {}

    def test_observed_time_takes_precedence_over_the_record(self):
        state = start_process(VersionTarget(MODEL, 1), now=0.0)
        for revision, target in (
            (6, VersionTarget(MODEL, 2)),
            (7, build_record((2, OFFSET_S - 5.0))),
        ):
            change = StoredObject(MODEL, revision, target)
            event = CollectionChanged(1.0, Collection.VERSIONS, [change], revision)
            reduce_node(state, event)
        assert state.announcements.list_ages(3.0) == {MODEL: [(2, 2.0)]}


class TestLateObservation:
    """A disconnected process receives an announcement together with its record."""

    def receive_changes(self, *targets: VersionTarget) -> NodeState:
        """Return a process that learns at 20 s of version 2, announced at 14 s."""
        state = start_process(VersionTarget(MODEL, 1), now=0.0)
        changes = [
            StoredObject(MODEL, revision, target)
            for revision, target in enumerate(targets, 6)
        ]
        event = CollectionChanged(20.0, Collection.VERSIONS, changes, 7)
        reduce_node(state, event)
        return state

    def test_deadline_is_computed_from_the_record(self):
        late_record = build_record((2, OFFSET_S + 14.0))
        for targets in ([late_record], [VersionTarget(MODEL, 2), late_record]):
            state = self.receive_changes(*targets)
            assert state.announcements.list_floors(20.0) == {MODEL: 1}
            floors = state.announcements.list_floors(14.0 + BOUND_S - DUE_MARGIN_S)
            assert floors == {MODEL: 2}

    def test_late_announcement_is_not_an_observation(self):
        state = self.receive_changes(build_record((2, OFFSET_S + 14.0)))
        assert state.announcements.list_ages(21.0) == {MODEL: []}
        assert not state.announcement_records.is_write_due(
            20.0, VersionTarget(MODEL, 2)
        )

    def test_snapshot_from_a_peer_is_treated_the_same(self):
        state = start_process(VersionTarget(MODEL, 1), now=0.0)
        item = StoredObject(MODEL, 7, build_record((2, OFFSET_S + 14.0)))
        snapshot = Snapshot(7, 7, {MODEL: item})
        event = SnapshotsReceived(20.0, {Collection.VERSIONS: snapshot})
        reduce_node(state, event)
        floors = state.announcements.list_floors(14.0 + BOUND_S - DUE_MARGIN_S)
        assert floors == {MODEL: 2}

    def test_fresh_record_changes_nothing(self):
        """Another entry may write the record between two watches of this process."""
        for unix_s in (19.8, 20.5):
            state = self.receive_changes(build_record((2, OFFSET_S + unix_s)))
            assert state.announcements.list_ages(21.0) == {MODEL: [(2, 1.0)]}

    def test_unknown_age_changes_nothing(self):
        state = self.receive_changes(build_record((2, OFFSET_S - MAX_AGE_S)))
        assert state.announcements.list_ages(21.0) == {MODEL: [(2, 1.0)]}


class TestPeersAndRecords:
    def test_older_age_from_a_peer_wins(self):
        announcements = Announcements(0.0, BOUND_S)
        announcements.add_recorded(MODEL, Announcement(2, 5.0, is_recorded=True))
        announcements.merge_peer_ages(6.0, {}, {MODEL: [(2, 3.0)]})
        assert announcements.find_newest(MODEL) == Announcement(2, 3.0)

    def test_age_from_a_peer_replaces_the_recorded_one(self):
        announcements = Announcements(0.0, BOUND_S)
        announcements.add_recorded(MODEL, Announcement(2, 5.0, is_recorded=True))
        announcements.merge_peer_ages(6.0, {}, {MODEL: [(2, 1.0 - CLOCK_MARGIN_S)]})
        assert announcements.find_newest(MODEL) == Announcement(2, 5.0 + CLOCK_MARGIN_S)

    def test_much_younger_age_from_a_peer_is_ignored(self):
        announcements = Announcements(0.0, BOUND_S)
        announcements.add_recorded(MODEL, Announcement(2, 5.0, is_recorded=True))
        announcements.merge_peer_ages(8.0, {}, {MODEL: [(2, 0.5)]})
        assert announcements.find_newest(MODEL).announced_at == 5.0

    def test_recorded_ages_are_not_reported_to_peers(self):
        announcements = Announcements(0.0, BOUND_S)
        announcements.add_recorded(MODEL, Announcement(2, 5.0, is_recorded=True))
        assert announcements.list_ages(6.0) == {MODEL: []}


class TestWriters:
    TARGET = VersionTarget(MODEL, 2)

    def build_records(self) -> AnnouncementRecords:
        records = AnnouncementRecords(BOUND_S)
        records.add_observation(MODEL, 2, Observation(1.0, OFFSET_S + 1.0))
        return records

    def test_writers_have_distinct_ranks(self):
        names = [f"entry-{number}" for number in range(5)]
        ranks = [
            rank_writer(own, [name for name in names if name != own], self.TARGET)
            for own in names
        ]
        assert sorted(ranks) == [0, 1, 2, 3, 4]

    def test_lower_ranked_entries_wait(self):
        records = self.build_records()
        assert records.may_write_record(1.0, self.TARGET, 0)
        assert not records.may_write_record(0.9 + TAKEOVER_S, self.TARGET, 1)
        assert records.may_write_record(1.0 + TAKEOVER_S, self.TARGET, 1)

    def test_entry_without_an_observation_does_not_write(self):
        records = self.build_records()
        assert not records.is_write_due(1.0, VersionTarget(MODEL, 3))

    def test_write_is_retried_until_the_record_is_stored(self):
        records = self.build_records()
        records.mark_attempted(1.0, MODEL)
        assert not records.is_write_due(1.1, self.TARGET)
        assert records.is_write_due(1.0 + RECORD_RETRY_S, self.TARGET)
        assert not records.is_write_due(2.0, build_record((2, OFFSET_S + 1.0)))
        records.mark_written(MODEL, 2)
        assert not records.is_write_due(1.0 + RECORD_RETRY_S, self.TARGET)

    def test_record_with_a_later_time_is_replaced(self):
        records = self.build_records()
        late_record = build_record((2, OFFSET_S + 4.0))
        assert records.is_write_due(1.5, late_record)
        assert records.build(late_record, {}, OFFSET_S) == ((2, OFFSET_S + 1.0),)

    def test_no_record_is_written_once_the_version_is_due(self):
        assert not self.build_records().is_write_due(1.0 + BOUND_S, self.TARGET)

    def test_older_versions_stay_in_the_record(self):
        records = self.build_records()
        records.add_observation(MODEL, 3, Observation(4.0, OFFSET_S + 4.0))
        known = {1: None, 2: 1.0, 3: 4.0}
        announcements = records.build(VersionTarget(MODEL, 3), known, OFFSET_S)
        assert announcements == ((1, 0.0), (2, OFFSET_S + 1.0), (3, OFFSET_S + 4.0))


class TestSeveralAnnouncements:
    """Several versions or models are announced at about the same time."""

    def build(self) -> NodeState:
        state = start_process(VersionTarget(MODEL, 1), now=0.0)
        state.gateway = GatewayState("entry-0", GatewayBounds())
        return state

    def change(self, state: NodeState, *targets: VersionTarget) -> None:
        changes = [
            StoredObject(target.model, revision, target)
            for revision, target in enumerate(targets, 6)
        ]
        event = CollectionChanged(1.0, Collection.VERSIONS, changes, 8)
        reduce_node(state, event)

    def list_record_effects(self, state: NodeState) -> list[RecordAnnouncements]:
        _, effects = reduce_node(state, Tick(1.02))
        return [item for item in effects if isinstance(item, RecordAnnouncements)]

    def test_models_are_recorded_independently(self):
        state = self.build()
        self.change(state, VersionTarget(MODEL, 2), VersionTarget("oven", 7))
        assert [item.model for item in self.list_record_effects(state)] == [
            MODEL,
            "oven",
        ]
        assert self.list_record_effects(state) == []

    def test_age_reported_by_a_peer_is_recorded(self):
        state = self.build()
        state.announcements.merge_peer_ages(0.9, {}, {MODEL: [(2, 0.4)]})
        self.change(state, VersionTarget(MODEL, 3))
        (written,) = self.list_record_effects(state)
        assert written.announcements == (
            (1, 0.0),
            (2, pytest.approx(OFFSET_S + 0.5, abs=0.01)),
            (3, OFFSET_S + 1.0),
        )

    def test_earlier_time_reported_by_a_peer_is_recorded(self):
        state = self.build()
        self.change(state, VersionTarget(MODEL, 2))
        state.announcements.merge_peer_ages(1.01, {}, {MODEL: [(2, 0.51)]})
        (written,) = self.list_record_effects(state)
        assert written.announcements[-1] == (2, pytest.approx(OFFSET_S + 0.5, abs=0.01))


class TestDocument:
    def test_record_round_trip(self):
        target = build_record((1, 0.0), (2, 1_700_000_000.25))
        status = msgspec.json.decode(
            msgspec.json.encode(AnnouncementRecord(target.announcements))
        )
        assert add_record(VersionTarget(MODEL, 2), status) == target

    def test_unreadable_status_is_ignored(self):
        for status in (None, {}, {"namings": "x"}, [1], {"namings": [[2]]}):
            target = VersionTarget(MODEL, 2)
            assert add_record(target, status) == target


class TestRecording:
    def test_record_is_written_once(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start(entries=3)
            await fleet.until(
                lambda: all(
                    len(e.state.peers.members_by_name) == 2 for e in fleet.entries
                )
            )
            announce_version(fleet, 2)
            before = time.time()
            await fleet.until(lambda: find_status(fleet), 1.0)
            await curio.sleep(2 * TAKEOVER_S + RECORD_RETRY_S)
            assert fleet.store.status_calls == 1
            (announcement,) = find_status(fleet)["namings"]
            version, unix_s = announcement
            assert version == 2
            assert abs(unix_s - before) < 0.5

        run_fleet(scenario, version_ms=8_000.0)

    def test_lost_answer_causes_at_most_one_more_write(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start(entries=2)
            fleet.store.faults.lost_answers = 1
            announce_version(fleet, 2)
            await fleet.until(lambda: find_status(fleet), 1.0)
            status = find_status(fleet)
            await curio.sleep(2 * TAKEOVER_S + RECORD_RETRY_S)
            assert fleet.store.status_calls <= 2
            assert find_status(fleet) == status

        run_fleet(scenario, version_ms=8_000.0)

    def test_refused_write_is_retried(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            await curio.sleep(0.5)
            fleet.store.faults.refused_writes = 1
            announce_version(fleet, 2)
            await fleet.until(lambda: find_status(fleet), RECORD_RETRY_S + 1.0)
            assert not fleet.store.faults.refused_writes

        run_fleet(scenario, version_ms=8_000.0)

    def test_another_entry_takes_over_a_missing_write(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start(entries=2)
            await fleet.until(
                lambda: all(e.state.peers.members_by_name for e in fleet.entries)
            )
            target = VersionTarget(ENGINE_MODEL, 2)
            names = [entry.state.name for entry in fleet.entries]
            first_writer = names[rank_writer(names[0], names[1:], target)]
            stopped_entry = next(
                e for e in fleet.entries if e.state.name == first_writer
            )

            async def write_nothing(effect: object) -> None:
                return

            stopped_entry._write_record = write_nothing
            announce_version(fleet, 2)
            await fleet.until(lambda: find_status(fleet), 2 * TAKEOVER_S + 0.5)

        run_fleet(scenario, version_ms=8_000.0)


class TestRestartOfAll:
    def test_old_version_serves_until_the_new_one_is_due(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start(entries=2)
            engine = await fleet.add_engine("e-1")
            await fleet.add_agent(engine)
            await fleet.until(
                lambda: all(
                    "e-1" in e.state.roster.records_by_id for e in fleet.entries
                )
            )
            fleet.origin.is_down = True
            announce_version(fleet, 2)
            announced_at = time.monotonic()
            await curio.sleep(0.5)
            await fleet.restart_all()
            await curio.sleep(AGE_REPORT_WAIT_S + 0.5)
            assert (await fleet.call("/talk/1", "id-1")).status == 200
            await curio.sleep(announced_at + 5.0 - DUE_MARGIN_S - time.monotonic())
            assert (await fleet.call("/talk/1", "id-2")).status == 503
            assert "id-2" not in engine.runs

        run_fleet(scenario, version_ms=5_000.0)

    def test_agents_swap_by_the_deadline(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            engines = [await fleet.add_engine(f"e-{number}") for number in range(3)]
            for engine in engines:
                await fleet.add_agent(engine)
            await fleet.until(lambda: all(a.state.staging.report for a in fleet.agents))
            fleet.origin.is_down = True
            announce_version(fleet, 2)
            announced_at = time.monotonic()
            await curio.sleep(1.5)
            fleet.origin.is_down = False
            await fleet.restart_all()
            await fleet.until(
                lambda: all(a.state.staging.current for a in fleet.agents), 2.0
            )
            for agent in fleet.agents:
                due_at = agent.state.staging.current.due_at
                assert abs(due_at - announced_at - 5.0) < 2 * CLOCK_MARGIN_S + 0.1
            await fleet.until(
                lambda: all(e.version == 2 for e in engines),
                announced_at + 5.0 - time.monotonic(),
            )

        run_fleet(scenario, version_ms=5_000.0)

    def test_deadline_of_unknown_age_matches_the_entries(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            engine = await fleet.add_engine("e-1")
            announce_version(fleet, 2)
            await fleet.until(lambda: find_status(fleet))
            fleet.store.objects["versions", ENGINE_MODEL]["status"] = None
            started = time.monotonic()
            agent = await fleet.add_agent(engine)
            await fleet.until(lambda: agent.state.staging.current)
            due_at = agent.state.staging.current.due_at
            assert abs(due_at - started - AGE_REPORT_WAIT_S) < 0.2

        run_fleet(scenario, version_ms=8_000.0)

    def test_agent_that_learns_the_age_later_keeps_the_deadline(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            engine = await fleet.add_engine("e-1")
            fleet.origin.is_down = True
            announce_version(fleet, 2)
            announced_at = time.monotonic()
            await fleet.until(lambda: find_status(fleet))
            status = find_status(fleet)
            fleet.store.objects["versions", ENGINE_MODEL]["status"] = None
            agent = await fleet.add_agent(engine)
            await fleet.until(lambda: agent.state.staging.current)
            fleet.store._write_status("versions", ENGINE_MODEL, status)
            staging = agent.state.staging
            await fleet.until(lambda: staging.current.due_at > announced_at + 7.0, 1.0)
            assert abs(staging.current.due_at - announced_at - 8.0) < 2 * CLOCK_MARGIN_S

        run_fleet(scenario, version_ms=8_000.0)
