"""Splits event streams between events, so that another endpoint can resume them."""

# An empty line terminates an event.
EVENT_TERMINATORS = (b"\n\n", b"\r\n\r\n")
LONGEST_TERMINATOR = max(len(terminator) for terminator in EVENT_TERMINATORS)
ID_FIELD = b"id:"

# Largest event, in bytes.
MAX_EVENT_BYTES = 262_144


class EventBuffer:
    """Buffers the incomplete event at the end of a stream.

    ``last_event_id`` is the id of the last event returned.
    """

    __slots__ = ("_incomplete", "last_event_id")

    def __init__(self) -> None:
        self._incomplete = bytearray()
        self.last_event_id = ""

    @property
    def is_too_large(self) -> bool:
        """Whether the incomplete event exceeds ``MAX_EVENT_BYTES``."""
        return len(self._incomplete) > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> bytes:
        """Append received bytes and return all complete events."""
        # Bytes buffered earlier contain no terminator; only one that spans the new
        # bytes can be there.
        start = max(len(self._incomplete) - LONGEST_TERMINATOR + 1, 0)
        self._incomplete += data
        end = max(self._find_end(terminator, start) for terminator in EVENT_TERMINATORS)
        if not end:
            return b""
        events = bytes(self._incomplete[:end])
        del self._incomplete[:end]
        self._record_last_id(events)
        return events

    def take_incomplete(self) -> bytes:
        """Return and discard the incomplete event."""
        incomplete = bytes(self._incomplete)
        self._incomplete.clear()
        return incomplete

    def _find_end(self, terminator: bytes, start: int) -> int:
        position = self._incomplete.rfind(terminator, start)
        return 0 if position < 0 else position + len(terminator)

    def _record_last_id(self, events: bytes) -> None:
        for line in reversed(events.splitlines()):
            if line.startswith(ID_FIELD):
                self.last_event_id = line[len(ID_FIELD) :].strip().decode("latin-1")
                return
