"""Exchanges of beacons among processes that know different things.

Guards against exchanges that feed themselves.
"""

import random
from collections import Counter

import pytest

from gateways import build_entry_state
from tamaracktray.beacons import Beacon
from tamaracktray.node_events import (
    BeaconReceived,
    CollectionListed,
    SendBeacon,
    SnapshotsReceived,
)
from tamaracktray.node_reducer import reduce_node
from tamaracktray.node_state import NodeState
from tamaracktray.objects import StoredObject
from tamaracktray.snapshots import Collection
from tamaracktray.types import Address

QUIET = (Collection.EVACUATIONS, Collection.VERSIONS, Collection.QUARANTINES)


class Exchange:
    """Processes that answer each other's beacons in virtual time, and pull nothing."""

    def __init__(self, count: int, seed: int = 0) -> None:
        self.states = [build_entry_state() for _ in range(count)]
        self.sent: Counter[tuple[int, int]] = Counter()
        self.now = 0.0
        self._numbers = [0] * count
        self._incarnations = [1] * count
        self._random = random.Random(seed)
        self._in_flight: list[tuple[int, int, Beacon]] = []

    def list(self, number: int, collection: Collection, revision: int) -> None:
        """Let a process read a collection that was changed at a revision."""
        item = StoredObject(f"object-{revision}", revision, None)
        event = CollectionListed(self.now, collection, [item], revision, 1)
        reduce_node(self.states[number], event)

    def restart(self, number: int, revision: int) -> None:
        self.states[number] = build_entry_state()
        self._incarnations[number] += 1
        self._numbers[number] = 0
        for collection in Collection:
            self.list(number, collection, revision)

    def send(self, sender: int, receiver: int) -> None:
        self._numbers[sender] += 1
        cache = self.states[sender].snapshot_cache
        beacon = Beacon(
            f"entry-{sender}",
            self._incarnations[sender],
            self._numbers[sender],
            cache.list_positions(),
            cache.list_changed_positions(),
        )
        self._in_flight.append((sender, receiver, beacon))

    def broadcast(self, sender: int) -> None:
        for receiver in range(len(self.states)):
            if receiver != sender:
                self.send(sender, receiver)

    def run(self, limit: int) -> int:
        """Deliver beacons in any order, some twice; return the number of answers."""
        answers = 0
        while self._in_flight and answers <= limit:
            index = self._random.randrange(len(self._in_flight))
            sender, receiver, beacon = self._in_flight.pop(index)
            self.now += 0.0001
            address = Address("10.0.0.1", 1_000 + sender)
            event = BeaconReceived(self.now, beacon, address)
            effects = reduce_node(self.states[receiver], event)[1]
            for effect in effects:
                if isinstance(effect, SendBeacon):
                    answers += 1
                    self.sent[receiver, sender] += 1
                    self.send(receiver, sender)
        return answers


def build_crossed(count: int, seed: int = 0) -> Exchange:
    """Return processes of which the first has restarted and the others know a change.

    The restarted process knows quiet collections by a newer revision than the others,
    who know members that its own watch hasn't delivered yet.
    """
    exchange = Exchange(count, seed)
    for number in range(count):
        for collection in Collection:
            exchange.list(number, collection, 10)
    exchange.restart(0, 20)
    for number in range(1, count):
        exchange.list(number, Collection.MEMBERS, 30 + number)
    return exchange


class TestExchange:
    @pytest.mark.parametrize("count", [2, 16, 35, 330])
    def test_exchange_of_crossed_knowledge_ends_by_itself(self, count):
        exchange = build_crossed(count)
        exchange.broadcast(0)
        answers = exchange.run(limit=10 * count)
        # One answer in each direction between the restarted process and each other one.
        assert answers <= 2 * (count - 1)
        assert max(exchange.sent.values()) <= 1

    @pytest.mark.parametrize("seed", range(5))
    def test_regular_beacons_of_all_cause_one_answer_for_each_state(self, seed):
        exchange = build_crossed(16, seed)
        for _ in range(4):
            for number in range(16):
                exchange.broadcast(number)
            assert exchange.run(limit=10_000) <= 16 * 15
        assert max(exchange.sent.values()) <= 1

    def test_new_change_and_restarted_peer_are_answered_again(self):
        exchange = build_crossed(2)
        exchange.broadcast(0)
        exchange.run(limit=100)
        exchange.list(1, Collection.ENDPOINTS, 50)
        exchange.broadcast(0)
        exchange.run(limit=100)
        assert exchange.sent[1, 0] == 2
        exchange.restart(0, 20)
        exchange.broadcast(0)
        exchange.run(limit=100)
        assert exchange.sent[1, 0] == 3

    def test_process_that_has_caught_up_is_not_answered(self):
        exchange = build_crossed(2)
        first, second = exchange.states
        snapshots = second.snapshot_cache.select_newer(
            first.snapshot_cache.list_positions()
        )
        reduce_node(first, SnapshotsReceived(1.0, snapshots))
        exchange.broadcast(0)
        exchange.run(limit=100)
        assert exchange.sent[1, 0] == 0


def test_state_of_a_process_that_knows_nothing_is_not_told():
    state: NodeState = build_entry_state()
    beacon = Beacon("peer", 1, 1, {}, {})
    event = BeaconReceived(0.0, beacon, Address("10.0.0.1", 1_000))
    assert not any(
        isinstance(effect, SendBeacon) for effect in reduce_node(state, event)[1]
    )
