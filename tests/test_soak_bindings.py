"""The soak's own checks of home regions and of endpoints that leave."""

import curio
import msgspec
import pytest

from tamaracktray.types import Address
from tamaracktray_emulator.platform.store import PlatformStoreStandIn
from tamaracktray_emulator.soak.binding_checks import BindingChecker, BindingLog, Homes
from tamaracktray_emulator.soak.fault_log import FaultLog
from tamaracktray_emulator.soak.fleet import REGION_BY_ZONE, ZONES, SoakFleet
from tamaracktray_emulator.soak.plan import SoakPlan
from tamaracktray_emulator.soak.record import (
    Arrival,
    CallKind,
    SoakCall,
    SoakRecord,
)
from tamaracktray_emulator.soak.region_injector import RegionInjector

A, C = ("region-a",), ("region-c",)
ZONE_BY_REGION = {"region-a": "zone-a", "region-c": "zone-c"}


class Trial:
    """A log in which the team moves from region-a to region-c at 10 s."""

    def __init__(self) -> None:
        self.record = SoakRecord()
        self.faults = FaultLog()
        self.log = BindingLog()
        self.log.homes = [Homes(0.0, A, {}), Homes(10.0, C, {})]
        for entry in ("entry-0", "entry-1", "entry-2"):
            self.log.note_start(entry, 0.5)

    def restart(self, entry: str, stopped_at: float, started_at: float) -> None:
        self.log.note_stop(entry, stopped_at)
        self.fault(f"kill {entry}", stopped_at, started_at + 1.0)
        self.log.note_start(entry, started_at)

    def fault(self, name: str, start: float, end: float | None) -> None:
        self.faults.begin(name, start).end = end

    def holds(
        self,
        sent_at: float,
        region: str = "region-a",
        *,
        entry: str = "entry-0",
        target: str = "/look/1",
        took_s: float = 0.01,
    ) -> bool:
        """Return whether a call may arrive in a region."""
        call = SoakCall("1", CallKind.SAFE, entry, target, b"", "team", sent_at)
        self.record.calls_by_id["1"] = call
        zone = ZONE_BY_REGION[region]
        self.record.arrivals = [Arrival(sent_at + took_s, "1", "w-0", zone)]
        self.record.violations.clear()
        self.check()
        assert self.record.check_counts["home regions kept"]
        return not self.record.violations

    def check(self) -> None:
        checker = BindingChecker(self.record, self.faults, self.log, REGION_BY_ZONE)
        checker.check()


class TestBound:
    def test_change_binds_requests_sent_after_the_bound(self):
        trial = Trial()
        assert trial.holds(11.9)
        assert not trial.holds(12.1)
        assert trial.holds(12.1, "region-c")

    def test_change_may_be_followed_from_the_first_moment(self):
        trial = Trial()
        assert not trial.holds(9.0, "region-c")
        assert trial.holds(10.1, "region-c")

    def test_request_that_waited_may_follow_either_configuration(self):
        trial = Trial()
        assert trial.holds(9.5, took_s=4.0)
        assert trial.holds(9.5, "region-c", took_s=4.0)

    def test_homes_of_route_and_team_both_bind(self):
        trial = Trial()
        trial.log.homes = [Homes(0.0, (), {"/look/": C, "/talk/": ()})]
        assert not trial.holds(20.0)
        assert trial.holds(20.0, target="/talk/1")
        trial.log.homes = [Homes(0.0, A, {"/look/": C})]
        assert not trial.holds(20.0)
        assert not trial.holds(20.0, "region-c")

    def test_changes_in_series_leave_those_in_force_and_later_ones(self):
        trial = Trial()
        trial.log.homes = [Homes(0.0, A, {}), Homes(10.0, C, {}), Homes(11.0, C, {})]
        assert not trial.holds(12.5)
        trial.log.homes.append(Homes(12.4, A, {}))
        assert trial.holds(12.5)


class TestFaults:
    def test_entry_out_of_touch_may_follow_the_older_configuration(self):
        trial = Trial()
        trial.fault("silent path store path of entry-0", 9.0, 14.0)
        assert trial.holds(16.9)
        assert not trial.holds(17.1)
        assert not trial.holds(13.0, entry="entry-1")

    @pytest.mark.parametrize("name", ["busy store", "lost answers store writes"])
    def test_fault_of_the_store_puts_the_change_off(self, name):
        trial = Trial()
        trial.fault(name, 11.0, 13.0)
        assert trial.holds(15.9)
        assert not trial.holds(16.1)

    def test_fault_that_lasts_puts_the_change_off(self):
        trial = Trial()
        trial.fault("busy store", 11.0, None)
        assert trial.holds(30.0)

    def test_later_fault_does_not_excuse_what_an_entry_knew(self):
        trial = Trial()
        trial.fault("silent store", 13.0, 20.0)
        trial.fault("pause entry-0", 13.0, 14.0)
        assert not trial.holds(15.0)

    def test_settling_after_a_restore_does_not_disturb_the_store(self):
        trial = Trial()
        trial.fault("restored store settling", 9.0, 30.0)
        assert not trial.holds(12.1)


class TestRestarts:
    def test_new_incarnation_follows_what_its_peers_know_despite_an_older_copy(self):
        """Entries had begun with the regions of a copy that lacked a change."""
        trial = Trial()
        trial.fault("restored store", 14.5, 17.0)
        trial.restart("entry-0", 14.5, 15.0)
        assert not trial.holds(15.5)
        assert trial.holds(15.5, "region-c")

    def test_new_incarnation_may_follow_the_copy_if_no_peer_knew_more(self):
        trial = Trial()
        trial.fault("restored store", 14.5, 17.0)
        for entry in ("entry-0", "entry-1", "entry-2"):
            trial.restart(entry, 14.5, 15.0)
        assert trial.holds(15.5)
        assert trial.holds(19.9)
        assert not trial.holds(20.1)

    @pytest.mark.parametrize("disturbance", ["pause", "stop", "restart"])
    def test_peers_that_are_disturbed_meanwhile_do_not_count(self, disturbance):
        trial = Trial()
        trial.fault("restored store", 14.5, 17.0)
        trial.restart("entry-0", 14.5, 15.0)
        for peer in ("entry-1", "entry-2"):
            if disturbance == "pause":
                trial.fault(f"pause {peer}", 14.9, 15.1)
            elif disturbance == "stop":
                trial.log.note_stop(peer, 14.9)
            else:
                trial.log.note_start(peer, 15.2)
        assert trial.holds(15.5)

    def test_change_that_was_not_due_before_the_outage_does_not_bind_yet(self):
        trial = Trial()
        trial.fault("restored store", 11.5, 14.0)
        trial.restart("entry-0", 11.5, 12.0)
        assert trial.holds(12.5)
        assert trial.holds(12.5, entry="entry-1")
        assert not trial.holds(17.1)

    def test_request_before_a_restart_is_bound_by_its_own_incarnation(self):
        trial = Trial()
        trial.restart("entry-0", 13.0, 13.5)
        assert not trial.holds(12.9, took_s=1.0)


class TestDepartures:
    def left(self, trial: Trial, arrived_at: float, **fields: object) -> bool:
        """Return whether a call may arrive at an endpoint that left at 10 s."""
        trial.log.homes = [Homes(0.0, (), {})]
        trial.log.note_listed("w-0", True, 10.0)
        trial.log.note_listed("w-0", True, 11.0)
        return trial.holds(arrived_at - 0.01, **fields)

    def test_request_after_the_bound_is_a_violation(self):
        assert self.left(Trial(), 11.9)
        assert not self.left(Trial(), 12.1)

    def test_request_that_waited_is_judged_by_its_arrival(self):
        assert not self.left(Trial(), 10.5, took_s=2.0)

    def test_endpoint_that_is_listed_again_may_be_used(self):
        trial = Trial()
        assert not self.left(trial, 12.1)
        trial.log.note_listed("w-0", False, 13.0)
        assert trial.holds(13.1)

    def test_request_that_was_meant_for_another_endpoint_does_not_count(self):
        trial = Trial()
        assert not self.left(trial, 12.1)
        refused = msgspec.structs.replace(trial.record.arrivals[0], is_addressed=False)
        trial.record.arrivals[0] = refused
        trial.record.violations.clear()
        trial.check()
        assert trial.record.violations == []

    def test_outage_of_the_store_does_not_excuse_what_an_entry_knew(self):
        trial = Trial()
        trial.fault("restored store", 13.0, 16.0)
        assert not self.left(trial, 15.0)

    @pytest.mark.parametrize(
        "name",
        ["pause entry-0", "delay path path to w-0", "busy store", "kill entry-0"],
    )
    def test_disturbed_entry_path_or_store_excuses(self, name):
        trial = Trial()
        trial.fault(name, 11.0, 12.0)
        assert self.left(trial, 12.1)

    def test_entry_that_starts_or_ends_is_excused(self):
        starting = Trial()
        starting.log.note_start("entry-0", 11.0)
        assert self.left(starting, 13.9)
        assert not self.left(starting, 14.1)
        ending = Trial()
        ending.log.note_stop("entry-0", 13.0)
        assert self.left(ending, 13.5)


class TestRegionChanges:
    @pytest.mark.parametrize("seed", range(5))
    def test_routes_and_team_keep_a_common_region(self, seed, tmp_path):
        fleet = SoakFleet(SoakPlan(seed), tmp_path, SoakRecord())
        fleet.configure()
        injector = RegionInjector(fleet)
        for _ in range(50):
            injector.change()
            homes = fleet.binding_log.homes[-1]
            for route in fleet.routes:
                target = f"{route['pathPrefix']}1"
                call = SoakCall("1", CallKind.SAFE, "e", target, b"", "team", 0.0)
                regions = {REGION_BY_ZONE[zone] for zone in ZONES}
                assert any(homes.allow(call, region) for region in regions)
        spec = fleet.store.objects["config", "main"]["spec"]
        assert tuple(spec["tenants"][0]["allowedRegions"]) == homes.team_regions
        assert len({item.team_regions for item in fleet.binding_log.homes}) == 3
        assert (
            len({str(item.regions_by_prefix) for item in fleet.binding_log.homes}) > 3
        )


class TestRepeatedWrites:
    def test_what_was_written_since_the_restore_is_not_overwritten(self):
        async def build() -> PlatformStoreStandIn:
            return PlatformStoreStandIn(Address("127.0.0.1", 0))

        store = curio.run(build)
        store.write("config", "main", {"version": 1})
        store.write("servers", "w-0", {"state": "ready"})
        copy = store.copy()
        store.write("config", "main", {"version": 2})
        store.write("evacuations", "zone-a", {})
        store.write("servers", "w-1", {"state": "draining"})
        store.remove("servers", "w-0")
        newest = store.copy()
        store.restore(copy)
        store.write("config", "main", {"version": 3})
        store.write("servers", "w-2", {"state": "ready"})
        store.withdraw("evacuations", "zone-a")
        store.repeat(newest, ("config", "evacuations", "servers"))
        specs = {key: item["spec"] for key, item in store.objects.items()}
        assert specs == {
            ("config", "main"): {"version": 3},
            ("servers", "w-1"): {"state": "draining"},
            ("servers", "w-2"): {"state": "ready"},
        }
