"""Stand-in backend server that follows the users' pages."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from support.deployment import Deployment
from support.wire import read_message

__all__ = ["Answer", "Runner", "Run"]

_HEARTBEAT_SECONDS = 1.2
_REASONS = {200: "OK", 500: "Internal Server Error"}


@dataclass(frozen=True)
class Run:
    """A request that a runner began to work on; ``at`` is the monotonic time."""

    at: float
    request_id: str
    runner: str
    version: str
    body_bytes: int


@dataclass(frozen=True)
class Answer:
    """What a runner answers after some seconds of work."""

    status: int = 200
    body: bytes = b"answer"
    seconds: float = 0.02


class Runner:
    """One runner of a service: it registers itself and answers each request.

    Parameters
    ----------
    deployment : Deployment
        Where it registers.
    name, service, version : str
        What it registers.
    respond : callable
        Returns the answer to a run.
    runs : list of Run
        Receives what was run, by this runner and others.
    slots : int
        Requests that it takes at once.
    """

    def __init__(
        self,
        deployment: Deployment,
        name: str,
        service: str,
        version: str,
        respond: Callable[[Run], Awaitable[Answer]],
        runs: list[Run],
        slots: int = 16,
    ) -> None:
        self._deployment = deployment
        self._name = name
        self._service = service
        self._version = version
        self._respond = respond
        self._runs = runs
        self._slots = slots
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._heartbeats: asyncio.Task | None = None

    async def start(self) -> None:
        """Listen, and register for the first time."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        await self._register()
        self._heartbeats = asyncio.create_task(self._keep_registered())

    def stop(self) -> None:
        """End at once, without draining."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _keep_registered(self) -> None:
        while True:
            await asyncio.sleep(_HEARTBEAT_SECONDS)
            await self._register()

    async def _register(self) -> None:
        self._sequence += 1
        port = self._server.sockets[0].getsockname()[1]
        document = {
            "service": self._service,
            "address": f"127.0.0.1:{port}",
            "zone": "zone-0",
            "version": self._version,
            "slots": self._slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
            "born": self._born,
        }
        path = f"/sassafraspin/instances/{self._name}"
        await self._deployment.order("PUT", path, document, _HEARTBEAT_SECONDS)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                _, fields, body = await read_message(reader)
                writer.write(await self._handle(fields, body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, fields: dict[str, str], body: bytes) -> bytes:
        request_id = fields.get("x-request-id", "")
        if fields.get("x-expect-instance", self._name) != self._name:
            return _encode(421, request_id, b"", "X-Not-Executed: 1\r\n")
        now = time.monotonic()
        run = Run(now, request_id, self._name, self._version, len(body))
        self._runs.append(run)
        answer = await self._respond(run)
        await asyncio.sleep(answer.seconds)
        seal = f"X-Response-Seal: {self._name}.{len(self._runs)}\r\n"
        return _encode(answer.status, request_id, answer.body, seal)


def _encode(status: int, request_id: str, body: bytes, more: str) -> bytes:
    head = (
        f"HTTP/1.1 {status} {_REASONS.get(status, 'Other')}\r\n"
        f"X-Request-Id: {request_id}\r\n{more}Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body
