"""Measures memory, time and traffic at several sizes, for the capacity page."""

import tempfile
import time
import tracemalloc
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import msgspec

from tamaracktray.configuration import Configuration
from tamaracktray.control import (
    ControlSnapshot,
    build_exchange_reply,
    build_exchange_request,
)
from tamaracktray.events import (
    AttemptEnded,
    CrashNote,
    RequestArrived,
    Tick,
)
from tamaracktray.outcomes import AttemptPhase
from tamaracktray.resources import Kind, Resource, VersionSpec
from tamaracktray.tables import format_table
from tamaracktray.testing import (
    Driver,
    make_entry,
    make_instance,
    make_model,
    make_request,
    make_zone,
)
from tamaracktray.types import Address, Load
from tamaracktray_emulator.launcher import (
    AgentPlan,
    EntryPlan,
    Fleet,
    call,
    wait_until,
)

INSTANCE_SIZES = (100, 500, 1_530)
OBJECT_SIZES = (100, 500, 2_000)
ENDPOINT_SIZES = (8, 40, 150)
ZONE_SIZES = (3, 6, 11)
STREAM_COUNTS = (8, 24, 60)
DECISION_REPEATS = 300
IDLE_PERIOD_S = 5.0
TOKENS_PER_STREAM = 400
MEMORY_SAMPLE_DELAY_S = 1.5
MODEL_NAME = "kiln"


class Slope(msgspec.Struct, frozen=True):
    """A measurement at several sizes, with the least-squares line through it."""

    name: str
    unit: str
    per: str
    sizes: list[int]
    values: list[float]
    fixed: float
    slope: float


class StreamCost(msgspec.Struct, frozen=True):
    """Processor time (ms) and memory (MB) of relaying concurrent streams."""

    streams: int
    tokens: int
    entry_ms: float
    agent_ms: float
    entry_mb: float
    agent_mb: float


def fit_slope(
    name: str, unit: str, per: str, sizes: Sequence[int], values: Sequence[float]
) -> Slope:
    """Fit a least-squares line through the values."""
    mean_size = sum(sizes) / len(sizes)
    mean_value = sum(values) / len(values)
    spread = sum((size - mean_size) ** 2 for size in sizes)
    covariance = sum(
        (size - mean_size) * (value - mean_value)
        for size, value in zip(sizes, values, strict=True)
    )
    slope = covariance / spread
    fixed = mean_value - slope * mean_size
    rounded = [round(value, 3) for value in values]
    return Slope(
        name, unit, per, list(sizes), rounded, round(fixed, 3), round(slope, 6)
    )


def measure_all() -> list[Slope]:
    """Measure all slopes; this takes about a minute."""
    measurements: list[tuple[str, str, str, Sequence[int], Callable[[int], float]]] = [
        (
            "entry memory",
            "KB",
            "known instance",
            INSTANCE_SIZES,
            _measure_instance_memory,
        ),
        (
            "configuration memory",
            "KB",
            "object",
            OBJECT_SIZES,
            _measure_object_memory,
        ),
        ("merge of one change", "us", "object", OBJECT_SIZES, _measure_merge),
        ("tick with exchange", "us", "known instance", INSTANCE_SIZES, _measure_tick),
        (
            "decisions for a request",
            "us",
            "endpoint of the model",
            ENDPOINT_SIZES,
            _measure_decisions,
        ),
        ("exchange without news", "bytes", "zone", ZONE_SIZES, _measure_exchange),
        ("snapshot", "bytes", "object", OBJECT_SIZES, _measure_snapshot),
    ]
    slopes = [
        fit_slope(name, unit, per, sizes, [measure(size) for size in sizes])
        for name, unit, per, sizes, measure in measurements
    ]
    return slopes + measure_processes()


def measure_processes() -> list[Slope]:
    """Measure the processes of a small fleet when idle and under load."""
    with (
        tempfile.TemporaryDirectory(prefix="tamaracktray-") as directory,
        Fleet(Path(directory)) as fleet,
    ):
        _start_fleet(fleet)
        idle = _measure_idle(fleet)
        costs = [_measure_streams(fleet, count) for count in STREAM_COUNTS]
    tokens = [cost.tokens for cost in costs]
    streams = [cost.streams for cost in costs]
    relays = [
        ("entry relay, processor time", [cost.entry_ms for cost in costs]),
        ("agent relay, processor time", [cost.agent_ms for cost in costs]),
    ]
    memories = [
        ("entry, resident memory", [cost.entry_mb for cost in costs]),
        ("agent, resident memory", [cost.agent_mb for cost in costs]),
    ]
    return [
        *idle,
        *(fit_slope(name, "ms", "token", tokens, values) for name, values in relays),
        *(
            fit_slope(name, "MB", "stream", streams, values)
            for name, values in memories
        ),
    ]


def run_slopes(path: Path) -> None:
    """Measure all slopes, print them as a table and write them to ``path`` as JSON."""
    slopes = measure_all()
    rows = [
        [
            slope.name,
            slope.unit,
            slope.per,
            str(slope.sizes),
            str(slope.values),
            str(slope.fixed),
            str(slope.slope),
        ]
        for slope in slopes
    ]
    header = ["WHAT", "UNIT", "PER", "SIZES", "VALUES", "FIXED", "SLOPE"]
    print(format_table(header, rows))
    path.parent.mkdir(parents=True, exist_ok=True)
    document = msgspec.json.encode(slopes)
    path.write_bytes(msgspec.json.format(document) + b"\n")


def _make_sized_entry(count: int, serves: str = MODEL_NAME) -> Driver:
    driver = make_entry()
    driver.configure(make_model(), make_zone("zone-a", 2))
    names = [f"instance-{number}" for number in range(count)]
    driver.list_instances(make_instance(name, serves=serves) for name in names)
    return driver


def _make_objects(count: int) -> list[Resource]:
    spec = VersionSpec(MODEL_NAME, "a" * 64)
    return [
        Resource(Kind.VERSION, f"version-{number}", spec, number + 1)
        for number in range(count)
    ]


def _measure_instance_memory(count: int) -> float:
    tracemalloc.start()
    driver = _make_sized_entry(count)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size / 1000 if driver.state else 0.0


def _measure_object_memory(count: int) -> float:
    tracemalloc.start()
    configuration = Configuration().merge(_make_objects(count), count)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size / 1000 if configuration.revision else 0.0


def _measure_merge(count: int) -> float:
    configuration = Configuration().merge(_make_objects(count), count)

    def merge(number: int) -> None:
        zone = make_zone("zone-a", count + number + 1)
        configuration.merge([zone], count + number + 1)

    return _measure_cpu_us(merge, 50)


def _measure_tick(count: int) -> float:
    driver = _make_sized_entry(count)

    def tick(number: int) -> None:
        # Advance by two seconds so that every tick starts an exchange.
        driver.now += 2.0
        driver.send(Tick(driver.now, number))

    return _measure_cpu_us(tick, 50)


def _measure_decisions(count: int) -> float:
    driver = _make_sized_entry(count)

    def decide(number: int) -> None:
        now = 200.0 + number / 100
        request = make_request(f"r{number}", affinity=f"prefix-{number % 50}")
        [sent] = driver.send(RequestArrived(now, request))
        answered = AttemptPhase.ANSWERED
        load = Load(1, 0, 8)
        driver.send(AttemptEnded(now, request.id, sent.endpoint, answered, None, load))

    return _measure_cpu_us(decide, DECISION_REPEATS)


def _make_snapshot(objects: int, zones: int) -> ControlSnapshot:
    now = time.monotonic()
    contacts = {f"zone-{number}": now + 5 for number in range(zones)}
    notes = [CrashNote("f" * 32, f"m{number}", now + 60) for number in range(2)]
    configuration = Configuration().merge(_make_objects(objects), objects)
    control = Address("127.0.0.1", 7_001)
    return ControlSnapshot(
        "agent-1", "zone-1", control, configuration, notes, contacts, False
    )


def _measure_exchange(zones: int) -> float:
    now = time.monotonic()
    snapshot = _make_snapshot(10, zones)
    request = build_exchange_request(now, snapshot)
    reply = build_exchange_reply(now, snapshot, request)
    return float(request.ByteSize() + reply.ByteSize())


def _measure_snapshot(objects: int) -> float:
    now = time.monotonic()
    request = build_exchange_request(now, _make_snapshot(0, 3))
    return float(
        build_exchange_reply(now, _make_snapshot(objects, 3), request).ByteSize()
    )


def _measure_cpu_us(function: Callable[[int], object], repeats: int) -> float:
    """Return the processor time per call in microseconds, best of five runs."""
    best = float("inf")
    for _ in range(5):
        started = time.process_time()
        for number in range(repeats):
            function(number)
        best = min(best, time.process_time() - started)
    return best / repeats * 1e6


def _start_fleet(fleet: Fleet) -> None:
    fleet.start_platform()
    plan = AgentPlan(
        "agent-1",
        "zone-a",
        "region-a",
        MODEL_NAME,
        options={"endpoint": {"max_limit": "64", "cold_limit": "16"}},
    )
    behavior = {"token_s": 0.005, "cold_s": 0.0, "warm_bound": 64, "cold_bound": 64}
    fleet.start_endpoint(plan, behavior)
    fleet.start_agent(plan)
    fleet.start_entry(EntryPlan("entry-1", "zone-a", "region-a"))
    fleet.publish_instances()
    api = fleet.api_by_name["entry-1"]
    origin = fleet.address_by_name["origin"]
    version_request = {"seed": 1, "total_bytes": 100_000, "chunk_bytes": 50_000}
    manifest = call(origin, "POST", "/versions", version_request).json()["manifest"]
    specs = [
        ("models", MODEL_NAME, {}),
        ("versions", "v1", {"model": MODEL_NAME, "manifest": manifest}),
        ("rollouts", "r1", {"model": MODEL_NAME, "version": "v1"}),
    ]
    for kind, name, spec in specs:
        document = {"kind": kind, "name": name, "spec": spec}
        wait_until(
            lambda kind=kind, name=name, document=document: (
                call(api, "PUT", f"/api/v1/{kind}/{name}", document).status == 200
            )
        )
    wait_until(lambda: _request_completion(fleet, 1).status == 200)


def _request_completion(fleet: Fleet, tokens: int):
    document = {"prompt": "p", "max_tokens": tokens, "stream": True}
    path = f"/models/{MODEL_NAME}/v1/completions"
    return call(fleet.address_by_name["entry-1"], "POST", path, document)


def _measure_idle(fleet: Fleet) -> list[Slope]:
    """Return processor time and memory of idle processes, with a slope of zero."""
    slopes: list[Slope] = []
    names = ("entry-1", "agent-1")
    before = {name: fleet.read_cpu_s(name) for name in names}
    time.sleep(IDLE_PERIOD_S)
    for name in names:
        percent = (fleet.read_cpu_s(name) - before[name]) / IDLE_PERIOD_S * 100
        memory = fleet.read_memory_bytes(name) / 1e6
        for what, unit, value in (
            (f"{name} idle, processor", "% of a core", percent),
            (f"{name} idle, resident memory", "MB", memory),
        ):
            slopes.append(
                Slope(what, unit, "process", [1], [round(value, 2)], value, 0.0)
            )
    return slopes


def _measure_streams(fleet: Fleet, count: int) -> StreamCost:
    """Relay ``count`` concurrent streams and return their cost."""
    names = ("entry-1", "agent-1")
    before = [fleet.read_cpu_s(name) for name in names]
    with ThreadPoolExecutor(count) as pool:
        futures = [
            pool.submit(_request_completion, fleet, TOKENS_PER_STREAM)
            for _ in range(count)
        ]
        time.sleep(MEMORY_SAMPLE_DELAY_S)
        memory = [fleet.read_memory_bytes(name) / 1e6 for name in names]
        answers = [future.result() for future in futures]
    after = [fleet.read_cpu_s(name) for name in names]
    tokens = sum(answer.body.count(b'"text"') for answer in answers)
    entry_ms, agent_ms = (
        (end - start) * 1000 for start, end in zip(before, after, strict=True)
    )
    return StreamCost(count, tokens, entry_ms, agent_ms, memory[0], memory[1])
