"""How long calls of the platform's store may take, and what unanswered ones mean."""

from tamaracktray.exceptions import (
    PlatformError,
    PlatformUnavailableError,
    TransportError,
    WriteOutcomeUnknownError,
)

# Extra time for the answer to a watch: upper bound in seconds, and share of the wait.
MAX_WATCH_GRACE_S = 3.0
WATCH_GRACE_SHARE = 0.4


def compute_watch_timeout_s(wait_s: float, call_timeout_s: float) -> float:
    """Return after how many seconds a watch that waits ``wait_s`` counts as silent."""
    if not wait_s:
        return MAX_WATCH_GRACE_S
    grace_s = max(wait_s * WATCH_GRACE_SHARE, call_timeout_s)
    return wait_s + min(MAX_WATCH_GRACE_S, grace_s)


def classify_transport(method: str, error: TransportError) -> PlatformError:
    """Return what a call without an answer means: a write may have taken effect."""
    if error.sent and method != "GET":
        return WriteOutcomeUnknownError(
            f"the answer to a write was lost: {error.message}"
        )
    return PlatformUnavailableError(
        f"the platform is unavailable: {error.message}",
        is_timed_out=error.is_timeout,
        is_cut=error.sent and not error.is_timeout,
    )
