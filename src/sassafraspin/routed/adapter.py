"""Interface to the HTTP protocol of callers, backend servers and operators."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from sassafraspin.backends import PromptPart, ServerNotice
from sassafraspin.http import Headers, Request, RequestProblem, Response

if TYPE_CHECKING:
    from sassafraspin.routed.operations import Operations

__all__ = [
    "BackendTarget",
    "CallMetadata",
    "ControlHandler",
    "ProtocolAdapter",
    "ResponseMetadata",
]

ControlHandler = Callable[[Request], Awaitable[Response]]
"""Handles a request from an operator or a backend server."""


@dataclass(frozen=True)
class CallMetadata:
    """Values read from the headers of a caller's request.

    Parameters
    ----------
    request_id : str
        Identifier that the caller gave the request; returned and logged.
    host : str
        Host that the request is addressed to.
    key : str or None
        API key that was sent; it need not belong to a client account.
    timeout_ms : int or None
        How long the caller waits for the complete answer, in milliseconds; ``None`` if
        the request gives no limit.
    prompt_tokens, answer_tokens : int
        Prompt size and expected answer size; 0 for services without a model.
    charged_tokens : int or None
        Tokens charged against a usage cap, ``None`` if the request gives no count.
    resume_after : str or None
        Identifier of the last event received from an interrupted stream.
    prompt : tuple of PromptPart
        Parts of the prompt in order, empty if the request names none.
    """

    request_id: str
    host: str
    key: str | None
    timeout_ms: int | None
    prompt_tokens: int
    answer_tokens: int
    charged_tokens: int | None
    resume_after: str | None
    prompt: tuple[PromptPart, ...] = ()


@dataclass(frozen=True)
class BackendTarget:
    """Values added to a caller's request for the backend server.

    Parameters
    ----------
    instance_id : str
        Intended backend server; any other one must refuse the request.
    account : str or None
        Client account of the caller.
    timeout_ms : int
        Time left for the answer, in milliseconds.
    resume_after : str or None
        Identifier of the event after which the stream resumes.
    """

    instance_id: str
    account: str | None
    timeout_ms: int
    resume_after: str | None


@dataclass(frozen=True)
class ResponseMetadata:
    """Values read from the headers of a backend server's response.

    Parameters
    ----------
    request_id : str or None
        Identifier of the request that it answers.
    not_run : bool
        Whether the server reports that it did not run the request.
    is_sealed : bool
        Whether it carries the seal header; callers reject a success without it.
    notice : ServerNotice
        What the server says about itself.
    lacked_room : bool
        Whether the server did not run the request as it had no room for it.
    """

    request_id: str | None
    not_run: bool
    is_sealed: bool
    notice: ServerNotice = ServerNotice()
    lacked_room: bool = False


class ProtocolAdapter(Protocol):
    """Translates between HTTP messages and the daemon's own types."""

    def read_call(self, request: Request) -> CallMetadata:
        """Read a caller's request headers; raises ``RequestProblem``."""

    def backend_request(self, request: Request, target: BackendTarget) -> Request:
        """Return the request to send to a backend server."""

    def read_response(self, status: int, headers: Headers) -> ResponseMetadata:
        """Read the headers of a backend server's response."""

    def caller_headers(self, headers: Headers) -> Headers:
        """Return the response headers to send to the caller."""

    def refusal(self, problem: RequestProblem) -> Response:
        """Return the error response for a caller."""

    def control_handler(self, operations: "Operations") -> ControlHandler:
        """Return the handler for requests of operators and backend servers."""
