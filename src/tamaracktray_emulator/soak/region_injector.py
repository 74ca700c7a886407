"""Changes the home regions of team and routes."""

import curio

from tamaracktray_emulator.soak.fleet import REGION_BY_ZONE, SoakFleet, build_random

# Maximum number of changes in a series, and the longest pause between two in seconds.
MAX_SERIES_LENGTH = 3
MAX_PAUSE_S = 1.0

# Rest after a series, in seconds, which lets the last change become due.
MIN_REST_S = 1.0
MAX_REST_S = 7.0

TEAM_SHARE = 0.5
REGIONS = sorted(set(REGION_BY_ZONE.values()))


class RegionInjector:
    """Writes configurations in which team or routes have other home regions."""

    def __init__(self, fleet: SoakFleet) -> None:
        self._fleet = fleet
        self._random = build_random(fleet.plan, "regions")

    async def run(self) -> None:
        """Change regions in series until cancelled."""
        while True:
            for _ in range(self._random.randint(1, MAX_SERIES_LENGTH)):
                self.change()
                await curio.sleep(self._random.uniform(0.0, MAX_PAUSE_S))
            await curio.sleep(self._random.uniform(MIN_REST_S, MAX_REST_S))

    def change(self) -> None:
        """Give the team or a route another region, or none."""
        fleet = self._fleet
        choices = [(), *((region,) for region in REGIONS)]
        if self._random.random() < TEAM_SHARE:
            choices.remove(fleet.team_regions)
            fleet.team_regions = self._random.choice(choices)
        else:
            name = self._random.choice([item["name"] for item in fleet.routes[:3]])
            choices.remove(fleet.regions_by_route.get(name, ()))
            fleet.regions_by_route[name] = self._random.choice(choices)
        self._configure()

    def move_team(self) -> None:
        """Give the team a region other than its present one."""
        choices = [(item,) for item in REGIONS if (item,) != self._fleet.team_regions]
        self._fleet.team_regions = self._random.choice(choices)
        self._configure()

    def _configure(self) -> None:
        fleet = self._fleet
        for name, regions in fleet.regions_by_route.items():
            # Both bind, so different regions would leave none.
            if fleet.team_regions and regions != fleet.team_regions:
                fleet.regions_by_route[name] = ()
        fleet.configure()
