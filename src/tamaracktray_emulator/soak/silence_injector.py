"""Lets sound endpoints fall silent for about a second and go on."""

import time

import curio

from tamaracktray_emulator.soak.endpoints import SoakEngine, SoakWorker
from tamaracktray_emulator.soak.fleet import SoakFleet, build_random

# Duration of a silence and the time between two, in seconds.
MIN_SILENCE_S = 0.7
MAX_SILENCE_S = 1.4
MIN_GAP_S = 0.7
MAX_GAP_S = 1.0

# Time of an event, in seconds, so that silences begin amid streams.
EVENT_S = 0.08


class SilenceInjector:
    """Lets each endpoint fall silent again and again; silences of several overlap.

    A silent endpoint is sound: it loses nothing and sends its data later. So silences
    are no faults of the log and suspend no promise.
    """

    def __init__(self, fleet: SoakFleet) -> None:
        self._fleet = fleet
        self._random = build_random(fleet.plan, "silences")

    async def run(self) -> None:
        """Silence the endpoints until cancelled."""
        async with curio.TaskGroup() as group:
            for endpoint in self._fleet.endpoints:
                if isinstance(endpoint, SoakEngine):
                    endpoint.event_s = EVENT_S
                await group.spawn(self._silence, endpoint)

    async def _silence(self, endpoint: SoakWorker | SoakEngine) -> None:
        while True:
            await curio.sleep(self._random.uniform(MIN_GAP_S, MAX_GAP_S))
            duration_s = self._random.uniform(MIN_SILENCE_S, MAX_SILENCE_S)
            endpoint.silent_until = time.monotonic() + duration_s
            await curio.sleep(duration_s)
