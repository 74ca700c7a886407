"""Weights of an endpoint's slots and cost by the load that its engine reports."""

from tamaracktray.endpoint_pace.levels import USUAL_PACE, PaceLevel
from tamaracktray.endpoint_pace.reports import EngineLoad

# Slots that a slow endpoint keeps, so that calls show when it has recovered.
TRIAL_SLOTS = 1

# Requests queued at an engine, as a share of its batch, from which it gets no calls.
# Entries don't send more calls than the batch holds, except a few that they send at the
# same moment; a longer queue shows that the engine takes in less than it was sent.
MAX_QUEUED_SHARE = 0.25

# Used share of an engine's memory from which it gets no calls. The rest is left to the
# running requests, whose answers still grow.
MAX_KV_USED_SHARE = 0.92


class EndpointPace:
    """Pace of one endpoint and room in its engine, as known to this process.

    A report is valid until ``_deadline``. Without a valid one, the endpoint is weighted
    as if it had the usual pace and room.
    """

    __slots__ = ("_deadline", "_level", "_reported")

    def __init__(self) -> None:
        self._deadline = 0.0
        self._level = PaceLevel()
        self._reported = EngineLoad()

    def note_report(self, now: float, deadline: float, reported: EngineLoad) -> None:
        """Record the load that the endpoint's agent reports, valid until ``deadline``.

        The hysteresis starts anew if the last report has expired.
        """
        if now >= self._deadline:
            self._level = PaceLevel()
        self._level.update(reported.pace)
        self._reported = reported
        self._deadline = deadline

    def measure(self, now: float) -> float:
        """Return the pace by which to weight the endpoint, 1 unless it is slow."""
        if now >= self._deadline or not self._level.is_slow:
            return USUAL_PACE
        return self._reported.pace

    def is_saturated(self, now: float, batch: int) -> bool:
        """Return whether the engine, which runs ``batch`` calls, has no room for more.

        Full memory counts only while requests run. Otherwise no request that ends would
        free it, and the engine would never get calls again.
        """
        if now >= self._deadline:
            return False
        reported = self._reported
        if reported.queued and reported.queued >= batch * MAX_QUEUED_SHARE:
            return True
        return bool(reported.running) and reported.kv_used_share >= MAX_KV_USED_SHARE

    def weight_slots(self, now: float, slots: int) -> int:
        """Return how many of its slots the endpoint may fill at its pace and room."""
        if self.is_saturated(now, slots):
            return 0
        pace = self.measure(now)
        if pace == USUAL_PACE:
            return slots
        return min(max(int(slots / pace), TRIAL_SLOTS), slots)

    def weight_cost(self, now: float, cost: float) -> float:
        """Return a cost in running calls, multiplied by the endpoint's pace.

        The call to be placed counts too. Otherwise an idle slow endpoint would cost as
        little as an idle one of the usual pace.
        """
        pace = self.measure(now)
        if pace == USUAL_PACE:
            return cost
        return pace * (cost + 1) - 1
