"""When engines change versions, and which versions they leave out."""

import pytest

from tamaracktray.engines import EngineReport
from tamaracktray.roster import EndpointRecord, LoadedModel
from tamaracktray.staging import follow_age, name_version
from tamaracktray.staging_state import StagingState, Step, Turn
from tamaracktray.swap_turns import (
    SPREAD_S,
    SWAP_RESERVE_S,
    choose_turn,
    find_turn,
    plan_swap,
)
from tamaracktray.types import Address
from tamaracktray.weights import Manifest

MODEL = "kiln"
CHUNKS = 100
BOUND_S = 8.0

# What a version takes over an engine's link, in seconds.
TRANSFER_S = 5.3


def list_chunks(version: int) -> list[str]:
    return [f"{version}/{index}" for index in range(CHUNKS)]


def build_state(turn: Turn, version: int = 1) -> StagingState:
    state = StagingState(BOUND_S)
    state.turn = turn
    models = (LoadedModel(MODEL, version, 0, 16),) if version else ()
    state.report = EngineReport(models=models)
    state.is_probed = state.is_stage_known = True
    return state


def begin(state: StagingState, now: float, version: int, done: float) -> None:
    """Name a version of which a share is there after the time that this takes."""
    name_version(state, now, MODEL, version, now)
    state.current.manifest = Manifest(1, CHUNKS, list_chunks(version))
    state.step = Step.CHUNKS
    state.held.update(list_chunks(version)[: int(done * CHUNKS)])


class TestTurns:
    @pytest.mark.parametrize("share", [0.0, 0.5, 1.0])
    def test_turns_are_spread_from_the_arrival_to_the_bound(self, share):
        state = build_state(Turn(share))
        begin(state, 0.0, 2, done=1.0)
        turn = find_turn(state, state.current, TRANSFER_S)
        last = BOUND_S - SWAP_RESERVE_S
        assert turn == pytest.approx(TRANSFER_S + share * (last - TRANSFER_S))

    def test_late_engine_goes_at_once(self):
        state = build_state(Turn(1.0))
        begin(state, 0.0, 2, done=1.0)
        assert find_turn(state, state.current, BOUND_S + 1.0) == BOUND_S + 1.0

    def test_engine_without_the_model_does_not_wait(self):
        state = build_state(Turn(1.0), version=0)
        begin(state, 0.0, 2, done=1.0)
        assert find_turn(state, state.current, 3.0) == 0.0

    def test_plan_is_known_before_the_chunks_are_there(self):
        state = build_state(Turn(0.0))
        begin(state, 0.0, 2, done=0.5)
        assert plan_swap(state, TRANSFER_S / 2) == pytest.approx(TRANSFER_S / 2)

    def test_neighbours_stand_in_different_zones(self):
        records = [
            EndpointRecord(
                f"{zone}{n}", "engines", Address("10.0.0.1", n), zone, max_batch=16
            )
            for zone in ("a", "b", "c")
            for n in range(4)
        ]
        turns = {item.id: choose_turn(records, "engines", item.id) for item in records}
        ranked = sorted(turns, key=lambda name: turns[name].share)
        for place in range(0, len(ranked), 3):
            assert {name[0] for name in ranked[place : place + 3]} == {"a", "b", "c"}
        assert sum(turn.is_odd for turn in turns.values()) == len(records) // 2


class TestLateAge:
    """How old a naming is may be known only after the work has begun."""

    def test_bound_follows_the_age(self):
        state = build_state(Turn(1.0))
        name_version(state, 0.0, MODEL, 2, 1.5 - BOUND_S)
        follow_age(state, 2, -0.5)
        assert state.current.due_at == BOUND_S - 0.5
        turn = find_turn(state, state.current, 2.0)
        assert turn == pytest.approx(BOUND_S - 0.5 - SWAP_RESERVE_S)

    def test_bound_of_the_version_after_it_follows_as_well(self):
        state = build_state(Turn(0.5))
        begin(state, 0.0, 2, done=1.0)
        state.step = Step.TURN
        name_version(state, 3.0, MODEL, 3, 3.0)
        follow_age(state, 3, 2.5)
        assert state.current.due_at == BOUND_S
        assert state.following.due_at == 2.5 + BOUND_S

    def test_version_that_was_left_out_stays_due(self):
        state = build_state(Turn(1.0, is_odd=True))
        begin(state, 0.0, 2, done=0.75)
        name_version(state, 4.0, MODEL, 3, 4.0)
        follow_age(state, 3, 3.5)
        assert state.current.version == 3
        assert state.current.due_at == BOUND_S

    def test_older_version_changes_no_bound(self):
        state = build_state(Turn(1.0))
        begin(state, 0.0, 3, done=0.5)
        follow_age(state, 2, -5.0)
        assert state.current.due_at == BOUND_S


class TestSkipping:
    """A second version is named while the first is on its way."""

    def name_next(self, is_odd: bool, after_s: float, transfer_s: float = TRANSFER_S):
        state = build_state(Turn(0.5, is_odd))
        begin(state, 0.0, 2, done=min(after_s / transfer_s, 1.0))
        name_version(state, after_s, MODEL, 3, after_s)
        return state.current.version

    @pytest.mark.parametrize("is_odd", [True, False])
    def test_version_that_is_nearly_there_is_kept(self, is_odd):
        """What is left leaves time to take turns for the next one."""
        left_s = BOUND_S - SWAP_RESERVE_S - TRANSFER_S - SPREAD_S
        assert self.name_next(is_odd, TRANSFER_S - left_s + 0.1) == 2

    @pytest.mark.parametrize(("is_odd", "version"), [(True, 3), (False, 2)])
    def test_every_other_engine_leaves_out_what_crowds_the_next(self, is_odd, version):
        assert self.name_next(is_odd, 4.0) == version

    @pytest.mark.parametrize("is_odd", [True, False])
    @pytest.mark.parametrize("after_s", [0.0, 0.5])
    def test_version_hardly_begun_is_left_out_by_all(self, is_odd, after_s):
        assert self.name_next(is_odd, after_s) == 3

    @pytest.mark.parametrize("is_odd", [True, False])
    def test_version_that_comes_too_late_is_left_out_by_all(self, is_odd):
        assert self.name_next(is_odd, 4.0, transfer_s=12.0) == 3

    def test_engine_whose_version_is_due_does_not_wait_for_its_turn(self):
        state = build_state(Turn(1.0, is_odd=True))
        begin(state, 0.0, 2, done=0.75)
        name_version(state, 4.0, MODEL, 3, 4.0)
        ready_at = BOUND_S + 1.0
        assert find_turn(state, state.current, ready_at) == ready_at

    @pytest.mark.parametrize("step", [Step.TURN, Step.ORDER, Step.LOADING])
    def test_version_that_is_staged_is_kept(self, step):
        state = build_state(Turn(0.5, is_odd=True))
        begin(state, 0.0, 2, done=1.0)
        state.step = step
        name_version(state, 5.5, MODEL, 3, 5.5)
        assert state.current.version == 2
