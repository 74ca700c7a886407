"""Decisions on calls while the configuration, the endpoints and their notices change.

Guards against calls that are left without a decision, or that get a second one, and
against refusals that deny a run.
"""

from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from gateways import (
    COLD_RATE,
    ENGINES,
    MODEL,
    ORDERS,
    SERVICES,
    build_call,
    build_entry_state,
    build_route,
    engine,
    worker,
)
from tamaracktray.calls import (
    AbandonAttempt,
    AbortAnswer,
    Call,
    CallArrived,
    CallAttemptEnded,
    CallEnded,
    CallStarted,
    RefuseCall,
    RelayFailure,
    SendCall,
)
from tamaracktray.effects import Effect
from tamaracktray.endpoint_limits import EndpointLimitReceived
from tamaracktray.engines import VersionTarget
from tamaracktray.events import Event, ShutdownRequested, Tick
from tamaracktray.node_events import CollectionListed, StoreLost
from tamaracktray.node_reducer import reduce_node
from tamaracktray.notices import EndpointNoticeReceived
from tamaracktray.objects import StoredObject
from tamaracktray.outcomes import AttemptPhase
from tamaracktray.roster import EndpointRecord
from tamaracktray.routes import Backend, RepeatKind, Route, RoutingTable, Service
from tamaracktray.snapshots import Collection
from tamaracktray.types import RunState

ENDPOINTS = ("e-0", "e-1", "e-2", "w-0", "w-1", "w-2")
FINAL_EFFECTS = (RefuseCall, AbortAnswer, RelayFailure)
NOT_RUN_STATUSES = (408, 421, 429, 503)

# Phases that end an attempt whose answer the caller has not begun to get.
PHASES = tuple(phase for phase in AttemptPhase if phase is not AttemptPhase.CUT)

SERVICE_SETS: tuple[tuple[Service, ...], ...] = (
    tuple(SERVICES.values()),
    (SERVICES[ORDERS],),
    (SERVICES[ENGINES],),
    (),
    (Service(ENGINES), Service(ORDERS, cold_rate=COLD_RATE)),
)


def build_routes(attempts: int) -> tuple[Route, ...]:
    """Return routes of all kinds, also to several services and to an unknown one."""
    routes = [
        build_route(kind, service, max_attempts=attempts)
        for kind in RepeatKind
        for service in (ENGINES, ORDERS, "unknown")
    ]
    routes.append(
        Route(
            "both",
            "h",
            "/",
            RepeatKind.SAFE,
            (Backend(ORDERS), Backend(ENGINES)),
            timeout_s=2.0,
            target_latency_s=0.1,
            max_attempts=attempts,
        )
    )
    return tuple(routes)


class CallDriver:
    """Feeds events to an entry's reducer and checks its decisions on calls.

    ``attempt_by_call`` holds the endpoint of each attempt in flight and
    ``may_have_run`` the calls that an endpoint may have run. ``final_by_call`` holds
    the effect that ended a call.
    """

    def __init__(self) -> None:
        self.state = build_entry_state()
        self.now = 0.0
        self.revision = 1
        self.open_by_id: dict[str, Call] = {}
        self.attempt_by_call: dict[str, str] = {}
        self.final_by_call: dict[str, Effect] = {}
        self.may_have_run: set[str] = set()
        self.begun: set[str] = set()
        self.sends_by_call: dict[str, int] = {}
        self.configure(SERVICE_SETS[0])
        self.list_objects(Collection.EVACUATIONS, [])
        self.list_objects(Collection.MEMBERS, [])
        self.list_objects(Collection.QUARANTINES, [])
        self.name_version(1)
        self.list_endpoints([(name, 0, False, 1) for name in ENDPOINTS])

    def feed(self, event: Event) -> None:
        """Reduce an event, carry out its effects on calls and check them."""
        _, effects = reduce_node(self.state, event)
        for effect in effects:
            self._apply(effect)
        self._check()

    def _apply(self, effect: Any) -> None:
        call_id = getattr(effect, "call_id", "")
        if not call_id or isinstance(effect, AbandonAttempt):
            return
        assert call_id in self.open_by_id, effect
        assert call_id not in self.final_by_call, effect
        assert call_id not in self.attempt_by_call, effect
        call = self.open_by_id[call_id]
        if isinstance(effect, SendCall):
            self.attempt_by_call[call_id] = effect.endpoint_id
            self.sends_by_call[call_id] = self.sends_by_call.get(call_id, 0) + 1
            is_repeated = call_id in self.may_have_run
            assert not is_repeated or call.route.is_idempotent
            return
        assert isinstance(effect, FINAL_EFFECTS), effect
        self.final_by_call[call_id] = effect
        if isinstance(effect, AbortAnswer):
            assert call_id in self.begun
        if not isinstance(effect, RefuseCall) or call_id not in self.may_have_run:
            return
        assert effect.refusal.run is not RunState.NOT_RUN
        assert effect.refusal.status not in NOT_RUN_STATUSES

    def _check(self) -> None:
        """Check that each open call is in flight, waits, or has its final decision."""
        waiting = self.state.gateway.waiting
        pending = self.state.gateway.pending_by_id
        for call_id in self.open_by_id:
            places = [
                call_id in self.attempt_by_call,
                call_id in waiting,
                call_id in self.final_by_call,
            ]
            assert places.count(True) == 1, (call_id, places)
            assert (call_id in pending) is not (call_id in self.final_by_call)
        reserved = sum(
            item.reserved for item in self.state.gateway.loads_by_id.values()
        )
        assert reserved <= sum(bool(item.reserved_id) for item in pending.values())

    def list_objects(
        self, collection: Collection, values: list[tuple[str, Any]]
    ) -> None:
        self.revision += 1
        objects = [StoredObject(name, self.revision, value) for name, value in values]
        self.feed(CollectionListed(self.now, collection, objects, self.revision, 1))

    def configure(self, services: tuple[Service, ...]) -> None:
        self.revision += 1
        by_name = {service.name: service for service in services}
        table = RoutingTable(self.revision, services_by_name=by_name)
        self.list_objects(Collection.ROUTING, [("main", table)])

    def name_version(self, version: int) -> None:
        target = VersionTarget(MODEL, version)
        self.list_objects(Collection.VERSIONS, [(MODEL, target)])

    def list_endpoints(self, entries: list[tuple[str, int, bool, int]]) -> None:
        records: dict[str, EndpointRecord] = {}
        for name, start_time_ms, is_draining, version in entries:
            fields = {"start_time_ms": start_time_ms, "is_draining": is_draining}
            if name.startswith("e"):
                records[name] = engine(name, version=version, **fields)
            else:
                records[name] = worker(name, **fields)
        self.list_objects(Collection.ENDPOINTS, list(records.items()))

    def arrive(self, route: Route, parts: tuple[str, ...]) -> None:
        name = f"c-{len(self.sends_by_call)}-{len(self.final_by_call)}-{self.revision}"
        while name in self.open_by_id or name in self.final_by_call:
            name += "x"
        call = build_call(name, route, self.now, parts=parts, wait_s=route.timeout_s)
        self.open_by_id[name] = call
        self.feed(CallArrived(self.now, call))

    def end_attempt(self, choice: int, phase: AttemptPhase, *, is_reset: bool) -> None:
        if not self.attempt_by_call:
            return
        names = sorted(self.attempt_by_call)
        name = names[choice % len(names)]
        endpoint = self.attempt_by_call.pop(name)
        last_event_id = ""
        if name in self.begun:
            phase = AttemptPhase.ANSWERED if phase.is_answer else AttemptPhase.CUT
            last_event_id = "7"
        if not phase.is_not_run:
            self.may_have_run.add(name)
        status = 200 if phase.is_answer else 0
        event = CallAttemptEnded(
            self.now,
            name,
            endpoint,
            phase,
            status,
            is_reset=is_reset,
            last_event_id=last_event_id,
        )
        if phase.is_answer:
            self._close(name)
        self.feed(event)

    def begin_answer(self, choice: int) -> None:
        streams = [
            name
            for name in sorted(self.attempt_by_call)
            if self.open_by_id[name].route.kind is RepeatKind.STREAM
        ]
        if not streams:
            return
        name = streams[choice % len(streams)]
        self.begun.add(name)
        endpoint = self.attempt_by_call[name]
        self.feed(CallStarted(self.now, name, endpoint, 1, has_event_id=True))

    def leave(self, choice: int) -> None:
        """Let a caller disconnect, or take its final answer."""
        if not self.open_by_id:
            return
        names = sorted(self.open_by_id)
        name = names[choice % len(names)]
        self.attempt_by_call.pop(name, None)
        self._close(name)
        self.feed(CallEnded(self.now, name))

    def _close(self, name: str) -> None:
        del self.open_by_id[name]
        self.final_by_call.pop(name, None)

    def tick(self, seconds: float, responsive: frozenset[str]) -> None:
        self.now += seconds
        self.feed(Tick(self.now, responsive_ids=responsive, store_era=1))


@st.composite
def draw_step(draw: Any) -> tuple:
    """Return the name of a driver's method and its arguments."""
    kind = draw(
        st.sampled_from(
            ["arrive"] * 4
            + ["end_attempt"] * 4
            + ["tick"] * 4
            + ["begin_answer", "leave", "configure", "list_endpoints", "name_version"]
            + ["evacuate", "notice", "limit", "lose_store"]
        )
    )
    choice = st.integers(0, 7)
    if kind == "arrive":
        routes = build_routes(draw(st.integers(1, 3)))
        parts = draw(st.sampled_from([(), ("p",), ("p", "q")]))
        return kind, (draw(st.sampled_from(routes)), parts)
    if kind == "end_attempt":
        phase = draw(st.sampled_from(PHASES))
        return kind, (draw(choice), phase, draw(st.booleans()))
    if kind == "tick":
        seconds = draw(st.sampled_from([0.025, 0.2, 0.6, 1.1, 3.0]))
        return kind, (seconds, draw(st.frozensets(st.sampled_from(ENDPOINTS))))
    if kind in ("begin_answer", "leave"):
        return kind, (draw(choice),)
    if kind == "configure":
        return kind, (draw(st.sampled_from(SERVICE_SETS)),)
    if kind == "list_endpoints":
        entry = st.tuples(
            st.sampled_from(ENDPOINTS),
            st.integers(0, 2),
            st.booleans(),
            st.integers(0, 2),
        )
        return kind, (draw(st.lists(entry, max_size=6)),)
    if kind == "name_version":
        return kind, (draw(st.integers(1, 3)),)
    if kind == "evacuate":
        return kind, (draw(st.sampled_from([[], ["zone-a"]])),)
    if kind == "notice":
        pause_s = draw(st.sampled_from([None, 0.0, 0.5, 30.0]))
        return kind, (draw(st.sampled_from(ENDPOINTS)), draw(st.booleans()), pause_s)
    if kind == "limit":
        rate = draw(st.sampled_from([None, 0.0, 2.0]))
        return kind, (draw(st.sampled_from(ENDPOINTS)), rate)
    return kind, ()


def take_step(driver: CallDriver, kind: str, arguments: tuple) -> None:
    now = driver.now
    if kind == "end_attempt":
        choice, phase, is_reset = arguments
        driver.end_attempt(choice, phase, is_reset=is_reset)
    elif kind == "evacuate":
        (zones,) = arguments
        driver.list_objects(Collection.EVACUATIONS, [(zone, zone) for zone in zones])
    elif kind == "notice":
        endpoint, is_leaving, pause_s = arguments
        driver.feed(EndpointNoticeReceived(now, endpoint, is_leaving, pause_s))
    elif kind == "limit":
        endpoint, rate = arguments
        driver.feed(EndpointLimitReceived(now, endpoint, rate, now))
    elif kind == "lose_store":
        driver.feed(StoreLost(now))
    else:
        getattr(driver, kind)(*arguments)


class TestEveryCallEnds:
    @settings(max_examples=400)
    @given(st.lists(draw_step(), max_size=40), st.booleans())
    def test_call_has_one_place_and_one_final_decision(self, steps, is_stopped):
        driver = CallDriver()
        for kind, arguments in steps:
            take_step(driver, kind, arguments)
        if is_stopped:
            driver.feed(ShutdownRequested(driver.now))
        for _ in range(40):
            driver.tick(0.3, frozenset())
            while driver.attempt_by_call:
                driver.end_attempt(0, AttemptPhase.SENT, is_reset=False)
        assert set(driver.open_by_id) == set(driver.final_by_call)
