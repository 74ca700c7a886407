"""Calls that are open when another routing table comes into force.

Guards against attempts that only an earlier table allows, against repeats of unsafe
calls and against refusals that deny a run.
"""

from typing import Any

import msgspec
import pytest

from gateways import (
    MODEL,
    ORDERS,
    SERVICES,
    build_entry_state,
    build_route,
    engine,
    sent,
    worker,
)
from tamaracktray.call_building import build_call
from tamaracktray.call_context import may_send
from tamaracktray.calls import (
    AbortAnswer,
    Call,
    CallArrived,
    CallAttemptEnded,
    CallStarted,
    RefuseCall,
    SendCall,
)
from tamaracktray.effects import Effect
from tamaracktray.http_messages import Request
from tamaracktray.node_events import CollectionListed
from tamaracktray.node_reducer import reduce_node
from tamaracktray.objects import StoredObject
from tamaracktray.outcomes import AttemptPhase
from tamaracktray.protocol import CallerFields
from tamaracktray.routes import (
    Backend,
    RepeatKind,
    Route,
    RouteIndex,
    RoutingTable,
    Team,
)
from tamaracktray.snapshots import Collection
from tamaracktray.types import RunState

KEY = "key-1"
SAFE = build_route(RepeatKind.SAFE, ORDERS)
UNSAFE = build_route(RepeatKind.UNSAFE, ORDERS)
STREAM = build_route(RepeatKind.STREAM, "engines")
PUBLIC = build_route(RepeatKind.SAFE, ORDERS, is_public=True)

# Workers of both regions with one slot each.
NEAR = worker("near", max_batch=1)
FAR = worker("far", zone="zone-c", max_batch=1)


def team(name: str = "red", key: str = KEY, *regions: str, **fields: Any) -> Team:
    return Team(name, (key,), allowed_regions=regions, **fields)


class Entry:
    """An entry's reducer; each configuration has a higher version."""

    def __init__(self, *records: Any, route: Route = SAFE) -> None:
        self.state = build_entry_state()
        self.version = 0
        self.now = 1.0
        self.route = route
        self.configure(team())
        self._list(Collection.ENDPOINTS, {item.id: item for item in records})

    def _list(self, collection: Collection, values: dict[str, Any]) -> list[Effect]:
        self.version += 1
        objects = [
            StoredObject(name, self.version, value) for name, value in values.items()
        ]
        return self.feed(
            CollectionListed(self.now, collection, objects, self.version, 1)
        )

    def feed(self, event: Any) -> list[Effect]:
        return reduce_node(self.state, event)[1]

    def configure(self, *teams: Team, **changes: Any) -> list[Effect]:
        """Bring a table with these teams and a changed route into force."""
        route = msgspec.structs.replace(self.route, **changes)
        table = RoutingTable(self.version + 1, (route,), SERVICES, teams)
        return self._list(Collection.ROUTING, {"main": table})

    def drop_route(self) -> list[Effect]:
        table = RoutingTable(self.version + 1, (), SERVICES, (team(),))
        return self._list(Collection.ROUTING, {"main": table})

    def build(self, name: str, index: RouteIndex | None = None) -> Call:
        request = Request("POST", "/1", "/1", {}, {"host": "h"}, name.encode())
        fields = CallerFields(name, KEY, model=MODEL)
        built = build_call(self.now, index or self.state.index, request, fields)
        return msgspec.structs.replace(built.unwrap(), id=name)

    def arrive(self, name: str) -> list[Effect]:
        return self.feed(CallArrived(self.now, self.build(name)))

    def end(
        self, name: str, endpoint: str, phase: AttemptPhase, **fields: Any
    ) -> list[Effect]:
        event = CallAttemptEnded(self.now, name, endpoint, phase, **fields)
        return self.feed(event)

    def find_call(self, name: str) -> Call:
        return self.state.gateway.pending_by_id[name].call


def find_send(effects: list[Effect]) -> SendCall:
    (found,) = [item for item in effects if isinstance(item, SendCall)]
    return found


def list_refusals(effects: list[Effect]) -> list[tuple[int, RunState]]:
    return [
        (item.refusal.status, item.refusal.run)
        for item in effects
        if isinstance(item, RefuseCall)
    ]


class TestWaitingCalls:
    def test_waiting_call_goes_only_to_the_new_regions(self):
        entry = Entry(NEAR, FAR)
        for name in ("a", "b", "c"):
            entry.arrive(name)
        entry.configure(team("red", KEY, "region-c"))
        near, far = "near", "far"
        held = {
            pending.endpoint_id: name
            for name, pending in entry.state.gateway.pending_by_id.items()
        }
        assert not sent(entry.end(held[near], near, AttemptPhase.ANSWERED))
        assert sent(entry.end(held[far], far, AttemptPhase.ANSWERED)) == [far]

    def test_waiting_call_goes_at_once_to_a_region_that_is_added(self):
        entry = Entry(NEAR, FAR)
        entry.configure(team("red", KEY, "region-a"))
        entry.arrive("a")
        assert not entry.arrive("b")
        assert sent(entry.configure(team("red", KEY))) == ["far"]

    def test_waiting_calls_without_an_endpoint_are_refused_at_once(self):
        entry = Entry(NEAR)
        entry.arrive("a")
        assert not entry.arrive("b")
        effects = entry.configure(team("red", KEY, "region-c"))
        assert list_refusals(effects) == [(503, RunState.NOT_RUN)]
        assert not len(entry.state.gateway.waiting)

    @pytest.mark.parametrize("route", [SAFE, UNSAFE])
    @pytest.mark.parametrize("status", [401, 404])
    def test_waiting_call_that_is_no_longer_allowed_is_refused(self, route, status):
        entry = Entry(NEAR, route=route)
        entry.arrive("a")
        entry.arrive("b")
        effects = (
            entry.configure(team("red", "other"))
            if status == 401
            else entry.drop_route()
        )
        assert list_refusals(effects) == [(status, RunState.NOT_RUN)]
        assert list(entry.state.gateway.pending_by_id) == ["a"]

    def test_wait_is_neither_longer_nor_in_another_order(self):
        entry = Entry(NEAR)
        for name in ("a", "b", "c"):
            entry.arrive(name)
            entry.now += 0.01
        calls = [entry.find_call(name) for name in ("b", "c")]
        entry.configure(team("red", KEY, priority=9), timeout_s=60.0)
        waiting = entry.state.gateway.waiting
        rebound = waiting.list_ordered()
        assert [item.id for item in rebound] == ["b", "c"]
        assert [item.deadline for item in rebound] == [item.deadline for item in calls]
        assert [item.priority for item in rebound] == [item.priority for item in calls]
        assert len(waiting.remove_expired(1.0 + 0.02 + SAFE.target_latency_s)) == 2


class TestAttemptsBeingOpened:
    def test_attempt_outside_the_new_regions_is_withdrawn(self):
        entry = Entry(NEAR, FAR)
        decision = find_send(entry.arrive("a"))
        assert decision.endpoint_id == "near"
        assert may_send(entry.state, entry.now, decision, 0.0)
        entry.configure(team("red", KEY, "region-c"))
        assert not may_send(entry.state, entry.now, decision, 0.0)
        effects = entry.end("a", "near", AttemptPhase.WITHDRAWN)
        assert find_send(effects).endpoint_id == "far"
        assert find_send(effects).attempt == 1

    def test_attempt_with_the_name_of_an_earlier_team_is_withdrawn(self):
        entry = Entry(NEAR, FAR)
        decision = find_send(entry.arrive("a"))
        assert decision.team == "red"
        entry.configure(team("red", "other"), team("blue"))
        assert not may_send(entry.state, entry.now, decision, 0.0)
        again = find_send(entry.end("a", "near", AttemptPhase.WITHDRAWN))
        assert again.team == "blue"
        assert may_send(entry.state, entry.now, again, 0.0)

    def test_attempt_with_a_dropped_key_is_withdrawn_and_refused(self):
        entry = Entry(NEAR, FAR)
        decision = find_send(entry.arrive("a"))
        assert not list_refusals(entry.configure(team("red", "other")))
        assert not may_send(entry.state, entry.now, decision, 0.0)
        effects = entry.end("a", "near", AttemptPhase.WITHDRAWN)
        assert list_refusals(effects) == [(401, RunState.NOT_RUN)]
        assert not sent(effects)

    def test_key_that_is_back_in_time_withdraws_nothing(self):
        entry = Entry(NEAR, FAR)
        decision = find_send(entry.arrive("a"))
        entry.configure(team("red", "other"))
        entry.configure(team())
        assert may_send(entry.state, entry.now, decision, 0.0)


class TestRunningCalls:
    @pytest.mark.parametrize("is_key_dropped", [True, False])
    def test_running_call_is_not_repeated_and_not_called_unrun(self, is_key_dropped):
        entry = Entry(NEAR, FAR)
        entry.arrive("a")
        effects = (
            entry.configure(team("red", "other"))
            if is_key_dropped
            else entry.drop_route()
        )
        assert not list_refusals(effects)
        effects = entry.end("a", "near", AttemptPhase.SENT)
        assert not sent(effects)
        ((status, run),) = list_refusals(effects)
        assert (status, run) == (502, RunState.UNKNOWN)

    def test_call_that_the_endpoint_did_not_run_is_refused_like_a_new_one(self):
        entry = Entry(NEAR, FAR)
        entry.arrive("a")
        entry.configure(team("red", "other"))
        effects = entry.end("a", "near", AttemptPhase.REFUSED)
        assert list_refusals(effects) == [(401, RunState.NOT_RUN)]

    def test_running_call_is_repeated_only_in_the_new_regions(self):
        entry = Entry(NEAR, worker("second"), FAR)
        first = find_send(entry.arrive("a")).endpoint_id
        entry.configure(team("red", KEY, "region-c"))
        assert sent(entry.end("a", first, AttemptPhase.SENT)) == ["far"]

    def test_attempts_are_limited_by_the_route_in_force(self):
        entry = Entry(NEAR, worker("second"), FAR)
        first = find_send(entry.arrive("a")).endpoint_id
        entry.configure(team(), max_attempts=1)
        assert not sent(entry.end("a", first, AttemptPhase.SENT))

    @pytest.mark.parametrize(
        ("before", "after"),
        [(RepeatKind.UNSAFE, RepeatKind.SAFE), (RepeatKind.SAFE, RepeatKind.UNSAFE)],
    )
    def test_call_that_was_ever_unsafe_is_not_repeated(self, before, after):
        entry = Entry(NEAR, FAR, route=build_route(before, ORDERS))
        entry.arrive("a")
        entry.configure(team(), kind=after)
        entry.configure(team(), kind=RepeatKind.SAFE)
        assert not sent(entry.end("a", "near", AttemptPhase.SENT))

    @pytest.mark.parametrize(
        ("change", "resumed_at"),
        [
            ({}, "far"),
            ({"is_resumable": False}, None),
            ({"kind": RepeatKind.SAFE}, None),
        ],
    )
    def test_stream_is_resumed_as_the_route_in_force_allows(self, change, resumed_at):
        entry = Entry(
            engine("near"), engine("second"), engine("far", "zone-c"), route=STREAM
        )
        first = find_send(entry.arrive("a")).endpoint_id
        entry.feed(CallStarted(entry.now, "a", first, 1, has_event_id=True))
        entry.configure(team("red", KEY, "region-c"), **change)
        effects = entry.end("a", first, AttemptPhase.CUT, last_event_id="3")
        assert sent(effects) == ([resumed_at] if resumed_at else [])
        is_aborted = any(isinstance(item, AbortAnswer) for item in effects)
        assert is_aborted is (resumed_at is None)

    def test_begun_stream_of_a_dropped_key_is_aborted_once_it_breaks(self):
        entry = Entry(engine("near"), engine("second"), route=STREAM)
        first = find_send(entry.arrive("a")).endpoint_id
        entry.feed(CallStarted(entry.now, "a", first, 1, has_event_id=True))
        effects = entry.configure(team("red", "other"))
        assert not any(isinstance(item, AbortAnswer) for item in effects)
        effects = entry.end("a", first, AttemptPhase.CUT, last_event_id="3")
        assert any(isinstance(item, AbortAnswer) for item in effects)
        assert not sent(effects)


class TestPublicRoutes:
    """A key that is known no longer must not run without the regions of its team."""

    def test_waiting_call_with_a_dropped_key_is_refused(self):
        entry = Entry(NEAR, route=PUBLIC)
        entry.arrive("a")
        entry.arrive("b")
        effects = entry.configure(team("red", "other"), is_public=True)
        assert list_refusals(effects) == [(401, RunState.NOT_RUN)]

    def test_call_without_a_key_goes_on(self):
        entry = Entry(NEAR, FAR, route=PUBLIC)
        entry.arrive("a")
        call = msgspec.structs.replace(entry.build("b"), key="", team="")
        entry.configure(team("red", "other"))
        assert sent(entry.feed(CallArrived(entry.now, call))) == ["far"]


class TestRoutesWithoutServices:
    @pytest.mark.parametrize("backends", [(), (Backend(ORDERS, 0.0),)])
    def test_waiting_call_is_refused_and_the_process_goes_on(self, backends):
        entry = Entry(NEAR)
        entry.arrive("a")
        entry.arrive("b")
        effects = entry.configure(team(), backends=backends)
        assert list_refusals(effects) == [(503, RunState.NOT_RUN)]
        assert not sent(entry.end("a", "near", AttemptPhase.NOT_SENT))


class TestArrivals:
    def test_call_built_with_an_earlier_table_follows_the_one_in_force(self):
        entry = Entry(NEAR, FAR)
        call = entry.build("a")
        entry.configure(team("red", "other"), team("blue", KEY, "region-c"))
        decision = find_send(entry.feed(CallArrived(entry.now, call)))
        assert (decision.endpoint_id, decision.team) == ("far", "blue")

    def test_call_built_with_a_dropped_key_is_refused(self):
        entry = Entry(NEAR, FAR)
        call = entry.build("a")
        entry.configure(team("red", "other"))
        effects = entry.feed(CallArrived(entry.now, call))
        assert list_refusals(effects) == [(401, RunState.NOT_RUN)]
        assert not entry.state.gateway.pending_by_id
