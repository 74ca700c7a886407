"""Runs a process on the platform, which names its settings file in a variable."""

import os
import sys
from pathlib import Path

from tamaracktray.direct_shell import run_direct
from tamaracktray.platform.deployment import PlatformDeployment

SETTINGS_VARIABLE = "TAMARACKTRAY_NODE_FILE"


def main() -> None:
    """Run the process that the platform's settings file describes."""
    sys.exit(run_direct(Path(os.environ[SETTINGS_VARIABLE]), PlatformDeployment()))


if __name__ == "__main__":
    main()
