"""Commands for profiles."""

import uuid
from pathlib import Path
from urllib.parse import quote

import click
import msgspec

from sassafraspin.cli.errors import load_or_fail, reporting_errors
from sassafraspin.cli.operator_client import OperatorClient, operator_options
from sassafraspin.cli.output import echo_json, echo_table, format_time, json_option
from sassafraspin.profiles import Profile, ProfileChange

__all__ = ["profile"]

_HEADINGS = ("NAME", "VERSION", "SERVICE", "TIER", "DEADLINE_MS", "OPERATOR", "CHANGED")


@click.group()
def profile() -> None:
    """Put and read profiles."""


@profile.command()
@click.argument("file", type=click.Path(path_type=Path, dir_okay=False))
@click.option("--change-id", help="Identity of the change, to send it again.")
@json_option
@operator_options
@reporting_errors
def put(
    file: Path, change_id: str | None, as_json: bool, client: OperatorClient
) -> None:
    """Put the next version of a profile from FILE.

    FILE names the version after the one in force. Of two operators who put the same
    version, the first wins and the other one is told (exit status 3).
    """
    wanted = load_or_fail(Profile, file)
    change_id = change_id or uuid.uuid4().hex
    target = f"/v1/profiles/{wanted.name}?change_id={quote(change_id)}"
    click.echo(f"change {change_id}", err=True)
    change = client.put(target, msgspec.json.encode(wanted), ProfileChange)
    _echo((change,), as_json)


@profile.command()
@click.argument("name")
@json_option
@operator_options
@reporting_errors
def get(name: str, as_json: bool, client: OperatorClient) -> None:
    """Show the version of a profile that is in force."""
    _echo((client.get(f"/v1/profiles/{quote(name)}", ProfileChange),), as_json)


@profile.command("list")
@json_option
@operator_options
@reporting_errors
def list_profiles(as_json: bool, client: OperatorClient) -> None:
    """Show every profile in force."""
    _echo(client.get("/v1/profiles", tuple[ProfileChange, ...]), as_json)


@profile.command()
@click.argument("name")
@json_option
@operator_options
@reporting_errors
def history(name: str, as_json: bool, client: OperatorClient) -> None:
    """Show the kept versions of a profile, oldest first."""
    target = f"/v1/profiles/{quote(name)}/history"
    _echo(client.get(target, tuple[ProfileChange, ...]), as_json)


def _echo(changes: tuple[ProfileChange, ...], as_json: bool) -> None:
    if as_json:
        echo_json(changes)
        return
    rows = [
        (
            change.profile.name,
            change.profile.version,
            change.profile.service,
            change.profile.tier,
            change.profile.deadline_ms,
            change.operator,
            format_time(change.at_ms),
        )
        for change in changes
    ]
    echo_table(_HEADINGS, rows)
