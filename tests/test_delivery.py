"""Delivery of a version to an engine: fetch, verify, claim a slot, drain and load.

Guards against loads of corrupt weights, loads without a valid slot or fencing token,
and engines that serve nothing after a failed load.
"""

import time

import curio
import pytest
from returns.result import Success

from tamaracktray.delivery import FAILED_LOAD_RETRY_S, SLOT_RETRY_S
from tamaracktray.delivery_state import Phase
from tamaracktray.effects import (
    ClaimSlot,
    FetchChunk,
    FetchManifest,
    LoadVersion,
    ReleaseSlot,
    ReportEndpoint,
    StartRun,
    VerifyWeights,
)
from tamaracktray.endpoints import HttpModelEngine, LoadOrder
from tamaracktray.events import (
    AttemptArrived,
    ChunkFetched,
    EngineLost,
    EngineReported,
    LoadWithdrawn,
    ManifestFetched,
    RunEnded,
    SlotAnswered,
    Tick,
    VersionLoaded,
    WeightsVerified,
)
from tamaracktray.exceptions import OrderExpiredError
from tamaracktray.http import HttpServer
from tamaracktray.outcomes import FetchOutcome, RunOutcome, SlotOutcome
from tamaracktray.resources import Kind, RolloutSpec, RolloutState, VersionSpec
from tamaracktray.slots import SlotClient
from tamaracktray.testing import (
    MemoryObjectStore,
    make_agent,
    make_instance,
    make_model,
    make_request,
    make_resource,
    make_zone,
)
from tamaracktray.transfer import TransferSettings
from tamaracktray.types import Address, TargetKind
from tamaracktray.weights import Manifest

STORED, ABSENT, CORRUPT = (
    FetchOutcome.STORED,
    FetchOutcome.ABSENT,
    FetchOutcome.CORRUPT,
)
OLD, NEW, OTHER = "a" * 64, "b" * 64, "c" * 64
MANIFEST = Manifest(4, 10, ["c1", "c2", "c3"])


def make_version(name: str, digest: str, number: int):
    return make_resource(Kind.VERSION, name, VersionSpec("kiln", digest), number)


def make_rollout(target: str, number: int, **fields):
    spec = RolloutSpec("kiln", target, **fields)
    return make_resource(Kind.ROLLOUT, "roll", spec, number)


class EngineDriver:
    """Drives an agent through the phases of a delivery."""

    def __init__(self, name: str = "agent-1") -> None:
        self.driver = make_agent(name, kind=TargetKind.MODEL, serves="kiln")
        self.driver.configure(
            make_model(),
            make_zone("zone-a", 2),
            make_version("old", OLD, 3),
            make_version("new", NEW, 4),
            make_version("other", OTHER, 5),
        )
        names = ("agent-1", "peer", "other")
        self.driver.list_instances([make_instance(name) for name in names])

    @property
    def delivery(self):
        return self.driver.state.delivery

    def send(self, event_type, *args, **named):
        return self.driver.send(event_type(self.driver.now, *args, **named))

    def report(self, manifest: str, boot: str = "boot-1", **named):
        return self.send(EngineReported, boot, manifest, True, **named)

    def configure(self, *resources, revision: int = 50):
        return self.driver.configure(*resources, revision=revision)

    def fetch_all(self):
        """Complete the transfer and return the fetched digests."""
        fetched = []
        effects = self.driver.effects
        while pending := [e for e in effects if isinstance(e, FetchChunk)]:
            effects = []
            for fetch in pending:
                fetched.append(fetch.digest)
                source = fetch.source_name
                effects += self.send(ChunkFetched, fetch.digest, source, STORED)
        return fetched

    def verify(self, bad_chunks=(), manifest: str = NEW, age_s: float = 0.0):
        """Report a verification that began ``age_s`` seconds ago."""
        began_at = self.driver.now - age_s
        return self.send(WeightsVerified, manifest, list(bad_chunks), began_at)

    def advance_to_slot(self, manifest: str = NEW):
        assert self.driver.find(FetchManifest)
        self.send(ManifestFetched, manifest, MANIFEST)
        self.fetch_all()
        assert self.driver.find(VerifyWeights)
        self.verify(manifest=manifest)

    def grant_slot(self, fence: int = 7, manifest: str = NEW, lease_s: float = 60.0):
        deadline = self.driver.now + lease_s
        granted = SlotOutcome.GRANTED
        return self.send(SlotAnswered, manifest, granted, fence, deadline)

    def advance_to_serving(self, manifest: str = NEW):
        self.advance_to_slot(manifest)
        self.grant_slot(manifest=manifest)
        self.send(VersionLoaded, manifest, True)
        self.report(manifest)


def start_rollout_on_old() -> EngineDriver:
    engine = EngineDriver()
    engine.report(OLD)
    engine.configure(make_rollout("new", 20))
    return engine


def start_rollout_during_request() -> EngineDriver:
    """Return an agent that runs a request on the old version as a rollout starts."""
    engine = EngineDriver()
    engine.report(OLD)
    engine.send(AttemptArrived, make_request("r1"))
    assert engine.driver.find(StartRun)[0].manifest == OLD
    engine.configure(make_rollout("new", 20))
    return engine


class TestSteps:
    def test_from_rollout_to_serving(self):
        engine = EngineDriver()
        engine.report("")
        engine.configure(make_rollout("new", 20))
        engine.advance_to_serving()
        assert engine.delivery.serving == NEW
        assert engine.delivery.phase is Phase.SERVING
        assert engine.driver.find(ReleaseSlot) == [ReleaseSlot("roll")]

    def test_old_version_serves_until_the_slot_is_granted(self):
        engine = start_rollout_on_old()
        engine.advance_to_slot()
        assert engine.delivery.serving == OLD
        assert engine.driver.find(ClaimSlot)[0].is_swap
        engine.grant_slot()
        assert engine.delivery.serving == ""

    def test_running_requests_are_finished_before_the_load(self):
        engine = start_rollout_during_request()
        engine.advance_to_slot()
        engine.grant_slot()
        assert not engine.driver.find(LoadVersion)
        engine.send(RunEnded, "r1", RunOutcome.COMPLETED)
        assert engine.driver.find(LoadVersion)[0].fence == 7

    def test_only_missing_chunks_are_fetched(self):
        engine = EngineDriver()
        engine.report("", staged=["c1", "c3"])
        engine.configure(make_rollout("new", 20))
        engine.send(ManifestFetched, NEW, MANIFEST)
        assert engine.fetch_all() == ["c2"]


class TestManifest:
    def test_only_the_first_in_rank_uses_the_origin_at_once(self):
        allowed = []
        for name in ("agent-1", "peer", "other"):
            engine = EngineDriver(name)
            engine.report("")
            engine.configure(make_rollout("new", 20))
            allowed.append(engine.driver.find(FetchManifest)[0].may_use_origin)
        assert allowed.count(True) == 1

    def test_other_instances_use_the_origin_when_no_peer_has_it(self):
        engine = EngineDriver("agent-1")
        engine.report("")
        engine.configure(make_rollout("new", 20))
        reports = 0
        for _ in range(10):
            reports += len(engine.driver.find(ReportEndpoint))
            engine.send(ManifestFetched, NEW, None)
            reports += len(engine.driver.find(ReportEndpoint))
            engine.driver.now += 1.0
            engine.send(Tick)
        assert engine.driver.find(FetchManifest)[0].may_use_origin
        assert reports <= 2

    def test_version_without_a_manifest_is_reported_once_the_origin_has_none(self):
        for name in ("agent-1", "peer", "other"):
            engine = EngineDriver(name)
            engine.report("")
            engine.configure(make_rollout("new", 20))
            if not engine.driver.find(FetchManifest)[0].may_use_origin:
                continue
            engine.send(ManifestFetched, NEW, None)
            [report] = engine.driver.find(ReportEndpoint)
            assert report.reason == "no source has the manifest"
            return
        pytest.fail("no instance may use the origin")


class TestFaults:
    def test_corrupt_chunk_is_fetched_from_another_source(self):
        engine = EngineDriver()
        engine.report("")
        engine.configure(make_rollout("new", 20))
        engine.send(ManifestFetched, NEW, MANIFEST)
        bad = engine.driver.find(FetchChunk)[0]
        engine.send(ChunkFetched, bad.digest, bad.source_name, CORRUPT)
        sources = set()
        for _ in range(40):
            engine.driver.now += 1.0
            for fetch in engine.send(Tick):
                if isinstance(fetch, FetchChunk) and fetch.digest == bad.digest:
                    sources.add(fetch.source_name)
                    engine.send(ChunkFetched, fetch.digest, fetch.source_name, ABSENT)
        assert sources - {bad.source_name}

    def test_chunks_that_fail_verification_are_fetched_again(self):
        engine = EngineDriver()
        engine.report("")
        engine.configure(make_rollout("new", 20))
        engine.send(ManifestFetched, NEW, MANIFEST)
        engine.fetch_all()
        engine.verify(["c2"])
        assert engine.delivery.phase is Phase.CHUNKS
        assert not engine.driver.find(ClaimSlot)

    @pytest.mark.parametrize("stop_after", ["manifest", "chunks", "verify", "slot"])
    def test_target_change_during_delivery(self, stop_after):
        engine = start_rollout_on_old()
        if stop_after != "manifest":
            engine.send(ManifestFetched, NEW, MANIFEST)
        if stop_after in ("verify", "slot"):
            engine.fetch_all()
        if stop_after == "slot":
            engine.verify()
        engine.configure(make_rollout("other", 30), revision=60)
        assert engine.driver.find(FetchManifest)[0].digest == OTHER
        engine.send(ManifestFetched, NEW, MANIFEST)
        engine.verify()
        engine.grant_slot()
        assert not engine.driver.find(LoadVersion)
        assert engine.driver.find(ReleaseSlot)
        assert engine.delivery.serving == OLD

    def test_slot_whose_lease_expires_during_the_drain_is_not_used(self):
        engine = start_rollout_during_request()
        engine.advance_to_slot()
        engine.grant_slot(lease_s=5.0)
        engine.driver.now += 6.0
        engine.send(RunEnded, "r1", RunOutcome.COMPLETED)
        assert not engine.driver.find(LoadVersion)
        assert engine.driver.find(ReleaseSlot)
        assert engine.delivery.serving == OLD

    def test_old_fencing_token_never_reaches_the_engine(self):
        engine = start_rollout_on_old()
        engine.advance_to_slot()
        engine.delivery.fence = 9
        engine.grant_slot(fence=8)
        assert not engine.driver.find(LoadVersion)

    def test_engine_that_restarts_without_version_serves_nothing(self):
        engine = start_rollout_on_old()
        engine.report("", boot="boot-2")
        assert engine.delivery.serving == ""

    def test_version_that_is_not_declared_is_not_served(self):
        engine = EngineDriver()
        engine.report("f" * 64)
        assert engine.delivery.serving == ""

    def test_stale_report_after_a_load_is_ignored(self):
        engine = start_rollout_on_old()
        engine.advance_to_slot()
        engine.grant_slot()
        engine.report(OLD)
        engine.send(VersionLoaded, NEW, True)
        engine.report(OLD)
        assert engine.delivery.serving == ""
        engine.report(NEW)
        assert engine.delivery.serving == NEW

    def test_lost_engine_serves_nothing(self):
        engine = start_rollout_on_old()
        engine.send(EngineLost)
        assert engine.delivery.serving == ""


class TestExpiredVerification:
    # Chunks that turned bad while the agent waited were loaded unverified.
    TTL_S = TransferSettings().verify_ttl_s

    def test_chunks_are_verified_again_before_a_late_claim(self):
        engine = start_rollout_on_old()
        engine.advance_to_slot()
        engine.send(SlotAnswered, NEW, SlotOutcome.BUSY)
        engine.driver.now += self.TTL_S
        engine.send(Tick)
        assert engine.driver.find(VerifyWeights)
        assert not engine.driver.find(ClaimSlot)
        engine.verify()
        assert engine.driver.find(ClaimSlot)
        engine.grant_slot()
        assert engine.driver.find(LoadVersion)

    @pytest.mark.parametrize("bad_chunks", [[], ["c2"]])
    def test_chunks_are_verified_again_after_a_long_drain(self, bad_chunks):
        engine = start_rollout_during_request()
        engine.advance_to_slot()
        engine.grant_slot(lease_s=4 * self.TTL_S)
        engine.driver.now += self.TTL_S
        engine.send(RunEnded, "r1", RunOutcome.COMPLETED)
        assert engine.driver.find(VerifyWeights)
        assert not engine.driver.find(LoadVersion)
        engine.send(Tick)
        assert not engine.driver.find(VerifyWeights)
        engine.verify(bad_chunks)
        assert bool(engine.driver.find(LoadVersion)) is not bool(bad_chunks)
        assert bool(engine.driver.find(ReleaseSlot)) is bool(bad_chunks)
        assert engine.delivery.serving == (OLD if bad_chunks else "")

    def test_verification_counts_from_its_first_read(self):
        engine = start_rollout_on_old()
        engine.send(ManifestFetched, NEW, MANIFEST)
        engine.fetch_all()
        engine.driver.now += 2 * self.TTL_S
        engine.verify(age_s=2 * self.TTL_S)
        assert not engine.driver.find(ClaimSlot)
        assert engine.driver.find(VerifyWeights)
        assert "verify_ttl_s" in engine.driver.find(ReportEndpoint)[0].reason

    def test_order_is_not_sent_after_the_verification_or_the_lease_expired(self):
        for lease_s, valid_s in ((5.0, 5.0), (4 * self.TTL_S, self.TTL_S)):
            engine = start_rollout_on_old()
            engine.advance_to_slot()
            began_at = engine.driver.now
            engine.grant_slot(lease_s=lease_s)
            [order] = engine.driver.find(LoadVersion)
            assert order.deadline == began_at + valid_s

    def test_expired_order_is_no_failure_of_the_version(self):
        engine = start_rollout_on_old()
        engine.advance_to_slot()
        engine.grant_slot(fence=7)
        engine.driver.now += 2 * self.TTL_S
        engine.send(LoadWithdrawn, NEW, "expired")
        assert engine.driver.find(ReleaseSlot) == [ReleaseSlot("roll")]
        assert engine.delivery.serving == OLD
        engine.driver.now += SLOT_RETRY_S
        engine.send(Tick)
        assert engine.driver.find(VerifyWeights)
        engine.verify()
        engine.grant_slot(fence=8)
        assert engine.driver.find(LoadVersion)


class TestOrderDeadline:
    # An agent that froze before the order sent it long after the verification.
    def test_order_is_not_sent_after_its_deadline(self):
        orders = []

        async def scenario():
            async def answer(request, responder):
                orders.append(request.path)
                await responder.respond(200, [])

            server = HttpServer(Address("127.0.0.1", 0), answer)
            await server.open()
            task = await curio.spawn(server.serve)
            engine = HttpModelEngine(server.address)
            order = LoadOrder(NEW, ["c1"], 7)
            try:
                expired = await engine.load(order, 1.0, time.monotonic())
                sent = await engine.load(order, 1.0, time.monotonic() + 1.0)
            finally:
                await task.cancel()
            return expired, sent

        expired, sent = curio.run(scenario)
        assert isinstance(expired.failure(), OrderExpiredError)
        assert isinstance(sent, Success)
        assert orders == ["/admin/load"]


class TestFailures:
    @pytest.mark.parametrize("is_crash", [False, True])
    def test_version_that_fails_to_load_is_replaced_by_the_old_one(self, is_crash):
        engine = start_rollout_on_old()
        engine.advance_to_slot()
        engine.grant_slot()
        if is_crash:
            engine.report("", boot="boot-2")
            assert engine.delivery.serving == ""
            assert engine.driver.find(FetchManifest)[0].digest == OLD
        else:
            engine.send(VersionLoaded, NEW, False, "bad shape")
            assert engine.delivery.serving == OLD
        assert engine.delivery.target.manifest != NEW

    def test_failure_is_recorded_with_the_release(self):
        engine = start_rollout_on_old()
        engine.advance_to_slot()
        engine.grant_slot()
        engine.send(VersionLoaded, NEW, False, "bad shape")
        assert engine.driver.find(ReleaseSlot) == [ReleaseSlot("roll", "bad shape")]

    def test_halted_rollout_falls_back_where_nothing_serves(self):
        engine = EngineDriver()
        engine.report("")
        engine.configure(make_rollout("new", 20, previous_version="old"))
        engine.advance_to_slot()
        engine.send(SlotAnswered, NEW, SlotOutcome.HALTED, reason="halted")
        assert engine.driver.find(FetchManifest)[0].digest == OLD

    def test_halt_does_not_stop_the_rollback(self):
        """An engine that crashed has no version, so its rollback ignores the limit."""
        engine = start_rollout_on_old()
        engine.advance_to_slot()
        assert engine.driver.find(ClaimSlot)[0].failure_limit is not None
        engine.grant_slot()
        engine.report("", boot="boot-2")
        engine.advance_to_slot(OLD)
        (claim,) = engine.driver.find(ClaimSlot)
        assert claim.manifest == OLD
        assert claim.failure_limit is None

    def test_version_that_fails_again_is_not_tried_again_at_once(self):
        engine = start_rollout_on_old()
        engine.advance_to_slot()
        engine.grant_slot()
        engine.report("", boot="boot-2")
        engine.advance_to_slot(OLD)
        engine.grant_slot(8, OLD)
        engine.report("", boot="boot-3")
        assert not engine.driver.find(FetchManifest)
        # A restart of the engine must not trigger another load before the pause ends.
        engine.report("", boot="boot-4")
        assert not engine.driver.find(FetchManifest)
        engine.driver.now += FAILED_LOAD_RETRY_S
        engine.report("", boot="boot-4")
        assert engine.driver.find(FetchManifest)

    @pytest.mark.parametrize(
        ("state", "target"),
        [(RolloutState.PAUSED, ""), (RolloutState.ABORTED, OTHER)],
    )
    def test_operators_stop_a_rollout(self, state, target):
        engine = start_rollout_on_old()
        engine.advance_to_slot()
        stopped = make_rollout("new", 30, state=state, previous_version="other")
        engine.configure(stopped, revision=60)
        assert engine.delivery.target.manifest == target
        assert engine.delivery.serving == OLD

    def test_changed_rollout_tries_a_failed_version_again(self):
        engine = start_rollout_on_old()
        engine.advance_to_slot()
        engine.grant_slot()
        engine.send(VersionLoaded, NEW, False, "bad shape")
        engine.configure(make_rollout("new", 40), revision=70)
        assert engine.delivery.target.manifest == NEW


class TestSlotKeeper:
    def claim(self, failure_limit: int | None) -> SlotOutcome:
        async def scenario() -> SlotOutcome:
            keeper = SlotClient(MemoryObjectStore(), "agent-1", "kiln", "zone-a", 10.0)
            for _ in range(2):
                assert await keeper.record_failure("roll", "bad shape")
            grant = await keeper.claim("roll", 1, failure_limit, is_swap=False)
            return grant.outcome

        return curio.run(scenario)

    def test_failures_of_a_rollout_halt_it(self):
        assert self.claim(1) is SlotOutcome.HALTED
        assert self.claim(2) is SlotOutcome.GRANTED

    def test_failures_are_ignored_without_a_limit(self):
        assert self.claim(None) is SlotOutcome.GRANTED
