"""Handling of endpoints that announce that they leave, or ask for a pause."""

from tamaracktray.effects import Effect
from tamaracktray.gateway import refuse_unavailable, send_queued_calls
from tamaracktray.gateway_state import GatewayContext, GatewayState
from tamaracktray.notices import (
    MS_PER_S,
    EndpointNoticeReceived,
    LogNotice,
    NoticedIncarnation,
    bound_pause,
)


def handle_notice(
    context: GatewayContext, event: EndpointNoticeReceived
) -> list[Effect]:
    """Stop sending calls to an endpoint that leaves, or until its pause ends.

    Queued calls without another available endpoint are refused at once. A leaving
    endpoint announces it in each of its answers; repeated ones are ignored.
    """
    state = context.state
    sender_ids = _list_senders(state, event)
    if event.pause_s is None and all(
        _is_known_leaving(state, id_) for id_ in sender_ids
    ):
        return []
    note = _build_note(event)
    now_ms = (event.now + context.unix_offset_s) * MS_PER_S
    for endpoint_id in sender_ids:
        load = state.loads_by_id.get(endpoint_id)
        start_time_ms = 0 if load is None else load.record.start_time_ms
        if endpoint_id == event.endpoint_id:
            start_time_ms = max(start_time_ms, event.start_time_ms)
        incarnation = NoticedIncarnation(endpoint_id, max(now_ms, start_time_ms))
        if event.is_leaving:
            state.notices.note_leaving(incarnation)
        if note.pause_s is not None:
            state.notices.note_pause(incarnation, event.now + note.pause_s)
        if load is not None:
            state.apply_notices(load)
    effects = [note, *refuse_unavailable(context, event.now)]
    return effects + send_queued_calls(context, event.now)


def _list_senders(state: GatewayState, event: EndpointNoticeReceived) -> list[str]:
    """Return the ids of the endpoints that may have sent an answer."""
    load = state.loads_by_id.get(event.endpoint_id)
    if load is None or not event.is_misdirected:
        return [event.endpoint_id]
    return state.ids_by_address[str(load.record.address)]


def _is_known_leaving(state: GatewayState, endpoint_id: str) -> bool:
    load = state.loads_by_id.get(endpoint_id)
    return load is not None and load.is_leaving


def _build_note(event: EndpointNoticeReceived) -> LogNotice:
    if event.pause_s is None:
        return LogNotice(event.endpoint_id, event.is_leaving)
    pause_s = bound_pause(event.pause_s)
    return LogNotice(
        event.endpoint_id,
        event.is_leaving,
        pause_s,
        event.pause_s,
        is_bounded=pause_s != event.pause_s,
    )
