"""Order of service of queued calls with regard to the places of retrying callers."""

from collections import Counter
from collections.abc import Iterable, Mapping

from tamaracktray.calls import Call
from tamaracktray.pending_calls import PendingCall
from tamaracktray.reentry.reentry import Reentry

# Time that retrying callers first wait behind new ones, in seconds. Some slots become
# free in it without a new caller that waits, and a late answer is not worth less then.
LULL_WAIT_S = 0.5


def order_by_places(
    reentry: Reentry,
    now: float,
    calls: Iterable[Call],
    pending_by_id: Mapping[str, PendingCall],
) -> list[Call]:
    """Move retrying calls behind all others in their first wait and without a place.

    They get only slots that would otherwise stay free.
    """
    ordered: list[Call] = []
    deferred: list[Call] = []
    used_by_service: Counter[str] = Counter()
    for call in calls:
        pending = pending_by_id.get(call.id)
        if pending is None or not _needs_place(pending):
            ordered.append(call)
            continue
        service = call.services[0]
        if now < call.arrived + LULL_WAIT_S:
            deferred.append(call)
            continue
        used_by_service[service] += 1
        if used_by_service[service] > reentry.count_places(now, service):
            deferred.append(call)
            continue
        ordered.append(call)
    return ordered + deferred


def _needs_place(pending: PendingCall) -> bool:
    """Return whether a call takes a place when it is sent, at its first attempt."""
    return pending.is_returning and not pending.tried and not pending.is_started
