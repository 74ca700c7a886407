"""Repetition of crash reports between entries.

Guards against reports that cost as many bytes as there are entries, and against entries
that don't learn of a quarantine because every other one leaves it to the next.
"""

import itertools

import pytest

from tamaracktray.crash_watch import REFUTATION_TTL_S, CrashWatch
from tamaracktray.ownership import FleetNode
from tamaracktray.part_watch import SOUND_REPORT_S, PartWatch
from tamaracktray.repeaters import FULL_REPEAT_S, REPEATERS, Repeaters
from tamaracktray.suspicions import Incarnation, ListedEndpoint

SETTLED_S = FULL_REPEAT_S + 0.1
A, B = Incarnation("a", 1), Incarnation("b", 1)


def build_fleet(count: int) -> tuple[list[FleetNode], list[Repeaters]]:
    nodes = [FleetNode(f"e-{number}", "r") for number in range(count)]
    fleet = [Repeaters(node.name) for node in nodes]
    for repeaters in fleet:
        repeaters.update(0.0, nodes)
    return nodes, fleet


def build_watch() -> CrashWatch:
    return CrashWatch(quarantine_s=60.0, heartbeat_s=1.0)


def count_repeaters(fleet: list[Repeaters], now: float, key: str) -> int:
    return sum(repeaters.is_repeater(now, key) for repeaters in fleet)


class TestRepeaters:
    @pytest.mark.parametrize("count", [1, 2, 3, 17, 330])
    def test_a_few_entries_repeat_each_report(self, count):
        _, fleet = build_fleet(count)
        for number in range(20):
            repeating = count_repeaters(fleet, SETTLED_S, f"f-{number}")
            assert repeating == min(count, REPEATERS)

    def test_all_repeat_after_an_entry_has_joined_or_come_back(self):
        nodes, fleet = build_fleet(17)
        for repeaters in fleet[1:]:
            repeaters.update(10.0, nodes[1:])
            repeaters.update(20.0, nodes)
        assert count_repeaters(fleet[1:], 20.0, "f") == 16
        repeating = count_repeaters(fleet, 20.0 + SETTLED_S, "f")
        assert repeating == REPEATERS

    def test_both_sides_of_a_cut_have_repeaters(self):
        nodes, fleet = build_fleet(17)
        sides = (nodes[:5], fleet[:5]), (nodes[5:], fleet[5:])
        for reachable, side in sides:
            for repeaters in side:
                repeaters.update(10.0, reachable)
            assert count_repeaters(side, 10.0 + SETTLED_S, "f") == REPEATERS


class TestReports:
    def test_quarantine_known_from_peers_is_left_to_the_repeaters(self):
        observer, other = build_watch(), build_watch()
        for endpoint in (A, B):
            observer.suspect(0.0, "fatal", endpoint)
        other.merge(0.0, observer.list_reports(0.0))
        assert other.find_quarantine_end(0.1, "fatal") is not None
        assert len(other.list_reports(0.1)) == 2
        assert other.list_reports(0.1, lambda fingerprint: False) == []
        assert len(observer.list_reports(0.1, lambda fingerprint: False)) == 2

    def test_entry_that_comes_back_learns_of_a_quarantine_by_the_next_beacons(self):
        nodes, fleet = build_fleet(17)
        watches = [build_watch() for _ in nodes]
        for endpoint in (A, B):
            watches[1].suspect(0.0, "fatal", endpoint)
        reports = watches[1].list_reports(0.0)
        for watch in watches[2:]:
            watch.merge(0.0, reports)
        # The observer has ended, and the first entry was cut off until now.
        for repeaters in fleet[2:]:
            repeaters.update(2.0, nodes[2:])
            repeaters.update(4.0, [nodes[0], *nodes[2:]])
        told = [
            watch.list_reports(7.5, lambda key, own=own: own.is_repeater(7.5, key))
            for own, watch in zip(fleet[2:], watches[2:], strict=True)
        ]
        assert 0 < sum(map(bool, told)) <= REPEATERS
        watches[0].merge(7.5, itertools.chain(*told))
        assert watches[0].find_quarantine_end(7.5, "fatal") is not None

    def test_refutation_is_told_for_some_beacons(self):
        watch = build_watch()
        watch.suspect(0.0, "f", A, is_silent=True)
        watch.evaluate(1.0, {"a": ListedEndpoint(1)}, frozenset({"a"}), 0.0)
        last = 1.0 + REFUTATION_TTL_S
        (report,) = watch.list_reports(last - 0.1)
        assert report.answered_age_s is not None
        assert watch.list_reports(last) == []

    def test_sound_answer_is_told_for_some_beacons_and_then_by_the_repeaters(self):
        watch = PartWatch(quarantine_s=60.0, heartbeat_s=1.0)
        watch.suspect(0.0, "part", A)
        watch.record_sound(1.0, "part", 0.9)
        last = 1.0 + SOUND_REPORT_S
        assert watch.list_sound(last - 0.1, lambda part: False)
        assert watch.list_sound(last, lambda part: False) == []
        assert watch.list_sound(last, lambda part: True)

    def test_sound_answer_is_told_when_its_part_is_suspected_again(self):
        watch = PartWatch(quarantine_s=60.0, heartbeat_s=1.0)
        watch.suspect(0.0, "part", A)
        watch.record_sound(1.0, "part", 0.9)
        watch.suspect(6.0, "part", B)
        last = 6.0 + SOUND_REPORT_S
        assert watch.list_sound(last - 0.1, lambda part: False)
        assert watch.list_sound(last, lambda part: False) == []
        assert watch.list_sound(last, lambda part: True)
