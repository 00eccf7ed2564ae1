"""Limits of a new configuration on connections that are open already (CONFIG)."""

import unittest
from collections.abc import Awaitable, Callable
from dataclasses import replace

import trio

from sassafraspin.http import HttpServer, Request, Responder, Response
from sassafraspin.loopback import free_ports
from sassafraspin.settings import Address, HttpLimits
from tests.routed_deployment import HOST

LIMITS = HttpLimits(header_bytes=4_096, body_bytes=4_096, idle_timeout_ms=400)
LARGE_BYTES = 6_000
LARGE_HEAD_BYTES = 40_000


async def _answer(request: Request, responder: Responder) -> None:
    await responder.send(Response(200, body=str(len(request.body)).encode()))


class _Caller:
    """A caller that keeps its connection."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream

    async def call(self, body: bytes = b"", note: str = "x") -> int:
        """Send a request; return the status of its answer, 0 if there is none."""
        head = f"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}\r\n"
        try:
            await self._stream.send_all(f"{head}X-Note: {note}\r\n\r\n".encode() + body)
            answer = bytes(await self._stream.receive_some(65_536))
        except trio.BrokenResourceError:
            return 0
        return int(answer.split(b" ", 2)[1]) if answer else 0


Scenario = Callable[[_Caller, HttpServer], Awaitable[None]]


class TestChangedLimits(unittest.TestCase):
    """The limits in force hold for each request, not those of its connection."""

    def run_test(self, scenario: Scenario, limits: HttpLimits = LIMITS) -> None:
        """Run a scenario on a connection that has served a request."""

        async def main() -> None:
            address = Address(HOST, free_ports(1)[0])
            server = HttpServer(address, limits, _answer)
            async with trio.open_nursery() as nursery:
                await nursery.start(server.serve)
                stream = await trio.open_tcp_stream(address.host, address.port)
                async with stream:
                    caller = _Caller(stream)
                    self.assertEqual(await caller.call(), 200)
                    await scenario(caller, server)
                nursery.cancel_scope.cancel()

        trio.run(main)

    def test_larger_bodies_are_accepted(self):
        async def scenario(caller: _Caller, server: HttpServer) -> None:
            server.set_limits(replace(LIMITS, body_bytes=2 * LARGE_BYTES))
            self.assertEqual(await caller.call(b"b" * LARGE_BYTES), 200)

        self.run_test(scenario)

    def test_larger_heads_are_accepted(self):
        async def scenario(caller: _Caller, server: HttpServer) -> None:
            server.set_limits(replace(LIMITS, header_bytes=2 * LARGE_HEAD_BYTES))
            self.assertEqual(await caller.call(note="n" * LARGE_HEAD_BYTES), 200)

        self.run_test(scenario)

    def test_bodies_above_a_lower_limit_are_refused(self):
        async def scenario(caller: _Caller, server: HttpServer) -> None:
            server.set_limits(LIMITS)
            self.assertEqual(await caller.call(b"b" * LARGE_BYTES), 413)

        self.run_test(scenario, replace(LIMITS, body_bytes=2 * LARGE_BYTES))

    def test_idle_connection_is_kept_for_the_new_time(self):
        async def scenario(caller: _Caller, server: HttpServer) -> None:
            server.set_limits(replace(LIMITS, idle_timeout_ms=60_000))
            await trio.sleep(2 * LIMITS.idle_timeout_ms / 1_000)
            self.assertEqual(await caller.call(), 200)

        self.run_test(scenario)


if __name__ == "__main__":
    unittest.main()
