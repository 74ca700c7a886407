"""A load experiment on changes of version: all engines get new weights under load.

The engines' agents choose their turns by the product's own decisions, and tell entries
of them as they do in service. What callers get is told by windows of time.
"""

from collections.abc import Callable
from functools import partial

import msgspec
from typing_extensions import override

from tamaracktray.engines import EngineReport
from tamaracktray.gateway import fill_room
from tamaracktray.namings import VERSION_MARGIN_S
from tamaracktray.roster import EndpointRecord, LoadedModel
from tamaracktray.staging_state import StagingState, Turn, VersionWork
from tamaracktray.swap_turns import choose_turn, find_turn
from tamaracktray.types import Address
from tamaracktray_emulator.admission import (
    BEACON_DELAY_S,
    MODEL,
    SERVICE,
    AdmissionExperiment,
    AdmissionPlan,
    CallerRecord,
    measure_worth,
)
from tamaracktray_emulator.engine_model import EngineJob

# Times of the model in seconds.
STATUS_S = 0.25
NOTICE_S = 0.03
WINDOW_S = 2.0

ZONES = 3

TurnChooser = Callable[[StagingState, VersionWork, float], float]


class SwapPlan(AdmissionPlan, frozen=True):
    """A change of version; times in seconds.

    The version is named at ``named_at``. Each engine has its chunks after
    ``transfer_s`` and up to ``transfer_spread_s`` more, and must serve nothing older
    ``bound_s`` after the naming. Loading takes ``load_s`` once the engine is idle.
    """

    named_at: float = 15.0
    bound_s: float = 8.0
    transfer_s: float = 5.5
    transfer_spread_s: float = 0.3
    load_s: float = 0.3


class SwapReport(msgspec.Struct, frozen=True):
    """What callers got around a change: shares of the worth.

    ``whole`` is taken over the time from the naming until all is calm again, ``worst``
    over the two worst windows of it.
    """

    whole: float
    worst: float
    windows: list[float]


class SwapEngine:
    """One engine's way to the new version."""

    __slots__ = ("is_closed", "is_loading", "order_at", "version")

    def __init__(self, order_at: float) -> None:
        self.order_at = order_at
        self.version = 1
        self.is_closed = False
        self.is_loading = False


class SwapExperiment(AdmissionExperiment):
    """Plays a change of version; ``find`` decides when an engine takes its turn."""

    def __init__(self, plan: SwapPlan, find: TurnChooser = find_turn) -> None:
        super().__init__(plan)
        self._swap = plan
        self._swaps = {name: self._plan_engine(name, find) for name in self._engines}
        self._after(plan.named_at, self._tell_statuses)
        self._after(plan.named_at + plan.bound_s - VERSION_MARGIN_S, self._let_due)
        for name, swap in self._swaps.items():
            announce = partial(self._tell_status, name, is_swapping=True)
            self._after(swap.order_at - NOTICE_S, announce)
            self._after(swap.order_at, partial(self._order, name))

    def play(self) -> SwapReport:
        """Play the plan and report on the callers from the naming on."""
        self.run()
        plan = self._swap
        calm_at = plan.named_at + plan.bound_s + 3 * WINDOW_S
        windows: list[list[CallerRecord]] = []
        begin = plan.named_at
        while begin < calm_at:
            end = begin + WINDOW_S
            windows.append([c for c in self._callers if begin <= c.arrived < end])
            begin = end
        worths = [measure_worth(callers) for callers in windows]
        whole = measure_worth([caller for callers in windows for caller in callers])
        return SwapReport(whole, round(sum(sorted(worths)[:2]) / 2, 3), worths)

    def _plan_engine(self, name: str, find: TurnChooser) -> SwapEngine:
        plan = self._swap
        state = StagingState(plan.bound_s)
        state.model = MODEL
        state.report = EngineReport(models=(LoadedModel(MODEL, 1),))
        state.turn = self._choose_turn(name)
        work = VersionWork(2, plan.named_at, plan.named_at + plan.bound_s)
        staged_at = plan.named_at + plan.transfer_s
        staged_at += plan.transfer_spread_s * self._random.random()
        return SwapEngine(max(find(state, work, staged_at), staged_at))

    def _choose_turn(self, name: str) -> Turn:
        records = [
            EndpointRecord(
                engine, SERVICE, Address("10.0.0.1", 1), f"zone-{number % ZONES}", 1
            )
            for number, engine in enumerate(self._engines)
        ]
        return choose_turn(records, SERVICE, name)

    def _tell_statuses(self) -> None:
        self._after(STATUS_S, self._tell_statuses)
        for name in self._swaps:
            self._tell_status(name)

    def _tell_status(self, name: str, *, is_swapping: bool | None = None) -> None:
        swap = self._swaps[name]
        if is_swapping is None:
            is_swapping = swap.is_closed
        swap_in_s = None if swap.version > 1 else max(swap.order_at - self._now, 0.0)
        versions = {MODEL: swap.version} if swap.version else {}

        def tell() -> None:
            for entry, state in enumerate(self._entries):
                load = state.loads_by_id[name]
                load.note_status(self._now, is_swapping, versions, swap_in_s)
                self._perform(entry, fill_room(self._context(state), self._now))

        self._after(BEACON_DELAY_S, tell)

    def _order(self, name: str) -> None:
        self._swaps[name].is_closed = True
        self._note_pass(name)

    @override
    def _note_pass(self, endpoint_id: str) -> None:
        swap = self._swaps[endpoint_id]
        is_idle = self._engines[endpoint_id].is_idle and endpoint_id not in self._busy
        if not swap.is_closed or swap.is_loading or not is_idle:
            return
        swap.is_loading = True
        swap.version = 0

        def finish() -> None:
            swap.version = 2
            swap.is_closed = False
            self._tell_status(endpoint_id)

        self._after(self._swap.load_s, finish)

    @override
    def _accept(self, endpoint_id: str, job: EngineJob) -> bool:
        return not self._swaps[endpoint_id].is_closed and super()._accept(
            endpoint_id, job
        )

    def _let_due(self) -> None:
        self._around = msgspec.structs.replace(
            self._around, version_floor_by_model={MODEL: 2}
        )
