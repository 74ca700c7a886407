"""Settings of processes that follow the platform's store."""

from pathlib import Path
from typing import Annotated

import msgspec
from returns.result import Result

from tamaracktray.exceptions import SettingsError
from tamaracktray.sections import (
    ADDRESS,
    ADDRESS_LIST,
    ADDRESS_OR_EMPTY,
    LEVEL,
    NAME,
    count_meta,
    meta,
    seconds_meta,
)
from tamaracktray.settings import read_sections
from tamaracktray.types import Address, Role

MS_PER_S = 1_000.0


class NodeIdentitySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The process and where it runs."""

    role: Annotated[Role, meta("Role of the process.")]
    name: Annotated[str, meta("Unique name of the process.", pattern=NAME)]
    zone: Annotated[str, meta("Availability zone of the instance.", pattern=NAME)]
    regions: Annotated[
        str, meta("All availability zones with their regions.", "zone=region, ...")
    ]
    ip: Annotated[str, meta("Address of the instance.", "IP", pattern=r"^[0-9.]+$")]


class ListenSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses on which the process listens."""

    peer_ports: Annotated[
        str,
        meta("Ports for peers.", "first, last", pattern=r"^[0-9]+ *, *[0-9]+$"),
    ]
    callers: Annotated[
        str, meta("Address for callers.", "IP:port", pattern=ADDRESS_OR_EMPTY)
    ] = ""
    readiness: Annotated[
        str, meta("Address of /readyz.", "IP:port", pattern=ADDRESS_OR_EMPTY)
    ] = ""
    metrics_port: Annotated[
        int, count_meta("Port of /metrics; 0 for none.", "port", 0, 65_535)
    ] = 0


class StoreSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The platform's store."""

    address: Annotated[str, meta("Address.", "IP:port", pattern=ADDRESS)]
    timeout_s: Annotated[float, seconds_meta("Timeout of a call.", 0.1, 60.0)] = 1.5
    watch_s: Annotated[float, seconds_meta("Longest watch.", 1.0, 30.0)] = 30.0
    probe_s: Annotated[
        float,
        seconds_meta(
            "Longest watch of the configuration, which also detects watches that the "
            "store no longer answers.",
            0.5,
            30.0,
        ),
    ] = 1.2


class NodePeerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Communication between the processes."""

    seeds: Annotated[
        str,
        meta(
            "Entries to ask during an outage of the store; their ports are ignored.",
            "IP:port, separated by commas",
            pattern=ADDRESS_LIST,
        ),
    ] = ""
    beacon_s: Annotated[
        float, seconds_meta("Time between beacons under load.", 0.01, 10.0)
    ] = 0.05
    link_mbps: Annotated[
        float,
        meta("Bandwidth of the instance's link; 0 if unknown.", "Mbit/s", ge=0, le=1e6),
    ] = 0.0


class EngineSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The model engine on an agent's instance."""

    address: Annotated[
        str, meta("Address of the engine.", "IP:port", pattern=ADDRESS_OR_EMPTY)
    ] = ""
    service: Annotated[str, meta("Service to which the engine belongs.")] = ""
    report_s: Annotated[
        float, seconds_meta("Time between reads of the load report.", 0.05, 60.0)
    ] = 0.25


class BoundSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds for the whole fleet, set by the operators.

    ``contact_ms`` is the time without failures after which a process counts as
    connected. ``version_ms`` is the longest time from the announcement of a version to
    the last call on an older one.
    """

    contact_ms: Annotated[
        float,
        meta("Time without failures to count as connected.", "ms", ge=0, le=600_000),
    ] = 3_000.0
    heartbeat_ms: Annotated[
        float,
        meta("Time between an endpoint's heartbeats.", "ms", ge=1, le=600_000),
    ] = 1_200.0
    version_ms: Annotated[
        float, meta("Longest duration of a rollout.", "ms", ge=0, le=3_600_000)
    ] = 8_000.0
    grace_s: Annotated[
        float, seconds_meta("Time from SIGTERM to SIGKILL.", 0.5, 600.0)
    ] = 8.0
    repeat_ratio: Annotated[float, meta("Retries allowed per call.", ge=0, le=10)] = 0.2
    repeat_window_s: Annotated[
        float, seconds_meta("Time window of the retry budget.", 1, 600)
    ] = 10.0
    repeat_reserve: Annotated[
        float, meta("Retries allowed beyond the ratio.", "calls", ge=0, le=1e6)
    ] = 100.0
    cold_burst: Annotated[
        float,
        meta("Calls to a cold endpoint beyond its rate.", "calls", ge=0, le=1e6),
    ] = 5.0
    answer_bytes: Annotated[
        int,
        meta("Largest answer that is relayed.", "bytes", ge=65_536, le=2**31),
    ] = 16_777_216
    quarantine_s: Annotated[
        float, seconds_meta("How long a crash of an endpoint counts.", 1, 86_400)
    ] = 300.0


class CallerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds of what clients make a process hold; peers have bounds of their own."""

    held_bytes: Annotated[
        int,
        meta("Memory for callers' requests and answers.", "bytes", ge=2**20, le=2**40),
    ] = 50_331_648
    connections: Annotated[
        int,
        count_meta(
            "Callers' connections; 0 for as many as descriptors allow.",
            "connections",
            0,
            1_000_000,
        ),
    ] = 0
    pipelined_bytes: Annotated[
        int,
        meta(
            "Data that is read of a connection beyond the end of its request.",
            "bytes",
            ge=1,
            le=2**30,
        ),
    ] = 32_768
    peer_held_bytes: Annotated[
        int,
        meta("Memory for peers' requests and answers.", "bytes", ge=2**20, le=2**40),
    ] = 33_554_432
    peer_connections: Annotated[
        int, count_meta("Peers' connections.", "connections", 8, 1_000_000)
    ] = 200


class NodeLogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Logging."""

    level: Annotated[
        str, meta("Least severity, from debug to error.", pattern=LEVEL)
    ] = "info"


class NodeProcessSettings(msgspec.Struct, frozen=True):
    """All settings of one process."""

    node: NodeIdentitySettings
    listen: ListenSettings
    store: StoreSettings
    peers: NodePeerSettings
    engine: EngineSettings
    bounds: BoundSettings
    logs: NodeLogSettings
    callers: CallerSettings = CallerSettings()

    @property
    def region_by_zone(self) -> dict[str, str]:
        """The region of each availability zone."""
        pairs = (pair.strip() for pair in self.node.regions.split(","))
        parts = (pair.partition("=") for pair in pairs if pair)
        return {zone.strip(): region.strip() for zone, _, region in parts}

    @property
    def peer_address(self) -> Address:
        """The address at which peers reach this process."""
        return Address(self.node.ip, self.peer_port)

    @property
    def peer_port(self) -> int:
        """The port for peers, which is the same on all instances."""
        return int(self.listen.peer_ports.partition(",")[0])

    @property
    def seed_addresses(self) -> list[Address]:
        """The peers to contact during an outage of the store, without this process."""
        texts = self.peers.seeds.replace(",", " ").split()
        addresses = [
            Address(Address.parse(text).host, self.peer_port) for text in texts
        ]
        return [address for address in addresses if address != self.peer_address]


NODE_SECTIONS: dict[str, type[msgspec.Struct]] = {
    "node": NodeIdentitySettings,
    "listen": ListenSettings,
    "store": StoreSettings,
    "peers": NodePeerSettings,
    "engine": EngineSettings,
    "bounds": BoundSettings,
    "logs": NodeLogSettings,
    "callers": CallerSettings,
}


def load_node_settings(path: Path) -> Result[NodeProcessSettings, SettingsError]:
    """Read and validate a settings file rendered from a template."""
    sections = read_sections(path, NODE_SECTIONS, is_empty_default=True)
    return sections.map(lambda values: NodeProcessSettings(**values))
