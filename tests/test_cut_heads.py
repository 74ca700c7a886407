"""Answers of endpoints that stop in their head, or between head and body, and close.

Guards against callers who get a success with an empty or short body.
"""

import curio
import pytest

from platforms import ENGINES, ORDERS, PlatformFleet, run_fleet
from raw_endpoints import (
    CallerProtocol,
    RawAnswer,
    RawCaller,
    build_events,
    list_endpoint,
)
from tamaracktray_emulator.platform.documents import build_route
from tamaracktray_emulator.platform.worker import REQUEST_ID, SIGNATURE

BODIES = {"safe": b"the whole answer", "stream": build_events(1)}
SERVICES = {"safe": ORDERS, "stream": ENGINES}
CUTS = 12


def build_answer(request_id: str, kind: str, framing: str) -> tuple[bytes, int]:
    """Return the bytes of an answer and the length of its head."""
    body = BODIES[kind]
    version = "HTTP/1.0" if framing == "1.0" else "HTTP/1.1"
    lines = [f"{version} 200 OK", f"{REQUEST_ID}: {request_id}", f"{SIGNATURE}: sig"]
    if kind == "stream":
        lines.append("content-type: text/event-stream")
    if framing == "length":
        lines.append(f"content-length: {len(body)}")
    if framing == "chunks":
        lines.append("transfer-encoding: chunked")
        body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    head = "\r\n".join([*lines, "", ""]).encode()
    if framing == "interim":
        head = b"HTTP/1.1 103 Early Hints\r\n\r\n" + head
    return head + body, len(head)


class TestCutHeads:
    @pytest.mark.parametrize("kind", BODIES)
    @pytest.mark.parametrize("framing", ["length", "chunks", "1.0", "interim"])
    @pytest.mark.parametrize("is_reset", [True, False])
    def test_answer_that_stops_in_its_head_is_no_success(self, kind, framing, is_reset):
        async def scenario(fleet: PlatformFleet) -> None:
            fleet.routes = []
            for number in range(CUTS):
                service = f"service-{number}"
                template = next(
                    item for item in fleet.services if item["name"] == SERVICES[kind]
                )
                fleet.services.append({**template, "name": service})
                fleet.routes.append(build_route(f"r-{number}", kind, service))
            await fleet.start()
            cut_bytes: list[int] = []

            for number in range(CUTS):

                async def play(answer: RawAnswer, number: int = number) -> None:
                    whole, head_bytes = build_answer(answer._request_id, kind, framing)
                    # The last cut is right behind the head, before any of the body.
                    cut = head_bytes * (number + 1) // CUTS
                    cut_bytes.append(cut)
                    await answer.send_raw(whole[:cut])
                    if is_reset:
                        await answer.reset()

                for copy in range(2):
                    name = f"{number}-{copy}"
                    await list_endpoint(fleet, name, f"service-{number}", play)
            await fleet.until_listed(2 * CUTS)
            for protocol in CallerProtocol:
                caller = RawCaller(fleet, protocol)
                for number in range(CUTS):
                    if protocol is not CallerProtocol.HTTP_1_1_KEPT:
                        caller = RawCaller(fleet, protocol)
                    answer = await caller.call(
                        f"/r-{number}/1", f"{protocol.value}-{number}"
                    )
                    if protocol is not CallerProtocol.HTTP_1_1_KEPT:
                        await caller.close()
                    assert answer.is_complete, (protocol, number)
                    is_empty = answer.body == b""
                    is_unframed = framing in ("1.0", "interim")
                    if is_unframed and not is_reset and number == CUTS - 1:
                        # Nothing distinguishes this from a whole answer without a body.
                        is_failure = answer.status in (502, 503)
                        assert is_failure or (kind == "safe" and is_empty)
                        continue
                    assert answer.status in (502, 503), (protocol, number)
                await caller.close()
                await curio.sleep(0.5)
            assert len(cut_bytes) >= CUTS

        run_fleet(scenario)
