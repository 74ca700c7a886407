"""What an entry that sends calls straight to endpoints decides."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gateways import (
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
    worker,
)
from tamaracktray.calls import (
    CallStarted,
    CutCall,
    RefuseCall,
    RelayFailure,
    SendCall,
)
from tamaracktray.gateway import handle_call_started
from tamaracktray.outcomes import AttemptPhase
from tamaracktray.routes import RepeatKind
from tamaracktray.types import RunState


def sent(effects) -> list[str]:
    return [item.endpoint_id for item in effects if isinstance(item, SendCall)]


def refusal(effects):
    (found,) = [item.refusal for item in effects if isinstance(item, RefuseCall)]
    return found


class TestPlacing:
    def test_emptiest_endpoint_takes_the_call(self):
        gateway = Gateway(engine("a"), engine("bb"))
        first = sent(gateway.arrive(build_call("1")))
        second = sent(gateway.arrive(build_call("2")))
        assert {*first, *second} == {"a", "bb"}

    def test_near_endpoint_is_preferred_until_it_is_fuller(self):
        gateway = Gateway(engine("a"), engine("far", zone="zone-c"))
        taken = [sent(gateway.arrive(build_call(str(n))))[0] for n in range(4)]
        assert taken[0] == "a"
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
    def test_unfit_endpoints_get_nothing(self, record):
        answer = refusal(Gateway(record).arrive(build_call("1")))
        assert (answer.status, answer.run) == (503, RunState.NOT_RUN)

    def test_part_of_a_model_is_not_served(self):
        half = engine("a", models=(engine("x").models[0].__class__(MODEL, 1, 0, 8),))
        assert not sent(Gateway(half).arrive(build_call("1")))

    def test_evacuated_zone_gets_nothing(self):
        gateway = Gateway(engine("a"), engine("far", zone="zone-c"))
        gateway.evacuated = frozenset({"zone-a"})
        assert sent(gateway.arrive(build_call("1"))) == ["far"]

    def test_regions_bind(self):
        gateway = Gateway(engine("a"), engine("far", zone="zone-c"))
        call = build_call("1", regions=frozenset({"region-c"}))
        assert sent(gateway.arrive(call)) == ["far"]

    def test_other_service_takes_over_when_the_drawn_one_has_nobody(self):
        gateway = Gateway(worker("w"))
        route = build_route(RepeatKind.SAFE, "missing", ORDERS)
        assert sent(gateway.arrive(build_call("1", route))) == ["w"]

    def test_swapping_engine_gets_nothing(self):
        gateway = Gateway(engine("a"))
        gateway.load("a").note_status(0.0, is_swapping=True, version_by_model={})
        assert not sent(gateway.arrive(build_call("1")))

    def test_silent_agent_leaves_the_word_to_the_list(self):
        gateway = Gateway(engine("a"))
        gateway.load("a").note_status(0.0, is_swapping=True, version_by_model={})
        gateway.tick(2.0)
        assert sent(gateway.arrive(build_call("1", now=2.0))) == ["a"]


class TestVersions:
    def test_older_versions_get_nothing_once_one_is_due(self):
        gateway = Gateway(engine("old", version=1), engine("new", version=2))
        gateway.floors = {MODEL: 2}
        taken = [gateway.arrive(build_call(str(n))) for n in range(3)]
        assert {sent(effects)[0] for effects in taken} == {"new"}
        assert taken[0][0].version == 2

    def test_any_version_may_answer_before(self):
        gateway = Gateway(engine("a", version=1))
        assert gateway.arrive(build_call("1"))[0].version == 0

    def test_agent_is_newer_than_the_list(self):
        gateway = Gateway(engine("a", version=1))
        gateway.floors = {MODEL: 2}
        assert not sent(gateway.arrive(build_call("1")))
        gateway.load("a").note_status(
            0.0, is_swapping=False, version_by_model={MODEL: 2}
        )
        assert gateway.arrive(build_call("2"))[0].version == 2


class TestRoom:
    def test_no_more_than_the_batch(self):
        gateway = Gateway(engine("a"))
        taken = [sent(gateway.arrive(build_call(str(n)))) for n in range(6)]
        assert [len(names) for names in taken] == [1, 1, 1, 1, 0, 0]

    def test_calls_of_peers_count(self):
        gateway = Gateway(engine("a"))
        gateway.load("a").note_peer(0.0, "peer", 3)
        assert sent(gateway.arrive(build_call("1")))
        assert not sent(gateway.arrive(build_call("2")))

    def test_silent_peers_stop_counting(self):
        gateway = Gateway(engine("a"))
        gateway.load("a").note_peer(0.0, "peer", 4)
        gateway.now = 1.5
        assert sent(gateway.arrive(build_call("1", now=1.5)))

    def test_waiting_call_takes_room_that_comes(self):
        gateway = Gateway(worker("w", max_batch=1))
        first, second = build_call("1", SAFE), build_call("2", SAFE)
        gateway.arrive(first)
        assert gateway.arrive(second) == []
        effects = gateway.end(first, "w", AttemptPhase.ANSWERED)
        assert sent(effects) == ["w"]

    def test_waiting_ends_within_a_part_of_the_objective(self):
        gateway = Gateway(worker("w", max_batch=1))
        gateway.arrive(build_call("1", SAFE))
        gateway.arrive(build_call("2", SAFE))
        assert gateway.tick(0.1) == []
        answer = refusal(gateway.tick(0.1))
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

    def test_caller_that_leaves_frees_its_room(self):
        gateway = Gateway(worker("w", max_batch=1))
        first = build_call("1", SAFE)
        gateway.arrive(first)
        gateway.arrive(build_call("2", SAFE))
        assert sent(gateway.leave(first)) == ["w"]

    def test_caller_that_leaves_the_line_is_forgotten(self):
        gateway = Gateway(worker("w", max_batch=1))
        first, second = build_call("1", SAFE), build_call("2", SAFE)
        gateway.arrive(first)
        gateway.arrive(second)
        gateway.leave(second)
        assert gateway.end(first, "w", AttemptPhase.ANSWERED) == []


# What an attempt can come to, and whether an endpoint may have run the call.
ENDS = [
    (AttemptPhase.NOT_SENT, False),
    (AttemptPhase.REFUSED, False),
    (AttemptPhase.SENT, True),
    (AttemptPhase.FAILED, True),
]


class TestRepeats:
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

    def test_attempts_are_bounded(self):
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

    def test_connections_in_vain_do_not_count_as_attempts(self):
        route = build_route(RepeatKind.UNSAFE, ORDERS, max_attempts=1)
        gateway = Gateway(worker("w"), worker("x"))
        call = build_call("1", route)
        (first,) = sent(gateway.arrive(call))
        assert sent(gateway.end(call, first, AttemptPhase.NOT_SENT))

    def test_failure_of_an_endpoint_is_passed_on_when_nothing_is_left(self):
        gateway = Gateway(worker("w"))
        call = build_call("1", SAFE)
        gateway.arrive(call)
        effects = gateway.end(call, "w", AttemptPhase.FAILED, status=500)
        assert effects == [RelayFailure("1")]

    def test_budget_bounds_repeats(self):
        gateway = Gateway(*(worker(f"w{n}", max_batch=500) for n in range(3)))
        repeats = 0
        for number in range(400):
            call = build_call(str(number), SAFE)
            (first,) = sent(gateway.arrive(call))
            again = sent(gateway.end(call, first, AttemptPhase.REFUSED))
            gateway.load(first).blocked_deadline = 0.0
            repeats += len(again)
            if again:
                gateway.end(call, again[0], AttemptPhase.ANSWERED)
                gateway.load(again[0]).blocked_deadline = 0.0
        assert 0 < repeats <= 0.2 * 400 + 100

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

    def test_cut_stream_goes_on_after_its_last_event(self):
        gateway = Gateway(engine("a"), engine("bb"))
        call = build_call("1")
        (first,) = sent(gateway.arrive(call))
        self.start(gateway, call, first)
        (effect,) = gateway.end(
            call, first, AttemptPhase.CUT, is_reset=True, last_event_id="7"
        )
        assert effect.endpoint_id != first
        assert effect.last_event_id == "7"

    def test_cut_stream_that_cannot_go_on_is_cut(self):
        gateway = Gateway(engine("a"))
        call = build_call("1")
        gateway.arrive(call)
        self.start(gateway, call, "a")
        (effect,) = gateway.end(call, "a", AttemptPhase.CUT, last_event_id="7")
        assert isinstance(effect, CutCall)

    def test_cut_stream_waits_for_room_before_others(self):
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

    def test_stream_that_may_not_be_resumed_is_cut(self):
        route = build_route(RepeatKind.STREAM, ENGINES, is_resumable=False)
        gateway = Gateway(engine("a"), engine("bb"))
        call = build_call("1", route)
        (first,) = sent(gateway.arrive(call))
        self.start(gateway, call, first)
        (effect,) = gateway.end(call, first, AttemptPhase.CUT, last_event_id="7")
        assert isinstance(effect, CutCall)


PHASES = st.sampled_from(
    [phase for phase in AttemptPhase if phase is not AttemptPhase.CUT]
)


class TestPromises:
    @given(
        st.sampled_from([SAFE, UNSAFE, STREAM]),
        st.lists(PHASES, min_size=1, max_size=6),
    )
    def test_not_run_is_true_and_at_most_once(self, route, phases):
        """Whatever attempts come to, promises hold and counts return to zero."""
        make = engine if route is STREAM else worker
        gateway = Gateway(make("a"), make("bb"), make("ccc"))
        call = build_call("1", route)
        effects = gateway.arrive(call)
        runs = sends = 0
        while effects and isinstance(effects[0], SendCall):
            phase = phases[sends % len(phases)]
            sends += 1
            runs += phase not in (AttemptPhase.NOT_SENT, AttemptPhase.REFUSED)
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
