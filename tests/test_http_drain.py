"""Requests that have arrived when a planned stop begins are answered."""

import socket
import unittest

import trio
import trio.testing

from sassafraspin.http import HttpServer, Response, as_handler
from sassafraspin.loopback import free_ports
from sassafraspin.settings import Address, HttpLimits

HOST = "127.0.0.1"
REQUEST = b"GET /lot HTTP/1.1\r\nhost: mill.example\r\n\r\n"
GUARD_SECONDS = 10.0


async def _answer(request):
    return Response(200, body=b"answer")


class TestDrain(unittest.TestCase):
    """Connections that callers opened before the server stops to accept."""

    def run_scenario(self, scenario) -> None:
        async def run() -> None:
            [port] = free_ports(1)
            server = HttpServer(Address(HOST, port), HttpLimits(), as_handler(_answer))
            with trio.fail_after(GUARD_SECONDS):
                async with trio.open_nursery() as nursery:
                    await nursery.start(server.serve)
                    await scenario(server, port)

        trio.run(run)

    def assert_answered(self, caller: socket.socket) -> None:
        received = b""
        while data := caller.recv(4096):
            received += data
        self.assertTrue(received.startswith(b"HTTP/1.1 200"), received)
        caller.close()

    def test_request_on_a_connection_that_was_not_accepted_yet(self):
        async def scenario(server, port):
            callers = [socket.create_connection((HOST, port)) for _ in range(8)]
            for caller in callers:
                caller.sendall(REQUEST)
            await server.drain()
            for caller in callers:
                self.assert_answered(caller)

        self.run_scenario(scenario)

    def test_request_on_a_kept_connection_that_was_not_read_yet(self):
        async def scenario(server, port):
            kept = await trio.open_tcp_stream(HOST, port)
            await kept.send_all(REQUEST)
            await kept.receive_some()
            await trio.testing.wait_all_tasks_blocked()
            caller = socket.socket(fileno=socket.dup(kept.socket.fileno()))
            caller.setblocking(True)
            caller.sendall(REQUEST)
            await server.drain()
            self.assert_answered(caller)
            await kept.aclose()

        self.run_scenario(scenario)

    def test_request_that_follows_its_new_connection(self):
        async def scenario(server, port):
            stream = await trio.open_tcp_stream(HOST, port)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(server.drain)
                await trio.testing.wait_all_tasks_blocked()
                await stream.send_all(REQUEST)
                received = await stream.receive_some()
            self.assertTrue(received.startswith(b"HTTP/1.1 200"), received)
            await stream.aclose()

        self.run_scenario(scenario)

    def test_idle_connection_ends_at_once(self):
        async def scenario(server, port):
            kept = await trio.open_tcp_stream(HOST, port)
            await kept.send_all(REQUEST)
            await kept.receive_some()
            await server.drain()
            self.assertEqual(await kept.receive_some(), b"")
            await kept.aclose()

        self.run_scenario(scenario)
