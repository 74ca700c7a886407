"""Test harness for a prompt part that crashes the engines which answer it.

Times are scaled down from those of the platform, which drops an engine from its list
after three missed heartbeats.
"""

import itertools
import time

import curio

from crashes import BOUNDS, CONTACT_S
from platforms import PlatformFleet, run_fleet
from tamaracktray.http_messages import Request
from tamaracktray_emulator.platform.worker import (
    CrashMode,
    CrashPoint,
    EngineStandIn,
)

FATAL_PART = "dead01"
FIRST_PART = "5c1e07a2"
RESTART_S = 2.0
EVENT_PAUSE_S = 0.5

# Crashes after which the platform counts further requests, and how many it allows.
CRASHES_TO_CONTAINMENT = 5
ALLOWED_REQUESTS = 3


def build_prompt(*parts: str) -> list[tuple[str, str]]:
    """Return the header that lists the parts of a prompt."""
    value = ",".join(f"{part}:40" for part in parts)
    return [("x-tamaracktray-prefix-hash", value)]


class PartCrashHarness:
    """A fleet whose engines crash on fatal prompt parts and restart.

    ``reached_at_by_part`` are the times at which requests with a fatal part reached an
    engine and ``crashed_at_by_part`` those of the crashes. ``sound`` holds the arrival
    and the status of each sound request.
    """

    def __init__(
        self,
        fleet: PlatformFleet,
        crash_point: CrashPoint = CrashPoint.BEFORE_HEAD,
        crash_mode: CrashMode = CrashMode.RESET,
        fatal_parts: tuple[str, ...] = (FATAL_PART,),
    ) -> None:
        self.fleet = fleet
        self.crash_point = crash_point
        self.crash_mode = crash_mode
        self.fatal_parts = fatal_parts
        self.reached_at_by_part: dict[str, list[float]] = {}
        self.crashed_at_by_part: dict[str, list[float]] = {}
        self.sound: list[tuple[float, int]] = []
        self._last_part_by_engine: dict[str, str] = {}
        self._numbers = itertools.count(1)
        self._tasks: list[curio.Task] = []

    async def start(self, *, entries: int, engines: int) -> None:
        """Start entries and engines and wait until every entry knows all engines."""
        await self.fleet.start(entries=entries)
        for number in range(engines):
            engine = await self.fleet.add_engine(f"e-{number}")
            engine.fatal_parts = frozenset(self.fatal_parts)
            engine.crash_point = self.crash_point
            engine.crash_mode = self.crash_mode
            engine.pause_after, engine.pause_s = 3, EVENT_PAUSE_S
            self._observe(engine)
            self._tasks.append(await curio.spawn(self._restart, engine, daemon=True))
        await self.fleet.until(
            lambda: all(
                len(entry.state.roster.records_by_id) == engines
                for entry in self.fleet.entries
            )
        )

    def _observe(self, engine: EngineStandIn) -> None:
        def note_arrival(request: Request) -> None:
            header = request.headers.get("x-tamaracktray-prefix-hash", "")
            for part in self.fatal_parts:
                if part in header:
                    times = self.reached_at_by_part.setdefault(part, [])
                    times.append(time.monotonic())
                    self._last_part_by_engine[engine.id] = part

        engine.note_arrival = note_arrival

    async def _restart(self, engine: EngineStandIn) -> None:
        while True:
            while not engine.crashed_at:
                await curio.sleep(0.01)
            part = self._last_part_by_engine[engine.id]
            times = self.crashed_at_by_part.setdefault(part, [])
            times.append(engine.crashed_at)
            if engine.crash_mode is CrashMode.RESET:
                await self.fleet.close(engine)
            await curio.sleep(RESTART_S)
            if engine.crash_mode is CrashMode.RESET:
                await self.fleet.open(engine)
            engine.restart()
            engine.version = 1
            self.fleet.list_worker(engine)

    async def send(self, *parts: str, entry: int = 0) -> int:
        """Send a request with a prompt and return the status, 0 if it was cut."""
        number = next(self._numbers)
        try:
            reply = await self.fleet.call(
                "/talk/1",
                f"request-{number}",
                entry=entry,
                body=f"order {number}".encode(),
                headers=build_prompt(*parts, f"own{number}"),
            )
        except AssertionError:
            return 0
        return reply.status

    async def _send_sound(self, entry: int) -> None:
        arrived = time.monotonic()
        status = await self.send(FIRST_PART, "91bd3f06", entry=entry)
        self.sound.append((arrived, status))

    async def send_series(
        self,
        *,
        duration_s: float,
        gap_s: float,
        fatal_parts: tuple[str, ...] | None = None,
        sound_per_fatal: int = 3,
    ) -> None:
        """Send fatal requests to each entry in turn, and sound ones beside them."""
        parts = self.fatal_parts if fatal_parts is None else fatal_parts
        entries = len(self.fleet.entries)
        deadline = time.monotonic() + duration_s
        for number in itertools.count():
            if time.monotonic() >= deadline:
                return
            if parts:
                part = parts[number % len(parts)]
                await self._spawn_fatal(number % entries, part)
            for index in range(sound_per_fatal):
                entry = (number + index) % entries
                self._tasks.append(
                    await curio.spawn(self._send_sound, entry, daemon=True)
                )
            await curio.sleep(gap_s)

    async def _spawn_fatal(self, entry: int, part: str) -> None:
        async def send() -> None:
            await self.send(FIRST_PART, "91bd3f06", part, entry=entry)

        self._tasks.append(await curio.spawn(send, daemon=True))

    def count_uncontained(self, part: str = FATAL_PART) -> int:
        """Return how many requests with a part reached engines too late."""
        crashes = sorted(self.crashed_at_by_part.get(part, []))
        if len(crashes) < CRASHES_TO_CONTAINMENT:
            return 0
        contained_at = crashes[CRASHES_TO_CONTAINMENT - 1] + CONTACT_S
        times = self.reached_at_by_part.get(part, [])
        return sum(reached > contained_at for reached in times)

    def measure_sound_share(self, since: float) -> float:
        """Return the share of sound requests since a time that were answered."""
        statuses = [status for arrived, status in self.sound if arrived >= since]
        assert len(statuses) >= 20, "too few sound requests to judge"
        return sum(status == 200 for status in statuses) / len(statuses)

    async def close(self) -> None:
        """Cancel all background tasks."""
        for task in self._tasks:
            await task.cancel(blocking=False)


def run_scenario(
    scenario,
    *,
    entries: int,
    engines: int,
    crash_point: CrashPoint = CrashPoint.BEFORE_HEAD,
    crash_mode: CrashMode = CrashMode.RESET,
    fatal_parts: tuple[str, ...] = (FATAL_PART,),
) -> None:
    """Run a scenario with a fleet whose engines crash on fatal parts."""

    async def main(fleet: PlatformFleet) -> None:
        harness = PartCrashHarness(fleet, crash_point, crash_mode, fatal_parts)
        try:
            await harness.start(entries=entries, engines=engines)
            await scenario(harness)
        finally:
            await harness.close()

    run_fleet(main, **BOUNDS)
