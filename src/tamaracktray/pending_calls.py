"""Calls that have no final answer yet, with the state of their attempts."""

import msgspec

from tamaracktray.calls import Call
from tamaracktray.types import Refusal


class ParkedAttempt(msgspec.Struct, frozen=True):
    """An attempt that its call has left but can go back to.

    The fields are those of the attempt in flight in ``PendingCall``.
    """

    endpoint_id: str
    start_time_ms: int
    sent_at: float
    held_version: int
    is_answer_started: bool
    answer_began_at: float
    observed_since: float
    silent_since: float
    progress_at: float
    is_sound: bool
    is_endpoint_leaving: bool


class PendingCall:
    """A call that has no final answer yet.

    ``may_have_run`` is set once an attempt was sent and its end did not rule out that
    the call ran; from then on no error may say "not run".

    Of the attempt in flight, ``endpoint_id`` is the endpoint (empty if there is none),
    ``start_time_ms`` that endpoint's start time, ``sent_at`` when it was sent,
    ``is_abandoned`` whether it is being abandoned, ``is_endpoint_leaving`` whether the
    endpoint has announced that it leaves, ``held_version`` the version of the weights
    that the endpoint was expected to hold, and ``is_answer_started`` whether its answer
    has begun, at ``answer_began_at``. ``progress_at`` is when data of the answer last
    arrived, known as of the last tick. ``silent_since`` is the same, or when the
    attempt was sent, and ``observed_since`` the begin of the answer, but both are later
    by the times in which this process was held up, and the former by those in which it
    waited for the caller to read. ``is_sound`` is set once that answer has gone on long
    enough to refute suspicions. ``is_started`` is also set if the answer of an earlier
    attempt has begun.

    While an attempt is being abandoned, ``reserved_id`` is the endpoint that holds a
    slot for the next one. ``has_event_id`` is set once a stream can be resumed.
    ``left_id`` is the endpoint that the call left for its silence, as long as no other
    one has run it since, and ``parked_by_id`` holds the attempts that it left and that
    may still go on, by their endpoints, the last one left last.

    ``revocation`` is the refusal of the call by the routing table in force, ``None``
    while that allows it; a refused call gets no further attempt. ``is_trial`` is set
    while the call tests quarantined parts of its prompt.
    ``prior_wait_s`` is the time that the caller waited in earlier tries, in seconds;
    if it ``is_returning``, it may queue although its objective has passed.
    ``version`` is the version of the weights that began a stream.
    """

    __slots__ = (
        "answer_began_at",
        "attempts",
        "start_time_ms",
        "call",
        "endpoint_id",
        "is_answer_started",
        "has_event_id",
        "has_failed_answer",
        "held_version",
        "is_abandoned",
        "left_id",
        "is_endpoint_leaving",
        "is_returning",
        "is_sound",
        "is_started",
        "is_trial",
        "last_event_id",
        "may_have_run",
        "observed_since",
        "parked_by_id",
        "progress_at",
        "sent_at",
        "silent_since",
        "prior_wait_s",
        "reserved_id",
        "revocation",
        "tried",
        "failed_connections",
        "version",
    )

    def __init__(self, call: Call) -> None:
        self.call = call
        self.attempts = 0
        self.failed_connections = 0
        self.endpoint_id = ""
        self.start_time_ms = 0
        self.is_endpoint_leaving = False
        self.may_have_run = False
        self.has_failed_answer = False
        self.has_event_id = False
        self.reserved_id = ""
        self.revocation: Refusal | None = None
        self.left_id = ""
        self.parked_by_id: dict[str, ParkedAttempt] = {}
        self.held_version = 0
        self.is_started = False
        self.is_answer_started = False
        self.answer_began_at = 0.0
        self.observed_since = 0.0
        self.progress_at = 0.0
        self.silent_since = 0.0
        self.is_sound = False
        self.is_trial = False
        self.is_abandoned = False
        self.sent_at = 0.0
        self.prior_wait_s = 0.0
        self.is_returning = False
        self.last_event_id = call.last_event_id
        self.version = 0
        self.tried: set[str] = set()

    def park(self) -> None:
        """Keep the attempt in flight as a parked one."""
        parked = ParkedAttempt(
            *(getattr(self, name) for name in ParkedAttempt.__struct_fields__)
        )
        self.parked_by_id[parked.endpoint_id] = parked
        self.endpoint_id = ""

    def resume(self, endpoint_id: str) -> None:
        """Make a parked attempt the one in flight."""
        parked = self.parked_by_id.pop(endpoint_id)
        for name in ParkedAttempt.__struct_fields__:
            setattr(self, name, getattr(parked, name))
        self.is_abandoned = False
        self.left_id = ""
