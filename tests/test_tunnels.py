"""Tunnels to backend servers, byte by byte, on loopback sockets."""

import unittest
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import trio
import trio.testing

from sassafraspin.http import (
    ClientTimeouts,
    ConnectionLost,
    Headers,
    HttpClient,
    Request,
    ServerPath,
    dial_tcp,
)
from sassafraspin.http.sockets import reset
from sassafraspin.loopback import LOOPBACK_HOST, free_ports
from sassafraspin.relay import (
    TunnelRefused,
    TunnelReply,
    TunnelRequest,
    TunnelServer,
)
from sassafraspin.relay.messages import (
    BadFrame,
    encode_request,
    receive_reply,
    receive_request,
)
from sassafraspin.settings import Address

GUARD_SECONDS = 30
MAX_TUNNELS = 2
LARGE = bytes(range(256)) * 8_192


@dataclass
class TunnelSetup:
    """A tunnel server before one backend server, whose connections tests take."""

    server: TunnelServer
    tunnels: Address
    target: Address
    nursery: trio.Nursery
    accepted: trio.MemoryReceiveChannel
    accept: trio.MemorySendChannel
    streams: list[trio.SocketStream] = field(default_factory=list)

    async def ask(
        self, target: Address | None = None
    ) -> tuple[trio.SocketStream, TunnelReply]:
        """Ask for a tunnel and return the stream with the reply."""
        target = target or self.target
        stream = await dial_tcp(self.tunnels)
        self.streams.append(stream)
        request = TunnelRequest(target.host, target.port, 1_000)
        await stream.send_all(encode_request(request))
        return stream, await receive_reply(stream)

    async def open(self) -> tuple[trio.SocketStream, trio.SocketStream]:
        """Open a tunnel and return its ends at the caller and at the server."""
        stream, reply = await self.ask()
        assert reply is TunnelReply.CONNECTED, reply
        return stream, await self.accepted.receive()

    async def hold(self, stream: trio.SocketStream) -> None:
        """Hand an accepted connection to the test and keep it open."""
        await self.accept.send(stream)
        await trio.sleep_forever()


class TunnelCase(unittest.TestCase):
    """Base of the test cases."""

    def play(self, scenario: Callable[[TunnelSetup], Awaitable[None]]) -> None:
        async def run() -> None:
            tunnels, target = (Address(LOOPBACK_HOST, port) for port in free_ports(2))

            async def open_target(address: Address, limit: float) -> trio.SocketStream:
                if address != target:
                    raise TunnelRefused(TunnelReply.DENIED)
                return await dial_tcp(address)

            server = TunnelServer(tunnels, open_target, MAX_TUNNELS)
            accept, accepted = trio.open_memory_channel(10)
            with trio.fail_after(GUARD_SECONDS):
                async with trio.open_nursery() as nursery:
                    setup = TunnelSetup(
                        server, tunnels, target, nursery, accepted, accept
                    )
                    await nursery.start(server.serve)
                    listeners = await trio.open_tcp_listeners(
                        target.port, host=target.host
                    )
                    nursery.start_soon(trio.serve_listeners, setup.hold, listeners)
                    await scenario(setup)
                    for stream in setup.streams:
                        stream.socket.close()
                    nursery.cancel_scope.cancel()

        trio.run(run)

    async def read_all(self, stream: trio.SocketStream) -> bytes:
        """Return what arrives up to an orderly end."""
        data = bytearray()
        async for part in stream:
            data += part
        return bytes(data)


class TestBytes(TunnelCase):
    """What passes through an open tunnel."""

    def test_bytes_arrive_in_order_in_both_directions_at_once(self):
        async def scenario(setup):
            caller, server = await setup.open()

            async def send(stream):
                await stream.send_all(LARGE)
                await stream.send_eof()

            async with trio.open_nursery() as nursery:
                nursery.start_soon(send, caller)
                nursery.start_soon(send, server)
                received = await self.read_all(server)
                self.assertEqual(await self.read_all(caller), received)
                self.assertEqual(received, LARGE)

        self.play(scenario)

    def test_direction_that_is_still_open_after_the_other_ended(self):
        async def scenario(setup):
            caller, server = await setup.open()
            await caller.send_all(b"question")
            await caller.send_eof()
            self.assertEqual(await self.read_all(server), b"question")
            await server.send_all(b"answer")
            await server.send_eof()
            self.assertEqual(await self.read_all(caller), b"answer")

        self.play(scenario)

    def test_reset_of_the_server_arrives_as_a_reset(self):
        async def scenario(setup):
            caller, server = await setup.open()
            await server.send_all(b"part")
            self.assertEqual(await caller.receive_some(), b"part")
            reset(server)
            with self.assertRaises(trio.BrokenResourceError):
                await caller.receive_some()

        self.play(scenario)

    def test_reset_of_the_caller_arrives_as_a_reset(self):
        async def scenario(setup):
            caller, server = await setup.open()
            reset(caller)
            with self.assertRaises(trio.BrokenResourceError):
                await server.receive_some()

        self.play(scenario)

    def test_close_of_the_caller_ends_the_side_of_the_server(self):
        async def scenario(setup):
            caller, server = await setup.open()
            caller.socket.close()
            self.assertEqual(await server.receive_some(), b"")

        self.play(scenario)

    def test_close_of_the_caller_ends_the_tunnel_at_a_server_that_stays_silent(self):
        async def scenario(setup):
            caller, server = await setup.open()
            caller.socket.close()
            while setup.server.tunnels:
                await trio.sleep(0.01)
            self.assertEqual(await server.receive_some(), b"")

        self.play(scenario)

    def test_end_of_the_tunnel_server_resets_its_tunnels(self):
        async def scenario(setup):
            async with trio.open_nursery() as nursery:
                port = free_ports(1)[0]
                address = Address(LOOPBACK_HOST, port)
                other = TunnelServer(address, lambda target, _: dial_tcp(target), 1)
                await nursery.start(other.serve)
                setup.tunnels = address
                caller, server = await setup.open()
                await server.send_all(b"part")
                self.assertEqual(await caller.receive_some(), b"part")
                nursery.cancel_scope.cancel()
            for stream in (caller, server):
                with self.assertRaises(trio.BrokenResourceError):
                    await stream.receive_some()

        self.play(scenario)


class TestRequests(TunnelCase):
    """Requests for tunnels that are not granted."""

    def test_address_of_no_backend_server(self):
        async def scenario(setup):
            _, reply = await setup.ask(Address("10.9.9.9", 80))
            self.assertIs(reply, TunnelReply.DENIED)

        self.play(scenario)

    def test_more_tunnels_than_the_limit(self):
        async def scenario(setup):
            opened = [await setup.open() for _ in range(MAX_TUNNELS)]
            _, reply = await setup.ask()
            self.assertIs(reply, TunnelReply.DENIED)
            for caller, server in opened:
                reset(caller)
                with self.assertRaises(trio.BrokenResourceError):
                    await server.receive_some()
            while setup.server.tunnels:
                await trio.sleep(0.01)
            await setup.open()

        self.play(scenario)

    def test_stopping_server_denies_new_tunnels_and_keeps_open_ones(self):
        async def scenario(setup):
            caller, server = await setup.open()
            setup.server.stop_accepting()
            _, reply = await setup.ask()
            self.assertIs(reply, TunnelReply.DENIED)
            await server.send_all(b"answer")
            self.assertEqual(await caller.receive_some(), b"answer")

        self.play(scenario)

    def test_invalid_requests_end_the_connection(self):
        async def scenario(setup):
            for data in (b"\x00", b"\x02\xff\xff", b"GET / HTTP/1.1\r\n\r\n", b"\x30"):
                stream = await dial_tcp(setup.tunnels)
                setup.streams.append(stream)
                await stream.send_all(data)
                await stream.send_eof()
                with self.assertRaises((BadFrame, trio.BrokenResourceError)):
                    await receive_reply(stream)
            await setup.open()

        self.play(scenario)

    def test_request_in_single_bytes(self):
        async def scenario(setup):
            send, receive = trio.testing.memory_stream_one_way_pair()
            request = TunnelRequest("10.0.0.1", 8_080, 100)
            for byte in encode_request(request):
                await send.send_all(bytes((byte,)))
            self.assertEqual(await receive_request(receive), request)

        self.play(scenario)


class TestAnswersWithoutLength(TunnelCase):
    """Answers that end with their connection, through a tunnel."""

    def answer_of(self, end: Callable[[trio.SocketStream], None]):
        """Return the answer of a server that ends the connection after a part."""
        answers = []

        async def scenario(setup):
            class Connector:
                """Connects through the tunnel server of the test."""

                async def connect(self, address: Address) -> ServerPath:
                    stream, _ = await setup.ask(address)
                    return ServerPath(stream, "front-2")

                def may_reuse(self, connection) -> bool:
                    return True

            async def serve() -> None:
                stream = await setup.accepted.receive()
                await stream.receive_some()
                await stream.send_all(b"HTTP/1.1 200 OK\r\n\r\npart")
                # The part is read before the end, which a reset may overtake.
                await part_read.wait()
                end(stream)

            part_read = trio.Event()
            client = HttpClient(ClientTimeouts(), connector=Connector())
            request = Request("GET", "/", Headers((("host", "server"),)))
            setup.nursery.start_soon(serve)
            async with client.open(setup.target, request) as response:
                async for chunk in response.chunks():
                    answers.append(chunk)
                    part_read.set()

        self.play(scenario)
        return b"".join(answers)

    def test_reset_does_not_look_like_the_end(self):
        with self.assertRaisesGroup(ConnectionLost):
            self.answer_of(reset)

    def test_orderly_end(self):
        body = self.answer_of(lambda stream: stream.socket.close())
        self.assertEqual(body, b"part")

    def assertRaisesGroup(self, kind):  # noqa: N802
        """Expect an exception that nurseries may have wrapped in groups."""
        return _RaisesGroup(self, kind)


class _RaisesGroup:
    def __init__(self, case: unittest.TestCase, kind: type[Exception]) -> None:
        self._case = case
        self._kind = kind

    def __enter__(self) -> None:
        return None

    def __exit__(self, kind, error, traceback) -> bool:
        while isinstance(error, BaseExceptionGroup):
            error = error.exceptions[0]
        self._case.assertIsInstance(error, self._kind)
        return True
