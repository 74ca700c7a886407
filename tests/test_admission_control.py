"""Admission by urgency: ranks, the order of the queue, shedding and displacement."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gateways import SAFE, Gateway, build_call, worker
from tamaracktray.call_building import build_call as build_from_request
from tamaracktray.http_messages import Request
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
from tamaracktray.wait_queue import WaitQueue


class TestRank:
    """Guards against losing a route's urgency for callers with a team."""

    @pytest.mark.parametrize(
        ("team_priority", "rank"), [(None, (2, 2)), (0, (0, 2)), (3, (3, 2))]
    )
    def test_rank_is_the_team_priority_then_the_route_priority(
        self, team_priority, rank
    ):
        route = Route(
            "r", "h", "/", RepeatKind.SAFE, (Backend("s"),), 6.0, 0.4, priority=2
        )
        teams = (Team("t", ("key",), priority=team_priority),)
        index = RouteIndex(RoutingTable(1, (route,), {}, teams))
        request = Request("GET", "/", "/", {}, {"host": "h"})
        built = build_from_request(0.0, index, request, CallerFields("1", key="key"))
        assert built.unwrap().rank == rank


class TestQueueOrder:
    """Guards against serving less urgent routes of a team first."""

    def test_route_priority_orders_calls_of_equal_team_priority(self):
        gateway = Gateway(worker("w", max_batch=1))
        first = build_call("1", SAFE)
        gateway.arrive(first)
        gateway.arrive(build_call("later", SAFE, priority=1, route_priority=2))
        gateway.arrive(build_call("urgent", SAFE, priority=1, route_priority=0))
        effects = gateway.end(first, "w", AttemptPhase.ANSWERED)
        assert [item.call_id for item in effects] == ["urgent"]

    def test_team_priority_ranks_before_route_priority(self):
        queue = WaitQueue()
        queue.push(0.0, build_call("a", priority=2, route_priority=0), cost=1.0)
        queue.push(0.0, build_call("b", priority=1, route_priority=2), cost=1.0)
        assert [call.id for call in queue.list_ordered()] == ["b", "a"]

    def test_underserved_sizes_precede_within_a_rank_only(self):
        queue = WaitQueue()
        urgent = build_call("urgent", route_priority=0)
        queue.push(0.0, build_call("cheap", route_priority=1), cost=1.0)
        queue.push(
            0.0, build_call("large", route_priority=1), cost=9.0, is_underserved=True
        )
        queue.push(0.0, urgent, cost=5.0)
        ordered = [call.id for call in queue.list_ordered()]
        assert ordered == ["urgent", "large", "cheap"]

    @given(
        st.lists(
            st.tuples(st.integers(0, 3), st.booleans(), st.integers(0, 5)), max_size=20
        ),
        st.integers(0, 3),
    )
    def test_one_route_priority_leaves_the_order_as_it_was(self, calls, shared):
        with_routes, without = WaitQueue(), WaitQueue()
        for number, (priority, is_underserved, cost) in enumerate(calls):
            name = str(number)
            options = {"cost": float(cost), "is_underserved": is_underserved}
            call = build_call(name, priority=priority, route_priority=shared)
            with_routes.push(0.0, call, **options)
            without.push(0.0, build_call(name, priority=priority), **options)
        assert [call.id for call in with_routes.list_ordered()] == [
            call.id for call in without.list_ordered()
        ]
