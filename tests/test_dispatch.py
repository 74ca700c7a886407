"""Attempts of an entry: selection of the endpoint, retries and refusals.

Guards against retries of requests that may have run, "not run" reports after an
attempt without an answer, and attempts to zones or endpoints that must not be used.
"""

import pytest

from tamaracktray.effects import AnswerRefusal, SendAttempt
from tamaracktray.events import (
    AttemptEnded,
    CrashNote,
    PeerReported,
    RequestArrived,
    RequestEnded,
    ShutdownRequested,
)
from tamaracktray.outcomes import AttemptPhase
from tamaracktray.testing import (
    make_entry,
    make_instance,
    make_model,
    make_request,
    make_zone,
)
from tamaracktray.types import ErrorCode, Refusal, RunState, TargetKind

NOT_RUN = RunState.NOT_RUN
UNKNOWN = RunState.UNKNOWN


def make_running_entry(count: int = 3, **named):
    driver = make_entry()
    driver.configure(make_model(), make_zone("zone-a", 2), make_zone("zone-b", 3))
    instances = [make_instance(f"m{number}", **named) for number in range(count)]
    services = [make_instance(f"s{number}", serves="orders") for number in range(2)]
    driver.list_instances([*instances, *services])
    return driver


def service_request(key: str = ""):
    return make_request(kind=TargetKind.SERVICE, target="orders", key=key)


def make_refusal(code: ErrorCode, run: RunState = NOT_RUN) -> Refusal:
    return Refusal(code, "refused", run, 503, 1.0)


def end_attempt(driver, sent, phase, refusal=None):
    event = AttemptEnded(driver.now, "r1", sent.endpoint, phase, refusal)
    return driver.send(event)


class TestAttempts:
    @pytest.mark.parametrize(
        ("request_", "phase", "refusal", "retried"),
        [
            (make_request(), AttemptPhase.NOT_SENT, None, True),
            (make_request(), AttemptPhase.SENT, None, True),
            (service_request(), AttemptPhase.NOT_SENT, None, True),
            (service_request(), AttemptPhase.SENT, None, False),
            (service_request("k"), AttemptPhase.SENT, None, True),
            (
                service_request(),
                AttemptPhase.REFUSED,
                make_refusal(ErrorCode.OVERLOADED),
                True,
            ),
            (
                service_request(),
                AttemptPhase.REFUSED,
                make_refusal(ErrorCode.ENDPOINT_FAILED, UNKNOWN),
                False,
            ),
            (
                service_request("k"),
                AttemptPhase.REFUSED,
                make_refusal(ErrorCode.OUTCOME_UNKNOWN, UNKNOWN),
                False,
            ),
            (
                make_request(),
                AttemptPhase.REFUSED,
                make_refusal(ErrorCode.DEADLINE_EXCEEDED),
                False,
            ),
        ],
    )
    def test_retries_only_attempts_that_may_be_repeated(
        self, request_, phase, refusal, retried
    ):
        driver = make_running_entry()
        driver.send(RequestArrived(driver.now, request_))
        [sent] = driver.find(SendAttempt)
        end_attempt(driver, sent, phase, refusal)
        retries = driver.find(SendAttempt)
        assert bool(retries) is retried
        if retried:
            assert retries[0].endpoint != sent.endpoint
        else:
            assert driver.find(AnswerRefusal)

    def test_not_run_is_never_reported_after_an_unanswered_attempt(self):
        driver = make_running_entry()
        driver.send(RequestArrived(driver.now, make_request()))
        end_attempt(driver, driver.find(SendAttempt)[0], AttemptPhase.SENT)
        while driver.find(SendAttempt):
            sent = driver.find(SendAttempt)[0]
            end_attempt(
                driver, sent, AttemptPhase.REFUSED, make_refusal(ErrorCode.NOT_SERVING)
            )
        [answer] = driver.find(AnswerRefusal)
        assert answer.refusal.run is UNKNOWN

    def test_unanswered_retries_are_bounded_by_the_budget(self):
        driver = make_running_entry(count=8)
        attempts = 0
        for number in range(40):
            request = make_request(f"q{number}")
            driver.send(RequestArrived(driver.now, request))
            while driver.find(SendAttempt):
                attempts += 1
                sent = driver.find(SendAttempt)[0]
                event = AttemptEnded(
                    driver.now, request.id, sent.endpoint, AttemptPhase.SENT
                )
                driver.send(event)
                driver.now += 10.0
                if request.deadline < driver.now:
                    break
        assert attempts <= 40 + 10

    def test_answer_cut_after_the_head_is_not_retried(self):
        driver = make_running_entry()
        driver.send(RequestArrived(driver.now, make_request()))
        end_attempt(driver, driver.find(SendAttempt)[0], AttemptPhase.CUT)
        assert not driver.effects
        assert not driver.state.dispatch.pending_by_id


class TestRefusals:
    @pytest.mark.parametrize(
        ("request_", "code"),
        [
            (make_request(target="nothing"), ErrorCode.NOT_FOUND),
            (make_request(deadline=1.0), ErrorCode.DEADLINE_EXCEEDED),
            (make_request(fingerprint="bad"), ErrorCode.QUARANTINED),
        ],
    )
    def test_refused_before_any_attempt(self, request_, code):
        driver = make_running_entry()
        notes = [CrashNote("bad", name, driver.now + 30) for name in ("m0", "m1")]
        driver.send(PeerReported(driver.now, "p", "zone-b", 0, notes))
        driver.send(RequestArrived(driver.now, request_))
        [answer] = driver.find(AnswerRefusal)
        assert (answer.refusal.code, answer.refusal.run) == (code, NOT_RUN)
        assert not driver.find(SendAttempt)

    def test_entry_without_configuration_reports_unavailable_not_unknown(self):
        driver = make_entry()
        driver.send(RequestArrived(driver.now, make_request()))
        [answer] = driver.find(AnswerRefusal)
        assert answer.refusal.status == 503
        assert answer.refusal.retry_after_s

    def test_leaving_entry_refuses_new_work(self):
        driver = make_running_entry()
        driver.send(ShutdownRequested(driver.now))
        driver.send(RequestArrived(driver.now, make_request()))
        assert driver.find(AnswerRefusal)[0].refusal.code is ErrorCode.LEAVING


class TestZones:
    def test_no_attempt_is_sent_to_a_zone_that_is_out(self):
        driver = make_running_entry(zone="zone-b")
        driver.configure(make_zone("zone-b", 20, out=True), revision=20)
        driver.send(RequestArrived(driver.now, make_request()))
        assert not driver.find(SendAttempt)

    def test_request_is_not_sent_to_endpoints_it_crashed(self):
        driver = make_running_entry(count=2)
        notes = [CrashNote("f1", "m0", driver.now + 30)]
        driver.send(PeerReported(driver.now, "p", "zone-b", 0, notes))
        driver.send(RequestArrived(driver.now, make_request()))
        assert driver.find(SendAttempt)[0].endpoint == "m1"


class TestAbandonedRequests:
    def test_abandoned_attempt_is_not_counted_as_in_flight(self):
        driver = make_running_entry(count=1)
        driver.send(RequestArrived(driver.now, make_request()))
        [sent] = driver.find(SendAttempt)
        view = driver.state.dispatch.views_by_name[sent.endpoint]
        assert view.in_flight == 1
        driver.send(RequestEnded(driver.now, "r1"))
        assert view.in_flight == 0

    def test_answered_attempt_is_counted_once(self):
        driver = make_running_entry(count=1)
        for name in ("r0", "r1"):
            driver.send(RequestArrived(driver.now, make_request(name)))
        [sent] = driver.find(SendAttempt)
        view = driver.state.dispatch.views_by_name[sent.endpoint]
        end_attempt(driver, sent, AttemptPhase.ANSWERED)
        driver.send(RequestEnded(driver.now, "r1"))
        assert view.in_flight == 1


class TestBlockedEndpoints:
    def refuse_one_request(self, driver, name: str, code: ErrorCode):
        driver.send(RequestArrived(driver.now, make_request(name)))
        [sent] = driver.find(SendAttempt)
        refusal = make_refusal(code)
        phase = AttemptPhase.REFUSED
        driver.send(AttemptEnded(driver.now, name, sent.endpoint, phase, refusal))

    def test_endpoint_that_refused_is_used_if_there_is_no_other(self):
        driver = make_running_entry(count=1)
        self.refuse_one_request(driver, "r0", ErrorCode.NOT_SERVING)
        driver.send(RequestArrived(driver.now, make_request("r1")))
        assert driver.find(SendAttempt)

    def test_unreachable_endpoint_is_not_used(self):
        driver = make_running_entry(count=1)
        driver.send(RequestArrived(driver.now, make_request("r0")))
        [sent] = driver.find(SendAttempt)
        not_sent = AttemptPhase.NOT_SENT
        driver.send(AttemptEnded(driver.now, "r0", sent.endpoint, not_sent))
        driver.send(RequestArrived(driver.now, make_request("r1")))
        assert not driver.find(SendAttempt)

    def test_endpoint_that_refused_is_used_last(self):
        driver = make_running_entry(count=2)
        self.refuse_one_request(driver, "r0", ErrorCode.NOT_SERVING)
        [blocked] = [
            name
            for name, view in driver.state.dispatch.views_by_name.items()
            if view.blocked_deadline > driver.now
        ]
        driver.send(RequestArrived(driver.now, make_request("r1")))
        assert driver.find(SendAttempt)[0].endpoint != blocked
