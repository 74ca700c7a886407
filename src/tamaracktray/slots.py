"""Rollout slots, which limit how many instances swap their version at a time.

The slots are stored in the platform's object store. One object per model and
availability zone lists the slot holders. One object per rollout records the instances
on which the version failed. ``claim_slot`` and ``release_slot`` are pure functions on
the decoded table; ``SlotClient`` applies them with conditional updates.
"""

import time
import uuid
from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from tamaracktray.decoding import convert_value
from tamaracktray.exceptions import ConflictError, ObjectNotFoundError, PlatformError
from tamaracktray.objects import SLOTS, ObjectStore, put_and_confirm
from tamaracktray.outcomes import SlotOutcome

MAX_WRITE_ATTEMPTS = 8


class SlotHolder(msgspec.Struct, frozen=True):
    """A held slot; ``deadline_unix_s`` is the end of its lease in Unix time."""

    deadline_unix_s: float
    is_swap: bool


class SlotTable(msgspec.Struct, frozen=True):
    """The slot holders of one model in one availability zone."""

    holder_by_instance: dict[str, SlotHolder] = {}


class FailureTable(msgspec.Struct, frozen=True):
    """Reasons why the version of a rollout failed, by instance."""

    reason_by_instance: dict[str, str] = {}


class SlotGrant(msgspec.Struct, frozen=True):
    """Result of a claim; ``fence`` is the fencing token, the revision of the grant."""

    outcome: SlotOutcome
    fence: int = 0
    reason: str = ""


def claim_slot(
    table: SlotTable,
    instance: str,
    now_unix_s: float,
    lease_s: float,
    max_unavailable: int,
    *,
    is_swap: bool,
) -> SlotTable | None:
    """Return the table with a slot for ``instance``, or ``None`` if all are taken.

    Expired leases are dropped. An instance that serves nothing does not count against
    ``max_unavailable`` because loading it makes no endpoint unavailable.
    """
    active = {
        name: holder
        for name, holder in table.holder_by_instance.items()
        if holder.deadline_unix_s > now_unix_s and name != instance
    }
    swaps = sum(holder.is_swap for holder in active.values())
    if is_swap and swaps >= max_unavailable:
        return None
    active[instance] = SlotHolder(now_unix_s + lease_s, is_swap)
    return SlotTable(active)


def release_slot(table: SlotTable, instance: str) -> SlotTable:
    """Return the table without the slot of ``instance``."""
    active = {
        name: holder
        for name, holder in table.holder_by_instance.items()
        if name != instance
    }
    return SlotTable(active)


class SlotClient:
    """Claims and releases the slots of one agent."""

    __slots__ = ("_instance", "_lease_s", "_model", "_store", "_zone")

    def __init__(
        self, store: ObjectStore, instance: str, model: str, zone: str, lease_s: float
    ) -> None:
        self._store = store
        self._instance = instance
        self._model = model
        self._zone = zone
        self._lease_s = lease_s

    @property
    def _table_name(self) -> str:
        return f"{self._model}.{self._zone}"

    async def claim(
        self,
        rollout: str,
        max_unavailable: int,
        failure_limit: int | None,
        *,
        is_swap: bool,
    ) -> SlotGrant:
        """Claim a slot unless the rollout has failed on ``failure_limit`` instances."""
        if failure_limit is not None:
            refusal = await self._check_failures(rollout, failure_limit)
            if refusal is not None:
                return refusal

        def change(table: SlotTable) -> SlotTable | None:
            return claim_slot(
                table,
                self._instance,
                time.time(),
                self._lease_s,
                max_unavailable,
                is_swap=is_swap,
            )

        return await self._update_slots(change)

    async def _check_failures(
        self, rollout: str, failure_limit: int
    ) -> SlotGrant | None:
        failures = await self.read_failures(rollout)
        if isinstance(failures, Failure):
            return SlotGrant(SlotOutcome.UNAVAILABLE, reason="platform unavailable")
        reasons = failures.unwrap().reason_by_instance
        if len(reasons) < failure_limit:
            return None
        names = ", ".join(sorted(reasons))
        return SlotGrant(SlotOutcome.HALTED, reason=f"halted after failures on {names}")

    async def release(self) -> bool:
        """Release the slot and return whether that succeeded.

        A slot that cannot be released expires with its lease.
        """

        def change(table: SlotTable) -> SlotTable | None:
            if self._instance not in table.holder_by_instance:
                return None
            return release_slot(table, self._instance)

        grant = await self._update_slots(change)
        return grant.outcome is not SlotOutcome.UNAVAILABLE

    async def read_failures(self, rollout: str) -> Result[FailureTable, PlatformError]:
        """Read the instances on which the version of a rollout failed, with reasons."""
        read = await _read(self._store, f"{rollout}.failures", FailureTable)
        return read.map(lambda pair: pair[0])

    async def record_failure(self, rollout: str, reason: str) -> bool:
        """Record a failure on this instance and return whether it was stored."""
        name = f"{rollout}.failures"
        for _ in range(MAX_WRITE_ATTEMPTS):
            read = await _read(self._store, name, FailureTable)
            if isinstance(read, Failure):
                return False
            table, version = read.unwrap()
            reasons = {**table.reason_by_instance, self._instance: reason}
            written = await _write(self._store, name, FailureTable(reasons), version)
            if isinstance(written, Success):
                return True
            if not isinstance(written.failure(), ConflictError):
                return False
        return False

    async def _update_slots(
        self, change: Callable[[SlotTable], SlotTable | None]
    ) -> SlotGrant:
        for _ in range(MAX_WRITE_ATTEMPTS):
            read = await _read(self._store, self._table_name, SlotTable)
            if isinstance(read, Failure):
                return SlotGrant(SlotOutcome.UNAVAILABLE, reason="platform unavailable")
            table, version = read.unwrap()
            changed = change(table)
            if changed is None:
                return SlotGrant(SlotOutcome.BUSY, reason="all slots are taken")
            written = await _write(self._store, self._table_name, changed, version)
            if isinstance(written, Success):
                return SlotGrant(SlotOutcome.GRANTED, written.unwrap())
            if not isinstance(written.failure(), ConflictError):
                break
        return SlotGrant(SlotOutcome.UNAVAILABLE, reason="the claim did not settle")


async def _read(
    store: ObjectStore, name: str, value_type: type
) -> Result[tuple[msgspec.Struct, int], PlatformError]:
    found = await store.get(SLOTS, name)
    if isinstance(found, Failure):
        if isinstance(found.failure(), ObjectNotFoundError):
            return Success((value_type(), 0))
        return found
    stored = found.unwrap()
    return (
        convert_value(stored.value, value_type)
        .map(lambda value: (value, stored.version))
        .alt(lambda error: PlatformError(f"{name}: {error.message}"))
    )


async def _write(
    store: ObjectStore, name: str, value: msgspec.Struct, version: int
) -> Result[int, PlatformError]:
    written = await put_and_confirm(
        store, SLOTS, name, msgspec.to_builtins(value), version, uuid.uuid4().hex
    )
    return written.map(lambda stored: stored.version)
