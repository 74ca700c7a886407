"""Checks of staged chunks at engines that answer slowly.

Guards against an agent that verifies without end, since the first chunks are due again
before the last one has been read.
"""

import time
from typing import Any

import curio
import pytest
from returns.result import Failure, Success

from platforms import PlatformFleet, run_fleet
from tamaracktray.clocks import read_elapsed
from tamaracktray.exceptions import WeightError
from tamaracktray.stage_checks import MAX_READERS, read_staged_chunks
from tamaracktray.staging import STAGE_CHECK_TTL_S
from tamaracktray.staging_state import Step
from tamaracktray.weights import digest_bytes
from tamaracktray_emulator.platform.documents import CHUNKS, ENGINE_MODEL
from tamaracktray_emulator.platform.origin import list_digests
from tamaracktray_emulator.platform.worker import EngineStandIn

READ_S = 1.2 * STAGE_CHECK_TTL_S / CHUNKS


class SlowStage:
    """Answers reads of staged chunks after a time, and counts those at a time."""

    def __init__(self, read_s: float, missing: int = -1) -> None:
        self.read_s = read_s
        self.missing = missing
        self.readers: set[int] = set()
        self.reading = 0
        self.most_reading = 0

    async def list_staged(self, model: str) -> Any:
        return Success(list(range(CHUNKS)))

    async def read_chunk(self, model: str, index: int, reader: int = 0) -> Any:
        self.readers.add(reader)
        self.reading += 1
        self.most_reading = max(self.most_reading, self.reading)
        await curio.sleep(self.read_s)
        self.reading -= 1
        if index == self.missing:
            return Failure(WeightError("gone"))
        return Success(b"%d" % index)


class TestReads:
    def read(self, stage: SlowStage, indices: list[int]) -> dict:
        return curio.run(read_staged_chunks, stage, ENGINE_MODEL, indices)

    def test_each_chunk_is_dated_by_its_own_read(self):
        stage = SlowStage(0.05)
        began_at = read_elapsed()
        chunks = self.read(stage, list(range(CHUNKS)))
        assert [chunk.digest for chunk in chunks.values()] == [
            digest_bytes(b"%d" % index) for index in range(CHUNKS)
        ]
        first, *_, last = sorted(chunk.checked_at for chunk in chunks.values())
        assert began_at <= first <= last - 0.05

    def test_fast_stage_is_read_over_one_connection(self):
        stage = SlowStage(0.001)
        self.read(stage, list(range(CHUNKS)))
        assert stage.readers == {0}

    def test_slow_stage_is_read_over_several_connections(self):
        stage = SlowStage(1.0)
        began_at = time.monotonic()
        self.read(stage, list(range(CHUNKS)))
        assert stage.most_reading <= MAX_READERS
        assert time.monotonic() - began_at < CHUNKS * stage.read_s / 2

    def test_chunks_that_are_missing_or_unreadable_are_reported(self):
        stage = SlowStage(0.001, missing=2)
        chunks = self.read(stage, [1, 2, CHUNKS])
        assert list(chunks) == [1, 2, CHUNKS]
        assert chunks[1] is not None
        assert chunks[2] is None
        assert chunks[CHUNKS] is None


class TestSlowEngine:
    @pytest.mark.parametrize("read_s", [0.01, READ_S, 2 * READ_S])
    def test_engine_that_reads_slowly_gets_its_version(self, read_s, monkeypatch):
        handle = EngineStandIn._handle_stage

        async def handle_slowly(self, request, responder):
            if request.method == "GET":
                await curio.sleep(read_s)
            await handle(self, request, responder)

        monkeypatch.setattr(EngineStandIn, "_handle_stage", handle_slowly)
        # All chunks are verified again before the order.
        monkeypatch.setattr("tamaracktray.staging.STAGE_CHECK_TTL_S", 0.0)

        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            engine = await fleet.add_engine("e-1")
            agent = await fleet.add_agent(engine)
            await fleet.until(lambda: agent.state.staging.report)
            document = {"model": ENGINE_MODEL, "version": 2}
            fleet.store.write("versions", ENGINE_MODEL, document)
            staging = agent.state.staging
            await fleet.until(
                lambda: staging.step is Step.TURN and staging.is_checking, 6.0
            )
            monkeypatch.setattr(
                "tamaracktray.staging.STAGE_CHECK_TTL_S", STAGE_CHECK_TTL_S
            )
            await fleet.until(lambda: engine.version == 2, 10.0)
            assert engine.loaded_digests == list_digests(2)

        run_fleet(scenario, version_ms=4_000.0)


class TestUnstoredWrite:
    def test_chunk_that_the_engine_has_not_stored_is_not_ordered(self, monkeypatch):
        handle = EngineStandIn._handle_stage
        unstored: list[int] = []

        async def answer_without_storing(self, request, responder):
            if request.method == "PUT" and len(self.staged) == CHUNKS - 1:
                index = int(request.query["quantity"])
                if not unstored and index not in self.staged:
                    unstored.append(index)
                    await responder.respond(200, [])
                    return
            await handle(self, request, responder)

        monkeypatch.setattr(EngineStandIn, "_handle_stage", answer_without_storing)

        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            engine = await fleet.add_engine("e-1")
            await fleet.add_agent(engine)
            document = {"model": ENGINE_MODEL, "version": 2}
            fleet.store.write("versions", ENGINE_MODEL, document)
            await fleet.until(lambda: engine.version == 2, 8.0)
            assert unstored
            assert engine.loaded_digests == list_digests(2)

        run_fleet(scenario, version_ms=4_000.0)
