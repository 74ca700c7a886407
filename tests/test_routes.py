"""Lookup of routes and teams, and construction of calls from requests.

Guards against calls that get the wrong route, team, deadline or regions.
"""

import pytest
from returns.result import Failure, Success

from tamaracktray.call_binding import intersect_regions, order_services
from tamaracktray.call_building import build_call
from tamaracktray.http_messages import Request
from tamaracktray.protocol import CallerFields
from tamaracktray.routes import (
    Backend,
    RepeatKind,
    Route,
    RouteIndex,
    RoutingTable,
    Team,
)


def build_route(name: str, host: str = "h", prefix: str = "/", **fields) -> Route:
    defaults = {
        "kind": RepeatKind.SAFE,
        "backends": (Backend("orders"),),
        "timeout_s": 2.0,
        "target_latency_s": 0.1,
    }
    return Route(name=name, host=host, path_prefix=prefix, **{**defaults, **fields})


def build_index(*routes: Route, teams: tuple[Team, ...] = ()) -> RouteIndex:
    return RouteIndex(RoutingTable(1, routes, {}, teams))


def build_request(host: str = "h", target: str = "/a/b", body: bytes = b"") -> Request:
    return Request("GET", target, target, {}, {"host": host}, body)


class TestRouteIndex:
    @pytest.mark.parametrize(
        ("path", "expected"),
        [
            ("/a/b/c", "deep"),
            ("/a/b/", "deep"),
            ("/a/b", "shallow"),
            ("/a/x", "shallow"),
            ("/x", None),
            ("/", None),
            ("", None),
        ],
    )
    def test_longest_prefix_wins(self, path, expected):
        routes = build_index(
            build_route("shallow", prefix="/a/"), build_route("deep", prefix="/a/b/")
        )
        found = routes.find_route("h", path)
        assert (found.name if found else None) == expected

    def test_root_prefix_matches_all_other_paths(self):
        routes = build_index(build_route("root"), build_route("deep", prefix="/a/"))
        assert routes.find_route("h", "/b").name == "root"

    def test_other_hosts_have_no_route(self):
        assert build_index(build_route("root")).find_route("other", "/") is None

    def test_keys_are_required_if_there_are_teams(self):
        assert not build_index(build_route("root")).needs_keys
        assert build_index(build_route("root"), teams=(Team("t", ("k",)),)).needs_keys


class TestIdempotence:
    @pytest.mark.parametrize(
        ("kind", "is_resumable", "expected"),
        [
            (RepeatKind.SAFE, False, True),
            (RepeatKind.UNSAFE, False, False),
            (RepeatKind.UNSAFE, True, False),
            (RepeatKind.STREAM, False, False),
            (RepeatKind.STREAM, True, True),
        ],
    )
    def test_idempotence_depends_on_the_kind(self, kind, is_resumable, expected):
        route = build_route("r", kind=kind, is_resumable=is_resumable)
        assert route.is_idempotent is expected


class TestBuildCall:
    TEAMS = (Team("a-team", ("good",), priority=3), Team("plain", ("other",)))

    def build(self, routes: RouteIndex, key: str = "", **fields):
        caller = CallerFields("id-1", key=key, **fields)
        return build_call(10.0, routes, build_request(), caller)

    @pytest.mark.parametrize(
        ("key", "is_public", "status"),
        [
            ("", False, 401),
            ("bad", False, 401),
            ("good", False, None),
            ("", True, None),
            ("good", True, None),
            ("bad", True, 401),
        ],
    )
    def test_keys(self, key, is_public, status):
        routes = build_index(build_route("r", is_public=is_public), teams=self.TEAMS)
        built = self.build(routes, key)
        assert (built.failure().status if isinstance(built, Failure) else None) == (
            status
        )

    def test_keys_are_ignored_without_teams(self):
        assert self.build(build_index(build_route("r")), "bad").unwrap().team == ""

    def test_missing_route_is_reported_before_a_missing_key(self):
        routes = build_index(build_route("r", host="other"), teams=self.TEAMS)
        assert self.build(routes).failure().status == 404

    def test_host_match_ignores_port_and_case(self):
        caller = CallerFields("id-1")
        built = build_call(
            0.0, build_index(build_route("r")), build_request(host="H:8080"), caller
        )
        assert isinstance(built, Success)

    @pytest.mark.parametrize(
        ("wait_s", "deadline"), [(None, 12.0), (1.0, 11.0), (9.0, 12.0)]
    )
    def test_deadline_is_the_earlier_of_caller_and_route(self, wait_s, deadline):
        call = self.build(build_index(build_route("r")), wait_s=wait_s).unwrap()
        assert call.deadline == deadline

    @pytest.mark.parametrize(("key", "priority"), [("good", 3), ("other", 7)])
    def test_team_priority_overrides_the_route(self, key, priority):
        routes = build_index(build_route("r", priority=7), teams=self.TEAMS)
        assert self.build(routes, key).unwrap().priority == priority

    def test_equal_requests_share_a_fingerprint(self):
        routes = build_index(build_route("r"))
        bodies = (b"x", b"x", b"y")
        calls = [
            build_call(0.0, routes, build_request(body=body), CallerFields(str(number)))
            for number, body in enumerate(bodies)
        ]
        prints = [call.unwrap().fingerprint for call in calls]
        assert prints[0] == prints[1] != prints[2]
        assert len({call.unwrap().id for call in calls}) == 3


class TestRegions:
    @pytest.mark.parametrize(
        ("by_route", "by_team", "expected"),
        [
            ((), (), set()),
            (("a",), (), {"a"}),
            ((), ("b",), {"b"}),
            (("a", "b"), ("b", "c"), {"b"}),
        ],
    )
    def test_route_and_team_both_restrict(self, by_route, by_team, expected):
        team = Team("t", allowed_regions=by_team)
        assert (
            intersect_regions(build_route("r", allowed_regions=by_route), team)
            == expected
        )

    def test_disjoint_regions_allow_none(self):
        team = Team("t", allowed_regions=("b",))
        joined = intersect_regions(build_route("r", allowed_regions=("a",)), team)
        assert joined
        assert not joined & {"a", "b"}


class TestOrderServices:
    def test_shares_follow_the_weights(self):
        split = (Backend("big", 90.0), Backend("small", 10.0))
        drawn = [
            order_services(build_route("r", backends=split), f"id-{number}")[0]
            for number in range(2_000)
        ]
        assert 0.87 < drawn.count("big") / len(drawn) < 0.93

    def test_order_is_deterministic(self):
        split = (Backend("a", 1.0), Backend("b", 1.0))
        route = build_route("r", backends=split)
        assert order_services(route, "id") == order_services(route, "id")

    def test_zero_weight_gets_no_requests(self):
        split = (Backend("a", 1.0), Backend("b", 0.0))
        assert order_services(build_route("r", backends=split), "id") == ("a",)
