"""Trials that end a quarantine which nothing else can end.

Guards against a route whose calls are all refused for minutes, because the answers that
would acquit a part of all its prompts are refused as well.
"""

import time

import pytest

from gateways import Gateway, build_call, build_entry_state, engine, sent
from part_crashes import FIRST_PART, PartCrashHarness, run_scenario
from tamaracktray.calls import AbandonAttempt, CallStarted, RefuseCall
from tamaracktray.events import Tick
from tamaracktray.gateway import handle_call_started
from tamaracktray.node_events import BroadcastBeacon
from tamaracktray.node_reducer import reduce_node
from tamaracktray.outcomes import AttemptPhase
from tamaracktray.part_blame import (
    CRASHES_TO_QUARANTINE,
    CRASHES_TO_QUARANTINE_SOUND,
)
from tamaracktray.part_trials import (
    FIRST_TRIAL_S,
    MIN_CALLS,
    TAKEOVER_S,
    TRIAL_FACTOR,
    TRIAL_TIMEOUT_S,
)
from tamaracktray.part_watch import SOUND_ANSWER_S, PartWatch
from tamaracktray.suspicions import Incarnation

SHARED = "part-shared"
OWN = "part-own"
RUN_S = 0.2


def quarantine(watch: PartWatch, part: str, *, is_sound: bool, now: float) -> float:
    """Crash endpoints until a part is quarantined; return the time of the last one."""
    count = CRASHES_TO_QUARANTINE
    if is_sound:
        watch.record_sound(now, part, now)
        count = CRASHES_TO_QUARANTINE_SOUND
    for _ in range(count):
        now += 1.0
        crash(watch, part, now)
    assert watch.find_prompt_quarantine_end(now, (part,)) is not None
    return now


def crash(watch: PartWatch, part: str, now: float) -> None:
    watch.suspect(now, part, Incarnation(f"e-{now}", 1), RUN_S)
    watch.evaluate(now, {}, frozenset(), 0.0)


def is_trial(watch: PartWatch, now: float, *parts: str, rank: int = 0) -> bool:
    return watch.take_trial(now, parts, lambda part: rank)


class TestTiming:
    def build(self, *, is_sound: bool = True) -> tuple[PartWatch, float]:
        watch = PartWatch(300.0, 1.2)
        return watch, quarantine(watch, SHARED, is_sound=is_sound, now=0.0)

    def test_one_call_passes_some_time_after_the_last_crash(self):
        watch, crashed_at = self.build()
        assert not is_trial(watch, crashed_at + FIRST_TRIAL_S - 0.1, SHARED, OWN)
        due_at = crashed_at + FIRST_TRIAL_S
        assert is_trial(watch, due_at, SHARED, OWN)
        assert not is_trial(watch, due_at + 0.1, SHARED, OWN)
        assert is_trial(watch, due_at + TRIAL_TIMEOUT_S, SHARED, OWN)

    def test_processes_take_over_in_the_order_of_their_rank(self):
        watch, crashed_at = self.build()
        due_at = crashed_at + FIRST_TRIAL_S + 2 * TAKEOVER_S
        assert not is_trial(watch, due_at - 0.1, SHARED, rank=2)
        assert is_trial(watch, due_at, SHARED, rank=2)

    def test_each_trial_that_crashes_delays_the_next_one(self):
        watch, now = self.build()
        for number in range(1, 4):
            now += FIRST_TRIAL_S * TRIAL_FACTOR ** (number - 1)
            assert is_trial(watch, now, SHARED)
            now += RUN_S
            crash(watch, SHARED, now)
            due_at = now + FIRST_TRIAL_S * TRIAL_FACTOR**number
            assert not is_trial(watch, due_at - 0.1, SHARED)
        assert due_at - now > 60.0

    def test_new_part_is_tested_only_if_most_calls_are_refused_for_it(self):
        watch, crashed_at = self.build(is_sound=False)
        now = crashed_at + 10.0
        for number in range(MIN_CALLS):
            assert not is_trial(watch, now, "part-other", f"own-{number}")
            assert not is_trial(watch, now, "part-other")
            assert not is_trial(watch, now, SHARED)
        results = [is_trial(watch, now, SHARED) for _ in range(2 * MIN_CALLS)]
        assert results.count(True) == 1

    def test_prompt_with_a_part_that_is_not_due_is_no_trial(self):
        watch, crashed_at = self.build()
        watch.record_sound(0.0, OWN, 0.0)
        crashed_at = quarantine(watch, OWN, is_sound=True, now=crashed_at + 5.0)
        assert not is_trial(watch, crashed_at, SHARED, OWN)
        assert is_trial(watch, crashed_at, SHARED)

    def test_call_without_a_quarantined_part_is_no_trial(self):
        watch, crashed_at = self.build()
        assert not is_trial(watch, crashed_at + 10.0, OWN)
        assert not is_trial(watch, crashed_at + 10.0)


class TestGatewayTrials:
    def build(self) -> Gateway:
        gateway = Gateway(*(engine(f"e-{number}") for number in range(3)))
        gateway.now = quarantine(
            gateway.part_crashes, SHARED, is_sound=True, now=gateway.now
        )
        return gateway

    def arrive(self, gateway: Gateway, name: str) -> list:
        call = build_call(name, now=gateway.now, parts=(SHARED, f"own-{name}"))
        return gateway.arrive(call)

    def test_sound_trial_ends_the_quarantine_and_peers_are_told(self):
        gateway = self.build()
        gateway.now += FIRST_TRIAL_S
        trial = build_call("trial", now=gateway.now, parts=(SHARED,))
        (endpoint,) = sent(gateway.arrive(trial))
        (refused,) = self.arrive(gateway, "beside")
        assert isinstance(refused, RefuseCall)
        assert not any(
            isinstance(item, AbandonAttempt) for item in gateway.tick(0.1, endpoint)
        )
        handle_call_started(
            gateway.context, CallStarted(gateway.now, trial.id, endpoint)
        )
        gateway.progress(trial, gateway.now + 2 * SOUND_ANSWER_S)
        state = build_entry_state(gateway.state)
        state.part_crashes = gateway.part_crashes
        _, effects = reduce_node(state, Tick(gateway.now + 2 * SOUND_ANSWER_S))
        assert BroadcastBeacon in [type(item) for item in effects]
        assert sent(self.arrive(gateway, "later"))

    def test_trial_that_crashes_its_endpoint_is_not_sent_again(self):
        gateway = self.build()
        gateway.now += FIRST_TRIAL_S
        trial = build_call("trial", now=gateway.now, parts=(SHARED,))
        (endpoint,) = sent(gateway.arrive(trial))
        gateway.now += RUN_S
        effects = gateway.end(trial, endpoint, AttemptPhase.SENT, is_reset=True)
        assert sent(effects) == []
        gateway.now += FIRST_TRIAL_S
        assert not sent(self.arrive(gateway, "later"))

    def test_trial_that_an_endpoint_refuses_goes_on_elsewhere(self):
        gateway = self.build()
        gateway.now += FIRST_TRIAL_S
        trial = build_call("trial", now=gateway.now, parts=(SHARED,))
        (endpoint,) = sent(gateway.arrive(trial))
        assert sent(gateway.end(trial, endpoint, AttemptPhase.REFUSED))


class TestRoute:
    # The engines are back 2 s after a crash, and the trials that crashed one delay the
    # next by up to 16 s.
    RECOVERY_S = 20.0

    @pytest.mark.parametrize("entries", [1, 4])
    def test_route_is_served_again_after_all_its_prompts_crashed_engines(self, entries):
        """A bad release, say: nothing would have ended this for 300 s."""

        async def scenario(harness: PartCrashHarness) -> None:
            engines = list(harness.fleet.workers.values())

            def make_fatal(*parts: str) -> None:
                for item in engines:
                    item.fatal_parts = frozenset(parts)

            make_fatal()
            await harness.send_series(duration_s=2.0, gap_s=0.3, fatal_parts=())
            make_fatal(FIRST_PART)
            await harness.send_series(duration_s=8.0, gap_s=0.3, fatal_parts=())
            make_fatal()
            healed_at = time.monotonic()
            await harness.send_series(
                duration_s=self.RECOVERY_S + 2.0, gap_s=0.3, fatal_parts=()
            )
            late = [
                status
                for arrived, status in harness.sound
                if arrived > healed_at + self.RECOVERY_S
            ]
            assert late.count(200) > 0.9 * len(late)

        run_scenario(scenario, entries=entries, engines=3, fatal_parts=(FIRST_PART,))
