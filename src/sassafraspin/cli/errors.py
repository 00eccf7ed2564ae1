"""Error handling of the commands."""

from collections.abc import Callable
from functools import wraps
from pathlib import Path
from typing import Any, NoReturn, TypeVar

import click

from sassafraspin.errors import SassafraspinError
from sassafraspin.settings import load_document

__all__ = ["exit_with_error", "load_or_exit", "handle_errors"]

T = TypeVar("T")


def exit_with_error(error: SassafraspinError) -> NoReturn:
    """Print an error and exit with its exit code."""
    click.echo(f"Error: {error}", err=True)
    raise SystemExit(int(error.exit_code))


def load_or_exit(schema: type[T], file: Path) -> T:
    """Load and validate a JSON file; on failure print all problems and exit."""
    checked = load_document(schema, file)
    if checked.is_error():
        exit_with_error(checked.error)
    return checked.ok


def handle_errors(function: Callable[..., Any]) -> Callable[..., Any]:
    """Decorate a command to print package errors and exit with their exit code."""

    @wraps(function)
    def wrapper(*args: Any, **kwargs: Any) -> Any:
        try:
            return function(*args, **kwargs)
        except SassafraspinError as error:
            exit_with_error(error)

    return wrapper
