"""Token bucket for bytes on a shared link."""

import time

import curio

BURST_S = 0.25

# Share of an instance's link that chunk uploads may use, and their burst in seconds.
# The rest is more than callers' requests and answers need, which must not queue behind
# chunks.
UPLOAD_SHARE = 0.75
UPLOAD_BURST_S = 0.05
BYTES_PER_MEGABIT = 125_000.0


class TokenBucket:
    """Limits bytes to a rate; rate 0 is unlimited.

    Capacity left unused in the last ``burst_s`` seconds may be taken at once.
    ``_free_at`` is the monotonic time in seconds at which all bytes taken so far have
    been sent at the limited rate.
    """

    __slots__ = ("_burst_s", "_free_at", "rate_bytes_s")

    def __init__(self, rate_bytes_s: float, burst_s: float = BURST_S) -> None:
        self.rate_bytes_s = rate_bytes_s
        self._burst_s = burst_s
        self._free_at = 0.0

    async def take(self, amount: int) -> None:
        """Take ``amount`` bytes and wait until the rate allows them."""
        if not self.rate_bytes_s:
            return
        now = time.monotonic()
        start = max(self._free_at, now - self._burst_s)
        self._free_at = start + amount / self.rate_bytes_s
        if self._free_at > now:
            await curio.sleep(self._free_at - now)


def build_upload_bucket(link_mbps: float) -> TokenBucket:
    """Return the bucket for chunk uploads on a link in Mbit/s; 0 is unlimited."""
    return TokenBucket(link_mbps * UPLOAD_SHARE * BYTES_PER_MEGABIT, UPLOAD_BURST_S)
