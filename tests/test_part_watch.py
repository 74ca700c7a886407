"""Prompt parts that crash endpoints are distinguished from parts that sound ones share.

A wrong verdict refuses the requests of a whole team, or lets a fatal part crash one
endpoint after the other.
"""

import msgspec
import pytest

from gateways import Gateway, build_call, build_entry_state, engine, sent
from tamaracktray.beacons import (
    Beacon,
    EndpointStatus,
    decode_beacon,
    encode_beacon,
)
from tamaracktray.calls import AbandonAttempt, CallStarted, RefuseCall
from tamaracktray.crash_watch import MAX_REPORTS, MAX_SUSPICIONS
from tamaracktray.events import Tick
from tamaracktray.gateway import handle_call_started
from tamaracktray.node_events import BroadcastBeacon
from tamaracktray.node_reducer import reduce_node
from tamaracktray.objects import StoredObject
from tamaracktray.outcomes import AttemptPhase
from tamaracktray.part_blame import CRASHES_TO_QUARANTINE, EARLY_QUARANTINE_S
from tamaracktray.part_watch import (
    MAX_QUARANTINE_REPORTS,
    MAX_SOUND_PARTS,
    SOUND_ANSWER_S,
    PartWatch,
    SoundAnswer,
)
from tamaracktray.quarantine_records import RecordQuarantine, build_record
from tamaracktray.quarantine_sync import (
    merge_quarantine_records,
    sync_quarantine_records,
)
from tamaracktray.snapshots import Collection, Snapshot
from tamaracktray.suspicions import CrashReport, Incarnation, ListedEndpoint
from tamaracktray.types import ErrorCode, RunState

QUARANTINE_S = 300.0
HEARTBEAT_S = 1.2
FATAL = "part-fatal"
OTHER_FATAL = "part-other"
SHARED = "part-shared"
RUN_S = 0.2
NO_ENDPOINTS: frozenset[str] = frozenset()


def build_watch() -> PartWatch:
    return PartWatch(QUARANTINE_S, HEARTBEAT_S)


def crash(watch: PartWatch, now: float, number: int, *parts: str, run_s=RUN_S) -> None:
    """Record that an endpoint crashed under a request with these parts."""
    for part in parts:
        watch.suspect(now, part, Incarnation(f"e-{number}", 1), run_s)


def crash_repeatedly(watch: PartWatch, count: int, *parts: str, since=0.0) -> float:
    """Crash endpoints one second apart and return the time after the last crash."""
    for number in range(count):
        crash(watch, since + number + 1.0, number, *parts)
    return since + count + 0.1


def is_quarantined(watch: PartWatch, now: float, *parts: str) -> bool:
    return watch.find_prompt_quarantine_end(now, parts) is not None


class TestFatalPart:
    def test_crashes_in_a_row_quarantine_a_part(self):
        watch = build_watch()
        now = crash_repeatedly(watch, CRASHES_TO_QUARANTINE - 1, FATAL)
        assert not is_quarantined(watch, now, FATAL)
        crash(watch, now + 1.0, 9, FATAL)
        assert is_quarantined(watch, now + 1.0, FATAL)

    def test_two_fatal_parts_at_once_are_both_quarantined(self):
        watch = build_watch()
        for number in range(CRASHES_TO_QUARANTINE):
            crash(watch, number + 1.0, number, FATAL, SHARED)
            crash(watch, number + 1.5, 10 + number, OTHER_FATAL, SHARED)
            watch.record_sound(number + 1.9, SHARED, number + 1.8)
        assert is_quarantined(watch, 5.0, FATAL)
        assert is_quarantined(watch, 5.0, OTHER_FATAL)
        assert not is_quarantined(watch, 5.0, SHARED)

    def test_part_that_was_sound_before_is_quarantined_by_the_fifth_crash(self):
        """The platform counts further requests from the fifth crash on."""
        watch = build_watch()
        watch.record_sound(0.5, FATAL, 0.4)
        now = crash_repeatedly(watch, 4, FATAL)
        assert not is_quarantined(watch, now, FATAL)
        crash(watch, now + 1.0, 9, FATAL)
        assert is_quarantined(watch, now + 1.0, FATAL)

    def test_quarantine_ends_once_the_crashes_are_long_past(self):
        watch = build_watch()
        now = crash_repeatedly(watch, CRASHES_TO_QUARANTINE, FATAL)
        watch.evaluate(now + 10.0, {}, NO_ENDPOINTS, 0.0)
        assert is_quarantined(watch, now + QUARANTINE_S - 10.0, FATAL)
        assert not is_quarantined(watch, now + QUARANTINE_S, FATAL)
        watch.evaluate(now + QUARANTINE_S, {}, NO_ENDPOINTS, 0.0)
        assert watch.is_empty

    def test_suspicions_are_bounded_and_quarantines_are_kept(self):
        watch = build_watch()
        now = crash_repeatedly(watch, CRASHES_TO_QUARANTINE, FATAL)
        for number in range(2 * MAX_SUSPICIONS):
            crash(watch, now, 7, f"part-{number}")
        assert len(watch) <= MAX_SUSPICIONS
        assert is_quarantined(watch, now, FATAL)

    def test_sound_parts_are_bounded(self):
        watch = build_watch()
        crash(watch, 0.5, 1, "part-0")
        for number in range(MAX_SOUND_PARTS + 10):
            watch.record_sound(1.0, f"part-{number}", 0.9)
        assert len(watch.list_sound(1.0)) <= 1


class TestHarmlessPart:
    def test_part_with_sound_answers_between_crashes_is_not_quarantined(self):
        watch = build_watch()
        for number in range(10):
            crash(watch, number + 1.0, number, SHARED)
            watch.record_sound(number + 1.6, SHARED, number + 1.2)
        assert not is_quarantined(watch, 11.0, SHARED)

    def test_crashes_at_the_same_moment_count_as_one(self):
        watch = build_watch()
        for number in range(8):
            crash(watch, 1.0 + number / 100, number, SHARED, run_s=0.5)
        assert not is_quarantined(watch, 1.1, SHARED)

    def test_part_beside_a_fatal_one_is_not_quarantined(self):
        watch = build_watch()
        crash_repeatedly(watch, CRASHES_TO_QUARANTINE, FATAL, SHARED)
        crash(watch, 4.0, 7, FATAL)
        assert is_quarantined(watch, 4.1, FATAL)
        assert not is_quarantined(watch, 4.1, SHARED)

    def test_part_blamed_wrongly_is_cleared_by_a_sound_answer(self):
        watch = build_watch()
        now = crash_repeatedly(watch, CRASHES_TO_QUARANTINE, SHARED)
        assert is_quarantined(watch, now, SHARED)
        watch.record_sound(now + SOUND_ANSWER_S, SHARED, now)
        assert not is_quarantined(watch, now, SHARED)
        assert watch.is_empty

    def test_part_answered_earlier_is_not_blamed_for_a_fatal_one(self):
        """Soak seed 547: all streams were refused for the part that they shared."""
        watch = build_watch()
        watch.record_sound(0.5, SHARED, 0.1)
        now = crash_repeatedly(watch, CRASHES_TO_QUARANTINE, FATAL, SHARED)
        crash(watch, now + 1.0, 7, SHARED)
        assert is_quarantined(watch, now + 1.0, FATAL, SHARED)
        assert is_quarantined(watch, now + 1.0, FATAL)
        assert not is_quarantined(watch, now + 1.0, SHARED)

    def test_part_answered_earlier_is_not_blamed_before_the_fatal_one_is_known(self):
        """Soak seed 740: two of the fatal part's crashes came at the same moment."""
        watch = build_watch()
        watch.record_sound(0.5, SHARED, 0.1)
        for number in (0, 1):
            crash(watch, 1.0, number, FATAL, SHARED)
        crash(watch, 2.0, 2, SHARED)
        crash(watch, 3.0, 3, FATAL, SHARED)
        assert not is_quarantined(watch, 3.0, SHARED)
        crash(watch, 4.0, 4, FATAL, SHARED)
        assert is_quarantined(watch, 4.0, FATAL)
        assert not is_quarantined(watch, 4.0, SHARED)

    def test_part_answered_earlier_is_blamed_despite_different_parts_beside_it(self):
        watch = build_watch()
        watch.record_sound(0.5, FATAL, 0.1)
        for number in range(5):
            crash(watch, number + 1.0, number, FATAL, f"part-own-{number}")
        assert is_quarantined(watch, 6.0, FATAL)

    def test_part_answered_earlier_is_not_blamed_for_an_unlucky_start(self):
        """Soak seeds 2103 and 3006: all engines crash at once, one of them hangs."""
        watch = build_watch()
        watch.record_sound(0.5, SHARED, 0.1)
        crash(watch, 1.0, 0, SHARED)
        crash(watch, 1.5, 1, SHARED, "part-own-1")
        crash(watch, 2.0, 2, SHARED, "part-own-2")
        assert not is_quarantined(watch, 2.0, SHARED)

    def test_part_that_only_a_peer_has_answered_is_not_blamed(self):
        """Soak seed 2103: a restarted entry knows no answer of its own."""
        restarted, peer = build_watch(), build_watch()
        peer.record_sound(0.5, SHARED, 0.1)
        for watch in (restarted, peer):
            crash_repeatedly(watch, CRASHES_TO_QUARANTINE, SHARED, since=20.0)
        now = 25.0
        assert is_quarantined(restarted, now, SHARED)
        restarted.merge_sound(now, peer.list_sound(now))
        assert not is_quarantined(restarted, now, SHARED)
        assert not is_quarantined(peer, now, SHARED)

    def test_answers_are_reported_only_of_parts_that_are_suspected(self):
        watch = build_watch()
        watch.record_sound(0.5, SHARED, 0.1)
        watch.record_sound(0.5, FATAL, 0.1)
        assert watch.list_sound(20.0) == []
        crash(watch, 20.0, 0, SHARED)
        assert watch.list_sound(21.0) == [SoundAnswer(SHARED, 20.9)]

    def test_parts_of_the_same_crashes_are_quarantined_only_together(self):
        watch = build_watch()
        now = crash_repeatedly(watch, CRASHES_TO_QUARANTINE, FATAL, SHARED)
        assert is_quarantined(watch, now, SHARED, FATAL)
        assert is_quarantined(watch, now, OTHER_FATAL, FATAL, SHARED)
        assert not is_quarantined(watch, now, SHARED)
        assert not is_quarantined(watch, now, FATAL, OTHER_FATAL)

    def test_crash_without_the_other_part_tells_them_apart(self):
        watch = build_watch()
        now = crash_repeatedly(watch, CRASHES_TO_QUARANTINE, FATAL, SHARED)
        crash(watch, now + 1.0, 7, FATAL)
        assert is_quarantined(watch, now + 1.0, FATAL)
        assert not is_quarantined(watch, now + 1.0, SHARED)

    def test_sound_answer_without_the_other_part_tells_them_apart(self):
        watch = build_watch()
        now = crash_repeatedly(watch, CRASHES_TO_QUARANTINE, FATAL, SHARED)
        watch.record_sound(now + SOUND_ANSWER_S, SHARED, now)
        assert is_quarantined(watch, now + 1.0, FATAL)
        assert not is_quarantined(watch, now + 1.0, SHARED)

    def test_parts_that_crashed_partly_the_same_endpoints_are_told_apart(self):
        watch = build_watch()
        now = crash_repeatedly(watch, CRASHES_TO_QUARANTINE - 1, FATAL, SHARED)
        crash(watch, now + 1.0, 7, FATAL)
        crash(watch, now + 1.0, 8, SHARED)
        assert is_quarantined(watch, now + 1.0, FATAL, SHARED)
        assert not is_quarantined(watch, now + 1.0, SHARED)
        assert not is_quarantined(watch, now + 1.0, FATAL)

    def test_answer_that_began_before_the_crashes_clears_nothing(self):
        watch = build_watch()
        now = crash_repeatedly(watch, CRASHES_TO_QUARANTINE, FATAL)
        watch.record_sound(now, FATAL, 0.5)
        assert len(watch.list_avoided(FATAL)) == CRASHES_TO_QUARANTINE
        crash_repeatedly(watch, 5, FATAL)
        assert is_quarantined(watch, now, FATAL)


class TestEarlyQuarantine:
    """Different requests share a new part beside one that has been answered."""

    def build(self, crashes: int, at: float = 1.0) -> PartWatch:
        watch = build_watch()
        watch.record_sound(0.5, SHARED, 0.1)
        for number in range(crashes):
            prompt = (SHARED, FATAL, f"part-own-{number}")
            endpoint = Incarnation(f"e-{number}", 1)
            watch.suspect_prompt(at, prompt, endpoint, RUN_S)
        return watch

    @pytest.mark.parametrize(
        ("crashes", "held_s"),
        [(1, 0.0), (2, EARLY_QUARANTINE_S), (3, QUARANTINE_S), (4, QUARANTINE_S)],
    )
    def test_crashes_at_the_same_moment_hold_the_new_part_for_a_while(
        self, crashes, held_s
    ):
        watch = self.build(crashes)
        watch.evaluate(1.1, {}, NO_ENDPOINTS, 0.0)
        assert is_quarantined(watch, 1.2, SHARED, FATAL) is bool(held_s)
        assert not is_quarantined(watch, 1.2, SHARED)
        assert not is_quarantined(watch, 1.2, SHARED, "part-own-0")
        assert is_quarantined(watch, 0.9 + held_s, FATAL) is bool(held_s)
        assert not is_quarantined(watch, 1.1 + held_s, FATAL)

    def test_process_that_knows_no_sound_part_holds_none_early(self):
        watch = build_watch()
        for number in range(2):
            endpoint = Incarnation(f"e-{number}", 1)
            watch.suspect_prompt(1.0, (SHARED, FATAL), endpoint, RUN_S)
        watch.suspect_prompt(1.1, (SHARED,), Incarnation("e-9", 1), RUN_S)
        assert not is_quarantined(watch, 1.2, SHARED, FATAL)

    def test_request_that_is_sent_again_holds_only_itself(self):
        watch = build_watch()
        watch.record_sound(0.5, SHARED, 0.1)
        for number in range(2):
            endpoint = Incarnation(f"e-{number}", 1)
            watch.suspect_prompt(1.0, (SHARED, FATAL, "part-own"), endpoint, RUN_S)
        assert is_quarantined(watch, 1.1, SHARED, FATAL, "part-own")
        assert not is_quarantined(watch, 1.1, SHARED, FATAL, "part-own-2")

    def test_part_with_a_sound_answer_is_not_held(self):
        watch = self.build(2)
        assert is_quarantined(watch, 1.1, FATAL)
        watch.record_sound(2.0, FATAL, 1.5)
        assert not is_quarantined(watch, 2.0, FATAL)

    def test_part_is_not_held_once_an_endpoint_answers(self):
        """A grey endpoint resets answers and goes on."""
        watch = self.build(2)
        listed = {f"e-{number}": ListedEndpoint(1) for number in range(2)}
        assert is_quarantined(watch, 1.1, FATAL)
        watch.evaluate(1.5, listed, frozenset(["e-0"]), 0.0)
        assert not is_quarantined(watch, 1.5, FATAL)

    def test_peers_hold_the_part_by_reports(self):
        watch, peer = self.build(2), build_watch()
        record = [
            CrashReport(FATAL, Incarnation(f"e-{number}", 1), 0.1, run_s=RUN_S)
            for number in range(2)
        ]
        peer.merge(1.1, record)
        assert not is_quarantined(peer, 1.1, FATAL)
        peer.merge_sound(1.2, watch.list_sound(1.2))
        peer.merge(1.2, watch.list_reports(1.2))
        assert is_quarantined(peer, 1.5, FATAL)
        assert not is_quarantined(peer, 1.5, SHARED)

    def test_next_request_is_refused_and_one_in_flight_abandoned(self):
        gateway = Gateway(*(engine(f"e-{number}") for number in range(8)))
        gateway.part_crashes.record_sound(0.0, SHARED, 0.0)
        calls = [build_call(f"f-{n}", parts=(SHARED, FATAL, f"own-{n}")) for n in "123"]
        endpoints = [sent(gateway.arrive(call))[0] for call in calls]
        gateway.now = RUN_S
        for call, endpoint in zip(calls[:2], endpoints[:2], strict=True):
            gateway.end(call, endpoint, AttemptPhase.SENT, is_reset=True)
        effects = gateway.tick(0.025)
        abandoned = [it.call_id for it in effects if isinstance(it, AbandonAttempt)]
        assert calls[2].id in abandoned
        late = build_call("late", now=gateway.now, parts=(SHARED, FATAL, "own-late"))
        (refused,) = gateway.arrive(late)
        assert refused.refusal.run is RunState.NOT_RUN
        assert 0.0 < refused.refusal.retry_after_s <= EARLY_QUARANTINE_S
        sound = build_call("sound", now=gateway.now, parts=(SHARED, "own-sound"))
        assert sent(gateway.arrive(sound))

    @pytest.mark.parametrize("is_lost", [True, False])
    def test_endpoint_that_crashes_in_an_abandoned_attempt_counts(self, is_lost):
        """Two crashes hold the part only for a while."""
        records = [engine(f"e-{number}") for number in range(8)]
        gateway = Gateway(*records)
        gateway.part_crashes.record_sound(0.0, SHARED, 0.0)
        calls = [build_call(f"f-{n}", parts=(SHARED, FATAL, f"own-{n}")) for n in "123"]
        endpoints = [sent(gateway.arrive(call))[0] for call in calls]
        gateway.now = RUN_S
        for call, endpoint in zip(calls[:2], endpoints[:2], strict=True):
            gateway.end(call, endpoint, AttemptPhase.SENT, is_reset=True)
        gateway.tick(0.025)
        gateway.end(calls[2], endpoints[2], AttemptPhase.SENT)
        lost = endpoints if is_lost else endpoints[:2]
        remaining = [item for item in records if item.id not in lost]
        gateway.follow(*remaining)
        gateway.tick(0.5, *(item.id for item in remaining))
        later = RUN_S + 2 * EARLY_QUARANTINE_S
        watch = gateway.part_crashes
        assert is_quarantined(watch, EARLY_QUARANTINE_S - 1.0, SHARED, FATAL)
        assert is_quarantined(watch, later, SHARED, FATAL) is is_lost


class TestReports:
    def test_crashes_seen_by_different_entries_are_added_up(self):
        entries = [build_watch() for _ in range(CRASHES_TO_QUARANTINE)]
        for number, watch in enumerate(entries):
            crash(watch, number + 1.0, number, FATAL)
        for watch in entries:
            for other in entries:
                watch.merge(4.0, other.list_reports(4.0))
        assert all(is_quarantined(watch, 4.0, FATAL) for watch in entries)

    def test_sound_answers_of_other_entries_clear_a_part(self):
        blamed, sound = build_watch(), build_watch()
        now = crash_repeatedly(blamed, CRASHES_TO_QUARANTINE, SHARED)
        sound.record_sound(now, SHARED, now - 0.05)
        assert sound.list_sound(now) == []
        sound.merge(now, blamed.list_reports(now))
        assert sound.is_empty
        blamed.merge_sound(now, sound.list_sound(now))
        assert not is_quarantined(blamed, now, SHARED)

    def test_peers_are_told_at_once_and_once(self):
        """Four engines crashed before the first peer was told of one."""
        state = build_entry_state()
        crash(state.part_crashes, 1.0, 0, FATAL)
        _, effects = reduce_node(state, Tick(1.01))
        assert [type(item) for item in effects].count(BroadcastBeacon) == 1
        _, effects = reduce_node(state, Tick(1.03))
        assert BroadcastBeacon not in [type(item) for item in effects]

    def test_reports_of_peers_are_not_passed_on_at_once(self):
        state, peer = build_entry_state(), build_watch()
        crash(peer, 1.0, 0, FATAL)
        state.part_crashes.merge(1.01, peer.list_reports(1.01))
        assert state.part_crashes.is_suspected(FATAL)
        _, effects = reduce_node(state, Tick(1.02))
        assert BroadcastBeacon not in [type(item) for item in effects]

    def test_reports_are_bounded_and_list_quarantines_first(self):
        watch = build_watch()
        now = crash_repeatedly(watch, 2 * MAX_QUARANTINE_REPORTS, FATAL)
        for number in range(100):
            crash(watch, now, 50, f"part-{number}")
        reports = watch.list_reports(now)
        assert len(reports) == MAX_REPORTS
        assert sum(report.fingerprint == FATAL for report in reports) == (
            MAX_QUARANTINE_REPORTS
        )
        peer = build_watch()
        peer.merge(now, reports[:MAX_QUARANTINE_REPORTS])
        assert is_quarantined(peer, now, FATAL)

    @pytest.mark.parametrize("age_s", [float("nan"), float("inf"), -1.0])
    def test_beacons_with_invalid_times_are_rejected(self, age_s):
        endpoint = Incarnation("e-1", 1)
        beacons = [
            Beacon("a", 1, 1, {}, {}, sound_answers=[SoundAnswer(SHARED, age_s)]),
            Beacon(
                "a", 1, 1, {}, {}, part_reports=[CrashReport(SHARED, endpoint, age_s)]
            ),
            Beacon(
                "a",
                1,
                1,
                {},
                {},
                part_reports=[CrashReport(SHARED, endpoint, 1.0, run_s=age_s)],
            ),
        ]
        for beacon in beacons:
            assert decode_beacon(encode_beacon(beacon)).value_or(None) is None


class TestRecords:
    def test_restarted_process_quarantines_recorded_parts(self):
        state = build_entry_state()
        now = crash_repeatedly(state.part_crashes, CRASHES_TO_QUARANTINE, FATAL)
        sync_quarantine_records(state, now)
        effects = sync_quarantine_records(state, now + 1.0)
        assert [it.fingerprint for it in effects] == [FATAL]
        assert isinstance(effects[0], RecordQuarantine)
        restarted = build_entry_state()
        record = StoredObject(FATAL, 1, effects[0].record, deleted=False)
        snapshots = restarted.snapshot_cache.by_collection
        snapshots[Collection.QUARANTINES] = Snapshot(1, 1, {FATAL: record})
        merge_quarantine_records(restarted, now + 5.0)
        assert is_quarantined(restarted.part_crashes, now + 5.0, FATAL)
        assert restarted.crashes.is_empty

    def test_record_keeps_how_long_the_calls_ran(self):
        watch = build_watch()
        now = crash_repeatedly(watch, CRASHES_TO_QUARANTINE, FATAL)
        record = build_record(watch.list_quarantined(now)[FATAL], 0.0)
        assert [item.run_s for item in record.ends] == [RUN_S] * len(record.ends)


class TestGatewayParts:
    def crash_engine(self, gateway: Gateway, name: str, *parts: str) -> None:
        """Send a call that crashes its engine, which then starts again."""
        call = build_call(name, now=gateway.now, parts=parts)
        (endpoint,) = sent(gateway.arrive(call))
        gateway.now += RUN_S
        gateway.end(call, endpoint, AttemptPhase.SENT, is_reset=True)
        gateway.leave(call)
        loads = gateway.state.loads_by_id
        records = {key: load.record for key, load in loads.items()}
        start_time_ms = records[endpoint].start_time_ms + 1
        records[endpoint] = engine(endpoint, start_time_ms=start_time_ms)
        gateway.follow(*records.values())

    def build_gateway(self, engines: int = 8) -> Gateway:
        return Gateway(*(engine(f"e-{number}") for number in range(engines)))

    def quarantine(self, gateway: Gateway) -> None:
        for number in range(CRASHES_TO_QUARANTINE):
            self.crash_engine(gateway, f"f-{number}", SHARED, FATAL)
            sound = build_call(f"s-{number}", now=gateway.now, parts=(SHARED,))
            (endpoint,) = sent(gateway.arrive(sound))
            gateway.now += RUN_S
            gateway.end(sound, endpoint, AttemptPhase.ANSWERED, status=200)
            gateway.tick(0.1)

    def test_different_request_with_a_fatal_part_is_refused_as_not_run(self):
        gateway = self.build_gateway()
        self.quarantine(gateway)
        call = build_call("new", now=gateway.now, parts=(SHARED, FATAL))
        (refused,) = gateway.arrive(call)
        assert isinstance(refused, RefuseCall)
        assert refused.refusal.code is ErrorCode.QUARANTINED
        assert refused.refusal.run is RunState.NOT_RUN

    def test_request_that_shares_all_other_parts_is_served(self):
        gateway = self.build_gateway()
        self.quarantine(gateway)
        assert sent(gateway.arrive(build_call("new", now=gateway.now, parts=(SHARED,))))

    def test_sound_request_is_served_while_two_parts_are_suspected_alike(self):
        gateway = self.build_gateway()
        crashes = gateway.part_crashes
        crash_repeatedly(crashes, CRASHES_TO_QUARANTINE, FATAL, SHARED, since=-4.0)
        fatal = build_call("fatal", now=gateway.now, parts=(SHARED, FATAL))
        assert isinstance(gateway.arrive(fatal)[0], RefuseCall)
        assert sent(gateway.arrive(build_call("new", now=gateway.now, parts=(SHARED,))))

    def test_queued_call_is_refused_once_its_part_is_quarantined(self):
        gateway = Gateway(engine("e-0", max_batch=1))
        running = build_call("running")
        assert sent(gateway.arrive(running))
        queued = build_call("queued", parts=(SHARED, FATAL))
        assert gateway.arrive(queued) == []
        crash_repeatedly(gateway.part_crashes, CRASHES_TO_QUARANTINE, FATAL, since=-4.0)
        refused = [item for item in gateway.tick(0.1) if isinstance(item, RefuseCall)]
        assert [item.call_id for item in refused] == ["queued"]

    def test_answer_that_went_on_is_not_blamed_for_a_crash(self):
        gateway = self.build_gateway()
        call = build_call("long", parts=(SHARED,))
        (endpoint,) = sent(gateway.arrive(call))
        handle_call_started(gateway.context, CallStarted(0.2, call.id, endpoint))
        gateway.progress(call, 0.2 + SOUND_ANSWER_S)
        gateway.tick(2 * SOUND_ANSWER_S, endpoint)
        gateway.end(call, endpoint, AttemptPhase.CUT, is_reset=True)
        assert not gateway.part_crashes.is_suspected(SHARED)

    def test_engine_that_restarted_unlisted_has_crashed(self):
        """The list was stale in a store outage, and the restarted engine answered."""
        gateway = self.build_gateway()
        call = build_call("fatal", parts=(FATAL,))
        (endpoint,) = sent(gateway.arrive(call))
        gateway.end(call, endpoint, AttemptPhase.SENT, is_reset=True)
        address = str(gateway.load(endpoint).record.address)
        status = EndpointStatus(address, False, {}, start_time_ms=2)
        record = gateway.load(endpoint).record
        gateway.follow(msgspec.structs.replace(record, start_time_ms=1))
        gateway.part_crashes.suspect(0.0, FATAL, Incarnation(endpoint, 1), RUN_S)
        gateway.state.note_status(3.0, status)
        gateway.tick(3.0)
        gateway.tick(5.0, endpoint)
        findings = [it for it in gateway.findings if it.endpoint.start_time_ms]
        assert [item.reason for item in findings] == ["started again"]

    def test_answer_in_progress_clears_a_part(self):
        gateway = self.build_gateway()
        call = build_call("long", parts=(SHARED,))
        (endpoint,) = sent(gateway.arrive(call))
        gateway.part_crashes.suspect(0.1, SHARED, Incarnation("x", 1), RUN_S)
        handle_call_started(gateway.context, CallStarted(0.2, call.id, endpoint))
        gateway.progress(call, 0.2 + SOUND_ANSWER_S)
        gateway.tick(2 * SOUND_ANSWER_S, endpoint)
        assert not gateway.part_crashes.is_suspected(SHARED)

    def test_restarted_engine_does_not_clear_the_part_of_a_silent_answer(self):
        """Soak seed 547: the engine answered others while a fatal call still waited."""
        gateway = self.build_gateway()
        call = build_call("fatal", parts=(FATAL,))
        (endpoint,) = sent(gateway.arrive(call))
        gateway.part_crashes.suspect(0.1, FATAL, Incarnation("x", 1), RUN_S)
        handle_call_started(gateway.context, CallStarted(0.2, call.id, endpoint))
        gateway.tick(2 * SOUND_ANSWER_S, endpoint)
        assert gateway.part_crashes.is_suspected(FATAL)
        gateway.end(call, endpoint, AttemptPhase.CUT, is_reset=True)
        assert len(gateway.part_crashes.list_avoided(FATAL)) == 2

    @pytest.mark.parametrize("has_late_data", [True, False])
    def test_time_of_being_held_up_does_not_clear_a_part(self, has_late_data):
        """Data that arrived meanwhile is read, and dated, only afterwards."""
        gateway = self.build_gateway()
        call = build_call("fatal", parts=(FATAL,))
        (endpoint,) = sent(gateway.arrive(call))
        gateway.part_crashes.suspect(0.1, FATAL, Incarnation("x", 1), RUN_S)
        handle_call_started(gateway.context, CallStarted(0.2, call.id, endpoint))
        state = build_entry_state(gateway.state)
        state.part_crashes = gateway.part_crashes
        reduce_node(state, Tick(0.25))
        progress = {call.id: 4.2} if has_late_data else {}
        reduce_node(state, Tick(4.25, progress_at_by_call=progress))
        assert gateway.part_crashes.is_suspected(FATAL)
        gateway.end(call, endpoint, AttemptPhase.CUT, is_reset=True)
        assert len(gateway.part_crashes.list_avoided(FATAL)) == 2

    def test_answer_that_goes_on_after_being_held_up_clears_a_part(self):
        gateway = self.build_gateway()
        call = build_call("sound", parts=(SHARED,))
        (endpoint,) = sent(gateway.arrive(call))
        gateway.part_crashes.suspect(0.1, SHARED, Incarnation("x", 1), RUN_S)
        handle_call_started(gateway.context, CallStarted(0.2, call.id, endpoint))
        state = build_entry_state(gateway.state)
        state.part_crashes = gateway.part_crashes
        reduce_node(state, Tick(0.25))
        reduce_node(state, Tick(4.25, progress_at_by_call={call.id: 4.2}))
        for step in range(1, 5):
            now = 4.25 + step * 0.1
            reduce_node(state, Tick(now, progress_at_by_call={call.id: now}))
        assert not gateway.part_crashes.is_suspected(SHARED)

    def test_fatal_attempt_in_flight_is_abandoned_on_quarantine(self):
        gateway = self.build_gateway()
        call = build_call("early", parts=(FATAL,))
        assert sent(gateway.arrive(call))
        crash_repeatedly(gateway.part_crashes, CRASHES_TO_QUARANTINE, FATAL, since=-4.0)
        abandoned = [it for it in gateway.tick(0.1) if isinstance(it, AbandonAttempt)]
        assert [item.call_id for item in abandoned] == ["early"]
