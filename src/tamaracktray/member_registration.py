"""Keeps an entry's own member record in the store."""

import random
from collections.abc import Callable

import curio
import msgspec
import structlog

from tamaracktray.objects import ObjectStore, overwrite_object
from tamaracktray.peers import Member
from tamaracktray.snapshots import Collection

# Mean delay before a failed write of the record is retried, in seconds.
RETRY_S = 0.5


class MemberRegistration:
    """Writes the member record whenever it is due, until the store accepts it."""

    __slots__ = ("_is_due", "_log", "_random", "_read_member", "_store")

    def __init__(
        self,
        store: ObjectStore,
        read_member: Callable[[], Member],
        random_source: random.Random,
    ) -> None:
        self._store = store
        self._read_member = read_member
        self._random = random_source
        self._is_due = curio.Event()
        self._log = structlog.get_logger()

    async def request(self, effect: object) -> None:
        """Make the record due again."""
        await self._is_due.set()

    async def run(self) -> None:
        """Write the record at the start and each time that it becomes due."""
        while True:
            self._is_due.clear()
            await self._write()
            await self._is_due.wait()

    async def _write(self) -> None:
        while True:
            member = self._read_member()
            failure = await overwrite_object(
                self._store,
                Collection.MEMBERS,
                member.name,
                msgspec.to_builtins(member),
            )
            if failure is None:
                return
            self._log.info("not registered yet", error=failure.message)
            await curio.sleep(RETRY_S * self._random.uniform(0.5, 1.5))
