"""The entry that answers callers by sending their requests straight to endpoints."""

import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import curio
import msgspec
from returns.result import Failure
from typing_extensions import override

from tamaracktray.beacons import Beacon
from tamaracktray.calls import (
    AbandonAttempt,
    Call,
    CallArrived,
    CallAttemptEnded,
    CallEnded,
    CallStarted,
    CutCall,
    RefuseCall,
    RelayFailure,
    SendCall,
)
from tamaracktray.chunk_relay import VERSIONS_PATH, ChunkRelay, VersionKey
from tamaracktray.chunk_sources import choose_upstream, find_first
from tamaracktray.deployment import Deployment
from tamaracktray.direct import (
    ApplyRouting,
    CloseIdle,
    Member,
    PrefetchVersion,
    list_version_floors,
)
from tamaracktray.direct_sections import DirectSettings
from tamaracktray.direct_shell import DirectShell, register_member
from tamaracktray.effects import Effect
from tamaracktray.event_stream import EventBuffer
from tamaracktray.events import Tick
from tamaracktray.exchange import Exchange, open_exchange
from tamaracktray.gateway import GatewayBounds, GatewayState
from tamaracktray.http import (
    HttpLimits,
    HttpServer,
    RawHeaders,
    Request,
    Responder,
)
from tamaracktray.intake import build_call, refuse_uninformed
from tamaracktray.messages import encode_refusal
from tamaracktray.outcomes import AttemptPhase
from tamaracktray.protocol import AnswerFields, AttemptFields
from tamaracktray.routes import RepeatKind
from tamaracktray.snapshots import Collection
from tamaracktray.types import Address, ErrorCode, Refusal, RunState

# Longest wait for a connection to an endpoint, in seconds: a full queue of connections
# drops the first packet, which is sent again only after a second.
CONNECT_TIMEOUT_S = 0.4

# Longest silence of a stream before it is resumed elsewhere, in seconds; callers give
# up after two.
STALL_S = 1.0

# Largest answer that is held back as a whole, in bytes. A larger one is relayed as it
# comes and can no longer be asked for again.
MAX_HELD_BYTES = 262_144

# An answer that ends within this time of its route's timeout is still passed on.
TIMEOUT_GRACE_S = 0.05

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
MISDIRECTED = 421

RegisterDelay = 0.5


class HeldAnswer(msgspec.Struct, frozen=True):
    """A whole answer of an endpoint that has not been passed on."""

    status: int
    headers: RawHeaders
    body: bytes


class OpenCall:
    """A call with what its answer needs.

    ``exchange`` is the attempt under way. ``buffer`` holds a stream across attempts.
    ``failure`` is the last whole answer by which an endpoint said that it failed.
    """

    __slots__ = (
        "buffer",
        "call",
        "decisions",
        "exchange",
        "failure",
        "is_head_sent",
        "request",
        "responder",
    )

    def __init__(self, call: Call, request: Request, responder: Responder) -> None:
        self.call = call
        self.request = request
        self.responder = responder
        self.decisions: curio.Queue = curio.Queue()
        self.buffer = EventBuffer()
        self.failure: HeldAnswer | None = None
        self.exchange: Exchange | None = None
        self.is_head_sent = False


class DirectEntryShell(DirectShell):
    """Runs an entry."""

    def __init__(
        self, path: Path, settings: DirectSettings, deployment: Deployment
    ) -> None:
        super().__init__(path, settings, deployment)
        bounds = settings.bounds
        self.state.gateway = GatewayState(
            GatewayBounds(
                bounds.repeat_ratio,
                bounds.repeat_reserve,
                bounds.repeat_window_s,
                bounds.cold_burst,
            )
        )
        self._relay = ChunkRelay(self._find_upstream, self._is_first, self.open_origin)
        self._open_by_id: dict[str, OpenCall] = {}
        self._heard: set[str] = set()
        self._callers = HttpServer(
            Address.parse(settings.listen.callers),
            self.handle_caller,
            cancels_abandoned=True,
        )
        self.add_performer(AbandonAttempt, self._abandon)
        self.add_performer(PrefetchVersion, self._prefetch)
        self.add_performer(CloseIdle, self._close_idle)
        for effect in (SendCall, RefuseCall, CutCall, RelayFailure):
            self.add_performer(effect, self._deliver)

    @override
    def build_servers(self) -> list[HttpServer]:
        readiness = HttpServer(
            Address.parse(self.settings.listen.readiness), self.handle_readiness
        )
        return [self._callers, readiness, *super().build_servers()]

    @override
    def list_loops(self) -> list[Callable[[], Awaitable[None]]]:
        return [*super().list_loops(), self._register, self._run_load_beacons]

    @override
    def build_beacon(self) -> Beacon:
        counts = {
            load.record.id: load.in_flight
            for load in self.state.gateway.loads_by_id.values()
            if load.in_flight
        }
        return msgspec.structs.replace(
            super().build_beacon(),
            in_flight_by_endpoint=counts,
            version_floor_by_model=list_version_floors(self.state, time.monotonic()),
        )

    @override
    async def handle_peer(self, request: Request, responder: Responder) -> None:
        if request.path.startswith(VERSIONS_PATH):
            await self._relay.handle(request, responder)
            return
        await super().handle_peer(request, responder)

    @property
    def _own_member(self) -> Member:
        node = self.settings.node
        return Member(node.name, node.zone, self.own_address)

    def _is_first(self, key: str) -> bool:
        peers = self.state.members_by_name.values()
        own = self._own_member
        return find_first(own, peers, self.state.region_by_zone, key) == own

    async def _prefetch(self, effect: PrefetchVersion) -> None:
        await self.spawn(self._relay.prefetch, VersionKey(effect.model, effect.version))

    def _find_upstream(self, key: str) -> Address | None:
        index = self.state.index
        origin = None if index is None else index.table.find_origin()
        origin_zone = "" if origin is None else origin.origin_zone
        return choose_upstream(
            self._own_member,
            self.state.members_by_name.values(),
            self.state.region_by_zone,
            self.state.region_by_zone.get(origin_zone, ""),
            key,
        )

    @override
    def build_tick(self) -> Tick:
        heard = frozenset(self._heard)
        self._heard.clear()
        return Tick(time.monotonic(), heard=heard)

    async def _abandon(self, effect: AbandonAttempt) -> None:
        open_call = self._open_by_id.get(effect.call_id)
        if open_call is None or open_call.exchange is None:
            return
        self._log_request("attempt given up", open_call.call.request_id)
        open_call.exchange.give_up()

    async def _register(self) -> None:
        """Let peers find this entry."""
        while await register_member(self, self._own_member) is not None:
            await curio.sleep(RegisterDelay * self.random.uniform(0.5, 1.5))
        while True:
            await curio.sleep(3600.0)

    async def _run_load_beacons(self) -> None:
        """Tell peers of changed loads at short intervals."""
        told: dict[str, int] = {}
        while True:
            await curio.sleep(self.settings.peers.beacon_s)
            counts = {
                load.record.id: load.in_flight
                for load in self.state.gateway.loads_by_id.values()
                if load.in_flight
            }
            if counts == told:
                continue
            told = counts
            await self.tell_peers()

    @override
    async def apply_routing(self, effect: ApplyRouting) -> None:
        await super().apply_routing(effect)
        limits = self.state.index.table.limits
        self._callers.limits = HttpLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.idle_timeout_s,
            limits.header_timeout_s,
        )

    async def _close_idle(self, effect: CloseIdle) -> None:
        await self._callers.close_idle()

    async def handle_readiness(self, request: Request, responder: Responder) -> None:
        """Tell whether this entry takes new connections."""
        is_ready = self.state.is_informed and not self.state.is_leaving
        await responder.respond(200 if is_ready else 503, [])

    async def handle_caller(self, request: Request, responder: Responder) -> None:
        """Answer one caller."""
        if not self.state.is_informed:
            self.log.info("refused", reason="no configuration", request_line=True)
            await self._send_refusal(responder, refuse_uninformed())
            return
        fields = self.deployment.protocol.read_caller(request)
        built = build_call(time.monotonic(), self.state.index, request, fields)
        if isinstance(built, Failure):
            refusal = built.failure()
            self._log_request(
                "refused",
                fields.request_id,
                status=refusal.status,
                code=refusal.code.value,
                routing=self.state.index.table.version,
            )
            await self._send_refusal(responder, refusal)
            return
        await self._answer(OpenCall(built.unwrap(), request, responder))

    def _log_request(self, event: str, request_id: str, **inputs: object) -> None:
        """Log a decision on a request; such lines are bounded in number."""
        self.log.info(event, request=request_id, request_line=True, **inputs)

    async def _answer(self, open_call: OpenCall) -> None:
        call = open_call.call
        self._open_by_id[call.id] = open_call
        left_s = call.deadline - time.monotonic()
        try:
            await self.dispatch(CallArrived(time.monotonic(), call))
            await curio.timeout_after(left_s, self._follow_decisions(open_call))
        except curio.TaskTimeout:
            await self._end_late(open_call)
        except curio.CancelledError:
            self._log_request("caller gone", call.request_id)
            raise
        finally:
            self._open_by_id.pop(call.id, None)
            await self.dispatch(CallEnded(time.monotonic(), call.id))

    async def _end_late(self, open_call: OpenCall) -> None:
        """Give the final answer to a call whose time is over."""
        self._log_request("time over", open_call.call.request_id)
        if open_call.is_head_sent:
            await open_call.responder.abort()
            return
        pending = self.state.gateway.pending_by_id.get(open_call.call.id)
        may_have_run = pending is None or pending.may_have_run
        if pending is not None and pending.endpoint_id:
            may_have_run = True
        await self._send_refusal(open_call.responder, refuse_late(may_have_run))

    async def _follow_decisions(self, open_call: OpenCall) -> None:
        while True:
            decision: Effect = await open_call.decisions.get()
            if isinstance(decision, SendCall):
                self._log_attempt(open_call, decision)
                ended = await self._attempt(open_call, decision)
                self._log_attempt_end(open_call, ended)
                await self.dispatch(ended)
                if ended.phase is AttemptPhase.ANSWERED:
                    return
                continue
            await self._finish(open_call, decision)
            return

    def _log_attempt(self, open_call: OpenCall, decision: SendCall) -> None:
        call = open_call.call
        snapshots = self.state.knowledge.by_collection
        self._log_request(
            "attempt",
            call.request_id,
            number=decision.attempt,
            route=call.route.name,
            team=call.team,
            endpoint=decision.endpoint_id,
            running=decision.running,
            version=decision.version,
            waited_s=round(time.monotonic() - call.arrived, 4),
            left_s=round(call.deadline - time.monotonic(), 3),
            routing=self.state.index.table.version,
            endpoints_revision=snapshots[Collection.ENDPOINTS].revision,
        )

    def _log_attempt_end(self, open_call: OpenCall, ended: CallAttemptEnded) -> None:
        call = open_call.call
        self._log_request(
            "attempt ended",
            call.request_id,
            endpoint=ended.endpoint_id,
            phase=ended.phase.value,
            status=ended.status,
            after_s=round(ended.now - call.arrived, 4),
            detail=ended.detail,
        )

    async def _finish(self, open_call: OpenCall, decision: Effect) -> None:
        """Carry out a final decision."""
        responder = open_call.responder
        request_id = open_call.call.request_id
        if isinstance(decision, RelayFailure) and open_call.failure is not None:
            failure = open_call.failure
            self._log_request("failure passed on", request_id, status=failure.status)
            await self._respond(responder, failure)
            return
        if isinstance(decision, RefuseCall):
            self._log_refusal(open_call, decision)
            await self._send_refusal(responder, decision.refusal)
            return
        reason = decision.reason if isinstance(decision, CutCall) else "no answer"
        self._log_request("answer cut", request_id, reason=reason)
        await responder.abort()

    def _log_refusal(self, open_call: OpenCall, decision: RefuseCall) -> None:
        refusal = decision.refusal
        self._log_request(
            "refused",
            open_call.call.request_id,
            status=refusal.status,
            code=refusal.code.value,
            run=refusal.run.value,
            retry_after_s=refusal.retry_after_s,
            waited_s=round(time.monotonic() - open_call.call.arrived, 4),
            route=open_call.call.route.name,
            **msgspec.to_builtins(decision.view),
        )

    async def _deliver(
        self, effect: SendCall | RefuseCall | CutCall | RelayFailure
    ) -> None:
        open_call = self._open_by_id.get(effect.call_id)
        if open_call is not None:
            await open_call.decisions.put(effect)

    async def _send_refusal(self, responder: Responder, refusal: Refusal) -> None:
        headers, body = encode_refusal(refusal, allows_fractions=True)
        if self.state.is_leaving:
            headers.append(("connection", "close"))
        await responder.respond(refusal.status, headers, body)

    async def _respond(self, responder: Responder, answer: HeldAnswer) -> None:
        await responder.respond(
            answer.status, self._build_headers(answer.headers), answer.body
        )

    def _build_headers(self, headers: RawHeaders) -> RawHeaders:
        selected = self.deployment.protocol.select_answer(headers)
        if self.state.is_leaving:
            selected.append((b"connection", b"close"))
        return selected

    async def _attempt(
        self, open_call: OpenCall, decision: SendCall
    ) -> CallAttemptEnded:
        """Send a call to an endpoint, relay the answer and return how it ended."""
        call = open_call.call
        request = open_call.request
        fields = AttemptFields(
            decision.endpoint_id,
            call.team,
            call.deadline - time.monotonic(),
            decision.version,
            decision.urgency,
            decision.last_event_id,
        )
        opened = await open_exchange(
            decision.address,
            request.method,
            request.target,
            self.deployment.protocol.build_attempt(request, fields),
            request.body,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            is_host_given=True,
        )
        if isinstance(opened, Failure):
            error = opened.failure()
            phase = AttemptPhase.SENT if error.sent else AttemptPhase.NOT_SENT
            return _end(decision, phase, detail=error.message)
        exchange = opened.unwrap()
        open_call.exchange = exchange
        try:
            return await self._read_answer(open_call, decision, exchange)
        finally:
            open_call.exchange = None
            await exchange.close()

    async def _read_answer(
        self, open_call: OpenCall, decision: SendCall, exchange: Exchange
    ) -> CallAttemptEnded:
        call = open_call.call
        head = await exchange.read_head(_silence_bound(call))
        if isinstance(head, Failure):
            detail = head.failure().message
            is_reset = not exchange.is_given_up
            return _end(decision, AttemptPhase.SENT, is_reset=is_reset, detail=detail)
        self._heard.add(decision.endpoint_id)
        fields = self.deployment.protocol.read_answer(exchange.headers)
        if fields.is_not_run or exchange.status == MISDIRECTED:
            detail = f"not run ({exchange.status})"
            return _end(decision, AttemptPhase.REFUSED, exchange.status, detail=detail)
        if fields.request_id != call.request_id:
            detail = "the answer belongs to another request"
            return _end(decision, AttemptPhase.SENT, detail=detail)
        is_success = 200 <= exchange.status < 300
        if is_success and not fields.is_signed:
            detail = "the answer is not signed"
            return _end(decision, AttemptPhase.SENT, detail=detail)
        if is_success and call.route.kind is RepeatKind.STREAM:
            return await self._relay_stream(open_call, decision, exchange, fields)
        return await self._relay_whole(open_call, decision, exchange)

    async def _relay_whole(
        self, open_call: OpenCall, decision: SendCall, exchange: Exchange
    ) -> CallAttemptEnded:
        """Relay an answer once it is complete."""
        read = await exchange.read_body(_silence_bound(open_call.call), MAX_HELD_BYTES)
        if isinstance(read, Failure):
            detail = read.failure().message
            return _end(decision, AttemptPhase.SENT, is_reset=True, detail=detail)
        answer = HeldAnswer(exchange.status, exchange.raw_headers, read.unwrap())
        if exchange.status >= 500 or exchange.status in NOT_RUN_STATUSES:
            if exchange.status not in NOT_RUN_STATUSES:
                open_call.failure = answer
            return _end(decision, AttemptPhase.FAILED, exchange.status)
        await self._respond(open_call.responder, answer)
        return _end(decision, AttemptPhase.ANSWERED, exchange.status)

    async def _relay_stream(
        self,
        open_call: OpenCall,
        decision: SendCall,
        exchange: Exchange,
        fields: AnswerFields,
    ) -> CallAttemptEnded:
        """Relay a stream event by event."""
        buffer = open_call.buffer
        buffer.take_rest()
        is_started = False
        while True:
            read = await exchange.read_data(STALL_S)
            if isinstance(read, Failure):
                return _end(
                    decision,
                    AttemptPhase.CUT if open_call.is_head_sent else AttemptPhase.SENT,
                    is_reset=not exchange.is_given_up,
                    last_event_id=buffer.last_event_id,
                    detail=read.failure().message,
                )
            data = read.unwrap()
            self._heard.add(decision.endpoint_id)
            whole = buffer.feed(data) if data else buffer.take_rest()
            if whole and not is_started:
                is_started = True
                await self.dispatch(
                    CallStarted(
                        time.monotonic(),
                        decision.call_id,
                        decision.endpoint_id,
                        fields.version,
                    )
                )
            if whole or not data:
                await self._send_part(open_call, exchange, whole)
            if not data:
                await open_call.responder.finish()
                return _end(decision, AttemptPhase.ANSWERED, exchange.status)

    async def _send_part(
        self, open_call: OpenCall, exchange: Exchange, data: bytes
    ) -> None:
        responder = open_call.responder
        if not open_call.is_head_sent:
            open_call.is_head_sent = True
            headers = self._build_headers(exchange.raw_headers)
            await responder.send_head(exchange.status, headers)
        if data:
            await responder.send_data(data)


def _silence_bound(call: Call) -> float:
    """Return how long an endpoint may be silent before its answer, in seconds.

    Only a call that may run again is worth giving up early.
    """
    left_s = max(call.deadline - time.monotonic(), 0.0) + TIMEOUT_GRACE_S
    if not call.route.is_idempotent:
        return left_s
    return min(left_s, max(4 * call.route.target_latency_s, STALL_S))


def refuse_late(may_have_run: bool) -> Refusal:
    """Return the error for a call whose time is over."""
    if may_have_run:
        return Refusal(
            ErrorCode.TIMED_OUT,
            "the endpoint did not answer in time",
            RunState.UNKNOWN,
            504,
        )
    return Refusal(
        ErrorCode.DEADLINE_EXCEEDED,
        "the deadline passed before the request could run",
        RunState.NOT_RUN,
        503,
        0.1,
    )


def _end(
    decision: SendCall,
    phase: AttemptPhase,
    status: int = 0,
    *,
    is_reset: bool = False,
    last_event_id: str = "",
    detail: str = "",
) -> CallAttemptEnded:
    return CallAttemptEnded(
        time.monotonic(),
        decision.call_id,
        decision.endpoint_id,
        phase,
        status,
        is_reset,
        last_event_id,
        detail,
    )
