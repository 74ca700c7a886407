"""Decisions on calls while the configuration, the endpoints and their notices change.

Guards against calls that are left without a decision, or that get a second one, and
against refusals that deny a run.
"""

from collections import Counter
from typing import Any

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure

from gateways import (
    COLD_RATE,
    ENGINES,
    MODEL,
    ORDERS,
    REGION_BY_ZONE,
    SERVICES,
    build_entry_state,
    engine,
    worker,
)
from tamaracktray.call_binding import find_binding
from tamaracktray.call_building import build_call
from tamaracktray.call_context import may_send
from tamaracktray.calls import (
    AbandonAttempt,
    AbortAnswer,
    AttemptResumed,
    Call,
    CallArrived,
    CallAttemptEnded,
    CallEnded,
    CallStarted,
    EndParkedAttempt,
    LeaveAttempt,
    RefuseCall,
    RelayFailure,
    ResumeAttempt,
    SendCall,
)
from tamaracktray.effects import Effect
from tamaracktray.endpoint_limits import EndpointLimitReceived
from tamaracktray.engines import VersionTarget
from tamaracktray.events import Event, ShutdownRequested, Tick
from tamaracktray.http_messages import Request
from tamaracktray.node_events import CollectionListed, StoreLost
from tamaracktray.node_reducer import reduce_node
from tamaracktray.notices import EndpointNoticeReceived
from tamaracktray.objects import StoredObject
from tamaracktray.outcomes import AttemptPhase
from tamaracktray.protocol import CallerFields
from tamaracktray.roster import EndpointRecord
from tamaracktray.routes import (
    Backend,
    RepeatKind,
    Route,
    RouteIndex,
    RoutingTable,
    Service,
    Team,
)
from tamaracktray.snapshots import Collection
from tamaracktray.types import Address, RunState

ENDPOINTS = ("e-0", "e-1", "e-2", "w-0", "w-1", "w-2")
FINAL_EFFECTS = (RefuseCall, AbortAnswer, RelayFailure)
NOT_RUN_STATUSES = (408, 421, 429, 503)

# Phases that end an attempt whose answer the caller has not begun to get.
PHASES = tuple(phase for phase in AttemptPhase if phase is not AttemptPhase.CUT)

BOTH = "both"
ROUTES = (*(f"r-{number}" for number in range(9)), BOTH)
PUBLIC_ROUTES = ("r-4", BOTH)
# Safe routes and resumable streams of the first plan, with endpoints.
REPEATABLE_ROUTES = ("r-0", "r-1", "r-6", "r-7")
TEAMS = ("red", "blue")
KEYS = ("k-red", "k-blue", "")
REGION_SETS = ((), ("region-a",), ("region-c",), ("region-a", "region-c"))
ZONE_BY_ENDPOINT = {
    name: zone
    for kind in "ew"
    for name, zone in zip(
        (f"{kind}-0", f"{kind}-1", f"{kind}-2"), REGION_BY_ZONE, strict=True
    )
}

SERVICE_SETS: tuple[tuple[Service, ...], ...] = (
    tuple(SERVICES.values()),
    (SERVICES[ORDERS],),
    (SERVICES[ENGINES],),
    (),
    (Service(ENGINES), Service(ORDERS, cold_rate=COLD_RATE)),
)


class Plan(msgspec.Struct, frozen=True):
    """A configuration, without the names that stay the same in all of them.

    ``kind_shift`` gives each route another kind and ``dropped`` are routes that are
    missing. ``team_by_key`` holds the valid keys. ``by_route`` and ``by_team`` are
    allowed regions of all routes and of the teams.
    """

    services: tuple[Service, ...] = SERVICE_SETS[0]
    attempts: int = 2
    kind_shift: int = 0
    dropped: frozenset[str] = frozenset()
    team_by_key: dict[str, str] = msgspec.field(
        default_factory=lambda: {"k-red": "red", "k-blue": "blue"}
    )
    by_route: tuple[str, ...] = ()
    by_team: dict[str, tuple[str, ...]] = {}

    def build_table(self, version: int) -> RoutingTable:
        """Return the table with the routes that are not dropped."""
        routes = [route for route in self._list_routes() if route.name in self.kept]
        teams = tuple(
            Team(
                name,
                tuple(key for key, team in self.team_by_key.items() if team == name),
                allowed_regions=self.by_team.get(name, ()),
            )
            for name in TEAMS
        )
        by_name = {service.name: service for service in self.services}
        return RoutingTable(version, tuple(routes), by_name, teams)

    @property
    def kept(self) -> frozenset[str]:
        """Return the names of the routes that exist."""
        return frozenset(ROUTES) - self.dropped

    def _list_routes(self) -> list[Route]:
        """Return routes of all kinds, to one, several and unknown services."""
        kinds = list(RepeatKind)
        routes = []
        for number, name in enumerate(ROUTES):
            service = (ENGINES, ORDERS, "unknown")[number % 3]
            kind = kinds[(number // 3 + self.kind_shift) % len(kinds)]
            backends: tuple[Backend, ...] = (Backend(service),)
            times = {"timeout_s": 6.0, "target_latency_s": 0.4}
            if name == BOTH:
                kind, backends = RepeatKind.SAFE, (Backend(ORDERS), Backend(ENGINES))
                times = {"timeout_s": 2.0, "target_latency_s": 0.1}
            routes.append(
                Route(
                    name,
                    "h",
                    f"/{name}/",
                    kind,
                    backends,
                    max_attempts=self.attempts,
                    is_public=name in PUBLIC_ROUTES,
                    is_resumable=kind is RepeatKind.STREAM,
                    allowed_regions=self.by_route,
                    **times,
                )
            )
        return routes


class CallDriver:
    """Feeds events to an entry's reducer and checks its decisions on calls.

    ``attempt_by_call`` holds the decision on each attempt in flight, ``left_by_call``
    the ones whose end the reducer has not heard of, and ``parked_by_call`` those that
    may be resumed, by their endpoints; ``sent_by_call`` is the one parked last, which
    was sent before. ``may_have_run`` holds the calls that an
    endpoint may have run, ``final_by_call`` the effect that ended a call and ``unsafe``
    the calls that some configuration in force since their arrival allowed to run only
    once. With ``is_stopped``, the process is leaving.
    """

    def __init__(self) -> None:
        self.state = build_entry_state()
        self.now = 0.0
        self.is_stopped = False
        self.revision = 1
        self.open_by_id: dict[str, Call] = {}
        self.attempt_by_call: dict[str, SendCall] = {}
        self.left_by_call: dict[str, SendCall] = {}
        self.sent_by_call: dict[str, SendCall] = {}
        self.parked_by_call: dict[str, dict[str, SendCall]] = {}
        self.final_by_call: dict[str, Effect] = {}
        self.may_have_run: set[str] = set()
        self.begun: set[str] = set()
        self.unsafe: set[str] = set()
        self.earlier_index: RouteIndex | None = None
        self.sends_by_call: dict[str, int] = {}
        self.configure(Plan())
        self.list_objects(Collection.EVACUATIONS, [])
        self.list_objects(Collection.MEMBERS, [])
        self.list_objects(Collection.QUARANTINES, [])
        self.name_version(1)
        self.list_endpoints([(name, 0, False, 1, False) for name in ENDPOINTS])

    def feed(self, event: Event) -> None:
        """Reduce an event, carry out its effects on calls and check them."""
        _, effects = reduce_node(self.state, event)
        self._note_unsafe()
        for effect in effects:
            self._apply(effect)
        self._check()

    def _apply(self, effect: Any) -> None:
        call_id = getattr(effect, "call_id", "")
        if isinstance(effect, LeaveAttempt):
            self.left_by_call[call_id] = self.attempt_by_call[call_id]
        if not call_id or isinstance(effect, AbandonAttempt):
            return
        assert call_id in self.open_by_id, effect
        if isinstance(effect, EndParkedAttempt):
            del self.parked_by_call[call_id][effect.endpoint_id]
            return
        assert call_id not in self.final_by_call, effect
        assert call_id not in self.attempt_by_call, effect
        call = self.open_by_id[call_id]
        parked = self.parked_by_call.get(call_id, {})
        if isinstance(effect, ResumeAttempt):
            self.attempt_by_call[call_id] = parked.pop(effect.endpoint_id)
            return
        if isinstance(effect, SendCall):
            self.attempt_by_call[call_id] = effect
            self.sends_by_call[call_id] = self.sends_by_call.get(call_id, 0) + 1
            is_repeated = call_id in self.may_have_run
            assert not is_repeated or call.route.is_idempotent
            assert not is_repeated or call_id not in self.unsafe
            assert self.is_allowed(effect), effect
            return
        assert isinstance(effect, FINAL_EFFECTS), effect
        # A call ends only if none of its endpoints may still answer it.
        assert not parked or self.is_stopped, effect
        self.final_by_call[call_id] = effect
        if isinstance(effect, AbortAnswer):
            assert call_id in self.begun
        if not isinstance(effect, RefuseCall):
            return
        if effect.refusal.status in (401, 404):
            # A proper call must not be denied.
            bound = self._find_binding(call)
            assert isinstance(bound, Failure)
            assert bound.failure().status == effect.refusal.status
        if call_id not in self.may_have_run:
            return
        assert effect.refusal.run is not RunState.NOT_RUN
        assert effect.refusal.status not in NOT_RUN_STATUSES

    def _find_binding(self, call: Call):
        return find_binding(self.state.index, call.host, call.path, call.key)

    def _note_unsafe(self) -> None:
        for name, call in self.open_by_id.items():
            route = self.state.index.find_route(call.host, call.path)
            if route is not None and not route.is_idempotent:
                self.unsafe.add(name)

    def is_allowed(self, decision: SendCall) -> bool:
        """Return whether the configuration and the list in force allow an attempt."""
        call = self.open_by_id[decision.call_id]
        table = self.state.index.table
        holders = [team for team in table.teams if call.key in team.keys]
        routes = [
            route for route in table.routes if call.path.startswith(route.path_prefix)
        ]
        if not routes or (call.key and not holders):
            return False
        if not call.key and not routes[0].is_public:
            return False
        if decision.team != (holders[0].name if holders else ""):
            return False
        record = self.state.roster.records_by_id[decision.endpoint_id]
        if any(
            item.address == record.address and item.start_time_ms > record.start_time_ms
            for item in self.state.roster.records_by_id.values()
        ):
            return False
        region = REGION_BY_ZONE[ZONE_BY_ENDPOINT[decision.endpoint_id]]
        if any(
            item.allowed_regions and region not in item.allowed_regions
            for item in (routes[0], *holders)
        ):
            return False
        service = ENGINES if decision.endpoint_id.startswith("e") else ORDERS
        return service in [backend.service for backend in routes[0].backends]

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
        for call in waiting.list_ordered():
            assert not isinstance(self._find_binding(call), Failure), call
        for call_id, item in pending.items():
            parked = self.parked_by_call.get(call_id, {})
            assert set(item.parked_by_id) == set(parked), call_id
        held = Counter(
            decision.endpoint_id
            for decision in (
                *self.attempt_by_call.values(),
                *(
                    decision
                    for parked in self.parked_by_call.values()
                    for decision in parked.values()
                ),
            )
        )
        for endpoint_id, load in self.state.gateway.loads_by_id.items():
            assert load.in_flight <= held[endpoint_id], endpoint_id
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

    def configure(self, plan: Plan) -> None:
        self.revision += 1
        self.earlier_index = self.state.index
        table = plan.build_table(self.revision)
        self.list_objects(Collection.ROUTING, [("main", table)])

    def name_version(self, version: int) -> None:
        target = VersionTarget(MODEL, version)
        self.list_objects(Collection.VERSIONS, [(MODEL, target)])

    def list_endpoints(self, entries: list[tuple[str, int, bool, int, bool]]) -> None:
        records: dict[str, EndpointRecord] = {}
        for name, start_time_ms, is_draining, version, is_shared in entries:
            port = 80 if is_shared else 81 + ENDPOINTS.index(name)
            fields = {
                "address": Address("10.0.0.1", port),
                "zone": ZONE_BY_ENDPOINT[name],
                "start_time_ms": start_time_ms,
                "is_draining": is_draining,
            }
            if name.startswith("e"):
                records[name] = engine(name, version=version, **fields)
            else:
                records[name] = worker(name, **fields)
        self.list_objects(Collection.ENDPOINTS, list(records.items()))

    def arrive(
        self, route: str, key: str, parts: tuple[str, ...], *, is_late: bool
    ) -> None:
        """Let a call arrive, built with an earlier configuration if it is late."""
        name = f"c-{len(self.sends_by_call)}-{len(self.final_by_call)}-{self.revision}"
        while name in self.open_by_id or name in self.final_by_call:
            name += "x"
        index = self.state.index
        if is_late and self.earlier_index is not None:
            index = self.earlier_index
        target = f"/{route}/{name}"
        request = Request("POST", target, target, {}, {"host": "h"}, name.encode())
        fields = CallerFields(name, key, model=MODEL, shared_parts=parts)
        built = build_call(self.now, index, request, fields)
        if isinstance(built, Failure):
            return
        call = msgspec.structs.replace(built.unwrap(), id=name)
        self.open_by_id[name] = call
        if not call.route.is_idempotent:
            self.unsafe.add(name)
        self.feed(CallArrived(self.now, call))

    def connect(self, choice: int) -> None:
        """Ask whether a call is still to be sent, once its connection is open."""
        unsent = sorted(
            name
            for name, decision in self.attempt_by_call.items()
            if name not in self.begun and decision is not self.sent_by_call.get(name)
        )
        if not unsent:
            return
        decision = self.attempt_by_call[unsent[choice % len(unsent)]]
        if may_send(self.state, self.now, decision, 0.0):
            assert self.is_allowed(decision), decision
            return
        del self.attempt_by_call[decision.call_id]
        self.feed(
            CallAttemptEnded(
                self.now,
                decision.call_id,
                decision.endpoint_id,
                AttemptPhase.WITHDRAWN,
            )
        )

    def park(self, choice: int) -> None:
        """Park an attempt that its call leaves, as soon as that is carried out."""
        names = sorted(self.left_by_call.keys() & self.attempt_by_call.keys())
        if not names:
            return
        name = names[choice % len(names)]
        decision = self.attempt_by_call[name]
        if self.left_by_call.pop(name) is not decision:
            return
        del self.attempt_by_call[name]
        self.sent_by_call[name] = decision
        self.parked_by_call.setdefault(name, {})[decision.endpoint_id] = decision
        self.may_have_run.add(name)
        is_begun = name in self.begun
        self.feed(
            CallAttemptEnded(
                self.now,
                name,
                decision.endpoint_id,
                AttemptPhase.CUT if is_begun else AttemptPhase.SENT,
                last_event_id="7" if is_begun else "",
                is_parked=True,
            )
        )

    def resume(self, choice: int) -> None:
        """Let an endpoint go on with an attempt that its call has left."""
        names = sorted(name for name, parked in self.parked_by_call.items() if parked)
        if not names:
            return
        name = names[choice % len(names)]
        parked = self.parked_by_call.pop(name)
        decision = parked[sorted(parked)[choice % len(parked)]]
        self.attempt_by_call[name] = decision
        self.left_by_call.pop(name, None)
        self.feed(AttemptResumed(self.now, name, decision.endpoint_id))

    def end_parked(self, choice: int, *, is_reset: bool) -> None:
        """Let an attempt end that its call has left."""
        names = sorted(name for name, parked in self.parked_by_call.items() if parked)
        if not names:
            return
        name = names[choice % len(names)]
        parked = self.parked_by_call[name]
        decision = parked.pop(sorted(parked)[choice % len(parked)])
        phase = AttemptPhase.CUT if name in self.begun else AttemptPhase.SENT
        self.feed(
            CallAttemptEnded(
                self.now,
                name,
                decision.endpoint_id,
                phase,
                is_reset=is_reset,
                last_event_id="7" if name in self.begun else "",
            )
        )

    def end_attempt(self, choice: int, phase: AttemptPhase, *, is_reset: bool) -> None:
        if not self.attempt_by_call:
            return
        names = sorted(self.attempt_by_call)
        name = names[choice % len(names)]
        endpoint = self.attempt_by_call.pop(name).endpoint_id
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
        endpoint = self.attempt_by_call[name].endpoint_id
        self.parked_by_call.pop(name, None)
        self.feed(CallStarted(self.now, name, endpoint, 1, has_event_id=True))

    def leave(self, choice: int) -> None:
        """Let a caller disconnect, or take its final answer."""
        if not self.open_by_id:
            return
        names = sorted(self.open_by_id)
        name = names[choice % len(names)]
        self._close(name)
        self.attempt_by_call.pop(name, None)
        self.feed(CallEnded(self.now, name))

    def _close(self, name: str) -> None:
        del self.open_by_id[name]
        self.final_by_call.pop(name, None)
        self.left_by_call.pop(name, None)
        self.parked_by_call.pop(name, None)

    def tick(self, seconds: float, responsive: frozenset[str]) -> None:
        self.now += seconds
        self.feed(Tick(self.now, responsive_ids=responsive, store_era=1))


def draw_plan() -> st.SearchStrategy[Plan]:
    regions = st.sampled_from(REGION_SETS)
    keys = st.sampled_from(("k-red", "k-blue"))
    return st.builds(
        Plan,
        st.sampled_from(SERVICE_SETS),
        st.integers(1, 3),
        st.sampled_from([0, 0, 1, 2]),
        st.frozensets(st.sampled_from(ROUTES), max_size=4),
        st.dictionaries(keys, st.sampled_from(TEAMS)),
        regions,
        st.fixed_dictionaries(dict.fromkeys(TEAMS, regions)),
    )


ALL_STEPS = (
    ["arrive"] * 4
    + ["end_attempt"] * 4
    + ["tick"] * 4
    + ["configure", "connect", "list_endpoints", "park"] * 3
    + ["resume", "end_parked"]
    + ["begin_answer", "leave", "name_version"]
    + ["evacuate", "notice", "limit", "lose_store"]
)
CHANGES = ["configure", "list_endpoints", "evacuate", "notice", "limit", "name_version"]
AFTER_MOVES = ["park", "resume", "end_parked", "connect", "tick"] * 2 + [
    "end_attempt",
    "begin_answer",
    "leave",
]


@st.composite
def draw_step(draw: Any, kinds: list[str] | None = None) -> tuple:
    """Return the name of a driver's method, one of ``kinds``, and its arguments."""
    kind = draw(st.sampled_from(kinds or ALL_STEPS))
    choice = st.integers(0, 7)
    if kind == "arrive":
        parts = draw(st.sampled_from([(), ("p",), ("p", "q")]))
        route, key = draw(st.sampled_from(ROUTES)), draw(st.sampled_from(KEYS))
        return kind, (route, key, parts, draw(st.booleans()))
    if kind == "end_attempt":
        phase = draw(st.sampled_from(PHASES))
        return kind, (draw(choice), phase, draw(st.booleans()))
    if kind == "tick":
        seconds = draw(st.sampled_from([0.025, 0.2, 0.6, 1.1, 3.0]))
        return kind, (seconds, draw(st.frozensets(st.sampled_from(ENDPOINTS))))
    if kind == "end_parked":
        return kind, (draw(choice), draw(st.booleans()))
    if kind in ("begin_answer", "connect", "leave", "park", "resume"):
        return kind, (draw(choice),)
    if kind == "configure":
        return kind, (draw(draw_plan()),)
    if kind == "list_endpoints":
        entry = st.tuples(
            st.sampled_from(ENDPOINTS),
            st.integers(0, 2),
            st.booleans(),
            st.integers(0, 2),
            st.booleans(),
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
    if kind == "arrive":
        route, key, parts, is_late = arguments
        driver.arrive(route, key, parts, is_late=is_late)
    elif kind == "end_attempt":
        choice, phase, is_reset = arguments
        driver.end_attempt(choice, phase, is_reset=is_reset)
    elif kind == "end_parked":
        choice, is_reset = arguments
        driver.end_parked(choice, is_reset=is_reset)
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
            driver.is_stopped = True
            driver.feed(ShutdownRequested(driver.now))
        for _ in range(40):
            driver.tick(0.3, frozenset())
            while driver.attempt_by_call:
                driver.end_attempt(0, AttemptPhase.SENT, is_reset=False)
        assert set(driver.open_by_id) == set(driver.final_by_call)

    @settings(max_examples=400)
    @given(
        st.lists(st.sampled_from(REPEATABLE_ROUTES), min_size=1, max_size=4),
        st.integers(0, 4),
        st.lists(draw_step(CHANGES), max_size=3),
        st.lists(draw_step(CHANGES + AFTER_MOVES), max_size=12),
    )
    def test_call_that_leaves_a_silent_endpoint_has_a_place(
        self, routes, begun, changes, steps
    ):
        driver = CallDriver()
        for route in routes:
            driver.arrive(route, "k-red", (), is_late=False)
        for number in range(begun):
            driver.begin_answer(number)
        driver.tick(0.8, frozenset())
        for kind, arguments in changes:
            take_step(driver, kind, arguments)
        for number in range(len(routes)):
            driver.park(number)
        for kind, arguments in steps:
            take_step(driver, kind, arguments)
        for _ in range(20):
            driver.tick(0.3, frozenset())
            while driver.attempt_by_call:
                driver.end_attempt(0, AttemptPhase.SENT, is_reset=False)
            driver.end_parked(0, is_reset=False)
        assert set(driver.open_by_id) == set(driver.final_by_call)
