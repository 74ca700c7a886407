"""How much work one event makes, counted, so that it does not grow with the fleet."""

import pytest

from gateways import ORDERS, SAFE, Gateway, build_call, engine, worker
from tamaracktray import gateway as gateway_module
from tamaracktray.calls import SendCall
from tamaracktray.outcomes import AttemptPhase
from tamaracktray.placement import choose_endpoint

ENDPOINTS = 29
WAITING = 50


@pytest.fixture
def choices(monkeypatch) -> list[str]:
    """The calls for which an endpoint was looked for, by id."""
    chosen: list[str] = []

    def choose(now, call, *args):
        chosen.append(call.id)
        return choose_endpoint(now, call, *args)

    monkeypatch.setattr(gateway_module, "choose_endpoint", choose)
    return chosen


class TestWaitingCalls:
    """Calls wait while all endpoints are full, which every event might have changed."""

    def build(self, *others) -> Gateway:
        gateway = Gateway(*(engine(f"e{n}") for n in range(ENDPOINTS)), *others)
        for load in gateway.state.loads_by_id.values():
            if load.record.service != ORDERS:
                load.note_peer(0.0, "peer", load.record.max_batch)
        for number in range(WAITING):
            assert gateway.arrive(build_call(f"w{number}")) == []
        assert len(gateway.state.waiting) == WAITING
        return gateway

    def test_none_is_looked_at_while_no_endpoint_has_room(self, choices):
        gateway = self.build()
        choices.clear()
        assert gateway.tick(0.01) == []
        assert choices == []

    def test_none_is_looked_at_for_room_that_it_cannot_use(self, choices):
        gateway = self.build(worker("x"), engine("old", version=0))
        choices.clear()
        assert gateway.tick(0.01) == []
        assert choices == []

    def test_one_place_is_looked_for_once(self, choices):
        gateway = self.build()
        choices.clear()
        gateway.load("e3").note_peer(0.01, "peer", 3)
        sent = [effect for effect in gateway.tick(0.01) if isinstance(effect, SendCall)]
        assert [effect.endpoint_id for effect in sent] == ["e3"]
        assert len(choices) == 1

    def test_end_of_a_call_makes_room_for_one(self, choices):
        gateway = self.build(worker("x", max_batch=1))
        first, second = build_call("first", SAFE), build_call("second", SAFE)
        assert len(gateway.arrive(first)) == 1
        assert gateway.arrive(second) == []
        choices.clear()
        sent = gateway.end(first, "x", AttemptPhase.ANSWERED)
        assert [effect.call_id for effect in sent] == ["second"]
        assert choices == ["second"]
