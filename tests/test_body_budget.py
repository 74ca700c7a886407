"""Bodies of many requests at once.

Guards against an entry whose memory grows with the number of callers that send long
bodies at the same time.
"""

import subprocess
import sys

import curio

from platforms import HOST, KEY, ORDERS, PlatformFleet, run_fleet
from raw_endpoints import Framing, RawAnswer, list_endpoint
from tamaracktray.exchange import fetch
from tamaracktray.http import HttpServer
from tamaracktray.memory_budget import MemoryBudget
from tamaracktray.types import Address

MEBIBYTE = 1_048_576
CALLERS = 60
BODY_BYTES = 4_000_000

# Below the memory of an instance, less what an entry takes without requests.
MAX_GROWTH_BYTES = 200 * MEBIBYTE

SEND_BODIES = """
import socket, sys, threading

host, port, callers, size = sys.argv[1], *map(int, sys.argv[2:5])
head = bytes.fromhex(sys.argv[5])
statuses = []

def call(number):
    try:
        with socket.create_connection((host, port), timeout=10.0) as client:
            client.sendall(head % number + bytes(size))
            statuses.append(client.recv(4_096)[9:12].decode())
    except OSError as error:
        statuses.append(type(error).__name__)

threads = [threading.Thread(target=call, args=(n,)) for n in range(callers)]
for thread in threads:
    thread.start()
for thread in threads:
    thread.join()
print(*sorted(set(statuses)))
"""

HEAD = (
    f"POST /order/%d HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Token {KEY}\r\n"
    f"x-tamaracktray-deadline-ms: 2000\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
).encode()


def read_resident_bytes() -> int:
    with open("/proc/self/status") as status:
        (line,) = (line for line in status if line.startswith("VmRSS:"))
    return int(line.split()[1]) * 1_024


async def answer_late(answer: RawAnswer) -> None:
    await curio.sleep(1.0)
    if await answer.read_body():
        await answer.respond(Framing.LENGTH, b"read", content_type="text/plain")


class TestMemory:
    def test_memory_is_bounded_beside_many_long_bodies(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            await list_endpoint(fleet, "e-1", ORDERS, answer_late)
            await fleet.until_listed(1)
            address = Address.parse(fleet.entries[0].settings.listen.callers)
            arguments = [sys.executable, "-c", SEND_BODIES, address.host]
            arguments += map(str, (address.port, CALLERS, BODY_BYTES))
            arguments.append(HEAD.hex())
            before = peak = read_resident_bytes()
            with subprocess.Popen(arguments, stdout=subprocess.PIPE) as callers:
                while callers.poll() is None:
                    await curio.sleep(0.01)
                    peak = max(peak, read_resident_bytes())
                statuses = callers.stdout.read().decode().split()
            assert peak - before < MAX_GROWTH_BYTES
            assert "200" in statuses
            assert set(statuses) <= {"200", "503"}

        run_fleet(scenario)


class TestBudget:
    def test_bytes_are_free_again_after_the_answer(self):
        is_slow = curio.Event()

        async def handle(request, responder):
            if request.path == "/slow":
                await is_slow.wait()
            await responder.respond(200, [], b"")

        async def scenario() -> None:
            # A body is charged twice, beside its connection and its request.
            budget = MemoryBudget(1_000_000)
            server = HttpServer(Address("127.0.0.1", 0), handle, budget=budget)
            await server.open()
            serving = await curio.spawn(server.serve, daemon=True)
            address, body = server.address, b"x" * 300_000
            slow = await curio.spawn(fetch, address, "POST", "/slow", [], body)
            await curio.sleep(0.1)
            refused = (await fetch(address, "POST", "/", [], body)).unwrap()
            small = (await fetch(address, "POST", "/", [], b"y" * 10_000)).unwrap()
            await is_slow.set()
            first = (await slow.join()).unwrap()
            later = (await fetch(address, "POST", "/", [], body)).unwrap()
            await serving.cancel()
            await server.close()
            replies = [first, refused, small, later]
            assert [reply.status for reply in replies] == [200, 503, 200, 200]
            assert refused.headers["retry-after"] == "1"
            assert b'"run":"not_run"' in refused.body

        curio.run(scenario)
