"""Runtime common to all processes: events, effects, tasks and signals."""

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
from tamaracktray.signals import unblock_reload_signal

MAX_EXIT_WAIT_S = 10.0

# Pause before a loop that has failed is started again, in seconds.
LOOP_RESTART_S = 0.5

EXIT_INTERNAL_ERROR = 1
EXIT_INVALID_SETTINGS = 2


class Runtime(ABC):
    """Base of a process: passes events to a reducer and performs its effects."""

    def __init__(self, metrics: Metrics) -> None:
        self.log = structlog.get_logger()
        self.metrics = metrics
        self.exit_code = 0
        self.is_halted = False
        self.random = random.Random(secrets.randbits(64))
        self._stop_requested = curio.Event()
        self._servers: list[HttpServer] = []
        self._loop_tasks: list[curio.Task] = []
        self._performers: dict[type[Effect], Callable[[Any], Awaitable[None]]] = {
            Exit: self._exit
        }

    @abstractmethod
    def reduce(self, event: Event) -> list[Effect]:
        """Apply an event to the state and return the resulting effects."""

    @abstractmethod
    def build_servers(self) -> list[HttpServer]:
        """Return the HTTP servers of the process."""

    @abstractmethod
    def list_loops(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the background loops of the process, restarted when they fail."""

    def list_vital_loops(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the loops without which the process can't go on."""
        return [server.serve for server in self._servers]

    async def prepare(self) -> None:
        """Run set-up steps before any loop starts."""
        return

    async def reload(self) -> None:
        """Reload the settings file after SIGHUP."""
        return

    def close(self) -> None:
        """Release the resources of the process at exit."""
        return

    def add_performer(
        self, effect_type: type[Effect], perform: Callable[[Any], Awaitable[None]]
    ) -> None:
        """Register the function that performs one type of effect."""
        self._performers[effect_type] = perform

    async def dispatch(self, event: Event) -> None:
        """Reduce an event and perform its effects."""
        for effect in self.reduce(event):
            await self._performers[type(effect)](effect)

    async def spawn(self, function: Callable[..., Awaitable[None]], *args: Any) -> None:
        """Run a background task; an ``InvariantError`` in it stops the process."""
        if self.is_halted:
            return
        await curio.spawn(self._run_task, function, *args, daemon=True)

    async def run(self) -> None:
        """Handle signals and serve until the process has shut down."""
        await curio.spawn(self._run_vital_loop, self._run_signals, daemon=True)
        await self.serve()

    async def serve(self) -> None:
        """Serve until ``stop`` is called, then release all resources."""
        self._servers = self.build_servers()
        for server in self._servers:
            await server.open()
        await self.prepare()
        for loop in self.list_loops():
            await self._start_loop(self._run_loop, loop)
        for loop in self.list_vital_loops():
            await self._start_loop(self._run_vital_loop, loop)
        self.log.info("started")
        await self._stop_requested.wait()
        await self.halt()
        self.log.info("stopped")
        self.close()

    async def halt(self) -> None:
        """Cancel all loops and connections and start no new background tasks.

        curio's kernel accepts no new tasks while it shuts down.
        """
        self.is_halted = True
        for task in self._loop_tasks:
            await task.cancel(blocking=False)
        for server in self._servers:
            await server.close()

    async def stop(self) -> None:
        """Make ``serve`` return without waiting for open requests."""
        await self._stop_requested.set()

    async def _exit(self, effect: Exit) -> None:
        await self.stop()

    async def _start_loop(
        self,
        run: Callable[[Callable[[], Awaitable[None]]], Awaitable[None]],
        loop: Callable[[], Awaitable[None]],
    ) -> None:
        self._loop_tasks.append(await curio.spawn(run, loop, daemon=True))

    async def _run_loop(self, loop: Callable[[], Awaitable[None]]) -> None:
        """Run a loop and start it again if it fails.

        What made it fail may be there at each start of the process, so ending that
        would not help. Only an ``InvariantError`` stops the process.
        """
        while True:
            try:
                await loop()
                return
            except InvariantError:
                await self._fail("invariant broken")
                return
            except curio.CancelledError:
                raise
            except Exception:
                self.metrics.count("loop_failures")
                self.log.exception("loop failed", loop=loop.__qualname__)
            await curio.sleep(LOOP_RESTART_S)

    async def _run_vital_loop(self, loop: Callable[[], Awaitable[None]]) -> None:
        """Run a loop; its failure stops the process."""
        try:
            await loop()
        except curio.CancelledError:
            raise
        except Exception:
            await self._fail("vital loop failed", loop=loop.__qualname__)

    async def _fail(self, reason: str, **fields: str) -> None:
        """Log the exception being handled and stop the process."""
        self.log.exception(reason, **fields)
        self.exit_code = EXIT_INTERNAL_ERROR
        await self.stop()

    async def _run_task(
        self, function: Callable[..., Awaitable[None]], *args: Any
    ) -> None:
        try:
            await function(*args)
        except InvariantError:
            await self._fail("invariant broken")
        except curio.CancelledError:
            raise
        except Exception:
            self.metrics.count("task_failures")
            self.log.exception("task failed")

    async def _run_signals(self) -> None:
        """Dispatch a shutdown event on SIGTERM and SIGINT, reload on SIGHUP."""
        receiver, sender = socket_module.socketpair()
        receiver.setblocking(False)
        sender.setblocking(False)
        signal.set_wakeup_fd(sender.fileno())
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, _ignore_signal)
        unblock_reload_signal()
        async with curio.io.Socket(receiver) as stream:
            while True:
                for number in await stream.recv(1):
                    await self._handle_signal(number)

    async def _handle_signal(self, number: int) -> None:
        if number == signal.SIGHUP:
            self.log.info("reloading")
            await self.reload()
            return
        self.log.info("leaving")
        await self.dispatch(ShutdownRequested(time.monotonic()))


def _ignore_signal(number: int, frame: object) -> None:
    """Do nothing; curio reads the signal from the wake-up descriptor."""
