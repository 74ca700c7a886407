"""Answers of endpoints that have no framing, break off or don't fit the request."""

from enum import Enum

import curio

from tamaracktray.http_messages import Headers, Request
from tamaracktray.responders import Responder
from tamaracktray_emulator.platform.raw_answers import (
    begin_unframed,
    end_unframed,
    send_unframed,
)
from tamaracktray_emulator.platform.worker import EVENT_S, EVENTS

HANG_S = 3_600.0
ERROR_BODY = b'{"error": "this is no event"}\n\n'
LAST_EVENT_ID = "last-event-id"


class AnswerFault(Enum):
    """How an endpoint treats an answer.

    ``WHOLE`` sends it without framing but whole. ``INSIDE_EVENT`` closes and ``HANG``
    falls silent in the middle. ``REPEAT`` ignores the last event id of a resumption,
    ``ERROR`` answers it with an error and ``EMPTY`` with an empty body.
    """

    WHOLE = "whole"
    INSIDE_EVENT = "inside_event"
    HANG = "hang"
    REPEAT = "repeat"
    ERROR = "error"
    EMPTY = "empty"


async def send_faulty_stream(
    fault: AnswerFault, request: Request, responder: Responder, headers: Headers
) -> None:
    """Send a stream of events with a fault."""
    last_event_id = int(request.headers.get(LAST_EVENT_ID, "0"))
    if last_event_id and fault is AnswerFault.ERROR:
        await responder.respond(404, headers[:-1], ERROR_BODY)
        return
    await begin_unframed(responder, headers)
    first = 1 if fault is AnswerFault.REPEAT else last_event_id + 1
    if last_event_id and fault is AnswerFault.EMPTY:
        first = EVENTS + 1
    for number in range(first, EVENTS + 1):
        await curio.sleep(EVENT_S)
        event = f"id: {number}\ndata: token {number}\n\n".encode()
        if number > EVENTS // 2 and await _break_off(fault, responder, event):
            return
        await send_unframed(responder, event)
    await end_unframed(responder)


async def send_faulty_body(
    fault: AnswerFault, responder: Responder, headers: Headers, body: bytes
) -> None:
    """Send a plain answer with a fault."""
    await begin_unframed(responder, headers)
    # The end of a plain answer that closes in order shows nothing.
    is_hanging = fault is AnswerFault.HANG
    if is_hanging and await _break_off(fault, responder, body):
        return
    await send_unframed(responder, body)
    await end_unframed(responder)


async def _break_off(fault: AnswerFault, responder: Responder, data: bytes) -> bool:
    if fault not in (AnswerFault.INSIDE_EVENT, AnswerFault.HANG):
        return False
    await send_unframed(responder, data[: len(data) // 2])
    if fault is AnswerFault.HANG:
        await curio.sleep(HANG_S)
    await end_unframed(responder)
    return True
