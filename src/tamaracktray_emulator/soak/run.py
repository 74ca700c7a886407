"""Runs a soak: processes, callers, faults and planned operations."""

from collections.abc import Awaitable, Callable
from pathlib import Path

import curio

from tamaracktray_emulator.soak.answer_checks import AnswerChecker
from tamaracktray_emulator.soak.binding_checks import BindingChecker
from tamaracktray_emulator.soak.broken_answers import BrokenAnswerInjector
from tamaracktray_emulator.soak.callers import Callers
from tamaracktray_emulator.soak.configuration_injector import (
    ATTEMPTS,
    MIN_TIMEOUT_S,
    ConfigurationInjector,
)
from tamaracktray_emulator.soak.fatal_parts import FatalPartInjector
from tamaracktray_emulator.soak.fatal_requests import FatalRequestInjector
from tamaracktray_emulator.soak.fault_injector import FaultInjector
from tamaracktray_emulator.soak.fault_log import FaultLog
from tamaracktray_emulator.soak.fleet import REGION_BY_ZONE, TEAM, SoakFleet
from tamaracktray_emulator.soak.limit_injector import LimitInjector
from tamaracktray_emulator.soak.notice_checks import NoticeChecker
from tamaracktray_emulator.soak.notice_injector import NoticeInjector
from tamaracktray_emulator.soak.odd_entries import OddEntryInjector
from tamaracktray_emulator.soak.operations import Operations
from tamaracktray_emulator.soak.overload_checks import OverloadChecker
from tamaracktray_emulator.soak.overload_injector import OverloadInjector
from tamaracktray_emulator.soak.plan import SoakPlan, SoakReport
from tamaracktray_emulator.soak.probes import ProbeChecker
from tamaracktray_emulator.soak.record import NOT_RUN_STATUSES, SoakRecord
from tamaracktray_emulator.soak.region_injector import RegionInjector
from tamaracktray_emulator.soak.scale_out import ScaleOutInjector
from tamaracktray_emulator.soak.silence_injector import SilenceInjector
from tamaracktray_emulator.soak.store_restores import (
    CopyRestartInjector,
    StoreRestoreInjector,
)

# Time that the processes have to start, in seconds.
START_DELAY_S = 2.5

# Length of the final window in seconds, and the share of its calls to be served.
FINAL_WINDOW_S = 3.0
FINAL_SERVED_SHARE = 0.9

# Interval between checks for a stall of the soak, and the shortest stall, in seconds.
STALL_INTERVAL_S = 0.02
MIN_STALL_S = 0.03

# Interval between checks for processes that exited unexpectedly, in seconds.
WATCH_INTERVAL_S = 0.2


def run_soak(plan: SoakPlan, directory: Path) -> SoakReport:
    """Run a soak and return its report; process logs stay in ``directory``."""
    directory.mkdir(parents=True, exist_ok=True)
    return curio.run(_run_soak, plan, directory)


async def _run_soak(plan: SoakPlan, directory: Path) -> SoakReport:
    record = SoakRecord(max(ATTEMPTS)) if plan.has_silences else SoakRecord()
    fleet = SoakFleet(plan, directory, record)
    fault_log = FaultLog()
    await fleet.start()
    notice_checker = NoticeChecker(record, fault_log)
    for endpoint in fleet.endpoints:
        endpoint.notice_checker = notice_checker
    wait_s = plan.callers / plan.rate
    callers = Callers(record, plan.seed, fleet.started, wait_s, plan.deadline_s)
    callers.notice_checker = notice_checker
    callers.key, callers.team = fleet.keys[0], TEAM
    callers.proxies_by_entry = fleet.entry_proxies
    callers.addresses_by_entry = {
        name: proxy.address for name, proxy in fleet.entry_proxies.items()
    }
    await curio.sleep(START_DELAY_S)
    try:
        tasks = [await curio.spawn(callers.run_caller) for _ in range(plan.callers)]
        tasks.append(await curio.spawn(_watch_crashes, fleet, record))
        tasks.append(await curio.spawn(_watch_stalls, fleet, record))
        operations = Operations(fleet, fault_log, callers, record)
        probe_checker = ProbeChecker(fleet, fault_log, record)
        tasks.append(await curio.spawn(probe_checker.run))
        fault_injector = FaultInjector(fleet, fault_log)
        options = []
        shared = (fleet, fault_log, fault_injector, callers)
        if plan.restores_store:
            options.append(StoreRestoreInjector(*shared).run)
        if plan.scales_out:
            scale_out = ScaleOutInjector(fleet, fault_injector, notice_checker)
            options.append(scale_out.run)
        if plan.changes_regions:
            options.append(RegionInjector(fleet).run)
        if plan.has_silences:
            options.append(SilenceInjector(fleet).run)
            options.append(ConfigurationInjector(fleet).run)
        overload_checker = OverloadChecker(record, fault_log)
        if plan.has_overloads:
            overloads = OverloadInjector(fleet, callers, overload_checker)
            options.append(overloads.run)
        breaks = [
            FatalRequestInjector(fleet, fault_log, callers, record).run,
            FatalPartInjector(fleet, fault_log, callers, record).run,
            BrokenAnswerInjector(fleet).run,
        ]
        runs = [
            fault_injector.run,
            operations.run,
            NoticeInjector(fleet, notice_checker).run,
            *breaks,
            LimitInjector(fleet, fault_log, record).run,
            OddEntryInjector(fleet).run,
            *options,
        ]
        if plan.is_calm:
            runs.remove(fault_injector.run)
        if plan.is_calm and (plan.has_silences or plan.has_overloads):
            runs = [run for run in runs if run not in breaks]
        if plan.restarts_on_copies:
            runs = [CopyRestartInjector(*shared, operations).run]
        await _run_for(plan.duration_s, *runs)
        await fleet.restore()
        await curio.sleep(plan.recovery_s)
        final_start = fleet.now
        await curio.sleep(FINAL_WINDOW_S)
        _check_recovery(record, final_start, fleet.now)
        for task in tasks:
            await task.cancel()
    finally:
        await fleet.stop()
    timeout_s = MIN_TIMEOUT_S if plan.has_silences else plan.deadline_s
    AnswerChecker(record, fault_log, fleet.binding_log, timeout_s).check()
    BindingChecker(record, fault_log, fleet.binding_log, REGION_BY_ZONE).check()
    if plan.has_overloads:
        overload_checker.check_refusals()
    return _build_report(plan, record, fault_log)


async def _run_for(seconds: float, *runs: Callable[[], Awaitable[None]]) -> None:
    tasks = [await curio.spawn(run) for run in runs]
    await curio.sleep(seconds)
    for task in tasks:
        await task.cancel()


async def _watch_crashes(fleet: SoakFleet, record: SoakRecord) -> None:
    """Record processes that exit unexpectedly and restart them."""
    while True:
        await curio.sleep(WATCH_INTERVAL_S)
        for daemon in fleet.find_crashed():
            code = daemon.process.returncode
            detail = f"{daemon.name} ended with {code}"
            record.check("ends only when told to", False, fleet.now, detail)
            fleet.launch(daemon)
        record.check("ends only when told to", True, fleet.now, "")


async def _watch_stalls(fleet: SoakFleet, record: SoakRecord) -> None:
    while True:
        due_at = fleet.now + STALL_INTERVAL_S
        await curio.sleep(STALL_INTERVAL_S)
        if fleet.now - due_at > MIN_STALL_S:
            record.stalls.append((due_at, fleet.now))


def _check_recovery(record: SoakRecord, start: float, end: float) -> None:
    """Check that callers are served after the recovery time."""
    calls = [
        call
        for call in record.calls_by_id.values()
        if start <= call.sent_at < end - 1.0
    ]
    served = sum(200 <= call.status < 300 for call in calls)
    detail = f"{served} of {len(calls)} calls served"
    holds = bool(calls) and served >= FINAL_SERVED_SHARE * len(calls)
    record.check("recovers", holds, end, detail)


def _build_report(
    plan: SoakPlan, record: SoakRecord, fault_log: FaultLog
) -> SoakReport:
    statuses = [call.status for call in record.calls_by_id.values()]
    served = sum(200 <= status < 300 for status in statuses)
    refused = sum(status in NOT_RUN_STATUSES for status in statuses)
    return SoakReport(
        plan.seed,
        len(statuses),
        served,
        refused,
        len(statuses) - served - refused,
        fault_log.names,
        dict(record.check_counts),
        record.violations,
    )
