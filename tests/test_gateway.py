"""Decisions of an entry that sends calls directly to endpoints.

Guards against unsafe calls that run twice, false "not run" reports, overloaded
endpoints and calls that start on an outdated version.
"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gateways import (
    COLD_RATE,
    ENGINES,
    MODEL,
    ORDERS,
    SAFE,
    STREAM,
    UNSAFE,
    Gateway,
    build_call,
    build_route,
    engine,
    sent,
    worker,
)
from tamaracktray.attempt_abandonment import is_sendable
from tamaracktray.calls import (
    AbandonAttempt,
    AbortAnswer,
    CallStarted,
    LeaveAttempt,
    RefuseCall,
    RelayFailure,
    SendCall,
)
from tamaracktray.endpoint_loads import MISDIRECTED_BLOCK_S
from tamaracktray.gateway import handle_call_started
from tamaracktray.outcomes import AttemptPhase
from tamaracktray.refusals import (
    BUSY_RETRY_S,
    NO_ENDPOINT_RETRY_S,
    SCARCE_RETRY_S,
    SCARCE_SPREAD_S,
)
from tamaracktray.roster import LoadedModel
from tamaracktray.routes import RepeatKind
from tamaracktray.types import ErrorCode, RunState


def refusal(effects):
    (found,) = [item.refusal for item in effects if isinstance(item, RefuseCall)]
    return found


OUTDATED = "version is too old"
SILENT = "endpoint is silent"


class TestPlacement:
    def test_least_loaded_endpoint_gets_the_call(self):
        gateway = Gateway(engine("a"), engine("bb"))
        first = sent(gateway.arrive(build_call("1")))
        second = sent(gateway.arrive(build_call("2")))
        assert {*first, *second} == {"a", "bb"}

    def test_near_endpoint_is_preferred_until_its_load_outweighs_distance(self):
        near = worker("a", max_batch=8)
        gateway = Gateway(near, worker("far", zone="zone-c", max_batch=8))
        calls = [build_call(str(n), SAFE) for n in range(8)]
        taken = [sent(gateway.arrive(call))[0] for call in calls]
        assert taken[:5] == ["a"] * 5
        assert "far" in taken

    @pytest.mark.parametrize(
        "record",
        [
            engine("a", is_draining=True),
            engine("a", version=0),
            engine("a", models=()),
            worker("a"),
        ],
    )
    def test_ineligible_endpoints_get_no_calls(self, record):
        answer = refusal(Gateway(record).arrive(build_call("1")))
        assert (answer.status, answer.run) == (503, RunState.NOT_RUN)

    def test_incomplete_model_is_not_served(self):
        half = engine("a", models=(engine("x").models[0].__class__(MODEL, 1, 0, 8),))
        assert not sent(Gateway(half).arrive(build_call("1")))

    def test_evacuated_zone_gets_no_calls(self):
        gateway = Gateway(engine("a"), engine("far", zone="zone-c"))
        gateway.evacuated = frozenset({"zone-a"})
        assert sent(gateway.arrive(build_call("1"))) == ["far"]

    def test_allowed_regions_are_respected(self):
        gateway = Gateway(engine("a"), engine("far", zone="zone-c"))
        call = build_call("1", regions=frozenset({"region-c"}))
        assert sent(gateway.arrive(call)) == ["far"]

    def test_other_service_is_used_when_the_selected_one_has_no_endpoint(self):
        gateway = Gateway(worker("w"))
        route = build_route(RepeatKind.SAFE, "missing", ORDERS)
        assert sent(gateway.arrive(build_call("1", route))) == ["w"]

    def test_swapping_engine_gets_no_calls(self):
        gateway = Gateway(engine("a"))
        gateway.load("a").note_status(0.0, is_swapping=True, version_by_model={})
        assert not sent(gateway.arrive(build_call("1")))

    def test_list_applies_once_the_status_of_the_agent_expires(self):
        gateway = Gateway(engine("a"))
        gateway.load("a").note_status(0.0, is_swapping=True, version_by_model={})
        gateway.tick(2.0)
        assert sent(gateway.arrive(build_call("1", now=2.0))) == ["a"]


class TestVersions:
    def test_versions_below_the_floor_get_no_calls(self):
        gateway = Gateway(engine("old", version=1), engine("new", version=2))
        gateway.floors = {MODEL: 2}
        taken = [gateway.arrive(build_call(str(n))) for n in range(3)]
        assert {sent(effects)[0] for effects in taken} == {"new"}
        assert taken[0][0].version == 2

    def test_any_version_may_answer_without_a_floor(self):
        gateway = Gateway(engine("a", version=1))
        assert gateway.arrive(build_call("1"))[0].version == 0

    def test_status_of_the_agent_takes_precedence_over_the_list(self):
        gateway = Gateway(engine("a", version=1))
        gateway.floors = {MODEL: 2}
        assert not sent(gateway.arrive(build_call("1")))
        gateway.load("a").note_status(
            0.0, is_swapping=False, version_by_model={MODEL: 2}
        )
        assert gateway.arrive(build_call("2"))[0].version == 2

    @pytest.mark.parametrize("is_started", [False, True])
    def test_unstarted_call_leaves_an_engine_that_becomes_too_old(self, is_started):
        gateway = Gateway(engine("old", version=1))
        call = build_call("1")
        gateway.arrive(call)
        if is_started:
            handle_call_started(gateway.context, CallStarted(0.0, "1", "old", 1))
        gateway.floors = {MODEL: 2}
        assert gateway.tick(0.025) == []
        gateway.last_floors = {MODEL: 2}
        taken = gateway.tick(0.025)
        assert taken == ([] if is_started else [AbandonAttempt("1", OUTDATED)])
        assert gateway.tick(0.025) == []

    def test_unstarted_call_leaves_an_outdated_engine_that_is_unlisted(self):
        gateway = Gateway(engine("old", version=1))
        gateway.arrive(build_call("1"))
        gateway.follow()
        gateway.last_floors = {MODEL: 2}
        assert gateway.tick(0.025) == [AbandonAttempt("1", OUTDATED)]

    def test_resumed_stream_without_new_events_leaves_an_outdated_engine(self):
        gateway = Gateway(engine("a"))
        call = build_call("1")
        gateway.arrive(call)
        handle_call_started(gateway.context, CallStarted(0.0, "1", "a", 1))
        gateway.follow(engine("a"), engine("old"))
        cut = gateway.end(call, "a", AttemptPhase.CUT, last_event_id="3")
        assert sent(cut) == ["old"]
        gateway.last_floors = {MODEL: 2}
        assert gateway.tick(0.025) == [AbandonAttempt("1", OUTDATED)]

    def test_resumed_stream_with_new_events_stays(self):
        gateway = Gateway(engine("a"))
        call = build_call("1")
        gateway.arrive(call)
        gateway.follow(engine("a"), engine("old"))
        gateway.end(call, "a", AttemptPhase.CUT, last_event_id="3")
        handle_call_started(gateway.context, CallStarted(0.0, "1", "old", 1))
        gateway.last_floors = {MODEL: 2}
        assert gateway.tick(0.025) == []

    def test_engine_without_weights_gets_no_calls(self):
        gateway = Gateway(engine("a", version=2))
        gateway.load("a").note_status(0.0, is_swapping=False, version_by_model={})
        answer = refusal(gateway.arrive(build_call("1")))
        assert answer.code is ErrorCode.NO_ENDPOINT

    def test_engine_restarted_since_it_was_listed_gets_no_calls(self):
        gateway = Gateway(
            engine("a", start_time_ms=1_000), engine("b", start_time_ms=1_000)
        )
        gateway.load("a").note_status(0.0, False, {MODEL: 1}, start_time_ms=2_000)
        taken = [gateway.arrive(build_call(str(n))) for n in range(3)]
        assert {sent(effects)[0] for effects in taken} == {"b"}

    def test_status_of_an_earlier_incarnation_is_ignored(self):
        gateway = Gateway(engine("a", start_time_ms=2_000))
        gateway.load("a").note_status(0.0, True, {}, start_time_ms=1_000)
        assert sent(gateway.arrive(build_call("1"))) == ["a"]


class TestWithdrawn:
    """Calls whose decision was withdrawn before they were sent."""

    def test_call_is_placed_elsewhere_without_counting_attempt_or_failure(self):
        gateway = Gateway(engine("old"))
        call = build_call("1", build_route(RepeatKind.STREAM, ENGINES, max_attempts=1))
        decision = gateway.arrive(call)[0]
        gateway.follow(engine("old"), engine("new", version=2))
        gateway.floors = gateway.last_floors = {MODEL: 2}
        assert not is_sendable(gateway.context, gateway.now, decision)
        effects = gateway.end(call, "old", AttemptPhase.WITHDRAWN)
        assert sent(effects) == ["new"]
        assert not gateway.load("old").failures

    def test_call_is_refused_as_not_run_without_another_endpoint(self):
        gateway = Gateway(engine("old"))
        call = build_call("1")
        gateway.arrive(call)
        gateway.floors = gateway.last_floors = {MODEL: 2}
        answer = refusal(gateway.end(call, "old", AttemptPhase.WITHDRAWN))
        assert answer.code is ErrorCode.NO_ENDPOINT
        assert answer.run is RunState.NOT_RUN

    @pytest.mark.parametrize(
        "records",
        [
            (),
            (engine("a", is_draining=True),),
            (engine("a", zone="zone-b"),),
            (engine("a", version=0),),
            (engine("a", models=(LoadedModel(MODEL, 1, 0, 8),)),),
        ],
        ids=["unlisted", "draining", "evacuated", "empty", "part"],
    )
    def test_decision_is_invalid_once_the_endpoint_is_ineligible(self, records):
        gateway = Gateway(engine("a"))
        decision = gateway.arrive(build_call("1"))[0]
        gateway.evacuated = frozenset({"zone-b"})
        assert is_sendable(gateway.context, gateway.now, decision)
        gateway.follow(*records)
        assert not is_sendable(gateway.context, gateway.now, decision)

    def test_decision_is_invalid_once_the_endpoint_was_replaced(self):
        gateway = Gateway(engine("a"))
        first, second = build_call("1"), build_call("2")
        gateway.arrive(first)
        decision = gateway.arrive(second)[0]
        gateway.end(first, "a", AttemptPhase.MISDIRECTED)
        assert not is_sendable(gateway.context, gateway.now, decision)

    def test_decision_is_valid_until_calls_may_not_begin_on_the_version(self):
        gateway = Gateway(engine("a"))
        decision = gateway.arrive(build_call("1"))[0]
        gateway.floors = {MODEL: 2}
        assert is_sendable(gateway.context, gateway.now, decision)
        gateway.last_floors = {MODEL: 2}
        assert not is_sendable(gateway.context, gateway.now, decision)

    def test_decision_is_invalid_once_the_caller_disconnected(self):
        gateway = Gateway(engine("a"))
        call = build_call("1")
        decision = gateway.arrive(call)[0]
        assert is_sendable(gateway.context, gateway.now, decision)
        gateway.leave(call)
        assert not is_sendable(gateway.context, gateway.now, decision)


class TestMisdirected:
    """An endpoint that differs from its record is avoided until newer data arrives."""

    def misdirect(self, gateway: Gateway):
        call = build_call("1")
        gateway.arrive(call)
        return gateway.end(call, "a", AttemptPhase.MISDIRECTED, status=421)

    def test_next_calls_are_refused_at_once_as_not_run(self):
        gateway = Gateway(engine("a"))
        assert refusal(self.misdirect(gateway)).run is RunState.NOT_RUN
        answer = refusal(gateway.arrive(build_call("2")))
        assert answer.code is ErrorCode.NO_ENDPOINT

    def test_unsafe_call_is_sent_elsewhere_since_it_was_not_run(self):
        gateway = Gateway(worker("a"), worker("b", max_batch=1))
        call = build_call("1", UNSAFE)
        gateway.arrive(call)
        effects = gateway.end(call, "a", AttemptPhase.MISDIRECTED, status=421)
        assert sent(effects) == ["b"]

    def test_new_record_in_the_list_ends_the_block(self):
        gateway = Gateway(engine("a"))
        self.misdirect(gateway)
        gateway.follow(engine("a", sequence=1))
        assert sent(gateway.arrive(build_call("2"))) == ["a"]

    def test_status_of_the_agent_ends_the_block(self):
        gateway = Gateway(engine("a"))
        self.misdirect(gateway)
        gateway.load("a").note_status(0.0, False, {MODEL: 1})
        assert sent(gateway.arrive(build_call("2"))) == ["a"]

    def test_block_expires(self):
        gateway = Gateway(engine("a"))
        self.misdirect(gateway)
        gateway.tick(MISDIRECTED_BLOCK_S)
        assert sent(gateway.arrive(build_call("2", now=gateway.now))) == ["a"]


class TestCapacity:
    def test_calls_are_limited_to_the_batch_size(self):
        gateway = Gateway(engine("a"))
        taken = [sent(gateway.arrive(build_call(str(n)))) for n in range(6)]
        assert [len(names) for names in taken] == [1, 1, 1, 1, 0, 0]

    def test_calls_of_peers_count(self):
        gateway = Gateway(engine("a"))
        gateway.load("a").record_peer_load(0.0, "peer", 3)
        assert sent(gateway.arrive(build_call("1")))
        assert not sent(gateway.arrive(build_call("2")))

    def test_load_reports_of_peers_expire(self):
        gateway = Gateway(engine("a"))
        gateway.load("a").record_peer_load(0.0, "peer", 4)
        gateway.now = 1.5
        assert sent(gateway.arrive(build_call("1", now=1.5)))

    def test_queued_call_takes_a_freed_slot(self):
        gateway = Gateway(worker("w", max_batch=1))
        first, second = build_call("1", SAFE), build_call("2", SAFE)
        gateway.arrive(first)
        assert gateway.arrive(second) == []
        effects = gateway.end(first, "w", AttemptPhase.ANSWERED)
        assert sent(effects) == ["w"]

    def test_wait_is_limited_to_a_share_of_the_objective(self):
        gateway = Gateway(worker("w", max_batch=1))
        gateway.arrive(build_call("1", SAFE))
        gateway.arrive(build_call("2", SAFE))
        assert gateway.tick(0.08) == []
        answer = refusal(gateway.tick(0.08))
        assert (answer.status, answer.run) == (503, RunState.NOT_RUN)
        assert answer.retry_after_s

    def test_urgent_calls_go_first(self):
        gateway = Gateway(worker("w", max_batch=1))
        first = build_call("1", SAFE)
        gateway.arrive(first)
        gateway.arrive(build_call("slow", SAFE, priority=2))
        gateway.arrive(build_call("urgent", SAFE, priority=1))
        effects = gateway.end(first, "w", AttemptPhase.ANSWERED)
        assert [item.call_id for item in effects] == ["urgent"]

    def test_disconnected_caller_frees_its_slot(self):
        gateway = Gateway(worker("w", max_batch=1))
        first = build_call("1", SAFE)
        gateway.arrive(first)
        gateway.arrive(build_call("2", SAFE))
        assert sent(gateway.leave(first)) == ["w"]

    def test_call_of_a_disconnected_caller_leaves_the_queue(self):
        gateway = Gateway(worker("w", max_batch=1))
        first, second = build_call("1", SAFE), build_call("2", SAFE)
        gateway.arrive(first)
        gateway.arrive(second)
        gateway.leave(second)
        assert gateway.end(first, "w", AttemptPhase.ANSWERED) == []


# Ends of an attempt, and whether the endpoint may have run the call.
ENDS = [
    (AttemptPhase.NOT_SENT, False),
    (AttemptPhase.REFUSED, False),
    (AttemptPhase.SENT, True),
    (AttemptPhase.FAILED, True),
]


class TestRetries:
    @pytest.mark.parametrize(("phase", "may_have_run"), ENDS)
    def test_unsafe_calls_are_never_sent_again_once_they_may_have_run(
        self, phase, may_have_run
    ):
        gateway = Gateway(worker("w"), worker("x"))
        call = build_call("1", UNSAFE)
        (first,) = sent(gateway.arrive(call))
        again = sent(gateway.end(call, first, phase))
        assert bool(again) is not may_have_run

    @pytest.mark.parametrize(("phase", "may_have_run"), ENDS)
    def test_safe_calls_are_sent_to_another(self, phase, may_have_run):
        gateway = Gateway(worker("w"), worker("x"))
        call = build_call("1", SAFE)
        (first,) = sent(gateway.arrive(call))
        (second,) = sent(gateway.end(call, first, phase))
        assert second != first

    def test_attempts_are_limited(self):
        gateway = Gateway(worker("w"), worker("x"), worker("y"))
        call = build_call("1", SAFE)
        (first,) = sent(gateway.arrive(call))
        (second,) = sent(gateway.end(call, first, AttemptPhase.SENT))
        answer = refusal(gateway.end(call, second, AttemptPhase.SENT))
        assert (answer.status, answer.run) == (502, RunState.UNKNOWN)

    def test_refused_attempts_count(self):
        route = build_route(RepeatKind.UNSAFE, ORDERS, max_attempts=1)
        gateway = Gateway(worker("w"), worker("x"))
        call = build_call("1", route)
        (first,) = sent(gateway.arrive(call))
        answer = refusal(gateway.end(call, first, AttemptPhase.REFUSED))
        assert (answer.status, answer.run) == (503, RunState.NOT_RUN)

    def test_failed_connections_do_not_count_as_attempts(self):
        route = build_route(RepeatKind.UNSAFE, ORDERS, max_attempts=1)
        gateway = Gateway(worker("w"), worker("x"))
        call = build_call("1", route)
        (first,) = sent(gateway.arrive(call))
        assert sent(gateway.end(call, first, AttemptPhase.NOT_SENT))

    def test_failure_is_relayed_when_no_endpoint_is_left(self):
        gateway = Gateway(worker("w"))
        call = build_call("1", SAFE)
        gateway.arrive(call)
        effects = gateway.end(call, "w", AttemptPhase.FAILED, status=500)
        assert effects == [RelayFailure("1")]

    def test_budget_limits_retries(self):
        gateway = Gateway(*(worker(f"w{n}", max_batch=500) for n in range(3)))
        retries = 0
        for number in range(400):
            call = build_call(str(number), SAFE)
            (first,) = sent(gateway.arrive(call))
            again = sent(gateway.end(call, first, AttemptPhase.REFUSED))
            gateway.load(first).blocked_deadline = 0.0
            retries += len(again)
            if again:
                gateway.end(call, again[0], AttemptPhase.ANSWERED)
                gateway.load(again[0]).blocked_deadline = 0.0
        assert 0 < retries <= 0.2 * 400 + 100

    def test_crashing_call_is_contained(self):
        gateway = Gateway(*(worker(f"w{n}") for n in range(6)))
        sends = 0
        for number in range(6):
            call = build_call(str(number), SAFE, fingerprint="poison")
            names = sent(gateway.arrive(call))
            while names:
                sends += 1
                names = sent(
                    gateway.end(call, names[0], AttemptPhase.SENT, is_reset=True)
                )
            gateway.tick(1.0)
        assert sends <= 3


class TestStreams:
    def start(self, gateway: Gateway, call, endpoint: str) -> None:
        event = CallStarted(gateway.now, call.id, endpoint, version=1)
        handle_call_started(gateway.context, event)

    def test_broken_stream_is_resumed_after_its_last_event(self):
        gateway = Gateway(engine("a"), engine("bb"))
        call = build_call("1")
        (first,) = sent(gateway.arrive(call))
        self.start(gateway, call, first)
        (effect,) = gateway.end(
            call, first, AttemptPhase.CUT, is_reset=True, last_event_id="7"
        )
        assert effect.endpoint_id != first
        assert effect.last_event_id == "7"

    def test_broken_stream_without_another_endpoint_is_cut(self):
        gateway = Gateway(engine("a"))
        call = build_call("1")
        gateway.arrive(call)
        self.start(gateway, call, "a")
        (effect,) = gateway.end(call, "a", AttemptPhase.CUT, last_event_id="7")
        assert isinstance(effect, AbortAnswer)

    def test_broken_stream_is_first_in_the_queue(self):
        gateway = Gateway(engine("a", max_batch=1), engine("bb", max_batch=1))
        broken, running, waiting = (build_call(str(n)) for n in range(3))
        (first,) = sent(gateway.arrive(broken))
        (second,) = sent(gateway.arrive(running))
        gateway.arrive(waiting)
        self.start(gateway, broken, first)
        effects = gateway.end(broken, first, AttemptPhase.CUT, last_event_id="7")
        assert [item.call_id for item in effects] == [waiting.id]
        effects = gateway.end(running, second, AttemptPhase.ANSWERED)
        assert [item.call_id for item in effects] == [broken.id]

    def test_stream_that_is_not_resumable_is_cut(self):
        route = build_route(RepeatKind.STREAM, ENGINES, is_resumable=False)
        gateway = Gateway(engine("a"), engine("bb"))
        call = build_call("1", route)
        (first,) = sent(gateway.arrive(call))
        self.start(gateway, call, first)
        (effect,) = gateway.end(call, first, AttemptPhase.CUT, last_event_id="7")
        assert isinstance(effect, AbortAnswer)


PHASES = st.sampled_from(
    [phase for phase in AttemptPhase if phase is not AttemptPhase.CUT]
)


class TestOutcomes:
    @given(
        st.sampled_from([SAFE, UNSAFE, STREAM]),
        st.lists(PHASES, min_size=1, max_size=6),
    )
    def test_not_run_is_true_and_at_most_once(self, route, phases):
        """For any ends of attempts, "not run" is true and counts return to zero."""
        make = engine if route is STREAM else worker
        gateway = Gateway(make("a"), make("bb"), make("ccc"))
        call = build_call("1", route)
        effects = gateway.arrive(call)
        runs = sends = 0
        while effects and isinstance(effects[0], SendCall):
            phase = phases[sends % len(phases)]
            sends += 1
            runs += phase is not AttemptPhase.NOT_SENT and not phase.is_not_run
            effects = gateway.end(call, effects[0].endpoint_id, phase)
            if not effects:
                effects = gateway.tick(1.0)
        assert runs <= (route.max_attempts if route.is_idempotent else 1)
        for effect in effects:
            if not isinstance(effect, RefuseCall):
                continue
            assert (effect.refusal.run is RunState.NOT_RUN) <= (runs == 0)
            assert (effect.refusal.status == 503) == (runs == 0)
        assert not gateway.state.pending_by_id
        assert not len(gateway.state.waiting)
        assert all(not load.in_flight for load in gateway.state.loads_by_id.values())


class TestSilence:
    def test_silent_endpoint_is_avoided(self):
        gateway = Gateway(engine("a"), engine("far", zone="zone-c"))
        assert sent(gateway.arrive(build_call("1"))) == ["a"]
        gateway.tick(0.45)
        assert sent(gateway.arrive(build_call("2", now=0.45))) == ["far"]

    def test_endpoint_that_sends_data_is_kept(self):
        gateway = Gateway(engine("a"), engine("far", zone="zone-c"))
        gateway.arrive(build_call("1"))
        gateway.tick(0.3, "a")
        gateway.tick(0.2, "a")
        assert sent(gateway.arrive(build_call("2", now=0.5))) == ["a"]

    def test_silent_endpoint_is_used_without_an_alternative(self):
        gateway = Gateway(engine("a"))
        gateway.arrive(build_call("1"))
        gateway.tick(0.45)
        assert sent(gateway.arrive(build_call("2", now=0.45))) == ["a"]

    @pytest.mark.parametrize(
        ("route", "make", "is_given_up"),
        [(STREAM, engine, True), (SAFE, worker, True), (UNSAFE, worker, False)],
    )
    def test_idempotent_calls_leave_a_silent_endpoint(self, route, make, is_given_up):
        gateway = Gateway(make("a"), make("bb"))
        call = build_call("1", route)
        gateway.arrive(call)
        effects = gateway.tick(0.6)
        given_up = [LeaveAttempt(call.id, SILENT)]
        assert effects == (given_up if is_given_up else [])
        assert gateway.tick(0.1) == []

    def test_calls_stay_without_another_endpoint(self):
        gateway = Gateway(engine("a"))
        gateway.arrive(build_call("1"))
        assert gateway.tick(0.6) == []


class TestSwapPlans:
    def plan(self, gateway: Gateway, name: str, swap_in_s: float) -> None:
        gateway.load(name).note_status(0.0, False, {MODEL: 1}, swap_in_s)

    def test_long_call_avoids_an_engine_whose_swap_it_would_delay(self):
        gateway = Gateway(engine("a"), engine("far", zone="zone-c"))
        self.plan(gateway, "a", 0.5)
        long = build_call("1", output_tokens=400, prompt_tokens=1_000)
        assert sent(gateway.arrive(long)) == ["far"]

    def test_short_call_may_run_before_the_swap(self):
        gateway = Gateway(engine("a"), engine("far", zone="zone-c"))
        self.plan(gateway, "a", 0.5)
        short = build_call("1", output_tokens=10, prompt_tokens=100)
        assert sent(gateway.arrive(short)) == ["a"]

    def test_long_call_is_not_refused_because_of_a_planned_swap(self):
        gateway = Gateway(engine("a"))
        self.plan(gateway, "a", 0.1)
        long = build_call("1", output_tokens=400, prompt_tokens=1_000)
        assert sent(gateway.arrive(long)) == ["a"]


class TestQueueOrder:
    def serve_one_by_one(self, gateway: Gateway, calls) -> list[str]:
        """Return the order in which queued calls are served by one slot."""
        first, *waiting = calls
        gateway.arrive(first)
        for call in waiting:
            assert gateway.arrive(call) == []
        served: list[str] = []
        running = first
        while len(served) < len(waiting):
            effects = gateway.end(running, "a", AttemptPhase.ANSWERED)
            (effect,) = effects
            served.append(effect.call_id)
            running = next(call for call in calls if call.id == effect.call_id)
        return served

    def test_short_calls_go_first(self):
        gateway = Gateway(engine("a", max_batch=1))
        calls = [
            build_call(name, prompt_tokens=100, output_tokens=tokens, max_output=tokens)
            for name, tokens in [("first", 50), ("long", 300), ("short", 20)]
        ]
        assert self.serve_one_by_one(gateway, calls) == ["short", "long"]

    def test_retry_delay_grows_while_capacity_is_scarce(self):
        gateway = Gateway(engine("a", max_batch=1))
        gateway.arrive(build_call("0"))
        times: list[float] = []
        for number in range(60):
            gateway.arrive(build_call(f"c{number}", now=gateway.now))
            effects = gateway.tick(0.2, "a")
            times.extend(item.refusal.retry_after_s for item in effects)
        assert times[0] == BUSY_RETRY_S
        assert SCARCE_RETRY_S <= times[-1] <= SCARCE_RETRY_S + SCARCE_SPREAD_S

    def test_retry_delay_is_long_while_no_endpoint_is_eligible(self):
        """While no endpoint holds the required version, delays are long and spread."""
        gateway = Gateway(engine("a", version=1))
        gateway.floors = {MODEL: 2}
        calls = [build_call(f"c{number}", wait_s=6.0) for number in range(50)]
        times = [refusal(gateway.arrive(call)).retry_after_s for call in calls]
        assert min(times) >= NO_ENDPOINT_RETRY_S
        assert max(times) <= 6.0 / 3
        assert max(times) - min(times) > 0.3

    def test_retry_delay_stays_within_the_wait_of_the_caller(self):
        gateway = Gateway()
        answer = refusal(gateway.arrive(build_call("1", SAFE, wait_s=2.4)))
        assert answer.retry_after_s == pytest.approx(0.8)


class TestFairness:
    def test_large_calls_are_served_at_least_half_as_often(self):
        """At twice the capacity, no size of call starves."""
        served: dict[bool, int] = {True: 0, False: 0}
        asked: dict[bool, int] = {True: 0, False: 0}
        gateway = Gateway(engine("a", max_batch=1))
        running = None
        calls = {}
        for step in range(4_000):
            is_large = step % 10 == 0
            tokens = 400 if is_large else 20 + step % 30
            call = build_call(
                f"c{step}",
                now=gateway.now,
                prompt_tokens=100,
                output_tokens=tokens,
                max_output=tokens,
            )
            calls[call.id] = call
            asked[is_large] += 1
            effects = gateway.arrive(call)
            if running is not None and step % 2 == 0:
                effects += gateway.end(running, "a", AttemptPhase.ANSWERED)
                running = None
            for effect in effects + gateway.tick(0.02, "a"):
                if isinstance(effect, SendCall):
                    running = calls[effect.call_id]
                    served[running.output_tokens == 400] += 1
        shares = {size: served[size] / asked[size] for size in served}
        assert 0.3 < sum(served.values()) / 4_000 < 0.7
        assert shares[True] >= 0.5 * (sum(served.values()) / 4_000)


class TestColdEndpoints:
    def send_for_a_second(
        self, peers: int, cold_s: float, *, is_owned: bool = True
    ) -> int:
        """Return the number of calls that one of several entries sends in a second."""
        record = engine("a", cold_s=cold_s, max_batch=16)
        gateway = Gateway(record, owned=["a"] if is_owned else [])
        gateway.state.peer_count = peers
        gateway.follow(record)
        count = 0
        for step in range(1_000):
            call = build_call(f"c{step}", now=gateway.now)
            for effect in gateway.arrive(call) + gateway.tick(0.001, "a"):
                if isinstance(effect, SendCall):
                    count += 1
                    sent_call = build_call(effect.call_id)
                    gateway.end(sent_call, "a", AttemptPhase.ANSWERED)
        return count

    @pytest.mark.parametrize("peers", [0, 3, 11, 15, 99, 329])
    @pytest.mark.parametrize("owners", [1, 2])
    def test_sum_over_all_entries_stays_within_the_limit(self, peers, owners):
        """Every entry has a thousand calls a second for one cold endpoint.

        Two entries may both act as its owner while ownership changes.
        """
        owner_count = min(owners, peers + 1)
        total = owner_count * self.send_for_a_second(peers, 5.0)
        total += (peers + 1 - owner_count) * self.send_for_a_second(
            peers, 5.0, is_owned=False
        )
        assert 0 < total <= COLD_RATE * 1.5 + 5

    def test_warm_endpoint_is_limited_only_by_its_batch(self):
        assert self.send_for_a_second(3, cold_s=0.0) > COLD_RATE
