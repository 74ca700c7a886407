"""Input and output of a process: sockets, clocks and random numbers.

``Shell`` passes events to the reducer and performs its effects. ``EntryShell`` and
``AgentShell`` add the parts specific to each role.
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
    PeerReported,
    Tick,
)
from tamaracktray.exceptions import PlatformError, RevisionExpiredError
from tamaracktray.http_messages import Headers
from tamaracktray.instances import InstanceList
from tamaracktray.metrics import Metrics, NullMetrics, StatsdMetrics
from tamaracktray.objects import CONFIGURATION, ObjectList, ObjectStore, StoredObject
from tamaracktray.resources import Resource, decode_resource
from tamaracktray.runtime import MAX_EXIT_WAIT_S, Runtime
from tamaracktray.settings import Settings
from tamaracktray.tracing import FileTracer, NullTracer, Tracer
from tamaracktray.types import Address, Instance

TICK_INTERVAL_S = 0.05
MIN_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 2.0
JITTER_RATIO = 0.3


def decode_objects(items: list[StoredObject]) -> list[Resource]:
    """Decode platform objects into resources, skipping invalid ones."""
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
    """Base of the entry and agent processes."""

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
        """Return the background loops of the role."""

    @override
    def reduce(self, event: Event) -> list[Effect]:
        self.state, effects = reduce(self.state, event)
        return effects

    @override
    def list_loops(self) -> list[Callable[[], Awaitable[None]]]:
        return [
            self._watch_configuration,
            self._poll_instances,
            self._dispatch_inbox,
            *self.list_role_loops(),
        ]

    @override
    def list_vital_loops(self) -> list[Callable[[], Awaitable[None]]]:
        # All deadlines are checked by ticks.
        return [self._run_ticks, *super().list_vital_loops()]

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
        """Return headers with the sender's identity and its configuration digest."""
        headers: Headers = [
            (names.SENDER, self.own.name),
            (names.ZONE, self.own.zone),
            (names.CONTROL, str(self.own.control)),
            (names.CONFIGURATION, f"{self.state.configuration.digest:016x}"),
        ]
        if self.settings.peer_key:
            headers.append((names.PEER_KEY, self.settings.peer_key))
        return headers

    async def handle_peer_headers(self, headers: dict[str, str]) -> None:
        """Dispatch ``PeerReported`` if a peer's configuration digest differs."""
        digest = headers.get(names.CONFIGURATION, "")
        if digest == f"{self.state.configuration.digest:016x}" or not digest:
            return
        try:
            control = Address.parse(headers.get(names.CONTROL, ""))
            digest_number = int(digest, 16)
        except ValueError:
            return
        name = headers.get(names.SENDER, "")
        zone = headers.get(names.ZONE, "")
        await self.dispatch(
            PeerReported(time.monotonic(), name, zone, digest_number, control=control)
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
        exchange_result = result.unwrap()
        # Even without changes, the peer's revision shows if this process is stale.
        await self.dispatch(
            ObjectsReceived(
                time.monotonic(), exchange_result.changes, exchange_result.revision
            )
        )
        await self.dispatch(exchange_result.peer_report)

    async def _run_ticks(self) -> None:
        while True:
            await curio.sleep(TICK_INTERVAL_S)
            random_value = self.random.getrandbits(64)
            await self.dispatch(Tick(time.monotonic(), random_value))
            self._control.snapshot = self._build_snapshot()

    async def _dispatch_inbox(self) -> None:
        """Contact the seed peers, then dispatch reports received by gRPC threads."""
        inbox = self._control.inbox
        await self._contact_seeds()
        while True:
            await self.dispatch(await inbox.get())

    async def _contact_seeds(self) -> None:
        seeds = self.settings.peers.seeds.replace(",", " ").split()
        for text in seeds:
            address = Address.parse(text)
            if address != self.own.control:
                await self._start_exchange(ExchangeWithPeer(text, address))

    async def _watch_configuration(self) -> None:
        """Keep the configuration current by repeated long polls."""
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
                await self._contact_seeds()
            await curio.sleep(self.random.uniform(MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S))

    async def _list_objects(self) -> PlatformError | None:
        listed = await self.store.list(CONFIGURATION)
        if isinstance(listed, Failure):
            return listed.failure()
        await self._dispatch_objects(listed.unwrap(), complete=True)
        return None

    async def _watch_objects(self) -> PlatformError | None:
        mean_timeout_s = self.settings.platform.watch_s
        timeout_s = self.random.uniform(
            (1 - JITTER_RATIO) * mean_timeout_s, (1 + JITTER_RATIO) * mean_timeout_s
        )
        revision = self.state.configuration.revision
        watched = await self.store.watch(CONFIGURATION, revision, timeout_s)
        if isinstance(watched, Failure):
            return watched.failure()
        await self._dispatch_objects(watched.unwrap(), complete=False)
        return None

    async def _start_probe(self, effect: ProbePlatform) -> None:
        await self.spawn(self._probe)

    async def _probe(self) -> None:
        revision = self.state.configuration.revision
        watched = await self.store.watch(CONFIGURATION, revision, 0.0)
        if isinstance(watched, Failure):
            self.metrics.count("platform_failures")
            return
        await self._dispatch_objects(watched.unwrap(), complete=False)

    async def _dispatch_objects(self, objects: ObjectList, *, complete: bool) -> None:
        resources = decode_objects(objects.items)
        if len(resources) < len(objects.items):
            self.metrics.count("invalid_objects", len(objects.items) - len(resources))
        await self.dispatch(
            ObjectsReceived(
                time.monotonic(), resources, objects.revision, complete, True
            )
        )

    async def _poll_instances(self) -> None:
        while True:
            listed = await self._instance_list.list()
            if isinstance(listed, Failure):
                self.metrics.count("instance_list_failures")
            else:
                await self.dispatch(InstancesListed(time.monotonic(), listed.unwrap()))
            interval_s = self.settings.platform.list_interval_s
            await curio.sleep(
                interval_s * self.random.uniform(1 - JITTER_RATIO, 1 + JITTER_RATIO)
            )


def build_metrics(settings: Settings) -> Metrics:
    """Return the metrics client selected by the settings."""
    telemetry = settings.telemetry
    if not telemetry.statsd:
        return NullMetrics()
    address = Address.parse(telemetry.statsd)
    return StatsdMetrics(address, f"{telemetry.statsd_prefix}.{settings.node.name}")


def build_tracer(settings: Settings) -> Tracer:
    """Return the tracer selected by the settings."""
    if not settings.telemetry.trace_file:
        return NullTracer()
    return FileTracer(Path(settings.telemetry.trace_file), settings.node.name)
