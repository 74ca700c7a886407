"""Measures distribution by real agents over rate-limited loopback links.

In ``LINK_PERIOD_S`` seconds the origin's link carries ``ORIGIN_LINK_COPIES`` copies and
the link of one engine ``ENGINE_LINK_COPIES``, the same ratio as the users' links have.
"""

import tempfile
import time
from pathlib import Path

import msgspec

from tamaracktray.tables import format_table
from tamaracktray_emulator.launcher import (
    AgentPlan,
    EntryPlan,
    Fleet,
    call,
    wait_until,
)

MODEL_NAME = "kiln"
CHUNKS = 64
CHUNK_BYTES = 65_536
COPY_BYTES = CHUNKS * CHUNK_BYTES
ORIGIN_LINK_COPIES = 4.0
ENGINE_LINK_COPIES = 2.0
LINK_PERIOD_S = 40.0
REGIONS = 4
TIMEOUT_S = 180.0


class SpreadReport(msgspec.Struct, frozen=True):
    """Results of one run with real agents; amounts in copies of the version."""

    agents: int
    seconds: float
    bound_s: float
    origin_copies: float
    largest_upload: float


def run_spread(agents: int) -> SpreadReport:
    """Roll a version out to real agents and return the results."""
    with (
        tempfile.TemporaryDirectory(prefix="tamaracktray-") as directory,
        Fleet(Path(directory)) as fleet,
    ):
        _start_fleet(fleet, agents)
        _put_object(fleet, "models", MODEL_NAME, {})
        origin = fleet.address_by_name["origin"]
        version_request = {
            "seed": 1,
            "total_bytes": COPY_BYTES,
            "chunk_bytes": CHUNK_BYTES,
        }
        manifest = call(origin, "POST", "/versions", version_request).json()["manifest"]
        _put_object(
            fleet, "versions", "v1", {"model": MODEL_NAME, "manifest": manifest}
        )
        started = time.monotonic()
        _put_object(fleet, "rollouts", "r1", {"model": MODEL_NAME, "version": "v1"})
        wait_until(
            lambda: _count_serving(fleet) >= agents, TIMEOUT_S, "all replicas serving"
        )
        seconds = time.monotonic() - started
        sent = call(origin, "GET", "/sent").json()["bytes"]
        uploads = [
            call(address, "GET", "/log").json()["chunk_bytes_read"]
            for address in fleet.endpoint_by_name.values()
        ]
    # Verifying the whole version reads every chunk back once, which is not an upload.
    largest = max(uploads) / COPY_BYTES - 1.0
    return SpreadReport(
        agents,
        round(seconds, 1),
        LINK_PERIOD_S / ENGINE_LINK_COPIES,
        round(sent / COPY_BYTES, 3),
        round(largest, 3),
    )


def print_spread(sizes: list[int]) -> None:
    """Run each fleet size and print the results as a table."""
    header = [field.name for field in msgspec.structs.fields(SpreadReport)]
    rows = [
        [str(value) for value in msgspec.to_builtins(run_spread(size)).values()]
        for size in sizes
    ]
    print(format_table(header, rows))


def _start_fleet(fleet: Fleet, agents: int) -> None:
    origin_rate = ORIGIN_LINK_COPIES * COPY_BYTES / LINK_PERIOD_S
    engine_rate = ENGINE_LINK_COPIES * COPY_BYTES / LINK_PERIOD_S
    fleet.start_platform(origin_options=["--rate-bytes-s", str(origin_rate)])
    for number in range(agents):
        region_index = number % REGIONS
        plan = AgentPlan(
            f"a{number}", f"zone-{region_index}", f"region-{region_index}", MODEL_NAME
        )
        fleet.start_endpoint(plan, {"stage_bytes_s": engine_rate})
        fleet.start_agent(plan)
    fleet.start_entry(EntryPlan("entry-1", "zone-0", "region-0"))
    fleet.publish_instances()


def _put_object(fleet: Fleet, kind: str, name: str, spec: dict) -> None:
    document = {"kind": kind, "name": name, "spec": spec}
    api = fleet.api_by_name["entry-1"]
    path = f"/api/v1/{kind}/{name}"
    wait_until(lambda: call(api, "PUT", path, document).status == 200)


def _count_serving(fleet: Fleet) -> int:
    api = fleet.api_by_name["entry-1"]
    items = call(api, "GET", "/api/v1/endpoints").json()["items"]
    return sum(item["spec"]["phase"] == "serving" for item in items)
