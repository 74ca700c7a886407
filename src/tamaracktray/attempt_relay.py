"""Sends one attempt of a call to an endpoint and relays the answer."""

import time
from collections.abc import Awaitable, Callable

from returns.result import Failure, Result

from tamaracktray.answer_ends import AnswerEnd
from tamaracktray.answer_sending import AnswerSender
from tamaracktray.attempt_events import (
    build_attempt_end,
    build_failed_end,
    build_notice,
    build_started,
    build_superseded_end,
    build_unmarked_end,
)
from tamaracktray.calls import (
    Call,
    CallAttemptEnded,
    CallStarted,
    SendCall,
)
from tamaracktray.connections import refuses_connections
from tamaracktray.endpoint_limits import EndpointLimitReceived
from tamaracktray.exceptions import TransportError
from tamaracktray.exchange import Exchange, open_exchange
from tamaracktray.headers import read_media_type
from tamaracktray.http_messages import RawHeaders
from tamaracktray.idle_timeouts import (
    compute_idle_timeout,
    compute_rest_timeout,
)
from tamaracktray.notices import EndpointNoticeReceived
from tamaracktray.open_calls import Attempt, BufferedAnswer, OpenCall
from tamaracktray.outcomes import AttemptPhase
from tamaracktray.protocol import AnswerFields, AttemptFields, RequestProtocol
from tamaracktray.routes import RepeatKind

# Connection timeout to an endpoint, in seconds: a full accept queue drops the SYN, and
# the kernel retransmits it only after a second.
CONNECT_TIMEOUT_S = 0.4

# Largest answer that is buffered before it is relayed, in bytes. A larger one is
# relayed as it arrives and can't be retried.
MAX_BUFFERED_ANSWER_BYTES = 262_144

EVENT_STREAM_TYPE = "text/event-stream"

# Statuses with which an entry promises its caller that the request was not run. An
# endpoint that sends one without this promise may have run the request.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class CallRelay:
    """Carries out attempts.

    ``responsive_ids`` collects the endpoints that sent data. ``on_start`` is called
    with the start of each answer, and ``on_notice`` with what an endpoint reports about
    itself. ``may_send`` checks whether a decision is still valid, given the seconds
    that connecting took. ``is_limited`` checks whether an endpoint has named a limit,
    which ends with an answer that names none. An answer of more than ``answer_bytes``
    is cut.
    """

    __slots__ = (
        "_answer_bytes",
        "_is_limited",
        "_may_send",
        "_protocol",
        "_on_notice",
        "_on_start",
        "_sender",
        "_progress_at_by_call",
        "responsive_ids",
    )

    def __init__(
        self,
        protocol: RequestProtocol,
        sender: AnswerSender,
        on_start: Callable[[CallStarted], Awaitable[None]],
        on_notice: Callable[
            [EndpointNoticeReceived | EndpointLimitReceived], Awaitable[None]
        ],
        may_send: Callable[[SendCall, float], bool],
        is_limited: Callable[[str], bool],
        answer_bytes: int,
    ) -> None:
        self._answer_bytes = answer_bytes
        self._protocol = protocol
        self._sender = sender
        self._is_limited = is_limited
        self._may_send = may_send
        self._on_start = on_start
        self._on_notice = on_notice
        self.responsive_ids: set[str] = set()
        self._progress_at_by_call: dict[str, float] = {}

    def take_progress(self) -> dict[str, float]:
        """Return when data of each answer last arrived since the last call."""
        progress_at_by_call = self._progress_at_by_call
        self._progress_at_by_call = {}
        return progress_at_by_call

    def _note_progress(self, call: Call) -> float:
        """Record that data of a call's answer has arrived, and return when."""
        progress_at = time.monotonic()
        self._progress_at_by_call[call.id] = progress_at
        return progress_at

    async def attempt(self, open_call: OpenCall, attempt: Attempt) -> CallAttemptEnded:
        """Send a call to an endpoint, relay the answer and return the outcome.

        The outcome of an attempt that has been superseded has no meaning.
        """
        request = open_call.request
        decision = attempt.decision
        started_at = time.monotonic()
        opened = await open_exchange(
            decision.address,
            request.method,
            request.target,
            self._build_headers(open_call, attempt),
            request.body,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            has_host_header=True,
            may_send=lambda connect_s: (
                not attempt.is_superseded and self._may_send(decision, connect_s)
            ),
            max_bytes=self._answer_bytes,
        )
        if isinstance(opened, Failure):
            error = opened.failure()
            phase = AttemptPhase.SENT if error.sent else AttemptPhase.NOT_SENT
            if error.is_withdrawn:
                phase = AttemptPhase.WITHDRAWN
            return build_attempt_end(decision, phase, detail=error.message)
        exchange = opened.unwrap()
        attempt.exchange = exchange
        try:
            if attempt.is_abandoned:
                await exchange.abandon()
            return await self._read_answer(open_call, attempt, exchange, started_at)
        finally:
            attempt.exchange = None
            # It says nothing about another attempt of the call.
            self._progress_at_by_call.pop(open_call.call.id, None)
            await exchange.close()

    def _build_headers(self, open_call: OpenCall, attempt: Attempt) -> RawHeaders:
        call, decision = open_call.call, attempt.decision
        fields = AttemptFields(
            decision.endpoint_id,
            decision.team,
            call.deadline - time.monotonic(),
            decision.version,
            decision.urgency,
            decision.last_event_id,
        )
        return self._protocol.build_attempt(open_call.request, fields)

    async def _read_answer(
        self,
        open_call: OpenCall,
        attempt: Attempt,
        exchange: Exchange,
        started_at: float,
    ) -> CallAttemptEnded:
        call, decision = open_call.call, attempt.decision
        head = await exchange.read_head(compute_rest_timeout(call))
        if isinstance(head, Failure):
            return build_failed_end(decision, exchange, head.failure().message)
        if not attempt.is_parked:
            self._note_progress(call)
        self.responsive_ids.add(decision.endpoint_id)
        fields = self._protocol.parse_answer_fields(exchange.status, exchange.headers)
        if fields.is_leaving or fields.pause_s is not None:
            await self._on_notice(build_notice(decision, fields))
        is_other_request = fields.request_id not in ("", call.request_id)
        if not (is_other_request or fields.is_misdirected):
            await self._note_limit(decision, fields, started_at)
        if fields.is_not_run and not is_other_request:
            detail = f"not run ({exchange.status})"
            phase = AttemptPhase.REFUSED
            if fields.is_misdirected:
                phase = AttemptPhase.MISDIRECTED
            return build_attempt_end(decision, phase, exchange.status, detail=detail)
        if fields.request_id != call.request_id:
            detail = "the answer belongs to another request"
            return build_attempt_end(decision, AttemptPhase.SENT, detail=detail)
        is_success = 200 <= exchange.status < 300
        if is_success and not fields.is_signed:
            detail = "the answer is not signed"
            return build_attempt_end(decision, AttemptPhase.SENT, detail=detail)
        if not open_call.is_continued_by(exchange):
            detail = f"the answer ({exchange.status}) does not continue the begun one"
            return build_attempt_end(
                decision, AttemptPhase.FAILED, exchange.status, detail=detail
            )
        if is_success and call.route.kind is RepeatKind.STREAM:
            return await self._relay_stream(open_call, attempt, exchange, fields)
        return await self._relay_whole(open_call, attempt, exchange, fields)

    async def _note_limit(
        self, decision: SendCall, fields: AnswerFields, started_at: float
    ) -> None:
        """Report the limit that an answer names, or that a known limit has ended."""
        endpoint_id = decision.endpoint_id
        if fields.limit_per_s is None and not self._is_limited(endpoint_id):
            return
        await self._on_notice(
            EndpointLimitReceived(
                time.monotonic(), endpoint_id, fields.limit_per_s, started_at
            )
        )

    async def _relay_whole(
        self,
        open_call: OpenCall,
        attempt: Attempt,
        exchange: Exchange,
        fields: AnswerFields,
    ) -> CallAttemptEnded:
        """Relay an answer once complete, or as it arrives if it can't be buffered."""
        body = bytearray()
        decision = attempt.decision
        while len(body) <= MAX_BUFFERED_ANSWER_BYTES:
            rest_timeout_s = compute_rest_timeout(open_call.call)
            read = await self._read_data(decision, exchange, rest_timeout_s)
            if isinstance(read, Failure):
                return build_failed_end(decision, exchange, read.failure().message)
            if not attempt.is_parked:
                self._note_progress(open_call.call)
            data = read.unwrap()
            if isinstance(data, AnswerEnd):
                answer = BufferedAnswer(
                    exchange.status, exchange.raw_headers, bytes(body)
                )
                return await self._relay_buffered(open_call, attempt, answer, data)
            body += data
            is_held = open_call.responder.may_buffer(len(body))
            if not is_held and exchange.status < 400:
                break
        if exchange.status in NOT_RUN_STATUSES:
            return build_unmarked_end(decision, exchange.status)
        if exchange.status >= 500:
            detail = f"a failure of more than {MAX_BUFFERED_ANSWER_BYTES} bytes"
            return build_attempt_end(
                decision, AttemptPhase.SENT, exchange.status, detail=detail
            )
        if not await self._sender.take_lead(open_call, attempt):
            return build_superseded_end(decision)
        await self._on_start(build_started(decision, fields))
        return await self._relay_large(open_call, attempt, exchange, bytes(body))

    async def _relay_buffered(
        self,
        open_call: OpenCall,
        attempt: Attempt,
        answer: BufferedAnswer,
        end: AnswerEnd,
    ) -> CallAttemptEnded:
        """Relay a success; keep an error answer in case no retry succeeds."""
        phase, decision = AttemptPhase.ANSWERED, attempt.decision
        if answer.status in NOT_RUN_STATUSES:
            return build_unmarked_end(decision, answer.status, end)
        if answer.status >= 500:
            open_call.failure = answer
            phase = AttemptPhase.FAILED
        elif await self._sender.take_lead(open_call, attempt):
            await open_call.deliver(self._sender.respond(open_call.responder, answer))
        else:
            return build_superseded_end(decision)
        return build_attempt_end(decision, phase, answer.status, answer_end=end)

    async def _relay_large(
        self,
        open_call: OpenCall,
        attempt: Attempt,
        exchange: Exchange,
        data: bytes | AnswerEnd,
    ) -> CallAttemptEnded:
        decision = attempt.decision
        while not isinstance(data, AnswerEnd):
            self._note_progress(open_call.call)
            await self._sender.send_part(open_call, exchange, data)
            rest_timeout_s = compute_rest_timeout(open_call.call)
            read = await self._read_data(decision, exchange, rest_timeout_s)
            if isinstance(read, Failure):
                return build_failed_end(decision, exchange, read.failure().message, "")
            data = read.unwrap()
        await open_call.deliver(open_call.responder.finish())
        return build_attempt_end(
            decision, AttemptPhase.ANSWERED, exchange.status, answer_end=data
        )

    async def _relay_stream(
        self,
        open_call: OpenCall,
        attempt: Attempt,
        exchange: Exchange,
        fields: AnswerFields,
    ) -> CallAttemptEnded:
        """Relay a stream in whole events, so that another endpoint can resume it."""
        buffer, decision = attempt.buffer, attempt.decision
        is_started = False
        progress_at = time.monotonic()
        while True:
            read = await self._read_event_data(
                open_call, attempt, exchange, progress_at
            )
            if isinstance(read, Failure):
                message = read.failure().message
                return build_failed_end(
                    decision, exchange, message, open_call.last_event_id
                )
            data = read.unwrap()
            is_end = isinstance(data, AnswerEnd)
            self.responsive_ids.add(decision.endpoint_id)
            events = buffer.take_incomplete() if is_end else buffer.feed(data)
            fault = buffer.fault
            if fault:
                await exchange.abandon()
            elif is_end and events.strip() and _holds_events(open_call, exchange):
                fault = "the stream ended inside an event"
            elif data is AnswerEnd.CLOSE and not (is_started or events.strip()):
                fault = "the stream ended before its first event"
            if fault:
                return build_failed_end(
                    decision, exchange, fault, open_call.last_event_id
                )
            is_delivered = bool(events) or is_end
            if is_delivered and not await self._sender.take_lead(open_call, attempt):
                return build_superseded_end(decision)
            if events:
                progress_at = self._note_progress(open_call.call)
            if events and not is_started:
                is_started = True
                has_event_id = buffer.last_event_id != ""
                await self._on_start(
                    build_started(decision, fields, has_event_id=has_event_id)
                )
            if is_delivered:
                await self._sender.send_part(open_call, exchange, events)
                progress_at = time.monotonic()
            if is_end:
                await open_call.deliver(open_call.responder.finish())
                return build_attempt_end(
                    decision, AttemptPhase.ANSWERED, exchange.status, answer_end=data
                )

    async def _read_event_data(
        self,
        open_call: OpenCall,
        attempt: Attempt,
        exchange: Exchange,
        progress_at: float,
    ) -> Result[bytes | AnswerEnd, TransportError]:
        """Read from a stream whose last whole event was passed on at ``progress_at``.

        Bytes that complete no event don't count as progress.
        """
        idle_deadline = progress_at + compute_idle_timeout(open_call.call)
        timeout_s = idle_deadline - time.monotonic()
        if timeout_s > 0:
            read = await self._read_data(attempt.decision, exchange, timeout_s)
            if not isinstance(read, Failure) or not read.failure().is_timeout:
                return read
        return Failure(TransportError("stream stalled for good", sent=True))

    async def _read_data(
        self, decision: SendCall, exchange: Exchange, timeout_s: float
    ) -> Result[bytes | AnswerEnd, TransportError]:
        """Read from an answer.

        One without framing is complete if its endpoint closes the connection, unless
        nothing listens there any more: the end of a process closes it in order, too.
        """
        read = await exchange.read_data(timeout_s)
        if isinstance(read, Failure) or read.unwrap() is not AnswerEnd.CLOSE:
            return read
        if not await refuses_connections(decision.address, CONNECT_TIMEOUT_S):
            return read
        exchange.end = AnswerEnd.CUT
        return Failure(TransportError("the endpoint is gone", sent=True))


def _holds_events(open_call: OpenCall, exchange: Exchange) -> bool:
    """Return whether a body on a stream route has to end behind an event.

    A head is sent with the first event. Without a type, only framing proves that the
    answer is complete although it holds no event.
    """
    if open_call.is_head_sent:
        return True
    media_type = read_media_type(exchange.headers)
    if not media_type and exchange.end is not None:
        return not exchange.end.is_proven
    return media_type == EVENT_STREAM_TYPE
