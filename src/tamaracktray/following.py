"""Which processes read the routing configuration from the platform's store.

A configuration may be large and links between regions are thin, so only a few entries
of each region read it; the others take it from them as soon as they tell of a change.
"""

from collections.abc import Iterable, Mapping

from tamaracktray.hashing import hash_text
from tamaracktray.peers import Member

# Entries of a region that read the configuration: one may fail without delay.
FOLLOWERS_PER_REGION = 2


def list_local(
    zone: str, members: Iterable[Member], region_by_zone: Mapping[str, str]
) -> list[Member]:
    """Return the members in the region of an availability zone."""
    region = region_by_zone.get(zone, "")
    return [
        member for member in members if region_by_zone.get(member.zone, "") == region
    ]


def is_follower(own_name: str, local_peers: Iterable[Member]) -> bool:
    """Tell whether an entry reads the configuration from the store.

    ``local_peers`` are those of its region that reach the store.
    """
    own_hash = hash_text(own_name)
    before = sum(hash_text(member.name) < own_hash for member in local_peers)
    return before < FOLLOWERS_PER_REGION
