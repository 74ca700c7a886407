"""Chooses the peers from which an entry fetches parts of a version."""

import time
from collections.abc import Callable

from tamaracktray.chunk_sources import (
    choose_fallback,
    choose_upstream,
    find_region_fetcher,
)
from tamaracktray.node_state import NodeState
from tamaracktray.peers import Member
from tamaracktray.types import Address


class Upstreams:
    """Chooses the sources of the parts that an entry lacks, among responsive peers.

    ``read_own_member`` returns the member record of the entry itself.
    """

    __slots__ = ("_read_own_member", "_state")

    def __init__(self, state: NodeState, read_own_member: Callable[[], Member]) -> None:
        self._state = state
        self._read_own_member = read_own_member

    def is_region_fetcher(self, part: str) -> bool:
        """Return whether this entry fetches a part for the others of its region."""
        own, regions = self._read_own_member(), self._state.region_by_zone
        return find_region_fetcher(own, self._list_peers(), regions, part) == own

    def find(self, part: str) -> Address | None:
        """Return the peer to ask for a part, or ``None`` for the origin."""
        index, regions = self._state.index, self._state.region_by_zone
        origin = None if index is None else index.table.find_origin()
        origin_zone = "" if origin is None else origin.origin_zone
        return choose_upstream(
            self._read_own_member(),
            self._list_peers(),
            regions,
            regions.get(origin_zone, ""),
            part,
        )

    def find_fallback(self, part: str) -> Address | None:
        """Return the peer that others ask for a part if this entry is unavailable."""
        regions = self._state.region_by_zone
        return choose_fallback(
            self._read_own_member(), self._list_peers(), regions, part
        )

    def _list_peers(self) -> list[Member]:
        return self._state.peers.list_reachable(time.monotonic())
