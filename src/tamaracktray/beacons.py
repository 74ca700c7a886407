"""Beacons: small datagrams with which processes report their state to each other.

A beacon contains the complete state, so the next one replaces one that was lost.
Entries report their calls at each endpoint; agents report the status of their engine.

A process answers the beacon of a peer that knows less with its own, at most once for
each of its own states and each start of the peer. So two processes of which each knows
something newer exchange at most one answer in each direction for one change. A lost
answer is replaced by the next regular beacon.
"""

import math

import msgspec
from returns.result import Failure, Result, Success

from tamaracktray.decoding import UNREADABLE
from tamaracktray.endpoint_limits import is_valid_limit
from tamaracktray.endpoint_pace.levels import is_valid_pace
from tamaracktray.exceptions import ProtocolError
from tamaracktray.part_watch import SoundAnswer
from tamaracktray.positions import Position
from tamaracktray.snapshots import Collection
from tamaracktray.suspicions import CrashReport

MAX_BEACON_BYTES = 60_000


class EndpointStatus(msgspec.Struct, frozen=True, array_like=True):
    """Status of the engine at ``address`` from its agent, newer than the endpoint list.

    ``swap_in_s`` is the time in seconds until the engine is ordered to load another
    version, ``None`` if no swap is planned. ``start_time_ms`` is the start time of the
    engine as Unix time in milliseconds. ``pace`` is above 1 on a slow engine.
    ``running`` and ``queued`` count the engine's requests, and ``kv_used_share`` is the
    used share of its memory for tokens. Agents of earlier releases don't send these.
    """

    address: str
    is_swapping: bool
    version_by_model: dict[str, int]
    swap_in_s: float | None = None
    start_time_ms: int = 0
    pace: float = 1.0
    running: int = 0
    queued: int = 0
    kv_used_share: float = 0.0


class Beacon(msgspec.Struct, frozen=True, array_like=True):
    """State that one process reports to its peers.

    ``incarnation`` changes with every start of the process and ``number`` increases
    with every beacon. ``position_by_collection`` is the position up to which the sender
    knows each collection, ``changed_by_collection`` that of the last change; both are
    empty in the frequent load reports. ``version_floor_by_model`` are the due
    versions and ``announcement_ages_by_model`` the ages of announced versions in
    seconds. ``has_store`` is set if the sender can reach the platform's store.
    ``crash_reports`` are the requests that may have crashed endpoints, ``part_reports``
    the prompt parts, and ``sound_answers`` refute such reports. ``limits_by_endpoint``
    are the requests a second that endpoints named to the sender as their limit.
    ``routing_version`` and ``target_by_model`` are the versions of the routing table
    and the announced versions that are in force at the sender. ``is_informed`` is set
    if the sender knows what a restored store may have lost.
    """

    name: str
    incarnation: int
    number: int
    position_by_collection: dict[Collection, Position]
    changed_by_collection: dict[Collection, Position]
    in_flight_by_endpoint: dict[str, int] = {}
    status: EndpointStatus | None = None
    version_floor_by_model: dict[str, int] = {}
    announcement_ages_by_model: dict[str, list[tuple[int, float]]] = {}
    has_store: bool = True
    is_leaving: bool = False
    crash_reports: list[CrashReport] = []
    part_reports: list[CrashReport] = []
    sound_answers: list[SoundAnswer] = []
    limits_by_endpoint: dict[str, float] = {}
    routing_version: int = 0
    target_by_model: dict[str, int] = {}
    is_informed: bool = False


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Beacon)


def encode_beacon(beacon: Beacon) -> bytes:
    """Encode a beacon as a datagram."""
    return _ENCODER.encode(beacon)


def decode_beacon(data: bytes) -> Result[Beacon, ProtocolError]:
    """Decode a datagram; fail if it is unreadable or has invalid values."""
    try:
        beacon = _DECODER.decode(data)
    except UNREADABLE as error:
        return Failure(ProtocolError(f"unreadable beacon: {error}"))
    if not _is_valid(beacon):
        return Failure(
            ProtocolError(f"beacon of {beacon.name!r} has invalid times or counts")
        )
    return Success(beacon)


def _is_valid(beacon: Beacon) -> bool:
    """Return whether all times are finite and all ages and counts non-negative."""
    status = beacon.status
    if status is not None and not _is_valid_status(status):
        return False
    if any(count < 0 for count in beacon.in_flight_by_endpoint.values()):
        return False
    if not all(
        _is_duration(item.age_s)
        and _is_duration(item.run_s)
        and _is_duration(item.answered_age_s or 0.0)
        for item in beacon.crash_reports + beacon.part_reports
    ):
        return False
    if not all(_is_duration(item.age_s) for item in beacon.sound_answers):
        return False
    if not all(is_valid_limit(rate) for rate in beacon.limits_by_endpoint.values()):
        return False
    ages = beacon.announcement_ages_by_model.values()
    return all(
        math.isfinite(age_s) and age_s >= 0 for item in ages for _, age_s in item
    )


def _is_valid_status(status: EndpointStatus) -> bool:
    """Return whether all numbers are finite and the engine's load is not negative."""
    if not math.isfinite(status.swap_in_s or 0.0) or not is_valid_pace(status.pace):
        return False
    if status.running < 0 or status.queued < 0:
        return False
    return math.isfinite(status.kv_used_share) and status.kv_used_share >= 0


def _is_duration(value_s: float) -> bool:
    return math.isfinite(value_s) and value_s >= 0


class BeaconFilter:
    """Rejects beacons that are older than the newest one of the same sender."""

    __slots__ = ("_newest_by_name",)

    def __init__(self) -> None:
        self._newest_by_name: dict[str, tuple[int, int]] = {}

    def accept(self, beacon: Beacon) -> bool:
        """Return whether a beacon is the newest of its sender's current incarnation."""
        known = self._newest_by_name.get(beacon.name)
        is_same_incarnation = known is not None and known[0] == beacon.incarnation
        if is_same_incarnation and known[1] >= beacon.number:
            return False
        self._newest_by_name[beacon.name] = (beacon.incarnation, beacon.number)
        return True


class BeaconAnswers:
    """Decides which beacons of peers are answered."""

    __slots__ = ("_told_by_name",)

    def __init__(self) -> None:
        self._told_by_name: dict[str, tuple[int, dict[Collection, Position]]] = {}

    def take(
        self, beacon: Beacon, changed_by_collection: dict[Collection, Position]
    ) -> bool:
        """Return whether to tell a beacon's sender the positions of the last changes.

        It is told each state once.
        """
        told = (beacon.incarnation, changed_by_collection)
        if self._told_by_name.get(beacon.name) == told:
            return False
        self._told_by_name[beacon.name] = told
        return True
