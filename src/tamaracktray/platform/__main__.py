"""Runs a process on the platform, which names its settings file in a variable."""

import os
import sys
from pathlib import Path

from tamaracktray.signals import hold_reloads

SETTINGS_VARIABLE = "TAMARACKTRAY_NODE_FILE"


def main() -> None:
    """Run the process that the platform's settings file describes."""
    hold_reloads()
    # Loading these takes most of the start; a reload may be asked for meanwhile.
    from tamaracktray.direct_run import run_direct
    from tamaracktray.platform.deployment import PlatformDeployment

    sys.exit(run_direct(Path(os.environ[SETTINGS_VARIABLE]), PlatformDeployment()))


if __name__ == "__main__":
    main()
