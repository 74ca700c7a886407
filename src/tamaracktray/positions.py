"""Positions in the history of the platform's store.

A store that is restored from an older copy gives revisions out again. It then counts
an era up, so that a position is newer than every position of an earlier era, whatever
their revisions.
"""

from collections.abc import Iterable

import msgspec
import structlog

from tamaracktray.headers import read_int

# Characters of an unreadable era that are logged.
ERA_CHARS = 40


class Position(msgspec.Struct, frozen=True, order=True, array_like=True):
    """A revision in one era of the store; positions are ordered by era first."""

    era: int = 0
    revision: int = 0


UNKNOWN = Position()


def find_latest_era(positions: Iterable[Position]) -> int | None:
    """Return the latest era of known positions, or ``None`` if none is known."""
    eras = [item.era for item in positions if item.revision]
    return max(eras, default=None)


class EraTracker:
    """Reads eras in the store's answers; ``latest`` is ``None`` before the first."""

    __slots__ = ("latest",)

    def __init__(self) -> None:
        self.latest: int | None = None

    def note(self, text: str | None) -> None:
        """Note the era that an answer names, and log an unreadable one."""
        if text is None:
            return
        era = read_int(text)
        if era is None:
            structlog.get_logger().warning("era unreadable", value=text[:ERA_CHARS])
            return
        self.latest = max(era, self.latest or 0)

    def resolve(self, text: str | None) -> int:
        """Return the era that an answer names, else the latest one."""
        era = read_int(text or "")
        return (self.latest or 0) if era is None else era
