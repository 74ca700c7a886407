"""Waits that callers state, by which an entry recognises those that retry.

Guards against callers that count as having waited because another one stated a wait of
its own choice, and against state that outlives its route or grows with the calls.
"""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from typing_extensions import override

from gateways import (
    SERVICES,
    STREAM,
    Gateway,
    build_call,
    build_entry_state,
    engine,
)
from tamaracktray.admission_control import AdmissionControl
from tamaracktray.calls import RefuseCall
from tamaracktray.node_events import CollectionListed
from tamaracktray.node_reducer import reduce_node
from tamaracktray.objects import StoredObject
from tamaracktray.reentry.reentry import (
    MAX_PROMISED_DELAY_S,
    MIN_PROMISED_DELAY_S,
    Reentry,
)
from tamaracktray.reentry.stated_waits import (
    MAX_TIMEOUTS,
    SPACING_S,
    VALID_S,
    RouteWaits,
    StatedWaits,
)
from tamaracktray.routes import Route, RoutingTable
from tamaracktray.snapshots import Collection

WAIT_S = STREAM.timeout_s

# Time between two callers for whom room is expected, in seconds: a tenth of the starts
# is promised, and the tests have 20 starts a second.
ROOM_INTERVAL_S = 0.5


class RankedAdmission(AdmissionControl):
    """Admission control of a service whose routes differ in priority."""

    @override
    def has_ranked_routes(self, now: float, service: str) -> bool:
        return True


class Entry(Gateway):
    """Gateway with one engine, whose only slot is taken."""

    def __init__(self) -> None:
        super().__init__(engine("a", max_batch=1))
        assert self.arrive(build_call("first"))

    def state_wait(self, name: str, wait_s: float) -> float:
        """Add a call whose caller states a wait; return its prior wait in seconds."""
        call = build_call(name, now=self.now, wait_s=wait_s)
        return self.state.add_call(self.now, call).prior_wait_s

    def is_queued(self, name: str, wait_s: float) -> bool:
        """Return whether a call is queued, not refused, on its arrival."""
        call = build_call(name, now=self.now, wait_s=wait_s)
        refused = [item for item in self.arrive(call) if isinstance(item, RefuseCall)]
        return not refused and call.id in self.state.waiting


@pytest.mark.parametrize("stated_s", [30.0, 1e9])
class TestWaitBeyondTimeout:
    def test_later_callers_are_queued(self, stated_s):
        """Guards against refusing all others on arrival because of one caller."""
        entry = Entry()
        entry.is_queued("odd", stated_s)
        assert entry.is_queued("usual", WAIT_S)

    def test_later_callers_are_promised_a_place(self, stated_s):
        """Guards against counting first tries as retries, which get no promise."""
        entry = Entry()
        entry.state.admission = RankedAdmission()
        for number in range(40):
            started = build_call("s", now=number / 20)
            entry.state.reentry.note_started(number / 20, started, is_returning=False)
        entry.now = 2.0
        entry.state_wait("odd", stated_s)
        call = build_call("usual", now=entry.now, wait_s=WAIT_S)
        for _ in range(100):
            entry.state.note_outcome(call, is_served=False)
        effects = entry.arrive(call) + entry.tick(0.2, "a")
        (refused,) = [item for item in effects if isinstance(item, RefuseCall)]
        delay_s = refused.refusal.retry_after_s
        assert MIN_PROMISED_DELAY_S - 0.1 <= delay_s <= MAX_PROMISED_DELAY_S

    def test_later_callers_are_told_no_later_time(self, stated_s):
        """Guards against retry delays that grow with the wait of another caller."""
        reentry, now = Reentry(), 2.0
        for number in range(40):
            started = build_call("s", now=number / 20)
            reentry.note_started(number / 20, started, is_returning=False)
        for _ in range(200):
            odd = build_call("odd", now=now, wait_s=stated_s)
            reentry.choose_retry_delay(now, odd, odd.rank)
        usual = build_call("usual", now=now, wait_s=WAIT_S)
        delay_s = reentry.choose_retry_delay(now, usual, usual.rank)
        assert delay_s <= WAIT_S + ROOM_INTERVAL_S


class TestWaitWithinTimeout:
    def test_retrying_caller_is_recognised(self):
        entry = Entry()
        entry.state_wait("new", WAIT_S)
        entry.now = 1.3
        assert entry.state_wait("retry", WAIT_S - 1.3) == pytest.approx(1.3)

    def test_short_wait_that_is_stated_first_counts_as_a_first_try(self):
        """Guards against callers that count as retrying for lack of others."""
        entry = Entry()
        assert entry.is_queued("short", 1.0)
        assert entry.is_queued("usual", WAIT_S)
        assert entry.state_wait("retry", WAIT_S - 1.3) == pytest.approx(1.3)

    def test_it_expires(self):
        """Guards against one long wait by which all shorter ones count as retries."""
        entry = Entry()
        assert entry.state_wait("long", WAIT_S) == 0.0
        entry.now = VALID_S - 0.1
        assert not entry.is_queued("short", 3.0)
        entry.now = VALID_S
        assert entry.is_queued("later", 3.0)

    def test_it_lasts_while_callers_go_on_to_state_it(self):
        """Guards against retries that aren't recognised under constant traffic."""
        entry = Entry()
        for _ in range(200):
            entry.now += 0.2
            assert entry.state_wait("new", WAIT_S) == 0.0
            assert entry.state_wait("retry", WAIT_S - 1.3) == pytest.approx(1.3)

    def test_caller_without_a_stated_wait_changes_nothing(self):
        entry = Entry()
        assert entry.state_wait("silent", 0.0) == 0.0
        assert len(entry.state.stated_waits) == 0

    @settings(max_examples=200, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from([-50.0, -0.4, 0.0, 0.01, 0.7, 4.0, 60.0]),
                st.sampled_from([0.001, 1.0, 2.5, 4.0, 5.9, 6.0, 6.1, 1e9]),
                st.sampled_from([2.0, WAIT_S, 20.0]),
            ),
            max_size=60,
        )
    )
    def test_prior_wait_is_bounded_in_any_order_of_events(self, steps):
        """Guards against prior waits that no call of the route can have had."""
        waits, now = StatedWaits(), 100.0
        for delay_s, wait_s, timeout_s in steps:
            now += delay_s
            route = msgspec.structs.replace(STREAM, timeout_s=timeout_s)
            call = build_call("c", route, now=now, wait_s=wait_s)
            prior_wait_s = waits.estimate_prior_wait(now, call)
            is_longer = wait_s > timeout_s
            max_wait_s = timeout_s * MAX_TIMEOUTS if is_longer else timeout_s
            assert 0.0 <= prior_wait_s <= max(max_wait_s - wait_s, 0.0)


class TestSeveralTries:
    """Callers who may try more than once within the time that they wait."""

    TIMEOUT_S = 2.0

    def estimate(self, waits: StatedWaits, now: float, wait_s: float) -> float:
        route = msgspec.structs.replace(STREAM, timeout_s=self.TIMEOUT_S)
        call = build_call("c", route, now=now, wait_s=wait_s)
        return waits.estimate_prior_wait(now, call)

    def test_retry_is_recognised(self):
        """Guards against retries that count as new while they exceed the timeout."""
        waits = StatedWaits()
        assert self.estimate(waits, 0.0, 4.0) == 0.0
        assert self.estimate(waits, 1.5, 2.5) == 1.5

    def test_caller_that_states_any_wait_changes_little_for_others(self):
        waits = StatedWaits()
        self.estimate(waits, 0.0, 1e9)
        assert self.estimate(waits, 0.1, 4.0) == 0.0
        assert self.estimate(waits, 0.2, 2.0) == 0.0


class TestHeldUpProcess:
    def test_short_stall_keeps_the_waits(self):
        """Guards against retries that aren't recognised after a short stall."""
        entry = Entry()
        entry.state_wait("new", WAIT_S)
        entry.tick(2.0, "a")
        assert entry.state_wait("retry", WAIT_S - 2.0) == pytest.approx(2.0)

    @pytest.mark.parametrize("step_s", [VALID_S, 3_600.0, -2.0, -99.0])
    def test_long_stall_or_clock_step_clears_the_waits(self, step_s):
        """Guards against waits that count for longer than those of other callers."""
        entry = Entry()
        entry.now = 100.0
        entry.state_wait("new", WAIT_S)
        entry.now += step_s
        assert entry.state_wait("short", 3.0) == 0.0
        assert entry.state_wait("new", WAIT_S) == 0.0
        assert entry.state_wait("retry", WAIT_S - 1.3) == pytest.approx(1.3)

    def test_call_that_is_reduced_late_keeps_the_waits(self):
        """Guards against a clock step that is seen where events overtake others."""
        entry = Entry()
        entry.now = 100.0
        entry.state_wait("new", WAIT_S)
        entry.now -= 0.1
        assert entry.state_wait("retry", WAIT_S - 1.3) == pytest.approx(1.3)


class ConfiguredEntry:
    """An entry's reducer with routing tables that the test brings into force."""

    def __init__(self, *routes: Route) -> None:
        self.state = build_entry_state()
        self.now = 1.0
        self.version = 0
        self.configure(*routes)

    def configure(self, *routes: Route) -> None:
        self.version += 1
        table = RoutingTable(self.version, routes, SERVICES)
        objects = [StoredObject("main", self.version, table)]
        event = CollectionListed(self.now, Collection.ROUTING, objects, self.version, 1)
        reduce_node(self.state, event)

    def state_wait(self, route: Route, wait_s: float) -> float:
        """Add a call whose caller states a wait; return its prior wait in seconds."""
        call = build_call("c", route, now=self.now, wait_s=wait_s)
        return self.state.gateway.add_call(self.now, call).prior_wait_s

    def count_routes(self) -> int:
        return len(self.state.gateway.stated_waits)


def build_named(name: str, timeout_s: float = WAIT_S) -> Route:
    prefix = f"/{name}/"
    return msgspec.structs.replace(
        STREAM, name=name, path_prefix=prefix, timeout_s=timeout_s
    )


class TestRoutingTables:
    def test_shorter_timeout_applies_to_waits_stated_before(self):
        """Guards against callers that can't have waited as long as it seems."""
        entry = ConfiguredEntry(build_named("r", 6.0))
        entry.state_wait(build_named("r", 6.0), 6.0)
        shorter = build_named("r", 2.0)
        entry.configure(shorter)
        assert entry.state_wait(shorter, 2.0) == 0.0
        assert entry.state_wait(shorter, 6.0) == 0.0
        assert entry.state_wait(shorter, 0.5) == pytest.approx(1.5)

    def test_longer_timeout_doesnt_apply_to_waits_stated_before(self):
        """Guards against a wait beyond the earlier timeout that counts afterwards."""
        entry = ConfiguredEntry(build_named("r", 6.0))
        entry.state_wait(build_named("r", 6.0), 30.0)
        longer = build_named("r", 60.0)
        entry.configure(longer)
        assert entry.state_wait(longer, 8.0) == 0.0
        assert entry.state_wait(longer, 6.0) == pytest.approx(2.0)

    def test_route_that_disappears_takes_its_waits_along(self):
        """Guards against waits of an earlier route with the same name."""
        kept, dropped = build_named("kept"), build_named("dropped")
        entry = ConfiguredEntry(kept, dropped)
        entry.state_wait(kept, 6.0)
        entry.state_wait(dropped, 6.0)
        entry.configure(kept)
        assert entry.count_routes() == 1
        entry.configure(kept, dropped)
        assert entry.state_wait(kept, 3.0) == pytest.approx(3.0)
        assert entry.state_wait(dropped, 3.0) == 0.0

    def test_routes_that_come_and_go_leave_nothing(self):
        """Guards against memory that grows with the number of routing tables."""
        entry = ConfiguredEntry()
        for number in range(100):
            route = build_named(f"r{number}")
            entry.configure(route)
            entry.state_wait(route, 6.0)
        assert entry.count_routes() == 1

    def test_routes_have_waits_of_their_own(self):
        entry = ConfiguredEntry(build_named("a"), build_named("b"))
        entry.state_wait(build_named("a"), 6.0)
        assert entry.state_wait(build_named("b"), 3.0) == 0.0


class TestBounds:
    @pytest.mark.parametrize("interval_s", [0.0, 0.001, 0.01, 1.0])
    def test_ever_shorter_waits_dont_add_up(self, interval_s):
        """Guards against memory that grows with the calls of a route."""
        waits = RouteWaits()
        for number in range(20_000):
            waits.note(number * interval_s, 6.0 - number * 1e-4)
            assert len(waits) <= VALID_S / SPACING_S

    @pytest.mark.parametrize("interval_s", [0.03, 0.3, 2.0])
    def test_longest_wait_is_that_of_the_last_seconds(self, interval_s):
        """Guards against expiry that is more than the spacing off."""
        waits = RouteWaits()
        noted: list[tuple[float, float]] = []
        for number in range(2_000):
            now = number * interval_s
            wait_s = 0.1 + number * 7_919 % 1_000 / 170
            waits.note(now, wait_s)
            noted.append((now, wait_s))
            recent = [known for at, known in noted if at > now - VALID_S]
            sure = [known for at, known in noted if at > now - VALID_S + SPACING_S]
            assert max(sure) <= waits.find_longest(now) <= max(recent)
