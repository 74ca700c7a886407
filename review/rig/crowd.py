"""A crowd of clients in a process of its own; its plan is a JSON argument.

Each connection sends the head of a request and then pieces of its body at a steady
rate, stops just short of the end and stays open. One that the server closes stays
closed. The last line printed holds the connections opened and the bytes sent.
"""

import contextlib
import json
import selectors
import socket
import sys
import time

READ_BYTES = 65_536
ROUND_S = 0.05

# Small, so that what the server doesn't read stays at the client.
SEND_BUFFER_BYTES = 16_384


class Client:
    """One connection of the crowd."""

    def __init__(self, plan: dict, selector: selectors.BaseSelector) -> None:
        self._address = (plan["host"], plan["port"])
        self._head = plan["head"].encode("latin-1")
        piece = plan["piece"].encode("latin-1")
        self._body = piece * plan["count"]
        self._rate = plan["bytes_per_s"]
        self._selector = selector
        self._socket: socket.socket | None = None
        self._sent = 0
        self._began_at = 0.0
        self.opened = 0
        self.total_bytes = 0

    @property
    def is_open(self) -> bool:
        """Return whether the connection is open."""
        return self._socket is not None

    def open(self) -> None:
        """Start to connect."""
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self._socket.setblocking(False)
        self._sent = 0
        self._began_at = time.monotonic()
        self.opened += 1
        with contextlib.suppress(BlockingIOError):
            self._socket.connect(self._address)
        self._selector.register(self._socket, selectors.EVENT_READ, self)

    def read(self) -> None:
        """Discard what the server sends, and notice its close."""
        try:
            if not self._socket.recv(READ_BYTES):
                self.close()
        except BlockingIOError:
            return
        except OSError:
            self.close()

    def send(self, now: float) -> None:
        """Send what is due."""
        data = self._head if self._sent < len(self._head) else self._body
        position = self._sent - (0 if data is self._head else len(self._head))
        due = int((now - self._began_at) * self._rate) + len(self._head) - self._sent
        if due <= 0 or position >= len(data):
            return
        try:
            count = self._socket.send(data[position : position + due])
        except BlockingIOError:
            return
        except OSError:
            self.close()
            return
        self._sent += count
        self.total_bytes += count

    def close(self) -> None:
        """Close the connection."""
        self._selector.unregister(self._socket)
        self._socket.close()
        self._socket = None


def main() -> None:
    """Run the crowd for the time of its plan."""
    plan = json.loads(sys.argv[1])
    selector = selectors.DefaultSelector()
    deadline = time.monotonic() + plan["seconds"]
    clients = [Client(plan, selector) for _ in range(plan["connections"])]
    while (now := time.monotonic()) < deadline:
        for client in clients:
            if not client.opened:
                client.open()
            elif client.is_open:
                client.send(now)
        for key, _ in selector.select(ROUND_S):
            key.data.read()
        time.sleep(max(now + ROUND_S - time.monotonic(), 0.0))
    opened = sum(client.opened for client in clients)
    sent = sum(client.total_bytes for client in clients)
    print(json.dumps({"opened": opened, "bytes": sent}), flush=True)


if __name__ == "__main__":
    main()
