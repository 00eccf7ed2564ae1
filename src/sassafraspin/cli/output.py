"""Output of tables and JSON to standard output."""

from collections.abc import Sequence
from datetime import UTC, datetime
from typing import Any

import click
import msgspec

__all__ = ["echo_json", "echo_table", "format_time", "json_option"]

_COLUMN_SEPARATOR = "  "

json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
"""``--json`` option of commands that print a table by default."""


def echo_json(value: Any) -> None:
    """Print a value as indented JSON."""
    click.echo(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def echo_table(headings: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Print a table with headings and left-aligned columns."""
    cells = [list(headings), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(headings))]
    for row in cells:
        line = _COLUMN_SEPARATOR.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        click.echo(line.rstrip())


def format_time(at_ms: int) -> str:
    """Format a Unix time in milliseconds as UTC date and time."""
    return datetime.fromtimestamp(at_ms / 1000, UTC).strftime("%Y-%m-%d %H:%M:%S")
