"""What requests and answers say in their headers, whatever the headers are called."""

from abc import ABC, abstractmethod

import msgspec

from tamaracktray.http import RawHeaders, Request


class CallerFields(msgspec.Struct, frozen=True):
    """What a caller says about its request.

    ``wait_s`` is how long the caller waits for the whole answer, ``None`` if it does
    not say. Token counts are 0 where the request carries no prompt. ``expected_output``
    is the caller's estimate of the tokens to generate and ``max_output`` the bound.
    ``session`` names the last shared part of the prompt. ``last_event_id`` is set by a
    caller that resumes a stream.
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


class AttemptFields(msgspec.Struct, frozen=True):
    """What is added to a request on its way to an endpoint.

    ``time_left_s`` bounds the endpoint's work. ``version`` is the version of the
    weights that must answer; 0 accepts any. ``urgency`` goes from 0, the most urgent,
    to 9.
    """

    endpoint_id: str
    team: str
    time_left_s: float
    version: int = 0
    urgency: int | None = None
    last_event_id: str = ""


class AnswerFields(msgspec.Struct, frozen=True):
    """What an endpoint says about its answer.

    ``is_not_run`` promises that the request was not run; ``is_misdirected`` tells that
    the endpoint is not the expected one, or not of the expected version. ``is_signed``
    tells that the answer comes from an endpoint. ``version`` is that of the weights, 0
    if not told. ``is_leaving`` tells that the endpoint is about to leave; ``pause_s``
    is how long it wants no requests of this process, in seconds, ``None`` if it does
    not say and not a number if that cannot be read.
    """

    request_id: str = ""
    is_not_run: bool = False
    is_misdirected: bool = False
    is_signed: bool = False
    version: int = 0
    is_leaving: bool = False
    pause_s: float | None = None


class RequestProtocol(ABC):
    """Reads and writes the headers of requests and answers."""

    @abstractmethod
    def read_caller(self, request: Request) -> CallerFields:
        """Return what the caller says; malformed fields count as absent."""

    @abstractmethod
    def build_attempt(self, request: Request, fields: AttemptFields) -> RawHeaders:
        """Return the headers to send to an endpoint, without those that frame."""

    @abstractmethod
    def read_answer(self, status: int, headers: dict[str, str]) -> AnswerFields:
        """Return what the endpoint says in the status and headers of its answer."""

    @abstractmethod
    def select_answer(self, headers: RawHeaders) -> RawHeaders:
        """Return the headers of an endpoint's answer that the caller gets."""
