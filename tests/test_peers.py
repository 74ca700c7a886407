"""Which peers get requests, and which count as users of the endpoints.

Guards against requests to unreachable peers, and against ignoring the calls of peers
that are only disconnected from this process.
"""

from tamaracktray.chunk_sources import (
    ATTEMPTS_PER_ORIGIN_CALL,
    ENTRIES_RESTART_S,
    EntryChoice,
    choose_fallback,
    choose_source,
)
from tamaracktray.peers import (
    CONTACT_TIMEOUT_S,
    INACTIVE_S,
    PEER_BACKOFF_S,
    Member,
    Peers,
)
from tamaracktray.types import Address

NEAR = Member("near", "zone-a", Address("10.0.0.1", 1))
FAR = Member("far", "zone-b", Address("10.0.0.2", 1))


def build_peers(*, expects_beacons: bool = True) -> Peers:
    peers = Peers(expects_beacons=expects_beacons)
    peers.update_members(0.0, [NEAR, FAR])
    return peers


class TestPeers:
    def test_new_peers_are_reachable(self):
        assert build_peers().list_reachable(1.0) == [NEAR, FAR]

    def test_peer_without_beacons_is_unreachable(self):
        peers = build_peers()
        peers.record_contact(CONTACT_TIMEOUT_S, NEAR.address)
        assert peers.list_reachable(CONTACT_TIMEOUT_S + 0.1) == [NEAR]

    def test_time_in_which_this_process_was_held_up_is_no_silence(self):
        peers = build_peers()
        for number in range(40):
            peers.note_running(number * 0.025)
        woken_at = 0.975 + 10.0
        assert peers.list_reachable(woken_at) == [NEAR, FAR]
        peers.note_running(woken_at)
        peers.record_contact(woken_at, NEAR.address)
        for number in range(60):
            peers.note_running(woken_at + number * 0.025)
        assert peers.list_reachable(woken_at + CONTACT_TIMEOUT_S - 0.9) == [NEAR]

    def test_missing_beacons_are_ignored_if_none_are_expected(self):
        assert len(build_peers(expects_beacons=False).list_reachable(100.0)) == 2

    def test_peer_that_did_not_answer_is_avoided_temporarily(self):
        peers = build_peers(expects_beacons=False)
        peers.record_no_answer(0.0, FAR.address)
        assert peers.list_reachable(PEER_BACKOFF_S - 0.1) == [NEAR]
        assert len(peers.list_reachable(PEER_BACKOFF_S)) == 2

    def test_contact_ends_the_backoff(self):
        peers = build_peers()
        peers.record_no_answer(0.0, FAR.address)
        peers.record_contact(0.1, FAR.address)
        assert len(peers.list_reachable(0.1)) == 2

    def test_unreachable_peer_stays_active_for_longer(self):
        """A peer may be disconnected from this process only and still send calls."""
        peers = build_peers()
        assert len(peers.list_active(CONTACT_TIMEOUT_S * 2)) == 2
        assert peers.list_active(INACTIVE_S) == []

    def test_repeated_member_list_does_not_count_as_contact(self):
        peers = build_peers()
        peers.update_members(INACTIVE_S, [NEAR, FAR])
        assert peers.list_active(INACTIVE_S) == []


class TestSources:
    def test_attempts_alternate_between_entries(self):
        entries = [NEAR.address, FAR.address]
        assert [choose_source(entries, n) for n in range(3)] == [
            NEAR.address,
            FAR.address,
            NEAR.address,
        ]

    def test_origin_is_asked_in_few_attempts(self):
        chosen = [choose_source([NEAR.address], n) for n in range(64)]
        assert chosen.count(None) == 64 // ATTEMPTS_PER_ORIGIN_CALL

    def test_origin_is_asked_without_candidate_entries(self):
        assert choose_source([], 0) is None

    def test_unreachable_entries_are_asked_until_they_had_time_to_restart(self):
        choice = EntryChoice()
        assert choice.list_candidates(0.0, [], [NEAR, FAR]) == [NEAR, FAR]
        assert choice.list_candidates(ENTRIES_RESTART_S, [], [NEAR, FAR]) == []
        assert choice.list_candidates(9.0, [FAR], [NEAR, FAR]) == [FAR]
        assert choice.list_candidates(9.1, [], [NEAR, FAR]) == [NEAR, FAR]

    def test_fallback_is_in_the_same_region(self):
        own = Member("own", "zone-a", Address("10.0.0.1", 2))
        region_by_zone = {"zone-a": "region-a", "zone-b": "region-b"}
        peers = [FAR, NEAR]
        assert choose_fallback(own, peers, region_by_zone, "part") == NEAR.address
        assert choose_fallback(own, [FAR], region_by_zone, "part") is None
