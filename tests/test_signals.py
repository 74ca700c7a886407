"""Signals received while a process starts.

A SIGHUP that arrives before its handler is installed would end the process.
"""

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

SETTINGS = """\
[node]
role = agent
name = agent-1
zone = zone-a
regions = zone-a=region-a
ip = 127.9.250.1
[listen]
peer_ports = 31190, 31195
[store]
address = 127.9.250.1:9
"""


@pytest.fixture
def process(tmp_path: Path):
    path = tmp_path / "node.ini"
    path.write_text(SETTINGS, "utf-8")
    environment = {**os.environ, "TAMARACKTRAY_NODE_FILE": str(path)}
    started = subprocess.Popen(
        [sys.executable, "-m", "tamaracktray.platform"],
        env=environment,
        stdout=subprocess.PIPE,
        text=True,
    )
    yield started
    started.kill()
    started.wait()


def read_signal_mask(pid: int, name: str) -> int:
    """Return a signal mask of a process from ``/proc``."""
    for line in Path(f"/proc/{pid}/status").read_text("ascii").splitlines():
        key, _, value = line.partition(":")
        if key == name:
            return int(value, 16)
    return 0


class TestReloadDuringStartup:
    def test_sighup_during_startup_reloads_after_it(self, process):
        sighup_mask = 1 << (signal.SIGHUP - 1)
        deadline = time.monotonic() + 10.0
        while not read_signal_mask(process.pid, "SigBlk") & sighup_mask:
            assert process.poll() is None
            assert time.monotonic() < deadline, "SIGHUP was never blocked"
        process.send_signal(signal.SIGHUP)
        events: list[str] = []
        for line in process.stdout:
            events.append(json.loads(line)["event"])
            if "reloaded" in events:
                break
        assert events.index("started") < events.index("reloaded")
        assert process.poll() is None
