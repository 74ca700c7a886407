"""State of an entry: its pending calls and the loads of its endpoints."""

from collections.abc import Mapping

import msgspec

from tamaracktray.admission_control import AdmissionControl
from tamaracktray.beacons import EndpointStatus
from tamaracktray.budgets import RetryBudget
from tamaracktray.calls import Call
from tamaracktray.crash_watch import CrashWatch
from tamaracktray.endpoint_loads import EndpointLoad
from tamaracktray.endpoint_pace.reports import read_status_load
from tamaracktray.fairness import ServedRate, SizeBands
from tamaracktray.notices import EndpointNotices
from tamaracktray.ownership import FleetNode
from tamaracktray.part_watch import PartWatch
from tamaracktray.pending_calls import PendingCall
from tamaracktray.placement import PlacementContext
from tamaracktray.reentry.reentry import Reentry
from tamaracktray.reentry.stated_waits import StatedWaits
from tamaracktray.repeaters import Repeaters
from tamaracktray.routes import RouteIndex
from tamaracktray.spillover.demand import DemandSpillover
from tamaracktray.spillover.policy import SpilloverPolicy
from tamaracktray.wait_queue import WaitQueue

# Weight of a new measurement in the moving average of the start delay; about the last
# 20 count.
START_DELAY_WEIGHT = 0.05

# Share of the fleet's limits that is used; the rest covers stale counts.
USABLE_LIMIT_SHARE = 0.5


class GatewayBounds(msgspec.Struct, frozen=True):
    """Limits that hold for all processes together; times in seconds.

    ``repeat_ratio`` and ``repeat_reserve`` limit retries within ``repeat_window_s``.
    ``cold_burst`` is the number of calls that a cold endpoint accepts at once beyond
    its rate.
    """

    repeat_ratio: float = 0.2
    repeat_reserve: float = 100.0
    repeat_window_s: float = 10.0
    cold_burst: float = 5.0


class GatewayState:
    """Calls and endpoint loads of the entry ``name``.

    ``owned_ids`` are the engines that it owns, assigned among the reachable
    ``entries``; ``ownership_inputs`` holds the inputs of that assignment.
    ``reported_by_peer`` holds the endpoints at which each peer last reported calls.
    ``move_reason_by_id`` are the calls with silent attempts that found no slot
    elsewhere.
    """

    __slots__ = (
        "admission",
        "bands_by_route",
        "bounds",
        "budget_by_service",
        "ownership_inputs",
        "entries",
        "owned_ids",
        "ids_by_address",
        "loads_by_id",
        "loads_by_zone",
        "move_reason_by_id",
        "name",
        "notices",
        "peer_count",
        "pending_by_id",
        "reentry",
        "repeaters",
        "served_rate_by_service",
        "spillover",
        "start_delay_by_service",
        "stated_waits",
        "reported_by_peer",
        "waiting",
    )

    def __init__(self, name: str, bounds: GatewayBounds) -> None:
        self.name = name
        self.bounds = bounds
        self.notices = EndpointNotices()
        self.peer_count = 0
        self.entries: tuple[FleetNode, ...] = ()
        self.owned_ids: frozenset[str] = frozenset()
        self.ownership_inputs: tuple | None = None
        self.ids_by_address: dict[str, list[str]] = {}
        self.reported_by_peer: dict[str, frozenset[str]] = {}
        self.loads_by_id: dict[str, EndpointLoad] = {}
        self.loads_by_zone: dict[str, list[EndpointLoad]] = {}
        self.spillover: SpilloverPolicy = DemandSpillover(name)
        self.pending_by_id: dict[str, PendingCall] = {}
        self.move_reason_by_id: dict[str, str] = {}
        self.waiting = WaitQueue()
        self.admission = AdmissionControl()
        self.reentry = Reentry()
        self.repeaters = Repeaters(name)
        self.stated_waits = StatedWaits()
        self.budget_by_service: dict[str, RetryBudget] = {}
        self.bands_by_route: dict[str, SizeBands] = {}
        self.served_rate_by_service: dict[str, ServedRate] = {}
        self.start_delay_by_service: dict[str, float] = {}

    def replace_entries(self, now: float, entries: tuple[FleetNode, ...]) -> None:
        """Replace the reachable entries, of which the first is this one."""
        self.entries = entries
        self.repeaters.update(now, entries)

    def replace_loads(self, loads_by_id: dict[str, EndpointLoad]) -> None:
        """Replace the endpoint loads and index them by address and by zone."""
        self.loads_by_id = loads_by_id
        self.loads_by_zone = {}
        self.ownership_inputs = None
        self.ids_by_address = {}
        for endpoint_id, load in loads_by_id.items():
            self.loads_by_zone.setdefault(load.record.zone, []).append(load)
            address = str(load.record.address)
            self.ids_by_address.setdefault(address, []).append(endpoint_id)
        for endpoint_ids in self.ids_by_address.values():
            sharing = [loads_by_id[endpoint_id] for endpoint_id in endpoint_ids]
            latest_ms = max(load.record.start_time_ms for load in sharing)
            for load in sharing:
                load.is_superseded = load.record.start_time_ms < latest_ms

    def record_peer_counts(
        self, now: float, peer: str, counts: Mapping[str, int]
    ) -> None:
        """Record a peer's calls in flight, given for endpoints that have any.

        Only endpoints in this report or in the peer's last one are updated.
        """
        self.spillover.note_report(now, peer)
        reported_ids = frozenset(counts)
        for endpoint_id in self.reported_by_peer.get(peer, frozenset()) | reported_ids:
            load = self.loads_by_id.get(endpoint_id)
            if load is not None:
                load.record_peer_load(now, peer, counts.get(endpoint_id, 0))
        self.reported_by_peer[peer] = reported_ids

    def apply_notices(self, load: EndpointLoad) -> None:
        """Apply the notices of an endpoint, leaving and pause, to its load."""
        load.is_leaving = self.notices.is_leaving(load.record)
        load.pause_deadline = self.notices.find_pause_deadline(load.record)

    def note_status(self, now: float, status: EndpointStatus) -> None:
        """Apply an agent's status report to the engine at its address."""
        for endpoint_id in self.ids_by_address.get(status.address, ()):
            self.loads_by_id[endpoint_id].note_status(
                now,
                status.is_swapping,
                status.version_by_model,
                status.swap_in_s,
                status.start_time_ms,
                read_status_load(status),
            )

    def add_call(self, now: float, call: Call) -> PendingCall:
        """Add a call that arrived."""
        pending = PendingCall(call)
        pending.prior_wait_s = self.stated_waits.estimate_prior_wait(now, call)
        pending.is_returning = self.reentry.may_queue(now, call, pending.prior_wait_s)
        self.pending_by_id[call.id] = pending
        return pending

    def note_start(self, now: float, pending: PendingCall) -> None:
        """Record that a call is sent, unless it was sent to another endpoint before."""
        if pending.tried or pending.is_started:
            return
        self.reentry.note_started(now, pending.call, is_returning=pending.is_returning)

    def record_start_delay(
        self, now: float, pending: PendingCall, delay_s: float
    ) -> None:
        """Record the time until an answer began, excluding prefill, in seconds."""
        service = pending.call.services[0]
        load = self.loads_by_id.get(pending.endpoint_id)
        if load is not None:
            self.spillover.note_start_delay(now, service, load.record.zone, delay_s)
        known = self.start_delay_by_service.get(service, delay_s)
        known += START_DELAY_WEIGHT * (delay_s - known)
        self.start_delay_by_service[service] = known

    def count_in_flight(self) -> dict[str, int]:
        """Return the calls of this process by endpoint, for endpoints that have any."""
        return {
            endpoint_id: load.in_flight
            for endpoint_id, load in self.loads_by_id.items()
            if load.in_flight
        }

    def is_limited(self, endpoint_id: str) -> bool:
        """Return whether an endpoint's limit is observed."""
        load = self.loads_by_id.get(endpoint_id)
        return load is not None and load.limit is not None

    def note_progress(self, progress_at_by_call: Mapping[str, float]) -> None:
        """Record when data of the calls' answers last arrived."""
        for call_id, progress_at in progress_at_by_call.items():
            pending = self.pending_by_id.get(call_id)
            if pending is not None:
                pending.progress_at = progress_at
                pending.silent_since = max(pending.silent_since, progress_at)

    def excuse_sending(self, now: float, call_ids: frozenset[str]) -> None:
        """Excuse endpoints whose data is not read while a caller has to read first."""
        for call_id in call_ids:
            pending = self.pending_by_id.get(call_id)
            if pending is not None:
                pending.silent_since = now

    def excuse_silence(self, now: float, held_up_s: float) -> None:
        """Excuse endpoints for a time in which this process did not read their data.

        Nor does that time show that an answer went on.
        """
        if not held_up_s:
            return
        for load in self.loads_by_id.values():
            load.last_contact_at = min(load.last_contact_at + held_up_s, now)
        for pending in self.pending_by_id.values():
            pending.silent_since = min(pending.silent_since + held_up_s, now)
            pending.observed_since = min(pending.observed_since + held_up_s, now)

    def release(self, pending: PendingCall) -> bool:
        """Release the slot that is reserved for a call; return whether there is one."""
        if not pending.reserved_id:
            return False
        load = self.loads_by_id.get(pending.reserved_id)
        if load is not None:
            load.reserved = max(load.reserved - 1, 0)
        pending.reserved_id = ""
        return True

    def drop_parked(self, pending: PendingCall) -> None:
        """Forget the parked attempts of a call, which end."""
        for endpoint_id in pending.parked_by_id:
            load = self.loads_by_id.get(endpoint_id)
            if load is not None:
                load.note_ended()
        pending.parked_by_id.clear()

    def remove(self, call_id: str) -> PendingCall | None:
        """Remove a call and its parked attempts."""
        pending = self.pending_by_id.pop(call_id, None)
        if pending is not None:
            self.drop_parked(pending)
        return pending

    def may_have_run(self, call_id: str) -> bool:
        """Return whether an endpoint may have run a call, or may still run it."""
        pending = self.pending_by_id.get(call_id)
        if pending is None:
            return True
        return pending.may_have_run or bool(pending.endpoint_id)

    def find_bands(self, route: str) -> SizeBands:
        """Return the size bands of a route."""
        return self.bands_by_route.setdefault(route, SizeBands())

    def note_outcome(self, call: Call, *, is_served: bool) -> None:
        """Record whether a call was served."""
        served_rate = self.served_rate_by_service.setdefault(
            call.services[0], ServedRate()
        )
        served_rate.note(is_served=is_served)
        if call.size:
            bands = self.find_bands(call.route.name)
            bands.note_outcome(call.size, is_served=is_served)

    def find_budget(self, service: str) -> RetryBudget:
        """Return this process's share of the retry budget of a service."""
        budget = self.budget_by_service.get(service)
        if budget is None:
            budget = RetryBudget(
                self.bounds.repeat_ratio * USABLE_LIMIT_SHARE,
                self._share_reserve(),
                self.bounds.repeat_window_s,
            )
            self.budget_by_service[service] = budget
        return budget

    def set_peer_count(self, peers: int) -> None:
        """Set the number of peers with which the fleet's limits are shared."""
        if peers == self.peer_count:
            return
        self.peer_count = peers
        for budget in self.budget_by_service.values():
            budget.resize(self._share_reserve())

    def _share_reserve(self) -> float:
        share = USABLE_LIMIT_SHARE / (self.peer_count + 1)
        return self.bounds.repeat_reserve * share * USABLE_LIMIT_SHARE


class GatewayContext(msgspec.Struct):
    """Parts of the process state that the gateway reads.

    ``index`` is of the routing table in force, ``None`` before the first one. A process
    that ``is_closing`` accepts no new calls, and one that ``is_ending`` makes no more
    attempts. ``unix_offset_s`` is the wall clock time minus the monotonic time. The
    endpoint list has been up to date since ``list_valid_from``, which is infinite while
    the store is unavailable.
    """

    state: GatewayState
    placement_context: PlacementContext
    crashes: CrashWatch
    part_crashes: PartWatch
    is_closing: bool
    unix_offset_s: float = 0.0
    list_valid_from: float = 0.0
    is_ending: bool = False
    index: RouteIndex | None = None
