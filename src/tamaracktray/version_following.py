"""Reducer of the versions that the operator announces.

Every process keeps the announcement times of versions. Entries prefetch an announced
version and record the time in the store. An agent brings the version of its engine's
model into service.
"""

from collections.abc import Iterable, Mapping

from tamaracktray.direct_events import (
    NamingsRecorded,
    NoteDue,
    NoteNaming,
    PrefetchVersion,
    ReadCollection,
    RecordNamings,
)
from tamaracktray.direct_state import DirectState
from tamaracktray.effects import Effect
from tamaracktray.engines import VersionTarget
from tamaracktray.naming_records import (
    Observation,
    list_late,
    rank_writer,
    read_records,
)
from tamaracktray.snapshots import Collection
from tamaracktray.staging import (
    FIRST_VERSION,
    set_target_version,
    update_announcement_time,
)
from tamaracktray.staging_state import Turn
from tamaracktray.swap_turns import choose_turn


def follow_versions(state: DirectState, now: float) -> list[Effect]:
    """Apply the announced versions in the known snapshot."""
    effects = note_targets(state, now, state.knowledge.list_values(Collection.VERSIONS))
    if state.staging is not None and state.turn_targets != state.target_by_model:
        # The engine's swap turn is computed from the endpoints of its service.
        state.turn_targets = dict(state.target_by_model)
        effects.append(ReadCollection(Collection.ENDPOINTS))
    return effects + follow_own_version(state, now)


def note_targets(
    state: DirectState,
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
            effects.extend(_apply_records(state, now, target))
            continue
        state.target_by_model[target.model] = target
        # A process that has just started doesn't know when the version was announced,
        # even if a peer has reported an older one.
        is_late = (target.model, target.version) in late
        named_at = now if state.has_versions and not is_late else None
        reported_at = None if is_listed else now
        state.namings.add(target.model, target.version, named_at, reported_at)
        age_s = None if named_at is None else 0.0
        effects.append(NoteNaming(target.model, target.version, age_s))
        effects.extend(_apply_records(state, now, target))
        if not state.has_versions:
            # Agents may already have most chunks of a version announced before the
            # start, so it is not prefetched.
            continue
        raised.add(target.model)
        if is_late:
            continue
        observation = Observation(now, now + state.unix_offset_s)
        state.records.add_observation(target.model, target.version, observation)
    if state.gateway is None:
        return effects
    for model in sorted(raised):
        # Only the newest version is prefetched; agents that know it skip older ones.
        effects.append(PrefetchVersion(model, state.target_by_model[model].version))
    return effects


def _apply_records(
    state: DirectState, now: float, target: VersionTarget
) -> list[Effect]:
    """Apply recorded times of announcements that this process did not observe."""
    effects: list[Effect] = []
    for naming in read_records(target, now, state.unix_offset_s):
        if not state.namings.add_recorded(target.model, naming):
            continue
        age_s = None if naming.named_at is None else now - naming.named_at
        effects.append(NoteNaming(target.model, naming.version, age_s, "record"))
    return effects


def record_namings(state: DirectState, now: float) -> list[Effect]:
    """Record the announcements that this entry observed, unless another does."""
    effects: list[Effect] = []
    if state.is_store_lost:
        return effects
    snapshot = state.knowledge.by_collection[Collection.VERSIONS]
    for name, item in snapshot.objects_by_name.items():
        target = item.value
        if target is None or not state.records.is_write_due(now, target):
            continue
        peers = [member.name for member in state.peers.list_informed(now)]
        if not state.records.may_write_record(
            now, target, rank_writer(state.name, peers, target)
        ):
            continue
        state.records.mark_attempted(now, target.model)
        namings = state.records.build(
            target, state.namings.list_observed_times(target.model), state.unix_offset_s
        )
        effects.append(RecordNamings(target.model, name, item.version, namings))
    return effects


def handle_recorded(state: DirectState, event: NamingsRecorded) -> list[Effect]:
    """Mark a record as stored."""
    state.records.mark_written(event.model, event.version)
    return []


def follow_own_version(state: DirectState, now: float) -> list[Effect]:
    """Set the target version of an agent to that of its engine's model."""
    if state.staging is None or not state.is_informed:
        # An agent that doesn't know its peers would fetch everything from the origin.
        return []
    service = state.services_by_name.get(state.served)
    if service is None or service.engine is None or not service.engine.models:
        return []
    model = service.engine.models[0].name
    target = state.target_by_model.get(model, VersionTarget(model, FIRST_VERSION))
    naming = state.namings.find_newest(model)
    if naming is None:
        return set_target_version(state.staging, now, model, target.version, now)
    named_at = state.namings.find_bound_start(naming)
    update_announcement_time(state.staging, naming.version, named_at)
    return set_target_version(state.staging, now, model, target.version, named_at)


def find_own_turn(state: DirectState) -> Turn:
    """Return the swap turn of the agent's own engine."""
    records = list(state.roster.records_by_id.values())
    incarnations = [item for item in records if item.address == state.own_engine]
    if not incarnations:
        return Turn()
    newest = max(incarnations, key=lambda record: record.born_ms)
    return choose_turn(records, state.served, newest.id)


def note_due(state: DirectState, floor_by_model: Mapping[str, int]) -> list[Effect]:
    """Return effects for the versions that have become due since the last tick."""
    raised = [
        NoteDue(model, version)
        for model, version in floor_by_model.items()
        if version > state.noted_floor_by_model.get(model, 0)
    ]
    state.noted_floor_by_model.update(floor_by_model)
    return raised
