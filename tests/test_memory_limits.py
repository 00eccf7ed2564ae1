"""Memory and descriptors of a process under untrusted clients."""

import tempfile
import unittest
from collections.abc import Awaitable, Callable
from pathlib import Path

import trio

from tests.memory_deployment import (
    MAX_BODY_BYTES,
    NAME,
    memory_deployment,
)

MEMORY_MB = 88
CLIENTS = 32
HOLD_SECONDS = 4.0
LIMIT_SECONDS = 60.0

_OWN_DESCRIPTORS = 64
_PIECES = 64
_LARGE_CHUNK_BYTES = 65_536

Send = Callable[[trio.SocketStream], Awaitable[None]]


def _head(*fields: str, path: str = "/read/1") -> bytes:
    lines = [f"POST {path} HTTP/1.1", f"Host: {NAME}", "X-Request-Id: 2", *fields]
    return "\r\n".join([*lines, "", ""]).encode()


_CHUNKED = _head("Transfer-Encoding: chunked")


def _declared(size: int) -> bytes:
    return _head(f"Content-Length: {size}")


class TestMemoryLimits(unittest.TestCase):
    """Guards against a process that untrusted clients end through its memory."""

    def check(self, send: Send, clients: int = CLIENTS, max_fds: int = 4_100) -> None:
        """Let clients send, and check what the process holds and that it answers."""

        async def run() -> tuple[int, int]:
            with tempfile.TemporaryDirectory() as folder:
                async with memory_deployment(
                    Path(folder), MEMORY_MB, max_fds
                ) as deployment:
                    descriptors = 0
                    await deployment.attack(clients, send)
                    with trio.move_on_after(HOLD_SECONDS):
                        while True:
                            await trio.sleep(0.1)
                            descriptors = max(descriptors, deployment.descriptors)
                    with trio.fail_after(LIMIT_SECONDS):
                        await deployment.call()
                    self.assertIsNone(deployment.process.poll())
                    return deployment.peak_bytes, descriptors

        peak, descriptors = trio.run(run)
        print(f"{self.id()}: {peak / 1e6:.1f} MB, {descriptors} descriptors")
        self.assertLess(peak, MEMORY_MB * 1_000_000)
        self.assertLess(descriptors, min(clients * 3 + _OWN_DESCRIPTORS, max_fds))

    def test_largest_body_in_calm(self):
        # Guards against a budget that a small machine refuses legal requests for.
        async def run() -> int:
            with tempfile.TemporaryDirectory() as folder:
                async with memory_deployment(Path(folder), MEMORY_MB) as deployment:
                    with trio.fail_after(LIMIT_SECONDS):
                        for _ in range(3):
                            await deployment.call(bytes(MAX_BODY_BYTES))
                    return deployment.peak_bytes

        self.assertLess(trio.run(run), MEMORY_MB * 1_000_000)

    def test_whole_bodies(self):
        async def send(stream: trio.SocketStream) -> None:
            while True:
                await stream.send_all(_declared(MAX_BODY_BYTES))
                await stream.send_all(bytes(MAX_BODY_BYTES))

        self.check(send)

    def test_bodies_that_lack_a_byte(self):
        async def send(stream: trio.SocketStream) -> None:
            await stream.send_all(_declared(MAX_BODY_BYTES))
            await stream.send_all(bytes(MAX_BODY_BYTES - 1))

        self.check(send)

    def test_bodies_in_pieces_that_lack_a_byte(self):
        async def send(stream: trio.SocketStream) -> None:
            await stream.send_all(_declared(MAX_BODY_BYTES))
            for _ in range(_PIECES - 1):
                await stream.send_all(bytes(MAX_BODY_BYTES // _PIECES))
                await trio.sleep(0.02)
            await stream.send_all(bytes(MAX_BODY_BYTES // _PIECES - 1))

        self.check(send)

    def test_large_chunks_without_an_end(self):
        async def send(stream: trio.SocketStream) -> None:
            chunk = b"%x\r\n%s\r\n" % (_LARGE_CHUNK_BYTES, bytes(_LARGE_CHUNK_BYTES))
            await stream.send_all(_CHUNKED)
            for _ in range(MAX_BODY_BYTES // _LARGE_CHUNK_BYTES):
                await stream.send_all(chunk)

        self.check(send)

    def test_small_chunks_without_an_end(self):
        async def send(stream: trio.SocketStream) -> None:
            await stream.send_all(_CHUNKED + b"1\r\nb\r\n" * 50_000)

        self.check(send)

    def test_announced_bodies_over_the_limit(self):
        async def send(stream: trio.SocketStream) -> None:
            await stream.send_all(_declared(20 * MAX_BODY_BYTES))
            await stream.send_all(bytes(2 * MAX_BODY_BYTES))

        self.check(send)

    def test_chunked_bodies_over_the_limit(self):
        async def send(stream: trio.SocketStream) -> None:
            await stream.send_all(_CHUNKED + b"%x\r\n" % (20 * MAX_BODY_BYTES))
            await stream.send_all(bytes(2 * MAX_BODY_BYTES))

        self.check(send)

    def test_trailers_without_an_end(self):
        async def send(stream: trio.SocketStream) -> None:
            await stream.send_all(_CHUNKED + b"1\r\nb\r\n0\r\n")
            for _ in range(1_000):
                await stream.send_all(b"a: b\r\n" * 1_000)

        self.check(send)

    def test_many_header_fields(self):
        # A field of 5 bytes takes some 200 bytes once it is decoded.
        async def send(stream: trio.SocketStream) -> None:
            await stream.send_all(_head(*["a:b"] * 3_200, "Content-Length: 0"))

        self.check(send, clients=150)

    def test_header_sections_without_an_end(self):
        async def send(stream: trio.SocketStream) -> None:
            await stream.send_all(_declared(0)[:-2] + b"a:b\r\n" * 3_000)

        self.check(send, clients=300)

    def test_callers_that_do_not_read_a_large_response(self):
        async def send(stream: trio.SocketStream) -> None:
            await stream.send_all(_head("Content-Length: 0", path="/read/large"))

        self.check(send, clients=60)

    def test_callers_that_do_not_read_a_large_stream(self):
        async def send(stream: trio.SocketStream) -> None:
            await stream.send_all(_head("Content-Length: 0", path="/stream/large"))

        self.check(send, clients=60)

    def test_more_connections_than_descriptors(self):
        async def send(stream: trio.SocketStream) -> None:
            await stream.send_all(b"P")

        self.check(send, clients=600, max_fds=500)
