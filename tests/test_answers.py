"""Callers get their own complete answer or an error, also when requests crash.

The endpoints answer with a wrong id, cut answers off or crash on a request.
"""

import time

import pytest

from fleets import (
    Callers,
    complete,
    declare_version,
    decode_error,
    is_whole,
    model_agent,
    order,
    read_log,
    roll_out,
    service_agent,
    set_behavior,
    start_fleet,
)
from tamaracktray_emulator.launcher import EntryPlan, Fleet, wait_until

AGENTS = [
    model_agent("model-1", peers={"quarantine_s": "4"}),
    model_agent("model-2", peers={"quarantine_s": "4"}),
    model_agent("model-3", peers={"quarantine_s": "4"}),
    service_agent("service-1"),
]
ENTRIES = [
    EntryPlan("entry-1", "zone-a", "region-a", {"peers": {"quarantine_s": "4"}}),
    EntryPlan("entry-2", "zone-a", "region-a", {"peers": {"quarantine_s": "4"}}),
]
MODELS = [plan.name for plan in AGENTS if plan.kind == "models"]


@pytest.fixture(scope="module")
def shared_fleet(tmp_path_factory):
    with Fleet(tmp_path_factory.mktemp("fleet")) as fleet:
        start_fleet(fleet, AGENTS, ENTRIES)
        declare_version(fleet, "entry-1", "kiln-1")
        roll_out(fleet, "entry-1", "kiln-1", 3)
        for plan in ENTRIES:
            wait_until(lambda name=plan.name: complete(fleet, name, "w").status == 200)
        yield fleet


@pytest.fixture
def running(shared_fleet):
    yield shared_fleet
    for plan in AGENTS:
        wait_until(lambda name=plan.name: set_behavior(shared_fleet, name) is None)
    wait_until(lambda: complete(shared_fleet, "entry-1", "warm").status == 200)


def set_models(fleet, **behavior):
    for name in MODELS:
        set_behavior(fleet, name, **behavior)


class TestOwnAnswers:
    @pytest.mark.parametrize("stream", [True, False])
    def test_answer_with_wrong_id_is_never_relayed(self, running, stream):
        set_models(running, echo_wrong_id=True)
        answer = complete(running, "entry-1", "crossed", stream=stream)
        assert answer.status == 502
        assert decode_error(answer)["run"] == "unknown"

    def test_one_endpoint_with_wrong_ids_breaks_no_answer(self, running):
        set_behavior(running, "model-1", echo_wrong_id=True)
        callers = Callers(running, ["entry-1", "entry-2"], 4)
        time.sleep(1.5)
        callers.stop()
        assert callers.count_whole() > 0
        assert not callers.list_broken()

    @pytest.mark.parametrize("behavior", [{"cut": True}, {"truncate": True}])
    def test_truncated_stream_is_never_completed(self, running, behavior):
        set_models(running, **behavior)
        with pytest.raises(ConnectionError):
            complete(running, "entry-1", "early", max_tokens=20)

    def test_order_answered_with_wrong_id_is_unknown_and_runs_once(self, running):
        set_behavior(running, "service-1", echo_wrong_id=True)
        answer = order(running, "entry-1", "crossed", {"item": "crossed"})
        assert decode_error(answer)["run"] == "unknown"
        assert read_log(running, "service-1")["runs_by_item"]["crossed"] == 1


def count_crashes(fleet) -> int:
    return sum(read_log(fleet, name)["falls"] for name in MODELS)


def crash_count_reaches(fleet, crashes: int) -> bool:
    """Send the crashing request once; return whether ``crashes`` crashes were counted.

    A request that is answered as not run must not have crashed an endpoint.
    """
    before = count_crashes(fleet)
    answer = complete(fleet, "entry-1", "poison")
    after = count_crashes(fleet)
    assert (decode_error(answer)["run"] == "not_run") is (after == before)
    return after >= crashes


class TestQuarantine:
    def test_request_that_crashes_endpoints_is_refused_everywhere(self, running):
        before = count_crashes(running)
        wait_until(
            lambda: crash_count_reaches(running, before + 2), 15.0, "two crashes"
        )
        crashes = count_crashes(running)
        time.sleep(1.0)
        for plan in ENTRIES:
            refused = complete(running, plan.name, "poison")
            error = decode_error(refused)
            assert (error["code"], error["run"]) == ("quarantined", "not_run")
            assert int(refused.headers["retry-after"]) >= 1
        assert count_crashes(running) == crashes
        wait_until(lambda: is_whole(complete(running, "entry-2", "vase"), "vase"))
        wait_until(
            lambda: crash_count_reaches(running, crashes + 1),
            8.0,
            "the end of the quarantine",
        )
