"""The reducer's part for agents of model engines: from a rollout to a served version.

An agent follows the newest rollout of its model. It stages all chunks while the old
version serves, verifies them as a whole, claims a slot of its availability zone,
drains, orders the engine to load under the slot's fencing number, and serves again
once the engine reports the new version.
"""

import msgspec

from tamaracktray.configuration import Configuration
from tamaracktray.delivery_state import (
    SWAPPING_PHASES,
    DeliveryState,
    Phase,
    choose_target,
    name_manifest,
)
from tamaracktray.effects import (
    ClaimSlot,
    Effect,
    FetchManifest,
    LoadVersion,
    ReleaseSlot,
    ReportEndpoint,
    VerifyWeights,
)
from tamaracktray.events import (
    ChunkFetched,
    EngineReported,
    ManifestFetched,
    SlotAnswered,
    VersionLoaded,
    WeightsVerified,
)
from tamaracktray.outcomes import FetchOutcome, SlotOutcome
from tamaracktray.resources import Kind, VersionSpec
from tamaracktray.transfer import Transfer

MANIFEST_RETRY_S = 0.3
MANIFEST_TRIES_AT_PEERS = 6
MANIFEST_PEERS = 2
SLOT_RETRY_S = 1.0
FAILED_RETRY_S = 30.0

# Pause before a version is loaded again that failed before, in seconds: an engine that
# crashes each time is away for a second or two.
FAILED_LOAD_RETRY_S = 5.0
WARM_REPORT_TIMEOUT_S = 30.0


class DeliveryContext(msgspec.Struct):
    """The parts of the process state that delivery reads."""

    state: DeliveryState
    configuration: Configuration
    is_drained: bool
    is_leaving: bool


def follow_configuration(context: DeliveryContext, now: float) -> list[Effect]:
    """Take up the target of the newest rollout."""
    state = context.state
    rollout = context.configuration.find_rollout(state.model)
    version = 0 if rollout is None else rollout.resource_version
    if version != state.rollout_version:
        state.rollout_version = version
        state.failed_manifests.clear()
    target = choose_target(state, context.configuration)
    if target == state.target or state.phase is Phase.LOAD:
        return _report(context)
    effects = _release_held_slot(state)
    is_same_manifest = target.manifest == state.target.manifest
    state.target = target
    if not is_same_manifest or state.phase in (Phase.DRAIN, Phase.WARM):
        _restart(state)
    return effects + advance(context, now)


def handle_engine_report(
    context: DeliveryContext, event: EngineReported
) -> list[Effect]:
    """Follow what the engine says of itself."""
    state = context.state
    if event.boot != state.boot:
        return _handle_engine_start(context, event)
    if state.phase is Phase.LOAD:
        return []
    state.engine_manifest = event.manifest if event.ready else ""
    if state.phase is Phase.WARM:
        return _finish_warm(context, event.now)
    if state.phase is Phase.DRAIN:
        return []
    state.serving = _accept_manifest(context, state.engine_manifest)
    return advance(context, event.now)


def handle_engine_lost(context: DeliveryContext, now: float) -> list[Effect]:
    """Serve nothing while the engine does not answer."""
    context.state.engine_manifest = ""
    if context.state.phase not in SWAPPING_PHASES:
        context.state.serving = ""
    return _report(context)


def handle_manifest(context: DeliveryContext, event: ManifestFetched) -> list[Effect]:
    """Start the transfer of the chunks."""
    state = context.state
    if state.phase is not Phase.MANIFEST or event.digest != state.target.manifest:
        return []
    if event.manifest is None:
        if state.manifest_tries > MANIFEST_TRIES_AT_PEERS:
            state.reason = "no source has the manifest"
        state.retry_deadline = event.now + MANIFEST_RETRY_S
        return _report(context)
    state.reason = ""
    state.manifest = event.manifest
    state.transfer = Transfer(
        event.manifest, state.staged, state.holders, state.settings
    )
    state.phase = Phase.CHUNKS
    return advance(context, event.now)


def handle_chunk(context: DeliveryContext, event: ChunkFetched) -> list[Effect]:
    """Take in the end of one fetch and plan the next."""
    state = context.state
    if event.outcome is FetchOutcome.STORED:
        state.staged.add(event.digest)
    if state.transfer is None:
        return []
    if event.bitmap is not None and event.manifest == state.target.manifest:
        state.transfer.note_map(event.source, event.bitmap)
    state.transfer.note_result(event.now, event.digest, event.source, event.outcome)
    return advance(context, event.now)


def handle_verification(
    context: DeliveryContext, event: WeightsVerified
) -> list[Effect]:
    """Fetch again what was staged wrongly, or go on to claim a slot."""
    state = context.state
    if state.phase is not Phase.VERIFY or event.manifest != state.target.manifest:
        return []
    if event.bad_chunks and state.transfer is not None:
        state.staged.difference_update(event.bad_chunks)
        state.transfer.forget(event.bad_chunks)
        state.phase = Phase.CHUNKS
        return advance(context, event.now)
    state.phase = Phase.SLOT
    state.retry_deadline = event.now
    return advance(context, event.now)


def handle_slot(context: DeliveryContext, event: SlotAnswered) -> list[Effect]:
    """Drain after a granted slot; wait or give up otherwise."""
    state = context.state
    is_wanted = state.phase is Phase.SLOT and event.manifest == state.target.manifest
    if event.outcome is SlotOutcome.GRANTED and not is_wanted:
        return [ReleaseSlot(state.target.rollout)]
    if not is_wanted:
        return []
    if event.outcome is SlotOutcome.HALTED:
        return _give_up(context, event.now, event.reason, failure="")
    if event.outcome is not SlotOutcome.GRANTED:
        state.reason = event.reason
        state.retry_deadline = event.now + SLOT_RETRY_S
        return _report(context)
    if event.fence <= state.fence:
        # A lower number belongs to an older claim; the engine must not see it.
        return [ReleaseSlot(state.target.rollout)]
    state.reason = ""
    state.fence = event.fence
    state.lease_deadline = event.lease_deadline
    state.phase = Phase.DRAIN
    return advance(context, event.now)


def handle_loaded(context: DeliveryContext, event: VersionLoaded) -> list[Effect]:
    """Wait for the engine to report the version, or record the failure."""
    state = context.state
    if state.phase is not Phase.LOAD or event.manifest != state.target.manifest:
        return []
    if not event.is_loaded:
        return _give_up(context, event.now, event.reason, failure=event.reason)
    state.phase = Phase.WARM
    state.retry_deadline = event.now + WARM_REPORT_TIMEOUT_S
    return _report(context)


def advance(context: DeliveryContext, now: float) -> list[Effect]:
    """Take the steps that are possible now."""
    state = context.state
    effects: list[Effect] = []
    if state.phase in (Phase.IDLE, Phase.SERVING, Phase.FAILED):
        effects = _begin(context, now)
    if state.phase is Phase.CHUNKS and state.transfer is not None:
        effects = _continue_transfer(state, now)
    elif state.phase is Phase.MANIFEST and 0 < state.retry_deadline <= now:
        effects = [_fetch_manifest(state)]
    elif state.phase is Phase.SLOT and now >= state.retry_deadline:
        effects = _claim_slot(state, now)
    elif state.phase is Phase.DRAIN:
        effects = _continue_drain(context, now)
    elif state.phase is Phase.WARM and now >= state.retry_deadline:
        reason = "the engine did not report the loaded version in time"
        effects = _give_up(context, now, reason, failure=reason)
    return effects + _report(context)


def _begin(context: DeliveryContext, now: float) -> list[Effect]:
    """Start towards the target unless it is served already."""
    state = context.state
    if not state.target.manifest or context.is_leaving:
        state.phase = Phase.SERVING if state.serving else Phase.IDLE
        return []
    if state.serving == state.target.manifest:
        state.phase = Phase.SERVING
        return []
    if not state.boot or now < state.retry_deadline:
        return []
    has_failed = state.target.manifest in state.failed_manifests
    if has_failed and now < state.load_retry_deadline:
        return []
    state.phase = Phase.MANIFEST
    return [_fetch_manifest(state)]


def _fetch_manifest(state: DeliveryState) -> FetchManifest:
    """Ask the first in rank, who alone goes to the origin at once."""
    digest = state.target.manifest
    holders = state.holders
    ranking = holders.rank(digest)
    first = ranking.names_by_region[ranking.regions[0]][:MANIFEST_PEERS]
    near = ranking.names_by_region[holders.own.region][:MANIFEST_PEERS]
    names = dict.fromkeys([*near, *first])
    names.pop(holders.own.name, None)
    is_first = holders.is_listed and first[0] == holders.own.name
    state.manifest_tries += 1
    # The answer sets the next deadline; until then no second call is sent.
    state.retry_deadline = 0.0
    return FetchManifest(
        digest,
        [holders.by_name[name].address for name in names],
        is_first or state.manifest_tries > MANIFEST_TRIES_AT_PEERS,
    )


def _continue_transfer(state: DeliveryState, now: float) -> list[Effect]:
    transfer = state.transfer
    if transfer is None:
        return []
    if not transfer.is_complete:
        return list(transfer.plan(now))
    state.phase = Phase.VERIFY
    return [VerifyWeights(state.target.manifest, transfer.manifest.chunks)]


def _claim_slot(state: DeliveryState, now: float) -> list[Effect]:
    # The answer sets the next deadline; until then no second claim is sent.
    state.retry_deadline = now + FAILED_RETRY_S
    return [
        ClaimSlot(
            state.target.manifest,
            state.target.rollout,
            state.target.max_unavailable,
            # Failures of the version that a rollout brings halt it, not the way back.
            None if state.target.is_rollback else state.target.failure_limit,
            is_swap=bool(state.serving),
        )
    ]


def _continue_drain(context: DeliveryContext, now: float) -> list[Effect]:
    """Order the load once nothing runs, or go back when the lease has lapsed."""
    state = context.state
    if now >= state.lease_deadline:
        state.phase = Phase.SLOT
        state.retry_deadline = now + SLOT_RETRY_S
        state.reason = "the slot's lease lapsed while requests were running"
        return [ReleaseSlot(state.target.rollout)]
    if not context.is_drained or state.manifest is None:
        return []
    state.phase = Phase.LOAD
    if state.serving:
        state.previous_manifest = state.serving
    state.serving = ""
    return [LoadVersion(state.target.manifest, state.manifest.chunks, state.fence)]


def _finish_warm(context: DeliveryContext, now: float) -> list[Effect]:
    state = context.state
    if state.engine_manifest != state.target.manifest:
        return []
    state.serving = state.target.manifest
    state.phase = Phase.SERVING
    state.reason = ""
    effects: list[Effect] = [ReleaseSlot(state.target.rollout)]
    return effects + follow_configuration(context, now) + _report(context)


def _handle_engine_start(
    context: DeliveryContext, event: EngineReported
) -> list[Effect]:
    """Forget what a former run of the engine held."""
    state = context.state
    was_loading = state.phase in (Phase.LOAD, Phase.WARM)
    is_first = not state.boot
    state.boot = event.boot
    state.staged = set(event.staged)
    state.engine_manifest = event.manifest if event.ready else ""
    state.serving = _accept_manifest(context, state.engine_manifest)
    if was_loading and not is_first:
        reason = "the engine restarted while it loaded the version"
        return _give_up(context, event.now, reason, failure=reason)
    effects = _release_held_slot(state)
    _restart(state)
    return effects + advance(context, event.now)


def _accept_manifest(context: DeliveryContext, manifest: str) -> str:
    """Return the manifest if it is a declared version of this model, else ``""``."""
    if not manifest:
        return ""
    for resource in context.configuration.list_kind(Kind.VERSION):
        spec = resource.spec
        if not isinstance(spec, VersionSpec) or spec.model != context.state.model:
            continue
        if spec.manifest == manifest:
            return manifest
    return ""


def _give_up(
    context: DeliveryContext, now: float, reason: str, *, failure: str
) -> list[Effect]:
    """Stop working on the target; record ``failure`` unless it is empty."""
    state = context.state
    effects: list[Effect] = []
    if state.phase in SWAPPING_PHASES:
        effects.append(ReleaseSlot(state.target.rollout, failure))
    state.failed_manifests.add(state.target.manifest)
    state.reason = reason
    state.serving = _accept_manifest(context, state.engine_manifest)
    _restart(state)
    state.phase = Phase.FAILED
    state.target = choose_target(state, context.configuration)
    if state.target.manifest in state.failed_manifests:
        state.load_retry_deadline = now + FAILED_LOAD_RETRY_S
    return effects + advance(context, now)


def _release_held_slot(state: DeliveryState) -> list[Effect]:
    if state.phase in SWAPPING_PHASES:
        return [ReleaseSlot(state.target.rollout)]
    return []


def _restart(state: DeliveryState) -> None:
    state.phase = Phase.IDLE
    state.transfer = None
    state.manifest = None
    state.manifest_tries = 0
    state.retry_deadline = 0.0


def _report(context: DeliveryContext) -> list[Effect]:
    """Report the endpoint when its state has changed."""
    state = context.state
    report = ReportEndpoint(
        state.phase.value,
        name_manifest(context.configuration, state.serving),
        state.target.version,
        state.reason,
    )
    if report == state.last_report:
        return []
    state.last_report = report
    return [report]
