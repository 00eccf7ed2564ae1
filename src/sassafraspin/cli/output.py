"""Tables and JSON on the standard output."""

from collections.abc import Sequence
from datetime import UTC, datetime
from typing import Any

import click
import msgspec

__all__ = ["echo_json", "echo_table", "format_time", "json_option"]

_GAP = "  "

json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
"""Option of commands that print a table by default."""


def echo_json(value: Any) -> None:
    """Print a value as indented JSON."""
    click.echo(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def echo_table(headings: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Print rows below headings, each column as wide as its longest cell."""
    cells = [list(headings), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(headings))]
    for row in cells:
        line = _GAP.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        click.echo(line.rstrip())


def format_time(at_ms: int) -> str:
    """Return a wall clock time in milliseconds as UTC text."""
    return datetime.fromtimestamp(at_ms / 1000, UTC).strftime("%Y-%m-%d %H:%M:%S")
