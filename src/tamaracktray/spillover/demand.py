"""Spill-over by demand: calls leave their region when it has no room for them."""

import math
from collections import OrderedDict
from collections.abc import Iterable, Sequence

import msgspec
from typing_extensions import override

from tamaracktray.calls import Call
from tamaracktray.costs import estimate_prefill
from tamaracktray.hashing import hash_text
from tamaracktray.ownership import FleetNode
from tamaracktray.placement import PlacementContext
from tamaracktray.routes import EngineSpec
from tamaracktray.spillover.policy import LoadsByZone, LogSpillover, SpilloverPolicy
from tamaracktray.spillover.start_delays import ZoneDelays
from tamaracktray.spillover.zone_figures import (
    ZoneFigures,
    compute_shares,
    measure_zone,
    update_spilling,
)

# Age at which the figures of the zones are measured again, in seconds. Placement itself
# checks the slots of the endpoints that it chooses from, so that the age only affects
# the order and the shares of the zones.
FIGURES_INTERVAL_S = 0.05

# Age from which a peer's load report doesn't show room any more, in seconds; peers
# report at least twice a second.
REPORT_VALID_S = 1.0

# Bound of a target's credit in calls, so that a target that was full for long doesn't
# get a burst of calls afterwards.
MAX_CREDIT = 2.0

# Kinds of calls (service and model) of which the state is kept, the least recently used
# one being evicted. Each has a few entries for each zone.
MAX_KINDS = 64


class KindState:
    """Figures, shares and credits for the calls of one service and model.

    ``targets`` are the zones of other regions whose room counts, and ``share_by_zone``
    the shares of the calls that they get early. ``early_credit`` is the running sum of
    these shares less the calls that left. ``credit_by_zone`` spreads calls that leave
    over the targets in proportion to ``weight_by_zone``.
    """

    __slots__ = (
        "credit_by_zone",
        "early_credit",
        "figures_deadline",
        "home",
        "home_zones",
        "is_spilling",
        "other_zones",
        "owned_zones",
        "share_by_zone",
        "targets",
        "weight_by_zone",
    )

    def __init__(self) -> None:
        self.figures_deadline = -math.inf
        self.home = ZoneFigures()
        self.home_zones: tuple[str, ...] = ()
        self.other_zones: tuple[str, ...] = ()
        self.owned_zones: frozenset[str] = frozenset()
        self.targets: tuple[str, ...] = ()
        self.weight_by_zone: dict[str, float] = {}
        self.share_by_zone: dict[str, float] = {}
        self.credit_by_zone: dict[str, float] = {}
        self.is_spilling = False
        self.early_credit = 0.0

    def note_sent(self, zone: str) -> bool:
        """Record the zone that a call is sent to; return whether the call spilled."""
        if self.is_spilling:
            self.early_credit += sum(self.share_by_zone.values())
            self.early_credit = min(self.early_credit, MAX_CREDIT)
        if zone in self.home_zones:
            return False
        self.early_credit = max(self.early_credit - 1.0, 0.0)
        total = sum(self.weight_by_zone.values())
        for target, weight in self.weight_by_zone.items():
            if total:
                self._add_credit(target, weight / total)
        self._add_credit(zone, -1.0)
        return True

    def _add_credit(self, zone: str, amount: float) -> None:
        credit = self.credit_by_zone.get(zone, 0.0) + amount
        self.credit_by_zone[zone] = min(max(credit, -MAX_CREDIT), MAX_CREDIT)

    def reset_credits(self, first_target: str) -> None:
        """Start anew with the target that gets the first call."""
        self.early_credit = 0.0
        self.credit_by_zone = {first_target: 1.0} if first_target else {}


class DemandSpillover(SpilloverPolicy):
    """Lets calls leave their region when it has no room for them.

    Applies to services with an engine in deployments of several regions; otherwise all
    zones compete as they do by ``ZonePreference``. ``entry`` is the name of this entry.
    Kinds are ordered by their last use. ``_home_zones_by_service`` are the zones of the
    own region as last given to a call of an unknown model.
    """

    __slots__ = ("_changes", "_delays", "_entry", "_home_zones_by_service")
    __slots__ += ("_names_by_region", "_region", "_reported_at", "_state_by_kind")

    def __init__(self, entry: str) -> None:
        self._entry = entry
        self._region = ""
        self._delays = ZoneDelays()
        self._home_zones_by_service: dict[str, tuple[str, ...]] = {}
        self._names_by_region: dict[str, list[str]] = {}
        self._reported_at: dict[str, float] = {}
        self._state_by_kind: OrderedDict[tuple[str, str], KindState] = OrderedDict()
        self._changes: list[LogSpillover] = []

    @override
    def choose(
        self,
        now: float,
        call: Call,
        loads_by_zone: LoadsByZone,
        placement_context: PlacementContext,
    ) -> Sequence[tuple[str, ...]]:
        service = placement_context.services_by_name.get(call.services[0])
        regions = set(placement_context.region_by_zone.values())
        if service is None or service.engine is None or len(regions) < 2:
            return (tuple(loads_by_zone),)
        state = self._find_state(
            now, call, service.engine, loads_by_zone, placement_context
        )
        if state is None:
            self._region = placement_context.region
            groups = _group_by_region(loads_by_zone, placement_context)
            self._home_zones_by_service[call.services[0]] = groups[0]
            return groups
        left_s = _measure_time_left(now, call, service.engine)
        targets = self._order_targets(now, call, state, left_s)
        region_by_zone = placement_context.region_by_zone
        groups = [
            (zone,)
            for zone in targets
            if not call.regions or region_by_zone.get(zone) in call.regions
        ]
        if state.home.slots and self._is_allowed_at_home(call):
            is_early = (
                state.is_spilling
                and state.early_credit >= 1.0
                and bool(groups)
                and not self._is_late(now, call, groups[0][0], left_s)
            )
            groups.insert(1 if is_early else 0, state.home_zones)
            return groups
        # For a call without an endpoint in the own region, zones without figures are
        # better than a refusal.
        rest = tuple(zone for zone in state.other_zones if zone not in targets)
        return [state.home_zones, *groups, rest]

    @override
    def note_sent(self, call: Call, zone: str) -> bool:
        if not self._is_allowed_at_home(call):
            return False
        state = self._state_by_kind.get((call.services[0], call.model))
        if state is not None:
            return state.note_sent(zone)
        home_zones = self._home_zones_by_service.get(call.services[0])
        return home_zones is not None and zone not in home_zones

    @override
    def note_report(self, now: float, peer: str) -> None:
        self._reported_at[peer] = now

    @override
    def note_start_delay(
        self, now: float, service: str, zone: str, delay_s: float
    ) -> None:
        self._delays.record(now, service, zone, delay_s)

    @override
    def update_entries(self, entries: Iterable[FleetNode]) -> None:
        self._names_by_region = {}
        for entry in entries:
            if entry.name != self._entry:
                self._names_by_region.setdefault(entry.region, []).append(entry.name)
        known = {name for names in self._names_by_region.values() for name in names}
        self._reported_at = {
            name: at for name, at in self._reported_at.items() if name in known
        }

    @override
    def take_changes(self) -> list[LogSpillover]:
        changes, self._changes = self._changes, []
        return changes

    def _is_allowed_at_home(self, call: Call) -> bool:
        return not call.regions or self._region in call.regions

    def _order_targets(
        self, now: float, call: Call, state: KindState, left_s: float
    ) -> list[str]:
        """Return the targets for a call, those with slots that this entry owns first.

        Targets where the call would start after its objective come last.
        """

        def rank(zone: str) -> tuple[bool, bool, float]:
            is_late = self._is_late(now, call, zone, left_s)
            credit = state.credit_by_zone.get(zone, 0.0)
            return is_late, zone not in state.owned_zones, -credit

        return sorted(state.targets, key=rank)

    def _is_late(self, now: float, call: Call, zone: str, left_s: float) -> bool:
        return self._delays.find_recent(now, call.services[0], zone) > left_s

    def _find_state(
        self,
        now: float,
        call: Call,
        engine: EngineSpec,
        loads_by_zone: LoadsByZone,
        placement_context: PlacementContext,
    ) -> KindState | None:
        """Return the state of a call's kind, ``None`` if its model is unknown.

        Callers choose the names of models, so that unknown ones get no state.
        """
        kind = (call.services[0], call.model)
        state = self._state_by_kind.get(kind)
        if state is not None:
            self._state_by_kind.move_to_end(kind)
        else:
            if not _is_known(call, engine, loads_by_zone):
                return None
            if len(self._state_by_kind) >= MAX_KINDS:
                self._state_by_kind.popitem(last=False)
            state = self._state_by_kind[kind] = KindState()
        if now >= state.figures_deadline:
            self._measure(now, call, state, loads_by_zone, placement_context)
        return state

    def _measure(
        self,
        now: float,
        call: Call,
        state: KindState,
        loads_by_zone: LoadsByZone,
        placement_context: PlacementContext,
    ) -> None:
        """Measure the zones' figures and derive the shares of the targets."""
        # The figures are for all calls of the kind, whatever regions they may run in.
        probe = msgspec.structs.replace(call, regions=frozenset())
        region_by_zone = placement_context.region_by_zone
        self._region = placement_context.region
        home, home_zones, other_zones = ZoneFigures(), [], []
        owned_zones, weight_by_zone = [], {}
        for zone, loads in loads_by_zone.items():
            figures = measure_zone(now, probe, loads, placement_context)
            region = region_by_zone.get(zone, "")
            if region == self._region:
                home_zones.append(zone)
                home.add(figures)
                continue
            other_zones.append(zone)
            if not figures.slots or not self._has_figures(now, region):
                continue
            if figures.owned_free_slots:
                owned_zones.append(zone)
            weight = figures.free_share
            if self._delays.is_slowed(now, call.services[0], zone):
                weight /= 2
            weight_by_zone[zone] = weight
        state.figures_deadline = now + FIGURES_INTERVAL_S
        state.home, state.home_zones = home, tuple(home_zones)
        state.other_zones, state.owned_zones = (
            tuple(other_zones),
            frozenset(owned_zones),
        )
        state.weight_by_zone = weight_by_zone
        state.targets = tuple(sorted(weight_by_zone, key=self._hash_zone))
        state.share_by_zone = compute_shares(home, weight_by_zone)
        is_spilling = bool(weight_by_zone) and update_spilling(state.is_spilling, home)
        if is_spilling != state.is_spilling:
            state.is_spilling = is_spilling
            self._note_change(call, state)
        if not is_spilling or not state.credit_by_zone:
            state.reset_credits(state.targets[0] if state.targets else "")

    def _has_figures(self, now: float, region: str) -> bool:
        """Return whether all reachable entries of a region have reported lately.

        Where none is reachable, the region's endpoints are owned by entries elsewhere.
        """
        return all(
            now - self._reported_at.get(name, -math.inf) <= REPORT_VALID_S
            for name in self._names_by_region.get(region, ())
        )

    def _note_change(self, call: Call, state: KindState) -> None:
        self._changes.append(
            LogSpillover(
                call.services[0],
                call.model,
                state.is_spilling,
                state.home.slots,
                state.home.free_slots,
                dict(state.share_by_zone),
            )
        )

    def _hash_zone(self, zone: str) -> int:
        return hash_text(f"{self._entry}\n{zone}")


def _measure_time_left(now: float, call: Call, engine: EngineSpec) -> float:
    """Return the time until the call's objective, without prefill, in seconds."""
    objective_s = call.route.target_latency_s or math.inf
    return objective_s - (now - call.arrived) - estimate_prefill(call, engine)


def _is_known(call: Call, engine: EngineSpec, loads_by_zone: LoadsByZone) -> bool:
    """Return whether the service names a call's model and an endpoint serves it.

    A call without a model can run at all endpoints of the service.
    """
    if call.model and all(model.name != call.model for model in engine.models):
        return False
    return any(
        load.record.service == call.services[0]
        and (not call.model or load.find_version(call.model) > 0)
        for loads in loads_by_zone.values()
        for load in loads
    )


def _group_by_region(
    loads_by_zone: LoadsByZone, placement_context: PlacementContext
) -> list[tuple[str, ...]]:
    """Return the zones of the own region and then the other ones."""
    home_zones, other_zones = [], []
    for zone in loads_by_zone:
        region = placement_context.region_by_zone.get(zone, "")
        zones = home_zones if region == placement_context.region else other_zones
        zones.append(zone)
    return [tuple(home_zones), tuple(other_zones)]
