"""Starvation under load shedding: teams, sessions and zones at twice the capacity.

Admission control divides capacity among ranks only. These tests guard against a share
of a rank that goes to some of its callers, and against callers without any answer.
"""

import functools
from collections import Counter
from collections.abc import Callable

import msgspec
import pytest
from typing_extensions import override

from gateways import REGION_BY_ZONE
from rank_loads import RankLoad
from tamaracktray.calls import Call, Rank, RefuseCall, SendCall
from tamaracktray.effects import Effect
from tamaracktray.gateway import send_queued_calls
from tamaracktray.gateway_fleet import apply_roster
from tamaracktray.gateway_state import GatewayContext, GatewayState
from tamaracktray.ownership import FleetNode
from tamaracktray.wait_queue import WaitQueue
from tamaracktray_emulator.admission import (
    CALL_KINDS,
    AdmissionExperiment,
    AdmissionPlan,
    CallerRecord,
)

LOAD = 2.0
INTERVAL_S = 5.0
MAX_RATIO = 1.5

# Least number of refusals for which shares are compared. With 30 to 50, random arrivals
# alone made ratios above 1.5 between callers.
MIN_REFUSED = 80

# Time from which outcomes count, in seconds; the shortage has been measured by then.
WARM_UP_S = 5.0


class Outcomes:
    """Served and refused calls by rank and caller from ``WARM_UP_S`` to ``end``."""

    def __init__(self, end: float) -> None:
        self.end = end
        self.served: Counter[tuple[Rank, str]] = Counter()
        self.refused: Counter[tuple[Rank, str]] = Counter()
        self.answers: Counter[tuple[str, int]] = Counter()

    def note(self, now: float, rank: Rank, caller: str, *, is_served: bool) -> None:
        if not WARM_UP_S <= now < self.end:
            return
        if not is_served:
            self.refused[rank, caller] += 1
            return
        self.served[rank, caller] += 1
        self.answers[caller, int((now - WARM_UP_S) / INTERVAL_S)] += 1

    def list_unanswered(self) -> list[tuple[str, int]]:
        """Return the callers and the numbers of the intervals without an answer."""
        callers = {caller for _, caller in (*self.served, *self.refused)}
        return [
            (caller, number)
            for caller in sorted(callers)
            for number in range(int((self.end - WARM_UP_S) / INTERVAL_S))
            if not self.answers[caller, number]
        ]

    def find_ratios(self) -> dict[Rank, float]:
        """Return the largest refused share over the least one, by rank."""
        shares_by_rank: dict[Rank, list[float]] = {}
        for rank, caller in self.served.keys() | self.refused.keys():
            refused = self.refused[rank, caller]
            assert refused >= MIN_REFUSED
            asked = refused + self.served[rank, caller]
            shares_by_rank.setdefault(rank, []).append(refused / asked)
        assert all(len(shares) > 1 for shares in shares_by_rank.values())
        return {rank: max(each) / min(each) for rank, each in shares_by_rank.items()}


class CallerLoad(RankLoad):
    """Load of several callers, which are named by a field of their calls.

    ``list_callers`` gives those of a rank. Regular ones call in turn, at equal
    intervals: their order could agree with the order in which calls are admitted.
    """

    def __init__(
        self,
        seed: int,
        ranks: dict[Rank, float],
        field: str,
        list_callers: Callable[[Rank], list[str]],
        *,
        is_regular: bool = False,
        duration_s: float = 280.0,
        slots: int = 12,
    ) -> None:
        super().__init__(seed, ranks, LOAD, slots)
        self.field = field
        self.list_callers = list_callers
        self.is_regular = is_regular
        self.turns: Counter[Rank] = Counter()
        self.outcomes = Outcomes(WARM_UP_S + duration_s)
        self.play(WARM_UP_S + duration_s)

    @override
    def choose_gap(self, mean_s: float) -> float:
        return mean_s if self.is_regular else super().choose_gap(mean_s)

    @override
    def choose_caller(self, rank: Rank) -> dict[str, str]:
        callers = self.list_callers(rank)
        if not self.is_regular:
            return {self.field: self.random.choice(callers)}
        self.turns[rank] += 1
        return {self.field: callers[self.turns[rank] % len(callers)]}

    @override
    def _record(self, effects: list[Effect]) -> None:
        # The endpoint answers every call that it is sent.
        for effect in effects:
            if isinstance(effect, SendCall | RefuseCall):
                call = self._calls_by_id[effect.call_id]
                self.outcomes.note(
                    self.gateway.now,
                    call.rank,
                    getattr(call, self.field),
                    is_served=isinstance(effect, SendCall),
                )
        super()._record(effects)


# Callers of one priority, and of two, by the priority of the team and of the route.
ONE_PRIORITY = {(1, 0): 1.0, (1, 1): 1.0, (1, 2): 1.0}
TWO_PRIORITIES = {(0, 0): 1.0, (0, 1): 1.0, (1, 0): 1.0, (1, 1): 1.0}


class TestTeams:
    """Guards against teams of equal priority that are served unequally."""

    @pytest.mark.parametrize("seed", range(2))
    @pytest.mark.parametrize("is_regular", [False, True])
    @pytest.mark.parametrize("ranks", [ONE_PRIORITY, TWO_PRIORITIES])
    def test_teams_of_one_priority_are_served_alike(self, ranks, is_regular, seed):
        played = CallerLoad(
            seed,
            ranks,
            "team",
            lambda rank: [f"{name}-{rank[0]}" for name in ("x", "y")],
            is_regular=is_regular,
        )
        assert played.outcomes.list_unanswered() == []
        assert max(played.outcomes.find_ratios().values()) <= MAX_RATIO

    @pytest.mark.parametrize("seed", range(3))
    def test_team_that_sends_most_calls_leaves_answers_to_the_others(self, seed):
        played = CallerLoad(
            seed,
            ONE_PRIORITY,
            "team",
            lambda rank: ["many"] * 8 + ["few", "fewer"],
            duration_s=60.0,
            slots=24,
        )
        assert played.outcomes.list_unanswered() == []


class TestSessions:
    """Guards against sessions of a team that are served unequally."""

    @pytest.mark.parametrize("seed", range(2))
    @pytest.mark.parametrize("is_regular", [False, True])
    def test_sessions_on_all_routes_are_served_alike(self, is_regular, seed):
        played = CallerLoad(
            seed,
            ONE_PRIORITY,
            "session",
            lambda rank: ["s0", "s1", "s2"],
            is_regular=is_regular,
        )
        assert played.outcomes.list_unanswered() == []
        assert max(played.outcomes.find_ratios().values()) <= MAX_RATIO

    @pytest.mark.parametrize("seed", range(2))
    @pytest.mark.parametrize("is_regular", [False, True])
    def test_sessions_on_one_route_are_served_alike(self, is_regular, seed):
        """Guards against sessions of the least urgent rank without answers."""
        played = CallerLoad(
            seed,
            ONE_PRIORITY,
            "session",
            lambda rank: [f"s{rank[1]}-{number}" for number in range(2)],
            is_regular=is_regular,
            duration_s=120.0,
            slots=24,
        )
        assert played.outcomes.list_unanswered() == []
        assert max(played.outcomes.find_ratios().values()) <= MAX_RATIO


ZONES = ("zone-a", "zone-b", "zone-c")

# Calls per second that one engine takes.
ENGINE_RATE = 11.5


class ZoneExperiment(AdmissionExperiment):
    """Overload of three zones with one entry each; callers retry in their own zone.

    The kinds of calls are routes of different priority. ``weights`` are the shares of
    the zones in the load.
    """

    def __init__(
        self, engines: int, seed: int, weights: tuple[float, ...] = (1.0, 1.0, 1.0)
    ) -> None:
        plan = AdmissionPlan(
            rate=LOAD * ENGINE_RATE * engines,
            engines=engines,
            entries=len(ZONES),
            duration_s=25.0,
            warm_up_s=WARM_UP_S,
            seed=seed,
        )
        self.weights = weights
        self.outcomes = Outcomes(WARM_UP_S + plan.duration_s)
        super().__init__(plan)
        self.run()

    @override
    def _make_entry(
        self, name: str, make_queue: Callable[[], WaitQueue]
    ) -> GatewayState:
        state = super()._make_entry(name, make_queue)
        state.entries = tuple(
            FleetNode(f"entry-{number}", REGION_BY_ZONE[zone])
            for number, zone in enumerate(ZONES)
        )
        records = {
            load.record.id: msgspec.structs.replace(
                load.record, zone=ZONES[number % len(ZONES)]
            )
            for number, load in enumerate(state.loads_by_id.values())
        }
        apply_roster(self._build_context(state), 0.0, records)
        return state

    @override
    def _build_context(self, state: GatewayState) -> GatewayContext:
        context = super()._build_context(state)
        context.placement_context = msgspec.structs.replace(
            context.placement_context,
            zone=ZONES[int(state.name.removeprefix("entry-"))],
            region_by_zone=REGION_BY_ZONE,
        )
        return context

    @override
    def _choose_entry(self, caller: CallerRecord) -> int:
        if caller.submissions > 1:
            return caller.entry
        (entry,) = self._random.choices(range(len(ZONES)), self.weights)
        return entry

    @override
    def _build_call(self, caller: CallerRecord) -> Call:
        priority = CALL_KINDS.index(caller.kind)
        call = super()._build_call(caller)
        return msgspec.structs.replace(call, priority=1, route_priority=priority)

    @override
    def _send_load_report(self, sender: int) -> None:
        # Spill-over needs the time of each report.
        name = self._entries[sender].name
        counts = self._entries[sender].count_in_flight()
        for entry, peer in enumerate(self._entries):
            if entry == sender:
                continue
            peer.record_peer_counts(self._now, name, counts)
            context = self._build_context(peer)
            self._execute_effects(entry, send_queued_calls(context, self._now))

    @override
    def _handle_refusal(self, effect: RefuseCall) -> None:
        self._note(effect.call_id, is_served=False)
        super()._handle_refusal(effect)

    @override
    def _complete_call(self, endpoint_id: str, call_id: str) -> None:
        self._note(call_id, is_served=True)
        super()._complete_call(endpoint_id, call_id)

    def _note(self, call_id: str, *, is_served: bool) -> None:
        rank = self._calls_by_id[call_id].rank
        zone = ZONES[self._caller_by_call[call_id].entry]
        self.outcomes.note(self._now, rank, zone, is_served=is_served)


@functools.cache
def play_zones(engines: int, seed: int) -> Outcomes:
    """Return the outcomes of zones with equal shares of the load."""
    return ZoneExperiment(engines, seed).outcomes


class TestZones:
    """Guards against zones that are served unequally.

    Six engines are two for each entry. Of eight, two entries own three each and the
    third one two.
    """

    @pytest.mark.parametrize("seed", [1, 2])
    @pytest.mark.parametrize("engines", [6, 8])
    def test_every_zone_gets_answers(self, engines, seed):
        assert play_zones(engines, seed).list_unanswered() == []

    @pytest.mark.parametrize("seed", [1, 2])
    def test_zone_with_most_calls_leaves_answers_to_the_others(self, seed):
        played = ZoneExperiment(6, seed, weights=(6.0, 1.0, 1.0))
        assert played.outcomes.list_unanswered() == []

    @pytest.mark.parametrize("seed", [1, 2])
    def test_zones_with_as_many_engines_are_refused_alike(self, seed):
        assert max(play_zones(6, seed).find_ratios().values()) <= MAX_RATIO

    def test_zones_are_refused_alike_if_engines_do_not_divide_evenly(self):
        assert max(play_zones(8, 1).find_ratios().values()) <= MAX_RATIO
