"""Resource API for operators, served by every entry.

Resources are read from and written to the platform; the API keeps no state. If the
answer to a write is lost, the API reads the object back to determine the outcome. If
that fails, the operator gets the error code ``outcome_unknown``.
"""

import hmac
import time
import uuid
from typing import Any

import curio
import msgspec
from returns.result import Failure, Result, Success

from tamaracktray.claims import ClaimShard, is_outcome_unknown, name_shard, settle_claim
from tamaracktray.decoding import UNREADABLE, convert_value, decode_json
from tamaracktray.events import ObjectsReceived
from tamaracktray.exceptions import (
    ConflictError,
    ObjectNotFoundError,
    PlatformError,
    PlatformUnavailableError,
    ResourceError,
    RevisionExpiredError,
    WriteOutcomeUnknownError,
)
from tamaracktray.http_messages import Headers, Request
from tamaracktray.objects import (
    CLAIMS,
    CONFIGURATION,
    ENDPOINTS,
    SLOTS,
    ObjectList,
    StoredObject,
    put_and_confirm,
)
from tamaracktray.resources import (
    Kind,
    Resource,
    RolloutSpec,
    decode_resource,
    encode_resource,
)
from tamaracktray.responders import Responder
from tamaracktray.shell import Shell, decode_objects
from tamaracktray.targets import encode_target

PREFIX = "/api/v1"
MAX_WATCH_S = 60.0
PROPAGATION_DELAY_S = 0.2
JSON_HEADERS: Headers = [("content-type", "application/json")]


class ApiReply(msgspec.Struct, frozen=True):
    """Status and JSON document of a reply."""

    status: int
    document: Any


class ResourceApi:
    """Handles the requests of operators."""

    __slots__ = ("_shell",)

    def __init__(self, shell: Shell) -> None:
        self._shell = shell

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer one request."""
        reply = await self._route(request)
        body = msgspec.json.encode(reply.document)
        headers = list(JSON_HEADERS)
        if reply.status == 503:
            headers.append(("retry-after", "1"))
        await responder.respond(reply.status, headers, body)

    async def _route(self, request: Request) -> ApiReply:
        if not self._is_authorized(request):
            return _fail(401, "unauthorized", "a valid bearer token is needed")
        if not request.path.startswith(PREFIX + "/"):
            return _fail(404, "not_found", f"paths begin with {PREFIX}/")
        parts = request.path[len(PREFIX) + 1 :].split("/")
        if parts[0] == "claims":
            return await self._route_claims(request, parts[1:])
        if parts[0] == "failures" and len(parts) == 2 and request.method == "GET":
            return await self._read_failures(parts[1])
        try:
            kind = Kind(parts[0])
        except ValueError:
            accepted = ", ".join(kind.value for kind in Kind)
            return _fail(404, "not_found", f"{parts[0]!r} is none of: {accepted}")
        name = parts[1] if len(parts) == 2 else ""
        return await self._route_resource(request, kind, name)

    def _is_authorized(self, request: Request) -> bool:
        token = self._shell.settings.api_token
        if not token:
            return True
        received = request.headers.get("authorization", "")
        return hmac.compare_digest(received.encode(), f"Bearer {token}".encode())

    async def _route_resource(
        self, request: Request, kind: Kind, name: str
    ) -> ApiReply:
        if request.method == "GET" and not name:
            if request.query.get("watch") == "1":
                return await self._watch(kind, request.query)
            return await self._list(kind)
        if request.method == "GET":
            return await self._get(kind, name)
        if kind is Kind.ENDPOINT:
            return _fail(405, "read_only", "endpoints are reported by their agents")
        if request.method == "PUT" and name:
            return await self._put(request, kind, name)
        if request.method == "DELETE" and name:
            return await self._delete(request, kind, name)
        return _fail(405, "bad_method", "use GET, PUT or DELETE with a name")

    async def _list(self, kind: Kind) -> ApiReply:
        collection = ENDPOINTS if kind is Kind.ENDPOINT else CONFIGURATION
        listed = await self._shell.store.list(collection)
        if isinstance(listed, Failure):
            return _fail_platform(listed.failure())
        return _reply_list(listed.unwrap(), kind)

    async def _watch(self, kind: Kind, query: dict[str, str]) -> ApiReply:
        collection = ENDPOINTS if kind is Kind.ENDPOINT else CONFIGURATION
        try:
            since = int(query.get("since", "0"))
            timeout_s = min(float(query.get("timeout_s", "10")), MAX_WATCH_S)
        except ValueError:
            return _fail(400, "bad_request", "since and timeout_s must be numbers")
        watched = await self._shell.store.watch(collection, since, timeout_s)
        if isinstance(watched, Failure):
            if isinstance(watched.failure(), RevisionExpiredError):
                return _fail(410, "expired", "list again: the revision is too old")
            return _fail_platform(watched.failure())
        return _reply_list(watched.unwrap(), kind)

    async def _get(self, kind: Kind, name: str) -> ApiReply:
        found = await self._read(kind, name)
        if isinstance(found, Failure):
            return _fail_platform(found.failure())
        return ApiReply(200, encode_resource(found.unwrap()))

    async def _read(self, kind: Kind, name: str) -> Result[Resource, PlatformError]:
        collection = ENDPOINTS if kind is Kind.ENDPOINT else CONFIGURATION
        found = await self._shell.store.get(collection, f"{kind.value}.{name}")
        return found.bind(_to_resource)

    async def _put(self, request: Request, kind: Kind, name: str) -> ApiReply:
        decoded = _decode_body(request, kind, name)
        if isinstance(decoded, Failure):
            return _fail(422, "invalid", decoded.failure().message)
        resource = decoded.unwrap()
        reference_error = await self._check_references(resource)
        if reference_error:
            return _fail(422, "invalid", reference_error)
        written = await put_and_confirm(
            self._shell.store,
            CONFIGURATION,
            resource.key,
            _to_value(resource),
            resource.resource_version,
            uuid.uuid4().hex,
        )
        if isinstance(written, Failure):
            return await self._fail_write(written.failure(), kind, name)
        stored = written.unwrap()
        accepted = msgspec.structs.replace(resource, resource_version=stored.version)
        await self._propagate(accepted)
        return ApiReply(200, encode_resource(accepted))

    async def _delete(self, request: Request, kind: Kind, name: str) -> ApiReply:
        found = await self._read(kind, name)
        if isinstance(found, Failure):
            return _fail_platform(found.failure())
        resource = found.unwrap()
        version = request.query.get("resource_version", str(resource.resource_version))
        if not version.isdigit():
            return _fail(400, "bad_request", "resource_version must be an integer")
        deleted = await self._shell.store.delete(
            CONFIGURATION, resource.key, int(version), uuid.uuid4().hex
        )
        if isinstance(deleted, Failure):
            return await self._settle_delete(deleted.failure(), resource)
        return await self._answer_deleted(resource, deleted.unwrap())

    async def _settle_delete(
        self, error: PlatformError, resource: Resource
    ) -> ApiReply:
        """Read the object back to settle a delete whose answer was lost."""
        if isinstance(error, WriteOutcomeUnknownError):
            found = await self._read(resource.kind, resource.name)
            is_deleted = isinstance(found, Failure) and isinstance(
                found.failure(), ObjectNotFoundError
            )
            if is_deleted:
                return await self._answer_deleted(resource, 0)
        return await self._fail_write(error, resource.kind, resource.name)

    async def _answer_deleted(self, resource: Resource, revision: int) -> ApiReply:
        if revision:
            tombstone = msgspec.structs.replace(
                resource, resource_version=revision, deleted=True
            )
            await self._propagate(tombstone)
        return ApiReply(200, {"deleted": resource.name, "resource_version": revision})

    async def _propagate(self, resource: Resource) -> None:
        """Apply an accepted change and give it a fixed time to reach peers.

        The platform may fail right after it accepts the change. Peers that receive the
        change before the operator gets the reply can then propagate it.
        """
        await self._shell.dispatch(ObjectsReceived(time.monotonic(), [resource], 0))
        await curio.sleep(PROPAGATION_DELAY_S)

    async def _check_references(self, resource: Resource) -> str:
        """Return an error message if a resource refers to undeclared names, else ""."""
        spec = resource.spec
        model = getattr(spec, "model", "")
        if model and isinstance(await self._read(Kind.MODEL, model), Failure):
            return f"model {model!r} is not declared"
        if not isinstance(spec, RolloutSpec):
            return ""
        for version in (spec.version, spec.previous_version):
            if not version:
                continue
            found = await self._read(Kind.VERSION, version)
            if isinstance(found, Failure):
                return f"version {version!r} is not declared"
            if getattr(found.unwrap().spec, "model", "") != model:
                return f"version {version!r} belongs to another model than {model!r}"
        return ""

    async def _fail_write(
        self, error: PlatformError, kind: Kind, name: str
    ) -> ApiReply:
        """Return the reply to a failed write; a conflict shows the current resource."""
        if not isinstance(error, ConflictError):
            return _fail_platform(error)
        found = await self._read(kind, name)
        current = None
        if isinstance(found, Success):
            current = encode_resource(found.unwrap())
        message = f"{kind.value}/{name} was changed by another operator"
        return _fail(409, "conflict", message, current=current)

    async def _read_failures(self, rollout: str) -> ApiReply:
        found = await self._shell.store.get(SLOTS, f"{rollout}.failures")
        if isinstance(found, Failure):
            if isinstance(found.failure(), ObjectNotFoundError):
                return ApiReply(200, {"reason_by_instance": {}})
            return _fail_platform(found.failure())
        return ApiReply(200, found.unwrap().value)

    async def _route_claims(self, request: Request, parts: list[str]) -> ApiReply:
        if request.method == "GET" and not parts:
            return await self._list_unknown()
        if request.method == "POST" and len(parts) == 2 and parts[1] == "settle":
            return await self._settle(request, parts[0])
        return _fail(404, "not_found", "use GET claims or POST claims/KEY/settle")

    async def _list_unknown(self) -> ApiReply:
        listed = await self._shell.store.list(CLAIMS)
        if isinstance(listed, Failure):
            return _fail_platform(listed.failure())
        now = time.time()
        items: list[dict[str, Any]] = []
        for stored in listed.unwrap().items:
            shard = convert_value(stored.value, ClaimShard)
            if isinstance(shard, Failure):
                error = shard.failure().message
                self._shell.log.warning(
                    "claims unreadable", shard=stored.name, error=error
                )
                continue
            for key, record in shard.unwrap().record_by_key.items():
                if is_outcome_unknown(record, now):
                    items.append(
                        {
                            "key": key,
                            "scope": record.scope,
                            "agent": record.agent,
                            "lease_deadline_unix_s": record.lease_deadline_unix_s,
                        }
                    )
        return ApiReply(200, {"items": items})

    async def _settle(self, request: Request, key: str) -> ApiReply:
        try:
            settlement = msgspec.json.decode(request.body, type=SettleRequest)
            shard_name = name_shard(key)
        except UNREADABLE as error:
            return _fail(400, "bad_request", str(error))
        found = await self._shell.store.get(CLAIMS, shard_name)
        if isinstance(found, Failure):
            return _fail_platform(found.failure())
        stored = found.unwrap()
        shard = convert_value(stored.value, ClaimShard)
        if isinstance(shard, Failure):
            return _fail(502, "unavailable", f"claims: {shard.failure().message}")
        settled = settle_claim(
            shard.unwrap(),
            key,
            settlement.operator,
            time.time(),
            was_run=settlement.was_run,
        )
        if settled is None:
            message = "the key has no unknown outcome, or its lease has not lapsed"
            return _fail(409, "conflict", message)
        written = await put_and_confirm(
            self._shell.store,
            CLAIMS,
            shard_name,
            msgspec.to_builtins(settled),
            stored.version,
            uuid.uuid4().hex,
        )
        if isinstance(written, Failure):
            return _fail_platform(written.failure())
        return ApiReply(200, {"key": key, "was_run": settlement.was_run})


class SettleRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An operator's statement on whether a request of unknown outcome was run."""

    was_run: bool
    operator: str = "operator"


def _decode_body(
    request: Request, kind: Kind, name: str
) -> Result[Resource, ResourceError]:
    document = decode_json(request.body, Any)
    if isinstance(document, Failure):
        error = document.failure().message
        return Failure(ResourceError(f"the body is not JSON: {error}"))
    return decode_resource(document.unwrap()).bind(
        lambda resource: _check_identity(resource, kind, name)
    )


def _check_identity(
    resource: Resource, kind: Kind, name: str
) -> Result[Resource, ResourceError]:
    if resource.kind is not kind or resource.name != name:
        message = f"the body names {resource.kind.value}/{resource.name}"
        return Failure(ResourceError(f"{message}, the path {kind.value}/{name}"))
    return Success(resource)


def _to_value(resource: Resource) -> dict[str, Any]:
    """Return the stored document, without the version that the platform adds."""
    document = encode_resource(resource)
    return {key: document[key] for key in ("kind", "name", "spec")}


def _to_resource(stored: StoredObject) -> Result[Resource, PlatformError]:
    resources = decode_objects([stored])
    if not resources:
        return Failure(PlatformError(f"object {stored.name} is not a valid resource"))
    return Success(resources[0])


def _reply_list(objects: ObjectList, kind: Kind) -> ApiReply:
    items = [
        encode_resource(resource)
        for resource in decode_objects(objects.items)
        if resource.kind is kind
    ]
    return ApiReply(200, {"items": items, "resource_version": objects.revision})


def _fail(status: int, code: str, message: str, **details: Any) -> ApiReply:
    return ApiReply(status, {"error": {"code": code, "message": message, **details}})


def _fail_platform(error: PlatformError) -> ApiReply:
    if isinstance(error, ObjectNotFoundError):
        return _fail(404, "not_found", error.message)
    if isinstance(error, ConflictError):
        return _fail(409, "conflict", error.message)
    if isinstance(error, WriteOutcomeUnknownError):
        message = f"the outcome of the write is unknown: {error.message}"
        return _fail(503, "outcome_unknown", message)
    if isinstance(error, PlatformUnavailableError):
        return _fail(503, "platform_unavailable", error.message)
    return _fail(502, "platform_error", error.message)


def build_path(kind: Kind, name: str = "") -> str:
    """Return the API path of a kind or of one resource."""
    names = (kind.value, name) if name else (kind.value,)
    return PREFIX + encode_target(*names)
