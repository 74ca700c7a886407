"""Stand-ins for the platform's workers: plain workers and model engines."""

import time
from enum import Enum
from typing import Any
from urllib.parse import quote

import curio
import msgspec
from typing_extensions import override

from tamaracktray.http_messages import Headers, Request
from tamaracktray.responders import Responder
from tamaracktray.types import Address
from tamaracktray.weights import digest_bytes
from tamaracktray_emulator.platform.documents import (
    CHUNKS,
    ENGINE_MODEL,
    LAYERS,
    build_worker,
)
from tamaracktray_emulator.standin import StandIn, send_json

REQUEST_ID = "x-tamaracktray-request-id"
SIGNATURE = "x-tamaracktray-server-signature"
NOT_RUN = "x-tamaracktray-not-executed"
EXPECTED_ENDPOINT = "x-tamaracktray-expect-instance"
EXPECTED_VERSION = "x-tamaracktray-expect-version"
VERSION = "x-tamaracktray-weight-versions"
LEAVING = "server-leaving"
PAUSE = "retry-after"
LIMIT = "server-limit"
PROMPT_PARTS = "x-tamaracktray-prefix-hash"

# Size of the memory for tokens in an engine's report, in tokens times layers.
KV_TOTAL = 90_000

EVENTS = 6
EVENT_S = 0.01
WORK_S = 0.01
DRIP_S = 0.2
MS_PER_S = 1_000.0


# Size of the pieces in which a long answer is sent, in bytes.
PIECE_BYTES = 65_536


def build_body(endpoint_id: str, min_bytes: int = 0) -> bytes:
    """Return an answer that repeats the endpoint's id up to a minimum length."""
    body = b"answer of " + endpoint_id.encode()
    return body * max(-(-min_bytes // len(body)), 1)


class Mode(str, Enum):
    """How a worker answers.

    ``WRONG_ID`` answers with another request's id, ``WRONG_ID_REFUSAL`` refuses with
    one, ``UNSIGNED`` omits the signature, ``CUTTING`` resets the connection before the
    answer is complete and ``DRIPPING`` keeps a stream open without sending events.
    """

    GOOD = "good"
    FULL = "full"
    FAILING = "failing"
    HANGING = "hanging"
    CUTTING = "cutting"
    WRONG_ID = "crossed"
    UNSIGNED = "unsigned"
    GARBLED = "garbled"
    UNFRAMED = "unframed"
    EXTRA = "extra"
    DRIPPING = "dripping"
    WRONG_ID_REFUSAL = "crossed_refusal"


class CrashMode(str, Enum):
    """How a worker crashes.

    ``RESET`` closes its connections; ``SILENCE`` keeps them open without sending data.
    """

    RESET = "reset"
    SILENCE = "silence"


class CrashPoint(str, Enum):
    """When an engine crashes on a fatal prompt part, as it begins its answer."""

    BEFORE_HEAD = "before_head"
    AFTER_FIRST_EVENT = "after_first_event"


class WorkerStandIn(StandIn):
    """Answers requests and records those it ran.

    ``runs`` maps each request id to the headers of its runs. With ``is_leaving`` set,
    answers carry a leaving notice. With ``pause`` set, the worker refuses requests and
    asks for a pause of that many seconds; ``is_pause_marked`` also marks them as not
    run. A request with the body ``fatal_body`` crashes the worker as ``crash_mode``
    says; ``crashed_at`` is the time of the crash, or 0. A non-empty ``limit`` is named
    in all answers; ``arrived_at`` are the times at which requests arrived. Until
    ``silent_until`` on the monotonic clock the worker sends no data.
    """

    def __init__(self, address: Address, endpoint_id: str, service: str) -> None:
        super().__init__(address)
        self.id = endpoint_id
        self.service = service
        self.mode = Mode.GOOD
        self.cut_after = EVENTS
        self.runs: dict[str, list[dict[str, str]]] = {}
        self.finished: list[str] = []
        self.arrivals = 0
        self.is_leaving = False
        self.pause = ""
        self.limit = ""
        self.arrived_at: list[float] = []
        self.is_pause_marked = True
        self.start_time_ms = 1
        self.fatal_body: bytes | None = None
        self.crash_mode = CrashMode.RESET
        self.crashed_at = 0.0
        self.silent_until = 0.0

    @property
    def is_unresponsive(self) -> bool:
        """Return whether the worker crashed but keeps its connections open."""
        return bool(self.crashed_at) and self.crash_mode is CrashMode.SILENCE

    async def wait_out_silence(self) -> None:
        """Wait until the worker may send data."""
        while (left_s := self.silent_until - time.monotonic()) > 0:
            await curio.sleep(left_s)

    def describe(self, zone: str, **fields: Any) -> dict[str, Any]:
        """Return the record that the worker writes to the store."""
        options = {"born": self.start_time_ms, **fields}
        return build_worker(self.service, self.server.address, zone, **options)

    @override
    async def answer(self, request: Request, responder: Responder) -> None:
        self.arrivals += 1
        self.arrived_at.append(time.monotonic())
        if self.crashed_at:
            await self._drop_request(responder)
            return
        notices = [(LEAVING, "1")] if self.is_leaving else []
        if self.limit:
            notices.append((LIMIT, self.limit))
        if request.headers.get(EXPECTED_ENDPOINT, self.id) != self.id:
            await responder.respond(421, notices)
            return
        self.note_arrival(request)
        if self.pause or self.mode is Mode.FULL:
            await self.wait_out_silence()
        if self.pause:
            self.note_pause(request, responder, float(self.pause))
            marks = [(NOT_RUN, "1")] if self.is_pause_marked else []
            await responder.respond(503, [*notices, *marks, (PAUSE, self.pause)])
            return
        if self.mode is Mode.FULL:
            await responder.respond(503, [*notices, (NOT_RUN, "1")])
            return
        request_id = request.headers.get(REQUEST_ID, "")
        self.runs.setdefault(request_id, []).append(request.headers)
        if request.body == self.fatal_body:
            self.crashed_at = time.monotonic()
            await self._drop_request(responder)
            return
        await self.run(request, responder, self._build_headers(request_id))
        self.finished.append(request_id)

    async def _drop_request(self, responder: Responder) -> None:
        if self.crash_mode is CrashMode.SILENCE:
            await curio.sleep(3_600.0)
        await self.server.close_connections()
        await responder.abort()

    def note_arrival(self, request: Request) -> None:
        """Handle the arrival of a request addressed to this worker."""

    def note_pause(
        self, request: Request, responder: Responder, pause_s: float
    ) -> None:
        """Handle the refusal of a request with a pause notice."""

    def _build_headers(self, request_id: str) -> Headers:
        if self.mode is Mode.WRONG_ID:
            request_id = "another"
        headers = [(REQUEST_ID, request_id), (SIGNATURE, f"sig.{quote(self.id)}")]
        if self.is_leaving:
            headers.append((LEAVING, "1"))
        if self.limit:
            headers.append((LIMIT, self.limit))
        return headers[:1] if self.mode is Mode.UNSIGNED else headers

    async def run(
        self, request: Request, responder: Responder, headers: Headers
    ) -> None:
        """Run a request and answer it in the mode at its beginning."""
        # Modes change meanwhile, and an engine leaves only some of them to this method.
        mode = self.mode
        await curio.sleep(WORK_S)
        await self.wait_out_silence()
        if mode is Mode.HANGING or self.is_unresponsive:
            await curio.sleep(3_600.0)
        body = build_body(self.id, self.compute_answer_bytes(request))
        if mode is Mode.CUTTING:
            if len(body) > PIECE_BYTES:
                await responder.send_head(200, headers)
                await responder.send_data(body[: len(body) // 2])
            await responder.abort()
            return
        if mode is Mode.WRONG_ID_REFUSAL:
            await responder.respond(503, [(REQUEST_ID, "another"), (NOT_RUN, "1")])
            return
        status = 500 if mode is Mode.FAILING else 200
        if len(body) <= PIECE_BYTES or status != 200:
            await responder.respond(status, headers, body)
            return
        await responder.send_head(status, headers)
        for start in range(0, len(body), PIECE_BYTES):
            await self.wait_out_silence()
            await responder.send_data(body[start : start + PIECE_BYTES])
        await responder.finish()

    def compute_answer_bytes(self, request: Request) -> int:
        """Return the minimum length of a request's answer, in bytes."""
        return 0


class EngineStandIn(WorkerStandIn):
    """A worker that streams events and accepts weights and load orders.

    An event takes ``event_s`` seconds. A stream pauses for ``pause_s`` seconds after
    event ``pause_after``. A request whose prompt holds one of the ``fatal_parts``
    crashes the engine at ``crash_point``. Its report names ``pace``, ``queued``,
    ``running`` and ``kv_used`` (of ``KV_TOTAL``), whatever requests it runs.
    """

    def __init__(self, address: Address, endpoint_id: str, service: str) -> None:
        super().__init__(address, endpoint_id, service)
        self.version = 0
        self.staged: dict[int, bytes] = {}
        self.loaded_digests: list[str] = []
        self.orders: list[dict[str, Any]] = []
        self.is_busy = False
        self.sequence = 0
        self.load_s = 0.05
        self.event_s = EVENT_S
        self.pause_after = 0
        self.pause_s = 0.0
        self.pace = 1.0
        self.queued = 0
        self.running = 0
        self.kv_used = 0
        self.fatal_parts: frozenset[str] = frozenset()
        self.crash_point = CrashPoint.BEFORE_HEAD

    def restart(self) -> None:
        """Unload the model but keep staged chunks, as after a crash."""
        self.crashed_at = 0.0
        self.version = 0
        self.sequence = 0
        self.start_time_ms = max(self.start_time_ms + 1, int(time.time() * MS_PER_S))

    def list_models(self) -> list[dict[str, Any]]:
        """Return the loaded models as listed in reports and store records."""
        if not self.version:
            return []
        return [{"name": ENGINE_MODEL, "version": self.version, "adapters": []}]

    def list_layers(self) -> list[dict[str, Any]]:
        """Return the loaded layers."""
        if not self.version:
            return []
        return [{"from": 0, "to": LAYERS, "version": self.version}]

    @override
    def describe(self, zone: str, **fields: Any) -> dict[str, Any]:
        models = {"models": self.list_models(), "layers": self.list_layers()}
        return super().describe(zone, **{**models, "seq": self.sequence, **fields})

    @override
    async def answer(self, request: Request, responder: Responder) -> None:
        if request.path.startswith(("/report", "/order", "/stage-")):
            await self.wait_out_silence()
        if request.path == "/report":
            await send_json(responder, 200, self._report())
        elif request.path == "/order":
            await self._handle_order(request, responder)
        elif request.path.startswith("/stage-"):
            await self._handle_stage(request, responder)
        elif request.headers.get(EXPECTED_VERSION, str(self.version)) != str(
            self.version
        ):
            await responder.respond(421, [])
        else:
            await super().answer(request, responder)

    def _report(self) -> dict[str, Any]:
        return {
            "stage": "both",
            "models": self.list_models(),
            "layers": self.list_layers(),
            "busy": self.is_busy,
            "seq": self.sequence,
            "queued": self.queued,
            "active": self.running,
            "kvUsed": self.kv_used,
            "kvTotal": KV_TOTAL,
            "handles": 0,
            "born": self.start_time_ms,
            "pace": self.pace,
        }

    async def _handle_stage(self, request: Request, responder: Responder) -> None:
        quantity = request.query.get("quantity")
        if request.method == "PUT":
            self.staged[int(quantity)] = request.body
            await responder.respond(200, [])
        elif quantity is None:
            await send_json(responder, 200, {"held": sorted(self.staged)})
        elif int(quantity) in self.staged:
            await responder.respond(200, [], self.staged[int(quantity)])
        else:
            await responder.respond(404, [])

    async def _handle_order(self, request: Request, responder: Responder) -> None:
        order = msgspec.json.decode(request.body)
        self.orders.append(order)
        if order.get("precondition", self.sequence) != self.sequence or self.is_busy:
            await responder.respond(409, [])
            return
        self.sequence += 1
        self.is_busy = True
        self.loaded_digests = [
            digest_bytes(self.staged.get(index, b"")) for index in range(CHUNKS)
        ]
        await curio.spawn(self._load, order["version"], daemon=True)
        await responder.respond(202, [])

    async def _load(self, version: int) -> None:
        self.version = 0
        await curio.sleep(self.load_s)
        self.version = version
        self.is_busy = False

    @override
    async def run(
        self, request: Request, responder: Responder, headers: Headers
    ) -> None:
        first = int(request.headers.get("last-event-id", "0")) + 1
        if self.mode in (Mode.HANGING, Mode.FAILING):
            await super().run(request, responder, headers)
            return
        headers = [*headers, (VERSION, str(self.version))]
        headers.append(("content-type", "text/event-stream"))
        is_fatal = self.is_fatal(request)
        if is_fatal and self.crash_point is CrashPoint.BEFORE_HEAD:
            await self._crash(responder)
            return
        await self.wait_out_silence()
        await responder.send_head(200, headers)
        while self.mode is Mode.DRIPPING:
            await responder.send_data(b":")
            await curio.sleep(DRIP_S)
        for number in range(first, EVENTS + 1):
            await curio.sleep(self.event_s)
            await self.wait_out_silence()
            if number == self.pause_after + 1:
                await curio.sleep(self.pause_s)
            if self.is_unresponsive:
                await curio.sleep(3_600.0)
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            if self.mode is Mode.CUTTING and number > self.cut_after:
                await responder.send_data(event[: len(event) // 2])
                await responder.abort()
                return
            await responder.send_data(event)
            if is_fatal:
                await self._crash(responder)
                return
        await self.wait_out_silence()
        await responder.finish()

    def is_fatal(self, request: Request) -> bool:
        """Return whether a request holds a part that crashes this engine."""
        parts = request.headers.get(PROMPT_PARTS, "").split(",")
        return any(part.partition(":")[0] in self.fatal_parts for part in parts)

    async def _crash(self, responder: Responder) -> None:
        """Break off all answers, as an engine that ends in the middle of a batch."""
        if not self.crashed_at:
            self.crashed_at = time.monotonic()
        await self._drop_request(responder)
