"""Fetches of the manifests and chunks of an agent's current and following version."""

from tamaracktray.chunk_sources import order_chunks
from tamaracktray.effects import Effect
from tamaracktray.staging_events import FetchVersionChunk, ReadManifest
from tamaracktray.staging_state import StagingState, list_missing

# Concurrent chunk transfers. Two keep the link busy; a third would only lengthen the
# queue in which callers' requests wait.
MAX_IN_FLIGHT = 2

# Concurrent chunk transfers while the engine serves no model. More transfers hide the
# time that entries need to fetch chunks they don't have.
MAX_IN_FLIGHT_IDLE = 4


def request_manifests(state: StagingState, now: float) -> list[Effect]:
    """Request a manifest that is missing, that of the current version first."""
    if state.is_manifest_requested or now < state.manifest_retry_deadline:
        return []
    for work in (state.current, state.following):
        if work is None or work.manifest is not None:
            continue
        state.is_manifest_requested = True
        return [ReadManifest(state.model, work.version, work.manifest_attempts)]
    return []


def fetch_chunks(state: StagingState, now: float) -> list[Effect]:
    """Fetch missing chunks, those of the current version first."""
    effects: list[Effect] = []
    if now < state.fetch_retry_deadline:
        return effects
    if state.report is not None and not state.is_stage_known:
        # Chunks that are already staged need no fetch, so read the stage first.
        return effects
    transfers = sum(
        len(work.in_flight)
        for work in (state.current, state.following)
        if work is not None
    )
    limit = MAX_IN_FLIGHT if state.loaded_version else MAX_IN_FLIGHT_IDLE
    if transfers >= limit:
        return effects
    for work in (state.current, state.following):
        if work is None or work.manifest is None:
            continue
        if not work.fetch_order:
            count = len(work.digests)
            work.fetch_order = order_chunks(count, state.local_entries, state.name)
        missing_indices = set(list_missing(state, work))
        # Chunks with fewer failed attempts go first, so that unavailable chunks don't
        # delay the others.
        missing = sorted(
            (index for index in work.fetch_order if index in missing_indices),
            key=lambda index: work.attempts_by_index.get(index, 0),
        )
        for index in missing:
            if transfers >= limit:
                return effects
            if index in work.in_flight:
                continue
            work.in_flight.add(index)
            transfers += 1
            attempt = work.attempts_by_index.get(index, 0)
            digest = work.digests[index]
            effects.append(
                FetchVersionChunk(state.model, work.version, index, digest, attempt)
            )
    return effects
