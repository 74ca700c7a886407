"""When an engine swaps to another version, and which versions it may skip.

The engines of a service swap in turn, so that some serve while others drain. All have
the same deadline and the same link bandwidth, so each agent can estimate the progress
of the others from its own.
"""

from collections.abc import Iterable

import msgspec

from tamaracktray.hashing import HASH_RANGE, hash_text
from tamaracktray.roster import EndpointRecord
from tamaracktray.staging_state import (
    StagingState,
    Step,
    Turn,
    VersionWork,
    list_missing,
)

# Time from the load order of the last engine to the deadline, in seconds. Calls that
# were sent before the order must start within it.
SWAP_RESERVE_S = 0.8

# Time from the last chunk until the version is loaded, in seconds.
LOAD_MARGIN_S = 1.0

# Time over which the turns of all engines should be spread, in seconds: about the time
# that one engine takes to drain and load.
TURN_SPREAD_S = 1.5

# Longest time without service for which an engine that is not odd still loads a version
# that odd engines skip, in seconds.
MAX_SERVICE_GAP_S = 1.5

# Shortest elapsed time from which the speed of a transfer is estimated, in seconds.
MIN_ELAPSED_S = 0.1


class Forecast(msgspec.Struct, frozen=True):
    """Estimated total and remaining transfer time of a version."""

    total_s: float
    remaining_s: float


def choose_turn(records: Iterable[EndpointRecord], service: str, own_id: str) -> Turn:
    """Return the turn of an engine among the engines of its service.

    Engines with adjacent turns are in different availability zones where possible.
    """
    ids_by_zone: dict[str, list[str]] = {}
    for record in records:
        if record.service != service:
            continue
        ids_by_zone.setdefault(record.zone, []).append(record.id)
    order: list[tuple[float, str]] = []
    for ids in ids_by_zone.values():
        ids.sort(key=hash_text)
        order.extend(
            ((position + 0.5) / len(ids), endpoint_id)
            for position, endpoint_id in enumerate(ids)
        )
    ranked = [endpoint_id for _, endpoint_id in sorted(order)]
    if own_id not in ranked or len(ranked) < 2:
        return Turn()
    rank = ranked.index(own_id)
    return Turn(rank / (len(ranked) - 1), is_odd=rank % 2 == 1)


def estimate_turn(own_address: str) -> Turn:
    """Return the turn of an engine while the other engines are unknown."""
    own_hash = hash_text(own_address)
    return Turn(own_hash / HASH_RANGE, is_odd=own_hash % 2 == 1)


def find_turn(state: StagingState, work: VersionWork, ready_at: float) -> float:
    """Return when the engine may be ordered to load chunks staged by ``ready_at``.

    An engine without a loaded version does not wait, because it gets no calls. The last
    engine swaps a reserve before the deadline. The reserve is longer if a newer version
    follows: engines that skip the current one get no calls once it is due, so the
    others must have loaded it by then.
    """
    if not state.loaded_version:
        return work.started_at
    reserve_s = SWAP_RESERVE_S if state.following is None else TURN_SPREAD_S
    latest = work.due_at - reserve_s
    return ready_at + max(latest - ready_at, 0.0) * state.turn.share


def may_skip(state: StagingState, now: float) -> bool:
    """Return whether the current version may be skipped for one announced now.

    An engine gets no calls if a due version is not loaded. If loading both versions
    would leave no time to take turns for the newer one, every other engine skips the
    older one, so that each half serves while the other half swaps.
    """
    work = state.current
    if work is None or state.step in (Step.TURN, Step.ORDER, Step.LOADING):
        return False
    forecast = _forecast(state, work, now)
    if forecast is None:
        return True
    slack_s = state.version_bound_s - SWAP_RESERVE_S
    slack_s -= forecast.remaining_s + forecast.total_s
    if slack_s >= TURN_SPREAD_S:
        return False
    if now + forecast.remaining_s >= work.due_at - LOAD_MARGIN_S:
        return True
    return state.turn.is_odd or slack_s < -MAX_SERVICE_GAP_S


def _forecast(state: StagingState, work: VersionWork, now: float) -> Forecast | None:
    """Return the forecast for a transfer, ``None`` before the first chunk."""
    total = len(work.digests)
    if not total:
        return None
    done_share = 1.0 - len(list_missing(state, work)) / total
    if done_share <= 0.0:
        return None
    total_s = max(now - work.started_at, MIN_ELAPSED_S) / done_share
    return Forecast(total_s, (1.0 - done_share) * total_s)


def estimate_swap_delay(state: StagingState, now: float) -> float | None:
    """Return the estimated time until the load order, in seconds.

    ``None`` means that no swap is planned, that the transfer cannot be estimated yet or
    that the engine has no loaded version.
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
    return find_turn(state, work, now + forecast.remaining_s) - now
