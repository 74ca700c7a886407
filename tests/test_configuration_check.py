"""The check of a routing configuration by ``tamaractl check``."""

import json
from pathlib import Path
from typing import Any

import msgspec
import pytest
from typer.testing import CliRunner

from tamaracktray.cli import app
from tamaracktray.configuration_check.differences import compare_tables
from tamaracktray.configuration_check.findings import FindingKind, check_table
from tamaracktray.routes import (
    Backend,
    CallerLimits,
    RepeatKind,
    Route,
    RouteIndex,
    RoutingTable,
    Service,
    Team,
)
from tamaracktray_emulator.platform.documents import (
    build_configuration,
    build_plain_service,
    build_route,
    build_tenant,
)

LOOK = Route(
    "look", "a.example", "/look/", RepeatKind.SAFE, (Backend("orders"),), 2.0, 0.4
)
TALK = Route(
    "talk",
    "a.example",
    "/talk/",
    RepeatKind.STREAM,
    (Backend("orders"),),
    6.0,
    0.4,
    gap_target_s=0.1,
)
TABLE = RoutingTable(
    3,
    (LOOK, TALK),
    {"orders": Service("orders")},
    (Team("red", ("key-1",)), Team("blue", ("key-2",))),
)


def change(entry: Any, **fields: object) -> Any:
    return msgspec.structs.replace(entry, **fields)


def find(table: RoutingTable) -> list[tuple[FindingKind, str]]:
    """Return kind and subject of all findings."""
    return [(item.kind, item.subject) for item in check_table(table)]


def find_in_route(**fields: object) -> list[tuple[FindingKind, str]]:
    """Return the findings in a table whose stream route has other fields."""
    return find(change(TABLE, routes=(LOOK, change(TALK, **fields))))


class TestErrors:
    def test_sound_table_has_no_findings(self):
        assert find(TABLE) == []

    @pytest.mark.parametrize(
        "fields",
        [
            {"backends": ()},
            {"backends": (Backend("lost"),)},
            {"backends": (Backend("orders", 0.0),)},
            {"backends": (Backend("orders"), Backend("orders", -1.0))},
            {"timeout_s": 0.0},
            {"max_attempts": 0},
        ],
    )
    def test_route_that_can_serve_no_request_is_an_error(self, fields):
        assert find_in_route(**fields) == [(FindingKind.ERROR, "route talk")]

    def test_name_used_twice_is_an_error(self):
        table = change(TABLE, routes=(LOOK, change(TALK, name="look")))
        assert find(table) == [(FindingKind.ERROR, "route look")]
        table = change(TABLE, teams=(Team("red", ("a",)), Team("red", ("b",))))
        assert find(table) == [(FindingKind.ERROR, "team red")]

    def test_key_of_two_teams_is_an_error_that_does_not_show_the_key(self):
        teams = (Team("red", ("key-1",)), Team("blue", ("key-1", "key-2")))
        findings = check_table(change(TABLE, teams=teams))
        assert [item.subject for item in findings] == ["team blue"]
        assert "key-1" not in findings[0].message


class TestUnusedEntries:
    def test_route_shadowed_by_equal_host_and_prefix_is_found(self):
        """The index keeps the last of equal routes."""
        routes = (LOOK, change(TALK, path_prefix="/look/"))
        assert find(change(TABLE, routes=routes)) == [
            (FindingKind.UNUSED, "route look")
        ]
        index = RouteIndex(change(TABLE, routes=routes))
        assert index.find_route("a.example", "/look/1").name == "talk"

    def test_equal_prefix_on_another_host_shadows_nothing(self):
        assert find_in_route(path_prefix="/look/", host="b.example") == []

    @pytest.mark.parametrize(
        "fields",
        [
            {"path_prefix": "/talk"},
            {"path_prefix": "talk/"},
            {"host": "A.example"},
            {"host": "a.example:80"},
        ],
    )
    def test_route_that_no_request_matches_is_found(self, fields):
        assert find_in_route(**fields) == [(FindingKind.UNUSED, "route talk")]

    def test_team_without_keys_is_found(self):
        table = change(TABLE, teams=(Team("red"),))
        assert find(table) == [(FindingKind.UNUSED, "team red")]


class TestContradictions:
    @pytest.mark.parametrize("fields", [{"timeout_s": 0.3}, {"gap_target_s": 0.0}])
    def test_limits_of_a_route_that_contradict_are_found(self, fields):
        assert find_in_route(**fields) == [(FindingKind.CONTRADICTION, "route talk")]

    def test_timeout_equal_to_the_target_and_plain_route_without_gap_are_sound(self):
        assert find_in_route(timeout_s=0.4) == []
        assert find_in_route(kind=RepeatKind.SAFE, gap_target_s=0.0) == []

    def test_body_limit_under_the_header_limit_is_found(self):
        limits = CallerLimits(max_header_bytes=100, max_body_bytes=99)
        assert find(change(TABLE, limits=limits)) == [
            (FindingKind.CONTRADICTION, "limits")
        ]
        limits = CallerLimits(max_header_bytes=100, max_body_bytes=100)
        assert find(change(TABLE, limits=limits)) == []


class TestDifferences:
    def test_equal_tables_do_not_differ(self):
        assert compare_tables(TABLE, change(TABLE)) == []

    def test_changed_added_and_removed_entries_are_listed(self):
        new = change(
            TABLE,
            version=4,
            routes=(change(LOOK, timeout_s=3.0),),
            services_by_name={"orders": Service("orders"), "new": Service("new")},
            limits=CallerLimits(idle_timeout_s=15.0),
        )
        rows = [
            (item.subject, item.field, item.old, item.new)
            for item in compare_tables(TABLE, new)
        ]
        assert rows == [
            ("configuration", "version", "3", "4"),
            ("route look", "timeout_s", "2.0", "3.0"),
            ("route talk", "", "present", "absent"),
            ("service new", "", "absent", "present"),
            ("limits", "idle_timeout_s", "30.0", "15.0"),
        ]

    def test_changed_keys_are_listed_without_the_keys(self):
        new = change(TABLE, teams=(Team("red", ("key-9",)), TABLE.teams[1]))
        (difference,) = compare_tables(TABLE, new)
        assert (difference.subject, difference.field) == ("team red", "keys")
        assert "key-" not in difference.old + difference.new


class TestCommand:
    def write(self, path: Path, version: int = 1, **fields: object) -> str:
        """Write a configuration whose route has some fields; return its path."""
        route = build_route("look", "safe", "orders", **fields)
        document = build_configuration(
            version,
            [route],
            [build_plain_service("orders")],
            [build_tenant("red", "key-1")],
        )
        path.write_bytes(msgspec.json.encode(document))
        return str(path)

    def run(self, *arguments: str) -> Any:
        return CliRunner().invoke(app, ["check", *arguments])

    def test_sound_configuration_exits_with_0(self, tmp_path):
        result = self.run(self.write(tmp_path / "new.json"))
        assert result.exit_code == 0, result.output
        assert "no findings" in result.output

    def test_findings_exit_with_1_and_are_listed(self, tmp_path):
        fields = {"timeoutMs": 100.0, "targetLatencyMs": 200.0}
        result = self.run(self.write(tmp_path / "new.json", **fields))
        assert result.exit_code == 1
        assert "route look" in result.output
        assert "0.1 s is shorter than the target latency of 0.2 s" in result.output

    @pytest.mark.parametrize("content", [b"", b"{}", b"[1", b'{"version": "x"}'])
    def test_unreadable_file_exits_with_2(self, content, tmp_path):
        path = tmp_path / "new.json"
        path.write_bytes(content)
        assert self.run(str(path)).exit_code == 2
        good = self.write(tmp_path / "good.json")
        assert self.run(good, "--against", str(path)).exit_code == 2

    def test_missing_file_and_unknown_deployment_exit_with_2(self, tmp_path):
        assert self.run(str(tmp_path / "none.json")).exit_code == 2
        good = self.write(tmp_path / "good.json")
        for name in ("lost.module:Name", "json:JSONDecoder", "json:none"):
            assert self.run(good, "--deployment", name).exit_code == 2

    def test_differences_are_shown_but_are_no_findings(self, tmp_path):
        old = self.write(tmp_path / "old.json", timeoutMs=1_000.0)
        new = self.write(tmp_path / "new.json", 2, timeoutMs=2_000.0)
        result = self.run(new, "--against", old)
        assert result.exit_code == 0
        assert "timeout_s" in result.output

    def test_json_holds_findings_and_differences(self, tmp_path):
        old = self.write(tmp_path / "old.json")
        new = self.write(tmp_path / "new.json", 2, pathPrefix="/look")
        result = self.run(new, "--against", old, "--json")
        assert result.exit_code == 1
        report = json.loads(result.stdout)
        assert report["version"] == 2
        assert [item["kind"] for item in report["findings"]] == ["unused"]
        fields = [item["field"] for item in report["differences"]]
        assert fields == ["version", "path_prefix"]
