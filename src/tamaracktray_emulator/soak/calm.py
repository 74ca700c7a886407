"""When the fleet was last harmed: promises with a bound in time wait for calm."""

import msgspec


class Unrest(msgspec.Struct):
    """One fault; ``end`` is ``None`` while it lasts."""

    name: str
    start: float
    end: float | None = None

    def touches(self, start: float, end: float) -> bool:
        """Tell whether the fault fell into a time."""
        return self.start < end and (self.end is None or self.end > start)


class CalmLog:
    """The faults of one soak, planned work apart."""

    def __init__(self) -> None:
        self._unrest: list[Unrest] = []

    @property
    def names(self) -> list[str]:
        """Return the names of all faults in order."""
        return [item.name for item in self._unrest]

    def begin(self, name: str, now: float) -> Unrest:
        """Note that a fault begins."""
        unrest = Unrest(name, now)
        self._unrest.append(unrest)
        return unrest

    def is_harmed(self, subject: str, start: float, end: float) -> bool:
        """Tell whether a fault named ``subject`` between ``start`` and ``end``."""
        return any(
            subject in item.name and item.touches(start, end) for item in self._unrest
        )

    def is_calm(self, start: float, end: float) -> bool:
        """Tell whether no fault touched the time from ``start`` to ``end``."""
        return not any(item.touches(start, end) for item in self._unrest)
