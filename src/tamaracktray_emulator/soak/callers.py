"""Callers that reuse connections and check the answers they receive."""

import random
import time

import curio
import h11
import msgspec

from tamaracktray.decoding import decode_json
from tamaracktray.headers import RETRY_AFTER
from tamaracktray.messages import ErrorBody
from tamaracktray.types import Address
from tamaracktray_emulator.platform.documents import ENGINE_MODEL
from tamaracktray_emulator.platform.worker import (
    EVENTS,
    LEAVING,
    PROMPT_PARTS,
    build_body,
)
from tamaracktray_emulator.soak.endpoints import compute_answer_bytes
from tamaracktray_emulator.soak.notice_checks import NoticeChecker
from tamaracktray_emulator.soak.proxy import FaultProxy
from tamaracktray_emulator.soak.record import CallKind, SoakCall, SoakRecord

HOST = "studio.example"
READ_BYTES = 65_536
SIGNATURE = "x-tamaracktray-server-signature"
REQUEST_ID = "x-tamaracktray-request-id"

# Answer of an entry to a quarantined request.
QUARANTINE_STATUS = 503
QUARANTINE_CODE = b"quarantined"

# Calls on one connection before a caller opens a new one.
CALLS_PER_CONNECTION = 20

# Interval between calls that press one entry, in seconds.
PRESS_INTERVAL_S = 0.03

# Parts of the streams' prompts: one that all share, and one that crashes engines.
SHARED_PART = "5c1e07a2"
FATAL_PART = "dead01"

PATH_BY_KIND = {
    CallKind.SAFE: "/look/",
    CallKind.UNSAFE: "/order/",
    CallKind.STREAM: "/talk/",
}
KINDS = (CallKind.SAFE, CallKind.UNSAFE, CallKind.STREAM, CallKind.STREAM)


class Answer(msgspec.Struct):
    """A complete HTTP answer."""

    status: int
    headers: dict[str, str]
    body: bytes


class CallerConnection:
    """One connection of a caller to an entry."""

    def __init__(self, entry: str, address: Address) -> None:
        self.entry = entry
        self._address = address
        self._socket: curio.io.Socket | None = None
        self._state = h11.Connection(h11.CLIENT)
        self.calls = 0
        self.port = 0

    @property
    def is_usable(self) -> bool:
        """Return whether the connection can take another request."""
        if self.calls >= CALLS_PER_CONNECTION:
            return False
        return self._socket is None or self._state.our_state is h11.IDLE

    async def send_request(
        self, method: str, target: str, headers: list[tuple[str, str]], body: bytes
    ) -> Answer | None:
        """Send a request and return its answer.

        Returns ``None`` if the connection closes before the answer is complete.
        """
        if self._socket is None:
            self._socket = await curio.open_connection(
                self._address.host, self._address.port
            )
            self.port = self._socket.getsockname()[1]
        self.calls += 1
        framing = [("host", HOST), ("content-length", str(len(body)))]
        request = h11.Request(
            method=method, target=target, headers=[*headers, *framing]
        )
        data = self._state.send(request) + self._state.send(h11.Data(data=body))
        await self._socket.sendall(data + self._state.send(h11.EndOfMessage()))
        return await self._read()

    async def _read(self) -> Answer | None:
        answer: Answer | None = None
        while True:
            event = self._state.next_event()
            if event is h11.NEED_DATA:
                self._state.receive_data(await self._socket.recv(READ_BYTES))
            elif isinstance(event, h11.Response):
                headers = {k.decode(): v.decode("latin-1") for k, v in event.headers}
                answer = Answer(event.status_code, headers, b"")
            elif isinstance(event, h11.Data) and answer is not None:
                answer.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                if self._state.their_state is h11.DONE:
                    self._state.start_next_cycle()
                return answer
            elif isinstance(event, h11.ConnectionClosed):
                return None

    async def close(self) -> None:
        """Close the connection."""
        if self._socket is not None:
            await self._socket.close()


class Callers:
    """All callers of one soak.

    ``addresses_by_entry`` maps each entry to the address that callers connect to, that
    of its proxy. They wait for a complete answer for ``deadline_s`` seconds.
    """

    def __init__(
        self,
        record: SoakRecord,
        seed: int,
        started: float,
        wait_s: float,
        deadline_s: float = 3.0,
    ) -> None:
        self.record = record
        self.addresses_by_entry: dict[str, Address] = {}
        self.proxies_by_entry: dict[str, FaultProxy] = {}
        self.notice_checker: NoticeChecker | None = None
        self.key = ""
        self.team = ""
        self._random = random.Random(seed)
        self._started = started
        self._wait_s = wait_s
        self._deadline_s = deadline_s
        self._call_count = 0

    async def run_caller(self) -> None:
        """Send random calls over reused connections until cancelled."""
        connection: CallerConnection | None = None
        while True:
            await curio.sleep(self._random.expovariate(1 / self._wait_s))
            if connection is None or not connection.is_usable:
                if connection is not None:
                    await connection.close()
                entry = self._random.choice(sorted(self.addresses_by_entry))
                connection = CallerConnection(entry, self.addresses_by_entry[entry])
            if not await self._send_random_call(connection):
                await connection.close()
                connection = None

    async def _send_random_call(self, connection: CallerConnection) -> bool:
        """Send one random call and return whether the connection can be reused."""
        kind = self._random.choice(KINDS)
        call = self.build_own_call(connection.entry, kind)
        return await self._send_call(connection, call)

    async def press(self, entry: str, duration_s: float) -> None:
        """Send calls of all kinds to one entry over new connections for some time."""
        address = self.addresses_by_entry[entry]
        async with curio.TaskGroup() as group:
            for number in range(int(duration_s / PRESS_INTERVAL_S)):
                call = self.build_own_call(entry, KINDS[number % len(KINDS)])
                await group.spawn(self.send_on_new_connection, call, address)
                await curio.sleep(PRESS_INTERVAL_S)

    async def send_on_new_connection(self, call: SoakCall, address: Address) -> None:
        """Send a call over a new connection and close the connection."""
        connection = CallerConnection(call.entry, address)
        await self._send_call(connection, call)
        await connection.close()

    async def _send_call(self, connection: CallerConnection, call: SoakCall) -> bool:
        headers = [
            (REQUEST_ID, call.id),
            ("x-tamaracktray-deadline-ms", str(int(self._deadline_s * 1_000))),
            ("x-tamaracktray-model", ENGINE_MODEL),
            ("x-tamaracktray-token-usage", "100,20"),
            ("authorization", f"Token {self.key}"),
        ]
        if call.parts:
            parts = ",".join(f"{part}:40" for part in (*call.parts, call.id))
            headers.append((PROMPT_PARTS, parts))
        method = "POST" if call.body else "GET"
        try:
            answer = await curio.timeout_after(
                self._deadline_s,
                connection.send_request(method, call.target, headers, call.body),
            )
        except curio.TaskTimeout:
            return False
        except (OSError, h11.ProtocolError):
            self._record_cut(call, connection)
            return False
        self._record_end(call)
        if answer is None:
            self._record_cut(call, connection)
            return False
        call.status = answer.status
        if not 200 <= answer.status < 300:
            error = decode_json(answer.body, ErrorBody)
            call.refusal = error.map(lambda body: body.error).value_or(None)
            call.retry_after = answer.headers.get(RETRY_AFTER)
        signer = answer.headers.get(SIGNATURE, "").removeprefix("sig.")
        if self.notice_checker is not None and signer and LEAVING in answer.headers:
            self.notice_checker.note_forwarded_notice(call, signer)
        self.record.note_answer(call)
        self._check_quarantined(call, answer)
        if 200 <= answer.status < 300:
            self._check_success(call, answer, signer)
        return answer.headers.get("connection", "").lower() != "close"

    def build_own_call(self, entry: str, kind: CallKind, prefix: str = "") -> SoakCall:
        """Create a call whose target and body no other call has.

        Without a ``prefix``, its path is on the usual route of its kind.
        """
        name = f"{self._call_count + 1:08x}"
        body = b"" if kind is CallKind.SAFE else f"body of {name}".encode()
        target = f"{prefix or PATH_BY_KIND[kind]}{name}"
        parts = (SHARED_PART,) if kind is CallKind.STREAM else ()
        return self.build_call(entry, kind, target, body, parts)

    def build_call(
        self,
        entry: str,
        kind: CallKind,
        target: str,
        body: bytes,
        parts: tuple[str, ...] = (),
    ) -> SoakCall:
        """Create a call to an entry and add it to the record."""
        self._call_count += 1
        call_id = f"{self._call_count:08x}"
        now = time.monotonic() - self._started
        call = SoakCall(call_id, kind, entry, target, body, self.team, now, parts=parts)
        self.record.calls_by_id[call_id] = call
        return call

    def _check_quarantined(self, call: SoakCall, answer: Answer) -> None:
        """Check that a quarantined request is fatal or was sent more than once."""
        is_quarantined = (
            answer.status == QUARANTINE_STATUS and QUARANTINE_CODE in answer.body
        )
        is_repeated = is_quarantined and sum(
            item.target == call.target for item in self.record.calls_by_id.values()
        )
        holds = not is_quarantined or is_repeated > 1 or FATAL_PART in call.parts
        self.record.check("only fatal requests held", holds, call.ended_at, call.id)

    def _record_end(self, call: SoakCall) -> None:
        call.ended_at = time.monotonic() - self._started

    def _record_cut(self, call: SoakCall, connection: CallerConnection) -> None:
        self._record_end(call)
        call.cut_by = connection.entry
        proxy = self.proxies_by_entry[connection.entry]
        forwarded_at = proxy.forwarded_at_by_port.get(connection.port, 0.0)
        if forwarded_at - self._started >= call.sent_at:
            call.written_at = forwarded_at - self._started

    def _check_success(self, call: SoakCall, answer: Answer, signer: str) -> None:
        """Check that a successful answer is complete and belongs to this call."""
        runners = {run.endpoint for run in self.record.runs_by_id.get(call.id, [])}
        belongs_to_call = (
            answer.headers.get(REQUEST_ID) == call.id and signer in runners
        )
        if call.kind is CallKind.STREAM:
            ids = [
                int(line.partition(b":")[2])
                for line in answer.body.split(b"\n")
                if line.startswith(b"id:")
            ]
            is_complete = ids == list(range(1, EVENTS + 1))
        else:
            is_complete = answer.body == build_body(
                signer, compute_answer_bytes(call.id)
            )
        self.record.check(
            "answer is one's own", belongs_to_call, call.ended_at, call.id
        )
        self.record.check("answer is whole", is_complete, call.ended_at, call.id)
