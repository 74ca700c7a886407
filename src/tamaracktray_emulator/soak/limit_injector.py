"""Makes endpoints name a limit on the rate of their requests for some time."""

import time

import curio

from tamaracktray_emulator.soak.endpoints import SoakEngine, SoakWorker
from tamaracktray_emulator.soak.fault_log import FaultLog
from tamaracktray_emulator.soak.fleet import SoakFleet, build_random
from tamaracktray_emulator.soak.record import SoakRecord

MEAN_INTERVAL_S = 3.0
MIN_RATE_PER_S = 0.5
MAX_RATE_PER_S = 8.0

# Duration of a limit, in seconds. It is checked from ``CONTACT_S`` after its start.
MIN_LIMIT_S = 1.0
MAX_LIMIT_S = 9.0
CONTACT_S = 3.0

# The most requests within ``WINDOW_S`` seconds: a multiple of the limit, and more.
WINDOW_S = 4.0
ALLOWED_MULTIPLE = 1.5
ALLOWED_EXTRA = 5


class LimitInjector:
    """Limits one endpoint at a time.

    It has its own random generator, so that it does not alter the other faults of a
    seed.
    """

    def __init__(
        self, fleet: SoakFleet, fault_log: FaultLog, record: SoakRecord
    ) -> None:
        self._fleet = fleet
        self._fault_log = fault_log
        self._record = record
        self._random = build_random(fleet.plan, "limits")

    async def run(self) -> None:
        """Limit endpoints until cancelled."""
        while True:
            await curio.sleep(self._random.expovariate(1 / MEAN_INTERVAL_S))
            endpoint = self._random.choice(self._fleet.endpoints)
            rate_per_s = self._random.uniform(MIN_RATE_PER_S, MAX_RATE_PER_S)
            started = self._fleet.now
            named_at = time.monotonic()
            endpoint.limit = f"{rate_per_s:.2f}"
            try:
                duration_s = self._random.uniform(MIN_LIMIT_S, MAX_LIMIT_S)
                await curio.sleep(duration_s)
            finally:
                endpoint.limit = ""
            if duration_s >= CONTACT_S:
                self._check(endpoint, rate_per_s, started, named_at)

    def _check(
        self,
        endpoint: SoakWorker | SoakEngine,
        rate_per_s: float,
        started: float,
        named_at: float,
    ) -> None:
        """Check the arrivals of the last window, unless there was a fault.

        Requests that arrived before the limit was named are not bound by it.
        """
        now = self._fleet.now
        if not self._fault_log.is_fault_free(started - CONTACT_S, now):
            return
        window_start = max(time.monotonic() - WINDOW_S, named_at)
        arrivals = sum(arrival > window_start for arrival in endpoint.arrived_at)
        allowed = ALLOWED_MULTIPLE * rate_per_s * WINDOW_S + ALLOWED_EXTRA
        detail = f"{endpoint.id}: {arrivals} at {rate_per_s:.2f} a second"
        self._record.check("limit kept", arrivals <= allowed, now, detail)
