"""An endpoint that names a limit gets no more requests from all entries together.

Guards against entries that ignore the limit, and against entries that each keep it by
themselves, so that their sum exceeds it.
"""

import itertools
import math
import time

import curio
import pytest

from gateways import SAFE, Gateway, build_call, engine, sent, worker
from platforms import PlatformFleet, run_fleet
from tamaracktray.beacons import Beacon, decode_beacon, encode_beacon
from tamaracktray.calls import RefuseCall
from tamaracktray.effects import Effect
from tamaracktray.endpoint_limits import (
    MIN_RATE_PER_S,
    REPORT_TTL_S,
    EndpointLimitReceived,
)
from tamaracktray.gateway_limits import (
    handle_limit,
    list_limits,
    merge_peer_limits,
    update_limit_shares,
)
from tamaracktray.outcomes import AttemptPhase
from tamaracktray.ownership import FleetNode
from tamaracktray.types import RunState
from tamaracktray_emulator.platform.worker import WorkerStandIn

# The platform's bound: multiple of the limit, requests beyond it, window in seconds,
# time after the limit was first named from which it holds, in seconds, and time after
# an entry has passed the limit on from which its requests count, in seconds.
ALLOWED_MULTIPLE = 1.5
ALLOWED_EXTRA = 5
WINDOW_S = 4.0
CONTACT_S = 3.0
TOLD_S = 0.5


def count_most(arrivals: list[float], since: float) -> int:
    """Return the most arrivals in a window that ends at ``since`` or later."""
    return max(
        (
            sum(arrival - WINDOW_S < other <= arrival for other in arrivals)
            for arrival in arrivals
            if arrival >= since
        ),
        default=0,
    )


class LimitHarness:
    """Callers that send requests to all entries of a fleet in turn."""

    def __init__(self, fleet: PlatformFleet, path: str) -> None:
        self.fleet = fleet
        self.path = path
        self.statuses: list[int] = []
        self._numbers = itertools.count(1)
        self._tasks: list[curio.Task] = []

    async def start(self, *, entries: int, workers: int) -> None:
        """Start the fleet and wait until every entry knows all workers."""
        await self.fleet.start(entries=entries)
        for number in range(workers):
            if self.path == "/talk/1":
                await self.fleet.add_engine(f"w-{number}")
            else:
                await self.fleet.add_worker(f"w-{number}")
        await self.fleet.until(
            lambda: all(
                len(entry.state.roster.records_by_id) == workers
                for entry in self.fleet.entries
            )
        )

    @property
    def limited(self) -> WorkerStandIn:
        """The worker that names a limit."""
        return self.fleet.workers["w-0"]

    async def send(self, *, duration_s: float, rate_per_s: float) -> None:
        """Send requests at a steady rate without waiting for their answers."""
        deadline = time.monotonic() + duration_s
        while time.monotonic() < deadline:
            number = next(self._numbers)
            self._tasks.append(await curio.spawn(self._call, number, daemon=True))
            await curio.sleep(1.0 / rate_per_s)

    async def _call(self, number: int) -> None:
        entry = number % len(self.fleet.entries)
        reply = await self.fleet.call(self.path, f"id-{number}", entry=entry)
        self.statuses.append(reply.status)

    async def close(self) -> None:
        """Cancel the calls in progress."""
        for task in self._tasks:
            await task.cancel(blocking=False)


def run_scenario(scenario, path: str, **size: int) -> None:
    async def main(fleet: PlatformFleet) -> None:
        harness = LimitHarness(fleet, path)
        try:
            await harness.start(**size)
            await scenario(harness)
        finally:
            await harness.close()

    run_fleet(main)


class TestLimitIsKept:
    @pytest.mark.parametrize("path", ["/talk/1", "/look/1"])
    @pytest.mark.parametrize(
        ("entries", "workers", "limit_per_s", "rate_per_s"),
        [(1, 2, 1.7, 20.0), (4, 4, 1.7, 40.0), (10, 8, 1.8, 120.0), (4, 4, 6.0, 60.0)],
    )
    def test_limited_endpoint_gets_no_more_from_all_entries_together(
        self, path, entries, workers, limit_per_s, rate_per_s
    ):
        async def scenario(harness: LimitHarness) -> None:
            await harness.send(duration_s=1.0, rate_per_s=rate_per_s)
            harness.limited.limit = str(limit_per_s)
            named_at = time.monotonic()
            await harness.send(duration_s=7.5, rate_per_s=rate_per_s)
            # Requests of entries that were not told yet are counted as well.
            arrivals = [
                at for at in harness.limited.arrived_at if at >= named_at + TOLD_S
            ]
            allowed = ALLOWED_MULTIPLE * limit_per_s * WINDOW_S + ALLOWED_EXTRA
            assert count_most(arrivals, named_at + CONTACT_S) <= allowed
            # The limit is used, not only kept.
            used = sum(arrival > named_at + CONTACT_S for arrival in arrivals)
            assert used >= limit_per_s

        run_scenario(scenario, path, entries=entries, workers=workers)


OWN, PEER = "entry-0", "entry-1"


def name_limit(
    gateway: Gateway, endpoint: str, rate_per_s: float | None, sent_at: float = 0.0
) -> list[Effect]:
    event = EndpointLimitReceived(gateway.now, endpoint, rate_per_s, sent_at)
    return handle_limit(gateway.context, event)


def count_sent(
    gateway: Gateway, seconds: float, calls_per_s: int = 20, rate_per_s=None
) -> int:
    """Offer calls and return how many were sent; each is answered at once.

    The answers name the limit ``rate_per_s`` if it is given.
    """
    count = 0
    for number in range(int(seconds * calls_per_s)):
        gateway.tick(1.0 / calls_per_s)
        call = build_call(f"{gateway.now}-{number}", SAFE, now=gateway.now)
        for endpoint in sent(gateway.arrive(call)):
            count += 1
            if rate_per_s is not None:
                name_limit(gateway, endpoint, rate_per_s)
            gateway.end(call, endpoint, AttemptPhase.ANSWERED, status=200)
        gateway.leave(call)
    return count


class TestNamedLimit:
    def build_gateway(self, *, peers: int = 0) -> Gateway:
        gateway = Gateway(worker("w-0"), peers=peers)
        nodes = [FleetNode(OWN, "r")]
        nodes += [FleetNode(f"entry-{number}", "r") for number in range(1, peers + 1)]
        gateway.state.entries = tuple(nodes)
        return gateway

    def test_limit_is_kept_until_an_answer_names_none(self):
        gateway = self.build_gateway()
        name_limit(gateway, "w-0", 2.0)
        assert count_sent(gateway, 10.0) <= 21
        (note,) = name_limit(gateway, "w-0", None, sent_at=gateway.now)
        assert note.rate_per_s is None
        assert count_sent(gateway, 1.0) == 20

    def test_answer_to_an_earlier_request_does_not_end_a_limit(self):
        gateway = self.build_gateway()
        gateway.now = 5.0
        name_limit(gateway, "w-0", 2.0)
        assert name_limit(gateway, "w-0", None, sent_at=4.0) == []
        assert gateway.load("w-0").limit is not None

    @pytest.mark.parametrize("rate_per_s", [math.nan, math.inf, -1.0])
    def test_unreadable_limit_is_logged_and_changes_nothing(self, rate_per_s):
        gateway = self.build_gateway()
        (note,) = name_limit(gateway, "w-0", rate_per_s)
        assert not note.is_valid
        assert gateway.load("w-0").limit is None
        name_limit(gateway, "w-0", 2.0)
        name_limit(gateway, "w-0", rate_per_s)
        assert gateway.load("w-0").limit.rate_per_s == 2.0

    def test_limit_of_zero_leaves_a_request_now_and_then(self):
        gateway = self.build_gateway()
        name_limit(gateway, "w-0", 0.0)
        assert 1 <= count_sent(gateway, 20.0) <= 20.0 * MIN_RATE_PER_S + 1

    @pytest.mark.parametrize("rate_per_s", [1e6, 1e300])
    def test_absurdly_large_limit_limits_nothing(self, rate_per_s):
        gateway = self.build_gateway()
        name_limit(gateway, "w-0", rate_per_s)
        assert count_sent(gateway, 2.0) == 40

    def test_changed_limit_applies_at_once(self):
        gateway = self.build_gateway()
        name_limit(gateway, "w-0", 10.0)
        name_limit(gateway, "w-0", 1.0)
        assert count_sent(gateway, 10.0) <= 13

    def test_requests_from_before_the_limit_count(self):
        gateway = self.build_gateway()
        before = count_sent(gateway, 1.0)
        name_limit(gateway, "w-0", 2.0)
        after = count_sent(gateway, CONTACT_S)
        assert before + after <= max(before, ALLOWED_MULTIPLE * 2.0 * WINDOW_S + 5)

    def test_restarted_endpoint_has_no_limit(self):
        gateway = self.build_gateway()
        name_limit(gateway, "w-0", 2.0)
        gateway.follow(worker("w-0", start_time_ms=5))
        assert gateway.load("w-0").limit is None

    def test_call_is_refused_at_once_if_only_others_may_send(self):
        gateway = Gateway(engine("e-0"), owned=[])
        gateway.state.entries = (FleetNode(OWN, "r"), FleetNode(PEER, "r"))
        load = gateway.load("e-0")
        load.set_owned(OWN, is_owned=False)
        name_limit(gateway, "e-0", 2.0)
        (refused,) = gateway.arrive(build_call("c"))
        assert isinstance(refused, RefuseCall)
        assert refused.refusal.run is RunState.NOT_RUN
        assert refused.refusal.retry_after_s > 0


class TestSharedLimit:
    def build_gateways(self, entries: int) -> list[Gateway]:
        """Return the gateways of entries that all know one worker."""
        nodes = tuple(FleetNode(f"entry-{number}", "r") for number in range(entries))
        gateways: list[Gateway] = []
        for node in nodes:
            gateway = Gateway(worker("w-0", max_batch=100), peers=entries - 1)
            gateway.state.name = node.name
            gateway.state.entries = nodes
            gateways.append(gateway)
        return gateways

    def report(self, gateways: list[Gateway]) -> None:
        """Exchange beacons between all gateways."""
        for sender in gateways:
            limits = list_limits(sender.state, sender.now)
            for receiver in gateways:
                if receiver is not sender and limits:
                    merge_peer_limits(receiver.context, receiver.now, limits)

    @pytest.mark.parametrize("entries", [1, 2, 5, 10, 40])
    @pytest.mark.parametrize("rate_per_s", [0.0, 0.4, 1.7, 6.0, 50.0])
    def test_shares_of_all_entries_stay_within_the_bound(self, entries, rate_per_s):
        gateways = self.build_gateways(entries)
        for gateway in gateways:
            name_limit(gateway, "w-0", rate_per_s)
        counts: list[int] = []
        for _ in range(40):
            self.report(gateways)
            counts.append(
                sum(
                    count_sent(gateway, 0.5, rate_per_s=rate_per_s)
                    for gateway in gateways
                )
            )
        steps = int(WINDOW_S / 0.5)
        most = max(sum(counts[n : n + steps]) for n in range(len(counts)))
        assert most <= ALLOWED_MULTIPLE * rate_per_s * WINDOW_S + ALLOWED_EXTRA

    def test_limit_that_only_peers_report_ends_with_their_reports(self):
        gateway, _ = self.build_gateways(2)
        merge_peer_limits(gateway.context, gateway.now, {"w-0": 1.0, "gone": 1.0})
        assert count_sent(gateway, REPORT_TTL_S / 2) <= 2
        assert list_limits(gateway.state, gateway.now) == {}
        gateway.tick(REPORT_TTL_S)
        assert gateway.load("w-0").limit is None

    def test_engine_is_left_to_its_owner_while_it_reports_the_limit(self):
        gateway = Gateway(engine("e-0"), owned=[])
        gateway.state.entries = (FleetNode(OWN, "r"), FleetNode(PEER, "r"))
        gateway.load("e-0").set_owned(OWN, is_owned=False)
        name_limit(gateway, "e-0", 2.0)
        for number in range(20):
            merge_peer_limits(gateway.context, gateway.now, {"e-0": 2.0})
            gateway.tick(REPORT_TTL_S / 2)
            call = build_call(f"early-{number}", now=gateway.now)
            assert not sent(gateway.arrive(call))
        gateway.tick(2 * REPORT_TTL_S)
        late = build_call("late", now=gateway.now)
        assert sent(gateway.arrive(late)) == ["e-0"]
        name_limit(gateway, "e-0", None, sent_at=gateway.now)
        assert gateway.load("e-0").limit is None

    def test_new_owner_keeps_the_limit_that_the_old_one_reported(self):
        gateway = Gateway(engine("e-0", max_batch=16), owned=[])
        gateway.state.entries = (FleetNode(OWN, "r"), FleetNode(PEER, "r"))
        load = gateway.load("e-0")
        load.set_owned(OWN, is_owned=False)
        merge_peer_limits(gateway.context, gateway.now, {"e-0": 2.0})
        load.set_owned(OWN, is_owned=True)
        update_limit_shares(gateway.context, gateway.now)
        calls = [build_call(f"c-{number}", now=gateway.now) for number in range(5)]
        assert sum(len(sent(gateway.arrive(call))) for call in calls) == 1

    @pytest.mark.parametrize("rate_per_s", [math.nan, math.inf, -1.0])
    def test_beacon_with_an_invalid_limit_is_rejected(self, rate_per_s):
        beacon = Beacon("a", 1, 1, {}, {}, limits_by_endpoint={"w-0": rate_per_s})
        assert decode_beacon(encode_beacon(beacon)).value_or(None) is None
