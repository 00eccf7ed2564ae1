"""Test deployment: a routed daemon and fake runners in one process on loopback."""

import json
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
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
from sassafraspin.platform.adapter import PlatformAdapter
from sassafraspin.routed import RoutedDaemon, RoutedListen, RoutedSettings
from sassafraspin.settings import (
    Address,
    ControlSettings,
    DispatchSettings,
    HttpLimits,
    InstanceSettings,
)

HOST = "127.0.0.1"
SEAL = ("x-response-seal", "seal")
TIMEOUTS = ClientTimeouts(connect=5.0, progress=20.0)

Behaviour = Callable[[Request, Responder], Awaitable[None]]


async def answer(request: Request, responder: Responder) -> None:
    """Send the successful answer of a runner without a model."""
    await responder.send(Response(200, runner_headers(request), b"answer"))


def runner_headers(request: Request) -> Headers:
    """Return the headers of a successful runner response."""
    request_id = request.headers.get("x-request-id") or ""
    return Headers((("x-request-id", request_id), SEAL))


@dataclass
class FakeRunner:
    """A runner whose behaviour is set by the test."""

    name: str
    address: Address
    service: str = "desk"
    version: str = "v1"
    slots: int = 4
    behaviour: Behaviour = answer
    requests: list[Request] = field(default_factory=list)
    cancelled_requests: int = 0

    async def handle(self, request: Request, responder: Responder) -> None:
        """Record a request and run the configured behaviour."""
        self.requests.append(request)
        try:
            await self.behaviour(request, responder)
        except trio.Cancelled:
            self.cancelled_requests += 1
            raise


def registration(runner: FakeRunner, state: str, sequence: int) -> dict:
    """Return what a runner says of itself when it registers."""
    return {
        "service": runner.service,
        "address": f"{runner.address.host}:{runner.address.port}",
        "zone": "a",
        "version": runner.version,
        "slots": runner.slots,
        "state": state,
        "sequence": sequence,
        "born": 1,
    }


class RoutedDeployment:
    """One daemon and its runners, with methods for callers, operators and runners."""

    def __init__(self, daemon: RoutedDaemon, listen: RoutedListen) -> None:
        self.daemon = daemon
        self.listen = listen
        self.client = HttpClient(TIMEOUTS)
        self.runners: list[FakeRunner] = []
        self._sequence = 0

    async def control(self, method: str, path: str, document=None) -> Response:
        """Send a control request; retry while the response is a 503."""
        body = b"" if document is None else json.dumps(document).encode()
        headers = Headers((("host", "control"),))
        request = Request(method, f"/sassafraspin/{path}", headers, body)
        while True:
            response = await self.client.send(self.listen.control, request)
            if response.status != 503:
                return response
            await trio.sleep(0.05)

    async def register(self, runner: FakeRunner, state: str = "ready") -> Response:
        """Register a runner with the daemon."""
        self._sequence += 1
        document = registration(runner, state, self._sequence)
        return await self.control("PUT", f"instances/{runner.name}", document)

    def request(self, path: str, request_id: str = "id-1", **headers: str) -> Request:
        """Return a caller's request; keyword ``x_name`` sets header ``x-name``.

        Requests with other prompts have other bodies.
        """
        items = {
            "host": "mill.example",
            "x-request-id": request_id,
            "authorization": "Token key",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        body = headers.get("x_prefix_hash", "question").encode()
        return Request("POST", path, Headers(tuple(items.items())), body)

    async def call(self, path: str, **headers: str) -> Response:
        """Send a caller's request and return the complete response."""
        request = self.request(path, **headers)
        return await self.client.send(self.listen.callers, request)


def configuration(version: int = 1) -> dict:
    """Return a configuration with a route of each kind to the service ``desk``."""
    return {
        "version": version,
        "routes": [
            _route("safe", "safe", max_attempts=2),
            _route("unsafe", "unsafe", max_attempts=1),
            _route("short", "unsafe", max_attempts=1, timeout_ms=400),
            _route("stream", "stream", max_attempts=1),
            _route("resumed", "stream", max_attempts=2, stream_resume=True),
            _route("public", "safe", public=True),
        ],
        "services": [{"name": "desk", "max_connections": 50}],
        "tenants": [{"name": "mill", "api_keys": ["key"]}],
    }


def _route(name: str, kind: str, **fields) -> dict:
    return {
        "name": name,
        "hostname": "mill.example",
        "path_prefix": f"/{name}/",
        "route_type": kind,
        "timeout_ms": 20_000,
        "target_latency_ms": 10_000,
        "service": "desk",
        **fields,
    }


@asynccontextmanager
async def routed_deployment(
    runners: int = 2,
    drain_timeout_ms: int = 5_000,
    http: HttpLimits | None = None,
) -> AsyncIterator[RoutedDeployment]:
    """Run a daemon with registered runners; yield once it is ready."""
    ports = free_ports(4 + runners)
    addresses = [Address(HOST, port) for port in ports]
    listen = RoutedListen(*addresses[:4])
    with tempfile.TemporaryDirectory() as folder:
        settings = replace(
            routed_settings(listen, Path(folder) / "data"),
            drain_timeout_ms=drain_timeout_ms,
            http=http or HttpLimits(),
        )
        daemon = RoutedDaemon(settings, PlatformAdapter(60_000), 1)
        deployment = RoutedDeployment(daemon, listen)
        async with trio.open_nursery() as nursery:
            await nursery.start(daemon.run)
            await deployment.control("PUT", "config", configuration())
            for number, address in enumerate(addresses[4:], start=1):
                runner = FakeRunner(f"i-{number}", address)
                server = HttpServer(address, HttpLimits(), runner.handle)
                await nursery.start(server.serve)
                deployment.runners.append(runner)
                await deployment.register(runner)
            while not daemon.is_ready:
                await trio.sleep(0.05)
            try:
                yield deployment
            finally:
                deployment.client.close()
                nursery.cancel_scope.cancel()


@asynccontextmanager
async def routed_cluster(count: int = 3) -> AsyncIterator[list[RoutedListen]]:
    """Run daemons on one host, each with its own ports; yield once all are ready."""
    ports = free_ports(4 * count)
    listens = [
        RoutedListen(*(Address(HOST, port) for port in ports[4 * i : 4 * i + 4]))
        for i in range(count)
    ]
    seeds = tuple(listen.peers for listen in listens)
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            daemons = []
            for number, listen in enumerate(listens, start=1):
                settings = replace(
                    routed_settings(listen, Path(folder) / f"data-{number}", number),
                    seeds=seeds,
                    founds=number == 1,
                    tolerated_losses=(count - 1) // 2,
                    founding_settle_ms=200,
                )
                daemon = RoutedDaemon(settings, PlatformAdapter(60_000), number)
                await nursery.start(daemon.run)
                daemons.append(daemon)
            await put_configuration(listens)
            while not all(daemon.is_ready for daemon in daemons):
                await trio.sleep(0.05)
            try:
                yield listens
            finally:
                nursery.cancel_scope.cancel()


async def put_configuration(listens: list[RoutedListen]) -> None:
    """Offer the routing table to each daemon in turn until one accepts it."""
    await put_control(listens, "config", configuration())


async def put_control(listens: list[RoutedListen], path: str, document: dict) -> None:
    """Send a control request to each daemon in turn until one accepts it."""
    request = Request(
        "PUT",
        f"/sassafraspin/{path}",
        Headers((("host", "control"),)),
        json.dumps(document).encode(),
    )
    client = HttpClient(TIMEOUTS)
    try:
        while True:
            for listen in listens:
                response = await client.send(listen.control, request)
                if response.status == 200:
                    return
                await trio.sleep(0.05)
    finally:
        client.close()


def routed_settings(
    listen: RoutedListen, data_folder: Path, number: int = 1
) -> RoutedSettings:
    """Return the settings of an instance that bootstraps a quorum of its own."""
    return RoutedSettings(
        instance=InstanceSettings(f"front-{number}", "south", "a"),
        listen=listen,
        seeds=(listen.peers,),
        founds=True,
        may_found=True,
        tolerated_losses=0,
        data_folder=data_folder,
        control=ControlSettings(
            (),
            heartbeat_interval_ms=100,
            member_lease_ms=5_000,
            election_timeout_ms=200,
        ),
        dispatch=DispatchSettings(slot_repeat_ms=1_000, grant_use_within_ms=5_000),
        founding_settle_ms=0,
        readiness_grace_ms=0,
    )
