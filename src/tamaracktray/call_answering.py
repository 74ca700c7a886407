"""Carries out an entry's decisions on calls until each caller has its answer."""

import time
from collections.abc import Awaitable, Callable

import curio

from tamaracktray.answer_sending import AnswerSender
from tamaracktray.attempt_events import build_parked_end
from tamaracktray.attempt_relay import CallRelay
from tamaracktray.call_log import CallLog
from tamaracktray.calls import (
    AbandonAttempt,
    AbortAnswer,
    AttemptResumed,
    CallArrived,
    CallAttemptEnded,
    CallEnded,
    CallStarted,
    EndParkedAttempt,
    LeaveAttempt,
    RefuseCall,
    RelayFailure,
    ResumeAttempt,
    SendCall,
)
from tamaracktray.effects import Effect
from tamaracktray.events import Event
from tamaracktray.messages import encode_refusal
from tamaracktray.node_state import NodeState
from tamaracktray.open_calls import Attempt, AttemptError, OpenCall
from tamaracktray.outcomes import AttemptPhase
from tamaracktray.refusals import refuse_deadline_passed, refuse_unanswered
from tamaracktray.responders import Responder
from tamaracktray.tracebacks import drop_traceback, run_releasing
from tamaracktray.types import Refusal


class CallAnswering:
    """Follows the decisions on the calls in ``open_by_id``.

    Each attempt has a task of its own, so that one which the call has left can go on
    beside the next one. ``dispatch`` reduces an event and performs its effects.
    """

    __slots__ = ("_call_log", "_dispatch", "_sender", "_state", "open_by_id", "relay")

    def __init__(
        self,
        state: NodeState,
        relay: CallRelay,
        sender: AnswerSender,
        call_log: CallLog,
        dispatch: Callable[[Event], Awaitable[None]],
    ) -> None:
        self._state = state
        self._sender = sender
        self._call_log = call_log
        self._dispatch = dispatch
        self.relay = relay
        self.open_by_id: dict[str, OpenCall] = {}

    async def answer(self, open_call: OpenCall) -> None:
        """Carry out decisions on a call until one is final or its deadline passes."""
        call = open_call.call
        self._call_log.note_arrived(call)
        self.open_by_id[call.id] = open_call
        remaining_s = call.deadline - time.monotonic()
        try:
            await self._dispatch(CallArrived(time.monotonic(), call))
            await curio.timeout_after(remaining_s, self._follow_decisions(open_call))
        except curio.TaskTimeout as error:
            drop_traceback(error)
            await open_call.end_attempts()
            await self._end_expired(open_call)
        except curio.CancelledError:
            self._call_log.note_caller_disconnected(call)
            raise
        finally:
            self.open_by_id.pop(call.id, None)
            await self._dispatch(CallEnded(time.monotonic(), call.id))
            await open_call.end_attempts()

    async def _follow_decisions(self, open_call: OpenCall) -> None:
        while True:
            item = await open_call.take()
            if isinstance(item, AttemptError):
                try:
                    raise item.error
                finally:
                    # The traceback refers to this frame, so the error would keep the
                    # call in memory until the next garbage collection.
                    del item
            if isinstance(item, SendCall):
                await self._begin_attempt(open_call, item)
                continue
            if not isinstance(item, CallAttemptEnded):
                await self._finish(open_call, item)
                return
            await self._note_end(open_call, item)
            if item.phase is AttemptPhase.ANSWERED:
                return

    async def _note_end(self, open_call: OpenCall, ended: CallAttemptEnded) -> None:
        self._call_log.note_attempt_end(open_call.call, ended)
        await self._dispatch(ended)

    async def _begin_attempt(self, open_call: OpenCall, decision: SendCall) -> None:
        version = self._state.index.table.version
        self._call_log.note_attempt(open_call.call, decision, version)
        attempt = open_call.begin_attempt(decision)
        attempt.task = await curio.spawn(
            run_releasing, self._run_attempt, open_call, attempt, daemon=True
        )

    async def _run_attempt(self, open_call: OpenCall, attempt: Attempt) -> None:
        """Carry out an attempt and queue how it ended."""
        try:
            ended = await self.relay.attempt(open_call, attempt)
        except Exception as error:
            if isinstance(error, OSError):
                # The caller is lost; the traceback would keep the answer in memory.
                drop_traceback(error)
            attempt.is_ended = True
            await open_call.put(AttemptError(error), attempt)
            return
        attempt.is_ended = True
        if ended.phase is AttemptPhase.ANSWERED:
            open_call.answered = ended
        await open_call.put(ended, attempt)

    async def note_start(self, event: CallStarted) -> None:
        """Handle the start of an endpoint's answer."""
        open_call = self.open_by_id.get(event.call_id)
        if open_call is not None:
            self._call_log.note_first_part(open_call.call)
        await self._dispatch(event)

    async def note_resumed(self, event: AttemptResumed) -> None:
        """Handle a parked attempt that went on by itself."""
        open_call = self.open_by_id.get(event.call_id)
        if open_call is not None:
            self._call_log.note_resumed(
                open_call.call, event.endpoint_id, "the endpoint went on"
            )
        await self._dispatch(event)

    async def _finish(self, open_call: OpenCall, decision: Effect) -> None:
        """Answer the caller according to a final decision."""
        call, responder = open_call.call, open_call.responder
        if isinstance(decision, RelayFailure) and open_call.failure is not None:
            failure = open_call.failure
            self._call_log.note_failure_relayed(call, failure.status)
            await self._sender.respond(responder, failure)
            return
        if isinstance(decision, RefuseCall):
            version = self._state.index.table.version
            self._call_log.note_refused(call, decision, version)
            await self.send_refusal(responder, decision.refusal)
            return
        if not open_call.is_head_sent:
            unanswered = RefuseCall(call.id, refuse_unanswered())
            version = self._state.index.table.version
            self._call_log.note_refused(call, unanswered, version)
            await self.send_refusal(responder, unanswered.refusal)
            return
        reason = decision.reason if isinstance(decision, AbortAnswer) else "no answer"
        self._call_log.note_answer_aborted(call, reason)
        await responder.abort()

    async def _end_expired(self, open_call: OpenCall) -> None:
        """Abort or refuse a call whose deadline has passed, unless it is answered."""
        call = open_call.call
        if open_call.answered is not None:
            await self._note_end(open_call, open_call.answered)
            return
        if open_call.is_head_sent:
            self._call_log.note_deadline_passed(call, None)
            await open_call.responder.abort()
            return
        if open_call.failure is not None:
            await self._finish(open_call, RelayFailure(call.id))
            return
        refusal = refuse_deadline_passed(self._state.gateway.may_have_run(call.id))
        self._call_log.note_deadline_passed(call, refusal)
        await self.send_refusal(open_call.responder, refusal)

    async def deliver_decision(
        self, effect: SendCall | RefuseCall | AbortAnswer | RelayFailure
    ) -> None:
        """Queue a decision on a call."""
        open_call = self.open_by_id.get(effect.call_id)
        if open_call is not None:
            await open_call.put(effect)

    async def abandon_attempt(self, effect: AbandonAttempt) -> None:
        """End the attempt in flight of a call, unless its answer is just arriving."""
        open_call = self.open_by_id.get(effect.call_id)
        attempt = None if open_call is None else open_call.find_current()
        if open_call is None or attempt is None:
            return
        if attempt.exchange is not None and attempt.exchange.has_unread_data:
            await self._stay(attempt)
            return
        self._call_log.note_abandoned(open_call.call, effect.reason)
        await attempt.abandon()

    async def leave_attempt(self, effect: LeaveAttempt) -> None:
        """Park the attempt in flight of a call, unless its end is already queued.

        Silence of an attempt that is sending a part of its answer is that of the
        caller, who reads slowly.
        """
        open_call = self.open_by_id.get(effect.call_id)
        attempt = None if open_call is None else open_call.find_current()
        if open_call is None or attempt is None:
            return
        if open_call.is_sending:
            await self._stay(attempt)
            return
        self._call_log.note_abandoned(open_call.call, effect.reason)
        attempt.is_parked = True
        await open_call.put(build_parked_end(attempt.decision, open_call.last_event_id))

    async def _stay(self, attempt: Attempt) -> None:
        """Take back a decision to leave or abandon an attempt."""
        decision = attempt.decision
        event = AttemptResumed(time.monotonic(), decision.call_id, decision.endpoint_id)
        await self._dispatch(event)

    async def resume_attempt(self, effect: ResumeAttempt) -> None:
        """Go back to a parked attempt; if it has just ended, its end is queued."""
        open_call = self.open_by_id.get(effect.call_id)
        if open_call is None:
            return
        reason = "no other endpoint takes the call"
        self._call_log.note_resumed(
            open_call.call, effect.endpoint_id, reason, effect.age_s
        )
        attempt = open_call.find_attempt(effect.endpoint_id)
        if attempt is not None:
            attempt.is_parked = False

    async def end_parked_attempt(self, effect: EndParkedAttempt) -> None:
        """End a parked attempt."""
        open_call = self.open_by_id.get(effect.call_id)
        if open_call is None:
            return
        self._call_log.note_abandoned(open_call.call, effect.reason)
        attempt = open_call.find_attempt(effect.endpoint_id)
        if attempt is not None:
            attempt.is_superseded = True
            await attempt.cancel(blocking=False)

    async def send_refusal(self, responder: Responder, refusal: Refusal) -> None:
        """Answer a caller with an error of this process."""
        headers, body = encode_refusal(refusal, allows_fractions=True)
        if self._state.is_leaving:
            headers.append(("connection", "close"))
        await responder.respond(refusal.status, headers, body)
