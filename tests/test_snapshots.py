"""What processes know of the store, from lists, watches and peers in any order."""

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from tamaracktray.beacons import Beacon, BeaconFilter, decode_beacon, encode_beacon
from tamaracktray.engines import VersionTarget
from tamaracktray.objects import StoredObject
from tamaracktray.roster import EndpointRecord
from tamaracktray.routes import Backend, RepeatKind, Route, RoutingTable
from tamaracktray.snapshot_codec import decode_snapshots, encode_snapshots
from tamaracktray.snapshots import Collection, Knowledge, Snapshot
from tamaracktray.types import Address


def item(name: str, version: int, value=None) -> StoredObject:
    return StoredObject(name, version, value)


def gone(name: str, version: int) -> StoredObject:
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

    def test_same_content_keeps_the_change(self):
        known = Snapshot().replace_all([item("a", 1)], 5)
        later = known.replace_all([item("a", 1)], 8)
        assert (later.revision, later.changed_revision) == (8, 5)

    def test_changes_apply_in_order(self):
        known = Snapshot().replace_all([item("a", 1)], 5)
        later = known.apply_changes([gone("a", 6), item("a", 7), item("b", 8)], 8)
        assert later.objects_by_name["a"].version == 7
        assert set(later.objects_by_name) == {"a", "b"}

    def test_removal_of_an_earlier_life_is_ignored(self):
        known = Snapshot().replace_all([item("a", 7)], 7)
        assert "a" in known.apply_changes([gone("a", 6)], 8).objects_by_name

    def test_watch_without_changes_moves_the_revision_only(self):
        known = Snapshot().replace_all([item("a", 1)], 5)
        later = known.apply_changes([], 30)
        assert (later.revision, later.changed_revision) == (30, 5)


class TestKnowledge:
    def test_never_goes_back(self):
        knowledge = Knowledge()
        newer = Snapshot().replace_all([item("a", 9)], 9)
        older = Snapshot().replace_all([item("a", 3)], 3)
        assert knowledge.merge(Collection.ROUTING, newer)
        assert not knowledge.merge(Collection.ROUTING, older)
        assert knowledge.by_collection[Collection.ROUTING] == newer

    def test_peer_gets_only_what_it_misses(self):
        knowledge = Knowledge()
        knowledge.merge(Collection.ROUTING, Snapshot().replace_all([item("a", 9)], 9))
        knowledge.merge(Collection.MEMBERS, Snapshot().replace_all([item("m", 2)], 12))
        newer = knowledge.select_newer({Collection.ROUTING: 8, Collection.MEMBERS: 12})
        assert set(newer) == {Collection.ROUTING}

    def test_tells_when_a_peer_knows_more(self):
        knowledge = Knowledge()
        knowledge.merge(Collection.ROUTING, Snapshot().replace_all([item("a", 9)], 9))
        assert not knowledge.list_missing({Collection.ROUTING: 9})
        assert not Knowledge([Collection.MEMBERS]).list_missing({Collection.ROUTING: 9})
        assert knowledge.list_missing({Collection.ROUTING: 10})

    def test_part_of_a_collection_is_never_handed_on(self):
        """Agents know of the configuration what concerns their engine only."""
        knowledge = Knowledge([Collection.MEMBERS], [Collection.ROUTING])
        part = Snapshot().replace_all([item("a", 9)], 9)
        knowledge.merge(Collection.ROUTING, part)
        assert Collection.ROUTING not in knowledge.list_changes()
        assert Collection.ROUTING not in knowledge.list_revisions()
        assert knowledge.select_newer({Collection.ROUTING: 0}) == {}

    @given(st.permutations(range(1, 7)))
    def test_any_order_ends_at_the_newest(self, order):
        knowledge = Knowledge()
        highest = 0
        for revision in order:
            snapshot = Snapshot().replace_all([item("a", revision)], revision)
            knowledge.merge(Collection.ENDPOINTS, snapshot)
            highest = max(highest, revision)
            known = knowledge.by_collection[Collection.ENDPOINTS]
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
        return Beacon("a", incarnation, number, {}, {Collection.ROUTING: 4})

    def test_round_trip(self):
        beacon = self.build(1, 2)
        assert decode_beacon(encode_beacon(beacon)).unwrap() == beacon

    def test_garbage_is_a_failure(self):
        assert decode_beacon(b"\x00garbage").failure().message

    def test_overtaken_beacons_are_dropped(self):
        accepted = BeaconFilter()
        assert accepted.accept(self.build(1, 5))
        assert not accepted.accept(self.build(1, 4))
        assert not accepted.accept(self.build(1, 5))

    def test_new_life_starts_over(self):
        accepted = BeaconFilter()
        assert accepted.accept(self.build(9, 500))
        assert accepted.accept(self.build(2, 1))

    def test_large_configuration_takes_a_fraction_of_its_size(self):
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
        packed = encode_snapshots(sent)
        assert len(packed) < len(msgspec.msgpack.encode(sent)) / 5
        assert decode_snapshots(packed).unwrap() == sent
