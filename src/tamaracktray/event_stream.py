"""Event streams, cut at whole events so that another endpoint can go on with them."""

# An empty line ends an event.
EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
ID_FIELD = b"id:"


class EventBuffer:
    """Holds back the part of a stream that is not a whole event yet.

    ``last_event_id`` is the id of the last whole event handed out.
    """

    __slots__ = ("_rest", "last_event_id")

    def __init__(self) -> None:
        self._rest = b""
        self.last_event_id = ""

    def feed(self, data: bytes) -> bytes:
        """Take bytes in and return those that complete events."""
        self._rest += data
        end = max(self._find_end(mark) for mark in EVENT_ENDS)
        if not end:
            return b""
        whole, self._rest = self._rest[:end], self._rest[end:]
        self._note_id(whole)
        return whole

    def take_rest(self) -> bytes:
        """Return and forget what has not become a whole event."""
        rest, self._rest = self._rest, b""
        return rest

    def _find_end(self, mark: bytes) -> int:
        position = self._rest.rfind(mark)
        return 0 if position < 0 else position + len(mark)

    def _note_id(self, whole: bytes) -> None:
        for line in reversed(whole.splitlines()):
            if line.startswith(ID_FIELD):
                self.last_event_id = line[len(ID_FIELD) :].strip().decode("latin-1")
                return
