"""Limits of the HTTP server against malformed, oversized and slow requests."""

import socket
import unittest
from contextlib import asynccontextmanager
from dataclasses import replace

import trio
import trio.testing

from sassafraspin.http import HttpServer, Response, as_handler
from sassafraspin.loopback import free_ports
from sassafraspin.settings import Address, HttpLimits

LIMITS = HttpLimits(
    header_bytes=1024,
    body_bytes=2048,
    connections=4,
    header_timeout_ms=300,
    body_timeout_ms=300,
    idle_timeout_ms=300,
)


async def _echo(request):
    return Response(200, body=request.body)


@asynccontextmanager
async def _serving(limits: HttpLimits = LIMITS, handler=_echo):
    """Run a server and yield its port."""
    [port] = free_ports(1)
    server = HttpServer(Address("127.0.0.1", port), limits, as_handler(handler))
    async with trio.open_nursery() as nursery:
        await nursery.start(server.serve)
        yield port
        nursery.cancel_scope.cancel()


class TestHttpBounds(unittest.TestCase):
    """Each violation is answered with a problem document or a closed connection."""

    def exchange(self, *pieces: bytes, pause: float = 0.0) -> bytes:
        """Send data over one connection and return everything received."""

        async def run() -> bytes:
            async with _serving() as port:
                stream = await trio.open_tcp_stream("127.0.0.1", port)
                received = b""
                for piece in pieces:
                    await stream.send_all(piece)
                    await trio.sleep(pause)
                with trio.move_on_after(5):
                    while data := await stream.receive_some(65536):
                        received += data
                await stream.aclose()
            return received

        return trio.run(run)

    def test_garbage(self):
        self.assertIn(b"400", self.exchange(b"\x00\x01garbage\r\n\r\n"))

    def test_empty_lines_before_requests(self):
        call = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nb"
        for pieces in ((b"\r\n" + call + b"\r\n\r\n" + call,), (call, b"\r\n", call)):
            with self.subTest(pieces=pieces):
                answers = self.exchange(*pieces, pause=0.05)
                self.assertEqual(answers.count(b" 200 "), 2)
                self.assertNotIn(b" 400 ", answers)

    def test_head_is_answered_without_a_body(self):
        call = b"HEAD / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"
        answers = self.exchange(call + call)
        self.assertEqual(answers.count(b" 200 "), 2)
        self.assertEqual(answers.count(b"content-length: 4\r\n"), 2)
        self.assertNotIn(b"body", answers)

    def test_refusals_beside_head_requests(self):
        call = b"HEAD / HTTP/1.1\r\nHost: a\r\n\r\n"
        framings = b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"
        ambiguous = call.replace(b"\r\n\r\n", b"\r\n" + framings + b"\r\n")
        for pieces in ((call, b"\x00garbage\r\n\r\n"), (ambiguous,)):
            with self.subTest(pieces=pieces):
                self.assertIn(b" 400 ", self.exchange(*pieces, pause=0.05))

    def test_long_header(self):
        header = b"X: " + b"a" * 5000
        self.assertIn(b"400", self.exchange(b"GET / HTTP/1.1\r\n" + header))

    def test_long_body(self):
        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 999999\r\n\r\n"
        answer = self.exchange(head)
        self.assertIn(b"413", answer)
        self.assertIn(b"urn:sassafraspin:problem:not-run:body-too-large", answer)

    def test_long_chunked_body(self):
        head = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        answer = self.exchange(head + b"1000\r\n" + b"a" * 4096 + b"\r\n0\r\n\r\n")
        self.assertIn(b"413", answer)

    def test_slow_header(self):
        self.assertIn(b"408", self.exchange(b"GET / HT"))

    def test_slow_body(self):
        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n12"
        self.assertIn(b"408", self.exchange(head))

    def test_silent_connection_is_closed(self):
        self.assertEqual(self.exchange(), b"")

    def test_conflicting_lengths(self):
        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
        self.assertIn(b"400", self.exchange(head + b"Content-Length: 2\r\n\r\nab"))

    def test_pipelined_requests_are_both_answered(self):
        one = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
        two = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nxyz"
        answer = self.exchange(one + two)
        self.assertIn(b"abc", answer)
        self.assertIn(b"xyz", answer)

    def test_too_many_connections(self):
        async def run() -> bytes:
            async with _serving() as port:
                held = [
                    await trio.open_tcp_stream("127.0.0.1", port)
                    for _ in range(LIMITS.connections)
                ]
                await trio.testing.wait_all_tasks_blocked()
                extra = await trio.open_tcp_stream("127.0.0.1", port)
                answer = await extra.receive_some(65536)
                for stream in (*held, extra):
                    await stream.aclose()
            return answer

        self.assertIn(b"503", trio.run(run))

    def test_reset_connection_leaves_the_server_running(self):
        async def run() -> bytes:
            async with _serving() as port:
                broken = await trio.open_tcp_stream("127.0.0.1", port)
                await broken.send_all(b"POST / HTTP/1.1\r\n")
                broken.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0"
                )
                broken.socket.close()
                good = await trio.open_tcp_stream("127.0.0.1", port)
                await good.send_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
                answer = await good.receive_some(65536)
                await good.aclose()
            return answer

        self.assertIn(b"200", trio.run(run))

    def test_reading_small_chunks_leaves_turns_to_other_tasks(self):
        """50,000 chunks; a read of the socket alone holds about 10,000 of them."""
        turns = []
        head = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        limits = replace(LIMITS, body_bytes=100_000, body_timeout_ms=60_000)

        async def run_beside() -> None:
            while True:
                turns.append(1)
                await trio.lowlevel.checkpoint()

        async def run() -> bytes:
            async with _serving(limits) as port, trio.open_nursery() as nursery:
                stream = await trio.open_tcp_stream("127.0.0.1", port)
                nursery.start_soon(run_beside)
                await stream.send_all(head + b"1\r\nb\r\n" * 50_000 + b"0\r\n\r\n")
                answer = await stream.receive_some(1000)
                nursery.cancel_scope.cancel()
                await stream.aclose()
            return answer

        self.assertIn(b"200", trio.run(run))
        self.assertGreater(len(turns), 250)


class TestHandlerFailure(unittest.TestCase):
    """An unexpected error of a handler ends its connection only."""

    def test_other_connections_go_on(self):
        async def fail_first(request):
            if request.path == "/fail":
                raise ValueError(request.path)
            return Response(200)

        async def run() -> tuple[bytes, bytes]:
            async with _serving(handler=fail_first) as port:
                answers = []
                for path in (b"/fail", b"/other"):
                    stream = await trio.open_tcp_stream("127.0.0.1", port)
                    await stream.send_all(b"GET %s HTTP/1.1\r\nHost: a\r\n\r\n" % path)
                    answers.append(await stream.receive_some(1000))
                    await stream.aclose()
            return tuple(answers)

        failed, other = trio.run(run)
        self.assertEqual(failed, b"")
        self.assertIn(b"200", other)
