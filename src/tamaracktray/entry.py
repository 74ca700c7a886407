"""Entry process: accepts callers' requests and relays them to agents."""

import time
from collections.abc import Awaitable, Callable

import curio
from returns.result import Failure, Result, Success
from typing_extensions import override

from tamaracktray import headers as names
from tamaracktray.answer_ends import AnswerEnd
from tamaracktray.api import ResourceApi
from tamaracktray.dispatch import DispatchState
from tamaracktray.effects import AnswerRefusal, Effect, SendAttempt
from tamaracktray.events import (
    AttemptEnded,
    CallerRequest,
    RequestArrived,
    RequestEnded,
)
from tamaracktray.exchange import Exchange, open_exchange
from tamaracktray.http import HttpServer
from tamaracktray.http_messages import Headers, Reply, Request
from tamaracktray.instances import InstanceList
from tamaracktray.messages import (
    build_attempt_headers,
    decode_refusal,
    encode_refusal,
    parse_caller_request,
    refuse_bad_request,
)
from tamaracktray.objects import ObjectStore
from tamaracktray.outcomes import AttemptPhase
from tamaracktray.responders import Responder
from tamaracktray.settings import Settings
from tamaracktray.shell import Shell
from tamaracktray.tracing import TRACE_HEADER
from tamaracktray.types import Address, Load, Refusal

MAX_REFUSAL_BYTES = 65_536
DEADLINE_GRACE_S = 0.5
RELAYED_HEADERS = (
    "content-type",
    names.MODEL_VERSION,
    names.KEY_RETENTION_S,
    names.REPLAYED,
)


class _PendingRequest:
    """A caller's request and the queue of dispatch decisions on it."""

    __slots__ = ("decisions", "http_request", "request", "responder", "traceparent")

    def __init__(
        self, request: CallerRequest, http_request: Request, responder: Responder
    ) -> None:
        self.request = request
        self.http_request = http_request
        self.responder = responder
        self.decisions: curio.Queue = curio.Queue()
        self.traceparent = ""


class EntryShell(Shell):
    """The entry process: serves callers and sends attempts to agents."""

    def __init__(
        self, settings: Settings, store: ObjectStore, instance_list: InstanceList
    ) -> None:
        super().__init__(settings, store, instance_list)
        self.state.dispatch = DispatchState(settings.node.zone, settings.node.region)
        self._pending_by_id: dict[str, _PendingRequest] = {}
        self._api = ResourceApi(self)
        self.add_performer(SendAttempt, self._queue_decision)
        self.add_performer(AnswerRefusal, self._queue_decision)

    @override
    def build_servers(self) -> list[HttpServer]:
        limits = self.settings.http_limits
        servers = [HttpServer(self.own.address, self.handle_request, limits)]
        if self.settings.api.listen:
            address = Address.parse(self.settings.api.listen)
            servers.append(HttpServer(address, self._api.handle, limits))
        return servers

    @override
    def list_role_loops(self) -> list[Callable[[], Awaitable[None]]]:
        return []

    async def handle_request(self, request: Request, responder: Responder) -> None:
        """Handle one caller's request."""
        self.metrics.count("requests")
        if request.path == "/health":
            await responder.respond(200, [])
            return
        parsed = self._parse(request)
        if isinstance(parsed, Failure):
            await self._send_refusal(responder, parsed.failure())
            return
        pending = _PendingRequest(parsed.unwrap(), request, responder)
        await self._answer(pending)

    def _parse(self, request: Request) -> Result[CallerRequest, Refusal]:
        if request.method != "POST":
            return Failure(refuse_bad_request("the method must be POST"))
        request_settings = self.settings.requests
        parsed = parse_caller_request(
            request,
            time.monotonic(),
            request_settings.deadline_s,
            request_settings.max_deadline_s,
        )
        return parsed.alt(lambda error: refuse_bad_request(error.message))

    async def _answer(self, pending: _PendingRequest) -> None:
        """Carry out the decisions on a request until one is final."""
        request = pending.request
        span = self.tracer.start(
            "request",
            pending.http_request.headers.get(TRACE_HEADER, ""),
            target=request.target,
            team=request.team,
        )
        pending.traceparent = span.traceparent
        self._pending_by_id[request.id] = pending
        outcome = "caller gone"
        try:
            await self.dispatch(RequestArrived(time.monotonic(), request))
            outcome = await self._execute_decisions(pending)
        except OSError:
            self.metrics.count("callers_gone")
        finally:
            self._pending_by_id.pop(request.id, None)
            await self.dispatch(RequestEnded(time.monotonic(), request.id))
            span.end(outcome)

    async def _execute_decisions(self, pending: _PendingRequest) -> str:
        while True:
            decision: Effect = await pending.decisions.get()
            if isinstance(decision, AnswerRefusal):
                refusal = decision.refusal
                self.metrics.count(f"refusals.{refusal.code.value}")
                await self._send_refusal(pending.responder, refusal)
                return refusal.code.value
            if not isinstance(decision, SendAttempt):
                continue
            attempt_ended = await self._attempt(pending, decision)
            await self.dispatch(attempt_ended)
            if attempt_ended.phase in (AttemptPhase.ANSWERED, AttemptPhase.CUT):
                self.metrics.count(f"answers.{attempt_ended.phase.value}")
                return attempt_ended.phase.value

    async def _queue_decision(self, effect: SendAttempt | AnswerRefusal) -> None:
        pending = self._pending_by_id.get(effect.request_id)
        if pending is not None:
            await pending.decisions.put(effect)

    async def _send_refusal(self, responder: Responder, refusal: Refusal) -> None:
        headers, body = encode_refusal(refusal)
        if self.state.is_leaving:
            headers.append(("connection", "close"))
        await responder.respond(refusal.status, headers, body)

    async def _attempt(
        self, pending: _PendingRequest, decision: SendAttempt
    ) -> AttemptEnded:
        """Send one attempt, relay its answer and return the outcome."""
        self.metrics.count("attempts")
        span = self.tracer.start(
            "attempt", pending.traceparent, endpoint=decision.endpoint
        )
        attempt_ended = await self._run_attempt(pending, decision, span.traceparent)
        span.end(attempt_ended.phase.value)
        return attempt_ended

    async def _run_attempt(
        self, pending: _PendingRequest, decision: SendAttempt, traceparent: str
    ) -> AttemptEnded:
        request = pending.request
        attempt_id = f"{request.id}-{decision.attempt}"
        headers = build_attempt_headers(request, attempt_id, time.monotonic())
        headers.extend(self.build_peer_headers())
        content_type = pending.http_request.headers.get("content-type")
        if content_type:
            headers.append(("content-type", content_type))
        if traceparent:
            headers.append((TRACE_HEADER, traceparent))
        opened = await open_exchange(
            decision.address,
            "POST",
            pending.http_request.target,
            headers,
            pending.http_request.body,
        )
        if isinstance(opened, Failure):
            error = opened.failure()
            phase = AttemptPhase.SENT if error.sent else AttemptPhase.NOT_SENT
            return _build_attempt_ended(decision, phase, detail=error.message)
        exchange = opened.unwrap()
        try:
            return await self._relay(pending, decision, exchange, attempt_id)
        finally:
            await exchange.close()

    async def _relay(
        self,
        pending: _PendingRequest,
        decision: SendAttempt,
        exchange: Exchange,
        attempt_id: str,
    ) -> AttemptEnded:
        acknowledge_s = self.settings.requests.acknowledge_s
        acknowledged = await exchange.read_acknowledgement(acknowledge_s)
        if isinstance(acknowledged, Failure):
            detail = acknowledged.failure().message
            return _build_attempt_ended(decision, AttemptPhase.SENT, detail=detail)
        remaining_s = max(pending.request.deadline - time.monotonic(), 0.0)
        head = await exchange.read_head(remaining_s + DEADLINE_GRACE_S)
        if isinstance(head, Failure):
            detail = head.failure().message
            return _build_attempt_ended(decision, AttemptPhase.SENT, detail=detail)
        await self.handle_peer_headers(exchange.headers)
        load = Load.decode(exchange.headers.get(names.LOAD, ""))
        if exchange.headers.get(names.ATTEMPT) != attempt_id:
            detail = "the answer belongs to another request"
            return _build_attempt_ended(
                decision, AttemptPhase.SENT, load=load, detail=detail
            )
        if names.REFUSED in exchange.headers:
            return await self._read_refusal(decision, exchange, load)
        return await self._relay_body(pending, decision, exchange, load)

    async def _read_refusal(
        self, decision: SendAttempt, exchange: Exchange, load: Load | None
    ) -> AttemptEnded:
        stall_s = self.settings.requests.stall_s
        body = await exchange.read_body(stall_s, MAX_REFUSAL_BYTES)
        if isinstance(body, Failure):
            detail = body.failure().message
            return _build_attempt_ended(
                decision, AttemptPhase.SENT, load=load, detail=detail
            )
        reply = Reply(exchange.status, exchange.headers, body.unwrap())
        refusal = decode_refusal(reply)
        if isinstance(refusal, Failure):
            detail = refusal.failure().message
            return _build_attempt_ended(
                decision, AttemptPhase.SENT, load=load, detail=detail
            )
        return _build_attempt_ended(
            decision, AttemptPhase.REFUSED, load=load, refusal=refusal.unwrap()
        )

    async def _relay_body(
        self,
        pending: _PendingRequest,
        decision: SendAttempt,
        exchange: Exchange,
        load: Load | None,
    ) -> AttemptEnded:
        """Stream a body to the caller; abort the answer if the source fails."""
        responder = pending.responder
        first_piece = await exchange.read_data(self.settings.requests.stall_s)
        if isinstance(first_piece, Failure):
            detail = first_piece.failure().message
            return _build_attempt_ended(
                decision, AttemptPhase.SENT, load=load, detail=detail
            )
        await responder.send_head(exchange.status, _select_headers(exchange))
        piece = first_piece
        while isinstance(piece, Success):
            data = piece.unwrap()
            if isinstance(data, AnswerEnd):
                break
            await responder.send_data(data)
            piece = await exchange.read_data(self.settings.requests.stall_s)
        if exchange.end is not None and exchange.end.is_proven:
            await responder.finish()
            return _build_attempt_ended(decision, AttemptPhase.ANSWERED, load=load)
        await responder.abort()
        detail = "the agent closed an answer without framing"
        if isinstance(piece, Failure):
            detail = piece.failure().message
        return _build_attempt_ended(
            decision, AttemptPhase.CUT, load=load, detail=detail
        )


def _select_headers(exchange: Exchange) -> Headers:
    return [
        (name, exchange.headers[name])
        for name in RELAYED_HEADERS
        if name in exchange.headers
    ]


def _build_attempt_ended(
    decision: SendAttempt,
    phase: AttemptPhase,
    *,
    load: Load | None = None,
    refusal: Refusal | None = None,
    detail: str = "",
) -> AttemptEnded:
    return AttemptEnded(
        time.monotonic(),
        decision.request_id,
        decision.endpoint,
        phase,
        refusal,
        load,
        detail,
    )
