"""An answer that was broken off never reaches its caller as a complete one.

Each way of breaking off a stream is followed by each answer that the next endpoint may
give, for callers of HTTP/1.0 and 1.1.
"""

from functools import partial

import curio
import pytest

from platforms import ENGINES, ORDERS, PlatformFleet, run_fleet
from raw_endpoints import (
    EVENT_STREAM,
    HALF_EVENT,
    HANG_S,
    CallerAnswer,
    CallerProtocol,
    Framing,
    Play,
    RawAnswer,
    RawCaller,
    build_events,
    list_endpoint,
)
from tamaracktray.attempt_relay import MAX_BUFFERED_ANSWER_BYTES
from tamaracktray_emulator.platform.documents import (
    build_engine_service,
    build_plain_service,
    build_route,
)
from tamaracktray_emulator.platform.worker import EVENTS, REQUEST_ID

BEGUN = build_events(1, 2)
WHOLE = build_events(1)
JSON = "application/json"
LARGE = b"x" * (MAX_BUFFERED_ANSWER_BYTES + 1)


async def cut(framing: Framing, answer: RawAnswer) -> None:
    await answer.begin(framing, len(WHOLE))
    await answer.send(BEGUN)


async def reset(framing: Framing, answer: RawAnswer) -> None:
    await cut(framing, answer)
    await answer.reset()


async def hang(framing: Framing, answer: RawAnswer) -> None:
    await cut(framing, answer)
    await curio.sleep(HANG_S)


async def hang_inside_event(framing: Framing, answer: RawAnswer) -> None:
    await answer.begin(framing, len(WHOLE))
    await answer.send(BEGUN + HALF_EVENT)
    await curio.sleep(HANG_S)


async def end_inside_event(framing: Framing, answer: RawAnswer) -> None:
    await answer.respond(framing, BEGUN + HALF_EVENT)


async def crash(answer: RawAnswer) -> None:
    await cut(Framing.NEITHER, answer)
    await answer.endpoint.stop_listening()


async def crash_before_the_end(answer: RawAnswer) -> None:
    await answer.begin(Framing.NEITHER, content_type=JSON)
    await answer.send(b"the first half")
    await answer.endpoint.stop_listening()


async def spoil_chunks(answer: RawAnswer) -> None:
    await cut(Framing.CHUNKS, answer)
    await answer.send_raw(b"no chunk\r\n")


BREAKS: dict[str, Play] = {
    "length cut": partial(cut, Framing.LENGTH),
    "chunks cut": partial(cut, Framing.CHUNKS),
    "chunks spoilt": spoil_chunks,
    "process ended": crash,
}
for _framing in Framing:
    for _break in (reset, hang, hang_inside_event, end_inside_event):
        _name = f"{_framing.value} {_break.__name__}"
        BREAKS[_name] = partial(_break, _framing)


async def resume(framing: Framing, answer: RawAnswer) -> None:
    await answer.respond(framing, build_events(answer.last_event_id + 1))


async def restart(framing: Framing, answer: RawAnswer) -> None:
    await answer.respond(framing, WHOLE)


async def restart_endlessly(answer: RawAnswer) -> None:
    await answer.begin(Framing.CHUNKS)
    await answer.send(BEGUN)
    await curio.sleep(HANG_S)


async def resume_and_break(answer: RawAnswer) -> None:
    events = build_events(answer.last_event_id + 1, answer.last_event_id + 1)
    await answer.respond(Framing.NEITHER, events + HALF_EVENT)


async def respond(
    status: int, body: bytes, content_type: str, framing: Framing, answer: RawAnswer
) -> None:
    await answer.respond(framing, body, status=status, content_type=content_type)


async def respond_unsigned(answer: RawAnswer) -> None:
    events = build_events(answer.last_event_id + 1)
    await answer.respond(Framing.CHUNKS, events, is_signed=False)


async def refuse_to_answer(answer: RawAnswer) -> None:
    return


async def send_garbage(answer: RawAnswer) -> None:
    await answer.send_raw(b"\x00\x01 this is no answer\r\n\r\n")


RESUMING: dict[str, Play] = {
    f"resumed, {framing.value}": partial(resume, framing) for framing in Framing
}
OTHER_ANSWERS: dict[str, Play] = {
    "no content": partial(respond, 204, b"", "", Framing.NEITHER),
    "empty stream without framing": partial(
        respond, 200, b"", EVENT_STREAM, Framing.NEITHER
    ),
    "endless restart": restart_endlessly,
    "broken off again": resume_and_break,
    "unsigned": respond_unsigned,
    "no answer": refuse_to_answer,
    "garbage": send_garbage,
}
for _framing in Framing:
    OTHER_ANSWERS[f"restart, {_framing.value}"] = partial(restart, _framing)
    for _status, _body in (
        (200, b'{"a":1}\n\n'),
        (200, b'{"a":1}'),
        (302, b"moved"),
        (400, b"bad"),
        (404, b""),
        (413, LARGE),
        (429, b"later"),
        (500, b"failed\n\n"),
        (503, LARGE),
    ):
        _name = f"{_status} of {len(_body)} bytes, {_framing.value}"
        OTHER_ANSWERS[_name] = partial(respond, _status, _body, JSON, _framing)


Case = tuple[str, CallerProtocol]


def run_streams(plays_by_name: dict[str, list[Play]]) -> dict[Case, CallerAnswer]:
    """Call a service of its own for each case, in one fleet.

    The service has an endpoint for each of its plays, which answer its requests in
    order.
    """
    cases = [(name, kind) for name in plays_by_name for kind in CallerProtocol]
    answers: dict[Case, CallerAnswer] = {}

    async def scenario(fleet: PlatformFleet) -> None:
        for number in range(len(cases)):
            service = f"service-{number}"
            fleet.services.append(build_engine_service(service))
            fleet.routes.append(build_route(f"talk-{number}", "stream", service))
        await fleet.start()
        endpoints = 0
        for number, (name, _) in enumerate(cases):
            plays = list(plays_by_name[name])

            async def play(answer: RawAnswer, plays: list[Play] = plays) -> None:
                await plays.pop(0)(answer)

            for _ in plays_by_name[name]:
                service = f"service-{number}"
                await list_endpoint(fleet, f"endpoint-{endpoints}", service, play)
                endpoints += 1
        await fleet.until_listed(endpoints)

        async def call(number: int, case: Case) -> None:
            caller = RawCaller(fleet, case[1])
            answers[case] = await caller.call(f"/talk-{number}/1", f"id-{number}")
            await caller.close()

        calls = [
            await curio.spawn(call, number, case) for number, case in enumerate(cases)
        ]
        for task in calls:
            await task.join()

    run_fleet(scenario)
    assert answers.keys() == set(cases)
    return answers


class TestBrokenStreams:
    @pytest.mark.parametrize("first", BREAKS)
    def test_resumed_stream_is_whole(self, first):
        answers = run_streams(
            {name: [BREAKS[first], second] for name, second in RESUMING.items()}
        )
        wrong = {
            case: answer
            for case, answer in answers.items()
            if (answer.status, answer.body, answer.is_complete) != (200, WHOLE, True)
        }
        assert wrong == {}

    @pytest.mark.parametrize("first", BREAKS)
    def test_stream_that_nobody_resumes_is_cut(self, first):
        plays_by_name = {
            name: [BREAKS[first], second] for name, second in OTHER_ANSWERS.items()
        }
        plays_by_name["no other endpoint"] = [BREAKS[first]]
        wrong = {
            case: (answer.status, answer.body[:200], answer.is_complete)
            for case, answer in run_streams(plays_by_name).items()
            if answer.is_complete
            or answer.status != 200
            or not answer.body.startswith(BEGUN)
            or not WHOLE.startswith(answer.body)
        }
        assert wrong == {}


async def hang_halfway(answer: RawAnswer) -> None:
    await answer.begin(Framing.NEITHER, content_type=JSON)
    await answer.send(b"the first half")
    await curio.sleep(HANG_S)


class TestAbandonedAnswers:
    """A plain endpoint stops amid an answer without length; another one is listed."""

    def run_call(
        self, kind: str, second: Play, first: Play = hang_halfway
    ) -> CallerAnswer:
        answers: list[CallerAnswer] = []

        async def scenario(fleet: PlatformFleet) -> None:
            fleet.services.append(build_plain_service("plain"))
            fleet.routes.append(build_route("plain", kind, "plain"))
            await fleet.start()
            plays = [first, second]

            async def play(answer: RawAnswer) -> None:
                await plays.pop(0)(answer)

            for name in ("a", "b"):
                await list_endpoint(fleet, name, "plain", play)
            await fleet.until_listed(2)
            caller = RawCaller(fleet, CallerProtocol.HTTP_1_1_CLOSE)
            call = await curio.spawn(caller.call, "/plain/1", "id-1")
            if kind == "unsafe":
                await curio.sleep(0.3)
                for open_call in fleet.entries[0]._open_by_id.values():
                    await open_call.abandon()
            answers.append(await call.join())
            await caller.close()

        run_fleet(scenario)
        return answers[0]

    def test_silent_endpoint_is_replaced_by_another(self):
        body = b"the whole answer"
        second = partial(respond, 200, body, JSON, Framing.NEITHER)
        answer = self.run_call("safe", second)
        assert (answer.status, answer.body, answer.is_complete) == (200, body, True)

    def test_answer_of_a_process_that_ended_is_not_relayed_as_complete(self):
        body = b"the whole answer"
        second = partial(respond, 200, body, JSON, Framing.NEITHER)
        answer = self.run_call("safe", second, crash_before_the_end)
        assert (answer.status, answer.body, answer.is_complete) == (200, body, True)

    @pytest.mark.parametrize(("kind", "status"), [("safe", 504), ("unsafe", 502)])
    def test_half_an_answer_is_not_relayed_as_complete(self, kind, status):
        answer = self.run_call(kind, refuse_to_answer)
        assert (answer.status, answer.is_complete) == (status, True)


class TestSoleEndpoint:
    """Answers of a service with one endpoint, so that nobody can resume a stream."""

    def run_call(self, play: Play, **fields: str) -> CallerAnswer:
        answers: list[CallerAnswer] = []

        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            await list_endpoint(fleet, "a", ENGINES, play)
            await fleet.until_listed(1)
            caller = RawCaller(fleet, CallerProtocol.HTTP_1_1_KEPT)
            answers.append(await caller.call("/talk/1", "id-1", **fields))
            await caller.close()

        run_fleet(scenario)
        return answers[0]

    def test_whole_stream_is_complete(self):
        plays_by_name = {name: [play] for name, play in RESUMING.items()}
        for answer in run_streams(plays_by_name).values():
            assert (answer.status, answer.body) == (200, WHOLE)
            assert answer.is_complete

    def test_stream_without_type_that_ends_inside_its_first_event_is_no_success(self):
        play = partial(respond, 200, HALF_EVENT, "", Framing.NEITHER)
        answer = self.run_call(play)
        assert answer.status == 502

    def test_stream_that_ends_before_its_first_event_is_no_success(self):
        play = partial(respond, 200, b"", EVENT_STREAM, Framing.NEITHER)
        answer = self.run_call(play)
        assert answer.status == 502

    def test_stream_that_repeats_what_its_caller_has_is_no_success(self):
        play = partial(restart, Framing.CHUNKS)
        fields = {"last-event-id": "2"}
        answer = self.run_call(play, **fields)
        assert answer.status == 502

    @pytest.mark.parametrize("framing", [Framing.LENGTH, Framing.CHUNKS])
    def test_framed_empty_stream_after_the_last_event_is_complete(self, framing):
        play = partial(resume, framing)
        fields = {"last-event-id": str(EVENTS)}
        answer = self.run_call(play, **fields)
        assert (answer.status, answer.body, answer.is_complete) == (200, b"", True)


class TestKeptConnections:
    @pytest.mark.parametrize("framing", Framing)
    def test_next_call_on_the_connection_gets_its_own_answer(self, framing):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            plays = [
                partial(end_inside_event, framing),
                partial(resume, framing),
                partial(resume, framing),
            ]

            async def play(answer: RawAnswer) -> None:
                await plays.pop(0)(answer)

            for name in ("a", "b"):
                await list_endpoint(fleet, name, ENGINES, play)
            await fleet.until_listed(2)
            caller = RawCaller(fleet, CallerProtocol.HTTP_1_1_KEPT)
            for number in (1, 2):
                answer = await caller.call("/talk/1", f"id-{number}")
                assert (answer.body, answer.is_complete) == (WHOLE, True)
                assert answer.headers[REQUEST_ID] == f"id-{number}"
            await caller.close()

        run_fleet(scenario)


class TestOwnEnds:
    """This side ends an answer that its caller has begun to receive."""

    @pytest.mark.parametrize("way", ["deadline", "stop"])
    @pytest.mark.parametrize("path", ["/talk/1", "/look/1"])
    def test_begun_answer_is_cut(self, path, way):
        async def hang_amid_large_body(framing: Framing, answer: RawAnswer) -> None:
            await answer.begin(framing, 2 * len(LARGE), content_type=JSON)
            await answer.send(LARGE)
            await curio.sleep(HANG_S)

        first = hang if path == "/talk/1" else hang_amid_large_body
        service = ENGINES if path == "/talk/1" else ORDERS
        for framing in Framing:
            answers: list[CallerAnswer] = []

            async def scenario(
                fleet: PlatformFleet,
                framing: Framing = framing,
                answers: list[CallerAnswer] = answers,
            ) -> None:
                await fleet.start()
                await list_endpoint(fleet, "a", service, partial(first, framing))
                await fleet.until_listed(1)
                tasks = []
                for number, kind in enumerate(CallerProtocol):
                    caller = RawCaller(fleet, kind)
                    wait_ms = "500" if way == "deadline" else "4000"
                    call = partial(caller.call, path, f"id-{number}", wait_ms=wait_ms)
                    tasks.append(await curio.spawn(call))
                await curio.sleep(0.3)
                if way == "stop":
                    await fleet.entries[0].halt()
                for task in tasks:
                    answers.append(await task.join())

            run_fleet(scenario)
            assert [answer.is_complete for answer in answers] == [False] * 3
            assert all(answer.status == 200 and answer.body for answer in answers)
