"""Load on one gateway in virtual time, counted by rank, shared by tests."""

import heapq
import itertools
import random
from collections import Counter

from gateways import STREAM, Gateway, build_call, engine
from tamaracktray.calls import Rank, RefuseCall, SendCall
from tamaracktray.effects import Effect
from tamaracktray.gateway_state import GatewayState
from tamaracktray.outcomes import AttemptPhase

SLOTS = 12
TICK_S = 0.02

# Output tokens of calls and the time that each takes, in seconds, at a full engine.
OUTPUTS = (40, 80, 120, 160)
TOKEN_S = 0.01
CALL_S = TOKEN_S * sum(OUTPUTS) / len(OUTPUTS)


class RankLoad:
    """Plays calls of several ranks at random times and records what became of them."""

    def __init__(
        self, seed: int, ranks: dict[Rank, float], load: float, slots: int = SLOTS
    ) -> None:
        self.random = random.Random(seed)
        self.ranks = ranks
        self.load = load
        self.slots = slots
        self.gateway = Gateway(engine("e", max_batch=slots))
        self.offered: Counter[Rank] = Counter()
        self.started: Counter[Rank] = Counter()
        self.shed: Counter[Rank] = Counter()
        self.refused: Counter[Rank] = Counter()
        self.started_s: Counter[Rank] = Counter()
        self.shed_effects: list[RefuseCall] = []
        self.decisions: list[tuple[str, str]] = []
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, str]] = []
        self._calls_by_id = {}

    @property
    def state(self) -> GatewayState:
        return self.gateway.state

    def served(self, rank: Rank) -> float:
        return self.started[rank] / self.offered[rank]

    @property
    def served_overall(self) -> float:
        return self.started.total() / self.offered.total()

    def forget(self) -> None:
        """Start counting again."""
        for counter in (
            self.offered,
            self.started,
            self.started_s,
            self.shed,
            self.refused,
        ):
            counter.clear()

    def play(self, seconds: float) -> None:
        end = self.gateway.now + seconds
        self._schedule(self.gateway.now, "arrive")
        self._schedule(self.gateway.now, "tick")
        while self._events and self._events[0][0] <= end:
            at, _, what = heapq.heappop(self._events)
            self.gateway.now = at
            if what == "arrive":
                self._record(self._arrive())
                gap_s = CALL_S / self.slots / self.load
                self._schedule(at + self.choose_gap(gap_s), "arrive")
            elif what == "tick":
                self._record(self.gateway.tick(0.0, "e"))
                self._schedule(at + TICK_S, "tick")
            else:
                call = self._calls_by_id[what]
                effects = self.gateway.end(call, "e", AttemptPhase.ANSWERED, status=200)
                self._record(effects)
        self._events = [
            item for item in self._events if item[2] not in ("arrive", "tick")
        ]
        heapq.heapify(self._events)

    def choose_gap(self, mean_s: float) -> float:
        """Return the time to the next arrival, in seconds."""
        return self.random.expovariate(1 / mean_s)

    def choose_caller(self, rank: Rank) -> dict[str, str]:
        """Return the fields of a call that name its caller."""
        return {}

    def _schedule(self, at: float, what: str) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), what))

    def _arrive(self) -> list[Effect]:
        (rank,) = self.random.choices(list(self.ranks), list(self.ranks.values()))
        output = self.random.choice(OUTPUTS)
        call = build_call(
            f"c{next(self._numbers)}",
            STREAM,
            self.gateway.now,
            priority=rank[0],
            route_priority=rank[1],
            prompt_tokens=400,
            output_tokens=output,
            max_output=output,
            **self.choose_caller(rank),
        )
        self._calls_by_id[call.id] = call
        self.offered[rank] += 1
        return self.gateway.arrive(call)

    def _record(self, effects: list[Effect]) -> None:
        for effect in effects:
            if not isinstance(effect, SendCall | RefuseCall):
                continue
            call = self._calls_by_id[effect.call_id]
            if isinstance(effect, SendCall):
                self.decisions.append((call.id, "sent"))
                duration_s = call.output_tokens * TOKEN_S
                self.started[call.rank] += 1
                self.started_s[call.rank] += duration_s
                end = self.gateway.now + duration_s
                self._schedule(end, call.id)
                continue
            self.decisions.append((call.id, "refused"))
            self.refused[call.rank] += 1
            if effect.is_shed:
                self.shed[call.rank] += 1
                self.shed_effects.append(effect)
