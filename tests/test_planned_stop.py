"""Requests at an instance that stops as planned get a final answer."""

import json
import unittest
from collections.abc import Awaitable, Callable

import trio

from sassafraspin.http import Request, Responder, Response
from tests.routed_deployment import (
    RoutedDeployment,
    answer,
    routed_deployment,
    runner_headers,
)

GUARD_SECONDS = 30.0
DRAIN_MS = 1_000
SHORT_LIMIT_MS = "300"


async def never_answer(request: Request, responder: Responder) -> None:
    """Work on a request for ever."""
    await trio.sleep_forever()


async def stream_without_end(request: Request, responder: Responder) -> None:
    """Send one event and no more."""
    await responder.start(200, runner_headers(request))
    await responder.write(b"id: 1\ndata: e1\n\n")
    await trio.sleep_forever()


class TestPlannedStop(unittest.TestCase):
    """Requests that come before and during the time that a stop may take."""

    def run_scenario(
        self, scenario: Callable[[RoutedDeployment], Awaitable[None]], runners: int = 1
    ) -> None:
        async def run() -> None:
            with trio.fail_after(GUARD_SECONDS):
                async with routed_deployment(runners, DRAIN_MS) as deployment:
                    await scenario(deployment)

        trio.run(run)

    async def call_and_stop(self, deployment: RoutedDeployment, path: str) -> Response:
        """Stop the instance while a server works on a call; return the answer."""
        [runner] = deployment.runners
        responses = []

        async def call() -> None:
            responses.append(await deployment.call(path))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            while not runner.requests:
                await trio.sleep(0.01)
            await deployment.daemon.shut_down()
        return responses[0]

    async def call_while_stopping(
        self, deployment: RoutedDeployment, path: str, **headers: str
    ) -> bytes:
        """Send the rest of a request once the stop has begun; return the answer."""
        request = deployment.request(path, **headers)
        lines = [f"POST {path} HTTP/1.1", "content-length: 8"]
        lines += [f"{name}: {value}" for name, value in request.headers.items]
        data = "\r\n".join((*lines, "", "question")).encode()
        address = deployment.listen.callers
        stream = await trio.open_tcp_stream(address.host, address.port)
        await stream.send_all(data[:20])
        received = b""
        async with trio.open_nursery() as nursery:
            await trio.sleep(0.05)
            nursery.start_soon(deployment.daemon.shut_down)
            await trio.sleep(0.1)
            await stream.send_all(data[20:] + b"\r\n")
            while chunk := await stream.receive_some():
                received += chunk
        return received

    def test_request_that_outlasts_the_stop_is_told_that_it_may_have_run(self):
        async def scenario(deployment):
            deployment.runners[0].behaviour = never_answer
            response = await self.call_and_stop(deployment, "/unsafe/1")
            self.assertEqual(response.status, 504)
            self.assertEqual(json.loads(response.body)["execution"], "unknown")

        self.run_scenario(scenario)

    def test_request_that_waits_for_a_slot_is_told_that_it_has_not_run(self):
        async def scenario(deployment):
            [runner] = deployment.runners
            runner.behaviour = never_answer
            statuses = []

            async def call() -> None:
                statuses.append((await deployment.call("/unsafe/1")).status)

            async with trio.open_nursery() as nursery:
                for _ in range(runner.slots + 1):
                    nursery.start_soon(call)
                while len(runner.requests) < runner.slots:
                    await trio.sleep(0.01)
                await deployment.daemon.shut_down()
            self.assertEqual(sorted(statuses), [503] + [504] * runner.slots)
            self.assertEqual(len(runner.requests), runner.slots)

        self.run_scenario(scenario)

    def test_stream_that_outlasts_the_stop_does_not_look_complete(self):
        async def scenario(deployment):
            deployment.runners[0].behaviour = stream_without_end
            request = deployment.request("/stream/1")
            with self.assertRaises(Exception) as caught:
                async with trio.open_nursery() as nursery:

                    async def read() -> None:
                        await deployment.client.send(deployment.listen.callers, request)

                    nursery.start_soon(read)
                    while not deployment.runners[0].requests:
                        await trio.sleep(0.01)
                    await deployment.daemon.shut_down()
            self.assertIn("ConnectionLost", repr(caught.exception))

        self.run_scenario(scenario)

    def test_late_request_that_may_outlast_the_stop_is_not_sent(self):
        async def scenario(deployment):
            received = await self.call_while_stopping(deployment, "/unsafe/1")
            self.assertIn(b" 503 ", received.splitlines()[0])
            self.assertIn(b"not-run", received)
            self.assertEqual(deployment.runners[0].requests, [])

        self.run_scenario(scenario)

    def test_late_request_with_a_short_limit_is_served(self):
        async def scenario(deployment):
            deployment.runners[0].behaviour = answer
            received = await self.call_while_stopping(
                deployment, "/unsafe/1", x_deadline_ms=SHORT_LIMIT_MS
            )
            self.assertIn(b" 200 ", received.splitlines()[0])

        self.run_scenario(scenario)
