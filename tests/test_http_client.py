"""The HTTP client against servers that violate the protocol."""

import unittest

import trio

from sassafraspin.http import ClientTimeouts, Headers, HttpClient, Request
from sassafraspin.settings import Address

TIMEOUTS = ClientTimeouts(connect=5.0, progress=20.0)


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
