"""Benchmarks load, routing, distribution and admission; prints tables, writes JSON."""

import subprocess
import time
from collections.abc import Callable, Sequence
from pathlib import Path

import msgspec

from tamaracktray.routing import (
    AffinityPolicy,
    LeastLoadedPolicy,
    RoundRobinPolicy,
    RoutingPolicy,
    TwoChoicesPolicy,
)
from tamaracktray.tables import format_table
from tamaracktray.wait_queue import WaitQueue
from tamaracktray_emulator.admission import (
    AdmissionExperiment,
    AdmissionPlan,
    FirstComeQueue,
    NoQueue,
)
from tamaracktray_emulator.distribution import (
    POLICIES,
    DistributionPlan,
    DistributionReport,
    OriginDistribution,
    PlannerDistribution,
)
from tamaracktray_emulator.experiment import (
    DirectExperiment,
    EndpointModel,
    Experiment,
    LoadPlan,
    LoadReport,
    SystemExperiment,
    compute_capacity,
)

DISTRIBUTION_SIZES = (8, 80, 330)
MAX_INSTANCES_FROM_ORIGIN = 80
LOADS = (0.5, 1.0, 1.5, 2.0, 3.0)
ROUTING_MODEL = EndpointModel(
    first_byte_s=0.2,
    cached_first_byte_s=0.03,
    stream_s=0.3,
    cache_size=24,
    cold_bound=4,
)
ROUTING_PLAN = LoadPlan(rate=160.0, endpoints=8, prefixes=120, model=ROUTING_MODEL)
ROUTING_POLICIES: dict[str, type[RoutingPolicy]] = {
    "affinity": AffinityPolicy,
    "two choices": TwoChoicesPolicy,
    "least loaded": LeastLoadedPolicy,
    "round robin": RoundRobinPolicy,
}


# Throughput of one simulated engine with a full batch, in calls per second.
ENGINE_CALLS_PER_S = 11.5

ADMISSION_LOADS = (0.8, 1.0, 1.4)
ADMISSION_DURATION_S = 12.0
NO_LIMIT_WINDOW = 48


class FleetSize(msgspec.Struct, frozen=True):
    """Numbers of entries and engines; an engine runs ``batch`` calls at a time."""

    entries: int
    engines: int
    batch: int


ADMISSION_SIZES = (FleetSize(4, 8, 16), FleetSize(16, 29, 12))


class AdmissionRow(msgspec.Struct, frozen=True):
    """Results of one admission variant, as shares; times in seconds."""

    name: str
    entries: int
    engines: int
    load: float
    worth: float
    in_time: float
    served: float
    first_part_p95: float


class BenchRow(msgspec.Struct, frozen=True):
    """Results of one experiment; rates per second, times in seconds."""

    name: str
    load: float
    asked: int
    goodput: float
    p95_s: float
    refused: int
    lost: int
    falls: int
    attempts_per_request: float
    hit_rate: float
    busiest_share: float
    smallest_team_share: float


def measure_load(load: float) -> list[BenchRow]:
    """Compare the system with both baselines at a multiple of its capacity."""
    capacity = compute_capacity(LoadPlan(rate=1.0))
    plan = LoadPlan(rate=load * capacity)
    variants: dict[str, Callable[[], Experiment]] = {
        "system": lambda: SystemExperiment(plan),
        "round robin, no gate": lambda: DirectExperiment(plan, is_least_loaded=False),
        "least loaded, no gate": lambda: DirectExperiment(plan, is_least_loaded=True),
    }
    return [
        build_row(name, load, plan, make().run()) for name, make in variants.items()
    ]


def measure_routing(report_loss: float) -> list[BenchRow]:
    """Compare the routing policies over endpoints with limited prefix caches."""
    plan = msgspec.structs.replace(ROUTING_PLAN, report_loss=report_loss)
    return [
        build_row(name, report_loss, plan, SystemExperiment(plan, policy).run())
        for name, policy in ROUTING_POLICIES.items()
    ]


def measure_distribution(instances: int) -> list[DistributionReport]:
    """Compare the planner with the baselines, and run the planner with faults."""
    plan = DistributionPlan(instances)
    reports = [
        policy(plan).run()
        for policy in POLICIES
        if policy is not OriginDistribution or instances <= MAX_INSTANCES_FROM_ORIGIN
    ]
    faulty = msgspec.structs.replace(plan, killed=3, stalled=1, corrupt_share=0.01)
    report = PlannerDistribution(faulty).run()
    return [*reports, msgspec.structs.replace(report, policy="planner with faults")]


def measure_admission(size: FleetSize) -> list[AdmissionRow]:
    """Compare the admission control of the entries with simpler variants."""
    variant_options: dict[str, tuple[type[WaitQueue], dict[str, object]]] = {
        "system": (WaitQueue, {}),
        "every engine shared": (WaitQueue, {"has_homes": False}),
        "no line": (NoQueue, {}),
        "first come": (FirstComeQueue, {}),
        "no window": (WaitQueue, {"window": NO_LIMIT_WINDOW}),
    }
    rows: list[AdmissionRow] = []
    for name, (queue_type, fields) in variant_options.items():
        for load in ADMISSION_LOADS:
            options = {"window": size.batch, **fields}
            plan = AdmissionPlan(
                rate=load * size.engines * ENGINE_CALLS_PER_S,
                engines=size.engines,
                entries=size.entries,
                batch=size.batch,
                duration_s=ADMISSION_DURATION_S,
                **options,
            )
            report = AdmissionExperiment(plan, queue_type).run()
            rows.append(
                AdmissionRow(
                    name,
                    size.entries,
                    size.engines,
                    load,
                    report.worth,
                    report.in_time,
                    report.served,
                    round(report.first_part_p95, 3),
                )
            )
    return rows


def build_row(name: str, load: float, plan: LoadPlan, report: LoadReport) -> BenchRow:
    """Build the table row of one report."""
    shares = [
        report.answered_by_team.get(team, 0) / asked
        for team, asked in report.asked_by_team.items()
    ]
    return BenchRow(
        name,
        load,
        report.asked,
        round(report.answered_in_time / plan.measured_s, 1),
        round(report.percentile(0.95), 3),
        report.refused,
        report.lost,
        report.falls,
        round(report.attempts / max(report.asked, 1), 3),
        round(report.cache_hits / max(report.runs, 1), 3),
        round(report.busiest_share, 3),
        round(min(shares, default=0.0), 3),
    )


def run_bench(directory: Path) -> None:
    """Run all measurements, print tables and write the results to a JSON file."""
    load_rows = [row for load in LOADS for row in measure_load(load)]
    routing_rows = [row for loss in (0.0, 0.5) for row in measure_routing(loss)]
    print("Load as a multiple of capacity; 4 endpoints, 3 entries, 10 teams")
    print(_format_rows(load_rows))
    print("Routing with limited prefix caches; load is the share of lost load reports")
    print(_format_rows(routing_rows))
    distribution_rows = [
        report for size in DISTRIBUTION_SIZES for report in measure_distribution(size)
    ]
    print("Distribution in rounds; amounts in copies of the version")
    print(_format_rows(distribution_rows))
    admission_rows = [
        row for size in ADMISSION_SIZES for row in measure_admission(size)
    ]
    print("Admission control for model engines; load as a multiple of their throughput")
    print(_format_rows(admission_rows))
    commit = _read_commit()
    document = {
        "commit": commit,
        "measured_unix_s": int(time.time()),
        "load": msgspec.to_builtins(load_rows),
        "routing": msgspec.to_builtins(routing_rows),
        "admission": msgspec.to_builtins(admission_rows),
        "distribution": msgspec.to_builtins(distribution_rows),
    }
    directory.mkdir(parents=True, exist_ok=True)
    path = directory / f"{commit}.json"
    path.write_bytes(msgspec.json.format(msgspec.json.encode(document)) + b"\n")
    print(f"results written to {path}")


def _format_rows(rows: Sequence[msgspec.Struct]) -> str:
    header = [field.name for field in msgspec.structs.fields(rows[0])]
    cells = [
        [str(value) for value in msgspec.to_builtins(row).values()] for row in rows
    ]
    return format_table(header, cells)


def _read_commit() -> str:
    finished = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"],
        capture_output=True,
        text=True,
        check=False,
    )
    return finished.stdout.strip() or "unknown"
