"""Structured logs: one JSON object a line, written without ever blocking.

Lines that tell of a change of state are always kept. Lines about single requests are
bounded to a rate; those beyond it are counted, and the count is logged.
"""

import logging
import os
import select
import sys
import time
from typing import Any

import msgspec
import structlog

# A pipe that is ready for writing takes this much without blocking; see pipe(7).
SAFE_WRITE_BYTES = 4_096

# Lines that wait for a slow reader, in bytes; more are dropped.
MAX_BUFFER_BYTES = 262_144

# Lines about requests that are kept, a second and at once.
REQUEST_LINES_S = 600.0
REQUEST_LINES_BURST = 1_200.0

REQUEST_LINE = "request_line"


class LineBudget:
    """Bounds the lines about requests to a rate."""

    __slots__ = ("_level", "_updated", "dropped")

    def __init__(self) -> None:
        self._level = REQUEST_LINES_BURST
        self._updated = 0.0
        self.dropped = 0

    def take(self, now: float) -> bool:
        """Take room for one line; return whether there was any."""
        grown = self._level + (now - self._updated) * REQUEST_LINES_S
        self._level = min(grown, REQUEST_LINES_BURST)
        self._updated = now
        if self._level < 1.0:
            self.dropped += 1
            return False
        self._level -= 1.0
        return True


class LogWriter:
    """Writes lines to a descriptor as long as that does not block.

    With ``is_buffered`` lines wait for ``flush``. ``dropped`` counts lines that found
    no room in the buffer.
    """

    __slots__ = ("_buffer", "_descriptor", "_is_buffered", "_poll", "dropped")

    def __init__(self, descriptor: int, *, is_buffered: bool = False) -> None:
        self._descriptor = descriptor
        self._is_buffered = is_buffered
        self._buffer = bytearray()
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self.dropped = 0

    def msg(self, line: bytes) -> None:
        """Take a line in."""
        if len(self._buffer) + len(line) >= MAX_BUFFER_BYTES:
            self.dropped += 1
            return
        self._buffer += line
        self._buffer += b"\n"
        if not self._is_buffered:
            self.flush()

    debug = info = warning = error = critical = exception = msg

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._buffer:
            ready = self._poll.poll(0)
            if not ready or not ready[0][1] & select.POLLOUT:
                return
            try:
                count = os.write(self._descriptor, self._buffer[:SAFE_WRITE_BYTES])
            except OSError:
                # Nobody reads any more; logs must not stop the process.
                self.dropped += self._buffer.count(b"\n")
                self._buffer.clear()
                return
            del self._buffer[:count]


class Logs:
    """The logs of one process."""

    __slots__ = ("_budget", "_writer")

    def __init__(self, writer: LogWriter) -> None:
        self._writer = writer
        self._budget = LineBudget()

    def flush(self) -> None:
        """Write waiting lines and tell of dropped ones."""
        self._writer.flush()
        dropped = self._writer.dropped + self._budget.dropped
        if not dropped:
            return
        self._writer.dropped = 0
        self._budget.dropped = 0
        structlog.get_logger().warning("lines dropped", count=dropped)

    def bound_requests(
        self, logger: Any, method: str, event: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        """Drop a line about a request when there are too many of them."""
        if event.pop(REQUEST_LINE, False) and not self._budget.take(time.monotonic()):
            raise structlog.DropEvent
        return event


def configure_logs(
    level: str, descriptor: int | None = None, *, is_buffered: bool = False, **context
) -> Logs:
    """Set up logging for this process; ``context`` is added to every line.

    Lines go to standard error unless another descriptor is given.
    """
    number = getattr(logging, level.upper())
    if descriptor is None:
        descriptor = sys.stderr.fileno()
    writer = LogWriter(descriptor, is_buffered=is_buffered)
    logs = Logs(writer)
    structlog.configure(
        processors=[
            logs.bound_requests,
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(_encode),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(number),
        logger_factory=lambda *_: writer,
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(**context)
    return logs


def _encode(event: structlog.typing.EventDict, **options: Any) -> bytes:
    return msgspec.json.encode(event, enc_hook=str)
