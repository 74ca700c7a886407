"""An engine that executes an order to load long after its agent stopped waiting.

Guards against writing chunks of a newer version into the stage that it will load.
"""

import time

import curio
import pytest

from platforms import PlatformFleet, run_fleet
from tamaracktray.engines import EngineReport, OrderOutcome
from tamaracktray.roster import LoadedModel
from tamaracktray.staging import (
    UNANSWERED_ORDER_S,
    advance,
    handle_engine_answered,
    handle_engine_unreachable,
    handle_order_answered,
    set_target_version,
)
from tamaracktray.staging_events import (
    EngineAnswered,
    EngineUnreachable,
    OrderAnswered,
    SendOrder,
)
from tamaracktray.staging_state import StagedChunk, StagingState, Step, VersionWork
from tamaracktray.weights import Manifest
from tamaracktray_emulator.platform.documents import CHUNKS, ENGINE_MODEL
from tamaracktray_emulator.platform.origin import list_digests, make_chunk
from tamaracktray_emulator.platform.worker import EngineStandIn

# Time for which the engine hangs, and for which it then holds the order, in seconds.
HANGING_S = 3.0
HELD_S = 5.0

LOADED = (LoadedModel(ENGINE_MODEL, 1),)


class TestLateOrder:
    def test_order_that_was_given_up_does_not_load_a_mixed_stage(self, monkeypatch):
        answer, order = EngineStandIn.answer, EngineStandIn._handle_order
        ordered: list[float] = []

        async def answer_later(self, request, responder):
            if ordered and request.path != "/order":
                await curio.sleep(ordered[0] + HANGING_S - time.monotonic())
            await answer(self, request, responder)

        async def hold_first_order(self, request, responder):
            if not ordered:
                ordered.append(time.monotonic())
                deadline = ordered[0] + HANGING_S + HELD_S
                while (
                    self.staged.get(CHUNKS // 2) != make_chunk(3, CHUNKS // 2)
                    and time.monotonic() < deadline
                ):
                    await curio.sleep(0.001)
            await order(self, request, responder)

        monkeypatch.setattr(EngineStandIn, "answer", answer_later)
        monkeypatch.setattr(EngineStandIn, "_handle_order", hold_first_order)

        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            engine = await fleet.add_engine("e-1")
            loaded: list[tuple[int, list[str]]] = []
            agent = await fleet.add_agent(engine)
            await fleet.until(lambda: agent.state.staging.report)
            fleet.store.write(
                "versions", ENGINE_MODEL, {"model": ENGINE_MODEL, "version": 2}
            )
            await fleet.until(lambda: ordered)
            await fleet.until(lambda: agent.state.staging.report is None)
            fleet.store.write(
                "versions", ENGINE_MODEL, {"model": ENGINE_MODEL, "version": 3}
            )

            def is_done() -> bool:
                if engine.version > 1:
                    loaded.append((engine.version, engine.loaded_digests))
                return engine.version == 3

            await fleet.until(is_done, 2 * (HANGING_S + HELD_S))
            assert loaded
            for version, digests in loaded:
                assert digests == list_digests(version)

        run_fleet(scenario, version_ms=1_500.0)


class TestUnansweredOrder:
    def build(self) -> StagingState:
        """Return an agent whose order for version 2 was not answered by 11.0."""
        state = StagingState(2.0)
        state.model = ENGINE_MODEL
        state.report = EngineReport(LOADED, sequence=4, start_time_ms=7)
        state.is_probed = state.is_stage_known = True
        state.current = VersionWork(2, 0.0, 0.0)
        state.current.manifest = Manifest(4, 4, ["a"])
        state.current.staged_at = 0.0
        state.stage_by_index[0] = StagedChunk("a", 10.0)
        state.step = Step.TURN
        (effect,) = advance(state, 10.0)
        assert isinstance(effect, SendOrder)
        handle_order_answered(state, OrderAnswered(11.0, 2, None))
        handle_engine_unreachable(state, EngineUnreachable(11.5))
        return state

    def find_version(self, state: StagingState, now: float) -> int:
        """Name version 3 and return the version that the agent works on."""
        set_target_version(state, now, ENGINE_MODEL, 3, now)
        return state.current.version

    def test_newer_version_waits_while_the_order_may_begin(self):
        assert self.find_version(self.build(), 12.0) == 2

    @pytest.mark.parametrize(
        ("sequence", "start_time_ms", "version"), [(4, 7, 2), (5, 7, 3), (4, 8, 3)]
    )
    def test_report_shows_whether_the_order_may_begin(
        self, sequence, start_time_ms, version
    ):
        state = self.build()
        report = EngineReport(LOADED, False, sequence, start_time_ms=start_time_ms)
        handle_engine_answered(state, EngineAnswered(12.0, report))
        assert self.find_version(state, 12.0) == version

    def test_order_that_nothing_shows_counts_as_lost_in_the_end(self):
        state = self.build()
        assert self.find_version(state, 11.0 + UNANSWERED_ORDER_S) == 3

    def test_refusal_of_a_repeat_says_nothing_of_the_first_order(self):
        state = self.build()
        report = EngineReport(LOADED, False, 4, start_time_ms=7)
        handle_engine_answered(state, EngineAnswered(12.0, report))
        state.step = Step.ORDER
        handle_order_answered(state, OrderAnswered(12.1, 2, OrderOutcome.REFUSED))
        assert self.find_version(state, 12.2) == 2
