"""Which processes read a collection from the platform's store.

The configuration may be large, endpoints change often, links between regions are slow
and every call to the store costs money. So only a few entries of each region read these
collections. The other entries fetch them from the readers when a beacon reports a
change.
"""

from collections.abc import Iterable, Mapping

from tamaracktray.hashing import hash_text
from tamaracktray.peers import Member

# Entries of each region that read a collection, so that one can fail without a delay.
READERS_PER_REGION = 2


def list_local(
    zone: str, members: Iterable[Member], region_by_zone: Mapping[str, str]
) -> list[Member]:
    """Return the members in the region of an availability zone."""
    region = region_by_zone.get(zone, "")
    return [
        member for member in members if region_by_zone.get(member.zone, "") == region
    ]


def is_store_reader(own_name: str, local_peers: Iterable[Member]) -> bool:
    """Return whether an entry reads a collection from the store.

    ``local_peers`` are the entries of its region that can reach the store.
    """
    own_hash = hash_text(own_name)
    readers_before = sum(hash_text(member.name) < own_hash for member in local_peers)
    return readers_before < READERS_PER_REGION
