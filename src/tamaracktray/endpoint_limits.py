"""Limits that endpoints name for the rate of requests from all entries together.

Only a few entries send requests to a limited endpoint, each at its share of the limit:
the owner of an engine, and the entries that rank first for any other endpoint. They
report the limit to the others, which leave the endpoint to them meanwhile. An entry
that hears of no sender for a while sends at an equal share of all entries, so that it
notices when the limit ends. The entries do so one after the other.
"""

import math

import msgspec

from tamaracktray.budgets import PermitBucket
from tamaracktray.effects import Effect
from tamaracktray.events import Event

# Lowest rate at which a limited endpoint is sent requests, a second. Without any, no
# answer could show that a limit of 0 has ended.
MIN_RATE_PER_S = 0.2

# Senders of an endpoint in addition to one for each request a second of its limit. All
# senders may send a request at the same moment.
EXTRA_SENDERS = 3

# Burst of a sender, in seconds at its rate; it is at least one request.
BURST_S = 0.25

# Time for which a peer's report of a limit holds, in seconds. Peers that still observe
# the limit report it several times in it.
REPORT_TTL_S = 2.0

# Time for which a limit is reported after an answer last named it, in seconds.
NAMED_TTL_S = 10.0

# The endpoint also counts requests from before the limit was known. Those of the last
# ``RECENT_S`` seconds count against the limit of the next ``SETTLING_S`` seconds.
RECENT_S = 1.0
SETTLING_S = 3.0

# Requests that may exceed the limit while it comes into force.
SETTLING_EXTRA = 3.0


class EndpointLimitReceived(Event, frozen=True):
    """An answer named a limit, or came without one from a limited endpoint.

    ``rate_per_s`` is ``None`` if the answer named no limit and NaN if it is unreadable.
    The request was sent at ``sent_at`` or later.
    """

    endpoint_id: str
    rate_per_s: float | None
    sent_at: float


class LogLimit(Effect, frozen=True):
    """Log the limit of an endpoint; ``rate_per_s`` is ``None`` if it has ended.

    ``share_per_s`` is this entry's share and ``is_valid`` whether the named limit could
    be read. ``recent`` counts the requests sent shortly before.
    """

    endpoint_id: str
    rate_per_s: float | None = None
    share_per_s: float = 0.0
    recent: int = 0
    is_valid: bool = True


class EndpointLimit(msgspec.Struct):
    """The limit of one endpoint, and this entry's share of it.

    ``named_at`` is when an answer to this entry last named the limit, ``None`` if only
    peers reported it. Peers' reports hold until ``report_deadline``. The entry is one
    of the senders if ``is_sender`` is set; otherwise it waits ``takeover_s`` seconds
    longer before it sends requests.
    """

    rate_per_s: float
    budget: PermitBucket
    report_deadline: float
    named_at: float | None = None
    is_sender: bool = True
    takeover_s: float = 0.0

    def is_expired(self, now: float) -> bool:
        """Return whether only peers reported the limit, and no longer do."""
        return self.named_at is None and now >= self.report_deadline

    def is_reserved(self, now: float) -> bool:
        """Return whether the endpoint is left to other entries."""
        return not self.is_sender and now < self.report_deadline + self.takeover_s

    def has_permit(self, now: float) -> bool:
        """Return whether this entry may send the endpoint a request now."""
        return not self.is_reserved(now) and self.budget.has_permit(now)

    def is_reported(self, now: float) -> bool:
        """Return whether this entry reports the limit to its peers."""
        return self.named_at is not None and now - self.named_at < NAMED_TTL_S


class LimitShare(msgspec.Struct, frozen=True):
    """The rank of this entry, from 0, among the ``entries`` that may send.

    Those that rank before the number of ``senders`` are the senders.
    """

    rank: int
    senders: int
    entries: int

    @property
    def is_sender(self) -> bool:
        """Return whether this entry is one of the senders."""
        return self.rank < self.senders


def is_valid_limit(rate_per_s: float) -> bool:
    """Return whether a named limit is a rate."""
    return math.isfinite(rate_per_s) and rate_per_s >= 0.0


def create_limit(
    now: float, rate_per_s: float, recent: int, share: LimitShare
) -> EndpointLimit:
    """Return a limit that has just become known.

    ``recent`` is the number of requests that this entry sent in the last ``RECENT_S``.
    """
    limit = EndpointLimit(rate_per_s, PermitBucket(0.0, 0.0), now + REPORT_TTL_S)
    share_limit(now, limit, share)
    budget = limit.budget
    budget.fill(now)
    allowance = SETTLING_S * budget.rate + SETTLING_EXTRA / share.senders
    # After a longer pause, none of the recent requests count any more.
    max_excess = (RECENT_S + SETTLING_S) * budget.rate
    budget.charge(min(max(recent - allowance, 0.0), max_excess))
    return limit


def bound_limit(rate_per_s: float) -> float:
    """Return the rate to apply for a named limit, in requests a second."""
    return max(rate_per_s, MIN_RATE_PER_S)


def count_senders(rate_per_s: float, entries: int) -> int:
    """Return how many entries share the limit of an endpoint."""
    return min(entries, int(min(rate_per_s, entries)) + EXTRA_SENDERS)


def share_limit(now: float, limit: EndpointLimit, share: LimitShare) -> None:
    """Set this entry's share of a limit, among the senders or among all entries."""
    if limit.is_sender and not share.is_sender:
        limit.report_deadline = max(limit.report_deadline, now + REPORT_TTL_S)
    limit.is_sender = share.is_sender
    limit.takeover_s = max(share.rank - share.senders + 1, 0) / limit.rate_per_s
    divisor = share.senders if share.is_sender else share.entries
    share_per_s = limit.rate_per_s / divisor
    limit.budget.resize(share_per_s, max(share_per_s * BURST_S, 1.0))
