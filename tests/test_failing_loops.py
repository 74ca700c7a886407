"""A loop that fails is started again; the process ends only if it can't go on."""

import curio
import pytest

from platforms import PlatformFleet, run_fleet
from tamaracktray.collection_reader import CollectionReader
from tamaracktray.entry_process import EntryProcess
from tamaracktray.events import Tick
from tamaracktray.exceptions import InvariantError
from tamaracktray.snapshots import Collection

FOLLOW_S = 3.0


def fail_times(monkeypatch, owner: type, name: str, times: int, error: Exception):
    """Make a method fail a number of times."""
    method = getattr(owner, name)
    failures: list[int] = []

    def fail_at_first(*args, **kwargs):
        if len(failures) < times:
            failures.append(1)
            raise error
        return method(*args, **kwargs)

    monkeypatch.setattr(owner, name, fail_at_first)
    return failures


class TestLoops:
    # Guards against one unexpected error of a reader that ends the process.
    @pytest.mark.parametrize("collection", [Collection.ENDPOINTS, Collection.MEMBERS])
    def test_process_serves_beside_a_reader_that_fails(self, collection, monkeypatch):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start(entries=2)
            await fleet.add_worker("w-1")
            await fleet.until_listed(1)
            watch = CollectionReader._watch

            async def fail(reader, watched):
                if watched is collection and not fleet.entries[0].is_halted:
                    raise RuntimeError("a defect")
                return await watch(reader, watched)

            with monkeypatch.context() as patched:
                patched.setattr(CollectionReader, "_watch", fail)
                fleet.store.write("servers", "note", 7)
                fleet.store.write("members", "note", 7)
                await curio.sleep(1.0)
                for number in range(4):
                    reply = await fleet.call("/look/1", f"a-{number}", entry=number % 2)
                    assert reply.status == 200
            await fleet.add_worker("w-2")
            rosters = [entry.state.roster for entry in fleet.entries]
            await fleet.until(
                lambda: all("w-2" in roster.records_by_id for roster in rosters),
                FOLLOW_S,
            )
            assert [entry.exit_code for entry in fleet.entries] == [0, 0]

        run_fleet(scenario)

    def test_failed_loop_is_logged_and_counted(self, monkeypatch, capsys):
        async def scenario(fleet: PlatformFleet) -> None:
            counts: list[str] = []
            failures = fail_times(
                monkeypatch, EntryProcess, "build_beacon", 1, RuntimeError("a defect")
            )
            entry = await fleet.add_entry()
            entry.metrics.count = lambda name, amount=1, **_: counts.append(name)
            await fleet.until(lambda: "loop_failures" in counts)
            assert failures
            assert not entry.is_halted

        run_fleet(scenario)
        output = capsys.readouterr().out
        assert "loop failed" in output and "_run_beacons" in output

    def test_broken_invariant_in_a_loop_ends_the_process(self, monkeypatch):
        async def scenario(fleet: PlatformFleet) -> None:
            error = InvariantError("a broken invariant")
            fail_times(monkeypatch, EntryProcess, "build_beacon", 1, error)
            entry = await fleet.add_entry()
            await fleet.until(lambda: entry.is_halted)
            assert entry.exit_code == 1

        run_fleet(scenario)

    def test_process_without_ticks_ends(self, monkeypatch):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            entry = fleet.entries[0]
            reduce = EntryProcess.reduce

            def fail_at_ticks(process, event):
                if isinstance(event, Tick):
                    raise RuntimeError("a defect")
                return reduce(process, event)

            monkeypatch.setattr(EntryProcess, "reduce", fail_at_ticks)
            await fleet.until(lambda: entry.is_halted)
            assert entry.exit_code == 1

        run_fleet(scenario)
