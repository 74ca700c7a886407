"""Event-driven gateway with made-up endpoints, shared by several test files."""

from collections.abc import Iterable

from tamaracktray.calls import Call, CallArrived, CallAttemptEnded, CallEnded, SendCall
from tamaracktray.crash_watch import CrashWatch
from tamaracktray.effects import Effect
from tamaracktray.gateway import (
    handle_attempt_ended,
    handle_call,
    handle_call_ended,
    handle_gateway_tick,
)
from tamaracktray.gateway_fleet import apply_roster
from tamaracktray.gateway_state import GatewayBounds, GatewayContext, GatewayState
from tamaracktray.node_state import NodeState
from tamaracktray.outcomes import AttemptPhase
from tamaracktray.part_watch import PartWatch
from tamaracktray.placement import PlacementContext
from tamaracktray.roster import EndpointRecord, LoadedModel
from tamaracktray.routes import (
    Backend,
    EngineSpec,
    ModelSpec,
    RepeatKind,
    Route,
    Service,
)
from tamaracktray.suspicions import LogFinding
from tamaracktray.types import Address, Role

MODEL = "kiln"
ENGINES = "engines"
ORDERS = "orders"
LAYERS = 16
ZONE = "zone-a"
REGION_BY_ZONE = {"zone-a": "region-a", "zone-b": "region-a", "zone-c": "region-c"}

COLD_RATE = 36.0

SERVICES = {
    ENGINES: Service(
        ENGINES,
        cold_rate=COLD_RATE,
        engine=EngineSpec(
            max_batch=4,
            models=(ModelSpec(MODEL),),
            layers=LAYERS,
            stride=6,
            step_s=0.007,
            read_tokens_s=30_000.0,
            usual_prompt=1_000.0,
            usual_answer=100.0,
        ),
    ),
    ORDERS: Service(ORDERS),
}


def engine(name: str, zone: str = ZONE, version: int = 1, **fields) -> EndpointRecord:
    models = (LoadedModel(MODEL, version, 0, LAYERS),) if version else ()
    address = Address("10.0.0.1", 1_000 + len(name))
    options = {"address": address, "max_batch": 4, "models": models, **fields}
    return EndpointRecord(id=name, service=ENGINES, zone=zone, **options)


def worker(name: str, zone: str = ZONE, **fields) -> EndpointRecord:
    options = {"address": Address("10.0.0.2", 80), "max_batch": 2, **fields}
    return EndpointRecord(id=name, service=ORDERS, zone=zone, **options)


def build_route(kind: RepeatKind, *services: str, **fields) -> Route:
    options = {
        "timeout_s": 6.0,
        "target_latency_s": 0.4,
        "max_attempts": 2,
        "is_resumable": kind is RepeatKind.STREAM,
        **fields,
    }
    backends = tuple(Backend(service) for service in services)
    return Route("r", "h", "/", kind, backends, **options)


STREAM = build_route(RepeatKind.STREAM, ENGINES)
SAFE = build_route(RepeatKind.SAFE, ORDERS)
UNSAFE = build_route(RepeatKind.UNSAFE, ORDERS)


def build_call(name: str, route: Route = STREAM, now: float = 0.0, **fields) -> Call:
    options = {
        "host": route.host,
        "path": route.path_prefix,
        "model": MODEL if route.kind is RepeatKind.STREAM else "",
        "fingerprint": name,
        **fields,
    }
    services = tuple(backend.service for backend in route.backends)
    return Call(name, name, route, services, now, now + route.timeout_s, **options)


def build_entry_state(
    gateway: GatewayState | None = None, version_bound_s: float = 8.0
) -> NodeState:
    """Return the state of an entry that watches the platform's store."""
    state = NodeState(
        "entry-0",
        Role.ENTRY,
        ZONE,
        REGION_BY_ZONE,
        now=0.0,
        version_bound_s=version_bound_s,
        grace_s=8.0,
        quarantine_s=300.0,
    )
    state.gateway = gateway or GatewayState("entry-0", GatewayBounds())
    return state


def sent(effects: Iterable[Effect]) -> list[str]:
    """Return the ids of the endpoints to which calls are sent."""
    return [item.endpoint_id for item in effects if isinstance(item, SendCall)]


class Gateway:
    """Gateway with a clock that the test advances."""

    def __init__(
        self,
        *records: EndpointRecord,
        peers: int = 0,
        owned: Iterable[str] | None = None,
    ) -> None:
        self.state = GatewayState("entry-0", GatewayBounds())
        self.state.peer_count = peers
        names = [record.id for record in records] if owned is None else owned
        self.state.owned_ids = frozenset(names)
        self.crashes = CrashWatch(300.0, 1.2)
        self.part_crashes = PartWatch(300.0, 1.2)
        self.floors: dict[str, int] = {}
        self.last_floors: dict[str, int] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.now = 0.0
        self.findings: list[LogFinding] = []
        self.follow(*records)

    @property
    def context(self) -> GatewayContext:
        placement_context = PlacementContext(
            ZONE,
            REGION_BY_ZONE,
            self.evacuated,
            SERVICES,
            self.floors,
            self.last_floors,
        )
        return GatewayContext(
            self.state, placement_context, self.crashes, self.part_crashes, False
        )

    def follow(self, *records: EndpointRecord) -> None:
        apply_roster(self.context, self.now, {record.id: record for record in records})

    def load(self, name: str):
        return self.state.loads_by_id[name]

    def arrive(self, call: Call) -> list[Effect]:
        return handle_call(self.context, CallArrived(self.now, call))

    def end(
        self, call: Call, endpoint: str, phase: AttemptPhase, **fields
    ) -> list[Effect]:
        event = CallAttemptEnded(self.now, call.id, endpoint, phase, **fields)
        return self._take_findings(handle_attempt_ended(self.context, event))

    def leave(self, call: Call) -> list[Effect]:
        event = CallEnded(self.now, call.id)
        return self._take_findings(handle_call_ended(self.context, event))

    def progress(self, call: Call, at: float) -> None:
        """Record that an event of the call's answer arrived."""
        self.state.note_progress({call.id: at})

    def tick(self, seconds: float, *responsive_ids: str) -> list[Effect]:
        self.now += seconds
        return self._take_findings(
            handle_gateway_tick(self.context, self.now, frozenset(responsive_ids))
        )

    def _take_findings(self, effects: list[Effect]) -> list[Effect]:
        """Move crash findings to ``findings`` and return the other effects."""
        self.findings += [item for item in effects if isinstance(item, LogFinding)]
        return [item for item in effects if not isinstance(item, LogFinding)]
