"""Load shedding on arrival, by service and rank.

An entry decides on its own counts: entries see shares of the same traffic and mostly
use slots of their own, so the counts of others would add little.
"""

from tamaracktray.admission_control.shares import FLOOR_SHARE, compute_shares
from tamaracktray.admission_control.windows import ServiceWindow
from tamaracktray.calls import Call, Rank

# Engine time admitted, relative to the engine time started. Some admitted calls find no
# slot in time, and without a margin their loss would count as lost capacity.
HEADROOM = 1.15

# Credit that admits one call.
CALL_CREDIT = 1.0

# Most credit that a rank's calls of a route save up, in calls; more would admit bursts
# that the capacity can't take.
MAX_CREDIT = 2.0


class AdmissionControl:
    """Decides which calls are admitted while slots are short.

    Credit is kept by route as well as by rank, so that routes whose calls alternate get
    the same share.
    """

    __slots__ = ("_credit_by_key", "_window_by_service")

    def __init__(self) -> None:
        self._window_by_service: dict[str, ServiceWindow] = {}
        self._credit_by_key: dict[tuple[str, Rank, str], float] = {}

    def admit(
        self, now: float, call: Call, cost_s: float, *, is_underserved: bool = False
    ) -> bool:
        """Record a call that arrived; return whether it is within its rank's share.

        ``cost_s`` is its engine time; calls without one are always admitted. A call of
        an underserved size may use the credit of the next call.
        """
        if cost_s <= 0:
            return True
        service = call.services[0]
        window = self._window_by_service.setdefault(service, ServiceWindow())
        window.note_offered(now, call.rank, cost_s)
        key = (service, call.rank, call.route.name)
        if not _is_short(window):
            self._credit_by_key.pop(key, None)
            return True
        capacity_s = HEADROOM * window.started_s
        shares = compute_shares(window.offered_s_by_rank, capacity_s)
        credit = self._credit_by_key.get(key, CALL_CREDIT) + shares[call.rank]
        is_admitted = credit >= (0.0 if is_underserved else CALL_CREDIT)
        if is_admitted:
            credit -= CALL_CREDIT
        self._credit_by_key[key] = min(credit, MAX_CREDIT)
        return is_admitted

    def is_below_floor(self, now: float, call: Call) -> bool:
        """Return whether a rank gets less than its floor while slots are short.

        A rank that is admitted but waits behind more urgent ones could starve.
        """
        window = self._window_by_service.get(call.services[0])
        if window is None:
            return False
        window.expire(now)
        offered_s = window.offered_s_by_rank.get(call.rank, 0.0)
        if not offered_s or not _is_short(window):
            return False
        started_share = window.started_s_by_rank.get(call.rank, 0.0) / offered_s
        return started_share < FLOOR_SHARE * window.started_s / window.offered_s

    def has_ranked_routes(self, now: float, service: str) -> bool:
        """Return whether a service's recent calls are of several route priorities."""
        window = self._window_by_service.get(service)
        if window is None:
            return False
        window.expire(now)
        return window.has_ranked_routes

    def note_started(self, now: float, call: Call, cost_s: float) -> None:
        """Record a call that was sent to an endpoint for the first time."""
        window = self._window_by_service.get(call.services[0])
        if window is not None and cost_s > 0:
            window.note_started(now, call.rank, cost_s)

    def note_refused(self, now: float, call: Call) -> None:
        """Record a call that was refused or displaced for lack of slots."""
        window = self._window_by_service.get(call.services[0])
        if window is not None:
            window.note_refused(now)


def _is_short(window: ServiceWindow) -> bool:
    """Return whether slots are short and there are routes between which to choose.

    Without starts there is no measured capacity to divide.
    """
    if not window.refused or window.started_s <= 0:
        return False
    return window.has_ranked_routes
