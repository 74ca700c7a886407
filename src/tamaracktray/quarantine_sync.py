"""Reducer functions that exchange quarantines with the store and with peers."""

from collections.abc import Iterable

from tamaracktray.effects import Effect
from tamaracktray.node_state import NodeState
from tamaracktray.quarantine_records import (
    QuarantineRecord,
    RecordQuarantine,
    RemoveQuarantine,
    build_record,
    read_reports,
)
from tamaracktray.snapshots import Collection
from tamaracktray.suspicions import CrashReport


def merge_quarantine_records(state: NodeState, now: float) -> list[Effect]:
    """Merge the suspicions of new quarantine records in the store."""
    objects = state.snapshot_cache.by_collection[Collection.QUARANTINES].objects_by_name
    reports: list[CrashReport] = []
    for item in state.quarantine_records.select_unread(objects.values()):
        record: QuarantineRecord | None = item.value
        if record is not None:
            reports += read_reports(item.name, record, now, state.unix_offset_s)
    return list(state.crashes.merge(now, reports))


def merge_crash_reports(
    state: NodeState, now: float, reports: Iterable[CrashReport]
) -> list[Effect]:
    """Merge a peer's crash reports.

    Reports that are old enough for a verdict are ignored unless they are confirmed.
    """
    accepted = [
        report
        for report in reports
        if report.is_confirmed or report.age_s < state.crashes.verdict_s
    ]
    return list(state.crashes.merge(now, accepted))


def sync_quarantine_records(state: NodeState, now: float) -> list[Effect]:
    """Write missing quarantine records and remove those that are no longer needed."""
    objects = state.snapshot_cache.by_collection[Collection.QUARANTINES].objects_by_name
    if state.is_store_lost or (state.crashes.is_empty and not objects):
        return []
    records, crashes = state.quarantine_records, state.crashes
    quarantined = crashes.list_quarantined(now)
    peers: list[str] = []
    if quarantined or objects:
        peers = [member.name for member in state.peers.list_with_store(now)]
    effects: list[Effect] = []
    for name in records.select_unrecorded(now, state.name, peers, quarantined, objects):
        record = build_record(quarantined[name], state.unix_offset_s)
        effects.append(RecordQuarantine(name, record))
    needed = {name for name in objects if crashes.is_suspected(name)}
    for item in records.select_unneeded(
        now, state.name, peers, needed, objects.values()
    ):
        effects.append(RemoveQuarantine(item.name, item.version))
    return effects
