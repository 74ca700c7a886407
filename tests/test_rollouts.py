"""Rollouts: weight transfers, swap limits, faulty versions and operator commands.

Guards against corrupt weights in an engine, answers that mix versions, and too many
endpoints of a zone without a version at once.
"""

import threading
import time

import pytest

from fleets import (
    MODEL,
    WEIGHT_BYTES,
    Callers,
    change,
    complete,
    count_serving,
    declare_version,
    get,
    is_whole,
    model_agent,
    put,
    read_log,
    roll_out,
    set_behavior,
    set_faults,
    start_fleet,
)
from tamaracktray_emulator.launcher import EntryPlan, call, wait_until

ZONES = [("zone-a", "region-a"), ("zone-b", "region-b")]
AGENTS = [
    model_agent(
        f"model-{number}",
        *ZONES[number % 2],
        weights={"takeover_s": "1", "chunk_timeout_s": "2", "lease_s": "10"},
        endpoint={"status_interval_s": "0.2"},
    )
    for number in range(4)
]
NAMES = [plan.name for plan in AGENTS]
ENTRIES = [EntryPlan("entry-1", "zone-a", "region-a")]


@pytest.fixture
def running(fleet):
    start_fleet(fleet, AGENTS, ENTRIES)
    return fleet


class UnavailabilityMonitor:
    """Records the maximum number of endpoints per zone that serve no version."""

    def __init__(self, fleet) -> None:
        self.max_missing_by_zone: dict[str, int] = {}
        self._fleet = fleet
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> dict[str, int]:
        self._stopped.set()
        self._thread.join(10.0)
        return self.max_missing_by_zone

    def _run(self) -> None:
        while not self._stopped.is_set():
            missing: dict[str, int] = {}
            for item in get(self._fleet, "entry-1", "endpoints")["items"]:
                spec = item["spec"]
                missing.setdefault(spec["zone"], 0)
                missing[spec["zone"]] += not spec["version"]
            for zone, count in missing.items():
                max_missing = self.max_missing_by_zone.get(zone, 0)
                self.max_missing_by_zone[zone] = max(max_missing, count)
            time.sleep(0.02)


def read_origin_sent_bytes(fleet) -> int:
    return call(fleet.address_by_name["origin"], "GET", "/sent").json()["bytes"]


class TestDistribution:
    def test_origin_sends_one_copy(self, running):
        declare_version(running, "entry-1", "kiln-1")
        roll_out(running, "entry-1", "kiln-1", 4)
        assert read_origin_sent_bytes(running) <= 1.05 * WEIGHT_BYTES

    def test_versions_that_share_chunks_share_transfers(self, running):
        shared = {"shared_seed": 5, "shared_bytes": WEIGHT_BYTES // 2}
        declare_version(running, "entry-1", "kiln-1", seed=1, **shared)
        roll_out(running, "entry-1", "kiln-1", 4)
        before = read_origin_sent_bytes(running)
        declare_version(running, "entry-1", "kiln-2", seed=2, **shared)
        roll_out(running, "entry-1", "kiln-2", 4, max_unavailable=2)
        assert read_origin_sent_bytes(running) - before <= 0.55 * WEIGHT_BYTES

    def test_transfer_resumes_after_instances_are_killed(self, running):
        declare_version(running, "entry-1", "kiln-1", total_bytes=8 * WEIGHT_BYTES)
        document = {"model": MODEL, "version": "kiln-1"}
        put(running, "entry-1", "rollouts", "to-kiln-1", document)
        time.sleep(0.3)
        for name in NAMES[:2]:
            running.kill(name)
        wait_until(lambda: count_serving(running, "entry-1", "kiln-1") >= 2, 30.0)
        for plan in AGENTS[:2]:
            running.start_agent(plan)
        running.publish_instances()
        wait_until(lambda: count_serving(running, "entry-1", "kiln-1") >= 4, 30.0)
        assert read_origin_sent_bytes(running) <= 1.25 * 8 * WEIGHT_BYTES
        for _ in range(8):
            assert is_whole(complete(running, "entry-1", "vase"), "vase")


class TestCorruption:
    def test_corrupt_chunks_are_never_staged(self, fleet):
        options = ["--corrupt-share", "0.2", "--seed", "3"]
        start_fleet(fleet, AGENTS, ENTRIES, origin_options=options)
        declare_version(fleet, "entry-1", "kiln-1", chunk_bytes=16_384)
        roll_out(fleet, "entry-1", "kiln-1", 4)
        assert read_origin_sent_bytes(fleet) <= 1.5 * WEIGHT_BYTES
        assert is_whole(complete(fleet, "entry-1", "vase"), "vase")


class TestSwap:
    def test_live_requests_succeed_and_never_mix_versions(self, running):
        manifests = {
            name: declare_version(running, "entry-1", name, seed=number)
            for number, name in enumerate(("kiln-1", "kiln-2"))
        }
        roll_out(running, "entry-1", "kiln-1", 4)
        callers = Callers(running, ["entry-1"], 6)
        monitor = UnavailabilityMonitor(running)
        roll_out(running, "entry-1", "kiln-2", 4, max_unavailable=1)
        time.sleep(0.5)
        max_missing = monitor.stop()
        callers.stop()
        assert max(max_missing.values()) <= 1
        assert not callers.list_broken()
        refused = [answer for _, answer in callers.answers if answer.status != 200]
        assert not refused
        for _, answer in callers.answers:
            named = answer.headers["x-model-version"]
            assert named in manifests.values()
            assert answer.body.decode().count(f":{named[:8]}:") == 5

    def test_slot_is_freed_if_the_agent_is_killed_during_a_swap(self, running):
        declare_version(running, "entry-1", "kiln-1", seed=1)
        declare_version(running, "entry-1", "kiln-2", seed=2)
        roll_out(running, "entry-1", "kiln-1", 4)
        set_behavior(running, "model-0", service_s=2.0)
        busy = Callers(running, ["entry-1"], 8, max_tokens=200)
        time.sleep(0.5)
        document = {"model": MODEL, "version": "kiln-2"}
        put(running, "entry-1", "rollouts", "to-kiln-2", document)
        time.sleep(1.0)
        running.kill("model-0")
        busy.stop()
        set_behavior(running, "model-0")
        running.start_agent(AGENTS[0])
        running.publish_instances()
        wait_until(lambda: count_serving(running, "entry-1", "kiln-2") >= 4, 40.0)

    def test_engine_that_restarts_empty_is_reloaded(self, running):
        declare_version(running, "entry-1", "kiln-1")
        roll_out(running, "entry-1", "kiln-1", 4)
        with pytest.raises(OSError):
            call(running.endpoint_by_name["model-1"], "POST", "/restart")
        callers = Callers(running, ["entry-1"], 4)
        time.sleep(1.0)
        wait_until(lambda: count_serving(running, "entry-1", "kiln-1") >= 4, 30.0)
        callers.stop()
        assert not callers.list_broken()
        assert read_origin_sent_bytes(running) <= 1.05 * WEIGHT_BYTES


class TestBadVersion:
    @pytest.mark.parametrize("fault", ["fail_load", "crash_on_load"])
    def test_rollout_halts_and_the_previous_version_serves(self, running, fault):
        declare_version(running, "entry-1", "kiln-1", seed=1)
        declare_version(running, "entry-1", "kiln-2", seed=2)
        roll_out(running, "entry-1", "kiln-1", 4)
        for name in NAMES:
            set_behavior(running, name, **{fault: True})
        document = {
            "model": MODEL,
            "version": "kiln-2",
            "failure_limit": 2,
            "previous_version": "kiln-1",
        }
        put(running, "entry-1", "rollouts", "to-kiln-2", document)

        def is_halted() -> bool:
            reasons = get(running, "entry-1", "failures/to-kiln-2")
            return len(reasons["reason_by_instance"]) >= 2

        wait_until(is_halted, 30.0, "the halt")
        time.sleep(2.0)
        failures = get(running, "entry-1", "failures/to-kiln-2")["reason_by_instance"]
        assert len(failures) <= 4
        for name in NAMES:
            set_behavior(running, name)
        wait_until(lambda: count_serving(running, "entry-1", "kiln-1") >= 2, 40.0)
        assert is_whole(complete(running, "entry-1", "vase"), "vase")
        assert count_serving(running, "entry-1", "kiln-2") == 0

    def test_corrupt_manifest_is_never_loaded(self, running):
        spec = {"model": MODEL, "manifest": "b" * 64}
        put(running, "entry-1", "versions", "ghost", spec)
        document = {"model": MODEL, "version": "ghost"}
        put(running, "entry-1", "rollouts", "to-ghost", document)
        time.sleep(2.0)
        items = get(running, "entry-1", "endpoints")["items"]
        assert all(item["spec"]["version"] == "" for item in items)
        assert any("manifest" in item["spec"]["reason"] for item in items)


class TestOperators:
    def test_pause_and_abort(self, running):
        declare_version(running, "entry-1", "kiln-1", seed=1)
        declare_version(running, "entry-1", "kiln-2", seed=2)
        roll_out(running, "entry-1", "kiln-1", 4)
        document = {
            "model": MODEL,
            "version": "kiln-2",
            "state": "paused",
            "previous_version": "kiln-1",
        }
        put(running, "entry-1", "rollouts", "to-kiln-2", document)
        time.sleep(1.5)
        assert count_serving(running, "entry-1", "kiln-1") == 4
        change(running, "entry-1", "rollouts", "to-kiln-2", state="running")
        wait_until(lambda: count_serving(running, "entry-1", "kiln-2") >= 1, 30.0)
        change(running, "entry-1", "rollouts", "to-kiln-2", state="aborted")
        wait_until(lambda: count_serving(running, "entry-1", "kiln-1") >= 4, 40.0)

    def test_rollout_continues_after_a_platform_outage(self, running):
        declare_version(running, "entry-1", "kiln-1")
        document = {"model": MODEL, "version": "kiln-1"}
        put(running, "entry-1", "rollouts", "to-kiln-1", document)
        set_faults(running, is_out=True)
        time.sleep(3.0)
        set_faults(running)
        wait_until(lambda: count_serving(running, "entry-1", "kiln-1") >= 4, 40.0)
        crash_counts = [read_log(running, name)["falls"] for name in NAMES]
        assert crash_counts == [0, 0, 0, 0]
