"""The reducer's part for the versions that the operator names.

Every process notes when a version was named. Entries fetch it ahead and keep the time
in the store; an agent works towards the version of its engine's model.
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
    Sighting,
    list_seen_late,
    rank_writer,
    read_records,
)
from tamaracktray.snapshots import Collection
from tamaracktray.staging import FIRST_VERSION, follow_age, name_version
from tamaracktray.staging_state import Turn
from tamaracktray.swap_turns import choose_turn


def follow_versions(state: DirectState, now: float) -> list[Effect]:
    """Follow the versions that are known to be named."""
    effects = note_targets(state, now, state.knowledge.list_values(Collection.VERSIONS))
    if state.staging is not None and state.turn_targets != state.target_by_model:
        # The turn of the engine follows from the list of its service's endpoints.
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
    """Follow the versions that are named, the oldest of a model first.

    ``is_listed`` tells that the store has listed them.
    """
    effects: list[Effect] = []
    risen: set[str] = set()
    targets = list(targets)
    late = list_seen_late(targets, now, state.unix_offset_s)
    for target in targets:
        known = state.target_by_model.get(target.model)
        if known is not None and known.version >= target.version:
            effects.extend(_note_records(state, now, target))
            continue
        state.target_by_model[target.model] = target
        # A process that starts cannot tell how long ago the version was named, also if
        # a peer told it before of an older one.
        is_late = (target.model, target.version) in late
        named_at = now if state.has_versions and not is_late else None
        told_at = None if is_listed else now
        state.namings.add(target.model, target.version, named_at, told_at)
        age_s = None if named_at is None else 0.0
        effects.append(NoteNaming(target.model, target.version, age_s))
        effects.extend(_note_records(state, now, target))
        if not state.has_versions:
            # Agents may hold the most already of a version named before the start.
            continue
        risen.add(target.model)
        if is_late:
            continue
        sighting = Sighting(now, now + state.unix_offset_s)
        state.records.note_seen(target.model, target.version, sighting)
    if state.gateway is None:
        return effects
    for model in sorted(risen):
        # Agents that have seen a newer version as well leave the others out.
        effects.append(PrefetchVersion(model, state.target_by_model[model].version))
    return effects


def _note_records(
    state: DirectState, now: float, target: VersionTarget
) -> list[Effect]:
    """Follow what the store tells of namings that this process did not see."""
    effects: list[Effect] = []
    for naming in read_records(target, now, state.unix_offset_s):
        if not state.namings.add_recorded(target.model, naming):
            continue
        age_s = None if naming.named_at is None else now - naming.named_at
        effects.append(NoteNaming(target.model, naming.version, age_s, "record"))
    return effects


def record_namings(state: DirectState, now: float) -> list[Effect]:
    """Write down the namings that this entry saw, unless another does."""
    effects: list[Effect] = []
    if state.is_store_lost:
        return effects
    snapshot = state.knowledge.by_collection[Collection.VERSIONS]
    for name, item in snapshot.objects_by_name.items():
        target = item.value
        if target is None or not state.records.is_open(now, target):
            continue
        peers = [member.name for member in state.peers.list_informed(now)]
        if not state.records.may_write(
            now, target, rank_writer(state.name, peers, target)
        ):
            continue
        state.records.note_tried(now, target.model)
        namings = state.records.build(
            target, state.namings.list_seen(target.model), state.unix_offset_s
        )
        effects.append(RecordNamings(target.model, name, item.version, namings))
    return effects


def handle_recorded(state: DirectState, event: NamingsRecorded) -> list[Effect]:
    """Note that a record is in the store."""
    state.records.note_written(event.model, event.version)
    return []


def follow_own_version(state: DirectState, now: float) -> list[Effect]:
    """Let an agent work towards the version of its engine's model."""
    if state.staging is None or not state.is_informed:
        # Without its peers an agent would draw everything from the origin.
        return []
    service = state.services_by_name.get(state.served)
    if service is None or service.engine is None or not service.engine.models:
        return []
    model = service.engine.models[0].name
    target = state.target_by_model.get(model, VersionTarget(model, FIRST_VERSION))
    naming = state.namings.find_newest(model)
    if naming is None:
        return name_version(state.staging, now, model, target.version, now)
    named_at = state.namings.find_start(naming)
    follow_age(state.staging, naming.version, named_at)
    return name_version(state.staging, now, model, target.version, named_at)


def find_own_turn(state: DirectState) -> Turn:
    """Return the turn of the own engine."""
    records = list(state.roster.records_by_id.values())
    lives = [item for item in records if item.address == state.own_engine]
    if not lives:
        return Turn()
    newest = max(lives, key=lambda record: record.born_ms)
    return choose_turn(records, state.served, newest.id)


def note_due(state: DirectState, floor_by_model: Mapping[str, int]) -> list[Effect]:
    """Note the versions that have become due since the last tick."""
    risen = [
        NoteDue(model, version)
        for model, version in floor_by_model.items()
        if version > state.noted_floor_by_model.get(model, 0)
    ]
    state.noted_floor_by_model.update(floor_by_model)
    return risen
