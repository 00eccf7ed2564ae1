"""Connections whose answer was abandoned before all of it was written (CONFIG)."""

import unittest
from contextlib import asynccontextmanager

import trio

from sassafraspin.http import Headers, HttpServer, Response
from sassafraspin.loopback import LOOPBACK_HOST, free_ports
from sassafraspin.settings import Address, HttpLimits

LIMITS = HttpLimits(idle_timeout_ms=600_000)
GUARD_SECONDS = 10.0
LONG_EVENT = b"a" * 16_777_216
ABANDON_SECONDS = 0.2
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


async def _abandon_send(request, responder) -> None:
    with trio.CancelScope() as scope:
        scope.cancel()
        await responder.send(Response(200, body=b"answer"))


async def _abandon_finish(request, responder) -> None:
    await responder.start(200, Headers(()))
    await responder.write(b"event")
    with trio.CancelScope() as scope:
        scope.cancel()
        await responder.finish()


async def _report_after_abandoned_write(request, responder) -> None:
    await responder.start(200, Headers(()))
    with trio.move_on_after(ABANDON_SECONDS):
        await responder.write(LONG_EVENT)
    await responder.write(b"error")


async def _finish_after_abandoned_write(request, responder) -> None:
    await responder.start(200, Headers(()), is_framed=False)
    with trio.move_on_after(ABANDON_SECONDS):
        await responder.write(LONG_EVENT)
    await responder.finish()


async def _complete(request, responder) -> None:
    await responder.send(Response(200, body=b"answer"))


@asynccontextmanager
async def _connected(handler):
    """Run a server and yield a connection to it."""
    [port] = free_ports(1)
    server = HttpServer(Address(LOOPBACK_HOST, port), LIMITS, handler)
    async with trio.open_nursery() as nursery:
        await nursery.start(server.serve)
        yield await trio.open_tcp_stream(LOOPBACK_HOST, port)
        nursery.cancel_scope.cancel()


class TestAbandonedAnswers(unittest.TestCase):
    """A connection does not stay open and silent after an answer was abandoned."""

    def read_to_end(self, handler, pause_seconds: float = 0.0) -> bytes | None:
        """Return what arrives until the connection ends, ``None`` if it stays open.

        The pause is that before the first read.
        """

        async def run() -> bytes | None:
            received = b""
            async with _connected(handler) as stream:
                await stream.send_all(REQUEST)
                await trio.sleep(pause_seconds)
                with trio.move_on_after(GUARD_SECONDS):
                    while data := await stream.receive_some():
                        received += data
                    return received
            return None

        return trio.run(run)

    def test_answer_abandoned_before_it_was_written_ends_its_connection(self):
        self.assertEqual(self.read_to_end(_abandon_send), b"")

    def test_stream_abandoned_before_its_end_was_written_ends_its_connection(self):
        received = self.read_to_end(_abandon_finish)
        self.assertIsNotNone(received)
        self.assertIn(b"event", received)
        self.assertNotIn(b"0\r\n\r\n", received)

    def test_nothing_follows_a_part_of_a_chunk(self):
        received = self.read_to_end(_report_after_abandoned_write, 3 * ABANDON_SECONDS)
        self.assertIsNotNone(received)
        self.assertNotIn(b"error", received)

    def test_part_of_a_body_without_framing_does_not_look_complete(self):
        with self.assertRaises(ExceptionGroup) as raised:
            self.read_to_end(_finish_after_abandoned_write, 3 * ABANDON_SECONDS)
        self.assertIsNotNone(raised.exception.subgroup(trio.BrokenResourceError))

    def test_connection_of_a_complete_answer_is_kept(self):
        async def run() -> bytes:
            async with _connected(_complete) as stream:
                received = b""
                with trio.fail_after(GUARD_SECONDS):
                    for number in (1, 2):
                        await stream.send_all(REQUEST)
                        while received.count(b"answer") < number:
                            received += await stream.receive_some()
            return received

        self.assertEqual(trio.run(run).count(b"200"), 2)


if __name__ == "__main__":
    unittest.main()
