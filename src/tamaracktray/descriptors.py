"""How many connections fit into the file descriptors of a process."""

import resource
import sys

import structlog

# Descriptors that callers don't get: files, listeners, the store and peers.
RESERVED_DESCRIPTORS = 300

# A call needs its caller's connection and one to an endpoint.
DESCRIPTORS_PER_CALL = 2

# Connections of callers that are accepted in any case.
MIN_CALLER_CONNECTIONS = 16


def read_descriptor_limit() -> int:
    """Return how many descriptors this process may have open."""
    try:
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    except OSError as error:
        structlog.get_logger().warning("limit unknown", error=str(error))
        return sys.maxsize
    return sys.maxsize if soft == resource.RLIM_INFINITY else soft


def count_caller_connections(descriptors: int) -> int:
    """Return how many connections of callers leave descriptors for all their calls."""
    share = (descriptors - RESERVED_DESCRIPTORS) // DESCRIPTORS_PER_CALL
    return max(share, MIN_CALLER_CONNECTIONS)
