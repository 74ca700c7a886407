"""Binds calls to a routing table: route, services, team and regions.

These facts hold only as long as the table does. A call that is still open when another
table comes into force is bound again, and ends if that table doesn't allow it.
"""

import msgspec
from returns.result import Failure, Result, Success

from tamaracktray.calls import Call
from tamaracktray.hashing import HASH_RANGE, hash_text
from tamaracktray.routes import RepeatKind, Route, RouteIndex, Team
from tamaracktray.types import ErrorCode, Refusal, RunState


class Binding(msgspec.Struct, frozen=True):
    """What a routing table says about a call; ``team`` is ``None`` without a key."""

    route: Route
    team: Team | None

    @property
    def regions(self) -> frozenset[str]:
        """Return the regions in which the call may run; an empty set allows all."""
        return intersect_regions(self.route, self.team)

    @property
    def team_name(self) -> str:
        """Return the name of the team, or an empty text."""
        return self.team.name if self.team is not None else ""


def find_binding(
    index: RouteIndex, host: str, path: str, key: str
) -> Result[Binding, Refusal]:
    """Return what the table says about a call, or the refusal if it forbids it.

    The refusal's status is 404 if no route matches, 401 if the key is missing or
    unknown, and 503 if the route has no service or endpoints can't be told the team. A
    public route needs no key, but an unknown one is not ignored there: it may belong to
    a team with regions of its own.
    """
    route = index.find_route(host, path)
    if route is None:
        message = "no route matches the host and path"
        return Failure(Refusal(ErrorCode.NOT_FOUND, message, RunState.NOT_RUN, 404))
    team = index.find_team(key) if key else None
    is_open = not index.needs_keys or (route.is_public and not key)
    if team is None and not is_open:
        message = "the key is unknown" if key else "a key is needed"
        return Failure(Refusal(ErrorCode.UNAUTHORIZED, message, RunState.NOT_RUN, 401))
    if not any(backend.weight > 0 for backend in route.backends):
        return Failure(_refuse_for_good("the route has no service"))
    if team is not None and team.name in index.unsendable_teams:
        return Failure(_refuse_for_good("the name of the team can't be sent"))
    return Success(Binding(route, team))


def _refuse_for_good(message: str) -> Refusal:
    """Return the refusal of calls that no endpoint gets under this table."""
    return Refusal(ErrorCode.NO_ENDPOINT, message, RunState.NOT_RUN, 503)


def rebind_call(call: Call, index: RouteIndex) -> Result[Call, Refusal]:
    """Return a call as another table has it, or the refusal if that forbids it.

    The deadline and the priorities stay as they were at its arrival.
    """
    found = find_binding(index, call.host, call.path, call.key)
    if isinstance(found, Failure):
        return found
    binding = found.unwrap()
    return Success(
        msgspec.structs.replace(
            call,
            route=_restrict_repeats(binding.route, call.route),
            services=order_services(binding.route, call.request_id),
            team=binding.team_name,
            regions=binding.regions,
            routing_version=index.table.version,
        )
    )


def _restrict_repeats(route: Route, earlier: Route) -> Route:
    """Return a route that allows repeats only if the call's earlier route does, too.

    Whether the answer is a stream stays as it was, since it may have begun.
    """
    is_idempotent = route.is_idempotent and earlier.is_idempotent
    kind = RepeatKind.SAFE if is_idempotent else RepeatKind.UNSAFE
    is_resumable = False
    if earlier.kind is RepeatKind.STREAM:
        kind = RepeatKind.STREAM
        is_resumable = is_idempotent and route.kind is RepeatKind.STREAM
    if (route.kind, route.is_resumable) == (kind, is_resumable):
        return route
    return msgspec.structs.replace(route, kind=kind, is_resumable=is_resumable)


def order_services(route: Route, request_id: str) -> tuple[str, ...]:
    """Return the route's services, starting with one drawn by weight.

    The draw is a function of the request's id and needs no state.
    """
    names = [backend.service for backend in route.backends if backend.weight > 0]
    if len(names) < 2:
        return tuple(names)
    total = sum(backend.weight for backend in route.backends)
    point = hash_text(request_id) / HASH_RANGE * total
    for backend in route.backends:
        point -= backend.weight
        if point < 0 and backend.weight > 0:
            others = [name for name in names if name != backend.service]
            return (backend.service, *others)
    return tuple(names)


def intersect_regions(route: Route, team: Team | None) -> frozenset[str]:
    """Return the regions that both the route and the team allow.

    An empty set allows all regions. If the two have no region in common, the set holds
    an empty name, which matches no region.
    """
    by_route = frozenset(route.allowed_regions)
    by_team = frozenset(team.allowed_regions) if team is not None else frozenset()
    if not by_route or not by_team:
        return by_route or by_team
    return by_route & by_team or frozenset({""})
