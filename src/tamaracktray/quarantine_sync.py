"""Reducer functions that exchange quarantines with the store and with peers."""

from collections.abc import Iterable

from tamaracktray.beacons import Beacon
from tamaracktray.call_building import PART_PREFIX
from tamaracktray.crash_watch import CrashWatch
from tamaracktray.effects import Effect
from tamaracktray.eras import is_current
from tamaracktray.node_events import BroadcastBeacon
from tamaracktray.node_state import NodeState
from tamaracktray.quarantine_records import (
    QuarantineRecord,
    RecordQuarantine,
    RemoveQuarantine,
    build_record,
    read_reports,
)
from tamaracktray.snapshots import Collection
from tamaracktray.suspicions import CrashReport, LogFinding


def merge_quarantine_records(state: NodeState, now: float) -> list[Effect]:
    """Merge the suspicions of new quarantine records in the store."""
    objects = state.snapshot_cache.by_collection[Collection.QUARANTINES].objects_by_name
    effects: list[Effect] = []
    for item in state.quarantine_records.select_unread(objects.values()):
        record: QuarantineRecord | None = item.value
        if record is None:
            continue
        reports = read_reports(item.name, record, now, state.unix_offset_s)
        effects.extend(_find_watch(state, item.name).merge(now, reports))
    return effects


def _find_watch(state: NodeState, name: str) -> CrashWatch:
    """Return the watch to which a record's name, a fingerprint or a part, belongs."""
    return state.part_crashes if name.startswith(PART_PREFIX) else state.crashes


def merge_crash_reports(state: NodeState, now: float, beacon: Beacon) -> list[Effect]:
    """Merge a peer's crash reports, and its sound answers before them."""
    effects: list[Effect] = []
    effects.extend(state.part_crashes.merge_sound(now, beacon.sound_answers))
    effects.extend(_merge_reports(state.crashes, now, beacon.crash_reports))
    effects.extend(_merge_reports(state.part_crashes, now, beacon.part_reports))
    return effects


def _merge_reports(
    crashes: CrashWatch, now: float, reports: Iterable[CrashReport]
) -> list[LogFinding]:
    """Merge reports, except those old enough for a verdict that are unconfirmed."""
    accepted = [
        report
        for report in reports
        if report.is_confirmed or report.age_s < crashes.verdict_s
    ]
    return crashes.merge(now, accepted)


def report_crashes(state: NodeState) -> list[Effect]:
    """Tell peers at once of crashes that this process has observed.

    Reports of peers aren't passed on, so one crash causes one beacon at each observer.
    """
    has_news = state.crashes.take_news()
    has_news = state.part_crashes.take_news() or has_news
    return [BroadcastBeacon()] if has_news else []


def sync_quarantine_records(state: NodeState, now: float) -> list[Effect]:
    """Write missing quarantine records and remove those that are no longer needed."""
    snapshot = state.snapshot_cache.by_collection[Collection.QUARANTINES]
    objects = snapshot.objects_by_name
    is_unsuspicious = state.crashes.is_empty and state.part_crashes.is_empty
    if state.is_store_lost or not is_current(state, snapshot):
        return []
    if is_unsuspicious and not objects:
        return []
    records = state.quarantine_records
    quarantined = {
        **state.crashes.list_quarantined(now),
        **state.part_crashes.list_quarantined(now),
    }
    peers: list[str] = []
    if quarantined or objects:
        peers = [member.name for member in state.peers.list_with_store(now)]
    effects: list[Effect] = []
    for name in records.select_unrecorded(now, state.name, peers, quarantined, objects):
        record = build_record(quarantined[name], state.unix_offset_s)
        effects.append(RecordQuarantine(name, record))
    needed = {name for name in objects if _find_watch(state, name).is_suspected(name)}
    for item in records.select_unneeded(
        now, state.name, peers, needed, objects.values()
    ):
        effects.append(RemoveQuarantine(item.name, item.version))
    return effects
