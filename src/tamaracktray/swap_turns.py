"""When an engine changes to another version, and which versions it may leave out.

Engines of a service take turns, so that some serve while others end what they run. All
of them work towards the same bound with links of the same width, so each can tell from
its own progress how far the others are.
"""

from collections.abc import Iterable

import msgspec

from tamaracktray.hashing import hash_text
from tamaracktray.roster import EndpointRecord
from tamaracktray.staging_state import (
    StagingState,
    Step,
    Turn,
    VersionWork,
    list_missing,
)

# Time before the bound of a rollout by which the last engine is ordered to load, in
# seconds: calls that were sent before must begin within it.
SWAP_RESERVE_S = 0.8

# Time that ordering and loading take after the last chunk, in seconds.
SKIP_MARGIN_S = 1.0

# Time over which the turns of all engines should be spread, in seconds: about what one
# engine takes to end its calls and to load.
SPREAD_S = 1.5

# Longest time without service that an engine accepts to keep to every version while
# others leave one out, in seconds.
LONGEST_GAP_S = 1.5

# Least time from which the pace of a transfer is told, in seconds.
MIN_PROGRESS_S = 0.1


class Forecast(msgspec.Struct, frozen=True):
    """How a transfer goes: a version takes ``whole_s``, this one ``left_s`` yet."""

    whole_s: float
    left_s: float


def choose_turn(records: Iterable[EndpointRecord], service: str, own_id: str) -> Turn:
    """Return the turn of an engine among those of its service.

    Neighbours in the order stand in different availability zones as far as possible.
    """
    names_by_zone: dict[str, list[str]] = {}
    for record in records:
        if record.service != service:
            continue
        names_by_zone.setdefault(record.zone, []).append(record.id)
    order: list[tuple[float, str]] = []
    for names in names_by_zone.values():
        names.sort(key=hash_text)
        order.extend(
            ((place + 0.5) / len(names), name) for place, name in enumerate(names)
        )
    ranked = [name for _, name in sorted(order)]
    if own_id not in ranked or len(ranked) < 2:
        return Turn()
    rank = ranked.index(own_id)
    return Turn(rank / (len(ranked) - 1), is_odd=rank % 2 == 1)


def find_turn(state: StagingState, work: VersionWork, ready_at: float) -> float:
    """Return when the engine may be ordered to load what is staged at ``ready_at``.

    An engine without the model serves nobody, so nothing is gained by waiting. Engines
    that keep to a version which others leave out serve alone once it is due, so all of
    them must have changed by then.
    """
    if not state.loaded_version:
        return work.started_at
    reserve_s = SWAP_RESERVE_S if state.following is None else SPREAD_S
    last = work.due_at - reserve_s
    return ready_at + max(last - ready_at, 0.0) * state.turn.share


def may_skip(state: StagingState, now: float) -> bool:
    """Tell whether the version under way may be left out for one named just now.

    Once a version is due and not there, nobody is served. Where keeping to both would
    leave no time to take turns for the newer one, every other engine leaves the older
    one out: each half serves while the other changes.
    """
    work = state.current
    if work is None or state.step in (Step.TURN, Step.ORDER, Step.LOADING):
        return False
    forecast = _forecast(state, work, now)
    if forecast is None:
        return True
    slack_s = state.version_bound_s - SWAP_RESERVE_S
    slack_s -= forecast.left_s + forecast.whole_s
    if slack_s >= SPREAD_S:
        return False
    if now + forecast.left_s >= work.due_at - SKIP_MARGIN_S:
        return True
    return state.turn.is_odd or slack_s < -LONGEST_GAP_S


def _forecast(state: StagingState, work: VersionWork, now: float) -> Forecast | None:
    """Return how the transfer of a version goes, ``None`` if it has not begun."""
    total = len(work.digests)
    if not total:
        return None
    done_share = 1.0 - len(list_missing(state, work)) / total
    if done_share <= 0.0:
        return None
    whole_s = max(now - work.started_at, MIN_PROGRESS_S) / done_share
    return Forecast(whole_s, (1.0 - done_share) * whole_s)


def plan_swap(state: StagingState, now: float) -> float | None:
    """Return the time until the order to load, as far as it can be foreseen.

    ``None`` means that the engine has no reason to swap, or serves nobody yet.
    """
    work = state.current
    if work is None or not state.loaded_version or state.step is Step.DONE:
        return None
    if state.is_swapping:
        return 0.0
    if work.staged_at is not None:
        return max(find_turn(state, work, work.staged_at) - now, 0.0)
    forecast = _forecast(state, work, now)
    if forecast is None:
        return None
    return find_turn(state, work, now + forecast.left_s) - now
