"""Regression bounds for overload, cold endpoints and routing, with fixed seeds.

Guards against goodput that collapses under overload, and against endpoints that crash
because they get more requests than they can run.
"""

import pytest

from tamaracktray.routing import AffinityPolicy, TwoChoicesPolicy
from tamaracktray_emulator.bench import ROUTING_PLAN, measure_load
from tamaracktray_emulator.experiment import (
    LoadPlan,
    SystemExperiment,
    compute_capacity,
)

GOODPUT_SHARE = 0.9
CAPACITY = compute_capacity(LoadPlan(rate=1.0))


def run_experiment(load: float, **fields):
    plan = LoadPlan(rate=load * CAPACITY, **fields)
    return plan, SystemExperiment(plan).run()


class TestOverload:
    @pytest.mark.parametrize("load", [1.5, 2.0, 3.0])
    def test_goodput_holds(self, load):
        at_capacity = run_experiment(1.0)[1].answered_in_time
        plan, report = run_experiment(load)
        assert report.answered_in_time >= GOODPUT_SHARE * at_capacity
        assert report.percentile(0.95) <= plan.deadline_s
        assert (report.falls, report.lost) == (0, 0)

    def test_small_teams_are_served_beside_two_large_ones(self):
        _, report = run_experiment(2.0)
        fair_share = CAPACITY / 10 * LoadPlan(rate=1.0).measured_s
        for team, asked in report.asked_by_team.items():
            answered = report.answered_by_team[team]
            assert answered >= GOODPUT_SHARE * min(asked, fair_share)

    def test_baselines_crash_endpoints(self):
        rows = {row.name: row for row in measure_load(1.0)}
        assert rows["system"].falls == 0
        assert rows["round robin, no gate"].falls > 0
        assert rows["least loaded, no gate"].falls > 0


class TestColdEndpoints:
    @pytest.mark.parametrize("report_loss", [0.0, 0.5, 1.0])
    @pytest.mark.parametrize("load", [0.5, 3.0])
    def test_no_endpoint_crashes(self, load, report_loss):
        _, report = run_experiment(load, report_loss=report_loss, turn_cold_every_s=3.0)
        assert (report.falls, report.lost) == (0, 0)
        assert report.answered_in_time > 0


class TestRouting:
    @pytest.mark.parametrize("report_loss", [0.0, 0.5])
    def test_affinity_finds_more_cached_prefixes(self, report_loss):
        plan = ROUTING_PLAN
        reports = {
            policy: SystemExperiment(plan, policy).run()
            for policy in (AffinityPolicy, TwoChoicesPolicy)
        }
        affinity, baseline = reports[AffinityPolicy], reports[TwoChoicesPolicy]
        assert affinity.cache_hits / affinity.runs > baseline.cache_hits / baseline.runs
        assert affinity.answered_in_time >= baseline.answered_in_time
        assert affinity.percentile(0.95) <= plan.deadline_s
