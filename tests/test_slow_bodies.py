"""Time limits of requests whose head or body arrives slowly or stops (CONFIG)."""

import unittest

import trio

from tests.routed_deployment import RoutedDeployment, routed_deployment

GUARD_SECONDS = 10.0
"""Below the limit for a body, far above the time limit of the route."""

ROUTE_TIMEOUT_MS = 400
PAUSE_SECONDS = 0.3
HEAD = (
    b"POST /short/1 HTTP/1.1\r\nHost: mill.example\r\nX-Request-Id: id-1\r\n"
    b"Authorization: Token key\r\n"
)
DECLARED = b"Content-Length: 8\r\n\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n8\r\n"
HALF = b"half"


async def _send_slowly(deployment: RoutedDeployment, *parts: bytes) -> bytes:
    """Send a request in parts, with pauses between.

    Returns what arrives until the connection ends or a head was received.
    """
    address = deployment.listen.callers
    stream = await trio.open_tcp_stream(address.host, address.port)
    async with stream:
        await stream.send_all(parts[0])
        for part in parts[1:]:
            await trio.sleep(PAUSE_SECONDS)
            await stream.send_all(part)
        received = b""
        with trio.fail_after(GUARD_SECONDS):
            while b"\r\n\r\n" not in received:
                data = await stream.receive_some()
                if not data:
                    break
                received += data
    return received


class TestSlowBodies(unittest.TestCase):
    """The time limit of a route counts from the first byte of the request."""

    def check_stopped(self, *parts: bytes) -> None:
        """Check that an incomplete request is refused and not sent to a server."""

        async def run() -> bytes:
            async with routed_deployment(runners=1) as deployment:
                answer = await _send_slowly(deployment, *parts)
                self.assertFalse(deployment.runners[0].requests)
                return answer

        self.assertIn(b" 408 ", trio.run(run))

    def test_body_that_stops_is_answered_at_the_time_limit_of_its_route(self):
        self.check_stopped(HEAD + DECLARED + HALF)

    def test_chunked_body_that_stops_is_answered_at_the_time_limit(self):
        self.check_stopped(HEAD + CHUNKED + HALF)

    def test_body_that_stops_after_a_slow_head_is_answered_at_the_time_limit(self):
        self.check_stopped(HEAD, DECLARED + HALF)

    def test_time_limit_of_a_server_leaves_out_the_time_of_the_body(self):
        async def run() -> int:
            async with routed_deployment(runners=1) as deployment:
                await _send_slowly(deployment, HEAD + DECLARED + HALF, HALF)
                [request] = deployment.runners[0].requests
                return int(request.headers.get("x-deadline-ms"))

        limit_ms = ROUTE_TIMEOUT_MS - int(1_000 * PAUSE_SECONDS)
        self.assertLessEqual(trio.run(run), limit_ms)


if __name__ == "__main__":
    unittest.main()
