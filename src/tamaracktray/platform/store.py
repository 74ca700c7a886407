"""Client of the platform's metadata store."""

from typing import Any

import msgspec
import structlog
from returns.result import Failure, Result, Success
from typing_extensions import override

from tamaracktray.decoding import UNREADABLE, decode_json, decode_listing
from tamaracktray.engines import VersionTarget, add_record
from tamaracktray.exceptions import (
    ConflictError,
    ObjectNotFoundError,
    PlatformError,
    PlatformUnavailableError,
    RevisionExpiredError,
)
from tamaracktray.exchange import fetch
from tamaracktray.http_messages import Headers, Reply
from tamaracktray.objects import ObjectList, ObjectStore, StoredObject
from tamaracktray.peers import read_member
from tamaracktray.platform.documents import (
    DocumentReader,
    read_configuration,
    read_endpoint,
    read_evacuation,
    read_version,
)
from tamaracktray.positions import EraTracker
from tamaracktray.quarantine_records import read_quarantine
from tamaracktray.snapshots import Collection
from tamaracktray.store_calls import classify_transport, compute_watch_timeout_s
from tamaracktray.targets import encode_target
from tamaracktray.types import Address

JSON: Headers = [("content-type", "application/json")]
MAX_ANSWER_BYTES = 16 * 1_048_576
ERA = "store-era"
MS_PER_S = 1_000.0

# A page has about 500 objects; a list that exceeds this number of pages is faulty.
MAX_PAGES = 64

# Timeouts of lists that are larger than an ordinary answer: a configuration of 250 KB
# may share a slow link with the lists of other processes.
TIMEOUT_S_BY_COLLECTION: dict[str, float] = {Collection.ROUTING: 4.0}

KIND_BY_COLLECTION = {
    Collection.ROUTING: "config",
    Collection.ENDPOINTS: "servers",
    Collection.EVACUATIONS: "evacuations",
    Collection.VERSIONS: "versions",
    Collection.MEMBERS: "members",
    Collection.QUARANTINES: "quarantines",
}

NULL = msgspec.Raw(b"null")

READER_BY_COLLECTION: dict[str, DocumentReader] = {
    Collection.ROUTING: read_configuration,
    Collection.ENDPOINTS: read_endpoint,
    Collection.EVACUATIONS: read_evacuation,
    Collection.VERSIONS: read_version,
    Collection.MEMBERS: read_member,
    Collection.QUARANTINES: read_quarantine,
}


class _Metadata(msgspec.Struct, frozen=True):
    name: str
    revision: int = 0


class _Object(msgspec.Struct, frozen=True):
    metadata: _Metadata
    # Documents of other writers, which may be unreadable.
    spec: msgspec.Raw = NULL
    status: msgspec.Raw = NULL


class _Page(msgspec.Struct, frozen=True, rename="camel"):
    items: list[_Object]
    store_revision: int
    has_more: bool = False


class _Event(msgspec.Struct, frozen=True):
    object: _Object
    removed: bool = False


class _Events(msgspec.Struct, frozen=True, rename="camel"):
    events: list[_Event]
    store_revision: int


class PlatformStore(ObjectStore):
    """Reads and writes the platform's objects as internal types.

    The value of an object that cannot be decoded is ``None``. An answer that names no
    era, or an unreadable one, counts as one of the latest era.
    """

    __slots__ = ("_address", "_eras", "_timeout_s", "calls")

    def __init__(self, address: Address, *, timeout_s: float) -> None:
        self._address = address
        self._timeout_s = timeout_s
        self._eras = EraTracker()
        self.calls = 0

    @property
    @override
    def era(self) -> int | None:
        return self._eras.latest

    @override
    async def get(
        self, collection: str, name: str
    ) -> Result[StoredObject, PlatformError]:
        reply = await self._call("GET", _build_target(collection, name))
        return reply.bind(lambda answer: _decode(answer, _Object)).map(
            lambda item: _build_stored_object(collection, item)
        )

    @override
    async def list(self, collection: str) -> Result[ObjectList, PlatformError]:
        items: list[StoredObject] = []
        revision = 0
        era: int | None = None
        target = _build_target(collection)
        for _ in range(MAX_PAGES):
            timeout_s = TIMEOUT_S_BY_COLLECTION.get(collection)
            reply = await self._call("GET", target, timeout_s=timeout_s)
            decoded = reply.bind(lambda answer: _decode(answer, _Page))
            if isinstance(decoded, Failure):
                return decoded
            page: _Page = decoded.unwrap()
            page_era = self._eras.resolve(reply.unwrap().headers.get(ERA))
            if era is not None and page_era != era:
                return Failure(PlatformUnavailableError(f"{collection}: era changed"))
            era = page_era
            # Watching from the first page's revision covers changes between two pages.
            revision = revision or page.store_revision
            items.extend(_build_stored_object(collection, item) for item in page.items)
            if not page.has_more or not page.items:
                return Success(ObjectList(revision, items, era))
            # Despite its name, this parameter is the name of the last object listed.
            last_name = page.items[-1].metadata.name
            target = _build_target(collection, sinceRevision=last_name)
        return Failure(PlatformUnavailableError(f"{collection}: too many pages"))

    @override
    async def put(
        self, collection: str, name: str, value: Any, version: int, writer: str
    ) -> Result[StoredObject, PlatformError]:
        metadata: dict[str, Any] = {"name": name}
        method, target = "POST", _build_target(collection)
        if version:
            metadata["revision"] = version
            method, target = "PUT", _build_target(collection, name)
        body = msgspec.json.encode({"metadata": metadata, "spec": value})
        reply = await self._call(method, target, body)
        return reply.bind(lambda answer: _decode(answer, _Object)).map(
            lambda item: _build_stored_object(collection, item)
        )

    @override
    async def put_status(
        self, collection: str, name: str, status: Any, version: int
    ) -> Result[StoredObject, PlatformError]:
        metadata = {"name": name, "revision": version}
        document = {"metadata": metadata, "status": status}
        target = _build_target(collection, name, "status")
        reply = await self._call("PUT", target, msgspec.json.encode(document))
        return reply.bind(lambda answer: _decode(answer, _Object)).map(
            lambda item: _build_stored_object(collection, item)
        )

    @override
    async def delete(
        self, collection: str, name: str, version: int, writer: str
    ) -> Result[int, PlatformError]:
        target = _build_target(collection, name, revision=version)
        reply = await self._call("DELETE", target)
        return reply.map(lambda _: version)

    @override
    async def watch(
        self, collection: str, revision: int, timeout_s: float
    ) -> Result[ObjectList, PlatformError]:
        wait_ms = int(timeout_s * MS_PER_S)
        target = _build_target(collection, watch=revision, waitMs=wait_ms)
        call_timeout_s = compute_watch_timeout_s(timeout_s, self._timeout_s)
        reply = await self._call("GET", target, timeout_s=call_timeout_s)
        decoded = reply.bind(lambda answer: _decode(answer, _Events))
        if isinstance(decoded, Failure):
            return decoded
        era = self._eras.resolve(reply.unwrap().headers.get(ERA))
        return Success(_read_events(collection, decoded.unwrap(), era))

    async def _call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        timeout_s: float | None = None,
    ) -> Result[Reply, PlatformError]:
        self.calls += 1
        reply = await fetch(
            self._address,
            method,
            target,
            JSON,
            body,
            timeout_s=timeout_s or self._timeout_s,
            max_bytes=MAX_ANSWER_BYTES,
        )
        if isinstance(reply, Failure):
            return Failure(classify_transport(method, reply.failure()))
        answer = reply.unwrap()
        self._eras.note(answer.headers.get(ERA))
        if answer.status >= 300:
            return Failure(_build_error(method, target, answer))
        return Success(answer)


def _build_target(collection: str, *names: str, **query: str | int) -> str:
    kind = KIND_BY_COLLECTION[Collection(collection)]
    return encode_target("objects", kind, *names, **query)


def _build_error(method: str, target: str, answer: Reply) -> PlatformError:
    message = f"{method} {target}: {answer.status}"
    if answer.status == 404:
        return ObjectNotFoundError(message)
    if answer.status == 409:
        return ConflictError(message, current_version=_read_revision(answer.body))
    if answer.status == 410:
        return RevisionExpiredError(message)
    # The platform guarantees that a call answered with 429 or 503 had no effect.
    return PlatformUnavailableError(message)


def _read_revision(body: bytes) -> int | None:
    decoded = decode_listing(body, _Object)
    return decoded.map(lambda item: item.metadata.revision).value_or(None)


def _decode(answer: Reply, document: type) -> Result[Any, PlatformError]:
    return decode_listing(answer.body, document).alt(
        lambda error: PlatformUnavailableError(error.message)
    )


def _build_stored_object(
    collection: str, item: _Object, *, is_removed: bool = False
) -> StoredObject:
    metadata = item.metadata
    value = None
    if not is_removed:
        value = _read_value(collection, metadata.name, item.spec)
    if isinstance(value, VersionTarget):
        value = add_record(value, decode_json(item.status, Any).value_or(None))
    return StoredObject(metadata.name, metadata.revision, value, deleted=is_removed)


def _read_value(collection: str, name: str, spec: msgspec.Raw) -> Any:
    """Return the decoded document, or log a warning and return ``None`` if invalid."""
    reader = READER_BY_COLLECTION[collection]
    try:
        # An evacuation consists of its name only.
        document = None if reader is read_evacuation else msgspec.json.decode(spec)
        return reader(name, document)
    except UNREADABLE as error:
        structlog.get_logger().warning(
            "object unreadable", collection=collection, name=name, error=str(error)
        )
        return None


def _read_events(collection: str, answer: _Events, era: int) -> ObjectList:
    items = [
        _build_stored_object(collection, event.object, is_removed=event.removed)
        for event in answer.events
    ]
    return ObjectList(answer.store_revision, items, era)
