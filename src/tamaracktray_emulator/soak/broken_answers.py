"""Lets endpoints answer without framing and break their answers off."""

import curio

from tamaracktray_emulator.soak.faulty_answers import AnswerFault
from tamaracktray_emulator.soak.fleet import SoakFleet, build_random

# Time for which endpoints keep a fault, and the pause between two, in seconds.
MIN_FAULT_S = 0.5
MAX_FAULT_S = 4.0
MEAN_PAUSE_S = 2.0


class BrokenAnswerInjector:
    """Gives endpoints random faults of their answers, with a generator of its own."""

    def __init__(self, fleet: SoakFleet) -> None:
        self._fleet = fleet
        self._random = build_random(fleet.plan, "broken answers")

    async def run(self) -> None:
        """Inject faults one after the other until cancelled, then end the last one."""
        endpoints = self._fleet.endpoints
        try:
            while True:
                await curio.sleep(self._random.expovariate(1 / MEAN_PAUSE_S))
                for endpoint in self._random.sample(endpoints, len(endpoints) // 2):
                    endpoint.answer_fault = self._random.choice(list(AnswerFault))
                await curio.sleep(self._random.uniform(MIN_FAULT_S, MAX_FAULT_S))
                self._end_faults()
        finally:
            self._end_faults()

    def _end_faults(self) -> None:
        for endpoint in self._fleet.endpoints:
            endpoint.answer_fault = None
