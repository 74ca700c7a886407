"""Exchange of configuration, crash notes and contacts between peers.

Guards against changes that never reach a peer which lacks them, and against answers to
a peer with another shared key.
"""

import time

import curio
import msgspec
import pytest

from tamaracktray.configuration import Configuration
from tamaracktray.control import ControlClient, ControlServer, ControlSnapshot
from tamaracktray.events import CrashNote
from tamaracktray.testing import make_zone
from tamaracktray.types import Address

LOOPBACK = Address("127.0.0.1", 0)
ZONE = make_zone("z", 5)
DELETED_ZONE = msgspec.structs.replace(make_zone("gone", 7), deleted=True)


def make_snapshot(name: str, resources, revision: int) -> ControlSnapshot:
    configuration = Configuration().merge(resources, revision)
    now = time.monotonic()
    notes = [CrashNote("f", "m", now + 10)]
    return ControlSnapshot(
        name, "zone-a", LOOPBACK, configuration, notes, {"zone-a": now + 5}, False
    )


def exchange(server_snapshot, client_snapshot, *, key: str = "", client_key: str = ""):
    server = ControlServer(LOOPBACK, key, server_snapshot)
    server.start()
    client = ControlClient(client_key or key)
    try:
        return curio.run(client.exchange, server.address, client_snapshot)
    finally:
        client.close()
        server.stop()


class TestExchange:
    @pytest.mark.parametrize(
        ("known", "revision", "names"),
        [
            ([], 0, {"z", "gone"}),
            ([ZONE], 0, {"z", "gone"}),
            ([ZONE], 6, {"gone"}),
            ([ZONE, DELETED_ZONE], 9, set()),
        ],
    )
    def test_returns_changes_missing_at_the_caller(self, known, revision, names):
        server = make_snapshot("server", [ZONE, DELETED_ZONE], 9)
        result = exchange(server, make_snapshot("client", known, revision)).unwrap()
        assert {resource.name for resource in result.changes} == names
        assert result.revision == 9
        assert result.peer_report.is_caught_up

    def test_returns_crash_notes_and_contacts(self):
        snapshot = make_snapshot("server", [ZONE], 9)
        result = exchange(snapshot, make_snapshot("client", [], 0)).unwrap()
        [note] = result.peer_report.crash_notes
        assert (note.fingerprint, note.endpoint) == ("f", "m")
        assert note.deadline <= time.monotonic() + 10
        assert set(result.peer_report.contact_deadline_by_zone) == {"zone-a"}

    @pytest.mark.parametrize(("client_key", "works"), [("k", True), ("x", False)])
    def test_shared_key(self, client_key, works):
        snapshot = make_snapshot("server", [ZONE], 9)
        client = make_snapshot("client", [], 0)
        result = exchange(snapshot, client, key="k", client_key=client_key)
        assert (result.value_or(None) is not None) is works
