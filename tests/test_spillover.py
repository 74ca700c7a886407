"""Spill-over of calls to other regions.

Guards against calls that leave a region with room, against refusals while another
region has room, and against entries that all move to the same target.
"""

from collections import Counter
from collections.abc import Iterable

import msgspec
import structlog

from gateways import (
    ENGINES,
    LAYERS,
    MODEL,
    ORDERS,
    REGION_BY_ZONE,
    SERVICES,
    STREAM,
    Gateway,
    build_call,
    build_route,
    engine,
    sent,
    worker,
)
from tamaracktray.call_log import CallLog
from tamaracktray.calls import (
    Call,
    CallArrived,
    CallAttemptEnded,
    LeaveAttempt,
    RefuseCall,
    ResumeAttempt,
    SendCall,
)
from tamaracktray.crash_watch import CrashWatch
from tamaracktray.effects import Effect
from tamaracktray.endpoint_loads import EndpointLoad
from tamaracktray.gateway import (
    handle_attempt_ended,
    handle_call,
    handle_gateway_tick,
)
from tamaracktray.gateway_fleet import apply_roster
from tamaracktray.gateway_state import GatewayBounds, GatewayContext, GatewayState
from tamaracktray.metrics import ExposedMetrics
from tamaracktray.outcomes import AttemptPhase
from tamaracktray.ownership import FleetNode
from tamaracktray.part_watch import PartWatch
from tamaracktray.placement import PlacementContext, choose_endpoint
from tamaracktray.roster import LoadedModel
from tamaracktray.routes import ModelSpec, RepeatKind
from tamaracktray.snapshots import Collection, SnapshotCache
from tamaracktray.spillover.demand import (
    FIGURES_INTERVAL_S,
    MAX_KINDS,
    REPORT_VALID_S,
    DemandSpillover,
)
from tamaracktray.spillover.policy import LogSpillover
from tamaracktray.spillover.start_delays import RECENT_VALID_S, ZoneDelay

FAR = "zone-c"
PEER = "peer-c"
PEERS = (FleetNode(PEER, "region-c"),)


def build_gateway(*records, owned=("home",), peers=PEERS):
    """Return an entry of zone-a; the peer of region-c has reported no calls."""
    gateway = Gateway(*records, owned=owned)
    gateway.state.spillover.update_entries([FleetNode("entry-0", "region-a"), *peers])
    for peer in peers:
        gateway.state.record_peer_counts(gateway.now, peer.name, {})
    return gateway


def send_calls(gateway: Gateway, count: int, prefix: str = "c", **fields) -> list[str]:
    return [
        endpoint
        for number in range(count)
        for endpoint in sent(gateway.arrive(build_call(f"{prefix}{number}", **fields)))
    ]


class TestRoom:
    def test_no_call_leaves_while_the_own_zone_has_room(self):
        """Guards against leaving because another region runs fewer calls."""
        home = engine("home", max_batch=24)
        gateway = build_gateway(home, engine("far", FAR, max_batch=24))
        assert send_calls(gateway, 22) == ["home"] * 22

    def test_calls_leave_when_the_own_zone_is_full(self):
        home, far = engine("home", max_batch=4), engine("far", FAR, max_batch=12)
        gateway = build_gateway(home, far)
        effects = [e for n in range(13) for e in gateway.arrive(build_call(str(n)))]
        sends = [effect for effect in effects if isinstance(effect, SendCall)]
        assert [item.endpoint_id for item in sends] == ["home"] * 4 + ["far"] * 9
        assert [item.is_spilled for item in sends] == [False] * 4 + [True] * 9
        assert not any(isinstance(effect, RefuseCall) for effect in effects)

    def test_margin_of_the_target_is_left_to_its_owner(self):
        home, far = engine("home", max_batch=4), engine("far", FAR, max_batch=12)
        gateway = build_gateway(home, far)
        assert send_calls(gateway, 20).count("far") == 9

    def test_call_that_waits_is_sent_once_a_target_has_room(self):
        """Guards against a refusal of a queued call while a target has room."""
        home, far = engine("home", max_batch=4), engine("far", FAR, max_batch=12)
        gateway = build_gateway(home, far)
        gateway.state.record_peer_counts(0.0, PEER, {"far": 12})
        assert len(send_calls(gateway, 5)) == 4
        gateway.state.record_peer_counts(0.01, PEER, {"far": 8})
        assert sent(gateway.tick(0.02)) == ["far"]

    def test_call_without_an_endpoint_in_the_own_zone_leaves(self):
        gateway = build_gateway(engine("far", FAR, max_batch=12), owned=())
        assert send_calls(gateway, 1) == ["far"]

    def test_owned_endpoints_elsewhere_come_first(self):
        """Guards against borrowing from others while owned slots are free."""
        records = [
            engine("home"),
            *(engine(f"far-{n}", FAR) for n in range(4)),
            engine("mine", FAR),
        ]
        gateway = build_gateway(*records, owned=("home", "mine"))
        assert send_calls(gateway, 8) == ["home"] * 4 + ["mine"] * 4


class TestLimits:
    def test_evacuated_zone_gets_no_calls(self):
        gateway = build_gateway(engine("home"), engine("far", FAR, max_batch=12))
        gateway.evacuated = frozenset({FAR})
        assert send_calls(gateway, 8) == ["home"] * 4

    def test_zone_with_old_figures_gets_no_calls(self):
        """Guards against taking expired counts of a silent entry for free slots."""
        gateway = build_gateway(engine("home"), engine("far", FAR, max_batch=12))
        gateway.now = REPORT_VALID_S + 0.1
        assert send_calls(gateway, 8) == ["home"] * 4
        gateway.state.record_peer_counts(gateway.now, PEER, {})
        gateway.tick(FIGURES_INTERVAL_S)
        assert send_calls(gateway, 1, "later") == ["far"]

    def test_regions_of_the_call_are_obeyed(self):
        gateway = build_gateway(engine("home"), engine("far", FAR, max_batch=12))
        own = frozenset({"region-a"})
        assert send_calls(gateway, 8, regions=own) == ["home"] * 4
        other = frozenset({"region-c"})
        assert send_calls(gateway, 2, "other", regions=other) == ["far"] * 2


class TestOneRegion:
    def test_zones_of_one_region_compete_by_load_and_distance(self):
        """Guards against a change for deployments of one region."""
        gateway = Gateway(engine("home"), engine("near", "zone-b"))
        assert send_calls(gateway, 4) == ["home", "home", "near", "home"]


class Zones:
    """Zones of one region each with one endpoint, and the policy of one entry."""

    def __init__(
        self,
        *slots: int,
        entry: str = "entry-0",
        named: tuple[str, ...] = (MODEL,),
        served: tuple[str, ...] = (MODEL,),
    ) -> None:
        """Create the zones; ``named`` are the models of the service's configuration.

        The endpoints hold those in ``served``.
        """
        self.names = [f"zone-{number}" for number in range(len(slots))]
        models = tuple(LoadedModel(model, 1, 0, LAYERS) for model in served)
        self.loads = {
            zone: EndpointLoad(
                engine(f"e-{zone}", zone, max_batch=count, models=models)
            )
            for zone, count in zip(self.names, slots, strict=True)
        }
        spec = msgspec.structs.replace(
            SERVICES[ENGINES].engine, models=tuple(ModelSpec(name) for name in named)
        )
        service = msgspec.structs.replace(SERVICES[ENGINES], engine=spec)
        self.now = 0.0
        self.sent: list[str] = []
        self.policy = DemandSpillover(entry)
        for zone in self.names[1:]:
            self.loads[zone].set_owned(entry, is_owned=False)
        self.context = PlacementContext(
            self.names[0],
            {zone: f"region-{zone}" for zone in self.names},
            frozenset(),
            {**SERVICES, ENGINES: service},
            {},
        )

    def set_running(self, *counts: int) -> None:
        """Set the calls at each zone, and let the figures be measured again."""
        for zone, count in zip(self.names, counts, strict=True):
            self.loads[zone].in_flight = count
        self.now += FIGURES_INTERVAL_S

    def choose(self, **fields) -> list[str]:
        call = build_call("c", now=self.now, **fields)
        loads_by_zone = {zone: [load] for zone, load in self.loads.items()}
        groups = self.policy.choose(self.now, call, loads_by_zone, self.context)
        return [zone for zones in groups for zone in zones]

    def send(self, count: int) -> Counter:
        """Send calls to their first zones; return the calls of each zone."""
        zones: list[str] = []
        for _ in range(count):
            zones.append(self.choose()[0])
            self.policy.note_sent(build_call("c"), zones[-1])
        return Counter(zones)

    def spill(self, count: int) -> Counter:
        """Send calls to their first targets; return the calls of each target."""
        zones: list[str] = []
        for _ in range(count):
            targets = [zone for zone in self.choose() if zone != self.names[0]]
            zones.append(targets[0])
            self.policy.note_sent(build_call("c"), zones[-1])
        return Counter(zones)


class TestTriedEndpoints:
    """Calls whose attempts failed, beside regions with and without figures."""

    def build_silent_gateway(self, *records, **fields) -> Gateway:
        """Return an entry whose peer of region-c has not reported for too long."""
        gateway = build_gateway(*records, **fields)
        gateway.now = REPORT_VALID_S + 0.1
        return gateway

    def send_first(self, gateway: Gateway, **fields) -> Call:
        """Return a call that was sent to the endpoint of the own zone."""
        call = build_call("1", now=gateway.now, **fields)
        assert sent(gateway.arrive(call)) == ["home"]
        return call

    def choose(
        self,
        zones: Zones,
        *tried: str,
        reporting: tuple[str, ...] = (),
    ) -> str:
        """Return the chosen zone; each other one has an entry, ``reporting`` report."""
        names = [zone for zone in zones.names if zone != zones.names[0]]
        zones.policy.update_entries(
            FleetNode(f"peer-{zone}", f"region-{zone}") for zone in names
        )
        for zone in reporting:
            zones.policy.note_report(zones.now, f"peer-{zone}")
        load = choose_endpoint(
            zones.now,
            build_call("c", now=zones.now),
            {zone: [load] for zone, load in zones.loads.items()},
            zones.context,
            frozenset(f"e-{zone}" for zone in tried),
            zones.policy,
        )
        return "" if load is None else load.record.zone

    def test_region_without_figures_takes_a_call_that_has_no_other_endpoint(self):
        """Guards against a refusal while a region whose entry is silent has room."""
        gateway = self.build_silent_gateway(engine("home"), engine("far", FAR))
        call = self.send_first(gateway)
        effects = gateway.end(call, "home", AttemptPhase.NOT_SENT)
        (send,) = effects[:1]
        assert send.endpoint_id == "far"
        assert send.is_spilled

    def test_region_that_the_call_may_not_use_stays_excluded(self):
        """Guards against a last resort that ignores the regions of a call."""
        gateway = self.build_silent_gateway(engine("home"), engine("far", FAR))
        call = self.send_first(gateway, regions=frozenset({"region-a"}))
        effects = gateway.end(call, "home", AttemptPhase.NOT_SENT)
        assert sent(effects) == []
        assert any(isinstance(effect, RefuseCall) for effect in effects)

    def test_call_waits_for_an_endpoint_that_it_has_not_tried(self):
        """Guards against calls that leave for a silent region by a failure alone."""
        records = engine("home"), engine("next"), engine("far", FAR)
        gateway = self.build_silent_gateway(*records, owned=("home", "next"))
        call = self.send_first(gateway)
        gateway.load("next").in_flight = 4
        assert sent(gateway.end(call, "home", AttemptPhase.NOT_SENT)) == []
        gateway.load("next").in_flight = 3
        assert sent(gateway.tick(0.01)) == ["next"]

    def test_regions_with_figures_come_first(self):
        """Guards against a silent region that is used before one that reports."""
        zones = Zones(4, 4, 4)
        for reporting in ("zone-1", "zone-2"):
            zones.set_running(0, 0, 0)
            zones.now += 2 * REPORT_VALID_S
            assert self.choose(zones, "zone-0", reporting=(reporting,)) == reporting

    def test_call_waits_for_a_full_region_with_figures(self):
        """Guards against taking expired counts of a silent entry for free slots."""
        zones = Zones(4, 8, 8)
        zones.set_running(0, 8, 0)
        assert self.choose(zones, "zone-0", reporting=("zone-1",)) == ""
        tried = ("zone-0", "zone-1")
        assert self.choose(zones, *tried, reporting=("zone-1",)) == "zone-2"

    def test_other_service_of_the_route_comes_before_regions_without_figures(self):
        """Guards against leaving the region while another service has room there."""
        gateway = self.build_silent_gateway(
            engine("home"),
            worker("spare", "zone-a"),
            engine("far", FAR),
            owned=("home", "spare"),
        )
        route = build_route(RepeatKind.STREAM, ENGINES, ORDERS)
        call = self.send_first(gateway, route=route)
        assert sent(gateway.end(call, "home", AttemptPhase.NOT_SENT)) == ["spare"]

    def test_silent_attempt_is_not_moved_to_a_region_without_figures(self):
        """Guards against leaving an endpoint that may go on, for an unknown one."""
        gateway = self.build_silent_gateway(engine("home"), engine("far", FAR))
        self.send_first(gateway)
        effects = gateway.tick(1.0) + gateway.tick(0.5)
        assert not any(isinstance(effect, LeaveAttempt) for effect in effects)

    def test_call_with_a_parked_attempt_goes_back_to_it(self):
        """Guards against a further run of a call that is not refused anyway."""
        near = engine("near", "zone-b")
        gateway = self.build_silent_gateway(engine("home"), near, engine("far", FAR))
        call = self.send_first(gateway)
        effects = gateway.tick(1.0)
        assert any(isinstance(effect, LeaveAttempt) for effect in effects)
        effects = gateway.end(call, "home", AttemptPhase.SENT, is_parked=True)
        assert sent(effects) == ["near"]
        effects = gateway.end(call, "near", AttemptPhase.NOT_SENT)
        effects += gateway.tick(0.5) + gateway.tick(0.5)
        assert sent(effects) == []
        assert any(isinstance(effect, ResumeAttempt) for effect in effects)


class TestShares:
    def test_early_share_has_hysteresis(self):
        """Guards against a share that is switched on and off by each call."""
        zones = Zones(24, 24)
        zones.set_running(22, 0)
        assert zones.send(20) == {"zone-0": 20}
        zones.set_running(23, 0)
        assert zones.send(20)["zone-1"] > 0
        zones.set_running(20, 0)
        assert zones.send(100)["zone-1"] > 0
        zones.set_running(17, 0)
        assert zones.send(100) == {"zone-0": 100}
        zones.set_running(20, 0)
        assert zones.send(100) == {"zone-0": 100}

    def test_share_rises_with_the_shortage(self):
        zones = Zones(24, 24)
        zones.set_running(23, 0)
        nearly_full = zones.send(100)["zone-1"]
        zones.set_running(21, 0)
        assert 0 < zones.send(100)["zone-1"] < nearly_full < 100

    def test_share_falls_with_the_free_slots_of_the_target(self):
        zones = Zones(24, 24)
        zones.set_running(23, 0)
        empty_target = zones.send(100)["zone-1"]
        zones.set_running(23, 14)
        assert 0 < zones.send(100)["zone-1"] < empty_target

    def test_calls_that_leave_are_spread_by_free_slots(self):
        zones = Zones(24, 24, 24)
        zones.set_running(24, 0, 14)
        spread = zones.spill(100)
        assert spread["zone-1"] > 2 * spread["zone-2"] > 0

    def test_entries_of_one_zone_start_at_different_targets(self):
        """Guards against all entries moving to the freest target at once."""
        first_targets: Counter = Counter()
        for number in range(12):
            zones = Zones(24, 24, 24, 24, entry=f"entry-{number}")
            zones.set_running(24, 0, 2, 4)
            first_targets += zones.spill(1)
        assert len(first_targets) == 3
        assert max(first_targets.values()) <= 7


class TestDelays:
    def test_share_of_a_slowed_link_is_halved(self):
        zones = Zones(24, 24, 24)
        for _ in range(50):
            zones.policy.note_start_delay(0.0, ENGINES, "zone-1", 0.05)
        for _ in range(10):
            zones.policy.note_start_delay(0.1, ENGINES, "zone-1", 0.4)
        zones.now = 0.2
        zones.set_running(24, 0, 0)
        spread = zones.spill(90)
        assert abs(spread["zone-1"] - 30) <= 2

    def test_slowed_link_is_tried_again(self):
        """Guards against a link that stays unused since it is never measured."""
        delay = ZoneDelay(0.05)
        for _ in range(10):
            delay.record(0.1, 0.4)
        assert delay.is_slowed(0.2)
        assert not delay.is_slowed(0.1 + RECENT_VALID_S)

    def test_target_where_the_call_starts_too_late_comes_last(self):
        zones = Zones(24, 24, 24)
        zones.set_running(24, 0, 0)
        late = zones.choose()[1]
        zones.policy.note_start_delay(
            zones.now, ENGINES, late, STREAM.target_latency_s + 0.1
        )
        zones.set_running(24, 0, 0)
        order = zones.choose()
        assert order[0] == "zone-0"
        assert order[-1] == late

    def test_no_call_leaves_early_to_start_after_its_objective(self):
        """Guards against late answers while the own region has room."""
        zones = Zones(24, 24)
        zones.policy.note_start_delay(
            0.0, ENGINES, "zone-1", STREAM.target_latency_s + 0.1
        )
        zones.set_running(23, 0)
        assert zones.send(100) == {"zone-0": 100}


class TestFigures:
    def test_region_without_reachable_entries_is_a_target(self):
        """Guards against idle endpoints after the loss of a region's entries."""
        gateway = build_gateway(engine("home"), engine("far", FAR), peers=())
        assert send_calls(gateway, 5) == ["home"] * 4 + ["far"]

    def test_old_figures_are_better_than_no_endpoint(self):
        gateway = build_gateway(engine("far", FAR), owned=())
        gateway.now = REPORT_VALID_S + 0.1
        assert send_calls(gateway, 1) == ["far"]

    def test_call_bound_to_another_region_needs_no_figures(self):
        """Guards against refusing calls that may run in no other region."""
        gateway = build_gateway(engine("home"), engine("far", FAR))
        gateway.now = REPORT_VALID_S + 0.1
        call = build_call("1", regions=frozenset({"region-c"}))
        (send,) = gateway.arrive(call)[:1]
        assert send.endpoint_id == "far"
        assert not send.is_spilled

    def test_zones_are_not_measured_for_every_call(self, monkeypatch):
        """Guards against work for every call that grows with the fleet."""
        zones = Zones(24, 24, 24)
        zones.set_running(0, 0, 0)
        zones.choose()
        monkeypatch.setattr(
            "tamaracktray.spillover.demand.measure_zone", lambda *args: 1 / 0
        )
        assert zones.send(50) == {"zone-0": 50}

    def test_changes_are_logged_once(self):
        zones = Zones(24, 24)
        for _ in range(5):
            zones.set_running(24, 0)
            zones.choose()
        (change,) = zones.policy.take_changes()
        assert isinstance(change, LogSpillover)
        assert change.is_spilling
        assert (change.slots, change.free_slots) == (24, 0)
        assert list(change.share_by_zone) == ["zone-1"]
        zones.set_running(0, 0)
        zones.choose()
        assert [item.is_spilling for item in zones.policy.take_changes()] == [False]
        assert zones.policy.take_changes() == []

    def test_route_falls_back_to_its_other_service(self):
        """Guards against zones of the first service that hide those of the second."""
        gateway = build_gateway(engine("far", FAR), owned=("far",))
        route = build_route(RepeatKind.STREAM, "missing", ENGINES)
        assert sent(gateway.arrive(build_call("1", route))) == ["far"]


class TestKinds:
    """State by service and model; clients choose the names of the models."""

    def name_models(self, count: int) -> tuple[str, ...]:
        return tuple(f"model-{number}" for number in range(count))

    def note_kinds(self, zones: Zones, models: Iterable[str]) -> list[str]:
        """Place a call for each model; return those that begin to leave early."""
        for model in models:
            zones.choose(model=model)
        changes = zones.policy.take_changes()
        assert all(change.is_spilling for change in changes)
        return [change.model for change in changes]

    def repeat_beside(self, zones: Zones, models: tuple[str, ...]) -> list[str]:
        """Place calls of the usual model beside those of others; return changes."""
        changed: list[str] = []
        for _ in range(20):
            zones.set_running(24, 0)
            changed += self.note_kinds(zones, (MODEL, *models))
        return changed

    def test_unknown_models_do_not_evict_known_ones(self):
        """Guards against clients that clear the state with made-up names."""
        models = self.name_models(MAX_KINDS)
        assert self.repeat_beside(Zones(24, 24), models) == [MODEL]

    def test_models_without_an_endpoint_do_not_evict_others(self):
        """Guards against state for configured models that nothing serves."""
        models = self.name_models(MAX_KINDS)
        zones = Zones(24, 24, named=(MODEL, *models))
        assert self.repeat_beside(zones, models) == [MODEL]

    def test_models_that_the_service_does_not_name_do_not_evict_others(self):
        """Guards against state for models that only endpoints name."""
        models = self.name_models(MAX_KINDS)
        zones = Zones(24, 24, served=(MODEL, *models))
        assert self.repeat_beside(zones, models) == [MODEL]

    def test_model_that_the_service_does_not_name_stays_in_its_region_first(self):
        """Guards against calls without state that leave a region with room."""
        zones = Zones(24, 24, 24, served=(MODEL, "extra"))
        zones.set_running(20, 0, 0)
        call = build_call("c", now=zones.now, model="extra")
        loads_by_zone = {zone: [load] for zone, load in zones.loads.items()}

        def choose() -> str:
            load = choose_endpoint(
                zones.now,
                call,
                loads_by_zone,
                zones.context,
                frozenset(),
                zones.policy,
            )
            return load.record.zone

        assert choose() == "zone-0"
        zones.set_running(24, 12, 0)
        assert choose() == "zone-2"

    def test_calls_without_state_that_leave_are_counted(self):
        """Guards against spill-over that the metric doesn't show."""
        gateway = build_gateway(engine("home", models=()), worker("spare", FAR))
        route = build_route(RepeatKind.STREAM, ENGINES, ORDERS)
        (send,) = gateway.arrive(build_call("1", route))[:1]
        assert (send.endpoint_id, send.is_spilled) == ("spare", True)
        gateway.follow(engine("home", models=()), worker("near", "zone-b"))
        (send,) = gateway.arrive(build_call("2", route))[:1]
        assert (send.endpoint_id, send.is_spilled) == ("near", False)

    def test_call_without_a_model_keeps_its_state(self):
        """Guards against calls that name no model being taken for unknown ones."""
        zones = Zones(24, 24)
        zones.set_running(24, 0)
        assert self.note_kinds(zones, ("",)) == [""]
        assert self.note_kinds(zones, ("",)) == []

    def test_model_gets_its_state_once_an_endpoint_serves_it(self):
        """Guards against a model that stays unknown after its first load."""
        zones = Zones(24, 24, named=(MODEL, "late"))
        zones.set_running(24, 0)
        assert self.note_kinds(zones, ("late",)) == []
        for load in zones.loads.values():
            models = (*load.record.models, LoadedModel("late", 1, 0, LAYERS))
            record = msgspec.structs.replace(load.record, models=models)
            load.replace_record(record)
        assert self.note_kinds(zones, ("late",)) == ["late"]

    def test_least_recently_used_kind_is_evicted(self):
        """Guards against one kind too many that clears the state of all others."""
        models = self.name_models(MAX_KINDS + 1)
        zones = Zones(24, 24, named=models, served=models)
        zones.set_running(24, 0)
        assert self.note_kinds(zones, models[:-1]) == list(models[:-1])
        assert self.note_kinds(zones, models[:1]) == []
        assert self.note_kinds(zones, models[-1:]) == [models[-1]]
        assert self.note_kinds(zones, (models[0], *models[2:])) == []
        assert self.note_kinds(zones, models[1:2]) == [models[1]]


class TestSignals:
    def test_calls_that_leave_are_counted_and_changes_logged(self):
        """Guards against spill-over that an operator can't see."""
        gateway = build_gateway(engine("home", max_batch=1), engine("far", FAR))
        effects = [e for n in range(2) for e in gateway.arrive(build_call(str(n)))]
        gateway.now += FIGURES_INTERVAL_S
        gateway.arrive(build_call("2"))
        effects += gateway.tick(0.0)
        metrics = ExposedMetrics()
        with structlog.testing.capture_logs() as lines:
            call_log = CallLog(SnapshotCache(tuple(Collection), ()), metrics)
            for effect in effects:
                if isinstance(effect, SendCall):
                    call_log.note_attempt(build_call("c"), effect, 1)
                if isinstance(effect, LogSpillover):
                    call_log.note_spillover(effect)
        assert b"tamaracktray_calls_spilled_total 1.0" in metrics.render()
        (line,) = [line for line in lines if line["event"] == "spill-over changed"]
        assert line["is_spilling"]
        assert (line["slots"], line["free_slots"]) == (1, 0)
        assert list(line["share_by_zone"]) == [FAR]


class TestEntries:
    """Several entries of two regions that learn of each other's calls by reports."""

    REPORT_S = 0.2
    STEP_S = 0.01
    CALL_S = 0.5
    SLOTS = 12

    def run(
        self, rate_by_zone: dict[str, float], engines: tuple[int, int] = (4, 4)
    ) -> tuple[Counter, int, int]:
        """Return the calls by entry and target zone, the refused and the excess ones.

        ``rate_by_zone`` are calls a second and ``engines`` those of the two zones. An
        excess call met a full endpoint.
        """
        zones = {"entry-0": "zone-a", "entry-1": "zone-a"}
        zones |= {"entry-2": FAR, "entry-3": FAR}
        records = {
            record.id: record
            for zone, count in zip(("zone-a", FAR), engines, strict=True)
            for record in (
                engine(f"{zone}-{number}", zone, max_batch=self.SLOTS)
                for number in range(count)
            )
        }
        contexts: dict[str, GatewayContext] = {}
        for name, zone in zones.items():
            placement_context = PlacementContext(
                zone, REGION_BY_ZONE, frozenset(), SERVICES, {}
            )
            context = GatewayContext(
                GatewayState(name, GatewayBounds()),
                placement_context,
                CrashWatch(300.0, 1.2),
                PartWatch(300.0, 1.2),
                False,
            )
            context.state.peer_count = len(zones) - 1
            context.state.entries = tuple(
                FleetNode(entry, REGION_BY_ZONE[zone]) for entry, zone in zones.items()
            )
            apply_roster(context, 0.0, records)
            contexts[name] = context
        sent_by_zones: Counter = Counter()
        running: Counter = Counter()
        ends: list[tuple[float, str, SendCall]] = []
        credit_by_zone = dict.fromkeys(rate_by_zone, 0.0)
        turn_by_zone: Counter = Counter()
        refused = excess = 0
        for step in range(500):
            now = step * self.STEP_S
            effects: list[tuple[str, Effect]] = []
            if step % round(self.REPORT_S / self.STEP_S) == 0:
                for name, context in contexts.items():
                    counts = context.state.count_in_flight()
                    for other, receiver in contexts.items():
                        if other != name:
                            receiver.state.record_peer_counts(now, name, counts)
            for _, name, send in [item for item in ends if item[0] <= now]:
                running[send.endpoint_id] -= 1
                event = CallAttemptEnded(
                    now, send.call_id, send.endpoint_id, AttemptPhase.ANSWERED, 200
                )
                effects += [
                    (name, item) for item in handle_attempt_ended(contexts[name], event)
                ]
            ends = [item for item in ends if item[0] > now]
            for zone, rate in rate_by_zone.items():
                credit_by_zone[zone] += rate * self.STEP_S
                while credit_by_zone[zone] >= 1.0:
                    credit_by_zone[zone] -= 1.0
                    turn_by_zone[zone] += 1
                    names = [name for name in zones if zones[name] == zone]
                    name = names[turn_by_zone[zone] % len(names)]
                    call = build_call(f"{zone}-{turn_by_zone[zone]}", now=now)
                    event = CallArrived(now, call)
                    effects += [
                        (name, item) for item in handle_call(contexts[name], event)
                    ]
            for name, context in contexts.items():
                responsive_ids = frozenset(records)
                effects += [
                    (name, item)
                    for item in handle_gateway_tick(context, now, responsive_ids)
                ]
            for name, effect in effects:
                refused += isinstance(effect, RefuseCall)
                if not isinstance(effect, SendCall):
                    continue
                running[effect.endpoint_id] += 1
                excess += running[effect.endpoint_id] > self.SLOTS
                zone = records[effect.endpoint_id].zone
                sent_by_zones[zones[name], zone] += 1
                ends.append((now + self.CALL_S, name, effect))
        return sent_by_zones, refused, excess

    def test_uneven_but_sufficient_room_keeps_calls_at_home(self):
        """Guards against traffic between regions that are unevenly loaded."""
        sent_by_zones, refused, _ = self.run({"zone-a": 60.0, FAR: 10.0})
        assert set(sent_by_zones) == {("zone-a", "zone-a"), (FAR, FAR)}
        assert refused == 0

    def test_owned_endpoints_elsewhere_draw_no_calls_without_a_shortage(self):
        """Guards against traffic to endpoints that an entry owns in another region."""
        sent_by_zones, refused, _ = self.run({"zone-a": 36.0, FAR: 10.0}, (2, 6))
        assert sent_by_zones["zone-a", FAR] <= 0.05 * sent_by_zones["zone-a", "zone-a"]
        assert refused == 0

    def test_few_calls_leave_a_busy_region_with_room(self):
        """Guards against traffic between regions without a shortage."""
        sent_by_zones, refused, _ = self.run({"zone-a": 90.0, FAR: 10.0})
        assert sent_by_zones["zone-a", FAR] <= 0.05 * sent_by_zones["zone-a", "zone-a"]
        assert refused == 0

    def test_no_caller_is_refused_while_the_other_region_has_room(self):
        """Guards against refusals in a region with twice the calls that it can run."""
        sent_by_zones, refused, excess = self.run({"zone-a": 130.0, FAR: 10.0})
        assert sent_by_zones["zone-a", FAR] > 0
        assert (FAR, "zone-a") not in sent_by_zones
        assert refused == 0
        assert excess <= 0.02 * sent_by_zones.total()
