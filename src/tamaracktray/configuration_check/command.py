"""The command ``tamaractl check``."""

import pkgutil
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from tamaracktray.configuration_check.differences import Difference, compare_tables
from tamaracktray.configuration_check.findings import Finding, check_table
from tamaracktray.console import EXIT_FAILED, EXIT_USAGE, fail
from tamaracktray.decoding import UNREADABLE
from tamaracktray.deployment import Deployment
from tamaracktray.routes import RoutingTable
from tamaracktray.tables import format_table

# Named by text, as nothing but the deployment's own package may import its modules.
DEFAULT_DEPLOYMENT = "tamaracktray.platform.deployment:PlatformDeployment"


class CheckReport(msgspec.Struct, frozen=True):
    """Results of a check; ``differences`` are from the version in force."""

    version: int
    findings: list[Finding]
    differences: list[Difference]


def check(
    file: Annotated[Path, typer.Argument(help="Routing configuration (JSON).")],
    against: Annotated[
        Path | None, typer.Option(help="Configuration in force, to compare with.")
    ] = None,
    is_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
    deployment: Annotated[
        str, typer.Option(help="Deployment that decodes, as module:class.")
    ] = DEFAULT_DEPLOYMENT,
) -> None:
    """Check a routing configuration before it is sent.

    Exits with 0 if there are no findings, 1 if there are, and 2 if a file is
    unreadable. Differences are no findings.
    """
    decoder = _load_deployment(deployment)
    table = _read_table(decoder, file)
    differences: list[Difference] = []
    if against is not None:
        differences = compare_tables(_read_table(decoder, against), table)
    report = CheckReport(table.version, check_table(table), differences)
    _print_report(report, is_json=is_json)
    if report.findings:
        raise typer.Exit(EXIT_FAILED)


def _load_deployment(name: str) -> Deployment:
    try:
        deployment = pkgutil.resolve_name(name)()
    except (ImportError, AttributeError, ValueError, TypeError) as error:
        fail(f"deployment {name}: {error}", EXIT_USAGE)
    if not isinstance(deployment, Deployment):
        fail(f"{name} is not a deployment", EXIT_USAGE)
    return deployment


def _read_table(deployment: Deployment, path: Path) -> RoutingTable:
    try:
        return deployment.read_configuration(msgspec.json.decode(path.read_bytes()))
    except (OSError, *UNREADABLE) as error:
        fail(f"{path}: {error}", EXIT_USAGE)


def _print_report(report: CheckReport, *, is_json: bool) -> None:
    if is_json:
        document = msgspec.json.format(msgspec.json.encode(report), indent=2)
        typer.echo(document.decode())
        return
    rows = [[item.kind.value, item.subject, item.message] for item in report.findings]
    if rows:
        typer.echo(format_table(["KIND", "ENTRY", "FINDING"], rows))
    else:
        typer.echo(f"version {report.version}: no findings")
    if report.differences:
        rows = [
            [item.subject, item.field, item.old, item.new]
            for item in report.differences
        ]
        typer.echo(format_table(["ENTRY", "FIELD", "IN FORCE", "NEW"], rows))
