"""Assignment of engines to owning entries, and borrowing of slots by the others.

Guards against engines with no owner or several, and against borrowers that take all
slots of an engine from its owner.
"""

import pytest

from gateways import Gateway, build_call, engine
from tamaracktray.calls import SendCall, SendLoadBeacon
from tamaracktray.gateway_fleet import update_ownership
from tamaracktray.ownership import FleetNode, find_owned_endpoints


def assign_all(
    entries: dict[str, str], endpoints: dict[str, str]
) -> dict[str, frozenset]:
    """Return the owned endpoints by entry; both arguments map names to regions."""
    entry_nodes = [FleetNode(name, region) for name, region in entries.items()]
    endpoint_nodes = [FleetNode(name, region) for name, region in endpoints.items()]
    return {
        name: find_owned_endpoints(name, entry_nodes, endpoint_nodes)
        for name in entries
    }


def build_names(prefix: str, **count_by_region: int) -> dict[str, str]:
    return {
        f"{prefix}-{region}-{number}": region
        for region, count in count_by_region.items()
        for number in range(count)
    }


class TestOwnership:
    @pytest.mark.parametrize(
        ("entries", "engines"),
        [
            ({"a": 1}, {"a": 29}),
            ({"a": 16}, {"a": 29}),
            ({"a": 6, "b": 5, "c": 5}, {"a": 10, "b": 10, "c": 9}),
            ({"a": 6, "b": 5, "c": 5}, {"a": 10, "b": 10}),
            ({"a": 3}, {"b": 8}),
            ({"a": 9}, {"a": 2}),
            ({"a": 40, "b": 60}, {"a": 120, "b": 80}),
        ],
    )
    def test_every_engine_has_one_owner_and_shares_are_even(self, entries, engines):
        owned = assign_all(
            build_names("entry", **entries), build_names("engine", **engines)
        )
        assigned = [name for ids in owned.values() for name in ids]
        assert sorted(assigned) == sorted(build_names("engine", **engines))
        sizes = [len(ids) for ids in owned.values()]
        assert max(sizes) - min(sizes) <= 2

    def test_owned_engines_are_in_the_region_of_their_owner(self):
        entries = build_names("entry", a=4, b=4)
        engines = build_names("engine", a=8, b=8)
        owned = assign_all(entries, engines)
        for name, ids in owned.items():
            assert {engines[engine] for engine in ids} == {entries[name]}

    def test_entries_of_a_region_without_engines_own_some_of_other_regions(self):
        owned = assign_all(build_names("entry", a=5, b=5), build_names("engine", a=20))
        assert all(len(ids) == 2 for ids in owned.values())

    def test_engines_of_a_lost_entry_get_other_owners(self):
        engines = build_names("engine", a=9)
        left = assign_all(build_names("entry", a=2), engines)
        assert sum(map(len, left.values())) == 9

    def test_only_engines_that_can_serve_are_assigned(self):
        gateway = Gateway(
            engine("good"),
            engine("empty", version=0),
            engine("leaving", is_draining=True),
            engine("out", "zone-c"),
        )
        gateway.evacuated = frozenset({"zone-c"})
        gateway.state.entries = (FleetNode("entry-0", "region-a"),)
        update_ownership(gateway.context)
        assert gateway.state.owned_ids == {"good"}


class TestBorrowing:
    def send(self, gateway: Gateway, count: int) -> list[str]:
        sent: list[str] = []
        for number in range(count):
            effects = gateway.arrive(build_call(str(number)))
            sent.extend(e.endpoint_id for e in effects if isinstance(e, SendCall))
        return sent

    def test_owned_engine_is_preferred(self):
        gateway = Gateway(engine("home"), engine("other"), owned=["home"])
        assert self.send(gateway, 4) == ["home"] * 4

    def test_slots_are_borrowed_once_owned_engines_are_full(self):
        gateway = Gateway(engine("home"), engine("other"), owned=["home"])
        assert self.send(gateway, 5)[-1] == "other"

    def test_borrowers_leave_a_margin_to_the_owner(self):
        gateway = Gateway(engine("other", max_batch=12), owned=[])
        assert len(self.send(gateway, 12)) == 9

    def test_borrowed_slot_is_reported_to_peers_at_once(self):
        gateway = Gateway(engine("home", max_batch=1), engine("other"), owned=["home"])
        first = gateway.arrive(build_call("1"))
        second = gateway.arrive(build_call("2"))
        assert SendLoadBeacon() not in first
        assert SendLoadBeacon() in second
