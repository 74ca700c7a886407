"""Command line of the emulator: stand-ins, demo, soak test and measurements."""

from pathlib import Path
from typing import Annotated

import curio
import msgspec
import typer

from tamaracktray.types import Address
from tamaracktray_emulator.endpoint import EndpointBehavior
from tamaracktray_emulator.engine import EngineStandIn
from tamaracktray_emulator.instance_list import InstanceListStandIn
from tamaracktray_emulator.object_api import ObjectApiStandIn
from tamaracktray_emulator.origin import OriginStandIn
from tamaracktray_emulator.service import ServiceStandIn
from tamaracktray_emulator.standin import StandIn

app = typer.Typer(
    pretty_exceptions_enable=False,
    add_completion=False,
    help="Stand-ins and measurements for tamaracktray.",
)

Listen = Annotated[str, typer.Option(help="Loopback address as IP:port.")]
Behavior = Annotated[str, typer.Option(help="Behaviour and faults as a JSON object.")]


@app.command()
def object_api(listen: Listen) -> None:
    """Run a stand-in for the platform's object API."""
    _serve(ObjectApiStandIn(_parse_loopback(listen)))


@app.command()
def soak(
    seed: Annotated[int, typer.Option(help="First seed to run.")] = 1,
    count: Annotated[int, typer.Option(help="Number of consecutive seeds to run.")] = 1,
    duration_s: Annotated[
        float, typer.Option(help="Time with faults, in seconds.")
    ] = 20.0,
    restores: Annotated[
        bool, typer.Option("--restores", help="Restore the store from older copies.")
    ] = False,
    scale_out: Annotated[
        bool,
        typer.Option(
            "--scale-out", help="Add workers while single entries are killed."
        ),
    ] = False,
    regions: Annotated[
        bool, typer.Option("--regions", help="Change the regions of team and routes.")
    ] = False,
    calm: Annotated[
        bool, typer.Option("--calm", help="Leave out faults that suspend promises.")
    ] = False,
    pauses: Annotated[
        bool,
        typer.Option(
            "--pauses", help="Let endpoints fall silent beside changes of routes."
        ),
    ] = False,
    overload: Annotated[
        bool,
        typer.Option(
            "--overload", help="Send more streams of three ranks than engines can take."
        ),
    ] = False,
    copy_restarts: Annotated[
        bool,
        typer.Option(
            "--copy-restarts",
            help="Only start entries as the store is back from an older copy.",
        ),
    ] = False,
    entries: Annotated[int, typer.Option(help="Number of entries.")] = 3,
    logs: Annotated[Path, typer.Option(help="Directory for logs.")] = Path(
        "target/soak"
    ),
) -> None:
    """Run the real programs under random faults and check their guarantees."""
    from tamaracktray_emulator.soak.plan import (
        REPORT_HEAD,
        SIZES_WITH_OVERLOADS,
        SIZES_WITH_SILENCES,
        SoakPlan,
    )
    from tamaracktray_emulator.soak.run import run_soak

    typer.echo(REPORT_HEAD)
    sizes = {
        **(SIZES_WITH_SILENCES if pauses else {}),
        **(SIZES_WITH_OVERLOADS if overload else {}),
    }
    broken = 0
    for number in range(seed, seed + count):
        plan = SoakPlan(
            number,
            duration_s=duration_s,
            entries=entries,
            restores_store=restores,
            scales_out=scale_out,
            changes_regions=regions,
            restarts_on_copies=copy_restarts,
            is_calm=calm,
            has_silences=pauses,
            has_overloads=overload,
            **sizes,
        )
        report = run_soak(plan, logs / str(number))
        typer.echo(report.format_row())
        broken += len(report.violations)
        for violation in report.violations:
            typer.echo(f"{violation.promise} at {violation.at} s: {violation.detail}")
    raise typer.Exit(1 if broken else 0)


@app.command()
def instance_list(listen: Listen) -> None:
    """Run a stand-in for the platform's instance list."""
    _serve(InstanceListStandIn(_parse_loopback(listen)))


@app.command()
def origin(
    listen: Listen,
    rate_bytes_s: Annotated[
        float, typer.Option(help="Link rate in bytes per second; 0 means unlimited.")
    ] = 0.0,
    corrupt_share: Annotated[
        float, typer.Option(help="Share of chunks sent corrupt.")
    ] = 0.0,
    seed: Annotated[int, typer.Option(help="Seed of the random faults.")] = 1,
) -> None:
    """Run a stand-in for the weights origin."""
    _serve(
        OriginStandIn(
            _parse_loopback(listen),
            rate_bytes_s=rate_bytes_s,
            corrupt_share=corrupt_share,
            seed=seed,
        )
    )


@app.command()
def engine(listen: Listen, behavior: Behavior = "{}") -> None:
    """Run a stand-in for a model engine."""
    _serve(EngineStandIn(_parse_loopback(listen), _parse_behavior(behavior)))


@app.command()
def service(listen: Listen, behavior: Behavior = "{}") -> None:
    """Run a stand-in for a service without models."""
    _serve(ServiceStandIn(_parse_loopback(listen), _parse_behavior(behavior)))


@app.command()
def demo(
    keep: Annotated[
        bool, typer.Option("--keep", help="Leave the fleet running at the end.")
    ] = False,
) -> None:
    """Roll a model out to a small fleet and answer requests."""
    from tamaracktray_emulator.demo import run_demo

    raise typer.Exit(run_demo(keep=keep))


@app.command()
def bench(
    directory: Annotated[Path, typer.Option(help="Directory for results.")] = Path(
        "bench/results"
    ),
) -> None:
    """Measure goodput, crashes, fairness and routing against baselines."""
    from tamaracktray_emulator.bench import run_bench

    run_bench(directory)


@app.command()
def slopes(
    path: Annotated[Path, typer.Option(help="Output file.")] = Path(
        "bench/results/slopes.json"
    ),
) -> None:
    """Measure how cost grows with size, for the capacity page."""
    from tamaracktray_emulator.slopes import run_slopes

    run_slopes(path)


@app.command()
def spread(
    agents: Annotated[list[int], typer.Option(help="Number of agents; repeatable.")],
) -> None:
    """Measure a rollout to real agents over rate-limited links."""
    from tamaracktray_emulator.spread import print_spread

    print_spread(agents)


def _serve(stand_in: StandIn) -> None:
    curio.run(stand_in.serve)


def _parse_loopback(text: str) -> Address:
    try:
        address = Address.parse(text)
    except ValueError as error:
        raise typer.BadParameter(str(error)) from error
    if not address.host.startswith("127."):
        raise typer.BadParameter("stand-ins listen on loopback addresses only")
    return address


def _parse_behavior(text: str) -> EndpointBehavior:
    try:
        return msgspec.json.decode(text, type=EndpointBehavior)
    except msgspec.DecodeError as error:
        raise typer.BadParameter(str(error)) from error


def main() -> None:
    """Run the command line of the emulator."""
    app()


if __name__ == "__main__":
    main()
