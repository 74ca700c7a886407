"""Bounds on distribution traffic and rounds, simulated with fixed seeds.

Guards against plans that fetch more copies than needed from the origin or over a link,
also if instances are killed or stalled or chunks are corrupt.
"""

import pytest

from tamaracktray_emulator.distribution import (
    DistributionPlan,
    OriginDistribution,
    PlannerDistribution,
    RandomDistribution,
)

FAULTS = {"killed": 3, "stalled": 1, "corrupt_share": 0.01}
ORIGIN_COPIES = 1.05
ORIGIN_COPIES_WITH_FAULTS = 1.25
LINK_COPIES = 1.0
UPLOAD_COPIES = 1.5
ROUNDS_FACTOR = 1.3


class TestPlanner:
    @pytest.mark.parametrize("instances", [8, 80])
    def test_without_faults(self, instances):
        report = PlannerDistribution(DistributionPlan(instances)).run()
        assert report.origin_copies <= ORIGIN_COPIES
        assert report.busiest_link <= LINK_COPIES
        assert report.largest_upload <= UPLOAD_COPIES
        assert report.rounds <= ROUNDS_FACTOR * report.bound

    @pytest.mark.parametrize("seed", [1, 2, 3])
    @pytest.mark.parametrize("instances", [8, 40])
    def test_with_faults(self, instances, seed):
        plan = DistributionPlan(instances, seed=seed, max_rounds=500, **FAULTS)
        report = PlannerDistribution(plan).run()
        assert report.rounds < plan.max_rounds
        assert report.origin_copies <= ORIGIN_COPIES_WITH_FAULTS
        assert report.busiest_link <= LINK_COPIES
        assert report.largest_upload <= UPLOAD_COPIES

    @pytest.mark.parametrize("baseline", [RandomDistribution, OriginDistribution])
    def test_baselines_draw_more_from_the_origin(self, baseline):
        plan = DistributionPlan(8)
        planner = PlannerDistribution(plan).run()
        assert baseline(plan).run().origin_copies > planner.origin_copies
