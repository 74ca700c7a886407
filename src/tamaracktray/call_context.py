"""The parts of a process's state on which decisions about calls depend."""

import math

from tamaracktray.attempt_abandonment import is_sendable
from tamaracktray.calls import SendCall
from tamaracktray.exceptions import InvariantError
from tamaracktray.gateway_state import GatewayContext
from tamaracktray.node_state import NodeState
from tamaracktray.placement import PlacementContext

# Transit allowance of a request, in multiples of its connection time: one for the
# request to arrive and one for its cancellation.
TRANSIT_PER_CONNECT_TIME = 2.0


def build_gateway_context(
    state: NodeState, now: float, *, transit_s: float = 0.0
) -> GatewayContext:
    """Return the gateway's view of the state.

    ``transit_s`` is the time in seconds that a call takes to reach its endpoint. Raise
    ``InvariantError`` if the process is not an entry.
    """
    if state.gateway is None:
        raise InvariantError(f"{state.name} is not an entry")
    return GatewayContext(
        state.gateway,
        build_placement_context(state, now, now + transit_s),
        state.crashes,
        state.part_crashes,
        state.is_leaving and now >= state.close_deadline,
        state.unix_offset_s,
        math.inf if state.is_store_lost else max(state.outage_end, state.regained_at),
        state.is_leaving and now >= state.answer_deadline,
        state.index,
    )


def build_placement_context(
    state: NodeState, now: float, arrival: float
) -> PlacementContext:
    """Return the placement input at ``now`` for calls that arrive at ``arrival``."""
    return PlacementContext(
        state.zone,
        state.region_by_zone,
        state.evacuated_zones,
        state.services_by_name,
        state.announcements.list_floors(now),
        state.announcements.list_last_floors(arrival),
    )


def may_send(
    state: NodeState, now: float, decision: SendCall, connect_s: float
) -> bool:
    """Return whether a decision to send is still valid at ``now``.

    On a saturated link, a request and its cancellation each take about as long to
    arrive as the connection took to open, which is ``connect_s`` seconds.
    """
    transit_s = TRANSIT_PER_CONNECT_TIME * connect_s
    context = build_gateway_context(state, now, transit_s=transit_s)
    return is_sendable(context, now, decision)
