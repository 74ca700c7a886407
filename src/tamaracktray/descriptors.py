"""How many connections fit into the file descriptors of a process."""

import resource

import structlog

# Descriptors that callers don't get: files, listeners, the store and peers.
RESERVED_DESCRIPTORS = 300

# A call needs its caller's connection and one to an endpoint.
DESCRIPTORS_PER_CALL = 2

# Connections of callers that are accepted in any case.
MIN_CALLER_CONNECTIONS = 16


def raise_descriptor_limit() -> int:
    """Raise the soft limit of descriptors as far as allowed, and return it.

    Many systems set a low soft limit for programs that use ``select``.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == hard:
        return soft
    try:
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    except (OSError, ValueError) as error:
        structlog.get_logger().warning(
            "limit of descriptors not raised", limit=soft, error=str(error)
        )
        return soft
    return hard


def count_caller_connections(descriptors: int) -> int:
    """Return how many connections of callers leave descriptors for all their calls."""
    share = (descriptors - RESERVED_DESCRIPTORS) // DESCRIPTORS_PER_CALL
    return max(share, MIN_CALLER_CONNECTIONS)
