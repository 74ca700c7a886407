"""Builds the events of one attempt from what its exchange shows."""

import time

from tamaracktray.answer_ends import AnswerEnd
from tamaracktray.calls import CallAttemptEnded, CallStarted, SendCall
from tamaracktray.exchange import Exchange
from tamaracktray.notices import EndpointNoticeReceived
from tamaracktray.outcomes import AttemptPhase
from tamaracktray.protocol import AnswerFields


def build_started(
    decision: SendCall, fields: AnswerFields, *, has_event_id: bool = False
) -> CallStarted:
    """Return the start of an endpoint's answer."""
    return CallStarted(
        time.monotonic(),
        decision.call_id,
        decision.endpoint_id,
        fields.version,
        has_event_id,
    )


def build_notice(decision: SendCall, fields: AnswerFields) -> EndpointNoticeReceived:
    """Return what an endpoint says about itself in its answer."""
    return EndpointNoticeReceived(
        time.monotonic(),
        decision.endpoint_id,
        fields.is_leaving,
        fields.pause_s,
        fields.is_misdirected,
        decision.start_time_ms,
    )


def build_attempt_end(
    decision: SendCall,
    phase: AttemptPhase,
    status: int = 0,
    *,
    detail: str = "",
    answer_end: AnswerEnd | None = None,
) -> CallAttemptEnded:
    """Return the end of an attempt that was answered or was not sent."""
    return CallAttemptEnded(
        time.monotonic(),
        decision.call_id,
        decision.endpoint_id,
        phase,
        status,
        detail=detail,
        answer_end=answer_end,
    )


def build_parked_end(
    decision: SendCall, last_event_id: str | None = None
) -> CallAttemptEnded:
    """Return the end of an attempt that its call leaves but that may be resumed.

    ``last_event_id`` is as in ``build_failed_end``.
    """
    phase = AttemptPhase.SENT if last_event_id is None else AttemptPhase.CUT
    return CallAttemptEnded(
        time.monotonic(),
        decision.call_id,
        decision.endpoint_id,
        phase,
        last_event_id=last_event_id or "",
        detail="left",
        is_parked=True,
    )


def build_superseded_end(decision: SendCall) -> CallAttemptEnded:
    """Return the end of an attempt whose place another one has taken."""
    return build_attempt_end(decision, AttemptPhase.SENT, detail="superseded")


def build_unmarked_end(
    decision: SendCall, status: int, end: AnswerEnd | None = None
) -> CallAttemptEnded:
    """Return the end of an attempt whose answer can't be relayed.

    To the caller, its status would promise what the endpoint did not.
    """
    detail = f"{status} without the mark that the call was not run"
    return build_attempt_end(
        decision, AttemptPhase.SENT, status, detail=detail, answer_end=end
    )


def build_failed_end(
    decision: SendCall,
    exchange: Exchange,
    detail: str,
    last_event_id: str | None = None,
) -> CallAttemptEnded:
    """Return the end of an attempt whose answer is missing or incomplete.

    ``last_event_id`` is ``None`` if no part of the answer was sent to the caller.
    """
    phase = AttemptPhase.SENT if last_event_id is None else AttemptPhase.CUT
    return CallAttemptEnded(
        time.monotonic(),
        decision.call_id,
        decision.endpoint_id,
        phase,
        is_reset=not exchange.is_abandoned,
        last_event_id=last_event_id or "",
        detail=detail,
        answer_end=exchange.end,
    )
