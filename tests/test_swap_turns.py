"""When engines swap versions, and which versions they skip.

Guards against engines that swap all at once or after the deadline.
"""

import pytest

from tamaracktray.engines import EngineReport
from tamaracktray.roster import EndpointRecord, LoadedModel
from tamaracktray.staging import set_target_version, update_announcement_time
from tamaracktray.staging_state import StagingState, Step, Turn
from tamaracktray.swap_turns import (
    SWAP_RESERVE_S,
    TURN_SPREAD_S,
    choose_turn,
    estimate_swap_delay,
    find_turn,
)
from tamaracktray.types import Address
from tamaracktray.weights import Manifest

MODEL = "kiln"
CHUNKS = 100
BOUND_S = 8.0

# Transfer time of a version over an engine's link, in seconds.
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
    """Announce a version and mark the share ``done`` of its chunks as fetched."""
    set_target_version(state, now, MODEL, version, now)
    state.current.manifest = Manifest(1, CHUNKS, list_chunks(version))
    state.step = Step.CHUNKS
    state.buffered_digests.update(list_chunks(version)[: int(done * CHUNKS)])


class TestTurns:
    @pytest.mark.parametrize("share", [0.0, 0.5, 1.0])
    def test_turns_are_spread_from_staging_to_the_deadline(self, share):
        state = build_state(Turn(share))
        begin(state, 0.0, 2, done=1.0)
        turn = find_turn(state, state.current, TRANSFER_S)
        last = BOUND_S - SWAP_RESERVE_S
        assert turn == pytest.approx(TRANSFER_S + share * (last - TRANSFER_S))

    def test_late_engine_swaps_immediately(self):
        state = build_state(Turn(1.0))
        begin(state, 0.0, 2, done=1.0)
        assert find_turn(state, state.current, BOUND_S + 1.0) == BOUND_S + 1.0

    def test_engine_without_the_model_does_not_wait(self):
        state = build_state(Turn(1.0), version=0)
        begin(state, 0.0, 2, done=1.0)
        assert find_turn(state, state.current, 3.0) == 0.0

    def test_swap_is_planned_before_all_chunks_are_fetched(self):
        state = build_state(Turn(0.0))
        begin(state, 0.0, 2, done=0.5)
        assert estimate_swap_delay(state, TRANSFER_S / 2) == pytest.approx(
            TRANSFER_S / 2
        )

    def test_adjacent_turns_are_in_different_zones(self):
        records = [
            EndpointRecord(
                f"{zone}{n}", "engines", Address("10.0.0.1", n), zone, max_batch=16
            )
            for zone in ("a", "b", "c")
            for n in range(4)
        ]
        turns = {item.id: choose_turn(records, "engines", item.id) for item in records}
        ranked = sorted(turns, key=lambda name: turns[name].share)
        for start in range(0, len(ranked), 3):
            assert {name[0] for name in ranked[start : start + 3]} == {"a", "b", "c"}
        assert sum(turn.is_odd for turn in turns.values()) == len(records) // 2


class TestLateAnnouncementTime:
    """The age of an announcement may become known only after work has started."""

    def test_deadline_follows_the_announcement_time(self):
        state = build_state(Turn(1.0))
        set_target_version(state, 0.0, MODEL, 2, 1.5 - BOUND_S)
        update_announcement_time(state, 2, -0.5)
        assert state.current.due_at == BOUND_S - 0.5
        turn = find_turn(state, state.current, 2.0)
        assert turn == pytest.approx(BOUND_S - 0.5 - SWAP_RESERVE_S)

    def test_deadline_of_the_following_version_is_updated(self):
        state = build_state(Turn(0.5))
        begin(state, 0.0, 2, done=1.0)
        state.step = Step.TURN
        set_target_version(state, 3.0, MODEL, 3, 3.0)
        update_announcement_time(state, 3, 2.5)
        assert state.current.due_at == BOUND_S
        assert state.following.due_at == 2.5 + BOUND_S

    def test_skipped_version_keeps_its_deadline(self):
        state = build_state(Turn(1.0, is_odd=True))
        begin(state, 0.0, 2, done=0.75)
        set_target_version(state, 4.0, MODEL, 3, 4.0)
        update_announcement_time(state, 3, 3.5)
        assert state.current.version == 3
        assert state.current.due_at == BOUND_S

    def test_older_version_changes_no_deadline(self):
        state = build_state(Turn(1.0))
        begin(state, 0.0, 3, done=0.5)
        update_announcement_time(state, 2, -5.0)
        assert state.current.due_at == BOUND_S


class TestSkipping:
    """A second version is announced while the first is being transferred."""

    def announce_next(
        self, is_odd: bool, after_s: float, transfer_s: float = TRANSFER_S
    ):
        state = build_state(Turn(0.5, is_odd))
        begin(state, 0.0, 2, done=min(after_s / transfer_s, 1.0))
        set_target_version(state, after_s, MODEL, 3, after_s)
        return state.current.version

    @pytest.mark.parametrize("is_odd", [True, False])
    def test_nearly_fetched_version_is_kept(self, is_odd):
        """The remaining transfer leaves time to take turns for the next version."""
        slack_s = BOUND_S - SWAP_RESERVE_S - TRANSFER_S - TURN_SPREAD_S
        assert self.announce_next(is_odd, TRANSFER_S - slack_s + 0.1) == 2

    @pytest.mark.parametrize(("is_odd", "version"), [(True, 3), (False, 2)])
    def test_every_other_engine_skips_a_version_that_delays_the_next(
        self, is_odd, version
    ):
        assert self.announce_next(is_odd, 4.0) == version

    @pytest.mark.parametrize("is_odd", [True, False])
    @pytest.mark.parametrize("after_s", [0.0, 0.5])
    def test_all_engines_skip_a_barely_started_version(self, is_odd, after_s):
        assert self.announce_next(is_odd, after_s) == 3

    @pytest.mark.parametrize("is_odd", [True, False])
    def test_all_engines_skip_a_version_that_would_be_late(self, is_odd):
        assert self.announce_next(is_odd, 4.0, transfer_s=12.0) == 3

    def test_overdue_engine_does_not_wait_for_its_turn(self):
        state = build_state(Turn(1.0, is_odd=True))
        begin(state, 0.0, 2, done=0.75)
        set_target_version(state, 4.0, MODEL, 3, 4.0)
        ready_at = BOUND_S + 1.0
        assert find_turn(state, state.current, ready_at) == ready_at

    @pytest.mark.parametrize("step", [Step.TURN, Step.ORDER, Step.LOADING])
    def test_staged_version_is_kept(self, step):
        state = build_state(Turn(0.5, is_odd=True))
        begin(state, 0.0, 2, done=1.0)
        state.step = step
        set_target_version(state, 5.5, MODEL, 3, 5.5)
        assert state.current.version == 2
