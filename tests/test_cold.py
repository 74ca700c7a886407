"""Endpoints that fail above their concurrency limit are never overloaded.

This would happen if several entries sent to a cold endpoint at once, or if a warm one
turned cold without reporting it.
"""

import time

import pytest

from fleets import (
    MODEL,
    Callers,
    declare_version,
    model_agent,
    read_log,
    roll_out,
    set_behavior,
    start_fleet,
)
from tamaracktray_emulator.launcher import EntryPlan, call, wait_until

AGENTS = [
    model_agent("model-1", endpoint={"max_limit": "16"}),
    model_agent("model-2", endpoint={"max_limit": "16"}),
]
ENTRIES = [EntryPlan(f"entry-{number}", "zone-a", "region-a") for number in (1, 2, 3)]
NAMES = [plan.name for plan in ENTRIES]


@pytest.fixture
def running(fleet):
    start_fleet(fleet, AGENTS, ENTRIES, behavior={"cold_s": 1.5})
    declare_version(fleet, "entry-1", "kiln-1")
    return fleet


def count_endpoint_failures(fleet) -> int:
    return sum(read_log(fleet, plan.name)["falls"] for plan in AGENTS)


class TestColdStart:
    def test_first_start_under_full_load(self, running):
        callers = Callers(running, NAMES, 24)
        roll_out(running, "entry-1", "kiln-1", 2)
        time.sleep(4.0)
        callers.stop()
        assert callers.count_whole() > 0
        assert count_endpoint_failures(running) == 0
        assert not callers.list_broken()

    @pytest.mark.parametrize("reports_cold", [True, False])
    def test_unreported_change_from_warm_to_cold(self, running, reports_cold):
        for plan in AGENTS:
            set_behavior(running, plan.name, cold_s=1.5, reports_cold=reports_cold)
        roll_out(running, "entry-1", "kiln-1", 2)
        callers = Callers(running, NAMES, 24)
        time.sleep(4.0)
        peaks = [read_log(running, plan.name)["peak"] for plan in AGENTS]
        for _ in range(3):
            for plan in AGENTS:
                call(running.endpoint_by_name[plan.name], "PUT", "/cold")
            time.sleep(2.5)
        callers.stop()
        assert max(peaks) > 2, f"{MODEL} never ran warm"
        assert count_endpoint_failures(running) == 0
        assert not callers.list_broken()

    def test_start_that_looks_like_a_slow_warm_endpoint(self, running):
        for plan in AGENTS:
            set_behavior(running, plan.name, cold_s=2.8, reports_cold=False)
        callers = Callers(running, NAMES, 24)
        roll_out(running, "entry-1", "kiln-1", 2)
        time.sleep(4.0)
        callers.stop()
        assert callers.count_whole() > 0
        assert count_endpoint_failures(running) == 0

    def test_all_entries_send_at_once(self, running):
        roll_out(running, "entry-1", "kiln-1", 2)
        wait_until(lambda: call(running.address_by_name["entry-1"], "GET", "/health"))
        callers = Callers(running, NAMES, 60)
        time.sleep(3.0)
        callers.stop()
        assert count_endpoint_failures(running) == 0
        assert not callers.list_broken()
