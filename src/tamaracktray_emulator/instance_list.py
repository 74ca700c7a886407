"""Stand-in for the platform's instance list, which is served with a lag."""

import time

import msgspec

from tamaracktray.http_messages import Request
from tamaracktray.responders import Responder
from tamaracktray.types import Address, Instance
from tamaracktray_emulator.standin import StandIn, send_json


class InstanceListStandIn(StandIn):
    """Serves the instances as they were ``lag_s`` seconds ago.

    ``PUT /instances`` replaces the list; ``PUT /lag`` sets the lag in seconds.
    """

    def __init__(self, address: Address) -> None:
        super().__init__(address)
        self.lag_s = 0.0
        self._history: list[tuple[float, list[Instance]]] = [(0.0, [])]

    async def answer(self, request: Request, responder: Responder) -> None:
        """Answer a call of a process or a test."""
        if request.method == "PUT" and request.path == "/instances":
            instances = msgspec.json.decode(request.body, type=list[Instance])
            self._history.append((time.monotonic(), instances))
            await send_json(responder, 200, {"instances": len(instances)})
            return
        if request.method == "PUT" and request.path == "/lag":
            self.lag_s = msgspec.json.decode(request.body, type=float)
            await send_json(responder, 200, {"lag_s": self.lag_s})
            return
        await send_json(responder, 200, self._list())

    def _list(self) -> list[Instance]:
        visible_until = time.monotonic() - self.lag_s
        current: list[Instance] = []
        for changed_at, instances in self._history:
            if changed_at <= visible_until:
                current = instances
        return current
