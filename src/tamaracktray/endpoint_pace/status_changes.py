"""Changes of an engine's status that entries must learn of at once."""

from tamaracktray.beacons import EndpointStatus
from tamaracktray.endpoint_pace.levels import PaceLevel


class StatusChanges:
    """Decides which statuses of an engine are sent before the next regular beacon."""

    __slots__ = ("_level", "_sent_summary")

    def __init__(self) -> None:
        self._level = PaceLevel()
        self._sent_summary: tuple = ()

    @property
    def is_slow(self) -> bool:
        """Whether the engine counted as slow at its latest status."""
        return self._level.is_slow

    def take(self, status: EndpointStatus | None) -> bool:
        """Return whether a status differs from the last one in what entries must know.

        These are the versions, a swap, and a pace that crossed a threshold.
        """
        summary: tuple = (None,)
        if status is not None:
            is_slow = self._level.update(status.pace)
            summary = ((status.is_swapping, status.version_by_model, is_slow),)
        if summary == self._sent_summary:
            return False
        self._sent_summary = summary
        return True
