"""Listeners that get more than they can handle.

Guards against one socket that keeps a process from serving timers and other callers.
"""

import subprocess
import sys
import time

import curio
import pytest

from platforms import HOST, KEY, PlatformFleet, run_fleet
from tamaracktray.beacons import Beacon, encode_beacon
from tamaracktray.types import Address

# Processes that flood an entry as fast as they can, for a while.
FLOODS = 3
MAX_LAG_S = 0.3
HEAD = """
import socket, sys, threading, time
data, target = bytes.fromhex(sys.argv[1]), (sys.argv[2], int(sys.argv[3]))
end = time.monotonic() + 2.0

def drain(client):
    try:
        while client.recv(65_536):
            pass
    except OSError:
        pass

"""
DATAGRAMS = """
with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
    while time.monotonic() < end:
        sender.sendto(data, target)
"""
CONNECTIONS = """
while time.monotonic() < end:
    try:
        socket.create_connection(target).close()
    except OSError:
        pass
"""
# Sends the same bytes again and again on one connection and reads all answers.
REQUESTS = """
while time.monotonic() < end:
    with socket.create_connection(target) as client:
        threading.Thread(target=drain, args=(client,), daemon=True).start()
        try:
            while time.monotonic() < end:
                client.sendall(data)
        except OSError:
            pass
"""
# As before, with a head that is sent once for each connection.
TINY_CHUNKS = """
head, part = data.split(b"|", 1)
while time.monotonic() < end:
    with socket.create_connection(target) as client:
        threading.Thread(target=drain, args=(client,), daemon=True).start()
        try:
            client.sendall(head)
            while time.monotonic() < end:
                client.sendall(part * 5_000)
        except OSError:
            pass
"""

PEER_REQUEST = b"GET /nothing HTTP/1.1\r\nhost: h\r\n\r\n" * 100
CALLER_REQUEST = (
    f"GET /nothing/1 HTTP/1.1\r\nhost: {HOST}\r\n"
    f"authorization: Token {KEY}\r\n\r\n".encode()
    * 100
)
CHUNKED = (
    f"POST /order/1 HTTP/1.1\r\nhost: {HOST}\r\n"
    "transfer-encoding: chunked\r\n\r\n|1\r\nx\r\n"
).encode()


class TestFloods:
    @pytest.mark.parametrize(
        ("program", "data", "is_caller"),
        [
            (DATAGRAMS, encode_beacon(Beacon("flood", 1, 1, {}, {})), False),
            (CONNECTIONS, b"", False),
            (CONNECTIONS, b"", True),
            (REQUESTS, PEER_REQUEST, False),
            (REQUESTS, CALLER_REQUEST, True),
            (TINY_CHUNKS, CHUNKED, True),
        ],
        ids=[
            "datagrams",
            "peers' connections",
            "callers' connections",
            "peers' requests",
            "callers' requests",
            "tiny chunks",
        ],
    )
    def test_flooded_socket_keeps_no_timer_from_running(self, program, data, is_caller):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            await fleet.add_worker("w-1")
            await fleet.until_listed(1)
            entry = fleet.entries[0]
            target = entry.own_address
            if is_caller:
                target = Address.parse(entry.settings.listen.callers)
            arguments = [sys.executable, "-c", HEAD + program, data.hex()]
            arguments += [target.host, str(target.port)]
            floods = [subprocess.Popen(arguments) for _ in range(FLOODS)]
            lags: list[float] = []
            while any(flood.poll() is None for flood in floods):
                due_at = time.monotonic() + 0.05
                await curio.sleep(0.05)
                lags.append(time.monotonic() - due_at)
            assert max(lags) < MAX_LAG_S
            reply = await fleet.call("/look/1", method="GET")
            assert reply.status == 200

        run_fleet(scenario)
