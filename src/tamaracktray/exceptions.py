"""Exception hierarchy.

Expected errors are returned as failure values of ``returns.result.Result``. Exceptions
are raised only at the boundary of a program or on an invariant violation.
"""


class TamaracktrayError(Exception):
    """Base class of all errors of this package."""

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message


class InvariantError(TamaracktrayError):
    """A violated invariant; the process stops."""


class SettingsError(TamaracktrayError):
    """A settings file that is missing, unreadable or invalid."""


class ResourceError(TamaracktrayError):
    """A resource document that fails validation."""


class CommandError(TamaracktrayError):
    """A command of the command line that failed."""


class AnswerTooLargeError(ConnectionError):
    """An answer that exceeds its size limit."""


class TransportError(TamaracktrayError):
    """An HTTP exchange that did not complete.

    ``sent`` is true if the peer may have received any byte of the request,
    ``is_withdrawn`` if the sender cancelled the request before it was sent, and
    ``is_timeout`` if the exchange timed out without any other error.
    """

    def __init__(
        self,
        message: str,
        *,
        sent: bool,
        is_withdrawn: bool = False,
        is_timeout: bool = False,
    ) -> None:
        super().__init__(message)
        self.sent = sent
        self.is_withdrawn = is_withdrawn
        self.is_timeout = is_timeout


class ProtocolError(TamaracktrayError):
    """A peer's answer that violates its protocol."""


class PlatformError(TamaracktrayError):
    """A call to the platform that failed.

    ``is_timed_out`` is true if the call timed out without any other error, and
    ``is_cut`` if its connection ended after the call had been sent.
    """

    is_timed_out = False
    is_cut = False


class PlatformUnavailableError(PlatformError):
    """The platform was unavailable; the call had no effect."""

    def __init__(
        self, message: str, *, is_timed_out: bool = False, is_cut: bool = False
    ) -> None:
        super().__init__(message)
        self.is_timed_out = is_timed_out
        self.is_cut = is_cut


class WatchReopenedError(PlatformError):
    """A watch was closed to be reopened because another one got no answer."""


class WriteOutcomeUnknownError(PlatformError):
    """The answer to a write was lost; the write may have taken effect."""


class ConflictError(PlatformError):
    """A conditional write found another version of the object."""

    def __init__(self, message: str, *, current_version: int | None) -> None:
        super().__init__(message)
        self.current_version = current_version


class ObjectNotFoundError(PlatformError):
    """The named object does not exist."""


class RevisionExpiredError(PlatformError):
    """The platform no longer stores the changes since the requested revision."""


class WeightError(TamaracktrayError):
    """Weights are missing, corrupt or rejected by the engine."""


class OrderExpiredError(WeightError):
    """An order to load weights was not sent in time."""


class SourceUnreachableError(WeightError):
    """A source of weights did not answer; the caller can use another source."""
