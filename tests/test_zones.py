"""Zones taken out and shutdowns: new requests stop within 3 s, no stream is cut."""

import signal
import time

import pytest

from fleets import (
    Callers,
    change,
    complete,
    declare_version,
    is_whole,
    model_agent,
    read_log,
    roll_out,
    set_behavior,
    set_faults,
    start_fleet,
)
from tamaracktray_emulator.launcher import (
    EntryPlan,
    Fleet,
    call,
    find_free_address,
    wait_until,
)

STOP_LIMIT_S = 3.0
FROZEN_AGENT_DELAY_S = 3.0
UNREACHABLE_ADDRESS = str(find_free_address())
AGENTS = [
    model_agent("model-1"),
    model_agent("model-2", "zone-b", "region-b"),
    model_agent("model-3", "zone-b", "region-b"),
]


@pytest.fixture
def running(fleet):
    """Return a fleet of two zones whose third entry cannot reach the object API."""
    entries = [
        EntryPlan("entry-1", "zone-a", "region-a"),
        EntryPlan("entry-2", "zone-b", "region-b"),
        EntryPlan(
            "entry-cut",
            "zone-b",
            "region-b",
            {"platform": {"object_api": UNREACHABLE_ADDRESS, "timeout_s": "0.5"}},
        ),
    ]
    start_fleet(fleet, AGENTS, entries)
    declare_version(fleet, "entry-1", "kiln-1")
    roll_out(fleet, "entry-1", "kiln-1", 3)
    for plan in entries:
        wait_until(lambda name=plan.name: complete(fleet, name, "warm").status == 200)
    return fleet


def count_runs(fleet: Fleet, *agents: str) -> int:
    return sum(len(read_log(fleet, name)["runs_by_id"]) for name in agents)


def inject_no_fault(fleet: Fleet) -> None:
    return


def delay_platform(fleet: Fleet) -> None:
    set_faults(fleet, delay_s=1.0)


def delay_instance_list(fleet: Fleet) -> None:
    call(fleet.address_by_name["instance-list"], "PUT", "/lag", 30.0)


class TestZoneOut:
    @pytest.mark.parametrize(
        "inject_fault", [inject_no_fault, delay_platform, delay_instance_list]
    )
    def test_new_requests_stop_at_all_entries(self, running, inject_fault):
        inject_fault(running)
        entries = ["entry-1", "entry-2", "entry-cut"]
        callers = Callers(running, entries, 6)
        time.sleep(1.0)
        before = count_runs(running, "model-2", "model-3")
        assert before > 0
        assert change(running, "entry-1", "zones", "zone-b", out=True).status == 200
        time.sleep(STOP_LIMIT_S)
        runs_at_limit = count_runs(running, "model-2", "model-3")
        served_at_limit = callers.count_whole()
        time.sleep(1.5)
        callers.stop()
        assert count_runs(running, "model-2", "model-3") == runs_at_limit
        assert callers.count_whole() > served_at_limit
        assert not callers.list_broken()

    @pytest.mark.parametrize("is_killed", [False, True])
    def test_zone_out_takes_effect_despite_a_platform_outage(self, running, is_killed):
        assert change(running, "entry-1", "zones", "zone-b", out=True).status == 200
        set_faults(running, is_out=True)
        if is_killed:
            running.kill("entry-1")
        callers = Callers(running, ["entry-2", "entry-cut"], 4)
        time.sleep(STOP_LIMIT_S)
        runs_at_limit = count_runs(running, "model-2", "model-3")
        time.sleep(1.5)
        callers.stop()
        assert count_runs(running, "model-2", "model-3") == runs_at_limit
        assert not callers.list_broken()

    def test_requests_are_served_during_a_platform_outage(self, running):
        set_faults(running, is_out=True)
        time.sleep(6.0)
        for name in ("entry-1", "entry-2", "entry-cut"):
            assert is_whole(complete(running, name, "vase"), "vase")

    def test_returning_zone_does_not_overload_cold_endpoints(self, running):
        assert change(running, "entry-1", "zones", "zone-b", out=True).status == 200
        time.sleep(1.0)
        for name in ("model-2", "model-3"):
            set_behavior(running, name, cold_s=3.0)
            call(running.endpoint_by_name[name], "PUT", "/cold")
        callers = Callers(running, ["entry-2", "entry-cut"], 16)
        before = count_runs(running, "model-2", "model-3")
        assert change(running, "entry-1", "zones", "zone-b", out=False).status == 200
        time.sleep(4.0)
        callers.stop()
        assert count_runs(running, "model-2", "model-3") > before
        endpoint_failures = [read_log(running, plan.name)["falls"] for plan in AGENTS]
        assert endpoint_failures == [0, 0, 0]
        assert not callers.list_broken()


class TestLeaving:
    @pytest.mark.parametrize("name", ["model-2", "entry-2"])
    def test_shutdown_cuts_no_stream(self, running, name):
        for plan in AGENTS:
            set_behavior(running, plan.name, token_s=0.02)
        callers = Callers(running, ["entry-2"], 6, max_tokens=50)
        time.sleep(0.7)
        before = count_runs(running, "model-2")
        answers_before = len(callers.answers)
        assert running.stop(name) == 0
        callers.stop()
        finished = [
            (prompt, answer)
            for prompt, answer in callers.answers[: answers_before + 6]
            if answer is None or answer.status == 200
        ]
        assert finished
        assert all(
            answer is not None and is_whole(answer, prompt, 50)
            for prompt, answer in finished
        )
        if name == "model-2":
            assert before > 0
            assert not callers.list_broken(50)


class TestFrozen:
    def test_frozen_agent_delays_requests_only_briefly(self, running):
        """The delay is little longer than the acknowledgement timeout."""
        running.signal("model-1", signal.SIGSTOP)
        try:
            slowest = 0.0
            for number in range(12):
                started = time.monotonic()
                answer = complete(running, "entry-1", f"vase {number}")
                slowest = max(slowest, time.monotonic() - started)
                assert is_whole(answer, f"vase {number}")
            assert slowest <= FROZEN_AGENT_DELAY_S
        finally:
            running.signal("model-1", signal.SIGCONT)
        wait_until(lambda: complete(running, "entry-1", "back").status == 200)

    def test_resumed_entry_uses_the_current_configuration(self, running):
        running.signal("entry-2", signal.SIGSTOP)
        assert change(running, "entry-1", "zones", "zone-b", out=True).status == 200
        time.sleep(STOP_LIMIT_S)
        runs_at_limit = count_runs(running, "model-2", "model-3")
        running.signal("entry-2", signal.SIGCONT)
        for number in range(6):
            answer = complete(running, "entry-2", f"vase {number}")
            assert answer.status in (200, 503)
        assert count_runs(running, "model-2", "model-3") == runs_at_limit
