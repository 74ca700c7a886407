"""An agent freezes while it checks staged pieces, and some of these turn bad."""

import asyncio
import signal
import time

from common.engine import MODEL, PIECES, Engine, Origin, build_engine_service
from common.fleet import KEY_TENANT, Fleet
from common.main import run_case
from common.scenes import ZONES, build_route
from common.traffic import Traffic

KEY = "kept-key-0001"
SERVICE = "kiln-llm"
FROZEN_S = 4.0
SPOILT_SHARE = 0.06
READ_SHARE = 0.5
WATCHED_S = 18.0
MIN_SERVED = 40
PROMPT = {
    "X-Tamaracktray-Model": MODEL,
    "X-Tamaracktray-Token-Usage": "600,60",
    "X-Tamaracktray-Prefix-Hash": "5c1e07a2:40,91bd3f06:560",
}


async def run(fleet: Fleet, has_trouble: bool) -> list[str]:
    """Play the case and return the tokens that were made with spoilt pieces."""
    await fleet.open_store()
    origin = await fleet.open_origin(Origin())
    fleet.routes = [
        build_route(
            "plan",
            "stream",
            service=SERVICE,
            timeoutMs=6_000,
            targetLatencyMs=400,
            gapTargetMs=300,
            resumable=True,
            sticky=True,
        )
    ]
    fleet.services = [
        build_engine_service(SERVICE),
        {"name": "studio-admin", "origin": origin, "zone": ZONES[1], "linkMbps": 7.3},
    ]
    fleet.tenants = [{"name": KEY_TENANT, "apiKeys": [KEY], "priority": 1}]
    engines: list[Engine] = []
    for number, zone in enumerate(ZONES):
        engine = Engine(f"i-{number}", SERVICE, zone, fleet.record)
        await fleet.add_worker(engine)
        engines.append(engine)
        fleet.add_entry(zone)
    agents = {engine.name: fleet.add_agent(engine) for engine in engines}
    fleet.configure()
    await fleet.start()
    traffic = Traffic(fleet, "plan", [KEY], extra=PROMPT)
    traffic.start()
    heartbeats = asyncio.create_task(_write_heartbeats(fleet, engines))
    await asyncio.sleep(6.0)
    served = sum(len(engine.runs) for engine in engines)
    if served < MIN_SERVED:
        raise RuntimeError(f"only {served} requests ran before the disruption")
    freezing: list[asyncio.Task] = []

    def freeze_while_checking(engine: Engine) -> None:
        if freezing or engine.reads_since_write != READ_SHARE * PIECES:
            return
        if not engine.holds_whole(2):
            return
        freezing.append(asyncio.create_task(freeze(engine)))

    async def freeze(engine: Engine) -> None:
        agent = agents[engine.name]
        agent.send(signal.SIGSTOP)
        frozen_at = time.monotonic()
        fleet.record(f"{agent.name} is frozen")
        engine.spoil(SPOILT_SHARE)
        await asyncio.sleep(frozen_at + FROZEN_S - time.monotonic())
        agent.send(signal.SIGCONT)
        fleet.record(f"{agent.name} wakes")

    if has_trouble:
        for engine in engines:
            engine.on_staged_read = freeze_while_checking
    fleet.store.write("versions", MODEL, {"model": MODEL, "version": 2})
    fleet.record("operator: version 2 is named")
    await asyncio.sleep(WATCHED_S)
    await traffic.stop()
    heartbeats.cancel()
    if has_trouble and not freezing:
        raise RuntimeError("no agent checked its staged pieces")
    if any(engine.version != 2 for engine in engines):
        fleet.record("not all workers hold version 2 at the end")
    return [
        f"WHOLE: a token was made for {token}"
        for engine in engines
        for token in engine.spoilt_tokens
    ]


async def _write_heartbeats(fleet: Fleet, engines: list[Engine]) -> None:
    while True:
        await asyncio.sleep(1.2)
        for engine in engines:
            fleet.store.write("servers", engine.name, engine.describe())


if __name__ == "__main__":
    run_case(run)
