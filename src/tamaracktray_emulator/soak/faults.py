"""The faults of a soak: drawn by chance from its seed, in series that overlap."""

import signal
from collections.abc import Awaitable, Callable

import curio

from tamaracktray.types import Role
from tamaracktray_emulator.platform.store import Outage
from tamaracktray_emulator.platform.worker import EVENTS, Mode
from tamaracktray_emulator.soak.calm import CalmLog
from tamaracktray_emulator.soak.fleet import Daemon, SoakFleet, build_random
from tamaracktray_emulator.soak.proxy import Harm, HarmfulProxy

# Faults of a series, and the pause between two of them in seconds.
LONGEST_SERIES = 6
LEAST_PAUSE_S = 0.1
MEAN_PAUSE_S = 0.5

# Rest after a series, in seconds: promises with a bound need up to 8 s of calm.
SHORTEST_REST_S = 2.0
LONGEST_REST_S = 11.0

# Time that a fault lasts, in seconds.
SHORTEST_S = 0.2
LONGEST_S = 3.0

RESTART_DELAY_S = 0.3


class FaultPlayer:
    """Injects faults until it is cancelled, and heals them."""

    def __init__(self, fleet: SoakFleet, calm: CalmLog) -> None:
        self._fleet = fleet
        self._calm = calm
        self._random = build_random(fleet.plan, "faults")
        self._busy: set[str] = set()
        self._kinds: list[Callable[[], Awaitable[None]]] = [
            self._pause,
            self._kill,
            self._kill_many,
            self._harm_store_path,
            self._harm_callers,
            self._harm_worker_path,
            self._fail_store,
            self._slow_store,
            self._lose_store_answers,
            self._compact_store,
            self._harm_endpoint,
            self._restart_engine,
            self._spoil_origin,
        ]

    async def run(self) -> None:
        """Begin one fault after another in series; they may overlap.

        Between two series there is rest, in which promises with a bound are checked.
        """
        async with curio.TaskGroup() as group:
            while True:
                for _ in range(self._random.randrange(1, LONGEST_SERIES + 1)):
                    pause_s = self._random.expovariate(1 / MEAN_PAUSE_S)
                    await curio.sleep(LEAST_PAUSE_S + pause_s)
                    await group.spawn(self._random.choice(self._kinds))
                await curio.sleep(self._random.uniform(SHORTEST_REST_S, LONGEST_REST_S))

    def _draw_time(self) -> float:
        return self._random.uniform(SHORTEST_S, LONGEST_S)

    def _choose_daemon(self, role: Role | None = None) -> Daemon | None:
        """Return a process that no other fault has, ``None`` if there is none."""
        free = [
            daemon
            for daemon in self._fleet.daemons
            if daemon.name not in self._busy and role in (None, daemon.role)
        ]
        return self._random.choice(free) if free else None

    async def _play(
        self,
        name: str,
        subject: str,
        begin: Callable[[], None],
        end: Callable[[], None],
    ) -> None:
        """Harm one subject for a while, unless another fault has it."""
        if subject in self._busy:
            return
        self._busy.add(subject)
        unrest = self._calm.begin(f"{name} {subject}", self._fleet.now)
        try:
            begin()
            await curio.sleep(self._draw_time())
        finally:
            end()
            unrest.end = self._fleet.now
            self._busy.discard(subject)

    async def _pause(self) -> None:
        daemon = self._choose_daemon()
        if daemon is None:
            return
        await self._play(
            "pause",
            daemon.name,
            lambda: self._fleet.send_signal(daemon, signal.SIGSTOP),
            lambda: self._fleet.send_signal(daemon, signal.SIGCONT),
        )

    async def _kill(self) -> None:
        daemon = self._choose_daemon()
        if daemon is not None:
            await self._kill_one(daemon)

    async def _kill_many(self) -> None:
        async with curio.TaskGroup() as group:
            for daemon in list(self._fleet.daemons):
                if self._random.random() < 0.5:
                    await group.spawn(self._kill_one, daemon)

    async def _kill_one(self, daemon: Daemon) -> None:
        if daemon.name in self._busy:
            return
        self._busy.add(daemon.name)
        unrest = self._calm.begin(f"kill {daemon.name}", self._fleet.now)
        daemon.expected_end = True
        self._fleet.send_signal(daemon, signal.SIGKILL)
        await self._fleet.wait_ended(daemon, 2.0)
        await curio.sleep(RESTART_DELAY_S)
        self._fleet.launch(daemon)
        unrest.end = self._fleet.now + 1.0
        self._busy.discard(daemon.name)

    async def _harm_proxy(self, name: str, subject: str, proxy: HarmfulProxy) -> None:
        harm = self._random.choice([harm for harm in Harm if harm is not Harm.NONE])
        proxy.delay_s = self._random.uniform(0.01, 0.3)

        def begin() -> None:
            proxy.harm = harm

        def end() -> None:
            proxy.harm = Harm.NONE

        if harm is Harm.RESET:
            await proxy.reset_all()
        await self._play(f"{harm.value} {name}", subject, begin, end)
        # A connection that was silent stays open and would never recover by itself.
        await proxy.reset_all()

    async def _harm_store_path(self) -> None:
        daemon = self._random.choice(self._fleet.daemons)
        subject = f"store path of {daemon.name}"
        await self._harm_proxy("path", subject, daemon.store)

    async def _harm_callers(self) -> None:
        name = self._random.choice(sorted(self._fleet.entry_proxies))
        proxy = self._fleet.entry_proxies[name]
        await self._harm_proxy("path", f"callers of {name}", proxy)

    async def _harm_worker_path(self) -> None:
        name = self._random.choice(sorted(self._fleet.proxy_by_endpoint))
        proxy = self._fleet.proxy_by_endpoint[name]
        await self._harm_proxy("path", f"path to {name}", proxy)

    async def _fail_store(self) -> None:
        outage = self._random.choice([item for item in Outage if item.value != "none"])
        faults = self._fleet.store.faults
        await self._play(
            outage.value,
            "store",
            lambda: setattr(faults, "outage", outage),
            lambda: setattr(faults, "outage", Outage.NONE),
        )

    async def _slow_store(self) -> None:
        faults = self._fleet.store.faults
        delay_s = self._random.uniform(0.05, 0.6)
        await self._play(
            "slow",
            "store",
            lambda: setattr(faults, "delay_s", delay_s),
            lambda: setattr(faults, "delay_s", 0.0),
        )

    async def _lose_store_answers(self) -> None:
        faults = self._fleet.store.faults
        await self._play(
            "lost answers",
            "store writes",
            lambda: setattr(faults, "lost_answers", 3),
            lambda: setattr(faults, "lost_answers", 0),
        )

    async def _compact_store(self) -> None:
        faults = self._fleet.store.faults

        def end() -> None:
            faults.is_deaf = False
            self._fleet.store.compact()

        await self._play("deaf", "store", lambda: setattr(faults, "is_deaf", True), end)

    async def _harm_endpoint(self) -> None:
        endpoint = self._random.choice(self._fleet.endpoints)
        mode = self._random.choice(
            [
                Mode.FULL,
                Mode.FAILING,
                Mode.HANGING,
                Mode.CUTTING,
                Mode.CROSSED,
                Mode.UNSIGNED,
            ]
        )

        def begin() -> None:
            endpoint.mode = mode
            endpoint.cut_after = self._random.randrange(EVENTS)

        def end() -> None:
            endpoint.mode = Mode.GOOD

        await self._play(mode.value, endpoint.id, begin, end)

    async def _restart_engine(self) -> None:
        engines = [item for item in self._fleet.endpoints if hasattr(item, "staged")]
        engine = self._random.choice(engines)

        def begin() -> None:
            engine.restart()
            self._fleet.list_endpoint(engine)

        await self._play("restart", engine.id, begin, lambda: None)

    async def _spoil_origin(self) -> None:
        origin = self._fleet.origin
        origin.spoilt = set(range(self._random.randrange(1, 12)))
        origin.is_manifest_spoilt = self._random.random() < 0.5
        await self._play(
            "down",
            "origin",
            lambda: setattr(origin, "is_down", True),
            lambda: setattr(origin, "is_down", False),
        )
