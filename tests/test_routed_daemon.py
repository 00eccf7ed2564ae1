"""Calls on declared routes, through a daemon to runners with each kind of fault."""

import json
import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

import trio
import trio.testing

from sassafraspin.http import Headers, HttpClient, Response
from sassafraspin.http.client import ConnectionLost
from sassafraspin.routed.routing_view import RoutingView
from tests.routed_deployment import (
    SEAL,
    TIMEOUTS,
    RoutedDeployment,
    configuration,
    routed_deployment,
    runner_headers,
)

EVENTS = [f"id: {number}\ndata: e{number}\n\n".encode() for number in range(1, 6)]


class RoutedTestCase(unittest.TestCase):
    """Runs a scenario against a deployment with two runners."""

    def play(self, scenario: Callable[[RoutedDeployment], Awaitable[None]]) -> None:
        async def run() -> None:
            with trio.fail_after(60):
                async with routed_deployment() as deployment:
                    await scenario(deployment)

        trio.run(run)

    def behave(self, deployment: RoutedDeployment, behaviour) -> None:
        for runner in deployment.runners:
            runner.behaviour = behaviour

    def sent(self, deployment: RoutedDeployment) -> int:
        return sum(len(runner.requests) for runner in deployment.runners)


class TestCalls(RoutedTestCase):
    """What a caller gets for what the runners do."""

    def test_answer_is_passed_on(self):
        async def scenario(deployment):
            response = await deployment.call("/unsafe/1?x=2", x_tenant="other")
            self.assertEqual((response.status, response.body), (200, b"answer"))
            self.assertEqual(response.headers.get("x-response-seal"), "seal")
            (request,) = [
                item for runner in deployment.runners for item in runner.requests
            ]
            self.assertEqual(request.target, "/unsafe/1?x=2")
            self.assertEqual(request.body, b"question")
            self.assertEqual(request.headers.get("x-tenant"), "mill")
            self.assertIsNone(request.headers.get("authorization"))
            self.assertLessEqual(int(request.headers.get("x-deadline-ms")), 20_000)

        self.play(scenario)

    def test_refusals_before_any_runner(self):
        async def scenario(deployment):
            unknown = await deployment.call("/nowhere/1")
            self.assertEqual(unknown.status, 404)
            keyless = await deployment.call("/safe/1", authorization="Token x")
            self.assertEqual(keyless.status, 401)
            public = await deployment.call("/public/1", authorization="Token x")
            self.assertEqual(public.status, 200)
            self.assertEqual(self.sent(deployment), 1)

        self.play(scenario)

    def test_unknown_route_is_not_denied_by_old_routes(self):
        """A route or key may have been added that this instance has not heard of."""

        async def scenario(deployment):
            with mock.patch.object(RoutingView, "is_fresh", False):
                unknown = await deployment.call("/nowhere/1")
                self.assertEqual(unknown.status, 503)
                self.assertIsNotNone(unknown.headers.get("retry-after"))
                keyless = await deployment.call("/safe/1", authorization="Token x")
                self.assertEqual(keyless.status, 503)
                known = await deployment.call("/safe/1")
                self.assertEqual(known.status, 200)

        self.play(scenario)

    def test_failure_of_a_safe_request_is_tried_elsewhere(self):
        async def fail_once(request, responder):
            if len(requests) == 0:
                requests.append(request)
                await responder.send(Response(500, runner_headers(request), b"broken"))
                return
            await responder.send(Response(200, runner_headers(request), b"answer"))

        requests = []

        async def scenario(deployment):
            self.behave(deployment, fail_once)
            response = await deployment.call("/safe/1")
            self.assertEqual((response.status, response.body), (200, b"answer"))
            self.assertEqual(
                [len(item.requests) for item in deployment.runners], [1, 1]
            )

        self.play(scenario)

    def test_failure_of_an_unsafe_request_is_passed_on(self):
        async def fail(request, responder):
            await responder.send(Response(500, runner_headers(request), b"broken"))

        async def scenario(deployment):
            self.behave(deployment, fail)
            response = await deployment.call("/unsafe/1")
            self.assertEqual((response.status, response.body), (500, b"broken"))
            self.assertEqual(self.sent(deployment), 1)

        self.play(scenario)

    def test_request_that_did_not_run_is_refused_with_a_time(self):
        async def refuse(request, responder):
            headers = Headers((("x-not-executed", "1"),))
            await responder.send(Response(503, headers, b"full"))

        async def scenario(deployment):
            self.behave(deployment, refuse)
            response = await deployment.call("/unsafe/1")
            self.assertEqual(response.status, 503)
            self.assertEqual(json.loads(response.body)["execution"], "not-run")
            self.assertGreater(float(response.headers.get("retry-after")), 0)

        self.play(scenario)

    def test_lost_answer_of_an_unsafe_request_promises_nothing(self):
        async def lose(request, responder):
            """Close the connection without an answer."""

        async def scenario(deployment):
            self.behave(deployment, lose)
            response = await deployment.call("/unsafe/1")
            self.assertEqual(response.status, 502)
            self.assertIsNone(response.headers.get("retry-after"))
            self.assertEqual(self.sent(deployment), 1)

        self.play(scenario)

    def test_answer_to_another_request_is_not_passed_on(self):
        async def cross(request, responder):
            headers = Headers((("x-request-id", "id-9"), SEAL))
            await responder.send(Response(200, headers, b"secret"))

        async def scenario(deployment):
            self.behave(deployment, cross)
            response = await deployment.call("/unsafe/1")
            self.assertEqual(response.status, 502)
            self.assertNotIn(b"secret", response.body)

        self.play(scenario)

    def test_success_without_seal_is_not_passed_on(self):
        async def unsealed(request, responder):
            headers = Headers((("x-request-id", "id-1"),))
            await responder.send(Response(200, headers, b"wrong bytes"))

        async def scenario(deployment):
            self.behave(deployment, unsealed)
            self.assertEqual((await deployment.call("/unsafe/1")).status, 502)

        self.play(scenario)

    def test_silent_runner_is_given_up_at_the_timeout(self):
        async def wait(request, responder):
            await trio.sleep_forever()

        async def scenario(deployment):
            self.behave(deployment, wait)
            response = await deployment.call("/short/1")
            self.assertEqual(response.status, 504)

        self.play(scenario)

    def test_work_ends_when_the_caller_leaves(self):
        async def wait(request, responder):
            started.set()
            await trio.sleep_forever()

        started = trio.Event()

        async def scenario(deployment):
            self.behave(deployment, wait)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(deployment.call, "/unsafe/1")
                await started.wait()
                nursery.cancel_scope.cancel()
            while sum(runner.left for runner in deployment.runners) == 0:
                await trio.sleep(0.02)

        self.play(scenario)


class TestStreams(RoutedTestCase):
    """Events arrive whole, once and in order, or the answer is seen to be cut."""

    def breaking_after(self, count: int):
        """Return a behaviour that breaks after some events, once."""
        broken = []

        async def behaviour(request, responder):
            last = int(request.headers.get("last-event-id") or 0)
            await responder.start(200, runner_headers(request))
            if not broken:
                broken.append(request)
                await responder.write(b"".join(EVENTS[:count]) + EVENTS[count][:7])
                return
            await responder.write(b"".join(EVENTS[last:]))
            await responder.finish()

        return behaviour

    def test_whole_stream(self):
        async def stream(request, responder):
            await responder.start(200, runner_headers(request))
            for event in EVENTS:
                await responder.write(event[:5])
                await responder.write(event[5:])
            await responder.finish()

        async def scenario(deployment):
            self.behave(deployment, stream)
            for path in ("/stream/1", "/resumed/1"):
                response = await deployment.call(path)
                self.assertEqual(response.body, b"".join(EVENTS))
                self.assertEqual(response.headers.get("x-response-seal"), "seal")

        self.play(scenario)

    def test_broken_stream_goes_on_elsewhere(self):
        async def scenario(deployment):
            self.behave(deployment, self.breaking_after(2))
            response = await deployment.call("/resumed/1")
            self.assertEqual(response.body, b"".join(EVENTS))
            resumed = [
                item.headers.get("last-event-id")
                for runner in deployment.runners
                for item in runner.requests
            ]
            self.assertCountEqual(resumed, [None, "2"])

        self.play(scenario)

    def test_broken_stream_that_may_not_run_again_is_cut(self):
        async def scenario(deployment):
            self.behave(deployment, self.breaking_after(2))
            with self.assertRaises(ConnectionLost):
                await deployment.call("/stream/1")
            self.assertEqual(self.sent(deployment), 1)

        self.play(scenario)


class TestControl(RoutedTestCase):
    """Operators and runners at the control leader."""

    def test_configuration_is_read_back_as_sent(self):
        async def scenario(deployment):
            read = await deployment.control("GET", "config")
            self.assertEqual(json.loads(read.body), configuration())
            newer = configuration(5)
            newer["routes"] = newer["routes"][:1]
            put = await deployment.control("PUT", "config", newer)
            self.assertEqual(put.status, 200)
            self.assertEqual((await deployment.call("/unsafe/1")).status, 404)
            older = await deployment.control("PUT", "config", configuration(3))
            self.assertEqual(older.status, 200)
            read = await deployment.control("GET", "config")
            self.assertEqual(json.loads(read.body), newer)

        self.play(scenario)

    def test_invalid_configuration_changes_nothing(self):
        async def scenario(deployment):
            broken = configuration(9)
            broken["routes"][0]["service"] = "nobody"
            put = await deployment.control("PUT", "config", broken)
            self.assertEqual(put.status, 400)
            self.assertIn(b"shares", put.body)
            read = await deployment.control("GET", "config")
            self.assertEqual(json.loads(read.body), configuration())

        self.play(scenario)

    def test_leaving_runner_gets_no_new_requests(self):
        async def scenario(deployment):
            first, second = deployment.runners
            acknowledged = await deployment.register(first, "draining")
            self.assertEqual(acknowledged.status, 200)
            for _ in range(4):
                await deployment.call("/safe/1")
            self.assertEqual((len(first.requests), len(second.requests)), (0, 4))
            await deployment.control("DELETE", f"instances/{second.name}")
            await deployment.register(second)
            response = await deployment.call("/safe/1")
            self.assertEqual(response.status, 503)
            self.assertEqual(len(second.requests), 4)

        self.play(scenario)

    def test_unknown_calls(self):
        async def scenario(deployment):
            self.assertEqual((await deployment.control("GET", "nothing")).status, 404)
            state = await deployment.control("GET", "rollouts/desk")
            self.assertEqual(state.status, 404)
            put = await deployment.control("PUT", "instances/i-1", {"service": 1})
            self.assertEqual(put.status, 400)

        self.play(scenario)


class TestReadiness(RoutedTestCase):
    """The balancer's question."""

    def test_ready_until_the_shutdown(self):
        async def scenario(deployment):
            client = HttpClient(TIMEOUTS)
            request = deployment.request("/any")
            response = await client.send(deployment.listen.readiness, request)
            self.assertEqual(response.status, 200)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(deployment.daemon.shut_down)
                await trio.testing.wait_all_tasks_blocked()
                self.assertFalse(deployment.daemon.is_ready)

        self.play(scenario)
