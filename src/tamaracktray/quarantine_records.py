"""Quarantine records in the store, for processes that receive no reports from peers.

An entry that has quarantined a request for ``RECORD_DELAY_S`` stores the suspicions
about it. Other entries do so if the record doesn't appear. Records are removed when no
suspicion about their request is left.
"""

from collections.abc import Iterable

import msgspec

from tamaracktray.effects import Effect
from tamaracktray.hashing import count_ranked_before
from tamaracktray.objects import StoredObject
from tamaracktray.suspicions import CrashReport, Incarnation, Suspicion

# Time in quarantine after which a request is recorded, in seconds. Most suspicions
# about harmless requests are dropped by then.
RECORD_DELAY_S = 0.7

# Delay for each entry that ranks before this one, in seconds, if the suspicions were
# only reported by peers.
TAKEOVER_S = 1.0

# Delay before a write or removal that has not taken effect is retried, in seconds.
RECORD_RETRY_S = 1.0

# Time after which a record that is no longer needed is removed, in seconds.
REMOVAL_DELAY_S = 10.0


class RecordedSuspicion(msgspec.Struct, frozen=True):
    """An endpoint that a request may have crashed, with the Unix time in seconds.

    ``run_s`` is the time that the call had been at the endpoint, in seconds.
    ``is_silent`` is as in ``CrashReport``.
    """

    endpoint: Incarnation
    unix_s: float
    run_s: float = 0.0
    is_silent: bool = False


class QuarantineRecord(msgspec.Struct, frozen=True):
    """The stored suspicions about a quarantined request."""

    ends: tuple[RecordedSuspicion, ...] = ()


class RecordQuarantine(Effect, frozen=True):
    """Store the record of a quarantined request."""

    fingerprint: str
    record: QuarantineRecord


class RemoveQuarantine(Effect, frozen=True):
    """Remove the record of a request that is no longer suspected."""

    fingerprint: str
    revision: int


def read_quarantine(name: str, value: object) -> QuarantineRecord:
    """Decode a stored document; raise ``ValueError`` if it isn't a valid record."""
    return msgspec.convert(value, QuarantineRecord)


def build_record(
    suspicions: Iterable[Suspicion], unix_offset_s: float
) -> QuarantineRecord:
    """Return the record of the suspicions about a request."""
    return QuarantineRecord(
        tuple(
            RecordedSuspicion(
                item.endpoint,
                round(item.seen_at + unix_offset_s, 3),
                round(item.seen_at - item.sent_at, 3),
                item.is_silent,
            )
            for item in suspicions
        )
    )


def read_reports(
    fingerprint: str, record: QuarantineRecord, now: float, unix_offset_s: float
) -> list[CrashReport]:
    """Return a record's suspicions as reports.

    Ages are never negative, also if the writer's clock is ahead.
    """
    return [
        CrashReport(
            fingerprint,
            suspicion.endpoint,
            max(now + unix_offset_s - suspicion.unix_s, 0.0),
            run_s=suspicion.run_s,
            is_silent=suspicion.is_silent,
        )
        for suspicion in record.ends
    ]


class QuarantineRecords:
    """Tracks the records that this entry has read, and has to write or remove."""

    __slots__ = (
        "_write_deadline_by_fingerprint",
        "_read_version_by_name",
        "_removal_deadline_by_name",
    )

    def __init__(self) -> None:
        self._write_deadline_by_fingerprint: dict[str, float] = {}
        self._read_version_by_name: dict[str, int] = {}
        self._removal_deadline_by_name: dict[str, float] = {}

    def select_unread(self, objects: Iterable[StoredObject]) -> list[StoredObject]:
        """Return the records that are new or have changed since the last call."""
        unread: list[StoredObject] = []
        current: dict[str, int] = {}
        for item in objects:
            current[item.name] = item.version
            if self._read_version_by_name.get(item.name) != item.version:
                unread.append(item)
        self._read_version_by_name = current
        return unread

    def forget_read(self) -> None:
        """Forget which records were read, because versions are given out again."""
        self._read_version_by_name.clear()

    def select_unrecorded(
        self,
        now: float,
        own_name: str,
        peer_names: list[str],
        quarantined: dict[str, list[Suspicion]],
        recorded: Iterable[str],
    ) -> list[str]:
        """Return the quarantined requests that this entry has to record now.

        An entry that observed a crash itself goes first. The others follow in the order
        of their rank for the fingerprint, ``TAKEOVER_S`` apart.
        """
        unrecorded = set(quarantined) - set(recorded)
        deadlines = {
            name: deadline
            for name, deadline in self._write_deadline_by_fingerprint.items()
            if name in unrecorded
        }
        selected: list[str] = []
        for fingerprint in unrecorded:
            if fingerprint not in deadlines:
                is_local = any(item.is_local for item in quarantined[fingerprint])
                position = count_ranked_before(own_name, peer_names, fingerprint)
                rank = 0 if is_local else 1 + position
                deadlines[fingerprint] = now + RECORD_DELAY_S + rank * TAKEOVER_S
            if now >= deadlines[fingerprint]:
                deadlines[fingerprint] = now + RECORD_RETRY_S
                selected.append(fingerprint)
        self._write_deadline_by_fingerprint = deadlines
        return selected

    def select_unneeded(
        self,
        now: float,
        own_name: str,
        peer_names: list[str],
        needed: set[str],
        objects: Iterable[StoredObject],
    ) -> list[StoredObject]:
        """Return the records that this entry has to remove now."""
        deadlines: dict[str, float] = {}
        selected: list[StoredObject] = []
        for item in objects:
            if item.name in needed or count_ranked_before(
                own_name, peer_names, item.name
            ):
                continue
            deadline = self._removal_deadline_by_name.get(
                item.name, now + REMOVAL_DELAY_S
            )
            if now >= deadline:
                deadline = now + RECORD_RETRY_S
                selected.append(item)
            deadlines[item.name] = deadline
        self._removal_deadline_by_name = deadlines
        return selected
