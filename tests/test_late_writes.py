"""An engine that executes a write of a chunk long after others that came later.

Guards against loading a chunk of an older version that was written over a newer one.
"""

import time

import curio

from platforms import PlatformFleet, run_fleet
from tamaracktray_emulator.platform.documents import CHUNKS, ENGINE_MODEL
from tamaracktray_emulator.platform.origin import list_digests, make_chunk
from tamaracktray_emulator.platform.worker import EngineStandIn

# Longest time for which the engine holds a write, in seconds.
HELD_S = 5.0


class TestLateWrite:
    def test_write_that_was_given_up_does_not_replace_a_newer_chunk(self, monkeypatch):
        handle = EngineStandIn._handle_stage
        held: list[int] = []
        newest = {index: make_chunk(3, index) for index in range(CHUNKS)}

        async def hold_first_write(self, request, responder):
            if request.method == "PUT" and not held:
                held.append(int(request.query["quantity"]))
                deadline = time.monotonic() + HELD_S
                while self.staged != newest and time.monotonic() < deadline:
                    await curio.sleep(0.001)
            await handle(self, request, responder)

        monkeypatch.setattr(EngineStandIn, "_handle_stage", hold_first_write)

        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            engine = await fleet.add_engine("e-1")
            agent = await fleet.add_agent(engine)
            await fleet.until(lambda: agent.state.staging.report)
            fleet.store.write(
                "versions", ENGINE_MODEL, {"model": ENGINE_MODEL, "version": 2}
            )
            await fleet.until(lambda: held)
            fleet.store.write(
                "versions", ENGINE_MODEL, {"model": ENGINE_MODEL, "version": 3}
            )
            await fleet.until(lambda: engine.version == 3, 3 * HELD_S)
            assert engine.loaded_digests == list_digests(3)

        run_fleet(scenario, version_ms=2_000.0)
