"""Commands that run a daemon or validate its settings."""

from pathlib import Path

import click
import trio

from sassafraspin.cli.errors import exit_with_error, handle_errors
from sassafraspin.settings import DaemonSettings, load_settings
from sassafraspin.telemetry import configure_logs

__all__ = ["check_settings", "entry"]

_FILE = click.Path(path_type=Path, dir_okay=False)


@click.command("check-settings")
@click.argument("files", metavar="FILE...", nargs=-1, required=True, type=_FILE)
def check_settings(files: tuple[Path, ...]) -> None:
    """Validate settings files.

    Stops at the first invalid file, lists all its problems and exits with status 2.
    """
    for file in files:
        settings = _load(file)
        click.echo(f"{file}: valid settings of instance {settings.instance.name}")


@click.command()
@click.argument("file", type=_FILE)
@handle_errors
def entry(file: Path) -> None:
    """Run an entry instance with the settings in FILE.

    The instance is also part of the control quorum if the settings list it as a
    control instance, or if it is a spare and replaces one. SIGTERM and SIGINT drain
    the instance; a second signal stops it at once.
    """
    from sassafraspin.daemon import Daemon

    settings = _load(file)
    configure_logs(settings.telemetry.log_level, settings.telemetry.log_format)

    async def run() -> None:
        await Daemon(settings, file.parent).run_until_signal()

    trio.run(run)


def _load(file: Path) -> DaemonSettings:
    checked = load_settings(file)
    if checked.is_error():
        exit_with_error(checked.error)
    return checked.ok
