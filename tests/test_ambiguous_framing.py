"""Messages whose length can be read in two ways, from callers and from servers."""

import unittest

import trio

from sassafraspin.http import (
    ClientTimeouts,
    Headers,
    HttpClient,
    HttpServer,
    Request,
    Response,
    as_handler,
)
from sassafraspin.loopback import free_ports
from sassafraspin.settings import Address, HttpLimits
from tests.scripted_server import Ending, Script, ScriptedServer, chunk

INNER = b"GET /inner HTTP/1.1\r\nhost: mill.example\r\n\r\n"
BODY = chunk(b"outer") + chunk(b"")
HEAD = b"POST /outer HTTP/1.1\r\nhost: mill.example\r\n"
LENGTH = b"content-length: %d\r\n"
CHUNKED = b"transfer-encoding: chunked\r\n"


class TestRequests(unittest.TestCase):
    """Requests that another reader of the connection may end elsewhere."""

    def exchange(self, *pieces: bytes) -> tuple[bytes, list[str]]:
        """Send data on one connection; return the answers and the requests run."""
        targets: list[str] = []

        async def answer(request: Request) -> Response:
            targets.append(request.target)
            return Response(200, body=request.body)

        async def run() -> bytes:
            [port] = free_ports(1)
            address = Address("127.0.0.1", port)
            server = HttpServer(address, HttpLimits(), as_handler(answer))
            async with trio.open_nursery() as nursery:
                await nursery.start(server.serve)
                received = b""
                async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
                    for piece in pieces:
                        await stream.send_all(piece)
                    while data := await stream.receive_some(65_536):
                        received += data
                nursery.cancel_scope.cancel()
            return received

        async def run_in_time() -> bytes:
            with trio.fail_after(10):
                return await run()

        return trio.run(run_in_time), targets

    def test_no_request_is_run_out_of_the_declared_length_of_another(self):
        # Guards against a request smuggled between two framings.
        length = LENGTH % len(BODY + INNER)
        for framing in (length + CHUNKED, CHUNKED + length):
            with self.subTest(framing=framing):
                data = HEAD + framing + b"\r\n" + BODY + INNER
                received, targets = self.exchange(data)
                self.assertEqual(targets, [])
                self.assertTrue(received.startswith(b"HTTP/1.1 400 "), received)
                self.assertIn(b"connection: close", received.lower())
                self.assertEqual(received.count(b"HTTP/1.1"), 1)

    def test_connection_ends_after_a_request_before_the_ambiguous_one(self):
        # Guards against a choice that holds for the first request alone.
        first = HEAD + CHUNKED + b"\r\n" + BODY
        second = HEAD + CHUNKED + LENGTH % 5 + b"\r\n" + BODY + INNER
        received, targets = self.exchange(first, second)
        self.assertEqual(targets, ["/outer"])
        self.assertEqual(received.count(b"HTTP/1.1"), 2)

    def test_no_request_is_run_after_an_error_answer(self):
        # Guards against reading on after a message that could not be read.
        for broken in (
            HEAD + b"transfer-encoding: gzip, chunked\r\n\r\n" + BODY,
            HEAD + CHUNKED + CHUNKED + b"\r\n" + BODY,
            HEAD + LENGTH % 5 + LENGTH % 9 + b"\r\nouter",
            HEAD + b"content-length: +5\r\n\r\nouter",
            HEAD + CHUNKED + b"\r\n" + b"5\r\nouterXX0\r\n\r\n",
            HEAD.replace(b"1.1", b"1.0") + CHUNKED + LENGTH % 5 + b"\r\n" + BODY,
        ):
            with self.subTest(broken=broken):
                received, targets = self.exchange(broken + INNER)
                self.assertEqual(targets, [])
                self.assertEqual(received.count(b"HTTP/1.1 "), 1)

    def test_each_framing_alone_keeps_the_connection(self):
        # Guards against refusing what callers may send.
        close = HEAD + b"connection: close\r\n" + LENGTH % 0 + b"\r\n"
        received, targets = self.exchange(
            HEAD + CHUNKED + b"\r\n" + BODY,
            HEAD + LENGTH % 5 + b"\r\nouter",
            HEAD + LENGTH % 5 + LENGTH % 5 + b"\r\nouter",
            close,
        )
        self.assertEqual(targets, ["/outer"] * 4)
        self.assertEqual(received.count(b"HTTP/1.1 200 "), 4)


class TestResponses(unittest.TestCase):
    """Responses of servers that may see the end of them elsewhere."""

    def connections(self, data: bytes) -> tuple[Response, int]:
        """Send two requests to a server that keeps its connections open.

        Returns the response to the first one, and the number of connections used.
        """

        async def run() -> tuple[Response, int]:
            plain = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nnext"
            scripts = [Script(data, Ending.OPEN), Script(plain, Ending.OPEN)]
            server = CountingServer(scripts)
            client = HttpClient(ClientTimeouts())
            request = Request("GET", "/", Headers((("host", "runner"),)))
            with trio.fail_after(10):
                async with trio.open_nursery() as nursery:
                    await nursery.start(server.run)
                    [address] = server.addresses
                    first = await client.send(address, request)
                    second = await client.send(address, request)
                    self.assertEqual(second.body, b"next")
                    client.close()
                    nursery.cancel_scope.cancel()
            return first, server.connection_count

        return trio.run(run)

    def test_connection_with_an_ambiguous_response_is_not_used_again(self):
        # Guards against taking the rest of one response for the next one.
        for head in (
            b"HTTP/1.1 200 OK\r\n" + LENGTH % 90 + CHUNKED,
            b"HTTP/1.1 200 OK\r\n" + CHUNKED + LENGTH % 2,
        ):
            response, count = self.connections(head + b"\r\n" + BODY)
            self.assertEqual((response.status, response.body), (200, b"outer"))
            self.assertEqual(count, 2)

    def test_connection_with_a_body_where_none_can_be_is_not_used_again(self):
        # Guards against a body that arrives after the response without one.
        for head in (
            b"HTTP/1.1 204 No Content\r\n" + LENGTH % 5,
            b"HTTP/1.1 204 No Content\r\n" + CHUNKED,
            b"HTTP/1.1 103 Early Hints\r\n"
            + LENGTH % 5
            + b"\r\nHTTP/1.1 200 OK\r\n"
            + LENGTH % 0,
        ):
            _, count = self.connections(head + b"\r\n")
            self.assertEqual(count, 2)

    def test_connection_with_a_plain_response_is_used_again(self):
        # Guards against a new connection for each request.
        for head in (
            b"HTTP/1.1 200 OK\r\n" + CHUNKED + b"\r\n" + BODY,
            b"HTTP/1.1 200 OK\r\n" + LENGTH % 5 + b"\r\nouter",
            b"HTTP/1.1 204 No Content\r\n\r\n",
            b"HTTP/1.1 304 Not Modified\r\n" + LENGTH % 5 + b"\r\n",
        ):
            self.assertEqual(self.connections(head)[1], 1)


class CountingServer(ScriptedServer):
    """A scripted server that counts its connections."""

    connection_count = 0

    async def _serve(self, stream: trio.SocketStream) -> None:
        self.connection_count += 1
        await super()._serve(stream)


if __name__ == "__main__":
    unittest.main()
