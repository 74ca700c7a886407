"""Which source a chunk of a version is fetched from.

Entries relay chunks. For each chunk, one entry per region fetches it from the chosen
entry in the origin's region, which fetches it from the origin. So the origin and each
link between regions transfer about one copy. Agents fetch chunks from nearby entries.
"""

from collections.abc import Iterable

from tamaracktray.hashing import hash_text
from tamaracktray.peers import Member, rank_members
from tamaracktray.store_readers import list_local
from tamaracktray.types import Address

# Number of entries between which an agent alternates.
MAX_SOURCE_ENTRIES = 3

# Time for which an agent keeps asking entries although none answers, in seconds. All of
# them may be restarting, and the origin cannot serve every agent in the meantime.
ENTRIES_RESTART_S = 2.0

# One in this many attempts at a chunk goes to the origin, in case the reachable entries
# are disconnected from it. The origin's link is too slow to serve every agent.
ATTEMPTS_PER_ORIGIN_CALL = 16


def find_region_fetcher(
    own: Member, peers: Iterable[Member], region_by_zone: dict[str, str], key: str
) -> Member:
    """Return the entry that fetches a chunk for the region of ``own``."""
    return rank_members(key, list_local(own.zone, [own, *peers], region_by_zone))[0]


def choose_upstream(
    own: Member,
    peers: Iterable[Member],
    region_by_zone: dict[str, str],
    origin_region: str,
    key: str,
) -> Address | None:
    """Return the entry from which ``own`` fetches a chunk, ``None`` for the origin."""
    all_entries = [own, *peers]
    own_region = region_by_zone.get(own.zone, "")
    first = find_region_fetcher(own, peers, region_by_zone, key)
    if first.name != own.name:
        return first.address
    if own_region == origin_region:
        return None
    near_origin = [
        member
        for member in all_entries
        if region_by_zone.get(member.zone, "") == origin_region
    ]
    candidates = near_origin or all_entries
    upstream = rank_members(key, candidates)[0]
    return None if upstream.name == own.name else upstream.address


def choose_fallback(
    own: Member, peers: Iterable[Member], region_by_zone: dict[str, str], key: str
) -> Address | None:
    """Return the entry that fetches a chunk for the region in place of ``own``."""
    ranked = rank_members(key, list_local(own.zone, peers, region_by_zone))
    return ranked[0].address if ranked else None


def list_sources(
    zone: str, members: Iterable[Member], region_by_zone: dict[str, str], key: str
) -> list[Address]:
    """Return the entries that an agent asks for a chunk, the nearest first."""
    region = region_by_zone.get(zone, "")

    def rank_distance(member: Member) -> int:
        if member.zone == zone:
            return 0
        return 1 if region_by_zone.get(member.zone, "") == region else 2

    ranked = rank_members(key, members)
    return [member.address for member in sorted(ranked, key=rank_distance)]


def order_chunks(count: int, entries: int, name: str) -> list[int]:
    """Return the order in which an agent fetches ``count`` chunks.

    Agents start together, progress at the same speed and all ask the same entry first
    for a given chunk. If all used the same order, they would congest the link of one
    entry after another. So each agent shuffles the chunks within blocks as long as the
    number of ``entries`` near it. Blocks are no longer, since the origin sends chunks
    in order.
    """
    block = max(entries, 1)
    return sorted(
        range(count),
        key=lambda index: (index // block, hash_text(f"{name}/{index}")),
    )


class EntryChoice:
    """Chooses which of the known entries an agent asks for chunks."""

    __slots__ = ("_restart_deadline",)

    def __init__(self) -> None:
        self._restart_deadline: float | None = None

    def list_candidates(
        self, now: float, reachable_members: Iterable[Member], known: Iterable[Member]
    ) -> list[Member]:
        """Return the reachable entries, or all known ones if none is reachable.

        The list is empty once none has been reachable for ``ENTRIES_RESTART_S``.
        """
        reachable = list(reachable_members)
        if reachable:
            self._restart_deadline = None
            return reachable
        if self._restart_deadline is None:
            self._restart_deadline = now + ENTRIES_RESTART_S
        return list(known) if now < self._restart_deadline else []


def choose_source(entries: list[Address], attempt: int) -> Address | None:
    """Return the entry that an agent asks in an attempt, ``None`` for the origin.

    ``entries`` are the candidates, the nearest first.
    """
    if (
        not entries
        or attempt % ATTEMPTS_PER_ORIGIN_CALL == ATTEMPTS_PER_ORIGIN_CALL - 1
    ):
        return None
    asked = entries[:MAX_SOURCE_ENTRIES]
    return asked[attempt % len(asked)]
