"""Crashes of engines whose address accepts connections all the time."""

import unittest
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import trio

from sassafraspin.errors import RemoteFailure
from sassafraspin.http import Response
from sassafraspin.settings import Address
from tests.routed_deployment import FakeRunner, RoutedDeployment, routed_deployment
from tests.scripted_server import read_request, reset
from tests.test_harmful_parts import ANSWER, HARMFUL

GUARD_SECONDS = 60.0
SERVERS = 4
FIRST_EVENT_SECONDS = 0.05
PAUSE_SECONDS = 0.3
"""Servers that end at the same moment may have a cause in common."""


@dataclass
class ProxiedServer:
    """Engine behind a proxy: a crash resets its streams, and it is back at once."""

    harmful_requests: int = 0
    address: Address | None = None
    _streams: set[trio.SocketStream] = field(default_factory=set)

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
        host, port = listener.socket.getsockname()
        self.address = Address(host, port)
        task_status.started()
        await trio.serve_listeners(self._serve, [listener])

    async def _serve(self, stream: trio.SocketStream) -> None:
        self._streams.add(stream)
        try:
            while (request := await read_request(stream)) is not None:
                await trio.sleep(FIRST_EVENT_SECONDS)
                if HARMFUL.encode() in request:
                    self.harmful_requests += 1
                    self._crash()
                    return
                await stream.send_all(ANSWER)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        finally:
            self._streams.discard(stream)

    def _crash(self) -> None:
        for stream in self._streams:
            reset(stream)
        self._streams.clear()


class TestIsolationBehindProxies(unittest.TestCase):
    """A part under which servers crash is found though their addresses accept."""

    allowed_requests = 8
    """Five until the fifth crash, and three more."""

    def run_scenario(
        self,
        scenario: Callable[[RoutedDeployment], Awaitable[None]],
    ) -> None:
        async def run() -> None:
            with trio.fail_after(GUARD_SECONDS):
                async with (
                    routed_deployment(runners=0) as deployment,
                    trio.open_nursery() as nursery,
                ):
                    for number, server in enumerate(self.servers):
                        await nursery.start(server.run)
                        runner = FakeRunner(f"i-{number}", server.address)
                        await deployment.register(runner)
                    await self.call_all(deployment, [self.sound_parts(0)] * 20)
                    await scenario(deployment)
                    nursery.cancel_scope.cancel()

        self.servers = [ProxiedServer() for _ in range(SERVERS)]
        trio.run(run)

    @property
    def harmful_requests(self) -> int:
        """Return the number of requests with the harmful part that were run."""
        return sum(server.harmful_requests for server in self.servers)

    def harmful_parts(self, number: int) -> str:
        return f"shared{number % 2}:60,{HARMFUL}:400,own{number}:70"

    def sound_parts(self, number: int) -> str:
        return f"shared{number % 2}:60,sound{number}:70"

    async def call(self, deployment: RoutedDeployment, parts: str) -> Response | None:
        """Return the answer to a request, ``None`` if it was broken off."""
        try:
            return await deployment.call("/stream/1", x_prefix_hash=parts)
        except RemoteFailure:
            return None

    async def call_all(self, deployment: RoutedDeployment, prompts: list[str]) -> None:
        """Send requests at the same time."""
        async with trio.open_nursery() as nursery:
            for parts in prompts:
                nursery.start_soon(self.call, deployment, parts)

    async def crash_servers(self, deployment: RoutedDeployment, sound: int) -> None:
        """Send harmful requests one after the other, each with sound ones."""
        for number in range(20):
            prompts = [self.sound_parts(number)] * sound
            await self.call_all(deployment, [self.harmful_parts(number), *prompts])
            await trio.sleep(PAUSE_SECONDS)

    def test_crashes_that_break_off_several_requests(self):
        async def scenario(deployment):
            await self.crash_servers(deployment, sound=8)
            self.assertLessEqual(self.harmful_requests, self.allowed_requests)

        self.run_scenario(scenario)

    def test_crashes_that_break_off_a_single_request(self):
        async def scenario(deployment):
            await self.crash_servers(deployment, sound=0)
            self.assertLessEqual(self.harmful_requests, self.allowed_requests)

        self.run_scenario(scenario)

    def test_crashes_between_sound_requests(self):
        async def scenario(deployment):
            for number in range(20):
                await self.call(deployment, self.harmful_parts(number))
                prompts = [self.sound_parts(number)] * SERVERS
                await self.call_all(deployment, prompts)
                await trio.sleep(PAUSE_SECONDS)
            self.assertLessEqual(self.harmful_requests, self.allowed_requests)

        self.run_scenario(scenario)

    def test_sound_requests_are_served_after_the_crashes(self):
        async def scenario(deployment):
            await self.crash_servers(deployment, sound=3)
            for number in range(20):
                parts = self.sound_parts(number)
                response = await self.call(deployment, parts)
                self.assertEqual(getattr(response, "status", None), 200)
            parts = self.harmful_parts(0)
            refused = await self.call(deployment, parts)
            self.assertEqual(refused.status, 503)

        self.run_scenario(scenario)
