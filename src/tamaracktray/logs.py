"""Structured logs with one JSON object a line, written without blocking.

Lines about single requests are rate-limited; the number of dropped lines is logged.
Lines about state changes are not rate-limited.
"""

import logging
import os
import select
import sys
import time
from typing import Any

import msgspec
import structlog

# PIPE_BUF: a pipe that polls as writable accepts this much without blocking (pipe(7)).
SAFE_WRITE_BYTES = 4_096

# Buffer for a slow reader; lines beyond it are dropped.
MAX_BUFFER_BYTES = 262_144

# Token bucket for lines about requests: lines per second, and largest burst.
REQUEST_LINES_S = 600.0
REQUEST_LINES_BURST = 1_200.0

REQUEST_LINE = "request_line"


class LogRateLimiter:
    """Limits the rate of lines about requests with a token bucket."""

    __slots__ = ("_tokens", "_refilled_at", "dropped")

    def __init__(self) -> None:
        self._tokens = REQUEST_LINES_BURST
        self._refilled_at = 0.0
        self.dropped = 0

    def try_acquire(self, now: float) -> bool:
        """Take a token for one line; return whether one was available."""
        refilled = self._tokens + (now - self._refilled_at) * REQUEST_LINES_S
        self._tokens = min(refilled, REQUEST_LINES_BURST)
        self._refilled_at = now
        if self._tokens < 1.0:
            self.dropped += 1
            return False
        self._tokens -= 1.0
        return True


class LogWriter:
    """Writes lines to a file descriptor without blocking.

    With ``is_buffered``, lines stay in the buffer until ``flush``. ``dropped`` counts
    lines that were lost because the buffer was full or the write failed.
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
        """Append a line to the buffer, and flush it unless ``is_buffered``."""
        if len(self._buffer) + len(line) >= MAX_BUFFER_BYTES:
            self.dropped += 1
            return
        self._buffer += line
        self._buffer += b"\n"
        if not self._is_buffered:
            self.flush()

    debug = info = warning = error = critical = exception = msg

    def flush(self) -> None:
        """Write as much of the buffer as does not block."""
        while self._buffer:
            ready = self._poll.poll(0)
            if not ready or not ready[0][1] & select.POLLOUT:
                return
            try:
                count = os.write(self._descriptor, self._buffer[:SAFE_WRITE_BYTES])
            except OSError:
                # The reader is closed; a failed log write must not stop the process.
                self.dropped += self._buffer.count(b"\n")
                self._buffer.clear()
                return
            del self._buffer[:count]


class Logs:
    """The logs of one process."""

    __slots__ = ("_rate_limiter", "_writer")

    def __init__(self, writer: LogWriter) -> None:
        self._writer = writer
        self._rate_limiter = LogRateLimiter()

    def flush(self) -> None:
        """Write buffered lines and log the number of dropped ones."""
        self._writer.flush()
        dropped = self._writer.dropped + self._rate_limiter.dropped
        if not dropped:
            return
        self._writer.dropped = 0
        self._rate_limiter.dropped = 0
        structlog.get_logger().warning("lines dropped", count=dropped)

    def limit_request_lines(
        self, logger: Any, method: str, event: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        """Drop a line about a request if it exceeds the rate limit."""
        if event.pop(REQUEST_LINE, False) and not self._rate_limiter.try_acquire(
            time.monotonic()
        ):
            raise structlog.DropEvent
        return event


def configure_logs(
    level: str, descriptor: int | None = None, *, is_buffered: bool = False, **context
) -> Logs:
    """Configure logging for this process; ``context`` is added to every line.

    Lines are written to standard error unless another descriptor is given.
    """
    number = getattr(logging, level.upper())
    if descriptor is None:
        descriptor = sys.stderr.fileno()
    writer = LogWriter(descriptor, is_buffered=is_buffered)
    logs = Logs(writer)
    structlog.configure(
        processors=[
            logs.limit_request_lines,
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
