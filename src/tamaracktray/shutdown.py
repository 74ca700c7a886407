"""Reducer functions for a process that shuts down.

An entry takes new calls until the load balancer has noticed that it leaves, and then
completes the open ones. Callers that still have no answer shortly before the process is
killed are told that the outcome is unknown, or that their request was not run.
"""

from tamaracktray.call_context import build_gateway_context
from tamaracktray.effects import Effect, Exit
from tamaracktray.events import ShutdownRequested, Tick
from tamaracktray.last_answers import end_unanswered_calls
from tamaracktray.node_events import CloseIdleConnections
from tamaracktray.node_state import NodeState

# Time after SIGTERM during which new calls may still arrive, in seconds: the load
# balancer probes once a second and removes a process after two failed probes.
LOAD_BALANCER_REMOVAL_S = 2.2

# How long before SIGKILL a process that shuts down exits, in seconds.
EXIT_MARGIN_S = 0.3

# The same for a process that has been held up and still has callers to answer.
LAST_EXIT_MARGIN_S = 0.05

# Time before the exit in which callers without an answer get an error, in seconds.
LAST_ANSWERS_S = 0.2


def begin_shutdown(state: NodeState, event: ShutdownRequested) -> list[Effect]:
    """Set the deadlines of the shutdown; a second request changes nothing."""
    if state.is_leaving:
        return []
    state.is_leaving = True
    state.close_deadline = event.now + min(LOAD_BALANCER_REMOVAL_S, state.grace_s / 2)
    state.exit_deadline = event.now + state.grace_s - EXIT_MARGIN_S
    state.answer_deadline = state.exit_deadline - LAST_ANSWERS_S
    return []


def advance_shutdown(state: NodeState, event: Tick) -> list[Effect]:
    """Close idle connections once callers stop arriving; exit when no call is left."""
    if state.gateway is None or _must_exit(state, event.now):
        return [Exit()]
    if event.now < state.close_deadline:
        return []
    if state.gateway.pending_by_id or event.open_connections:
        context = build_gateway_context(state, event.now)
        return [*end_unanswered_calls(context, event.now), CloseIdleConnections()]
    return [CloseIdleConnections(), Exit()]


def _must_exit(state: NodeState, now: float) -> bool:
    """Return whether the process exits although it has open connections.

    One that is late waits until the callers without any answer have got one.
    """
    if now < state.exit_deadline:
        return False
    if now >= state.exit_deadline + EXIT_MARGIN_S - LAST_EXIT_MARGIN_S:
        return True
    pending_by_id = state.gateway.pending_by_id
    return all(pending.is_started for pending in pending_by_id.values())
