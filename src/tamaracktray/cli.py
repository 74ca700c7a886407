"""Command line ``tamaractl`` for operators."""

import getpass
import json
import time
from enum import Enum
from pathlib import Path
from typing import Annotated

import msgspec
import typer
from returns.result import Failure, Success

from tamaracktray.client import ApiClient, ChangeConflictError, NotFoundError
from tamaracktray.configuration_check.command import check
from tamaracktray.console import (
    EXIT_CONFLICT,
    EXIT_FAILED,
    EXIT_TIMEOUT,
    EXIT_USAGE,
    Output,
    build_progress_row,
    end_progress_line,
    fail,
    fail_with_error,
    print_progress,
    print_resources,
    read_resources,
    show_progress_line,
    unwrap,
)
from tamaracktray.progress import RolloutProgress, summarize_rollout
from tamaracktray.resources import (
    Kind,
    Resource,
    RolloutSpec,
    RolloutState,
    ZoneSpec,
    encode_resource,
)
from tamaracktray.tables import format_table
from tamaracktray.types import Address

POLL_S = 0.3
WATCH_S = 30.0

app = typer.Typer(
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="Declare models, versions, availability zones and rollouts.",
)
zone_app = typer.Typer(
    no_args_is_help=True, help="Take availability zones out of service and back in."
)
rollout_app = typer.Typer(no_args_is_help=True, help="Start and control rollouts.")
requests_app = typer.Typer(
    no_args_is_help=True, help="List and settle requests of unknown outcome."
)
app.command()(check)
app.add_typer(zone_app, name="zone")
app.add_typer(rollout_app, name="rollout")
app.add_typer(requests_app, name="requests")


class Verdict(str, Enum):
    """Outcome of a request as determined by an operator."""

    RUN = "run"
    NOT_RUN = "not-run"


OutputOption = Annotated[Output, typer.Option("--output", "-o", help="Output format.")]


@app.callback()
def connect(
    context: typer.Context,
    server: Annotated[
        str,
        typer.Option(
            envvar="TAMARACTL_SERVER", help="API address of an entry as IP:port."
        ),
    ] = "127.0.0.1:7070",
    token: Annotated[
        str, typer.Option(envvar="TAMARACTL_TOKEN", help="Bearer token.")
    ] = "",
) -> None:
    """Connect to the API of one entry."""
    try:
        address = Address.parse(server)
    except ValueError as error:
        raise typer.BadParameter(str(error), param_hint="--server") from error
    context.obj = ApiClient(address, token)


@app.command()
def apply(
    context: typer.Context,
    file: Annotated[Path, typer.Option("--file", "-f", help="JSON file.")],
) -> None:
    """Create or change the resources of a file.

    The file contains one resource or a list. A resource without a resource_version
    overwrites the current version.
    """
    for resource in read_resources(file):
        current = _get_or_none(context.obj, resource.kind, resource.name)
        if current is not None and current.spec == resource.spec:
            typer.echo(f"{resource.kind.value}/{resource.name} unchanged")
            continue
        if not resource.resource_version and current is not None:
            resource = _with_version(resource, current.resource_version)
        written = _write(context.obj, resource)
        verb = "created" if current is None else "changed"
        version = written.resource_version
        typer.echo(f"{written.kind.value}/{written.name} {verb} at {version}")


@app.command()
def get(
    context: typer.Context,
    kind: Kind,
    name: Annotated[str, typer.Argument(help="Name; all resources if omitted.")] = "",
    output: OutputOption = Output.TABLE,
) -> None:
    """Show resources of one kind."""
    if name:
        resources = [unwrap(context.obj.get(kind, name))]
    else:
        resources = unwrap(context.obj.list_kind(kind)).items
    print_resources(resources, output)


@app.command()
def describe(context: typer.Context, kind: Kind, name: str) -> None:
    """Show everything about one resource."""
    resource = unwrap(context.obj.get(kind, name))
    typer.echo(json.dumps(encode_resource(resource), indent=2))
    if kind is Kind.ROLLOUT:
        print_progress(_read_progress(context.obj, resource), Output.TABLE)


@app.command()
def delete(context: typer.Context, kind: Kind, name: str) -> None:
    """Delete one resource."""
    resource = unwrap(context.obj.get(kind, name))
    unwrap(context.obj.delete(resource))
    typer.echo(f"{kind.value}/{name} deleted")


@app.command()
def watch(
    context: typer.Context,
    kind: Kind,
    count: Annotated[
        int, typer.Option(help="Stop after this many changes; 0 for no limit.")
    ] = 0,
) -> None:
    """Print changes of one kind as JSON lines."""
    revision = unwrap(context.obj.list_kind(kind)).revision
    printed = 0
    while not count or printed < count:
        page = unwrap(context.obj.watch(kind, revision, WATCH_S))
        revision = page.revision
        for resource in page.items:
            typer.echo(json.dumps(encode_resource(resource)))
            printed += 1


@app.command()
def status(context: typer.Context, output: OutputOption = Output.TABLE) -> None:
    """Show the availability zones and rollouts of the fleet."""
    client: ApiClient = context.obj
    endpoints = unwrap(client.list_kind(Kind.ENDPOINT)).items
    zones = unwrap(client.list_kind(Kind.ZONE)).items
    rollouts = unwrap(client.list_kind(Kind.ROLLOUT)).items
    progress = [_summarize(client, rollout, endpoints) for rollout in rollouts]
    if output is Output.JSON:
        document = {
            "zones": [encode_resource(zone) for zone in zones],
            "rollouts": msgspec.to_builtins(progress),
        }
        typer.echo(json.dumps(document, indent=2))
        return
    rows = [
        [zone.name, zone.spec.region, "out" if zone.spec.out else "in"]
        for zone in zones
    ]
    typer.echo(format_table(["ZONE", "REGION", "STATE"], rows))
    rows = [build_progress_row(item) for item in progress]
    typer.echo(format_table(["ROLLOUT", "VERSION", "STATE", "SERVING"], rows))


@zone_app.command("out")
def zone_out(context: typer.Context, name: str) -> None:
    """Stop routing new requests to an availability zone."""
    _set_zone(context.obj, name, out=True)


@zone_app.command("in")
def zone_in(context: typer.Context, name: str) -> None:
    """Resume routing new requests to an availability zone."""
    _set_zone(context.obj, name, out=False)


@rollout_app.command("start")
def rollout_start(
    context: typer.Context,
    model: str,
    version: str,
    max_unavailable: Annotated[
        int, typer.Option(min=1, max=1000, help="Concurrent swaps in each zone.")
    ] = 1,
    failure_limit: Annotated[
        int,
        typer.Option(
            min=1, max=1000, help="Number of failed instances that halts the rollout."
        ),
    ] = 2,
) -> None:
    """Bring a version into service on all endpoints of a model.

    The rollout is named after the version. An abort rolls back to the version of the
    model's newest other rollout.
    """
    client: ApiClient = context.obj
    previous = _find_previous_version(client, model, version)
    spec = RolloutSpec(
        model, version, max_unavailable, failure_limit, previous_version=previous
    )
    current = _get_or_none(client, Kind.ROLLOUT, version)
    expected_version = 0 if current is None else current.resource_version
    written = _write(client, Resource(Kind.ROLLOUT, version, spec, expected_version))
    typer.echo(f"rollouts/{written.name} started at {written.resource_version}")


@rollout_app.command("status")
def rollout_status(
    context: typer.Context,
    name: str,
    wait: Annotated[
        bool,
        typer.Option("--wait", help="Wait until the rollout is complete or halted."),
    ] = False,
    timeout_s: Annotated[float, typer.Option(help="Longest wait in seconds.")] = 600.0,
    expect: Annotated[
        int, typer.Option(help="Minimum number of updated endpoints.")
    ] = 0,
    output: OutputOption = Output.TABLE,
) -> None:
    """Show the progress of a rollout."""
    client: ApiClient = context.obj
    deadline = time.monotonic() + timeout_s
    while True:
        rollout = unwrap(client.get(Kind.ROLLOUT, name))
        progress = _read_progress(client, rollout)
        is_complete = progress.is_complete and progress.updated >= expect
        if not wait or is_complete or progress.is_halted:
            break
        if time.monotonic() >= deadline:
            print_progress(progress, output)
            raise typer.Exit(EXIT_TIMEOUT)
        show_progress_line(progress)
        time.sleep(POLL_S)
    if wait:
        end_progress_line()
    print_progress(progress, output)
    if wait and not is_complete:
        raise typer.Exit(EXIT_FAILED)


@rollout_app.command("pause")
def rollout_pause(context: typer.Context, name: str) -> None:
    """Pause a rollout: start no further swaps."""
    _set_rollout(context.obj, name, RolloutState.PAUSED)


@rollout_app.command("resume")
def rollout_resume(context: typer.Context, name: str) -> None:
    """Resume a paused rollout."""
    _set_rollout(context.obj, name, RolloutState.RUNNING)


@rollout_app.command("abort")
def rollout_abort(context: typer.Context, name: str) -> None:
    """Abort a rollout and roll back to the previous version."""
    _set_rollout(context.obj, name, RolloutState.ABORTED)


@requests_app.command("list")
def requests_list(
    context: typer.Context,
    unknown: Annotated[
        bool, typer.Option("--unknown", help="List requests of unknown outcome.")
    ] = True,
    output: OutputOption = Output.TABLE,
) -> None:
    """Show the requests whose outcome is unknown."""
    if not unknown:
        fail("only requests of unknown outcome can be listed", EXIT_USAGE)
    items = unwrap(context.obj.list_unknown())
    if output is Output.JSON:
        typer.echo(json.dumps(items, indent=2))
        return
    rows = [[item["key"], item["scope"], item["agent"]] for item in items]
    typer.echo(format_table(["KEY", "SCOPE", "AGENT"], rows))


@requests_app.command("settle")
def requests_settle(
    context: typer.Context,
    key: str,
    verdict: Annotated[
        Verdict, typer.Option("--as", help="Whether the request was run.")
    ],
) -> None:
    """Settle a request of unknown outcome.

    Settling as not-run allows the request to run again, so check at the endpoint first.
    """
    was_run = verdict is Verdict.RUN
    unwrap(context.obj.settle(key, getpass.getuser(), was_run=was_run))
    typer.echo(f"{key} settled as {verdict.value}")


def _get_or_none(client: ApiClient, kind: Kind, name: str) -> Resource | None:
    found = client.get(kind, name)
    if isinstance(found, Failure) and isinstance(found.failure(), NotFoundError):
        return None
    return unwrap(found)


def _with_version(resource: Resource, version: int) -> Resource:
    return msgspec.structs.replace(resource, resource_version=version)


def _write(client: ApiClient, resource: Resource) -> Resource:
    written = client.put(resource)
    if isinstance(written, Success):
        return written.unwrap()
    error = written.failure()
    if not isinstance(error, ChangeConflictError):
        fail_with_error(error)
    typer.echo(f"tamaractl: {error.message}", err=True)
    typer.echo(f"yours:    {json.dumps(encode_resource(resource))}", err=True)
    if error.current is not None:
        current = json.dumps(encode_resource(error.current))
        typer.echo(f"in force: {current}", err=True)
    raise typer.Exit(EXIT_CONFLICT)


def _set_zone(client: ApiClient, name: str, *, out: bool) -> None:
    zone = unwrap(client.get(Kind.ZONE, name))
    spec = ZoneSpec(zone.spec.region, out)
    if spec != zone.spec:
        zone = _write(client, msgspec.structs.replace(zone, spec=spec))
    state = "out" if out else "in"
    typer.echo(f"zones/{name} is {state} at {zone.resource_version}")


def _set_rollout(client: ApiClient, name: str, state: RolloutState) -> None:
    rollout = unwrap(client.get(Kind.ROLLOUT, name))
    spec = msgspec.structs.replace(rollout.spec, state=state)
    if spec != rollout.spec:
        rollout = _write(client, msgspec.structs.replace(rollout, spec=spec))
    typer.echo(f"rollouts/{name} is {state.value} at {rollout.resource_version}")


def _find_previous_version(client: ApiClient, model: str, version: str) -> str:
    """Return the version of the model's newest other rollout, or an empty string."""
    newest: Resource | None = None
    for rollout in unwrap(client.list_kind(Kind.ROLLOUT)).items:
        if rollout.spec.model != model or rollout.spec.version == version:
            continue
        if newest is None or rollout.resource_version > newest.resource_version:
            newest = rollout
    return "" if newest is None else newest.spec.version


def _read_progress(client: ApiClient, rollout: Resource) -> RolloutProgress:
    endpoints = unwrap(client.list_kind(Kind.ENDPOINT)).items
    return _summarize(client, rollout, endpoints)


def _summarize(
    client: ApiClient, rollout: Resource, endpoints: list[Resource]
) -> RolloutProgress:
    reasons = unwrap(client.read_failures(rollout.name))
    return summarize_rollout(rollout, endpoints, reasons)


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
