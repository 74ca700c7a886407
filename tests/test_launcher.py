"""Ports of the processes that tests start.

Guards against two runs of the suite whose processes take each other's ports.
"""

import subprocess
import sys

from tamaracktray_emulator.launcher import BLOCK_PORTS, FIRST_PORT, find_free_port

PRINT_PORT = "from tamaracktray_emulator.launcher import *; print(find_free_port())"


def find_block(port: int) -> int:
    return (port - FIRST_PORT) // BLOCK_PORTS


class TestPorts:
    def test_ports_are_not_repeated_at_once(self):
        ports = {find_free_port() for _ in range(100)}
        assert len(ports) == 100

    def test_two_runs_at_a_time_take_ports_of_different_blocks(self):
        own = find_free_port()
        other = subprocess.run(
            [sys.executable, "-c", PRINT_PORT],
            capture_output=True,
            check=True,
            text=True,
        )
        assert find_block(int(other.stdout)) != find_block(own)
