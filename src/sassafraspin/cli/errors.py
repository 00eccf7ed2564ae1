"""Typed errors as click shows them."""

from collections.abc import Callable
from functools import wraps
from typing import Any, NoReturn

import click

from sassafraspin.errors import SassafraspinError

__all__ = ["fail", "reporting_errors"]


def fail(error: SassafraspinError) -> NoReturn:
    """End the command with the error's message and exit code."""
    click.echo(f"Error: {error}", err=True)
    raise SystemExit(int(error.exit_code))


def reporting_errors(function: Callable[..., Any]) -> Callable[..., Any]:
    """Decorate a command so that typed errors end it without a traceback."""

    @wraps(function)
    def wrapper(*args: Any, **kwargs: Any) -> Any:
        try:
            return function(*args, **kwargs)
        except SassafraspinError as error:
            fail(error)

    return wrapper
