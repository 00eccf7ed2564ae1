"""Answering of requests: the responder and handlers made of plain functions."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from sassafraspin.http.messages import Headers, Request, Response
from sassafraspin.http.problems import RequestProblem, problem_response

__all__ = ["Handler", "Responder", "answering"]

Handler = Callable[[Request, "Responder"], Awaitable[None]]
"""Answers a request through the responder."""


class ResponseSender(Protocol):
    """What a responder needs of the connection that its request came on."""

    @property
    def has_started(self) -> bool:
        """Return whether a part of the response was sent."""

    async def send(self, response: Response) -> None:
        """Send a whole response."""

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of a response."""

    async def write(self, chunk: bytes) -> None:
        """Send a piece of the body."""

    async def finish(self) -> None:
        """End the body."""


class Responder:
    """Sends the response to one request, whole or in pieces.

    Parameters
    ----------
    connection : ResponseSender
        Connection that the request came on.
    """

    def __init__(self, connection: ResponseSender) -> None:
        self._connection = connection

    @property
    def has_started(self) -> bool:
        """Return whether a part of the response was sent."""
        return self._connection.has_started

    async def send(self, response: Response) -> None:
        """Send a whole response."""
        await self._connection.send(response)

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of a response whose body follows in pieces."""
        await self._connection.start(status, headers)

    async def write(self, chunk: bytes) -> None:
        """Send a piece of the body."""
        await self._connection.write(chunk)

    async def finish(self) -> None:
        """End the body."""
        await self._connection.finish()


def answering(function: Callable[[Request], Awaitable[Response]]) -> Handler:
    """Return a handler that sends what ``function`` returns or raises.

    Typed problems become problem documents.
    """

    async def handle(request: Request, responder: Responder) -> None:
        try:
            response = await function(request)
        except RequestProblem as problem:
            response = problem_response(problem)
        await responder.send(response)

    return handle
