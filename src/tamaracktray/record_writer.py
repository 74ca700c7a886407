"""Writes records to the store for processes that start later or receive no beacons.

The records hold the announcement times of versions and the quarantined requests.
"""

import time
from collections.abc import Awaitable, Callable

import msgspec
import structlog
from returns.result import Failure

from tamaracktray.call_log import CallLog
from tamaracktray.engines import AnnouncementRecord
from tamaracktray.events import Event
from tamaracktray.node_events import AnnouncementsRecorded, RecordAnnouncements
from tamaracktray.objects import ObjectStore, overwrite_object
from tamaracktray.quarantine_records import RecordQuarantine, RemoveQuarantine
from tamaracktray.snapshots import Collection


class RecordWriter:
    """Performs an entry's effects on stored records, each in its own task."""

    __slots__ = ("_call_log", "_dispatch", "_log", "_spawn", "_store")

    def __init__(
        self,
        store: ObjectStore,
        call_log: CallLog,
        spawn: Callable[..., Awaitable[None]],
        dispatch: Callable[[Event], Awaitable[None]],
    ) -> None:
        self._store = store
        self._call_log = call_log
        self._spawn = spawn
        self._dispatch = dispatch
        self._log = structlog.get_logger()

    async def record_announcements(self, effect: RecordAnnouncements) -> None:
        """Start writing the announcement times of versions."""
        await self._spawn(self._write_announcements, effect)

    async def record_quarantine(self, effect: RecordQuarantine) -> None:
        """Start writing the record of a quarantined request."""
        await self._spawn(self._write_quarantine, effect)

    async def remove_quarantine(self, effect: RemoveQuarantine) -> None:
        """Start removing the record of a request that is no longer suspected."""
        await self._spawn(self._remove_quarantine, effect)

    async def _write_announcements(self, effect: RecordAnnouncements) -> None:
        version, _ = effect.announcements[-1]
        record = msgspec.to_builtins(AnnouncementRecord(effect.announcements))
        written = await self._store.put_status(
            Collection.VERSIONS, effect.name, record, effect.revision
        )
        if isinstance(written, Failure):
            error = written.failure().message
            self._log.info("naming not recorded", version=version, error=error)
            return
        self._log.info("naming recorded", model=effect.model, version=version)
        await self._dispatch(
            AnnouncementsRecorded(time.monotonic(), effect.model, version)
        )

    async def _write_quarantine(self, effect: RecordQuarantine) -> None:
        value = msgspec.to_builtins(effect.record)
        name = effect.fingerprint
        failure = await overwrite_object(
            self._store, Collection.QUARANTINES, name, value
        )
        self._call_log.note_quarantine(effect, failure)

    async def _remove_quarantine(self, effect: RemoveQuarantine) -> None:
        removed = await self._store.delete(
            Collection.QUARANTINES, effect.fingerprint, effect.revision, ""
        )
        if isinstance(removed, Failure):
            error = removed.failure().message
            self._log.info("quarantine not removed", error=error)
