"""What a daemon for declared routes needs to know of the messages around it."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from sassafraspin.http import Headers, Request, RequestProblem, Response

if TYPE_CHECKING:
    from sassafraspin.routed.operations import Operations

__all__ = ["AnswerFacts", "BackendTarget", "CallFacts", "ControlHandler", "Dialect"]

ControlHandler = Callable[[Request], Awaitable[Response]]
"""Answers a request of an operator or a backend server."""


@dataclass(frozen=True)
class CallFacts:
    """What the headers of a caller's request say.

    Parameters
    ----------
    request_id : str
        The caller's name for this request, for logs and answers.
    host : str
        Host that the request is for.
    key : str or None
        Key of a client account.
    wait_ms : int or None
        Time that the caller waits for the whole answer.
    prompt_tokens, answer_tokens : int
        Size of the prompt and expected size of the answer; 0 for plain services.
    charged_tokens : int or None
        Tokens that count against a usage cap, ``None`` if the request names none.
    resume_after : str or None
        Last event that the caller has of a stream that broke.
    """

    request_id: str
    host: str
    key: str | None
    wait_ms: int | None
    prompt_tokens: int
    answer_tokens: int
    charged_tokens: int | None
    resume_after: str | None


@dataclass(frozen=True)
class BackendTarget:
    """What a backend server is told along with a caller's request.

    Parameters
    ----------
    instance_id : str
        The backend server that is meant; any other one must refuse.
    account : str or None
        Client account of the caller.
    wait_ms : int
        Time left for the answer.
    resume_after : str or None
        Event after which a stream goes on.
    """

    instance_id: str
    account: str | None
    wait_ms: int
    resume_after: str | None


@dataclass(frozen=True)
class AnswerFacts:
    """What the head of a backend server's answer says.

    Parameters
    ----------
    request_id : str or None
        Request that it belongs to.
    not_run : bool
        Whether the server says that it has not run the request.
    is_sealed : bool
        Whether it bears the mark without which callers take no success.
    """

    request_id: str | None
    not_run: bool
    is_sealed: bool


class Dialect(Protocol):
    """Translates between HTTP messages and what the daemon decides on."""

    def read_call(self, request: Request) -> CallFacts:
        """Return what a request's headers say; raises typed problems."""

    def backend_request(self, request: Request, target: BackendTarget) -> Request:
        """Return a caller's request as a backend server gets it."""

    def read_answer(self, status: int, headers: Headers) -> AnswerFacts:
        """Return what the head of an answer says."""

    def caller_headers(self, headers: Headers) -> Headers:
        """Return the headers of an answer as a caller gets them."""

    def refusal(self, problem: RequestProblem) -> Response:
        """Return the response that tells a caller of a problem."""

    def control_handler(self, operations: "Operations") -> ControlHandler:
        """Return the handler of operators and backend servers."""
