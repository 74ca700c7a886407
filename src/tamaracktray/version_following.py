"""Reducer of the versions that the operator announces.

Every process keeps the announcement times of versions. Entries prefetch an announced
version and record the time in the store. An agent brings the version of its engine's
model into service.
"""

from collections.abc import Iterable, Mapping

from tamaracktray.announcement_records import (
    Observation,
    list_late,
    rank_writer,
    read_records,
)
from tamaracktray.effects import Effect
from tamaracktray.engines import VersionTarget
from tamaracktray.eras import is_current
from tamaracktray.node_events import (
    AnnouncementsRecorded,
    LogAnnouncement,
    LogDueVersion,
    PrefetchVersion,
    ReadCollection,
    RecordAnnouncements,
)
from tamaracktray.node_state import NodeState
from tamaracktray.snapshots import Collection
from tamaracktray.staging import (
    FIRST_VERSION,
    set_target_version,
    update_announcement_time,
)
from tamaracktray.staging_state import Turn
from tamaracktray.swap_turns import choose_turn, estimate_turn


def apply_versions(state: NodeState, now: float) -> list[Effect]:
    """Apply the announced versions in the known snapshot."""
    effects = apply_targets(
        state, now, state.snapshot_cache.list_values(Collection.VERSIONS)
    )
    if (
        state.staging is not None
        and state.turn_target_by_model != state.target_by_model
    ):
        # The engine's swap turn is computed from the endpoints of its service.
        state.turn_target_by_model = dict(state.target_by_model)
        state.staging.turn = find_own_turn(state)
        effects.append(ReadCollection(Collection.ENDPOINTS))
    return effects + update_own_target(state, now)


def apply_targets(
    state: NodeState,
    now: float,
    targets: Iterable[VersionTarget],
    *,
    is_listed: bool = False,
) -> list[Effect]:
    """Apply announced versions, given in ascending order for each model.

    ``is_listed`` is set if they come from a list of the store.
    """
    effects: list[Effect] = []
    raised: set[str] = set()
    targets = list(targets)
    late = list_late(targets, now, state.unix_offset_s)
    for target in targets:
        known = state.target_by_model.get(target.model)
        if known is not None and known.version >= target.version:
            effects.extend(apply_records(state, now, target))
            continue
        state.target_by_model[target.model] = target
        # A process that has just started doesn't know when the version was announced,
        # even if a peer has reported an older one.
        is_late = (target.model, target.version) in late
        announced_at = now if state.has_versions and not is_late else None
        reported_at = None if is_listed else now
        state.announcements.add(target.model, target.version, announced_at, reported_at)
        age_s = None if announced_at is None else 0.0
        effects.append(LogAnnouncement(target.model, target.version, age_s))
        effects.extend(apply_records(state, now, target))
        if not state.has_versions:
            # Agents may already have most chunks of a version announced before the
            # start, so it is not prefetched.
            continue
        raised.add(target.model)
        if is_late:
            continue
        observation = Observation(now, now + state.unix_offset_s)
        state.announcement_records.add_observation(
            target.model, target.version, observation
        )
    if state.gateway is None:
        return effects
    for model in sorted(raised):
        # Only the newest version is prefetched; agents that know it skip older ones.
        effects.append(PrefetchVersion(model, state.target_by_model[model].version))
    return effects


def apply_records(state: NodeState, now: float, target: VersionTarget) -> list[Effect]:
    """Apply recorded times of announcements that this process did not observe."""
    effects: list[Effect] = []
    for announcement in read_records(target, now, state.unix_offset_s):
        if not state.announcements.add_recorded(target.model, announcement):
            continue
        age_s = (
            None
            if announcement.announced_at is None
            else now - announcement.announced_at
        )
        effects.append(
            LogAnnouncement(target.model, announcement.version, age_s, "record")
        )
    return effects


def record_announcements(state: NodeState, now: float) -> list[Effect]:
    """Record the announcements that this entry observed, unless another does."""
    effects: list[Effect] = []
    if state.is_store_lost:
        return effects
    snapshot = state.snapshot_cache.by_collection[Collection.VERSIONS]
    if not is_current(state, snapshot):
        return effects
    for name, item in snapshot.objects_by_name.items():
        target = item.value
        if target is None or not state.announcement_records.is_write_due(now, target):
            continue
        peers = [member.name for member in state.peers.list_with_store(now)]
        if not state.announcement_records.may_write_record(
            now, target, rank_writer(state.name, peers, target)
        ):
            continue
        state.announcement_records.mark_attempted(now, target.model)
        announcements = state.announcement_records.build(
            target,
            state.announcements.list_observed_times(target.model),
            state.unix_offset_s,
        )
        effects.append(
            RecordAnnouncements(target.model, name, item.version, announcements)
        )
    return effects


def handle_recorded(state: NodeState, event: AnnouncementsRecorded) -> list[Effect]:
    """Mark a record as stored."""
    state.announcement_records.mark_written(event.model, event.version)
    return []


def update_own_target(state: NodeState, now: float) -> list[Effect]:
    """Set the target version of an agent to that of its engine's model."""
    if state.staging is None or not state.is_initialized:
        # An agent that doesn't know its peers would fetch everything from the origin.
        return []
    service = state.services_by_name.get(state.engine_service)
    if service is None or service.engine is None or not service.engine.models:
        return []
    model = service.engine.models[0].name
    target = state.target_by_model.get(model, VersionTarget(model, FIRST_VERSION))
    announcement = state.announcements.find_newest(model)
    if announcement is None:
        return set_target_version(state.staging, now, model, target.version, now)
    announced_at = state.announcements.find_bound_start(announcement)
    update_announcement_time(state.staging, announcement.version, announced_at)
    return set_target_version(state.staging, now, model, target.version, announced_at)


def find_own_turn(state: NodeState) -> Turn:
    """Return the swap turn of the agent's own engine.

    It is estimated until the engine's record is known. Without a turn of its own, the
    engine would swap at once, as all others that lack one.
    """
    records = list(state.roster.records_by_id.values())
    incarnations = [item for item in records if item.address == state.own_engine]
    if not incarnations:
        return estimate_turn(str(state.own_engine))
    newest = max(incarnations, key=lambda record: record.start_time_ms)
    return choose_turn(records, state.engine_service, newest.id)


def list_newly_due(state: NodeState, floor_by_model: Mapping[str, int]) -> list[Effect]:
    """Return effects for the versions that have become due since the last tick."""
    raised = [
        LogDueVersion(model, version)
        for model, version in floor_by_model.items()
        if version > state.logged_floor_by_model.get(model, 0)
    ]
    state.logged_floor_by_model.update(floor_by_model)
    return raised
