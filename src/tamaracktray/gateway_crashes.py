"""An entry's handling of requests that crash the endpoints which run them."""

from tamaracktray.calls import Call
from tamaracktray.effects import Effect
from tamaracktray.endpoint_loads import EndpointLoad
from tamaracktray.gateway_state import GatewayContext, PendingCall
from tamaracktray.hashing import count_ranked_before
from tamaracktray.part_watch import SOUND_ANSWER_S
from tamaracktray.suspicions import Incarnation, ListedEndpoint

# Silence of an endpoint after which it may have crashed, in seconds.
SUSPECT_SILENCE_S = 0.5


def suspect_endpoint(
    context: GatewayContext,
    now: float,
    pending: PendingCall,
    endpoint_id: str,
    *,
    is_silent: bool = True,
) -> list[Effect]:
    """Suspect a call's request, and its prompt parts, of having crashed an endpoint.

    ``is_silent`` is cleared if the endpoint broke the call off. Endpoints that had
    announced that they are leaving are not suspected. The parts are not suspected
    either if the answer had gone on for a while.
    """
    pending.is_trial = False
    if pending.is_endpoint_leaving:
        return []
    endpoint = Incarnation(endpoint_id, pending.start_time_ms)
    run_s = now - pending.sent_at
    fingerprint = pending.call.fingerprint
    effects: list[Effect] = []
    effects.extend(
        context.crashes.suspect(now, fingerprint, endpoint, run_s, is_silent=is_silent)
    )
    if pending.is_sound or _is_going_on(pending):
        return effects
    parts = pending.call.parts
    effects.extend(
        context.part_crashes.suspect_prompt(
            now, parts, endpoint, run_s, is_silent=is_silent
        )
    )
    return effects


def _is_going_on(pending: PendingCall) -> bool:
    """Return whether an answer has gone on for longer than a fatal one can."""
    if not pending.is_answer_started:
        return False
    return pending.progress_at - pending.observed_since >= SOUND_ANSWER_S


def record_sound_answer(
    context: GatewayContext, now: float, pending: PendingCall
) -> list[Effect]:
    """Clear the prompt parts of a call whose answer is sound."""
    began_at = pending.sent_at
    if pending.is_answer_started:
        began_at = pending.answer_began_at
    effects: list[Effect] = []
    for part in pending.call.parts:
        effects.extend(context.part_crashes.record_sound(now, part, began_at))
    return effects


def _record_sound_answers(context: GatewayContext, now: float) -> list[Effect]:
    """Clear the prompt parts of answers in progress, while any part is suspected."""
    if context.part_crashes.is_empty:
        return []
    effects: list[Effect] = []
    for pending in context.state.pending_by_id.values():
        if pending.is_sound or not pending.endpoint_id:
            continue
        if not _is_going_on(pending):
            continue
        pending.is_sound = True
        effects.extend(record_sound_answer(context, now, pending))
    return effects


def suspect_on_disconnect(
    context: GatewayContext, now: float, pending: PendingCall, endpoint_id: str
) -> list[Effect]:
    """Handle the loss of a call's connection.

    The list entry of a crashed endpoint outlives it, so an endpoint that is no longer
    listed has shut down in an orderly way.
    """
    if endpoint_id not in context.state.loads_by_id:
        return []
    return suspect_endpoint(context, now, pending, endpoint_id, is_silent=False)


def suspect_on_silence(
    context: GatewayContext, now: float, pending: PendingCall
) -> list[Effect]:
    """Handle the end of a call whose endpoint was silent."""
    if now - pending.sent_at <= SUSPECT_SILENCE_S:
        return []
    load = context.state.loads_by_id.get(pending.endpoint_id)
    if load is not None and load.measure_silence(now) <= SUSPECT_SILENCE_S:
        return []
    return suspect_endpoint(context, now, pending, pending.endpoint_id)


def note_leaving(context: GatewayContext) -> None:
    """Mark the calls in flight at endpoints that have announced that they leave."""
    loads = context.state.loads_by_id
    for pending in context.state.pending_by_id.values():
        load = loads.get(pending.endpoint_id)
        if load is not None and _is_leaving(load):
            pending.is_endpoint_leaving = True


def evaluate_suspicions(
    context: GatewayContext, now: float, responsive_ids: frozenset[str]
) -> list[Effect]:
    """Update suspicions from the endpoint list and from received data."""
    effects = _record_sound_answers(context, now)
    loads = context.state.loads_by_id
    for crashes in (context.crashes, context.part_crashes):
        if crashes.is_empty:
            continue
        listed = {
            endpoint_id: _describe(loads[endpoint_id])
            for endpoint_id in crashes.list_endpoints()
            if endpoint_id in loads
        }
        effects.extend(
            crashes.evaluate(now, listed, responsive_ids, context.list_valid_from)
        )
    return effects


def _describe(load: EndpointLoad) -> ListedEndpoint:
    start_time_ms = max(load.record.start_time_ms, load.reported_start_ms)
    return ListedEndpoint(start_time_ms, _is_leaving(load))


def _is_leaving(load: EndpointLoad) -> bool:
    return load.is_leaving or load.record.is_draining


def list_avoided(context: GatewayContext, pending: PendingCall) -> frozenset[str]:
    """Return the ids of the endpoints that a call must not be sent to.

    Those are the ones already tried and those that its request may have crashed.
    """
    avoided = context.crashes.list_avoided(pending.call.fingerprint)
    if not avoided:
        return frozenset(pending.tried)
    loads = context.state.loads_by_id
    suspected_ids = {
        endpoint.endpoint_id
        for endpoint in avoided
        if endpoint.endpoint_id in loads
        and loads[endpoint.endpoint_id].record.start_time_ms == endpoint.start_time_ms
    }
    return frozenset(pending.tried | suspected_ids)


def is_quarantined(context: GatewayContext, now: float, pending: PendingCall) -> bool:
    """Return whether a call's request or a part of its prompt is quarantined."""
    is_trial = pending.is_trial
    return (
        find_quarantine_end(context, now, pending.call, is_trial=is_trial) is not None
    )


def find_quarantine_end(
    context: GatewayContext, now: float, call: Call, *, is_trial: bool = False
) -> float | None:
    """Return when a call is no longer quarantined, ``None`` if it isn't at all.

    A trial passes in spite of the parts of its prompt.
    """
    parts = () if is_trial else call.parts
    ends = (
        context.crashes.find_quarantine_end(now, call.fingerprint),
        context.part_crashes.find_prompt_quarantine_end(now, parts),
    )
    return max((end for end in ends if end is not None), default=None)


def take_trial(context: GatewayContext, now: float, call: Call) -> bool:
    """Return whether a new call passes as a trial of quarantined prompt parts."""
    state = context.state
    peers = [entry.name for entry in state.entries if entry.name != state.name]

    def find_rank(part: str) -> int:
        return count_ranked_before(state.name, peers, part)

    return context.part_crashes.take_trial(now, call.parts, find_rank)
