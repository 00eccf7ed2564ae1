"""Commands for profiles."""

import uuid
from pathlib import Path
from urllib.parse import quote

import click
import msgspec

from sassafraspin.cli.errors import handle_errors, load_or_exit
from sassafraspin.cli.operator_client import OperatorClient, operator_options
from sassafraspin.cli.output import echo_json, echo_table, format_time, json_option
from sassafraspin.profiles import Profile, ProfileChange

__all__ = ["profile"]

_HEADINGS = ("NAME", "VERSION", "SERVICE", "TIER", "DEADLINE_MS", "OPERATOR", "CHANGED")


@click.group()
def profile() -> None:
    """Store and show profiles."""


@profile.command()
@click.argument("file", type=click.Path(path_type=Path, dir_okay=False))
@click.option("--change-id", help="Identifier of the change; reuse it to retry safely.")
@json_option
@operator_options
@handle_errors
def put(
    file: Path, change_id: str | None, as_json: bool, client: OperatorClient
) -> None:
    """Store the next version of a profile from FILE.

    The version in FILE must follow the active version. If two operators store the
    same version, the first succeeds and the second gets a conflict (exit status 3).
    """
    wanted = load_or_exit(Profile, file)
    change_id = change_id or uuid.uuid4().hex
    target = f"/v1/profiles/{wanted.name}?change_id={quote(change_id)}"
    click.echo(f"change {change_id}", err=True)
    change = client.put(target, msgspec.json.encode(wanted), ProfileChange)
    _echo_changes((change,), as_json)


@profile.command()
@click.argument("name")
@json_option
@operator_options
@handle_errors
def get(name: str, as_json: bool, client: OperatorClient) -> None:
    """Show the active version of a profile."""
    _echo_changes((client.get(f"/v1/profiles/{quote(name)}", ProfileChange),), as_json)


@profile.command("list")
@json_option
@operator_options
@handle_errors
def list_profiles(as_json: bool, client: OperatorClient) -> None:
    """Show the active versions of all profiles."""
    _echo_changes(client.get("/v1/profiles", tuple[ProfileChange, ...]), as_json)


@profile.command()
@click.argument("name")
@json_option
@operator_options
@handle_errors
def history(name: str, as_json: bool, client: OperatorClient) -> None:
    """Show the retained versions of a profile, oldest first."""
    target = f"/v1/profiles/{quote(name)}/history"
    _echo_changes(client.get(target, tuple[ProfileChange, ...]), as_json)


def _echo_changes(changes: tuple[ProfileChange, ...], as_json: bool) -> None:
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
