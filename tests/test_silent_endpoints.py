"""Sound endpoints that fall silent for a second or so and go on.

Guards against answers that are given up for such a silence although no other endpoint
can certainly go on with them.
"""

from functools import partial

import curio
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from gateways import (
    ENGINES,
    ORDERS,
    SAFE,
    STREAM,
    UNSAFE,
    Gateway,
    build_call,
    build_entry_state,
    build_route,
    engine,
    sent,
    worker,
)
from platforms import PlatformFleet, run_fleet
from raw_endpoints import (
    CallerProtocol,
    Framing,
    RawAnswer,
    RawCaller,
    list_endpoint,
)
from tamaracktray.attempt_abandonment import (
    MAX_FAILED_MOVES,
    STALL_S,
    START_TIMEOUT_OBJECTIVES,
    STREAM_SILENCE_TIMEOUT_S,
)
from tamaracktray.attempt_relay import MAX_BUFFERED_ANSWER_BYTES
from tamaracktray.calls import AbandonAttempt, AbortAnswer, Call, CallStarted, SendCall
from tamaracktray.events import Tick
from tamaracktray.gateway import handle_call_started
from tamaracktray.gateway_state import GatewayBounds
from tamaracktray.node_reducer import reduce_node
from tamaracktray.outcomes import AttemptPhase
from tamaracktray.roster import EndpointRecord
from tamaracktray.routes import RepeatKind
from tamaracktray_emulator.platform.documents import build_route as build_store_route
from tamaracktray_emulator.platform.worker import EVENTS, Mode

SILENT_S = 1.3
# Longer than the time after which a call moves to another endpoint.
LATE_S = 2.2
STEP_S = 0.1


def begin(gateway: Gateway, call: Call, endpoint: str, *, has_id: bool = True) -> None:
    event = CallStarted(gateway.now, call.id, endpoint, has_event_id=has_id)
    handle_call_started(gateway.context, event)


def stay_silent(gateway: Gateway, seconds: float, *responsive_ids: str) -> list:
    """Let time pass and return all effects."""
    effects: list = []
    for _ in range(round(seconds / STEP_S)):
        effects.extend(gateway.tick(STEP_S, *responsive_ids))
    return effects


def list_abandoned(effects: list) -> list[str]:
    return [item.call_id for item in effects if isinstance(item, AbandonAttempt)]


def count_reserved(gateway: Gateway) -> int:
    return sum(load.reserved for load in gateway.state.loads_by_id.values())


def build_without_retries(*records: EndpointRecord) -> Gateway:
    gateway = Gateway(*records)
    gateway.state.bounds = GatewayBounds(repeat_ratio=0.0, repeat_reserve=0.0)
    return gateway


def exhaust_budget(gateway: Gateway, service: str) -> None:
    while gateway.state.find_budget(service).spend(gateway.now):
        continue


def start_streams(gateway: Gateway, count: int) -> list[Call]:
    """Begin streams at the endpoint ``a`` of a gateway that has another one, ``bb``."""
    calls = [build_call(str(number)) for number in range(count)]
    gateway.load("bb").blocked_deadline = 0.01
    for call in calls:
        assert sent(gateway.arrive(call)) == ["a"]
        begin(gateway, call, "a")
    return calls


class TestMoves:
    @pytest.mark.parametrize("is_begun", [True, False])
    def test_silence_ends_no_answer_without_a_retry_budget(self, is_begun):
        gateway = build_without_retries(engine("a"), engine("bb"))
        call = build_call("1")
        (endpoint,) = sent(gateway.arrive(call))
        if is_begun:
            begin(gateway, call, endpoint)
        assert list_abandoned(stay_silent(gateway, SILENT_S)) == []

    def test_only_as_many_streams_leave_as_find_a_slot(self):
        gateway = Gateway(engine("a"), engine("bb", max_batch=1))
        calls = start_streams(gateway, 4)
        effects = stay_silent(gateway, SILENT_S)
        assert len(list_abandoned(effects)) == 1
        assert count_reserved(gateway) == 1
        (moved,) = (call for call in calls if call.id == list_abandoned(effects)[0])
        effects = gateway.end(moved, "a", AttemptPhase.CUT, last_event_id="7")
        assert sent(effects) == ["bb"]
        assert count_reserved(gateway) == 0

    def test_reserved_slot_is_given_to_no_other_call(self):
        gateway = Gateway(engine("a", max_batch=1), engine("bb", max_batch=1))
        (stream,) = start_streams(gateway, 1)
        assert list_abandoned(stay_silent(gateway, SILENT_S)) == [stream.id]
        other = build_call("other", now=gateway.now)
        assert sent(gateway.arrive(other)) == []
        effects = gateway.end(stream, "a", AttemptPhase.CUT, last_event_id="7")
        assert [item.call_id for item in effects if isinstance(item, SendCall)] == [
            stream.id,
            other.id,
        ]

    def test_free_slot_goes_to_a_silent_stream_before_queued_calls(self):
        gateway = Gateway(engine("a", max_batch=1), engine("bb", max_batch=1))
        (stream,) = start_streams(gateway, 1)
        gateway.tick(STEP_S, "a")
        running = build_call("running", now=gateway.now)
        assert sent(gateway.arrive(running)) == ["bb"]
        assert list_abandoned(stay_silent(gateway, 1.0, "bb")) == []
        waiting = build_call("waiting", now=gateway.now)
        assert sent(gateway.arrive(waiting)) == []
        effects = gateway.end(running, "bb", AttemptPhase.ANSWERED)
        assert list_abandoned(effects) == [stream.id]
        assert sent(effects) == []
        effects = gateway.end(stream, "a", AttemptPhase.CUT, last_event_id="7")
        assert [item.call_id for item in effects if isinstance(item, SendCall)] == [
            stream.id,
            waiting.id,
        ]

    def test_stream_without_event_ids_stays(self):
        gateway = Gateway(engine("a"), engine("bb"))
        call = build_call("1")
        (endpoint,) = sent(gateway.arrive(call))
        begin(gateway, call, endpoint, has_id=False)
        assert list_abandoned(stay_silent(gateway, SILENT_S)) == []

    def test_no_stream_moves_from_one_silent_endpoint_to_another(self):
        gateway = Gateway(engine("a"), engine("bb"))
        for number in range(2):
            call = build_call(str(number))
            (endpoint,) = sent(gateway.arrive(call))
            begin(gateway, call, endpoint)
        assert list_abandoned(stay_silent(gateway, SILENT_S)) == []

    @pytest.mark.parametrize("make", [worker, engine])
    def test_last_attempt_is_not_given_up(self, make):
        kind = RepeatKind.SAFE if make is worker else RepeatKind.STREAM
        service = "orders" if make is worker else ENGINES
        route = build_route(kind, service, max_attempts=1)
        gateway = Gateway(make("a"), make("bb"))
        gateway.arrive(build_call("1", route))
        assert list_abandoned(stay_silent(gateway, SILENT_S)) == []

    def test_reservation_ends_with_the_call(self):
        for end in ("answered", "left"):
            gateway = Gateway(engine("a"), engine("bb"))
            (stream,) = start_streams(gateway, 1)
            stay_silent(gateway, SILENT_S)
            assert count_reserved(gateway) == 1
            if end == "answered":
                gateway.end(stream, "a", AttemptPhase.ANSWERED)
            else:
                gateway.leave(stream)
            assert count_reserved(gateway) == 0

    @pytest.mark.parametrize("has_budget", [True, False])
    def test_stalled_stream_leaves_only_with_a_retry_budget(self, has_budget):
        """The endpoint sends data of other calls."""
        build = Gateway if has_budget else build_without_retries
        gateway = build(engine("a"), engine("bb"))
        (stream,) = start_streams(gateway, 1)
        assert list_abandoned(stay_silent(gateway, STALL_S - STEP_S, "a")) == []
        effects = stay_silent(gateway, 2 * STEP_S, "a")
        assert list_abandoned(effects) == ([stream.id] if has_budget else [])

    def test_abandoned_stream_is_paid_for_once(self):
        gateway = Gateway(engine("a"), engine("bb"))
        (stream,) = start_streams(gateway, 1)
        assert stay_silent(gateway, STREAM_SILENCE_TIMEOUT_S + 2 * STEP_S)
        exhaust_budget(gateway, ENGINES)
        effects = gateway.end(stream, "a", AttemptPhase.CUT, last_event_id="7")
        assert sent(effects) == ["bb"]

    @pytest.mark.parametrize(
        "phase",
        [AttemptPhase.REFUSED, AttemptPhase.MISDIRECTED, AttemptPhase.NOT_SENT],
    )
    def test_stream_that_is_refused_where_it_moves_goes_back(self, phase):
        gateway = Gateway(engine("a"), engine("bb"))
        (stream,) = start_streams(gateway, 1)
        stay_silent(gateway, SILENT_S)
        effects = gateway.end(stream, "a", AttemptPhase.CUT, last_event_id="7")
        assert sent(effects) == ["bb"]
        effects = gateway.end(stream, "bb", phase)
        assert sent(effects) == ["a"]
        assert list_abandoned(stay_silent(gateway, SILENT_S)) == []
        effects = gateway.end(stream, "a", phase)
        assert [type(item) for item in effects] == [AbortAnswer]

    def test_stream_without_a_place_when_it_leaves_goes_back(self):
        gateway = Gateway(engine("a"), engine("bb"))
        (stream,) = start_streams(gateway, 1)
        stay_silent(gateway, SILENT_S)
        gateway.follow(engine("a"))
        effects = gateway.end(stream, "a", AttemptPhase.CUT, last_event_id="7")
        assert sent(effects) == ["a"]

    def test_stream_that_breaks_off_where_it_moved_does_not_go_back(self):
        gateway = Gateway(engine("a"), engine("bb"))
        (stream,) = start_streams(gateway, 1)
        stay_silent(gateway, SILENT_S)
        gateway.end(stream, "a", AttemptPhase.CUT, last_event_id="7")
        effects = gateway.end(stream, "bb", AttemptPhase.CUT, last_event_id="8")
        assert [type(item) for item in effects] == [AbortAnswer]

    @pytest.mark.parametrize("reason", ["no budget", "draining", "deadline"])
    def test_stream_goes_back_only_where_it_may_be_sent(self, reason):
        gateway = Gateway(engine("a"), engine("bb"))
        (stream,) = start_streams(gateway, 1)
        stay_silent(gateway, SILENT_S)
        gateway.end(stream, "a", AttemptPhase.CUT, last_event_id="7")
        if reason == "no budget":
            exhaust_budget(gateway, ENGINES)
        elif reason == "draining":
            gateway.follow(engine("a", is_draining=True), engine("bb"))
        else:
            gateway.now = stream.deadline
        effects = gateway.end(stream, "bb", AttemptPhase.REFUSED)
        assert [type(item) for item in effects] == [AbortAnswer]

    @given(
        st.lists(st.sampled_from([SAFE, UNSAFE, STREAM]), min_size=1, max_size=6),
        st.lists(
            st.tuples(
                st.integers(0, 5),
                st.sampled_from(["begin", "cut", "sent", "answered", "leave", "wait"]),
            ),
            max_size=20,
        ),
    )
    def test_no_reservation_outlives_its_call(self, routes, steps):
        gateway = Gateway(
            engine("a"), engine("bb", max_batch=1), worker("c"), worker("dd")
        )
        calls = [build_call(str(n), route) for n, route in enumerate(routes)]
        for call in calls:
            gateway.arrive(call)
        pending_by_id = gateway.state.pending_by_id
        for number, step in steps:
            call = calls[number % len(calls)]
            pending = pending_by_id.get(call.id)
            if step == "wait":
                stay_silent(gateway, 0.8)
            elif pending is None or not pending.endpoint_id:
                continue
            elif step == "begin":
                begin(gateway, call, pending.endpoint_id)
            elif step == "leave":
                gateway.leave(call)
            else:
                phase = AttemptPhase(step)
                gateway.end(call, pending.endpoint_id, phase, last_event_id="3")
            reserved = [item for item in pending_by_id.values() if item.reserved_id]
            assert count_reserved(gateway) == len(reserved)
        for call in calls:
            gateway.leave(call)
        assert count_reserved(gateway) == 0


class TestUnbegunAnswers:
    """The endpoint sends data of other calls."""

    def wait(self, gateway: Gateway, seconds: float) -> list[str]:
        names = list(gateway.state.loads_by_id)
        return list_abandoned(stay_silent(gateway, seconds, *names))

    @pytest.mark.parametrize("route", [SAFE, STREAM])
    @pytest.mark.parametrize("lack", ["budget", "attempt", "endpoint", "slot"])
    def test_call_without_another_place_is_not_given_up(self, route, lack):
        make = worker if route is SAFE else engine
        build = build_without_retries if lack == "budget" else Gateway
        gateway = build(
            *([make("a")] if lack == "endpoint" else [make("a"), make("bb")])
        )
        if lack == "attempt":
            route = msgspec.structs.replace(route, max_attempts=1)
        if lack == "slot":
            gateway.load("bb").reserved = gateway.load("bb").record.max_batch
        assert sent(gateway.arrive(build_call("1", route))) == ["a"]
        assert self.wait(gateway, 5.0) == []

    @pytest.mark.parametrize("route", [SAFE, STREAM])
    def test_call_moves_once_its_answer_is_overdue(self, route):
        make = worker if route is SAFE else engine
        gateway = Gateway(make("a"), make("bb"))
        call = build_call("1", route)
        (endpoint,) = sent(gateway.arrive(call))
        patience_s = START_TIMEOUT_OBJECTIVES * route.target_latency_s
        assert self.wait(gateway, patience_s - STEP_S) == []
        assert self.wait(gateway, 2 * STEP_S) == [call.id]
        assert sent(gateway.end(call, endpoint, AttemptPhase.SENT)) != [endpoint]

    def test_answer_that_arrives_slowly_is_not_overdue(self):
        gateway = Gateway(worker("a"), worker("bb"))
        call = build_call("1", SAFE)
        gateway.arrive(call)
        for _ in range(5):
            assert self.wait(gateway, 1.0) == []
            gateway.progress(call, gateway.now)

    def test_unsafe_call_is_never_given_up(self):
        gateway = Gateway(worker("a"), worker("bb"))
        gateway.arrive(build_call("1", UNSAFE))
        assert self.wait(gateway, 5.0) == []

    def test_free_slot_goes_to_an_overdue_call_before_queued_ones(self):
        gateway = Gateway(worker("a", max_batch=1), worker("bb", max_batch=1))
        overdue, running, waiting = (build_call(name, SAFE) for name in "123")
        assert sent(gateway.arrive(overdue)) == ["a"]
        assert sent(gateway.arrive(running)) == ["bb"]
        for _ in range(4):
            assert self.wait(gateway, 0.5) == []
            gateway.progress(running, gateway.now)
        waiting = build_call("3", SAFE, now=gateway.now)
        assert sent(gateway.arrive(waiting)) == []
        effects = gateway.end(running, "bb", AttemptPhase.ANSWERED)
        assert list_abandoned(effects) == [overdue.id]
        assert sent(effects) == []

    def test_many_overdue_calls_look_for_a_place_in_vain_only_a_few_times(
        self, monkeypatch
    ):
        """Each try looks at all endpoints."""
        gateway = Gateway(worker("a", max_batch=50), worker("bb", max_batch=1))
        gateway.load("bb").reserved = 1
        for number in range(50):
            gateway.arrive(build_call(str(number), SAFE))
        tries: list[str] = []

        def choose_none(context, now, pending, excluded_id=""):
            tries.append(pending.call.id)

        monkeypatch.setattr("tamaracktray.attempt_abandonment.choose", choose_none)
        gateway.tick(2.0, "a", "bb")
        assert 0 < len(tries) <= MAX_FAILED_MOVES
        assert len(gateway.state.move_reason_by_id) == 50

    def test_time_in_which_this_process_was_held_up_does_not_count(self):
        gateway = Gateway(worker("a"), worker("bb"))
        gateway.arrive(build_call("1", SAFE))
        state = build_entry_state(gateway.state)
        reduce_node(state, Tick(0.1))
        _, effects = reduce_node(state, Tick(4.0))
        assert list_abandoned(effects) == []


class TestHeldUpProcess:
    def test_time_in_which_this_process_was_held_up_is_no_silence(self):
        gateway = Gateway(engine("a"), engine("bb"))
        (stream,) = start_streams(gateway, 1)
        state = build_entry_state(gateway.state)
        pending = gateway.state.pending_by_id[stream.id]
        load = gateway.load("a")
        reduce_node(state, Tick(0.1))
        reduce_node(state, Tick(2.1))
        assert load.measure_silence(2.1) < STREAM_SILENCE_TIMEOUT_S
        assert 2.1 - pending.silent_since < STALL_S
        for step in range(1, 8):
            reduce_node(state, Tick(2.1 + step * STEP_S))
        assert load.measure_silence(2.8) > STREAM_SILENCE_TIMEOUT_S

    def test_it_is_no_progress_of_an_answer_either(self):
        """An answer that goes on acquits its prompt parts."""
        gateway = Gateway(engine("a"), engine("bb"))
        (stream,) = start_streams(gateway, 1)
        state = build_entry_state(gateway.state)
        reduce_node(state, Tick(0.1))
        reduce_node(state, Tick(2.1))
        assert not gateway.state.pending_by_id[stream.id].progress_at


class TestCallers:
    def test_stream_of_a_silent_endpoint_is_whole_without_a_retry_budget(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            for name in ("e-1", "e-2"):
                engine = await fleet.add_engine(name)
                engine.pause_after = 2
                engine.pause_s = SILENT_S
            await fleet.until_listed(2)
            reply = await fleet.call("/talk/1", wait_ms=6_000)
            assert reply.status == 200
            assert reply.body.count(b"id:") == EVENTS
            assert sum(len(item.runs) for item in fleet.workers.values()) == 1

        run_fleet(scenario, repeat_ratio=0.0, repeat_reserve=0.0)

    @pytest.mark.parametrize("is_body_late", [True, False])
    @pytest.mark.parametrize("lack", ["budget", "attempt", "endpoint"])
    def test_late_answer_without_another_place_is_whole(self, lack, is_body_late):
        async def answer_late(answer: RawAnswer) -> None:
            if is_body_late:
                await answer.begin(Framing.LENGTH, 4, content_type="text/plain")
            await curio.sleep(LATE_S)
            if not is_body_late:
                await answer.begin(Framing.LENGTH, 4, content_type="text/plain")
            await answer.send(b"late")

        async def scenario(fleet: PlatformFleet) -> None:
            attempts = 1 if lack == "attempt" else 2
            fleet.routes[1] = build_store_route(
                "look", "safe", ORDERS, maxAttempts=attempts, timeoutMs=6_000
            )
            await fleet.start()
            names = "a" if lack == "endpoint" else "ab"
            for name in names:
                await list_endpoint(fleet, name, ORDERS, answer_late)
            await fleet.until_listed(len(names))
            reply = await fleet.call("/look/1", method="GET", wait_ms=6_000)
            assert (reply.status, reply.body) == (200, b"late")

        if lack == "budget":
            run_fleet(scenario, repeat_ratio=0.0, repeat_reserve=0.0)
        else:
            run_fleet(scenario)

    def test_stream_that_is_refused_where_it_moves_is_whole(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            engines = [await fleet.add_engine(name) for name in ("e-1", "e-2")]
            for item in engines:
                item.pause_after = 2
                item.pause_s = SILENT_S
            await fleet.until_listed(2)
            calling = await curio.spawn(partial(fleet.call, "/talk/1", wait_ms=6_000))
            await fleet.until(lambda: any(item.runs for item in engines))
            (other,) = (item for item in engines if not item.runs)
            other.mode = Mode.FULL
            reply = await calling.join()
            assert reply.status == 200
            assert reply.body.count(b"id:") == EVENTS

        run_fleet(scenario)

    @pytest.mark.parametrize("framing", [Framing.LENGTH, Framing.CHUNKS])
    def test_begun_large_answer_of_a_silent_endpoint_is_whole(self, framing):
        part = b"x" * (MAX_BUFFERED_ANSWER_BYTES + 1)

        async def pause(answer: RawAnswer) -> None:
            await answer.begin(framing, 2 * len(part), content_type="text/plain")
            await answer.send(part)
            await curio.sleep(2 * SILENT_S)
            await answer.send(part)
            await answer.finish()

        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            for name in ("a", "b"):
                await list_endpoint(fleet, name, ORDERS, pause)
            await fleet.until_listed(2)
            caller = RawCaller(fleet, CallerProtocol.HTTP_1_1_KEPT)
            answer = await caller.call("/look/1", "id-1", wait_ms="6000")
            await caller.close()
            assert (answer.status, answer.body) == (200, 2 * part)
            assert answer.is_complete

        run_fleet(scenario)
