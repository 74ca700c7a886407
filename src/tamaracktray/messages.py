"""Conversion between HTTP messages and the reducer's types."""

import hashlib
import math
import uuid

import msgspec
from returns.result import Failure, Result, Success

from tamaracktray import headers as names
from tamaracktray.claims import digest_key
from tamaracktray.decoding import decode_json
from tamaracktray.events import CallerRequest
from tamaracktray.exceptions import ProtocolError
from tamaracktray.http_messages import Headers, Reply, Request
from tamaracktray.types import ErrorCode, Priority, Refusal, RunState, TargetKind

AFFINITY_PREFIX_BYTES = 256
DEFAULT_TEAM = "default"
MAX_TEAM_LENGTH = 63
MAX_KEY_LENGTH = 255
JSON_TYPE = ("content-type", "application/json")


class ErrorBody(msgspec.Struct, frozen=True):
    """The JSON body of an error answer."""

    error: Refusal


def encode_refusal(
    refusal: Refusal, *, allows_fractions: bool = False
) -> tuple[Headers, bytes]:
    """Return the headers and body of an error answer.

    ``Retry-After`` is rounded up to whole seconds unless ``allows_fractions`` is set.
    """
    headers: Headers = [JSON_TYPE]
    if refusal.retry_after_s is not None:
        text = str(max(math.ceil(refusal.retry_after_s), 1))
        if allows_fractions:
            text = f"{refusal.retry_after_s:.3f}"
        headers.append((names.RETRY_AFTER, text))
    return headers, msgspec.json.encode(ErrorBody(refusal))


def decode_refusal(reply: Reply) -> Result[Refusal, ProtocolError]:
    """Parse an agent's error answer."""
    return decode_json(reply.body, ErrorBody).map(lambda body: body.error)


def refuse_bad_request(message: str) -> Refusal:
    """Return the refusal of a malformed request."""
    return Refusal(ErrorCode.BAD_REQUEST, message, RunState.NOT_RUN, 400)


def parse_target(target: str) -> Result[tuple[TargetKind, str, str], ProtocolError]:
    """Split ``/models/NAME/REST`` or ``/services/NAME/REST`` into its parts.

    The rest is the target sent to the endpoint, including any query.
    """
    path, question_mark, query = target.partition("?")
    parts = path.split("/", 3)
    if len(parts) < 3 or parts[0] or not parts[2]:
        message = "the path must be /models/NAME/... or /services/NAME/..."
        return Failure(ProtocolError(message))
    try:
        kind = TargetKind(parts[1])
    except ValueError:
        return Failure(ProtocolError(f"/{parts[1]} is neither /models nor /services"))
    rest = "/" + (parts[3] if len(parts) > 3 else "") + question_mark + query
    return Success((kind, parts[2], rest))


def parse_caller_request(
    request: Request, now: float, default_s: float, max_s: float
) -> Result[CallerRequest, ProtocolError]:
    """Validate and convert a caller's request at an entry.

    ``default_s`` and ``max_s`` are the default and maximum deadline in seconds.
    """
    target = parse_target(request.target)
    if isinstance(target, Failure):
        return target
    kind, name, _ = target.unwrap()
    team = request.headers.get(names.TEAM, DEFAULT_TEAM)
    if not team or len(team) > MAX_TEAM_LENGTH or not team.isprintable():
        message = f"{names.TEAM} must hold 1 to {MAX_TEAM_LENGTH} printable characters"
        return Failure(ProtocolError(message))
    key = request.headers.get(names.IDEMPOTENCY_KEY, "")
    if len(key) > MAX_KEY_LENGTH:
        message = f"{names.IDEMPOTENCY_KEY} must not exceed {MAX_KEY_LENGTH} characters"
        return Failure(ProtocolError(message))
    priority = _parse_priority(request)
    if isinstance(priority, Failure):
        return priority
    deadline_s = _parse_deadline(request, default_s, max_s)
    if isinstance(deadline_s, Failure):
        return deadline_s
    return Success(
        CallerRequest(
            id=uuid.uuid4().hex,
            kind=kind,
            target=name,
            team=team,
            priority=priority.unwrap(),
            deadline=now + deadline_s.unwrap(),
            fingerprint=_digest_parts(request.target.encode(), request.body),
            affinity=_digest_parts(name.encode(), request.body[:AFFINITY_PREFIX_BYTES])
            if kind is TargetKind.MODEL
            else "",
            key=digest_key(f"{kind.value}/{name}/{team}", key) if key else "",
        )
    )


def build_attempt_headers(
    request: CallerRequest, attempt_id: str, now: float
) -> Headers:
    """Return the headers that describe a request to an agent."""
    remaining_ms = max(int((request.deadline - now) * 1000), 0)
    headers: Headers = [
        (names.ATTEMPT, attempt_id),
        (names.TEAM, request.team),
        (names.PRIORITY, request.priority.name.lower()),
        (names.DEADLINE_MS, str(remaining_ms)),
        (names.FINGERPRINT, request.fingerprint),
    ]
    if request.affinity:
        headers.append((names.AFFINITY, request.affinity))
    if request.key:
        headers.append((names.IDEMPOTENCY_KEY, request.key))
    return headers


def parse_attempt(request: Request, now: float) -> Result[CallerRequest, ProtocolError]:
    """Validate and convert an entry's attempt at an agent."""
    target = parse_target(request.target)
    if isinstance(target, Failure):
        return target
    kind, name, _ = target.unwrap()
    priority = _parse_priority(request)
    if isinstance(priority, Failure):
        return priority
    attempt_id = request.headers.get(names.ATTEMPT, "")
    remaining_ms = request.headers.get(names.DEADLINE_MS, "")
    if not attempt_id or not remaining_ms.isdigit():
        message = f"{names.ATTEMPT} and {names.DEADLINE_MS} are needed"
        return Failure(ProtocolError(message))
    return Success(
        CallerRequest(
            id=attempt_id,
            kind=kind,
            target=name,
            team=request.headers.get(names.TEAM, DEFAULT_TEAM),
            priority=priority.unwrap(),
            deadline=now + int(remaining_ms) / 1000,
            fingerprint=request.headers.get(names.FINGERPRINT, ""),
            affinity=request.headers.get(names.AFFINITY, ""),
            key=request.headers.get(names.IDEMPOTENCY_KEY, ""),
        )
    )


def _parse_priority(request: Request) -> Result[Priority, ProtocolError]:
    text = request.headers.get(names.PRIORITY, "normal").upper()
    if text not in Priority.__members__:
        accepted = ", ".join(name.lower() for name in Priority.__members__)
        return Failure(ProtocolError(f"{names.PRIORITY} must be one of: {accepted}"))
    return Success(Priority[text])


def _parse_deadline(
    request: Request, default_s: float, max_s: float
) -> Result[float, ProtocolError]:
    text = request.headers.get(names.DEADLINE_MS)
    if text is None:
        return Success(default_s)
    if not text.isascii() or not text.isdigit() or not 0 < int(text) <= max_s * 1000:
        limit = int(max_s * 1000)
        message = f"{names.DEADLINE_MS} must be an integer from 1 to {limit}"
        return Failure(ProtocolError(message))
    return Success(int(text) / 1000)


def _digest_parts(*parts: bytes) -> str:
    return hashlib.sha256(b"\n".join(parts)).hexdigest()[:32]
