"""Simulates a version change: all engines load new weights under load.

Engines choose their swap turns with the production code and report them to the entries
as in production. Results for callers are reported per time window.
"""

from collections.abc import Callable
from functools import partial

import msgspec
from typing_extensions import override

from tamaracktray.announcements import DUE_MARGIN_S
from tamaracktray.engines import EngineReport
from tamaracktray.gateway import send_queued_calls
from tamaracktray.roster import EndpointRecord, LoadedModel
from tamaracktray.staging_state import StagingState, Turn, VersionWork
from tamaracktray.swap_turns import choose_turn, find_turn
from tamaracktray.types import Address
from tamaracktray_emulator.admission import (
    BEACON_DELAY_S,
    MODEL_NAME,
    SERVICE_NAME,
    AdmissionExperiment,
    AdmissionPlan,
    CallerRecord,
    measure_worth,
)
from tamaracktray_emulator.engine_model import EngineJob

# Times of the simulation in seconds.
STATUS_INTERVAL_S = 0.25
NOTICE_LEAD_S = 0.03
REPORT_WINDOW_S = 2.0

ZONE_COUNT = 3

SwapTimeFinder = Callable[[StagingState, VersionWork, float], float]


class SwapPlan(AdmissionPlan, frozen=True):
    """Parameters of a version change; times in seconds.

    The version is announced at ``announced_at``. Each engine has its chunks
    ``transfer_s`` to ``transfer_s + transfer_spread_s`` later, and must not serve an
    older version once ``bound_s`` has passed. Loading takes ``load_s`` once the engine
    is idle.
    """

    announced_at: float = 15.0
    bound_s: float = 8.0
    transfer_s: float = 5.5
    transfer_spread_s: float = 0.3
    load_s: float = 0.3


class SwapReport(msgspec.Struct, frozen=True):
    """Shares of the possible worth that callers got after an announcement.

    ``whole`` covers the time from the announcement until the load has settled,
    ``worst`` is the mean of the two worst windows in it.
    """

    whole: float
    worst: float
    windows: list[float]


class SwapEngine:
    """Progress of one engine towards the new version."""

    __slots__ = ("is_closed", "is_loading", "swap_at", "version")

    def __init__(self, swap_at: float) -> None:
        self.swap_at = swap_at
        self.version = 1
        self.is_closed = False
        self.is_loading = False


class SwapExperiment(AdmissionExperiment):
    """Run of a version change; ``find_swap_time`` schedules each engine's swap."""

    def __init__(
        self, plan: SwapPlan, find_swap_time: SwapTimeFinder = find_turn
    ) -> None:
        super().__init__(plan)
        self._swap_plan = plan
        self._swap_by_id = {
            name: self._make_swap_engine(name, find_swap_time) for name in self._engines
        }
        self._schedule_after(plan.announced_at, self._broadcast_statuses)
        self._schedule_after(
            plan.announced_at + plan.bound_s - DUE_MARGIN_S, self._apply_version_floor
        )
        for name, swap_engine in self._swap_by_id.items():
            send_early_status = partial(self._send_status, name, is_swapping=True)
            self._schedule_after(swap_engine.swap_at - NOTICE_LEAD_S, send_early_status)
            self._schedule_after(swap_engine.swap_at, partial(self._close_engine, name))

    def play(self) -> SwapReport:
        """Run the plan and report on callers from the announcement on."""
        self.run()
        plan = self._swap_plan
        settled_at = plan.announced_at + plan.bound_s + 3 * REPORT_WINDOW_S
        windows: list[list[CallerRecord]] = []
        start = plan.announced_at
        while start < settled_at:
            end = start + REPORT_WINDOW_S
            windows.append([c for c in self._callers if start <= c.arrived < end])
            start = end
        worth_shares = [measure_worth(callers) for callers in windows]
        whole = measure_worth([caller for callers in windows for caller in callers])
        return SwapReport(
            whole, round(sum(sorted(worth_shares)[:2]) / 2, 3), worth_shares
        )

    def _make_swap_engine(
        self, name: str, find_swap_time: SwapTimeFinder
    ) -> SwapEngine:
        plan = self._swap_plan
        state = StagingState(plan.bound_s)
        state.model = MODEL_NAME
        state.report = EngineReport(models=(LoadedModel(MODEL_NAME, 1),))
        state.turn = self._choose_turn(name)
        work = VersionWork(2, plan.announced_at, plan.announced_at + plan.bound_s)
        staged_at = plan.announced_at + plan.transfer_s
        staged_at += plan.transfer_spread_s * self._random.random()
        return SwapEngine(max(find_swap_time(state, work, staged_at), staged_at))

    def _choose_turn(self, name: str) -> Turn:
        records = [
            EndpointRecord(
                engine,
                SERVICE_NAME,
                Address("10.0.0.1", 1),
                f"zone-{number % ZONE_COUNT}",
                1,
            )
            for number, engine in enumerate(self._engines)
        ]
        return choose_turn(records, SERVICE_NAME, name)

    def _broadcast_statuses(self) -> None:
        self._schedule_after(STATUS_INTERVAL_S, self._broadcast_statuses)
        for name in self._swap_by_id:
            self._send_status(name)

    def _send_status(self, name: str, *, is_swapping: bool | None = None) -> None:
        swap_engine = self._swap_by_id[name]
        if is_swapping is None:
            is_swapping = swap_engine.is_closed
        swap_in_s = (
            None
            if swap_engine.version > 1
            else max(swap_engine.swap_at - self._now, 0.0)
        )
        versions = {MODEL_NAME: swap_engine.version} if swap_engine.version else {}

        def deliver() -> None:
            for entry, state in enumerate(self._entries):
                load = state.loads_by_id[name]
                load.note_status(self._now, is_swapping, versions, swap_in_s)
                self._execute_effects(
                    entry, send_queued_calls(self._build_context(state), self._now)
                )

        self._schedule_after(BEACON_DELAY_S, deliver)

    def _close_engine(self, name: str) -> None:
        self._swap_by_id[name].is_closed = True
        self._on_pass_ended(name)

    @override
    def _on_pass_ended(self, endpoint_id: str) -> None:
        swap_engine = self._swap_by_id[endpoint_id]
        is_idle = (
            self._engines[endpoint_id].is_idle and endpoint_id not in self._busy_ids
        )
        if not swap_engine.is_closed or swap_engine.is_loading or not is_idle:
            return
        swap_engine.is_loading = True
        swap_engine.version = 0

        def finish() -> None:
            swap_engine.version = 2
            swap_engine.is_closed = False
            self._send_status(endpoint_id)

        self._schedule_after(self._swap_plan.load_s, finish)

    @override
    def _offer_job(self, endpoint_id: str, job: EngineJob) -> bool:
        return not self._swap_by_id[endpoint_id].is_closed and super()._offer_job(
            endpoint_id, job
        )

    def _apply_version_floor(self) -> None:
        self._placement_context = msgspec.structs.replace(
            self._placement_context, version_floor_by_model={MODEL_NAME: 2}
        )
