"""Helpers to start small fleets and send calls in multi-process tests."""

import threading
from typing import Any

import msgspec

from tamaracktray_emulator.launcher import (
    AgentPlan,
    EntryPlan,
    Fleet,
    HttpAnswer,
    call,
    wait_until,
)

MODEL = "kiln"
SERVICE = "orders"
WEIGHT_BYTES = 1_048_576
CHUNK_BYTES = 65_536


def model_agent(name: str, zone: str = "zone-a", region: str = "region-a", **sections):
    return AgentPlan(name, zone, region, MODEL, options=sections)


def service_agent(
    name: str, zone: str = "zone-a", region: str = "region-a", **sections
):
    return AgentPlan(name, zone, region, SERVICE, kind="services", options=sections)


def start_fleet(
    fleet: Fleet,
    agents: list[AgentPlan],
    entries: list[EntryPlan],
    *,
    behavior: dict[str, Any] | None = None,
    origin_options: list[str] | None = None,
) -> None:
    """Start all processes and declare the model and the zones."""
    fleet.start_platform(origin_options=origin_options)
    for plan in agents:
        fleet.start_endpoint(plan, behavior or {})
        fleet.start_agent(plan)
    for plan in entries:
        fleet.start_entry(plan)
    fleet.publish_instances()
    entry = entries[0].name
    wait_until(lambda: put(fleet, entry, "models", MODEL, {}).status == 200)
    zones = {plan.zone: plan.region for plan in [*agents, *entries]}
    for zone, region in zones.items():
        put(fleet, entry, "zones", zone, {"region": region})


def put(
    fleet: Fleet, entry: str, kind: str, name: str, spec: dict, version: int = 0
) -> HttpAnswer:
    document = {"kind": kind, "name": name, "spec": spec, "resource_version": version}
    api = fleet.api_by_name[entry]
    return call(api, "PUT", f"/api/v1/{kind}/{name}", document)


def get(fleet: Fleet, entry: str, path: str) -> Any:
    return call(fleet.api_by_name[entry], "GET", f"/api/v1/{path}").json()


def change(fleet: Fleet, entry: str, kind: str, name: str, **fields: Any) -> HttpAnswer:
    """Change fields of a resource's spec, based on its current version."""
    current = get(fleet, entry, f"{kind}/{name}")
    spec = {**current["spec"], **fields}
    return put(fleet, entry, kind, name, spec, current["resource_version"])


def declare_version(fleet: Fleet, entry: str, name: str, **order: int) -> str:
    """Generate weights and declare them as a version; return the manifest digest."""
    document = {
        "seed": 1,
        "total_bytes": WEIGHT_BYTES,
        "chunk_bytes": CHUNK_BYTES,
        **order,
    }
    origin = fleet.address_by_name["origin"]
    manifest = call(origin, "POST", "/versions", document).json()["manifest"]
    put(fleet, entry, "versions", name, {"model": MODEL, "manifest": manifest})
    return manifest


def count_serving(fleet: Fleet, entry: str, version: str) -> int:
    items = get(fleet, entry, "endpoints")["items"]
    return sum(
        item["spec"]["version"] == version and item["spec"]["phase"] == "serving"
        for item in items
    )


def roll_out(fleet: Fleet, entry: str, version: str, count: int, **spec: Any) -> float:
    """Start a rollout and wait until ``count`` endpoints serve the version."""
    document = {"model": MODEL, "version": version, **spec}
    answer = put(fleet, entry, "rollouts", f"to-{version}", document)
    assert answer.status == 200, answer.body
    return wait_until(
        lambda: count_serving(fleet, entry, version) >= count,
        30.0,
        f"{count} replicas of {version}",
    )


def complete(fleet: Fleet, entry: str, prompt: str, **fields: Any) -> HttpAnswer:
    document = {"prompt": prompt, "max_tokens": 5, "stream": True, **fields}
    address = fleet.address_by_name[entry]
    return call(address, "POST", f"/models/{MODEL}/v1/completions", document)


def is_whole(answer: HttpAnswer, prompt: str, count: int = 5) -> bool:
    text = answer.body.decode()
    return (
        answer.status == 200
        and text.count(f'"{prompt}:') == count
        and text.endswith("data: [DONE]\n\n")
    )


def order(
    fleet: Fleet, entry: str, key: str = "", body: Any = None, **headers: str
) -> HttpAnswer:
    address = fleet.address_by_name[entry]
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    if key:
        named["Idempotency-Key"] = key
    document = body or {"item": "bread"}
    return call(address, "POST", f"/services/{SERVICE}/place", document, named)


def read_log(fleet: Fleet, agent: str) -> dict[str, Any]:
    return call(fleet.endpoint_by_name[agent], "GET", "/log").json()


def set_faults(fleet: Fleet, **faults: Any) -> None:
    call(fleet.address_by_name["object-api"], "PUT", "/faults", faults)


def set_behavior(fleet: Fleet, agent: str, **behavior: Any) -> None:
    call(fleet.endpoint_by_name[agent], "PUT", "/behavior", behavior)


class Background:
    """Runs a function in a thread and stores its result or error."""

    def __init__(self, function: Any, *args: Any, **named: Any) -> None:
        self.result: Any = None
        self.error: Exception | None = None
        self._thread = threading.Thread(
            target=self._run, args=(function, args, named), daemon=True
        )
        self._thread.start()

    def _run(self, function: Any, args: tuple, named: dict) -> None:
        try:
            self.result = function(*args, **named)
        except Exception as error:
            self.error = error

    def join(self, timeout_s: float = 30.0) -> Any:
        self._thread.join(timeout_s)
        return self.result


def decode_error(answer: HttpAnswer) -> dict[str, Any]:
    return msgspec.json.decode(answer.body)["error"]


class Callers:
    """Threads that send prompts to the entries in turn until stopped."""

    def __init__(self, fleet: Fleet, entries: list[str], count: int, **fields: Any):
        self.answers: list[tuple[str, HttpAnswer | None]] = []
        self._fleet = fleet
        self._entries = entries
        self._fields = fields
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True)
            for number in range(count)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        self._stopped.set()
        for thread in self._threads:
            thread.join(30.0)

    def _run(self, number: int) -> None:
        turn = 0
        while not self._stopped.is_set():
            turn += 1
            prompt = f"p{number}-{turn}"
            entry = self._entries[(number + turn) % len(self._entries)]
            try:
                answer = complete(self._fleet, entry, prompt, **self._fields)
            except OSError:
                answer = None
            self.answers.append((prompt, answer))

    def list_broken(self, count: int = 5) -> list[str]:
        """Return the prompts whose answer is neither complete nor a valid refusal."""
        broken = []
        for prompt, answer in self.answers:
            if answer is None:
                broken.append(f"{prompt}: cut")
                continue
            if answer.status == 200 and not is_whole(answer, prompt, count):
                broken.append(f"{prompt}: not whole")
            if answer.status != 200 and "run" not in decode_error(answer):
                broken.append(f"{prompt}: unclear")
        return broken

    def count_whole(self) -> int:
        return sum(
            answer is not None and answer.status == 200 for _, answer in self.answers
        )
