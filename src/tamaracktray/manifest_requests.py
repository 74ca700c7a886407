"""Requests for the manifest of a target version, from peers or from the origin."""

from tamaracktray.delivery_state import DeliveryState
from tamaracktray.effects import FetchManifest
from tamaracktray.holders import ChunkRanking

# Attempts at peers after which every instance may ask the origin.
MANIFEST_PEER_ATTEMPTS = 6

MAX_MANIFEST_PEERS = 2


def request_manifest(state: DeliveryState) -> FetchManifest:
    """Ask the top-ranked peers for the manifest, and the origin if allowed."""
    digest = state.target.manifest
    holders = state.holders
    ranking = holders.rank(digest)
    first_region_names = _list_first_region(ranking)[:MAX_MANIFEST_PEERS]
    local_names = ranking.names_by_region[holders.own.region][:MAX_MANIFEST_PEERS]
    names = dict.fromkeys([*local_names, *first_region_names])
    names.pop(holders.own.name, None)
    state.manifest_attempts += 1
    # No second call is sent until the answer sets the next deadline.
    state.retry_deadline = 0.0
    return FetchManifest(
        digest,
        [holders.by_name[name].address for name in names],
        may_ask_origin(state),
    )


def may_ask_origin(state: DeliveryState) -> bool:
    """Return whether this instance may fetch the manifest from the origin.

    Only the instance ranked first may from the start. The others may after
    ``MANIFEST_PEER_ATTEMPTS`` attempts.
    """
    if state.manifest_attempts > MANIFEST_PEER_ATTEMPTS:
        return True
    holders = state.holders
    first_names = _list_first_region(holders.rank(state.target.manifest))
    return holders.is_listed and first_names[0] == holders.own.name


def _list_first_region(ranking: ChunkRanking) -> list[str]:
    """Return the names of the instances in the region ranked first."""
    return ranking.names_by_region[ranking.regions[0]]
