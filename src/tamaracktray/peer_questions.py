"""Asks peers what they have in force, and answers when they ask.

A process that has just started asks its seeds and the members that are listed, those of
its region first, each a moment after the one before. One answer of a process that is
informed suffices. If all have answered that they know nothing, or refused the
connection, there is nothing to take over. Peers that don't answer are waited for only
for a short time, since they may be gone.
"""

import itertools
import time
from collections.abc import Awaitable, Callable, Iterable
from enum import Enum
from typing import Any

import curio
import msgspec
import structlog
from returns.result import Failure

from tamaracktray.decoding import decode_msgpack
from tamaracktray.effects import Effect
from tamaracktray.events import Event
from tamaracktray.exchange import fetch
from tamaracktray.http_messages import Request
from tamaracktray.in_force import decode_report, encode_report
from tamaracktray.node_events import (
    AskPeer,
    AskPeers,
    InForceReported,
    LogTakeover,
    TakeoverEnded,
)
from tamaracktray.node_state import NodeState
from tamaracktray.responders import Responder
from tamaracktray.snapshots import Collection
from tamaracktray.takeover import build_report, get_routing_version, list_peers
from tamaracktray.types import Address

IN_FORCE_PATH = "/in-force"

# How long a new process waits for the store before it asks the seeds, and the delay
# between seeds, in seconds.
SEED_DELAY_S = 0.3
SEED_RETRY_S = 0.05

# Longest time that a process that has just started waits for answers, in seconds.
ASK_BOUND_S = 0.5

# Delay before another peer is asked as well, in seconds.
ASK_STAGGER_S = 0.05

# Interval at which a process that has just started checks whether it has a
# configuration, in seconds.
CHECK_INTERVAL_S = 0.01

# Timeouts of a whole question to a peer and of its connection, in seconds.
ANSWER_TIMEOUT_S = 3.0
CONNECT_TIMEOUT_S = 0.5

MAX_REPORT_BYTES = 16 * 1_048_576

# Questions to peers whose beacons show something newer that are open at a time.
MAX_CONCURRENT_QUESTIONS = 2


class Outcome(str, Enum):
    """How asking peers ended.

    ``HEARD`` means that an informed peer answered, ``ALONE`` that none is informed, and
    ``UNHEARD`` that some have not answered in time.
    """

    HEARD = "heard"
    ALONE = "alone"
    UNHEARD = "unheard"


async def ask_in_turn(
    addresses: Iterable[Address],
    ask: Callable[[Address], Awaitable[bool]],
    spawn: Callable[..., Awaitable[None]],
    bound_s: float = ASK_BOUND_S,
) -> Outcome:
    """Ask peers until one is informed; ``ask`` returns whether it is."""
    answers: curio.Queue = curio.Queue()

    async def ask_one(address: Address) -> None:
        is_informed = False
        try:
            is_informed = await ask(address)
        finally:
            await answers.put(is_informed)

    remaining = list(addresses)
    deadline = time.monotonic() + bound_s
    open_questions = 0
    while remaining or open_questions:
        now = time.monotonic()
        if now >= deadline:
            return Outcome.UNHEARD
        wait_s = deadline - now
        if remaining:
            await spawn(ask_one, remaining.pop(0))
            open_questions += 1
            wait_s = min(wait_s, ASK_STAGGER_S)
        is_informed = await curio.ignore_after(wait_s, answers.get())
        if is_informed is None:
            continue
        open_questions -= 1
        if is_informed:
            return Outcome.HEARD
    return Outcome.ALONE


class PeerQuestions:
    """Questions of one process to its peers, and its answers to theirs."""

    __slots__ = (
        "_address",
        "_dispatch",
        "_log",
        "_open",
        "_read_state",
        "_seeds",
        "_spawn",
    )

    def __init__(
        self,
        address: Address,
        seeds: Iterable[Address],
        read_state: Callable[[], NodeState],
        dispatch: Callable[[Event], Awaitable[None]],
        spawn: Callable[..., Awaitable[None]],
    ) -> None:
        self._address = address
        self._seeds = tuple(seeds)
        self._read_state = read_state
        self._dispatch = dispatch
        self._spawn = spawn
        self._log = structlog.get_logger()
        self._open: set[Address] = set()
        state = read_state()
        state.takeover.begin(time.monotonic() + state.crashes.verdict_s)

    @property
    def performer_by_effect(
        self,
    ) -> dict[type[Effect], Callable[[Any], Awaitable[None]]]:
        """Return the functions that perform the effects of this module."""
        return {
            AskPeer: self._start_question,
            AskPeers: self._start_all,
            LogTakeover: self._log_takeover,
        }

    def list_loops(
        self, pull_snapshots: Callable[[Address], Awaitable[None]]
    ) -> list[Callable[[], Awaitable[None]]]:
        """Return the loops of a process that starts."""

        async def pull_from_seeds() -> None:
            await self._pull_from_seeds(pull_snapshots)

        return [pull_from_seeds, self._take_over]

    async def _pull_from_seeds(
        self, pull_snapshots: Callable[[Address], Awaitable[None]]
    ) -> None:
        """Pull from the seeds while the data needed to answer callers is missing."""
        await curio.sleep(SEED_DELAY_S)
        for address in itertools.cycle(self._seeds):
            if self._read_state().has_configuration:
                return
            await pull_snapshots(address)
            await curio.sleep(SEED_RETRY_S)

    async def _take_over(self) -> None:
        """Ask the peers once there is a configuration, then end the takeover."""
        while not self._read_state().has_configuration:
            await curio.sleep(CHECK_INTERVAL_S)
        await self._ask_all()
        await self._dispatch(TakeoverEnded(time.monotonic()))

    async def _start_all(self, effect: AskPeers) -> None:
        """Start to ask peers."""
        await self._spawn(self._ask_all)

    async def _start_question(self, effect: AskPeer) -> None:
        """Start to ask one peer, unless enough questions are open."""
        address = effect.address
        if address in self._open or len(self._open) >= MAX_CONCURRENT_QUESTIONS:
            return
        self._open.add(address)
        await self._spawn(self._ask_open, address)

    async def serve(self, request: Request, responder: Responder) -> None:
        """Answer a peer's question."""
        decoded = decode_msgpack(request.body, int | None)
        if isinstance(decoded, Failure):
            await responder.respond(400, [])
            return
        report = build_report(
            self._read_state(), time.monotonic(), self._address, decoded.unwrap()
        )
        await responder.respond(200, [], encode_report(report))

    async def _ask_all(self) -> None:
        began_at = time.monotonic()
        addresses = list_peers(self._read_state(), self._address, self._seeds)
        outcome = await ask_in_turn(addresses, self._ask, self._spawn)
        write = self._log.warning if outcome is Outcome.UNHEARD else self._log.info
        write(
            "peers asked",
            outcome=outcome.value,
            peers=len(addresses),
            took_s=round(time.monotonic() - began_at, 3),
            version=get_routing_version(self._read_state()),
        )

    async def _log_takeover(self, effect: LogTakeover) -> None:
        self._log.warning(
            "peer outranks store",
            peer=effect.peer,
            known_version=effect.known_version,
            version=effect.version,
            versions=effect.version_by_model,
            zones=effect.zones,
            departed=effect.departed,
            settle_s=round(effect.settle_s, 3),
        )

    async def _ask_open(self, address: Address) -> None:
        try:
            await self._ask(address)
        finally:
            self._open.discard(address)

    async def _ask(self, address: Address) -> bool:
        """Ask a peer and apply its report; return whether it is informed."""
        state = self._read_state()
        follows_routing = Collection.ROUTING in state.snapshot_cache.followed
        known_version = get_routing_version(state) if follows_routing else None
        reply = await fetch(
            address,
            "POST",
            IN_FORCE_PATH,
            None,
            msgspec.msgpack.encode(known_version),
            timeout_s=ANSWER_TIMEOUT_S,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            max_bytes=MAX_REPORT_BYTES,
        )
        if isinstance(reply, Failure) or reply.unwrap().status != 200:
            self._log.debug("peer not heard", peer=str(address))
            return False
        decoded = decode_report(reply.unwrap().body)
        if isinstance(decoded, Failure):
            error = decoded.failure().message
            self._log.warning("answer unreadable", peer=str(address), error=error)
            return False
        report = decoded.unwrap()
        await self._dispatch(InForceReported(time.monotonic(), report))
        return report.is_informed
