"""Sockets, timers and background tasks of a process that follows the store."""

import socket as socket_module
import time
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path

import curio
import msgspec
from returns.result import Failure
from typing_extensions import override

from tamaracktray.beacons import Beacon, decode_beacon, encode_beacon
from tamaracktray.collection_reader import CollectionReader, StoreReadContext
from tamaracktray.decoding import decode_msgpack
from tamaracktray.deployment import Deployment
from tamaracktray.effects import Effect
from tamaracktray.engines import VersionOrigin
from tamaracktray.events import Event, Tick
from tamaracktray.exchange import fetch
from tamaracktray.http import HttpServer
from tamaracktray.http_messages import Headers, Request
from tamaracktray.logs import Logs
from tamaracktray.metrics import ExposedMetrics, Metrics, NullMetrics
from tamaracktray.node_events import (
    ApplyRouting,
    BeaconReceived,
    BroadcastBeacon,
    LogAnnouncement,
    LogDueVersion,
    PeerLost,
    PullSnapshots,
    ReadCollection,
    RelistCollections,
    SendBeacon,
    SnapshotsReceived,
)
from tamaracktray.node_reducer import reduce_node
from tamaracktray.node_servers import build_peer_server, build_polled_server
from tamaracktray.node_settings import NodeProcessSettings, load_node_settings
from tamaracktray.node_state import NodeState
from tamaracktray.peer_pulls import reads_store
from tamaracktray.peer_questions import IN_FORCE_PATH, PeerQuestions
from tamaracktray.positions import Position
from tamaracktray.responders import Responder
from tamaracktray.runtime import Runtime
from tamaracktray.snapshot_codec import decode_snapshots, encode_snapshots
from tamaracktray.snapshots import Collection
from tamaracktray.takeover import add_in_force
from tamaracktray.task_yields import LoopLag, TaskYield
from tamaracktray.types import Address

TICK_S = 0.025

# Timeouts of a whole call to a peer, its connection and the head of its answer, in
# seconds. A large configuration is slow to arrive over a link that other processes use
# as well, but a peer that is frozen accepts connections and never answers.
PEER_TIMEOUT_S = 3.0
PEER_CONNECT_S = 0.5
PEER_HEAD_S = 1.0

# Limit of concurrent pulls from peers: each answer may be as large as the
# configuration.
MAX_CONCURRENT_PULLS = 2

# Mean time between beacons while nothing changes, in seconds.
IDLE_BEACON_INTERVAL_S = 0.5

SNAPSHOTS_PATH = "/snapshots"
SERVICES = "services"
MAX_SNAPSHOT_BYTES = 16 * 1_048_576
METRICS_TYPE: Headers = [("content-type", "text/plain; version=0.0.4")]
MAX_DATAGRAM_BYTES = 65_507

# Datagrams read after which the task yields to others.
YIELD_AFTER_DATAGRAMS = 8


class NodeProcess(Runtime):
    """Runs one process that follows the platform's store.

    ``followed`` are the collections it keeps up to date, ``initial`` those it reads
    once.
    """

    followed: tuple[Collection, ...] = tuple(Collection)
    initial: tuple[Collection, ...] = ()

    # Shortest and longest delay before a failed call to the store is retried, in
    # seconds.
    store_retry_delays_s = (0.1, 0.5)

    def __init__(
        self, path: Path, settings: NodeProcessSettings, deployment: Deployment
    ) -> None:
        super().__init__(_build_metrics(settings))
        self.path = path
        self.settings = settings
        self.deployment = deployment
        self.own_address = settings.peer_address
        bounds = settings.bounds
        self.state = NodeState(
            settings.node.name,
            settings.node.role,
            settings.node.zone,
            settings.region_by_zone,
            self.followed,
            self.initial,
            now=time.monotonic(),
            version_bound_s=bounds.version_ms / 1_000.0,
            grace_s=bounds.grace_s,
            quarantine_s=bounds.quarantine_s,
            heartbeat_s=bounds.heartbeat_ms / 1_000.0,
        )
        self.store = deployment.open_store(
            Address.parse(settings.store.address), settings.store.timeout_s
        )
        self.logs: Logs | None = None
        self._reader = CollectionReader(self.build_store_read_context())
        self._incarnation = self.random.getrandbits(32)
        self._beacon_number = 0
        self._lag = LoopLag()
        self._pulls: set[Address] = set()
        self._datagrams = curio.socket.socket(
            socket_module.AF_INET, socket_module.SOCK_DGRAM
        )
        self._questions = PeerQuestions(
            self.own_address,
            settings.seed_addresses,
            lambda: self.state,
            self.dispatch,
            self.spawn,
        )
        for effect, perform in self._questions.performer_by_effect.items():
            self.add_performer(effect, perform)
        self.add_performer(ApplyRouting, self.apply_routing)
        self.add_performer(PullSnapshots, self._start_pull)
        self.add_performer(ReadCollection, self._read_collection)
        self.add_performer(RelistCollections, self._relist_collections)
        self.add_performer(SendBeacon, self._answer_beacon)
        self.add_performer(BroadcastBeacon, self._broadcast_beacon)
        self.add_performer(LogAnnouncement, self._log_announcement)
        self.add_performer(LogDueVersion, self._log_due_version)

    @override
    def reduce(self, event: Event) -> list[Effect]:
        self.state.unix_offset_s = time.time() - time.monotonic()
        self.state, effects = reduce_node(self.state, event)
        return effects

    @override
    def build_servers(self) -> list[HttpServer]:
        servers = [
            build_peer_server(self.own_address, self.handle_peer, self.settings.callers)
        ]
        port = self.settings.listen.metrics_port
        if port:
            address = Address(self.own_address.host, port)
            servers.append(build_polled_server(address, self.handle_metrics))
        return servers

    @override
    def list_loops(self) -> list[Callable[[], Awaitable[None]]]:
        return [
            self._run_datagrams,
            self._run_beacons,
            *self._questions.list_loops(self.pull_snapshots),
            *map(self._reader.build_loop, self.followed),
        ]

    @override
    def list_vital_loops(self) -> list[Callable[[], Awaitable[None]]]:
        return [self._run_ticks, *super().list_vital_loops()]

    @override
    async def prepare(self) -> None:
        self._datagrams.bind((self.own_address.host, self.own_address.port))

    @override
    async def reload(self) -> None:
        loaded = load_node_settings(self.path)
        if isinstance(loaded, Failure):
            self.log.error("settings not reloaded", error=loaded.failure().message)
            return
        self.settings = loaded.unwrap()
        self.log.info("reloaded")

    async def apply_routing(self, effect: ApplyRouting) -> None:
        """Apply the settings of a new routing table."""
        self.log.info("routing in force", version=self.state.index.table.version)

    def open_origin(self) -> VersionOrigin | None:
        """Return a client of the origin, or ``None`` while its address is unknown."""
        if self.state.index is None:
            return None
        table = self.state.index.table
        service = table.find_origin()
        if service is None or service.origin is None:
            return None
        return self.deployment.open_origin(service.origin, table.map_chunk_counts())

    async def handle_peer(self, request: Request, responder: Responder) -> None:
        """Handle a peer's request."""
        if request.path == SNAPSHOTS_PATH:
            await self._serve_snapshots(request, responder)
            return
        if request.path == IN_FORCE_PATH:
            await self._questions.serve(request, responder)
            return
        await responder.respond(404, [])

    def set_gauges(self) -> None:
        """Update the gauges before the metrics are rendered."""
        for collection in self.followed:
            snapshot = self.state.snapshot_cache.by_collection[collection]
            name = collection.value
            self.metrics.gauge("known_revision", snapshot.revision, collection=name)
        self.metrics.gauge("store_lost", float(self.state.is_store_lost))
        self.metrics.gauge("loop_lag", self._lag.take_longest())
        self.metrics.gauge("store_era", self.state.store_era.latest or 0)

    async def handle_metrics(self, request: Request, responder: Responder) -> None:
        """Respond with all metrics in the Prometheus text format."""
        self.set_gauges()
        await responder.respond(200, METRICS_TYPE, self.metrics.render())

    def build_beacon(self) -> Beacon:
        """Return a beacon with the current state of this process."""
        snapshot_cache = self.state.snapshot_cache
        beacon = msgspec.structs.replace(
            self.build_short_beacon(),
            position_by_collection=snapshot_cache.list_positions(),
            changed_by_collection=snapshot_cache.list_changed_positions(),
        )
        return add_in_force(self.state, time.monotonic(), beacon)

    def build_short_beacon(self) -> Beacon:
        """Return a beacon without the positions of the collections."""
        self._beacon_number += 1
        return Beacon(
            self.state.name,
            self._incarnation,
            self._beacon_number,
            {},
            {},
            has_store=not self.state.is_store_lost,
            is_leaving=self.state.is_leaving,
        )

    async def send_beacon(
        self, addresses: Iterable[Address], beacon: Beacon | None = None
    ) -> None:
        """Send one beacon to several peers; failures to send are only logged."""
        data = encode_beacon(beacon or self.build_beacon())
        for address in addresses:
            try:
                await self._datagrams.sendto(data, (address.host, address.port))
            except OSError as error:
                self.log.debug("beacon not sent", peer=str(address), error=str(error))

    async def broadcast_beacon(self) -> None:
        """Send a beacon to every entry."""
        members = self.state.peers.members_by_name.values()
        await self.send_beacon([member.address for member in members])

    async def note_peer_lost(self, address: Address) -> None:
        """Avoid a peer for a while because it did not answer a call."""
        self.log.info("peer lost", peer=str(address))
        await self.dispatch(PeerLost(time.monotonic(), address))

    async def _log_announcement(self, effect: LogAnnouncement) -> None:
        self.log.info(
            "version named",
            model=effect.model,
            version=effect.version,
            age_s=None if effect.age_s is None else round(effect.age_s, 3),
            source=effect.source or "store",
        )

    async def _log_due_version(self, effect: LogDueVersion) -> None:
        self.metrics.gauge("version_due", effect.version, model=effect.model)
        self.log.info("version due", model=effect.model, version=effect.version)

    async def _broadcast_beacon(self, effect: BroadcastBeacon) -> None:
        await self.broadcast_beacon()

    async def _answer_beacon(self, effect: SendBeacon) -> None:
        await self.send_beacon([effect.address])

    async def _run_beacons(self) -> None:
        while True:
            await curio.sleep(IDLE_BEACON_INTERVAL_S * self.random.uniform(0.8, 1.2))
            await self.broadcast_beacon()

    async def _run_datagrams(self) -> None:
        task_yield = TaskYield(YIELD_AFTER_DATAGRAMS)
        while True:
            await task_yield.step()
            try:
                data, sender = await self._datagrams.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError as error:
                # An earlier beacon was sent to a closed port.
                self.log.debug("peer not listening", error=str(error))
                continue
            decoded = decode_beacon(data)
            if isinstance(decoded, Failure):
                self.log.warning("beacon unreadable", sender=sender[0])
                continue
            address = Address(sender[0], sender[1])
            await self.dispatch(
                BeaconReceived(time.monotonic(), decoded.unwrap(), address)
            )

    def build_tick(self) -> Tick:
        """Return a tick for the current time."""
        return Tick(time.monotonic(), store_era=self.store.era)

    async def _run_ticks(self) -> None:
        while True:
            await self._lag.sleep(TICK_S)
            await self.dispatch(self.build_tick())
            if self.logs is not None:
                self.logs.flush()

    async def _serve_snapshots(self, request: Request, responder: Responder) -> None:
        known_positions = decode_msgpack(request.body, dict[Collection, Position])
        if isinstance(known_positions, Failure):
            await responder.respond(400, [])
            return
        newer = self.state.snapshot_cache.select_newer(known_positions.unwrap())
        await responder.respond(200, [], encode_snapshots(newer))

    async def _start_pull(self, effect: PullSnapshots) -> None:
        if len(self._pulls) >= MAX_CONCURRENT_PULLS or effect.address in self._pulls:
            return
        self._pulls.add(effect.address)
        await self.spawn(self.pull_snapshots, effect.address)

    async def pull_snapshots(self, address: Address) -> None:
        """Fetch the snapshots that are newer on a peer than here."""
        known_positions = msgspec.msgpack.encode(
            self.state.snapshot_cache.list_positions()
        )
        try:
            reply = await fetch(
                address,
                "POST",
                SNAPSHOTS_PATH,
                None,
                known_positions,
                timeout_s=PEER_TIMEOUT_S,
                connect_timeout_s=PEER_CONNECT_S,
                head_timeout_s=PEER_HEAD_S,
                max_bytes=MAX_SNAPSHOT_BYTES,
            )
        finally:
            self._pulls.discard(address)
        if isinstance(reply, Failure) or reply.unwrap().status != 200:
            self.log.info("peer unreachable", peer=str(address))
            return
        decoded = decode_snapshots(reply.unwrap().body)
        if isinstance(decoded, Failure):
            error = decoded.failure().message
            self.log.warning("answer unreadable", peer=str(address), error=error)
            return
        snapshots = decoded.unwrap()
        if snapshots:
            names = [collection.value for collection in snapshots]
            self.log.info("knowledge from peer", peer=str(address), collections=names)
        await self.dispatch(SnapshotsReceived(time.monotonic(), snapshots))

    def build_store_read_context(self) -> StoreReadContext:
        """Return the dependencies of the collection reader."""
        return StoreReadContext(
            self.store,
            lambda: self.state.snapshot_cache,
            lambda collection: reads_store(self.state, time.monotonic(), collection),
            self.dispatch,
            self.metrics,
            self.random,
            self.settings.store.watch_s,
            self.settings.store.probe_s,
            *self.store_retry_delays_s,
        )

    async def _relist_collections(self, effect: RelistCollections) -> None:
        known = {
            collection.value: f"{position.era}/{position.revision}"
            for collection, position in effect.known_by_collection.items()
        }
        self.metrics.count("store_eras")
        self.log.warning("store restored", era=effect.era, known=known)
        await self._reader.relist()

    async def _read_collection(self, effect: ReadCollection) -> None:
        await self.spawn(self._reader.read_once, effect.collection)


def _build_metrics(settings: NodeProcessSettings) -> Metrics:
    return ExposedMetrics() if settings.listen.metrics_port else NullMetrics()
