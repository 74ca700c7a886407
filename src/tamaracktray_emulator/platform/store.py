"""Stand-in for the platform's metadata store, with fault injection."""

import time
from collections import Counter
from collections.abc import Collection
from enum import Enum
from typing import Any
from urllib.parse import unquote

import curio
import msgspec
from typing_extensions import override

from tamaracktray.http_messages import Request
from tamaracktray.responders import Responder
from tamaracktray.types import Address
from tamaracktray_emulator.standin import JSON, StandIn

PAGE_LENGTH = 500
PREFIX = "/objects/"
WATCH_POLL_S = 0.005
MS_PER_S = 1_000.0


class Outage(str, Enum):
    """How the store fails.

    ``BUSY`` answers calls with 503 and ``RATE_LIMITED`` with 429; ``SILENT`` never
    answers.
    """

    NONE = "none"
    BUSY = "busy"
    RATE_LIMITED = "many"
    RESET = "reset"
    SILENT = "silent"


class StoreFaults(msgspec.Struct):
    """Faults that tests inject.

    ``delay_s`` delays every call. The next ``lost_answers`` writes take effect, but
    their connection is reset; the next ``refused_writes`` writes are answered with 503
    and have no effect. With ``hides_changes``, watches return no changes. A watch that
    has waited for ``watch_cut_s`` seconds is cut off. Watches that were open at
    ``silent_before`` are never answered, although their connections stay up.
    """

    outage: Outage = Outage.NONE
    delay_s: float = 0.0
    lost_answers: int = 0
    refused_writes: int = 0
    hides_changes: bool = False
    watch_cut_s: float = 3_600.0
    silent_before: float = 0.0


class StoredChange(msgspec.Struct, frozen=True):
    """One change in the history that watches read."""

    revision: int
    kind: str
    name: str
    object: dict[str, Any]
    is_removed: bool


class StoreCopy(msgspec.Struct, frozen=True):
    """The content of the store at one time."""

    revision: int
    first_revision: int
    objects: dict[tuple[str, str], dict[str, Any]]
    history: list[StoredChange]


class PlatformStoreStandIn(StandIn):
    """Serves objects by kind and name, with a global revision and watches.

    ``era`` counts how often the store was restored from a copy and stands in all its
    answers; ``None`` leaves it out. Connections are reset while ``is_away``.
    ``changed_keys`` are the kinds and names of what was written since the last restore.
    """

    def __init__(self, address: Address) -> None:
        super().__init__(address)
        self.revision = 1
        self.first_revision = 1
        self.era: int | str | None = 1
        self.is_away = False
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.history: list[StoredChange] = []
        self.changed_keys: set[tuple[str, str]] = set()
        self.faults = StoreFaults()
        self.calls = 0
        self.calls_by_kind: Counter[str] = Counter()
        self.status_calls = 0

    def write(self, kind: str, name: str, spec: Any) -> int:
        """Store an object as the operator or an endpoint would; return its revision."""
        self.revision += 1
        metadata = {"name": name, "revision": self.revision, "created": 1}
        metadata |= {"finalizers": [], "deleting": False}
        existing = self.objects.get((kind, name), {})
        stored = {"metadata": metadata, "spec": spec, "status": existing.get("status")}
        self._store(kind, name, stored)
        return self.revision

    def _store(self, kind: str, name: str, stored: dict[str, Any]) -> None:
        self.changed_keys.add((kind, name))
        self.objects[kind, name] = stored
        self.history.append(StoredChange(self.revision, kind, name, stored, False))

    def _write_status(self, kind: str, name: str, status: Any) -> None:
        existing = self.objects[kind, name]
        if existing["status"] == status:
            return
        self.revision += 1
        metadata = existing["metadata"] | {"revision": self.revision}
        self._store(kind, name, existing | {"metadata": metadata, "status": status})

    def remove(self, kind: str, name: str) -> int:
        """Remove an object and return the new revision."""
        self.changed_keys.add((kind, name))
        stored = self.objects.pop((kind, name))
        self.revision += 1
        self.history.append(StoredChange(self.revision, kind, name, stored, True))
        return self.revision

    def withdraw(self, kind: str, name: str) -> None:
        """Remove an object if there is one, so that ``repeat`` leaves it out."""
        self.changed_keys.add((kind, name))
        if (kind, name) in self.objects:
            self.remove(kind, name)

    def compact(self) -> None:
        """Drop the history, which forces older watches to list again."""
        self.first_revision = self.revision
        self.history.clear()

    def copy(self) -> StoreCopy:
        """Return a copy of the content."""
        return StoreCopy(
            self.revision, self.first_revision, dict(self.objects), list(self.history)
        )

    async def go_away(self) -> None:
        """Reset all connections, also new ones, until ``restore`` is called."""
        self.is_away = True
        await self.server.close_connections()

    def restore(self, copy: StoreCopy) -> None:
        """Come back from a copy, which loses all later changes and begins an era."""
        self.revision = copy.revision
        self.first_revision = copy.first_revision
        self.objects = dict(copy.objects)
        self.history = list(copy.history)
        self.changed_keys.clear()
        self.era += 1
        self.is_away = False

    def repeat(self, newest: StoreCopy, kinds: Collection[str]) -> None:
        """Write again what operator and endpoints had written of some kinds.

        What they have written since the last restore stays.
        """
        changed_keys = set(self.changed_keys)
        for (kind, name), stored in newest.objects.items():
            if kind not in kinds or (kind, name) in changed_keys:
                continue
            known = self.objects.get((kind, name))
            if known is None or known["spec"] != stored["spec"]:
                self.write(kind, name, stored["spec"])
        for kind, name in list(self.objects):
            if kind not in kinds or (kind, name) in changed_keys:
                continue
            if (kind, name) not in newest.objects:
                self.remove(kind, name)

    @override
    async def answer(self, request: Request, responder: Responder) -> None:
        kind, name, _ = _split_path(request.target)
        self.calls += 1
        self.calls_by_kind[kind] += 1
        if await self._fail(responder):
            return
        if self.faults.delay_s:
            await curio.sleep(self.faults.delay_s)
        if request.method != "GET":
            await self._write(request, responder, kind, name)
        elif "watch" in request.query:
            await self._watch(request, responder, kind)
        elif name:
            await self._get(responder, kind, name)
        else:
            await self._list(request, responder, kind)

    async def _fail(self, responder: Responder) -> bool:
        outage = Outage.RESET if self.is_away else self.faults.outage
        if outage is Outage.NONE:
            return False
        if outage is Outage.SILENT:
            await curio.sleep(3_600.0)
        if outage is Outage.RESET:
            await responder.abort()
            return True
        status = 503 if outage is Outage.BUSY else 429
        await self._send(responder, status, {"error": "not now"})
        return True

    async def _send(self, responder: Responder, status: int, document: object) -> None:
        headers = JSON if self.era is None else [*JSON, ("store-era", str(self.era))]
        await responder.respond(status, headers, msgspec.json.encode(document))

    async def _get(self, responder: Responder, kind: str, name: str) -> None:
        stored = self.objects.get((kind, name))
        if stored is None:
            await self._send(responder, 404, {"error": "no such object"})
            return
        await self._send(responder, 200, stored)

    async def _list(self, request: Request, responder: Responder, kind: str) -> None:
        after = request.query.get("sinceRevision", "")
        names = sorted(name for key, name in self.objects if key == kind)
        remaining = [name for name in names if name > after]
        page = remaining[:PAGE_LENGTH]
        document = {
            "items": [self.objects[kind, name] for name in page],
            "hasMore": len(remaining) > len(page),
            "storeRevision": self.revision,
        }
        await self._send(responder, 200, document)

    async def _watch(self, request: Request, responder: Responder, kind: str) -> None:
        revision = int(request.query["watch"])
        started_at = time.monotonic()
        deadline = started_at + int(request.query["waitMs"]) / MS_PER_S
        while True:
            if started_at <= self.faults.silent_before:
                await curio.sleep(3_600.0)
            if not self.first_revision <= revision <= self.revision:
                await self._send(responder, 410, {"error": "history is gone"})
                return
            events = [
                {"object": change.object, "removed": change.is_removed}
                for change in self.history
                if change.revision > revision and change.kind == kind
            ]
            is_over = time.monotonic() >= deadline
            if is_over or (events and not self.faults.hides_changes):
                break
            if self.is_away or self.faults.outage is not Outage.NONE:
                await self._fail(responder)
                return
            if time.monotonic() - started_at >= self.faults.watch_cut_s:
                await responder.abort()
                return
            await curio.sleep(WATCH_POLL_S)
        if self.faults.hides_changes:
            events = []
        document = {"events": events, "storeRevision": self.revision}
        await self._send(responder, 200, document)

    async def _write(
        self, request: Request, responder: Responder, kind: str, name: str
    ) -> None:
        if self.faults.refused_writes:
            self.faults.refused_writes -= 1
            await self._send(responder, 503, {"error": "not now"})
            return
        document = msgspec.json.decode(request.body) if request.body else {}
        metadata = document.get("metadata", {})
        name = name or metadata["name"]
        stored = self.objects.get((kind, name))
        expected_revision = metadata.get("revision", request.query.get("revision"))
        if request.method == "POST" and stored is not None:
            await self._send(responder, 409, stored)
            return
        if request.method != "POST" and stored is None:
            await self._send(responder, 404, {"error": "no such object"})
            return
        if (
            expected_revision is not None
            and stored
            and int(expected_revision) != stored["metadata"]["revision"]
        ):
            await self._send(responder, 409, stored)
            return
        if request.method == "DELETE":
            self.remove(kind, name)
        elif _split_path(request.target)[2] == "status":
            self.status_calls += 1
            self._write_status(kind, name, document.get("status"))
        else:
            self.write(kind, name, document.get("spec"))
        if self.faults.lost_answers:
            self.faults.lost_answers -= 1
            await responder.abort()
            return
        await self._send(responder, 200, self.objects.get((kind, name), {}))


def _split_path(target: str) -> tuple[str, str, str]:
    """Return the kind, name and part that a request's target names, or empty texts."""
    path = target.partition("?")[0].removeprefix(PREFIX)
    kind, name, part = [*path.split("/"), "", ""][:3]
    return unquote(kind), unquote(name), part
