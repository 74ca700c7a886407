"""Stand-in for a model engine with a completion API and weight administration."""

import curio
import msgspec

from tamaracktray import headers as names
from tamaracktray.endpoints import EngineStatus, LoadOrder
from tamaracktray.http_messages import Headers, Request
from tamaracktray.responders import Responder
from tamaracktray.types import Address
from tamaracktray_emulator.endpoint import EndpointBehavior, EndpointStandIn
from tamaracktray_emulator.standin import JSON, OCTETS, RateLimit, send_json

LOAD_S = 0.05


class CompletionRequest(msgspec.Struct):
    """The fields of a completion request that the stand-in reads."""

    prompt: str = ""
    max_tokens: int | None = None
    stream: bool = False


class EngineStandIn(EndpointStandIn):
    """Answers completions with tokens that contain prompt, version and position."""

    def __init__(self, address: Address, behavior: EndpointBehavior) -> None:
        super().__init__(address, behavior)
        self.chunks_by_digest: dict[str, bytes] = {}
        self.manifest = ""
        self.fence = 0
        self.loads: list[str] = []
        self.chunk_bytes_read = 0
        self._link = RateLimit(behavior.stage_bytes_s)

    async def answer(self, request: Request, responder: Responder) -> None:
        """Answer a caller's request, an agent's order or a control call of a test."""
        if request.path == "/v1/completions":
            await self.run(request, responder)
            return
        if request.path == "/admin/status":
            await send_json(responder, 200, self._status())
            return
        if request.path == "/admin/load":
            order = msgspec.json.decode(request.body, type=LoadOrder)
            await self._load(order, responder)
            return
        if request.path.startswith("/admin/chunks/"):
            await self._handle_chunk(request, responder)
            return
        if request.path == "/restart":
            await self.crash()
            return
        if not await self.answer_control(request, responder):
            await responder.respond(404, [])

    def list_counters(self) -> dict[str, int]:
        """Return the number of chunk bytes read back, also on behalf of peers."""
        return {"chunk_bytes_read": self.chunk_bytes_read}

    async def crash(self) -> None:
        """Crash and lose all weights and other state."""
        self.chunks_by_digest.clear()
        self.manifest = ""
        await super().crash()

    async def write_answer(self, request: Request, responder: Responder) -> None:
        """Write a completion, as a stream if requested."""
        completion = msgspec.json.decode(request.body, type=CompletionRequest)
        manifest = self.manifest
        count = completion.max_tokens or self.behavior.tokens
        tokens = [
            f"{completion.prompt}:{manifest[:8]}:{index}" for index in range(count)
        ]
        headers: Headers = [
            (names.REQUEST_ID, self.answer_id(request)),
            (names.MODEL_VERSION, manifest),
        ]
        await self.spend_time(self.behavior.service_s)
        if completion.stream:
            headers.append(("content-type", "text/event-stream"))
            await self._send_stream(responder, headers, tokens)
            return
        await self.spend_time(self.behavior.token_s * count)
        body = msgspec.json.encode({"choices": [{"text": " ".join(tokens)}]})
        await responder.respond(200, [*headers, *JSON], body)

    async def _send_stream(
        self, responder: Responder, headers: Headers, tokens: list[str]
    ) -> None:
        await responder.send_head(200, headers)
        for position, token in enumerate(tokens):
            if position == len(tokens) // 2 and self.behavior.cut:
                await responder.abort()
                return
            if position == len(tokens) // 2 and self.behavior.truncate:
                await responder.finish()
                return
            event = msgspec.json.encode({"choices": [{"text": token}]})
            await responder.send_data(b"data: " + event + b"\n\n")
            await self.spend_time(self.behavior.token_s)
        await responder.send_data(b"data: [DONE]\n\n")
        await responder.finish()

    def _status(self) -> EngineStatus:
        cold = self.is_cold if self.behavior.reports_cold else None
        return EngineStatus(
            self.boot, self.manifest, True, cold, list(self.chunks_by_digest)
        )

    async def _load(self, order: LoadOrder, responder: Responder) -> None:
        if self.behavior.refuses_old_fence and order.fence < self.fence:
            await send_json(responder, 409, {"message": "old fencing number"})
            return
        self.fence = max(self.fence, order.fence)
        if self.behavior.crash_on_load:
            await self.crash()
            return
        missing = [name for name in order.chunks if name not in self.chunks_by_digest]
        if missing or self.behavior.fail_load:
            await send_json(responder, 422, {"message": "cannot load the weights"})
            return
        await curio.sleep(LOAD_S)
        self.manifest = order.manifest
        self.loads.append(order.manifest)
        self.become_cold()
        await send_json(responder, 200, {})

    async def _handle_chunk(self, request: Request, responder: Responder) -> None:
        digest = request.path.rpartition("/")[2]
        if request.method == "PUT":
            await self._link.throttle(len(request.body))
            self.chunks_by_digest[digest] = request.body
            await responder.respond(204, [])
            return
        data = self.chunks_by_digest.get(digest)
        if data is None:
            await responder.respond(404, [])
            return
        self.chunk_bytes_read += len(data)
        await responder.respond(200, OCTETS, data)
