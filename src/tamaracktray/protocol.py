"""Header fields of requests and answers, independent of the header names."""

from abc import ABC, abstractmethod

import msgspec

from tamaracktray.http_messages import RawHeaders, Request


class CallerFields(msgspec.Struct, frozen=True):
    """The fields that a caller sets on its request.

    ``wait_s`` is the caller's timeout for the whole answer in seconds, ``None`` if it
    is absent. Token counts are 0 for a request without a prompt. ``expected_output``
    is the caller's estimate of the tokens to generate, ``max_output`` their maximum.
    ``session`` identifies the last part of the prompt and ``shared_parts`` the ones
    before it. ``last_event_id`` is set if the caller resumes a stream.
    """

    request_id: str
    key: str = ""
    wait_s: float | None = None
    model: str = ""
    prompt_tokens: int = 0
    max_output: int = 0
    expected_output: int = 0
    session: str = ""
    last_event_id: str = ""
    shared_parts: tuple[str, ...] = ()


class AttemptFields(msgspec.Struct, frozen=True):
    """The fields added to a request before it is sent to an endpoint.

    ``time_left_s`` is the time until the deadline in seconds. ``version`` is the
    required version of the weights, 0 for any. ``urgency`` ranges from 0, the most
    urgent, to 9.
    """

    endpoint_id: str
    team: str
    time_left_s: float
    version: int = 0
    urgency: int | None = None
    last_event_id: str = ""


class AnswerFields(msgspec.Struct, frozen=True):
    """The fields that an endpoint sets on its answer.

    ``is_not_run`` guarantees that the request was not run. ``is_misdirected`` means
    that the endpoint or its version is not the expected one. ``is_signed`` means that
    the answer comes from an endpoint. ``version`` is the version of the weights, 0 if
    it is absent. ``is_leaving`` means that the endpoint is about to shut down.
    ``pause_s`` is the time in seconds for which it accepts no requests from this
    process. ``limit_per_s`` is the number of requests a second that it accepts from
    all processes together. Both are ``None`` if absent and NaN if malformed.
    """

    request_id: str = ""
    is_not_run: bool = False
    is_misdirected: bool = False
    is_signed: bool = False
    version: int = 0
    is_leaving: bool = False
    pause_s: float | None = None
    limit_per_s: float | None = None


class RequestProtocol(ABC):
    """Reads and writes the headers of requests and answers."""

    @abstractmethod
    def parse_caller_fields(self, request: Request) -> CallerFields:
        """Parse the caller's fields, treating malformed ones as absent."""

    @abstractmethod
    def build_attempt(self, request: Request, fields: AttemptFields) -> RawHeaders:
        """Return the headers to send to an endpoint, without framing headers."""

    @abstractmethod
    def parse_answer_fields(self, status: int, headers: dict[str, str]) -> AnswerFields:
        """Parse the endpoint's fields from the status and headers of its answer."""

    @abstractmethod
    def select_answer_headers(self, headers: RawHeaders) -> RawHeaders:
        """Return the headers of an endpoint's answer to forward to the caller."""
