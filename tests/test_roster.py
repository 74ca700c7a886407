"""The roster of endpoints, and records that expire during a store outage.

Guards against removing working endpoints that could not renew their records in time.
"""

import pytest

from tamaracktray.roster import DEPARTED_MEMORY_S, EndpointRecord, LoadedModel, Roster
from tamaracktray.types import Address

GRACE_S = 2.0


def build_record(name: str, port: int = 80, **fields) -> EndpointRecord:
    return EndpointRecord(name, "s", Address("10.0.0.1", port), "z", 16, **fields)


def build_roster(*records: EndpointRecord) -> Roster:
    roster = Roster(GRACE_S)
    roster.update(0.0, records, outage_end=-100.0)
    return roster


class TestRestoredStore:
    def test_endpoint_that_was_listed_again_is_not_held(self):
        roster = build_roster(build_record("a"))
        roster.update(50.0, [], outage_end=0.0)
        roster.update(51.0, [build_record("a")], outage_end=0.0)
        roster.hold_departed(60.0)
        roster.update(52.0, [build_record("a")], outage_end=52.0)
        assert not roster.records_by_id["a"].is_draining

    def test_removed_endpoint_is_held_until_the_deadline(self):
        roster = build_roster(build_record("a"))
        roster.update(50.0, [], outage_end=0.0)
        roster.hold_departed(60.0)
        for now, is_held in ((52.0, True), (59.9, True), (60.0, False)):
            roster.update(now, [build_record("a")], outage_end=0.0)
            assert roster.records_by_id["a"].is_draining == is_held

    def test_removed_endpoints_are_forgotten_after_a_while(self):
        roster = build_roster(build_record("a"))
        roster.update(50.0, [], outage_end=0.0)
        now = 51.0 + DEPARTED_MEMORY_S
        roster.update(now, [build_record("b", 81)], outage_end=0.0)
        roster.update(now, [], outage_end=0.0)
        roster.hold_departed(now + 10.0)
        roster.update(now, [build_record("a")], outage_end=0.0)
        assert not roster.records_by_id["a"].is_draining


class TestExpiry:
    def test_unlisted_endpoint_is_removed_at_once(self):
        roster = build_roster(build_record("a"), build_record("b", 81))
        roster.update(50.0, [build_record("a")], outage_end=0.0)
        assert set(roster.records_by_id) == {"a"}

    def test_record_that_expires_after_an_outage_is_retained(self):
        roster = build_roster(build_record("a"))
        roster.update(50.0, [], outage_end=50.0)
        assert set(roster.records_by_id) == {"a"}
        assert not roster.expire(51.9)
        assert roster.expire(52.0) == ["a"]
        assert not roster.records_by_id

    def test_later_lists_do_not_extend_the_grace_period(self):
        roster = build_roster(build_record("a"))
        roster.update(50.0, [], outage_end=50.0)
        roster.update(51.5, [], outage_end=51.5)
        assert roster.expire(52.0) == ["a"]

    def test_retained_endpoint_that_is_listed_again_stays(self):
        roster = build_roster(build_record("a"))
        roster.update(50.0, [], outage_end=50.0)
        roster.update(51.0, [build_record("a")], outage_end=50.0)
        assert not roster.expire(60.0)
        assert set(roster.records_by_id) == {"a"}

    def test_draining_endpoint_is_not_retained(self):
        roster = build_roster(build_record("a", is_draining=True))
        roster.update(50.0, [], outage_end=50.0)
        assert not roster.records_by_id

    def test_retained_endpoint_is_dropped_when_its_address_is_reused(self):
        roster = build_roster(build_record("a"))
        roster.update(50.0, [build_record("b")], outage_end=50.0)
        assert set(roster.records_by_id) == {"b"}


class TestModels:
    @pytest.mark.parametrize(
        ("first", "end", "layers", "expected"),
        [(0, 16, 16, True), (0, 8, 16, False), (8, 16, 16, False), (0, 0, 0, True)],
    )
    def test_whole_model_has_all_layers(self, first, end, layers, expected):
        assert LoadedModel("m", 1, first, end).is_whole(layers) is expected

    def test_find_model(self):
        record = build_record("a", models=(LoadedModel("m", 3),))
        assert record.find_model("m").version == 3
        assert record.find_model("other") is None
