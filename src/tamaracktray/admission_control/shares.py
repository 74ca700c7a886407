"""Division of a service's measured capacity between the ranks of its calls."""

from collections.abc import Mapping

from tamaracktray.calls import Rank

# Least served share of a rank, relative to the served share of all calls of its
# service. Operators require a quarter; the margin covers calls that are admitted and
# then find no slot in time.
FLOOR_SHARE = 0.35


def compute_shares(
    offered_s_by_rank: Mapping[Rank, float], capacity_s: float
) -> dict[Rank, float]:
    """Return the share of each rank's engine time that fits into the capacity.

    Each rank gets its floor, and the most urgent ones get what is left over.
    """
    offered_s = sum(offered_s_by_rank.values())
    if capacity_s >= offered_s:
        return dict.fromkeys(offered_s_by_rank, 1.0)
    floor = FLOOR_SHARE * capacity_s / offered_s
    left_s = capacity_s - floor * offered_s
    share_by_rank: dict[Rank, float] = {}
    for rank in sorted(offered_s_by_rank):
        wanted_s = offered_s_by_rank[rank]
        if wanted_s <= 0:
            share_by_rank[rank] = 1.0
            continue
        extra_s = min(left_s, (1.0 - floor) * wanted_s)
        left_s -= extra_s
        share_by_rank[rank] = floor + extra_s / wanted_s
    return share_by_rank
