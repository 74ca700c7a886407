"""Admission by urgency: ranks, the order of the queue, shedding and displacement."""

import itertools
from collections import Counter

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gateways import SAFE, STREAM, Gateway, build_call, engine, sent, worker
from rank_loads import SLOTS, RankLoad
from tamaracktray import wait_queue
from tamaracktray.admission_control import AdmissionControl
from tamaracktray.admission_control.shares import FLOOR_SHARE, compute_shares
from tamaracktray.admission_control.windows import WINDOW_S, ServiceWindow
from tamaracktray.call_building import build_call as build_from_request
from tamaracktray.call_log import CallLog
from tamaracktray.calls import Call, Rank, RefuseCall, SendCall
from tamaracktray.effects import Effect
from tamaracktray.http_messages import Request
from tamaracktray.metrics import NullMetrics
from tamaracktray.outcomes import AttemptPhase
from tamaracktray.protocol import CallerFields
from tamaracktray.refusals import refuse_busy
from tamaracktray.routes import (
    Backend,
    RepeatKind,
    Route,
    RouteIndex,
    RoutingTable,
    Team,
)
from tamaracktray.snapshots import SnapshotCache
from tamaracktray.types import ErrorCode, RunState
from tamaracktray.wait_queue import WaitQueue


class TestRank:
    """Guards against losing a route's urgency for callers with a team."""

    @pytest.mark.parametrize(
        ("team_priority", "rank"), [(None, (2, 2)), (0, (0, 2)), (3, (3, 2))]
    )
    def test_rank_is_the_team_priority_then_the_route_priority(
        self, team_priority, rank
    ):
        route = Route(
            "r", "h", "/", RepeatKind.SAFE, (Backend("s"),), 6.0, 0.4, priority=2
        )
        teams = (Team("t", ("key",), priority=team_priority),)
        index = RouteIndex(RoutingTable(1, (route,), {}, teams))
        request = Request("GET", "/", "/", {}, {"host": "h"})
        built = build_from_request(0.0, index, request, CallerFields("1", key="key"))
        assert built.unwrap().rank == rank


class TestQueueOrder:
    """Guards against serving less urgent routes of a team first."""

    def test_route_priority_orders_calls_of_equal_team_priority(self):
        gateway = Gateway(worker("w", max_batch=1))
        first = build_call("1", SAFE)
        gateway.arrive(first)
        gateway.arrive(build_call("later", SAFE, priority=1, route_priority=2))
        gateway.arrive(build_call("urgent", SAFE, priority=1, route_priority=0))
        effects = gateway.end(first, "w", AttemptPhase.ANSWERED)
        assert [item.call_id for item in effects] == ["urgent"]

    def test_team_priority_ranks_before_route_priority(self):
        queue = WaitQueue()
        queue.push(0.0, build_call("a", priority=2, route_priority=0), cost=1.0)
        queue.push(0.0, build_call("b", priority=1, route_priority=2), cost=1.0)
        assert [call.id for call in queue.list_ordered()] == ["b", "a"]

    def test_underserved_sizes_precede_within_a_rank_only(self):
        queue = WaitQueue()
        urgent = build_call("urgent", route_priority=0)
        queue.push(0.0, build_call("cheap", route_priority=1), cost=1.0)
        queue.push(
            0.0, build_call("large", route_priority=1), cost=9.0, is_underserved=True
        )
        queue.push(0.0, urgent, cost=5.0)
        ordered = [call.id for call in queue.list_ordered()]
        assert ordered == ["urgent", "large", "cheap"]

    @given(
        st.lists(
            st.tuples(st.integers(0, 3), st.booleans(), st.integers(0, 5)), max_size=20
        ),
        st.integers(0, 3),
    )
    def test_one_route_priority_leaves_the_order_as_it_was(self, calls, shared):
        with_routes, without = WaitQueue(), WaitQueue()
        for number, (priority, is_underserved, cost) in enumerate(calls):
            name = str(number)
            options = {"cost": float(cost), "is_underserved": is_underserved}
            call = build_call(name, priority=priority, route_priority=shared)
            with_routes.push(0.0, call, **options)
            without.push(0.0, build_call(name, priority=priority), **options)
        assert [call.id for call in with_routes.list_ordered()] == [
            call.id for call in without.list_ordered()
        ]


URGENT, MIDDLE, LEAST = (1, 0), (1, 1), (1, 2)
EQUAL_MIX = {URGENT: 1.0, MIDDLE: 1.0, LEAST: 1.0}


def play_shortage(mix: dict[Rank, float], seed: int, load: float = 2.0) -> RankLoad:
    """Return counts of 20 s of a load, after the first 4 s of it."""
    played = RankLoad(seed, mix, load)
    played.play(4.0)
    played.forget()
    played.play(20.0)
    return played


class TestShortage:
    """Guards against refusing urgent calls as often as others, and against starvation.

    The load is twice the capacity of the only endpoint.
    """

    @pytest.mark.parametrize("seed", range(5))
    def test_refused_share_falls_with_urgency(self, seed):
        played = play_shortage(EQUAL_MIX, seed)
        assert played.served(URGENT) > played.served(MIDDLE) > played.served(LEAST)
        assert played.served(URGENT) >= 1.4 * played.served_overall
        assert played.shed[LEAST] > played.shed[URGENT]

    @pytest.mark.parametrize("seed", range(5))
    @pytest.mark.parametrize("load", [2.0, 3.0])
    @pytest.mark.parametrize(
        "mix", [EQUAL_MIX, {URGENT: 4, LEAST: 1}, {URGENT: 10, MIDDLE: 1, LEAST: 1}]
    )
    def test_no_rank_starves(self, mix, load, seed):
        played = play_shortage(mix, seed, load)
        for rank in mix:
            assert played.served(rank) >= 0.25 * played.served_overall

    def test_rank_below_its_floor_goes_first(self):
        control = AdmissionControl()
        urgent = build_call("u", route_priority=0)
        least = build_call("l", route_priority=1)
        for call in (urgent, least):
            control.admit(0.0, call, 1.0)
        control.note_started(0.0, urgent, 1.0)
        assert not control.is_below_floor(0.0, least)
        control.note_refused(0.0, least)
        assert control.is_below_floor(0.0, least)
        assert not control.is_below_floor(0.0, urgent)
        queue = WaitQueue()
        queue.push(0.0, urgent, cost=1.0)
        queue.push(0.0, least, cost=1.0, is_below_floor=True)
        assert [call.id for call in queue.list_ordered()] == ["l", "u"]

    def test_slots_stay_in_use(self):
        """Guards against a spiral of fewer starts and more refusals."""
        played = play_shortage(EQUAL_MIX, 1)
        started_s = sum(played.started_s.values())
        assert started_s >= 0.9 * SLOTS * 20.0

    def test_refusal_is_the_one_for_lack_of_capacity(self):
        played = play_shortage(EQUAL_MIX, 1)
        assert {item.refusal.code for item in played.shed_effects} == {
            ErrorCode.OVERLOADED
        }
        assert {item.refusal.run for item in played.shed_effects} == {RunState.NOT_RUN}

    def test_shedding_ends_with_the_shortage(self):
        played = play_shortage(EQUAL_MIX, 1)
        played.load = 0.5
        played.play(WINDOW_S + 1.0)
        played.forget()
        played.play(5.0)
        assert not played.shed.total()


class TestWithoutShortage:
    """Guards against refusing calls on arrival where today's order suffices."""

    @pytest.mark.parametrize("seed", range(3))
    def test_nothing_is_shed_in_calm(self, seed):
        played = RankLoad(seed, EQUAL_MIX, 0.4)
        played.play(20.0)
        assert not played.refused.total()

    @pytest.mark.parametrize("load", [0.9, 2.0])
    def test_one_rank_is_served_as_before(self, load, monkeypatch):
        played = RankLoad(1, {MIDDLE: 1.0}, load)
        played.play(10.0)
        monkeypatch.setattr(AdmissionControl, "admit", lambda *args, **options: True)
        before = RankLoad(1, {MIDDLE: 1.0}, load)
        before.play(10.0)
        assert played.decisions == before.decisions
        assert not played.shed.total()

    def test_service_without_an_engine_is_not_shed(self):
        control = AdmissionControl()
        call = build_call("1", SAFE)
        assert all(control.admit(0.0, call, 0.0) for _ in range(9))


class TestAdmissionControl:
    """Guards against stale measurements and against shares that favour a route."""

    def build_short(self, now: float = 0.0) -> AdmissionControl:
        """Return a control in a shortage that takes a tenth of what is offered."""
        control = AdmissionControl()
        for number in range(20):
            rank = number % 2
            control.admit(now, build_call("x", route_priority=rank), 1.0)
        control.note_started(now, build_call("x"), 1.0)
        control.note_started(now, build_call("x"), 1.0)
        control.note_refused(now, build_call("x"))
        return control

    def count_admitted(self, control: AdmissionControl, now: float, **fields) -> int:
        calls = [build_call("x", route_priority=1, **fields) for _ in range(20)]
        return sum(control.admit(now, call, 1.0) for call in calls)

    def test_shortage_is_shed(self):
        assert self.count_admitted(self.build_short(), 0.0) <= 3

    @pytest.mark.parametrize("now", [100.0 + WINDOW_S, 1_000.0, 99.0])
    def test_stalled_process_or_jumped_clock_admits_everything(self, now):
        control = self.build_short(100.0)
        assert self.count_admitted(control, now) == 20

    @pytest.mark.parametrize("cost_s", [1e-12, 1e9])
    def test_costs_of_any_scale_expire(self, cost_s):
        control = AdmissionControl()
        for number in range(100):
            call = build_call("x", route_priority=number % 2)
            control.admit(number * 0.2, call, cost_s)
            control.note_started(number * 0.2, call, cost_s)
            control.note_refused(number * 0.2, call)
        assert self.count_admitted(control, 30.0) == 20

    def test_stated_token_counts_are_bounded_by_the_time_of_the_route(
        self, monkeypatch
    ):
        """Guards against one caller whose counts shrink the shares of all ranks."""
        costs_s = []
        monkeypatch.setattr(
            AdmissionControl,
            "admit",
            lambda self, now, call, cost_s, **options: costs_s.append(cost_s) or True,
        )
        gateway = Gateway(engine("e", max_batch=1))
        gateway.arrive(build_call("1", output_tokens=10**9))
        gateway.arrive(build_call("2", prompt_tokens=10**9))
        assert costs_s == [STREAM.timeout_s] * 2

    def test_everything_is_admitted_without_starts(self):
        control = AdmissionControl()
        for rank in (0, 1):
            control.admit(0.0, build_call("x", route_priority=rank), 1.0)
        control.note_refused(0.0, build_call("x"))
        assert self.count_admitted(control, 0.0) == 20

    def test_routes_whose_calls_alternate_get_the_same_share(self):
        control = self.build_short()
        admitted = Counter()
        for _ in range(60):
            for name in ("a", "b"):
                route = msgspec.structs.replace(STREAM, name=name)
                call = build_call("x", route, route_priority=0)
                admitted[name] += control.admit(0.0, call, 1.0)
        assert admitted["a"] == admitted["b"] > 0

    def test_underserved_size_takes_the_credit_of_the_next_call(self):
        control = self.build_short()
        call = build_call("x", route_priority=1)
        while control.admit(0.0, call, 1.0):
            pass
        assert control.admit(0.0, call, 1.0, is_underserved=True)
        assert not control.admit(0.0, call, 1.0, is_underserved=True)


class TestShares:
    """Guards against shares beyond the capacity and below the floor."""

    @given(
        st.dictionaries(
            st.tuples(st.integers(0, 3), st.integers(0, 3)),
            st.floats(0.01, 100.0),
            min_size=1,
        ),
        st.floats(0.01, 500.0),
    )
    def test_shares_fit_and_fall_with_urgency(self, offered_s_by_rank, capacity_s):
        share_by_rank = compute_shares(offered_s_by_rank, capacity_s)
        offered_s = sum(offered_s_by_rank.values())
        admitted_s = sum(
            share * offered_s_by_rank[rank] for rank, share in share_by_rank.items()
        )
        overall = min(capacity_s / offered_s, 1.0)
        assert admitted_s == pytest.approx(overall * offered_s)
        shares = [share_by_rank[rank] for rank in sorted(share_by_rank)]
        assert all(share >= later - 1e-9 for share, later in itertools.pairwise(shares))
        assert shares[-1] >= FLOOR_SHARE * overall - 1e-9
        assert shares[0] <= 1.0 + 1e-9


class TestDisplacement:
    """Guards against a full queue of less urgent calls that blocks urgent ones."""

    @pytest.fixture(autouse=True)
    def small_queue(self, monkeypatch):
        monkeypatch.setattr(wait_queue, "MAX_WAITING", 2)

    def fill(self, *ranks: int, **fields) -> Gateway:
        """Return a gateway without free slots, with waiting calls of these ranks."""
        gateway = Gateway(worker("w", max_batch=1))
        gateway.arrive(build_call("running", SAFE))
        for number, rank in enumerate(ranks):
            name = f"{number}-{rank}"
            assert not gateway.arrive(
                build_call(name, SAFE, route_priority=rank, **fields)
            )
        return gateway

    def list_refused(self, effects: list[Effect]) -> list[str]:
        return [item.call_id for item in effects if isinstance(item, RefuseCall)]

    def test_least_urgent_call_is_displaced_and_refused_at_once(self):
        gateway = self.fill(2, 1)
        effects = gateway.arrive(build_call("urgent", SAFE, route_priority=0))
        assert self.list_refused(effects) == ["0-2"]
        (refused,) = effects
        assert refused.refusal.code is ErrorCode.OVERLOADED
        assert refused.refusal.run is RunState.NOT_RUN
        assert "urgent" in gateway.state.waiting
        assert "0-2" not in gateway.state.pending_by_id

    def test_latest_of_equal_calls_is_displaced(self):
        gateway = Gateway(worker("w", max_batch=1))
        gateway.arrive(build_call("running", SAFE))
        for name in ("first", "second"):
            gateway.now += 0.01
            call = build_call(name, SAFE, now=gateway.now, route_priority=1)
            gateway.arrive(call)
        effects = gateway.arrive(build_call("urgent", SAFE, now=gateway.now))
        assert self.list_refused(effects) == ["second"]

    @pytest.mark.parametrize("rank", [1, 2])
    def test_no_more_urgent_call_is_refused_as_before(self, rank):
        gateway = self.fill(1, 1)
        effects = gateway.arrive(build_call("new", SAFE, route_priority=rank))
        assert self.list_refused(effects) == ["new"]

    def test_calls_of_other_services_are_not_displaced(self):
        gateway = Gateway(worker("w", max_batch=1), engine("e", max_batch=1))
        for name, route in (("running", SAFE), ("streaming", STREAM)):
            gateway.arrive(build_call(name, route))
        for name in ("1", "2"):
            gateway.arrive(build_call(name, SAFE, route_priority=2))
        effects = gateway.arrive(build_call("urgent", STREAM, route_priority=0))
        assert self.list_refused(effects) == ["urgent"]

    def test_call_that_can_not_wait_displaces_nothing(self):
        gateway = self.fill(2, 2)
        late = build_call("late", SAFE, now=-5.0, route_priority=0)
        assert self.list_refused(gateway.arrive(late)) == ["late"]

    @pytest.mark.parametrize("option", ["is_resumed", "is_below_floor"])
    def test_broken_streams_and_calls_below_their_floor_stay(self, option):
        queue = WaitQueue()
        for name in ("1", "2"):
            call = build_call(name, route_priority=2)
            assert queue.push(0.0, call, cost=1.0, **{option: True})
        assert not queue.push(0.0, build_call("urgent"), cost=1.0)
        assert queue.take_displaced() is None


class TestEventOrders:
    """Guards against a call that is refused in favour of a less urgent, later one."""

    STEPS = st.lists(
        st.tuples(
            st.sampled_from(("arrive", "arrive", "answer", "full", "tick")),
            st.integers(0, 3),
            st.sampled_from((0.0, 0.01, 0.03, 0.06)),
        ),
        max_size=60,
    )

    @settings(max_examples=400)
    @given(STEPS)
    def test_no_waiting_call_is_passed_by_a_less_urgent_later_one(self, steps):
        # Floors are the exception to this rule; TestShortage checks them.
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(wait_queue, "MAX_WAITING", 3)
            patch.setattr(AdmissionControl, "is_below_floor", lambda *args: False)
            self.play(steps)

    def test_slot_that_is_free_again_after_a_pause_goes_to_the_urgent_call(self):
        gateway = Gateway(engine("e-0", max_batch=1), engine("e-1", max_batch=2))
        calls = [build_call(str(number)) for number in range(4)]
        endpoint_ids = [sent(gateway.arrive(call)) for call in calls]
        (endpoint_id,) = endpoint_ids[0]
        gateway.end(calls[0], endpoint_id, AttemptPhase.REFUSED)
        gateway.now += 0.06
        later = build_call("later", now=gateway.now, route_priority=1)
        effects = gateway.arrive(later)
        assert [item.call_id for item in effects] == ["3"]

    def play(self, steps: list[tuple[str, int, float]]) -> None:
        gateway = Gateway(
            engine("e-0", max_batch=1, cold_s=9.0), engine("e-1", max_batch=2)
        )
        calls_by_id: dict[str, Call] = {}
        endpoint_by_running: dict[str, str] = {}
        waiting: dict[str, Call] = {}
        for number, (what, choice, seconds) in enumerate(steps):
            gateway.now += seconds
            if what == "arrive":
                call = build_call(str(number), now=gateway.now, route_priority=choice)
                calls_by_id[call.id] = call
                waiting[call.id] = call
                effects = gateway.arrive(call)
            elif what == "tick":
                effects = gateway.tick(0.0, "e-0", "e-1")
            elif not endpoint_by_running:
                continue
            else:
                name = list(endpoint_by_running)[choice % len(endpoint_by_running)]
                phase = AttemptPhase.ANSWERED if what == "answer" else None
                effects = gateway.end(
                    calls_by_id[name],
                    endpoint_by_running.pop(name),
                    phase or AttemptPhase.REFUSED,
                    status=200,
                )
            for effect in effects:
                if isinstance(effect, SendCall):
                    endpoint_by_running[effect.call_id] = effect.endpoint_id
                    sent_call = waiting.pop(effect.call_id, None)
                    if sent_call is not None:
                        self.check_not_passed(sent_call, waiting)
                elif isinstance(effect, RefuseCall):
                    refused = waiting.pop(effect.call_id, None)
                    is_removed_for_another = what == "arrive" and not effect.is_shed
                    if refused is not None and is_removed_for_another:
                        self.check_last(refused, waiting)
                    endpoint_by_running.pop(effect.call_id, None)

    def check_not_passed(self, sent_call: Call, waiting: dict[str, Call]) -> None:
        """Check that no more urgent call that came earlier still waits."""
        for call in waiting.values():
            assert call.rank >= sent_call.rank or call.arrived > sent_call.arrived

    def check_last(self, refused: Call, waiting: dict[str, Call]) -> None:
        """Check that no less urgent call that came later keeps its place."""
        for call in waiting.values():
            assert call.rank <= refused.rank or call.arrived < refused.arrived


class CountingMetrics(NullMetrics):
    """Keeps counters by name and label values."""

    def __init__(self) -> None:
        self.counts: Counter[tuple[str, ...]] = Counter()

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        self.counts[(name, *labels.values())] += amount


class TestMetric:
    """Guards against shed calls that operators can't tell from other refusals."""

    @pytest.mark.parametrize("is_shed", [True, False])
    def test_shed_calls_are_counted_by_rank(self, is_shed):
        metrics = CountingMetrics()
        log = CallLog(SnapshotCache(), metrics)
        call = build_call("1", priority=1, route_priority=2)
        decision = RefuseCall("1", refuse_busy(0.1), is_shed=is_shed)
        log.note_refused(call, decision, 1)
        assert metrics.counts["calls_shed", "1-2"] == is_shed
        assert metrics.counts["calls_refused", "overloaded"] == 1


class TestWindowClock:
    def test_event_that_is_reduced_late_keeps_the_measurements(self):
        """Guards against shedding that stops at each attempt's end."""
        window = ServiceWindow()
        window.note_offered(1.0, URGENT, 0.5)
        window.note_refused(1.1)
        window.note_started(1.09, URGENT, 0.5)
        assert (window.refused, window.offered_s, window.started_s) == (1, 0.5, 0.5)

    def test_clock_that_jumps_back_empties_the_window(self):
        window = ServiceWindow()
        window.note_refused(100.0)
        window.note_offered(1.0, URGENT, 0.5)
        assert (window.refused, window.offered_s) == (0, 0.5)
