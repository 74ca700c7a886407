"""Calls whose endpoint falls silent while something else changes.

Guards against an answer that is given up for a silence although no other endpoint goes
on with it: what allowed the move may have changed before it is carried out.
"""

import time
from collections.abc import Callable
from functools import partial
from typing import Any

import curio
import msgspec
import pytest

from platforms import ENGINES, ORDERS, PlatformFleet, run_fleet
from raw_endpoints import Framing, RawAnswer, build_events, list_endpoint
from tamaracktray.calls import AbandonAttempt
from tamaracktray.effects import Effect
from tamaracktray.endpoint_limits import EndpointLimitReceived
from tamaracktray.entry_process import EntryProcess
from tamaracktray.events import Event
from tamaracktray.node_events import CollectionListed
from tamaracktray.notices import EndpointNoticeReceived
from tamaracktray.objects import StoredObject
from tamaracktray.routes import Backend, RepeatKind, Route
from tamaracktray.snapshots import Collection
from tamaracktray.suspicions import CrashReport, Incarnation
from tamaracktray_emulator.platform.documents import build_route
from tamaracktray_emulator.platform.worker import EVENTS

SILENT_S = 1.3
# Events before the first silence.
FIRST_EVENTS = 2

# Of this reserve an entry without peers uses one retry.
RESERVE_OF_ONE = 4.0

Change = Callable[[EntryProcess, str], list[Event]]


def list_objects(
    entry: EntryProcess, collection: Collection, *objects: StoredObject
) -> list[Event]:
    """Return the event of a new content of a collection."""
    known = entry.state.snapshot_cache.by_collection[collection]
    revision, era = known.revision + 1, entry.store.era
    now = time.monotonic()
    return [CollectionListed(now, collection, list(objects), revision, era)]


def replace_table(entry: EntryProcess, **fields: Any) -> list[Event]:
    table = entry.state.index.table
    changed = msgspec.structs.replace(table, version=table.version + 1, **fields)
    return list_objects(entry, Collection.ROUTING, StoredObject("main", 0, changed))


def replace_routes(entry: EntryProcess, **fields: Any) -> list[Event]:
    def change(route: Route) -> Route:
        return msgspec.structs.replace(route, **fields)

    return replace_table(
        entry, routes=tuple(change(route) for route in entry.state.index.table.routes)
    )


def allow_one_attempt(entry: EntryProcess, other: str) -> list[Event]:
    return replace_routes(entry, max_attempts=1)


def forbid_repeats(entry: EntryProcess, other: str) -> list[Event]:
    return replace_routes(entry, kind=RepeatKind.UNSAFE, is_resumable=False)


def drop_routes(entry: EntryProcess, other: str) -> list[Event]:
    return replace_table(entry, routes=())


def drop_keys(entry: EntryProcess, other: str) -> list[Event]:
    return replace_table(entry, teams=())


def change_region(entry: EntryProcess, other: str) -> list[Event]:
    return replace_routes(entry, allowed_regions=("region-b",))


def change_service(entry: EntryProcess, other: str) -> list[Event]:
    return replace_routes(entry, backends=(Backend("another"),))


def drop_service(entry: EntryProcess, other: str) -> list[Event]:
    return replace_table(entry, services_by_name={})


def evacuate_zones(entry: EntryProcess, other: str) -> list[Event]:
    zones = [StoredObject(zone, 0, zone) for zone in ("zone-a", "zone-b")]
    return list_objects(entry, Collection.EVACUATIONS, *zones)


def remove_other(entry: EntryProcess, other: str) -> list[Event]:
    known = entry.state.snapshot_cache.by_collection[Collection.ENDPOINTS]
    kept = [item for name, item in known.objects_by_name.items() if name != other]
    return list_objects(entry, Collection.ENDPOINTS, *kept)


def announce_leaving(entry: EntryProcess, other: str) -> list[Event]:
    return [EndpointNoticeReceived(time.monotonic(), other, True, None)]


def pause_other(entry: EntryProcess, other: str) -> list[Event]:
    return [EndpointNoticeReceived(time.monotonic(), other, False, 5.0)]


def limit_other(entry: EntryProcess, other: str) -> list[Event]:
    now = time.monotonic()
    return [EndpointLimitReceived(now, other, 0.0, now)]


def quarantine_request(entry: EntryProcess, other: str) -> list[Event]:
    (pending,) = entry.state.gateway.pending_by_id.values()
    reports = [
        CrashReport(pending.call.fingerprint, Incarnation(f"e-{number}", 1), 0.1)
        for number in (7, 8)
    ]
    entry.state.crashes.merge(time.monotonic(), reports)
    return []


CHANGES: list[Change] = [
    allow_one_attempt,
    forbid_repeats,
    drop_routes,
    drop_keys,
    change_region,
    change_service,
    drop_service,
    evacuate_zones,
    remove_other,
    announce_leaving,
    pause_other,
    limit_other,
    quarantine_request,
]


def intervene(entry: EntryProcess, react: Callable[[], list[Event]]) -> None:
    """Reduce further events right behind each decision to abandon an attempt."""
    reduce = entry.reduce

    def reduce_with_changes(event: Event) -> list[Effect]:
        effects = reduce(event)
        if any(isinstance(item, AbandonAttempt) for item in effects):
            for following in react():
                effects.extend(reduce(following))
        return effects

    entry.reduce = reduce_with_changes


async def start_engines(fleet: PlatformFleet, count: int) -> None:
    await fleet.start()
    for number in range(count):
        engine = await fleet.add_engine(f"e-{number}")
        engine.pause_after = FIRST_EVENTS
        engine.pause_s = SILENT_S
    await fleet.until_listed(count)


def list_used(fleet: PlatformFleet) -> list[str]:
    return [name for name, worker in fleet.workers.items() if worker.runs]


class TestBegunStreams:
    @pytest.mark.parametrize("change", CHANGES, ids=lambda change: change.__name__)
    def test_change_behind_the_decision_to_move_cuts_no_stream(self, change):
        moves: list[str] = []

        async def scenario(fleet: PlatformFleet) -> None:
            await start_engines(fleet, 2)
            entry = fleet.entries[0]

            def react() -> list[Event]:
                (used,) = list_used(fleet)
                (other,) = (name for name in fleet.workers if name != used)
                moves.append(other)
                return change(entry, other)

            intervene(entry, react)
            reply = await fleet.call("/talk/1", wait_ms=6_000)
            assert reply.status == 200
            assert reply.body.count(b"id:") == EVENTS

        run_fleet(scenario, repeat_ratio=0.0, repeat_reserve=RESERVE_OF_ONE)
        assert moves

    def test_second_silence_of_a_request_cuts_no_stream(self):
        async def scenario(fleet: PlatformFleet) -> None:
            fleet.routes[0] = build_route(
                "talk", "stream", ENGINES, maxAttempts=3, timeoutMs=6_000
            )
            await start_engines(fleet, 4)

            def react() -> list[Event]:
                for engine in fleet.workers.values():
                    engine.pause_after += FIRST_EVENTS
                return []

            intervene(fleet.entries[0], react)
            reply = await fleet.call("/talk/1", wait_ms=6_000)
            assert reply.status == 200
            assert reply.body.count(b"id:") == EVENTS
            assert len(list_used(fleet)) > 1

        run_fleet(scenario)

    def test_stream_goes_on_where_its_endpoint_does_so_first(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await start_engines(fleet, 2)
            calling = await curio.spawn(partial(fleet.call, "/talk/1", wait_ms=6_000))
            await fleet.until(lambda: list_used(fleet))
            (used,) = list_used(fleet)
            for name, engine in fleet.workers.items():
                if name != used:
                    engine.pause_after, engine.pause_s = FIRST_EVENTS, 4.0
            reply = await calling.join()
            assert reply.status == 200
            assert reply.body.count(b"id:") == EVENTS
            assert all(len(worker.runs) == 1 for worker in fleet.workers.values())

        run_fleet(scenario)

    def test_left_endpoint_sees_the_end_once_another_one_answers(self):
        ended_at: list[float] = []

        async def watch(answer: RawAnswer) -> None:
            if ended_at or answer.last_event_id:
                await answer.respond(Framing.CHUNKS, build_events(3))
                return
            await answer.begin(Framing.CHUNKS)
            await answer.send(build_events(1, FIRST_EVENTS))
            await curio.ignore_after(4.0, answer.wait_closed())
            ended_at.append(time.monotonic())

        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            for name in ("e-0", "e-1"):
                await list_endpoint(fleet, name, ENGINES, watch)
            await fleet.until_listed(2)
            reply = await fleet.call("/talk/1", wait_ms=6_000)
            answered_at = time.monotonic()
            assert reply.body == build_events(1)
            await fleet.until(lambda: ended_at)
            assert ended_at[0] - answered_at < 0.5

        run_fleet(scenario)


class TestUnbegunAnswers:
    @pytest.mark.parametrize("change", CHANGES, ids=lambda change: change.__name__)
    def test_change_behind_the_decision_to_move_fails_no_call(self, change):
        moves: list[str] = []
        arrivals: list[str] = []

        async def answer_late(name: str, answer: RawAnswer) -> None:
            arrivals.append(name)
            await curio.sleep(SILENT_S)
            await answer.respond(Framing.LENGTH, b"late", content_type="text/plain")

        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            for name in ("w-0", "w-1"):
                await list_endpoint(fleet, name, ORDERS, partial(answer_late, name))
            await fleet.until_listed(2)
            entry = fleet.entries[0]

            def react() -> list[Event]:
                (other,) = {"w-0", "w-1"} - set(arrivals)
                moves.append(other)
                return change(entry, other)

            intervene(entry, react)
            reply = await fleet.call("/look/1", method="GET", wait_ms=6_000)
            assert (reply.status, reply.body) == (200, b"late")

        run_fleet(scenario, repeat_ratio=0.0, repeat_reserve=RESERVE_OF_ONE)
        assert moves


class TestAbandonedAttempts:
    """Attempts that are abandoned before their answers begin."""

    @pytest.mark.parametrize("path", ["/talk/1", "/look/1", "/order/1"])
    def test_answer_that_has_arrived_by_then_is_whole(self, path):
        is_abandoned = curio.Event()
        answers: list[RawAnswer] = []

        async def answer_early(answer: RawAnswer) -> None:
            answers.append(answer)
            await is_abandoned.wait()
            await curio.sleep(0.1)
            await answer.send(build_events(FIRST_EVENTS))
            await answer.finish()

        async def scenario(fleet: PlatformFleet) -> None:
            fleet.routes[0] = build_route("talk", "stream", ENGINES, resumable=False)
            await fleet.start()
            service = ENGINES if path == "/talk/1" else ORDERS
            await list_endpoint(fleet, "a", service, answer_early)
            await fleet.until_listed(1)
            entry = fleet.entries[0]
            calling = await curio.spawn(partial(fleet.call, path, wait_ms=4_000))
            await fleet.until(lambda: answers)
            (call_id,) = entry.state.gateway.pending_by_id
            entry.state.gateway.pending_by_id[call_id].is_abandoned = True
            (answer,) = answers
            await answer.begin(Framing.CHUNKS)
            await answer.send(build_events(1, 1))
            abandon = AbandonAttempt(call_id, "version is too old")
            await entry._performers[AbandonAttempt](abandon)
            await is_abandoned.set()
            reply = await calling.join()
            assert (reply.status, reply.body) == (200, build_events(1))

        run_fleet(scenario)
