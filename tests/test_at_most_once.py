"""Under faults a keyed order runs at most once and "not run" is reported truthfully.

The faults are killed or paused processes, cut answers, a reused key, two entries with
one key, and lost answers or an outage of the platform.
"""

import signal
import time

import pytest

from fleets import (
    Background,
    decode_error,
    get,
    order,
    read_log,
    service_agent,
    set_behavior,
    set_faults,
    start_fleet,
)
from tamaracktray_emulator.launcher import EntryPlan, Fleet, call, wait_until

AGENTS = [
    service_agent("service-1", requests={"claim_margin_s": "0.5"}),
    service_agent("service-2", requests={"claim_margin_s": "0.5"}),
]
ENTRIES = [
    EntryPlan("entry-1", "zone-a", "region-a"),
    EntryPlan("entry-2", "zone-a", "region-a"),
]
REPEAT_S = 8.0


@pytest.fixture(scope="module")
def shared_fleet(tmp_path_factory):
    with Fleet(tmp_path_factory.mktemp("fleet")) as fleet:
        start_fleet(fleet, AGENTS, ENTRIES)
        wait_until(lambda: order(fleet, "entry-2", "warm-up").status == 200)
        yield fleet


@pytest.fixture
def running(shared_fleet):
    """Return the fleet with all processes alive and no fault set."""
    yield shared_fleet
    set_faults(shared_fleet)
    for plan in AGENTS:
        set_behavior(shared_fleet, plan.name)
        if plan.name not in shared_fleet.process_by_name:
            shared_fleet.start_agent(plan)
    for plan in ENTRIES:
        if plan.name not in shared_fleet.process_by_name:
            shared_fleet.start_entry(plan)
    shared_fleet.wait_ready()
    wait_until(lambda: order(shared_fleet, "entry-1").status == 200)
    wait_until(lambda: order(shared_fleet, "entry-2").status == 200)


def count_runs(fleet, item: str) -> int:
    """Return how often orders for an item reached any endpoint."""
    return sum(
        read_log(fleet, plan.name)["runs_by_item"].get(item, 0) for plan in AGENTS
    )


def place_order(fleet, entry: str, key: str, deadline_ms: int = 3_000):
    return order(fleet, entry, key, {"item": key}, x_deadline_ms=str(deadline_ms))


def find_running_agent(fleet) -> str:
    """Wait for a running order and return the agent that runs it."""
    found = []

    def is_running() -> bool:
        for plan in AGENTS:
            if read_log(fleet, plan.name)["running"]:
                found.append(plan.name)
        return bool(found)

    wait_until(is_running, 5.0, "a running order")
    return found[0]


def repeat_until_final(fleet, entry: str, key: str):
    """Retry an order as a caller would until its answer or refusal is final."""
    deadline = time.monotonic() + REPEAT_S
    while True:
        answer = place_order(fleet, entry, key)
        if answer.status == 200:
            return answer
        error = decode_error(answer)
        is_final = error["retry_after_s"] is None
        if is_final or time.monotonic() >= deadline:
            return answer
        time.sleep(min(error["retry_after_s"], 0.5))


def set_all_behaviors(fleet, **behavior):
    for plan in AGENTS:
        set_behavior(fleet, plan.name, **behavior)


def check_not_run(fleet, key: str, background: Background):
    """Check that nothing has run yet if the first answer says "not run"."""
    answer = background.join()
    if answer is None or answer.status == 200:
        return
    if decode_error(answer)["run"] == "not_run":
        assert count_runs(fleet, key) == 0


class TestKills:
    @pytest.mark.parametrize(
        ("victim", "delay_s", "service_s", "wait_s"),
        [
            ("entry", 0.8, 0.02, 0.3),
            ("entry", 0.0, 1.0, 0.5),
            ("agent", 0.8, 0.02, 0.3),
            ("agent", 0.0, 1.0, 0.5),
        ],
        ids=["entry-claiming", "entry-running", "agent-claiming", "agent-running"],
    )
    def test_killed_process(self, running, victim, delay_s, service_s, wait_s):
        key = f"kill-{victim}-{delay_s}-{service_s}"
        set_faults(running, delay_s=delay_s)
        set_all_behaviors(running, service_s=service_s)
        first = Background(place_order, running, "entry-1", key)
        time.sleep(wait_s)
        if victim == "entry":
            running.kill("entry-1")
        elif service_s > wait_s:
            running.kill(find_running_agent(running))
        else:
            for plan in AGENTS:
                running.kill(plan.name)
        check_not_run(running, key, first)
        set_faults(running)
        set_all_behaviors(running)
        if victim == "agent":
            for plan in AGENTS:
                if plan.name not in running.process_by_name:
                    running.start_agent(plan)
            running.wait_ready()
        last = repeat_until_final(running, "entry-2", key)
        runs = count_runs(running, key)
        assert runs <= 1
        if last.status == 200:
            assert runs == 1
        if victim == "entry":
            assert last.status == 200


class TestEndpoint:
    def test_answer_cut_by_the_endpoint(self, running):
        set_all_behaviors(running, cut=True)
        first = place_order(running, "entry-1", "cut")
        assert decode_error(first)["run"] == "unknown"
        set_all_behaviors(running)
        last = repeat_until_final(running, "entry-2", "cut")
        assert decode_error(last)["code"] == "outcome_unknown"
        assert count_runs(running, "cut") == 1

    def test_unknown_outcome_is_listed_and_settled(self, running):
        set_all_behaviors(running, cut=True)
        place_order(running, "entry-1", "settle", 500)
        set_all_behaviors(running)
        repeat_until_final(running, "entry-2", "settle")
        items = get(running, "entry-1", "claims")["items"]
        assert items
        api = running.api_by_name["entry-1"]
        for item in items:
            path = f"/api/v1/claims/{item['key']}/settle"
            assert call(api, "POST", path, {"was_run": True}).status == 200
        assert not get(running, "entry-2", "claims")["items"]
        last = place_order(running, "entry-2", "settle")
        assert decode_error(last) | {"message": ""} == {
            "code": "answer_not_kept",
            "message": "",
            "run": "run",
            "status": 409,
            "retry_after_s": None,
        }
        assert count_runs(running, "settle") == 1

    def test_unkeyed_order_is_never_repeated(self, running):
        set_all_behaviors(running, cut=True)
        answer = order(running, "entry-1", body={"item": "unkeyed"})
        assert decode_error(answer)["run"] == "unknown"
        assert count_runs(running, "unkeyed") == 1


class TestPlatform:
    @pytest.mark.parametrize("lost", [1, 2, 3])
    def test_lost_answers(self, running, lost):
        key = f"lost-{lost}"
        set_faults(running, lose_answers=lost)
        last = repeat_until_final(running, "entry-1", key)
        assert last.status == 200
        assert count_runs(running, key) == 1

    def test_outage(self, running):
        set_faults(running, is_out=True)
        refused = place_order(running, "entry-1", "outage")
        error = decode_error(refused)
        assert (error["code"], error["run"]) == ("claim_unavailable", "not_run")
        assert int(refused.headers["retry-after"]) >= 1
        assert count_runs(running, "outage") == 0
        set_faults(running)
        assert repeat_until_final(running, "entry-2", "outage").status == 200
        assert count_runs(running, "outage") == 1


class TestRaces:
    def test_same_key_at_two_entries_at_once(self, running):
        set_all_behaviors(running, service_s=0.3)
        both = [Background(place_order, running, plan.name, "race") for plan in ENTRIES]
        answers = [background.join() for background in both]
        assert any(answer.status == 200 for answer in answers)
        last = repeat_until_final(running, "entry-1", "race")
        assert last.status == 200
        assert count_runs(running, "race") == 1

    def test_key_reused_for_another_request(self, running):
        place_order(running, "entry-1", "reuse")
        other = order(running, "entry-2", "reuse", {"item": "another"})
        assert decode_error(other)["code"] == "key_reused"

    def test_holder_paused_past_its_lease_does_not_run(self, running):
        set_faults(running, delay_s=0.8)
        first = Background(place_order, running, "entry-1", "paused", 600)
        time.sleep(0.4)
        for plan in AGENTS:
            running.signal(plan.name, signal.SIGSTOP)
        time.sleep(1.5)
        set_faults(running)
        for plan in AGENTS:
            running.signal(plan.name, signal.SIGCONT)
        check_not_run(running, "paused", first)
        time.sleep(0.5)
        assert count_runs(running, "paused") == 0
        last = repeat_until_final(running, "entry-2", "paused")
        assert last.status == 200
        assert count_runs(running, "paused") == 1
