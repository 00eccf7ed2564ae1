"""Decoding and validation of JSON request bodies."""

from typing import TypeVar

from sassafraspin.http.messages import Request
from sassafraspin.http.problems import InvalidField
from sassafraspin.settings import check_document, parse_document

__all__ = ["read_body"]

T = TypeVar("T")

_SOURCE = "body"


def read_body(request: Request, schema: type[T]) -> T:
    """Decode the body into ``schema``; raises ``InvalidField``."""
    checked = parse_document(request.body, _SOURCE).bind(
        lambda value: check_document(schema, value, _SOURCE)
    )
    if checked.is_error():
        problem = checked.error.problems[0]
        raise InvalidField(problem.path, problem.message)
    return checked.ok
