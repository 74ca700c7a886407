"""Turns a caller's request into a call on a route, or into a refusal."""

import hashlib
import itertools

from returns.result import Failure, Result, Success

from tamaracktray.calls import Call
from tamaracktray.hashing import HASH_RANGE, hash_text
from tamaracktray.http_messages import Request
from tamaracktray.protocol import CallerFields
from tamaracktray.routes import Route, RouteIndex, Team
from tamaracktray.types import ErrorCode, Refusal, RunState

# Number of a prompt's shared parts, from the first, that are watched for crashes.
MAX_PARTS = 32

# Prefix of part digests, which distinguishes their records from those of requests.
PART_PREFIX = "part-"

# Retry-After of a process that has no routing table yet, in seconds.
UNCONFIGURED_RETRY_S = 0.5


_call_numbers = itertools.count(1)


def refuse_unconfigured() -> Refusal:
    """Return the refusal of a process that has no configuration yet."""
    return Refusal(
        ErrorCode.NO_ENDPOINT,
        "this entry has no configuration yet",
        RunState.NOT_RUN,
        503,
        UNCONFIGURED_RETRY_S,
    )


def build_call(
    now: float, index: RouteIndex, request: Request, fields: CallerFields
) -> Result[Call, Refusal]:
    """Return the call for a request, or the refusal if there is none.

    The refusal's status is 404 if no route matches and 401 if the key is missing or
    unknown.
    """
    host = request.headers.get("host", "").partition(":")[0].lower()
    route = index.find_route(host, request.target.partition("?")[0])
    if route is None:
        message = "no route matches the host and path"
        return Failure(Refusal(ErrorCode.NOT_FOUND, message, RunState.NOT_RUN, 404))
    team = index.find_team(fields.key) if fields.key else None
    if team is None and index.needs_keys and not route.is_public:
        message = "the key is unknown" if fields.key else "a key is needed"
        return Failure(Refusal(ErrorCode.UNAUTHORIZED, message, RunState.NOT_RUN, 401))
    return Success(_create_call(now, route, team, request, fields))


def _create_call(
    now: float, route: Route, team: Team | None, request: Request, fields: CallerFields
) -> Call:
    wait_s = route.timeout_s
    if fields.wait_s is not None:
        wait_s = min(wait_s, fields.wait_s)
    priority = route.priority
    if team is not None and team.priority is not None:
        priority = team.priority
    return Call(
        id=str(next(_call_numbers)),
        request_id=fields.request_id,
        route=route,
        services=order_services(route, fields.request_id),
        arrived=now,
        deadline=now + wait_s,
        team=team.name if team is not None else "",
        priority=priority,
        regions=intersect_regions(route, team),
        model=fields.model,
        prompt_tokens=fields.prompt_tokens,
        output_tokens=fields.expected_output or fields.max_output,
        max_output=fields.max_output,
        wait_s=fields.wait_s or 0.0,
        session=fields.session,
        fingerprint=_digest_request(request, fields),
        last_event_id=fields.last_event_id,
        parts=digest_parts(fields.shared_parts),
    )


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


def digest_parts(parts: tuple[str, ...]) -> tuple[str, ...]:
    """Return the digests of prompt parts, whose ids callers choose freely."""
    return tuple(
        PART_PREFIX
        + hashlib.blake2b(part.encode("utf-8", "replace"), digest_size=8).hexdigest()
        for part in dict.fromkeys(parts[:MAX_PARTS])
    )


def _digest_request(request: Request, fields: CallerFields) -> str:
    digest = hashlib.blake2b(digest_size=16)
    for part in (request.method, request.target, fields.key):
        digest.update(part.encode("utf-8", "replace") + b"\n")
    digest.update(request.body)
    return digest.hexdigest()
