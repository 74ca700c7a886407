"""Peers that accept a connection and never answer.

Guards against changes that stay unknown because pulls from such peers are waited for.
"""

import socket
import time

import curio
import pytest

from platforms import PEER_PORT, PlatformFleet, next_host, run_fleet
from tamaracktray.node_events import PullSnapshots
from tamaracktray.node_process import MAX_CONCURRENT_PULLS, NodeProcess
from tamaracktray.peer_pulls import reads_store
from tamaracktray.snapshots import Collection
from tamaracktray.store_readers import READERS_PER_REGION
from tamaracktray.types import Address

DRAIN_S = 2.0
ENTRIES = 4


@pytest.fixture
def silent_addresses():
    listeners = []
    for _ in range(MAX_CONCURRENT_PULLS):
        listener = socket.create_server((next_host(), PEER_PORT))
        listeners.append(listener)
    yield [Address(*listener.getsockname()) for listener in listeners]
    for listener in listeners:
        listener.close()


def list_non_readers(fleet: PlatformFleet) -> list[NodeProcess]:
    now = time.monotonic()
    return [
        entry
        for entry in fleet.entries
        if not reads_store(entry.state, now, Collection.ENDPOINTS)
    ]


class TestSilentPeers:
    def test_removed_endpoint_is_known_while_pulls_are_not_answered(
        self, silent_addresses
    ):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start(entries=ENTRIES)
            for name in ("gone", "staying"):
                await fleet.add_worker(name)
            await fleet.until(
                lambda: all(
                    len(entry.state.roster.records_by_id) == 2
                    for entry in fleet.entries
                )
            )
            await fleet.until(
                lambda: len(list_non_readers(fleet)) == ENTRIES - READERS_PER_REGION
            )
            for entry in list_non_readers(fleet):
                for address in silent_addresses:
                    await entry._start_pull(PullSnapshots(address))
            await curio.sleep(0.05)
            fleet.store.remove("servers", "gone")
            await fleet.until(
                lambda: all(
                    "gone" not in entry.state.roster.records_by_id
                    for entry in fleet.entries
                ),
                DRAIN_S,
            )

        run_fleet(scenario)
