"""Typed failures shared by every part, each with an exit code."""

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
    """Base of every error that the project raises."""

    exit_code = ExitCode.FAILURE


@dataclass(frozen=True)
class Problem:
    """One fault in an input document.

    Parameters
    ----------
    path : str
        JSON path of the field, for example ``$.listen.callers.port``.
    message : str
        What is wrong and what would be accepted.
    """

    path: str
    message: str


class InvalidInput(SassafraspinError):
    """An input document has one or more faults.

    Parameters
    ----------
    source : str
        File name or another name of the document.
    problems : tuple of Problem
        Every fault found.
    """

    exit_code = ExitCode.INVALID_INPUT

    def __init__(self, source: str, problems: tuple[Problem, ...]) -> None:
        lines = [f"{problem.path}: {problem.message}" for problem in problems]
        super().__init__("\n".join([f"{source} is not valid:", *lines]))
        self.source = source
        self.problems = problems


class CommandError(SassafraspinError):
    """A command could not do its work; the message says what to do."""

    def __init__(self, message: str, exit_code: ExitCode = ExitCode.FAILURE) -> None:
        super().__init__(message)
        self.exit_code = exit_code


class RemoteFailure(SassafraspinError):
    """A remote peer could not be reached or broke the protocol."""

    exit_code = ExitCode.UNAVAILABLE
