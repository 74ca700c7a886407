"""Fleet-wide limit on retries, of which each entry enforces its own share.

Guards against entries whose shares add up to more than the limit because they do not
count all their peers, for example after a start or a network partition.
"""

import random

import pytest

from gateways import ORDERS, build_entry_state
from tamaracktray.events import Tick
from tamaracktray.gateway_state import GatewayBounds, GatewayState
from tamaracktray.node_events import CollectionListed
from tamaracktray.node_reducer import reduce_node
from tamaracktray.objects import StoredObject
from tamaracktray.peers import Member
from tamaracktray.snapshots import Collection
from tamaracktray.types import Address

BOUNDS = GatewayBounds()
WINDOW_S = BOUNDS.repeat_window_s
STEP_S = 0.1


class Fleet:
    """Budgets of many entries, with the times of calls and of retries."""

    def __init__(self, entries: int) -> None:
        self.entries = entries
        self.calls: list[float] = []
        self.retries: list[float] = []
        self.restart_all()

    def restart_all(self) -> None:
        self.states = [self.start() for _ in range(self.entries)]

    def start(self) -> GatewayState:
        state = GatewayState("entry", BOUNDS)
        state.set_peer_count(self.entries - 1)
        return state

    def call(self, now: float, state: GatewayState, tries: int) -> None:
        budget = state.find_budget(ORDERS)
        budget.earn(now)
        self.calls.append(now)
        for _ in range(tries):
            if budget.spend(now):
                self.retries.append(now)

    def measure_excess(self) -> float:
        """Return the excess over the limit in the worst window; negative if none."""
        worst = float("-inf")
        for end in sorted(set(self.retries)):
            count = sum(end - WINDOW_S < at <= end for at in self.retries)
            calls = max(
                sum(end - shift_s - WINDOW_S < at <= end - shift_s for at in self.calls)
                for shift_s in (0.0, WINDOW_S / 2, WINDOW_S)
            )
            bound = BOUNDS.repeat_ratio * calls + BOUNDS.repeat_reserve
            worst = max(worst, count - bound)
        return worst


class TestRetryBudget:
    @pytest.mark.parametrize("entries", [1, 4, 35, 330])
    @pytest.mark.parametrize("restarts", [0, 1])
    def test_fleet_stays_within_the_limit_on_retries(self, entries, restarts):
        draw = random.Random(entries)
        fleet = Fleet(entries)
        for step in range(250):
            now = 100.0 + step * STEP_S
            if restarts and step == 150:
                fleet.restart_all()
            is_busy = step < 120 or step > 180
            for _ in range(max(entries // 4, 1) if is_busy else 1):
                fleet.call(now, draw.choice(fleet.states), tries=2)
        assert fleet.measure_excess() <= 0

    @pytest.mark.parametrize("entries", [1, 4, 35, 330])
    def test_retries_are_possible_in_a_fleet_of_any_size(self, entries):
        fleet = Fleet(entries)
        for step in range(200):
            for state in fleet.states:
                fleet.call(step * STEP_S, state, tries=1)
        share = BOUNDS.repeat_ratio * len(fleet.calls)
        assert len(fleet.retries) >= share / 4

    def test_share_is_updated_when_peers_join_after_the_first_call(self):
        state = GatewayState("entry", BOUNDS)
        budget = state.find_budget(ORDERS)
        state.set_peer_count(34)
        spent = sum(budget.spend(1.0) for _ in range(1_000))
        assert spent <= BOUNDS.repeat_reserve / 35

    def test_earned_retries_expire(self):
        state = GatewayState("entry", GatewayBounds(repeat_reserve=0.0))
        budget = state.find_budget(ORDERS)
        for _ in range(100):
            budget.earn(1.0)
        assert not budget.spend(1.0 + 2 * WINDOW_S)

    def test_starting_process_shares_with_all_listed_peers(self):
        state = build_entry_state()
        members = [
            Member(f"entry-{n}", "zone-a", Address("10.0.0.9", 1_000 + n))
            for n in range(35)
        ]
        objects = [StoredObject(item.name, 1, item) for item in members]
        reduce_node(state, CollectionListed(1.0, Collection.MEMBERS, objects, 5))
        assert state.gateway.peer_count == 34

    def test_partitioned_regions_keep_their_shares(self):
        state = build_entry_state()
        member = Member("entry-1", "zone-c", Address("10.0.0.9", 1_000))
        objects = [StoredObject(member.name, 1, member)]
        reduce_node(state, CollectionListed(1.0, Collection.MEMBERS, objects, 5))
        reduce_node(state, Tick(120.0))
        assert state.gateway.peer_count == 1
