"""Reducer of an agent that brings an announced version into service on its engine.

The agent fetches the chunks of the version, stages them in the engine and verifies them
while the engine serves its loaded version. It then orders the engine to load the staged
chunks. Chunks are also fetched while no engine is running, so that an engine that
starts late only has to be given the weights.
"""

from tamaracktray.effects import Effect
from tamaracktray.engines import OrderOutcome, StartOrder
from tamaracktray.stage_fetches import fetch_chunks, request_manifests
from tamaracktray.staging_events import (
    CheckStage,
    ChunkArrived,
    ChunkStaged,
    EngineAnswered,
    EngineUnreachable,
    ManifestRead,
    OrderAnswered,
    RetainChunks,
    SendOrder,
    StageChecked,
    StageChunk,
)
from tamaracktray.staging_state import (
    NEVER,
    StagedChunk,
    StagingState,
    Step,
    VersionWork,
    is_staged,
)
from tamaracktray.swap_turns import find_turn, may_skip

# Time after which a staged chunk is verified again before an order, in seconds.
STAGE_CHECK_TTL_S = 2.0

# Time from the oldest verification within which an order may be sent, in seconds. An
# engine may load a chunk that turned bad less than 3 s ago.
ORDER_TTL_S = 2.5

RETRY_S = 0.1
MANIFEST_RETRY_S = 0.2
ORDER_RETRY_S = 0.1

# Pause after a failed write to the stage, in seconds. An engine that is down refuses
# connections at once.
STAGE_RETRY_S = 0.1

# Time after which an order without an answer counts as lost, in seconds. The engine may
# begin it until then, so no other version is staged.
UNANSWERED_ORDER_S = 10.0

# Time without an answer after which an engine counts as down, in seconds.
ENGINE_TIMEOUT_S = 1.0

FIRST_VERSION = 1


def set_target_version(
    state: StagingState, now: float, model: str, version: int, announced_at: float
) -> list[Effect]:
    """Start or queue work on a version that the operator has announced."""
    if model != state.model:
        state.model = model
        state.current = None
        state.following = None
    newest = state.following or state.current
    if newest is not None and newest.version >= version:
        return advance(state, now)
    work = VersionWork(version, now, announced_at + state.version_bound_s)
    if state.current is None or state.step is Step.DONE:
        _start_work(state, work)
    elif may_skip(state, now) and not state.may_begin_order(now):
        work.skipped_due_at = state.current.due_at
        work.due_at = min(work.due_at, work.skipped_due_at)
        _start_work(state, work)
    else:
        state.following = work
    return advance(state, now)


def update_announcement_time(
    state: StagingState, version: int, announced_at: float
) -> None:
    """Update the deadline of a version from its latest known announcement time."""
    work = _find_work(state, version)
    if work is None:
        return
    work.due_at = min(announced_at + state.version_bound_s, work.skipped_due_at)


def _start_work(state: StagingState, work: VersionWork) -> None:
    state.current = work
    state.following = None
    state.step = Step.MANIFEST
    state.is_manifest_requested = False
    state.manifest_retry_deadline = 0.0


def handle_engine_answered(state: StagingState, event: EngineAnswered) -> list[Effect]:
    """Store the engine's report; reset the stage if the engine has restarted."""
    previous = state.report
    state.report = event.report
    order = state.sent_order
    if order is not None and not order.may_begin(event.report):
        state.unanswered_order_deadline = 0.0
    state.last_report_at = event.now
    state.is_probed = True
    if previous is None or previous.start_time_ms != event.report.start_time_ms:
        _reset_engine(state, event.now)
    return advance(state, event.now)


def handle_engine_unreachable(
    state: StagingState, event: EngineUnreachable
) -> list[Effect]:
    """Discard the engine's state once it has not answered for the timeout."""
    state.is_probed = True
    if event.now - state.last_report_at >= ENGINE_TIMEOUT_S:
        state.report = None
        _reset_engine(state, event.now)
    return advance(state, event.now)


def _reset_engine(state: StagingState, now: float) -> None:
    """Discard what is known about the engine's stage."""
    state.stage_began_at = state.elapse(now)
    state.stage_by_index.clear()
    state.is_stage_known = state.loaded_version > 0
    if state.step is not Step.MANIFEST:
        state.step = Step.CHUNKS


def handle_manifest_read(state: StagingState, event: ManifestRead) -> list[Effect]:
    """Store the manifest of the current or the following version."""
    state.is_manifest_requested = False
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
    """Record the result of a chunk fetch."""
    work = _find_work(state, event.version)
    if work is None:
        return advance(state, event.now)
    work.in_flight.discard(event.index)
    if event.is_successful:
        state.buffered_digests.add(work.digests[event.index])
        return advance(state, event.now)
    attempts = work.attempts_by_index.get(event.index, 0) + 1
    work.attempts_by_index[event.index] = attempts
    state.fetch_retry_deadline = event.now + RETRY_S
    return advance(state, event.now)


def handle_chunk_staged(state: StagingState, event: ChunkStaged) -> list[Effect]:
    """Record whether a chunk was staged in the engine."""
    state.is_staging = False
    if event.is_successful and event.began_at >= state.stage_began_at:
        # The answer to a write doesn't show that the engine holds what was sent.
        state.stage_by_index[event.index] = StagedChunk(event.digest, NEVER)
    else:
        state.stage_by_index.pop(event.index, None)
    if not event.is_successful:
        state.stage_retry_deadline = event.now + STAGE_RETRY_S
    return advance(state, event.now)


def handle_stage_checked(state: StagingState, event: StageChecked) -> list[Effect]:
    """Record the chunks that were read back from the stage."""
    state.is_checking = False
    if event.began_at < state.stage_began_at:
        return advance(state, event.now)
    state.is_stage_known = True
    for index, chunk in event.chunk_by_index.items():
        if chunk is None:
            state.stage_by_index.pop(index, None)
            continue
        state.stage_by_index[index] = chunk
    return advance(state, event.now)


def handle_order_answered(state: StagingState, event: OrderAnswered) -> list[Effect]:
    """Handle the engine's answer to a load order."""
    state.is_ordering = False
    if event.outcome is None:
        state.unanswered_order_deadline = event.now + UNANSWERED_ORDER_S
    work = state.current
    if work is None or work.version != event.version or state.step is not Step.ORDER:
        return advance(state, event.now)
    if event.outcome in (OrderOutcome.BEGUN, OrderOutcome.IN_EFFECT):
        state.step = Step.LOADING
        return advance(state, event.now)
    # An unanswered order may still have been started; the next report shows it.
    state.step = Step.LOADING if event.outcome is None else Step.CHUNKS
    state.order_retry_deadline = event.now + ORDER_RETRY_S
    return advance(state, event.now)


def advance(state: StagingState, now: float) -> list[Effect]:
    """Return the effects of all steps that can be taken now."""
    work = state.current
    if work is None or not state.is_probed:
        return []
    effects: list[Effect] = []
    if _is_served(state, work) and state.step is not Step.DONE:
        state.step = Step.DONE
        following = [] if state.following is None else state.following.digests
        state.buffered_digests.intersection_update(following)
        effects.append(RetainChunks(frozenset(state.buffered_digests)))
    if state.step is Step.DONE:
        if state.following is None:
            if not _is_served(state, work) and state.report is not None:
                state.step = Step.MANIFEST if work.manifest is None else Step.CHUNKS
                return effects + advance(state, now)
            return effects
        _start_following(state)
        return effects + advance(state, now)
    if state.step is Step.LOADING:
        _retry_load(state, now)
    effects.extend(request_manifests(state, now))
    effects.extend(fetch_chunks(state, now))
    effects.extend(_stage_chunk(state, now))
    effects.extend(_check_stage(state, now))
    effects.extend(_order_load(state, now))
    return effects


def _start_following(state: StagingState) -> None:
    work = state.following
    if work is None:
        return
    manifest = work.manifest
    _start_work(state, work)
    if manifest is not None:
        state.step = Step.CHUNKS


def _is_served(state: StagingState, work: VersionWork) -> bool:
    """Return whether the engine has loaded the version or a newer one."""
    report = state.report
    if report is None or report.is_busy:
        return False
    loaded = report.find_model(state.model)
    return loaded is not None and loaded.version >= work.version


def _retry_load(state: StagingState, now: float) -> None:
    """Go back to staging if an idle engine has not loaded the ordered version."""
    if state.report is None or state.report.is_busy or state.is_ordering:
        return
    if now < state.order_retry_deadline + ENGINE_TIMEOUT_S:
        return
    state.step = Step.CHUNKS


def _stage_chunk(state: StagingState, now: float) -> list[Effect]:
    """Stage the next chunk of the current version in the engine."""
    work = state.current
    if work is None or state.report is None or not state.is_stage_known:
        return []
    if state.is_staging or state.step not in (Step.CHUNKS, Step.CHECK):
        return []
    if now < state.stage_retry_deadline:
        return []
    for index, digest in enumerate(work.digests):
        if is_staged(state, index, digest) or digest not in state.buffered_digests:
            continue
        state.is_staging = True
        return [StageChunk(state.model, index, digest)]
    return []


def _check_stage(state: StagingState, now: float) -> list[Effect]:
    """Read back an unknown stage, or before the order the chunks not checked lately."""
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
        if staged.checked_at + STAGE_CHECK_TTL_S <= state.elapse(now)
    ]
    if stale:
        state.is_checking = True
        return [CheckStage(state.model, stale)]
    return []


def _is_all_staged(state: StagingState, work: VersionWork) -> bool:
    return all(
        is_staged(state, index, digest) for index, digest in enumerate(work.digests)
    )


def _order_load(state: StagingState, now: float) -> list[Effect]:
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
    checked_at = min(
        (staged.checked_at for staged in state.stage_by_index.values()),
        default=state.elapse(now),
    )
    order = StartOrder(
        state.model,
        work.version,
        state.report.sequence,
        fence=work.version,
        deadline=checked_at + ORDER_TTL_S,
        start_time_ms=state.report.start_time_ms,
    )
    state.sent_order = order
    return [SendOrder(order)]
