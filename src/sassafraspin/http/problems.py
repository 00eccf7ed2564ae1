"""Problem documents (RFC 9457) and the exceptions that produce them."""

import math
from dataclasses import dataclass
from enum import StrEnum

import msgspec

from sassafraspin.errors import SassafraspinError
from sassafraspin.http.messages import Headers, Response

__all__ = [
    "BadRequest",
    "BodyTooLarge",
    "BodyTooSlow",
    "Execution",
    "InvalidField",
    "NotFound",
    "OutOfMemory",
    "ProblemDocument",
    "RequestProblem",
    "RequestTimeout",
    "TooManyConnections",
    "Unauthorized",
    "problem_response",
]

_MEDIA_TYPE = "application/problem+json"
_TYPE_PREFIX = "urn:sassafraspin:problem:"
_MS_PER_SECOND = 1000


class Execution(StrEnum):
    """Whether a refused request was executed."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    ANSWERED = "answered"


@dataclass(frozen=True)
class ProblemDocument:
    """JSON body of an error response.

    Parameters
    ----------
    type : str
        URN composed of the execution state and the reason.
    title : str
        Human-readable summary of the reason.
    status : int
        HTTP status code.
    detail : str
        Human-readable explanation, often with advice to the caller.
    execution : Execution
        Whether the request was executed.
    retry_after_ms : int or None
        Milliseconds after which a retry may succeed.
    """

    type: str
    title: str
    status: int
    detail: str
    execution: Execution
    retry_after_ms: int | None = None


class RequestProblem(SassafraspinError):
    """Base class of the errors that callers receive as a problem document."""

    status = 400
    reason = "bad-request"
    title = "Bad request"
    execution = Execution.NOT_RUN
    retry_after_ms: int | None = None

    def document(self) -> ProblemDocument:
        """Return the problem document of this error."""
        return ProblemDocument(
            f"{_TYPE_PREFIX}{self.execution}:{self.reason}",
            self.title,
            self.status,
            str(self),
            self.execution,
            self.retry_after_ms,
        )


class BadRequest(RequestProblem):
    """The peer violated HTTP/1.1 or sent an invalid document."""


class InvalidField(BadRequest):
    """A field of the request has an invalid value.

    Parameters
    ----------
    field : str
        JSON path, header or parameter.
    message : str
        Description of the accepted values.
    """

    status = 422
    reason = "invalid-field"
    title = "Invalid field"

    def __init__(self, field: str, message: str) -> None:
        super().__init__(f"{field}: {message}")


class NotFound(RequestProblem):
    """The requested resource does not exist."""

    status = 404
    reason = "not-found"
    title = "Not found"


class Unauthorized(RequestProblem):
    """The bearer token is missing or invalid."""

    status = 401
    reason = "unauthorized"
    title = "Unauthorized"

    def __init__(self) -> None:
        super().__init__("send a valid token as 'Authorization: Bearer TOKEN'")


class BodyTooLarge(RequestProblem):
    """The body exceeds the size limit in the settings."""

    status = 413
    reason = "body-too-large"
    title = "Body too large"

    def __init__(self, limit_bytes: int) -> None:
        super().__init__(f"the body may have at most {limit_bytes} bytes")


class RequestTimeout(RequestProblem):
    """The peer did not send its request in time."""

    status = 408
    reason = "request-timeout"
    title = "Request timeout"

    def __init__(self, part: str) -> None:
        super().__init__(f"the {part} of the request did not arrive in time")


class OutOfMemory(RequestProblem):
    """The request does not fit into the memory that the process may use."""

    status = 503
    reason = "out-of-memory"
    title = "Not run"
    retry_after_ms = 1000

    def __init__(self) -> None:
        super().__init__("the memory for requests is in use; come back later")


class BodyTooSlow(RequestProblem):
    """The body arrived too slowly while others waited for its memory."""

    status = 408
    reason = "body-too-slow"
    title = "Request timeout"
    retry_after_ms = 1000

    def __init__(self) -> None:
        super().__init__("the body arrived too slowly while other requests waited")


class TooManyConnections(RequestProblem):
    """The server has reached the connection limit in its settings."""

    status = 503
    reason = "too-many-connections"
    title = "Too many connections"
    retry_after_ms = 1000

    def __init__(self) -> None:
        super().__init__("use another connection or come back later")


def problem_response(problem: RequestProblem) -> Response:
    """Return the HTTP response for a typed error.

    Parameters
    ----------
    problem : RequestProblem
        Error to report.

    Returns
    -------
    Response
        Problem document, with ``Retry-After`` in whole seconds where it is known.
        Unless the request is known not to have run, ``X-Should-Retry: false`` asks
        clients not to retry it.
    """
    document = problem.document()
    headers = Headers((("content-type", _MEDIA_TYPE),))
    if document.retry_after_ms is not None:
        seconds = math.ceil(document.retry_after_ms / _MS_PER_SECOND)
        headers = headers.adding("retry-after", str(seconds))
    if problem.execution is not Execution.NOT_RUN:
        headers = headers.adding("x-should-retry", "false")
    return Response(document.status, headers, msgspec.json.encode(document))
