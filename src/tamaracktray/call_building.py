"""Turns a caller's request into a call on a route, or into a refusal."""

import hashlib
import itertools

from returns.result import Result

from tamaracktray.call_binding import Binding, find_binding, order_services
from tamaracktray.calls import Call
from tamaracktray.http_messages import Request
from tamaracktray.protocol import CallerFields
from tamaracktray.routes import RouteIndex
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
    now: float,
    index: RouteIndex,
    request: Request,
    fields: CallerFields,
) -> Result[Call, Refusal]:
    """Return the call for a request, or the refusal if the table forbids it."""
    host = request.headers.get("host", "").partition(":")[0].lower()
    path = request.target.partition("?")[0]
    found = find_binding(index, host, path, fields.key)
    return found.map(
        lambda binding: _create_call(now, index, binding, host, path, request, fields)
    )


def _create_call(
    now: float,
    index: RouteIndex,
    binding: Binding,
    host: str,
    path: str,
    request: Request,
    fields: CallerFields,
) -> Call:
    route, team = binding.route, binding.team
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
        host=host,
        path=path,
        key=fields.key,
        routing_version=index.table.version,
        team=binding.team_name,
        priority=priority,
        route_priority=route.priority,
        regions=binding.regions,
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
