"""Sound endpoints that fall silent for a while don't cause requests to be refused.

Guards against a request that is refused, or ends without its answer, because two sound
endpoints that had it fell silent for a second each and were taken for crashed.
"""

import random

import pytest

from gateways import Gateway, build_call, build_route, engine, sent
from tamaracktray.beacons import Beacon, decode_beacon, encode_beacon
from tamaracktray.calls import (
    AbandonAttempt,
    AbortAnswer,
    Call,
    CallStarted,
    RefuseCall,
    RelayFailure,
)
from tamaracktray.crash_watch import CrashWatch
from tamaracktray.effects import Effect
from tamaracktray.gateway import handle_call_started
from tamaracktray.outcomes import AttemptPhase
from tamaracktray.part_watch import PartWatch
from tamaracktray.routes import RepeatKind
from tamaracktray.suspicions import (
    SILENCES_TO_COUNT,
    CrashReport,
    Incarnation,
    ListedEndpoint,
)

SILENCE_S = 0.8
SHARED = "part-shared"
OTHER = "part-other"
PARTS = (SHARED, OTHER)
ENDPOINTS = 8

# Enough attempts for all silent endpoints and a sound one.
ROUTE = build_route(
    RepeatKind.STREAM, "engines", max_attempts=5, timeout_s=20.0, target_latency_s=4.0
)

silent_counts = pytest.mark.parametrize("silent", [1, 2, 3])
knowledge = pytest.mark.parametrize("is_known", [False, True], ids=["new", "known"])


def build_gateway(*, is_known: bool = True) -> Gateway:
    """Return a gateway; with ``is_known``, one part was answered before."""
    gateway = Gateway(*(engine(f"e-{number}") for number in range(ENDPOINTS)))
    if is_known:
        gateway.part_crashes.record_sound(0.0, SHARED, 0.0)
    return gateway


def build(gateway: Gateway, name: str, fingerprint: str, *parts: str) -> Call:
    return build_call(
        name, ROUTE, gateway.now, fingerprint=fingerprint, parts=parts or PARTS
    )


def list_failures(effects: list[Effect]) -> list[Effect]:
    """Return the effects that end a call without its answer."""
    failures = (RefuseCall, AbortAnswer, RelayFailure)
    return [item for item in effects if isinstance(item, failures)]


def leave_silent_endpoints(gateway: Gateway, silent: int) -> set[str]:
    """Send a request so often, while each endpoint that gets it falls silent.

    Each caller gives up before the endpoint goes on.
    """
    names: set[str] = set()
    for number in range(silent):
        call = build(gateway, f"left-{number}", "f")
        (name,) = sent(gateway.arrive(call))
        gateway.now += SILENCE_S
        gateway.leave(call)
        names.add(name)
    assert len(names) == silent
    return names


def tell(gateway: Gateway, peer: Gateway) -> None:
    """Send a peer the reports of a beacon."""
    peer.now = gateway.now
    peer.crashes.merge(peer.now, gateway.crashes.list_reports(gateway.now))
    peer.part_crashes.merge(peer.now, gateway.part_crashes.list_reports(gateway.now))


class TestCallAtSilentEndpoints:
    @silent_counts
    @knowledge
    @pytest.mark.parametrize("is_begun", [False, True], ids=["unbegun", "begun"])
    def test_call_goes_on_after_each_silence(self, silent, is_known, is_begun):
        gateway = build_gateway(is_known=is_known)
        call = build(gateway, "call", "f")
        (name,) = sent(gateway.arrive(call))
        others = set(gateway.state.loads_by_id)
        for number in range(silent):
            others.discard(name)
            if is_begun:
                started = CallStarted(gateway.now, call.id, name, has_event_id=True)
                handle_call_started(gateway.context, started)
            effects = gateway.tick(SILENCE_S, *others)
            effects += gateway.tick(0.025, *others)
            assert not list_failures(effects)
            assert any(isinstance(item, AbandonAttempt) for item in effects)
            phase = AttemptPhase.CUT if is_begun else AttemptPhase.SENT
            last_event_id = str(number + 1) if is_begun else ""
            effects = gateway.end(call, name, phase, last_event_id=last_event_id)
            assert not list_failures(effects)
            (name,) = sent(effects)


class TestCallersBesideSilentEndpoints:
    """Other callers of a request, or of one that shares its prompt parts."""

    REQUESTS = pytest.mark.parametrize(
        ("fingerprint", "parts"),
        [("f", PARTS), ("g", PARTS), ("g", (SHARED, "part-own")), ("g", (OTHER,))],
        ids=["same request", "same parts", "first part", "other part"],
    )

    @silent_counts
    @knowledge
    @REQUESTS
    def test_request_is_sent_on(self, silent, is_known, fingerprint, parts):
        gateway = build_gateway(is_known=is_known)
        leave_silent_endpoints(gateway, silent)
        assert sent(gateway.arrive(build(gateway, "next", fingerprint, *parts)))

    @silent_counts
    @knowledge
    @REQUESTS
    def test_request_is_sent_on_by_a_peer_that_is_told(
        self, silent, is_known, fingerprint, parts
    ):
        gateway = build_gateway(is_known=is_known)
        peer = build_gateway(is_known=is_known)
        leave_silent_endpoints(gateway, silent)
        tell(gateway, peer)
        assert sent(peer.arrive(build(peer, "next", fingerprint, *parts)))

    @silent_counts
    @knowledge
    @REQUESTS
    def test_attempt_in_flight_is_not_ended(self, silent, is_known, fingerprint, parts):
        gateway = build_gateway(is_known=is_known)
        call = build(gateway, "in-flight", fingerprint, *parts)
        (name,) = sent(gateway.arrive(call))
        leave_silent_endpoints(gateway, silent)
        gateway.progress(call, gateway.now)
        effects = gateway.tick(0.025, name)
        assert not list_failures(effects)
        assert not any(isinstance(item, AbandonAttempt) for item in effects)

    @silent_counts
    @knowledge
    @REQUESTS
    def test_attempt_in_flight_at_a_peer_is_not_ended(
        self, silent, is_known, fingerprint, parts
    ):
        gateway = build_gateway(is_known=is_known)
        peer = build_gateway(is_known=is_known)
        leave_silent_endpoints(gateway, silent)
        peer.now = gateway.now
        call = build(peer, "in-flight", fingerprint, *parts)
        (name,) = sent(peer.arrive(call))
        tell(gateway, peer)
        effects = peer.tick(0.025, name)
        assert not list_failures(effects)
        assert not any(isinstance(item, AbandonAttempt) for item in effects)

    @silent_counts
    @REQUESTS
    def test_queued_call_is_not_refused(self, silent, fingerprint, parts):
        gateway = build_gateway()
        leave_silent_endpoints(gateway, silent)
        for number in range(4 * ENDPOINTS):
            gateway.arrive(build(gateway, f"busy-{number}", f"b-{number}", "part-busy"))
        waiting = build(gateway, "waits", fingerprint, *parts)
        assert not gateway.arrive(waiting)
        effects = gateway.tick(0.025, *gateway.state.loads_by_id)
        assert not list_failures(effects)
        assert len(gateway.state.waiting)


class TestRefutations:
    """An endpoint goes on, which only one of the entries sees."""

    ENDPOINTS = tuple(Incarnation(f"e-{number}", 1) for number in range(3))

    def build_pair(self, kind: type[CrashWatch]) -> tuple[CrashWatch, CrashWatch]:
        """Return two watches with the suspicions of all endpoints."""
        first, second = kind(300.0, 1.2), kind(300.0, 1.2)
        for number, endpoint in enumerate(self.ENDPOINTS):
            first.suspect(float(number), "f", endpoint, 0.5)
        second.merge(2.0, first.list_reports(2.0))
        return first, second

    def answer(self, watch: CrashWatch, now: float, *names: str) -> None:
        listed = {item.endpoint_id: ListedEndpoint(1) for item in self.ENDPOINTS}
        watch.evaluate(now, listed, frozenset(names), 0.0)

    def exchange(self, now: float, watch: CrashWatch, peer: CrashWatch) -> None:
        """Send the reports of a beacon, in which invalid times are rejected."""
        beacon = Beacon("a", 1, 1, {}, {}, crash_reports=watch.list_reports(now))
        received = decode_beacon(encode_beacon(beacon)).unwrap()
        peer.merge(now, received.crash_reports)

    @pytest.mark.parametrize("kind", [CrashWatch, PartWatch])
    def test_peer_that_got_no_data_is_told(self, kind):
        """Soak seed 516: a part that all prompts share was blamed at one entry."""
        first, second = self.build_pair(kind)
        assert second.find_quarantine_end(2.0, "f") is not None
        self.answer(first, 3.0, "e-0", "e-1")
        self.exchange(3.1, first, second)
        assert second.find_quarantine_end(3.1, "f") is None
        assert second.list_avoided("f") == {self.ENDPOINTS[2]}

    def test_data_before_a_crash_refutes_nothing_at_a_peer(self):
        first, second = CrashWatch(300.0, 1.2), CrashWatch(300.0, 1.2)
        for endpoint in self.ENDPOINTS[:2]:
            first.suspect(0.0, "f", endpoint)
            second.suspect(4.0, "f", endpoint)
        self.answer(first, 1.0, "e-0", "e-1")
        self.exchange(4.1, first, second)
        assert second.find_quarantine_end(4.1, "f") is not None

    def test_endpoint_that_is_gone_has_crashed_whatever_a_peer_told(self):
        first, second = self.build_pair(CrashWatch)
        self.answer(second, 2.5)
        self.answer(first, 3.0, "e-0", "e-1", "e-2")
        self.exchange(3.1, first, second)
        assert second.find_quarantine_end(3.1, "f") is None
        second.evaluate(4.0, {}, frozenset(), 0.0)
        assert second.find_quarantine_end(4.0, "f") == 301.0
        first.merge(4.1, second.list_reports(4.1))
        assert first.find_quarantine_end(4.1, "f") == 301.0

    def test_crash_after_a_refutation_counts(self):
        first, second = self.build_pair(CrashWatch)
        self.answer(first, 3.0, "e-0", "e-1", "e-2")
        self.exchange(3.1, first, second)
        for endpoint in self.ENDPOINTS:
            first.suspect(4.0, "f", endpoint)
        assert first.find_quarantine_end(4.0, "f") is not None
        self.exchange(4.1, first, second)
        assert second.find_quarantine_end(4.1, "f") is not None

    def test_beacon_with_an_invalid_time_of_data_is_rejected(self):
        for age_s in (float("nan"), float("inf"), -1.0):
            report = CrashReport("f", self.ENDPOINTS[0], 1.0, answered_age_s=age_s)
            beacon = Beacon("a", 1, 1, {}, {}, crash_reports=[report])
            assert decode_beacon(encode_beacon(beacon)).value_or(None) is None


class TestCrashesWithoutReset:
    """Requests and parts that crash endpoints which then only fall silent."""

    def test_request_is_quarantined_once_the_list_shows_its_crashes(self):
        gateway = build_gateway()
        crashed = leave_silent_endpoints(gateway, 2)
        names = set(gateway.state.loads_by_id)
        gateway.follow(*(engine(name) for name in names - crashed))
        gateway.tick(0.025)
        (refused,) = gateway.arrive(build(gateway, "next", "f", "part-new"))
        assert isinstance(refused, RefuseCall)

    def test_request_is_quarantined_by_silence_beside_a_crash(self):
        gateway = build_gateway()
        leave_silent_endpoints(gateway, 1)
        call = build(gateway, "reset", "f")
        (name,) = sent(gateway.arrive(call))
        gateway.end(call, name, AttemptPhase.SENT, is_reset=True)
        gateway.leave(call)
        (refused,) = gateway.arrive(build(gateway, "next", "f", "part-new"))
        assert isinstance(refused, RefuseCall)

    def test_reset_after_a_silence_counts_at_this_process_and_its_peers(self):
        gateway, peer = build_gateway(), build_gateway()
        leave_silent_endpoints(gateway, 2)
        tell(gateway, peer)
        assert sent(peer.arrive(build(peer, "before", "f", "part-new")))
        assert gateway.crashes.take_news()
        endpoint = next(iter(gateway.crashes.list_avoided("f")))
        gateway.crashes.suspect(gateway.now, "f", endpoint)
        assert gateway.crashes.take_news()
        tell(gateway, peer)
        for item in (gateway, peer):
            (refused,) = item.arrive(build(item, "next", "f", "part-new"))
            assert isinstance(refused, RefuseCall)

    def test_request_is_quarantined_before_the_list_shows_many_silent_endpoints(self):
        gateway, peer = build_gateway(), build_gateway()
        leave_silent_endpoints(gateway, SILENCES_TO_COUNT)
        tell(gateway, peer)
        for item in (gateway, peer):
            for fingerprint, parts in (("f", ("part-new",)), ("g", PARTS)):
                (refused,) = item.arrive(build(item, "next", fingerprint, *parts))
                assert isinstance(refused, RefuseCall)

    CONTACT_S = 3.0
    EXPIRY_S = 3.6
    STEP_S = 0.1
    BEACON_STEPS = 5

    @pytest.mark.parametrize("entries", [1, 4, 35, 330])
    def test_entries_contain_a_request_after_three_crashes(self, entries):
        """Reports get lost, and the list shows a crash only after the bound."""
        rng = random.Random(entries)
        watches = [CrashWatch(300.0, 1.2) for _ in range(entries)]
        crashed_at: dict[Incarnation, float] = {}
        for step in range(100):
            now = step * self.STEP_S
            listed = {
                endpoint.endpoint_id: ListedEndpoint(1)
                for endpoint, at in crashed_at.items()
                if now < at + self.EXPIRY_S
            }
            for watch in watches:
                watch.evaluate(now, listed, frozenset(), 0.0)
            watch = rng.choice(watches)
            if watch.find_quarantine_end(now, "f") is None:
                endpoint = Incarnation(f"e-{step}", 1)
                crashed_at[endpoint] = now
                watch.suspect(now, "f", endpoint, is_silent=True)
            if step % self.BEACON_STEPS:
                continue
            reports = [item for watch in watches for item in watch.list_reports(now)]
            latest = {(item.endpoint, item.is_confirmed): item for item in reports}
            for watch in watches:
                watch.merge(now, [it for it in latest.values() if rng.random() > 0.3])
        times = sorted(crashed_at.values())
        assert sum(at > times[2] + self.CONTACT_S for at in times) <= 3
