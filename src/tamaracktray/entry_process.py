"""The entry process, which forwards callers' requests directly to endpoints."""

import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import curio
import msgspec
from returns.result import Failure
from typing_extensions import override

from tamaracktray.answer_sending import AnswerSender
from tamaracktray.attempt_relay import CallRelay
from tamaracktray.beacons import Beacon
from tamaracktray.byte_rates import build_upload_bucket
from tamaracktray.call_answering import CallAnswering
from tamaracktray.call_building import build_call, refuse_unconfigured
from tamaracktray.call_context import build_gateway_context, may_send
from tamaracktray.call_log import CallLog
from tamaracktray.calls import (
    AbandonAttempt,
    AbortAnswer,
    EndParkedAttempt,
    LeaveAttempt,
    RefuseCall,
    RelayFailure,
    ResumeAttempt,
    SendCall,
    SendLoadBeacon,
)
from tamaracktray.chunk_relay import ChunkRelay
from tamaracktray.deployment import Deployment
from tamaracktray.effects import Effect
from tamaracktray.endpoint_limits import LogLimit
from tamaracktray.events import Event, Tick
from tamaracktray.gateway_limits import list_limits
from tamaracktray.gateway_state import GatewayBounds, GatewayState
from tamaracktray.headers import MAX_SHOWN
from tamaracktray.http import HttpServer
from tamaracktray.http_messages import HttpLimits, Request
from tamaracktray.member_registration import MemberRegistration
from tamaracktray.node_events import (
    ApplyRouting,
    CloseIdleConnections,
    PrefetchVersion,
    RecordAnnouncements,
    RegisterMember,
)
from tamaracktray.node_process import SERVICES, NodeProcess
from tamaracktray.node_servers import build_caller_server, build_polled_server
from tamaracktray.node_settings import NodeProcessSettings
from tamaracktray.notices import LogNotice
from tamaracktray.objects import StoredObject
from tamaracktray.open_calls import OpenCall
from tamaracktray.parked_attempts import may_resume
from tamaracktray.peers import Member
from tamaracktray.quarantine_records import RecordQuarantine, RemoveQuarantine
from tamaracktray.record_writer import RecordWriter
from tamaracktray.responders import Responder
from tamaracktray.snapshot_codec import encode_snapshots
from tamaracktray.snapshots import Collection
from tamaracktray.spillover.policy import LogSpillover
from tamaracktray.store_readers import list_local
from tamaracktray.suspicions import LogFinding
from tamaracktray.targets import decode_path
from tamaracktray.types import Address
from tamaracktray.upstreams import Upstreams
from tamaracktray.version_keys import VERSIONS_PATH, VersionKey

# Least time between load beacons to peers in other regions, in seconds. These peers
# rarely borrow endpoints here, and links between regions have little bandwidth.
REMOTE_BEACON_INTERVAL_S = 0.2

# Least time between any two load beacons, in seconds.
MIN_BEACON_INTERVAL_S = 0.005

# Teams that can't be served which one log line names.
MAX_LOGGED_TEAMS = 10


class EntryProcess(NodeProcess):
    """Runs an entry."""

    def __init__(
        self, path: Path, settings: NodeProcessSettings, deployment: Deployment
    ) -> None:
        super().__init__(path, settings, deployment)
        bounds = settings.bounds
        self.state.gateway = GatewayState(
            settings.node.name,
            GatewayBounds(
                bounds.repeat_ratio,
                bounds.repeat_reserve,
                bounds.repeat_window_s,
                bounds.cold_burst,
            ),
        )
        self._call_log = CallLog(self.state.snapshot_cache, self.metrics)
        self._chunk_relay = ChunkRelay(
            Upstreams(self.state, lambda: self._own_member),
            self.open_origin,
            self.note_peer_lost,
            build_upload_bucket(settings.peers.link_mbps),
        )
        sender = AnswerSender(
            deployment.protocol,
            self._may_resume,
            lambda event: self._answering.note_resumed(event),
        )
        self._sender = sender
        self._call_relay = CallRelay(
            deployment.protocol,
            sender,
            lambda event: self._answering.note_start(event),
            self.dispatch,
            self._may_send,
            self.state.gateway.is_limited,
            bounds.answer_bytes,
        )
        self._answering = CallAnswering(
            self.state, self._call_relay, sender, self._call_log, self.dispatch
        )
        self._registration = MemberRegistration(
            self.store, lambda: self._own_member, self.random
        )
        self._loads_changed = curio.Event()
        self._open_by_id = self._answering.open_by_id
        self._caller_server = build_caller_server(
            Address.parse(settings.listen.callers),
            self.handle_caller,
            settings.callers,
        )
        self.add_performer(AbandonAttempt, self._answering.abandon_attempt)
        self.add_performer(LeaveAttempt, self._answering.leave_attempt)
        self.add_performer(ResumeAttempt, self._answering.resume_attempt)
        self.add_performer(EndParkedAttempt, self._answering.end_parked_attempt)
        self.add_performer(PrefetchVersion, self._prefetch_version)
        self.add_performer(CloseIdleConnections, self._close_idle_connections)
        self.add_performer(LogNotice, self._log_notice)
        self.add_performer(LogLimit, self._log_limit)
        self.add_performer(RegisterMember, self._registration.request)
        self.add_performer(SendLoadBeacon, self._schedule_load_beacon)
        self.add_performer(LogFinding, self._log_finding)
        self.add_performer(LogSpillover, self._log_spillover)
        writer = RecordWriter(self.store, self._call_log, self.spawn, self.dispatch)
        self.add_performer(RecordAnnouncements, writer.record_announcements)
        self.add_performer(RecordQuarantine, writer.record_quarantine)
        self.add_performer(RemoveQuarantine, writer.remove_quarantine)
        for effect in (SendCall, RefuseCall, AbortAnswer, RelayFailure):
            self.add_performer(effect, self._answering.deliver_decision)

    @override
    def build_servers(self) -> list[HttpServer]:
        readiness = build_polled_server(
            Address.parse(self.settings.listen.readiness), self.handle_readiness
        )
        return [self._caller_server, readiness, *super().build_servers()]

    @override
    def list_loops(self) -> list[Callable[[], Awaitable[None]]]:
        loops = [*super().list_loops(), self._registration.run]
        return [*loops, self._run_load_beacons]

    @override
    def reduce(self, event: Event) -> list[Effect]:
        effects = super().reduce(event)
        self._sender.closes_connections = self.state.is_leaving
        return effects

    @override
    def build_beacon(self) -> Beacon:
        now = time.monotonic()
        repeaters = self.state.gateway.repeaters

        def is_repeater(fingerprint: str) -> bool:
            return repeaters.is_repeater(now, fingerprint)

        return msgspec.structs.replace(
            super().build_beacon(),
            in_flight_by_endpoint=self.state.gateway.count_in_flight(),
            version_floor_by_model=self.state.announcements.list_floors(now),
            announcement_ages_by_model=self.state.announcements.list_ages(now),
            crash_reports=self.state.crashes.list_reports(now, is_repeater),
            part_reports=self.state.part_crashes.list_reports(now, is_repeater),
            sound_answers=self.state.part_crashes.list_sound(now, is_repeater),
            limits_by_endpoint=list_limits(self.state.gateway, now),
        )

    @override
    def build_tick(self) -> Tick:
        responsive_ids = frozenset(self._call_relay.responsive_ids)
        self._call_relay.responsive_ids.clear()
        is_leaving = self.state.is_leaving
        open_connections = self._caller_server.busy_connections if is_leaving else 0
        return Tick(
            time.monotonic(),
            responsive_ids=responsive_ids,
            progress_at_by_call=self._call_relay.take_progress(),
            sending_ids=frozenset(
                call_id for call_id, call in self._open_by_id.items() if call.is_sending
            ),
            open_connections=open_connections,
            store_era=self.store.era,
        )

    @override
    def set_gauges(self) -> None:
        super().set_gauges()
        gateway = self.state.gateway
        self.metrics.gauge("calls_open", len(self._open_by_id))
        self.metrics.gauge("calls_waiting", len(gateway.waiting))
        self.metrics.gauge("endpoints", len(gateway.loads_by_id))

    @override
    async def handle_peer(self, request: Request, responder: Responder) -> None:
        if request.path.startswith(VERSIONS_PATH):
            await self._chunk_relay.handle(request, responder)
            return
        kind, *names = decode_path(request.target)
        if kind == SERVICES and len(names) == 1:
            await self._describe_service(names[0], responder)
            return
        await super().handle_peer(request, responder)

    async def _describe_service(self, name: str, responder: Responder) -> None:
        """Send an agent the part of the configuration about its service."""
        if not self.state.is_initialized:
            await responder.respond(503, [])
            return
        table = self.state.index.table.select_service(name)
        known = self.state.snapshot_cache.by_collection[Collection.ROUTING]
        part = StoredObject(name, known.revision, table, deleted=False)
        snapshot = msgspec.structs.replace(known, objects_by_name={name: part})
        body = encode_snapshots({Collection.ROUTING: snapshot})
        await responder.respond(200, [], body)

    @override
    async def apply_routing(self, effect: ApplyRouting) -> None:
        await super().apply_routing(effect)
        unsendable = sorted(self.state.index.unsendable_teams)
        if unsendable:
            self.log.warning(
                "team can't be served",
                reason="its name can't be sent in a header",
                teams=[name[:MAX_SHOWN] for name in unsendable[:MAX_LOGGED_TEAMS]],
                count=len(unsendable),
            )
        limits = self.state.index.table.limits
        self._caller_server.limits = HttpLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.idle_timeout_s,
            limits.header_timeout_s,
            max_pipelined_bytes=self.settings.callers.pipelined_bytes,
        )

    async def handle_readiness(self, request: Request, responder: Responder) -> None:
        """Respond with 200 if this entry takes new connections, else with 503."""
        is_ready = self.state.is_initialized and not self.state.is_leaving
        await responder.respond(200 if is_ready else 503, [])

    async def handle_caller(self, request: Request, responder: Responder) -> None:
        """Handle one request of a caller."""
        fields = self.deployment.protocol.parse_caller_fields(request)
        if not self.state.is_initialized:
            refusal = refuse_unconfigured()
            self._call_log.note_rejected(fields.request_id, refusal, 0)
            await self._answering.send_refusal(responder, refusal)
            return
        index = self.state.index
        built = build_call(time.monotonic(), index, request, fields)
        if isinstance(built, Failure):
            refusal = built.failure()
            version = index.table.version
            self._call_log.note_rejected(fields.request_id, refusal, version)
            await self._answering.send_refusal(responder, refusal)
            return
        await self._answering.answer(OpenCall(built.unwrap(), request, responder))

    def _may_send(self, decision: SendCall, connect_s: float) -> bool:
        return may_send(self.state, time.monotonic(), decision, connect_s)

    def _may_resume(self, decision: SendCall) -> bool:
        context = build_gateway_context(self.state, time.monotonic())
        return may_resume(context, decision.call_id, decision.endpoint_id)

    async def _close_idle_connections(self, effect: CloseIdleConnections) -> None:
        await self._caller_server.close_idle_connections()

    async def _log_notice(self, effect: LogNotice) -> None:
        self._call_log.note_notice(effect)

    async def _log_limit(self, effect: LogLimit) -> None:
        self._call_log.note_limit(effect)

    async def _prefetch_version(self, effect: PrefetchVersion) -> None:
        key = VersionKey(effect.model, effect.version)
        await self.spawn(self._chunk_relay.prefetch, key)

    @property
    def _own_member(self) -> Member:
        node = self.settings.node
        return Member(node.name, node.zone, self.own_address)

    async def _log_finding(self, effect: LogFinding) -> None:
        self._call_log.note_finding(effect)

    async def _log_spillover(self, effect: LogSpillover) -> None:
        self._call_log.note_spillover(effect)

    async def _schedule_load_beacon(self, effect: SendLoadBeacon) -> None:
        await self._loads_changed.set()

    async def _run_load_beacons(self) -> None:
        """Send changed call counts to peers, less often to those in other regions."""
        sent_counts: dict[str, int] = {}
        remote_deadline = 0.0
        while True:
            interval_s = self.settings.peers.beacon_s
            await curio.ignore_after(interval_s, self._loads_changed.wait())
            self._loads_changed.clear()
            counts = self.state.gateway.count_in_flight()
            if counts != sent_counts:
                sent_counts = counts
                now = time.monotonic()
                is_remote_due = now >= remote_deadline
                if is_remote_due:
                    remote_deadline = now + REMOTE_BEACON_INTERVAL_S
                await self._send_counts(counts, is_remote_due=is_remote_due)
            await curio.sleep(MIN_BEACON_INTERVAL_S)

    async def _send_counts(
        self, counts: dict[str, int], *, is_remote_due: bool
    ) -> None:
        node = self.settings.node
        members = self.state.peers.members_by_name.values()
        local_members = list_local(node.zone, members, self.state.region_by_zone)
        receivers = members if is_remote_due else local_members
        # Revisions and announcements are sent when they change and in idle beacons.
        beacon = msgspec.structs.replace(
            self.build_short_beacon(), in_flight_by_endpoint=counts
        )
        await self.send_beacon([member.address for member in receivers], beacon)
