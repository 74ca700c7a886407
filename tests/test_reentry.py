"""Retries of callers that were refused for lack of capacity.

Guards against promises of places that are not kept or exceed the share of retrying
callers, against gains for callers that retry early or often, and against changes where
capacity is not scarce or not measured.
"""

import heapq
import itertools
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st
from typing_extensions import override

from gateways import (
    ENGINES,
    MODEL,
    ORDERS,
    SAFE,
    Gateway,
    build_call,
    engine,
    worker,
)
from tamaracktray.admission_control import AdmissionControl
from tamaracktray.calls import Call, CallStarted, RefuseCall, SendCall
from tamaracktray.gateway import handle_call_started
from tamaracktray.gateway_refusals import SCARCE_SERVED_SHARE
from tamaracktray.outcomes import AttemptPhase
from tamaracktray.reentry.early_callers import EARLY_VALID_S, MAX_EARLY, EarlyCallers
from tamaracktray.reentry.event_window import BIN_S, EventWindow
from tamaracktray.reentry.promises import PROMISE_EXPIRY_S, Promises
from tamaracktray.reentry.reentry import (
    ACTIVE_S,
    MAX_PROMISED_DELAY_S,
    MAX_PROMISED_DELAY_SHARE,
    MAX_PROMISED_SHARE,
    MIN_PROMISED_DELAY_S,
    UNPROMISED_DELAY_S,
    Reentry,
)
from tamaracktray.refusals import (
    BUSY_RETRY_S,
    SCARCE_RETRY_S,
    SCARCE_SPREAD_S,
    spread_retry_delay,
)
from tamaracktray.roster import EndpointRecord
from tamaracktray.types import RunState
from tamaracktray.wait_queue import RETURN_WAIT_S, WaitQueue
from tamaracktray_emulator.admission import (
    SERVICE_NAME,
    AdmissionExperiment,
    AdmissionPlan,
    CallerRecord,
)

WAIT_S = 6.0
TICK_S = 0.025
SERVICE_S = 0.4
RANK = (0, 0)
NEW_RATE = 40


class RankedAdmission(AdmissionControl):
    """Admission control of a service whose routes differ in priority."""

    @override
    def has_ranked_routes(self, now: float, service: str) -> bool:
        return True


def build_ranked_gateway(*records: EndpointRecord) -> Gateway:
    gateway = Gateway(*records)
    gateway.state.admission = RankedAdmission()
    return gateway


class Caller:
    """A caller with its tries and the result of the last one."""

    def __init__(self, name: str, arrived: float, *, is_hasty: bool = False) -> None:
        self.name = name
        self.arrived = arrived
        self.is_hasty = is_hasty
        self.delays: list[float] = []
        self.served_at: float | None = None

    @property
    def is_promised(self) -> bool:
        return bool(self.delays) and self.delays[0] <= MAX_PROMISED_DELAY_S

    @property
    def is_served_late(self) -> bool:
        return bool(self.delays) and self.served_at is not None


class Shortage:
    """One entry with 8 slots, 20 calls a second, and twice as many callers.

    Callers retry once, as told, but after a third of their remaining time at the
    latest. Hasty callers retry every 100 ms until they give up.
    """

    def __init__(self, *, hasty_every: int = 0, duration_s: float = 20.0) -> None:
        self.gateway = build_ranked_gateway(engine("a"), engine("b"))
        self.callers: list[Caller] = []
        self.call_ids: set[str] = set()
        self.queue: list = []
        self.numbers = itertools.count()
        self.caller_by_call: dict[str, Caller] = {}
        self.calls_by_id: dict[str, Call] = {}
        self.starts: list[tuple[float, bool]] = []
        for number in range(int(duration_s * NEW_RATE)):
            is_hasty = bool(hasty_every) and number % hasty_every == 0
            caller = Caller(f"c{number}", number / NEW_RATE, is_hasty=is_hasty)
            self.callers.append(caller)
            self.schedule(caller.arrived, self.submit, caller)
        for number in range(int((duration_s + WAIT_S) / TICK_S)):
            self.schedule(number * TICK_S, self.tick)
        while self.queue:
            self.gateway.now, _, action, arguments = heapq.heappop(self.queue)
            action(*arguments)

    def schedule(self, at: float, action, *arguments) -> None:
        heapq.heappush(self.queue, (at, next(self.numbers), action, arguments))

    def tick(self) -> None:
        self.take(self.gateway.tick(0.0, "a", "b"))

    def submit(self, caller: Caller) -> None:
        now = self.gateway.now
        wait_s = caller.arrived + WAIT_S - now
        if wait_s <= 0.0:
            return
        name = f"{caller.name}-{next(self.numbers)}"
        call = build_call(
            name, now=now, wait_s=wait_s, fingerprint=caller.name, output_tokens=50
        )
        self.caller_by_call[name] = caller
        self.calls_by_id[name] = call
        self.take(self.gateway.arrive(call))

    def take(self, effects) -> None:
        now = self.gateway.now
        for effect in effects:
            if isinstance(effect, SendCall):
                caller = self.caller_by_call[effect.call_id]
                caller.served_at = now
                self.starts.append((now, bool(caller.delays)))
                call = self.calls_by_id[effect.call_id]
                self.schedule(now + SERVICE_S, self.end, call, effect.endpoint_id)
            elif isinstance(effect, RefuseCall):
                self.refuse(self.caller_by_call[effect.call_id], effect)

    def refuse(self, caller: Caller, effect: RefuseCall) -> None:
        now = self.gateway.now
        assert effect.refusal.run is RunState.NOT_RUN
        caller.delays.append(effect.refusal.retry_after_s)
        if caller.is_hasty:
            self.schedule(now + 0.1, self.submit, caller)
        elif len(caller.delays) == 1:
            remaining_s = caller.arrived + WAIT_S - now
            delay_s = min(caller.delays[0], remaining_s / 3)
            self.schedule(now + delay_s, self.submit, caller)

    def end(self, call: Call, endpoint: str) -> None:
        self.take(self.gateway.end(call, endpoint, AttemptPhase.ANSWERED, status=200))

    def list_refused(self, after: float = 5.0) -> list[Caller]:
        """Return the callers refused at least once, arrived after the first seconds."""
        return [item for item in self.callers if item.delays and item.arrived > after]


def measure_served(callers: list[Caller]) -> float:
    assert len(callers) >= 20
    return sum(caller.is_served_late for caller in callers) / len(callers)


class TestShortage:
    def test_callers_with_a_promise_are_served_on_their_retry(self):
        """Guards against refusing a caller a second time that came as told."""
        promised = [item for item in Shortage().list_refused() if item.is_promised]
        assert measure_served(promised) >= 0.95

    def test_callers_without_a_promise_are_told_a_later_time(self):
        """Guards against cutting delays to a third of the caller's time."""
        others = [item for item in Shortage().list_refused() if not item.is_promised]
        assert len(others) > 100
        assert min(item.delays[0] for item in others) >= UNPROMISED_DELAY_S
        assert max(item.delays[0] for item in others) > WAIT_S / 3

    def test_new_callers_lose_at_most_the_share(self):
        """Guards against serving late callers at the cost of those still in time."""
        starts = [
            is_returning for at, is_returning in Shortage().starts if 5.0 < at < 20.0
        ]
        assert 0.02 < sum(starts) / len(starts) <= MAX_PROMISED_SHARE

    def test_callers_that_retry_early_and_often_gain_nothing(self, monkeypatch):
        """Guards against rewarding callers that ignore their retry delay.

        They are served no more often than if no retrying caller may queue, and don't
        take the places of callers that come as told.
        """
        refused = Shortage(hasty_every=5).list_refused()
        hasty = [item for item in refused if item.is_hasty]
        promised = [item for item in refused if item.is_promised and not item.is_hasty]
        assert measure_served(promised) >= 0.95
        monkeypatch.setattr(Reentry, "may_queue", lambda *_: False)
        without = Shortage(hasty_every=5).list_refused()
        usual = measure_served([item for item in without if item.is_hasty])
        assert measure_served(hasty) <= usual + 0.02


class SeveralEntries(AdmissionExperiment):
    """Overload of several entries, whose callers retry at random ones."""

    def __init__(self, plan: AdmissionPlan) -> None:
        super().__init__(plan)
        for entry in self._entries:
            entry.admission = RankedAdmission()
        self.promised: dict[int, CallerRecord] = {}

    @override
    def _handle_refusal(self, effect: RefuseCall) -> None:
        caller = self._caller_by_call[effect.call_id]
        reentry = self._entries[caller.entry].reentry
        delay_s = effect.refusal.retry_after_s
        if (
            caller.submissions == 1
            and MIN_PROMISED_DELAY_S - 0.1 <= delay_s <= MAX_PROMISED_DELAY_S
            and reentry.count_promised(self._now, SERVICE_NAME)
        ):
            self.promised[id(caller)] = caller
        super()._handle_refusal(effect)


class TestSeveralEntries:
    def test_promises_are_kept_at_other_entries(self):
        """Guards against entries that don't recognise the callers of others."""
        rate = 2.0 * 8 * 11.5
        plan = AdmissionPlan(rate=rate, engines=8, duration_s=12.0)
        experiment = SeveralEntries(plan)
        experiment.run()
        promised = experiment.promised.values()
        assert len(promised) >= 50
        served = sum(caller.is_completed for caller in promised)
        assert served >= 0.9 * len(promised)


def build_retry(name: str, now: float, prior_wait_s: float, **fields) -> Call:
    return build_call(name, now=now, wait_s=WAIT_S - prior_wait_s, **fields)


def build_reentry(now: float = 0.0, rate: int = 20) -> tuple[Reentry, float]:
    """Return the state of an entry after 2 s of starts, and the time."""
    reentry = Reentry()
    for number in range(2 * rate):
        call = build_call("s", now=now + number / rate)
        reentry.note_started(call.arrived, call, is_returning=False)
    return reentry, now + 2.0


def choose_delay(reentry: Reentry, now: float, rank=RANK, **fields) -> float:
    call = build_call("c", now=now, **{"wait_s": WAIT_S, **fields})
    return reentry.choose_retry_delay(now, call, rank)


class TestRetryDelays:
    def test_entry_without_measurements_gives_the_usual_delays(self):
        """Guards against promises by an entry that has just started."""
        call = build_call("c", wait_s=WAIT_S)
        delay_s = Reentry().choose_retry_delay(0.0, call, RANK)
        usual_s = spread_retry_delay(0.0, call, SCARCE_RETRY_S, SCARCE_SPREAD_S)
        assert delay_s == usual_s

    def test_measurements_expire(self):
        """Guards against promises by an entry that was held up."""
        reentry, now = build_reentry()
        call = build_call("c", now=now + 5.0, wait_s=WAIT_S)
        delay_s = reentry.choose_retry_delay(now + 5.0, call, RANK)
        assert delay_s == spread_retry_delay(
            now + 5.0, call, SCARCE_RETRY_S, SCARCE_SPREAD_S
        )

    def test_promises_are_bounded_and_the_rest_is_told_a_later_time(self):
        reentry, now = build_reentry(rate=20)
        delays = [choose_delay(reentry, now) for _ in range(60)]
        promised = [delay_s for delay_s in delays if delay_s <= MAX_PROMISED_DELAY_S]
        later = [delay_s for delay_s in delays if delay_s > MAX_PROMISED_DELAY_S]
        assert 2 <= len(promised) <= MAX_PROMISED_SHARE * 2 * 20
        assert min(promised) >= MIN_PROMISED_DELAY_S
        assert later == sorted(later)
        assert later[0] == UNPROMISED_DELAY_S
        assert later[-1] >= WAIT_S

    def test_urgent_ranks_get_promises_first(self):
        """Guards against promises to a rank whose places more urgent ones take."""
        reentry, now = build_reentry()
        for _ in range(60):
            choose_delay(reentry, now, (0, 0))
        later = now + 1.9
        for number in range(38):
            call = build_call("s", now=now + number / 20)
            reentry.note_started(call.arrived, call, is_returning=False)
        assert choose_delay(reentry, later, (0, 1)) >= UNPROMISED_DELAY_S
        assert choose_delay(reentry, later, (1, 0)) >= UNPROMISED_DELAY_S
        assert choose_delay(reentry, later, (0, 0)) <= MAX_PROMISED_DELAY_S

    def test_promise_comes_before_callers_without_one_return(self):
        """Guards against places taken by callers that wait a third of their time."""
        reentry, now = build_reentry(rate=40)
        wait_s = 2.0
        delay_s = choose_delay(reentry, now, wait_s=wait_s)
        assert delay_s <= wait_s * MAX_PROMISED_DELAY_SHARE

    def test_caller_refused_before_gets_no_promise(self):
        """Guards against promises collected by callers that retry often."""
        reentry, now = build_reentry()
        call = build_retry("c", now, 2.0)
        delay_s = reentry.choose_retry_delay(now, call, RANK, 2.0)
        assert delay_s >= UNPROMISED_DELAY_S
        assert reentry.count_promised(now, ENGINES) == 0

    def test_promises_expire(self):
        """Guards against places kept for callers that retry elsewhere."""
        promises = Promises()
        promises.add(1.0)
        assert promises.count(1.0 + PROMISE_EXPIRY_S - 0.01) == 1
        assert promises.count(1.0 + PROMISE_EXPIRY_S) == 0


class TestReturningCallers:
    def test_caller_may_queue_at_its_time_only(self):
        reentry, now = build_reentry()
        choose_delay(reentry, now)
        for prior_wait_s, is_allowed in [
            (0.0, False),
            (MIN_PROMISED_DELAY_S - 0.1, False),
            (MIN_PROMISED_DELAY_S, True),
            (MAX_PROMISED_DELAY_S + 0.2, True),
            (WAIT_S / 3 - 0.02, False),
        ]:
            call = build_retry(f"c{prior_wait_s}", now, prior_wait_s)
            assert reentry.may_queue(now, call, prior_wait_s) is is_allowed

    def test_no_caller_may_queue_without_a_recent_shortage(self):
        """Guards against a change where capacity is not scarce."""
        reentry, now = build_reentry()
        call = build_retry("c", now, 1.3)
        assert not reentry.may_queue(now, call, 1.3)
        choose_delay(reentry, now)
        assert not reentry.may_queue(now + ACTIVE_S, call, 1.3)

    def test_request_that_was_retried_early_may_not_queue(self):
        reentry, now = build_reentry()
        choose_delay(reentry, now)
        early = build_retry("c", now, 0.5)
        assert not reentry.may_queue(now, early, 0.5)
        again = build_retry("c", now + 0.8, 1.3)
        assert not reentry.may_queue(now + 0.8, again, 1.3)

    def test_queued_callers_are_bounded_by_the_places(self):
        """Guards against many retries that wait although no place will come up."""
        reentry, now = build_reentry(rate=20)
        choose_delay(reentry, now)
        calls = [build_retry(f"c{number}", now, 1.3) for number in range(100)]
        queued = sum(reentry.may_queue(now, call, 1.3) for call in calls)
        assert 0 < queued <= MAX_PROMISED_SHARE * 20 * (2.0 + RETURN_WAIT_S)

    def test_early_callers_are_forgotten_and_bounded(self):
        """Guards against memory that grows with the number of retries."""
        early = EarlyCallers()
        for number in range(MAX_EARLY + 10):
            early.note(0.0, str(number))
        assert len(early) == MAX_EARLY
        assert early.is_known(0.0, str(MAX_EARLY))
        assert not early.is_known(EARLY_VALID_S, str(MAX_EARLY))

    def test_queue_orders_them_by_their_total_wait(self):
        queue = WaitQueue()
        waits_by_name = {"short": 1.2, "long": 1.6, "middle": 1.4}
        for name, prior_wait_s in waits_by_name.items():
            call = build_retry(name, 0.0, prior_wait_s)
            assert queue.push(
                0.0, call, cost=0.1, prior_wait_s=prior_wait_s, is_returning=True
            )
        queue.push(0.0, build_call("stream"), cost=9.0, is_resumed=True)
        queue.push(0.0, build_call("new"), cost=0.0)
        ordered = [call.id for call in queue.list_ordered()]
        assert ordered == ["stream", "long", "middle", "short", "new"]

    def test_queue_keeps_them_for_their_longest_wait(self):
        queue = WaitQueue()
        call = build_retry("c", 0.0, 1.3)
        assert not queue.push(0.0, call, cost=0.0, prior_wait_s=1.3)
        assert queue.push(0.0, call, cost=0.0, prior_wait_s=1.3, is_returning=True)
        assert queue.remove_expired(RETURN_WAIT_S - 0.01) == []
        assert queue.remove_expired(RETURN_WAIT_S) == [call]


class TestScope:
    def refuse_many(self, gateway: Gateway, route) -> list[float]:
        """Return the retry delays after many refusals while no slot is free."""
        delays: list[float] = []
        for number in range(100):
            call = build_call(f"c{number}", route, now=gateway.now, wait_s=WAIT_S)
            effects = gateway.arrive(call) + gateway.tick(0.25, "a")
            delays += [
                item.refusal.retry_after_s
                for item in effects
                if isinstance(item, RefuseCall)
            ]
        return delays

    def test_service_without_an_engine_keeps_the_usual_delays(self):
        gateway = build_ranked_gateway(worker("a", max_batch=1))
        gateway.arrive(build_call("first", SAFE))
        starts = build_call("s", SAFE)
        for _ in range(100):
            gateway.state.reentry.note_started(0.0, starts, is_returning=False)
        delays = self.refuse_many(gateway, SAFE)
        assert max(delays) <= SCARCE_RETRY_S + SCARCE_SPREAD_S
        assert gateway.state.reentry.count_promised(0.0, ORDERS) == 0

    def build_scarce(self) -> tuple[Gateway, Call]:
        """Return a gateway with scarce capacity and measured starts, and a call."""
        gateway = build_ranked_gateway(engine("a", max_batch=1))
        gateway.state.reentry, gateway.now = build_reentry()
        gateway.arrive(build_call("first", now=gateway.now))
        call = build_call("c", now=gateway.now, wait_s=WAIT_S)
        for _ in range(100):
            gateway.state.note_outcome(call, is_served=False)
        return gateway, call

    def refuse(self, gateway: Gateway, call: Call) -> float:
        gateway.arrive(call)
        (effect,) = gateway.tick(0.2, "a")
        return effect.refusal.retry_after_s

    def test_scarce_capacity_gives_a_promise(self):
        gateway, call = self.build_scarce()
        delay_s = self.refuse(gateway, call)
        assert gateway.state.reentry.count_promised(gateway.now, ENGINES) == 1
        assert MIN_PROMISED_DELAY_S - 0.1 <= delay_s <= MAX_PROMISED_DELAY_S

    def test_sufficient_capacity_gives_the_usual_delay(self):
        gateway, call = self.build_scarce()
        served_rate = gateway.state.served_rate_by_service[ENGINES]
        served_rate.value = SCARCE_SERVED_SHARE + 0.1
        assert self.refuse(gateway, call) == BUSY_RETRY_S

    def test_version_swap_gives_the_usual_delay(self):
        """Guards against late retries after a shortage that ends with a swap."""
        gateway, call = self.build_scarce()
        gateway.load("a").note_status(gateway.now, True, {MODEL: 1})
        self.refuse(gateway, call)
        assert gateway.state.reentry.count_promised(gateway.now, ENGINES) == 0


class TestEventOrders:
    @settings(max_examples=200, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["start", "refuse", "return", "take"]),
                st.sampled_from([0.0, 0.0, 0.01, 0.05, 0.3, 1.0, 2.5]),
                st.integers(1, 30),
                st.sampled_from([(0, 0), (0, 1), (1, 0)]),
            ),
            max_size=60,
        )
    )
    def test_there_are_never_more_promises_than_places(self, steps):
        """Guards against promises beyond the share, in any order of events."""
        reentry, now = build_reentry()
        starts = [number / 20 for number in range(40)]
        taken: list[float] = []
        for kind, delay_s, repeats, rank in steps:
            now += delay_s
            for _ in range(repeats):
                call = build_call("c", now=now, wait_s=WAIT_S)
                before = reentry.count_promised(now, ENGINES)
                recent = sum(at > now - 2.0 for at in starts)
                if kind == "start":
                    reentry.note_started(now, call, is_returning=False)
                    starts.append(now)
                elif kind == "refuse":
                    reentry.choose_retry_delay(now, call, rank)
                    promised = reentry.count_promised(now, ENGINES)
                    assert promised == before or promised <= MAX_PROMISED_SHARE * recent
                elif kind == "return":
                    reentry.may_queue(now, build_retry("c", now, 1.3), 1.3)
                elif reentry.take_place(now, ENGINES):
                    taken.append(now)
                    recent_taken = sum(at > now - 1.9 for at in taken)
                    assert recent_taken <= MAX_PROMISED_SHARE * recent

    @settings(max_examples=200, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["new", "retry", "begin", "tick", *AttemptPhase]),
                st.sampled_from([0.0, 0.02, 0.1, 0.3]),
                st.integers(0, 9),
            ),
            max_size=60,
        )
    )
    def test_no_call_that_ran_is_refused_as_not_run(self, steps):
        """Guards against a repeated run of a retrying call that waited."""
        gateway = build_ranked_gateway(
            engine("a", max_batch=2), engine("b", max_batch=2)
        )
        gateway.state.reentry, gateway.now = build_reentry()
        choose_delay(gateway.state.reentry, gateway.now)
        gateway.arrive(build_call("first", now=gateway.now, wait_s=WAIT_S))
        calls_by_id: dict[str, Call] = {}
        endpoint_by_call: dict[str, str] = {}
        ran: set[str] = set()
        outcomes: Counter[str] = Counter()

        def take(effects) -> None:
            for effect in effects:
                if isinstance(effect, SendCall):
                    endpoint_by_call[effect.call_id] = effect.endpoint_id
                elif isinstance(effect, RefuseCall):
                    outcomes[effect.call_id] += 1
                    is_not_run = effect.refusal.run is RunState.NOT_RUN
                    is_possible = (
                        effect.call_id in ran or effect.call_id in endpoint_by_call
                    )
                    assert not (is_not_run and is_possible)
                    assert outcomes[effect.call_id] == 1

        for number, (kind, delay_s, index) in enumerate(steps):
            take(gateway.tick(delay_s, "a", "b"))
            if kind in ("new", "retry"):
                prior_wait_s = 1.3 if kind == "retry" else 0.0
                name = f"c{number}"
                call = build_retry(name, gateway.now, prior_wait_s)
                calls_by_id[name] = call
                take(gateway.arrive(call))
                continue
            if kind == "tick" or not endpoint_by_call:
                continue
            running = sorted(endpoint_by_call)
            name = running[index % len(running)]
            endpoint = endpoint_by_call[name]
            if name not in calls_by_id:
                continue
            if kind == "begin":
                ran.add(name)
                event = CallStarted(gateway.now, name, endpoint, 1, True)
                take(handle_call_started(gateway.context, event))
                continue
            del endpoint_by_call[name]
            if not kind.is_not_run:
                ran.add(name)
            take(gateway.end(calls_by_id[name], endpoint, kind, status=200))


class TestFirstTry:
    def test_caller_that_states_no_wait_is_not_taken_for_a_retrying_one(self):
        """Guards against first tries that wait as if they were promised a place."""
        reentry = Reentry()
        call = build_call("1")
        for number in range(100):
            reentry.note_started(number * 0.02, call, is_returning=False)
        reentry.choose_retry_delay(2.0, build_call("2", wait_s=6.0), (1, 0))
        assert not reentry.may_queue(2.1, call, prior_wait_s=0.0)


class TestRankedRoutes:
    """Guards against new delays where routes don't differ in priority."""

    def count_promised(self, route_priorities: tuple[int, ...]) -> int:
        gateway = Gateway(engine("e", max_batch=4))
        call_by_id: dict[str, Call] = {}
        running: list[str] = []
        for number in range(400):
            call = build_call(
                f"c{number}",
                now=gateway.now,
                wait_s=WAIT_S,
                output_tokens=100,
                route_priority=route_priorities[number % len(route_priorities)],
            )
            call_by_id[call.id] = call
            effects = gateway.arrive(call) + gateway.tick(0.02, "e")
            if number % 5 == 0 and running:
                ended = call_by_id[running.pop(0)]
                phase = AttemptPhase.ANSWERED
                effects += gateway.end(ended, "e", phase, status=200)
            running += [item.call_id for item in effects if isinstance(item, SendCall)]
        return gateway.state.reentry.count_promised(gateway.now, ENGINES)

    def test_places_are_promised_if_routes_differ_in_priority(self):
        assert self.count_promised((0, 1)) > 0

    def test_no_places_are_promised_if_all_routes_are_equal(self):
        assert self.count_promised((1, 1)) == 0

    def test_single_requests_of_another_route_change_nothing(self):
        assert self.count_promised((1,) * 99 + (0,)) == 0


class TestEventWindow:
    def test_window_holds_only_recent_events(self):
        """Guards against memory that grows while nobody asks for the count."""
        window = EventWindow(2.0)
        for number in range(10_000):
            window.note(number * 0.2)
        assert len(window._bins) <= 2.0 / BIN_S + 1
