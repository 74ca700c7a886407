"""The soak's limits and notices on endpoints.

Guards against checks and faults of the soak that blame the product for what was right.
"""

import time

import pytest

from tamaracktray.types import Address
from tamaracktray_emulator.soak.endpoints import SoakEngine
from tamaracktray_emulator.soak.fault_log import FaultLog
from tamaracktray_emulator.soak.fleet import ZONES, SoakFleet
from tamaracktray_emulator.soak.limit_injector import LimitInjector
from tamaracktray_emulator.soak.notice_checks import NoticeChecker
from tamaracktray_emulator.soak.notice_injector import NoticeInjector
from tamaracktray_emulator.soak.plan import SoakPlan
from tamaracktray_emulator.soak.record import SoakRecord


@pytest.fixture
def fleet(tmp_path) -> SoakFleet:
    """A fleet with one engine, which is not started."""
    record = SoakRecord()
    fleet = SoakFleet(SoakPlan(1), tmp_path, record)
    engine = SoakEngine(fleet.store.server.address, "e-0", "engines")
    engine.prepare(record, ZONES[0], fleet.started)
    engine.listed_address = Address("127.0.0.1", 9)
    fleet.endpoints.append(engine)
    return fleet


class TestLimitCheck:
    """Seed 9406 counted requests from before a limit that was shorter than 4 s."""

    RATE_PER_S = 1.0
    ALLOWED = 11

    def count_broken(self, fleet: SoakFleet, *arrivals: tuple[int, float]) -> int:
        """Check a limit named 3.2 s ago; arrivals are counts and ages in seconds."""
        record, (engine,) = SoakRecord(), fleet.endpoints
        now = time.monotonic()
        for count, age_s in arrivals:
            engine.arrived_at.extend([now - age_s] * count)
        injector = LimitInjector(fleet, FaultLog(), record)
        injector._check(engine, self.RATE_PER_S, fleet.now - 3.2, now - 3.2)
        return len(record.violations)

    def test_requests_from_before_the_limit_are_not_counted(self, fleet):
        assert self.count_broken(fleet, (10, 3.5), (self.ALLOWED, 1.0)) == 0

    def test_requests_beyond_the_limit_are_counted(self, fleet):
        assert self.count_broken(fleet, (self.ALLOWED + 1, 3.0)) == 1


class TestLeavingNotice:
    """Seed 9405 listed a draining endpoint as ready when its notice ended."""

    @pytest.mark.parametrize("state", ["ready", "draining"])
    def test_endpoint_keeps_its_listed_state(self, fleet, state):
        (engine,) = fleet.endpoints
        fleet.list_endpoint(engine, state=state)
        engine.is_leaving = True
        injector = NoticeInjector(fleet, NoticeChecker(SoakRecord(), FaultLog()))
        injector.end_notice(engine)
        assert not engine.is_leaving
        assert fleet.find_listed_state("e-0") == state
