"""Builds the HTTP servers of a process that follows the store, with their bounds."""

from tamaracktray.descriptors import count_caller_connections, read_descriptor_limit
from tamaracktray.http import Handler, HttpServer
from tamaracktray.memory_budget import MemoryBudget
from tamaracktray.node_settings import CallerSettings
from tamaracktray.types import Address

# Connections to each of the servers of metrics and readiness, which the platform polls,
# and the memory in bytes that they may make it hold.
MAX_POLLING_CONNECTIONS = 16
MAX_POLLING_BYTES = 4 * 1_048_576


def build_caller_server(
    address: Address, handler: Handler, settings: CallerSettings
) -> HttpServer:
    """Return the server of callers' requests."""
    max_connections = count_caller_connections(read_descriptor_limit())
    if settings.connections:
        max_connections = min(settings.connections, max_connections)
    return HttpServer(
        address,
        handler,
        cancel_on_disconnect=True,
        max_connections=max_connections,
        budget=MemoryBudget(settings.held_bytes),
    )


def build_peer_server(
    address: Address, handler: Handler, settings: CallerSettings
) -> HttpServer:
    """Return the server of peers' requests.

    Its budget is separate, so that callers can't keep the fleet from communicating.
    """
    return HttpServer(
        address,
        handler,
        max_connections=settings.peer_connections,
        budget=MemoryBudget(settings.peer_held_bytes),
    )


def build_polled_server(address: Address, handler: Handler) -> HttpServer:
    """Return a server of metrics or readiness, which the platform polls."""
    return HttpServer(
        address,
        handler,
        max_connections=MAX_POLLING_CONNECTIONS,
        budget=MemoryBudget(MAX_POLLING_BYTES),
    )
