"""Reducer functions for what a process takes over from its peers.

A process that has just started lists the store, but the store may have been restored
from a copy that lacks what its peers have in force. It takes no callers, and an agent
orders no version, before one of the peers has told what is in force there. Later it
asks when a beacon shows something newer than the store's content, or a later era of
the store.
"""

from collections.abc import Iterable

import msgspec

from tamaracktray.beacons import Beacon
from tamaracktray.effects import Effect
from tamaracktray.engines import VersionTarget
from tamaracktray.eras import note_era
from tamaracktray.in_force import InForceReport
from tamaracktray.node_events import (
    LogAnnouncement,
    LogTakeover,
    TakeoverEnded,
)
from tamaracktray.node_state import NodeState
from tamaracktray.peers import Member, rank_members
from tamaracktray.positions import UNKNOWN
from tamaracktray.routes import RoutingTable
from tamaracktray.snapshots import Collection
from tamaracktray.store_readers import list_local
from tamaracktray.types import Address
from tamaracktray.version_following import (
    apply_records,
    apply_versions,
    update_own_target,
)


def list_tables(state: NodeState) -> list[RoutingTable]:
    """Return the routing tables of the store and the one taken from a peer."""
    tables: list[RoutingTable] = state.snapshot_cache.list_values(Collection.ROUTING)
    if state.takeover.table is not None:
        tables.append(state.takeover.table)
    return tables


def get_routing_version(state: NodeState) -> int:
    """Return the version of the whole routing table in force, 0 if there is none."""
    if state.index is None or Collection.ROUTING not in state.snapshot_cache.followed:
        return 0
    return state.index.table.version


def list_target_versions(state: NodeState) -> dict[str, int]:
    """Return the newest announced version of each model."""
    return {model: target.version for model, target in state.target_by_model.items()}


def is_informed(state: NodeState, now: float) -> bool:
    """Return whether this is an entry that knows what the store may have lost."""
    if state.gateway is None or not state.is_initialized:
        return False
    return state.takeover.is_informed(now)


def build_report(
    state: NodeState, now: float, address: Address, routing_version: int | None
) -> InForceReport:
    """Return what is in force here, for a peer that knows a routing table's version.

    The version is ``None`` if the peer needs no table. A process that has no
    configuration or still asks its own peers reports nothing.
    """
    if not state.is_initialized:
        return InForceReport(state.name)
    members = list(state.peers.members_by_name.values())
    table = None
    if state.gateway is not None:
        members.append(Member(state.name, state.zone, address))
        if routing_version is not None and routing_version < get_routing_version(state):
            table = state.index.table
    return InForceReport(
        state.name,
        state.store_era.latest,
        is_informed=is_informed(state, now),
        settle_s=max(state.store_era.settle_deadline - now, 0.0),
        table=table,
        targets=list(state.target_by_model.values()),
        version_floor_by_model=state.announcements.list_floors(now),
        ages=state.announcements.list_ages(now),
        zones=sorted(state.evacuated_zones),
        members=members,
        departed=state.roster.list_departed(now),
    )


def list_peers(
    state: NodeState, own_address: Address, seeds: Iterable[Address]
) -> list[Address]:
    """Return the peers to ask: members in the own region, seeds and other members.

    Processes rank members differently, so that they don't all ask the same one.
    """
    members = rank_members(state.name, state.peers.members_by_name.values())
    local = list_local(state.zone, members, state.region_by_zone)
    addresses = [
        *(member.address for member in local),
        *seeds,
        *(member.address for member in members),
    ]
    return [address for address in dict.fromkeys(addresses) if address != own_address]


def add_in_force(state: NodeState, now: float, beacon: Beacon) -> Beacon:
    """Return a beacon with the versions in force, once this process is initialized."""
    if not state.is_initialized:
        return beacon
    return msgspec.structs.replace(
        beacon,
        routing_version=get_routing_version(state),
        target_by_model=list_target_versions(state),
        is_informed=is_informed(state, now),
    )


def is_outranked(state: NodeState, now: float, beacon: Beacon) -> bool:
    """Return whether to ask a beacon's sender for what it has in force.

    It has something that is newer than the store's content, or this process has heard
    of no peer since it started.
    """
    changed = beacon.changed_by_collection
    if not changed or not state.is_initialized:
        return False
    position_by_collection = state.snapshot_cache.list_positions()
    routing = position_by_collection.get(Collection.ROUTING, UNKNOWN)
    if (
        get_routing_version(state)
        and beacon.routing_version > get_routing_version(state)
        and changed.get(Collection.ROUTING, UNKNOWN) <= routing
    ):
        return True
    known = list_target_versions(state)
    is_version_newer = any(
        version > known.get(model, 0)
        for model, version in beacon.target_by_model.items()
    )
    versions = position_by_collection.get(Collection.VERSIONS, UNKNOWN)
    if is_version_newer and changed.get(Collection.VERSIONS, UNKNOWN) <= versions:
        return True
    if not beacon.is_informed:
        return False
    return state.takeover.take_question(now, beacon.name, beacon.incarnation)


def adopt_report(
    state: NodeState, now: float, report: InForceReport
) -> tuple[list[Effect], list[Collection]]:
    """Take over what a peer has in force; return the collections to apply again too."""
    effects = note_era(state, now, report.era)
    known_version = get_routing_version(state)
    collections: list[Collection] = []
    version: int | None = None
    table = report.table
    if table is not None and table.version > known_version:
        version = table.version
        state.takeover.table = table
        collections.append(Collection.ROUTING)
    targets = [
        target
        for target in report.targets
        if target.version > list_target_versions(state).get(target.model, 0)
    ]
    effects.extend(_adopt_targets(state, now, report, targets))
    settle_s = _find_settle_time(state, now, report)
    zones: list[str] = []
    departed: list[str] = []
    if settle_s:
        zones = sorted(set(report.zones) - state.evacuated_zones)
        departed = _adopt_settling(state, now, report, now + settle_s)
        collections.extend(
            (Collection.EVACUATIONS, Collection.MEMBERS, Collection.ENDPOINTS)
        )
    if report.is_informed:
        state.takeover.note_informed()
    if version is not None or targets or zones or departed:
        effects.append(
            LogTakeover(
                report.name,
                known_version,
                version,
                {target.model: target.version for target in targets},
                zones,
                len(departed),
                settle_s,
            )
        )
    return effects, collections


def _find_settle_time(state: NodeState, now: float, report: InForceReport) -> float:
    """Return for how long the store may lack what a peer knows, in seconds.

    A process that was informed before knows itself what has been repeated by now.
    """
    era_settle_s = state.crashes.verdict_s
    if state.takeover.is_informed(now) and not state.store_era.is_settling(now):
        return 0.0
    if report.era is None or state.store_era.latest is None:
        return 0.0
    if report.era < state.store_era.latest:
        # The peer has not seen the restored store yet.
        return era_settle_s
    return min(max(report.settle_s, 0.0), era_settle_s)


def _adopt_settling(
    state: NodeState, now: float, report: InForceReport, deadline: float
) -> list[str]:
    """Keep until ``deadline`` what the store may have lost.

    Return the ids of endpoints that were not known to have left or to be leaving.
    """
    era = state.store_era
    era.settle_deadline = max(era.settle_deadline, deadline)
    departed = state.roster.adopt_departed(now, report.departed, era.settle_deadline)
    state.evacuated_zones |= frozenset(report.zones)
    members = {member.name: member for member in report.members}
    members |= state.peers.members_by_name
    members.pop(state.name, None)
    state.peers.update_members(now, members.values())
    return departed


def _adopt_targets(
    state: NodeState, now: float, report: InForceReport, targets: list[VersionTarget]
) -> list[Effect]:
    """Take over announced versions, and their ages as far as the peer knows them."""
    effects: list[Effect] = []
    for target in targets:
        model = target.model
        state.target_by_model[model] = target
        state.announcements.add(model, target.version, None, now)
        effects.append(LogAnnouncement(model, target.version, None, report.name))
        effects.extend(apply_records(state, now, target))
    models = {target.model for target in targets}
    if not models:
        return effects
    floors = report.version_floor_by_model.items()
    ages = report.ages.items()
    state.announcements.merge_peer_ages(
        now,
        {model: version for model, version in floors if model in models},
        {model: versions for model, versions in ages if model in models},
    )
    return effects + apply_versions(state, now)


def handle_takeover_ended(state: NodeState, event: TakeoverEnded) -> list[Effect]:
    """Take callers, or let an agent work, after the peers have been asked."""
    state.takeover.is_over = True
    return update_own_target(state, event.now)
