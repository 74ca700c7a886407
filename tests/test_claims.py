"""Claims on idempotency keys, and the writer that stores them.

Guards against a second run of an order when two writers claim its key, when a response
of the store is lost or when the outcome of the first run is unknown.
"""

import curio
import pytest

from tamaracktray.claim_writer import ClaimWriter
from tamaracktray.claims import (
    ClaimCompletion,
    ClaimRecord,
    ClaimRelease,
    ClaimRequest,
    ClaimShard,
    ClaimState,
    RecordedAnswer,
    apply_changes,
    digest_key,
    name_shard,
    settle_claim,
)
from tamaracktray.objects import CLAIMS
from tamaracktray.outcomes import ClaimOutcome
from tamaracktray.testing import MemoryObjectStore

KEY = digest_key("services/orders/team-a", "order-1")
ANSWER = RecordedAnswer(200, "application/json", b"{}")
NOW = 1_000.0


def claim(
    holder: str,
    request_digest: str = "d1",
    lease: float = NOW + 10,
    expires: float = 1e12,
):
    record = ClaimRecord(
        holder, "agent-1", request_digest, ClaimState.RUNNING, lease, expires
    )
    return ClaimRequest(KEY, record)


class TestApplyChanges:
    @pytest.mark.parametrize(
        ("before", "now", "outcome"),
        [
            ([], NOW, ClaimOutcome.GRANTED),
            ([claim("h2")], NOW, ClaimOutcome.GRANTED),
            ([claim("h1")], NOW, ClaimOutcome.RUNNING),
            ([claim("h1")], NOW + 10, ClaimOutcome.UNKNOWN),
            ([claim("h1", "d2")], NOW, ClaimOutcome.KEY_REUSED),
            (
                [claim("h1"), ClaimCompletion(KEY, "h1", ANSWER)],
                NOW + 99,
                ClaimOutcome.COMPLETED,
            ),
            ([claim("h1"), ClaimRelease(KEY, "h1")], NOW, ClaimOutcome.GRANTED),
            ([claim("h1"), ClaimRelease(KEY, "hx")], NOW, ClaimOutcome.RUNNING),
        ],
    )
    def test_outcome_of_a_second_claim(self, before, now, outcome):
        shard, _ = apply_changes(ClaimShard(), before, NOW)
        _, results = apply_changes(shard, [claim("h2")], now)
        assert results[0].outcome is outcome

    def test_late_completion_settles_an_unknown_outcome(self):
        shard, _ = apply_changes(ClaimShard(), [claim("h1")], NOW)
        late = ClaimCompletion(KEY, "h1", ANSWER)
        shard, _ = apply_changes(shard, [late], NOW + 500)
        _, results = apply_changes(shard, [claim("h2")], NOW + 501)
        assert results[0].answer == ANSWER

    def test_unsettled_unknown_outcomes_are_never_dropped(self):
        first = claim("h1", expires=NOW + 1_000)
        shard, _ = apply_changes(ClaimShard(), [first], NOW)
        other = ClaimRequest(digest_key("s", "other"), claim("h9").record)
        shard, _ = apply_changes(shard, [other], NOW + 100_000)
        _, results = apply_changes(shard, [claim("h2")], NOW + 100_001)
        assert results[0].outcome is ClaimOutcome.UNKNOWN


class TestSettle:
    @pytest.mark.parametrize(
        ("now", "was_run", "outcome"),
        [
            (NOW + 5, True, None),
            (NOW + 5, False, None),
            (NOW + 20, True, ClaimOutcome.COMPLETED),
            (NOW + 20, False, ClaimOutcome.GRANTED),
        ],
    )
    def test_only_claims_past_their_lease_can_be_settled(self, now, was_run, outcome):
        shard, _ = apply_changes(ClaimShard(), [claim("h1")], NOW)
        settled = settle_claim(shard, KEY, "ann", now, was_run=was_run)
        if outcome is None:
            assert settled is None
            return
        _, results = apply_changes(settled, [claim("h2")], now)
        assert results[0].outcome is outcome


class TestClaimWriter:
    def apply(self, store, *changes, together=False):
        async def run():
            writer = ClaimWriter(store)
            if together:
                tasks = [await curio.spawn(writer.apply, change) for change in changes]
                return [await task.join() for task in tasks], writer
            return [await writer.apply(change) for change in changes], writer

        return curio.run(run)

    def test_concurrent_claims_share_one_write(self):
        store = MemoryObjectStore()
        keys = [f"00000000{number:056x}" for number in range(20)]
        changes = [ClaimRequest(key, claim("h1").record) for key in keys]
        results, writer = self.apply(store, *changes, together=True)
        assert {result.outcome for result in results} == {ClaimOutcome.GRANTED}
        assert writer.writes == 1

    def test_usual_claim_and_completion_cost_one_write_each_and_one_read(self):
        store = MemoryObjectStore()
        self.apply(store, claim("h1"), ClaimCompletion(KEY, "h1", ANSWER))
        assert (store.writes, store.reads) == (2, 1)

    @pytest.mark.parametrize(
        ("lost", "out_after", "outcome"),
        [
            (1, False, ClaimOutcome.GRANTED),
            (3, False, ClaimOutcome.GRANTED),
            (1, True, ClaimOutcome.UNAVAILABLE),
        ],
    )
    def test_lost_responses_are_resolved_by_reading_back(
        self, lost, out_after, outcome
    ):
        store = MemoryObjectStore()
        store.lose_answers = lost
        store.is_out_after_loss = out_after
        results, _ = self.apply(store, claim("h1"))
        assert results[0].outcome is outcome

    def test_two_writers_of_one_key_get_one_grant(self):
        store = MemoryObjectStore()

        async def run():
            writers = [ClaimWriter(store), ClaimWriter(store)]
            tasks = [
                await curio.spawn(writer.apply, claim(f"h{number}", lease=1e12))
                for number, writer in enumerate(writers)
            ]
            return [(await task.join()).outcome for task in tasks]

        outcomes = curio.run(run)
        assert sorted(outcomes) == [ClaimOutcome.GRANTED, ClaimOutcome.RUNNING]

    def test_claim_during_an_outage_has_no_effect(self):
        store = MemoryObjectStore()
        store.is_out = True
        results, _ = self.apply(store, claim("h1"))
        assert results[0].outcome is ClaimOutcome.UNAVAILABLE
        assert not store.objects

    def test_claim_is_not_refused_from_a_stale_cache(self):
        store = MemoryObjectStore()

        async def run():
            first, second = ClaimWriter(store), ClaimWriter(store)
            await first.apply(claim("h1", lease=1e12))
            await second.apply(ClaimCompletion(KEY, "h1", ANSWER))
            return await first.apply(claim("h2"))

        assert curio.run(run).outcome is ClaimOutcome.COMPLETED

    @pytest.mark.parametrize(
        "value", [7, [], {"record_by_key": 3}, {"record_by_key": {KEY: {}}}]
    )
    def test_claim_beside_odd_records_is_answered_and_changes_nothing(self, value):
        store = MemoryObjectStore()
        shard_name = name_shard(KEY)

        async def run():
            await store.put(CLAIMS, shard_name, value, 0, "another")
            applied = ClaimWriter(store).apply(claim("h1"))
            result = await curio.timeout_after(2.0, applied)
            return result.outcome, (await store.get(CLAIMS, shard_name)).unwrap().value

        assert curio.run(run) == (ClaimOutcome.UNAVAILABLE, value)
