"""Load and health of an endpoint, as known to one process."""

import math
from collections import deque

from tamaracktray.budgets import PermitBucket
from tamaracktray.endpoint_limits import RECENT_S, EndpointLimit
from tamaracktray.endpoint_pace.reports import EngineLoad
from tamaracktray.endpoint_pace.weights import EndpointPace
from tamaracktray.hashing import HASH_RANGE, hash_text
from tamaracktray.outcomes import AttemptPhase
from tamaracktray.roster import EndpointRecord

# Backoff of an unreachable or failing endpoint, in seconds; doubles with every
# consecutive failure up to the maximum.
FIRST_BLOCK_S = 0.25
MAX_BLOCK_S = 2.0

# Backoff of an endpoint that was full, in seconds: about one pass of an engine.
FULL_BLOCK_S = 0.05

# Consecutive failures after which an endpoint is blocked.
FAILURES_TO_BLOCK = 2

# Validity of a peer's load report, in seconds.
PEER_COUNT_VALID_S = 1.0

# Validity of an agent's status report, in seconds; agents report twice a second.
STATUS_VALID_S = 1.5

# Time for which an endpoint is avoided after its record proved stale (another endpoint
# or version answered), unless newer information arrives, in seconds. The endpoint list
# lags by up to three heartbeats.
MISDIRECTED_BLOCK_S = 1.5

# Calls whose sending time is remembered.
MAX_RECENT = 32

# Penalty for borrowing a slot at an endpoint that another entry owns, in running calls.
# Each entry adds a fixed part of the spread per endpoint, so that entries borrow at
# different endpoints.
BORROW_PENALTY = 4.0
BORROW_PENALTY_SPREAD = 3.0


class EndpointLoad:
    """Load and health of one endpoint, as known to this process.

    ``in_flight`` counts the calls of this process and ``reserved`` those that are about
    to be moved here from another endpoint. ``is_swapping`` is set while the
    endpoint loads another version on its agent's order; ``swap_at`` is the planned time
    of the next swap. Until ``status_deadline`` the agent's report of the versions takes
    precedence over the endpoint list, which is older. ``is_record_stale`` is set, until
    ``stale_deadline``, if the list is known to be wrong about the endpoint, and
    ``is_superseded`` while it names another endpoint at the same address that started
    later.
    ``last_contact_at`` is the time when the endpoint last sent data, or got a call
    while idle. ``is_owned`` is set if this entry owns the endpoint; slots elsewhere are
    borrowed, which costs ``borrow_penalty`` running calls. ``reported_start_ms`` is a
    later start than listed, as reported by the agent, or 0. ``is_leaving``,
    ``pause_deadline`` and ``limit`` come from the endpoint's own answers.
    """

    __slots__ = (
        "_peer_counts",
        "_peer_expiry",
        "_peer_total",
        "_sent_at",
        "blocked_deadline",
        "borrow_penalty",
        "cold_budget",
        "cold_deadline",
        "failures",
        "last_contact_at",
        "in_flight",
        "limit",
        "_version_by_model",
        "is_owned",
        "is_leaving",
        "is_record_stale",
        "is_superseded",
        "is_swapping",
        "stale_deadline",
        "pace",
        "pause_deadline",
        "record",
        "reported_start_ms",
        "reserved",
        "status_deadline",
        "swap_at",
    )

    def __init__(self, record: EndpointRecord) -> None:
        self.record = record
        self.in_flight = 0
        self.reserved = 0
        self.reported_start_ms = 0
        self.failures = 0
        self.blocked_deadline = 0.0
        self.cold_budget: PermitBucket | None = None
        self.cold_deadline = 0.0
        self.is_swapping = False
        self.swap_at: float | None = None
        self.last_contact_at = 0.0
        self.status_deadline = 0.0
        self.is_record_stale = False
        self.is_superseded = False
        self.stale_deadline = 0.0
        self.is_owned = True
        self.is_leaving = False
        self.pause_deadline = 0.0
        self.borrow_penalty = 0.0
        self.limit: EndpointLimit | None = None
        self.pace = EndpointPace()
        self._sent_at: deque[float] = deque(maxlen=MAX_RECENT)
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
        engine_load: EngineLoad | None = None,
    ) -> None:
        """Apply an agent's status report on the endpoint.

        ``start_time_ms`` is the endpoint's start time in Unix milliseconds, 0 if
        unknown. A later start than listed makes the record stale, since a restarted
        endpoint has lost its weights; a report on an earlier incarnation is ignored.
        """
        if start_time_ms > self.record.start_time_ms > 0:
            self.reported_start_ms = start_time_ms
            self._mark_record_stale(now)
            return
        if 0 < start_time_ms < self.record.start_time_ms:
            return
        self.is_record_stale = False
        self.is_swapping = is_swapping
        self.swap_at = None if swap_in_s is None else now + swap_in_s
        self.status_deadline = now + STATUS_VALID_S
        self._version_by_model = version_by_model
        self.pace.note_report(now, self.status_deadline, engine_load or EngineLoad())

    def expire_status(self, now: float) -> None:
        """Fall back to the endpoint list once the agent's report has expired."""
        if now >= self.status_deadline:
            self.is_swapping = False
            self.swap_at = None
            self._version_by_model = None
        if now >= self.stale_deadline:
            self.is_record_stale = False
        if self.limit is not None and self.limit.is_expired(now):
            self.limit = None

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
        return self.in_flight + self.reserved + self._peer_total

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
        self._sent_at.append(now)
        if self.limit is not None:
            self.limit.budget.take(now)
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

    def note_attempt_end(self, now: float, phase: AttemptPhase) -> None:
        """Record how an attempt ended."""
        if phase is AttemptPhase.ANSWERED:
            self.note_success()
        elif phase is AttemptPhase.NOT_SENT:
            self.note_unreachable(now)
        elif phase is AttemptPhase.WITHDRAWN:
            return
        elif phase is AttemptPhase.MISDIRECTED:
            self.note_misdirected(now)
        elif phase is AttemptPhase.REFUSED:
            self.note_full(now)
        else:
            self.note_failure(now)

    def _mark_record_stale(self, now: float) -> None:
        self.is_record_stale = True
        self.stale_deadline = now + MISDIRECTED_BLOCK_S

    def is_paused(self, now: float) -> bool:
        """Return whether the endpoint has asked for a pause that has not ended."""
        return now < self.pause_deadline

    def measure_silence(self, now: float) -> float:
        """Return the seconds without data while calls are in flight, 0 if none are."""
        return now - self.last_contact_at if self.in_flight else 0.0

    def count_recent(self, now: float) -> int:
        """Return the number of calls sent in the last ``RECENT_S``, bounded."""
        return sum(sent_at > now - RECENT_S for sent_at in self._sent_at)

    def is_reserved(self, now: float) -> bool:
        """Return whether the endpoint's limit leaves it to other entries for now."""
        return self.limit is not None and self.limit.is_reserved(now)

    def has_limit_permit(self, now: float) -> bool:
        """Return whether the endpoint's own limit allows one more call."""
        return self.limit is None or self.limit.has_permit(now)

    def has_cold_permit(self, now: float) -> bool:
        """Return whether the limit for cold endpoints allows one more call."""
        if self.cold_budget is None or now >= self.cold_deadline:
            return True
        return self.cold_budget.has_permit(now)
