"""Structured logs: one JSON object a line.

Lines are written for changes of state only; what happens often is counted.
"""

import logging
import sys
from typing import TextIO

import structlog


def configure_logs(level: str, stream: TextIO = sys.stderr, **context: str) -> None:
    """Set up logging for this process; ``context`` is added to every line."""
    number = getattr(logging, level.upper())
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(number),
        logger_factory=structlog.PrintLoggerFactory(stream),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(**context)
