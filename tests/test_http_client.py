"""The HTTP client against servers that violate the protocol."""

import socket
import threading
import time
import tracemalloc
import unittest
from collections.abc import Callable, Iterable
from contextlib import aclosing
from unittest import mock

import trio

from sassafraspin.cli import operator_client
from sassafraspin.cli.operator_client import OperatorClient
from sassafraspin.errors import CommandError
from sassafraspin.http import (
    ClientTimeouts,
    ConnectionLost,
    Headers,
    HttpClient,
    Request,
    Response,
)
from sassafraspin.settings import Address

TIMEOUTS = ClientTimeouts(connect=5.0, progress=20.0)
REQUEST = Request("GET", "/", Headers((("host", "h"),)))
GUARD_SECONDS = 60.0

CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
CHUNKED_END = b"0\r\n\r\n"


def response(body: bytes) -> bytes:
    """Return the bytes of a complete response."""
    return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(body), body)


class TestSurplusBytes(unittest.TestCase):
    """Bytes after a complete response are not taken for the next response."""

    def test_second_response_in_the_same_segment_is_discarded(self):
        connections = []

        async def serve(stream: trio.SocketStream) -> None:
            connections.append(stream)
            number = len(connections)
            await stream.receive_some(65_536)
            await stream.send_all(response(b"own %d" % number) + response(b"stray"))
            await stream.receive_some(65_536)

        async def run() -> list[bytes]:
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                nursery.start_soon(trio.serve_listeners, serve, listeners)
                port = listeners[0].socket.getsockname()[1]
                client = HttpClient(TIMEOUTS)
                bodies = []
                for _ in range(2):
                    request = Request("GET", "/", Headers((("host", "h"),)))
                    answer = await client.send(Address("127.0.0.1", port), request)
                    bodies.append(answer.body)
                client.close()
                nursery.cancel_scope.cancel()
            return bodies

        self.assertEqual(trio.run(run), [b"own 1", b"own 2"])


class TestEndlessAnswers(unittest.TestCase):
    """An answer without end costs bounded memory and leaves time for other tasks."""

    def exchange(
        self,
        pieces: Iterable[bytes],
        beside: Callable[[], object] | None = None,
        in_chunks: bool = False,
    ) -> Response:
        """Return the response that consists of the pieces.

        ``beside`` is called at each turn of another task while the client reads.
        ``in_chunks`` reads the body in chunks instead of as a whole.
        """

        async def serve(stream: trio.SocketStream) -> None:
            await stream.receive_some(65_536)
            try:
                for piece in pieces:
                    await stream.send_all(piece)
            except trio.BrokenResourceError:
                return

        client = HttpClient(TIMEOUTS)

        async def run_beside() -> None:
            while beside is not None:
                beside()
                await trio.lowlevel.checkpoint()

        async def run() -> Response:
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                nursery.start_soon(trio.serve_listeners, serve, listeners)
                port = listeners[0].socket.getsockname()[1]
                nursery.start_soon(run_beside)
                with trio.fail_after(GUARD_SECONDS):
                    send = send_and_read_chunks if in_chunks else client.send
                    answer = await send(Address("127.0.0.1", port), REQUEST)
                client.close()
                nursery.cancel_scope.cancel()
            return answer

        async def send_and_read_chunks(address: Address, request: Request) -> Response:
            async with client.open(address, request) as opened:
                body = b"".join([chunk async for chunk in opened.chunks()])
            return Response(opened.status, opened.headers, body)

        try:
            return trio.run(run)
        except BaseExceptionGroup as group:
            raise group.exceptions[0] from None

    def test_informational_responses_without_end(self):
        early = b"HTTP/1.1 103 Early\r\n\r\n"
        with self.assertRaises(ConnectionLost):
            self.exchange([early * 1000, response(b"late")])

    def test_some_informational_responses_are_accepted(self):
        early = b"HTTP/1.1 103 Early\r\n\r\n"
        self.assertEqual(self.exchange([early * 3, response(b"a")]).body, b"a")

    def test_chunked_body_without_end(self):
        piece = b"100000\r\n%s\r\n" % (b"b" * 1_048_576)
        with self.assertRaises(ConnectionLost):
            self.exchange([CHUNKED_HEAD, *[piece] * 64, CHUNKED_END])

    def test_large_declared_length_is_rejected_before_the_body(self):
        head = b"HTTP/1.1 200 OK\r\ncontent-length: 1000000000000\r\n\r\n"
        with self.assertRaisesRegex(ConnectionLost, "exceeds"):
            self.exchange([head])

    def test_body_in_small_chunks_takes_little_memory(self):
        """A body of 32 KiB; as one object per chunk it takes more than 2 MB."""
        chunks = b"2\r\nbb\r\n" * 16_384
        pieces = [CHUNKED_HEAD, chunks, CHUNKED_END]
        tracemalloc.start()
        try:
            body = self.exchange(pieces).body
            _, peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        self.assertEqual(len(body), 32_768)
        self.assertLess(peak_bytes, 524_288)

    def test_reading_small_chunks_leaves_turns_to_other_tasks(self):
        """50,000 chunks; a read of the socket alone holds about 10,000 of them."""
        turns = []
        chunks = b"1\r\nb\r\n" * 50_000
        self.exchange([CHUNKED_HEAD, chunks, CHUNKED_END], lambda: turns.append(1))
        self.assertGreater(len(turns), 250)

    def test_large_chunks_are_handed_over_in_parts_between_turns(self):
        """1 MiB; 64 KiB at once may hold 30,000 events, which take 0.2 s."""
        turns = []
        body = b"\n" * 1_048_576
        answer = self.exchange([response(body)], lambda: turns.append(1), True)
        self.assertEqual(len(answer.body), len(body))
        self.assertGreater(len(turns), 128)


class TestOperatorClient(unittest.TestCase):
    """A command ends although its server goes on sending."""

    def test_slow_answer_without_end(self):
        """A byte every 50 ms for 10 s, against a time limit of 0.5 s."""
        closed = threading.Event()

        def serve() -> None:
            connection, _ = listener.accept()
            with connection:
                connection.recv(65_536)
                connection.sendall(b"HTTP/1.1 200 OK\r\nx-long: ")
                for _ in range(200):
                    try:
                        connection.sendall(b"a")
                    except OSError:
                        closed.set()
                        return
                    time.sleep(0.05)

        with socket.create_server(("127.0.0.1", 0)) as listener:
            server = threading.Thread(target=serve)
            server.start()
            port = listener.getsockname()[1]
            client = OperatorClient(f"http://127.0.0.1:{port}", "token")
            with (
                mock.patch.object(operator_client, "_RESPONSE_TIMEOUT_SECONDS", 0.5),
                self.assertRaises(CommandError),
            ):
                client.get("/v1/status", dict)
            server.join()
        self.assertTrue(closed.is_set(), "the client waited for the end")


class TestJoinedChunks(unittest.TestCase):
    """Chunks that arrive together are handed over as one part, and nothing is lost."""

    CHUNKS = b"3\r\nabc\r\n" + b"3\r\ndef\r\n"

    def read_parts(
        self, answers: list[bytes], most_parts: int = 100
    ) -> tuple[list[list[bytes]], list[str], int]:
        """Return the parts and the errors of the answers, and the connections used.

        ``most_parts`` parts of each answer are read, then no more.
        """
        connections = []
        parts: list[list[bytes]] = []
        errors = []

        async def serve(stream: trio.SocketStream) -> None:
            connections.append(stream)
            while len(parts) < len(answers) and await stream.receive_some(65_536):
                await stream.send_all(answers[len(parts)])

        async def read(client: HttpClient, address: Address) -> None:
            read_now = []
            try:
                async with (
                    client.open(address, REQUEST) as answer,
                    aclosing(answer.chunks()) as chunks,
                ):
                    async for part in chunks:
                        read_now.append(part)
                        if len(read_now) == most_parts:
                            break
            except ConnectionLost as error:
                errors.append(str(error))
            parts.append(read_now)

        async def run() -> None:
            client = HttpClient(TIMEOUTS)
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                nursery.start_soon(trio.serve_listeners, serve, listeners)
                port = listeners[0].socket.getsockname()[1]
                with trio.fail_after(GUARD_SECONDS):
                    for _ in answers:
                        await read(client, Address("127.0.0.1", port))
                client.close()
                nursery.cancel_scope.cancel()

        trio.run(run)
        return parts, errors, len(connections)

    def test_chunks_of_one_segment_are_one_part(self):
        answer = CHUNKED_HEAD + self.CHUNKS + CHUNKED_END
        self.assertEqual(self.read_parts([answer]), ([[b"abcdef"]], [], 1))

    def test_an_error_after_chunks_does_not_lose_them(self):
        parts, errors, _ = self.read_parts([CHUNKED_HEAD + self.CHUNKS + b"zz\r\n"])
        self.assertEqual(parts, [[b"abcdef"]])
        self.assertEqual(len(errors), 1)
        self.assertIn("broken answer: illegal chunk header", errors[0])

    def test_the_end_of_an_answer_is_not_taken_for_that_of_the_next(self):
        # The first reader stops after the last part, before it is told of the end.
        answer = CHUNKED_HEAD + self.CHUNKS + CHUNKED_END
        parts, errors, connections = self.read_parts([answer, answer], most_parts=1)
        self.assertEqual(parts, [[b"abcdef"], [b"abcdef"]])
        self.assertEqual((errors, connections), ([], 1))
