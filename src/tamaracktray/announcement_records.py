"""Stored announcement times of versions, for processes that start later.

One of the entries that observed an announcement records its wall-clock time. After a
restart of all processes the record is the only source of its age.
"""

from collections.abc import Iterable, Mapping

import msgspec

from tamaracktray.announcements import CLOCK_MARGIN_S, MAX_ANNOUNCEMENTS, Announcement
from tamaracktray.engines import VersionTarget
from tamaracktray.hashing import count_ranked_before

# Time that each entry gives the entry ranked before it to write a record, in seconds.
TAKEOVER_S = 1.0

# Delay before a record that has not appeared in the store is rewritten, in seconds.
RECORD_RETRY_S = 1.0

# Age of a record, received together with its announcement, above which this process
# learned of the announcement late, in seconds. Clocks differ, and entries write within
# a fraction of a second.
LATE_OBSERVATION_S = 2 * CLOCK_MARGIN_S

# Largest plausible age of a record, in seconds; a larger one means a wrong clock.
MAX_AGE_S = 30 * 86_400.0

# Recorded for a version whose announcement time is unknown.
UNKNOWN_UNIX_S = 0.0


class Observation(msgspec.Struct, frozen=True):
    """When this process observed an announcement, by monotonic and wall clock."""

    observed_at: float
    unix_s: float


def read_records(
    target: VersionTarget, now: float, unix_offset_s: float
) -> list[Announcement]:
    """Return the announcements in a record.

    Their times are set early by the clock margin. An age that is only possible with a
    wrong clock counts as unknown.
    """
    announcements: list[Announcement] = []
    for version, unix_s in target.announcements:
        age_s = now + unix_offset_s - unix_s
        if version > target.version:
            continue
        if not -CLOCK_MARGIN_S <= age_s <= MAX_AGE_S:
            announcements.append(Announcement(version, None))
            continue
        announced_at = now - max(age_s, 0.0) - CLOCK_MARGIN_S
        announcements.append(Announcement(version, announced_at, is_recorded=True))
    return announcements


def list_late(
    targets: Iterable[VersionTarget], now: float, unix_offset_s: float
) -> set[tuple[str, int]]:
    """Return the models and versions that were recorded well before ``now``.

    A process that receives an announcement together with an old record was
    disconnected from the store.
    """
    late: set[tuple[str, int]] = set()
    for target in targets:
        for announcement in read_records(target, now, unix_offset_s):
            if announcement.announced_at is None:
                continue
            if now - announcement.announced_at - CLOCK_MARGIN_S > LATE_OBSERVATION_S:
                late.add((target.model, announcement.version))
    return late


def rank_writer(own: str, peers: Iterable[str], target: VersionTarget) -> int:
    """Return the rank of this entry among the writers of a record, from 0."""
    return count_ranked_before(own, peers, f"{target.model}/{target.version}")


class AnnouncementRecords:
    """The announcements that an entry observed, and which ones it must record."""

    __slots__ = (
        "_bound_s",
        "_retry_deadline_by_model",
        "_observations_by_model",
        "_written_by_model",
    )

    def __init__(self, bound_s: float) -> None:
        self._bound_s = bound_s
        self._retry_deadline_by_model: dict[str, float] = {}
        self._observations_by_model: dict[str, dict[int, Observation]] = {}
        self._written_by_model: dict[str, int] = {}

    def add_observation(
        self, model: str, version: int, observation: Observation
    ) -> None:
        """Add an announcement that was observed just now."""
        observations = self._observations_by_model.setdefault(model, {})
        observations[version] = observation
        for outdated in sorted(observations)[:-MAX_ANNOUNCEMENTS]:
            del observations[outdated]

    def mark_written(self, model: str, version: int) -> None:
        """Mark the record of a version as acknowledged by the store."""
        self._written_by_model[model] = version

    def forget_written(self) -> None:
        """Forget which records were acknowledged, because the store may lack them."""
        self._written_by_model.clear()

    def mark_attempted(self, now: float, model: str) -> None:
        """Start the retry delay of a write."""
        self._retry_deadline_by_model[model] = now + RECORD_RETRY_S

    def is_write_due(self, now: float, target: VersionTarget) -> bool:
        """Return whether this entry must write the record of ``target``.

        A missing record is written. One with a later time than observed here is
        replaced, because its writer learned of the announcement late or has a clock
        that is ahead. No record is needed once the version is due.
        """
        observation = self._observations_by_model.get(target.model, {}).get(
            target.version
        )
        if observation is None or now >= observation.observed_at + self._bound_s:
            return False
        if self._written_by_model.get(target.model) == target.version:
            return False
        recorded = dict(target.announcements).get(target.version)
        if recorded is not None and recorded <= observation.unix_s + CLOCK_MARGIN_S:
            return False
        return now >= self._retry_deadline_by_model.get(target.model, 0.0)

    def may_write_record(self, now: float, target: VersionTarget, rank: int) -> bool:
        """Return whether the entries ranked before this one had time to write."""
        observation = self._observations_by_model[target.model][target.version]
        return now >= observation.observed_at + rank * TAKEOVER_S

    def build(
        self,
        target: VersionTarget,
        announced_at_by_version: Mapping[int, float | None],
        unix_offset_s: float,
    ) -> tuple[tuple[int, float], ...]:
        """Return the record of a version and of the known versions before it.

        ``announced_at_by_version`` are the observed announcement times, ``None`` if no
        process that observed the announcement has reported its age.
        """
        recorded: Mapping[int, float] = dict(target.announcements)
        observations = self._observations_by_model.get(target.model, {})
        versions = {target.version, *recorded, *observations, *announced_at_by_version}
        announcements: list[tuple[int, float]] = []
        for version in sorted(versions)[-MAX_ANNOUNCEMENTS:]:
            if version > target.version:
                continue
            times = [recorded.get(version, UNKNOWN_UNIX_S)]
            announced_at = announced_at_by_version.get(version)
            observation = observations.get(version)
            if observation is not None:
                observed_at = observation.observed_at
                earlier_s = (
                    0.0
                    if announced_at is None
                    else max(observed_at - announced_at, 0.0)
                )
                times.append(observation.unix_s - earlier_s)
            elif announced_at is not None:
                times.append(announced_at + unix_offset_s)
            known = [unix_s for unix_s in times if unix_s != UNKNOWN_UNIX_S]
            announcements.append((version, min(known, default=UNKNOWN_UNIX_S)))
        return tuple(announcements)
