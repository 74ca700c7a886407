"""What a process has in force, which the platform's store may have lost.

A store that was restored from an older copy lacks its latest changes until their
writers repeat them. The processes that ran before keep to these changes. A process that
has just started, or that was cut off, asks them.
"""

import math
import zlib

import msgspec
from returns.result import Failure, Result, Success

from tamaracktray.announcements import Ages
from tamaracktray.decoding import UNREADABLE
from tamaracktray.engines import VersionTarget
from tamaracktray.exceptions import ProtocolError
from tamaracktray.peers import Member
from tamaracktray.routes import RoutingTable
from tamaracktray.snapshot_codec import COMPRESSION_LEVEL, MAX_DECOMPRESSED_BYTES


class InForceReport(msgspec.Struct, frozen=True, array_like=True):
    """What a process has in force.

    ``is_informed`` is set if it ran before the store was restored or has heard from a
    process that did. ``settle_s`` is the time in seconds for which the store may still
    lack changes. ``table`` is left out if the asking process knows it. ``ages`` are
    those of announced versions in seconds. ``departed`` are the ids and start times of
    endpoints that have left or are leaving.
    """

    name: str
    era: int | None = None
    is_informed: bool = False
    settle_s: float = 0.0
    table: RoutingTable | None = None
    targets: list[VersionTarget] = []
    version_floor_by_model: dict[str, int] = {}
    ages: dict[str, list[tuple[int, float]]] = {}
    zones: list[str] = []
    members: list[Member] = []
    departed: list[tuple[str, int]] = []


_DECODER = msgspec.msgpack.Decoder(InForceReport)


def encode_report(report: InForceReport) -> bytes:
    """Encode and compress a report."""
    return zlib.compress(msgspec.msgpack.encode(report), COMPRESSION_LEVEL)


def decode_report(body: bytes) -> Result[InForceReport, ProtocolError]:
    """Decode a report; fail if it is unreadable or has invalid times."""
    try:
        data = zlib.decompressobj().decompress(body, MAX_DECOMPRESSED_BYTES)
        report = _DECODER.decode(data)
        for member in report.members:
            member.address.check()
    except (zlib.error, *UNREADABLE) as error:
        return Failure(ProtocolError(f"unreadable report: {error}"))
    if not math.isfinite(report.settle_s) or not _are_ages(report.ages):
        return Failure(ProtocolError(f"report of {report.name!r} has invalid times"))
    return Success(report)


def _are_ages(ages: Ages) -> bool:
    return all(
        math.isfinite(age_s) and age_s >= 0
        for versions in ages.values()
        for _, age_s in versions
    )
