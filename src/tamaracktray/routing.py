"""Choice of an endpoint for one request.

An entry chooses by stale information: the instance list, which lags, and the load
reports in earlier answers. A wrong choice costs a refusal and another attempt.
"""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from typing_extensions import override

from tamaracktray.events import CallerRequest
from tamaracktray.hashing import hash_text
from tamaracktray.types import Instance, Load

LOAD_VALID_S = 10.0
FIRST_BLOCK_S = 0.25
MAX_BLOCK_S = 5.0
ASSUMED_WINDOW = 2
BOUNDED_LOAD_FACTOR = 1.25


class EndpointView:
    """State of one endpoint as known to an entry.

    ``in_flight`` counts this entry's attempts without an answer and
    ``sent_since_report`` those sent after the last load report. ``is_refusing`` is set
    if the endpoint is blocked because of a refusal: its agent is alive, so another
    attempt costs little.
    """

    __slots__ = (
        "blocked_deadline",
        "failures",
        "in_flight",
        "instance",
        "is_refusing",
        "load",
        "load_deadline",
        "sent_since_report",
    )

    def __init__(self, instance: Instance) -> None:
        self.instance = instance
        self.load: Load | None = None
        self.load_deadline = 0.0
        self.sent_since_report = 0
        self.in_flight = 0
        self.failures = 0
        self.blocked_deadline = 0.0
        self.is_refusing = False

    def note_load(self, now: float, load: Load) -> None:
        """Record a load report."""
        self.load = load
        self.load_deadline = now + LOAD_VALID_S
        self.sent_since_report = 0

    def note_sent(self) -> None:
        """Count an attempt that is being sent."""
        self.in_flight += 1
        self.sent_since_report += 1

    def note_ended(self) -> None:
        """Count an attempt as ended."""
        self.in_flight = max(self.in_flight - 1, 0)

    def block(self, now: float, block_s: float | None = None) -> None:
        """Block the endpoint, with a backoff that doubles with consecutive failures.

        ``block_s`` is the time in seconds that the agent requested in a refusal, which
        replaces the backoff.
        """
        self.failures += 1
        self.is_refusing = block_s is not None
        doubled = FIRST_BLOCK_S * 2 ** min(self.failures - 1, 10)
        self.blocked_deadline = now + min(block_s or doubled, MAX_BLOCK_S)

    def unblock(self) -> None:
        """Reset the failure count and the backoff after a success."""
        self.failures = 0
        self.blocked_deadline = 0.0

    def estimate_running(self, now: float) -> int:
        """Return the estimated number of requests at the endpoint, from all entries."""
        if self.load is None or now >= self.load_deadline:
            return self.in_flight
        reported = self.load.running + self.load.queued + self.sent_since_report
        return max(reported, self.in_flight)

    def estimate_window(self, now: float) -> int:
        """Return the estimated concurrency limit of the endpoint."""
        if self.load is None or now >= self.load_deadline:
            return ASSUMED_WINDOW
        return max(self.load.window, 1)

    def estimate_utilization(self, now: float) -> float:
        """Return the utilization of the window with one more request."""
        return (self.estimate_running(now) + 1) / self.estimate_window(now)


class RoutingPolicy(ABC):
    """Chooses one of several endpoints at the same distance."""

    @abstractmethod
    def choose(
        self, now: float, request: CallerRequest, views: Sequence[EndpointView]
    ) -> EndpointView:
        """Return one of ``views``, which is not empty."""


class RoundRobinPolicy(RoutingPolicy):
    """Chooses endpoints in turn; a baseline for measurements."""

    __slots__ = ("_turn",)

    def __init__(self) -> None:
        self._turn = 0

    @override
    def choose(
        self, now: float, request: CallerRequest, views: Sequence[EndpointView]
    ) -> EndpointView:
        self._turn += 1
        ordered = sorted(views, key=lambda view: view.instance.name)
        return ordered[self._turn % len(ordered)]


class LeastLoadedPolicy(RoutingPolicy):
    """Chooses the endpoint with the lowest utilization; a baseline for measurements."""

    @override
    def choose(
        self, now: float, request: CallerRequest, views: Sequence[EndpointView]
    ) -> EndpointView:
        return min(
            views, key=lambda view: (view.estimate_utilization(now), view.instance.name)
        )


class TwoChoicesPolicy(RoutingPolicy):
    """Chooses the endpoint with the lower utilization of two picked by a hash."""

    @override
    def choose(
        self, now: float, request: CallerRequest, views: Sequence[EndpointView]
    ) -> EndpointView:
        ranked = rank_views(request.id, views)
        return min(ranked[:2], key=lambda view: view.estimate_utilization(now))


class AffinityPolicy(RoutingPolicy):
    """Rendezvous hashing with bounded loads.

    The bound is a multiple of the mean utilization, so a popular prefix spreads over as
    many endpoints as it needs. Requests without affinity use ``TwoChoicesPolicy``.
    """

    __slots__ = ("_bound_factor", "_fallback")

    def __init__(self, bound_factor: float = BOUNDED_LOAD_FACTOR) -> None:
        self._bound_factor = bound_factor
        self._fallback = TwoChoicesPolicy()

    @override
    def choose(
        self, now: float, request: CallerRequest, views: Sequence[EndpointView]
    ) -> EndpointView:
        affinity = request.key or request.affinity
        if not affinity:
            return self._fallback.choose(now, request, views)
        running = sum(view.estimate_running(now) for view in views) + 1
        window = sum(view.estimate_window(now) for view in views)
        bound = max(self._bound_factor * running / window, 1.0 / window)
        ranked = rank_views(affinity, views)
        for view in ranked:
            utilization = view.estimate_running(now) / view.estimate_window(now)
            if utilization <= bound:
                return view
        return self._fallback.choose(now, request, views)


def rank_views(text: str, views: Sequence[EndpointView]) -> list[EndpointView]:
    """Return the views in the order of their rendezvous hash with ``text``."""
    return sorted(
        views,
        key=lambda view: hash_text(f"{text}\n{view.instance.name}"),
    )


def group_by_distance(
    views: Sequence[EndpointView], zone: str, region: str
) -> list[list[EndpointView]]:
    """Return the views in ``zone``, in the rest of ``region``, and elsewhere."""
    same_zone: list[EndpointView] = []
    same_region: list[EndpointView] = []
    elsewhere: list[EndpointView] = []
    for view in views:
        if view.instance.zone == zone:
            same_zone.append(view)
            continue
        if view.instance.region == region:
            same_region.append(view)
            continue
        elsewhere.append(view)
    return [same_zone, same_region, elsewhere]


def choose_endpoint(
    now: float,
    request: CallerRequest,
    views: Sequence[EndpointView],
    policy: RoutingPolicy,
    zone: str,
    region: str,
) -> EndpointView | None:
    """Return the nearest endpoint with capacity, else the nearest one, or ``None``.

    If all are blocked, an endpoint that has refused is tried again: it may have entered
    service since, for example during a rollout.
    """
    unblocked = [view for view in views if view.blocked_deadline <= now]
    if not unblocked:
        refusing = [view for view in views if view.is_refusing]
        return min(refusing, key=lambda view: view.blocked_deadline, default=None)
    groups = group_by_distance(unblocked, zone, region)
    for group in groups:
        with_capacity = [
            view for view in group if view.estimate_utilization(now) <= 1.0
        ]
        if with_capacity:
            return policy.choose(now, request, with_capacity)
    for group in groups:
        if group:
            return policy.choose(now, request, group)
    return None
