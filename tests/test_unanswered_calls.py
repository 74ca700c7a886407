"""Calls that were read but can't be given the answer of an endpoint.

Guards against connections that close without an answer, although nothing of one had
been sent to the caller.
"""

import itertools
from functools import partial

import curio
import pytest

from platforms import ENGINES, ORDERS, PlatformFleet, run_fleet
from raw_endpoints import (
    CallerProtocol,
    Framing,
    RawAnswer,
    RawCaller,
    list_endpoint,
)
from tamaracktray.attempt_relay import MAX_BUFFERED_ANSWER_BYTES
from tamaracktray_emulator.platform.documents import build_route

# What callers take as a promise that a request was not run.
PROMISES = (408, 429, 503)
SMALL = b"later"
LARGE = b"x" * (MAX_BUFFERED_ANSWER_BYTES + 1)
KINDS = {"safe": ORDERS, "unsafe": ORDERS, "stream": ENGINES}
UNKNOWN = 502


async def respond(
    status: int, body: bytes, retry_after: str, framing: Framing, answer: RawAnswer
) -> None:
    """Answer with a status of the endpoint's own, without the mark of a refusal."""
    if retry_after:
        await answer.send_raw(
            f"HTTP/1.1 {status} Status\r\nretry-after: {retry_after}\r\n"
            f"x-tamaracktray-request-id: {answer._request_id}\r\n"
            f"x-tamaracktray-server-signature: sig.raw\r\n"
            f"content-length: {len(body)}\r\nconnection: close\r\n\r\n".encode()
            + body
        )
        return
    await answer.respond(framing, body, status=status, content_type="text/plain")


class TestUnmarkedRefusals:
    @pytest.mark.parametrize("kind", KINDS)
    @pytest.mark.parametrize("endpoints", [1, 2])
    def test_unmarked_refusal_of_an_endpoint_is_no_silent_close(self, kind, endpoints):
        cases = list(
            itertools.product(PROMISES, (SMALL, LARGE), ("", "1"), CallerProtocol)
        )

        async def scenario(fleet: PlatformFleet) -> None:
            fleet.routes = []
            for number in range(len(cases)):
                service = f"{KINDS[kind]}-{number}"
                fleet.services.append({**fleet.services[1], "name": service})
                fleet.routes.append(build_route(f"r-{number}", kind, service))
            await fleet.start()
            for number, (status, body, retry_after, _) in enumerate(cases):
                play = partial(respond, status, body, retry_after, Framing.LENGTH)
                for copy in range(endpoints):
                    name = f"{number}-{copy}"
                    await list_endpoint(fleet, name, f"{KINDS[kind]}-{number}", play)
            await fleet.until_listed(len(cases) * endpoints)

            async def call(number: int, protocol: CallerProtocol) -> None:
                caller = RawCaller(fleet, protocol)
                answer = await caller.call(f"/r-{number}/1", f"id-{number}")
                await caller.close()
                assert (answer.status, answer.is_complete) == (UNKNOWN, True)
                assert "x-tamaracktray-server-signature" not in answer.headers

            tasks = [
                await curio.spawn(call, number, case[-1])
                for number, case in enumerate(cases)
            ]
            for task in tasks:
                await task.join()

        run_fleet(scenario)

    def test_last_answer_decides_over_a_failure_before_it(self):
        """The last answer decides; one of an earlier attempt is not its answer."""

        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            plays = [
                partial(respond, 500, SMALL, "", Framing.LENGTH),
                partial(respond, 503, SMALL, "", Framing.LENGTH),
            ]

            async def play(answer: RawAnswer) -> None:
                await plays.pop(0)(answer)

            for name in ("a", "b"):
                await list_endpoint(fleet, name, ORDERS, play)
            await fleet.until_listed(2)
            caller = RawCaller(fleet, CallerProtocol.HTTP_1_1_KEPT)
            answer = await caller.call("/look/1", "id-1")
            await caller.close()
            assert (answer.status, answer.is_complete) == (UNKNOWN, True)
            assert not plays

        run_fleet(scenario)


class TestFailedHandler:
    @pytest.mark.parametrize("kind", KINDS)
    def test_caller_of_a_failed_handler_is_answered(
        self, kind, monkeypatch, handler_faults
    ):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            await fleet.add_worker("w-1")
            await fleet.add_engine("e-1")
            await fleet.until_listed(2)
            entry = fleet.entries[0]

            async def fail(*args) -> None:
                raise ValueError("a fault in the handler")

            monkeypatch.setattr(type(entry._call_relay), "attempt", fail)
            paths = {"safe": "/look/1", "unsafe": "/order/1", "stream": "/talk/1"}
            for protocol in CallerProtocol:
                caller = RawCaller(fleet, protocol)
                answer = await caller.call(paths[kind], f"id-{protocol.value}")
                await caller.close()
                assert (answer.status, answer.is_complete) == (500, True)
            monkeypatch.undo()
            assert (await fleet.call("/order/1", "id-2")).status == 200

        run_fleet(scenario)
        handler_faults.clear()
