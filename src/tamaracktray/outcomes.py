"""Outcomes of attempts, claims, runs, fetches and slot claims."""

from enum import Enum


class AttemptPhase(str, Enum):
    """Final phase of one attempt of an entry.

    ``WITHDRAWN`` means that the attempt was cancelled before anything was sent, not
    because of a fault of the endpoint. ``FAILED`` means that the endpoint sent a
    complete answer that reports a failure. ``MISDIRECTED`` means that an endpoint
    refused because it is not the expected one or does not serve the expected version.
    """

    NOT_SENT = "not_sent"
    WITHDRAWN = "withdrawn"
    SENT = "sent"
    REFUSED = "refused"
    MISDIRECTED = "misdirected"
    FAILED = "failed"
    ANSWERED = "answered"
    CUT = "cut"

    @property
    def is_not_run(self) -> bool:
        """Return whether the endpoint certainly did not run the request."""
        return self in (
            AttemptPhase.NOT_SENT,
            AttemptPhase.WITHDRAWN,
            AttemptPhase.REFUSED,
            AttemptPhase.MISDIRECTED,
        )

    @property
    def is_answer(self) -> bool:
        """Return whether the caller got a complete answer."""
        return self is AttemptPhase.ANSWERED


class ClaimOutcome(str, Enum):
    """Result of claiming an idempotency key."""

    GRANTED = "granted"
    COMPLETED = "completed"
    RUNNING = "running"
    UNKNOWN = "unknown"
    KEY_REUSED = "key_reused"
    UNAVAILABLE = "unavailable"


class RunOutcome(str, Enum):
    """Result of one run at the endpoint."""

    COMPLETED = "completed"
    NOT_SENT = "not_sent"
    CUT = "cut"
    INVALID = "invalid"
    CRASHED = "crashed"
    ABANDONED = "abandoned"


class SlotOutcome(str, Enum):
    """Result of claiming a rollout slot."""

    GRANTED = "granted"
    BUSY = "busy"
    HALTED = "halted"
    UNAVAILABLE = "unavailable"


class FetchOutcome(str, Enum):
    """Result of one fetch.

    ``PENDING`` means that the source is alive but busy, or will soon have the chunk.
    """

    STORED = "stored"
    ABSENT = "absent"
    PENDING = "pending"
    CORRUPT = "corrupt"
    FAILED = "failed"
