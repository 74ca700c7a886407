"""Daemon ``tamaracktrayd``, which runs one process in one role.

It uses ``argparse`` because typer adds 10 MB to the memory of an idle process.
"""

import argparse
import gc
import sys
from pathlib import Path

import curio
from returns.result import Failure

from tamaracktray.agent import AgentShell
from tamaracktray.entry import EntryShell
from tamaracktray.instances import HttpInstanceList
from tamaracktray.logs import configure_logs
from tamaracktray.objects import HttpObjectStore
from tamaracktray.runtime import EXIT_INVALID_SETTINGS
from tamaracktray.settings import Settings, load_settings
from tamaracktray.shell import Shell
from tamaracktray.signals import block_reload_signal
from tamaracktray.types import Address, Role


def build_shell(settings: Settings) -> Shell:
    """Return the shell for the configured role."""
    platform = settings.platform
    store = HttpObjectStore(
        Address.parse(platform.object_api),
        token=settings.platform_token,
        timeout_s=platform.timeout_s,
    )
    instance_list = HttpInstanceList(
        Address.parse(platform.instance_list), timeout_s=platform.timeout_s
    )
    if settings.node.role is Role.ENTRY:
        return EntryShell(settings, store, instance_list)
    return AgentShell(settings, store, instance_list)


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the daemon's arguments."""
    parser = argparse.ArgumentParser(
        prog="tamaracktrayd", description="Run one process of tamaracktray."
    )
    parser.add_argument(
        "--config", type=Path, required=True, help="INI file with the settings"
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    return parser


def run(config: Path, *, is_check: bool) -> int:
    """Run the process described by a settings file and return its exit code.

    The code is 0 after an orderly shutdown, 1 after an invariant violation and 2 if
    the settings are invalid.
    """
    loaded = load_settings(config)
    if isinstance(loaded, Failure):
        print(f"tamaracktrayd: {loaded.failure().message}", file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    if is_check:
        print(f"{config}: settings are valid")
        return 0
    settings = loaded.unwrap()
    configure_logs(settings.telemetry.log_level, process=settings.node.name)
    shell = build_shell(settings)
    # Objects created so far live as long as the process; exclude them from collection.
    gc.freeze()
    curio.run(shell.run)
    return shell.exit_code


def main() -> None:
    """Run the daemon from the command line."""
    block_reload_signal()
    arguments = build_parser().parse_args()
    sys.exit(run(arguments.config, is_check=arguments.check))


if __name__ == "__main__":
    main()
