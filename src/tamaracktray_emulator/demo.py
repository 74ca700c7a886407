"""Demo of a rollout, requests and a zone change on a small fleet."""

import json
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import msgspec

from tamaracktray.tables import format_table
from tamaracktray_emulator.launcher import (
    AgentPlan,
    EntryPlan,
    Fleet,
    HttpAnswer,
    LaunchError,
    call,
    wait_until,
)

MODEL = "kiln-llm"
SERVICE = "booking-app"
ZONES = {"nairobi-a": "nairobi", "mombasa-a": "mombasa"}
WEIGHT_BYTES = 8 * 1_048_576
CHUNK_BYTES = 262_144
TIMEOUT_S = 60.0
ZONE_SETTLE_S = 3.0
REQUESTS = 30


class DemoReport(msgspec.Struct):
    """Results of the demo; ``problems`` is empty if all checks passed."""

    replicas: int = 0
    time_to_replicas_s: float = 0.0
    origin_copies: float = 0.0
    asked: int = 0
    answered: int = 0
    order_runs: int = 0
    zone_out_requests: int = 0
    problems: list[str] = []


class Demo:
    """Runs the steps of the demo against a fleet."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.report = DemoReport(problems=[])

    def start(self) -> None:
        """Start all processes and publish the instance list."""
        fleet = self._fleet
        fleet.start_platform()
        for plan in _plan_agents():
            fleet.start_endpoint(plan, {})
            fleet.start_agent(plan)
        for zone, region in ZONES.items():
            fleet.start_entry(EntryPlan(f"entry-{region}", zone, region))
        fleet.publish_instances()

    def roll_out(self) -> None:
        """Create a model and a version, and roll the version out."""
        version_request = {
            "seed": 7,
            "total_bytes": WEIGHT_BYTES,
            "chunk_bytes": CHUNK_BYTES,
        }
        origin = self._fleet.address_by_name["origin"]
        manifest = call(origin, "POST", "/versions", version_request).json()["manifest"]
        documents: list[dict[str, Any]] = [
            {"kind": "zones", "name": zone, "spec": {"region": region}}
            for zone, region in ZONES.items()
        ]
        documents.append({"kind": "models", "name": MODEL, "spec": {}})
        version = {"model": MODEL, "manifest": manifest}
        documents.append({"kind": "versions", "name": "kiln-1", "spec": version})
        path = self._fleet.directory / "resources.json"
        path.write_bytes(msgspec.json.encode(documents))
        self._run_tamaractl("apply", "-f", str(path))
        started = time.monotonic()
        self._run_tamaractl("rollout", "start", MODEL, "kiln-1")
        self._run_tamaractl("rollout", "status", "kiln-1", "--wait", "--expect", "3")
        self.report.time_to_replicas_s = time.monotonic() - started
        status = self._run_tamaractl(
            "rollout", "status", "kiln-1", "-o", "json", show=False
        )
        self.report.replicas = json.loads(status)["updated"]
        sent = call(origin, "GET", "/sent").json()["bytes"]
        self.report.origin_copies = sent / WEIGHT_BYTES

    def answer_requests(self) -> None:
        """Send streamed requests, and the same order twice."""
        for number in range(REQUESTS):
            self._complete(number)
        first = self._order("order-1")
        second = self._order("order-1")
        if first.body != second.body or second.status != 200:
            self.report.problems.append(
                "the repeated order received a different answer"
            )
        log = call(self._fleet.endpoint_by_name["service-1"], "GET", "/log").json()
        self.report.order_runs = sum(log["runs_by_key"].values())

    def take_zone_out_and_in(self) -> None:
        """Take a zone out while sending requests, then bring it back."""
        self._run_tamaractl("zone", "out", "mombasa-a")
        time.sleep(ZONE_SETTLE_S)
        before = self._count_zone_runs()
        for number in range(REQUESTS):
            self._complete(number)
        self.report.zone_out_requests = self._count_zone_runs() - before
        self._run_tamaractl("zone", "in", "mombasa-a")
        wait_until(
            self._has_zone_resumed, what="requests in mombasa-a after its return"
        )

    def check(self) -> None:
        """Add a problem to the report for each failed check."""
        report = self.report
        if report.replicas != 3:
            report.problems.append(f"{report.replicas} of 3 replicas serve")
        if report.origin_copies > 1.25:
            report.problems.append("the origin sent more than 1.25 copies")
        if report.answered != report.asked:
            report.problems.append("a request did not receive a complete answer")
        if report.order_runs != 1:
            report.problems.append(f"the order ran {report.order_runs} times")
        if report.zone_out_requests:
            report.problems.append("requests reached the zone while it was out")

    def _complete(self, number: int) -> None:
        prompt = f"vase {number}"
        document = {"prompt": prompt, "stream": True, "max_tokens": 5}
        entry = self._fleet.address_by_name[f"entry-{list(ZONES.values())[number % 2]}"]
        self.report.asked += 1
        answer = call(entry, "POST", f"/models/{MODEL}/v1/completions", document)
        text = answer.body.decode()
        is_whole = text.count(f"{prompt}:") == 5 and text.endswith("[DONE]\n\n")
        if answer.status == 200 and is_whole:
            self.report.answered += 1

    def _order(self, key: str) -> HttpAnswer:
        entry = self._fleet.address_by_name["entry-nairobi"]
        self.report.asked += 1
        answer = call(
            entry,
            "POST",
            f"/services/{SERVICE}/orders",
            {"piece": "bowl"},
            {"Idempotency-Key": key},
        )
        self.report.answered += answer.status == 200
        return answer

    def _count_zone_runs(self) -> int:
        address = self._fleet.endpoint_by_name["model-2"]
        return len(call(address, "GET", "/log").json()["runs_by_id"])

    def _has_zone_resumed(self) -> bool:
        before = self._count_zone_runs()
        for number in range(4):
            self._complete(number)
        return self._count_zone_runs() > before

    def _run_tamaractl(self, *arguments: str, show: bool = True) -> str:
        """Run ``tamaractl`` as an operator would."""
        environment = dict(os.environ)
        environment["TAMARACTL_SERVER"] = str(self._fleet.api_by_name["entry-nairobi"])
        finished = subprocess.run(
            [sys.executable, "-m", "tamaracktray.cli", *arguments],
            env=environment,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
            check=False,
        )
        if show:
            print(f"$ tamaractl {' '.join(arguments)}")
            print(finished.stdout, end="")
        if finished.returncode:
            raise LaunchError(f"tamaractl failed: {finished.stderr}")
        return finished.stdout


def _plan_agents() -> list[AgentPlan]:
    return [
        AgentPlan("model-1", "nairobi-a", "nairobi", MODEL),
        AgentPlan("model-2", "mombasa-a", "mombasa", MODEL),
        AgentPlan("model-3", "nairobi-a", "nairobi", MODEL),
        AgentPlan("service-1", "nairobi-a", "nairobi", SERVICE, kind="services"),
    ]


def _print_report(report: DemoReport) -> None:
    rows = [
        ["replicas serving", str(report.replicas)],
        ["time to them", f"{report.time_to_replicas_s:.1f} s"],
        ["origin bytes", f"{report.origin_copies:.2f} copies"],
        ["requests answered", f"{report.answered} of {report.asked}"],
        ["order executions", str(report.order_runs)],
        ["requests in the zone while out", str(report.zone_out_requests)],
    ]
    print(format_table(["WHAT", "MEASURED"], rows))
    for problem in report.problems:
        print(f"did not hold: {problem}")


def run_demo(*, keep: bool) -> int:
    """Run the demo and return the exit code."""
    with tempfile.TemporaryDirectory(prefix="tamaracktray-") as directory:
        with Fleet(Path(directory)) as fleet:
            demo = Demo(fleet)
            started = time.monotonic()
            demo.start()
            demo.roll_out()
            demo.answer_requests()
            demo.take_zone_out_and_in()
            demo.check()
            if time.monotonic() - started > TIMEOUT_S:
                demo.report.problems.append(f"the demo took more than {TIMEOUT_S:g} s")
            _print_report(demo.report)
            if keep:
                _wait_for_user(fleet)
        return 1 if demo.report.problems else 0


def _wait_for_user(fleet: Fleet) -> None:
    for name, address in sorted(fleet.address_by_name.items()):
        print(f"{name}: {address}")
    for name, address in sorted(fleet.api_by_name.items()):
        print(f"resource API of {name}: {address}")
    print("Press Ctrl-C to stop the fleet.")
    try:
        while True:
            time.sleep(1.0)
    except KeyboardInterrupt:
        print("stopping")
