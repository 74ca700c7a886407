"""A planned stop of one entry, in calm or under load.

Guards against requests that are taken and passed on late in the grace, and closed
without an answer at its end.
"""

import time

import curio
import pytest

from platforms import PlatformFleet, run_fleet
from raw_endpoints import (
    CallerAnswer,
    CallerProtocol,
    Framing,
    RawAnswer,
    RawCaller,
    list_endpoint,
)
from tamaracktray.events import ShutdownRequested
from tamaracktray.shutdown import EXIT_MARGIN_S, LAST_ANSWERS_S
from tamaracktray_emulator.platform.documents import build_route
from tamaracktray_emulator.platform.worker import EVENTS

GRACE_S = 3.0
CALL_GAP_S = 0.04
QUICK_S = 0.05
# Longer than the rest of the grace for every call that is taken.
SLOW_S = 6.0
ROUTES = ("look", "order", "talk")


class Caller:
    """Calls one entry again and again, as a balancer does that has not noticed."""

    def __init__(
        self, fleet: PlatformFleet, name: str, protocol: CallerProtocol
    ) -> None:
        self._fleet = fleet
        self._name = name
        self._protocol = protocol
        self.answers_by_id: dict[str, CallerAnswer | None] = {}

    async def run(self) -> None:
        caller: RawCaller | None = None
        number = 0
        while True:
            number += 1
            call_id = f"{self._name}-{number}"
            route = ROUTES[number % len(ROUTES)]
            is_kept = caller is not None
            caller = caller or RawCaller(self._fleet, self._protocol)
            try:
                answer = await caller.call(f"/{route}/1", call_id, wait_ms="9000")
            except (OSError, curio.TaskTimeout):
                answer = None
            self.answers_by_id[call_id] = answer
            is_closed = answer is None or answer.headers.get("connection") == "close"
            if is_closed or self._protocol is not CallerProtocol.HTTP_1_1_KEPT:
                await caller.close()
                caller = None
            if answer is None and not is_kept:
                return
            await curio.sleep(CALL_GAP_S)


class TestPlannedStop:
    @pytest.mark.parametrize("slots", [2, 50], ids=["queued", "calm"])
    @pytest.mark.parametrize("entries", [1, 3])
    def test_no_request_that_was_passed_on_is_closed_without_an_answer(
        self, entries, slots
    ):
        arrived: set[str] = set()

        async def serve(answer: RawAnswer) -> None:
            arrived.add(answer._request_id)
            is_slow = len(arrived) % 4 == 0
            await curio.sleep(SLOW_S if is_slow else QUICK_S)
            await answer.respond(Framing.LENGTH, b"whole", content_type="text/plain")

        async def scenario(fleet: PlatformFleet) -> None:
            fleet.routes = [
                build_route("look", "safe", "orders"),
                build_route("order", "unsafe", "orders", maxAttempts=1),
                build_route("talk", "stream", "engines"),
            ]
            await fleet.start(entries=entries)
            for number in range(4):
                endpoint = await list_endpoint(fleet, f"w-{number}", "orders", serve)
                entry = {**endpoint.describe("orders"), "maxBatchSize": slots}
                fleet.store.write("servers", f"w-{number}", entry)
            for number in range(2):
                await fleet.add_engine(f"e-{number}", maxBatchSize=slots)
            await fleet.until_listed(6)
            callers = [
                Caller(fleet, f"{number}-{protocol.value[-4:]}", protocol)
                for number in range(4)
                for protocol in CallerProtocol
            ]
            tasks = [await curio.spawn(caller.run) for caller in callers]
            await curio.sleep(0.3)
            stopping = fleet.entries[0]
            await stopping.dispatch(ShutdownRequested(time.monotonic()))
            await fleet.until(lambda: stopping.is_halted, GRACE_S + 1.0)
            await curio.sleep(0.3)
            for task in tasks:
                await task.cancel()
            for worker in fleet.workers.values():
                arrived.update(worker.runs)
            answers = {
                call_id: answer
                for caller in callers
                for call_id, answer in caller.answers_by_id.items()
            }
            unanswered = [
                call_id
                for call_id, answer in answers.items()
                if call_id in arrived and not (answer and answer.is_complete)
            ]
            assert unanswered == []
            statuses = {answer.status for answer in answers.values() if answer}
            assert {200, 502, 503} <= statuses

        run_fleet(scenario, grace_s=GRACE_S)

    @pytest.mark.parametrize("blocked_s", [0.3, 0.4])
    def test_process_that_is_held_up_at_its_end_answers_before_it_exits(
        self, blocked_s
    ):
        async def serve(answer: RawAnswer) -> None:
            await curio.sleep(SLOW_S)

        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            endpoint = await list_endpoint(fleet, "w-1", "orders", serve)
            entry = {**endpoint.describe("orders"), "maxBatchSize": 10}
            fleet.store.write("servers", "w-1", entry)
            await fleet.until_listed(1)
            callers = [
                RawCaller(fleet, CallerProtocol.HTTP_1_1_KEPT) for _ in range(30)
            ]
            calls = [
                await curio.spawn(
                    caller.call, f"/{ROUTES[number % 2]}/1", f"id-{number}"
                )
                for number, caller in enumerate(callers)
            ]
            stopping = fleet.entries[0]
            pending_by_id = stopping.state.gateway.pending_by_id
            await fleet.until(lambda: len(pending_by_id) == len(calls))
            stop_at = time.monotonic()
            await stopping.dispatch(ShutdownRequested(stop_at))
            await curio.sleep(stopping.state.answer_deadline - stop_at - 0.05)
            time.sleep(blocked_s)
            await fleet.until(lambda: stopping.is_halted, 1.0)
            assert time.monotonic() < stop_at + GRACE_S
            answers = [await call.join() for call in calls]
            assert all(answer.is_complete for answer in answers)
            assert {answer.status for answer in answers} == {502, 503}

        run_fleet(scenario, grace_s=GRACE_S)

    def test_stream_that_has_begun_goes_on_to_the_end_of_the_grace(self):
        grace_s = 2.2

        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            engine = await fleet.add_engine("e-1")
            engine.pause_after = 2
            engine.pause_s = grace_s - EXIT_MARGIN_S - LAST_ANSWERS_S * 0.75
            await fleet.until_listed(1)
            entry = fleet.entries[0]
            running = await curio.spawn(fleet.call, "/talk/1")
            await fleet.until(
                lambda: any(
                    pending.is_started
                    for pending in entry.state.gateway.pending_by_id.values()
                )
            )
            await entry.dispatch(ShutdownRequested(time.monotonic()))
            assert (await running.join()).body.count(b"id:") == EVENTS

        run_fleet(scenario, grace_s=grace_s)
