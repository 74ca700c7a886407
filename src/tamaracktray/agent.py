"""Agent process: admits attempts and forwards them to its endpoint."""

import time
from collections.abc import Awaitable, Callable

import curio
from returns.result import Failure
from typing_extensions import override

from tamaracktray import headers as names
from tamaracktray.admission import AdmissionState
from tamaracktray.claim_writer import ClaimWriter
from tamaracktray.claims import (
    ClaimCompletion,
    ClaimRecord,
    ClaimRelease,
    ClaimRequest,
    ClaimResult,
    ClaimState,
)
from tamaracktray.effects import (
    ClaimKey,
    Effect,
    RefuseAttempt,
    ReleaseKey,
    ReplayAnswer,
    StartRun,
)
from tamaracktray.endpoints import HttpModelEngine, HttpPlainService, PlainService
from tamaracktray.events import AttemptArrived, CallerRequest, ClaimAnswered, RunEnded
from tamaracktray.http import HttpServer
from tamaracktray.http_messages import Request
from tamaracktray.instances import InstanceList
from tamaracktray.messages import (
    encode_refusal,
    parse_attempt,
    refuse_bad_request,
)
from tamaracktray.objects import ObjectStore
from tamaracktray.outcomes import ClaimOutcome, RunOutcome
from tamaracktray.responders import Responder
from tamaracktray.runs import EndpointRun, RunReport
from tamaracktray.settings import Settings
from tamaracktray.shell import Shell
from tamaracktray.tracing import TRACE_HEADER
from tamaracktray.types import Address, ErrorCode, Refusal, RunState, TargetKind
from tamaracktray.versions import VersionWorker

RELEASE_RETRY_S = 1.0
WEIGHTS_PREFIX = "/weights/"


class PendingAttempt:
    """An attempt and the queue of admission decisions on it.

    ``lease_deadline`` is the monotonic time at which the lease of a granted claim
    expires. ``claim`` is the platform's answer, ``None`` until it arrives.
    """

    __slots__ = (
        "claim",
        "decisions",
        "http_request",
        "lease_deadline",
        "request",
        "responder",
    )

    def __init__(
        self, request: CallerRequest, http_request: Request, responder: Responder
    ) -> None:
        self.request = request
        self.http_request = http_request
        self.responder = responder
        self.decisions: curio.Queue = curio.Queue()
        self.lease_deadline = 0.0
        self.claim: ClaimResult | None = None


class AgentShell(Shell):
    """The agent process of one endpoint."""

    def __init__(
        self, settings: Settings, store: ObjectStore, instance_list: InstanceList
    ) -> None:
        super().__init__(settings, store, instance_list)
        endpoint = settings.endpoint
        self.state.admission = AdmissionState(
            endpoint.kind, endpoint.serves, settings.window, endpoint.queue_limit
        )
        self.endpoint: PlainService
        self.versions: VersionWorker | None = None
        address = Address.parse(endpoint.address)
        if endpoint.kind is TargetKind.MODEL:
            engine = HttpModelEngine(address)
            self.endpoint = engine
            self.versions = VersionWorker(self, engine)
        else:
            self.endpoint = HttpPlainService(address)
        self._claims = ClaimWriter(store)
        self._pending_by_id: dict[str, PendingAttempt] = {}
        for effect_type in (RefuseAttempt, ReplayAnswer, StartRun):
            self.add_performer(effect_type, self._queue_decision)
        self.add_performer(ClaimKey, self._start_claim)
        self.add_performer(ReleaseKey, self._start_release)

    @override
    def build_servers(self) -> list[HttpServer]:
        limits = self.settings.http_limits
        return [HttpServer(self.own.address, self.handle_request, limits)]

    @override
    def list_role_loops(self) -> list[Callable[[], Awaitable[None]]]:
        if self.versions is None:
            return []
        return [self.versions.run_status]

    async def handle_request(self, request: Request, responder: Responder) -> None:
        """Handle an entry's attempt or a peer's request for weights."""
        key = self.settings.peer_key
        if key and request.headers.get(names.PEER_KEY) != key:
            await responder.respond(401, [], b"")
            return
        if request.path.startswith(WEIGHTS_PREFIX):
            await self._send_weights(request, responder)
            return
        parsed = parse_attempt(request, time.monotonic())
        if isinstance(parsed, Failure):
            refusal = refuse_bad_request(parsed.failure().message)
            headers, body = encode_refusal(refusal)
            await responder.respond(refusal.status, headers, body)
            return
        # Lets the entry detect a hung agent before the request's deadline.
        await responder.acknowledge()
        await self.handle_peer_headers(request.headers)
        self.metrics.count("attempts")
        await self._answer(PendingAttempt(parsed.unwrap(), request, responder))

    async def _send_weights(self, request: Request, responder: Responder) -> None:
        if self.versions is None:
            await responder.respond(404, [])
            return
        await self.versions.send_weights(request, responder)

    async def _answer(self, pending: PendingAttempt) -> None:
        """Wait for the decision on an attempt and carry it out."""
        request = pending.request
        traceparent = pending.http_request.headers.get(TRACE_HEADER, "")
        span = self.tracer.start("admission", traceparent, team=request.team)
        self._pending_by_id[request.id] = pending
        try:
            await self.dispatch(AttemptArrived(time.monotonic(), request))
            decision = await pending.decisions.get()
            span.end(type(decision).__name__)
            await self._execute_decision(pending, decision, span.traceparent)
        except OSError:
            self.metrics.count("entries_gone")
        finally:
            self._pending_by_id.pop(request.id, None)

    async def _execute_decision(
        self, pending: PendingAttempt, decision: Effect, traceparent: str
    ) -> None:
        if isinstance(decision, RefuseAttempt):
            await self._send_refusal(pending, decision.refusal)
            return
        if isinstance(decision, ReplayAnswer):
            await self._replay(pending)
            return
        if isinstance(decision, StartRun):
            await self._run(pending, decision, traceparent)

    async def _queue_decision(
        self, effect: RefuseAttempt | ReplayAnswer | StartRun
    ) -> None:
        pending = self._pending_by_id.get(effect.attempt_id)
        if pending is not None:
            await pending.decisions.put(effect)

    async def _send_refusal(self, pending: PendingAttempt, refusal: Refusal) -> None:
        self.metrics.count(f"refusals.{refusal.code.value}")
        headers, body = encode_refusal(refusal)
        headers.append((names.REFUSED, "1"))
        headers.extend(self.build_answer_headers(pending.request.id))
        await pending.responder.respond(refusal.status, headers, body)

    def build_answer_headers(self, attempt_id: str) -> list[tuple[str, str]]:
        """Return the headers common to all answers to an entry."""
        headers = [(names.ATTEMPT, attempt_id), *self.build_peer_headers()]
        if self.state.admission is not None:
            headers.append((names.LOAD, self.state.admission.load.encode()))
        return headers

    async def _replay(self, pending: PendingAttempt) -> None:
        """Send the answer recorded for the idempotency key."""
        claim = pending.claim
        if claim is None or claim.answer is None:
            await self._send_refusal(pending, _refuse_lost_answer())
            return
        headers = [
            ("content-type", claim.answer.content_type),
            (names.REPLAYED, "1"),
            *self._build_retention_header(pending.request),
            *self.build_answer_headers(pending.request.id),
        ]
        await pending.responder.respond(claim.answer.status, headers, claim.answer.body)

    async def _run(
        self, pending: PendingAttempt, decision: StartRun, traceparent: str
    ) -> None:
        """Send an attempt to the endpoint unless the lease of its claim has expired."""
        request = pending.request
        if request.key and time.monotonic() >= pending.lease_deadline:
            await self._end_run(request, RunOutcome.NOT_SENT)
            await self._start_release(ReleaseKey(request.id))
            await self._send_refusal(pending, _refuse_expired_claim())
            return
        span = self.tracer.start("run", traceparent, endpoint=self.own.name)
        run = EndpointRun(self, pending, decision.manifest, span.traceparent)
        # Frees the admission slot even if the entry has disconnected.
        report = RunReport(RunOutcome.ABANDONED)
        try:
            report = await run.carry_out()
        finally:
            span.end(report.outcome.value)
            await self._end_run(request, report.outcome)
        if request.key:
            await self._finish_claim(request, report)
        if report.refusal is not None:
            await self._send_refusal(pending, report.refusal)

    async def _end_run(self, request: CallerRequest, outcome: RunOutcome) -> None:
        self.metrics.count(f"runs.{outcome.value}")
        await self.dispatch(RunEnded(time.monotonic(), request.id, outcome))

    async def _finish_claim(self, request: CallerRequest, report: RunReport) -> None:
        """Complete or release a claim; leave it as it is if the outcome is unknown."""
        if report.outcome is RunOutcome.COMPLETED:
            completion = ClaimCompletion(
                request.key, request.id, report.recorded_answer
            )
            await self.spawn(self._retry_claim_change, completion)
        elif report.outcome is RunOutcome.NOT_SENT:
            release = ClaimRelease(request.key, request.id)
            await self.spawn(self._retry_claim_change, release)

    async def _start_claim(self, effect: ClaimKey) -> None:
        pending = self._pending_by_id.get(effect.attempt_id)
        if pending is not None:
            await self.spawn(self._claim, pending)

    async def _claim(self, pending: PendingAttempt) -> None:
        """Claim a key.

        The lease starts before the write, so its remaining time is never overestimated.
        """
        request = pending.request
        now = time.monotonic()
        now_unix_s = time.time()
        margin_s = self.settings.requests.claim_margin_s
        lease_s = max(request.deadline - now, 0.0) + margin_s
        pending.lease_deadline = now + lease_s
        record = ClaimRecord(
            holder=request.id,
            agent=self.own.name,
            request_digest=request.fingerprint,
            state=ClaimState.RUNNING,
            lease_deadline_unix_s=now_unix_s + lease_s,
            expires_unix_s=now_unix_s + self.settings.requests.key_retention_s,
            scope=f"{request.kind.value}/{request.target} {request.team}",
        )
        result = await self._claims.apply(ClaimRequest(request.key, record))
        pending.claim = result
        self.metrics.count(f"claims.{result.outcome.value}")
        await self.dispatch(
            ClaimAnswered(
                time.monotonic(), request.id, result.outcome, result.retry_after_s
            )
        )

    async def _start_release(self, effect: ReleaseKey) -> None:
        pending = self._pending_by_id.get(effect.attempt_id)
        if pending is not None:
            release = ClaimRelease(pending.request.key, pending.request.id)
            await self.spawn(self._retry_claim_change, release)

    async def _retry_claim_change(self, change: ClaimCompletion | ClaimRelease) -> None:
        """Retry a claim change until the platform stores it; shutdown waits for it."""
        self.durable_writes += 1
        try:
            while True:
                result = await self._claims.apply(change)
                if result.outcome is not ClaimOutcome.UNAVAILABLE:
                    return
                await curio.sleep(RELEASE_RETRY_S)
        finally:
            self.durable_writes -= 1

    def _build_retention_header(self, request: CallerRequest) -> list[tuple[str, str]]:
        if not request.key:
            return []
        retention_s = int(self.settings.requests.key_retention_s)
        return [(names.KEY_RETENTION_S, str(retention_s))]

    def build_run_headers(self, request: CallerRequest) -> list[tuple[str, str]]:
        """Return the headers added to an answer of the endpoint."""
        return [
            *self.build_answer_headers(request.id),
            *self._build_retention_header(request),
        ]


def _refuse_lost_answer() -> Refusal:
    return Refusal(
        ErrorCode.ANSWER_NOT_KEPT,
        "the request was run earlier; its answer was not kept",
        RunState.RUN,
        409,
    )


def _refuse_expired_claim() -> Refusal:
    return Refusal(
        ErrorCode.DEADLINE_EXCEEDED,
        "the claim lapsed before the request could run",
        RunState.NOT_RUN,
        504,
        RELEASE_RETRY_S,
    )
