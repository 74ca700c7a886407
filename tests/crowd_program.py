"""A crowd of clients in a process of its own; its plan is a JSON argument.

Each connection sends ``head``, then ``piece`` ``count`` times, then ``tail``, all in
Latin-1, as fast as the server reads, and stays open until the end of the plan's time.
Without ``reads`` it reads nothing.
"""

import contextlib
import json
import selectors
import socket
import sys
import time

# Smallest receive buffer, so that unread answers stay at the server.
UNREAD_BUFFER_BYTES = 4_096
SEND_BYTES = 262_144


def build_parts(plan: dict, number: int):
    """Yield what one connection sends."""
    yield plan["head"].replace("{n}", str(number)).encode("latin-1")
    piece = plan["piece"].encode("latin-1")
    per_part = max(SEND_BYTES // max(len(piece), 1), 1)
    remaining = plan["count"]
    while remaining > 0:
        yield piece * min(per_part, remaining)
        remaining -= per_part
    yield plan["tail"].encode("latin-1")


class Client:
    """One connection of the crowd."""

    def __init__(self, plan: dict, number: int, selector) -> None:
        self.reads = plan["reads"]
        self.parts = build_parts(plan, number)
        self.rest = memoryview(b"")
        self.selector = selector
        self.socket = socket.socket()
        if not self.reads:
            self.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BUFFER_BYTES
            )
        self.socket.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            self.socket.connect((plan["host"], plan["port"]))
        selector.register(self.socket, selectors.EVENT_WRITE, self)

    def advance(self, events: int) -> None:
        try:
            if events & selectors.EVENT_READ and not self.socket.recv(SEND_BYTES):
                self.selector.unregister(self.socket)
                return
            if events & selectors.EVENT_WRITE:
                self._send()
        except BlockingIOError:
            return
        except OSError:
            self.selector.unregister(self.socket)

    def _send(self) -> None:
        while not self.rest:
            part = next(self.parts, None)
            if part is None:
                self.selector.unregister(self.socket)
                if self.reads:
                    self.selector.register(self.socket, selectors.EVENT_READ, self)
                return
            self.rest = memoryview(part)
        self.rest = self.rest[self.socket.send(self.rest) :]
        if self.reads:
            both = selectors.EVENT_READ | selectors.EVENT_WRITE
            self.selector.modify(self.socket, both, self)


def main() -> None:
    plan = json.loads(sys.argv[1])
    selector = selectors.DefaultSelector()
    deadline = time.monotonic() + plan["seconds"]
    clients = [Client(plan, number, selector) for number in range(plan["connections"])]
    while time.monotonic() < deadline:
        if not selector.get_map():
            time.sleep(0.01)
            continue
        for key, events in selector.select(0.1):
            key.data.advance(events)
    for client in clients:
        client.socket.close()


if __name__ == "__main__":
    main()
