"""Fixtures, fixed seeds and the handling of known test failures."""

import sys
from collections.abc import Iterator
from pathlib import Path

import pytest
import structlog
from hypothesis import settings

from tamaracktray_emulator.launcher import Fleet

KNOWN_RED_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"

settings.register_profile("fixed", derandomize=True, deadline=None, max_examples=150)
settings.load_profile("fixed")


def read_known_red() -> list[str]:
    """Return the ids of the tests listed as known failures."""
    ids: list[str] = []
    for line in KNOWN_RED_FILE.read_text("utf-8").splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        ids.append(line.split("|")[0].strip())
    return ids


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected failures."""
    known_red = read_known_red()
    for item in items:
        if item.nodeid in known_red:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the listed tests after the run."""
    for name in read_known_red():
        terminalreporter.write_line(f"known red: {name}")


@pytest.fixture(autouse=True)
def handler_faults() -> Iterator[list[str]]:
    """Fail a test in which a handler raised, unless the test clears the list."""
    faults: list[str] = []

    def record_handler_fault(logger, method, event):
        if event["event"] == "handler failed":
            faults.append(f"{event['path']}: {sys.exc_info()[1]!r}")
        return event

    processors = structlog.get_config()["processors"]
    # Rendering the locals of every frame blocks the curio kernel.
    renderer = structlog.dev.ConsoleRenderer(
        exception_formatter=structlog.dev.plain_traceback
    )
    structlog.configure(processors=[record_handler_fault, *processors[:-1], renderer])
    yield faults
    structlog.configure(processors=processors)
    assert not faults


@pytest.fixture
def fleet(tmp_path: Path):
    """Return an empty fleet; its processes are killed after the test."""
    with Fleet(tmp_path) as running:
        yield running
