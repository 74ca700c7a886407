"""The part of a process that touches sockets, clocks and chance.

``Shell`` feeds events to the reducer and carries out its effects. ``EntryShell`` and
``AgentShell`` add what is particular to each role.
"""

import time
from abc import abstractmethod
from collections.abc import Awaitable, Callable
from pathlib import Path

import curio
from returns.result import Failure
from typing_extensions import override

from tamaracktray import headers as names
from tamaracktray.control import ControlClient, ControlServer, ControlSnapshot
from tamaracktray.core import ProcessState, reduce
from tamaracktray.effects import (
    Effect,
    ExchangeWithPeer,
    Exit,
    ProbePlatform,
    PublishConfiguration,
)
from tamaracktray.events import (
    Event,
    InstancesListed,
    ObjectsReceived,
    PeerHeard,
    Tick,
)
from tamaracktray.exceptions import PlatformError, RevisionExpiredError
from tamaracktray.http import Headers
from tamaracktray.instances import InstanceList
from tamaracktray.metrics import Metrics, NullMetrics, StatsdMetrics
from tamaracktray.objects import CONFIGURATION, ObjectList, ObjectStore, StoredObject
from tamaracktray.resources import Resource, decode_resource
from tamaracktray.runtime import MAX_EXIT_WAIT_S, Runtime
from tamaracktray.settings import Settings
from tamaracktray.tracing import FileTracer, NullTracer, Tracer
from tamaracktray.types import Address, Instance

TICK_S = 0.05
RETRY_MIN_S = 0.2
RETRY_MAX_S = 2.0
JITTER = 0.3


def decode_objects(items: list[StoredObject]) -> list[Resource]:
    """Return the valid resources among platform objects; others are left out."""
    resources: list[Resource] = []
    for item in items:
        document = dict(item.value) if isinstance(item.value, dict) else {}
        document["resource_version"] = item.version
        if item.deleted:
            document["deleted"] = True
        decoded = decode_resource(document)
        if isinstance(decoded, Failure):
            continue
        resources.append(decoded.unwrap())
    return resources


class Shell(Runtime):
    """Runs one process."""

    def __init__(
        self, settings: Settings, store: ObjectStore, instance_list: InstanceList
    ) -> None:
        super().__init__(build_metrics(settings))
        node = settings.node
        self.settings = settings
        self.store = store
        self.own = Instance(
            node.name,
            node.role,
            node.zone,
            node.region,
            Address.parse(node.listen),
            Address.parse(node.control),
            settings.endpoint.serves,
        )
        peers = settings.peers
        self.state = ProcessState(self.own, peers.contact_s, peers.quarantine_s)
        self.tracer = build_tracer(settings)
        self.durable_writes = 0
        self._exit_deadline = 0.0
        self._instance_list = instance_list
        self._peers_in_exchange: set[str] = set()
        self._control = ControlServer(
            self.own.control, settings.peer_key, self._build_snapshot()
        )
        self._client = ControlClient(settings.peer_key)
        self.add_performer(PublishConfiguration, self._publish)
        self.add_performer(ExchangeWithPeer, self._start_exchange)
        self.add_performer(ProbePlatform, self._start_probe)

    @abstractmethod
    def list_role_loops(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the endless tasks of the role."""

    @override
    def reduce(self, event: Event) -> list[Effect]:
        self.state, effects = reduce(self.state, event)
        return effects

    @override
    def list_loops(self) -> list[Callable[[], Awaitable[None]]]:
        return [
            self._run_ticks,
            self._run_watch,
            self._run_instances,
            self._run_inbox,
            *self.list_role_loops(),
        ]

    @override
    async def prepare(self) -> None:
        self._control.start()
        await self._publish(PublishConfiguration())

    @override
    def close(self) -> None:
        self._control.stop()
        self._client.close()
        self.tracer.close()

    def build_peer_headers(self) -> Headers:
        """Return the headers that tell a peer who is calling and what is in force."""
        headers: Headers = [
            (names.SENDER, self.own.name),
            (names.ZONE, self.own.zone),
            (names.CONTROL, str(self.own.control)),
            (names.CONFIGURATION, f"{self.state.configuration.digest:016x}"),
        ]
        if self.settings.peer_key:
            headers.append((names.PEER_KEY, self.settings.peer_key))
        return headers

    async def note_peer_headers(self, headers: dict[str, str]) -> None:
        """Follow a peer that has another configuration in force."""
        digest = headers.get(names.CONFIGURATION, "")
        if digest == f"{self.state.configuration.digest:016x}" or not digest:
            return
        try:
            control = Address.parse(headers.get(names.CONTROL, ""))
            number = int(digest, 16)
        except ValueError:
            return
        name = headers.get(names.SENDER, "")
        zone = headers.get(names.ZONE, "")
        await self.dispatch(
            PeerHeard(time.monotonic(), name, zone, number, control=control)
        )

    def _build_snapshot(self) -> ControlSnapshot:
        now = time.monotonic()
        return ControlSnapshot(
            self.own.name,
            self.own.zone,
            self.own.control,
            self.state.configuration,
            self.state.ledger.list_notes(now),
            self.state.membership.list_contacts(now),
            self.state.is_leaving,
        )

    async def _publish(self, effect: PublishConfiguration) -> None:
        self._control.snapshot = self._build_snapshot()

    @override
    async def _exit(self, effect: Exit) -> None:
        now = time.monotonic()
        self._exit_deadline = self._exit_deadline or now + MAX_EXIT_WAIT_S
        if self.durable_writes and now < self._exit_deadline:
            return
        await self.stop()

    async def _start_exchange(self, effect: ExchangeWithPeer) -> None:
        if effect.peer in self._peers_in_exchange:
            return
        self._peers_in_exchange.add(effect.peer)
        await self.spawn(self._exchange, effect.peer, effect.control)

    async def _exchange(self, peer: str, control: Address) -> None:
        self.metrics.count("exchanges")
        try:
            result = await self._client.exchange(control, self._build_snapshot())
        finally:
            self._peers_in_exchange.discard(peer)
        if isinstance(result, Failure):
            self.metrics.count("exchange_failures")
            return
        exchanged = result.unwrap()
        # Also without changes, the peer's revision tells how far this process is.
        await self.dispatch(
            ObjectsReceived(time.monotonic(), exchanged.changes, exchanged.revision)
        )
        await self.dispatch(exchanged.heard)

    async def _run_ticks(self) -> None:
        while True:
            await curio.sleep(TICK_S)
            draw = self.random.getrandbits(64)
            await self.dispatch(Tick(time.monotonic(), draw))
            self._control.snapshot = self._build_snapshot()

    async def _run_inbox(self) -> None:
        """Take in what gRPC's threads heard, and ask seeds while nothing is known."""
        inbox = self._control.inbox
        await self._ask_seeds()
        while True:
            await self.dispatch(await inbox.get())

    async def _ask_seeds(self) -> None:
        seeds = self.settings.peers.seeds.replace(",", " ").split()
        for text in seeds:
            address = Address.parse(text)
            if address != self.own.control:
                await self._start_exchange(ExchangeWithPeer(text, address))

    async def _run_watch(self) -> None:
        """Follow the configuration by one long poll after another."""
        is_listed = False
        while True:
            failure: PlatformError | None
            if not is_listed:
                failure = await self._list_objects()
                is_listed = failure is None
            else:
                failure = await self._watch_objects()
                is_listed = not isinstance(failure, RevisionExpiredError)
            if failure is None:
                continue
            self.metrics.count("platform_failures")
            if not self.state.configuration.revision:
                await self._ask_seeds()
            await curio.sleep(self.random.uniform(RETRY_MIN_S, RETRY_MAX_S))

    async def _list_objects(self) -> PlatformError | None:
        listed = await self.store.list(CONFIGURATION)
        if isinstance(listed, Failure):
            return listed.failure()
        await self._take_objects(listed.unwrap(), complete=True)
        return None

    async def _watch_objects(self) -> PlatformError | None:
        mean_s = self.settings.platform.watch_s
        timeout_s = self.random.uniform((1 - JITTER) * mean_s, (1 + JITTER) * mean_s)
        revision = self.state.configuration.revision
        watched = await self.store.watch(CONFIGURATION, revision, timeout_s)
        if isinstance(watched, Failure):
            return watched.failure()
        await self._take_objects(watched.unwrap(), complete=False)
        return None

    async def _start_probe(self, effect: ProbePlatform) -> None:
        await self.spawn(self._probe)

    async def _probe(self) -> None:
        revision = self.state.configuration.revision
        watched = await self.store.watch(CONFIGURATION, revision, 0.0)
        if isinstance(watched, Failure):
            self.metrics.count("platform_failures")
            return
        await self._take_objects(watched.unwrap(), complete=False)

    async def _take_objects(self, objects: ObjectList, *, complete: bool) -> None:
        resources = decode_objects(objects.items)
        if len(resources) < len(objects.items):
            self.metrics.count("invalid_objects", len(objects.items) - len(resources))
        await self.dispatch(
            ObjectsReceived(
                time.monotonic(), resources, objects.revision, complete, True
            )
        )

    async def _run_instances(self) -> None:
        while True:
            listed = await self._instance_list.list()
            if isinstance(listed, Failure):
                self.metrics.count("instance_list_failures")
            else:
                await self.dispatch(InstancesListed(time.monotonic(), listed.unwrap()))
            interval_s = self.settings.platform.list_interval_s
            await curio.sleep(interval_s * self.random.uniform(1 - JITTER, 1 + JITTER))


def build_metrics(settings: Settings) -> Metrics:
    """Return the metrics that the settings ask for."""
    telemetry = settings.telemetry
    if not telemetry.statsd:
        return NullMetrics()
    address = Address.parse(telemetry.statsd)
    return StatsdMetrics(address, f"{telemetry.statsd_prefix}.{settings.node.name}")


def build_tracer(settings: Settings) -> Tracer:
    """Return the tracer that the settings ask for."""
    if not settings.telemetry.trace_file:
        return NullTracer()
    return FileTracer(Path(settings.telemetry.trace_file), settings.node.name)
