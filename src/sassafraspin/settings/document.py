"""Parsing and validation of JSON documents written by operators.

pydantic is imported only where a document is checked, see ``Constraint``.
"""

import json
from pathlib import Path
from typing import Any, TypeVar, get_type_hints

from expression import Error, Ok, Result

from sassafraspin.errors import InvalidInput, Problem

__all__ = [
    "check_document",
    "load_document",
    "parse_document",
    "read_document",
    "valid_sections",
]

T = TypeVar("T")

_COMMENT_KEY = "$comment"


def parse_document(content: bytes, source: str) -> Result[Any, InvalidInput]:
    """Parse JSON text, reject duplicate members and remove ``$comment`` members.

    Parameters
    ----------
    content : bytes
        UTF-8 JSON text.
    source : str
        Name of the document in error messages.

    Returns
    -------
    Result
        Parsed value, or an error; a syntax error states its line and column.
    """
    try:
        value = json.loads(content, object_pairs_hook=_unique_members)
    except json.JSONDecodeError as error:
        where = f"line {error.lineno} column {error.colno}"
        return Error(InvalidInput(source, (Problem("$", f"{error.msg} at {where}"),)))
    except (UnicodeDecodeError, RecursionError, _DuplicateMember) as error:
        return Error(InvalidInput(source, (Problem("$", str(error)),)))
    return Ok(value)


def read_document(path: Path) -> Result[Any, InvalidInput]:
    """Read and parse a JSON file."""
    try:
        content = path.read_bytes()
    except OSError as error:
        message = f"cannot be read: {error.strerror}"
        return Error(InvalidInput(str(path), (Problem("$", message),)))
    return parse_document(content, str(path))


def check_document(
    schema: type[T], value: object, source: str
) -> Result[T, InvalidInput]:
    """Validate a parsed JSON value and convert it to a data class.

    Parameters
    ----------
    schema : type
        Data class whose fields carry pydantic constraints.
    value : object
        Parsed JSON value.
    source : str
        Name of the document in error messages.

    Returns
    -------
    Result
        Instance of ``schema``, or an error with all problems and their JSON paths.
    """
    from pydantic import TypeAdapter, ValidationError

    try:
        return Ok(TypeAdapter(schema).validate_json(json.dumps(value), strict=True))
    except ValidationError as error:
        problems = tuple(
            Problem(_json_path(item["loc"]), item["msg"]) for item in error.errors()
        )
        return Error(InvalidInput(source, problems))


def load_document(schema: type[T], path: Path) -> Result[T, InvalidInput]:
    """Read and validate a JSON file and convert it to a data class."""
    return read_document(path).bind(
        lambda value: check_document(schema, value, str(path))
    )


def valid_sections(schema: type, value: object) -> dict[str, Any]:
    """Return the values of the fields that are valid on their own, by name.

    This allows checks across sections to run even if another section is invalid.
    """
    from pydantic import TypeAdapter, ValidationError

    if not isinstance(value, dict):
        return {}
    sections = {}
    for name, hint in get_type_hints(schema, include_extras=True).items():
        if name not in value:
            continue
        try:
            adapter = TypeAdapter(hint)
            sections[name] = adapter.validate_json(json.dumps(value[name]), strict=True)
        except ValidationError:
            continue
    return sections


class _DuplicateMember(ValueError):
    """A JSON object contains the same member twice."""


def _unique_members(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    members = {}
    for key, value in pairs:
        if key in members:
            raise _DuplicateMember(f"member {key!r} is given twice")
        if key != _COMMENT_KEY:
            members[key] = value
    return members


def _json_path(location: tuple[int | str, ...]) -> str:
    path = "$"
    for part in location:
        path += f"[{part}]" if isinstance(part, int) else f".{part}"
    return path
