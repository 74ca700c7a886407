"""Idle timeouts for endpoints that send no data."""

import time

from tamaracktray.calls import Call

# Idle timeout of a stream, after which its callers give up as well: the largest of a
# minimum in seconds, a multiple of the latency objective and a multiple of the longest
# gap that its route allows. The margin covers the network delay to the caller.
MIN_IDLE_TIMEOUT_S = 2.0
IDLE_TIMEOUT_OBJECTIVES = 4.0
IDLE_TIMEOUT_GAPS = 8.0
IDLE_TIMEOUT_MARGIN_S = 0.25

# Time after the route's timeout within which a completed answer is still relayed.
TIMEOUT_GRACE_S = 0.05


def compute_idle_timeout(call: Call) -> float:
    """Return the idle timeout between two events of a stream, in seconds."""
    route = call.route
    idle_timeout_s = max(
        MIN_IDLE_TIMEOUT_S,
        IDLE_TIMEOUT_OBJECTIVES * route.target_latency_s,
        IDLE_TIMEOUT_GAPS * route.gap_target_s,
    )
    return idle_timeout_s + IDLE_TIMEOUT_MARGIN_S


def compute_rest_timeout(call: Call) -> float:
    """Return the timeout for the rest of an answer, in seconds.

    Only the deadline ends an answer for its silence, unless the call can be retried.
    """
    return max(call.deadline - time.monotonic(), 0.0) + TIMEOUT_GRACE_S
