"""Request dispatch in the entry: attempts, retries and final answers."""

import msgspec

from tamaracktray.configuration import Configuration
from tamaracktray.effects import AnswerRefusal, Effect, SendAttempt
from tamaracktray.events import (
    AttemptEnded,
    CallerRequest,
    RequestArrived,
    RequestEnded,
)
from tamaracktray.membership import Membership
from tamaracktray.outcomes import AttemptPhase
from tamaracktray.quarantine import CrashLedger
from tamaracktray.refusals import refuse_quarantined
from tamaracktray.resources import Kind
from tamaracktray.routing import (
    AffinityPolicy,
    EndpointView,
    RoutingPolicy,
    choose_endpoint,
)
from tamaracktray.types import (
    ErrorCode,
    Refusal,
    Role,
    RunState,
    TargetKind,
)

MAX_ATTEMPTS = 4
RETRIES_PER_ANSWER = 0.1
RETRY_BUDGET_LIMIT = 10.0
DEFAULT_RETRY_AFTER_S = 1.0
NO_ENDPOINT_RETRY_AFTER_S = 2.0


class RetryBudget:
    """Limits retries to a share of the answered requests, plus a small reserve."""

    __slots__ = ("_tokens",)

    def __init__(self) -> None:
        self._tokens = RETRY_BUDGET_LIMIT

    def deposit(self) -> None:
        """Add a fraction of one retry for an answered request."""
        self._tokens = min(self._tokens + RETRIES_PER_ANSWER, RETRY_BUDGET_LIMIT)

    def withdraw(self) -> bool:
        """Spend one retry and return whether the budget allows it."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class PendingRequest:
    """A request that the entry has not answered yet.

    ``may_have_run`` is set once an attempt was sent and got no answer. The caller must
    then not be told that the request was not run. ``endpoint`` is the endpoint of the
    attempt in flight and empty if there is none. ``tried_endpoints`` holds the
    endpoints of all attempts.
    """

    __slots__ = ("attempts", "endpoint", "may_have_run", "request", "tried_endpoints")

    def __init__(self, request: CallerRequest) -> None:
        self.request = request
        self.attempts = 0
        self.endpoint = ""
        self.may_have_run = False
        self.tried_endpoints: set[str] = set()


class DispatchState:
    """State of the requests and endpoints of one entry."""

    __slots__ = (
        "retry_budget",
        "pending_by_id",
        "policy",
        "region",
        "views_by_name",
        "zone",
    )

    def __init__(
        self, zone: str, region: str, policy: RoutingPolicy | None = None
    ) -> None:
        self.zone = zone
        self.region = region
        self.policy = policy or AffinityPolicy()
        self.retry_budget = RetryBudget()
        self.views_by_name: dict[str, EndpointView] = {}
        self.pending_by_id: dict[str, PendingRequest] = {}

    def update_views(self, membership: Membership) -> None:
        """Apply the instance list and keep the views of endpoints that stay listed."""
        views: dict[str, EndpointView] = {}
        for name, instance in membership.instances_by_name.items():
            if instance.role is not Role.AGENT or instance.leaving:
                continue
            view = self.views_by_name.get(name) or EndpointView(instance)
            view.instance = instance
            views[name] = view
        self.views_by_name = views


class DispatchContext(msgspec.Struct):
    """The parts of the process state that dispatch uses."""

    state: DispatchState
    configuration: Configuration
    ledger: CrashLedger
    is_leaving: bool


def handle_request(context: DispatchContext, event: RequestArrived) -> list[Effect]:
    """Accept a request and send its first attempt, or refuse it."""
    request = event.request
    refusal = _check_request(context, event.now, request)
    if refusal is not None:
        return [AnswerRefusal(request.id, refusal)]
    pending = PendingRequest(request)
    context.state.pending_by_id[request.id] = pending
    return _send_next(context, event.now, pending, _refuse_no_endpoint())


def handle_attempt_end(context: DispatchContext, event: AttemptEnded) -> list[Effect]:
    """Record the result of an attempt, then retry or answer the request."""
    state = context.state
    view = state.views_by_name.get(event.endpoint)
    if view is not None:
        _update_view(view, event)
    pending = state.pending_by_id.get(event.request_id)
    if pending is None:
        return []
    pending.endpoint = ""
    if is_crash(event):
        fingerprint = pending.request.fingerprint
        context.ledger.record(event.now, fingerprint, event.endpoint)
    if event.phase is AttemptPhase.ANSWERED:
        state.retry_budget.deposit()
        del state.pending_by_id[event.request_id]
        return []
    if event.phase is AttemptPhase.CUT:
        del state.pending_by_id[event.request_id]
        return []
    if event.phase is AttemptPhase.NOT_SENT:
        return _send_next(context, event.now, pending, _refuse_unreachable(event))
    if event.phase is AttemptPhase.REFUSED and event.refusal is not None:
        return _handle_refusal(context, event.now, pending, event.refusal)
    return _handle_unanswered(context, event.now, pending, refuse_unknown(event.detail))


def is_crash(event: AttemptEnded) -> bool:
    """Return whether the agent reported that the request crashed its endpoint."""
    refusal = event.refusal
    return refusal is not None and refusal.code is ErrorCode.ENDPOINT_CRASHED


def handle_request_end(context: DispatchContext, event: RequestEnded) -> list[Effect]:
    """Drop a request that its caller has abandoned."""
    pending = context.state.pending_by_id.pop(event.request_id, None)
    if pending is None:
        return []
    view = context.state.views_by_name.get(pending.endpoint)
    if view is not None:
        view.note_ended()
    return []


def _check_request(
    context: DispatchContext, now: float, request: CallerRequest
) -> Refusal | None:
    if context.is_leaving:
        return Refusal(
            ErrorCode.LEAVING,
            "this entry is shutting down",
            RunState.NOT_RUN,
            503,
            DEFAULT_RETRY_AFTER_S,
        )
    if not context.configuration.revision:
        return Refusal(
            ErrorCode.NO_ENDPOINT,
            "this entry has no configuration yet",
            RunState.NOT_RUN,
            503,
            DEFAULT_RETRY_AFTER_S,
        )
    quarantine_end = context.ledger.find_quarantine_end(now, request.fingerprint)
    if quarantine_end is not None:
        return refuse_quarantined(quarantine_end - now)
    if request.deadline <= now:
        return refuse_expired()
    if not _is_target_known(context, request):
        message = f"no {request.kind.value} named {request.target!r} is declared"
        return Refusal(ErrorCode.NOT_FOUND, message, RunState.NOT_RUN, 404)
    return None


def _is_target_known(context: DispatchContext, request: CallerRequest) -> bool:
    if request.kind is TargetKind.MODEL:
        return context.configuration.get(Kind.MODEL, request.target) is not None
    # Services are not declared as resources; only the instance list names them.
    return any(
        view.instance.serves == request.target
        for view in context.state.views_by_name.values()
    )


def _send_next(
    context: DispatchContext, now: float, pending: PendingRequest, refusal: Refusal
) -> list[Effect]:
    """Send another attempt, or answer with ``refusal`` if none is possible."""
    state = context.state
    request = pending.request
    if pending.attempts >= MAX_ATTEMPTS:
        return _answer(state, pending, refusal)
    if request.deadline <= now:
        return _answer(state, pending, refuse_expired())
    view = choose_endpoint(
        now,
        request,
        _list_candidates(context, now, pending),
        state.policy,
        state.zone,
        state.region,
    )
    if view is None:
        return _answer(state, pending, refusal)
    pending.attempts += 1
    pending.tried_endpoints.add(view.instance.name)
    pending.endpoint = view.instance.name
    view.note_sent()
    return [
        SendAttempt(
            request.id, pending.attempts, view.instance.name, view.instance.address
        )
    ]


def _list_candidates(
    context: DispatchContext, now: float, pending: PendingRequest
) -> list[EndpointView]:
    request = pending.request
    crashed = context.ledger.crashed_endpoints(now, request.fingerprint)
    excluded = pending.tried_endpoints | crashed
    candidates: list[EndpointView] = []
    for name, view in context.state.views_by_name.items():
        if view.instance.serves != request.target or name in excluded:
            continue
        if context.configuration.is_zone_out(view.instance.zone):
            continue
        candidates.append(view)
    return candidates


def _handle_refusal(
    context: DispatchContext, now: float, pending: PendingRequest, refusal: Refusal
) -> list[Effect]:
    """Try another endpoint if the refusal allows it."""
    if refusal.code in _FINAL_CODES:
        return _answer(context.state, pending, refusal)
    if refusal.run is not RunState.NOT_RUN:
        return _handle_unanswered(context, now, pending, refusal)
    if (
        refusal.code is ErrorCode.OVERLOADED
        and not context.state.retry_budget.withdraw()
    ):
        return _answer(context.state, pending, refusal)
    return _send_next(context, now, pending, refusal)


_FINAL_CODES = frozenset(
    {
        ErrorCode.QUARANTINED,
        ErrorCode.DEADLINE_EXCEEDED,
        ErrorCode.KEY_REUSED,
        ErrorCode.CLAIM_RUNNING,
        ErrorCode.OUTCOME_UNKNOWN,
        ErrorCode.ANSWER_NOT_KEPT,
        ErrorCode.BAD_REQUEST,
    }
)


def _handle_unanswered(
    context: DispatchContext, now: float, pending: PendingRequest, refusal: Refusal
) -> list[Effect]:
    """Retry or refuse a request whose attempt was sent but not answered."""
    pending.may_have_run = True
    request = pending.request
    quarantine_end = context.ledger.find_quarantine_end(now, request.fingerprint)
    if quarantine_end is not None:
        return _answer(context.state, pending, refuse_quarantined(quarantine_end - now))
    if not request.is_repeatable or not context.state.retry_budget.withdraw():
        return _answer(context.state, pending, refusal)
    return _send_next(context, now, pending, refusal)


def _answer(
    state: DispatchState, pending: PendingRequest, refusal: Refusal
) -> list[Effect]:
    """Refuse the request; report "unknown", not "not run", if it may have run."""
    if pending.may_have_run and refusal.run is RunState.NOT_RUN:
        refusal = msgspec.structs.replace(refusal, run=RunState.UNKNOWN)
    state.pending_by_id.pop(pending.request.id, None)
    return [AnswerRefusal(pending.request.id, refusal)]


def _update_view(view: EndpointView, event: AttemptEnded) -> None:
    view.note_ended()
    if event.load is not None:
        view.note_load(event.now, event.load)
    if event.phase is AttemptPhase.ANSWERED:
        view.unblock()
        return
    if event.refusal is None:
        view.block(event.now)
        return
    if event.refusal.code in _BLOCKING_CODES:
        view.block(event.now, event.refusal.retry_after_s)


_BLOCKING_CODES = frozenset(
    {
        ErrorCode.LEAVING,
        ErrorCode.ZONE_OUT,
        ErrorCode.ISOLATED,
        ErrorCode.NOT_SERVING,
        ErrorCode.ENDPOINT_UNREACHABLE,
    }
)


def _refuse_no_endpoint() -> Refusal:
    return Refusal(
        ErrorCode.NO_ENDPOINT,
        "no endpoint can take the request now",
        RunState.NOT_RUN,
        503,
        NO_ENDPOINT_RETRY_AFTER_S,
    )


def _refuse_unreachable(event: AttemptEnded) -> Refusal:
    return Refusal(
        ErrorCode.ENDPOINT_UNREACHABLE,
        f"no endpoint could be reached: {event.detail}",
        RunState.NOT_RUN,
        503,
        DEFAULT_RETRY_AFTER_S,
    )


def refuse_expired() -> Refusal:
    """Return the refusal of a request whose deadline passed before it ran."""
    return Refusal(
        ErrorCode.DEADLINE_EXCEEDED,
        "the deadline passed before the request could run",
        RunState.NOT_RUN,
        504,
        DEFAULT_RETRY_AFTER_S,
    )


def refuse_unknown(detail: str) -> Refusal:
    """Return the refusal of a request that was sent but not answered."""
    return Refusal(
        ErrorCode.OUTCOME_UNKNOWN,
        f"the request was sent but not answered: {detail}",
        RunState.UNKNOWN,
        502,
        DEFAULT_RETRY_AFTER_S,
    )
