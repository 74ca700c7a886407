"""An answer whose status is none of HTTP's never reaches a caller."""

import pytest

from platforms import ENGINES, ORDERS, PlatformFleet, run_fleet
from raw_endpoints import Framing, RawAnswer, list_endpoint
from tamaracktray.attempt_relay import MAX_BUFFERED_ANSWER_BYTES

IMPOSSIBLE = ["600", "999", "000", "001", "099", "99", "1000", "-20", "+200", "101"]
SERVICE_BY_PATH = {"/look/1": ORDERS, "/order/1": ORDERS, "/talk/1": ENGINES}
LARGE_BYTES = MAX_BUFFERED_ANSWER_BYTES + 1


def build_play(status: str, framing: Framing, body: bytes = b"in trouble"):
    async def play(answer: RawAnswer) -> None:
        await answer.respond(framing, body, status=status)

    return play


class TestStatuses:
    # Guards against a signed answer of a worker in trouble whose status is none.
    @pytest.mark.parametrize("path", SERVICE_BY_PATH)
    @pytest.mark.parametrize("framing", Framing)
    @pytest.mark.parametrize("status", IMPOSSIBLE)
    def test_answer_with_such_a_status_is_not_passed_on(self, status, framing, path):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            play = build_play(status, framing)
            await list_endpoint(fleet, "w-1", SERVICE_BY_PATH[path], play)
            await fleet.until_listed(1)
            reply = await fleet.call(path, wait_ms=1_000)
            assert reply.status == 502
            assert b'"unknown"' in reply.body
            assert "x-tamaracktray-server-signature" not in reply.headers

        run_fleet(scenario)

    @pytest.mark.parametrize("status", ["600", "999"])
    def test_large_answer_with_such_a_status_is_not_passed_on(self, status):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            play = build_play(status, Framing.LENGTH, b"x" * LARGE_BYTES)
            await list_endpoint(fleet, "w-1", ORDERS, play)
            await fleet.until_listed(1)
            reply = await fleet.call("/look/1", wait_ms=1_000)
            assert reply.status == 502
            assert len(reply.body) < LARGE_BYTES

        run_fleet(scenario)

    @pytest.mark.parametrize("status", ["600", "999"])
    def test_mark_of_such_an_answer_promises_nothing(self, status):
        async def play(answer: RawAnswer) -> None:
            head = f"HTTP/1.1 {status} Status\r\nx-tamaracktray-not-executed: 1\r\n"
            await answer.send_raw(f"{head}content-length: 0\r\n\r\n".encode())

        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            endpoint = await list_endpoint(fleet, "w-1", ORDERS, play)
            await fleet.until_listed(1)
            assert (await fleet.call("/order/1", wait_ms=1_000)).status == 502
            assert endpoint.arrivals == 1

        run_fleet(scenario)

    @pytest.mark.parametrize("status", ["600", "999"])
    def test_call_that_may_be_repeated_is_answered_by_another_worker(self, status):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            play = build_play(status, Framing.LENGTH)
            bad = await list_endpoint(fleet, "w-1", ORDERS, play)
            await fleet.add_worker("w-2")
            await fleet.until_listed(2)
            replies = [await fleet.call("/look/1", f"id-{n}") for n in range(4)]
            assert {reply.body for reply in replies} == {b"answer of w-2"}
            assert bad.arrivals > 0
            # It ended no process, so no request is suspected of that.
            assert fleet.entries[0].state.crashes.is_empty

        run_fleet(scenario)

    @pytest.mark.parametrize("status", [200, 299, 404, 500, 599])
    def test_answer_with_a_status_of_http_is_passed_on(self, status):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            play = build_play(str(status), Framing.LENGTH)
            await list_endpoint(fleet, "w-1", ORDERS, play)
            await fleet.until_listed(1)
            reply = await fleet.call("/order/1")
            assert (reply.status, reply.body) == (status, b"in trouble")

        run_fleet(scenario)
