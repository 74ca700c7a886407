"""The routing configuration: routes, services and teams at one version.

A ``RoutingTable`` is immutable. A ``RouteIndex`` finds the route of a request and the
team of a key in it.
"""

from enum import Enum

import msgspec

from tamaracktray.headers import is_field_value
from tamaracktray.types import Address


class RepeatKind(str, Enum):
    """How a request may be retried.

    Safe requests may run more than once and unsafe ones may not. A stream may if its
    route is resumable.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class Backend(msgspec.Struct, frozen=True):
    """A service that receives a weighted share of a route's requests."""

    service: str
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True):
    """One route; times are in seconds.

    ``path_prefix`` begins and ends with a slash. ``max_attempts`` limits the number of
    endpoints that one request may be sent to. ``timeout_s`` limits the time for the
    whole answer and ``gap_target_s`` is the target for the pauses within a stream.
    Lower priorities are more urgent. An empty ``allowed_regions`` allows all regions.
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
        """Whether a request may be retried at another endpoint."""
        if self.kind is RepeatKind.STREAM:
            return self.is_resumable
        return self.kind is RepeatKind.SAFE


class ModelSpec(msgspec.Struct, frozen=True):
    """A model that a service's engines load; a full load takes ``warm_s`` seconds."""

    name: str
    warm_s: float = 0.0


class EngineSpec(msgspec.Struct, frozen=True):
    """The published performance model of a service's engines.

    A pass with decoding requests runs ``stride`` token steps. A step takes ``step_s``,
    plus ``per_request_s`` for each decoding request and ``per_context_token_s`` for
    each token of their contexts. Prefill runs at ``read_tokens_s`` tokens per second in
    pieces of at most ``read_chunk`` tokens, plus ``pair_s`` for each pair of a token
    and an earlier one. ``usual_prompt`` and ``usual_answer`` are mean token counts.
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
    """The configuration of a service.

    ``cold_rate`` is the capacity of a cold endpoint in requests per second; 0 means
    that the service's endpoints are never cold. ``origin`` is set for the service that
    distributes weights.
    """

    name: str
    health_path: str = ""
    max_connections: int = 0
    cold_rate: float = 0.0
    engine: EngineSpec | None = None
    origin: Address | None = None
    origin_zone: str = ""


class Team(msgspec.Struct, frozen=True):
    """A team with the keys of its callers; ``priority`` overrides the route's."""

    name: str
    keys: tuple[str, ...] = ()
    priority: int | None = None
    allowed_regions: tuple[str, ...] = ()


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on callers' requests; sizes are in bytes and times in seconds."""

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
        """Return the part of the table that an agent needs: its service and the origin.

        A whole table is large, and the network links of agents' instances are slow.
        """
        kept = {
            key: service
            for key, service in self.services_by_name.items()
            if key == name or service.origin is not None
        }
        return RoutingTable(self.version, services_by_name=kept)

    def find_origin(self) -> Service | None:
        """Return the service that distributes weights, or ``None``."""
        for service in self.services_by_name.values():
            if service.origin is not None:
                return service
        return None

    def map_chunk_counts(self) -> dict[str, int]:
        """Return by model how many chunks each of its versions has, where known."""
        return {
            model.name: service.engine.chunks
            for service in self.services_by_name.values()
            if service.engine is not None and service.engine.chunks
            for model in service.engine.models
        }


class RouteIndex:
    """Finds routes by host and path and teams by key.

    ``unsendable_teams`` are the names of teams that requests can't name in a header.
    """

    __slots__ = ("_routes_by_host", "_team_by_key", "table", "unsendable_teams")

    def __init__(self, table: RoutingTable) -> None:
        self.table = table
        self._routes_by_host: dict[str, dict[str, Route]] = {}
        for route in table.routes:
            routes_by_prefix = self._routes_by_host.setdefault(route.host, {})
            routes_by_prefix[route.path_prefix] = route
        self._team_by_key = {key: team for team in table.teams for key in team.keys}
        names = {team.name for team in table.teams if team.name}
        self.unsendable_teams = frozenset(
            name for name in names if not is_field_value(name)
        )

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix of ``path``, or ``None``."""
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
        """Return the team that a key belongs to, or ``None``."""
        return self._team_by_key.get(key)

    @property
    def needs_keys(self) -> bool:
        """Whether requests to routes that are not public must carry a key."""
        return bool(self.table.teams)
