"""Interface between the HTTP server and request handlers."""

from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Protocol

from sassafraspin.http.messages import Headers, Request, Response
from sassafraspin.http.problems import RequestProblem, problem_response

__all__ = ["Handler", "Responder", "as_handler"]

Handler = Callable[[Request, "Responder"], Awaitable[None]]
"""Coroutine function that answers a request through the responder."""


class ResponseSender(Protocol):
    """Connection operations that a responder needs."""

    @property
    def has_started(self) -> bool:
        """Return whether any part of the response was sent."""

    async def send(self, response: Response) -> None:
        """Send a complete response."""

    async def start(
        self, status: int, headers: Headers, *, is_framed: bool = True
    ) -> None:
        """Send the head of a response whose body follows."""

    async def write(self, chunk: bytes) -> None:
        """Send a chunk of the body."""

    async def finish(self) -> None:
        """End the body."""


class Responder:
    """Sends the response to one request, complete or in chunks.

    Parameters
    ----------
    connection : ResponseSender
        Connection on which the request was received.
    """

    def __init__(self, connection: ResponseSender) -> None:
        self._connection = connection

    @property
    def has_started(self) -> bool:
        """Return whether any part of the response was sent."""
        return self._connection.has_started

    async def send(self, response: Response) -> None:
        """Send a complete response."""
        await self._connection.send(response)

    async def start(
        self, status: int, headers: Headers, *, is_framed: bool = True
    ) -> None:
        """Send the head of a response whose body follows.

        The body is sent in chunks if ``is_framed``; otherwise it ends with the
        connection, so that the caller cannot take its end for a declared one.
        """
        await self._connection.start(status, headers, is_framed=is_framed)

    async def write(self, chunk: bytes) -> None:
        """Send a chunk of the body."""
        await self._connection.write(chunk)

    async def finish(self) -> None:
        """End the body."""
        await self._connection.finish()


def as_handler(function: Callable[[Request], Awaitable[Response]]) -> Handler:
    """Return a handler that sends the response returned by ``function``.

    A ``RequestProblem`` that it raises is sent as a problem document.
    """

    async def handle(request: Request, responder: Responder) -> None:
        if not isinstance(request.body, bytes):
            request = replace(request, body=bytes(request.body))
        try:
            response = await function(request)
        except RequestProblem as problem:
            response = problem_response(problem)
        await responder.send(response)

    return handle
