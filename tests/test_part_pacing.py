"""Bodies in many small parts share out the processor, and only they wait for it."""

import time

import curio
import pytest

from platforms import STORE_PORT, next_host
from tamaracktray.http import HttpServer
from tamaracktray.http_messages import HttpLimits
from tamaracktray.part_pacing import (
    BURST_S,
    FREE_PARTS,
    LARGE_PART_BYTES,
    PARTS_PER_S,
    TURN_PARTS,
    BodyPace,
    PartPacer,
)
from tamaracktray.types import Address

BURST_PARTS = int(PARTS_PER_S * BURST_S)


async def read_parts(pace: BodyPace, count: int, length: int = 1) -> None:
    for _ in range(count):
        await pace.note_part(length)


async def use_up(pacer: PartPacer) -> None:
    """Take all capacity that was left unused."""
    await read_parts(BodyPace(pacer), FREE_PARTS + BURST_PARTS)


class TestPace:
    def test_all_bodies_together_keep_to_the_rate(self):
        async def main() -> float:
            pacer = PartPacer()
            await use_up(pacer)
            began_at = time.monotonic()
            parts = FREE_PARTS + TURN_PARTS
            bodies = [
                await curio.spawn(read_parts, BodyPace(pacer), parts) for _ in range(50)
            ]
            for body in bodies:
                await body.join()
            return time.monotonic() - began_at

        assert curio.run(main) >= 50 * TURN_PARTS / PARTS_PER_S * 0.9

    @pytest.mark.parametrize(
        ("count", "length"), [(FREE_PARTS - 1, 1), (10_000, LARGE_PART_BYTES)]
    )
    def test_ordinary_body_waits_for_no_turn(self, count, length):
        async def main() -> None:
            pacer = PartPacer()
            await use_up(pacer)
            others = [
                await curio.spawn(read_parts, BodyPace(pacer), 1_000, daemon=True)
                for _ in range(500)
            ]
            await curio.sleep(0)
            await curio.timeout_after(
                0.5, read_parts(BodyPace(pacer), count, length=length)
            )
            for other in others:
                await other.cancel()

        curio.run(main)

    def test_body_that_is_given_up_leaves_its_turn_to_the_next(self):
        async def main() -> None:
            pacer = PartPacer()
            await use_up(pacer)
            waiting = [
                await curio.spawn(read_parts, BodyPace(pacer), 100) for _ in range(500)
            ]
            await curio.sleep(0.05)
            for body in waiting:
                await body.cancel()
            await curio.timeout_after(0.5, read_parts(BodyPace(pacer), 100))

        curio.run(main)


class TestServer:
    # Guards against a limit that refuses a legal request although nobody else calls.
    @pytest.mark.parametrize("count", [2_000, 30_000])
    def test_single_body_in_tiny_chunks_is_served(self, count):
        async def answer(request, responder) -> None:
            await responder.respond(200, [], str(len(request.body)).encode())

        async def main() -> bytes:
            limits = HttpLimits(receive_timeout_s=10.0)
            server = HttpServer(Address(next_host(), STORE_PORT), answer, limits)
            await server.open()
            task = await curio.spawn(server.serve, daemon=True)
            client = await curio.open_connection(server.address.host, STORE_PORT)
            head = b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n"
            body = b"1\r\nx\r\n" * count + b"0\r\n\r\n"
            async with client:
                await client.sendall(head + b"connection: close\r\n\r\n" + body)
                received = b""
                while data := await client.recv(1_000):
                    received += data
            await task.cancel()
            return received

        received = curio.run(main)
        assert received.startswith(b"HTTP/1.1 200")
        assert received.endswith(str(count).encode())
