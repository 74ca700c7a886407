"""Reducer of the processes that follow the platform's store.

An entry sends callers' requests directly to endpoints; an agent loads versions of the
weights into its engine. Both keep the same data, read from the store or from peers, and
every decision based on it is made here, without sockets or clocks.
"""

from collections.abc import Callable
from typing import Any

from tamaracktray.call_context import build_gateway_context
from tamaracktray.calls import (
    AttemptResumed,
    CallArrived,
    CallAttemptEnded,
    CallEnded,
    CallStarted,
)
from tamaracktray.effects import Effect
from tamaracktray.endpoint_limits import EndpointLimitReceived
from tamaracktray.eras import (
    RETAINED_COLLECTIONS,
    note_era,
    select_members,
    select_zones,
)
from tamaracktray.events import Event, ShutdownRequested, Tick
from tamaracktray.exceptions import InvariantError
from tamaracktray.gateway import (
    handle_attempt_ended,
    handle_attempt_resumed,
    handle_call_ended,
    handle_call_started,
    handle_gateway_tick,
    refuse_unavailable,
    send_queued_calls,
)
from tamaracktray.gateway_fleet import apply_roster, update_ownership
from tamaracktray.gateway_limits import (
    handle_limit,
    merge_peer_limits,
    update_limit_shares,
)
from tamaracktray.gateway_notices import handle_notice
from tamaracktray.gateway_routing import handle_arrival, rebind_calls
from tamaracktray.gateway_state import GatewayContext
from tamaracktray.node_events import (
    AnnouncementsRecorded,
    ApplyRouting,
    AskPeer,
    BeaconReceived,
    BroadcastBeacon,
    CollectionChanged,
    CollectionListed,
    InForceReported,
    LogAnnouncement,
    PeerLost,
    PullSnapshots,
    SendBeacon,
    SnapshotsReceived,
    StoreLost,
    TakeoverEnded,
)
from tamaracktray.node_state import NodeState
from tamaracktray.notices import EndpointNoticeReceived
from tamaracktray.ownership import FleetNode
from tamaracktray.peer_pulls import RELAYED_COLLECTIONS, should_pull
from tamaracktray.peers import Member
from tamaracktray.positions import find_latest_era
from tamaracktray.quarantine_sync import (
    merge_crash_reports,
    merge_quarantine_records,
    report_crashes,
    sync_quarantine_records,
)
from tamaracktray.roster import EndpointRecord
from tamaracktray.routes import RouteIndex
from tamaracktray.shutdown import advance_shutdown, begin_shutdown
from tamaracktray.snapshots import Collection, Snapshot
from tamaracktray.staging import (
    advance,
    handle_chunk_arrived,
    handle_chunk_staged,
    handle_engine_answered,
    handle_engine_unreachable,
    handle_manifest_read,
    handle_order_answered,
    handle_stage_checked,
)
from tamaracktray.staging_events import (
    ChunkArrived,
    ChunkStaged,
    EngineAnswered,
    EngineUnreachable,
    ManifestRead,
    OrderAnswered,
    StageChecked,
)
from tamaracktray.staging_state import StagingState
from tamaracktray.store_readers import list_local
from tamaracktray.takeover import (
    adopt_report,
    handle_takeover_ended,
    is_outranked,
    list_tables,
)
from tamaracktray.version_following import (
    apply_targets,
    apply_versions,
    find_own_turn,
    handle_recorded,
    list_newly_due,
    record_announcements,
    update_own_target,
)

# Time between assignments of endpoints to their owners, in seconds: agents report
# version changes in between.
ASSIGNMENT_INTERVAL_S = 0.1


def reduce_node(state: NodeState, event: Event) -> tuple[NodeState, list[Effect]]:
    """Return the next state and the effects of one event."""
    handler = _HANDLER_BY_EVENT.get(type(event))
    if handler is None:
        raise InvariantError(f"no handler for {type(event).__name__}")
    return state, handler(state, event)


def _on_listed(state: NodeState, event: CollectionListed) -> list[Effect]:
    effects = note_era(state, event.now, event.era)
    known = state.snapshot_cache.by_collection[event.collection]
    merged = known.replace_all(event.objects, event.revision, event.era)
    if event.collection is Collection.VERSIONS:
        announced = [item.value for item in event.objects if item.value is not None]
        effects.extend(apply_targets(state, event.now, announced, is_listed=True))
        state.has_versions = True
    return effects + _merge_from_store(state, event.now, event.collection, merged)


def _on_changed(state: NodeState, event: CollectionChanged) -> list[Effect]:
    effects = note_era(state, event.now, event.era)
    known = state.snapshot_cache.by_collection[event.collection]
    merged = known.apply_changes(event.changes, event.revision, event.era)
    if event.collection is Collection.VERSIONS:
        # One response may announce several versions of a model, each with its own
        # deadline.
        announced = [item.value for item in event.changes if item.value is not None]
        effects.extend(apply_targets(state, event.now, announced))
    return effects + _merge_from_store(state, event.now, event.collection, merged)


def _merge_from_store(
    state: NodeState, now: float, collection: Collection, snapshot: Snapshot
) -> list[Effect]:
    state.note_store_answer(now)
    effects = _merge_snapshots(state, now, {collection: snapshot})
    is_changed = snapshot.changed_revision == snapshot.revision
    if collection in RELAYED_COLLECTIONS and state.gateway is not None and is_changed:
        # Peers that don't read the collection themselves pull it after this beacon.
        effects.append(BroadcastBeacon())
    return effects


def _on_snapshots(state: NodeState, event: SnapshotsReceived) -> list[Effect]:
    snapshots = event.snapshot_by_collection
    era = find_latest_era(snapshot.position for snapshot in snapshots.values())
    effects = note_era(state, event.now, era)
    return effects + _merge_snapshots(state, event.now, snapshots)


def _merge_snapshots(
    state: NodeState, now: float, snapshots: dict[Collection, Snapshot]
) -> list[Effect]:
    effects: list[Effect] = []
    for collection, snapshot in snapshots.items():
        if not state.snapshot_cache.merge(collection, snapshot):
            continue
        effects.extend(_APPLY_BY_COLLECTION[collection](state, now))
    return effects


def _apply_routing(state: NodeState, now: float) -> list[Effect]:
    tables = list_tables(state)
    newest = max(tables, key=lambda table: table.version, default=None)
    if newest is None:
        return []
    if state.index is not None and newest.version <= state.index.table.version:
        return []
    state.index = RouteIndex(newest)
    if state.gateway is None:
        effects = _apply_endpoints(state, now)
        return [ApplyRouting(), *effects, *update_own_target(state, now)]
    context = build_gateway_context(state, now)
    effects = rebind_calls(context, now, state.index)
    effects.extend(_apply_endpoints(state, now))
    return [ApplyRouting(), *effects, *refuse_unavailable(context, now)]


def _apply_endpoints(state: NodeState, now: float) -> list[Effect]:
    records: list[EndpointRecord] = state.snapshot_cache.list_values(
        Collection.ENDPOINTS
    )
    outage_end = now if state.is_outage else state.outage_end
    state.roster.update(now, records, outage_end)
    return _apply_roster(state, now)


def _apply_roster(state: NodeState, now: float) -> list[Effect]:
    if state.staging is not None:
        state.staging.turn = find_own_turn(state)
    if state.gateway is None:
        return []
    regions = state.region_by_zone
    entries = (state, *state.peers.list_reachable(now))
    nodes = (FleetNode(item.name, regions.get(item.zone, "")) for item in entries)
    state.gateway.replace_entries(now, tuple(nodes))
    context = build_gateway_context(state, now)
    apply_roster(context, now, state.roster.records_by_id)
    return send_queued_calls(context, now)


def _apply_evacuations(state: NodeState, now: float) -> list[Effect]:
    zones = state.snapshot_cache.list_values(Collection.EVACUATIONS)
    state.evacuated_zones = select_zones(state, now, zones)
    return []


def _apply_members(state: NodeState, now: float) -> list[Effect]:
    members: list[Member] = state.snapshot_cache.list_values(Collection.MEMBERS)
    others = select_members(state, now, members)
    state.peers.update_members(now, others)
    _update_peer_count(state, now)
    if state.staging is not None:
        local_members = list_local(state.zone, others, state.region_by_zone)
        state.staging.local_entries = len(local_members)
    return _apply_roster(state, now) + update_own_target(state, now)


def _update_peer_count(state: NodeState, now: float) -> None:
    if state.gateway is not None:
        state.gateway.set_peer_count(len(state.peers.list_active(now)))


_APPLY_BY_COLLECTION: dict[Collection, Callable[[NodeState, float], list[Effect]]] = {
    Collection.ROUTING: _apply_routing,
    Collection.ENDPOINTS: _apply_endpoints,
    Collection.EVACUATIONS: _apply_evacuations,
    Collection.VERSIONS: apply_versions,
    Collection.MEMBERS: _apply_members,
    Collection.QUARANTINES: merge_quarantine_records,
}


def _on_in_force(state: NodeState, event: InForceReported) -> list[Effect]:
    effects, collections = adopt_report(state, event.now, event.report)
    for collection in collections:
        effects.extend(_APPLY_BY_COLLECTION[collection](state, event.now))
    return effects


def _on_store_lost(state: NodeState, event: StoreLost) -> list[Effect]:
    state.is_store_lost = True
    state.is_outage = state.is_outage or event.is_confirmed
    return []


def _on_beacon(state: NodeState, event: BeaconReceived) -> list[Effect]:
    beacon = event.beacon
    if not state.beacons.accept(beacon):
        return []
    if beacon.is_leaving:
        state.peers.record_no_answer(event.now, event.sender)
    else:
        state.peers.record_contact(event.now, event.sender, has_store=beacon.has_store)
    era = find_latest_era(beacon.position_by_collection.values())
    effects = note_era(state, event.now, era)
    if should_pull(state, event.now, beacon):
        effects.append(PullSnapshots(event.sender))
    if is_outranked(state, event.now, beacon):
        effects.append(AskPeer(event.sender))
    cache = state.snapshot_cache
    knows_more = bool(cache.select_newer(beacon.position_by_collection))
    if knows_more and state.beacon_answers.take(beacon, cache.list_changed_positions()):
        effects.append(SendBeacon(event.sender))
    if state.gateway is None:
        return effects
    if beacon.status is None:
        changed = state.announcements.merge_peer_ages(
            event.now, beacon.version_floor_by_model, beacon.announcement_ages_by_model
        )
        for model, announcement in changed:
            age_s = event.now - announcement.announced_at
            effects.append(
                LogAnnouncement(model, announcement.version, age_s, beacon.name)
            )
        effects.extend(merge_crash_reports(state, event.now, beacon))
        if beacon.limits_by_endpoint:
            context = build_gateway_context(state, event.now)
            merge_peer_limits(context, event.now, beacon.limits_by_endpoint)
        state.gateway.record_peer_counts(
            event.now, beacon.name, beacon.in_flight_by_endpoint
        )
    else:
        state.gateway.note_status(event.now, beacon.status)
    if not len(state.gateway.waiting):
        return effects
    context = build_gateway_context(state, event.now)
    return effects + send_queued_calls(context, event.now)


def _on_peer_lost(state: NodeState, event: PeerLost) -> list[Effect]:
    state.peers.record_no_answer(event.now, event.address)
    return []


def _on_tick(state: NodeState, event: Tick) -> list[Effect]:
    effects = note_era(state, event.now, event.store_era)
    if state.store_era.end_settling(event.now):
        for collection in RETAINED_COLLECTIONS:
            effects.extend(_APPLY_BY_COLLECTION[collection](state, event.now))
    if state.roster.expire(event.now):
        effects.extend(_apply_roster(state, event.now))
    held_up_s = state.peers.measure_held_up(event.now)
    state.peers.note_running(event.now)
    if state.gateway is not None:
        state.gateway.excuse_silence(event.now, held_up_s)
        _update_peer_count(state, event.now)
        peers = state.peers.list_reachable(event.now)
        reachable = tuple(member.name for member in peers)
        if reachable != state.reachable_names:
            state.reachable_names = reachable
            effects.extend(_apply_roster(state, event.now))
        context = build_gateway_context(state, event.now)
        effects.extend(record_announcements(state, event.now))
        effects.extend(sync_quarantine_records(state, event.now))
        effects.extend(
            list_newly_due(state, context.placement_context.version_floor_by_model)
        )
        if event.now >= state.assignment_deadline:
            state.assignment_deadline = event.now + ASSIGNMENT_INTERVAL_S
            update_ownership(context)
            update_limit_shares(context, event.now)
        state.gateway.note_progress(event.progress_at_by_call)
        state.gateway.excuse_sending(event.now, event.sending_ids)
        effects.extend(handle_gateway_tick(context, event.now, event.responsive_ids))
        effects.extend(report_crashes(state))
    if state.staging is not None:
        effects.extend(advance(state.staging, event.now))
    if state.is_leaving:
        effects.extend(advance_shutdown(state, event))
    return effects


def _with_gateway(
    handle: Callable[[GatewayContext, Any], list[Effect]],
) -> Callable[[NodeState, Any], list[Effect]]:
    return lambda state, event: handle(build_gateway_context(state, event.now), event)


def _with_staging(
    handle: Callable[[StagingState, Any], list[Effect]],
) -> Callable[[NodeState, Any], list[Effect]]:
    def handle_event(state: NodeState, event: Any) -> list[Effect]:
        if state.staging is None:
            raise InvariantError(f"{state.name} is not an agent")
        return handle(state.staging, event)

    return handle_event


_HANDLER_BY_EVENT: dict[type[Event], Callable[[NodeState, Any], list[Effect]]] = {
    Tick: _on_tick,
    CollectionListed: _on_listed,
    CollectionChanged: _on_changed,
    SnapshotsReceived: _on_snapshots,
    InForceReported: _on_in_force,
    TakeoverEnded: handle_takeover_ended,
    StoreLost: _on_store_lost,
    BeaconReceived: _on_beacon,
    PeerLost: _on_peer_lost,
    AnnouncementsRecorded: handle_recorded,
    ShutdownRequested: begin_shutdown,
    CallArrived: _with_gateway(handle_arrival),
    CallStarted: _with_gateway(handle_call_started),
    CallAttemptEnded: _with_gateway(handle_attempt_ended),
    AttemptResumed: _with_gateway(handle_attempt_resumed),
    CallEnded: _with_gateway(handle_call_ended),
    EndpointNoticeReceived: _with_gateway(handle_notice),
    EndpointLimitReceived: _with_gateway(handle_limit),
    EngineAnswered: _with_staging(handle_engine_answered),
    EngineUnreachable: _with_staging(handle_engine_unreachable),
    ManifestRead: _with_staging(handle_manifest_read),
    ChunkArrived: _with_staging(handle_chunk_arrived),
    ChunkStaged: _with_staging(handle_chunk_staged),
    StageChecked: _with_staging(handle_stage_checked),
    OrderAnswered: _with_staging(handle_order_answered),
}
