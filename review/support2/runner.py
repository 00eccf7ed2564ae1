"""Stand-in for a runner: registers itself and answers requests as the pages say."""

import asyncio
import contextlib
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from review.support2.deployment import Deployment
from review.support2.http_messages import Message, read_message, request_bytes

__all__ = ["Run", "Runner"]

_HEARTBEAT_SECONDS = 1.2


@dataclass
class Run:
    """A request that a runner began to work on."""

    request_id: str
    path: str
    at: float
    message: Message = field(repr=False)


Work = Callable[["Runner", Run, asyncio.StreamWriter], Awaitable[None]]


async def answer_ok(runner: "Runner", run: Run, writer: asyncio.StreamWriter) -> None:
    """Answer a request with success after the usual work."""
    await asyncio.sleep(runner.work_seconds)
    runner.write_answer(writer, run, 200, f"done {run.request_id}".encode())
    await writer.drain()


class Runner:
    """A runner of a plain service.

    Parameters
    ----------
    deployment : Deployment
        Daemons at which it registers.
    name : str
        Its identifier.
    host : str
        Loopback address that it listens on.
    service, version : str
        Service and version of its software.
    slots : int
        Requests that it works on at once; as many more wait.
    work : callable
        What it does with a request.
    """

    def __init__(
        self,
        deployment: Deployment,
        name: str,
        host: str = "127.0.0.1",
        service: str = "desk",
        version: str = "v1",
        slots: int = 6,
        work: Work = answer_ok,
    ) -> None:
        self.name = name
        self.version = version
        self.work = work
        self.work_seconds = 0.02
        self.runs: list[Run] = []
        self.state = "ready"
        self._deployment = deployment
        self._host = host
        self._service = service
        self._slots = slots
        self._busy = 0
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._task: asyncio.Task | None = None
        self._port = 0

    @property
    def record(self):
        """Return the record of the case."""
        return self._deployment.record

    async def start(self) -> None:
        """Listen, and register from now on."""
        self._server = await asyncio.start_server(self._serve, self._host, 0)
        self._port = self._server.sockets[0].getsockname()[1]
        self._task = asyncio.create_task(self._register_often())

    def stop(self) -> None:
        """Stop registering and listening."""
        if self._task is not None:
            self._task.cancel()
        if self._server is not None:
            self._server.close()

    async def register(self, number: int) -> int:
        """Send one registration; return the status of its answer."""
        self._sequence += 1
        document = {
            "service": self._service,
            "address": f"{self._host}:{self._port}",
            "zone": "marmara-a",
            "version": self.version,
            "slots": self._slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
            "born": self._born,
        }
        path = f"/sassafraspin/instances/{self.name}"
        _, answer = await self._deployment.call(number, "PUT", path, document)
        return answer.status

    async def _register_often(self) -> None:
        while True:
            for number in range(self._deployment.count):
                status = await self.register(number)
                if 200 <= status < 300:
                    break
            await asyncio.sleep(_HEARTBEAT_SECONDS)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            while True:
                message = await read_message(reader)
                await self._answer(message, writer)
        writer.close()

    async def _answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        method, path, _ = message.first_line.split(" ")
        request_id = message.headers.get("x-request-id", "")
        expected = message.headers.get("x-expect-instance")
        if expected is not None and expected != self.name:
            self._refuse(writer, request_id, 421)
            return
        if self._busy >= self._slots:
            self._refuse(writer, request_id, 503)
            return
        run = Run(request_id, path, time.monotonic(), message)
        self.runs.append(run)
        self.record.write(f"runner {self.name} runs {request_id} {method} {path}")
        self._busy += 1
        try:
            await self.work(self, run, writer)
        finally:
            self._busy -= 1

    def _refuse(
        self, writer: asyncio.StreamWriter, request_id: str, status: int
    ) -> None:
        head = (
            f"HTTP/1.1 {status} Refused\r\nX-Request-Id: {request_id}\r\n"
            "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        )
        writer.write(head.encode())
        self.record.write(f"runner {self.name} refuses {request_id}: {status}")

    def write_answer(
        self, writer: asyncio.StreamWriter, run: Run, status: int, body: bytes
    ) -> None:
        """Write a whole answer with the seal of this runner."""
        writer.write(
            f"HTTP/1.1 {status} Answer\r\nX-Request-Id: {run.request_id}\r\n"
            f"X-Response-Seal: {self.name}.{run.request_id}.{status}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        self.record.write(f"runner {self.name} answers {run.request_id}: {status}")


def client_request(
    path: str, request_id: str, deadline_ms: int, body: bytes = b"booking"
) -> bytes:
    """Return a client's request with the key of the only tenant."""
    headers = {
        "Host": "mill.example",
        "X-Request-Id": request_id,
        "X-Deadline-Ms": str(deadline_ms),
        "Authorization": "Token key-1",
    }
    return request_bytes("POST", path, headers, body)


def configuration(version: int, routes: list[dict], **fields) -> dict:
    """Return a configuration with the given routes to the service ``desk``."""
    return {
        "version": version,
        "routes": [
            {
                "hostname": "mill.example",
                "target_latency_ms": 125,
                "priority": 0,
                "service": "desk",
                "max_attempts": 1,
                "public": False,
                **route,
            }
            for route in routes
        ],
        "services": [
            {
                "name": "desk",
                "health_path": "/health",
                "max_connections": 120,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "mill", "api_keys": ["key-1"]}],
        **fields,
    }


def encoded(document: dict) -> bytes:
    """Return a document as JSON."""
    return json.dumps(document).encode()
