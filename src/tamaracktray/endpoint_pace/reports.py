"""Load of an engine, read from its report or from its agent's status."""

import math

import msgspec

from tamaracktray.beacons import EndpointStatus
from tamaracktray.endpoint_pace.levels import USUAL_PACE, is_valid_pace
from tamaracktray.engines import EngineReport


class EngineLoad(msgspec.Struct, frozen=True):
    """Load of an engine.

    ``running`` and ``queued`` count requests. ``kv_used_share`` is the used share of
    the memory for tokens.
    """

    pace: float = USUAL_PACE
    running: int = 0
    queued: int = 0
    kv_used_share: float = 0.0


def measure_share(used: int, total: int) -> float:
    """Return the used share of an engine's memory, 0 if its size is unknown."""
    return used / total if total > 0 else 0.0


def read_engine_load(report: EngineReport) -> EngineLoad:
    """Return the load in an engine's report; invalid values count as unknown.

    Entries reject a beacon with an invalid value, and with it the engine's versions.
    """
    pace, share = report.pace, report.kv_used_share
    return EngineLoad(
        pace if is_valid_pace(pace) else USUAL_PACE,
        max(report.running, 0),
        max(report.queued, 0),
        share if math.isfinite(share) and share >= 0 else 0.0,
    )


def read_status_load(status: EndpointStatus) -> EngineLoad:
    """Return the load in an agent's status, whose values have been checked."""
    return EngineLoad(status.pace, status.running, status.queued, status.kv_used_share)
