"""Runs a process on the platform; an environment variable names its settings file."""

import os
import sys
from pathlib import Path

from tamaracktray.signals import block_reload_signal

SETTINGS_VARIABLE = "TAMARACKTRAY_NODE_FILE"


def main() -> None:
    """Run the process described by the settings file of the platform."""
    block_reload_signal()
    # Imports take most of the startup; a reload signal must not end it meanwhile.
    from tamaracktray.node_runner import run_node
    from tamaracktray.platform.deployment import PlatformDeployment

    sys.exit(run_node(Path(os.environ[SETTINGS_VARIABLE]), PlatformDeployment()))


if __name__ == "__main__":
    main()
