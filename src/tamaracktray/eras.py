"""Reducer functions for a store that was restored from an older copy.

Such a store counts its era up. It has lost its latest changes until their writers
repeat them, and gives revisions out again. A process therefore reads all collections
again and writes its own records again. What it knew of endpoints, availability zones
and members stays in force until their writers have had time to repeat their changes:
an endpoint that was leaving, or a zone that was evacuated, gets no calls because of an
older record.
"""

from collections.abc import Iterable

from tamaracktray.effects import Effect
from tamaracktray.node_events import AskPeers, RegisterMember, RelistCollections
from tamaracktray.node_state import NodeState
from tamaracktray.peers import Member
from tamaracktray.snapshots import Collection, Snapshot

# Collections whose content is completed by what was known before the current era.
RETAINED_COLLECTIONS = (
    Collection.EVACUATIONS,
    Collection.MEMBERS,
    Collection.ENDPOINTS,
)


def note_era(state: NodeState, now: float, era: int | None) -> list[Effect]:
    """Note an era named by the store or by a peer; start over if it is a later one."""
    known = state.store_era.latest
    if era is None or (known is not None and era <= known):
        return []
    state.store_era.latest = era
    if known is None:
        return []
    # A record of an endpoint that has ended expires within this time.
    state.store_era.settle_deadline = now + state.crashes.verdict_s
    state.roster.hold_departed(state.store_era.settle_deadline)
    state.outage_end = now
    state.announcement_records.forget_written()
    state.quarantine_records.forget_read()
    effects: list[Effect] = [
        RelistCollections(era, state.snapshot_cache.list_positions()),
        # This process may have missed changes that the store has lost.
        AskPeers(),
    ]
    if state.gateway is not None:
        effects.append(RegisterMember())
    return effects


def is_current(state: NodeState, snapshot: Snapshot) -> bool:
    """Return whether a snapshot's versions may be used as preconditions."""
    return state.store_era.latest in (None, snapshot.era)


def select_members(
    state: NodeState, now: float, listed: Iterable[Member]
) -> list[Member]:
    """Return the listed members, and missing ones while the store settles."""
    by_name = {member.name: member for member in listed}
    if state.store_era.is_settling(now):
        by_name = {**state.peers.members_by_name, **by_name}
    by_name.pop(state.name, None)
    return list(by_name.values())


def select_zones(state: NodeState, now: float, listed: Iterable[str]) -> frozenset[str]:
    """Return the evacuated zones, and earlier ones while the store settles."""
    zones = frozenset(listed)
    if state.store_era.is_settling(now):
        return zones | state.evacuated_zones
    return zones
