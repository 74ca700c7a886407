"""Attempts that calls have left for their silence, and what ends beside them.

Guards against an end that is taken for that of another attempt, and against moves that
are decided again and again.
"""

import time
from functools import partial

import curio
import pytest

from gateways import Gateway, build_call, build_route, engine, sent
from platforms import ENGINES, HOST, KEY, PlatformFleet, run_fleet
from raw_endpoints import (
    EVENT,
    HANG_S,
    CallerProtocol,
    Framing,
    RawAnswer,
    RawCaller,
    build_events,
    list_endpoint,
)
from tamaracktray.calls import AbandonAttempt, CallStarted, LeaveAttempt, RefuseCall
from tamaracktray.effects import Effect
from tamaracktray.events import Event
from tamaracktray.gateway import handle_call_started
from tamaracktray.last_answers import end_unanswered_calls
from tamaracktray.outcomes import AttemptPhase
from tamaracktray.routes import RepeatKind
from tamaracktray.types import Address
from tamaracktray_emulator.platform.worker import Mode

SILENT_S = 0.8

# Time after the sending of a call at which its silent endpoint starts again.
RESTART_S = 1.1

# Of this reserve an entry without peers uses one retry.
RESERVE_OF_ONE = 4.0

STREAM = build_route(RepeatKind.STREAM, ENGINES, max_attempts=3)


def leave_stream(gateway: Gateway) -> tuple:
    """Let a begun stream be left for its silence; return its call and endpoints."""
    call = build_call("1", STREAM)
    (first,) = sent(gateway.arrive(call))
    started = CallStarted(gateway.now, call.id, first, has_event_id=True)
    handle_call_started(gateway.context, started)
    effects = gateway.tick(SILENT_S)
    assert any(isinstance(item, LeaveAttempt) for item in effects)
    phase, fields = AttemptPhase.CUT, {"last_event_id": "2", "is_parked": True}
    (second,) = sent(gateway.end(call, first, phase, **fields))
    return call, first, second


class TestEndsOfParkedAttempts:
    def test_late_end_of_a_parked_attempt_is_not_that_of_the_answer(self):
        gateway = Gateway(engine("a"), engine("bb"), engine("ccc"))
        call, first, second = leave_stream(gateway)
        started = CallStarted(gateway.now, call.id, second, has_event_id=True)
        handle_call_started(gateway.context, started)
        effects = gateway.end(call, first, AttemptPhase.CUT, last_event_id="2")
        assert effects == []
        assert gateway.state.pending_by_id[call.id].endpoint_id == second
        assert gateway.load(second).in_flight == 1

    def test_late_end_of_a_parked_attempt_leaves_other_calls_counted(self):
        gateway = Gateway(engine("a"), engine("bb"))
        call, first, second = leave_stream(gateway)
        started = CallStarted(gateway.now, call.id, second, has_event_id=True)
        handle_call_started(gateway.context, started)
        gateway.load(first).note_sent(gateway.now)
        gateway.end(call, first, AttemptPhase.CUT, last_event_id="2")
        assert gateway.load(first).in_flight == 1

    @pytest.mark.parametrize("reserve", [RESERVE_OF_ONE, 100.0])
    def test_stream_goes_on_though_its_first_endpoint_breaks_off_then(self, reserve):
        answers = []
        begun: list[RawAnswer] = []

        async def play(answer: RawAnswer) -> None:
            await answer.begin(Framing.CHUNKS)
            begun.append(answer)
            if len(begun) == 1:
                await answer.send(build_events(1, 2))
                await curio.sleep(HANG_S)
            if len(begun) == 2:
                await curio.sleep(0.1)
                # Both reach the entry at once.
                begun[0].shut_down()
                await answer.send(build_events(3, 3))
                await curio.sleep(0.3)
                await answer.send(build_events(4))
                await answer.finish()
                return
            await answer.send(build_events(answer.last_event_id + 1))
            await answer.finish()

        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            for name in ("a", "b"):
                await list_endpoint(fleet, name, ENGINES, play)
            await fleet.until_listed(2)
            caller = RawCaller(fleet, CallerProtocol.HTTP_1_1_CLOSE)
            answers.append(await caller.call("/talk/1", "id-1"))
            await caller.close()

        run_fleet(scenario, repeat_ratio=0.0, repeat_reserve=reserve)
        (answer,) = answers
        assert (answer.body, answer.is_complete) == (build_events(1), True)
        assert len(begun) == 2


class TestMovesThatFail:
    def test_slow_caller_uses_up_no_retries(self):
        moves: list[AbandonAttempt] = []

        async def play(answer: RawAnswer) -> None:
            await answer.begin(Framing.CHUNKS)
            for number in range(1, 200):
                filler = b": " + b"x" * 100_000 + b"\n"
                await answer.send(filler + EVENT % (number, number))

        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            for name in ("a", "b"):
                await list_endpoint(fleet, name, ENGINES, play)
            await fleet.until_listed(2)
            entry = fleet.entries[0]
            reduce = entry.reduce

            def reduce_and_count(event: Event) -> list[Effect]:
                effects = reduce(event)
                moves.extend(
                    item for item in effects if isinstance(item, AbandonAttempt)
                )
                return effects

            entry.reduce = reduce_and_count
            address = Address.parse(entry.settings.listen.callers)
            client = await curio.open_connection(address.host, address.port)
            lines = [
                "POST /talk/1 HTTP/1.1",
                f"host: {HOST}",
                "x-tamaracktray-request-id: id-1",
                "x-tamaracktray-deadline-ms: 6000",
                "x-tamaracktray-model: kiln-1",
                "x-tamaracktray-token-usage: 100,20",
                f"authorization: Token {KEY}",
                "content-length: 0",
            ]
            await client.sendall("\r\n".join([*lines, "", ""]).encode())
            await curio.sleep(3.0)
            await client.close()

        run_fleet(scenario)
        assert len(moves) <= 1

    def test_calls_give_up_moving_to_unreachable_endpoints(self):
        names = ["a" * length for length in range(1, 13)]
        gateway = Gateway(*(engine(name) for name in names))
        call = build_call("1", STREAM)
        (current,) = sent(gateway.arrive(call))
        started = CallStarted(gateway.now, call.id, current, has_event_id=True)
        handle_call_started(gateway.context, started)
        first, moves = current, 0
        for _ in range(60):
            effects = gateway.tick(0.05)
            if not any(isinstance(item, LeaveAttempt) for item in effects):
                continue
            moves += 1
            effects = gateway.end(
                call, first, AttemptPhase.CUT, last_event_id="2", is_parked=True
            )
            while sent(effects):
                (current,) = sent(effects)
                effects = gateway.end(call, current, AttemptPhase.NOT_SENT)
        assert moves <= 2

    def test_call_that_waits_after_a_move_is_ended_with_the_process(self):
        gateway = Gateway(engine("a"), engine("bb"))
        route = build_route(RepeatKind.STREAM, ENGINES, target_latency_s=8.0)
        call = build_call("1", route)
        (first,) = sent(gateway.arrive(call))
        gateway.tick(SILENT_S)
        for name in {"a", "bb"} - {first}:
            gateway.load(name).note_full(gateway.now)
        gateway.end(call, first, AttemptPhase.SENT, is_parked=True)
        assert len(gateway.state.waiting) == 1
        context = gateway.context
        context.is_ending = True
        (ended,) = end_unanswered_calls(context, gateway.now)
        assert isinstance(ended, RefuseCall)


class TestCallsThatGoBack:
    """The first endpoint hangs, and the second one, with the last attempt, fails."""

    def run_call(self, *, restarts: bool) -> tuple[int, float]:
        outcomes: list[tuple[int, float]] = []

        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            workers = [await fleet.add_worker(name) for name in ("a", "b")]
            await fleet.until_listed(2)
            for worker in workers:
                worker.mode = Mode.HANGING
            began_at = time.monotonic()
            calling = await curio.spawn(partial(fleet.call, "/look/1", wait_ms=2_500))
            await fleet.until(lambda: any(worker.runs for worker in workers))
            (first,) = [worker for worker in workers if worker.runs]
            for worker in workers:
                if worker is not first:
                    worker.mode = Mode.FAILING
            await fleet.until(lambda: all(worker.runs for worker in workers))
            if restarts:
                await curio.sleep(RESTART_S - (time.monotonic() - began_at))
                first.start_time_ms = int(time.time() * 1_000)
                fleet.list_worker(first)
            reply = await calling.join()
            outcomes.append((reply.status, time.monotonic() - began_at))

        run_fleet(scenario)
        return outcomes[0]

    @pytest.mark.parametrize("is_begun", [True, False])
    def test_call_that_arrives_at_a_starting_endpoint_is_not_ended(self, is_begun):
        """Its endpoint was listed with the earlier start, and then falls silent."""
        gateway = Gateway(engine("a", start_time_ms=1_000))
        route = build_route(RepeatKind.STREAM, ENGINES, max_attempts=1)
        gateway.now = 20.0
        call = build_call("1", route, gateway.now)
        (name,) = sent(gateway.arrive(call))
        gateway.follow(engine("a", start_time_ms=20_040))
        if is_begun:
            started = CallStarted(20.1, call.id, name, has_event_id=True)
            handle_call_started(gateway.context, started)
        for _ in range(20):
            assert gateway.tick(0.1) == []

    def test_failure_of_an_endpoint_is_relayed_at_the_deadline(self):
        status, _ = self.run_call(restarts=False)
        assert status == 500

    def test_call_waits_for_no_endpoint_that_has_started_again(self):
        status, took_s = self.run_call(restarts=True)
        assert status == 500
        assert took_s < 1.5
