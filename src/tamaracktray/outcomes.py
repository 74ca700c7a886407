"""How attempts, claims, runs, fetches and slot claims can end."""

from enum import Enum


class AttemptPhase(str, Enum):
    """How far one attempt of an entry came.

    ``WITHDRAWN`` was taken away before anything was sent, for no fault of the endpoint.
    ``FAILED`` is an endpoint's own whole answer that says it failed. ``MISDIRECTED`` is
    the refusal of an endpoint that is not the expected one, or not of that version.
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
        """Tell whether the endpoint certainly did not run the request."""
        return self in (
            AttemptPhase.NOT_SENT,
            AttemptPhase.WITHDRAWN,
            AttemptPhase.REFUSED,
            AttemptPhase.MISDIRECTED,
        )

    @property
    def is_answer(self) -> bool:
        """Tell whether the caller got a whole answer."""
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
    """How one run at the endpoint ended."""

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
    """How one fetch ended.

    ``PENDING`` means that the source is alive and busy, or about to get the chunk.
    """

    STORED = "stored"
    ABSENT = "absent"
    PENDING = "pending"
    CORRUPT = "corrupt"
    FAILED = "failed"
