"""Commands that run stand-ins for backend servers."""

from pathlib import Path
from typing import Any

import click
import trio

from sassafraspin.cli.errors import handle_errors, load_or_exit
from sassafraspin.telemetry import configure_logs

__all__ = ["stand_in"]

_FILE = click.Path(path_type=Path, dir_okay=False)


@click.group("stand-in")
def stand_in() -> None:
    """Run simulated backend servers."""


@stand_in.command()
@click.argument("file", type=_FILE)
@handle_errors
def engine(file: Path) -> None:
    """Run a stand-in model engine with the settings in FILE."""
    from sassafraspin.standins import EngineServer, EngineSettings

    settings = load_or_exit(EngineSettings, file)
    _run(lambda: EngineServer(settings))


@stand_in.command()
@click.argument("file", type=_FILE)
@handle_errors
def service(file: Path) -> None:
    """Run a stand-in plain service with the settings in FILE."""
    from sassafraspin.standins import PlainServer, PlainServiceSettings

    settings = load_or_exit(PlainServiceSettings, file)
    _run(lambda: PlainServer(settings))


def _run(make_server: Any) -> None:
    configure_logs("INFO", "text")

    async def run() -> None:
        await make_server().run()

    try:
        trio.run(run)
    except KeyboardInterrupt:
        raise SystemExit(0) from None
