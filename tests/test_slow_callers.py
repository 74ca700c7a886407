"""Callers that read a stream slowly or pause.

Guards against endpoints that are taken for silent because the entry doesn't read their
data while it waits for a caller.
"""

from typing import Any

import curio
import pytest

from platforms import ENGINES, PlatformFleet, run_fleet
from raw_endpoints import (
    CallerProtocol,
    Framing,
    RawAnswer,
    RawCaller,
    list_endpoint,
)
from tamaracktray_emulator.platform.documents import build_route

# More than the socket buffers of two loopback connections hold.
LARGE_EVENTS = 200
PADDING = b"x" * 60_000

# Longer than the idle timeout of a stream.
PAUSE_S = 2.8


class PausingCaller(RawCaller):
    """Reads nothing of its answer for a while, then all of it."""

    async def _read_answer(self) -> Any:
        await curio.sleep(PAUSE_S)
        return await super()._read_answer()


async def stream_large(answer: RawAnswer) -> None:
    await answer.begin(Framing.CHUNKS)
    for number in range(answer.last_event_id + 1, LARGE_EVENTS + 1):
        await answer.send(b"id: %d\ndata: %b\n\n" % (number, PADDING))
    await answer.finish()


class TestPausingCallers:
    @pytest.mark.parametrize("attempts", [1, 2])
    def test_stream_whose_caller_pauses_stays_at_its_endpoint(self, attempts):
        async def scenario(fleet: PlatformFleet) -> None:
            fleet.routes = [
                build_route(
                    "talk",
                    "stream",
                    ENGINES,
                    maxAttempts=attempts,
                    resumable=True,
                    timeoutMs=9_000,
                )
            ]
            await fleet.start()
            endpoints = [
                await list_endpoint(fleet, f"e-{number}", ENGINES, stream_large)
                for number in range(2)
            ]
            await fleet.until_listed(2)
            caller = PausingCaller(fleet, CallerProtocol.HTTP_1_1_KEPT)
            answer = await caller.call("/talk/1", "id-1", wait_ms="9000")
            await caller.close()
            assert answer.is_complete
            assert answer.body.count(b"data: ") == LARGE_EVENTS
            assert sum(endpoint.arrivals for endpoint in endpoints) == 1

        run_fleet(scenario)
