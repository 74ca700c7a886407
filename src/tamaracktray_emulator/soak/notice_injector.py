"""Makes endpoints announce in their answers that they leave or want a pause."""

import time

import curio

from tamaracktray_emulator.soak.endpoints import SoakEngine, SoakWorker
from tamaracktray_emulator.soak.fleet import SoakFleet, build_random
from tamaracktray_emulator.soak.notice_checks import NoticeChecker

# Mean time between two faults, duration of a fault and length of the requested pause,
# in seconds. The maximum duration leaves time to check a leaving notice, which takes
# effect some seconds after it was sent.
MEAN_INTERVAL_S = 1.0
MIN_FAULT_S = 1.0
MAX_FAULT_S = 5.0
MIN_PAUSE_S = 0.2
MAX_PAUSE_S = 3.0

MS_PER_S = 1_000.0


class NoticeInjector:
    """Makes endpoints send leaving and pause notices, one at a time.

    It has its own random generator, so that it does not alter the other faults of a
    seed.
    """

    def __init__(self, fleet: SoakFleet, notice_checker: NoticeChecker) -> None:
        self._fleet = fleet
        self._notice_checker = notice_checker
        self._random = build_random(fleet.plan, "notices")

    async def run(self) -> None:
        """Inject notices until cancelled, then restore the endpoint."""
        while True:
            await curio.sleep(self._random.expovariate(1 / MEAN_INTERVAL_S))
            endpoint = self._random.choice(self._fleet.endpoints)
            duration_s = self._random.uniform(MIN_FAULT_S, MAX_FAULT_S)
            try:
                if self._random.random() < 0.5:
                    endpoint.is_leaving = True
                else:
                    endpoint.pause = self._draw_pause()
                    endpoint.is_pause_marked = self._random.random() < 0.7
                await curio.sleep(duration_s)
            finally:
                self.end_notice(endpoint)

    def end_notice(self, endpoint: SoakWorker | SoakEngine) -> None:
        """End the notices of an endpoint; one that said it leaves starts again.

        It stays listed as draining if an operation has listed it so meanwhile.
        """
        endpoint.pause = ""
        if not endpoint.is_leaving:
            return
        endpoint.is_leaving = False
        endpoint.start_time_ms = int(time.time() * MS_PER_S)
        self._notice_checker.note_restart(endpoint.id, self._fleet.now)
        is_draining = self._fleet.find_listed_state(endpoint.id) == "draining"
        state = "draining" if is_draining else "ready"
        self._fleet.list_endpoint(endpoint, state=state)

    def _draw_pause(self) -> str:
        return f"{self._random.uniform(MIN_PAUSE_S, MAX_PAUSE_S):.2f}"
