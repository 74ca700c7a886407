"""Requests that crash endpoints are distinguished from ones whose answers broke off.

A wrong verdict lets a fatal request crash more endpoints, or quarantines a harmless one
after a caller's disconnect or an endpoint's drain.
"""

import itertools
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gateways import SAFE, UNSAFE, Gateway, build_call, build_entry_state, sent, worker
from tamaracktray.beacons import Beacon, decode_beacon, encode_beacon
from tamaracktray.calls import RefuseCall
from tamaracktray.crash_watch import (
    IN_FLIGHT_DATA_S,
    MAX_REPORTS,
    MAX_SUSPICIONS,
    REPORT_TTL_S,
    CrashWatch,
)
from tamaracktray.objects import StoredObject
from tamaracktray.outcomes import AttemptPhase
from tamaracktray.quarantine_records import (
    RECORD_DELAY_S,
    REMOVAL_DELAY_S,
    QuarantineRecord,
    RecordedSuspicion,
    RecordQuarantine,
    RemoveQuarantine,
    build_record,
)
from tamaracktray.quarantine_sync import (
    merge_quarantine_records,
    sync_quarantine_records,
)
from tamaracktray.snapshots import Collection, Snapshot
from tamaracktray.suspicions import CrashReport, Finding, Incarnation, ListedEndpoint
from tamaracktray.types import ErrorCode, RunState

QUARANTINE_S = 300.0
HEARTBEAT_S = 1.2
A, B, C = (Incarnation(name, 1) for name in "abc")
LISTED = {name: ListedEndpoint(1) for name in "abc"}
NO_ENDPOINTS: frozenset[str] = frozenset()


def build_watch() -> CrashWatch:
    return CrashWatch(QUARANTINE_S, HEARTBEAT_S)


def evaluate(
    watch: CrashWatch,
    now: float,
    listed=LISTED,
    responsive_ids=NO_ENDPOINTS,
    valid_from=0.0,
):
    notes = watch.evaluate(now, listed, frozenset(responsive_ids), valid_from)
    return [(note.endpoint.endpoint_id, note.finding) for note in notes]


class TestVerdict:
    def test_one_suspicion_does_not_quarantine(self):
        watch = build_watch()
        watch.suspect(0.0, "f", A)
        assert watch.find_quarantine_end(0.0, "f") is None
        assert watch.list_avoided("f") == {A}

    def test_two_suspicions_quarantine_until_the_list_refutes_them(self):
        watch = build_watch()
        watch.suspect(0.0, "f", A)
        watch.suspect(0.1, "f", B)
        assert watch.find_quarantine_end(0.2, "f") == watch.verdict_s
        evaluate(watch, watch.verdict_s + 0.2)
        assert watch.find_quarantine_end(watch.verdict_s + 0.2, "f") is None
        evaluate(watch, 2 * watch.verdict_s + 0.2)
        assert watch.is_empty

    def test_delayed_list_still_confirms_a_crash(self):
        watch = build_watch()
        watch.suspect(0.0, "f", A)
        watch.suspect(0.0, "f", B)
        evaluate(watch, watch.verdict_s)
        evaluate(watch, watch.verdict_s + 1.0, {})
        assert watch.find_quarantine_end(watch.verdict_s + 1.0, "f") == QUARANTINE_S

    @pytest.mark.parametrize(
        "listed", [{}, {name: ListedEndpoint(2) for name in "abc"}]
    )
    def test_endpoints_that_disappear_or_restart_have_crashed(self, listed):
        watch = build_watch()
        watch.suspect(0.0, "f", A)
        watch.suspect(0.1, "f", B)
        evaluate(watch, 1.0)
        confirmed = evaluate(watch, 2.0, listed)
        assert confirmed == [("a", Finding.CONFIRMED), ("b", Finding.CONFIRMED)]
        assert watch.find_quarantine_end(2.0, "f") == QUARANTINE_S
        evaluate(watch, QUARANTINE_S + 1.0, listed)
        assert watch.is_empty

    def test_incarnations_of_one_id_count_separately(self):
        watch = build_watch()
        watch.suspect(0.0, "f", A)
        watch.suspect(3.0, "f", Incarnation("a", 2))
        assert watch.find_quarantine_end(3.0, "f") is not None

    def test_endpoint_that_responds_later_has_not_crashed(self):
        watch = build_watch()
        watch.suspect(0.0, "f", A)
        watch.suspect(0.0, "f", B)
        assert evaluate(watch, IN_FLIGHT_DATA_S / 2, responsive_ids="a") == []
        assert evaluate(watch, IN_FLIGHT_DATA_S, responsive_ids="a") == [
            ("a", Finding.ANSWERED)
        ]
        assert watch.find_quarantine_end(IN_FLIGHT_DATA_S, "f") is None
        assert watch.list_avoided("f") == {B}

    def test_answers_of_a_new_incarnation_clear_nothing(self):
        watch = build_watch()
        watch.suspect(0.0, "f", A)
        watch.suspect(0.0, "f", B)
        evaluate(watch, 1.0, responsive_ids="ab")
        restarted = {name: ListedEndpoint(5) for name in "ab"}
        evaluate(watch, 1.5, restarted)
        assert watch.find_quarantine_end(1.5, "f") == QUARANTINE_S

    def test_endpoint_that_announced_leaving_has_not_crashed(self):
        watch = build_watch()
        watch.suspect(0.0, "f", A)
        evaluate(watch, 0.1, {"a": ListedEndpoint(1, is_leaving=True)})
        assert evaluate(watch, 0.5, {}) == [("a", Finding.DROPPED)]

    def test_answered_request_is_cleared_and_not_suspected_again(self):
        watch = build_watch()
        watch.suspect(0.0, "f", A)
        watch.suspect(0.0, "f", B)
        watch.record_answered(0.1, "f")
        watch.suspect(0.2, "f", A)
        watch.merge(0.2, [CrashReport("f", B, 0.1), CrashReport("f", C, 0.1)])
        assert watch.find_quarantine_end(0.2, "f") is None

    def test_verdicts_wait_for_an_up_to_date_list(self):
        watch = build_watch()
        watch.suspect(0.0, "f", A)
        watch.suspect(0.0, "f", B)
        for now in (watch.verdict_s + 1.0, 30.0):
            assert evaluate(watch, now, valid_from=float("inf")) == []
            assert watch.find_quarantine_end(now, "f") > now
        assert evaluate(watch, 31.0, valid_from=30.0) == []
        now = 30.0 + watch.verdict_s
        listed = evaluate(watch, now, valid_from=30.0)
        assert [finding for _, finding in listed] == [Finding.LISTED] * 2
        assert watch.find_quarantine_end(now, "f") is None

    def test_endpoint_listed_only_at_a_peer_is_not_confirmed_early(self):
        watch = build_watch()
        watch.merge(0.0, [CrashReport("f", A, 0.0)])
        assert evaluate(watch, 0.1, {}) == []
        assert evaluate(watch, watch.verdict_s, {}) == [("a", Finding.CONFIRMED)]

    def test_stale_list_does_not_confirm_a_newer_incarnation(self):
        watch = build_watch()
        watch.suspect(0.0, "f", Incarnation("a", 7))
        assert evaluate(watch, 0.1) == []

    @given(
        st.lists(
            st.tuples(
                st.sampled_from("fgh"), st.sampled_from("abcdef"), st.integers(1, 2)
            ),
            max_size=30,
        )
    )
    def test_request_that_crashed_two_endpoints_is_quarantined(self, disconnects):
        watch = build_watch()
        crashed: dict[str, set[Incarnation]] = {}
        for now, (fingerprint, name, start_time_ms) in enumerate(disconnects):
            endpoint = Incarnation(name, start_time_ms)
            watch.suspect(now / 10, fingerprint, endpoint)
            crashed.setdefault(fingerprint, set()).add(endpoint)
        evaluate(watch, 10.0, {})
        for fingerprint, endpoints in crashed.items():
            is_quarantined = watch.find_quarantine_end(10.0, fingerprint) is not None
            assert is_quarantined == (len(endpoints) >= 2)


class TestBounds:
    def test_suspicions_are_bounded_and_quarantines_are_kept(self):
        watch = build_watch()
        watch.suspect(0.0, "fatal", A)
        watch.suspect(0.0, "fatal", B)
        for number in range(2 * MAX_SUSPICIONS):
            watch.suspect(1.0, f"f-{number}", C)
        assert len(watch) <= MAX_SUSPICIONS
        assert watch.find_quarantine_end(1.0, "fatal") is not None

    def test_reports_are_bounded_and_list_quarantines_first(self):
        watch = build_watch()
        for number in range(2 * MAX_REPORTS):
            watch.suspect(1.0, f"f-{number}", C)
        watch.suspect(0.0, "fatal", A)
        watch.suspect(0.0, "fatal", B)
        reports = watch.list_reports(1.0)
        assert len(reports) == MAX_REPORTS
        assert [report.fingerprint for report in reports[:2]] == ["fatal"] * 2

    def test_only_recent_local_suspicions_are_reported(self):
        watch = build_watch()
        watch.suspect(0.0, "own", A)
        watch.merge(0.0, [CrashReport("told", A, 0.0)])
        assert [report.fingerprint for report in watch.list_reports(0.0)] == ["own"]
        assert watch.list_reports(REPORT_TTL_S) == []

    @pytest.mark.parametrize("age_s", [float("nan"), float("inf"), -1.0])
    def test_reports_with_invalid_ages_are_rejected(self, age_s):
        beacon = Beacon("e", 1, 1, {}, {}, crash_reports=[CrashReport("f", A, age_s)])
        assert decode_beacon(encode_beacon(beacon)).value_or(None) is None


class TestFleet:
    """Entries that exchange reports over lossy datagrams."""

    CONTACT_S = 3.0
    BEACON_S = 0.5

    @pytest.mark.parametrize("entries", [1, 4, 35, 330])
    @pytest.mark.parametrize("expiry_s", [0.5, 3.6])
    def test_fatal_request_is_contained_after_three_crashes(self, entries, expiry_s):
        rng = random.Random(entries)
        watches = [build_watch() for _ in range(entries)]
        numbers = itertools.count()
        crashed: list[tuple[float, Incarnation]] = []
        for step in range(100):
            now = step / 10
            expired = {end.endpoint_id for at, end in crashed if now >= at + expiry_s}
            listed = {
                end.endpoint_id: ListedEndpoint(1)
                for _, end in crashed
                if end.endpoint_id not in expired
            }
            for watch in watches:
                watch.evaluate(now, listed, NO_ENDPOINTS, 0.0)
            watch = rng.choice(watches)
            if watch.find_quarantine_end(now, "fatal") is None:
                end = Incarnation(f"w-{next(numbers)}", 1)
                crashed.append((now, end))
                watch.suspect(now, "fatal", end)
            if step % int(self.BEACON_S * 10):
                continue
            sent_reports = [
                report for watch in watches for report in watch.list_reports(now)
            ]
            latest_reports = {
                (report.fingerprint, report.endpoint): report for report in sent_reports
            }
            for watch in watches:
                received = [
                    report for report in latest_reports.values() if rng.random() > 0.3
                ]
                watch.merge(now, received)
        times = [at for at, _ in crashed]
        late = [at for at in times if at > times[:3][-1] + self.CONTACT_S]
        assert len(late) <= 3


class TestGateway:
    def crash_two_endpoints(self, gateway: Gateway, fingerprint: str) -> None:
        call = build_call("first", SAFE, fingerprint=fingerprint)
        (first,) = sent(gateway.arrive(call))
        (second,) = sent(gateway.end(call, first, AttemptPhase.SENT, is_reset=True))
        gateway.end(call, second, AttemptPhase.SENT, is_reset=True)
        gateway.leave(call)

    def test_quarantined_request_is_refused_as_not_run_for_a_short_time(self):
        gateway = Gateway(*(worker(f"w{n}") for n in range(4)))
        self.crash_two_endpoints(gateway, "f")
        (refused,) = gateway.arrive(build_call("again", SAFE, fingerprint="f"))
        refusal = refused.refusal
        assert (refusal.code, refusal.run) == (ErrorCode.QUARANTINED, RunState.NOT_RUN)
        assert 0 < refusal.retry_after_s <= gateway.crashes.verdict_s

    def test_other_requests_are_served(self):
        gateway = Gateway(*(worker(f"w{n}") for n in range(4)))
        self.crash_two_endpoints(gateway, "f")
        assert sent(gateway.arrive(build_call("other", SAFE, fingerprint="g")))

    def test_queued_call_is_refused_once_its_request_is_quarantined(self):
        gateway = Gateway(worker("w0", max_batch=1), worker("w1", max_batch=1))
        busy = [build_call(str(n), SAFE) for n in range(2)]
        names = [sent(gateway.arrive(call))[0] for call in busy]
        assert not gateway.arrive(build_call("waits", SAFE, fingerprint="f"))
        reports = [CrashReport("f", A, 0.0), CrashReport("f", B, 0.0)]
        gateway.crashes.merge(0.0, reports)
        effects = gateway.end(busy[0], names[0], AttemptPhase.ANSWERED)
        assert "waits" not in [item.call_id for item in effects if sent([item])]
        effects += gateway.tick(0.025)
        (refused,) = [item for item in effects if isinstance(item, RefuseCall)]
        assert refused.call_id == "waits"

    def test_call_does_not_queue_for_an_endpoint_that_it_must_avoid(self):
        gateway = Gateway(worker("w0"))
        call = build_call("1", SAFE, fingerprint="f")
        gateway.arrive(call)
        gateway.end(call, "w0", AttemptPhase.SENT, is_reset=True)
        (refused,) = gateway.arrive(build_call("2", SAFE, fingerprint="f"))
        assert isinstance(refused, RefuseCall)

    @pytest.mark.parametrize("route", [SAFE, UNSAFE])
    def test_caller_disconnect_at_a_silent_endpoint_causes_a_suspicion(self, route):
        gateway = Gateway(worker("w0"))
        call = build_call("1", route, fingerprint="f")
        gateway.arrive(call)
        gateway.now = 1.0
        gateway.leave(call)
        assert gateway.crashes.is_suspected("f")

    def test_caller_disconnect_at_a_responsive_endpoint_causes_none(self):
        gateway = Gateway(worker("w0"))
        call = build_call("1", SAFE, fingerprint="f")
        gateway.arrive(call)
        gateway.tick(0.9, "w0")
        gateway.now = 1.0
        gateway.leave(call)
        assert gateway.crashes.is_empty

    def test_call_broken_off_by_a_draining_endpoint_causes_none(self):
        gateway = Gateway(worker("w0"))
        call = build_call("1", SAFE, fingerprint="f")
        gateway.arrive(call)
        gateway.follow(worker("w0", is_draining=True))
        gateway.follow()
        gateway.end(call, "w0", AttemptPhase.SENT, is_reset=True)
        assert gateway.crashes.is_empty

    def test_call_that_outlives_its_endpoints_record_causes_none(self):
        gateway = Gateway(worker("w0"))
        call = build_call("1", SAFE, fingerprint="f")
        gateway.arrive(call)
        gateway.follow()
        gateway.end(call, "w0", AttemptPhase.SENT, is_reset=True)
        assert gateway.crashes.is_empty

    def test_silent_endpoint_that_expired_before_the_disconnect_has_crashed(self):
        gateway = Gateway(worker("w0", start_time_ms=1))
        call = build_call("1", UNSAFE, fingerprint="f")
        gateway.arrive(call)
        gateway.now = 4.0
        gateway.follow()
        gateway.leave(call)
        gateway.tick(0.025)
        assert [note.finding for note in gateway.findings] == [
            Finding.SUSPECTED,
            Finding.CONFIRMED,
        ]

    def test_endpoint_abandoned_for_its_version_is_not_suspected(self):
        gateway = Gateway(worker("w0"), worker("w1"))
        call = build_call("1", SAFE, fingerprint="f")
        (name,) = sent(gateway.arrive(call))
        gateway.end(call, name, AttemptPhase.SENT, is_reset=False)
        assert gateway.crashes.is_empty


class TestRecords:
    def quarantine(self, state, now: float) -> None:
        for endpoint in (A, B):
            state.crashes.suspect(now, "f", endpoint)

    def read(self, state, now: float, *objects: StoredObject) -> None:
        known = state.snapshot_cache.by_collection[Collection.QUARANTINES]
        state.snapshot_cache.merge(
            Collection.QUARANTINES, known.replace_all(objects, known.revision + 1)
        )
        merge_quarantine_records(state, now)

    def test_quarantine_is_recorded_after_a_delay(self):
        state = build_entry_state()
        self.quarantine(state, 10.0)
        assert sync_quarantine_records(state, 10.0) == []
        (effect,) = sync_quarantine_records(state, 10.0 + RECORD_DELAY_S)
        assert isinstance(effect, RecordQuarantine)
        assert {end.endpoint for end in effect.record.ends} == {A, B}
        assert sync_quarantine_records(state, 10.1 + RECORD_DELAY_S) == []

    def test_request_cleared_before_the_delay_is_not_recorded(self):
        state = build_entry_state()
        self.quarantine(state, 10.0)
        sync_quarantine_records(state, 10.0)
        state.crashes.record_answered(10.1, "f")
        assert sync_quarantine_records(state, 10.0 + RECORD_DELAY_S) == []

    def test_nothing_is_written_during_a_store_outage(self):
        state = build_entry_state()
        self.quarantine(state, 10.0)
        state.is_store_lost = True
        assert sync_quarantine_records(state, 20.0) == []
        state.is_store_lost = False
        sync_quarantine_records(state, 20.0)
        assert sync_quarantine_records(state, 20.0 + RECORD_DELAY_S)

    @pytest.mark.parametrize("clock_skew_s", [-5.0, 0.0, 5.0])
    def test_restarted_process_quarantines_recorded_requests(self, clock_skew_s):
        first, second = build_entry_state(), build_entry_state()
        self.quarantine(first, 10.0)
        record = build_record(first.crashes.list_quarantined(10.0)["f"], clock_skew_s)
        second.snapshot_cache.by_collection[Collection.QUARANTINES] = Snapshot()
        self.read(second, 40.0, StoredObject("f", 1, record))
        second.crashes.evaluate(40.0, {}, NO_ENDPOINTS, 0.0)
        assert second.crashes.find_quarantine_end(40.0, "f") > 40.0

    @pytest.mark.parametrize("unix_s", [float("nan"), float("inf"), 1e300])
    def test_record_with_an_invalid_time_is_ignored(self, unix_s):
        state = build_entry_state()
        ends = (RecordedSuspicion(A, unix_s), RecordedSuspicion(B, -unix_s))
        self.read(state, 1.0, StoredObject("f", 1, QuarantineRecord(ends)))
        state.crashes.evaluate(1.0, {}, NO_ENDPOINTS, 0.0)
        assert state.crashes.find_quarantine_end(1.0, "f") in (None, 1.0 + QUARANTINE_S)

    def test_unreadable_record_is_ignored(self):
        state = build_entry_state()
        self.read(state, 1.0, StoredObject("f", 1, None))
        assert state.crashes.is_empty

    def test_unneeded_record_is_removed(self):
        state = build_entry_state()
        self.quarantine(state, 10.0)
        record = build_record(state.crashes.list_quarantined(10.0)["f"], 0.0)
        self.read(state, 10.0, StoredObject("f", 5, record))
        assert sync_quarantine_records(state, 10.0) == []
        evaluate(state.crashes, 30.0)
        assert sync_quarantine_records(state, 30.0) == []
        (effect,) = sync_quarantine_records(state, 30.0 + REMOVAL_DELAY_S)
        assert effect == RemoveQuarantine("f", 5)

    def test_dropped_suspicion_is_not_read_again(self):
        state = build_entry_state()
        self.quarantine(state, 10.0)
        record = build_record(state.crashes.list_quarantined(10.0)["f"], 0.0)
        self.read(state, 10.0, StoredObject("f", 5, record))
        evaluate(state.crashes, 30.0)
        other = StoredObject("g", 6, record)
        self.read(state, 30.0, StoredObject("f", 5, record), other)
        assert not state.crashes.is_suspected("f")
