"""Commands for moves of a service to another version."""

import uuid
from pathlib import Path
from urllib.parse import quote

import click
import msgspec

from sassafraspin.cli.errors import handle_errors, load_or_exit
from sassafraspin.cli.operator_client import OperatorClient, operator_options
from sassafraspin.cli.output import echo_json, echo_table, format_time, json_option
from sassafraspin.moves import Move, MoveSpec

__all__ = ["move"]

_HEADINGS = (
    "NAME",
    "SERVICE",
    "FROM",
    "TO",
    "PHASE",
    "SHARE",
    "REASON",
    "DEADLINE",
    "DETAIL",
)


@click.group()
def move() -> None:
    """Declare, show and undo moves of a service to a new version."""


@move.command()
@click.argument("file", type=click.Path(path_type=Path, dir_okay=False))
@click.option("--change-id", help="Identifier of the change; reuse it to retry safely.")
@json_option
@operator_options
@handle_errors
def declare(
    file: Path, change_id: str | None, as_json: bool, client: OperatorClient
) -> None:
    """Declare the move in FILE; by its deadline it is done or rolled back."""
    spec = load_or_exit(MoveSpec, file)
    change_id = change_id or uuid.uuid4().hex
    click.echo(f"change {change_id}", err=True)
    target = f"/v1/moves?change_id={quote(change_id)}"
    _echo_moves((client.post(target, msgspec.json.encode(spec), Move),), as_json)


@move.command()
@click.argument("name", required=False)
@json_option
@operator_options
@handle_errors
def status(name: str | None, as_json: bool, client: OperatorClient) -> None:
    """Show the move NAME, or all moves if NAME is omitted."""
    if name is None:
        _echo_moves(client.get("/v1/moves", tuple[Move, ...]), as_json)
    else:
        _echo_moves((client.get(f"/v1/moves/{quote(name)}", Move),), as_json)


@move.command()
@click.argument("name")
@click.option("--change-id", help="Identifier of the change; reuse it to retry safely.")
@json_option
@operator_options
@handle_errors
def undo(
    name: str, change_id: str | None, as_json: bool, client: OperatorClient
) -> None:
    """Undo a move that has not ended."""
    change_id = change_id or uuid.uuid4().hex
    target = f"/v1/moves/{quote(name)}/undo?change_id={quote(change_id)}"
    _echo_moves((client.post(target, b"{}", Move),), as_json)


def _echo_moves(moves: tuple[Move, ...], as_json: bool) -> None:
    if as_json:
        echo_json(moves)
        return
    rows = [
        (
            item.spec.name,
            item.spec.service,
            item.spec.from_version,
            item.spec.to_version,
            item.phase,
            f"{item.share:.0%}",
            item.reason,
            format_time(item.deadline_ms),
            item.detail,
        )
        for item in moves
    ]
    echo_table(_HEADINGS, rows)
