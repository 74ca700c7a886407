"""The store comes back from an older copy; later changes are then ignored."""

import asyncio
import time

from common.fleet import KEY_TENANT, Client, Fleet
from common.main import run_case
from common.restoring import restore
from common.scenes import SERVICE, ZONES, build_route, build_service
from common.worker import Worker

KEPT_KEY, REVOKED_KEY = "kept-key-0001", "revoked-key-0001"
CHANGES = 4
CHANGE_GAP_S = 1.2
STARTED_COLD_MS = 3_000
CALM_S = 8.0
APPLY_S = 3.0
DRAIN_S = 3.0
WATCHED_S = 9.0
REQUEST_GAP_S = 0.1
MIN_SERVED = 40


async def run(fleet: Fleet, has_trouble: bool) -> list[str]:
    """Play the case and return the breaks of CONFIG and DRAIN."""
    await fleet.open_store()
    fleet.routes = [build_route("slots")]
    fleet.services = [build_service()]
    tenant = {"name": KEY_TENANT, "apiKeys": [KEPT_KEY, REVOKED_KEY], "priority": 2}
    fleet.tenants = [tenant]
    for number, zone in enumerate(ZONES):
        await fleet.add_worker(Worker(f"i-{number}", SERVICE, zone, fleet.record))
        fleet.add_entry(zone)
    fleet.configure()
    await fleet.start()
    client = Client(fleet.record)
    sent_at_by_id: dict[str, float] = {}
    key_by_id: dict[str, str] = {}

    async def send_steadily() -> None:
        number = 0
        while True:
            number += 1
            entry = fleet.entries[number % len(fleet.entries)]
            for key in (KEPT_KEY, REVOKED_KEY):
                request_id = client.next_id()
                key_by_id[request_id] = key
                sent_at_by_id[request_id] = time.monotonic()
                target = f"/slots/{number}"
                sending = client.send(entry, target, key=key, request_id=request_id)
                tasks.add(asyncio.create_task(sending))
            await asyncio.sleep(REQUEST_GAP_S)

    tasks: set[asyncio.Task] = set()
    traffic = asyncio.create_task(send_steadily())
    await asyncio.sleep(3.0)
    served = sum(len(worker.runs) for worker in fleet.workers.values())
    if served < MIN_SERVED:
        raise RuntimeError(f"only {served} requests ran before the disruption")
    copy = fleet.store.copy()
    fleet.record("the store's copy is made")
    added = Worker("i-3", SERVICE, ZONES[0], fleet.record)
    await fleet.add_worker(added)
    for number in range(CHANGES):
        # A worker that has just started writes at each heartbeat how long it is cold.
        cold_ms = max(STARTED_COLD_MS - int(number * CHANGE_GAP_S * 1_000), 0)
        entry = added.describe(coldRemainingMs=cold_ms)
        fleet.store.write("servers", added.name, entry)
        # Time-outs change, as in the plan entry config_change of the days.
        fleet.routes = [build_route("slots", timeoutMs=1_210 + 10 * number)]
        fleet.configure()
        await asyncio.sleep(CHANGE_GAP_S)
    if has_trouble:
        await restore(fleet, copy)
    await asyncio.sleep(CALM_S)
    fleet.tenants = [{**tenant, "apiKeys": [KEPT_KEY]}]
    fleet.configure()
    revoked_at = time.monotonic()
    fleet.record("operator: the key is revoked")
    await asyncio.sleep(0.5)
    leaving = fleet.workers["i-0"]
    fleet.store.write("servers", leaving.name, leaving.describe(state="draining"))
    drained_at = time.monotonic()
    fleet.record(f"{leaving.name}: reports draining, at {fleet.store.revision}")
    await asyncio.sleep(WATCHED_S)
    traffic.cancel()
    await asyncio.gather(*tasks)
    breaks: list[str] = []
    for worker in fleet.workers.values():
        for item in worker.runs:
            sent_at = sent_at_by_id[item.request_id]
            since_revoked_s = sent_at - revoked_at
            is_revoked = key_by_id[item.request_id] == REVOKED_KEY
            if is_revoked and since_revoked_s > APPLY_S:
                breaks.append(
                    f"CONFIG: {item.request_id} ran at {item.worker} with a key that "
                    f"was dropped {since_revoked_s:.2f} s before it was sent"
                )
            if worker is leaving and item.at - drained_at > DRAIN_S:
                breaks.append(
                    f"DRAIN: {item.request_id} reached {item.worker} "
                    f"{item.at - drained_at:.2f} s after draining was acknowledged"
                )
    return breaks


if __name__ == "__main__":
    run_case(run)
