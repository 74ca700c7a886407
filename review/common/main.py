"""Runs one case and turns its result into an exit status."""

import asyncio
import os
import signal
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from common.fleet import Fleet, Recorder

# ``run-case.sh`` turns these into its own; 1 is the status of an import that fails.
HELD, BROKEN, NOT_RUN = 0, 10, 2
LIMIT_S = 110.0

Case = Callable[[Fleet, bool], Awaitable[list[str]]]


def run_case(run: Case) -> None:
    """Run a case, which returns one line for each break of its rule."""
    record = Recorder(Path.cwd())
    # A run that is ended from outside still ends the processes that it started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble: {has_trouble}")
    try:
        breaks = _run_in_folder(run, record, has_trouble)
    except BaseException:
        record(traceback.format_exc())
        traceback.print_exc()
        sys.exit(NOT_RUN)
    for line in breaks[:20]:
        record(f"BROKEN: {line}")
    summary = f"the rule was broken {len(breaks)} times" if breaks else "the rule held"
    record(summary)
    print(summary)
    sys.exit(BROKEN if breaks else HELD)


def _run_in_folder(run: Case, record: Recorder, has_trouble: bool) -> list[str]:
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), record)
        try:
            return asyncio.run(_run_limited(run, fleet, has_trouble))
        finally:
            fleet.stop()
            _keep_logs(Path(folder))


async def _run_limited(run: Case, fleet: Fleet, has_trouble: bool) -> list[str]:
    async with asyncio.timeout(LIMIT_S):
        return await run(fleet, has_trouble)


def _keep_logs(folder: Path) -> None:
    """Copy the logs of the processes where ``KEEP_LOGS`` says."""
    target = os.environ.get("KEEP_LOGS")
    if not target:
        return
    for log in folder.glob("*.log"):
        (Path(target) / log.name).write_bytes(log.read_bytes())
