"""The resource API and the command line, with real entry processes.

Guards against writes that are lost or reported wrongly when they conflict or their
answer is lost, and against calls without the token.
"""

import json
import time

import pytest
from typer.testing import CliRunner

from fleets import Background, change, get, put, set_faults, start_fleet
from tamaracktray.cli import app
from tamaracktray_emulator.launcher import EntryPlan, Fleet, call, wait_until

SECRET = "t0ken"
ENTRIES = [
    EntryPlan("entry-1", "zone-a", "region-a"),
    EntryPlan("entry-2", "zone-b", "region-b"),
]
MANIFEST = "a" * 64
PROPAGATION_TIMEOUT_S = 6.0


@pytest.fixture(scope="module")
def shared_fleet(tmp_path_factory):
    with Fleet(tmp_path_factory.mktemp("fleet")) as fleet:
        start_fleet(fleet, [], ENTRIES)
        yield fleet


@pytest.fixture
def healthy_fleet(shared_fleet):
    yield shared_fleet
    set_faults(shared_fleet)


@pytest.fixture
def tamaractl(healthy_fleet):
    """Return a function that runs tamaractl and returns its result."""
    server = str(healthy_fleet.api_by_name["entry-1"])

    def run(*arguments: str, server: str = server):
        return CliRunner().invoke(app, ["--server", server, *arguments])

    return run


class TestWrites:
    def test_concurrent_writes_conflict(self, healthy_fleet):
        first = change(healthy_fleet, "entry-1", "zones", "zone-a", out=False)
        version = get(healthy_fleet, "entry-2", "zones/zone-a")["resource_version"]
        spec = {"region": "region-a", "out": True}
        answers = [
            put(healthy_fleet, name, "zones", "zone-a", spec, version)
            for name in ("entry-1", "entry-2")
        ]
        assert first.status == 200
        assert sorted(answer.status for answer in answers) == [200, 409]
        conflict = next(answer for answer in answers if answer.status == 409)
        current = conflict.json()["error"]["current"]
        assert current["spec"]["out"] is True
        assert current["resource_version"] > version
        change(healthy_fleet, "entry-1", "zones", "zone-a", out=False)

    def test_lost_answer_is_settled_before_the_reply(self, healthy_fleet):
        set_faults(healthy_fleet, lose_answers=1)
        assert put(healthy_fleet, "entry-1", "models", "lost", {}).status == 200
        assert get(healthy_fleet, "entry-2", "models/lost")["name"] == "lost"

    def test_write_during_an_outage_has_an_unknown_outcome(self, healthy_fleet):
        set_faults(healthy_fleet, is_out=True)
        answer = put(healthy_fleet, "entry-1", "models", "never", {})
        assert answer.status == 503
        assert answer.json()["error"]["code"] == "outcome_unknown"
        assert "retry-after" in answer.headers

    @pytest.mark.parametrize(
        ("kind", "name", "spec", "part"),
        [
            ("models", "BAD", {}, "name must be"),
            ("models", "m", {"extra": 1}, "extra"),
            ("versions", "v", {"model": "kiln", "manifest": "short"}, "manifest"),
            ("versions", "v", {"model": "no", "manifest": MANIFEST}, "not declared"),
            ("zones", "z", {}, "region"),
            ("rollouts", "r", {"model": "kiln", "version": "no"}, "not declared"),
            (
                "rollouts",
                "r",
                {"model": "kiln", "version": "v", "max_unavailable": 0},
                "max_unavailable",
            ),
        ],
    )
    def test_validation(self, healthy_fleet, kind, name, spec, part):
        answer = put(healthy_fleet, "entry-1", kind, name, spec)
        assert answer.status == 422
        assert part in answer.json()["error"]["message"]

    @pytest.mark.parametrize(
        ("method", "path", "status"),
        [
            ("GET", "/api/v1/things", 404),
            ("GET", "/api/v1/models/none", 404),
            ("PUT", "/api/v1/endpoints/e", 405),
            ("POST", "/api/v1/models", 405),
            ("GET", "/elsewhere", 404),
            ("GET", "/api/v1/models?watch=1&since=x", 400),
        ],
    )
    def test_invalid_requests_are_refused(self, healthy_fleet, method, path, status):
        answer = call(healthy_fleet.api_by_name["entry-1"], method, path)
        assert answer.status == status
        assert answer.json()["error"]["message"]


class TestPropagation:
    def test_change_reaches_the_other_entry_and_outlives_an_outage(self, healthy_fleet):
        """An entry answers 404 until it has received the declaration of the model."""
        put(healthy_fleet, "entry-1", "models", "fresh", {})
        other = healthy_fleet.address_by_name["entry-2"]

        def is_known() -> bool:
            answer = call(other, "POST", "/models/fresh/x", {})
            return answer.json()["error"]["code"] != "not_found"

        assert wait_until(is_known, PROPAGATION_TIMEOUT_S) <= PROPAGATION_TIMEOUT_S
        set_faults(healthy_fleet, is_out=True)
        time.sleep(1.0)
        assert is_known()

    def test_idle_process_makes_few_platform_calls(self, healthy_fleet):
        """Half of 2,000 reads/s, shared by 1,530 processes, is 39 a minute for each."""
        api = healthy_fleet.address_by_name["object-api"]
        time.sleep(0.5)
        before = call(api, "GET", "/calls").json()
        time.sleep(10.0)
        after = call(api, "GET", "/calls").json()
        calls = {name: after[name] - before.get(name, 0) for name in after}
        assert sum(calls.values()) * 6 / len(ENTRIES) <= 39
        assert calls.get("PUT", 0) + calls.get("POST", 0) == 0


class TestToken:
    def test_calls_without_the_token_are_refused(self, fleet, tmp_path):
        path = tmp_path / "token"
        path.write_text(SECRET)
        options = {"api": {"token_file": str(path)}}
        fleet.start_platform()
        fleet.start_entry(EntryPlan("entry-1", "zone-a", "region-a", options))
        fleet.publish_instances()
        api = fleet.api_by_name["entry-1"]
        for token, status in ((None, 401), ("wrong", 401), (SECRET, 200)):
            headers = {"Authorization": f"Bearer {token}"} if token else {}
            assert call(api, "GET", "/api/v1/zones", None, headers).status == status
        assert SECRET not in fleet.read_log("entry-1")


class TestCommandLine:
    def test_apply_get_and_delete(self, tamaractl, tmp_path):
        path = tmp_path / "resources.json"
        resources = [
            {"kind": "models", "name": "cli", "spec": {"description": "one"}},
            {
                "kind": "versions",
                "name": "cli-1",
                "spec": {"model": "cli", "manifest": MANIFEST},
            },
        ]
        path.write_text(json.dumps(resources))
        applied = tamaractl("apply", "-f", str(path))
        assert applied.exit_code == 0, applied.output
        assert "models/cli created" in applied.output
        assert "models/cli unchanged" in tamaractl("apply", "-f", str(path)).output
        found = json.loads(tamaractl("get", "models", "cli", "-o", "json").output)
        assert found[0]["spec"] == {"description": "one"}
        assert "cli-1" in tamaractl("get", "versions").output
        assert MANIFEST in tamaractl("describe", "versions", "cli-1").output
        assert tamaractl("delete", "versions", "cli-1").exit_code == 0
        assert tamaractl("get", "versions", "cli-1").exit_code == 5

    def test_zone_out_and_in(self, tamaractl):
        assert "is out" in tamaractl("zone", "out", "zone-b").output
        assert "out" in tamaractl("status").output
        assert "is in" in tamaractl("zone", "in", "zone-b").output

    def test_rollout_is_started_and_controlled(self, tamaractl, healthy_fleet):
        for name in ("v1", "v2"):
            spec = {"model": "kiln", "manifest": MANIFEST}
            put(healthy_fleet, "entry-1", "versions", name, spec)
        assert tamaractl("rollout", "start", "kiln", "v1").exit_code == 0
        assert tamaractl("rollout", "start", "kiln", "v2").exit_code == 0
        started = get(healthy_fleet, "entry-1", "rollouts/v2")
        assert started["spec"]["previous_version"] == "v1"
        for verb, state in (
            ("pause", "paused"),
            ("resume", "running"),
            ("abort", "aborted"),
        ):
            assert tamaractl("rollout", verb, "v2").exit_code == 0
            status = tamaractl("rollout", "status", "v2", "-o", "json")
            assert json.loads(status.output)["state"] == state
        waited = tamaractl("rollout", "status", "v1", "--wait", "--timeout-s", "0.5")
        assert waited.exit_code == 6

    @pytest.mark.parametrize(
        ("text", "part"),
        [
            ("{", "resources.json"),
            ('{"kind": "kings", "name": "a"}', "kind must be one of"),
            ('[{"kind": "zones", "name": "a", "spec": {}}]', "resource 0"),
        ],
    )
    def test_bad_file(self, tamaractl, tmp_path, text, part):
        path = tmp_path / "resources.json"
        path.write_text(text)
        result = tamaractl("apply", "-f", str(path))
        assert result.exit_code == 2
        assert part in result.output

    def test_conflict_shows_both_versions(self, tamaractl, healthy_fleet, tmp_path):
        zone = {"kind": "zones", "name": "zone-a", "spec": {"region": "r9"}}
        path = tmp_path / "zone.json"
        path.write_text(json.dumps({**zone, "resource_version": 1}))
        result = tamaractl("apply", "-f", str(path))
        assert result.exit_code == 4
        assert "yours:" in result.output
        assert "in force:" in result.output

    def test_unreachable_entry(self, tamaractl):
        result = tamaractl("status", server="127.0.0.1:1")
        assert result.exit_code == 3
        assert "no entry answers at 127.0.0.1:1" in result.output

    def test_unknown_requests(self, tamaractl):
        assert "KEY" in tamaractl("requests", "list", "--unknown").output
        settled = tamaractl("requests", "settle", "0" * 64, "--as", "run")
        assert settled.exit_code == 5

    def test_watch_prints_changes(self, tamaractl, healthy_fleet):
        writer = Background(
            lambda: [
                time.sleep(1.0),
                put(healthy_fleet, "entry-2", "models", "watched", {}),
            ]
        )
        result = tamaractl("watch", "models", "--count", "1")
        writer.join()
        assert json.loads(result.output)["name"] == "watched"
