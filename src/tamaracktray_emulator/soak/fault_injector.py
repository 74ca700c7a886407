"""Random fault injection; the seed of a soak determines its faults."""

import signal
from collections.abc import Awaitable, Callable
from random import Random

import curio

from tamaracktray.types import Role
from tamaracktray_emulator.platform.store import Outage
from tamaracktray_emulator.platform.worker import EVENTS, Mode
from tamaracktray_emulator.soak.fault_log import FaultLog
from tamaracktray_emulator.soak.fleet import Daemon, SoakFleet, build_random
from tamaracktray_emulator.soak.proxy import FaultProxy, ProxyFault

# Maximum number of faults in a series, and the pause between two in seconds.
MAX_SERIES_LENGTH = 6
MIN_PAUSE_S = 0.1
MEAN_PAUSE_S = 0.5

# Rest after a series, in seconds. Checking a promise with a time bound takes up to 8 s
# without faults.
MIN_REST_S = 2.0
MAX_REST_S = 11.0

# Duration of a fault, in seconds.
MIN_FAULT_S = 0.2
MAX_FAULT_S = 3.0

RESTART_DELAY_S = 0.3


class FaultInjector:
    """Injects faults and ends each of them after a random time."""

    def __init__(self, fleet: SoakFleet, fault_log: FaultLog) -> None:
        self._fleet = fleet
        self._fault_log = fault_log
        self._random = build_random(fleet.plan, "faults")
        self._faulty_subjects: set[str] = set()
        self._injections: list[Callable[[], Awaitable[None]]] = [
            self._pause,
            self._kill,
            self._kill_many,
            self._disturb_store_path,
            self._disturb_caller_path,
            self._disturb_worker_path,
            self._fail_store,
            self._slow_store,
            self._lose_store_answers,
            self._compact_store,
            self._fail_endpoint,
            self._restart_engine,
            self._corrupt_origin,
        ]

    async def run(self) -> None:
        """Inject series of overlapping faults until cancelled.

        Promises with a time bound are checked during the rest between two series.
        """
        async with curio.TaskGroup() as group:
            while True:
                for _ in range(self._random.randrange(1, MAX_SERIES_LENGTH + 1)):
                    pause_s = self._random.expovariate(1 / MEAN_PAUSE_S)
                    await curio.sleep(MIN_PAUSE_S + pause_s)
                    await group.spawn(self._random.choice(self._injections))
                await curio.sleep(self._random.uniform(MIN_REST_S, MAX_REST_S))

    def _draw_duration(self) -> float:
        return self._random.uniform(MIN_FAULT_S, MAX_FAULT_S)

    def _choose_daemon(self, role: Role | None = None) -> Daemon | None:
        """Return a random process without a fault, or ``None`` if all have one."""
        free = [
            daemon
            for daemon in self._fleet.daemons
            if daemon.name not in self._faulty_subjects and role in (None, daemon.role)
        ]
        return self._random.choice(free) if free else None

    async def _inject(
        self,
        name: str,
        subject: str,
        begin: Callable[[], None],
        end: Callable[[], None],
    ) -> None:
        """Inject a fault for a random time, unless the subject already has one."""
        if subject in self._faulty_subjects:
            return
        self._faulty_subjects.add(subject)
        period = self._fault_log.begin(f"{name} {subject}", self._fleet.now)
        try:
            begin()
            await curio.sleep(self._draw_duration())
        finally:
            end()
            period.end = self._fleet.now
            self._faulty_subjects.discard(subject)

    async def _pause(self) -> None:
        daemon = self._choose_daemon()
        if daemon is None:
            return
        await self._inject(
            "pause",
            daemon.name,
            lambda: self._fleet.send_signal(daemon, signal.SIGSTOP),
            lambda: self._fleet.send_signal(daemon, signal.SIGCONT),
        )

    async def _kill(self) -> None:
        daemon = self._choose_daemon()
        if daemon is not None:
            await self._kill_one(daemon)

    async def kill_entry(self, random: Random) -> str:
        """Kill and restart one entry, chosen by ``random``, and return its name."""
        daemon = random.choice(self._fleet.list_role(Role.ENTRY))
        await self._kill_one(daemon)
        return daemon.name

    async def _kill_many(self) -> None:
        async with curio.TaskGroup() as group:
            for daemon in list(self._fleet.daemons):
                if self._random.random() < 0.5:
                    await group.spawn(self._kill_one, daemon)

    async def _kill_one(self, daemon: Daemon) -> None:
        if daemon.name in self._faulty_subjects:
            return
        self._faulty_subjects.add(daemon.name)
        period = self._fault_log.begin(f"kill {daemon.name}", self._fleet.now)
        daemon.is_stop_expected = True
        self._fleet.send_signal(daemon, signal.SIGKILL)
        await self._fleet.wait_ended(daemon, 2.0)
        await curio.sleep(RESTART_DELAY_S)
        self._fleet.launch(daemon)
        period.end = self._fleet.now + 1.0
        self._faulty_subjects.discard(daemon.name)

    async def _disturb_proxy(self, name: str, subject: str, proxy: FaultProxy) -> None:
        fault = self._random.choice(
            [fault for fault in ProxyFault if fault is not ProxyFault.NONE]
        )
        proxy.delay_s = self._random.uniform(0.01, 0.3)

        def begin() -> None:
            proxy.fault = fault

        def end() -> None:
            proxy.fault = ProxyFault.NONE

        if fault is ProxyFault.RESET:
            await proxy.reset_all()
        await self._inject(f"{fault.value} {name}", subject, begin, end)
        # A blocked connection stays open and does not recover by itself.
        await proxy.reset_all()

    async def _disturb_store_path(self) -> None:
        daemon = self._random.choice(self._fleet.daemons)
        subject = f"store path of {daemon.name}"
        await self._disturb_proxy("path", subject, daemon.store)

    async def _disturb_caller_path(self) -> None:
        name = self._random.choice(sorted(self._fleet.entry_proxies))
        proxy = self._fleet.entry_proxies[name]
        await self._disturb_proxy("path", f"callers of {name}", proxy)

    async def _disturb_worker_path(self) -> None:
        name = self._random.choice(sorted(self._fleet.proxy_by_endpoint))
        proxy = self._fleet.proxy_by_endpoint[name]
        await self._disturb_proxy("path", f"path to {name}", proxy)

    async def _fail_store(self) -> None:
        outage = self._random.choice([item for item in Outage if item.value != "none"])
        faults = self._fleet.store.faults
        await self._inject(
            outage.value,
            "store",
            lambda: setattr(faults, "outage", outage),
            lambda: setattr(faults, "outage", Outage.NONE),
        )

    async def _slow_store(self) -> None:
        faults = self._fleet.store.faults
        delay_s = self._random.uniform(0.05, 0.6)
        await self._inject(
            "slow",
            "store",
            lambda: setattr(faults, "delay_s", delay_s),
            lambda: setattr(faults, "delay_s", 0.0),
        )

    async def _lose_store_answers(self) -> None:
        faults = self._fleet.store.faults
        await self._inject(
            "lost answers",
            "store writes",
            lambda: setattr(faults, "lost_answers", 3),
            lambda: setattr(faults, "lost_answers", 0),
        )

    async def _compact_store(self) -> None:
        faults = self._fleet.store.faults

        def end() -> None:
            faults.hides_changes = False
            self._fleet.store.compact()

        await self._inject(
            "deaf", "store", lambda: setattr(faults, "hides_changes", True), end
        )

    async def _fail_endpoint(self) -> None:
        endpoint = self._random.choice(self._fleet.endpoints)
        mode = self._random.choice(
            [
                Mode.FULL,
                Mode.FAILING,
                Mode.HANGING,
                Mode.CUTTING,
                Mode.WRONG_ID,
                Mode.UNSIGNED,
            ]
        )

        def begin() -> None:
            endpoint.mode = mode
            endpoint.cut_after = self._random.randrange(EVENTS)

        def end() -> None:
            endpoint.mode = Mode.GOOD

        await self._inject(mode.value, endpoint.id, begin, end)

    async def _restart_engine(self) -> None:
        engines = [item for item in self._fleet.endpoints if hasattr(item, "staged")]
        engine = self._random.choice(engines)

        def begin() -> None:
            self._fleet.restart_engine(engine)

        await self._inject("restart", engine.id, begin, lambda: None)

    async def _corrupt_origin(self) -> None:
        origin = self._fleet.origin
        origin.corrupted = set(range(self._random.randrange(1, 12)))
        origin.is_manifest_corrupted = self._random.random() < 0.5
        await self._inject(
            "down",
            "origin",
            lambda: setattr(origin, "is_down", True),
            lambda: setattr(origin, "is_down", False),
        )
