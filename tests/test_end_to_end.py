"""Rollout, requests and shutdown across separate processes.

Guards against components that work alone but not together.
"""

import pytest

from fleets import (
    WEIGHT_BYTES,
    complete,
    declare_version,
    is_whole,
    model_agent,
    order,
    read_log,
    roll_out,
    service_agent,
    start_fleet,
)
from tamaracktray_emulator.launcher import EntryPlan, call

MEMORY_LIMIT_BYTES = 64 * 1_000_000


@pytest.fixture
def running(fleet):
    agents = [
        model_agent("model-1"),
        model_agent("model-2", "zone-b", "region-b"),
        service_agent("service-1"),
    ]
    start_fleet(fleet, agents, [EntryPlan("entry-1", "zone-a", "region-a")])
    return fleet


class TestEndToEnd:
    def test_rollout_requests_and_shutdown(self, running):
        declare_version(running, "entry-1", "kiln-1")
        roll_out(running, "entry-1", "kiln-1", 2)
        sent = call(running.address_by_name["origin"], "GET", "/sent").json()["bytes"]
        assert sent <= 1.05 * WEIGHT_BYTES

        answer = complete(running, "entry-1", "vase")
        assert is_whole(answer, "vase")

        first = order(running, "entry-1", "order-1")
        second = order(running, "entry-1", "order-1")
        assert (first.status, second.status) == (200, 200)
        assert first.body == second.body
        assert read_log(running, "service-1")["runs_by_key"].popitem()[1] == 1

        for name in ("entry-1", "model-1", "service-1"):
            assert running.read_memory_bytes(name) <= MEMORY_LIMIT_BYTES
        assert running.stop("model-1") == 0
        assert running.stop("entry-1") == 0
