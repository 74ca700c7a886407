"""Errors for calls that get no answer from an endpoint, with their retry delays."""

from tamaracktray.calls import Call
from tamaracktray.hashing import HASH_RANGE, hash_text
from tamaracktray.types import ErrorCode, Refusal, RunState

# Retry delay while most calls are served, in seconds: short enough to meet the latency
# objective, and about the time in which an engine completes one of its calls.
BUSY_RETRY_S = 0.06

# Retry delay while most calls are refused, in seconds, and its spread. An earlier retry
# would meet the same lack of capacity, which seldom outlasts a version swap or the loss
# of an instance.
SCARCE_RETRY_S = 1.0
SCARCE_SPREAD_S = 1.0


# Retry delay when no endpoint is eligible, in seconds, and its spread. A version swap,
# a crash or the loss of an instance seldom takes less, and the latency objective is
# missed in any case.
NO_ENDPOINT_RETRY_S = 1.4
NO_ENDPOINT_SPREAD_S = 0.6


# Time over which retries are spread after a pause of all endpoints, in seconds.
PAUSE_SPREAD_S = 0.5


# Longest retry delay as a share of the time that the caller still waits.
MAX_RETRY_DELAY_SHARE = 1 / 3


LEAVING_RETRY_S = 0.02


def spread_retry_delay(now: float, call: Call, base_s: float, spread_s: float) -> float:
    """Return a retry delay that fits into the caller's wait, in seconds.

    Delays are spread because simultaneous retries would compete for the same capacity.
    """
    delay_s = base_s + spread_s * _hash_share(call)
    if not call.wait_s:
        return delay_s
    remaining_s = call.arrived + call.wait_s - now
    return max(min(delay_s, remaining_s * MAX_RETRY_DELAY_SHARE), BUSY_RETRY_S)


def compute_pause_delay(now: float, call: Call, deadline: float) -> float:
    """Return the retry delay until ``deadline``, in seconds.

    Retries are spread over ``PAUSE_SPREAD_S`` after it.
    """
    return max(deadline - now, 0.0) + PAUSE_SPREAD_S * _hash_share(call)


def _hash_share(call: Call) -> float:
    """Return a number from 0 to 1 derived from the request id."""
    return hash_text(call.request_id) / HASH_RANGE


def _refuse_not_run(code: ErrorCode, message: str, retry_after_s: float) -> Refusal:
    return Refusal(code, message, RunState.NOT_RUN, 503, retry_after_s)


def refuse_unanswered() -> Refusal:
    """Return the error for a call that was sent without getting a valid answer."""
    return Refusal(
        ErrorCode.OUTCOME_UNKNOWN,
        "the request was sent but not answered",
        RunState.UNKNOWN,
        502,
    )


def refuse_leaving() -> Refusal:
    """Return the refusal by an entry that shuts down; others accept the call."""
    return _refuse_not_run(
        ErrorCode.LEAVING, "this entry is shutting down", LEAVING_RETRY_S
    )


def refuse_deadline_passed(may_have_run: bool) -> Refusal:
    """Return the error for a call whose deadline has passed."""
    if may_have_run:
        return Refusal(
            ErrorCode.TIMED_OUT,
            "the endpoint did not answer in time",
            RunState.UNKNOWN,
            504,
        )
    return _refuse_not_run(
        ErrorCode.DEADLINE_EXCEEDED,
        "the deadline passed before the request could run",
        BUSY_RETRY_S,
    )


def refuse_busy(retry_after_s: float) -> Refusal:
    """Return the refusal of a call for which no endpoint has capacity."""
    return _refuse_not_run(
        ErrorCode.OVERLOADED, "all endpoints are busy", retry_after_s
    )


def refuse_paused(retry_after_s: float) -> Refusal:
    """Return the refusal of a call whose endpoints are all paused."""
    return _refuse_not_run(
        ErrorCode.OVERLOADED, "all endpoints have asked for a pause", retry_after_s
    )


def refuse_no_endpoint(retry_after_s: float) -> Refusal:
    """Return the refusal of a call for which no endpoint is eligible."""
    return _refuse_not_run(
        ErrorCode.NO_ENDPOINT, "no endpoint can take the request now", retry_after_s
    )


def compute_quarantine_delay(
    now: float, call: Call, quarantine_end: float, verdict_s: float
) -> float:
    """Return the retry delay for a quarantined request, in seconds.

    A quarantine that ends within ``verdict_s`` rests on a mere suspicion, which is
    usually dropped soon.
    """
    remaining_s = quarantine_end - now
    if remaining_s > verdict_s:
        return remaining_s
    return min(
        remaining_s, spread_retry_delay(now, call, SCARCE_RETRY_S, SCARCE_SPREAD_S)
    )


def refuse_quarantined(remaining_s: float) -> Refusal:
    """Return the refusal of a request quarantined for ``remaining_s`` more seconds."""
    return _refuse_not_run(
        ErrorCode.QUARANTINED,
        "this request crashed several endpoints and is refused for a while",
        remaining_s,
    )
