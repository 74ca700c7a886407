"""Weights of an endpoint's slots and cost by the pace that its engine reports."""

from tamaracktray.endpoint_pace.levels import USUAL_PACE, PaceLevel

# Slots that a slow endpoint keeps, so that calls show when it has recovered.
TRIAL_SLOTS = 1


class EndpointPace:
    """Pace of one endpoint, as known to this process.

    A report is valid until ``_deadline``. Without a valid one, the endpoint is weighted
    as if it had the usual pace.
    """

    __slots__ = ("_deadline", "_level", "_reported")

    def __init__(self) -> None:
        self._deadline = 0.0
        self._level = PaceLevel()
        self._reported = USUAL_PACE

    def note_report(self, now: float, deadline: float, pace: float) -> None:
        """Record the pace that the endpoint's agent reports, valid until ``deadline``.

        The hysteresis starts anew if the last report has expired.
        """
        if now >= self._deadline:
            self._level = PaceLevel()
        self._level.update(pace)
        self._reported = pace
        self._deadline = deadline

    def measure(self, now: float) -> float:
        """Return the pace by which to weight the endpoint, 1 unless it is slow."""
        if now >= self._deadline or not self._level.is_slow:
            return USUAL_PACE
        return self._reported

    def weight_slots(self, now: float, slots: int) -> int:
        """Return how many of its slots the endpoint may fill at its pace."""
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
