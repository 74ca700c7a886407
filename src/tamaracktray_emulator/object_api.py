"""Stand-in for the platform's object API.

Follows the REST conventions of Kubernetes-style APIs: collections of objects with a
global ``resourceVersion``, conditional writes and watches.
"""

import contextlib

import curio
import msgspec

from tamaracktray.http_messages import Request
from tamaracktray.objects import API_PREFIX
from tamaracktray.responders import Responder
from tamaracktray.types import Address
from tamaracktray_emulator.standin import JSON, StandIn, send_json

HISTORY_LENGTH = 10_000
MAX_VALUE_BYTES = 1_048_576


class ObjectFaults(msgspec.Struct):
    """Faults that tests inject.

    ``is_out`` resets every call. ``delay_s`` delays every call. The next
    ``lose_answers`` writes take effect, but their connection is reset.
    """

    is_out: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0


class Change(msgspec.Struct, frozen=True):
    """One change in the history that watches read."""

    type: str
    revision: int
    collection: str
    object: dict


class ObjectTable:
    """The objects and the history of their changes."""

    def __init__(self) -> None:
        self.revision = 1
        self.objects: dict[tuple[str, str], dict] = {}
        self.history: list[Change] = []
        self.first_revision = 1

    def write(
        self, collection: str, name: str, document: dict, change_type: str
    ) -> dict:
        """Store a document under the next revision and return the stored object."""
        self.revision += 1
        metadata = {**document["metadata"], "name": name}
        metadata["resourceVersion"] = str(self.revision)
        stored = {"metadata": metadata, "spec": document.get("spec")}
        self.objects[collection, name] = stored
        self._record_change(change_type, collection, stored)
        return stored

    def remove(self, collection: str, name: str) -> int:
        """Delete an object and return the revision of the deletion."""
        self.revision += 1
        stored = self.objects.pop((collection, name))
        metadata = {**stored["metadata"], "resourceVersion": str(self.revision)}
        self._record_change("DELETED", collection, {**stored, "metadata": metadata})
        return self.revision

    def select(self, collection: str) -> list[dict]:
        """Return the objects of a collection."""
        return [item for key, item in self.objects.items() if key[0] == collection]

    def changes(self, collection: str, revision: int) -> list[Change]:
        """Return the changes of a collection after a revision."""
        return [
            change
            for change in self.history
            if change.revision > revision and change.collection == collection
        ]

    def _record_change(self, change_type: str, collection: str, stored: dict) -> None:
        self.history.append(Change(change_type, self.revision, collection, stored))
        if len(self.history) > HISTORY_LENGTH:
            self.first_revision = self.history.pop(0).revision


class ObjectApiStandIn(StandIn):
    """Serves an ``ObjectTable`` and injects the faults that a test sets."""

    def __init__(self, address: Address) -> None:
        super().__init__(address)
        self.table = ObjectTable()
        self.faults = ObjectFaults()
        self.calls_by_method: dict[str, int] = {}
        self._changed = curio.Condition()

    async def answer(self, request: Request, responder: Responder) -> None:
        """Answer an API call or a control call of a test."""
        if request.path == "/faults":
            self.faults = msgspec.json.decode(request.body, type=ObjectFaults)
            await send_json(responder, 200, self.faults)
            return
        if request.path == "/calls":
            await send_json(responder, 200, self.calls_by_method)
            return
        await self._answer_call(request, responder)

    async def _answer_call(self, request: Request, responder: Responder) -> None:
        method = "WATCH" if request.query.get("watch") else request.method
        self.calls_by_method[method] = self.calls_by_method.get(method, 0) + 1
        if self.faults.is_out:
            await responder.abort()
            return
        if self.faults.delay_s:
            await curio.sleep(self.faults.delay_s)
        if not request.path.startswith(API_PREFIX + "/"):
            await _send_status(responder, 404, "NotFound")
            return
        parts = request.path[len(API_PREFIX) + 1 :].split("/")
        name = parts[1] if len(parts) == 2 else ""
        if request.method == "GET":
            await self._read(request, responder, parts[0], name)
            return
        await self._write(request, responder, parts[0], name)

    async def _read(
        self, request: Request, responder: Responder, collection: str, name: str
    ) -> None:
        if request.query.get("watch"):
            await self._watch(request, responder, collection)
            return
        if not name:
            items = self.table.select(collection)
            metadata = {"resourceVersion": str(self.table.revision)}
            document = {"metadata": metadata, "items": items}
            await send_json(responder, 200, document)
            return
        stored = self.table.objects.get((collection, name))
        if stored is None:
            await _send_status(responder, 404, "NotFound")
            return
        await send_json(responder, 200, stored)

    async def _watch(
        self, request: Request, responder: Responder, collection: str
    ) -> None:
        """Answer with the changes after a revision, once there is one or at timeout."""
        revision = int(request.query.get("resourceVersion", "0"))
        timeout_s = float(request.query.get("timeoutSeconds", "30"))
        if revision < self.table.first_revision - 1:
            await _send_status(responder, 410, "Expired")
            return
        with contextlib.suppress(curio.TaskTimeout):
            await curio.timeout_after(
                timeout_s, self._wait_change(collection, revision)
            )
        if self.faults.is_out:
            await responder.abort()
            return
        changes = self.table.changes(collection, revision)
        lines = [
            msgspec.json.encode({"type": change.type, "object": change.object})
            for change in changes
        ]
        bookmark = {"metadata": {"resourceVersion": str(self.table.revision)}}
        lines.append(msgspec.json.encode({"type": "BOOKMARK", "object": bookmark}))
        await responder.respond(200, JSON, b"\n".join(lines))

    async def _wait_change(self, collection: str, revision: int) -> None:
        async with self._changed:
            while not self.table.changes(collection, revision):
                await self._changed.wait()

    async def _write(
        self, request: Request, responder: Responder, collection: str, name: str
    ) -> None:
        if len(request.body) > MAX_VALUE_BYTES:
            await _send_status(responder, 413, "RequestEntityTooLarge")
            return
        document = msgspec.json.decode(request.body)
        if request.method == "POST":
            name = document["metadata"]["name"]
        stored = self.table.objects.get((collection, name))
        error_status = _find_write_error(request.method, document, stored)
        if error_status:
            await _send_status(responder, error_status, "Conflict", stored)
            return
        answer = self._apply(request.method, collection, name, document)
        async with self._changed:
            await self._changed.notify_all()
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            await responder.abort()
            return
        await send_json(responder, 200, answer)

    def _apply(self, method: str, collection: str, name: str, document: dict) -> dict:
        if method == "DELETE":
            revision = self.table.remove(collection, name)
            return {"metadata": {"resourceVersion": str(revision)}}
        change_type = "ADDED" if method == "POST" else "MODIFIED"
        return self.table.write(collection, name, document, change_type)


def _find_write_error(method: str, document: dict, stored: dict | None) -> int:
    """Return the status with which to refuse a write, or 0 to accept it."""
    if method == "POST":
        return 0 if stored is None else 409
    if stored is None:
        return 404
    if method == "DELETE":
        expected = document.get("preconditions", {}).get("resourceVersion")
    else:
        expected = document["metadata"].get("resourceVersion")
    return 0 if expected == stored["metadata"]["resourceVersion"] else 409


async def _send_status(
    responder: Responder, status: int, reason: str, stored: dict | None = None
) -> None:
    details = {}
    if stored is not None:
        details["resourceVersion"] = stored["metadata"]["resourceVersion"]
    document = {"kind": "Status", "code": status, "reason": reason, "details": details}
    await send_json(responder, status, document)
