"""Admission control in the agent, the last check before a request reaches an endpoint.

Entries choose endpoints from incomplete information. The agent makes the final decision
on each request that its endpoint receives.
"""

import msgspec

from tamaracktray.configuration import Configuration
from tamaracktray.dispatch import refuse_expired
from tamaracktray.effects import (
    ClaimKey,
    Effect,
    RefuseAttempt,
    ReleaseKey,
    ReplayAnswer,
    StartRun,
)
from tamaracktray.events import (
    AttemptArrived,
    CallerRequest,
    ClaimAnswered,
    RunEnded,
    RunProgressed,
)
from tamaracktray.limits import FairQueue, Window, WindowSettings
from tamaracktray.membership import Membership
from tamaracktray.outcomes import ClaimOutcome, RunOutcome
from tamaracktray.quarantine import CrashLedger
from tamaracktray.refusals import refuse_quarantined
from tamaracktray.types import ErrorCode, Load, Refusal, RunState, TargetKind

SERVICE_TIME_WEIGHT = 0.1
INITIAL_SERVICE_TIME_S = 0.1
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 30.0
LEAVING_RETRY_AFTER_S = 1.0
ZONE_OUT_RETRY_AFTER_S = 5.0
NOT_SERVING_RETRY_AFTER_S = 2.0


class Run:
    """An admitted attempt, until its answer ends.

    ``started_at`` is 0 until the attempt is sent to the endpoint. ``is_proven`` is set
    if its first byte came as soon as from a warm endpoint.
    """

    __slots__ = (
        "has_first_byte",
        "is_proven",
        "is_sent",
        "manifest",
        "request",
        "started_at",
    )

    def __init__(self, request: CallerRequest) -> None:
        self.request = request
        self.manifest = ""
        self.is_sent = False
        self.started_at = 0.0
        self.has_first_byte = False
        self.is_proven = False


class AdmissionState:
    """State of the requests of one agent.

    ``serving`` is the digest of the manifest that the engine serves, or empty.
    ``service_time_s`` is a moving average of the duration of a run.
    """

    __slots__ = (
        "kind",
        "queue",
        "queue_limit",
        "runs_by_id",
        "service_time_s",
        "serves",
        "serving",
        "window",
    )

    def __init__(
        self,
        kind: TargetKind,
        serves: str,
        settings: WindowSettings,
        queue_limit: int,
    ) -> None:
        self.kind = kind
        self.serves = serves
        self.serving = ""
        self.window = Window(settings)
        self.queue = FairQueue()
        self.queue_limit = queue_limit
        self.runs_by_id: dict[str, Run] = {}
        self.service_time_s = INITIAL_SERVICE_TIME_S

    @property
    def load(self) -> Load:
        """Return the load to report to entries."""
        return Load(len(self.runs_by_id), len(self.queue), self.window.size)

    def has_capacity(self) -> bool:
        """Return whether the window has a free slot for another attempt."""
        runs = self.runs_by_id.values()
        unproven = sum(not run.is_proven for run in runs)
        return self.window.has_capacity(len(self.runs_by_id), unproven)

    def is_idle(self) -> bool:
        """Return whether no attempt is queued or running."""
        return not self.runs_by_id and not len(self.queue)


class AdmissionContext(msgspec.Struct):
    """The parts of the process state that admission uses."""

    state: AdmissionState
    configuration: Configuration
    membership: Membership
    ledger: CrashLedger
    is_leaving: bool
    is_swapping: bool


def handle_attempt(context: AdmissionContext, event: AttemptArrived) -> list[Effect]:
    """Start, queue or refuse an attempt."""
    state = context.state
    request = event.attempt
    refusal = check_admission(context, event.now, request)
    if refusal is not None:
        return [RefuseAttempt(request.id, refusal)]
    if not len(state.queue) and state.has_capacity():
        state.queue.charge(request.team)
        return _admit(context, event.now, request)
    return _enqueue(context, event.now, request)


def handle_claim_answer(
    context: AdmissionContext, event: ClaimAnswered
) -> list[Effect]:
    """Start, replay or refuse an attempt once its key claim is answered."""
    state = context.state
    run = state.runs_by_id.get(event.attempt_id)
    if run is None:
        return []
    if event.outcome is ClaimOutcome.GRANTED:
        return _start_claimed(context, event.now, run)
    del state.runs_by_id[event.attempt_id]
    if event.outcome is ClaimOutcome.COMPLETED:
        effects: list[Effect] = [ReplayAnswer(event.attempt_id)]
    else:
        effects = [RefuseAttempt(event.attempt_id, _refuse_claim(event))]
    if event.outcome is ClaimOutcome.UNAVAILABLE:
        # The platform may still have recorded the claim, which would block a retry. The
        # release comes first because the refusal drops the attempt.
        effects.insert(0, ReleaseKey(event.attempt_id))
    return effects + start_queued(context, event.now)


def handle_progress(context: AdmissionContext, event: RunProgressed) -> list[Effect]:
    """Record the time to the first byte and start queued attempts."""
    state = context.state
    run = state.runs_by_id.get(event.attempt_id)
    if run is None or not run.is_sent or run.has_first_byte:
        return []
    run.has_first_byte = True
    latency_s = event.now - run.started_at
    run.is_proven = state.window.is_proof(latency_s)
    state.window.note_first_byte(event.now, latency_s, len(state.runs_by_id))
    return start_queued(context, event.now)


def handle_run_end(context: AdmissionContext, event: RunEnded) -> list[Effect]:
    """Free the slot of a run and start queued attempts."""
    state = context.state
    run = state.runs_by_id.pop(event.attempt_id, None)
    if run is None:
        return []
    if event.outcome is RunOutcome.COMPLETED and run.is_sent:
        duration_s = event.now - run.started_at
        state.service_time_s += SERVICE_TIME_WEIGHT * (
            duration_s - state.service_time_s
        )
    if event.outcome in (RunOutcome.CUT, RunOutcome.CRASHED, RunOutcome.INVALID):
        state.window.mark_cold(event.now)
    if event.outcome is RunOutcome.CRASHED:
        own_name = context.membership.own_name
        context.ledger.record(event.now, run.request.fingerprint, own_name)
    return start_queued(context, event.now)


def handle_admission_tick(context: AdmissionContext, now: float) -> list[Effect]:
    """Refuse expired attempts and check for overdue first bytes."""
    state = context.state
    effects: list[Effect] = [
        RefuseAttempt(request.id, refuse_expired())
        for request in state.queue.remove_expired(now)
    ]
    for run in state.runs_by_id.values():
        if not run.is_sent or run.has_first_byte:
            continue
        if state.window.is_latency_jump(now, now - run.started_at):
            state.window.mark_cold(now)
            break
    return effects + start_queued(context, now)


def refuse_queued(context: AdmissionContext, now: float) -> list[Effect]:
    """Refuse queued attempts that can no longer be admitted."""
    effects: list[Effect] = []
    for request in context.state.queue.drain():
        refusal = check_admission(context, now, request)
        if refusal is None:
            context.state.queue.push(request)
            continue
        effects.append(RefuseAttempt(request.id, refusal))
    return effects


def start_queued(context: AdmissionContext, now: float) -> list[Effect]:
    """Start queued attempts while the window has free slots."""
    state = context.state
    effects: list[Effect] = []
    while len(state.queue) and state.has_capacity():
        request = state.queue.pop()
        if request is None:
            break
        refusal = check_admission(context, now, request)
        if refusal is None and now + state.service_time_s > request.deadline:
            # Other attempts were served first. Running this one would use a slot for
            # an answer that misses its deadline.
            refusal = refuse_expired()
        if refusal is not None:
            effects.append(RefuseAttempt(request.id, refusal))
            continue
        effects.extend(_admit(context, now, request))
    return effects


def check_admission(
    context: AdmissionContext, now: float, request: CallerRequest
) -> Refusal | None:
    """Return the refusal of a request, or ``None`` if it may be admitted."""
    state = context.state
    if context.is_leaving:
        return _refuse(
            ErrorCode.LEAVING, "the endpoint is leaving", LEAVING_RETRY_AFTER_S
        )
    if context.configuration.is_zone_out(context.membership.own_zone):
        message = "the availability zone is out of service"
        return _refuse(ErrorCode.ZONE_OUT, message, ZONE_OUT_RETRY_AFTER_S)
    if not context.configuration.revision:
        message = "the agent has no configuration yet"
        return _refuse(ErrorCode.ISOLATED, message, LEAVING_RETRY_AFTER_S)
    if context.membership.is_isolated(now, context.configuration):
        message = "the agent is cut off and may have missed a configuration change"
        return _refuse(ErrorCode.ISOLATED, message, LEAVING_RETRY_AFTER_S)
    if request.kind is not state.kind or request.target != state.serves:
        message = f"the endpoint serves {state.kind.value}/{state.serves}"
        return _refuse(ErrorCode.NOT_SERVING, message, NOT_SERVING_RETRY_AFTER_S)
    if context.is_swapping or (state.kind is TargetKind.MODEL and not state.serving):
        message = "the endpoint has no version in service"
        return _refuse(ErrorCode.NOT_SERVING, message, NOT_SERVING_RETRY_AFTER_S)
    quarantine_end = context.ledger.find_quarantine_end(now, request.fingerprint)
    if quarantine_end is not None:
        return refuse_quarantined(quarantine_end - now)
    if request.deadline <= now:
        return refuse_expired()
    return None


def _enqueue(
    context: AdmissionContext, now: float, request: CallerRequest
) -> list[Effect]:
    state = context.state
    wait_s = _predict_wait(state, request)
    if now + wait_s + state.service_time_s > request.deadline:
        return [RefuseAttempt(request.id, _refuse_overloaded(state))]
    effects: list[Effect] = []
    if len(state.queue) >= state.queue_limit:
        evicted = state.queue.evict_for(request)
        if evicted is None:
            return [RefuseAttempt(request.id, _refuse_overloaded(state))]
        effects.append(RefuseAttempt(evicted.id, _refuse_overloaded(state)))
    state.queue.push(request)
    return effects + start_queued(context, now)


def _predict_wait(state: AdmissionState, request: CallerRequest) -> float:
    ahead = state.queue.count_ahead(request) + 1
    return ahead * state.service_time_s / max(state.window.size, 1)


def _admit(
    context: AdmissionContext, now: float, request: CallerRequest
) -> list[Effect]:
    run = Run(request)
    context.state.runs_by_id[request.id] = run
    if request.key:
        return [ClaimKey(request.id)]
    return [_start(context, now, run)]


def _start_claimed(context: AdmissionContext, now: float, run: Run) -> list[Effect]:
    """Start a run whose claim was granted, or release the claim if it is refused."""
    refusal = check_admission(context, now, run.request)
    if refusal is None or context.is_leaving:
        # Runs admitted before a shutdown are finished; every other refusal still
        # applies.
        return [_start(context, now, run)]
    del context.state.runs_by_id[run.request.id]
    release_effects: list[Effect] = [
        ReleaseKey(run.request.id),
        RefuseAttempt(run.request.id, refusal),
    ]
    return release_effects + start_queued(context, now)


def _start(context: AdmissionContext, now: float, run: Run) -> Effect:
    run.is_sent = True
    run.started_at = now
    run.manifest = context.state.serving
    return StartRun(run.request.id, run.manifest)


def _refuse(code: ErrorCode, message: str, retry_after_s: float) -> Refusal:
    return Refusal(code, message, RunState.NOT_RUN, 503, retry_after_s)


def _refuse_overloaded(state: AdmissionState) -> Refusal:
    ahead = len(state.queue) + 1
    drain_s = ahead * state.service_time_s / max(state.window.size, 1)
    retry_after_s = min(max(drain_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
    message = "the endpoint bears no more requests now"
    return Refusal(ErrorCode.OVERLOADED, message, RunState.NOT_RUN, 429, retry_after_s)


def _refuse_claim(event: ClaimAnswered) -> Refusal:
    if event.outcome is ClaimOutcome.RUNNING:
        return Refusal(
            ErrorCode.CLAIM_RUNNING,
            "a request with this idempotency key is running",
            RunState.UNKNOWN,
            409,
            event.retry_after_s or MIN_RETRY_AFTER_S,
        )
    if event.outcome is ClaimOutcome.UNKNOWN:
        return Refusal(
            ErrorCode.OUTCOME_UNKNOWN,
            "the outcome of an earlier request with this key is unknown;"
            " operators can settle it",
            RunState.UNKNOWN,
            409,
        )
    if event.outcome is ClaimOutcome.KEY_REUSED:
        return Refusal(
            ErrorCode.KEY_REUSED,
            "the idempotency key was used for another request",
            RunState.NOT_RUN,
            422,
        )
    return Refusal(
        ErrorCode.CLAIM_UNAVAILABLE,
        "the platform cannot record the idempotency key now",
        RunState.NOT_RUN,
        503,
        event.retry_after_s or LEAVING_RETRY_AFTER_S,
    )
