"""Endpoint stand-ins that record the requests they run."""

import contextlib
import time
from collections.abc import Generator
from typing import Any

from typing_extensions import override

from tamaracktray.hashing import hash_text
from tamaracktray.http_messages import Headers, Request
from tamaracktray.responders import Responder
from tamaracktray.types import Address
from tamaracktray_emulator.platform.origin import list_digests
from tamaracktray_emulator.platform.worker import (
    EXPECTED_ENDPOINT,
    VERSION,
    EngineStandIn,
    Mode,
    WorkerStandIn,
    build_body,
)
from tamaracktray_emulator.soak.faulty_answers import (
    AnswerFault,
    send_faulty_body,
    send_faulty_stream,
)
from tamaracktray_emulator.soak.notice_checks import NoticeChecker
from tamaracktray_emulator.soak.record import Arrival, Run, SentAnswer, SoakRecord

TEAM_HEADER = "x-tamaracktray-tenant"
REQUEST_ID = "x-tamaracktray-request-id"
KEY_HEADER = "authorization"
STREAM_TYPE = ("content-type", "text/event-stream")


# One call in this many has a long answer, which entries forward as a stream.
CALLS_PER_LONG_ANSWER = 3

# Minimum length of a long answer, in bytes.
LONG_ANSWER_BYTES = 600_000


def compute_answer_bytes(call_id: str) -> int:
    """Return the minimum length of a plain worker's answer to a call, in bytes."""
    is_long = hash_text(call_id) % CALLS_PER_LONG_ANSWER == 0
    return LONG_ANSWER_BYTES if is_long else 0


class _RecordingMixin:
    """Mixin that records each run before the stand-in starts it."""

    record: SoakRecord
    zone: str
    started: float
    listed_address: Address
    notice_checker: NoticeChecker | None = None
    answer_fault: AnswerFault | None = None

    async def answer(self, request: Request, responder: Responder) -> None:
        """Record the arrival of a request and answer it."""
        call_id = request.headers.get(REQUEST_ID, "")
        if call_id in self.record.calls_by_id:
            now = time.monotonic() - self.started
            is_addressed = request.headers.get(EXPECTED_ENDPOINT, self.id) == self.id
            self.record.arrivals.append(
                Arrival(now, call_id, self.id, self.zone, is_addressed)
            )
            if self.crashed_at:
                self.record.dropped_ids.add(call_id)
        await super().answer(request, responder)

    def note_arrival(self, request: Request) -> None:
        """Check the request against the notices that this endpoint has sent."""
        if self.notice_checker is not None:
            call_id = request.headers.get(REQUEST_ID, "")
            self.notice_checker.note_arrival(
                call_id, self.id, time.monotonic() - self.started
            )

    def note_pause(
        self, request: Request, responder: Responder, pause_s: float
    ) -> None:
        """Register the requested pause, to check that entries respect it.

        An entry that has closed the connection can't read the answer with the pause.
        """
        if self.notice_checker is not None and not responder.is_disconnected:
            call_id = request.headers.get(REQUEST_ID, "")
            now = time.monotonic() - self.started
            self.notice_checker.note_pause(call_id, self.id, now, pause_s)

    def record_run(self, request: Request, version: int = 0) -> None:
        headers = request.headers
        run = Run(
            time.monotonic() - self.started,
            self.id,
            self.zone,
            request.target,
            request.body,
            headers.get(TEAM_HEADER, ""),
            KEY_HEADER in headers,
            version,
        )
        self.record.note_run(headers.get(REQUEST_ID, ""), run)

    @contextlib.contextmanager
    def record_answer(
        self, request: Request, responder: Responder
    ) -> Generator[None, None, None]:
        """Record the answer that is sent inside this context."""
        call_id = request.headers.get(REQUEST_ID, "")
        answer = SentAnswer(self.id, lambda: responder.is_disconnected)
        self.record.answers_by_id.setdefault(call_id, []).append(answer)
        try:
            yield
        finally:
            answer.end()

    def record_fault(self, request: Request) -> None:
        """Record that the answer may break off through no fault of an entry."""
        if self.answer_fault is not AnswerFault.WHOLE:
            self.record.broken_ids.add(request.headers.get(REQUEST_ID, ""))

    async def _drop_request(self, responder: Responder) -> None:
        self.record.note_crash(self.id)
        await super()._drop_request(responder)

    def prepare(self, record: SoakRecord, zone: str, started: float) -> None:
        self.record = record
        self.zone = zone
        self.started = started


class SoakWorker(_RecordingMixin, WorkerStandIn):
    """A plain worker."""

    @override
    async def run(
        self, request: Request, responder: Responder, headers: Headers
    ) -> None:
        self.record_run(request)
        with self.record_answer(request, responder):
            if self.answer_fault is None or self.mode is not Mode.GOOD:
                await super().run(request, responder, headers)
                return
            self.record_fault(request)
            body = build_body(self.id, self.compute_answer_bytes(request))
            await send_faulty_body(self.answer_fault, responder, headers, body)

    @override
    def compute_answer_bytes(self, request: Request) -> int:
        return compute_answer_bytes(request.headers.get(REQUEST_ID, ""))

    @override
    def describe(self, zone: str, **fields: Any) -> dict[str, Any]:
        return super().describe(zone, address=str(self.listed_address), **fields)


class SoakEngine(_RecordingMixin, EngineStandIn):
    """A model engine that checks that the weights it loads are complete.

    ``max_batch`` is the number of requests that its record allows at a time.
    """

    max_batch = 16

    @override
    async def run(
        self, request: Request, responder: Responder, headers: Headers
    ) -> None:
        self.record_run(request, self.version)
        is_usual = self.answer_fault is None or self.mode is not Mode.GOOD
        with self.record_answer(request, responder):
            if is_usual or self.is_fatal(request):
                await super().run(request, responder, headers)
                return
            self.record_fault(request)
            headers = [*headers, (VERSION, str(self.version)), STREAM_TYPE]
            await send_faulty_stream(self.answer_fault, request, responder, headers)

    @override
    async def _load(self, version: int) -> None:
        await super()._load(version)
        is_whole = self.loaded_digests == list_digests(version)
        now = time.monotonic() - self.started
        self.record.check("weights are whole", is_whole, now, f"{self.id} v{version}")

    @override
    def describe(self, zone: str, **fields: Any) -> dict[str, Any]:
        listed = {"address": str(self.listed_address), "maxBatchSize": self.max_batch}
        return super().describe(zone, **listed, **fields)
