"""Admission of attempts at an agent: refusals, queue, concurrency window and claims.

Guards against overloaded cold endpoints, keyed requests that run without a granted
claim, and new work while the agent is isolated or its zone is out.
"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tamaracktray.effects import (
    ClaimKey,
    RefuseAttempt,
    ReleaseKey,
    ReplayAnswer,
    StartRun,
)
from tamaracktray.events import (
    AttemptArrived,
    ClaimAnswered,
    PeerReported,
    RunEnded,
    RunProgressed,
    ShutdownRequested,
    Tick,
)
from tamaracktray.limits import WindowSettings
from tamaracktray.outcomes import ClaimOutcome, RunOutcome
from tamaracktray.testing import (
    CONTACT_S,
    make_agent,
    make_instance,
    make_request,
    make_zone,
)
from tamaracktray.types import ErrorCode, RunState, TargetKind

WINDOW = WindowSettings(cold_limit=2, max_limit=8, target_s=1.0, warm_proofs=3)


def make_running_agent(**named):
    driver = make_agent(window=WINDOW, **named)
    driver.configure(make_zone("zone-a", 2), make_zone("zone-b", 3))
    driver.list_instances([make_instance("other", zone="zone-b")])
    return driver


def make_order(request_id: str, **named):
    return make_request(request_id, kind=TargetKind.SERVICE, target="orders", **named)


def send_attempt(driver, request_id: str, **named):
    return driver.send(AttemptArrived(driver.now, make_order(request_id, **named)))


class TestAdmissionChecks:
    def get_refusal(self, driver):
        send_attempt(driver, "r1")
        [effect] = driver.find(RefuseAttempt)
        return effect.refusal

    def test_zone_out(self):
        driver = make_running_agent()
        driver.configure(make_zone("zone-a", 20, out=True), revision=20)
        assert self.get_refusal(driver).code is ErrorCode.ZONE_OUT

    def test_leaving(self):
        driver = make_running_agent()
        driver.send(ShutdownRequested(driver.now))
        assert self.get_refusal(driver).code is ErrorCode.LEAVING

    def test_no_configuration(self):
        assert self.get_refusal(make_agent()).code is ErrorCode.ISOLATED

    def test_isolated(self):
        driver = make_running_agent()
        driver.now += CONTACT_S + 1
        assert self.get_refusal(driver).code is ErrorCode.ISOLATED

    def test_not_isolated_in_platform_outage_while_all_zones_are_in_contact(self):
        driver = make_running_agent()
        driver.now += CONTACT_S + 1
        digest = driver.state.configuration.digest
        contacts = {"zone-b": driver.now + CONTACT_S}
        driver.send(
            PeerReported(
                driver.now, "p", "zone-b", digest, contact_deadline_by_zone=contacts
            )
        )
        send_attempt(driver, "r1")
        assert driver.find(StartRun)

    def test_peer_with_other_configuration_does_not_count_as_contact(self):
        driver = make_running_agent()
        driver.now += CONTACT_S + 1
        contacts = {"zone-b": driver.now + CONTACT_S}
        driver.send(
            PeerReported(
                driver.now, "p", "zone-b", 1, contact_deadline_by_zone=contacts
            )
        )
        assert self.get_refusal(driver).code is ErrorCode.ISOLATED

    def test_contact_with_a_zone_that_is_out_is_not_required(self):
        driver = make_running_agent()
        driver.configure(make_zone("zone-b", 20, out=True), revision=20)
        driver.now += CONTACT_S + 1
        send_attempt(driver, "r1")
        assert driver.find(StartRun)

    def test_wrong_target(self):
        driver = make_running_agent(serves="else")
        assert self.get_refusal(driver).code is ErrorCode.NOT_SERVING


class TestAdmission:
    def test_cold_endpoint_gets_no_more_than_the_cold_limit(self):
        driver = make_running_agent()
        started = 0
        for number in range(10):
            send_attempt(driver, f"r{number}")
            started += len(driver.find(StartRun))
        assert started == WINDOW.cold_limit

    def test_full_queue_refuses_at_once_with_retry_after(self):
        driver = make_running_agent(queue_limit=1)
        for number in range(4):
            send_attempt(driver, f"r{number}")
        [effect] = driver.find(RefuseAttempt)
        assert effect.refusal.code is ErrorCode.OVERLOADED
        assert effect.refusal.run is RunState.NOT_RUN
        assert effect.refusal.retry_after_s > 0

    def test_request_that_cannot_meet_its_deadline_is_refused_at_once(self):
        driver = make_running_agent()
        for number in range(2):
            send_attempt(driver, f"r{number}")
        send_attempt(driver, "late", deadline=driver.now + 0.1)
        assert driver.find(RefuseAttempt)

    def test_queued_requests_are_refused_when_the_zone_is_taken_out(self):
        driver = make_running_agent()
        for number in range(4):
            send_attempt(driver, f"r{number}")
        driver.configure(make_zone("zone-a", 20, out=True), revision=20)
        assert {effect.attempt_id for effect in driver.find(RefuseAttempt)} == {
            "r2",
            "r3",
        }

    def test_missing_first_byte_marks_the_window_cold_before_any_answer(self):
        driver = make_running_agent()
        admission = driver.state.admission
        for number in range(20):
            send_attempt(driver, f"w{number}")
            driver.now += 0.1
            driver.send(RunProgressed(driver.now, f"w{number}"))
            driver.send(RunEnded(driver.now, f"w{number}", RunOutcome.COMPLETED))
        assert admission.window.is_warm
        send_attempt(driver, "silent")
        driver.now += 0.6
        driver.send(Tick(driver.now))
        assert not admission.window.is_warm

    def test_slow_first_bytes_below_the_jump_leave_no_room_for_more_cold_runs(self):
        """A busy machine had raised the baseline, so the cold ones were no jump."""
        driver = make_running_agent()
        admission = driver.state.admission
        for _ in range(40):
            admission.window.note_first_byte(driver.now, 0.1, admission.window.size)
        assert admission.window.size >= 4
        for number in range(4):
            send_attempt(driver, f"c{number}")
        driver.now += 0.3
        started = 0
        for number in range(WINDOW.cold_limit):
            driver.send(RunProgressed(driver.now, f"c{number}"))
            started += len(driver.find(StartRun))
        assert admission.window.is_warm
        assert started == 0
        driver.send(RunEnded(driver.now, "c0", RunOutcome.COMPLETED))
        assert len(driver.find(StartRun)) == 1


class TestClaims:
    @pytest.mark.parametrize(
        ("outcome", "effect_type", "code"),
        [
            (ClaimOutcome.GRANTED, StartRun, None),
            (ClaimOutcome.COMPLETED, ReplayAnswer, None),
            (ClaimOutcome.RUNNING, RefuseAttempt, ErrorCode.CLAIM_RUNNING),
            (ClaimOutcome.UNKNOWN, RefuseAttempt, ErrorCode.OUTCOME_UNKNOWN),
            (ClaimOutcome.KEY_REUSED, RefuseAttempt, ErrorCode.KEY_REUSED),
            (ClaimOutcome.UNAVAILABLE, RefuseAttempt, ErrorCode.CLAIM_UNAVAILABLE),
        ],
    )
    def test_claim_outcome_decides_the_attempt(self, outcome, effect_type, code):
        driver = make_running_agent()
        send_attempt(driver, "r1", key="k")
        assert driver.find(ClaimKey)
        assert not driver.find(StartRun)
        driver.send(ClaimAnswered(driver.now, "r1", outcome))
        [effect] = driver.find(effect_type)
        if code:
            assert effect.refusal.code is code
        is_claim_uncertain = outcome is ClaimOutcome.UNAVAILABLE
        assert bool(driver.find(ReleaseKey)) is is_claim_uncertain

    def test_claim_is_released_if_the_zone_is_taken_out_meanwhile(self):
        driver = make_running_agent()
        send_attempt(driver, "r1", key="k")
        driver.configure(make_zone("zone-a", 20, out=True), revision=20)
        driver.send(ClaimAnswered(driver.now, "r1", ClaimOutcome.GRANTED))
        assert driver.find(ReleaseKey)
        assert not driver.find(StartRun)

    def test_shutdown_finishes_admitted_requests(self):
        driver = make_running_agent()
        send_attempt(driver, "r1", key="k")
        driver.send(ShutdownRequested(driver.now))
        driver.send(ClaimAnswered(driver.now, "r1", ClaimOutcome.GRANTED))
        assert driver.find(StartRun)


class TestInvariants:
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(
                    ["arrive", "keyed", "grant", "progress", "end", "crash", "tick"]
                ),
                st.integers(0, 9),
                st.sampled_from([0.0, 0.01, 0.3, 2.0]),
            ),
            max_size=60,
        )
    )
    def test_every_attempt_gets_one_decision_within_the_window(self, steps):
        driver = make_running_agent(queue_limit=3)
        decisions_by_id: dict[str, int] = {}
        running: set[str] = set()
        arrived: set[str] = set()
        for count, (step, number, wait_s) in enumerate(steps):
            driver.now += wait_s
            driver.configure()
            name = f"{number}"
            if step in ("arrive", "keyed"):
                name = f"{number}-{count}"
                key = name if step == "keyed" else ""
                arrived.add(name)
                send_attempt(driver, name, key=key, deadline=driver.now + 1.0)
            elif step == "grant":
                for claimed in list(driver.state.admission.runs_by_id.values()):
                    if claimed.request.key and not claimed.is_sent:
                        event = ClaimAnswered(
                            driver.now, claimed.request.id, ClaimOutcome.GRANTED
                        )
                        driver.send(event)
                        break
            elif step == "tick":
                driver.send(Tick(driver.now))
            elif running:
                name = sorted(running)[0]
                if step == "progress":
                    driver.send(RunProgressed(driver.now, name))
                else:
                    running.discard(name)
                    is_crash = step == "crash"
                    outcome = RunOutcome.CRASHED if is_crash else RunOutcome.COMPLETED
                    driver.send(RunEnded(driver.now, name, outcome))
            for effect in driver.effects:
                if isinstance(effect, StartRun | RefuseAttempt):
                    decisions_by_id[effect.attempt_id] = (
                        decisions_by_id.get(effect.attempt_id, 0) + 1
                    )
                if isinstance(effect, StartRun):
                    running.add(effect.attempt_id)
            driver.effects = []
            assert len(running) <= WINDOW.max_limit
        assert all(count == 1 for count in decisions_by_id.values())
        assert set(decisions_by_id) <= arrived
