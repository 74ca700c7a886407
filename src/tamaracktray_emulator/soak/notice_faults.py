"""Endpoints that leave or pause by their own answers, one after another."""

import time

import curio

from tamaracktray_emulator.soak.fleet import SoakFleet, build_random
from tamaracktray_emulator.soak.notices import NoticeCheck

# Time between two such faults, time of one and pause asked for, in seconds. Leaving is
# checked some seconds after it was told.
MEAN_GAP_S = 1.0
SHORTEST_S = 1.0
LONGEST_S = 5.0
SHORTEST_PAUSE_S = 0.2
LONGEST_PAUSE_S = 3.0

MS_PER_S = 1_000.0


class NoticePlayer:
    """Lets endpoints leave and pause by their own answers, one after another.

    Its chance is its own, so that the other faults of a seed stay as they are.
    """

    def __init__(self, fleet: SoakFleet, check: NoticeCheck) -> None:
        self._fleet = fleet
        self._check = check
        self._random = build_random(fleet.plan, "notices")

    async def run(self) -> None:
        """Play until cancelled, and leave endpoints as they were."""
        while True:
            await curio.sleep(self._random.expovariate(1 / MEAN_GAP_S))
            endpoint = self._random.choice(self._fleet.endpoints)
            time_s = self._random.uniform(SHORTEST_S, LONGEST_S)
            try:
                if self._random.random() < 0.5:
                    endpoint.is_leaving = True
                else:
                    endpoint.pause = self._draw_pause()
                    endpoint.is_pause_marked = self._random.random() < 0.7
                await curio.sleep(time_s)
            finally:
                endpoint.pause = ""
                if endpoint.is_leaving:
                    endpoint.is_leaving = False
                    endpoint.born = int(time.time() * MS_PER_S)
                    self._check.note_new_life(endpoint.id, self._fleet.now)
                    self._fleet.list_endpoint(endpoint)

    def _draw_pause(self) -> str:
        return f"{self._random.uniform(SHORTEST_PAUSE_S, LONGEST_PAUSE_S):.2f}"
