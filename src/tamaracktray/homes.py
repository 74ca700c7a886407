"""Which entry looks after which engine.

Counts of calls reach other entries a moment late, so entries that all choose the
emptiest engine meet there. Each engine therefore has a home among the entries, which
fills it by its own exact count; others borrow places there only while some are left
over. Every process deals the engines out alike, from what it knows of the fleet.
"""

from collections.abc import Iterable

import msgspec

from tamaracktray.hashing import hash_text

# Part of an endpoint that an entry must lack to be dealt one of another region.
LEAST_WANT = 0.5


class Place(msgspec.Struct, frozen=True):
    """An entry or an endpoint and its region."""

    name: str
    region: str


def find_homes(
    own_name: str, entries: Iterable[Place], endpoints: Iterable[Place]
) -> frozenset[str]:
    """Return the endpoints whose home is the own entry.

    All entries get as many endpoints as another, give or take one. They are dealt out
    within a region first; what one region has beyond its share goes to the entries of
    regions that have less, for instance because their availability zones are out.
    """
    ranked_entries = sorted(entries, key=lambda place: hash_text(place.name))
    ranked = sorted(endpoints, key=lambda place: hash_text(place.name))
    if not ranked_entries or not ranked:
        return frozenset()
    share = len(ranked) / len(ranked_entries)
    names_by_region = _group(ranked_entries)
    endpoints_by_region = _group(ranked)
    homes: set[str] = set()
    left_over: list[str] = []
    wanting: list[tuple[float, str]] = []
    for region, names in sorted(names_by_region.items()):
        local = endpoints_by_region.pop(region, [])
        kept = min(len(local), round(share * len(names)))
        if own_name in names:
            homes.update(local[names.index(own_name) : kept : len(names)])
        left_over.extend(local[kept:])
        wanting.extend(_list_wanting(names, kept, share))
    for others in endpoints_by_region.values():
        left_over.extend(others)
    if not wanting:
        wanting = [(0.0, place.name) for place in ranked_entries]
    wanting.sort(key=lambda item: -item[0])
    receivers = [name for _, name in wanting]
    left_over.sort(key=hash_text)
    for position, endpoint in enumerate(left_over):
        if receivers[position % len(receivers)] == own_name:
            homes.add(endpoint)
    return frozenset(homes)


def _list_wanting(
    names: list[str], kept: int, share: float
) -> Iterable[tuple[float, str]]:
    """Return the entries of a region that lack endpoints, with how many they lack."""
    for rank, name in enumerate(names):
        got = len(range(rank, kept, len(names)))
        if share - got >= LEAST_WANT:
            yield share - got, name


def _group(places: Iterable[Place]) -> dict[str, list[str]]:
    names_by_region: dict[str, list[str]] = {}
    for place in places:
        names_by_region.setdefault(place.region, []).append(place.name)
    return names_by_region
