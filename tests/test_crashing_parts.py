"""A prompt part that crashes the engines which answer it is contained across the fleet.

Guards against quarantines of single requests while different ones share the fatal part,
and against a quarantine of parts that sound requests share.
"""

import functools
import time

import curio
import pytest

from crashes import CONTACT_S
from part_crashes import ALLOWED_REQUESTS, PartCrashHarness, run_scenario
from tamaracktray.call_building import digest_parts
from tamaracktray.node_process import NodeProcess
from tamaracktray_emulator.platform.store import Outage
from tamaracktray_emulator.platform.worker import CrashMode, CrashPoint

FATAL_PARTS = ("dead01", "dead02")

# Time of contact of the platform; timeouts of the store's client are not scaled down.
OUTAGE_RECOVERY_S = 3.0

# Smallest share of sound requests that are served beside fatal ones.
MIN_SOUND_SHARE = 0.5


# Longest time after which all entries know of a crash, in seconds.
MAX_NEWS_S = 0.25


class TestNews:
    async def measure_spread(
        self, harness: PartCrashHarness, entry: int, part: str
    ) -> float:
        """Crash an engine; return how long the news takes to all entries."""
        fleet = harness.fleet
        (digest,) = digest_parts((part,))
        watches = [item.state.part_crashes for item in fleet.entries]
        send = functools.partial(harness.send, part, entry=entry)
        await curio.spawn(send, daemon=True)
        await fleet.until(lambda: watches[entry].is_suspected(digest))
        suspected_at = time.monotonic()
        await fleet.until(lambda: all(item.is_suspected(digest) for item in watches))
        return time.monotonic() - suspected_at

    def test_all_entries_know_of_a_crash_at_once(self):
        parts = ("dead01", "dead02", "dead03", "dead04")

        async def scenario(harness: PartCrashHarness) -> None:
            states = [item.state for item in harness.fleet.entries]
            await harness.fleet.until(
                lambda: all(len(item.peers.members_by_name) == 5 for item in states)
            )
            for number, part in enumerate(parts):
                spread_s = await self.measure_spread(harness, number, part)
                assert spread_s < MAX_NEWS_S

        run_scenario(scenario, entries=6, engines=12, fatal_parts=parts)


class TestFatalPartIsContained:
    @pytest.mark.parametrize("crash_point", list(CrashPoint))
    @pytest.mark.parametrize(("entries", "engines"), [(1, 12), (4, 16), (10, 30)])
    def test_fatal_part_of_different_requests_stops_reaching_engines(
        self, crash_point, entries, engines
    ):
        async def scenario(harness: PartCrashHarness) -> None:
            started_at = time.monotonic()
            await harness.send_series(duration_s=9.0, gap_s=0.3)
            assert harness.count_uncontained() <= ALLOWED_REQUESTS
            share = harness.measure_sound_share(started_at + 2 * CONTACT_S)
            assert share >= MIN_SOUND_SHARE

        run_scenario(
            scenario, entries=entries, engines=engines, crash_point=crash_point
        )

    def test_engines_that_fall_silent_on_a_fatal_part_are_recognized(self):
        async def scenario(harness: PartCrashHarness) -> None:
            await harness.send_series(duration_s=9.0, gap_s=0.3)
            assert harness.count_uncontained() <= ALLOWED_REQUESTS

        run_scenario(scenario, entries=4, engines=16, crash_mode=CrashMode.SILENCE)

    def test_two_fatal_parts_at_once_stop_reaching_engines(self):
        async def scenario(harness: PartCrashHarness) -> None:
            started_at = time.monotonic()
            await harness.send_series(duration_s=9.0, gap_s=0.2)
            for part in FATAL_PARTS:
                assert harness.count_uncontained(part) <= ALLOWED_REQUESTS
            share = harness.measure_sound_share(started_at + 2 * CONTACT_S)
            assert share >= MIN_SOUND_SHARE

        run_scenario(scenario, entries=4, engines=24, fatal_parts=FATAL_PARTS)

    @pytest.mark.parametrize("entries", [1, 3])
    def test_crashes_of_all_engines_do_not_quarantine_shared_parts(self, entries):
        async def scenario(harness: PartCrashHarness) -> None:
            started_at = time.monotonic()
            await harness.send_series(duration_s=12.0, gap_s=0.3)
            assert harness.count_uncontained() <= ALLOWED_REQUESTS
            share = harness.measure_sound_share(started_at + 4 * CONTACT_S)
            assert share >= MIN_SOUND_SHARE

        run_scenario(scenario, entries=entries, engines=3)

    def test_restart_of_all_entries_keeps_the_quarantine(self):
        async def scenario(harness: PartCrashHarness) -> None:
            await harness.send_series(duration_s=4.0, gap_s=0.3)
            await curio.sleep(CONTACT_S)
            await harness.fleet.restart_all()
            await harness.send_series(duration_s=4.0, gap_s=0.3)
            assert harness.count_uncontained() <= ALLOWED_REQUESTS

        run_scenario(scenario, entries=4, engines=16)

    def test_entries_restarted_amid_crashes_of_all_engines_serve_sound_requests(self):
        async def scenario(harness: PartCrashHarness) -> None:
            await harness.send_series(duration_s=2.0, gap_s=0.3)
            await harness.fleet.restart_all()
            restarted_at = time.monotonic()
            await harness.send_series(duration_s=12.0, gap_s=0.3)
            assert harness.count_uncontained() <= ALLOWED_REQUESTS
            share = harness.measure_sound_share(restarted_at + 4 * CONTACT_S)
            assert share >= MIN_SOUND_SHARE

        run_scenario(scenario, entries=4, engines=3)

    def test_quarantine_reaches_entries_without_beacons(self, monkeypatch):
        async def send_nothing(*_args, **_options) -> None:
            return

        monkeypatch.setattr(NodeProcess, "send_beacon", send_nothing)

        async def scenario(harness: PartCrashHarness) -> None:
            await harness.send_series(duration_s=9.0, gap_s=0.3)
            assert harness.count_uncontained() <= ALLOWED_REQUESTS

        run_scenario(scenario, entries=2, engines=24)

    @pytest.mark.parametrize("outage", [Outage.SILENT, Outage.RESET])
    def test_quarantine_from_a_store_outage_reaches_all_entries(self, outage):
        async def scenario(harness: PartCrashHarness) -> None:
            faults = harness.fleet.store.faults
            faults.outage = outage
            await harness.send_series(duration_s=4.0, gap_s=0.3)
            faults.outage = Outage.NONE
            await curio.sleep(OUTAGE_RECOVERY_S)
            await harness.fleet.restart_all()
            await harness.send_series(duration_s=4.0, gap_s=0.3)
            assert harness.count_uncontained() <= ALLOWED_REQUESTS

        run_scenario(scenario, entries=4, engines=20)
