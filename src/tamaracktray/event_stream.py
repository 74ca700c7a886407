"""Splits event streams between events, so that another endpoint can resume them."""

from tamaracktray.headers import is_field_value, read_int

# An empty line terminates an event.
EVENT_TERMINATORS = (b"\n\n", b"\r\n\r\n")
LONGEST_TERMINATOR = max(len(terminator) for terminator in EVENT_TERMINATORS)
ID_FIELD = b"id:"

# Largest event, in bytes.
MAX_EVENT_BYTES = 262_144


class EventBuffer:
    """Buffers the incomplete event at the end of a stream.

    ``last_event_id`` is the id of the last event returned, empty if a request to resume
    the stream can't name it.
    """

    __slots__ = ("_incomplete", "_is_repeating", "_resumed_id", "last_event_id")

    def __init__(self) -> None:
        self._incomplete = bytearray()
        self._resumed_id = ""
        self._is_repeating = False
        self.last_event_id = ""

    def fork(self, last_event_id: str) -> "EventBuffer":
        """Return a buffer for a stream that goes on after an event of this one."""
        buffer = EventBuffer()
        buffer.last_event_id = self.last_event_id
        buffer.resume(last_event_id)
        return buffer

    def resume(self, last_event_id: str) -> None:
        """Prepare for a stream that goes on after an event, empty for a new stream.

        Such a stream is at fault if it begins with an event that its caller has.
        """
        self._incomplete.clear()
        self._resumed_id = last_event_id
        self._is_repeating = False

    @property
    def is_too_large(self) -> bool:
        """Whether the incomplete event exceeds ``MAX_EVENT_BYTES``."""
        return len(self._incomplete) > MAX_EVENT_BYTES

    @property
    def fault(self) -> str:
        """Return why the rest of the stream can't be relayed, or an empty string."""
        if self._is_repeating:
            return "the stream repeats events"
        if self.is_too_large:
            return "an event is too large"
        return ""

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
        if self._resumed_id:
            self._check_first_id(events)
        if self._is_repeating:
            return b""
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

    def _check_first_id(self, events: bytes) -> None:
        for line in events.splitlines():
            if line.startswith(ID_FIELD):
                self._is_repeating = not _is_later(_read_id(line), self._resumed_id)
                self._resumed_id = ""
                return

    def _record_last_id(self, events: bytes) -> None:
        for line in reversed(events.splitlines()):
            if line.startswith(ID_FIELD):
                event_id = _read_id(line)
                self.last_event_id = event_id if is_field_value(event_id) else ""
                return


def _read_id(line: bytes) -> str:
    return line[len(ID_FIELD) :].strip().decode("latin-1")


def _is_later(event_id: str, last_event_id: str) -> bool:
    """Return whether an event follows the last one; ids need not be consecutive."""
    number, last_number = read_int(event_id), read_int(last_event_id)
    if number is None or last_number is None:
        return event_id != last_event_id
    return number > last_number
