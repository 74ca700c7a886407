"""Concurrency window of an endpoint, and fair queue of the teams' requests.

Guards against overloading an endpoint that turned cold without a report, and against
a large team that starves small ones.
"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tamaracktray.limits import FairQueue, Window, WindowSettings
from tamaracktray.testing import make_request
from tamaracktray.types import Priority

SETTINGS = WindowSettings(cold_limit=2, max_limit=8, target_s=1.0, warm_proofs=3)


def make_warm(window: Window) -> None:
    for _ in range(40):
        window.note_first_byte(0.0, 0.1, window.size)


class TestWindow:
    def test_cold_endpoint_gets_the_cold_limit(self):
        window = Window(SETTINGS)
        assert window.has_capacity(1, 0)
        assert not window.has_capacity(2, 0)

    def test_grows_to_the_maximum_after_several_healthy_answers(self):
        window = Window(SETTINGS)
        for _ in range(2):
            window.note_first_byte(0.0, 0.1, 2)
        assert not window.is_warm
        make_warm(window)
        assert window.is_warm
        assert window.size == SETTINGS.max_limit

    @pytest.mark.parametrize("latency_s", [1.1, 0.5])
    def test_latency_jump_marks_cold_at_once(self, latency_s):
        window = Window(SETTINGS)
        make_warm(window)
        window.note_first_byte(1.0, latency_s, 8)
        assert not window.is_warm
        assert window.size == SETTINGS.cold_limit

    def test_latency_baseline_expires_after_its_ttl(self):
        window = Window(SETTINGS)
        make_warm(window)
        window.mark_cold(1.0)
        assert window.is_latency_jump(2.0, 0.5)
        assert not window.is_latency_jump(1.0 + SETTINGS.baseline_ttl_s, 0.5)

    def test_slow_answers_below_the_jump_do_not_make_a_cold_endpoint_warm(self):
        window = Window(SETTINGS)
        make_warm(window)
        window.mark_cold(1.0)
        for _ in range(20):
            window.note_first_byte(2.0, 0.3, 2)
        assert not window.is_warm
        for _ in range(SETTINGS.warm_proofs):
            window.note_first_byte(2.0, 0.1, 2)
        assert window.is_warm

    def test_overload_shrinks_once_per_round_trip(self):
        window = Window(SETTINGS)
        make_warm(window)
        for _ in range(5):
            window.note_first_byte(1.0, 0.25, 8)
        assert window.is_warm
        assert window.size == 6

    def test_cold_limit_bounds_requests_without_first_byte_when_warm(self):
        window = Window(SETTINGS)
        make_warm(window)
        assert window.has_capacity(7, SETTINGS.cold_limit - 1)
        assert not window.has_capacity(2, SETTINGS.cold_limit)

    def test_even_answers_after_a_start_do_not_make_an_endpoint_warm(self):
        window = Window(SETTINGS)
        window.reset(0.0)
        for _ in range(40):
            window.note_first_byte(SETTINGS.cold_s - 0.1, 0.2, 2)
        assert not window.is_warm
        assert window.size == SETTINGS.cold_limit
        for _ in range(SETTINGS.warm_proofs):
            window.note_first_byte(SETTINGS.cold_s, 0.02, 2)
        assert window.is_warm

    def test_report_of_a_warm_endpoint_ends_the_assumption_after_a_start(self):
        window = Window(SETTINGS)
        window.reset(0.0)
        window.note_report(0.0, is_cold=None)
        for _ in range(SETTINGS.warm_proofs):
            window.note_first_byte(0.1, 0.2, 2)
        assert not window.is_warm
        window.note_report(0.2, is_cold=False)
        for _ in range(SETTINGS.warm_proofs):
            window.note_first_byte(0.3, 0.02, 2)
        assert window.is_warm

    def test_reported_cold_endpoint_stays_cold_between_two_reports(self):
        window = Window(SETTINGS)
        make_warm(window)
        window.note_report(1.0, is_cold=True)
        for _ in range(40):
            window.note_first_byte(1.5, 0.1, 2)
        assert not window.is_warm

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["start", "first_byte", "finish"]), st.integers(0, 5)
            ),
            max_size=80,
        ),
        st.integers(0, 60),
    )
    def test_undetected_cold_endpoint_gets_few_new_requests(self, steps, cold_step):
        """Requests sent after the endpoint turned cold stay within the cold limit."""
        window = Window(SETTINGS)
        make_warm(window)
        awaiting_first_byte: list[bool] = []
        answering: list[bool] = []
        for count, (step, index) in enumerate(steps):
            is_cold = count >= cold_step
            if step == "start":
                if window.has_capacity(
                    len(awaiting_first_byte) + len(answering), len(awaiting_first_byte)
                ):
                    awaiting_first_byte.append(is_cold)
            elif step == "first_byte" and awaiting_first_byte:
                is_slow = awaiting_first_byte.pop(index % len(awaiting_first_byte))
                answering.append(is_slow)
                window.note_first_byte(0.0, 2.0 if is_slow else 0.1, len(answering))
            elif step == "finish" and answering:
                answering.pop(index % len(answering))
            assert (awaiting_first_byte + answering).count(True) <= SETTINGS.cold_limit


class TestFairQueue:
    def test_higher_priority_is_served_first(self):
        queue = FairQueue()
        queue.push(make_request("low", priority=Priority.LOW))
        queue.push(make_request("high", priority=Priority.HIGH))
        assert [queue.pop().id, queue.pop().id] == ["high", "low"]

    def test_large_team_does_not_starve_small_ones(self):
        queue = FairQueue()
        for number in range(20):
            queue.push(make_request(f"big-{number}", team="big"))
        for team in ("one", "two"):
            queue.push(make_request(f"{team}-0", team=team))
        first = {queue.pop().id for _ in range(3)}
        assert first == {"big-0", "one-0", "two-0"}

    def test_idle_team_accumulates_no_credit(self):
        queue = FairQueue()
        for number in range(4):
            queue.push(make_request(f"a{number}", team="a"))
        for _ in range(3):
            queue.pop()
        queue.push(make_request("b0", team="b"))
        queue.push(make_request("b1", team="b"))
        served = [queue.pop().team for _ in range(3)]
        assert served.count("a") == 1

    @pytest.mark.parametrize(
        ("team", "priority", "evicted"),
        [
            ("small", Priority.NORMAL, "big-2"),
            ("big", Priority.NORMAL, None),
            ("big", Priority.HIGH, "big-2"),
            ("small", Priority.LOW, None),
        ],
    )
    def test_full_queue_evicts_from_the_team_with_the_longest_queue(
        self, team, priority, evicted
    ):
        queue = FairQueue()
        for number in range(3):
            queue.push(make_request(f"big-{number}", team="big"))
        found = queue.evict_for(make_request("new", team=team, priority=priority))
        assert (found.id if found else None) == evicted

    def test_expired_requests_are_removed(self):
        queue = FairQueue()
        queue.push(make_request("late", deadline=1.0))
        queue.push(make_request("early", deadline=9.0))
        assert [request.id for request in queue.remove_expired(5.0)] == ["late"]
        assert len(queue) == 1

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["push", "pop", "evict", "expire"]),
                st.sampled_from("abc"),
                st.sampled_from(list(Priority)),
            )
        )
    )
    def test_nothing_is_lost_or_served_twice(self, steps):
        queue = FairQueue()
        waiting: set[str] = set()
        for number, (step, team, priority) in enumerate(steps):
            request = make_request(
                str(number), team=team, priority=priority, deadline=number % 7
            )
            removed = []
            if step == "push":
                queue.push(request)
                waiting.add(request.id)
            elif step == "pop":
                removed = [queue.pop()]
            elif step == "evict":
                removed = [queue.evict_for(request)]
            else:
                removed = queue.remove_expired(3.0)
            for item in removed:
                if item is not None:
                    waiting.remove(item.id)
            assert len(queue) == len(waiting)
        assert {request.id for request in queue.drain()} == waiting
