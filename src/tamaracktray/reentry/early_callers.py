"""Callers that retried too early, by the fingerprints of their requests."""

# Time for which an early retry counts, in seconds: longer than a promised delay with
# its tolerance, so that callers that retry often don't get places in the end.
EARLY_VALID_S = 2.0

# Largest number of fingerprints kept; each takes about 200 bytes.
MAX_EARLY = 2_000


class EarlyCallers:
    """Fingerprints of requests that were retried early in the last seconds.

    Other entries see other retries of the same caller and decide on their own.
    """

    __slots__ = ("_deadline_by_fingerprint",)

    def __init__(self) -> None:
        self._deadline_by_fingerprint: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._deadline_by_fingerprint)

    def note(self, now: float, fingerprint: str) -> None:
        """Record an early retry."""
        self._deadline_by_fingerprint.pop(fingerprint, None)
        self._deadline_by_fingerprint[fingerprint] = now + EARLY_VALID_S
        if len(self._deadline_by_fingerprint) > MAX_EARLY:
            del self._deadline_by_fingerprint[next(iter(self._deadline_by_fingerprint))]

    def is_known(self, now: float, fingerprint: str) -> bool:
        """Return whether a request was recently retried too early."""
        return self._deadline_by_fingerprint.get(fingerprint, now) > now
