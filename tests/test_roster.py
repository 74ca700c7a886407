"""Endpoints in use, with lapses while the store is out."""

import pytest

from tamaracktray.roster import EndpointRecord, LoadedModel, Roster
from tamaracktray.types import Address

HOLD_S = 2.0


def record(name: str, port: int = 80, **fields) -> EndpointRecord:
    return EndpointRecord(name, "s", Address("10.0.0.1", port), "z", 16, **fields)


def roster(*records: EndpointRecord) -> Roster:
    made = Roster(HOLD_S)
    made.update(0.0, records, outage_end=-100.0)
    return made


class TestLapses:
    def test_vanished_endpoint_is_gone_at_once(self):
        made = roster(record("a"), record("b", 81))
        made.update(50.0, [record("a")], outage_end=0.0)
        assert set(made.records_by_id) == {"a"}

    def test_lapse_after_an_outage_is_held(self):
        made = roster(record("a"))
        made.update(50.0, [], outage_end=50.0)
        assert set(made.records_by_id) == {"a"}
        assert not made.expire(51.9)
        assert made.expire(52.0) == ["a"]
        assert not made.records_by_id

    def test_later_lists_do_not_extend_the_hold(self):
        made = roster(record("a"))
        made.update(50.0, [], outage_end=50.0)
        made.update(51.5, [], outage_end=51.5)
        assert made.expire(52.0) == ["a"]

    def test_held_endpoint_that_comes_back_stays(self):
        made = roster(record("a"))
        made.update(50.0, [], outage_end=50.0)
        made.update(51.0, [record("a")], outage_end=50.0)
        assert not made.expire(60.0)
        assert set(made.records_by_id) == {"a"}

    def test_leaving_endpoint_is_not_held(self):
        made = roster(record("a", is_draining=True))
        made.update(50.0, [], outage_end=50.0)
        assert not made.records_by_id

    def test_held_endpoint_gives_way_to_another_at_its_address(self):
        made = roster(record("a"))
        made.update(50.0, [record("b")], outage_end=50.0)
        assert set(made.records_by_id) == {"b"}


class TestModels:
    @pytest.mark.parametrize(
        ("first", "end", "layers", "expected"),
        [(0, 16, 16, True), (0, 8, 16, False), (8, 16, 16, False), (0, 0, 0, True)],
    )
    def test_whole_model_has_all_layers(self, first, end, layers, expected):
        assert LoadedModel("m", 1, first, end).is_whole(layers) is expected

    def test_find_model(self):
        made = record("a", models=(LoadedModel("m", 3),))
        assert made.find_model("m").version == 3
        assert made.find_model("other") is None
