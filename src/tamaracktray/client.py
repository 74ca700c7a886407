"""Client of the resource API, used by ``tamaractl``."""

from typing import Any

import curio
import msgspec
from returns.result import Failure, Result, Success

from tamaracktray.api import PREFIX, build_path
from tamaracktray.decoding import decode_json
from tamaracktray.exceptions import CommandError
from tamaracktray.exchange import fetch
from tamaracktray.http_messages import Headers
from tamaracktray.resources import Kind, Resource, decode_resource, encode_resource
from tamaracktray.targets import encode_target
from tamaracktray.types import Address


class NotFoundError(CommandError):
    """The named resource does not exist."""


class UnreachableError(CommandError):
    """The entry did not answer, or the platform is unavailable."""


class ChangeConflictError(CommandError):
    """The resource was changed concurrently; ``current`` is its current state."""

    def __init__(self, message: str, current: Resource | None) -> None:
        super().__init__(message)
        self.current = current


class ResourcePage(msgspec.Struct, frozen=True):
    """Resources of one kind at a revision of the platform's store."""

    items: list[Resource]
    revision: int


class ApiClient:
    """Blocking client of one entry's API; times are in seconds."""

    __slots__ = ("_address", "_headers", "_timeout_s")

    def __init__(self, address: Address, token: str, timeout_s: float = 10.0) -> None:
        self._address = address
        self._timeout_s = timeout_s
        self._headers: Headers = [("content-type", "application/json")]
        if token:
            self._headers.append(("authorization", f"Bearer {token}"))

    def get(self, kind: Kind, name: str) -> Result[Resource, CommandError]:
        """Read one resource."""
        return self._call("GET", build_path(kind, name)).bind(_parse_resource)

    def list_kind(self, kind: Kind) -> Result[ResourcePage, CommandError]:
        """Read all resources of a kind."""
        return self._call("GET", build_path(kind)).bind(_parse_page)

    def watch(
        self, kind: Kind, since: int, timeout_s: float
    ) -> Result[ResourcePage, CommandError]:
        """Wait for changes of a kind after a revision."""
        target = f"{build_path(kind)}?watch=1&since={since}&timeout_s={timeout_s:g}"
        reply = self._call("GET", target, timeout_s=timeout_s + self._timeout_s)
        return reply.bind(_parse_page)

    def put(self, resource: Resource) -> Result[Resource, CommandError]:
        """Write a resource if its version is still current."""
        path = build_path(resource.kind, resource.name)
        return self._call("PUT", path, encode_resource(resource)).bind(_parse_resource)

    def delete(self, resource: Resource) -> Result[Any, CommandError]:
        """Delete a resource if its version is still current."""
        path = build_path(resource.kind, resource.name)
        target = f"{path}?resource_version={resource.resource_version}"
        return self._call("DELETE", target)

    def read_failures(self, rollout: str) -> Result[dict[str, str], CommandError]:
        """Read the failure reasons of a rollout by instance."""
        reply = self._call("GET", PREFIX + encode_target("failures", rollout))
        return reply.map(lambda document: document["reason_by_instance"])

    def list_unknown(self) -> Result[list[dict[str, Any]], CommandError]:
        """Read the idempotency keys whose outcome is unknown."""
        reply = self._call("GET", f"{PREFIX}/claims")
        return reply.map(lambda document: document["items"])

    def settle(
        self, key: str, operator: str, *, was_run: bool
    ) -> Result[Any, CommandError]:
        """Settle a key of unknown outcome."""
        document = {"was_run": was_run, "operator": operator}
        target = PREFIX + encode_target("claims", key, "settle")
        return self._call("POST", target, document)

    def _call(
        self,
        method: str,
        target: str,
        document: Any = None,
        timeout_s: float | None = None,
    ) -> Result[Any, CommandError]:
        body = b"" if document is None else msgspec.json.encode(document)
        reply = curio.run(
            self._fetch, method, target, body, timeout_s or self._timeout_s
        )
        if isinstance(reply, Failure):
            message = f"no entry answers at {self._address}: {reply.failure().message}"
            return Failure(UnreachableError(message))
        answer = reply.unwrap()
        decoded = decode_json(answer.body, Any)
        if isinstance(decoded, Failure):
            message = f"{self._address} is not a resource API ({answer.status})"
            return Failure(UnreachableError(message))
        if answer.status >= 400:
            return Failure(_build_error(answer.status, decoded.unwrap()))
        return decoded

    async def _fetch(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> Any:
        return await fetch(
            self._address, method, target, self._headers, body, timeout_s=timeout_s
        )


def _build_error(status: int, document: Any) -> CommandError:
    error = document.get("error", {}) if isinstance(document, dict) else {}
    message = error.get("message", f"the entry answered {status}")
    if status == 404:
        return NotFoundError(message)
    if status in (409, 412):
        current = decode_resource(error.get("current")).value_or(None)
        return ChangeConflictError(message, current)
    if status == 503:
        return UnreachableError(message)
    return CommandError(message)


def _parse_resource(document: Any) -> Result[Resource, CommandError]:
    return decode_resource(document).alt(lambda error: CommandError(error.message))


def _parse_page(document: Any) -> Result[ResourcePage, CommandError]:
    items: list[Resource] = []
    for item in document["items"]:
        decoded = _parse_resource(item)
        if isinstance(decoded, Failure):
            return decoded
        items.append(decoded.unwrap())
    return Success(ResourcePage(items, document["resource_version"]))
