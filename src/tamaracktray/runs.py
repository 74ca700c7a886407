"""A single run of a request at the endpoint, with validation of its answer."""

import time
from typing import TYPE_CHECKING

import msgspec
from returns.result import Failure, Success

from tamaracktray import headers as names
from tamaracktray.answer_ends import AnswerEnd
from tamaracktray.claims import MAX_RECORDED_ANSWER_BYTES, RecordedAnswer
from tamaracktray.events import RunProgressed
from tamaracktray.exceptions import TransportError
from tamaracktray.exchange import Exchange
from tamaracktray.http_messages import Headers
from tamaracktray.messages import parse_target
from tamaracktray.outcomes import RunOutcome
from tamaracktray.tracing import TRACE_HEADER
from tamaracktray.types import ErrorCode, Refusal, RunState, TargetKind

if TYPE_CHECKING:
    from tamaracktray.agent import AgentShell, PendingAttempt

MAX_BUFFERED_BYTES = 262_144
EVENT_STREAM = "text/event-stream"
STREAM_END = b"data: [DONE]"
STREAM_TAIL_BYTES = 64
RETRY_S = 1.0


class RunReport(msgspec.Struct, frozen=True):
    """How a run ended.

    ``refusal`` is set if no part of an answer has been sent to the entry yet.
    ``recorded_answer`` is the answer to store for the request's idempotency key.
    """

    outcome: RunOutcome
    refusal: Refusal | None = None
    recorded_answer: RecordedAnswer | None = None


class EndpointRun:
    """Sends one admitted attempt to the endpoint and relays the validated answer."""

    __slots__ = ("_agent", "_manifest", "_pending", "_traceparent")

    def __init__(
        self,
        agent: "AgentShell",
        pending: "PendingAttempt",
        manifest: str,
        traceparent: str,
    ) -> None:
        self._agent = agent
        self._pending = pending
        self._manifest = manifest
        self._traceparent = traceparent

    async def carry_out(self) -> RunReport:
        """Send the request and relay the answer."""
        request = self._pending.request
        parsed = parse_target(self._pending.http_request.target)
        rest = parsed.unwrap()[2]
        opened = await self._agent.endpoint.send(
            rest, self._build_headers(), self._pending.http_request.body
        )
        if isinstance(opened, Failure):
            return await self._report_unsent(opened.failure())
        exchange = opened.unwrap()
        try:
            left_s = max(request.deadline - time.monotonic(), 0.0)
            head = await exchange.read_head(left_s)
            if isinstance(head, Failure):
                return await self._report_cut(head.failure())
            problem = self._find_problem(exchange)
            if problem:
                return _report_invalid(problem)
            if _is_stream(exchange):
                return await self._relay_stream(exchange)
            return await self._relay_whole(exchange)
        finally:
            await exchange.close()

    def _build_headers(self) -> Headers:
        request = self._pending.request
        headers: Headers = [
            (names.REQUEST_ID, request.id),
            (names.TEAM, request.team),
            (names.PRIORITY, request.priority.name.lower()),
        ]
        if request.key:
            headers.append((names.IDEMPOTENCY_KEY, request.key))
        if self._manifest:
            headers.append((names.MODEL_VERSION, self._manifest))
        content_type = self._pending.http_request.headers.get("content-type")
        if content_type:
            headers.append(("content-type", content_type))
        if self._traceparent:
            headers.append((TRACE_HEADER, self._traceparent))
        return headers

    def _find_problem(self, exchange: Exchange) -> str:
        """Return why an answer must not be relayed, or an empty string."""
        headers = exchange.headers
        if not exchange.is_framed:
            return "the answer does not tell its length"
        echoed = headers.get(names.REQUEST_ID)
        is_required = self._agent.settings.endpoint.echoes_request_id
        if echoed is None and is_required:
            return "the answer does not name its request"
        if echoed is not None and echoed != self._pending.request.id:
            return "the answer belongs to another request"
        is_model = self._pending.request.kind is TargetKind.MODEL
        if is_model and headers.get(names.MODEL_VERSION) != self._manifest:
            return "the answer comes from another version"
        return ""

    async def _note_first_byte(self) -> None:
        now = time.monotonic()
        await self._agent.dispatch(RunProgressed(now, self._pending.request.id))

    async def _relay_whole(self, exchange: Exchange) -> RunReport:
        """Read the whole answer, then relay it."""
        stall_s = self._agent.settings.requests.stall_s
        body = await exchange.read_body(stall_s, MAX_BUFFERED_BYTES)
        if isinstance(body, Failure):
            return await self._report_cut(body.failure())
        data = body.unwrap()
        if exchange.status < 500:
            await self._note_first_byte()
        content_type = exchange.headers.get("content-type", "")
        headers = [
            ("content-type", content_type),
            *self._version_header(),
            *self._agent.build_run_headers(self._pending.request),
        ]
        recorded_answer = None
        if len(data) <= MAX_RECORDED_ANSWER_BYTES:
            recorded_answer = RecordedAnswer(exchange.status, content_type, data)
        await self._respond_whole(exchange.status, headers, data)
        return RunReport(RunOutcome.COMPLETED, recorded_answer=recorded_answer)

    async def _respond_whole(self, status: int, headers: Headers, data: bytes) -> None:
        try:
            await self._pending.responder.respond(status, headers, data)
        except OSError:
            # The request did run; a lost connection to the entry doesn't change that.
            self._agent.metrics.count("entries_gone")

    async def _relay_stream(self, exchange: Exchange) -> RunReport:
        """Relay a stream as it arrives and check for its end marker."""
        responder = self._pending.responder
        stall_s = self._agent.settings.requests.stall_s
        first = await exchange.read_data(stall_s)
        if isinstance(first, Failure):
            return await self._report_cut(first.failure())
        await self._note_first_byte()
        headers = [
            ("content-type", exchange.headers["content-type"]),
            *self._version_header(),
            *self._agent.build_run_headers(self._pending.request),
        ]
        await responder.send_head(exchange.status, headers)
        tail = b""
        piece = first
        while isinstance(piece, Success):
            data = piece.unwrap()
            if isinstance(data, AnswerEnd):
                return await self._end_stream(tail)
            tail = (tail + data)[-STREAM_TAIL_BYTES:]
            await responder.send_data(data)
            piece = await exchange.read_data(stall_s)
        await responder.abort()
        return RunReport(await self._classify_cut())

    async def _end_stream(self, tail: bytes) -> RunReport:
        if not tail.rstrip().endswith(STREAM_END):
            await self._pending.responder.abort()
            return RunReport(RunOutcome.INVALID)
        await self._pending.responder.finish()
        return RunReport(RunOutcome.COMPLETED)

    def _version_header(self) -> Headers:
        return [(names.MODEL_VERSION, self._manifest)] if self._manifest else []

    async def _report_unsent(self, error: TransportError) -> RunReport:
        if error.sent:
            return await self._report_cut(error)
        refusal = Refusal(
            ErrorCode.ENDPOINT_UNREACHABLE,
            error.message,
            RunState.NOT_RUN,
            503,
            RETRY_S,
        )
        return RunReport(RunOutcome.NOT_SENT, refusal)

    async def _report_cut(self, error: TransportError) -> RunReport:
        outcome = await self._classify_cut()
        code = ErrorCode.ENDPOINT_FAILED
        if outcome is RunOutcome.CRASHED:
            code = ErrorCode.ENDPOINT_CRASHED
        refusal = Refusal(code, error.message, RunState.UNKNOWN, 502, RETRY_S)
        return RunReport(outcome, refusal)

    async def _classify_cut(self) -> RunOutcome:
        """Distinguish a crash of the endpoint from a single aborted answer."""
        is_alive = await self._agent.endpoint.is_alive()
        return RunOutcome.CUT if is_alive else RunOutcome.CRASHED


def _is_stream(exchange: Exchange) -> bool:
    return exchange.headers.get("content-type", "").startswith(EVENT_STREAM)


def _report_invalid(problem: str) -> RunReport:
    refusal = Refusal(ErrorCode.ANSWER_INVALID, problem, RunState.UNKNOWN, 502, RETRY_S)
    return RunReport(RunOutcome.INVALID, refusal)
