"""Command that runs a soak on real processes."""

import shutil
import tempfile
from pathlib import Path

import click
import trio

from sassafraspin.cli.errors import reporting_errors
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
    help="Seeds to run, one after the other.",
)
@click.option(
    "--seconds",
    type=click.FloatRange(1, 3_600),
    default=20.0,
    show_default=True,
    help="Time in which faults begin.",
)
@click.option(
    "--instances",
    type=click.IntRange(3, 100),
    default=4,
    show_default=True,
    help="Daemons, three of them with control duty.",
)
@click.option(
    "--engines",
    type=click.IntRange(1, 100),
    default=3,
    show_default=True,
    help="Stand-in engines.",
)
@json_option
@reporting_errors
def soak(
    seed: int, runs: int, seconds: float, instances: int, engines: int, as_json: bool
) -> None:
    """Run daemons and engines, harm them from outside, and check the promises.

    Logs of a run that broke a promise are kept; the others are deleted.
    """
    from sassafraspin.soak import SoakSettings, run_soak

    broken = 0
    for number in range(seed, seed + runs):
        folder = Path(tempfile.mkdtemp(prefix=f"sassafraspin-soak-{number}-"))
        settings = SoakSettings(number, seconds, instances, engines)
        report = trio.run(run_soak, settings, folder)
        if as_json:
            echo_json(report)
        else:
            click.echo(f"seed {number}: {len(report.faults)} faults, {report.results}")
        for violation in report.violations:
            click.echo(f"  broken: {violation.promise}: {violation.seen}")
        if report.violations:
            broken += 1
            click.echo(f"  logs: {folder}")
        else:
            shutil.rmtree(folder)
    if broken:
        raise CommandError(f"{broken} of {runs} seeds broke a promise")
