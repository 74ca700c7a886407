"""Answers without a length or chunks, which end with their connection.

Guards against a stream that broke off inside an event and is relayed as complete.
"""

import contextlib

import pytest

from platforms import ENGINES, ORDERS, PlatformFleet, run_fleet
from raw_endpoints import (
    EVENT,
    HALF_EVENT,
    Framing,
    RawAnswer,
    build_events,
    list_endpoint,
)
from tamaracktray.http_messages import Reply
from tamaracktray_emulator.platform.worker import EVENTS


class TestUnframedAnswers:
    def run_call(self, body: bytes, check, *, service: str, is_resumable: bool) -> None:
        """Call an unframed server, and list an engine that can resume its stream."""

        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()

            async def play(answer: RawAnswer) -> None:
                await answer.respond(Framing.NEITHER, body)

            await list_endpoint(fleet, "unframed", service, play)
            await fleet.until_listed(1)
            if is_resumable:
                await fleet.add_engine("other", zone="zone-b")
                await fleet.until_listed(2)
            path = "/talk/1" if service == ENGINES else "/look/1"
            reply: Reply | None = None
            with contextlib.suppress(AssertionError):
                reply = await fleet.call(path)
            check(reply)

        run_fleet(scenario)

    @pytest.mark.parametrize("rest", [b"", b"\n"])
    def test_complete_stream_is_relayed_whole(self, rest):
        events = build_events(1, EVENTS) + rest

        def check(reply: Reply | None) -> None:
            assert reply is not None and (reply.status, reply.body) == (200, events)

        self.run_call(events, check, service=ENGINES, is_resumable=False)

    def test_complete_body_is_relayed_whole(self):
        def check(reply: Reply | None) -> None:
            assert reply is not None
            assert (reply.status, reply.body) == (200, b"a receipt")

        self.run_call(b"a receipt", check, service=ORDERS, is_resumable=False)

    @pytest.mark.parametrize("rest", [HALF_EVENT, EVENT.rstrip(b"\n") % (3, 3)])
    def test_stream_that_ends_inside_an_event_is_not_completed(self, rest):
        def check(reply: Reply | None) -> None:
            assert reply is None or reply.status == 502

        for body in (rest, build_events(1, 2) + rest):
            self.run_call(body, check, service=ENGINES, is_resumable=False)

    def test_stream_that_ends_inside_an_event_is_resumed_elsewhere(self):
        def check(reply: Reply | None) -> None:
            assert reply is not None
            assert (reply.status, reply.body) == (200, build_events(1, EVENTS))

        body = build_events(1, 2) + HALF_EVENT
        self.run_call(body, check, service=ENGINES, is_resumable=True)
