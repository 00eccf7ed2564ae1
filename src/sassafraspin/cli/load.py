"""Command that runs a load and prints its report."""

from pathlib import Path
from typing import TYPE_CHECKING

import click
import msgspec
import trio

from sassafraspin.cli.errors import handle_errors, load_or_exit
from sassafraspin.cli.output import echo_json, echo_table, json_option

if TYPE_CHECKING:
    from sassafraspin.load import LoadReport

__all__ = ["echo_load_report", "load"]


@click.command()
@click.argument("file", type=click.Path(path_type=Path, dir_okay=False))
@click.option(
    "--write",
    type=click.Path(path_type=Path, dir_okay=False),
    help="Also write the report as JSON to this file.",
)
@json_option
@handle_errors
def load(file: Path, write: Path | None, as_json: bool) -> None:
    """Run the load described in FILE; print goodput, latency and refusals.

    If FILE names stand-ins, their prefill work and execution counts are printed too.
    """
    from sassafraspin.load import LoadRecorder, LoadRunner, LoadSettings

    settings = load_or_exit(LoadSettings, file)

    def show_progress(recorder: LoadRecorder) -> None:
        click.echo(f"{recorder.ended} ended, {recorder.good} good", err=True)

    report = trio.run(LoadRunner(settings, show_progress).run)
    if write is not None:
        write.write_bytes(msgspec.json.encode(report))
    if as_json:
        echo_json(report)
    else:
        echo_load_report(report)


def echo_load_report(report: "LoadReport") -> None:
    """Print the report of a run as tables."""
    echo_table(
        (
            "TIER",
            "SENT",
            "GOOD",
            "GOODPUT",
            "P50_MS",
            "P95_MS",
            "P99_MS",
            "FIRST_TOKEN_P95_MS",
        ),
        [
            (
                item.tier,
                item.sent,
                item.good,
                f"{item.goodput:.1%}",
                item.p50_ms,
                item.p95_ms,
                item.p99_ms,
                item.first_token_p95_ms,
            )
            for item in report.tiers
        ],
    )
    click.echo()
    echo_table(("RESULT", "COUNT"), list(report.results.items()))
    if report.refusals:
        click.echo()
        echo_table(("REASON", "COUNT"), list(report.refusals.items()))
    if report.prefill is not None:
        work = report.prefill
        click.echo(
            f"\nprefill: {work.prefill_tokens} tokens computed, {work.wasted_tokens} "
            f"wasted, of them {work.cancelled_tokens} cancelled"
        )
    if report.executions is not None:
        count = report.executions
        click.echo(
            f"executions: {count.executions}, keys {count.keys}, "
            f"repeated keys {len(count.repeated)}"
        )
