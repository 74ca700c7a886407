"""An answer that a caller has begun to receive is never started a second time.

Otherwise a caller would get parts of two runs when a worker fails mid-answer.
"""

import contextlib
from enum import Enum

import curio
import pytest

from platforms import ENGINES, ORDERS, WORKER_PORT, PlatformFleet, next_host, run_fleet
from tamaracktray.attempt_relay import MAX_BUFFERED_ANSWER_BYTES
from tamaracktray.types import Address
from tamaracktray_emulator.platform.documents import build_route
from tamaracktray_emulator.platform.worker import WorkerStandIn

PIECE_BYTES = 65_536
PIECES = 3 * MAX_BUFFERED_ANSWER_BYTES // PIECE_BYTES
EVENTS = 8
CALLS = 8


class Fault(str, Enum):
    """How a worker fails in the middle of an answer."""

    NONE = "none"
    RESET = "reset"
    SILENCE = "silence"


class LongWorker(WorkerStandIn):
    """Answers with pieces that contain its id; a faulty one stops halfway."""

    def __init__(self, name: str, service: str, fault: Fault) -> None:
        super().__init__(Address(next_host(), WORKER_PORT), name, service)
        self.fault = fault

    def list_pieces(self) -> list[bytes]:
        """Return the answer; its events have no id, so the stream can't be resumed."""
        if self.service == ENGINES:
            return [b"data: %b\n\n" % self.id.encode()] * EVENTS
        return [self.id.encode() * PIECE_BYTES] * PIECES

    async def run(self, request, responder, headers) -> None:
        pieces = self.list_pieces()
        await responder.send_head(200, headers)
        for number, piece in enumerate(pieces):
            if number == len(pieces) // 2 and self.fault is not Fault.NONE:
                await self._fail(responder)
                return
            await responder.send_data(piece)
            await curio.sleep(0.01)
        await responder.finish()

    async def _fail(self, responder) -> None:
        if self.fault is Fault.SILENCE:
            await curio.sleep(3_600.0)
        await responder.abort()


class TestBegunAnswers:
    def run_calls(self, service: str, fault: Fault) -> None:
        """Make calls to a worker that stops mid-answer and to a healthy one."""
        kind = "stream" if service == ENGINES else "safe"

        async def scenario(fleet: PlatformFleet) -> None:
            fleet.routes[1] = build_route("look", kind, service)
            await fleet.start()
            models = [{"name": "kiln-1", "version": 1, "adapters": []}]
            layers = [{"from": 0, "to": 16, "version": 1}]
            for name, worker_fault in (("a", fault), ("b", Fault.NONE)):
                worker = LongWorker(name, service, worker_fault)
                fleet.workers[name] = worker
                await fleet.open(worker)
                fleet.list_worker(worker, models=models, layers=layers)
            await fleet.until_listed(2)
            bodies: list[bytes] = []

            async def call(number: int) -> None:
                # An interrupted answer is aborted for the caller as well.
                with contextlib.suppress(AssertionError):
                    reply = await fleet.call("/look/1", f"id-{number}", wait_ms=3_000)
                    bodies.append(reply.body)

            calls = [await curio.spawn(call, number) for number in range(CALLS)]
            for task in calls:
                await task.join()
            faulty, healthy = fleet.workers["a"], fleet.workers["b"]
            assert faulty.runs and healthy.runs
            expected_body = b"".join(healthy.list_pieces())
            assert [len(body) for body in bodies if body != expected_body] == []
            assert not faulty.runs.keys() & healthy.runs.keys()

        run_fleet(scenario)

    @pytest.mark.parametrize("fault", [Fault.RESET, Fault.SILENCE])
    @pytest.mark.parametrize("service", [ENGINES, ORDERS])
    def test_interrupted_answer_is_not_restarted_elsewhere(self, service, fault):
        self.run_calls(service, fault)
