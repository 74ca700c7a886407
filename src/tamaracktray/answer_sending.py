"""Sends answers of endpoints to callers, each from one attempt at a time."""

import time
from collections.abc import Awaitable, Callable

from tamaracktray.calls import AttemptResumed, SendCall
from tamaracktray.exchange import Exchange
from tamaracktray.http_messages import RawHeaders
from tamaracktray.open_calls import Attempt, BufferedAnswer, OpenCall
from tamaracktray.protocol import RequestProtocol
from tamaracktray.responders import Responder


class AnswerSender:
    """Sends answers to callers.

    ``may_resume`` checks whether a parked attempt may still go on, and ``on_resume`` is
    called when it does. With ``closes_connections``, answers ask callers to close their
    connection.
    """

    __slots__ = ("_may_resume", "_on_resume", "_protocol", "closes_connections")

    def __init__(
        self,
        protocol: RequestProtocol,
        may_resume: Callable[[SendCall], bool],
        on_resume: Callable[[AttemptResumed], Awaitable[None]],
    ) -> None:
        self._protocol = protocol
        self._may_resume = may_resume
        self._on_resume = on_resume
        self.closes_connections = False

    async def take_lead(self, open_call: OpenCall, attempt: Attempt) -> bool:
        """Return whether the caller's answer may come from an attempt.

        The first attempt that has a part of the answer supersedes the others.
        """
        if attempt.is_superseded:
            return False
        if attempt.is_leading and not attempt.is_parked:
            return True
        is_parked, decision = attempt.is_parked, attempt.decision
        if is_parked and not self._may_resume(decision):
            attempt.is_superseded = True
            return False
        await open_call.let_lead(attempt)
        if is_parked:
            await self._on_resume(
                AttemptResumed(time.monotonic(), decision.call_id, decision.endpoint_id)
            )
        return True

    async def respond(self, responder: Responder, answer: BufferedAnswer) -> None:
        """Relay a complete answer to the caller."""
        headers = self._select_headers(answer.headers)
        await responder.respond(answer.status, headers, answer.body)

    async def send_part(
        self, open_call: OpenCall, exchange: Exchange, data: bytes
    ) -> None:
        """Send a piece of an answer's body, and its head before the first one."""
        responder = open_call.responder
        if not open_call.is_head_sent:
            open_call.begin(exchange)
            headers = self._select_headers(exchange.raw_headers)
            await open_call.deliver(responder.send_head(exchange.status, headers))
        if data:
            await open_call.deliver(responder.send_data(data))

    def _select_headers(self, headers: RawHeaders) -> RawHeaders:
        selected = self._protocol.select_answer_headers(headers)
        if self.closes_connections:
            selected.append((b"connection", b"close"))
        return selected
