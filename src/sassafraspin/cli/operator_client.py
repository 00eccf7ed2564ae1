"""Client of the operator API for the command line."""

from collections.abc import Callable
from functools import wraps
from typing import Any, TypeVar
from urllib.parse import urlsplit

import click
import msgspec
import trio

from sassafraspin.errors import CommandError, ExitCode, RemoteFailure
from sassafraspin.http import (
    ClientTimeouts,
    Headers,
    HttpClient,
    ProblemDocument,
    Request,
    Response,
)
from sassafraspin.settings import Address

__all__ = ["OperatorClient", "operator_options"]

T = TypeVar("T")

_RESPONSE_TIMEOUT_SECONDS = 10.0

_EXIT_CODES = {
    400: ExitCode.INVALID_INPUT,
    401: ExitCode.INVALID_INPUT,
    404: ExitCode.NOT_FOUND,
    409: ExitCode.CONFLICT,
    422: ExitCode.INVALID_INPUT,
    503: ExitCode.UNAVAILABLE,
}


class OperatorClient:
    """Sends requests to the operator API of an instance.

    Parameters
    ----------
    server : str
        Operator address of the instance, as ``http://IP:PORT``.
    token : str
        Operator token.
    """

    def __init__(self, server: str, token: str) -> None:
        self._address = _parse_server(server)
        self._token = token

    def get(self, target: str, response_type: type[T]) -> T:
        """Send a GET request and return the decoded response."""
        return self._send("GET", target, b"", response_type)

    def put(self, target: str, body: bytes, response_type: type[T]) -> T:
        """Send a PUT request and return the decoded response."""
        return self._send("PUT", target, body, response_type)

    def post(self, target: str, body: bytes, response_type: type[T]) -> T:
        """Send a POST request and return the decoded response."""
        return self._send("POST", target, body, response_type)

    def _send(self, method: str, target: str, body: bytes, response_type: type[T]) -> T:
        headers = Headers(
            (
                ("host", f"{self._address.host}:{self._address.port}"),
                ("authorization", f"Bearer {self._token}"),
                ("content-type", "application/json"),
            )
        )
        response = trio.run(self._exchange, Request(method, target, headers, body))
        if response.status >= 300:
            raise _command_error(response)
        return msgspec.json.decode(response.body, type=response_type)

    async def _exchange(self, request: Request) -> Response:
        client = HttpClient(
            ClientTimeouts(
                connect=2.0,
                progress=_RESPONSE_TIMEOUT_SECONDS,
                exchange=_RESPONSE_TIMEOUT_SECONDS,
            )
        )
        try:
            return await client.send(self._address, request)
        except RemoteFailure as error:
            message = f"{error}; check --server and that the instance is running"
            raise CommandError(message, ExitCode.UNAVAILABLE) from error
        finally:
            client.close()


def operator_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add ``--server`` and ``--token``, and pass a client for them as ``client``."""

    @click.option(
        "--server",
        envvar="SASSAFRASPIN_SERVER",
        default="http://127.0.0.1:7101",
        show_default=True,
        help="Operator address of any instance.",
    )
    @click.option(
        "--token",
        envvar="SASSAFRASPIN_TOKEN",
        required=True,
        help="Operator token; set SASSAFRASPIN_TOKEN instead to keep it out of process "
        "lists.",
    )
    @wraps(command)
    def wrapper(*args: Any, server: str, token: str, **kwargs: Any) -> Any:
        return command(*args, client=OperatorClient(server, token), **kwargs)

    return wrapper


def _parse_server(server: str) -> Address:
    parts = urlsplit(server)
    try:
        port = parts.port
    except ValueError:
        port = None
    if parts.scheme != "http" or parts.hostname is None or port is None:
        message = f"--server {server!r} must have the form http://IP:PORT"
        raise CommandError(message, ExitCode.INVALID_INPUT)
    return Address(parts.hostname, port)


def _command_error(response: Response) -> CommandError:
    exit_code = _EXIT_CODES.get(response.status, ExitCode.FAILURE)
    try:
        problem = msgspec.json.decode(response.body, type=ProblemDocument)
    except msgspec.DecodeError:
        return CommandError(
            f"the server returned HTTP status {response.status} without a problem "
            "document; check that --server is an operator address",
            exit_code,
        )
    return CommandError(f"{problem.title}: {problem.detail}", exit_code)
