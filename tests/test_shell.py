"""Configuration updates from the platform: stale replicas, gaps and invalid objects.

Guards against a stale replica that reverts changes, and against an invalid object that
prevents all updates.
"""

import curio
import msgspec
import pytest
from returns.result import Failure, Success

from tamaracktray.entry import EntryShell
from tamaracktray.exceptions import RevisionExpiredError
from tamaracktray.instances import InstanceList
from tamaracktray.objects import CONFIGURATION
from tamaracktray.resources import Kind
from tamaracktray.settings import load_settings
from tamaracktray.testing import MemoryObjectStore

ENTRY_INI = """
[node]
role = entry
name = entry-1
zone = zone-a
region = region-a
listen = 127.0.0.1:0
control = 127.0.0.1:0
[platform]
object_api = 127.0.0.1:1
instance_list = 127.0.0.1:1
"""


class EmptyInstanceList(InstanceList):
    async def list(self):
        return Success([])


class GappedStore(MemoryObjectStore):
    """Reports every watched revision as expired."""

    async def watch(self, collection, revision, timeout_s):
        return Failure(RevisionExpiredError("gone"))


def zone_value(*, out: bool):
    spec = {"region": "region-a", "out": out}
    return {"kind": "zones", "name": "zone-a", "spec": spec}


@pytest.fixture
def make_shell(tmp_path):
    path = tmp_path / "entry.ini"
    path.write_text(ENTRY_INI)

    def make(store):
        settings = load_settings(path).unwrap()
        return EntryShell(settings, store, EmptyInstanceList())

    return make


async def write_zone(store, version: int, *, out: bool) -> int:
    value = zone_value(out=out)
    written = await store.put(CONFIGURATION, "zones.zone-a", value, version, "w")
    return written.unwrap().version


class TestConfigurationUpdates:
    def test_watch_applies_changes(self, make_shell):
        async def run():
            store = MemoryObjectStore()
            shell = make_shell(store)
            version = await write_zone(store, 0, out=False)
            assert await shell._list_objects() is None
            await write_zone(store, version, out=True)
            assert await shell._watch_objects() is None
            return shell.state.configuration

        assert curio.run(run).is_zone_out("zone-a")

    @pytest.mark.parametrize("reads", ["list", "watch"])
    def test_stale_replica_does_not_revert_changes(self, make_shell, reads):
        async def run():
            store = MemoryObjectStore()
            shell = make_shell(store)
            version = await write_zone(store, 0, out=False)
            stale = MemoryObjectStore()
            stale.revision = store.revision
            stale.objects = dict(store.objects)
            stale.changes = list(store.changes)
            await write_zone(store, version, out=True)
            await shell._list_objects()
            shell.store = stale
            if reads == "list":
                await shell._list_objects()
            await shell._watch_objects()
            return shell.state.configuration

        assert curio.run(run).is_zone_out("zone-a")

    def test_expired_revision_is_reported(self, make_shell):
        async def run():
            store = GappedStore()
            shell = make_shell(store)
            await write_zone(store, 0, out=False)
            await shell._list_objects()
            return await shell._watch_objects()

        assert isinstance(curio.run(run), RevisionExpiredError)

    def test_list_removes_deleted_objects(self, make_shell):
        async def run():
            store = MemoryObjectStore()
            shell = make_shell(store)
            version = await write_zone(store, 0, out=True)
            await shell._list_objects()
            await store.delete(CONFIGURATION, "zones.zone-a", version, "w")
            await shell._list_objects()
            return shell.state.configuration

        assert curio.run(run).get(Kind.ZONE, "zone-a") is None

    def test_invalid_objects_are_skipped(self, make_shell):
        async def run():
            store = MemoryObjectStore()
            shell = make_shell(store)
            await store.put(CONFIGURATION, "zones.bad", {"kind": "kings"}, 0, "w")
            await write_zone(store, 0, out=True)
            await shell._list_objects()
            return shell.state.configuration

        configuration = curio.run(run)
        assert list(configuration.by_key) == ["zones.zone-a"]
        assert msgspec.json.encode(configuration)
