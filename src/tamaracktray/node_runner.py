"""Starts the entry or agent that a settings file describes."""

import gc
import sys
from pathlib import Path

import curio
from returns.result import Failure

from tamaracktray.deployment import Deployment
from tamaracktray.logs import configure_logs
from tamaracktray.node_process import NodeProcess
from tamaracktray.node_settings import NodeProcessSettings, load_node_settings
from tamaracktray.runtime import EXIT_INVALID_SETTINGS
from tamaracktray.types import Role


def run_node(path: Path, deployment: Deployment) -> int:
    """Run the process that a settings file describes and return its exit code.

    The code is 0 after a graceful shutdown, 1 after a broken invariant and 2 if the
    settings are invalid.
    """
    loaded = load_node_settings(path)
    if isinstance(loaded, Failure):
        print(f"tamaracktrayd: {loaded.failure().message}", file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    settings = loaded.unwrap()
    logs = configure_logs(
        settings.logs.level,
        sys.stdout.fileno(),
        is_buffered=True,
        process=settings.node.name,
    )
    role_process = _build_role_process(path, settings, deployment)
    role_process.logs = logs
    # Objects created so far live as long as the process; exclude them from collection.
    gc.freeze()
    curio.run(role_process.run)
    logs.flush()
    return role_process.exit_code


def _build_role_process(
    path: Path, settings: NodeProcessSettings, deployment: Deployment
) -> NodeProcess:
    """Return the process of the configured role, importing only that role's modules."""
    if settings.node.role is Role.ENTRY:
        from tamaracktray.entry_process import EntryProcess

        return EntryProcess(path, settings, deployment)
    from tamaracktray.agent_process import AgentProcess

    return AgentProcess(path, settings, deployment)
