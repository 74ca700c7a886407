"""Sound endpoints that read a long request late.

Guards against requests that are cut because their endpoint reads nothing for a second,
and against early answers that are lost while the request is still being sent.
"""

import curio
import pytest
from returns.result import Failure

from platforms import ORDERS, PlatformFleet, run_fleet
from raw_endpoints import Framing, RawAnswer, RawEndpoint, list_endpoint
from tamaracktray.answer_ends import AnswerEnd
from tamaracktray.exchange import open_exchange

# More than the socket buffers of a loopback connection hold.
LONG_BODY = b"x" * 4_000_000
SILENT_S = 1.2
ANSWER = b"the whole answer"
PLAIN = "text/plain"


async def answer_late(answer: RawAnswer) -> None:
    await curio.sleep(SILENT_S)
    if await answer.read_body():
        await answer.respond(Framing.LENGTH, ANSWER, content_type=PLAIN)


async def answer_early(answer: RawAnswer) -> None:
    await answer.respond(Framing.LENGTH, ANSWER, content_type=PLAIN)
    await curio.sleep(SILENT_S)
    await answer.read_body()


async def answer_at_once(answer: RawAnswer) -> None:
    if await answer.read_body():
        await answer.respond(Framing.LENGTH, ANSWER, content_type=PLAIN)


async def read_nothing(answer: RawAnswer) -> None:
    await curio.sleep(60.0)


async def break_off_unframed(answer: RawAnswer) -> None:
    await answer.begin(Framing.NEITHER, content_type=PLAIN)
    await answer.send(b"half of ")
    await answer.reset()


class TestLateReaders:
    @pytest.mark.parametrize("path", ["/order/1", "/look/1"])
    @pytest.mark.parametrize("play", [answer_late, answer_early])
    def test_long_request_is_not_cut_by_a_silence_of_its_endpoint(self, path, play):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            endpoint = await list_endpoint(fleet, "e-1", ORDERS, play)
            await fleet.until_listed(1)
            reply = await fleet.call(path, body=LONG_BODY, wait_ms=4_000)
            assert (reply.status, reply.body) == (200, ANSWER)
            assert endpoint.arrivals == 1

        run_fleet(scenario)

    def test_safe_request_leaves_an_endpoint_that_reads_nothing(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            plays = {"e-1": read_nothing, "e-2": read_nothing}
            silent = [
                await list_endpoint(fleet, name, ORDERS, play)
                for name, play in plays.items()
            ]
            await fleet.until_listed(2)
            task = await curio.spawn(_call_safe, fleet)
            await fleet.until(lambda: sum(one.arrivals for one in silent) == 1)
            for one in silent:
                if not one.arrivals:
                    one.play = answer_at_once
            reply = await task.join()
            assert (reply.status, reply.body) == (200, ANSWER)

        run_fleet(scenario)

    def test_request_to_an_endpoint_that_reads_nothing_ends_at_its_deadline(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            await list_endpoint(fleet, "e-1", ORDERS, read_nothing)
            await fleet.until_listed(1)
            reply = await fleet.call("/order/1", body=LONG_BODY, wait_ms=1_000)
            assert reply.status == 504

        run_fleet(scenario)


async def _call_safe(fleet: PlatformFleet):
    return await fleet.call("/look/1", body=LONG_BODY, wait_ms=4_000)


class TestUnsentBytes:
    def test_unframed_answer_that_is_reset_while_sending_is_incomplete(self):
        async def scenario() -> None:
            endpoint = RawEndpoint(break_off_unframed)
            await endpoint.open()
            opened = await open_exchange(endpoint.address, "POST", "/", [], LONG_BODY)
            exchange = opened.unwrap()
            assert not isinstance(await exchange.read_head(2.0), Failure)
            body = await exchange.read_body(2.0, 1_000)
            assert isinstance(body, Failure)
            assert exchange.end is AnswerEnd.CUT
            await exchange.close()
            await endpoint.stop_listening()

        for _ in range(10):
            curio.run(scenario)

    def test_closed_exchange_sends_nothing_more(self):
        received: list[bool] = []

        async def note(answer: RawAnswer) -> None:
            await curio.sleep(0.3)
            try:
                received.append(await answer.read_body())
            except ConnectionResetError:
                received.append(False)

        async def scenario() -> None:
            endpoint = RawEndpoint(note)
            await endpoint.open()
            opened = await open_exchange(endpoint.address, "POST", "/", [], LONG_BODY)
            await opened.unwrap().close()
            await curio.sleep(0.6)
            await endpoint.stop_listening()

        curio.run(scenario)
        assert received == [False]
