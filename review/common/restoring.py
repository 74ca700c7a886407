"""Restores the store from an older copy, after the page about such drills."""

import asyncio

from common.fleet import Fleet

AWAY_S = 0.5


async def restore(fleet: Fleet, copy: tuple) -> None:
    """Let the store be away for a moment and come back from its copy."""
    objects = dict(fleet.store.objects)
    revision = fleet.store.revision
    fleet.record(f"the store is away, at revision {revision}")
    fleet.store.go_away()
    await asyncio.sleep(AWAY_S)
    fleet.store.come_back(copy)
    # The operator and the workers write their newest state again.
    for (kind, name), item in objects.items():
        if kind in ("config", "servers", "evacuations", "versions"):
            fleet.store.write(kind, name, item["spec"])
    fleet.record(
        f"the store is back, era {fleet.store.era}, at revision {fleet.store.revision}"
    )
