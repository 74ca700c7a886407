"""Delivery of model versions in the agent, from a rollout to a served version.

An agent follows the newest rollout of its model. It stages all chunks while the old
version serves, verifies them together, claims a slot of its availability zone and
drains. It then orders the engine to load the version under the slot's fencing token
and serves again once the engine reports the new version. Chunks whose verification has
expired by then are verified again.
"""

import msgspec

from tamaracktray.configuration import Configuration
from tamaracktray.delivery_state import (
    SWAPPING_PHASES,
    DeliveryState,
    Phase,
    choose_target,
    find_version_name,
)
from tamaracktray.effects import (
    ClaimSlot,
    Effect,
    LoadVersion,
    ReleaseSlot,
    ReportEndpoint,
    VerifyWeights,
)
from tamaracktray.events import (
    ChunkFetched,
    EngineReported,
    LoadWithdrawn,
    ManifestFetched,
    SlotAnswered,
    VersionLoaded,
    WeightsVerified,
)
from tamaracktray.manifest_requests import may_ask_origin, request_manifest
from tamaracktray.outcomes import FetchOutcome, SlotOutcome
from tamaracktray.resources import Kind, VersionSpec
from tamaracktray.transfer import Transfer

MANIFEST_RETRY_S = 0.3
SLOT_RETRY_S = 1.0
SLOT_ANSWER_TIMEOUT_S = 30.0

# Seconds before a version that failed to load is loaded again. An engine that crashes
# on each load is unavailable for a second or two each time.
FAILED_LOAD_RETRY_S = 5.0
WARM_REPORT_TIMEOUT_S = 30.0


class DeliveryContext(msgspec.Struct):
    """The parts of the process state that delivery uses."""

    state: DeliveryState
    configuration: Configuration
    is_drained: bool
    is_leaving: bool


def follow_configuration(context: DeliveryContext, now: float) -> list[Effect]:
    """Switch to the target of the newest rollout."""
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
        _reset_delivery(state)
    return effects + advance(context, now)


def handle_engine_report(
    context: DeliveryContext, event: EngineReported
) -> list[Effect]:
    """Apply a status report of the engine."""
    state = context.state
    if event.boot != state.boot:
        return _handle_engine_start(context, event)
    if state.phase is Phase.LOAD:
        return []
    state.engine_manifest = event.manifest if event.ready else ""
    if state.phase is Phase.WARM:
        return _finish_warm_up(context, event.now)
    if state.phase is Phase.DRAIN:
        return []
    state.serving = _filter_declared(context, state.engine_manifest)
    return advance(context, event.now)


def handle_engine_lost(context: DeliveryContext, now: float) -> list[Effect]:
    """Stop serving while the engine does not answer."""
    context.state.engine_manifest = ""
    if context.state.phase not in SWAPPING_PHASES:
        context.state.serving = ""
    return _report(context)


def handle_manifest(context: DeliveryContext, event: ManifestFetched) -> list[Effect]:
    """Start the transfer of the chunks, or retry if no source had the manifest."""
    state = context.state
    if state.phase is not Phase.MANIFEST or event.digest != state.target.manifest:
        return []
    if event.manifest is None:
        if may_ask_origin(state):
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
    """Record the result of one fetch and plan the next."""
    state = context.state
    if event.outcome is FetchOutcome.STORED:
        state.staged.add(event.digest)
    if state.transfer is None:
        return []
    if event.bitmap is not None and event.manifest == state.target.manifest:
        state.transfer.record_chunk_map(event.source, event.bitmap)
    state.transfer.note_result(event.now, event.digest, event.source, event.outcome)
    return advance(context, event.now)


def handle_verification(
    context: DeliveryContext, event: WeightsVerified
) -> list[Effect]:
    """Go on to the load, or fetch the chunks again that failed verification."""
    state = context.state
    if not state.is_verifying or event.manifest != state.target.manifest:
        return []
    state.is_verifying = False
    if event.bad_chunks and state.transfer is not None:
        effects = _release_held_slot(state)
        state.staged.difference_update(event.bad_chunks)
        state.transfer.mark_missing(event.bad_chunks)
        state.phase = Phase.CHUNKS
        return effects + advance(context, event.now)
    state.verified_deadline = event.began_at + state.settings.verify_ttl_s
    if event.now >= state.verified_deadline:
        state.reason = "the verification took longer than weights.verify_ttl_s"
    if state.phase is Phase.VERIFY:
        state.phase = Phase.SLOT
        state.retry_deadline = event.now
    return advance(context, event.now)


def handle_slot(context: DeliveryContext, event: SlotAnswered) -> list[Effect]:
    """Drain if the slot was granted; otherwise retry or abandon the target."""
    state = context.state
    is_expected = state.phase is Phase.SLOT and event.manifest == state.target.manifest
    if event.outcome is SlotOutcome.GRANTED and not is_expected:
        return [ReleaseSlot(state.target.rollout)]
    if not is_expected:
        return []
    if event.outcome is SlotOutcome.HALTED:
        return _abandon_target(context, event.now, event.reason, failure="")
    if event.outcome is not SlotOutcome.GRANTED:
        state.reason = event.reason
        state.retry_deadline = event.now + SLOT_RETRY_S
        return _report(context)
    if event.fence <= state.fence:
        # A lower fencing token belongs to an older claim and must not reach the engine.
        return [ReleaseSlot(state.target.rollout)]
    state.reason = ""
    state.fence = event.fence
    state.lease_deadline = event.lease_deadline
    state.phase = Phase.DRAIN
    return advance(context, event.now)


def handle_loaded(context: DeliveryContext, event: VersionLoaded) -> list[Effect]:
    """Wait for the engine to report the loaded version, or record the failure."""
    state = context.state
    if state.phase is not Phase.LOAD or event.manifest != state.target.manifest:
        return []
    if not event.is_loaded:
        return _abandon_target(context, event.now, event.reason, failure=event.reason)
    state.phase = Phase.WARM
    state.retry_deadline = event.now + WARM_REPORT_TIMEOUT_S
    return _report(context)


def handle_load_withdrawn(
    context: DeliveryContext, event: LoadWithdrawn
) -> list[Effect]:
    """Release the slot and claim one again; the older version serves meanwhile."""
    state = context.state
    if state.phase is not Phase.LOAD or event.manifest != state.target.manifest:
        return []
    effects: list[Effect] = [ReleaseSlot(state.target.rollout)]
    state.serving = _filter_declared(context, state.engine_manifest)
    state.phase = Phase.SLOT
    state.retry_deadline = event.now + SLOT_RETRY_S
    state.reason = event.reason
    return effects + follow_configuration(context, event.now)


def advance(context: DeliveryContext, now: float) -> list[Effect]:
    """Run the next step of the current phase if it is due."""
    state = context.state
    effects: list[Effect] = []
    if state.phase in (Phase.IDLE, Phase.SERVING, Phase.FAILED):
        effects = _start_delivery(context, now)
    if state.phase is Phase.CHUNKS and state.transfer is not None:
        effects = _continue_transfer(state, now)
    elif state.phase is Phase.MANIFEST and 0 < state.retry_deadline <= now:
        effects = [request_manifest(state)]
    elif state.phase is Phase.SLOT and now >= state.retry_deadline:
        effects = _claim_slot(state, now)
    elif state.phase is Phase.DRAIN:
        effects = _continue_drain(context, now)
    elif state.phase is Phase.WARM and now >= state.retry_deadline:
        reason = "the engine did not report the loaded version in time"
        effects = _abandon_target(context, now, reason, failure=reason)
    return effects + _report(context)


def _start_delivery(context: DeliveryContext, now: float) -> list[Effect]:
    """Start the delivery of the target unless it is already served."""
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
    return [request_manifest(state)]


def _continue_transfer(state: DeliveryState, now: float) -> list[Effect]:
    transfer = state.transfer
    if transfer is None:
        return []
    if not transfer.is_complete:
        return list(transfer.plan(now))
    state.phase = Phase.VERIFY
    return _verify(state)


def _verify(state: DeliveryState) -> list[Effect]:
    """Verify the staged chunks, unless that is under way."""
    if state.is_verifying or state.manifest is None:
        return []
    state.is_verifying = True
    return [VerifyWeights(state.target.manifest, state.manifest.chunks)]


def _claim_slot(state: DeliveryState, now: float) -> list[Effect]:
    if now >= state.verified_deadline:
        state.phase = Phase.VERIFY
        return _verify(state)
    # The answer replaces this deadline; until then no second claim is sent.
    state.retry_deadline = now + SLOT_ANSWER_TIMEOUT_S
    return [
        ClaimSlot(
            state.target.manifest,
            state.target.rollout,
            state.target.max_unavailable,
            # Failures halt a rollout but must not block the rollback.
            None if state.target.is_rollback else state.target.failure_limit,
            is_swap=bool(state.serving),
        )
    ]


def _continue_drain(context: DeliveryContext, now: float) -> list[Effect]:
    """Order the load once no request runs; release the slot if its lease lapsed."""
    state = context.state
    if now >= state.lease_deadline:
        state.phase = Phase.SLOT
        state.retry_deadline = now + SLOT_RETRY_S
        state.reason = "the slot's lease lapsed while requests were running"
        return [ReleaseSlot(state.target.rollout)]
    if not context.is_drained or state.manifest is None:
        return []
    if now >= state.verified_deadline:
        return _verify(state)
    state.phase = Phase.LOAD
    if state.serving:
        state.previous_manifest = state.serving
    state.serving = ""
    chunks = state.manifest.chunks
    deadline = min(state.lease_deadline, state.verified_deadline)
    return [LoadVersion(state.target.manifest, chunks, state.fence, deadline)]


def _finish_warm_up(context: DeliveryContext, now: float) -> list[Effect]:
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
    """Replace the engine state with the report of a newly started engine."""
    state = context.state
    was_loading = state.phase in (Phase.LOAD, Phase.WARM)
    is_first = not state.boot
    state.boot = event.boot
    state.staged = set(event.staged)
    state.engine_manifest = event.manifest if event.ready else ""
    state.serving = _filter_declared(context, state.engine_manifest)
    if was_loading and not is_first:
        reason = "the engine restarted while it loaded the version"
        return _abandon_target(context, event.now, reason, failure=reason)
    effects = _release_held_slot(state)
    _reset_delivery(state)
    return effects + advance(context, event.now)


def _filter_declared(context: DeliveryContext, manifest: str) -> str:
    """Return ``manifest`` if it is a declared version of this model, else ``""``."""
    if not manifest:
        return ""
    for resource in context.configuration.list_kind(Kind.VERSION):
        spec = resource.spec
        if not isinstance(spec, VersionSpec) or spec.model != context.state.model:
            continue
        if spec.manifest == manifest:
            return manifest
    return ""


def _abandon_target(
    context: DeliveryContext, now: float, reason: str, *, failure: str
) -> list[Effect]:
    """Abandon the target and record ``failure`` unless it is empty."""
    state = context.state
    effects: list[Effect] = []
    if state.phase in SWAPPING_PHASES:
        effects.append(ReleaseSlot(state.target.rollout, failure))
    state.failed_manifests.add(state.target.manifest)
    state.reason = reason
    state.serving = _filter_declared(context, state.engine_manifest)
    _reset_delivery(state)
    state.phase = Phase.FAILED
    state.target = choose_target(state, context.configuration)
    if state.target.manifest in state.failed_manifests:
        state.load_retry_deadline = now + FAILED_LOAD_RETRY_S
    return effects + advance(context, now)


def _release_held_slot(state: DeliveryState) -> list[Effect]:
    if state.phase in SWAPPING_PHASES:
        return [ReleaseSlot(state.target.rollout)]
    return []


def _reset_delivery(state: DeliveryState) -> None:
    state.phase = Phase.IDLE
    state.transfer = None
    state.manifest = None
    state.is_verifying = False
    state.manifest_attempts = 0
    state.retry_deadline = 0.0


def _report(context: DeliveryContext) -> list[Effect]:
    """Report the endpoint if its state has changed."""
    state = context.state
    report = ReportEndpoint(
        state.phase.value,
        find_version_name(context.configuration, state.serving),
        state.target.version,
        state.reason,
    )
    if report == state.last_report:
        return []
    state.last_report = report
    return [report]
