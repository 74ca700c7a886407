"""Configuration updates from the platform: stale replicas, gaps and invalid objects.

Guards against a stale replica that reverts changes, and against an invalid object that
prevents all updates.
"""

from types import SimpleNamespace

import curio
import msgspec
import pytest
from returns.result import Failure, Success

from raw_endpoints import Framing, RawAnswer, RawEndpoint
from tamaracktray.effects import SendAttempt
from tamaracktray.entry import EntryShell
from tamaracktray.exceptions import RevisionExpiredError
from tamaracktray.exchange import fetch, open_exchange
from tamaracktray.http import HttpServer
from tamaracktray.instances import InstanceList
from tamaracktray.objects import CONFIGURATION
from tamaracktray.outcomes import AttemptPhase
from tamaracktray.resources import Kind
from tamaracktray.settings import load_settings
from tamaracktray.testing import MemoryObjectStore
from tamaracktray.types import Address

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


class TestAgentAnswers:
    @pytest.mark.parametrize("framing", Framing)
    def test_answer_of_an_agent_is_complete_only_by_its_framing(
        self, make_shell, framing
    ):
        """Agents always frame their answers; one without framing was broken off."""
        ended = []

        async def answer(raw: RawAnswer) -> None:
            await raw.respond(framing, b"the answer")

        async def run():
            shell = make_shell(MemoryObjectStore())
            agent = RawEndpoint(answer)
            await agent.open()

            async def relay(request, responder):
                opened = await open_exchange(agent.address, "GET", "/", [])
                exchange = opened.unwrap()
                await exchange.read_head(1.0)
                decision = SendAttempt("id-1", 1, "agent-1", agent.address)
                pending = SimpleNamespace(responder=responder)
                ended.append(await shell._relay_body(pending, decision, exchange, None))
                await exchange.close()

            server = HttpServer(Address("127.0.0.1", 0), relay)
            await server.open()
            await curio.spawn(server.serve, daemon=True)
            return await fetch(server.address, "GET", "/")

        reply = curio.run(run)
        is_complete = framing is not Framing.NEITHER
        assert isinstance(reply, Success) is is_complete
        expected = AttemptPhase.ANSWERED if is_complete else AttemptPhase.CUT
        assert [attempt.phase for attempt in ended] == [expected]
