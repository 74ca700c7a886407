"""A request that crashes the workers which run it is contained across the fleet.

Guards against entries that keep sending it because they lost or never received its
quarantine: after a restart, without beacons or in a store outage.
"""

import curio
import pytest

from crashes import ALLOWED_RETRIES, BOUNDS, CONTACT_S, EXPIRY_S, CrashHarness
from platforms import PlatformFleet, run_fleet
from tamaracktray.node_process import NodeProcess
from tamaracktray_emulator.platform.store import Outage
from tamaracktray_emulator.platform.worker import CrashMode, Mode

# Time within which the list shows whether a worker has crashed, and time for which data
# that it sent before may still be read, in seconds.
VERDICT_S = EXPIRY_S + 4.0
IN_FLIGHT_DATA_S = 0.3


def run_scenario(scenario, ending: CrashMode, **size: int) -> None:
    """Run a scenario with a fleet whose workers crash on one fatal request."""

    async def main(fleet: PlatformFleet) -> None:
        harness = CrashHarness(fleet, ending)
        try:
            await harness.start(**size)
            await scenario(harness)
        finally:
            await harness.close()

    run_fleet(main, **BOUNDS)


class TestFatalRequestIsContained:
    @pytest.mark.parametrize("path", ["/look/1", "/order/1"])
    @pytest.mark.parametrize(
        ("ending", "entries", "gap_s"),
        [
            (CrashMode.RESET, 1, 0.2),
            (CrashMode.RESET, 4, 0.2),
            (CrashMode.RESET, 10, 0.5),
            (CrashMode.SILENCE, 1, 0.3),
            (CrashMode.SILENCE, 4, 0.3),
            (CrashMode.SILENCE, 10, 0.5),
        ],
    )
    def test_fatal_request_stops_reaching_workers(self, ending, entries, gap_s, path):
        async def scenario(harness: CrashHarness) -> None:
            await harness.send_series(count=int(8.0 / gap_s), gap_s=gap_s, path=path)
            assert harness.count_uncontained_runs() <= ALLOWED_RETRIES

        run_scenario(scenario, ending, entries=entries, workers=4)

    def test_restarted_entries_keep_the_quarantine(self):
        async def scenario(harness: CrashHarness) -> None:
            fleet = harness.fleet
            await harness.send_series(count=6, gap_s=0.5)
            await curio.sleep(CONTACT_S)
            for number in range(len(fleet.entries)):
                await fleet.restart_entry(number)
                await fleet.until(lambda: fleet.entries[0].state.is_initialized)
                await curio.sleep(CONTACT_S)
                await harness.send_fatal(number)
            await curio.sleep(0.5)
            assert harness.count_uncontained_runs() <= ALLOWED_RETRIES

        run_scenario(scenario, CrashMode.RESET, entries=4, workers=4)

    def test_simultaneous_restart_of_all_entries_keeps_the_quarantine(self):
        async def scenario(harness: CrashHarness) -> None:
            await harness.send_series(count=6, gap_s=0.5)
            await curio.sleep(CONTACT_S)
            await harness.fleet.restart_all()
            await harness.send_series(count=8, gap_s=0.5)
            assert harness.count_uncontained_runs() <= ALLOWED_RETRIES

        run_scenario(scenario, CrashMode.RESET, entries=4, workers=4)

    @pytest.mark.parametrize("ending", list(CrashMode))
    def test_quarantine_reaches_entries_without_beacons(self, ending, monkeypatch):
        async def send_nothing(*_args, **_options) -> None:
            return

        monkeypatch.setattr(NodeProcess, "send_beacon", send_nothing)

        async def scenario(harness: CrashHarness) -> None:
            await harness.send_series(count=16, gap_s=0.5)
            assert harness.count_uncontained_runs() <= ALLOWED_RETRIES

        run_scenario(scenario, ending, entries=8, workers=4)

    @pytest.mark.parametrize("outage", [Outage.SILENT, Outage.RESET])
    def test_quarantine_from_a_store_outage_reaches_all_entries(self, outage):
        async def scenario(harness: CrashHarness) -> None:
            store = harness.fleet.store
            store.faults.outage = outage
            await harness.send_series(count=4, gap_s=0.5)
            store.faults.outage = Outage.NONE
            await curio.sleep(CONTACT_S)
            await harness.fleet.restart_all()
            await harness.send_series(count=8, gap_s=0.5)
            assert harness.count_uncontained_runs() <= ALLOWED_RETRIES

        run_scenario(scenario, CrashMode.RESET, entries=4, workers=6)


class TestHarmlessRequestIsServed:
    async def break_answers(self, fleet: PlatformFleet) -> None:
        """Send the request once while all workers break off their answers."""
        for worker in fleet.workers.values():
            worker.mode = Mode.CUTTING
        await fleet.call("/look/1", "broken", body=b"a bowl")
        for worker in fleet.workers.values():
            worker.mode = Mode.GOOD

    def test_request_whose_answers_broke_off_is_served_again(self):
        async def scenario(harness: CrashHarness) -> None:
            fleet = harness.fleet
            await self.break_answers(fleet)
            await curio.sleep(VERDICT_S)
            reply = await fleet.call("/look/1", "again", body=b"a bowl")
            assert reply.status == 200

        run_scenario(scenario, CrashMode.RESET, entries=2, workers=3)

    def test_request_is_served_at_once_if_its_endpoints_answer_others(self):
        async def scenario(harness: CrashHarness) -> None:
            fleet = harness.fleet
            await self.break_answers(fleet)
            await curio.sleep(2 * IN_FLIGHT_DATA_S)
            others = [
                await curio.spawn(fleet.call, "/look/1", f"other-{number}")
                for number in range(6)
            ]
            for other in others:
                await other.join()
            await curio.sleep(0.1)
            reply = await fleet.call("/look/1", "again", body=b"a bowl")
            assert reply.status == 200

        run_scenario(scenario, CrashMode.RESET, entries=1, workers=3)
