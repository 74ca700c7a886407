"""Sends more streams of several priorities than the engines can take."""

import time

import curio

from tamaracktray_emulator.platform.worker import EVENTS, Mode
from tamaracktray_emulator.soak.callers import Callers
from tamaracktray_emulator.soak.endpoints import SoakEngine
from tamaracktray_emulator.soak.fleet import (
    OVERLOAD_EVENT_S,
    RANKED_ROUTES,
    REGION_BY_ZONE,
    SoakFleet,
    build_random,
)
from tamaracktray_emulator.soak.overload_checks import OverloadChecker, OverloadPeriod
from tamaracktray_emulator.soak.record import CallKind

# Time before and after an overload, and its duration, in seconds.
MIN_GAP_S = 1.0
MAX_GAP_S = 4.0
MIN_OVERLOAD_S = 3.0
MAX_OVERLOAD_S = 6.0

# Streams that are sent, relative to those that the engines can take. The usual streams,
# about a third of what the engines can take, come on top.
MIN_LOAD = 2.0
MAX_LOAD = 3.0

# Time after an overload by which its last answers have ended, in seconds.
SETTLE_S = 1.0

# Interval between looks at the engines, in seconds.
WATCH_INTERVAL_S = 0.05


class OverloadInjector:
    """Overloads the engines for some seconds at a time.

    An overload is no fault of the log and suspends no promise. The injector has its own
    random generator, so that it does not alter the other faults of a seed.
    """

    def __init__(
        self, fleet: SoakFleet, callers: Callers, checker: OverloadChecker
    ) -> None:
        self._fleet = fleet
        self._callers = callers
        self._checker = checker
        self._random = build_random(fleet.plan, "overloads")
        self._engines = [
            endpoint for endpoint in fleet.endpoints if isinstance(endpoint, SoakEngine)
        ]
        stream_s = EVENTS * OVERLOAD_EVENT_S
        self._capacity_per_s = len(self._engines) * fleet.engine_slots / stream_s

    async def run(self) -> None:
        """Overload the engines again and again until cancelled."""
        async with curio.TaskGroup() as group:
            while True:
                await curio.sleep(self._random.uniform(MIN_GAP_S, MAX_GAP_S))
                await self._overload(group)

    async def _overload(self, group: curio.TaskGroup) -> None:
        rate_per_s = self._capacity_per_s * self._random.uniform(MIN_LOAD, MAX_LOAD)
        duration_s = self._random.uniform(MIN_OVERLOAD_S, MAX_OVERLOAD_S)
        entries = sorted(self._fleet.entry_proxies)
        period = OverloadPeriod(self._fleet.now)
        watch = await curio.spawn(self._watch_engines, period, daemon=True)
        next_at = time.monotonic()
        end = next_at + duration_s
        while next_at < end:
            # Deadlines keep the rate if the soak itself is held up.
            await curio.sleep(max(next_at - time.monotonic(), 0.0))
            route = self._random.choice(RANKED_ROUTES)
            entry = self._random.choice(entries)
            await group.spawn(self._send, entry, route)
            next_at += self._random.expovariate(rate_per_s)
        period.end = self._fleet.now
        await watch.cancel()
        await curio.sleep(SETTLE_S)
        self._checker.check_period(period)

    async def _send(self, entry: str, route: str) -> None:
        call = self._callers.build_own_call(entry, CallKind.STREAM, f"/{route}/")
        address = self._fleet.entry_proxies[entry].address
        await self._callers.send_on_new_connection(call, address)

    async def _watch_engines(self, period: OverloadPeriod) -> None:
        while True:
            period.is_disturbed |= self._is_disturbed()
            await curio.sleep(WATCH_INTERVAL_S)

    def _is_disturbed(self) -> bool:
        """Return whether no engine that one of the routes may reach is sound.

        Evacuations, home regions, notices, limits and crashes are not in the fault log.
        """
        fleet = self._fleet
        sound_regions = {
            REGION_BY_ZONE[engine.zone]
            for engine in self._engines
            if ("evacuations", engine.zone) not in fleet.store.objects
            and _is_sound(engine)
        }
        for route in RANKED_ROUTES:
            homes = fleet.team_regions or fleet.regions_by_route.get(route, ())
            if sound_regions.isdisjoint(homes or sound_regions):
                return True
        return False


def _is_sound(engine: SoakEngine) -> bool:
    if engine.crashed_at or engine.answer_fault is not None:
        return False
    has_notice = engine.is_leaving or engine.pause or engine.limit
    return engine.mode is Mode.GOOD and not has_notice
