"""Assignment of engines to the entries that own them.

Load reports reach other entries with a delay, so entries that all choose the least
loaded engine would overload it together. Each engine is therefore owned by one entry,
which fills it based on the exact count of its calls in flight there; other entries
borrow slots only while some are left over. Every process computes the same assignment
from its view of the fleet.
"""

from collections.abc import Iterable

import msgspec

from tamaracktray.hashing import hash_text

# Shortfall from its share, in endpoints, at which an entry gets one of another region.
MIN_SHORTFALL = 0.5


class FleetNode(msgspec.Struct, frozen=True):
    """An entry or an endpoint and its region."""

    name: str
    region: str


def find_owned_endpoints(
    own_name: str, entries: Iterable[FleetNode], endpoints: Iterable[FleetNode]
) -> frozenset[str]:
    """Return the names of the endpoints that the entry ``own_name`` owns.

    All entries get nearly equal shares. Endpoints are assigned within their region
    first; a region's surplus goes to entries of regions that have too few, for instance
    because their availability zones are out of service.
    """
    ranked_entries = sorted(entries, key=lambda node: hash_text(node.name))
    ranked_endpoints = sorted(endpoints, key=lambda node: hash_text(node.name))
    if not ranked_entries or not ranked_endpoints:
        return frozenset()
    share = len(ranked_endpoints) / len(ranked_entries)
    names_by_region = _group_by_region(ranked_entries)
    endpoints_by_region = _group_by_region(ranked_endpoints)
    owned: set[str] = set()
    surplus: list[str] = []
    below_share: list[tuple[float, str]] = []
    for region, names in sorted(names_by_region.items()):
        local = endpoints_by_region.pop(region, [])
        local_count = min(len(local), round(share * len(names)))
        if own_name in names:
            owned.update(local[names.index(own_name) : local_count : len(names)])
        surplus.extend(local[local_count:])
        below_share.extend(_list_below_share(names, local_count, share))
    for others in endpoints_by_region.values():
        surplus.extend(others)
    if not below_share:
        below_share = [(0.0, node.name) for node in ranked_entries]
    below_share.sort(key=lambda item: -item[0])
    receivers = [name for _, name in below_share]
    surplus.sort(key=hash_text)
    for position, endpoint in enumerate(surplus):
        if receivers[position % len(receivers)] == own_name:
            owned.add(endpoint)
    return frozenset(owned)


def _list_below_share(
    names: list[str], local_count: int, share: float
) -> Iterable[tuple[float, str]]:
    """Yield the shortfall and the name of each entry of a region below its share."""
    for rank, name in enumerate(names):
        assigned_count = len(range(rank, local_count, len(names)))
        if share - assigned_count >= MIN_SHORTFALL:
            yield share - assigned_count, name


def _group_by_region(nodes: Iterable[FleetNode]) -> dict[str, list[str]]:
    names_by_region: dict[str, list[str]] = {}
    for node in nodes:
        names_by_region.setdefault(node.region, []).append(node.name)
    return names_by_region
