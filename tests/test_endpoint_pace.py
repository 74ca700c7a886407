"""Placement on engines that are slower than others.

Guards against calls that keep going to an engine that turned slow, and against a change
for engines that report the usual pace.
"""

import math
import time

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from gateways import MODEL, Gateway, build_call, engine, sent
from platforms import PlatformFleet, run_fleet
from tamaracktray.beacons import Beacon, EndpointStatus, decode_beacon, encode_beacon
from tamaracktray.calls import RefuseCall
from tamaracktray.endpoint_loads import STATUS_VALID_S
from tamaracktray.endpoint_pace.levels import PaceLevel
from tamaracktray.endpoint_pace.reports import EngineLoad, read_engine_load
from tamaracktray.endpoint_pace.status_changes import StatusChanges
from tamaracktray.endpoint_pace.weights import EndpointPace
from tamaracktray.engines import EngineReport
from tamaracktray.outcomes import AttemptPhase
from tamaracktray.placement import count_free_slots
from tamaracktray.platform.documents import read_report
from tamaracktray_emulator.platform.worker import KV_TOTAL

SLOTS = 12


class PacedGateway(Gateway):
    """Gateway whose engines have a batch of ``SLOTS`` and report their load."""

    def __init__(self, *names: str) -> None:
        super().__init__(
            *(
                engine(name, max_batch=SLOTS, start_time_ms=1 + number)
                for number, name in enumerate(names)
            )
        )
        self._calls = 0

    def report(self, name: str, **fields) -> None:
        """Receive the status of an engine that has its model loaded."""
        address = str(self.load(name).record.address)
        status = EndpointStatus(address, False, {MODEL: 1}, **fields)
        self.state.note_status(self.now, status)

    def place(self) -> str:
        """Place a call and return its endpoint, empty if it has to wait."""
        self._calls += 1
        effects = self.arrive(build_call(f"call-{self._calls}", now=self.now))
        return effects[0].endpoint_id if effects else ""

    def count_placed(self, calls: int, name: str) -> int:
        """Place calls and return how many of them went to an endpoint."""
        return [self.place() for _ in range(calls)].count(name)


def build_status(**fields) -> EndpointStatus:
    return EndpointStatus("10.0.0.1:1001", False, {MODEL: 1}, **fields)


class TestWeightedSlots:
    @pytest.mark.parametrize(
        ("pace", "slots"),
        [(1.0, 12), (1.49, 12), (1.5, 8), (4.0, 3), (11.0, 1), (1e300, 1), (0.0, 12)],
    )
    def test_slow_engine_gets_no_more_than_its_weighted_share(self, pace, slots):
        gateway = PacedGateway("a")
        gateway.report("a", pace=pace)
        assert gateway.count_placed(2 * SLOTS, "a") == slots

    def test_engine_that_turns_slow_gets_no_calls_beyond_its_share(self):
        """Guards against filling an engine whose earlier calls exceed its share."""
        gateway = PacedGateway("a")
        calls = [build_call(f"early-{number}") for number in range(6)]
        for call in calls:
            gateway.arrive(call)
        gateway.report("a", pace=4.0)
        assert count_free_slots(gateway.load("a"), gateway.now) == 0
        for call in calls[:4]:
            gateway.end(call, "a", AttemptPhase.ANSWERED, status=200)
        assert count_free_slots(gateway.load("a"), gateway.now) == 1

    def test_engine_regains_its_share_with_its_pace(self):
        gateway = PacedGateway("a")
        gateway.report("a", pace=4.0)
        assert count_free_slots(gateway.load("a"), gateway.now) == 3
        gateway.now += 0.5
        gateway.report("a", pace=1.0)
        assert count_free_slots(gateway.load("a"), gateway.now) == SLOTS

    def test_endpoint_without_slots_gets_none_for_trial(self):
        pace = EndpointPace()
        pace.note_report(0.0, 1.0, EngineLoad(4.0))
        assert pace.weight_slots(0.5, 0) == 0


class TestWeightedCost:
    def test_call_goes_to_a_sound_engine_while_it_is_not_much_fuller(self):
        gateway = PacedGateway("a", "bb")
        gateway.report("a", pace=4.0)
        placed = [gateway.place() for _ in range(8)]
        # The fourth call at "bb" costs as much as the first one at "a".
        assert placed.count("a") == 1
        assert placed[:3] == ["bb"] * 3

    def test_idle_slow_engine_costs_more_than_an_idle_sound_one(self):
        """Guards against a product with 0 running calls, which hides the pace."""
        gateway = PacedGateway("a", "bb")
        gateway.report("a", pace=2.0)
        assert gateway.place() == "bb"

    @given(st.lists(st.integers(0, SLOTS), min_size=3, max_size=3))
    def test_nothing_changes_at_the_usual_pace(self, running):
        """Guards against reports of the usual pace that change the choice."""
        names = ("a", "bb", "ccc")
        reported, unreported = PacedGateway(*names), PacedGateway(*names)
        for name, count in zip(names, running, strict=True):
            for gateway in (reported, unreported):
                gateway.load(name).in_flight = count
            reported.report(name, pace=1.0, running=count, kv_used_share=0.5)
        for _ in range(3 * SLOTS):
            assert reported.place() == unreported.place()


class TestSaturation:
    @pytest.mark.parametrize(
        ("fields", "slots"),
        [
            ({"queued": 2}, SLOTS),
            ({"queued": 3}, 0),
            ({"running": 9, "kv_used_share": 0.91}, SLOTS),
            ({"running": 9, "kv_used_share": 0.92}, 0),
            ({"pace": 4.0, "queued": 3}, 0),
        ],
    )
    def test_engine_with_a_queue_or_full_memory_gets_nothing_new(self, fields, slots):
        gateway = PacedGateway("a")
        gateway.report("a", **fields)
        assert gateway.count_placed(2 * SLOTS, "a") == slots

    def test_idle_engine_with_full_memory_gets_calls(self):
        """Guards against an engine that counts cached tokens and is never used."""
        gateway = PacedGateway("a")
        gateway.report("a", kv_used_share=1.0)
        assert gateway.place() == "a"

    def test_calls_wait_and_are_sent_after_the_next_report(self):
        """Guards against refusals while the only engine is full for a moment."""
        gateway = PacedGateway("a")
        gateway.report("a", queued=3)
        assert gateway.place() == ""
        assert gateway.tick(0.05) == []
        gateway.report("a", queued=0)
        assert sent(gateway.tick(0.05)) == ["a"]

    def test_expired_report_does_not_keep_calls_away(self):
        gateway = PacedGateway("a")
        gateway.report("a", queued=SLOTS)
        gateway.now += STATUS_VALID_S
        assert gateway.place() == "a"

    def test_refusal_shows_slow_and_saturated_endpoints(self):
        gateway = PacedGateway("a", "bb", "ccc")
        gateway.report("a", pace=12.0)
        gateway.report("bb", queued=3)
        gateway.report("ccc", queued=3, pace=2.0)
        assert [gateway.place(), gateway.place()] == ["a", ""]
        (refusal,) = (
            effect for effect in gateway.tick(0.2) if isinstance(effect, RefuseCall)
        )
        assert (refusal.view.slow, refusal.view.saturated) == (2, 2)


class TestExpiry:
    def test_expired_report_leaves_all_slots(self):
        """Guards against a weight that outlives the agent."""
        gateway = PacedGateway("a")
        gateway.report("a", pace=4.0)
        gateway.now += STATUS_VALID_S - 0.01
        assert count_free_slots(gateway.load("a"), gateway.now) == 3
        gateway.now += 0.01
        assert count_free_slots(gateway.load("a"), gateway.now) == SLOTS

    def test_hysteresis_starts_anew_after_an_expired_report(self):
        gateway = PacedGateway("a")
        gateway.report("a", pace=4.0)
        gateway.now += STATUS_VALID_S
        gateway.report("a", pace=1.4)
        assert count_free_slots(gateway.load("a"), gateway.now) == SLOTS

    def test_report_on_an_earlier_start_is_ignored(self):
        """Guards against the weight of an engine that has been restarted since."""
        gateway = Gateway(engine("a", max_batch=SLOTS, start_time_ms=2_000))
        address = str(gateway.load("a").record.address)
        status = EndpointStatus(address, False, {MODEL: 1}, None, 1_000, 4.0)
        gateway.state.note_status(0.0, status)
        assert count_free_slots(gateway.load("a"), 0.0) == SLOTS


class TestHysteresis:
    def test_level_changes_only_beyond_the_thresholds(self):
        level = PaceLevel()
        paces = [1.0, 1.49, 1.5, 1.3, 1.25, 1.24, 1.4, 2.0, 1.0]
        levels = [level.update(pace) for pace in paces]
        assert levels == [False, False, True, True, True, False, False, True, False]

    def test_slots_follow_the_level(self):
        gateway = PacedGateway("a")
        slots = []
        for pace in (1.4, 1.6, 1.4, 1.2, 1.4):
            gateway.now += 0.25
            gateway.report("a", pace=pace)
            slots.append(count_free_slots(gateway.load("a"), gateway.now))
        assert slots == [12, 7, 8, 12, 12]


class TestStatusChanges:
    def test_status_is_sent_at_once_when_the_pace_crosses_a_threshold(self):
        changes = StatusChanges()
        paces = [1.0, 1.1, 1.6, 1.6, 4.0, 1.3, 1.2, 1.0]
        sent = [changes.take(build_status(pace=pace)) for pace in paces]
        assert sent == [True, False, True, False, False, False, True, False]

    def test_other_load_is_left_to_the_regular_beacon(self):
        """Guards against a beacon with every report of a busy engine."""
        changes = StatusChanges()
        assert changes.take(build_status(running=1))
        assert not changes.take(build_status(running=9, queued=4, kv_used_share=0.99))

    def test_swap_and_unreachable_engine_are_sent_at_once(self):
        changes = StatusChanges()
        assert changes.take(build_status())
        assert changes.take(msgspec.structs.replace(build_status(), is_swapping=True))
        assert changes.take(None)
        assert not changes.take(None)


class TestReportsOfEngines:
    """The path from an engine's report over its agent's beacon to an entry."""

    # An endpoint that turned slow loses new work within a second.
    BOUND_S = 1.0

    def test_entry_learns_of_a_slow_engine_and_of_its_recovery(self):
        """Guards against reports that reach entries late or not at all."""

        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            slow = await fleet.add_engine("slow")
            await fleet.add_engine("sound")
            await fleet.add_agent(slow)
            await fleet.until_listed(2)
            loads = fleet.entries[0].state.gateway.loads_by_id
            await fleet.until(lambda: loads["slow"].status_deadline)
            for pace in (4.0, 1.0):
                slow.pace = pace
                await fleet.until(
                    lambda pace=pace: (
                        loads["slow"].pace.measure(time.monotonic()) == pace
                    ),
                    self.BOUND_S,
                )
            assert loads["sound"].pace.measure(time.monotonic()) == 1.0

        run_fleet(scenario)

    @pytest.mark.parametrize(
        "fields", [{"queued": 50}, {"running": 1, "kv_used": KV_TOTAL}]
    )
    def test_entry_learns_of_an_engine_without_room(self, fields):
        """Guards against a queue or a memory size that is lost on its way."""

        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            full = await fleet.add_engine("full")
            await fleet.add_agent(full)
            await fleet.until_listed(1)
            load = fleet.entries[0].state.gateway.loads_by_id["full"]
            await fleet.until(lambda: load.status_deadline)
            assert count_free_slots(load, time.monotonic())
            for name, value in fields.items():
                setattr(full, name, value)
            await fleet.until(
                lambda: not count_free_slots(load, time.monotonic()), self.BOUND_S
            )

        run_fleet(scenario)


class TestReportedValues:
    @pytest.mark.parametrize("pace", [math.nan, math.inf, -math.inf, -1.0])
    def test_invalid_pace_of_an_engine_is_not_reported(self, pace):
        """Guards against a beacon that entries reject with the engine's versions."""
        assert read_engine_load(EngineReport(pace=pace)).pace == 1.0

    def test_invalid_counts_and_memory_of_an_engine_are_not_reported(self):
        """Guards against a beacon that entries reject with the engine's versions."""
        report = EngineReport(running=-1, queued=-2, kv_used_share=-0.5)
        assert read_engine_load(report) == EngineLoad()
        report = EngineReport(running=3, queued=2, kv_used_share=math.nan)
        assert read_engine_load(report) == EngineLoad(1.0, 3, 2, 0.0)

    @pytest.mark.parametrize(
        ("used", "total", "share"), [(45, 90, 0.5), (90, 0, 0.0), (5, -1, 0.0)]
    )
    def test_used_share_of_memory(self, used, total, share):
        body = msgspec.json.encode({"kvUsed": used, "kvTotal": total})
        assert read_report(body).kv_used_share == share

    @pytest.mark.parametrize(
        "fields",
        [
            *({"pace": value} for value in (math.nan, math.inf, -0.5)),
            *({"kv_used_share": value} for value in (math.nan, math.inf, -0.5)),
            {"running": -1},
            {"queued": -1},
        ],
    )
    def test_beacon_with_invalid_load_is_rejected(self, fields):
        data = encode_beacon(
            Beacon("agent", 1, 1, {}, {}, status=build_status(**fields))
        )
        assert decode_beacon(data).failure()

    def test_status_of_an_earlier_release_is_decoded(self):
        """Guards against a fleet that loses its agents while it is updated."""
        old = ["10.0.0.1:1001", False, {MODEL: 1}, None, 5]
        data = msgspec.msgpack.encode(["agent", 1, 1, {}, {}, {}, old])
        status = decode_beacon(data).unwrap().status
        assert status == EndpointStatus("10.0.0.1:1001", False, {MODEL: 1}, None, 5)
        assert (status.pace, status.queued, status.kv_used_share) == (1.0, 0, 0.0)

    def test_status_is_decoded_by_an_earlier_release(self):
        class OldStatus(msgspec.Struct, array_like=True):
            address: str
            is_swapping: bool
            version_by_model: dict[str, int]
            swap_in_s: float | None = None
            start_time_ms: int = 0

        status = build_status(start_time_ms=5, pace=2.0, queued=3, kv_used_share=0.4)
        old = msgspec.msgpack.decode(msgspec.msgpack.encode(status), type=OldStatus)
        assert (old.start_time_ms, old.version_by_model) == (5, {MODEL: 1})
