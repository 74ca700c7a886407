"""Log of injected faults.

Promises with a time bound are checked only over periods without a fault.
"""

import msgspec


class FaultPeriod(msgspec.Struct):
    """The period of one fault; ``end`` is ``None`` while the fault lasts."""

    name: str
    start: float
    end: float | None = None

    def names(self, subject: str) -> bool:
        """Return whether the name of the fault holds a subject as whole words."""
        return f" {subject} " in f" {self.name} "

    def overlaps(self, start: float, end: float) -> bool:
        """Return whether the fault overlaps the period from ``start`` to ``end``."""
        return self.start < end and (self.end is None or self.end > start)


class FaultLog:
    """The injected faults of one soak, without planned operations."""

    def __init__(self) -> None:
        self.periods: list[FaultPeriod] = []

    @property
    def names(self) -> list[str]:
        """Return the names of all faults in the order they began."""
        return [item.name for item in self.periods]

    def begin(self, name: str, now: float) -> FaultPeriod:
        """Add a fault that begins now and return its period."""
        period = FaultPeriod(name, now)
        self.periods.append(period)
        return period

    def has_fault(self, subject: str, start: float, end: float) -> bool:
        """Return whether a fault of ``subject`` overlaps the given period."""
        return any(
            item.names(subject) and item.overlaps(start, end) for item in self.periods
        )

    def is_fault_free(self, start: float, end: float) -> bool:
        """Return whether no fault overlaps the period from ``start`` to ``end``."""
        return not any(item.overlaps(start, end) for item in self.periods)
