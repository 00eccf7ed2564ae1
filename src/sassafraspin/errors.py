"""Exceptions of the package; each maps to an exit code of the command line."""

from dataclasses import dataclass
from enum import IntEnum

__all__ = [
    "CommandError",
    "ExitCode",
    "InvalidInput",
    "Problem",
    "RemoteFailure",
    "SassafraspinError",
]


class ExitCode(IntEnum):
    """Exit codes of the command line."""

    OK = 0
    FAILURE = 1
    INVALID_INPUT = 2
    CONFLICT = 3
    NOT_FOUND = 4
    UNAVAILABLE = 5


class SassafraspinError(Exception):
    """Base class of all errors raised by this package."""

    exit_code = ExitCode.FAILURE


@dataclass(frozen=True)
class Problem:
    """One validation problem in an input document.

    Parameters
    ----------
    path : str
        JSON path of the field, for example ``$.listen.callers.port``.
    message : str
        Description of the problem and of the accepted values.
    """

    path: str
    message: str


class InvalidInput(SassafraspinError):
    """An input document failed validation.

    Parameters
    ----------
    source : str
        File name or other name of the document.
    problems : tuple of Problem
        All problems found.
    """

    exit_code = ExitCode.INVALID_INPUT

    def __init__(self, source: str, problems: tuple[Problem, ...]) -> None:
        lines = [f"{problem.path}: {problem.message}" for problem in problems]
        super().__init__("\n".join([f"{source} is not valid:", *lines]))
        self.source = source
        self.problems = problems


class CommandError(SassafraspinError):
    """A command failed; the message tells the user how to proceed."""

    def __init__(self, message: str, exit_code: ExitCode = ExitCode.FAILURE) -> None:
        super().__init__(message)
        self.exit_code = exit_code


class RemoteFailure(SassafraspinError):
    """A remote peer is unreachable or violated the protocol."""

    exit_code = ExitCode.UNAVAILABLE
