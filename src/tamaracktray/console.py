"""Input, output and exit codes of ``tamaractl``."""

import json
import sys
from enum import Enum
from pathlib import Path
from typing import Any, NoReturn

import msgspec
import typer
from returns.result import Failure, Result

from tamaracktray.client import (
    ChangeConflictError,
    NotFoundError,
    UnreachableError,
)
from tamaracktray.decoding import UNREADABLE
from tamaracktray.exceptions import CommandError
from tamaracktray.progress import RolloutProgress
from tamaracktray.resources import (
    ModelSpec,
    Resource,
    decode_resource,
    encode_resource,
)
from tamaracktray.tables import format_table

EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
EXIT_CONFLICT = 4
EXIT_NOT_FOUND = 5
EXIT_TIMEOUT = 6


class Output(str, Enum):
    """Output formats."""

    TABLE = "table"
    JSON = "json"


def read_resources(path: Path) -> list[Resource]:
    """Read the resources of a JSON file, or exit with an error message."""
    try:
        document = msgspec.json.decode(path.read_bytes())
    except (OSError, *UNREADABLE) as error:
        fail(f"{path}: {error}", EXIT_USAGE)
    documents = document if isinstance(document, list) else [document]
    resources: list[Resource] = []
    for position, item in enumerate(documents):
        decoded = decode_resource(item)
        if isinstance(decoded, Failure):
            message = f"{path}: resource {position}: {decoded.failure().message}"
            fail(message, EXIT_USAGE)
        resources.append(decoded.unwrap())
    return resources


def build_progress_row(progress: RolloutProgress) -> list[str]:
    """Return the table row of a rollout."""
    serving = f"{progress.updated}/{progress.total}"
    return [progress.name, progress.version, progress.state, serving]


def print_progress(progress: RolloutProgress, output: Output) -> None:
    """Print the progress of a rollout."""
    if output is Output.JSON:
        typer.echo(json.dumps(msgspec.to_builtins(progress), indent=2))
        return
    row = build_progress_row(progress)
    typer.echo(format_table(["ROLLOUT", "VERSION", "STATE", "SERVING"], [row]))
    rows = [
        [zone.zone, str(zone.updated), str(zone.swapping), str(zone.total)]
        for zone in progress.zones
    ]
    typer.echo(format_table(["ZONE", "UPDATED", "UNAVAILABLE", "TOTAL"], rows))
    for instance, reason in sorted(progress.reason_by_instance.items()):
        typer.echo(f"failed on {instance}: {reason}")


def show_progress_line(progress: RolloutProgress) -> None:
    """Update the progress line of a rollout if standard error is a terminal."""
    if sys.stderr.isatty():
        text = f"\r{progress.updated}/{progress.total} serve {progress.version}"
        typer.echo(text, err=True, nl=False)


def end_progress_line() -> None:
    """End the progress line if standard error is a terminal."""
    if sys.stderr.isatty():
        typer.echo("", err=True)


def print_resources(resources: list[Resource], output: Output) -> None:
    """Print resources as a table or as JSON."""
    if output is Output.JSON:
        documents = [encode_resource(resource) for resource in resources]
        typer.echo(json.dumps(documents, indent=2))
        return
    rows = [
        [resource.name, str(resource.resource_version), _format_spec(resource)]
        for resource in resources
    ]
    typer.echo(format_table(["NAME", "VERSION", "SPEC"], rows))


def _format_spec(resource: Resource) -> str:
    spec = msgspec.to_builtins(resource.spec)
    if isinstance(resource.spec, ModelSpec):
        return spec["description"]
    return " ".join(f"{key}={value}" for key, value in spec.items() if value != "")


def unwrap(result: Result[Any, CommandError]) -> Any:
    """Return the value of a result, or exit with its error."""
    if isinstance(result, Failure):
        fail_with_error(result.failure())
    return result.unwrap()


def fail_with_error(error: CommandError) -> NoReturn:
    """Print an error and exit with the code of its class."""
    if isinstance(error, UnreachableError):
        fail(error.message, EXIT_UNREACHABLE)
    if isinstance(error, NotFoundError):
        fail(error.message, EXIT_NOT_FOUND)
    if isinstance(error, ChangeConflictError):
        fail(error.message, EXIT_CONFLICT)
    fail(error.message, EXIT_FAILED)


def fail(message: str, code: int) -> NoReturn:
    """Print an error message and exit with ``code``."""
    typer.echo(f"tamaractl: {message}", err=True)
    raise typer.Exit(code)
