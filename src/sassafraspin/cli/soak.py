"""Command that runs soak tests."""

import shutil
import tempfile
from pathlib import Path

import click
import trio

from sassafraspin.cli.errors import handle_errors
from sassafraspin.cli.output import echo_json, json_option
from sassafraspin.errors import CommandError

__all__ = ["soak"]


@click.command()
@click.option("--seed", type=int, default=1, show_default=True, help="First seed.")
@click.option(
    "--runs",
    type=click.IntRange(1, 1_000),
    default=1,
    show_default=True,
    help="Number of consecutive seeds to run.",
)
@click.option(
    "--seconds",
    type=click.FloatRange(1, 3_600),
    default=20.0,
    show_default=True,
    help="Period in which faults start and requests are sent.",
)
@click.option(
    "--instances",
    type=click.IntRange(3, 100),
    default=4,
    show_default=True,
    help="Number of daemons; three are control instances.",
)
@click.option(
    "--engines",
    type=click.IntRange(1, 100),
    default=3,
    show_default=True,
    help="Number of stand-in engines.",
)
@json_option
@handle_errors
def soak(
    seed: int, runs: int, seconds: float, instances: int, engines: int, as_json: bool
) -> None:
    """Run daemons and engines, inject faults and check invariants.

    The folder of a run is kept if an invariant was violated, and deleted otherwise.
    """
    from sassafraspin.soak import SoakSettings, run_soak

    failed_runs = 0
    for number in range(seed, seed + runs):
        folder = Path(tempfile.mkdtemp(prefix=f"sassafraspin-soak-{number}-"))
        settings = SoakSettings(number, seconds, instances, engines)
        report = trio.run(run_soak, settings, folder)
        if as_json:
            echo_json(report)
        else:
            click.echo(f"seed {number}: {len(report.faults)} faults, {report.results}")
        for violation in report.violations:
            click.echo(f"  violated: {violation.promise}: {violation.seen}")
        if report.violations:
            failed_runs += 1
            click.echo(f"  logs: {folder}")
        else:
            shutil.rmtree(folder)
    if failed_runs:
        raise CommandError(f"{failed_runs} of {runs} seeds violated an invariant")
