"""Stand-in of the platform's metadata store, after PROTOCOL.md and the news pages."""

import asyncio
import copy
import json
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

from common.wire import Message, encode, read_message, reset

PAGE_LENGTH = 500
WATCH_POLL_S = 0.005
REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone"}


class Store:
    """Keeps objects by kind and name, with one revision counter and watches.

    While ``is_away``, connections are reset. ``era`` is sent in all answers. Calls that
    are open when ``fall_silent`` is called are never answered; later ones are.
    """

    def __init__(self, record: Callable[[str], None]) -> None:
        self._record = record
        self.revision = 1
        self.first_revision = 1
        self.era = 1
        self.is_away = False
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.history: list[tuple[int, str, dict[str, Any], bool]] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self._silent: set[asyncio.StreamWriter] = set()
        self.writes: list[str] = []

    async def serve(self, host: str, port: int) -> asyncio.Server:
        """Start to listen."""
        return await asyncio.start_server(self._run_connection, host, port)

    def write(self, kind: str, name: str, spec: Any, status: Any = None) -> int:
        """Store an object as the operator or a worker does; return its revision."""
        known = self.objects.get((kind, name))
        if known is not None and known["spec"] == spec and status is None:
            return known["metadata"]["revision"]
        self.revision += 1
        if status is None and known is not None:
            status = known["status"]
        metadata = {
            "name": name,
            "revision": self.revision,
            "created": self.revision,
            "finalizers": [],
            "deleting": False,
        }
        item = {"metadata": metadata, "spec": spec, "status": status}
        self.objects[kind, name] = item
        self.history.append((self.revision, kind, item, False))
        return self.revision

    def remove(self, kind: str, name: str) -> int:
        """Remove an object; return the new revision."""
        item = self.objects.pop((kind, name))
        self.revision += 1
        self.history.append((self.revision, kind, item, True))
        return self.revision

    def copy(self) -> tuple:
        """Return a copy of the content."""
        return (
            self.revision,
            self.first_revision,
            dict(self.objects),
            list(self.history),
        )

    def go_away(self) -> None:
        """Reset all connections and accept no calls until ``come_back``."""
        self.is_away = True
        for writer in list(self._writers):
            reset(writer)

    def come_back(self, content: tuple) -> None:
        """Serve again, from an older copy."""
        revision, first_revision, objects, history = copy.deepcopy(content)
        self.revision = revision
        self.first_revision = first_revision
        self.objects = objects
        self.history = history
        self.era += 1
        self.is_away = False

    def fall_silent(self) -> int:
        """Never answer the calls that are open now; return their number."""
        self._silent.update(self._writers)
        return len(self._writers)

    async def _run_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.is_away:
            reset(writer)
            return
        self._writers.add(writer)
        try:
            while request := await read_message(reader):
                status, document = await self._answer(request, writer)
                if writer in self._silent:
                    await reader.read()
                    return
                headers = {
                    "Content-Type": "application/json",
                    "Store-Era": str(self.era),
                }
                line = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"
                body = json.dumps(document).encode()
                writer.write(encode(line, headers, body))
                await writer.drain()
                if request.headers.get("connection", "") == "close":
                    return
        except (OSError, asyncio.IncompleteReadError):
            reset(writer)
        finally:
            self._writers.discard(writer)
            self._silent.discard(writer)
            writer.close()

    async def _answer(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> tuple[int, Any]:
        parts = urlsplit(request.target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        kind, _, name = parts.path.removeprefix("/objects/").partition("/")
        if request.method != "GET":
            return self._change(request, query, kind, name)
        if "watch" in query:
            return await self._watch(query, kind, writer)
        if name:
            item = self.objects.get((kind, name))
            return (404, {"error": "absent"}) if item is None else (200, item)
        after = query.get("sinceRevision", "")
        names = sorted(name for key, name in self.objects if key == kind)
        names = [name for name in names if name > after]
        return 200, {
            "items": [self.objects[kind, name] for name in names[:PAGE_LENGTH]],
            "hasMore": len(names) > PAGE_LENGTH,
            "storeRevision": self.revision,
        }

    async def _watch(
        self, query: dict[str, str], kind: str, writer: asyncio.StreamWriter
    ) -> tuple[int, Any]:
        revision = int(query["watch"])
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(query.get("waitMs", "0")) / 1_000.0
        while writer not in self._silent:
            if not self.first_revision <= revision <= self.revision:
                return 410, {"error": "this revision is not in the history"}
            events = [
                {"object": item, "removed": is_removed}
                for changed, key, item, is_removed in self.history
                if changed > revision and key == kind
            ]
            if events or loop.time() >= deadline:
                return 200, {"events": events, "storeRevision": self.revision}
            await asyncio.sleep(WATCH_POLL_S)
        return 200, {}

    def _change(
        self, request: Message, query: dict[str, str], kind: str, name: str
    ) -> tuple[int, Any]:
        document = json.loads(request.body) if request.body else {}
        metadata = document.get("metadata", {})
        name, _, part = (name or metadata["name"]).partition("/")
        known = self.objects.get((kind, name))
        expected = metadata.get("revision", query.get("revision"))
        if request.method == "POST" and known is not None:
            return 409, known
        if request.method != "POST" and known is None:
            return 404, {"error": "absent"}
        if (
            known is not None
            and expected is not None
            and int(expected) != known["metadata"]["revision"]
        ):
            return 409, known
        self._record(f"store: {request.method} {kind}/{name} {part}".rstrip())
        self.writes.append(f"{kind}/{name}")
        if request.method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        if part == "status":
            self.write(kind, name, known["spec"], document.get("status"))
        else:
            self.write(kind, name, document.get("spec"))
        return 200, self.objects[kind, name]
