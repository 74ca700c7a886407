"""Steady traffic with several keys over all entries."""

import asyncio
import time
from collections.abc import Mapping, Sequence

from common.fleet import Client, Fleet

REQUEST_GAP_S = 0.1


class Traffic:
    """Sends requests with each key in turn; remembers when and with which key."""

    def __init__(
        self,
        fleet: Fleet,
        route: str,
        keys: Sequence[str],
        gap_s: float = REQUEST_GAP_S,
        extra: Mapping[str, str] | None = None,
    ) -> None:
        self._fleet = fleet
        self._route = route
        self._keys = keys
        self._gap_s = gap_s
        self._extra = extra
        self._client = Client(fleet.record)
        self._sending: set[asyncio.Task] = set()
        self._task: asyncio.Task | None = None
        self.sent_at_by_id: dict[str, float] = {}
        self.key_by_id: dict[str, str] = {}
        self.status_by_id: dict[str, int | None] = {}

    def start(self) -> None:
        """Start to send."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop sending and wait for all answers."""
        if self._task is not None:
            self._task.cancel()
        await asyncio.gather(*self._sending)

    async def _run(self) -> None:
        number = 0
        while True:
            for key in self._keys:
                number += 1
                entry = self._fleet.entries[number % len(self._fleet.entries)]
                task = asyncio.create_task(self._send(entry, number, key))
                self._sending.add(task)
            await asyncio.sleep(self._gap_s)

    async def _send(self, entry, number: int, key: str) -> None:
        request_id = self._client.next_id()
        self.key_by_id[request_id] = key
        self.sent_at_by_id[request_id] = time.monotonic()
        target = f"/{self._route}/{number}"
        _, sent_at, answer = await self._client.send(
            entry, target, key=key, request_id=request_id, extra=self._extra
        )
        self.sent_at_by_id[request_id] = sent_at
        self.status_by_id[request_id] = None if answer is None else answer.status
