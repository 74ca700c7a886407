"""The routing configuration: routes, services and teams at one version.

A ``RoutingTable`` is immutable. It answers which route a request takes, which team a
key belongs to and what is known of a service.
"""

from enum import Enum

import msgspec

from tamaracktray.types import Address


class RepeatKind(str, Enum):
    """Whether a request may be run more than once."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class Backend(msgspec.Struct, frozen=True):
    """A service that takes a share of a route's requests."""

    service: str
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True):
    """One route; times are in seconds.

    ``path_prefix`` begins and ends with a slash. ``max_attempts`` bounds the endpoints
    that one request may be sent to. ``timeout_s`` bounds the whole answer and
    ``gap_target_s`` the pauses of a stream. Lower priorities are more urgent. An empty
    ``allowed_regions`` allows all.
    """

    name: str
    host: str
    path_prefix: str
    kind: RepeatKind
    backends: tuple[Backend, ...]
    timeout_s: float
    target_latency_s: float
    priority: int = 0
    max_attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False
    gap_target_s: float = 0.0
    allowed_regions: tuple[str, ...] = ()

    @property
    def is_idempotent(self) -> bool:
        """Tell whether a request may run again at another endpoint."""
        if self.kind is RepeatKind.STREAM:
            return self.is_resumable
        return self.kind is RepeatKind.SAFE


class ModelSpec(msgspec.Struct, frozen=True):
    """A model that a service's engines hold; ``warm_s`` is the time of a full load."""

    name: str
    warm_s: float = 0.0


class EngineSpec(msgspec.Struct, frozen=True):
    """The published performance model of a service's engines.

    A pass with writing requests runs ``stride`` token steps. A step takes ``step_s``,
    ``per_request_s`` for each writing request and ``per_context_token_s`` for each
    token of their contexts. Prompts are read at ``read_tokens_s`` in pieces of at most
    ``read_chunk`` tokens, plus ``pair_s`` for each pair of a token and an earlier one.
    ``usual_prompt`` and ``usual_answer`` are mean token counts.
    """

    max_batch: int
    models: tuple[ModelSpec, ...]
    layers: int = 0
    chunks: int = 0
    chunk_bytes: int = 0
    kv_tokens: int = 0
    stride: int = 1
    step_s: float = 0.0
    per_request_s: float = 0.0
    per_context_token_s: float = 0.0
    read_tokens_s: float = 0.0
    pair_s: float = 0.0
    read_chunk: int = 0
    usual_prompt: float = 0.0
    usual_answer: float = 0.0


class Service(msgspec.Struct, frozen=True):
    """What the operator says of a service.

    ``cold_rate`` is the number of requests a second that a cold endpoint bears; 0 means
    that endpoints of the service are never cold. ``origin`` is set for the service that
    hands out weights.
    """

    name: str
    health_path: str = ""
    max_connections: int = 0
    cold_rate: float = 0.0
    engine: EngineSpec | None = None
    origin: Address | None = None
    origin_zone: str = ""


class Team(msgspec.Struct, frozen=True):
    """A team and the keys of its callers."""

    name: str
    keys: tuple[str, ...] = ()
    priority: int | None = None
    allowed_regions: tuple[str, ...] = ()


class CallerLimits(msgspec.Struct, frozen=True):
    """Bounds on what callers may send; sizes in bytes, times in seconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 30.0


class RoutingTable(msgspec.Struct, frozen=True):
    """All routes, services and teams of one version of the configuration."""

    version: int
    routes: tuple[Route, ...] = ()
    services_by_name: dict[str, Service] = {}
    teams: tuple[Team, ...] = ()
    limits: CallerLimits = CallerLimits()

    def select_service(self, name: str) -> "RoutingTable":
        """Return what an agent needs of the table: its service and the origin.

        A whole table is large, and the links of agents' instances are thin.
        """
        kept = {
            key: service
            for key, service in self.services_by_name.items()
            if key == name or service.origin is not None
        }
        return RoutingTable(self.version, services_by_name=kept)

    def find_origin(self) -> Service | None:
        """Return the service that hands out weights, if there is one."""
        for service in self.services_by_name.values():
            if service.origin is not None:
                return service
        return None


class RouteIndex:
    """Finds routes by host and path and teams by key."""

    __slots__ = ("_routes_by_host", "_team_by_key", "table")

    def __init__(self, table: RoutingTable) -> None:
        self.table = table
        self._routes_by_host: dict[str, dict[str, Route]] = {}
        for route in table.routes:
            routes_by_prefix = self._routes_by_host.setdefault(route.host, {})
            routes_by_prefix[route.path_prefix] = route
        self._team_by_key = {key: team for team in table.teams for key in team.keys}

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest prefix of ``path``."""
        routes_by_prefix = self._routes_by_host.get(host)
        if routes_by_prefix is None:
            return None
        end = len(path)
        while True:
            end = path.rfind("/", 0, end)
            if end < 0:
                return None
            route = routes_by_prefix.get(path[: end + 1])
            if route is not None:
                return route

    def find_team(self, key: str) -> Team | None:
        """Return the team that holds a key."""
        return self._team_by_key.get(key)

    @property
    def needs_keys(self) -> bool:
        """Tell whether requests to routes that are not public must carry a key."""
        return bool(self.table.teams)
