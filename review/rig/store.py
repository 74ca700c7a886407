"""A stand-in for the platform's store, as PROTOCOL.md describes it."""

import asyncio
import json
import time

from rig.wire import Request, encode_answer, encode_json, serve

PAGE_OBJECTS = 500
PAGE_BYTES = 1_000_000
PREFIX = "/objects/"
JSON = {"Content-Type": "application/json"}


class Store:
    """Objects by kind and name, with one revision counter and watches."""

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self.revision = 10
        self.objects: dict[tuple[str, str], dict] = {}
        self.raw_specs: dict[tuple[str, str], bytes] = {}
        self.history: list[tuple[int, str, dict, bool]] = []
        self._changed = asyncio.Event()

    @property
    def address(self) -> str:
        """Return the address as ``host:port``."""
        return f"{self.host}:{self.port}"

    async def open(self) -> None:
        """Start to serve."""
        await serve(self.host, self.port, self._handle)

    def write(self, kind: str, name: str, spec: object, status: object = None) -> None:
        """Store an object."""
        self.revision += 1
        known = self.objects.get((kind, name), {})
        created = known.get("metadata", {}).get("created", self.revision)
        metadata = {
            "name": name,
            "revision": self.revision,
            "created": created,
            "finalizers": [],
            "deleting": False,
        }
        item = {"metadata": metadata, "spec": spec, "status": status}
        self.objects[kind, name] = item
        self._note(kind, item, is_removed=False)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        item = self.objects.pop((kind, name))
        self.revision += 1
        self._note(kind, item, is_removed=True)

    def _note(self, kind: str, item: dict, *, is_removed: bool) -> None:
        self.history.append((self.revision, kind, item, is_removed))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _handle(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        kind, _, name = request.path.removeprefix(PREFIX).partition("/")
        if request.method != "GET":
            status, document = self._change(request, kind, name)
        elif "watch" in request.query:
            status, document = await self._watch(request, kind)
        elif name:
            item = self.objects.get((kind, name))
            status, document = (200, item) if item else (404, {})
        else:
            status, document = 200, self._list(kind, request.query)
        writer.write(encode_answer(status, JSON, encode_json(document)))
        await writer.drain()
        return True

    def _list(self, kind: str, query: dict[str, str]) -> dict:
        after = query.get("sinceRevision", "")
        names = sorted(name for key, name in self.objects if key == kind)
        names = [name for name in names if name > after]
        items: list[dict] = []
        size = 0
        for name in names:
            item = self.objects[kind, name]
            size += len(encode_json(item))
            if items and (len(items) >= PAGE_OBJECTS or size > PAGE_BYTES):
                break
            items.append(item)
        has_more = len(items) < len(names)
        return {"items": items, "hasMore": has_more, "storeRevision": self.revision}

    async def _watch(self, request: Request, kind: str) -> tuple[int, dict]:
        since = int(request.query["watch"])
        deadline = time.monotonic() + int(request.query["waitMs"]) / 1_000
        while True:
            events = [
                {"object": item, "removed": is_removed}
                for revision, changed, item, is_removed in self.history
                if revision > since and changed == kind
            ]
            remaining_s = deadline - time.monotonic()
            if events or remaining_s <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), remaining_s)
            except TimeoutError:
                continue

    def _change(self, request: Request, kind: str, name: str) -> tuple[int, dict]:
        document = {}
        if request.body:
            document = json.loads(request.body)
        metadata = document.get("metadata", {})
        name, _, part = (name or metadata["name"]).partition("/")
        known = self.objects.get((kind, name))
        if request.method == "POST":
            if known is not None:
                return 409, known
            self.write(kind, name, document.get("spec"))
            return 200, self.objects[kind, name]
        if known is None:
            return 404, {}
        expected = metadata.get("revision", request.query.get("revision"))
        if expected is not None and int(expected) != known["metadata"]["revision"]:
            return 409, known
        if request.method == "DELETE":
            self.remove(kind, name)
            return 200, known
        spec, status = known["spec"], known["status"]
        if part == "status":
            status = document.get("status")
        else:
            spec = document.get("spec")
        if (spec, status) != (known["spec"], known["status"]):
            self.write(kind, name, spec, status)
        return 200, self.objects[kind, name]
