"""Shares the processor between requests and bodies that arrive in many small parts.

Parsing a part takes about the same time however small it is. Many such bodies at once
would therefore keep other requests from being served, though they hold few bytes.
"""

import time

import curio

# Size in bytes from which a part isn't limited.
LARGE_PART_BYTES = 1_024

# Small parts of each body that aren't limited, so that ordinary requests never wait.
FREE_PARTS = 32

# Small parts of a body that are parsed in one turn.
TURN_PARTS = 64

# Limit of the small parts a second of all bodies together, about a quarter of a core,
# and the seconds of unused capacity that may be taken at once, which serve a single
# client without delay.
PARTS_PER_S = 10_000.0
BURST_S = 2.0


class PartPacer:
    """Limits the small parts of all bodies of one server.

    Bodies take turns in the order in which they ask. One that waits reads nothing, so
    that its client is held up as well. ``_next_turn_at`` is the monotonic time in
    seconds at which the parts of all turns so far have been parsed at the limited rate.
    """

    __slots__ = ("_next_turn_at", "_turn")

    def __init__(self) -> None:
        self._next_turn_at = 0.0
        self._turn = curio.Lock()

    async def wait_for_turn(self) -> None:
        """Wait until a body may have ``TURN_PARTS`` more small parts parsed."""
        async with self._turn:
            wait_s = self._next_turn_at - time.monotonic()
            if wait_s > 0:
                # A body that is given up meanwhile takes no capacity.
                await curio.sleep(wait_s)
            start = max(self._next_turn_at, time.monotonic() - BURST_S)
            self._next_turn_at = start + TURN_PARTS / PARTS_PER_S


class BodyPace:
    """Holds up one body with many small parts until it has its turns."""

    __slots__ = ("_pacer", "_remaining")

    def __init__(self, pacer: PartPacer) -> None:
        self._pacer = pacer
        self._remaining = FREE_PARTS

    async def note_part(self, length: int) -> None:
        """Count a part of ``length`` bytes, and wait if a turn is needed for more."""
        if length >= LARGE_PART_BYTES:
            return
        self._remaining -= 1
        if self._remaining:
            return
        await self._pacer.wait_for_turn()
        self._remaining = TURN_PARTS
