"""Which collections a process reads from the store, and when it asks a peer."""

from tamaracktray.beacons import Beacon
from tamaracktray.node_state import NodeState
from tamaracktray.snapshots import Collection
from tamaracktray.store_readers import is_store_reader, list_local

# Time for the process's own watch to deliver a change that a peer already has, before
# the peer is asked for it, in seconds. The delay is longer for peers in other regions,
# which have slower links.
LOCAL_PULL_DELAY_S = 0.25
REMOTE_PULL_DELAY_S = 0.7

# Collections that only a few entries of each region read from the store, because the
# configuration is large and the endpoints change often.
RELAYED_COLLECTIONS = frozenset(
    {Collection.ROUTING, Collection.ENDPOINTS, Collection.QUARANTINES}
)


def reads_store(state: NodeState, now: float, collection: Collection) -> bool:
    """Return whether this process reads a collection from the store itself."""
    if collection not in RELAYED_COLLECTIONS or state.gateway is None:
        return True
    if not state.snapshot_cache.by_collection[collection].revision:
        return True
    peers_with_store = state.peers.list_with_store(now)
    return is_store_reader(
        state.name, list_local(state.zone, peers_with_store, state.region_by_zone)
    )


def should_pull(state: NodeState, now: float, beacon: Beacon) -> bool:
    """Return whether to ask a peer for a change that this process does not have yet.

    Watches deliver changes at slightly different times, so a process first waits for
    its own. Collections that it does not read itself are requested at once.
    """
    if not beacon.changed_by_collection:
        return False
    missing = state.snapshot_cache.list_missing(beacon.changed_by_collection)
    if not missing:
        if beacon.name == state.newer_peer:
            state.newer_peer = ""
        return False
    if not state.has_configuration:
        return True
    if not state.newer_peer:
        state.newer_peer = beacon.name
        state.behind_since = now
    peer = state.peers.members_by_name.get(beacon.name)
    is_local = bool(peer and list_local(state.zone, [peer], state.region_by_zone))
    delay_s = LOCAL_PULL_DELAY_S if is_local else REMOTE_PULL_DELAY_S
    if is_local and not all(reads_store(state, now, name) for name in missing):
        delay_s = 0.0
    if now - state.behind_since < delay_s:
        return False
    state.newer_peer = ""
    return True
