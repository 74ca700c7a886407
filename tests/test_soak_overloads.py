"""The soak's own overloads, and its checks of what callers are told in them."""

import curio
import pytest

from tamaracktray.types import ErrorCode, Refusal, RunState
from tamaracktray_emulator.soak.callers import Callers
from tamaracktray_emulator.soak.endpoints import SoakEngine
from tamaracktray_emulator.soak.fault_log import FaultLog
from tamaracktray_emulator.soak.faulty_answers import AnswerFault
from tamaracktray_emulator.soak.fleet import RANKED_ROUTES, ZONES, SoakFleet
from tamaracktray_emulator.soak.overload_checks import (
    NOT_RUN_PROMISE,
    RANK_PROMISE,
    RETRY_PROMISE,
    OverloadChecker,
    OverloadPeriod,
)
from tamaracktray_emulator.soak.overload_injector import OverloadInjector
from tamaracktray_emulator.soak.plan import SoakPlan
from tamaracktray_emulator.soak.record import CallKind, Run, SoakCall, SoakRecord

BUSY = Refusal(ErrorCode.OVERLOADED, "all endpoints are busy", RunState.NOT_RUN, 503)


def build_call(name: str, target: str = "/talk/1") -> SoakCall:
    return SoakCall(
        name, CallKind.STREAM, "entry-0", target, b"", "team", 10.5, ended_at=11.0
    )


class TestRefusalCheck:
    """A refusal must be true, and one for lack of room must name a time."""

    def broken(
        self,
        refusal: Refusal | None,
        retry_after: str | None = "0.060",
        *,
        status: int = 503,
        has_run: bool = False,
    ) -> list[str]:
        """Return the promises broken by one refused call."""
        record = SoakRecord()
        call = build_call("1")
        call.status, call.refusal, call.retry_after = status, refusal, retry_after
        record.calls_by_id["1"] = call
        if has_run:
            run = Run(10.6, "e-0", ZONES[0], "/talk/1", b"", "team", has_key=False)
            record.runs_by_id["1"] = [run]
        OverloadChecker(record, FaultLog()).check_refusals()
        return [item.promise for item in record.violations]

    @pytest.mark.parametrize("status", [404, 503])
    def test_refused_call_that_has_run_is_a_violation(self, status):
        """The check by status knows neither the mark nor other statuses."""
        assert self.broken(BUSY, status=status, has_run=True) == [NOT_RUN_PROMISE]
        assert self.broken(BUSY, status=status) == []

    def test_refusal_that_says_nothing_about_a_run_may_have_run(self):
        unknown = Refusal(ErrorCode.OUTCOME_UNKNOWN, "", RunState.UNKNOWN, 502)
        assert self.broken(unknown, None, status=502, has_run=True) == []

    @pytest.mark.parametrize("retry_after", [None, "", "soon", "nan", "inf", "-1"])
    @pytest.mark.parametrize("code", [ErrorCode.OVERLOADED, ErrorCode.NO_ENDPOINT])
    def test_lack_of_room_without_a_time_is_a_violation(self, code, retry_after):
        refusal = Refusal(code, "", RunState.NOT_RUN, 503)
        assert self.broken(refusal, retry_after) == [RETRY_PROMISE]
        assert self.broken(refusal, "2") == []

    def test_unavailable_without_a_code_counts_as_lack_of_room(self):
        assert self.broken(None, None) == [RETRY_PROMISE]
        assert self.broken(None, None, status=500) == []

    def test_other_refusals_need_no_time(self):
        refusal = Refusal(ErrorCode.UNAUTHORIZED, "", RunState.NOT_RUN, 401)
        assert self.broken(refusal, None, status=401) == []


class TestRankCheck:
    """Every rank must get answers in an overload without another fault."""

    def broken(
        self,
        unserved: str = RANKED_ROUTES[-1],
        *,
        fault_end: float = 0.0,
        is_disturbed: bool = False,
    ) -> list[str]:
        """Return the promises broken if calls of one route get no answer."""
        record, log = SoakRecord(), FaultLog()
        log.begin("pause entry-0", 5.0).end = fault_end
        for route in RANKED_ROUTES:
            call = build_call(route, f"/{route}/1")
            call.status = 503 if route == unserved else 200
            record.calls_by_id[route] = call
        earlier = build_call("earlier", f"/{unserved}/2")
        earlier.sent_at, earlier.status = 9.5, 200
        record.calls_by_id["earlier"] = earlier
        period = OverloadPeriod(10.0, 14.0, is_disturbed)
        OverloadChecker(record, log).check_period(period)
        return [item.promise for item in record.violations]

    @pytest.mark.parametrize("route", RANKED_ROUTES)
    def test_rank_without_answers_is_a_violation(self, route):
        assert self.broken(route) == [RANK_PROMISE]

    def test_answers_to_all_ranks_hold(self):
        assert self.broken("") == []

    def test_only_faults_shortly_before_or_in_the_overload_excuse(self):
        assert self.broken(fault_end=6.9) == [RANK_PROMISE]
        assert self.broken(fault_end=7.1) == []
        assert self.broken(is_disturbed=True) == []


class TestOverloadInjector:
    def build(self, tmp_path) -> tuple[SoakFleet, list[SoakEngine], OverloadInjector]:
        """Return a fleet with an engine in each zone, of which none is started."""
        record = SoakRecord()
        fleet = SoakFleet(SoakPlan(1, has_overloads=True), tmp_path, record)
        for number, zone in enumerate(ZONES):
            engine = SoakEngine(fleet.store.server.address, f"e-{number}", "engines")
            engine.prepare(record, zone, fleet.started)
            fleet.endpoints.append(engine)
        callers = Callers(record, 1, fleet.started, 1.0)
        checker = OverloadChecker(record, FaultLog())
        return fleet, fleet.endpoints, OverloadInjector(fleet, callers, checker)

    def test_streams_exceed_twice_the_capacity_and_reach_all_ranks(
        self, tmp_path, monkeypatch
    ):
        fleet, _, injector = self.build(tmp_path)
        fleet.entry_proxies["entry-0"] = None
        sent: list[str] = []

        async def note(entry: str, route: str) -> None:
            sent.append(route)

        async def overload() -> OverloadPeriod:
            async with curio.TaskGroup() as group:
                await injector._overload(group)

        monkeypatch.setattr(injector, "_send", note)
        monkeypatch.setattr(
            "tamaracktray_emulator.soak.overload_injector.MIN_OVERLOAD_S", 1.0
        )
        monkeypatch.setattr(
            "tamaracktray_emulator.soak.overload_injector.MAX_OVERLOAD_S", 1.0
        )
        monkeypatch.setattr(
            "tamaracktray_emulator.soak.overload_injector.SETTLE_S", 0.0
        )
        curio.run(overload)
        capacity = injector._capacity_per_s
        assert capacity == pytest.approx(37.5)
        assert 1.7 * capacity < len(sent) < 3.3 * capacity
        assert set(sent) == set(RANKED_ROUTES)

    def test_routes_of_one_service_differ_in_priority(self, tmp_path):
        fleet, _, _ = self.build(tmp_path)
        fleet.configure()
        routes = fleet.store.objects["config", "main"]["spec"]["routes"]
        priority_by_name = {
            item["name"]: item["priority"]
            for item in routes
            if item["service"] == "engines"
        }
        assert priority_by_name == {"talk-first": 0, "talk": 1, "talk-last": 2}

    def test_one_sound_engine_in_the_home_region_suffices(self, tmp_path):
        fleet, engines, injector = self.build(tmp_path)
        engines[0].crashed_at = 1.0
        engines[1].answer_fault = AnswerFault.WHOLE
        assert not injector._is_disturbed()
        fleet.team_regions = ("region-a",)
        assert injector._is_disturbed()
        fleet.team_regions = ()
        fleet.regions_by_route["talk"] = ("region-a",)
        assert injector._is_disturbed()
        fleet.regions_by_route.clear()
        fleet.store.write("evacuations", ZONES[2], {})
        assert injector._is_disturbed()


class TestOtherSoaks:
    def test_soak_without_overloads_keeps_its_routes_and_slots(self, tmp_path):
        """The option changes sizes, which must not alter the faults of known seeds."""
        fleet = SoakFleet(SoakPlan(1), tmp_path, SoakRecord())
        fleet.configure()
        document = fleet.store.objects["config", "main"]["spec"]
        names = [item["name"] for item in document["routes"]]
        assert names == ["talk", "look", "order"]
        assert document["services"][0]["engine"]["maxBatchSize"] == 16
