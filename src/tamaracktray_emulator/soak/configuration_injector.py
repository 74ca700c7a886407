"""Writes configurations in quick series."""

from typing import Any

import curio

from tamaracktray_emulator.soak.fleet import ORDERS, RETURNS, SoakFleet, build_random
from tamaracktray_emulator.soak.region_injector import RegionInjector

# Maximum number of changes in a series, and the times between them and after a series
# in seconds.
MAX_SERIES_LENGTH = 20
MIN_INTERVAL_S = 0.02
MAX_INTERVAL_S = 0.3
MAX_REST_S = 2.0

ATTEMPTS = (1, 2, 3)
VALUES_BY_FIELD = {
    "maxAttempts": ATTEMPTS,
    "timeoutMs": (4_000, 4_500, 5_000),
    "targetLatencyMs": (200, 400, 800),
    "gapTargetMs": (100, 300, 600),
    "priority": (0, 1, 2),
}
MIN_TIMEOUT_S = min(VALUES_BY_FIELD["timeoutMs"]) / 1_000.0
WEIGHT_SUM = 10


class ConfigurationInjector:
    """Changes what decides about calls, also about those that wait."""

    def __init__(self, fleet: SoakFleet) -> None:
        self._fleet = fleet
        self._random = build_random(fleet.plan, "configurations")
        self._regions = RegionInjector(fleet)

    async def run(self) -> None:
        """Write configurations until cancelled, and the first one after each series."""
        self._update(0, maxAttempts=max(ATTEMPTS))
        routes = list(self._fleet.routes[:3])
        changes = [
            self._change_field,
            self._change_attempts,
            self._change_attempts,
            self._change_resumable,
            self._change_resumable,
            self._change_service,
            self._change_limits,
            self._change_team,
            self._drop_route,
            self._regions.change,
        ]
        try:
            while True:
                for _ in range(self._random.randint(1, MAX_SERIES_LENGTH)):
                    self._fleet.dropped_routes.clear()
                    self._random.choice(changes)()
                    self._fleet.configure()
                    await curio.sleep(
                        self._random.uniform(MIN_INTERVAL_S, MAX_INTERVAL_S)
                    )
                self._restore(routes)
                await curio.sleep(self._random.uniform(0.0, MAX_REST_S))
        finally:
            self._restore(routes)

    def _restore(self, routes: list[dict[str, Any]]) -> None:
        self._fleet.dropped_routes.clear()
        self._fleet.routes[:3] = routes
        self._fleet.team_regions, self._fleet.regions_by_route = (), {}
        self._fleet.configure()

    def _change_field(self) -> None:
        field = self._random.choice(sorted(VALUES_BY_FIELD))
        number = self._random.randrange(3)
        self._update(number, **{field: self._random.choice(VALUES_BY_FIELD[field])})

    def _change_attempts(self) -> None:
        """Change how many engines a stream may reach."""
        current = self._fleet.routes[0]["maxAttempts"]
        others = [number for number in ATTEMPTS if number != current]
        self._update(0, maxAttempts=self._random.choice(others))

    def _change_resumable(self) -> None:
        self._update(0, resumable=not self._fleet.routes[0]["resumable"])

    def _change_service(self) -> None:
        """Move a route to the other plain service, or split it between both."""
        weight = self._random.randint(0, WEIGHT_SUM)
        shares = {ORDERS: weight, RETURNS: WEIGHT_SUM - weight}
        backends = [{"service": name, "weight": shares[name]} for name in shares]
        self._update(self._random.choice((1, 2)), service="", backends=backends)

    def _change_limits(self) -> None:
        self._fleet.limits = {"idleTimeoutMs": self._random.randint(5_000, 15_000)}
        service = self._random.choice(self._fleet.services)
        service["maxConnections"] = self._random.randint(16, 64)

    def _change_team(self) -> None:
        self._fleet.team_priority = self._random.randrange(3)

    def _drop_route(self) -> None:
        """Leave out a route until the next configuration."""
        self._fleet.dropped_routes.add(self._random.choice(("talk", "order")))

    def _update(self, number: int, **fields: object) -> None:
        route = self._fleet.routes[number]
        self._fleet.routes[number] = {**route, **fields}
