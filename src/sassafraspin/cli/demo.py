"""Command that runs the demo."""

import click
import trio

from sassafraspin.cli.errors import handle_errors
from sassafraspin.cli.load import echo_load_report
from sassafraspin.cli.output import echo_table
from sassafraspin.telemetry import configure_logs

__all__ = ["demo"]


@click.command()
@click.option("--seed", default=1, show_default=True, help="Random seed of the load.")
@click.option("--verbose", is_flag=True, help="Show log messages.")
@handle_errors
def demo(seed: int, verbose: bool) -> None:
    """Run a demo: an entry instance, two engines, requests of two tiers, two moves."""
    from sassafraspin.demo import run_demo

    configure_logs("INFO" if verbose else "ERROR", "text")
    click.echo("Running two stand-in engines, an entry instance, and two moves ...")
    result = trio.run(run_demo, seed)
    click.echo("\nAnswers by tier")
    echo_load_report(result.load)
    click.echo("\nMoves")
    echo_table(
        ("NAME", "TO", "OUTCOME", "REASON", "DETAIL"),
        [
            (
                move.spec.name,
                move.spec.to_version,
                move.phase,
                move.reason,
                move.detail,
            )
            for move in result.moves
        ],
    )
    click.echo(
        "\nNext: README.md has a quickstart with separate processes; "
        "docs/OPERATIONS.md shows a deployment."
    )
