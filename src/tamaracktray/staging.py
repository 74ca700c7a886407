"""The reducer's part for agents: from a named version to one that the engine serves.

The chunks of the version are fetched, staged in the engine and checked while the engine
goes on with the version it has. Then the engine is ordered to load what is staged.
Chunks are fetched also while there is no engine, so that one that arrives late is in
service as soon as it has been handed the weights.
"""

from tamaracktray.chunk_sources import order_chunks
from tamaracktray.effects import Effect
from tamaracktray.engines import OrderOutcome, StartOrder
from tamaracktray.staging_events import (
    CheckStage,
    ChunkArrived,
    ChunkStaged,
    EngineSeen,
    EngineSilent,
    FetchPart,
    KeepChunks,
    ManifestRead,
    OrderAnswered,
    OrderStart,
    ReadManifest,
    StageChecked,
    StagePart,
)
from tamaracktray.staging_state import (
    StagedChunk,
    StagingState,
    Step,
    VersionWork,
    is_staged,
    list_missing,
)
from tamaracktray.swap_turns import find_turn, may_skip

# Chunks in transfer at a time. A link is kept busy by two, and a third would only
# lengthen the queue in which callers' requests wait.
MAX_IN_FLIGHT = 2

# Chunks in transfer at a time to an engine that serves nobody yet. More of them hide
# the time in which entries fetch what they lack.
MAX_IN_FLIGHT_IDLE = 4

# A staged chunk that was read back within this time needs no other check before the
# order, in seconds.
CHECK_VALID_S = 2.0

RETRY_S = 0.1
MANIFEST_RETRY_S = 0.2
ORDER_RETRY_S = 0.1

# An engine that does not answer for this long is gone, in seconds.
ENGINE_SILENCE_S = 1.0

FIRST_VERSION = 1


def name_version(
    state: StagingState, now: float, model: str, version: int, named_at: float
) -> list[Effect]:
    """Work towards a version that the operator has named."""
    if model != state.model:
        state.model = model
        state.current = None
        state.following = None
    newest = state.following or state.current
    if newest is not None and newest.version >= version:
        return advance(state, now)
    work = VersionWork(version, now, named_at + state.version_bound_s)
    if state.current is None or state.step is Step.DONE:
        _begin(state, work)
    elif may_skip(state, now):
        work.left_out_due_at = state.current.due_at
        work.due_at = min(work.due_at, work.left_out_due_at)
        _begin(state, work)
    else:
        state.following = work
    return advance(state, now)


def follow_age(state: StagingState, version: int, named_at: float) -> None:
    """Follow what is known by now of when a version under way was named."""
    work = _find_work(state, version)
    if work is None:
        return
    work.due_at = min(named_at + state.version_bound_s, work.left_out_due_at)


def _begin(state: StagingState, work: VersionWork) -> None:
    state.current = work
    state.following = None
    state.step = Step.MANIFEST
    state.is_manifest_asked = False
    state.manifest_retry_deadline = 0.0


def handle_engine_seen(state: StagingState, event: EngineSeen) -> list[Effect]:
    """Follow the engine's report."""
    before = state.report
    state.report = event.report
    state.last_seen = event.now
    state.is_probed = True
    if before is None or before.born_ms != event.report.born_ms:
        _forget_engine(state)
    return advance(state, event.now)


def handle_engine_silent(state: StagingState, event: EngineSilent) -> list[Effect]:
    """Treat an engine that stays silent as gone."""
    state.is_probed = True
    if event.now - state.last_seen >= ENGINE_SILENCE_S:
        state.report = None
        _forget_engine(state)
    return advance(state, event.now)


def _forget_engine(state: StagingState) -> None:
    """Start over with an engine of which nothing is known."""
    state.stage_by_index.clear()
    state.is_stage_known = state.loaded_version > 0
    if state.step is not Step.MANIFEST:
        state.step = Step.CHUNKS


def handle_manifest_read(state: StagingState, event: ManifestRead) -> list[Effect]:
    """Take in the manifest of the version under way or of the next."""
    state.is_manifest_asked = False
    work = _find_work(state, event.version)
    if work is None:
        return advance(state, event.now)
    if event.manifest is None:
        work.manifest_attempts += 1
        state.manifest_retry_deadline = event.now + MANIFEST_RETRY_S
        return advance(state, event.now)
    work.manifest = event.manifest
    if work is state.current and state.step is Step.MANIFEST:
        state.step = Step.CHUNKS
    return advance(state, event.now)


def _find_work(state: StagingState, version: int) -> VersionWork | None:
    for work in (state.current, state.following):
        if work is not None and work.version == version:
            return work
    return None


def handle_chunk_arrived(state: StagingState, event: ChunkArrived) -> list[Effect]:
    """Take in the end of one fetch."""
    work = _find_work(state, event.version)
    if work is None:
        return advance(state, event.now)
    work.in_flight.discard(event.index)
    if event.is_good:
        state.held.add(work.digests[event.index])
        return advance(state, event.now)
    attempts = work.attempts_by_index.get(event.index, 0) + 1
    work.attempts_by_index[event.index] = attempts
    state.fetch_retry_deadline = event.now + RETRY_S
    return advance(state, event.now)


def handle_chunk_staged(state: StagingState, event: ChunkStaged) -> list[Effect]:
    """Take in that a chunk lies in the engine's stage."""
    state.is_staging = False
    if event.is_good:
        staged = StagedChunk(event.digest, event.now)
        state.stage_by_index[event.index] = staged
    else:
        state.stage_by_index.pop(event.index, None)
    return advance(state, event.now)


def handle_stage_checked(state: StagingState, event: StageChecked) -> list[Effect]:
    """Take in what was read back from the stage."""
    state.is_checking = False
    state.is_stage_known = True
    for index, digest in event.digest_by_index.items():
        if not digest:
            state.stage_by_index.pop(index, None)
            continue
        state.stage_by_index[index] = StagedChunk(digest, event.now)
    return advance(state, event.now)


def handle_order_answered(state: StagingState, event: OrderAnswered) -> list[Effect]:
    """Follow the engine's answer to an order."""
    state.is_ordering = False
    work = state.current
    if work is None or work.version != event.version or state.step is not Step.ORDER:
        return advance(state, event.now)
    if event.outcome in (OrderOutcome.BEGUN, OrderOutcome.IN_EFFECT):
        state.step = Step.LOADING
        return advance(state, event.now)
    # Without an answer the order may have begun, which the next report tells.
    state.step = Step.LOADING if event.outcome is None else Step.CHUNKS
    state.order_retry_deadline = event.now + ORDER_RETRY_S
    return advance(state, event.now)


def advance(state: StagingState, now: float) -> list[Effect]:
    """Take the next steps that the state allows."""
    work = state.current
    if work is None or not state.is_probed:
        return []
    effects: list[Effect] = []
    if _is_served(state, work) and state.step is not Step.DONE:
        state.step = Step.DONE
        following = [] if state.following is None else state.following.digests
        state.held.intersection_update(following)
        effects.append(KeepChunks(frozenset(state.held)))
    if state.step is Step.DONE:
        if state.following is None:
            if not _is_served(state, work) and state.report is not None:
                state.step = Step.MANIFEST if work.manifest is None else Step.CHUNKS
                return effects + advance(state, now)
            return effects
        _begin_following(state)
        return effects + advance(state, now)
    if state.step is Step.LOADING:
        _judge_loading(state, now)
    effects.extend(_ask_manifests(state, now))
    effects.extend(_fetch(state, now))
    effects.extend(_stage(state))
    effects.extend(_check(state, now))
    effects.extend(_order(state, now))
    return effects


def _begin_following(state: StagingState) -> None:
    work = state.following
    if work is None:
        return
    manifest = work.manifest
    _begin(state, work)
    if manifest is not None:
        state.step = Step.CHUNKS


def _is_served(state: StagingState, work: VersionWork) -> bool:
    report = state.report
    if report is None or report.is_busy:
        return False
    held = report.find_model(state.model)
    return held is not None and held.version == work.version


def _judge_loading(state: StagingState, now: float) -> None:
    """Order again when the engine is idle and has not taken the version."""
    if state.report is None or state.report.is_busy or state.is_ordering:
        return
    if now < state.order_retry_deadline + ENGINE_SILENCE_S:
        return
    state.step = Step.CHUNKS


def _ask_manifests(state: StagingState, now: float) -> list[Effect]:
    if state.is_manifest_asked or now < state.manifest_retry_deadline:
        return []
    for work in (state.current, state.following):
        if work is None or work.manifest is not None:
            continue
        state.is_manifest_asked = True
        return [ReadManifest(state.model, work.version, work.manifest_attempts)]
    return []


def _fetch(state: StagingState, now: float) -> list[Effect]:
    """Fetch missing chunks, those of the version under way first."""
    effects: list[Effect] = []
    if now < state.fetch_retry_deadline:
        return effects
    if state.report is not None and not state.is_stage_known:
        # What the stage holds already need not be fetched.
        return effects
    busy = sum(
        len(work.in_flight)
        for work in (state.current, state.following)
        if work is not None
    )
    bound = MAX_IN_FLIGHT if state.loaded_version else MAX_IN_FLIGHT_IDLE
    if busy >= bound:
        return effects
    for work in (state.current, state.following):
        if work is None or work.manifest is None:
            continue
        if not work.fetch_order:
            count = len(work.digests)
            work.fetch_order = order_chunks(count, state.local_entries, state.name)
        left = set(list_missing(state, work))
        # Chunks that could not be had leave their place to those not tried as often.
        missing = sorted(
            (index for index in work.fetch_order if index in left),
            key=lambda index: work.attempts_by_index.get(index, 0),
        )
        for index in missing:
            if busy >= bound:
                return effects
            if index in work.in_flight:
                continue
            work.in_flight.add(index)
            busy += 1
            attempt = work.attempts_by_index.get(index, 0)
            digest = work.digests[index]
            effects.append(FetchPart(state.model, work.version, index, digest, attempt))
    return effects


def _stage(state: StagingState) -> list[Effect]:
    """Hand the next chunk of the version under way to the engine."""
    work = state.current
    if work is None or state.report is None or not state.is_stage_known:
        return []
    if state.is_staging or state.step not in (Step.CHUNKS, Step.CHECK):
        return []
    for index, digest in enumerate(work.digests):
        if is_staged(state, index, digest) or digest not in state.held:
            continue
        state.is_staging = True
        return [StagePart(state.model, index, digest)]
    return []


def _check(state: StagingState, now: float) -> list[Effect]:
    """Read back what was staged too long ago, once everything is staged."""
    work = state.current
    if work is None or work.manifest is None or state.report is None:
        return []
    if state.is_checking:
        return []
    if not state.is_stage_known:
        state.is_checking = True
        return [CheckStage(state.model, list(range(len(work.digests))))]
    if state.step not in (Step.CHUNKS, Step.CHECK, Step.TURN):
        return []
    if state.is_staging or not _is_all_staged(state, work):
        if state.step is Step.TURN:
            state.step = Step.CHUNKS
        return []
    state.step = Step.TURN
    if work.staged_at is None:
        work.staged_at = now
    if now < find_turn(state, work, work.staged_at):
        return []
    stale = [
        index
        for index, staged in sorted(state.stage_by_index.items())
        if staged.checked_at + CHECK_VALID_S <= now
    ]
    if stale:
        state.is_checking = True
        return [CheckStage(state.model, stale)]
    return []


def _is_all_staged(state: StagingState, work: VersionWork) -> bool:
    return all(
        is_staged(state, index, digest) for index, digest in enumerate(work.digests)
    )


def _order(state: StagingState, now: float) -> list[Effect]:
    work = state.current
    if work is None or state.report is None or state.step is not Step.TURN:
        return []
    if state.is_checking or state.is_ordering or state.report.is_busy:
        return []
    if work.staged_at is None or now < state.order_retry_deadline:
        return []
    if now < find_turn(state, work, work.staged_at):
        return []
    if not _is_all_staged(state, work):
        return []
    state.step = Step.ORDER
    state.is_ordering = True
    state.order_retry_deadline = now
    order = StartOrder(
        state.model, work.version, state.report.sequence, fence=work.version
    )
    return [OrderStart(order)]
