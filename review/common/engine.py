"""Stand-ins of a model worker and of the origin of weights, after PROTOCOL.md."""

import asyncio
import contextlib
import hashlib
import json
import random
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

from common.wire import Message, encode, read_message
from common.worker import EXPECTED, REQUEST_ID, Worker

MODEL = "daka510000"
LAYERS = 16
PIECES = 96
PIECE_BYTES = 24_576
WARM_S = 0.3
EVENTS = 4
EVENT_S = 0.02
# Time in which a staged piece is read, in seconds.
READ_S = 0.004
EXPECTED_VERSION = "x-tamaracktray-expect-version"
SPOILT_EXCUSE_S = 3.0


def build_piece(version: int, index: int) -> bytes:
    """Return the bytes of a piece."""
    seed = f"{MODEL}/{version}/{index}".encode()
    return hashlib.shake_256(seed).digest(PIECE_BYTES)


def build_engine_service(name: str) -> dict[str, Any]:
    """Return the service of the model workers."""
    return {
        "name": name,
        "healthPath": "/healthz",
        "maxConnections": 424,
        "warmupS": 3.0,
        "coldPerS": 36.0,
        "engine": {
            "maxBatchSize": 16,
            "kvCapacity": 1_640_000,
            "stride": 6,
            "models": [{"name": MODEL, "warmS": WARM_S}],
            "step_ms": 6.73,
            "per_seq_ms": 0.0219,
            "context_per_k": 0.0068,
            "read_per_s": 30_600.0,
            "pairs_per_m": 0.647,
            "chunk": 2_048,
            "usual": {"prompt": 964, "answer": 119},
            "layers": LAYERS,
            "chunks": PIECES,
            "chunkBytes": PIECE_BYTES,
        },
    }


class Engine(Worker):
    """A model worker that checks what it loads.

    ``on_staged_read`` is called with the number of staged pieces read since the last
    one was written. ``spoilt_at`` maps the index of a piece to when it turned bad.
    ``spoilt_loads`` describes the loads that took pieces that had been bad for longer
    than the rules excuse.
    """

    def __init__(
        self, name: str, service: str, zone: str, record: Callable[[str], None]
    ) -> None:
        super().__init__(name, service, zone, record)
        self.version = 1
        self.sequence = 0
        self.is_busy = False
        self.staged = {index: build_piece(1, index) for index in range(PIECES)}
        self.spoilt_at: dict[int, float] = {}
        self.spoilt_loads: list[str] = []
        self.spoilt_tokens: list[str] = []
        self.reads_since_write = 0
        self.on_staged_read: Callable[[Engine], None] | None = None
        self._loading: set[asyncio.Task] = set()
        self._running = 0

    def describe(self, **fields: Any) -> dict[str, Any]:
        """Return the entry that the engine writes to the store."""
        return super().describe(**{**self._describe_weights(), **fields})

    def _describe_weights(self) -> dict[str, Any]:
        models, layers = [], []
        if self.version:
            models = [{"name": MODEL, "version": self.version, "adapters": []}]
            layers = [{"from": 0, "to": LAYERS, "version": self.version}]
        return {"models": models, "layers": layers, "seq": self.sequence}

    def holds_whole(self, version: int) -> bool:
        """Return whether all pieces of a version are staged and sound."""
        return all(
            self.staged[index] == build_piece(version, index) for index in range(PIECES)
        )

    def spoil(self, share: float) -> list[int]:
        """Let a share of the staged pieces turn bad; return their indices."""
        indices = sorted(random.sample(range(PIECES), round(share * PIECES)))
        for index in indices:
            self.staged[index] = b"\0" + self.staged[index][1:]
            self.spoilt_at[index] = time.monotonic()
        self._record(f"{self.name}: pieces {indices} turn bad")
        return indices

    async def answer(self, request: Message) -> bytes:
        """Answer a call of the agent or a request."""
        parts = urlsplit(request.target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        echo = {"X-Tamaracktray-Request-Id": request.headers.get(REQUEST_ID, "")}
        if parts.path == "/report":
            document = {
                "stage": "both",
                "busy": self.is_busy,
                "queued": 0,
                "active": 0,
                "kvUsed": 0,
                "kvTotal": 1_640_000,
                "handles": 0,
                "born": self.born,
                "pace": 1.0,
                **self._describe_weights(),
            }
            return _encode_json(document, echo)
        if parts.path.startswith("/stage-"):
            if request.method == "GET":
                await asyncio.sleep(READ_S)
            return self._answer_stage(request, query, echo)
        if parts.path == "/order":
            return self._accept_order(json.loads(request.body), echo)
        return await self._answer_request(request, echo)

    def _answer_stage(
        self, request: Message, query: dict[str, str], echo: dict[str, str]
    ) -> bytes:
        if "quantity" not in query:
            return _encode_json({"held": sorted(self.staged)}, echo)
        index = int(query["quantity"])
        if request.method == "PUT":
            self.staged[index] = request.body
            self.spoilt_at.pop(index, None)
            self.reads_since_write = 0
            return encode("HTTP/1.1 200 OK", echo)
        self.reads_since_write += 1
        if self.on_staged_read is not None:
            self.on_staged_read(self)
        return encode("HTTP/1.1 200 OK", echo, self.staged[index])

    def _accept_order(self, order: dict[str, Any], echo: dict[str, str]) -> bytes:
        if self.is_busy or order.get("precondition", self.sequence) != self.sequence:
            return encode("HTTP/1.1 409 Conflict", echo)
        version = order["version"]
        if version == self.version:
            return encode("HTTP/1.1 200 OK", echo)
        now = time.monotonic()
        wrong = [
            index
            for index in range(PIECES)
            if self.staged[index] != build_piece(version, index)
        ]
        bad = [
            index
            for index in wrong
            if now - self.spoilt_at.get(index, 0.0) > SPOILT_EXCUSE_S
        ]
        ages = [f"{index}: {now - self.spoilt_at.get(index, 0):.2f} s" for index in bad]
        self._record(
            f"{self.name}: accepts the order to load version {version}; wrong pieces "
            f"{wrong}, of these bad for longer than the rule excuses {ages}"
        )
        if bad:
            self.spoilt_loads.append(f"version {version} with {ages}")
        self.sequence += 1
        self.is_busy = True
        task = asyncio.create_task(self._load(version, is_spoilt=bool(bad)))
        self._loading.add(task)
        return encode("HTTP/1.1 202 Accepted", echo)

    async def _load(self, version: int, *, is_spoilt: bool) -> None:
        while self._running:
            await asyncio.sleep(EVENT_S)
        self.version = 0
        await asyncio.sleep(WARM_S)
        self.version = version
        self.is_busy = False
        if not is_spoilt:
            self.spoilt_loads.clear()
        self._record(f"{self.name}: has loaded version {version}")

    async def _answer_request(self, request: Message, echo: dict[str, str]) -> bytes:
        if self.is_busy:
            # A worker that loads accepts nothing new and says so.
            marked = {**echo, "X-Tamaracktray-Not-Executed": "1"}
            return encode("HTTP/1.1 503 Service Unavailable", marked)
        expected = request.headers.get(EXPECTED_VERSION, str(self.version))
        is_other = request.headers.get(EXPECTED, self.name) != self.name
        if is_other or expected != str(self.version) or not self.version:
            return encode("HTTP/1.1 421 Misdirected Request", echo)
        version = self.version
        self._running += 1
        self.note_run(request, request.headers.get(REQUEST_ID, ""))
        self.spoilt_tokens.extend(
            f"{request.headers.get(REQUEST_ID, '')} at {self.name}, which has loaded "
            f"{load}"
            for load in self.spoilt_loads
        )
        events = b""
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            events += f"id: {number}\ndata: token {number}\n\n".encode()
        self._running -= 1
        headers = {
            **echo,
            "X-Tamaracktray-Server-Signature": f"sig.{self.name}",
            "X-Tamaracktray-Weight-Versions": str(version),
            "Content-Type": "text/event-stream",
        }
        return encode("HTTP/1.1 200 OK", headers, events)


class Origin:
    """Serves the manifests and pieces of all versions."""

    async def serve(self, host: str, port: int) -> asyncio.Server:
        """Start to listen."""
        return await asyncio.start_server(self._run_connection, host, port)

    async def _run_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while request := await read_message(reader):
                writer.write(self._answer(request))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            with contextlib.suppress(OSError):
                writer.close()

    def _answer(self, request: Message) -> bytes:
        parts = urlsplit(request.target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        version = int(query["version"])
        if parts.path.startswith("/piece/"):
            piece = build_piece(version, int(query["quantity"]))
            return encode("HTTP/1.1 200 OK", {}, piece)
        digests = [
            hashlib.sha256(build_piece(version, index)).hexdigest()
            for index in range(PIECES)
        ]
        document = {
            "model": MODEL,
            "version": version,
            "chunkBytes": PIECE_BYTES,
            "layers": LAYERS,
            "digests": digests,
        }
        return _encode_json(document, {})


def _encode_json(document: Any, headers: dict[str, str]) -> bytes:
    body = json.dumps(document).encode()
    typed = {**headers, "Content-Type": "application/json"}
    return encode("HTTP/1.1 200 OK", typed, body)
