"""Contract of the object API, checked on the in-memory fake and the HTTP client.

Guards against lost updates, and against a wrong outcome of a write whose answer was
lost.
"""

import curio
import msgspec
import pytest

from tamaracktray.exceptions import (
    ConflictError,
    ObjectNotFoundError,
    PlatformUnavailableError,
    WriteOutcomeUnknownError,
)
from tamaracktray.objects import CONFIGURATION, HttpObjectStore, put_and_confirm
from tamaracktray.testing import MemoryObjectStore
from tamaracktray.types import Address
from tamaracktray_emulator.object_api import ObjectApiStandIn

LOOPBACK = Address("127.0.0.1", 0)


class MemoryCase:
    """Runs a test against the in-memory fake."""

    def __init__(self) -> None:
        self.store = MemoryObjectStore()

    def run(self, function):
        return curio.run(function, self.store)

    def start_outage(self) -> None:
        self.store.is_out = True

    def lose_answers(self, count: int) -> None:
        self.store.lose_answers = count


class HttpCase:
    """Runs a test against the HTTP client and an emulated API over a socket."""

    def __init__(self) -> None:
        self.stand_in = ObjectApiStandIn(LOOPBACK)

    def run(self, function):
        async def main():
            await self.stand_in.server.open()
            task = await curio.spawn(self.stand_in.serve, daemon=True)
            store = HttpObjectStore(self.stand_in.server.address, timeout_s=1.0)
            try:
                return await function(store)
            finally:
                await task.cancel()

        return curio.run(main)

    def start_outage(self) -> None:
        self.stand_in.faults.is_out = True

    def lose_answers(self, count: int) -> None:
        self.stand_in.faults.lose_answers = count


@pytest.fixture(params=[MemoryCase, HttpCase])
def case(request):
    return request.param()


class TestContract:
    def test_create_read_update(self, case):
        async def check(store):
            created = (await store.put(CONFIGURATION, "a", {"x": 1}, 0, "w1")).unwrap()
            version = created.version
            updated = await store.put(CONFIGURATION, "a", {"x": 2}, version, "w2")
            found = (await store.get(CONFIGURATION, "a")).unwrap()
            assert found == updated.unwrap()
            assert (found.value, found.writer) == ({"x": 2}, "w2")
            assert found.version > version

        case.run(check)

    @pytest.mark.parametrize("version", [0, 99])
    def test_conditional_write_fails_on_another_version(self, case, version):
        async def check(store):
            first = (await store.put(CONFIGURATION, "a", 1, 0, "w1")).unwrap()
            again = await store.put(CONFIGURATION, "a", 2, version, "w2")
            assert isinstance(again.failure(), ConflictError)
            assert again.failure().current_version == first.version

        case.run(check)

    def test_missing_objects(self, case):
        async def check(store):
            for result in (
                await store.get(CONFIGURATION, "a"),
                await store.put(CONFIGURATION, "a", 1, 5, "w"),
                await store.delete(CONFIGURATION, "a", 5, "w"),
            ):
                assert isinstance(result.failure(), ObjectNotFoundError)

        case.run(check)

    def test_list_and_watch_return_changes(self, case):
        async def check(store):
            await store.put(CONFIGURATION, "a", 1, 0, "w")
            listed = (await store.list(CONFIGURATION)).unwrap()
            assert [item.name for item in listed.items] == ["a"]
            stored = (await store.put(CONFIGURATION, "b", 2, 0, "w")).unwrap()
            await store.put("claims", "other", 2, 0, "w")
            await store.delete(CONFIGURATION, "b", stored.version, "w")
            changes = await store.watch(CONFIGURATION, listed.revision, 1.0)
            items = changes.unwrap().items
            assert [(item.name, item.deleted) for item in items] == [
                ("b", False),
                ("b", True),
            ]
            assert changes.unwrap().revision >= items[-1].version

        case.run(check)

    def test_watch_without_changes_returns_the_revision(self, case):
        async def check(store):
            await store.put(CONFIGURATION, "a", 1, 0, "w")
            revision = (await store.list(CONFIGURATION)).unwrap().revision
            changes = (await store.watch(CONFIGURATION, revision, 0.05)).unwrap()
            assert (changes.items, changes.revision) == ([], revision)

        case.run(check)

    def test_outage(self, case):
        async def check(store):
            case.start_outage()
            read = await store.get(CONFIGURATION, "a")
            assert isinstance(read.failure(), PlatformUnavailableError)
            written = await store.put(CONFIGURATION, "a", 1, 0, "w")
            expected = WriteOutcomeUnknownError | PlatformUnavailableError
            assert isinstance(written.failure(), expected)

        case.run(check)

    def test_lost_answer_is_resolved(self, case):
        async def check(store):
            case.lose_answers(1)
            written = await put_and_confirm(store, CONFIGURATION, "a", 1, 0, "w1")
            assert written.unwrap().writer == "w1"
            case.lose_answers(1)
            version = written.unwrap().version
            changed = await put_and_confirm(store, CONFIGURATION, "a", 2, version, "w2")
            assert changed.unwrap().value == 2

        case.run(check)

    def test_lost_answer_of_a_superseded_write_is_a_conflict(self, case):
        async def check(store):
            first = (await store.put(CONFIGURATION, "a", 1, 0, "w1")).unwrap()
            case.lose_answers(1)
            await store.put(CONFIGURATION, "a", 2, first.version, "w2")
            beaten = await put_and_confirm(
                store, CONFIGURATION, "a", 3, first.version, "w3"
            )
            assert isinstance(beaten.failure(), ConflictError)

        case.run(check)


class TestOddObjects:
    @pytest.mark.parametrize(
        "spec", [b"[" * 3_000 + b"]" * 3_000, b"1e400", b"9" * 5_000, b'"\\ud800"']
    )
    def test_odd_object_hides_no_other(self, spec):
        case = HttpCase()

        async def check(store):
            odd = (await store.put(CONFIGURATION, "odd", 1, 0, "w")).unwrap()
            await store.put(CONFIGURATION, "a", 2, 0, "w")
            case.stand_in.table.objects[CONFIGURATION, "odd"]["spec"] = msgspec.Raw(
                spec
            )
            listed = (await store.list(CONFIGURATION)).unwrap()
            values = {item.name: item.value for item in listed.items}
            assert values == {"a": 2, "odd": None}
            watched = await store.watch(CONFIGURATION, odd.version - 1, 0.2)
            assert watched.unwrap().items[-1].value == 2

        case.run(check)
