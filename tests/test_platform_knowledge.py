"""Configuration, zones and endpoints stay in force during outages of the store.

Guards against entries that drop endpoints whose records expire in an outage, or that
keep outdated data when the store is back.
"""

import curio
import pytest

from platforms import KEY, PlatformFleet, run_fleet
from tamaracktray_emulator.platform.documents import build_route
from tamaracktray_emulator.platform.store import Outage

APPLY_S = 2.0
DRAIN_S = 2.0


class StoreConnection:
    """Cuts one entry off from the store and leaves the others connected."""

    def __init__(self, fleet: PlatformFleet, number: int) -> None:
        self.entry = fleet.entries[number]
        self.address = self.entry.store._address

    def cut(self) -> None:
        self.entry.store._address = type(self.address)(self.address.host, 9)

    def restore(self) -> None:
        self.entry.store._address = self.address


def version_of(fleet: PlatformFleet, number: int = 0) -> int:
    return fleet.entries[number].state.index.table.version


class TestConfiguration:
    def test_entry_cut_off_from_the_store_learns_from_a_peer(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start(entries=2)
            await fleet.until(lambda: fleet.entries[0].state.peers.members_by_name)
            await fleet.until(lambda: fleet.entries[1].state.peers.members_by_name)
            StoreConnection(fleet, 0).cut()
            fleet.store.faults.outage = Outage.RESET
            await curio.sleep(0.1)
            fleet.store.faults.outage = Outage.NONE
            fleet.configure()
            version = fleet.version
            await fleet.until(lambda: version_of(fleet, 0) == version, APPLY_S)

        run_fleet(scenario)

    @pytest.mark.parametrize("outage", [Outage.BUSY, Outage.RATE_LIMITED, Outage.RESET])
    def test_configuration_survives_an_outage_and_then_catches_up(self, outage):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            await fleet.add_worker("w-1")
            await fleet.until(lambda: fleet.entries[0].state.roster.records_by_id)
            fleet.store.faults.outage = outage
            await curio.sleep(0.3)
            assert (await fleet.call("/order/1")).status == 200
            fleet.store.faults.outage = Outage.NONE
            fleet.configure()
            version = fleet.version
            await fleet.until(lambda: version_of(fleet) == version, APPLY_S)

        run_fleet(scenario)

    def test_compacted_history_is_replaced_by_a_list(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            fleet.store.faults.hides_changes = True
            fleet.configure()
            version = fleet.version
            await curio.sleep(0.1)
            assert version_of(fleet) == version - 1
            fleet.store.compact()
            fleet.store.faults.hides_changes = False
            await fleet.until(lambda: version_of(fleet) == version, APPLY_S)

        run_fleet(scenario)

    def test_entry_started_in_an_outage_asks_the_seeds(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            await fleet.add_worker("w-1")
            await fleet.until(lambda: fleet.entries[0].state.roster.records_by_id)
            fleet.store.faults.outage = Outage.BUSY
            await fleet.add_entry()
            await fleet.until(lambda: fleet.entries[1].state.is_initialized, APPLY_S)
            assert (await fleet.call("/order/1", entry=1)).status == 200

        run_fleet(scenario)

    def test_agent_cut_off_from_the_store_learns_of_a_version(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            engine = await fleet.add_engine("e-1")
            agent = await fleet.add_agent(engine)
            await fleet.until(lambda: agent.state.peers.members_by_name)
            address = agent.store._address
            agent.store._address = type(address)(address.host, 9)
            fleet.store.faults.outage = Outage.RESET
            await curio.sleep(0.1)
            fleet.store.faults.outage = Outage.NONE
            fleet.store.write("versions", "kiln-1", {"model": "kiln-1", "version": 2})
            await fleet.until(lambda: engine.version == 2, 8.0)

        run_fleet(scenario)


class TestZones:
    def test_evacuated_zone_gets_no_calls(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            near = await fleet.add_worker("near")
            await fleet.add_worker("far", zone="zone-b")
            state = fleet.entries[0].state
            await fleet.until(lambda: len(state.roster.records_by_id) == 2)
            fleet.store.write("evacuations", "zone-a", {})
            await fleet.until(lambda: state.evacuated_zones)
            for number in range(3):
                reply = await fleet.call("/look/1", f"id-{number}", method="GET")
                assert reply.body == b"answer of far"
            assert near.arrivals == 0
            fleet.store.remove("evacuations", "zone-a")
            await fleet.until(lambda: not state.evacuated_zones)

        run_fleet(scenario)


class TestEndpoints:
    @pytest.mark.parametrize("is_announced", [True, False])
    def test_draining_or_removed_endpoint_gets_no_calls(self, is_announced):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            leaving = await fleet.add_worker("leaving")
            await fleet.add_worker("staying")
            roster = fleet.entries[0].state.roster
            await fleet.until(lambda: len(roster.records_by_id) == 2)
            if is_announced:
                fleet.list_worker(leaving, state="draining")
                await fleet.until(lambda: roster.records_by_id["leaving"].is_draining)
            else:
                fleet.store.remove("servers", "leaving")
                await fleet.until(lambda: len(roster.records_by_id) == 1, DRAIN_S)
            for number in range(4):
                reply = await fleet.call("/look/1", f"id-{number}", method="GET")
                assert reply.body == b"answer of staying"

        run_fleet(scenario)

    def test_endpoint_that_expires_in_an_outage_is_kept(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            worker = await fleet.add_worker("w-1")
            roster = fleet.entries[0].state.roster
            await fleet.until(lambda: roster.records_by_id)
            fleet.store.faults.outage = Outage.BUSY
            await curio.sleep(0.2)
            fleet.store.remove("servers", "w-1")
            fleet.store.faults.outage = Outage.NONE
            await curio.sleep(0.7)
            assert (await fleet.call("/order/1")).status == 200
            fleet.list_worker(worker)
            await curio.sleep(2.0)
            assert (await fleet.call("/order/1", "id-2")).status == 200

        run_fleet(scenario)

    def test_endpoint_still_missing_after_an_outage_is_removed(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            await fleet.add_worker("w-1")
            roster = fleet.entries[0].state.roster
            await fleet.until(lambda: roster.records_by_id)
            fleet.store.faults.outage = Outage.BUSY
            await curio.sleep(0.2)
            fleet.store.remove("servers", "w-1")
            fleet.store.faults.outage = Outage.NONE
            await fleet.until(lambda: not roster.records_by_id, 4.0)

        run_fleet(scenario)

    @pytest.mark.parametrize(
        "spec",
        [
            {},
            "not an entry",
            None,
            {"service": "orders", "address": "nowhere", "zone": "zone-a"},
            {
                "service": "orders",
                "address": "127.0.0.1:9",
                "zone": "zone-a",
                "state": "resting",
                "maxBatchSize": 4,
            },
            {
                "service": 7,
                "address": "127.0.0.1:9",
                "zone": "zone-a",
                "state": "ready",
                "maxBatchSize": "many",
            },
        ],
    )
    def test_invalid_records_add_no_endpoint(self, spec):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            fleet.store.write("servers", "forged", spec)
            await fleet.add_worker("w-1")
            roster = fleet.entries[0].state.roster
            await fleet.until(lambda: "w-1" in roster.records_by_id)
            assert set(roster.records_by_id) == {"w-1"}
            assert (await fleet.call("/order/1")).status == 200

        run_fleet(scenario)

    def test_removed_routes_are_not_served(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            await fleet.add_worker("w-1")
            await fleet.until(lambda: fleet.entries[0].state.roster.records_by_id)
            fleet.routes = [build_route("look", "safe", "orders")]
            fleet.configure()
            version = fleet.version
            await fleet.until(lambda: version_of(fleet) == version)
            assert (await fleet.call("/order/1")).status == 404
            fleet.tenants = []
            fleet.configure()
            version = fleet.version
            await fleet.until(lambda: version_of(fleet) == version)
            reply = await fleet.call("/look/1", key=KEY, method="GET")
            assert reply.status == 200

        run_fleet(scenario)
