"""Typed errors as click shows them."""

from collections.abc import Callable
from functools import wraps
from pathlib import Path
from typing import Any, NoReturn, TypeVar

import click

from sassafraspin.errors import SassafraspinError
from sassafraspin.settings import load_document

__all__ = ["fail", "load_or_fail", "reporting_errors"]

T = TypeVar("T")


def fail(error: SassafraspinError) -> NoReturn:
    """End the command with the error's message and exit code."""
    click.echo(f"Error: {error}", err=True)
    raise SystemExit(int(error.exit_code))


def load_or_fail(schema: type[T], file: Path) -> T:
    """Return the document in a file, or end the command with all its faults."""
    checked = load_document(schema, file)
    if checked.is_error():
        fail(checked.error)
    return checked.ok


def reporting_errors(function: Callable[..., Any]) -> Callable[..., Any]:
    """Decorate a command so that typed errors end it without a traceback."""

    @wraps(function)
    def wrapper(*args: Any, **kwargs: Any) -> Any:
        try:
            return function(*args, **kwargs)
        except SassafraspinError as error:
            fail(error)

    return wrapper
