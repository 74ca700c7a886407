"""Control messages between processes, over gRPC.

gRPC runs in its own threads. The server answers from an immutable snapshot that curio
tasks replace, and passes received reports to them through a queue.
"""

import hmac
import time
from collections import OrderedDict
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import curio
import grpc
import msgspec
from returns.result import Failure, Result, Success

from tamaracktray import control_pb2, control_pb2_grpc
from tamaracktray.configuration import Configuration
from tamaracktray.decoding import decode_json
from tamaracktray.events import CrashNote, PeerReported
from tamaracktray.exceptions import TransportError
from tamaracktray.resources import Resource, decode_resource, encode_resource
from tamaracktray.types import Address

SERVER_THREADS = 2
MAX_CHANNELS = 8
CALL_TIMEOUT_S = 2.0
MAX_MESSAGE_BYTES = 16 * 1_048_576
KEY_HEADER = "x-tray-key"


class ControlSnapshot(msgspec.Struct, frozen=True):
    """State that a process shares with its peers, as of the last update."""

    name: str
    zone: str
    control: Address
    configuration: Configuration
    crash_notes: list[CrashNote]
    contact_deadline_by_zone: dict[str, float]
    is_leaving: bool


class ExchangeResult(msgspec.Struct, frozen=True):
    """The result of one exchange with a peer."""

    peer_report: PeerReported
    revision: int
    changes: list[Resource]


class _ControlServicer(control_pb2_grpc.ControlServicer):
    """Answers exchanges of peers in gRPC threads."""

    def __init__(self, server: "ControlServer") -> None:
        self._server = server

    def Exchange(  # noqa: N802 - the generated base class sets the name
        self,
        request: control_pb2.ExchangeRequest,
        context: grpc.ServicerContext,
    ) -> control_pb2.ExchangeReply:
        """Queue the caller's report and return the changes that it lacks."""
        self._server.check_key(context)
        now = time.monotonic()
        peer_report = PeerReported(
            now,
            request.sender,
            request.zone,
            request.digest,
            _decode_crash_notes(now, request.crash_notes),
            _decode_contacts(now, request.contact_ms_by_zone),
            _parse_address(request.control_address),
            request.leaving,
        )
        self._server.inbox.put(peer_report)
        return build_exchange_reply(now, self._server.snapshot, request)


class ControlServer:
    """The gRPC server of one process.

    Each call puts a ``PeerReported`` on ``inbox``. ``snapshot`` must be set before the
    server starts and may be replaced at any time.
    """

    __slots__ = ("_key", "_server", "address", "inbox", "snapshot")

    def __init__(self, address: Address, key: str, snapshot: ControlSnapshot) -> None:
        self.address = address
        self._key = key
        self.snapshot = snapshot
        self.inbox: curio.UniversalQueue = curio.UniversalQueue()
        self._server = grpc.server(
            ThreadPoolExecutor(max_workers=SERVER_THREADS),
            options=[
                ("grpc.so_reuseport", 0),
                ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
            ],
        )

    def start(self) -> None:
        """Bind the address and start serving; port 0 selects a free port."""
        control_pb2_grpc.add_ControlServicer_to_server(
            _ControlServicer(self), self._server
        )
        port = self._server.add_insecure_port(str(self.address))
        self.address = Address(self.address.host, port)
        self._server.start()

    def stop(self) -> None:
        """Stop serving at once, without a grace period."""
        self._server.stop(grace=None)

    def check_key(self, context: grpc.ServicerContext) -> None:
        """Abort a call that lacks the shared key."""
        if not self._key:
            return
        metadata = dict(context.invocation_metadata())
        received_key = metadata.get(KEY_HEADER, "")
        if not hmac.compare_digest(str(received_key), self._key):
            context.abort(grpc.StatusCode.UNAUTHENTICATED, "wrong peer key")


class ControlClient:
    """Calls peers' control servers and caches up to ``MAX_CHANNELS`` channels."""

    __slots__ = ("_channel_by_address", "_key")

    def __init__(self, key: str) -> None:
        self._key = key
        self._channel_by_address: OrderedDict[Address, grpc.Channel] = OrderedDict()

    async def exchange(
        self, address: Address, snapshot: ControlSnapshot
    ) -> Result[ExchangeResult, TransportError]:
        """Send the local state to a peer and return the peer's state and changes."""
        request = build_exchange_request(time.monotonic(), snapshot)
        channel = self._open(address)
        try:
            reply = await curio.run_in_thread(self._call, channel, request)
        except grpc.RpcError as error:
            message = f"peer {address}: {error.code().name}"
            return Failure(TransportError(message, sent=True))
        except ValueError as error:
            # The channel was evicted from the cache before the call ran.
            return Failure(TransportError(f"peer {address}: {error}", sent=False))
        return _read_reply(time.monotonic(), reply)

    def close(self) -> None:
        """Close all channels."""
        for channel in self._channel_by_address.values():
            channel.close()
        self._channel_by_address.clear()

    def _open(self, address: Address) -> grpc.Channel:
        channel = self._channel_by_address.get(address)
        if channel is None:
            channel = grpc.insecure_channel(
                str(address),
                options=[
                    ("grpc.enable_http_proxy", 0),
                    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
                    ("grpc.max_reconnect_backoff_ms", 1_000),
                ],
            )
            self._channel_by_address[address] = channel
        self._channel_by_address.move_to_end(address)
        while len(self._channel_by_address) > MAX_CHANNELS:
            _, oldest = self._channel_by_address.popitem(last=False)
            oldest.close()
        return channel

    def _call(
        self, channel: grpc.Channel, request: control_pb2.ExchangeRequest
    ) -> control_pb2.ExchangeReply:
        stub = control_pb2_grpc.ControlStub(channel)
        metadata = [(KEY_HEADER, self._key)] if self._key else None
        return stub.Exchange(request, timeout=CALL_TIMEOUT_S, metadata=metadata)


def build_exchange_request(
    now: float, snapshot: ControlSnapshot
) -> control_pb2.ExchangeRequest:
    """Build the message that reports the local state to a peer."""
    return control_pb2.ExchangeRequest(
        sender=snapshot.name,
        zone=snapshot.zone,
        revision=snapshot.configuration.revision,
        digest=snapshot.configuration.digest,
        crash_notes=_encode_crash_notes(now, snapshot.crash_notes),
        leaving=snapshot.is_leaving,
        control_address=str(snapshot.control),
        contact_ms_by_zone=_encode_contacts(now, snapshot.contact_deadline_by_zone),
    )


def build_exchange_reply(
    now: float, snapshot: ControlSnapshot, request: control_pb2.ExchangeRequest
) -> control_pb2.ExchangeReply:
    """Build the answer to a peer, with the changes that it lacks."""
    changes: list[bytes] = []
    configuration = snapshot.configuration
    is_behind = request.revision < configuration.revision
    if is_behind or request.digest != configuration.digest:
        changes = [
            msgspec.json.encode(encode_resource(resource))
            for resource in configuration.changes_since(request.revision)
        ]
    return control_pb2.ExchangeReply(
        revision=configuration.revision,
        digest=configuration.digest,
        zone=snapshot.zone,
        sender=snapshot.name,
        changes=changes,
        crash_notes=_encode_crash_notes(now, snapshot.crash_notes),
        contact_ms_by_zone=_encode_contacts(now, snapshot.contact_deadline_by_zone),
    )


def _read_reply(
    now: float, reply: control_pb2.ExchangeReply
) -> Result[ExchangeResult, TransportError]:
    changes: list[Resource] = []
    for document in reply.changes:
        decoded = decode_json(document, Any).bind(decode_resource)
        if isinstance(decoded, Failure):
            message = f"peer {reply.sender}: {decoded.failure().message}"
            return Failure(TransportError(message, sent=True))
        changes.append(decoded.unwrap())
    peer_report = PeerReported(
        now,
        reply.sender,
        reply.zone,
        reply.digest,
        _decode_crash_notes(now, reply.crash_notes),
        _decode_contacts(now, reply.contact_ms_by_zone),
        is_caught_up=True,
    )
    return Success(ExchangeResult(peer_report, reply.revision, changes))


def _encode_crash_notes(
    now: float, notes: Iterable[CrashNote]
) -> list[control_pb2.CrashNote]:
    return [
        control_pb2.CrashNote(
            fingerprint=note.fingerprint,
            endpoint=note.endpoint,
            remaining_ms=_to_remaining_ms(now, note.deadline),
        )
        for note in notes
    ]


def _decode_crash_notes(
    now: float, notes: Iterable[control_pb2.CrashNote]
) -> list[CrashNote]:
    return [
        CrashNote(note.fingerprint, note.endpoint, now + note.remaining_ms / 1000)
        for note in notes
    ]


def _encode_contacts(now: float, deadline_by_zone: dict[str, float]) -> dict[str, int]:
    return {
        zone: _to_remaining_ms(now, deadline)
        for zone, deadline in deadline_by_zone.items()
    }


def _decode_contacts(now: float, ms_by_zone: dict[str, int]) -> dict[str, float]:
    return {
        zone: now + remaining_ms / 1000 for zone, remaining_ms in ms_by_zone.items()
    }


def _to_remaining_ms(now: float, deadline: float) -> int:
    return max(int((deadline - now) * 1000), 0)


def _parse_address(text: str) -> Address | None:
    try:
        return Address.parse(text)
    except ValueError:
        return None
