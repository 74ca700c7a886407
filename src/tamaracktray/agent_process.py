"""The agent process, which loads versions of the weights into its instance's engine."""

import itertools
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import curio
import msgspec
from returns.result import Failure, Result, Success
from typing_extensions import override

from tamaracktray.beacons import Beacon, EndpointStatus
from tamaracktray.chunk_reads import (
    read_origin_chunk,
    read_origin_manifest,
    read_peer_chunk,
    read_peer_manifest,
)
from tamaracktray.chunk_sources import EntryChoice, choose_source, list_sources
from tamaracktray.clocks import measure_suspension, read_elapsed
from tamaracktray.deployment import Deployment
from tamaracktray.effects import Effect
from tamaracktray.endpoint_pace.reports import read_engine_load
from tamaracktray.endpoint_pace.status_changes import StatusChanges
from tamaracktray.engines import EngineReport, OrderOutcome
from tamaracktray.events import Event
from tamaracktray.exceptions import (
    SourceUnreachableError,
    TransportError,
    WeightError,
)
from tamaracktray.exchange import fetch
from tamaracktray.node_events import SnapshotsReceived
from tamaracktray.node_process import (
    PEER_CONNECT_S,
    PEER_TIMEOUT_S,
    SERVICES,
    NodeProcess,
)
from tamaracktray.node_settings import NodeProcessSettings
from tamaracktray.snapshot_codec import decode_snapshots
from tamaracktray.snapshots import Collection
from tamaracktray.stage_checks import read_staged_chunks
from tamaracktray.staging_events import (
    CheckStage,
    ChunkArrived,
    ChunkStaged,
    EngineAnswered,
    EngineUnreachable,
    FetchVersionChunk,
    ManifestRead,
    OrderAnswered,
    ReadManifest,
    RetainChunks,
    SendOrder,
    StageChecked,
    StageChunk,
)
from tamaracktray.staging_state import StagingState
from tamaracktray.swap_turns import estimate_swap_delay
from tamaracktray.targets import encode_target
from tamaracktray.types import Address
from tamaracktray.version_keys import VersionKey
from tamaracktray.weights import Manifest

# Time between reads of the engine's report while it swaps versions, in seconds.
SWAP_REPORT_INTERVAL_S = 0.05

# Time between the status beacon and the order to the engine, in seconds. Meanwhile,
# entries stop sending to the engine and calls in transit arrive.
ORDER_DELAY_S = 0.03


# Delay before another entry is asked for the configuration, in seconds.
ROUTING_RETRY_S = 0.15


class AgentProcess(NodeProcess):
    """Runs an agent.

    It does not follow the configuration, the endpoints or the availability zones.
    """

    followed = (Collection.VERSIONS, Collection.MEMBERS)
    initial = (Collection.ROUTING,)
    # Longer than for entries: agents are many and learn of changes from entries too.
    store_retry_delays_s = (0.4, 1.0)

    def __init__(
        self, path: Path, settings: NodeProcessSettings, deployment: Deployment
    ) -> None:
        super().__init__(path, settings, deployment)
        self.state.staging = StagingState(
            settings.bounds.version_ms / 1_000.0, settings.node.name
        )
        self.state.engine_service = settings.engine.service
        self._chunk_by_digest: dict[str, bytes] = {}
        self._entry_choice = EntryChoice()
        self._status_changes = StatusChanges()
        address = settings.engine.address
        self._engine = None
        if address:
            self.state.own_engine = Address.parse(address)
            self._engine = deployment.open_engine(self.state.own_engine)
        self.add_performer(ReadManifest, self._in_background(self._read_manifest))
        self.add_performer(FetchVersionChunk, self._in_background(self._fetch_chunk))
        self.add_performer(StageChunk, self._in_background(self._stage_chunk))
        self.add_performer(CheckStage, self._in_background(self._check_stage))
        self.add_performer(SendOrder, self._in_background(self._send_order))
        self.add_performer(RetainChunks, self._retain_chunks)

    def _in_background(
        self, perform: Callable[..., Awaitable[None]]
    ) -> Callable[..., Awaitable[None]]:
        async def start(effect: object) -> None:
            await self.spawn(perform, effect)

        return start

    @override
    def reduce(self, event: Event) -> list[Effect]:
        self.state.staging.suspended_s = measure_suspension()
        return super().reduce(event)

    @override
    def list_loops(self) -> list[Callable[[], Awaitable[None]]]:
        loops = [*super().list_loops(), self._obtain_routing]
        return [*loops, self._run_reports] if self._engine is not None else loops

    async def _obtain_routing(self) -> None:
        """Ask entries for the service's configuration until one has sent it."""
        for attempt in itertools.count():
            if self.state.index is not None:
                return
            entry = self._choose_entry(Collection.ROUTING.value, attempt)
            if entry is not None:
                await self._fetch_service(entry)
            await curio.sleep(ROUTING_RETRY_S)

    async def _fetch_service(self, entry: Address) -> None:
        reply = await fetch(
            entry,
            "GET",
            encode_target(SERVICES, self.state.engine_service),
            timeout_s=PEER_TIMEOUT_S,
            connect_timeout_s=PEER_CONNECT_S,
        )
        if isinstance(reply, Failure):
            await self.note_peer_lost(entry)
            return
        if reply.unwrap().status == 200:
            decoded = decode_snapshots(reply.unwrap().body)
            if isinstance(decoded, Failure):
                error = decoded.failure().message
                self.log.warning("answer unreadable", peer=str(entry), error=error)
                return
            await self.dispatch(SnapshotsReceived(time.monotonic(), decoded.unwrap()))

    @override
    def build_beacon(self) -> Beacon:
        return msgspec.structs.replace(
            super().build_beacon(), status=self._build_status()
        )

    def _build_status(self) -> EndpointStatus | None:
        staging = self.state.staging
        if staging.report is None:
            return None
        versions = {model.name: model.version for model in staging.report.models}
        address = str(self.state.own_engine)
        swap_in_s = estimate_swap_delay(staging, time.monotonic())
        engine_load = read_engine_load(staging.report)
        return EndpointStatus(
            address,
            staging.is_swapping,
            versions,
            swap_in_s,
            staging.report.start_time_ms,
            engine_load.pace,
            engine_load.running,
            engine_load.queued,
            engine_load.kv_used_share,
        )

    async def _run_reports(self) -> None:
        """Poll the engine's report."""
        while True:
            await self._read_report()
            await self._send_changed_status()
            staging = self.state.staging
            interval_s = self.settings.engine.report_s
            await curio.sleep(
                SWAP_REPORT_INTERVAL_S if staging.is_swapping else interval_s
            )

    async def _read_report(self) -> Result[EngineReport, TransportError]:
        report = await self._engine.read_report()
        now = time.monotonic()
        if isinstance(report, Failure):
            await self.dispatch(EngineUnreachable(now))
        else:
            await self.dispatch(EngineAnswered(now, report.unwrap()))
        return report

    async def _send_changed_status(self) -> None:
        """Send a beacon to entries if the engine's state has changed."""
        status = self._build_status()
        if not self._status_changes.take(status):
            return
        self.log.info(
            "engine",
            step=self.state.staging.step.value,
            is_swapping=status is not None and status.is_swapping,
            versions=None if status is None else status.version_by_model,
            pace=None if status is None else status.pace,
            is_slow=self._status_changes.is_slow,
        )
        await self.broadcast_beacon()

    def _choose_entry(self, key: str, attempt: int) -> Address | None:
        """Return the entry to ask at an attempt, or ``None`` for the origin."""
        now, peers = time.monotonic(), self.state.peers
        candidates = self._entry_choice.list_candidates(
            now, peers.list_reachable(now), peers.members_by_name.values()
        )
        entries = list_sources(
            self.state.zone, candidates, self.state.region_by_zone, key
        )
        return choose_source(entries, attempt)

    async def _read_manifest(self, effect: ReadManifest) -> None:
        key = VersionKey(effect.model, effect.version)
        entry = self._choose_entry(key.path, effect.attempt)
        read: Result[Manifest, WeightError] = Failure(WeightError("no origin"))
        origin = self.open_origin()
        if entry is not None:
            read = await read_peer_manifest(entry, key)
        elif origin is not None:
            read = await read_origin_manifest(origin, key)
        if isinstance(read, Failure):
            await self._note_source_failure(entry, read.failure())
            self.log.info(
                "manifest not read",
                request_line=True,
                version=effect.version,
                source=str(entry or "origin"),
                error=read.failure().message,
            )
        manifest = read.value_or(None)
        await self.dispatch(ManifestRead(time.monotonic(), effect.version, manifest))

    async def _fetch_chunk(self, effect: FetchVersionChunk) -> None:
        key = VersionKey(effect.model, effect.version)
        entry = self._choose_entry(f"{key.path}/{effect.index}", effect.attempt)
        read: Result[bytes, WeightError] = Failure(WeightError("no origin"))
        origin = self.open_origin()
        if entry is not None:
            read = await read_peer_chunk(entry, key, effect.index, effect.digest)
        elif origin is not None:
            read = await read_origin_chunk(origin, key, effect.index, effect.digest)
        if isinstance(read, Success):
            self._chunk_by_digest[effect.digest] = read.unwrap()
        else:
            await self._note_source_failure(entry, read.failure())
            self.log.info(
                "chunk not fetched",
                request_line=True,
                version=effect.version,
                index=effect.index,
                source=str(entry or "origin"),
                error=read.failure().message,
            )
        is_successful = isinstance(read, Success)
        await self.dispatch(
            ChunkArrived(time.monotonic(), effect.version, effect.index, is_successful)
        )

    async def _note_source_failure(
        self, entry: Address | None, error: WeightError
    ) -> None:
        if entry is not None and isinstance(error, SourceUnreachableError):
            await self.note_peer_lost(entry)

    async def _stage_chunk(self, effect: StageChunk) -> None:
        data = self._chunk_by_digest[effect.digest]
        began_at = read_elapsed()
        staged = await self._engine.write_chunk(effect.model, effect.index, data)
        if isinstance(staged, Failure):
            self.log.info("chunk not staged", error=staged.failure().message)
        is_successful = isinstance(staged, Success)
        await self.dispatch(
            ChunkStaged(
                time.monotonic(), effect.index, effect.digest, is_successful, began_at
            )
        )

    async def _check_stage(self, effect: CheckStage) -> None:
        """Read staged chunks back and report their digests."""
        began_at = read_elapsed()
        chunk_by_index = await read_staged_chunks(
            self._engine, effect.model, effect.indices
        )
        took_s = round(read_elapsed() - began_at, 3)
        self.log.info("stage checked", chunks=len(effect.indices), took_s=took_s)
        await self.dispatch(StageChecked(time.monotonic(), chunk_by_index, began_at))

    async def _send_order(self, effect: SendOrder) -> None:
        order = effect.order
        began_at = read_elapsed()
        # Calls that arrive after the order wait for the load, so notify entries first.
        await self._send_changed_status()
        await curio.sleep(ORDER_DELAY_S)
        report = await self._read_report()
        if isinstance(report, Success) and order.fits(report.unwrap()):
            outcome = (await self._engine.start(order)).value_or(None)
        else:
            outcome = OrderOutcome.EXPIRED
        self.log.info(
            "order",
            model=order.model,
            version=order.version,
            sequence=order.sequence,
            outcome=None if outcome is None else outcome.value,
            waited_s=round(read_elapsed() - began_at, 3),
            left_s=round(order.deadline - read_elapsed(), 3),
        )
        await self.dispatch(OrderAnswered(time.monotonic(), order.version, outcome))

    async def _retain_chunks(self, effect: RetainChunks) -> None:
        for digest in set(self._chunk_by_digest) - effect.digests:
            del self._chunk_by_digest[digest]
