"""Commands that explain the logs of daemons."""

from datetime import UTC, datetime
from pathlib import Path

import click

from sassafraspin.cli.errors import handle_errors
from sassafraspin.errors import CommandError, ExitCode
from sassafraspin.telemetry.events import describe_events
from sassafraspin.telemetry.timeline import TimelineEntry, read_timeline

__all__ = ["events", "explain"]

_FILE = click.Path(path_type=Path, dir_okay=False, exists=True)


@click.command()
@click.argument("request_id", metavar="ID")
@click.argument("logs", metavar="LOG...", nargs=-1, required=True, type=_FILE)
@handle_errors
def explain(request_id: str, logs: tuple[Path, ...]) -> None:
    """Print the events of request ID from the given logs, ordered by time.

    Events of the instances that logged the request, such as a lost dispatcher, are
    included if they were logged during the request or up to 10 s before it.
    """
    named = ((log.name, log.read_bytes().splitlines()) for log in logs)
    timeline = read_timeline(request_id, named)
    if not timeline:
        raise CommandError(
            f"request {request_id!r} is in none of the logs; pass the logs of every "
            "instance that its caller may have reached",
            ExitCode.NOT_FOUND,
        )
    for entry in timeline:
        click.echo(_format(entry))


@click.command()
def events() -> None:
    """List all log events and their fields as a Markdown table."""
    click.echo(describe_events())


def _format(entry: TimelineEntry) -> str:
    at = datetime.fromtimestamp(entry.time, UTC).strftime("%H:%M:%S.%f")[:-3]
    fields = " ".join(f"{name}={value}" for name, value in entry.fields)
    return f"{at} {entry.source} {entry.event}: {entry.text} {fields}"
