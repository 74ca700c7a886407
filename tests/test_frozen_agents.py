"""An agent that is frozen between its check of staged chunks and the order to load.

Its process is stopped or its machine is suspended, which also stops the steady clock.
Guards against loading chunks that turned bad since the agent had verified them.
"""

import time
from collections.abc import Callable
from typing import Any

import pytest

from platforms import PlatformFleet, run_fleet
from tamaracktray import exchange
from tamaracktray.agent_process import AgentProcess
from tamaracktray.engines import EngineReport, OrderOutcome
from tamaracktray.roster import LoadedModel
from tamaracktray.staging import (
    ORDER_TTL_S,
    STAGE_CHECK_TTL_S,
    advance,
    handle_order_answered,
    handle_stage_checked,
)
from tamaracktray.staging_events import (
    CheckStage,
    OrderAnswered,
    SendOrder,
    StageChecked,
)
from tamaracktray.staging_state import StagedChunk, StagingState, Step, VersionWork
from tamaracktray.weights import Manifest
from tamaracktray_emulator.platform.documents import CHUNKS, ENGINE_MODEL
from tamaracktray_emulator.platform.origin import list_digests
from tamaracktray_emulator.platform.worker import EngineStandIn

# An engine may load a chunk that turned bad less than 3 s ago.
FROZEN_S = 3.2
SPOILT = 3

CHECK_TTL = "tamaracktray.staging.STAGE_CHECK_TTL_S"


class Freeze:
    """Spoils a staged chunk and freezes the process, once."""

    def __init__(self, engine: EngineStandIn, patch: Any) -> None:
        self.engine = engine
        self.patch = patch
        self.spoilt = SPOILT
        self.is_over = False

    def __call__(self) -> None:
        if self.is_over:
            return
        self.is_over = True
        self.engine.staged[self.spoilt] = b"rotten"
        self.patch.setattr(CHECK_TTL, STAGE_CHECK_TTL_S)
        self.stop()

    def stop(self) -> None:
        """Stop the process for a time."""
        time.sleep(FROZEN_S)


class Suspension(Freeze):
    """Spoils a staged chunk and suspends the machine, once."""

    def stop(self) -> None:
        """Advance only the clock that counts suspensions."""
        read_clock = time.clock_gettime

        def read_later(clock: int) -> float:
            late_s = FROZEN_S if clock == time.CLOCK_BOOTTIME else 0.0
            return read_clock(clock) + late_s

        self.patch.setattr(time, "clock_gettime", read_later)


def freeze_in_check(agent: AgentProcess, freeze: Freeze, patch: Any) -> None:
    read_chunk = agent._engine.read_chunk

    async def read(model: str, index: int, reader: int) -> Any:
        chunk = await read_chunk(model, index, reader)
        if index == CHUNKS // 2:
            freeze()
        return chunk

    # The order is only sent after a check, although all chunks were staged just now.
    patch.setattr(CHECK_TTL, 0.0)
    patch.setattr(type(agent._engine), "read_chunk", lambda _, *args: read(*args))


def freeze_after_write(agent: AgentProcess, freeze: Freeze, patch: Any) -> None:
    write_chunk = agent._engine.write_chunk

    async def write(model: str, index: int, data: bytes) -> Any:
        written = await write_chunk(model, index, data)
        if len(freeze.engine.staged) == CHUNKS:
            freeze.spoilt = index
            freeze()
        return written

    patch.setattr(type(agent._engine), "write_chunk", lambda _, *args: write(*args))


def freeze_before_order(agent: AgentProcess, freeze: Freeze, patch: Any) -> None:
    start = agent._engine.start

    async def order(*args: Any) -> Any:
        freeze()
        return await start(*args)

    patch.setattr(type(agent._engine), "start", lambda _, *args: order(*args))


def freeze_while_connecting(agent: AgentProcess, freeze: Freeze, patch: Any) -> None:
    connect = exchange.connect

    async def connect_slowly(address: Any) -> Any:
        socket = await connect(address)
        if agent.state.staging.step is Step.ORDER and address == agent.state.own_engine:
            freeze()
        return socket

    patch.setattr(exchange, "connect", connect_slowly)


class TestFrozenAgent:
    @pytest.mark.parametrize("kind", [Freeze, Suspension])
    @pytest.mark.parametrize(
        "freeze_at",
        [
            freeze_in_check,
            freeze_after_write,
            freeze_before_order,
            freeze_while_connecting,
        ],
    )
    def test_chunk_that_turned_bad_in_a_freeze_is_not_loaded(
        self, freeze_at: Callable[..., None], kind: type[Freeze], monkeypatch
    ):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            engine = await fleet.add_engine("e-1")
            agent = await fleet.add_agent(engine)
            await fleet.until(lambda: agent.state.staging.report)
            freeze = kind(engine, monkeypatch)
            freeze_at(agent, freeze, monkeypatch)
            document = {"model": ENGINE_MODEL, "version": 2}
            fleet.store.write("versions", ENGINE_MODEL, document)
            await fleet.until(lambda: freeze.is_over, 8.0)
            await fleet.until(lambda: engine.version == 2, 8.0)
            assert engine.loaded_digests == list_digests(2)
            assert len(engine.orders) == 1

        run_fleet(scenario, version_ms=4_000.0)


def build_state(checked_at: float) -> StagingState:
    """Return an agent whose engine holds two chunks of version 2, staged in time."""
    state = StagingState(8.0)
    state.model = ENGINE_MODEL
    state.report = EngineReport((LoadedModel(ENGINE_MODEL, 1),))
    state.is_probed = state.is_stage_known = True
    state.current = VersionWork(2, 0.0, 0.0)
    state.current.manifest = Manifest(4, 8, ["a", "b"])
    state.current.staged_at = 0.0
    state.step = Step.TURN
    for index, digest in enumerate(("a", "b")):
        state.stage_by_index[index] = StagedChunk(digest, checked_at)
    return state


class TestAgeOfChecks:
    def test_check_counts_from_the_time_at_which_it_began(self):
        state = build_state(0.0)
        state.is_checking = True
        chunks = {0: StagedChunk("a", 20.0), 1: StagedChunk("b", 24.0)}
        effects = handle_stage_checked(state, StageChecked(24.1, chunks, 20.0))
        assert effects == [CheckStage(ENGINE_MODEL, [0])]

    @pytest.mark.parametrize("age_s", [0.0, 1.0, STAGE_CHECK_TTL_S - 0.1])
    def test_order_expires_with_its_oldest_check(self, age_s):
        state = build_state(50.0)
        state.stage_by_index[1] = StagedChunk("b", 50.0 - age_s)
        (effect,) = advance(state, 50.0)
        assert isinstance(effect, SendOrder)
        assert effect.order.deadline == 50.0 - age_s + ORDER_TTL_S

    def test_check_expires_while_the_machine_is_suspended(self):
        state = build_state(50.0)
        state.suspended_s = ORDER_TTL_S
        assert advance(state, 50.0) == [CheckStage(ENGINE_MODEL, [0, 1])]

    def test_order_expires_by_the_clock_that_counts_suspensions(self):
        state = build_state(50.0)
        state.suspended_s = 1.0
        (effect,) = advance(state, 50.0)
        assert effect.order.deadline == 50.0 + ORDER_TTL_S

    def test_chunks_are_checked_again_after_an_order_that_expired(self):
        state = build_state(50.0)
        advance(state, 50.0)
        event = OrderAnswered(54.0, 2, OrderOutcome.EXPIRED)
        assert handle_order_answered(state, event) == [CheckStage(ENGINE_MODEL, [0, 1])]
