"""At most one run per idempotency key, by conditional updates of shard objects.

A claim is written just before the first byte of the request is sent to the endpoint,
and completed after the answer. A claim is never granted a second time by the system:
if its holder fails, the outcome is unknown until an operator settles it. The guarantee
therefore doesn't depend on clocks; the lease only limits how long to wait for the
holder.
"""

import hashlib
from enum import Enum

import msgspec

from tamaracktray.outcomes import ClaimOutcome

SHARD_COUNT = 256
MAX_SHARD_BYTES = 900_000
MAX_RECORDED_ANSWER_BYTES = 16_384


class ClaimState(str, Enum):
    """States of a claim record."""

    RUNNING = "running"
    COMPLETED = "completed"
    SETTLED_RUN = "settled_run"


class RecordedAnswer(msgspec.Struct, frozen=True):
    """The stored answer to a completed request."""

    status: int
    content_type: str
    body: bytes


class ClaimRecord(msgspec.Struct, frozen=True):
    """One claimed key.

    ``holder`` is the attempt that claimed it. After ``lease_deadline_unix_s`` the
    outcome of a running claim is unknown; after ``expires_unix_s`` a settled or
    completed record may be dropped. Both are wall-clock times. ``scope`` shows
    operators the target and the team.
    """

    holder: str
    agent: str
    request_digest: str
    state: ClaimState
    lease_deadline_unix_s: float
    expires_unix_s: float
    scope: str = ""
    answer: RecordedAnswer | None = None
    settled_by: str = ""


class ClaimShard(msgspec.Struct, frozen=True):
    """The records whose keys hash to one shard."""

    record_by_key: dict[str, ClaimRecord] = {}


class ClaimRequest(msgspec.Struct, frozen=True):
    """A change that claims a key in order to run its request."""

    key: str
    record: ClaimRecord


class ClaimCompletion(msgspec.Struct, frozen=True):
    """The end of a run; ``answer`` is ``None`` if it is too large to be stored."""

    key: str
    holder: str
    answer: RecordedAnswer | None


class ClaimRelease(msgspec.Struct, frozen=True):
    """A claim whose request was never sent to the endpoint."""

    key: str
    holder: str


ClaimChange = ClaimRequest | ClaimCompletion | ClaimRelease


class ClaimResult(msgspec.Struct, frozen=True):
    """The result of one change; a completed claim may have no stored answer."""

    outcome: ClaimOutcome
    answer: RecordedAnswer | None = None
    retry_after_s: float | None = None


def digest_key(scope: str, key: str) -> str:
    """Return the digest under which an idempotency key is recorded."""
    return hashlib.sha256(f"{scope}\n{key}".encode()).hexdigest()


def name_shard(key: str) -> str:
    """Return the object name of the shard of a key digest."""
    return f"shard-{int(key[:8], 16) % SHARD_COUNT:03d}"


def apply_changes(
    shard: ClaimShard, changes: list[ClaimChange], now_unix_s: float
) -> tuple[ClaimShard, list[ClaimResult]]:
    """Apply changes in order; return the new shard and one result for each change.

    If no change modifies the shard, the same object is returned.
    """
    record_by_key = dict(shard.record_by_key)
    results: list[ClaimResult] = []
    for change in changes:
        if isinstance(change, ClaimRequest):
            results.append(_claim(record_by_key, change, now_unix_s))
            continue
        if isinstance(change, ClaimCompletion):
            results.append(_complete(record_by_key, change))
            continue
        results.append(_release(record_by_key, change))
    if record_by_key == shard.record_by_key:
        return shard, results
    return ClaimShard(_drop_expired(record_by_key, now_unix_s)), results


def settle_claim(
    shard: ClaimShard, key: str, operator: str, now_unix_s: float, *, was_run: bool
) -> ClaimShard | None:
    """Return the shard with the key's unknown outcome settled.

    Returns ``None`` if the outcome isn't unknown. Settling a claim as not run lets the
    key be claimed again, so the operator must be certain. A claim within its lease
    can't be settled, as its holder may still send the request.
    """
    record = shard.record_by_key.get(key)
    if record is None or not is_outcome_unknown(record, now_unix_s):
        return None
    record_by_key = dict(shard.record_by_key)
    if was_run:
        record_by_key[key] = msgspec.structs.replace(
            record, state=ClaimState.SETTLED_RUN, settled_by=operator
        )
    else:
        del record_by_key[key]
    return ClaimShard(record_by_key)


def is_outcome_unknown(record: ClaimRecord, now_unix_s: float) -> bool:
    """Return whether a claim is still running after the end of its lease."""
    return (
        record.state is ClaimState.RUNNING
        and record.lease_deadline_unix_s <= now_unix_s
    )


def _claim(
    record_by_key: dict[str, ClaimRecord], change: ClaimRequest, now_unix_s: float
) -> ClaimResult:
    known = record_by_key.get(change.key)
    if known is None:
        record_by_key[change.key] = change.record
        return ClaimResult(ClaimOutcome.GRANTED)
    if known.holder == change.record.holder:
        # The holder claims again because the response to its first write was lost.
        return ClaimResult(ClaimOutcome.GRANTED)
    if known.request_digest != change.record.request_digest:
        return ClaimResult(ClaimOutcome.KEY_REUSED)
    if known.state is ClaimState.COMPLETED:
        return ClaimResult(ClaimOutcome.COMPLETED, known.answer)
    if known.state is ClaimState.SETTLED_RUN:
        return ClaimResult(ClaimOutcome.COMPLETED)
    if is_outcome_unknown(known, now_unix_s):
        return ClaimResult(ClaimOutcome.UNKNOWN)
    left_s = known.lease_deadline_unix_s - now_unix_s
    return ClaimResult(ClaimOutcome.RUNNING, retry_after_s=min(left_s, 1.0))


def _complete(
    record_by_key: dict[str, ClaimRecord], change: ClaimCompletion
) -> ClaimResult:
    known = record_by_key.get(change.key)
    if known is None or known.holder != change.holder:
        return ClaimResult(ClaimOutcome.UNKNOWN)
    if known.state is ClaimState.RUNNING:
        record_by_key[change.key] = msgspec.structs.replace(
            known, state=ClaimState.COMPLETED, answer=change.answer
        )
    return ClaimResult(ClaimOutcome.COMPLETED)


def _release(
    record_by_key: dict[str, ClaimRecord], change: ClaimRelease
) -> ClaimResult:
    known = record_by_key.get(change.key)
    if known is None or known.holder != change.holder:
        return ClaimResult(ClaimOutcome.UNKNOWN)
    if known.state is ClaimState.RUNNING:
        del record_by_key[change.key]
    return ClaimResult(ClaimOutcome.GRANTED)


def _drop_expired(
    record_by_key: dict[str, ClaimRecord], now_unix_s: float
) -> dict[str, ClaimRecord]:
    """Drop expired records; unknown outcomes are kept until they are settled."""
    return {
        key: record
        for key, record in record_by_key.items()
        if record.expires_unix_s > now_unix_s or record.state is ClaimState.RUNNING
    }
