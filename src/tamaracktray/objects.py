"""Client of the platform's object API.

``ObjectStore`` is the interface. ``HttpObjectStore`` follows the REST conventions of
Kubernetes-style APIs: collections under ``/apis/<group>/<version>``, an integer
``resourceVersion`` per object, conditional ``PUT`` and a long-polled watch.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any

import msgspec
import structlog
from returns.result import Failure, Result, Success
from typing_extensions import override

from tamaracktray.decoding import UNREADABLE, decode_json, decode_listing
from tamaracktray.exceptions import (
    ConflictError,
    ObjectNotFoundError,
    PlatformError,
    PlatformUnavailableError,
    RevisionExpiredError,
    WriteOutcomeUnknownError,
)
from tamaracktray.exchange import fetch
from tamaracktray.http_messages import Reply
from tamaracktray.store_calls import classify_transport
from tamaracktray.targets import encode_target
from tamaracktray.types import Address

API_PREFIX = "/apis/tamaracktray.dev/v1"
CONFIGURATION = "configuration"
CLAIMS = "claims"
SLOTS = "slots"
ENDPOINTS = "endpoints"

MAX_LIST_BYTES = 16 * 1_048_576
WATCH_GRACE_S = 5.0


class StoredObject(msgspec.Struct, frozen=True):
    """A stored object; ``writer`` is the token of its last write."""

    name: str
    version: int
    value: Any
    writer: str = ""
    deleted: bool = False


class ObjectList(msgspec.Struct, frozen=True):
    """The objects of a collection at one revision of the platform.

    ``era`` counts how often the platform's store has been restored from an older copy.
    """

    revision: int
    items: list[StoredObject]
    era: int = 0


class _Metadata(msgspec.Struct, frozen=True, rename="camel"):
    resource_version: str | int
    name: str = ""
    annotations: dict[str, str] = {}


class _Document(msgspec.Struct, frozen=True):
    metadata: _Metadata
    # A document of another writer, which may be unreadable.
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _ListDocument(msgspec.Struct, frozen=True):
    metadata: _Metadata
    items: list[_Document]


class _EventDocument(msgspec.Struct, frozen=True):
    type: str
    object: msgspec.Raw


class ObjectStore(ABC):
    """Conditional access to the platform's objects.

    Every method returns a ``Result`` whose failure is a ``PlatformError``.
    """

    @property
    def era(self) -> int | None:
        """Return the latest era seen in an answer, ``None`` if none named one."""
        return None

    @abstractmethod
    async def get(
        self, collection: str, name: str
    ) -> Result[StoredObject, PlatformError]:
        """Read one object."""

    @abstractmethod
    async def list(self, collection: str) -> Result[ObjectList, PlatformError]:
        """Read all objects of a collection."""

    @abstractmethod
    async def put(
        self, collection: str, name: str, value: Any, version: int, writer: str
    ) -> Result[StoredObject, PlatformError]:
        """Write an object if its version is ``version``; 0 means it must not exist.

        Fails with ``ConflictError`` when the version differs and with
        ``WriteOutcomeUnknownError`` when the answer was lost.
        """

    async def put_status(
        self, collection: str, name: str, status: Any, version: int
    ) -> Result[StoredObject, PlatformError]:
        """Write an object's status if its version is ``version``.

        Fails as ``put`` does, and always on a platform that stores no status.
        """
        return Failure(PlatformUnavailableError(f"{collection} keep no status"))

    @abstractmethod
    async def delete(
        self, collection: str, name: str, version: int, writer: str
    ) -> Result[int, PlatformError]:
        """Delete an object if its version is ``version``; return the revision."""

    @abstractmethod
    async def watch(
        self, collection: str, revision: int, timeout_s: float
    ) -> Result[ObjectList, PlatformError]:
        """Wait for changes after ``revision`` for at most ``timeout_s`` seconds.

        Returns the changes, including deleted objects, oldest first.
        """


async def put_and_confirm(
    store: ObjectStore,
    collection: str,
    name: str,
    value: Any,
    version: int,
    writer: str,
) -> Result[StoredObject, PlatformError]:
    """Write conditionally; if the answer is lost, read the object back to check.

    The writer token must be unique to this write. The failure is
    ``WriteOutcomeUnknownError`` if the read leaves the outcome of the write open.
    """
    written = await store.put(collection, name, value, version, writer)
    if not isinstance(written, Failure):
        return written
    if not isinstance(written.failure(), WriteOutcomeUnknownError):
        return written
    found = await store.get(collection, name)
    if isinstance(found, Failure):
        if isinstance(found.failure(), ObjectNotFoundError):
            return _classify_missing_object(version)
        return written
    stored = found.unwrap()
    if stored.writer == writer:
        return found
    if stored.version == version:
        # The write may still be in flight, so an unchanged object proves nothing.
        return written
    message = f"{collection}/{name} is at version {stored.version}"
    return Failure(ConflictError(message, current_version=stored.version))


def _classify_missing_object(version: int) -> Result[StoredObject, PlatformError]:
    if version == 0:
        return Failure(WriteOutcomeUnknownError("the object is not there yet"))
    return Failure(ConflictError("the object was deleted", current_version=None))


async def overwrite_object(
    store: ObjectStore, collection: str, name: str, value: Any
) -> PlatformError | None:
    """Write an object, replacing any version that an earlier process left."""
    written = await store.put(collection, name, value, 0, "")
    if isinstance(written, Success):
        return None
    failure = written.failure()
    if not isinstance(failure, ConflictError) or failure.current_version is None:
        return failure
    written = await store.put(collection, name, value, failure.current_version, "")
    return None if isinstance(written, Success) else written.failure()


class HttpObjectStore(ObjectStore):
    """Accesses the platform over HTTP, with an optional bearer token."""

    __slots__ = ("_address", "_calls", "_headers", "_timeout_s")

    def __init__(
        self, address: Address, *, token: str = "", timeout_s: float = 2.0
    ) -> None:
        self._address = address
        self._timeout_s = timeout_s
        self._headers = [("content-type", "application/json")]
        if token:
            self._headers.append(("authorization", f"Bearer {token}"))
        self._calls = 0

    @property
    def calls(self) -> int:
        """Return the number of calls made; an open watch counts as one."""
        return self._calls

    async def _call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        timeout_s: float | None = None,
    ) -> Result[Reply, PlatformError]:
        self._calls += 1
        reply = await fetch(
            self._address,
            method,
            API_PREFIX + target,
            self._headers,
            body,
            timeout_s=timeout_s or self._timeout_s,
            max_bytes=MAX_LIST_BYTES,
        )
        if isinstance(reply, Failure):
            return Failure(classify_transport(method, reply.failure()))
        answer = reply.unwrap()
        if answer.status >= 400:
            return Failure(_classify_status(method, answer))
        return Success(answer)

    @override
    async def get(
        self, collection: str, name: str
    ) -> Result[StoredObject, PlatformError]:
        reply = await self._call("GET", encode_target(collection, name))
        return reply.bind(
            lambda answer: _parse_document(answer.body, _Document, _read_object)
        )

    @override
    async def list(self, collection: str) -> Result[ObjectList, PlatformError]:
        reply = await self._call("GET", f"/{collection}")
        return reply.bind(
            lambda answer: _parse_document(answer.body, _ListDocument, _read_list)
        )

    @override
    async def put(
        self, collection: str, name: str, value: Any, version: int, writer: str
    ) -> Result[StoredObject, PlatformError]:
        document = {
            "metadata": {
                "name": name,
                "resourceVersion": str(version),
                "annotations": {"writer": writer},
            },
            "spec": value,
        }
        body = msgspec.json.encode(document)
        if version == 0:
            reply = await self._call("POST", f"/{collection}", body)
        else:
            reply = await self._call("PUT", encode_target(collection, name), body)
        return reply.bind(
            lambda answer: _parse_document(answer.body, _Document, _read_object)
        )

    @override
    async def delete(
        self, collection: str, name: str, version: int, writer: str
    ) -> Result[int, PlatformError]:
        options = {"preconditions": {"resourceVersion": str(version)}, "writer": writer}
        body = msgspec.json.encode(options)
        reply = await self._call("DELETE", encode_target(collection, name), body)
        return reply.bind(
            lambda answer: _parse_document(
                answer.body,
                _Document,
                lambda document: int(document.metadata.resource_version),
            )
        )

    @override
    async def watch(
        self, collection: str, revision: int, timeout_s: float
    ) -> Result[ObjectList, PlatformError]:
        target = (
            f"/{collection}?watch=true&resourceVersion={revision}"
            f"&timeoutSeconds={timeout_s:g}"
        )
        reply = await self._call("GET", target, timeout_s=timeout_s + WATCH_GRACE_S)
        return reply.bind(lambda answer: _read_events(answer.body, revision))


def _classify_status(method: str, reply: Reply) -> PlatformError:
    text = reply.body.decode("utf-8", "replace")
    if reply.status == 404:
        return ObjectNotFoundError(text)
    if reply.status == 410:
        return RevisionExpiredError(text)
    if reply.status in (409, 412):
        return ConflictError(text, current_version=_read_current_version(reply.body))
    if reply.status in (429, 503):
        return PlatformUnavailableError(text)
    if reply.status >= 500 and method != "GET":
        return WriteOutcomeUnknownError(text)
    if reply.status >= 500:
        return PlatformUnavailableError(text)
    return PlatformError(f"the platform refused the call ({reply.status}): {text}")


def _read_current_version(body: bytes) -> int | None:
    try:
        return int(msgspec.json.decode(body)["details"]["resourceVersion"])
    except (*UNREADABLE, LookupError, TypeError):
        return None


def _parse_document(
    body: bytes, document: type, read: Callable[[Any], Any]
) -> Result[Any, PlatformError]:
    try:
        return decode_listing(body, document).map(read).alt(_refuse_answer)
    except UNREADABLE as error:
        return Failure(_refuse_answer(error))


def _refuse_answer(error: Exception) -> PlatformError:
    return PlatformUnavailableError(f"unreadable platform answer: {error}")


def _read_object(document: _Document, *, deleted: bool = False) -> StoredObject:
    metadata = document.metadata
    value = decode_json(document.spec, Any)
    if isinstance(value, Failure) and not deleted:
        error = value.failure().message
        structlog.get_logger().warning(
            "object unreadable", name=metadata.name, error=error
        )
    return StoredObject(
        name=metadata.name,
        version=int(metadata.resource_version),
        value=value.value_or(None),
        writer=metadata.annotations.get("writer", ""),
        deleted=deleted,
    )


def _read_list(document: _ListDocument) -> ObjectList:
    items = [_read_object(item) for item in document.items]
    return ObjectList(int(document.metadata.resource_version), items)


def _read_events(body: bytes, revision: int) -> Result[ObjectList, PlatformError]:
    """Parse the event lines of a watch: ADDED, MODIFIED, DELETED, BOOKMARK or ERROR."""
    items: list[StoredObject] = []
    for line in body.splitlines():
        if not line:
            continue
        parsed = _parse_document(line, _EventDocument, _read_event)
        if isinstance(parsed, Failure):
            return parsed
        kind, item = parsed.unwrap()
        if kind == "ERROR":
            return Failure(RevisionExpiredError(item.name))
        revision = max(revision, item.version)
        if kind != "BOOKMARK":
            items.append(item)
    return Success(ObjectList(revision, items))


def _read_event(document: _EventDocument) -> tuple[str, StoredObject]:
    if document.type == "ERROR":
        message = bytes(document.object).decode("utf-8", "replace")
        return document.type, StoredObject(message, 0, None)
    decoded = decode_listing(document.object, _Document)
    if isinstance(decoded, Failure):
        raise ValueError(decoded.failure().message)
    is_deleted = document.type == "DELETED"
    return document.type, _read_object(decoded.unwrap(), deleted=is_deleted)
