"""Which processes read a collection from the platform's store.

A configuration may be large, the endpoints change all the time, links between regions
are thin and every call to the store is paid for. So only a few entries of each region
read these; the others take them from those as soon as they tell of a change.
"""

from collections.abc import Iterable, Mapping

from tamaracktray.hashing import hash_text
from tamaracktray.peers import Member

# Entries of a region that read a collection: one may fail without delay.
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
    """Tell whether an entry reads a collection from the store.

    ``local_peers`` are those of its region that reach the store.
    """
    own_hash = hash_text(own_name)
    before = sum(hash_text(member.name) < own_hash for member in local_peers)
    return before < FOLLOWERS_PER_REGION
