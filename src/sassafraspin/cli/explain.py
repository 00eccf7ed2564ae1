"""Commands that read the logs of daemons."""

from datetime import UTC, datetime
from pathlib import Path

import click

from sassafraspin.cli.errors import reporting_errors
from sassafraspin.errors import CommandError, ExitCode
from sassafraspin.telemetry.events import describe_events
from sassafraspin.telemetry.story import StoryLine, read_story

__all__ = ["events", "explain"]

_FILE = click.Path(path_type=Path, dir_okay=False, exists=True)


@click.command()
@click.argument("request_id", metavar="ID")
@click.argument("logs", metavar="LOG...", nargs=-1, required=True, type=_FILE)
@reporting_errors
def explain(request_id: str, logs: tuple[Path, ...]) -> None:
    """Tell the story of request ID from the logs of all instances, in order."""
    named = ((log.name, log.read_bytes().splitlines()) for log in logs)
    story = read_story(request_id, named)
    if not story:
        raise CommandError(
            f"no log tells of request {request_id!r}; give the logs of every instance "
            "that its caller may have reached",
            ExitCode.NOT_FOUND,
        )
    for line in story:
        click.echo(_format(line))


@click.command()
def events() -> None:
    """List the events in the logs with their fields, as a Markdown table."""
    click.echo(describe_events())


def _format(line: StoryLine) -> str:
    at = datetime.fromtimestamp(line.time, UTC).strftime("%H:%M:%S.%f")[:-3]
    facts = " ".join(f"{name}={value}" for name, value in line.facts)
    return f"{at} {line.source} {line.event}: {line.text} {facts}"
