"""An engine that loses its stage and restarts while its agent brings in a version.

Guards against orders that rest on what an earlier start of the engine had staged.
"""

import time
from collections.abc import Callable
from typing import Any

import pytest

from platforms import PlatformFleet, run_fleet
from tamaracktray.agent_process import AgentProcess
from tamaracktray.engines import EngineReport, StartOrder
from tamaracktray.staging import (
    STAGE_RETRY_S,
    handle_chunk_staged,
    handle_engine_answered,
    handle_stage_checked,
)
from tamaracktray.staging_events import (
    CheckStage,
    ChunkStaged,
    EngineAnswered,
    StageChecked,
)
from tamaracktray.staging_state import StagedChunk, StagingState, Step, VersionWork
from tamaracktray.weights import Manifest
from tamaracktray_emulator.platform.documents import CHUNKS, ENGINE_MODEL
from tamaracktray_emulator.platform.origin import list_digests
from tamaracktray_emulator.platform.worker import EngineStandIn

# Time for which an engine refuses writes, in seconds.
REFUSED_S = 1.0


class PowerLoss:
    """Restarts an engine with an empty stage, once."""

    def __init__(self, engine: EngineStandIn) -> None:
        self.engine = engine
        self.is_over = False

    def __call__(self) -> None:
        if self.is_over:
            return
        self.is_over = True
        self.engine.restart()
        self.engine.staged.clear()


def lose_in_check(agent: AgentProcess, lose: PowerLoss, patch: Any) -> None:
    read_chunk = agent._engine.read_chunk

    async def read(model: str, index: int, reader: int) -> Any:
        chunk = await read_chunk(model, index, reader)
        if index == CHUNKS // 2:
            lose()
            patch.setattr("tamaracktray.staging.STAGE_CHECK_TTL_S", 2.0)
        return chunk

    # The order is only sent after a check, although all chunks were staged just now.
    patch.setattr("tamaracktray.staging.STAGE_CHECK_TTL_S", 0.0)
    patch.setattr(type(agent._engine), "read_chunk", lambda _, *args: read(*args))


def lose_after_write(agent: AgentProcess, lose: PowerLoss, patch: Any) -> None:
    write_chunk = agent._engine.write_chunk

    async def write(model: str, index: int, data: bytes) -> Any:
        written = await write_chunk(model, index, data)
        if len(lose.engine.staged) == CHUNKS:
            lose()
        return written

    patch.setattr(type(agent._engine), "write_chunk", lambda _, *args: write(*args))


def lose_before_order(agent: AgentProcess, lose: PowerLoss, patch: Any) -> None:
    send_status = agent._send_changed_status

    async def send(*args: Any) -> None:
        await send_status(*args)
        if agent.state.staging.step is Step.ORDER:
            lose()

    patch.setattr(agent, "_send_changed_status", send)


class TestRestartedEngine:
    @pytest.mark.parametrize(
        "lose_at", [lose_in_check, lose_after_write, lose_before_order]
    )
    def test_chunks_of_the_earlier_start_are_not_ordered(
        self, lose_at: Callable[..., None], monkeypatch
    ):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            engine = await fleet.add_engine("e-1")
            agent = await fleet.add_agent(engine)
            await fleet.until(lambda: agent.state.staging.report)
            lose = PowerLoss(engine)
            lose_at(agent, lose, monkeypatch)
            document = {"model": ENGINE_MODEL, "version": 2}
            fleet.store.write("versions", ENGINE_MODEL, document)
            await fleet.until(lambda: lose.is_over and engine.version == 2, 8.0)
            assert engine.loaded_digests == list_digests(2)
            assert len(engine.orders) == 1

        run_fleet(scenario, version_ms=4_000.0)


class TestStageOfAnEarlierStart:
    def build(self) -> StagingState:
        """Return an agent that has seen its engine restart at 50.0."""
        state = StagingState(8.0)
        state.model = ENGINE_MODEL
        state.current = VersionWork(2, 0.0, 0.0)
        state.current.manifest = Manifest(4, 8, ["a", "b"])
        state.step = Step.CHUNKS
        handle_engine_answered(state, EngineAnswered(40.0, EngineReport()))
        restarted = EngineReport(start_time_ms=1)
        handle_engine_answered(state, EngineAnswered(50.0, restarted))
        return state

    def test_earlier_check_is_repeated(self):
        state = self.build()
        chunks = {0: StagedChunk("a", 49.8), 1: StagedChunk("b", 50.1)}
        effects = handle_stage_checked(state, StageChecked(50.2, chunks, 49.8))
        assert effects == [CheckStage(ENGINE_MODEL, [0, 1])]
        assert not state.stage_by_index

    def test_earlier_write_is_not_counted(self):
        state = self.build()
        handle_chunk_staged(state, ChunkStaged(50.2, 0, "a", True, 49.9))
        assert not state.stage_by_index


class TestOrderAgainstReport:
    @pytest.mark.parametrize(
        ("report", "fits"),
        [
            (EngineReport(sequence=3, start_time_ms=7), True),
            (EngineReport(sequence=4, start_time_ms=7), False),
            (EngineReport(sequence=3, start_time_ms=8), False),
            (EngineReport(sequence=3, start_time_ms=7, is_busy=True), False),
        ],
    )
    def test_order_fits_only_the_engine_that_it_was_made_for(self, report, fits):
        order = StartOrder(ENGINE_MODEL, 2, 3, 2, start_time_ms=7)
        assert order.fits(report) is fits


class TestEngineThatRefusesWrites:
    def test_writes_that_fail_at_once_are_paced(self, monkeypatch):
        handle = EngineStandIn._handle_stage
        refused: list[float] = []

        async def refuse_writes(self, request, responder):
            now = time.monotonic()
            if request.method == "PUT" and now < (refused or [now])[0] + REFUSED_S:
                refused.append(now)
                await responder.abort()
                return
            await handle(self, request, responder)

        monkeypatch.setattr(EngineStandIn, "_handle_stage", refuse_writes)

        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            engine = await fleet.add_engine("e-1")
            await fleet.add_agent(engine)
            document = {"model": ENGINE_MODEL, "version": 2}
            fleet.store.write("versions", ENGINE_MODEL, document)
            await fleet.until(lambda: engine.version == 2, 8.0)
            assert len(refused) <= REFUSED_S / STAGE_RETRY_S + 1

        run_fleet(scenario, version_ms=4_000.0)
