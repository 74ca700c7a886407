"""Snapshots built from lists, watches and peers, and the encoding of beacons.

Guards against older or partial data that replaces newer data when messages arrive in
any order.
"""

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from tamaracktray.beacons import Beacon, BeaconFilter, decode_beacon, encode_beacon
from tamaracktray.engines import VersionTarget
from tamaracktray.objects import StoredObject
from tamaracktray.positions import UNKNOWN, Position
from tamaracktray.roster import EndpointRecord
from tamaracktray.routes import Backend, RepeatKind, Route, RoutingTable
from tamaracktray.snapshot_codec import decode_snapshots, encode_snapshots
from tamaracktray.snapshots import Collection, Snapshot, SnapshotCache
from tamaracktray.types import Address


def item(name: str, version: int, value=None) -> StoredObject:
    return StoredObject(name, version, value)


def build_deleted(name: str, version: int) -> StoredObject:
    return StoredObject(name, version, None, deleted=True)


class TestSnapshot:
    def test_list_replaces_everything(self):
        first = Snapshot().replace_all([item("a", 1), item("b", 2)], 5)
        second = first.replace_all([item("b", 2)], 9)
        assert set(second.objects_by_name) == {"b"}
        assert second.changed_revision == 9

    def test_older_list_changes_nothing(self):
        known = Snapshot().replace_all([item("a", 1)], 5)
        assert known.replace_all([], 4) is known

    def test_same_content_keeps_the_changed_revision(self):
        known = Snapshot().replace_all([item("a", 1)], 5)
        later = known.replace_all([item("a", 1)], 8)
        assert (later.revision, later.changed_revision) == (8, 5)

    def test_changes_apply_in_order(self):
        known = Snapshot().replace_all([item("a", 1)], 5)
        later = known.apply_changes(
            [build_deleted("a", 6), item("a", 7), item("b", 8)], 8
        )
        assert later.objects_by_name["a"].version == 7
        assert set(later.objects_by_name) == {"a", "b"}

    def test_outdated_deletion_is_ignored(self):
        known = Snapshot().replace_all([item("a", 7)], 7)
        assert "a" in known.apply_changes([build_deleted("a", 6)], 8).objects_by_name

    def test_watch_without_changes_only_advances_the_revision(self):
        known = Snapshot().replace_all([item("a", 1)], 5)
        later = known.apply_changes([], 30)
        assert (later.revision, later.changed_revision) == (30, 5)


class TestSnapshotCache:
    def test_older_snapshot_is_ignored(self):
        snapshot_cache = SnapshotCache()
        newer = Snapshot().replace_all([item("a", 9)], 9)
        older = Snapshot().replace_all([item("a", 3)], 3)
        assert snapshot_cache.merge(Collection.ROUTING, newer)
        assert not snapshot_cache.merge(Collection.ROUTING, older)
        assert snapshot_cache.by_collection[Collection.ROUTING] == newer

    def test_peer_gets_only_newer_snapshots(self):
        snapshot_cache = SnapshotCache()
        snapshot_cache.merge(
            Collection.ROUTING, Snapshot().replace_all([item("a", 9)], 9)
        )
        snapshot_cache.merge(
            Collection.MEMBERS, Snapshot().replace_all([item("m", 2)], 12)
        )
        newer = snapshot_cache.select_newer(
            {Collection.ROUTING: Position(0, 8), Collection.MEMBERS: Position(0, 12)}
        )
        assert set(newer) == {Collection.ROUTING}

    def test_newer_changes_of_a_peer_are_detected(self):
        snapshot_cache = SnapshotCache()
        snapshot_cache.merge(
            Collection.ROUTING, Snapshot().replace_all([item("a", 9)], 9)
        )
        assert not snapshot_cache.list_missing({Collection.ROUTING: Position(0, 9)})
        assert not SnapshotCache([Collection.MEMBERS]).list_missing(
            {Collection.ROUTING: Position(0, 9)}
        )
        assert snapshot_cache.list_missing({Collection.ROUTING: Position(0, 10)})

    def test_partial_collection_is_never_sent_to_peers(self):
        """Agents read only the part of the configuration that concerns their engine."""
        snapshot_cache = SnapshotCache([Collection.MEMBERS], [Collection.ROUTING])
        part = Snapshot().replace_all([item("a", 9)], 9)
        snapshot_cache.merge(Collection.ROUTING, part)
        assert Collection.ROUTING not in snapshot_cache.list_changed_positions()
        assert Collection.ROUTING not in snapshot_cache.list_positions()
        assert snapshot_cache.select_newer({Collection.ROUTING: UNKNOWN}) == {}

    @given(st.permutations(range(1, 7)))
    def test_newest_snapshot_wins_in_any_order(self, order):
        snapshot_cache = SnapshotCache()
        highest = 0
        for revision in order:
            snapshot = Snapshot().replace_all([item("a", revision)], revision)
            snapshot_cache.merge(Collection.ENDPOINTS, snapshot)
            highest = max(highest, revision)
            known = snapshot_cache.by_collection[Collection.ENDPOINTS]
            assert known.objects_by_name["a"].version == highest


class TestSnapshotCodec:
    def test_values_keep_their_types(self):
        record = EndpointRecord("i-1", "s", Address("10.0.0.1", 80), "z", 16)
        sent = {
            Collection.ENDPOINTS: Snapshot().replace_all([item("i-1", 1, record)], 1),
            Collection.VERSIONS: Snapshot().replace_all(
                [item("m", 2, VersionTarget("m", 4))], 2
            ),
            Collection.EVACUATIONS: Snapshot().replace_all([item("z", 3, "z")], 3),
        }
        assert decode_snapshots(encode_snapshots(sent)).unwrap() == sent

    def test_unreadable_objects_stay_unreadable(self):
        sent = {Collection.ENDPOINTS: Snapshot().replace_all([item("i-1", 1)], 1)}
        assert decode_snapshots(encode_snapshots(sent)).unwrap() == sent


class TestBeacons:
    def build(self, incarnation: int, number: int) -> Beacon:
        return Beacon(
            "a", incarnation, number, {}, {Collection.ROUTING: Position(0, 4)}
        )

    def test_round_trip(self):
        beacon = self.build(1, 2)
        assert decode_beacon(encode_beacon(beacon)).unwrap() == beacon

    def test_malformed_beacon_is_rejected(self):
        assert decode_beacon(b"\x00garbage").failure().message

    def test_reordered_beacons_are_rejected(self):
        beacon_filter = BeaconFilter()
        assert beacon_filter.accept(self.build(1, 5))
        assert not beacon_filter.accept(self.build(1, 4))
        assert not beacon_filter.accept(self.build(1, 5))

    def test_new_incarnation_restarts_the_numbering(self):
        beacon_filter = BeaconFilter()
        assert beacon_filter.accept(self.build(9, 500))
        assert beacon_filter.accept(self.build(2, 1))

    def test_large_configuration_is_compressed(self):
        routes = tuple(
            Route(
                f"r-{n:06x}",
                f"host{n % 7}.example",
                f"/path{n:05x}/",
                RepeatKind.STREAM,
                (Backend("engines", 0.7), Backend("others", 0.3)),
                6.0,
                0.4,
                is_resumable=True,
                gap_target_s=0.3,
            )
            for n in range(1_848)
        )
        table = RoutingTable(3, routes)
        sent = {Collection.ROUTING: Snapshot().replace_all([item("main", 1, table)], 1)}
        compressed = encode_snapshots(sent)
        assert len(compressed) < len(msgspec.msgpack.encode(sent)) / 5
        assert decode_snapshots(compressed).unwrap() == sent
