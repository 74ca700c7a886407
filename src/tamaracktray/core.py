"""The reducer: the deterministic decision logic of a process, without any I/O.

``reduce`` takes a state and an event and returns the next state with the effects that
the shell must carry out. It may modify the state that it is given, so callers must use
the returned state only.
"""

from collections.abc import Callable
from typing import Any

from tamaracktray.admission import (
    AdmissionContext,
    AdmissionState,
    handle_admission_tick,
    handle_attempt,
    handle_claim_answer,
    handle_progress,
    handle_run_end,
    refuse_queued,
)
from tamaracktray.configuration import Configuration
from tamaracktray.delivery import (
    DeliveryContext,
    advance,
    follow_configuration,
    handle_chunk,
    handle_engine_lost,
    handle_engine_report,
    handle_load_withdrawn,
    handle_loaded,
    handle_manifest,
    handle_slot,
    handle_verification,
)
from tamaracktray.delivery_state import DeliveryState
from tamaracktray.dispatch import (
    DispatchContext,
    DispatchState,
    handle_attempt_end,
    handle_request,
    handle_request_end,
    is_crash,
)
from tamaracktray.effects import (
    Effect,
    ExchangeWithPeer,
    Exit,
    ProbePlatform,
    PublishConfiguration,
)
from tamaracktray.events import (
    AttemptArrived,
    AttemptEnded,
    ChunkFetched,
    ClaimAnswered,
    EngineLost,
    EngineReported,
    Event,
    InstancesListed,
    LoadWithdrawn,
    ManifestFetched,
    ObjectsReceived,
    PeerReported,
    RequestArrived,
    RequestEnded,
    RunEnded,
    RunProgressed,
    ShutdownRequested,
    SlotAnswered,
    Tick,
    VersionLoaded,
    WeightsVerified,
)
from tamaracktray.exceptions import InvariantError
from tamaracktray.hashing import hash_text
from tamaracktray.holders import Holders
from tamaracktray.membership import (
    EXCHANGE_INTERVAL_S,
    PLATFORM,
    PUSH_FANOUT,
    Membership,
)
from tamaracktray.outcomes import RunOutcome
from tamaracktray.quarantine import CrashLedger
from tamaracktray.types import Instance

SHUTDOWN_GRACE_S = 1.0


class ProcessState:
    """State of one process.

    ``dispatch`` is set for an entry, ``admission`` for an agent and ``delivery`` for
    the agent of a model engine. After a shutdown request the process runs at least
    until ``exit_deadline`` and refuses new requests, which would otherwise fail on a
    closed connection.
    """

    __slots__ = (
        "admission",
        "configuration",
        "delivery",
        "dispatch",
        "exit_deadline",
        "is_leaving",
        "ledger",
        "membership",
        "own",
    )

    def __init__(self, own: Instance, contact_s: float, quarantine_s: float) -> None:
        self.own = own
        self.configuration = Configuration()
        self.membership = Membership(own.name, own.zone, contact_s)
        self.ledger = CrashLedger(quarantine_s)
        self.is_leaving = False
        self.exit_deadline = 0.0
        self.dispatch: DispatchState | None = None
        self.admission: AdmissionState | None = None
        self.delivery: DeliveryState | None = None


def reduce(state: ProcessState, event: Event) -> tuple[ProcessState, list[Effect]]:
    """Return the next state and the effects of one event.

    Raises ``InvariantError`` for an event type without a handler.
    """
    handler = _HANDLER_BY_EVENT.get(type(event))
    if handler is None:
        raise InvariantError(f"no handler for {type(event).__name__}")
    effects = handler(state, event)
    _sync_serving(state)
    return state, effects


def _sync_serving(state: ProcessState) -> None:
    if state.delivery is None or state.admission is None:
        return
    if state.admission.serving == state.delivery.serving:
        return
    state.admission.serving = state.delivery.serving


def _dispatch_context(state: ProcessState) -> DispatchContext:
    if state.dispatch is None:
        raise InvariantError(f"{state.own.name} is not an entry")
    return DispatchContext(
        state.dispatch, state.configuration, state.ledger, state.is_leaving
    )


def _admission_context(state: ProcessState) -> AdmissionContext:
    if state.admission is None:
        raise InvariantError(f"{state.own.name} is not an agent")
    is_swapping = state.delivery is not None and state.delivery.is_swapping
    return AdmissionContext(
        state.admission,
        state.configuration,
        state.membership,
        state.ledger,
        state.is_leaving,
        is_swapping,
    )


def _delivery_context(state: ProcessState) -> DeliveryContext:
    if state.delivery is None or state.admission is None:
        raise InvariantError(f"{state.own.name} serves no model")
    return DeliveryContext(
        state.delivery,
        state.configuration,
        not state.admission.runs_by_id,
        state.is_leaving,
    )


def _on_tick(state: ProcessState, event: Tick) -> list[Effect]:
    effects: list[Effect] = []
    membership = state.membership
    if event.now >= membership.exchange_deadline:
        membership.exchange_deadline = event.now + EXCHANGE_INTERVAL_S
        effects.extend(_exchange_with(state, event.random_value, 1))
        state.ledger.expire(event.now)
        if membership.is_isolation_near(event.now, state.configuration):
            effects.append(ProbePlatform())
    if state.admission is not None:
        effects.extend(handle_admission_tick(_admission_context(state), event.now))
    if state.delivery is not None:
        effects.extend(advance(_delivery_context(state), event.now))
    if state.is_leaving and event.now >= state.exit_deadline and _is_idle(state):
        effects.append(Exit())
    return effects


def _is_idle(state: ProcessState) -> bool:
    if state.dispatch is not None:
        return not state.dispatch.pending_by_id
    return state.admission is None or state.admission.is_idle()


def _exchange_with(state: ProcessState, random_value: int, count: int) -> list[Effect]:
    return [
        ExchangeWithPeer(peer.name, peer.control)
        for peer in state.membership.choose_peers(random_value, count)
    ]


def _on_objects(state: ProcessState, event: ObjectsReceived) -> list[Effect]:
    if event.from_platform:
        state.membership.record_contact(event.now, PLATFORM)
    before = state.configuration
    merged = before.merge(event.resources, event.revision, complete=event.complete)
    if merged is before:
        return []
    state.configuration = merged
    effects: list[Effect] = [PublishConfiguration()]
    if merged.by_key == before.by_key:
        return effects
    effects.extend(_exchange_with(state, merged.revision, PUSH_FANOUT))
    return effects + _follow_configuration(state, event.now)


def _follow_configuration(state: ProcessState, now: float) -> list[Effect]:
    effects: list[Effect] = []
    if state.delivery is not None:
        effects.extend(follow_configuration(_delivery_context(state), now))
        _sync_serving(state)
    if state.admission is not None:
        effects.extend(refuse_queued(_admission_context(state), now))
    return effects


def _on_instances(state: ProcessState, event: InstancesListed) -> list[Effect]:
    state.membership.update(event.now, event.instances)
    _update_views(state)
    return []


def _update_views(state: ProcessState) -> None:
    peers = state.membership.instances_by_name.values()
    if state.dispatch is not None:
        state.dispatch.update_views(state.membership)
    if state.delivery is not None:
        holders = Holders(state.own, peers, is_listed=state.membership.is_listed)
        if holders.is_same(state.delivery.holders):
            # Keeps the rankings that are already computed.
            return
        state.delivery.holders = holders
        if state.delivery.transfer is not None:
            state.delivery.transfer.update_holders(state.delivery.holders)


def _on_peer(state: ProcessState, event: PeerReported) -> list[Effect]:
    membership = state.membership
    if event.is_caught_up or event.digest == state.configuration.digest:
        # Contacts count only if this process has applied every change that the peer
        # knows; otherwise it could still miss one of them.
        membership.merge_contacts(event.now, event.contact_deadline_by_zone)
    state.ledger.merge(event.now, event.crash_notes)
    if event.leaving and event.name in membership.instances_by_name:
        membership.mark_peer_leaving(event.name)
        _update_views(state)
    if event.control is None:
        return []
    if not membership.needs_pull(event.name, event.digest, state.configuration.digest):
        return []
    return [ExchangeWithPeer(event.name, event.control)]


def _on_shutdown(state: ProcessState, event: ShutdownRequested) -> list[Effect]:
    state.is_leaving = True
    state.exit_deadline = event.now + SHUTDOWN_GRACE_S
    effects: list[Effect] = []
    if state.admission is not None:
        effects.extend(refuse_queued(_admission_context(state), event.now))
    count = len(state.membership.instances_by_name)
    return effects + _exchange_with(state, 0, min(count, PUSH_FANOUT))


def _on_attempt_end(state: ProcessState, event: AttemptEnded) -> list[Effect]:
    effects = handle_attempt_end(_dispatch_context(state), event)
    if is_crash(event):
        effects.extend(_push_crash_report(state, event.request_id))
    return effects


def _push_crash_report(state: ProcessState, seed_text: str) -> list[Effect]:
    """Report a crash to a few peers at once, chosen by a hash of ``seed_text``."""
    return _exchange_with(state, hash_text(seed_text), PUSH_FANOUT)


def _on_run_end(state: ProcessState, event: RunEnded) -> list[Effect]:
    effects = handle_run_end(_admission_context(state), event)
    if event.outcome is RunOutcome.CRASHED:
        effects.extend(_push_crash_report(state, event.attempt_id))
    if state.delivery is not None and state.delivery.is_swapping:
        effects.extend(advance(_delivery_context(state), event.now))
    return effects


def _on_engine_report(state: ProcessState, event: EngineReported) -> list[Effect]:
    context = _delivery_context(state)
    is_restart = event.boot != context.state.boot
    was_serving = context.state.serving
    effects = handle_engine_report(context, event)
    admission = _admission_context(state).state
    if is_restart or context.state.serving != was_serving:
        admission.window.reset(event.now)
    admission.window.note_report(event.now, is_cold=event.cold)
    return effects


def _with_dispatch(
    handle: Callable[[DispatchContext, Any], list[Effect]],
) -> Callable[[ProcessState, Any], list[Effect]]:
    return lambda state, event: handle(_dispatch_context(state), event)


def _with_admission(
    handle: Callable[[AdmissionContext, Any], list[Effect]],
) -> Callable[[ProcessState, Any], list[Effect]]:
    return lambda state, event: handle(_admission_context(state), event)


def _with_delivery(
    handle: Callable[[DeliveryContext, Any], list[Effect]],
) -> Callable[[ProcessState, Any], list[Effect]]:
    return lambda state, event: handle(_delivery_context(state), event)


def _on_engine_lost(context: DeliveryContext, event: EngineLost) -> list[Effect]:
    return handle_engine_lost(context, event.now)


_HANDLER_BY_EVENT: dict[type[Event], Callable[[ProcessState, Any], list[Effect]]] = {
    Tick: _on_tick,
    ObjectsReceived: _on_objects,
    InstancesListed: _on_instances,
    PeerReported: _on_peer,
    ShutdownRequested: _on_shutdown,
    RequestArrived: _with_dispatch(handle_request),
    AttemptEnded: _on_attempt_end,
    RequestEnded: _with_dispatch(handle_request_end),
    AttemptArrived: _with_admission(handle_attempt),
    ClaimAnswered: _with_admission(handle_claim_answer),
    RunProgressed: _with_admission(handle_progress),
    RunEnded: _on_run_end,
    EngineReported: _on_engine_report,
    EngineLost: _with_delivery(_on_engine_lost),
    ManifestFetched: _with_delivery(handle_manifest),
    ChunkFetched: _with_delivery(handle_chunk),
    WeightsVerified: _with_delivery(handle_verification),
    SlotAnswered: _with_delivery(handle_slot),
    VersionLoaded: _with_delivery(handle_loaded),
    LoadWithdrawn: _with_delivery(handle_load_withdrawn),
}
