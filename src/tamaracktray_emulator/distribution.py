"""Simulates the distribution of one version in rounds: the planner against baselines.

In each round the origin sends up to ``origin_chunks``, and every instance receives and
sends up to ``instance_chunks`` each. A request to a source that lacks the chunk is
free. The planner is the production code; its clock advances by ``ROUND_S`` per round.
"""

import random
from abc import ABC, abstractmethod

import msgspec
from typing_extensions import override

from tamaracktray.holders import Holders, index_chunks
from tamaracktray.outcomes import FetchOutcome
from tamaracktray.testing import make_instance
from tamaracktray.transfer import Transfer, TransferSettings
from tamaracktray.types import Instance
from tamaracktray.weights import Manifest

ROUND_S = 1.0
PASSES_PER_ROUND = 16
SETTINGS = TransferSettings(chunk_timeout_s=10.0, takeover_s=5.0)


class DistributionPlan(msgspec.Struct, frozen=True):
    """Sizes and faults of one distribution.

    ``killed`` instances fail at the start of ``kill_round``; ``stalled`` instances
    never receive from the origin; ``corrupt_share`` of all transfers is corrupt.
    """

    instances: int
    regions: int = 4
    chunks: int = 128
    origin_chunks: int = 4
    instance_chunks: int = 2
    killed: int = 0
    kill_round: int = 20
    stalled: int = 0
    corrupt_share: float = 0.0
    max_rounds: int = 6_000
    seed: int = 1


class DistributionReport(msgspec.Struct, frozen=True):
    """Results of one distribution; amounts in copies of the version."""

    policy: str
    instances: int
    rounds: int
    bound: int
    origin_copies: float
    largest_upload: float
    busiest_link: float
    asks_per_chunk: float


class Distribution(ABC):
    """Base class of a distribution in rounds; subclasses choose the sources."""

    name = ""

    def __init__(self, plan: DistributionPlan) -> None:
        self.plan = plan
        self.random = random.Random(plan.seed)
        self.manifest = Manifest(1, plan.chunks, [f"c{i}" for i in range(plan.chunks)])
        self._index_by_digest = index_chunks(self.manifest)
        self.instances = [
            make_instance(f"i{number}", region=f"region-{number % plan.regions}")
            for number in range(plan.instances)
        ]
        self.instance_by_name = {instance.name: instance for instance in self.instances}
        self.chunks_by_name: dict[str, set[str]] = {
            name: set() for name in self.instance_by_name
        }
        self.chunk_map_by_name = dict.fromkeys(self.instance_by_name, 0)
        self.failed_names: set[str] = set()
        self.stalled = {item.name for item in self.instances[: plan.stalled]}
        self.origin_sent = 0
        self.sent_by_name = dict.fromkeys(self.instance_by_name, 0)
        self.sent_by_link: dict[tuple[str, str], int] = {}
        self.request_count = 0
        self.now = 1.0
        self._origin_left = 0
        self._upload_left_by_name: dict[str, int] = {}
        self._download_left_by_name: dict[str, int] = {}

    @abstractmethod
    def fetch_chunks(self, instance: Instance) -> None:
        """Fetch as many chunks for one instance as the links allow."""

    def run(self) -> DistributionReport:
        """Run until all live instances have all chunks, or for ``max_rounds``."""
        rounds = 0
        while rounds < self.plan.max_rounds and not self._is_done():
            rounds += 1
            if rounds == self.plan.kill_round:
                self._kill()
            self._run_round()
        return self._report(rounds)

    def transfer(self, source: str, target: Instance, digest: str) -> FetchOutcome:
        """Try to transfer one chunk; an empty source stands for the origin.

        The outcome is ``PENDING`` when a link has no capacity left in this round.
        """
        self.request_count += 1
        if self._download_left_by_name[target.name] <= 0:
            return FetchOutcome.PENDING
        if not source:
            return self._fetch_from_origin(target, digest)
        if source in self.failed_names:
            return FetchOutcome.FAILED
        if digest not in self.chunks_by_name[source]:
            return FetchOutcome.ABSENT
        if self._upload_left_by_name[source] <= 0:
            return FetchOutcome.PENDING
        self._upload_left_by_name[source] -= 1
        self.sent_by_name[source] += 1
        self._count_link_transfer(self.instance_by_name[source].region, target.region)
        return self._receive(target, digest)

    def list_missing(self, instance: Instance) -> list[str]:
        """Return the chunks that an instance lacks."""
        held = self.chunks_by_name[instance.name]
        return [digest for digest in self.manifest.chunks if digest not in held]

    def _fetch_from_origin(self, target: Instance, digest: str) -> FetchOutcome:
        if target.name in self.stalled:
            return FetchOutcome.FAILED
        if self._origin_left <= 0:
            return FetchOutcome.PENDING
        self._origin_left -= 1
        self.origin_sent += 1
        self._count_link_transfer("origin", target.region)
        return self._receive(target, digest)

    def _receive(self, target: Instance, digest: str) -> FetchOutcome:
        self._download_left_by_name[target.name] -= 1
        if self.random.random() < self.plan.corrupt_share:
            return FetchOutcome.CORRUPT
        self.chunks_by_name[target.name].add(digest)
        self.chunk_map_by_name[target.name] |= 1 << self._index_by_digest[digest]
        return FetchOutcome.STORED

    def _run_round(self) -> None:
        self._origin_left = self.plan.origin_chunks
        limit = self.plan.instance_chunks
        self._upload_left_by_name = dict.fromkeys(self.instance_by_name, limit)
        self._download_left_by_name = dict.fromkeys(self.instance_by_name, limit)
        live = [item for item in self.instances if item.name not in self.failed_names]
        for _ in range(PASSES_PER_ROUND):
            self.now += ROUND_S / PASSES_PER_ROUND
            self.random.shuffle(live)
            for instance in live:
                if self._download_left_by_name[instance.name] > 0:
                    self.fetch_chunks(instance)

    def _kill(self) -> None:
        victims = self.instances[self.plan.stalled :][: self.plan.killed]
        self.failed_names.update(item.name for item in victims)

    def _is_done(self) -> bool:
        return all(
            len(held) == self.plan.chunks
            for name, held in self.chunks_by_name.items()
            if name not in self.failed_names
        )

    def _count_link_transfer(self, source: str, target: str) -> None:
        if source == target:
            return
        link = (source, target)
        self.sent_by_link[link] = self.sent_by_link.get(link, 0) + 1

    def _report(self, rounds: int) -> DistributionReport:
        plan = self.plan
        peer_link_counts = [
            count for link, count in self.sent_by_link.items() if link[0] != "origin"
        ]
        received = sum(len(held) for held in self.chunks_by_name.values())
        bound = max(plan.chunks // plan.instance_chunks, 1)
        return DistributionReport(
            self.name,
            plan.instances,
            rounds,
            bound,
            round(self.origin_sent / plan.chunks, 3),
            round(max(self.sent_by_name.values()) / plan.chunks, 3),
            round(max(peer_link_counts, default=0) / plan.chunks, 3),
            round(self.request_count / max(received, 1), 2),
        )


class PlannerDistribution(Distribution):
    """Distribution by the production planner."""

    name = "planner"

    def __init__(self, plan: DistributionPlan) -> None:
        super().__init__(plan)
        self._transfer_by_name = {
            instance.name: Transfer(
                self.manifest, [], Holders(instance, self.instances), SETTINGS
            )
            for instance in self.instances
        }

    @override
    def fetch_chunks(self, instance: Instance) -> None:
        transfer = self._transfer_by_name[instance.name]
        for fetch in transfer.plan(self.now):
            source = fetch.source_name
            outcome = self.transfer(source, instance, fetch.digest)
            if source and source not in self.failed_names:
                transfer.record_chunk_map(source, self.chunk_map_by_name[source])
                outcome = self._resolve_absent(source, fetch.digest, outcome)
            transfer.note_result(self.now, fetch.digest, source, outcome)

    def _resolve_absent(
        self, source: str, digest: str, outcome: FetchOutcome
    ) -> FetchOutcome:
        """Return ``PENDING`` for an absent chunk that the source is fetching."""
        if outcome is not FetchOutcome.ABSENT:
            return outcome
        if self._transfer_by_name[source].is_pending(digest):
            return FetchOutcome.PENDING
        return outcome


class OriginDistribution(Distribution):
    """Baseline: every instance fetches all chunks from the origin."""

    name = "all from origin"

    @override
    def fetch_chunks(self, instance: Instance) -> None:
        for digest in self.list_missing(instance):
            if self.transfer("", instance, digest) == FetchOutcome.PENDING:
                return


class RandomDistribution(Distribution):
    """Baseline: try a random peer that has the chunk, then the origin."""

    name = "random choice"
    sample_size = 4

    @override
    def fetch_chunks(self, instance: Instance) -> None:
        missing = self.list_missing(instance)
        self.random.shuffle(missing)
        for digest in missing[: self.sample_size]:
            peers = self.random.sample(
                self.instances, min(self.sample_size, len(self.instances))
            )
            outcomes = [
                self.transfer(peer.name, instance, digest)
                for peer in peers
                if digest in self.chunks_by_name[peer.name]
            ][:1]
            if FetchOutcome.STORED not in outcomes:
                self.transfer("", instance, digest)


class TreeDistribution(Distribution):
    """Baseline: a tree in which every instance serves ``fanout`` others."""

    name = "binary tree"
    fanout = 2

    @override
    def fetch_chunks(self, instance: Instance) -> None:
        position = self.instances.index(instance)
        parent = ""
        if position:
            parent = self.instances[(position - 1) // self.fanout].name
        for digest in self.list_missing(instance):
            if self.transfer(parent, instance, digest) == FetchOutcome.PENDING:
                return


class ChainDistribution(TreeDistribution):
    """Baseline: a chain in which every instance serves the next one."""

    name = "chain"
    fanout = 1


POLICIES: tuple[type[Distribution], ...] = (
    PlannerDistribution,
    RandomDistribution,
    TreeDistribution,
    ChainDistribution,
    OriginDistribution,
)
