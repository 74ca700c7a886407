"""Connections to the store that go silent for good while new ones work.

Guards against changes that stay unknown until such a watch ends by itself, long after
the processes count as connected again.
"""

import time

import curio
import pytest

from platforms import PlatformFleet, run_fleet
from tamaracktray_emulator.platform.store import PlatformStoreStandIn

# Silent connections count as reset ones: processes are connected again after this time.
CONTACT_S = 3.0

# Longest time from an acknowledged evacuation to the last call.
EVACUATE_S = 5.0

ENTRIES = 4


def silence(fleet: PlatformFleet) -> float:
    """Make all watches that are open now silent, and return the time."""
    fleet.store.faults.silent_before = time.monotonic()
    return fleet.store.faults.silent_before


async def start(fleet: PlatformFleet) -> None:
    """Start entries of which some don't read the endpoints, with usual timeouts."""
    fleet.store_options = {}
    await fleet.start(entries=ENTRIES)
    for name in ("leaving", "gone", "staying"):
        await fleet.add_worker(name)
    await fleet.until(
        lambda: all(
            len(entry.state.roster.records_by_id) == 3 for entry in fleet.entries
        )
    )
    await curio.sleep(1.5)


async def change_configuration(fleet: PlatformFleet) -> None:
    """Change the configuration, and wait until no process watches it."""
    fleet.configure()
    version = fleet.version
    await fleet.until(
        lambda: any(
            entry.state.index.table.version == version for entry in fleet.entries
        )
    )
    await curio.sleep(0.05)


async def assert_known(fleet: PlatformFleet, silent_at: float) -> None:
    """Let an endpoint leave, remove another and evacuate a zone, and wait for it."""
    changed_at = time.monotonic()
    fleet.list_worker(fleet.workers["leaving"], state="draining")
    fleet.store.remove("servers", "gone")
    fleet.store.write("evacuations", "zone-b", {})
    await curio.sleep(silent_at + CONTACT_S - time.monotonic())
    outdated: list[str] = []
    for entry in fleet.entries:
        records_by_id = entry.state.roster.records_by_id
        if "gone" in records_by_id or not records_by_id["leaving"].is_draining:
            outdated.append(entry.state.name)
    assert outdated == []
    await curio.sleep(changed_at + EVACUATE_S - time.monotonic())
    assert all(entry.state.evacuated_zones for entry in fleet.entries)


class HangingStore:
    """Makes a store hold all calls, and answer them when it no longer hangs."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.is_hanging = False
        for name in ("_list", "_watch", "_send"):
            method = getattr(PlatformStoreStandIn, name)
            patch.setattr(PlatformStoreStandIn, name, self._hold(method))

    def _hold(self, method):
        async def held(*args) -> None:
            while self.is_hanging:
                await curio.sleep(0.02)
            await method(*args)

        return held


class TestHangingStore:
    @pytest.mark.parametrize("silence_s", [3.2, 4.2, 6.5])
    def test_endpoint_that_expires_while_the_store_hangs_is_kept(
        self, silence_s, monkeypatch
    ):
        store = HangingStore(monkeypatch)

        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            worker = await fleet.add_worker("w-1")
            await fleet.until_listed(1)
            await curio.sleep(1.0)
            assert (await fleet.call("/order/1", "first")).status == 200
            store.is_hanging = True
            await curio.sleep(silence_s)
            fleet.store.remove("servers", "w-1")
            store.is_hanging = False
            for number in range(12):
                await curio.sleep(0.1)
                reply = await fleet.call("/order/1", f"id-{number}")
                assert reply.status == 200
            fleet.list_worker(worker)

        run_fleet(scenario)


class TestSilentWatches:
    @pytest.mark.parametrize("leaves_after_s", [0.05, 1.0])
    def test_changes_are_known_once_connected_again(self, leaves_after_s):
        async def scenario(fleet: PlatformFleet) -> None:
            await start(fleet)
            # The next watch of the configuration is not open yet.
            await change_configuration(fleet)
            silent_at = silence(fleet)
            await curio.sleep(leaves_after_s)
            await assert_known(fleet, silent_at)

        run_fleet(scenario)

    @pytest.mark.parametrize("probe_age_s", [0.1, 0.5, 1.0])
    def test_changes_are_known_if_the_probe_is_silent_too(self, probe_age_s):
        async def scenario(fleet: PlatformFleet) -> None:
            await start(fleet)
            await change_configuration(fleet)
            await curio.sleep(0.4 + probe_age_s)
            silent_at = silence(fleet)
            await curio.sleep(0.05)
            await assert_known(fleet, silent_at)

        run_fleet(scenario)
