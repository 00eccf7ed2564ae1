"""One instance as a process of its own, a stand-in server, and untrusted clients."""

import json
import os
import subprocess
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import trio

from sassafraspin.http import (
    ClientTimeouts,
    Headers,
    HttpClient,
    HttpServer,
    Request,
    Responder,
    Response,
)
from sassafraspin.loopback import free_ports
from sassafraspin.settings import Address, HttpLimits

__all__ = ["MemoryDeployment", "memory_deployment"]

HOST = "127.0.0.1"
NAME = "mill.example"
MAX_BODY_BYTES = 4_194_304
LARGE_ANSWER_BYTES = 8_000_000

_RUN_SECONDS = 0.5
_RETRY_SECONDS = 0.2
_MAIN = "from sassafraspin.platform.main import main; main()"
_SETTINGS = """\
node_name = "front-1"
ip = "127.0.0.1"
zone = "a"
region = "south"
internal_ports = [{internal}, {internal}]
seeds = ["127.0.0.1:{control}"]
bootstrap = true
data_dir = "{data}"

[listen]
front = "127.0.0.1:{front}"
readiness = "127.0.0.1:{readiness}"
control = "127.0.0.1:{control}"

[limits]
memory_mb = {memory_mb}
max_fds = {max_fds}

[fault_tolerance]
machines = 0
"""


def _configuration() -> dict:
    routes = [
        {
            "name": name,
            "hostname": NAME,
            "path_prefix": f"/{name}/",
            "route_type": kind,
            "timeout_ms": 20_000,
            "target_latency_ms": 10_000,
            "service": "desk",
            "public": True,
        }
        for name, kind in (("read", "unsafe"), ("stream", "stream"))
    ]
    limits = {
        "max_header_bytes": 16_384,
        "max_body_bytes": MAX_BODY_BYTES,
        "header_timeout_ms": 3_000,
        "idle_timeout_ms": 15_000,
    }
    services = [{"name": "desk", "max_connections": 200}]
    return {"version": 1, "routes": routes, "services": services, "limits": limits}


async def _run_request(request: Request, responder: Responder) -> None:
    """Answer as a server does; a path that ends in ``large`` gets a large answer."""
    request_id = request.headers.get("x-request-id") or ""
    headers = Headers((("x-request-id", request_id), ("x-response-seal", "seal")))
    if request.path.endswith("large"):
        await responder.send(Response(200, headers, bytes(LARGE_ANSWER_BYTES)))
        return
    await trio.sleep(_RUN_SECONDS)
    await responder.send(Response(200, headers, b"answer"))


@dataclass(frozen=True)
class MemoryDeployment:
    """A running instance, and the connections of its untrusted clients."""

    process: subprocess.Popen
    ports: dict[str, int]
    client: HttpClient
    nursery: trio.Nursery

    @property
    def peak_bytes(self) -> int:
        """Return the most memory that the process has held."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        [line] = [line for line in status.splitlines() if line.startswith("VmHWM:")]
        return int(line.split()[1]) * 1024

    @property
    def descriptors(self) -> int:
        """Return the number of open descriptors of the process."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    async def attack(
        self, clients: int, send: Callable[[trio.SocketStream], Awaitable[None]]
    ) -> None:
        """Let clients send at once; their connections stay open until the end."""
        for _ in range(clients):
            self.nursery.start_soon(self._run_client, send)

    async def call(self, body: bytes = b"question") -> Response:
        """Send ordinary requests until one is answered with a success."""
        while True:
            headers = Headers((("host", NAME), ("x-request-id", "1")))
            try:
                response = await self.client.send(
                    Address(HOST, self.ports["front"]),
                    Request("POST", "/read/1", headers, body),
                )
            except Exception as error:
                if self.process.poll() is not None:
                    raise AssertionError("the process has ended") from error
            else:
                if response.status == 200:
                    return response
            await trio.sleep(_RETRY_SECONDS)

    async def control(self, path: str, document: dict) -> None:
        """Send a control request until it is accepted."""
        request = Request(
            "PUT",
            f"/sassafraspin/{path}",
            Headers((("host", "control"),)),
            json.dumps(document).encode(),
        )
        address = Address(HOST, self.ports["control"])
        while True:
            try:
                response = await self.client.send(address, request)
            except Exception as error:
                if self.process.poll() is not None:
                    raise AssertionError("the process has ended") from error
            else:
                if response.status == 200:
                    return
            await trio.sleep(_RETRY_SECONDS)

    async def _run_client(
        self, send: Callable[[trio.SocketStream], Awaitable[None]]
    ) -> None:
        try:
            stream = await trio.open_tcp_stream(HOST, self.ports["front"])
        except OSError:
            return
        try:
            await send(stream)
            await trio.sleep_forever()
        except trio.BrokenResourceError:
            return
        finally:
            stream.socket.close()


@asynccontextmanager
async def memory_deployment(
    folder: Path, memory_mb: int, max_fds: int = 4_100
) -> AsyncIterator[MemoryDeployment]:
    """Run an instance and a server; yield once an ordinary request was answered."""
    names = ("front", "readiness", "control", "internal", "server")
    ports = dict(zip(names, free_ports(len(names)), strict=True))
    settings = folder / "settings.toml"
    settings.write_text(
        _SETTINGS.format(
            data=folder / "data", memory_mb=memory_mb, max_fds=max_fds, **ports
        )
    )
    with (folder / "log").open("wb") as log:
        process = subprocess.Popen(
            [sys.executable, "-c", _MAIN],
            env={**os.environ, "SASSAFRASPIN_SETTINGS": str(settings)},
            stdout=log,
            stderr=log,
        )
    address = Address(HOST, ports["server"])
    limits = HttpLimits(body_bytes=2 * MAX_BODY_BYTES)
    client = HttpClient(ClientTimeouts(connect=5.0, progress=30.0))
    try:
        async with trio.open_nursery() as nursery:
            deployment = MemoryDeployment(process, ports, client, nursery)
            await nursery.start(HttpServer(address, limits, _run_request).serve)
            await deployment.control("config", _configuration())
            nursery.start_soon(_keep_registered, deployment)
            await deployment.call()
            yield deployment
            nursery.cancel_scope.cancel()
    finally:
        client.close()
        process.kill()
        process.wait()


async def _keep_registered(deployment: MemoryDeployment) -> None:
    sequence = 0
    while True:
        sequence += 1
        document = {
            "service": "desk",
            "address": f"{HOST}:{deployment.ports['server']}",
            "zone": "a",
            "version": "v1",
            "slots": 100,
            "state": "ready",
            "sequence": sequence,
            "born": 1,
        }
        await deployment.control("instances/i-1", document)
        await trio.sleep(1.0)
