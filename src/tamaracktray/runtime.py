"""What every process does around its reducer: events, effects, tasks and signals."""

import random
import secrets
import signal
import socket as socket_module
import time
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from typing import Any

import curio
import structlog

from tamaracktray.effects import Effect, Exit
from tamaracktray.events import Event, ShutdownRequested
from tamaracktray.exceptions import InvariantError
from tamaracktray.http import HttpServer
from tamaracktray.metrics import Metrics
from tamaracktray.signals import take_reloads

MAX_EXIT_WAIT_S = 10.0
EXIT_BROKEN = 1
EXIT_SETTINGS = 2


class Runtime(ABC):
    """Runs one process around a reducer."""

    def __init__(self, metrics: Metrics) -> None:
        self.log = structlog.get_logger()
        self.metrics = metrics
        self.exit_code = 0
        self.is_halted = False
        self.random = random.Random(secrets.randbits(64))
        self._done = curio.Event()
        self._servers: list[HttpServer] = []
        self._loop_tasks: list[curio.Task] = []
        self._performers: dict[type[Effect], Callable[[Any], Awaitable[None]]] = {
            Exit: self._exit
        }

    @abstractmethod
    def reduce(self, event: Event) -> list[Effect]:
        """Take an event into the state and return its effects."""

    @abstractmethod
    def build_servers(self) -> list[HttpServer]:
        """Return the HTTP servers of the process."""

    @abstractmethod
    def list_loops(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the endless tasks of the process."""

    async def prepare(self) -> None:
        """Do what must be done before any task runs."""
        return

    async def reload(self) -> None:
        """Follow a changed settings file after SIGHUP."""
        return

    def close(self) -> None:
        """Release what the process holds when it ends."""
        return

    def add_performer(
        self, effect_type: type[Effect], perform: Callable[[Any], Awaitable[None]]
    ) -> None:
        """Register what carries out one type of effect."""
        self._performers[effect_type] = perform

    async def dispatch(self, event: Event) -> None:
        """Reduce an event and carry out its effects."""
        for effect in self.reduce(event):
            await self._performers[type(effect)](effect)

    async def spawn(self, function: Callable[..., Awaitable[None]], *args: Any) -> None:
        """Run a task in the background; a broken invariant stops the process."""
        if self.is_halted:
            return
        await curio.spawn(self._guard, function, *args, daemon=True)

    async def run(self) -> None:
        """Serve until a signal has asked the process to stop and it is idle."""
        await curio.spawn(self._run_loop, self._run_signals, daemon=True)
        await self.serve()

    async def serve(self) -> None:
        """Serve until the process has been asked to stop and is idle."""
        self._servers = self.build_servers()
        for server in self._servers:
            await server.open()
        await self.prepare()
        for loop in [*self.list_loops(), *(server.serve for server in self._servers)]:
            task = await curio.spawn(self._run_loop, loop, daemon=True)
            self._loop_tasks.append(task)
        self.log.info("started")
        await self._done.wait()
        await self.halt()
        self.log.info("stopped")
        self.close()

    async def halt(self) -> None:
        """Cancel what goes on in the background and start nothing new.

        The kernel accepts no new tasks while it shuts down.
        """
        self.is_halted = True
        for task in self._loop_tasks:
            await task.cancel(blocking=False)
        for server in self._servers:
            await server.close_connections()

    async def stop(self) -> None:
        """End the process now."""
        await self._done.set()

    async def _exit(self, effect: Exit) -> None:
        await self.stop()

    async def _run_loop(self, loop: Callable[[], Awaitable[None]]) -> None:
        """Run an endless task; the process cannot do without any of them."""
        try:
            await loop()
        except curio.CancelledError:
            raise
        except Exception:
            self.log.exception("loop failed")
            self.exit_code = EXIT_BROKEN
            await self.stop()

    async def _guard(
        self, function: Callable[..., Awaitable[None]], *args: Any
    ) -> None:
        try:
            await function(*args)
        except InvariantError:
            self.log.exception("invariant broken")
            self.exit_code = EXIT_BROKEN
            await self.stop()
        except curio.CancelledError:
            raise
        except Exception:
            self.metrics.count("task_failures")
            self.log.exception("task failed")

    async def _run_signals(self) -> None:
        """Turn SIGTERM and SIGINT into an event and SIGHUP into a reload."""
        receiver, sender = socket_module.socketpair()
        receiver.setblocking(False)
        sender.setblocking(False)
        signal.set_wakeup_fd(sender.fileno())
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, _ignore_signal)
        take_reloads()
        async with curio.io.Socket(receiver) as stream:
            while True:
                for number in await stream.recv(1):
                    await self._take_signal(number)

    async def _take_signal(self, number: int) -> None:
        if number == signal.SIGHUP:
            self.log.info("reloading")
            await self.reload()
            return
        self.log.info("leaving")
        await self.dispatch(ShutdownRequested(time.monotonic()))


def _ignore_signal(number: int, frame: object) -> None:
    """Do nothing: the wake-up descriptor carries the signal into curio."""
