"""Notices in endpoints' answers: the endpoint leaves, or asks for a pause.

Guards against calls that are still sent after such a notice, for example because the
endpoint remains listed or the notice arrives before its record.
"""

import math

import curio
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from gateways import (
    ENGINES,
    ORDERS,
    SAFE,
    STREAM,
    UNSAFE,
    Gateway,
    build_call,
    build_route,
    engine,
    sent,
    worker,
)
from platforms import PlatformFleet, run_fleet
from tamaracktray.attempt_abandonment import is_sendable
from tamaracktray.attempt_events import build_notice
from tamaracktray.budgets import RetryBudget
from tamaracktray.calls import RefuseCall, SendCall
from tamaracktray.gateway_notices import handle_notice
from tamaracktray.notices import (
    DEFAULT_PAUSE_S,
    MAX_PAUSE_S,
    MAX_UNLISTED,
    EndpointNoticeReceived,
    EndpointNotices,
    LogNotice,
    NoticedIncarnation,
    bound_pause,
)
from tamaracktray.outcomes import AttemptPhase
from tamaracktray.platform.protocol import PlatformProtocol
from tamaracktray.protocol import AnswerFields
from tamaracktray.refusals import PAUSE_SPREAD_S
from tamaracktray.routes import RepeatKind
from tamaracktray.types import Address, RunState
from tamaracktray_emulator.platform.store import Outage
from tamaracktray_emulator.platform.worker import Mode

# Requests from one machine that the platform tolerates at a paused endpoint.
ALLOWED_IN_PAUSE = 2


def refusals(effects):
    return [item.refusal for item in effects if isinstance(item, RefuseCall)]


def notice(gateway: Gateway, name: str, **fields):
    return handle_notice(
        gateway.context, EndpointNoticeReceived(gateway.now, name, **fields)
    )


class CountingBudget:
    """Records when a retry budget is spent."""

    def __init__(self, budget: RetryBudget, spent: list[float]) -> None:
        self._budget = budget
        self._spent = spent

    def earn(self, now: float) -> None:
        self._budget.earn(now)

    def spend(self, now: float) -> bool:
        self._spent.append(now)
        return self._budget.spend(now)


class TestHeaders:
    @pytest.mark.parametrize("status", [200, 400, 421, 500, 503, 504])
    def test_leaving_is_read_from_any_status(self, status):
        protocol = PlatformProtocol()
        assert protocol.parse_answer_fields(status, {"server-leaving": "1"}).is_leaving
        assert not protocol.parse_answer_fields(
            status, {"server-leaving": "0"}
        ).is_leaving
        assert not protocol.parse_answer_fields(status, {}).is_leaving

    @pytest.mark.parametrize(
        ("status", "text", "pause_s"),
        [(503, "2", 2.0), (503, "0.25", 0.25), (503, " 1 ", 1.0), (429, "2", None)],
    )
    def test_pause_is_read_from_503_only(self, status, text, pause_s):
        fields = PlatformProtocol().parse_answer_fields(status, {"retry-after": text})
        assert fields.pause_s == pause_s

    def test_503_without_retry_after_requests_no_pause(self):
        assert PlatformProtocol().parse_answer_fields(503, {}).pause_s is None

    @pytest.mark.parametrize(
        ("text", "pause_s"),
        [
            ("soon", DEFAULT_PAUSE_S),
            ("", DEFAULT_PAUSE_S),
            ("nan", DEFAULT_PAUSE_S),
            ("-3", DEFAULT_PAUSE_S),
            ("-inf", DEFAULT_PAUSE_S),
            ("inf", MAX_PAUSE_S),
            ("1e12", MAX_PAUSE_S),
            ("Fri, 31 Dec 1999 23:59:59 GMT", DEFAULT_PAUSE_S),
        ],
    )
    def test_invalid_pauses_are_replaced_and_logged(self, text, pause_s):
        asked_s = (
            PlatformProtocol().parse_answer_fields(503, {"retry-after": text}).pause_s
        )
        assert bound_pause(asked_s) == pause_s
        gateway = Gateway(worker("w"))
        (noted,) = notice(gateway, "w", pause_s=asked_s)
        assert isinstance(noted, LogNotice)
        assert noted.is_bounded
        assert noted.pause_s == pause_s


class TestLeaving:
    def test_nothing_new_is_sent(self):
        gateway = Gateway(worker("w"), worker("x"))
        notice(gateway, "w", is_leaving=True)
        taken = [sent(gateway.arrive(build_call(str(n), SAFE)))[0] for n in range(2)]
        assert taken == ["x", "x"]

    def test_call_that_is_being_sent_is_placed_elsewhere(self):
        gateway = Gateway(worker("w"), worker("x", zone="zone-b"))
        call = build_call("1", UNSAFE)
        (decision,) = [
            item for item in gateway.arrive(call) if isinstance(item, SendCall)
        ]
        assert decision.endpoint_id == "w"
        notice(gateway, "w", is_leaving=True)
        assert not is_sendable(gateway.context, gateway.now, decision)
        effects = gateway.end(call, "w", AttemptPhase.WITHDRAWN)
        assert sent(effects) == ["x"]

    def test_running_call_completes(self):
        gateway = Gateway(worker("w"))
        call = build_call("1", UNSAFE)
        gateway.arrive(call)
        notice(gateway, "w", is_leaving=True)
        assert not gateway.end(call, "w", AttemptPhase.ANSWERED)
        assert gateway.load("w").in_flight == 0

    def test_repeated_leaving_notices_are_ignored(self):
        gateway = Gateway(worker("w"))
        assert notice(gateway, "w", is_leaving=True)
        assert not notice(gateway, "w", is_leaving=True)
        assert notice(gateway, "w", is_leaving=True, pause_s=1.0)

    def test_waiting_call_is_refused_when_its_last_endpoint_leaves(self):
        gateway = Gateway(worker("w", max_batch=1))
        gateway.arrive(build_call("1", SAFE))
        assert not gateway.arrive(build_call("2", SAFE))
        (answer,) = refusals(notice(gateway, "w", is_leaving=True))
        assert (answer.status, answer.run) == (503, RunState.NOT_RUN)

    def test_leaving_endpoint_that_is_still_listed_stays_unused(self):
        gateway = Gateway(worker("w", start_time_ms=5))
        notice(gateway, "w", is_leaving=True)
        gateway.follow(worker("w", start_time_ms=5, sequence=3))
        assert not sent(gateway.arrive(build_call("1", SAFE)))
        gateway.follow()
        gateway.follow(worker("w", start_time_ms=5))
        assert not sent(gateway.arrive(build_call("2", SAFE)))

    def test_next_incarnation_is_used(self):
        gateway = Gateway(worker("w", start_time_ms=5_000))
        gateway.now = 10.0
        notice(gateway, "w", is_leaving=True)
        gateway.follow(worker("w", start_time_ms=12_000))
        assert sent(gateway.arrive(build_call("1", SAFE))) == ["w"]

    def test_incarnation_that_answered_before_it_was_listed_stays_unused(self):
        gateway = Gateway(worker("w", start_time_ms=5_000))
        gateway.now = 10.0
        notice(gateway, "w", is_leaving=True)
        gateway.follow(worker("w", start_time_ms=9_000))
        assert not sent(gateway.arrive(build_call("1", SAFE)))

    def test_notice_of_an_unlisted_endpoint_is_kept(self):
        gateway = Gateway(worker("w", start_time_ms=5))
        gateway.now = 1.0
        gateway.arrive(build_call("1", SAFE))
        gateway.follow()
        notice(gateway, "w", is_leaving=True)
        gateway.follow(worker("w", start_time_ms=5))
        assert not sent(gateway.arrive(build_call("2", SAFE)))

    @pytest.mark.parametrize("is_first_listed", [True, False])
    def test_notice_of_an_unlisted_endpoint_is_kept_by_a_clock_that_is_behind(
        self, is_first_listed
    ):
        record = worker("w", start_time_ms=5_000)
        gateway = Gateway(record)
        gateway.now = 1.0
        (decision,) = [
            item
            for item in gateway.arrive(build_call("1", SAFE))
            if isinstance(item, SendCall)
        ]
        received = build_notice(decision, AnswerFields(is_leaving=True))
        received = msgspec.structs.replace(received, now=gateway.now)
        if is_first_listed:
            handle_notice(gateway.context, received)
        gateway.follow()
        handle_notice(gateway.context, received)
        gateway.follow(record)
        assert not sent(gateway.arrive(build_call("2", SAFE)))

    def test_misdirected_answer_applies_to_all_endpoints_at_the_address(self):
        address = Address("10.0.0.9", 80)
        old = worker("old").__class__("old", ORDERS, address, "zone-a", 2)
        new = worker("new").__class__("new", ORDERS, address, "zone-a", 2)
        gateway = Gateway(old, new)
        notice(gateway, "old", is_leaving=True, is_misdirected=True)
        assert not sent(gateway.arrive(build_call("1", SAFE)))

    def test_number_of_notices_is_limited(self):
        notices = EndpointNotices()
        for number in range(3 * MAX_UNLISTED):
            notices.note_leaving(NoticedIncarnation(str(number), 0.0))
        listed = worker("0")
        notices.expire(0.0, {"0": listed})
        assert notices.is_leaving(listed)
        assert notices.is_leaving(worker(str(3 * MAX_UNLISTED - 1)))
        assert not notices.is_leaving(worker("1"))


class TestPause:
    def test_nothing_is_sent_until_it_ends(self):
        gateway = Gateway(worker("w"), worker("x"))
        notice(gateway, "w", pause_s=1.5)
        assert sent(gateway.arrive(build_call("1", SAFE))) == ["x"]
        gateway.tick(1.4)
        assert sent(gateway.arrive(build_call("2", SAFE, gateway.now))) == ["x"]
        gateway.tick(0.2)
        assert sent(gateway.arrive(build_call("3", SAFE, gateway.now))) == ["w"]

    def test_answers_to_earlier_calls_do_not_end_it(self):
        gateway = Gateway(worker("w"))
        call = build_call("1", SAFE)
        gateway.arrive(call)
        notice(gateway, "w", pause_s=5.0)
        gateway.end(call, "w", AttemptPhase.ANSWERED)
        assert not sent(gateway.arrive(build_call("2", SAFE)))

    def test_shorter_pause_does_not_end_a_longer_one(self):
        gateway = Gateway(worker("w"))
        notice(gateway, "w", pause_s=5.0)
        notice(gateway, "w", pause_s=0.1)
        gateway.tick(1.0)
        assert not sent(gateway.arrive(build_call("1", SAFE, gateway.now)))

    def test_pause_survives_relisting_but_not_a_restart(self):
        gateway = Gateway(worker("w", start_time_ms=5))
        notice(gateway, "w", pause_s=5.0)
        gateway.follow()
        gateway.follow(worker("w", start_time_ms=5))
        assert not sent(gateway.arrive(build_call("1", SAFE)))
        gateway.follow(worker("w", start_time_ms=10_000))
        assert sent(gateway.arrive(build_call("2", SAFE))) == ["w"]

    def test_retry_delay_spans_the_shortest_pause_and_is_spread(self):
        gateway = Gateway(worker("w"), worker("x"))
        notice(gateway, "w", pause_s=3.0)
        notice(gateway, "x", pause_s=2.0)
        times = []
        for number in range(50):
            (answer,) = refusals(gateway.arrive(build_call(str(number), SAFE)))
            assert (answer.status, answer.run) == (503, RunState.NOT_RUN)
            times.append(answer.retry_after_s)
        assert min(times) >= 2.0
        assert max(times) <= 2.0 + PAUSE_SPREAD_S
        assert max(times) - min(times) > PAUSE_SPREAD_S / 2

    def test_waiting_calls_are_refused_at_once(self):
        gateway = Gateway(worker("w", max_batch=1))
        gateway.arrive(build_call("1", SAFE))
        assert not gateway.arrive(build_call("2", SAFE))
        (answer,) = refusals(notice(gateway, "w", pause_s=2.0))
        assert answer.retry_after_s >= 2.0

    def test_other_service_of_the_route_takes_over(self):
        gateway = Gateway(engine("e"), worker("w"))
        route = build_route(RepeatKind.SAFE, ENGINES, ORDERS)
        notice(gateway, "e", pause_s=2.0)
        assert sent(gateway.arrive(build_call("1", route))) == ["w"]

    def test_no_retry_budget_is_spent_when_all_others_pause(self):
        gateway = Gateway(worker("w"), worker("x"))
        notice(gateway, "x", pause_s=2.0)
        call = build_call("1", SAFE)
        gateway.arrive(call)
        spent: list[float] = []
        budget = gateway.state.find_budget(ORDERS)
        gateway.state.budget_by_service[ORDERS] = CountingBudget(budget, spent)
        notice(gateway, "w", pause_s=1.0)
        (answer,) = refusals(gateway.end(call, "w", AttemptPhase.REFUSED))
        assert 1.0 <= answer.retry_after_s <= 1.0 + PAUSE_SPREAD_S
        assert not spent

    def test_failure_with_unknown_outcome_is_not_reported_as_not_run(self):
        gateway = Gateway(worker("w"))
        call = build_call("1", UNSAFE)
        gateway.arrive(call)
        notice(gateway, "w", pause_s=2.0)
        effects = gateway.end(call, "w", AttemptPhase.FAILED, status=503)
        assert all(answer.run is not RunState.NOT_RUN for answer in refusals(effects))


EVENT = st.one_of(
    st.tuples(st.just("call"), st.sampled_from([SAFE, UNSAFE, STREAM])),
    st.tuples(st.just("leaving"), st.sampled_from(["w", "x", "e", "f"])),
    st.tuples(st.just("pause"), st.sampled_from(["w", "x", "e", "f"])),
    st.tuples(st.just("end"), st.sampled_from(list(AttemptPhase))),
    st.tuples(st.just("list"), st.sets(st.sampled_from(["w", "x", "e", "f"]))),
    st.tuples(st.just("wait"), st.floats(0.01, 1.5)),
)


class TestAnyOrder:
    @given(st.lists(EVENT, max_size=40))
    def test_no_call_is_sent_after_leaving_or_during_a_pause(self, events):
        records = {
            record.id: record
            for record in (worker("w"), worker("x"), engine("e"), engine("f"))
        }
        gateway = Gateway(*records.values())
        leaving: set[str] = set()
        pause_end = dict.fromkeys(records, 0.0)
        in_flight_calls: list[tuple[object, str]] = []
        decisions: list[SendCall] = []
        calls = {}

        def follow(effects) -> None:
            for item in effects:
                if not isinstance(item, SendCall):
                    continue
                assert item.endpoint_id not in leaving
                assert pause_end[item.endpoint_id] <= gateway.now
                in_flight_calls.append((calls[item.call_id], item.endpoint_id))
                decisions.append(item)

        for number, (kind, value) in enumerate(events):
            if kind == "call":
                calls[str(number)] = build_call(str(number), value, gateway.now)
                follow(gateway.arrive(calls[str(number)]))
            elif kind == "leaving":
                leaving.add(value)
                follow(notice(gateway, value, is_leaving=True))
            elif kind == "pause":
                pause_end[value] = max(pause_end[value], gateway.now + 1.0)
                follow(notice(gateway, value, pause_s=1.0))
            elif kind == "end" and in_flight_calls:
                call, name = in_flight_calls.pop(0)
                follow(gateway.end(call, name, value))
            elif kind == "list":
                gateway.follow(*(records[name] for name in sorted(value)))
            elif kind == "wait":
                follow(gateway.tick(value))
            for decision in decisions:
                name = decision.endpoint_id
                if name in leaving or pause_end[name] > gateway.now:
                    assert not is_sendable(gateway.context, gateway.now, decision)


class TestRealSockets:
    @pytest.mark.parametrize(
        "mode", [Mode.GOOD, Mode.FULL, Mode.FAILING, Mode.WRONG_ID]
    )
    def test_leaving_worker_gets_no_more_calls(self, mode):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            leaving = await fleet.add_worker("w-1")
            leaving.is_leaving = True
            leaving.mode = mode
            await fleet.until_listed(1)
            await fleet.call("/order/1", "id-1")
            arrivals = leaving.arrivals
            assert arrivals
            for number in range(3):
                reply = await fleet.call("/order/1", f"later-{number}")
                assert reply.status == 503
            assert leaving.arrivals == arrivals

        run_fleet(scenario)

    def test_leaving_notice_is_read_from_a_stream(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            leaving = await fleet.add_engine("e-1")
            leaving.is_leaving = True
            await fleet.until_listed(1)
            reply = await fleet.call("/talk/1", "id-1")
            assert reply.status == 200
            assert (await fleet.call("/talk/1", "id-2")).status == 503
            assert "id-2" not in leaving.runs

        run_fleet(scenario)

    @pytest.mark.parametrize("is_marked", [True, False])
    def test_pausing_worker_gets_no_calls_until_the_pause_ends(self, is_marked):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            pausing = await fleet.add_worker("w-1")
            pausing.pause = "0.6"
            pausing.is_pause_marked = is_marked
            await fleet.until_listed(1)
            first = await fleet.call("/order/1", "id-0")
            assert (first.status == 503) is is_marked
            arrivals = pausing.arrivals
            reply = await fleet.call("/order/1", "id-1")
            assert reply.status == 503
            assert 0.3 <= float(reply.headers["retry-after"]) <= 0.6 + PAUSE_SPREAD_S
            assert pausing.arrivals - arrivals <= ALLOWED_IN_PAUSE
            assert pausing.arrivals == arrivals
            pausing.pause = ""
            await curio.sleep(0.7)
            assert (await fleet.call("/order/1", "id-2")).status == 200

        run_fleet(scenario)

    def test_notice_survives_a_store_outage(self):
        async def scenario(fleet: PlatformFleet) -> None:
            await fleet.start()
            leaving = await fleet.add_worker("w-1")
            leaving.is_leaving = True
            await fleet.until_listed(1)
            await fleet.call("/order/1", "id-1")
            fleet.store.faults.outage = Outage.RESET
            await curio.sleep(0.3)
            fleet.store.faults.outage = Outage.NONE
            await curio.sleep(0.8)
            arrivals = leaving.arrivals
            assert (await fleet.call("/order/1", "id-2")).status == 503
            assert leaving.arrivals == arrivals

        run_fleet(scenario)


class TestBounds:
    def test_ordinary_pauses_are_unchanged(self):
        assert bound_pause(0.0) == 0.0
        assert bound_pause(1.5) == 1.5
        assert not math.isnan(bound_pause(math.nan))
