"""Slots of answers that are complete and that their callers do not read (CONFIG)."""

import unittest

import trio

from sassafraspin.http import Request, Responder, Response
from tests.routed_deployment import RoutedDeployment, routed_deployment, runner_headers

ANSWER_BYTES = 16_000_000
"""More than the buffers of a connection take, and less than the largest response."""

UNREAD_REQUEST = (
    b"POST /safe/1 HTTP/1.1\r\nHost: mill.example\r\nAuthorization: Token key\r\n"
    b"X-Request-Id: unread\r\nContent-Length: 0\r\n\r\n"
)
GUARD_SECONDS = 60.0


class TestUnreadAnswers(unittest.TestCase):
    """A server is free for others once its answer was read."""

    def test_slots_of_unread_answers_are_free(self):
        # Guards against callers that do not read and so keep idle servers from others.

        async def behave(request: Request, responder: Responder) -> None:
            headers = runner_headers(request)
            if request.headers.get("x-request-id") != "unread":
                await responder.send(Response(200, headers, b"answer"))
                return
            await responder.send(Response(200, headers, bytes(ANSWER_BYTES)))

        async def scenario(deployment: RoutedDeployment) -> None:
            [runner] = deployment.runners
            runner.behaviour = behave
            address = deployment.listen.callers
            callers = []
            for _ in range(runner.slots):
                caller = await trio.open_tcp_stream(address.host, address.port)
                await caller.send_all(UNREAD_REQUEST)
                await caller.receive_some(1)
                callers.append(caller)
            response = await deployment.call("/safe/2", x_deadline_ms="5000")
            self.assertEqual((response.status, response.body), (200, b"answer"))
            for caller in callers:
                await caller.aclose()

        async def run() -> None:
            with trio.fail_after(GUARD_SECONDS):
                async with routed_deployment(runners=1) as deployment:
                    await scenario(deployment)

        trio.run(run)


if __name__ == "__main__":
    unittest.main()
