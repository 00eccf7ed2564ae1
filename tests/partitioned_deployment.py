"""Daemons on loopback addresses of their own, each of which can be partitioned."""

import enum
import random
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from pathlib import Path

import trio

from sassafraspin.http import (
    Headers,
    HttpClient,
    HttpServer,
    Request,
    Responder,
    Response,
    dial_tcp,
)
from sassafraspin.loopback import free_ports
from sassafraspin.platform.adapter import PlatformAdapter
from sassafraspin.routed import RoutedDaemon, RoutedListen
from sassafraspin.settings import Address, HttpLimits
from sassafraspin.soak.model import Direction
from sassafraspin.soak.proxy import LinkProxy
from tests.routed_deployment import (
    HOST,
    TIMEOUTS,
    FakeRunner,
    answer,
    put_configuration,
    put_control,
    registration,
    routed_settings,
    runner_headers,
)

EVENTS = tuple(b"id: %d\ndata: %d\n\n" % (item, item) for item in range(1, 4))

_LONGEST_CUT_SECONDS = 60.0


async def answer_by_kind(request: Request, responder: Responder) -> None:
    """Send a stream of events on the routes of streams, else a whole answer."""
    if not request.path.startswith(("/stream/", "/resumed/")):
        await answer(request, responder)
        return
    last = int(request.headers.get("last-event-id") or 0)
    await responder.start(200, runner_headers(request))
    await responder.write(b"".join(EVENTS[last:]))
    await responder.finish()


class Cut(enum.Enum):
    """How an instance is partitioned from the backend servers.

    Open connections are reset and new ones refused; or open ones are silent and new
    ones hang; or open ones live on and new ones are refused.
    """

    RESET = "reset"
    SILENT = "silent"
    LIVING = "living"


class ServerLinks:
    """Links of one instance to all backend servers.

    Parameters
    ----------
    nursery : trio.Nursery
        Nursery of the tasks that forward bytes.
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self._proxies: dict[Address, LinkProxy] = {}
        self._cut: Cut | None = None
        self._block: trio.CancelScope | None = None
        self.opened = 0

    async def add(self, server: Address) -> None:
        """Add the link to a server."""
        proxy = LinkProxy(server)
        await proxy.open()
        self._nursery.start_soon(proxy.serve)
        self._proxies[server] = proxy

    def cut(self, cut: Cut) -> None:
        """Cut all links."""
        self._cut = cut
        for proxy in self._proxies.values():
            if cut is Cut.RESET:
                proxy.reset()
            elif cut is Cut.SILENT:
                self._nursery.start_soon(
                    proxy.block, _LONGEST_CUT_SECONDS, Direction.BOTH
                )

    def heal(self) -> None:
        """Let new connections through again."""
        self._cut = None

    def reset_open(self) -> None:
        """Reset the open connections."""
        for proxy in self._proxies.values():
            proxy.reset()

    async def dial(self, address: Address) -> trio.SocketStream:
        """Open a connection as the instance does; other addresses are not cut."""
        proxy = self._proxies.get(address)
        if proxy is None:
            return await dial_tcp(address)
        if self._cut is Cut.SILENT:
            await trio.sleep_forever()
        if self._cut is not None:
            raise ConnectionRefusedError("the link is cut")
        self.opened += 1
        return await dial_tcp(Address(HOST, proxy.port))


@dataclass
class PartitionedInstance:
    """One daemon with its links to the backend servers."""

    daemon: RoutedDaemon
    listen: RoutedListen
    links: ServerLinks
    client: HttpClient = field(default_factory=lambda: HttpClient(TIMEOUTS))
    calls: int = 0

    async def call(self, path: str) -> Response:
        """Send a caller's request and return the complete response."""
        self.calls += 1
        items = {
            "host": "mill.example",
            "x-request-id": f"{self.listen.callers.host}-{self.calls}",
            "authorization": "Token key",
        }
        request = Request("POST", path, Headers(tuple(items.items())), b"question")
        return await self.client.send(self.listen.callers, request)


@dataclass
class PartitionedDeployment:
    """Daemons and the runners that all of them share."""

    instances: list[PartitionedInstance]
    runners: list[FakeRunner]

    @property
    def runs(self) -> int:
        """Return the number of requests that runners have received."""
        return sum(len(runner.requests) for runner in self.runners)


def loopback_hosts(count: int) -> list[str]:
    """Return loopback addresses that other test runs hardly use."""
    generator = random.SystemRandom()
    network = f"127.{generator.randrange(1, 255)}.{generator.randrange(255)}"
    return [f"{network}.{number}" for number in range(1, count + 1)]


@asynccontextmanager
async def partitioned_deployment(
    count: int = 3, runners: int = 3
) -> AsyncIterator[PartitionedDeployment]:
    """Run daemons and registered runners; yield once all daemons are ready."""
    ports = free_ports(5 + runners)
    listens = [
        RoutedListen(*(Address(host, port) for port in ports[:5]))
        for host in loopback_hosts(count)
    ]
    servers = [Address(HOST, port) for port in ports[5:]]
    deployment = PartitionedDeployment([], [])
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            for number, listen in enumerate(listens, start=1):
                settings = routed_settings(
                    listen, Path(folder) / f"data-{number}", number
                )
                settings = replace(
                    settings,
                    control=replace(settings.control, member_lease_ms=1_000),
                    seeds=tuple(item.peers for item in listens),
                    founds=number == 1,
                    tolerated_losses=(count - 1) // 2,
                    founding_settle_ms=200,
                )
                links = ServerLinks(nursery)
                for server in servers:
                    await links.add(server)
                adapter = PlatformAdapter(60_000)
                daemon = RoutedDaemon(settings, adapter, number, links.dial)
                await nursery.start(daemon.run)
                deployment.instances.append(PartitionedInstance(daemon, listen, links))
            await put_configuration(listens)
            # Servers that register before the view is known reach the others late.
            await _wait_for_view(deployment)
            for number, address in enumerate(servers, start=1):
                runner = FakeRunner(f"i-{number}", address, behaviour=answer_by_kind)
                server = HttpServer(address, HttpLimits(), runner.handle)
                await nursery.start(server.serve)
                deployment.runners.append(runner)
                await _register(listens, runner)
            while not all(item.daemon.is_ready for item in deployment.instances):
                await trio.sleep(0.05)
            await _wait_for_directory(deployment)
            await _wait_until_served(deployment)
            try:
                yield deployment
            finally:
                for instance in deployment.instances:
                    instance.client.close()
                nursery.cancel_scope.cancel()


async def _register(listens: list[RoutedListen], runner: FakeRunner) -> None:
    document = registration(runner, "ready", 1)
    await put_control(listens, f"instances/{runner.name}", document)


async def _wait_for_view(deployment: PartitionedDeployment) -> None:
    """Wait until each instance knows all others."""
    for instance in deployment.instances:
        while len(instance.daemon.members) < len(deployment.instances):
            await trio.sleep(0.05)


async def _wait_for_directory(deployment: PartitionedDeployment) -> None:
    """Wait until each instance knows all servers."""
    for instance in deployment.instances:
        while len(instance.daemon.servers) < len(deployment.runners):
            await trio.sleep(0.05)


async def _wait_until_served(deployment: PartitionedDeployment) -> None:
    """Wait until each instance has answered a call."""
    for instance in deployment.instances:
        while (await instance.call("/safe/ready")).status != 200:
            await trio.sleep(0.05)
    for runner in deployment.runners:
        runner.requests.clear()
