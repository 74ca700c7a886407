"""Choice of the endpoint for a call: capacity, weights, zones and distance.

The fleet ordinarily runs close to its capacity. An endpoint gets at most as many calls
as it processes at a time, so that no queue forms there: that queue could not be
reordered, and waiting in it is what makes calls miss their latency objectives.
"""

import math
from collections.abc import Iterable, Mapping

import msgspec

from tamaracktray.budgets import PermitBucket
from tamaracktray.calls import Call
from tamaracktray.costs import estimate_duration
from tamaracktray.hashing import HASH_RANGE, hash_text
from tamaracktray.roster import EndpointRecord
from tamaracktray.routes import Service

# Backoff of an unreachable or failing endpoint, in seconds; doubles with every
# consecutive failure up to the maximum.
FIRST_BLOCK_S = 0.25
MAX_BLOCK_S = 2.0

# Backoff of an endpoint that was full, in seconds: about one pass of an engine.
FULL_BLOCK_S = 0.05

# Consecutive failures after which an endpoint is blocked.
FAILURES_TO_BLOCK = 2

# Time without data from an endpoint with calls in flight after which others are
# preferred, in seconds. A healthy engine sends data at least every fifth of a second,
# even during the prefill of other prompts.
SILENCE_THRESHOLD_S = 0.4

# Granularity in which overruns of a planned version swap are compared, in seconds.
OVERRUN_STEP_S = 0.25

# Validity of a peer's load report, in seconds.
PEER_COUNT_VALID_S = 1.0

# Validity of an agent's status report, in seconds; agents report twice a second.
STATUS_VALID_S = 1.5

# Time for which an endpoint is avoided after its record proved stale (another endpoint
# or version answered), unless newer information arrives, in seconds. The endpoint list
# lags by up to three heartbeats.
MISDIRECTED_BLOCK_S = 1.5

# Penalty for sending a call to another availability zone or region, in running calls.
# Another call hardly slows an engine down, while links between regions are thin.
ZONE_DISTANCE = 1.0
REGION_DISTANCE = 5.0


# Batch slots that borrowing entries leave free for the endpoint's owner: an upper limit
# and a share of the batch. They cover the calls that the borrower does not know of yet.
BORROW_MARGIN = 3
BORROW_MARGIN_SHARE = 0.25

# Penalty for borrowing a slot at an endpoint that another entry owns, in running calls.
# Each entry adds a fixed part of the spread per endpoint, so that entries borrow at
# different endpoints.
BORROW_PENALTY = 4.0
BORROW_PENALTY_SPREAD = 3.0


class EndpointLoad:
    """Load and health of one endpoint, as known to this process.

    ``in_flight`` counts the calls of this process. ``is_swapping`` is set while the
    endpoint loads another version on its agent's order; ``swap_at`` is the planned time
    of the next swap. Until ``status_deadline`` the agent's report of the versions takes
    precedence over the endpoint list, which is older. ``is_record_stale`` is set, until
    ``stale_deadline``, if the list is known to be wrong about the endpoint.
    ``last_contact_at`` is the time when the endpoint last sent data, or got a call
    while idle. ``is_owned`` is set if this entry owns the endpoint; slots elsewhere are
    borrowed, which costs ``borrow_penalty`` running calls. ``is_leaving`` and
    ``pause_deadline`` come from the endpoint's own answers.
    """

    __slots__ = (
        "_peer_counts",
        "_peer_expiry",
        "_peer_total",
        "blocked_deadline",
        "borrow_penalty",
        "cold_budget",
        "cold_deadline",
        "failures",
        "last_contact_at",
        "in_flight",
        "_version_by_model",
        "is_owned",
        "is_leaving",
        "is_record_stale",
        "is_swapping",
        "stale_deadline",
        "pause_deadline",
        "record",
        "status_deadline",
        "swap_at",
    )

    def __init__(self, record: EndpointRecord) -> None:
        self.record = record
        self.in_flight = 0
        self.failures = 0
        self.blocked_deadline = 0.0
        self.cold_budget: PermitBucket | None = None
        self.cold_deadline = 0.0
        self.is_swapping = False
        self.swap_at: float | None = None
        self.last_contact_at = 0.0
        self.status_deadline = 0.0
        self.is_record_stale = False
        self.stale_deadline = 0.0
        self.is_owned = True
        self.is_leaving = False
        self.pause_deadline = 0.0
        self.borrow_penalty = 0.0
        self._version_by_model: dict[str, int] | None = None
        self._peer_counts: dict[str, tuple[int, float]] = {}
        self._peer_expiry = math.inf
        self._peer_total = 0

    def note_status(
        self,
        now: float,
        is_swapping: bool,
        version_by_model: dict[str, int],
        swap_in_s: float | None = None,
        start_time_ms: int = 0,
    ) -> None:
        """Apply an agent's status report on the endpoint.

        ``start_time_ms`` is the endpoint's start time in Unix milliseconds, 0 if
        unknown. A later start than listed makes the record stale, since a restarted
        endpoint has lost its weights; a report on an earlier incarnation is ignored.
        """
        if start_time_ms > self.record.start_time_ms > 0:
            self._mark_record_stale(now)
            return
        if 0 < start_time_ms < self.record.start_time_ms:
            return
        self.is_record_stale = False
        self.is_swapping = is_swapping
        self.swap_at = None if swap_in_s is None else now + swap_in_s
        self.status_deadline = now + STATUS_VALID_S
        self._version_by_model = version_by_model

    def expire_status(self, now: float) -> None:
        """Fall back to the endpoint list once the agent's report has expired."""
        if now >= self.status_deadline:
            self.is_swapping = False
            self.swap_at = None
            self._version_by_model = None
        if now >= self.stale_deadline:
            self.is_record_stale = False

    def set_owned(self, entry: str, *, is_owned: bool) -> None:
        """Set whether ``entry``, this process, owns the endpoint."""
        if is_owned == self.is_owned and (is_owned or self.borrow_penalty):
            return
        self.is_owned = is_owned
        spread = hash_text(f"{entry}\n{self.record.id}") / HASH_RANGE
        self.borrow_penalty = 0.0
        if not is_owned:
            self.borrow_penalty = BORROW_PENALTY + BORROW_PENALTY_SPREAD * spread

    def replace_record(self, record: EndpointRecord) -> None:
        """Replace the endpoint's record by a newer one from the list."""
        self.record = record
        self.is_record_stale = False

    def find_version(self, model: str) -> int:
        """Return the version of a model that the endpoint holds, or 0."""
        if self._version_by_model is not None:
            return self._version_by_model.get(model, 0)
        loaded = self.record.find_model(model)
        return 0 if loaded is None else loaded.version

    def record_peer_load(self, now: float, peer: str, count: int) -> None:
        """Record how many calls a peer has at the endpoint."""
        previous, _ = self._peer_counts.pop(peer, (0, 0.0))
        self._peer_total += count - previous
        if count:
            deadline = now + PEER_COUNT_VALID_S
            self._peer_counts[peer] = (count, deadline)
            self._peer_expiry = min(self._peer_expiry, deadline)

    def count_running(self, now: float) -> int:
        """Return the number of calls of all processes at the endpoint."""
        if now >= self._peer_expiry:
            self._drop_expired_counts(now)
        return self.in_flight + self._peer_total

    def _drop_expired_counts(self, now: float) -> None:
        self._peer_counts = {
            peer: item for peer, item in self._peer_counts.items() if item[1] > now
        }
        self._peer_total = sum(count for count, _ in self._peer_counts.values())
        deadlines = (deadline for _, deadline in self._peer_counts.values())
        self._peer_expiry = min(deadlines, default=math.inf)

    def note_sent(self, now: float) -> None:
        """Count a call that is being sent to the endpoint."""
        if not self.in_flight:
            self.last_contact_at = now
        self.in_flight += 1
        if self.cold_budget is not None and now < self.cold_deadline:
            self.cold_budget.take(now)

    def note_ended(self) -> None:
        """Count a call that has left the endpoint.

        The count starts at 0 when an endpoint restarts, while calls to its previous
        incarnation still end.
        """
        self.in_flight = max(self.in_flight - 1, 0)

    def note_success(self) -> None:
        """Reset the failure count and the backoff after a successful answer."""
        self.failures = 0
        self.blocked_deadline = 0.0

    def note_failure(self, now: float) -> None:
        """Count a failure and back off after several consecutive ones."""
        self.failures += 1
        if self.failures < FAILURES_TO_BLOCK:
            return
        exponent = min(self.failures - FAILURES_TO_BLOCK, 8)
        block_s = min(FIRST_BLOCK_S * 2**exponent, MAX_BLOCK_S)
        self.blocked_deadline = max(self.blocked_deadline, now + block_s)

    def note_unreachable(self, now: float) -> None:
        """Back off from an endpoint that accepts no connection."""
        self.failures = max(self.failures, FAILURES_TO_BLOCK - 1)
        self.note_failure(now)

    def note_full(self, now: float) -> None:
        """Back off briefly from an endpoint that had no capacity."""
        self.blocked_deadline = max(self.blocked_deadline, now + FULL_BLOCK_S)

    def note_misdirected(self, now: float) -> None:
        """Avoid an endpoint that answered that it is not the listed one."""
        self._mark_record_stale(now)

    def _mark_record_stale(self, now: float) -> None:
        self.is_record_stale = True
        self.stale_deadline = now + MISDIRECTED_BLOCK_S

    def is_paused(self, now: float) -> bool:
        """Return whether the endpoint has asked for a pause that has not ended."""
        return now < self.pause_deadline

    def measure_silence(self, now: float) -> float:
        """Return the seconds without data while calls are in flight, 0 if none are."""
        return now - self.last_contact_at if self.in_flight else 0.0

    def has_cold_permit(self, now: float) -> bool:
        """Return whether the limit for cold endpoints allows one more call."""
        if self.cold_budget is None or now >= self.cold_deadline:
            return True
        return self.cold_budget.has_permit(now)


class PlacementContext(msgspec.Struct, frozen=True):
    """Inputs of placement other than the endpoints' loads.

    ``version_floor_by_model`` is the oldest version to which a call may be sent, and
    ``last_floor_by_model`` the oldest on which a call that was sent may still begin.
    """

    zone: str
    region_by_zone: Mapping[str, str]
    evacuated_zones: frozenset[str]
    services_by_name: Mapping[str, Service]
    version_floor_by_model: Mapping[str, int]
    last_floor_by_model: Mapping[str, int] = {}

    @property
    def region(self) -> str:
        """Return the region of this process."""
        return self.region_by_zone.get(self.zone, "")

    def measure_distance(self, zone: str) -> float:
        """Return the penalty for an availability zone, in running calls."""
        if zone == self.zone:
            return 0.0
        if self.region_by_zone.get(zone, "") == self.region:
            return ZONE_DISTANCE
        return REGION_DISTANCE


def is_eligible(
    call: Call, load: EndpointLoad, placement_context: PlacementContext
) -> bool:
    """Return whether an endpoint may run a call, regardless of its load."""
    record = load.record
    if record.service not in call.services or record.is_draining:
        return False
    if load.is_record_stale or load.is_leaving:
        return False
    if record.zone in placement_context.evacuated_zones:
        return False
    if (
        call.regions
        and placement_context.region_by_zone.get(record.zone) not in call.regions
    ):
        return False
    service = placement_context.services_by_name.get(record.service)
    if service is None:
        return False
    if service.engine is None or not call.model:
        return True
    loaded = record.find_model(call.model)
    if loaded is not None and not loaded.is_whole(service.engine.layers):
        return False
    floor = max(placement_context.version_floor_by_model.get(call.model, 0), 1)
    return load.find_version(call.model) >= floor


def is_available(
    now: float, call: Call, load: EndpointLoad, placement_context: PlacementContext
) -> bool:
    """Return whether an endpoint is eligible for a call and not paused."""
    return not load.is_paused(now) and is_eligible(call, load, placement_context)


def count_free_slots(load: EndpointLoad, now: float) -> int:
    """Return the free slots of an endpoint, 0 while it must get no calls."""
    if load.blocked_deadline > now or load.is_swapping or load.is_paused(now):
        return 0
    if not load.has_cold_permit(now):
        return 0
    slots = load.record.max_batch
    if not load.is_owned:
        slots -= min(BORROW_MARGIN, int(slots * BORROW_MARGIN_SHARE))
    return max(slots - load.count_running(now), 0)


def list_with_capacity(loads: Iterable[EndpointLoad], now: float) -> list[EndpointLoad]:
    """Return the endpoints with free slots."""
    return [load for load in loads if count_free_slots(load, now)]


def choose_endpoint(
    now: float,
    call: Call,
    loads: Iterable[EndpointLoad],
    placement_context: PlacementContext,
    tried: frozenset[str],
) -> EndpointLoad | None:
    """Return the endpoint with the lowest cost that has a free slot, or ``None``.

    Endpoints that are silent cost most, then those whose planned swap the call would
    delay; equal ones are compared by running calls plus the penalties for distance and
    borrowing. Endpoints of the service selected for the call come first; the route's
    other services are used only if the selected one has no available endpoint.
    """
    available = [
        load
        for load in loads
        if load.record.id not in tried
        and is_available(now, call, load, placement_context)
    ]
    for service in call.services:
        candidates = [load for load in available if load.record.service == service]
        if candidates:
            return _choose_cheapest(now, call, candidates, placement_context)
    return None


def _choose_cheapest(
    now: float,
    call: Call,
    candidates: list[EndpointLoad],
    placement_context: PlacementContext,
) -> EndpointLoad | None:
    best: EndpointLoad | None = None
    best_cost = (True, 0, 0.0)
    for load in candidates:
        if not count_free_slots(load, now):
            continue
        distance = (
            placement_context.measure_distance(load.record.zone) + load.borrow_penalty
        )
        is_silent = load.measure_silence(now) > SILENCE_THRESHOLD_S
        overrun = int(
            _measure_overrun(now, call, load, placement_context) / OVERRUN_STEP_S
        )
        cost = (is_silent, overrun, load.count_running(now) + distance)
        if best is None or cost < best_cost:
            best, best_cost = load, cost
    return best


def _measure_overrun(
    now: float, call: Call, load: EndpointLoad, placement_context: PlacementContext
) -> float:
    """Return how long a call would delay a planned version swap, in seconds.

    Once ordered to swap, an engine accepts no calls until its longest one has ended.
    """
    service = placement_context.services_by_name.get(load.record.service)
    if load.swap_at is None or service is None or service.engine is None:
        return 0.0
    return max(now + estimate_duration(call, service.engine) - load.swap_at, 0.0)
