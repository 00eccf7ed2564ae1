"""Calls through a routed daemon to runners that answer, fail or hang."""

import json
import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

import trio
import trio.testing

from sassafraspin.http import Headers, HttpClient, Request, Response
from sassafraspin.http.client_connection import ConnectionLost
from sassafraspin.routed.routing_view import RoutingView
from tests.routed_deployment import (
    SEAL,
    TIMEOUTS,
    RoutedDeployment,
    configuration,
    routed_deployment,
    runner_headers,
)

CONTROL_HEADERS = Headers((("host", "control"),))
EVENTS = [f"id: {number}\ndata: e{number}\n\n".encode() for number in range(1, 6)]


class RoutedTestCase(unittest.TestCase):
    """Runs a scenario against a deployment with two runners."""

    def run_scenario(
        self, scenario: Callable[[RoutedDeployment], Awaitable[None]]
    ) -> None:
        async def run() -> None:
            with trio.fail_after(60):
                async with routed_deployment() as deployment:
                    await scenario(deployment)

        trio.run(run)

    def set_behaviour(self, deployment: RoutedDeployment, behaviour) -> None:
        for runner in deployment.runners:
            runner.behaviour = behaviour

    def request_count(self, deployment: RoutedDeployment) -> int:
        return sum(len(runner.requests) for runner in deployment.runners)


class TestCalls(RoutedTestCase):
    """Responses to callers for each behaviour of the runners."""

    def test_answer_is_forwarded(self):
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

        self.run_scenario(scenario)

    def test_unknown_route_and_key_are_refused_without_a_runner(self):
        async def scenario(deployment):
            unknown = await deployment.call("/nowhere/1")
            self.assertEqual(unknown.status, 404)
            keyless = await deployment.call("/safe/1", authorization="Token x")
            self.assertEqual(keyless.status, 401)
            public = await deployment.call("/public/1", authorization="Token x")
            self.assertEqual(public.status, 200)
            self.assertEqual(self.request_count(deployment), 1)

        self.run_scenario(scenario)

    def test_unknown_route_and_key_are_retryable_with_stale_routes(self):
        """A stale routing table may lack a new route or API key: the status is 503."""

        async def scenario(deployment):
            with mock.patch.object(RoutingView, "is_fresh", False):
                unknown = await deployment.call("/nowhere/1")
                self.assertEqual(unknown.status, 503)
                self.assertIsNotNone(unknown.headers.get("retry-after"))
                keyless = await deployment.call("/safe/1", authorization="Token x")
                self.assertEqual(keyless.status, 503)
                known = await deployment.call("/safe/1")
                self.assertEqual(known.status, 200)

        self.run_scenario(scenario)

    def test_failed_safe_request_is_retried_on_another_runner(self):
        async def fail_once(request, responder):
            if len(requests) == 0:
                requests.append(request)
                await responder.send(Response(500, runner_headers(request), b"broken"))
                return
            await responder.send(Response(200, runner_headers(request), b"answer"))

        requests = []

        async def scenario(deployment):
            self.set_behaviour(deployment, fail_once)
            response = await deployment.call("/safe/1")
            self.assertEqual((response.status, response.body), (200, b"answer"))
            self.assertEqual(
                [len(item.requests) for item in deployment.runners], [1, 1]
            )

        self.run_scenario(scenario)

    def test_failure_of_an_unsafe_request_is_returned_without_retry(self):
        async def fail(request, responder):
            await responder.send(Response(500, runner_headers(request), b"broken"))

        async def scenario(deployment):
            self.set_behaviour(deployment, fail)
            response = await deployment.call("/unsafe/1")
            self.assertEqual((response.status, response.body), (500, b"broken"))
            self.assertEqual(self.request_count(deployment), 1)

        self.run_scenario(scenario)

    def test_request_that_did_not_run_gets_retry_after(self):
        async def refuse(request, responder):
            headers = Headers((("x-not-executed", "1"),))
            await responder.send(Response(503, headers, b"full"))

        async def scenario(deployment):
            self.set_behaviour(deployment, refuse)
            response = await deployment.call("/unsafe/1")
            self.assertEqual(response.status, 503)
            self.assertEqual(json.loads(response.body)["execution"], "not-run")
            self.assertGreater(float(response.headers.get("retry-after")), 0)

        self.run_scenario(scenario)

    def test_lost_answer_of_an_unsafe_request_has_no_retry_after(self):
        async def drop_connection(request, responder):
            """Close the connection without an answer."""

        async def scenario(deployment):
            self.set_behaviour(deployment, drop_connection)
            response = await deployment.call("/unsafe/1")
            self.assertEqual(response.status, 502)
            self.assertIsNone(response.headers.get("retry-after"))
            self.assertEqual(self.request_count(deployment), 1)

        self.run_scenario(scenario)

    def test_answer_to_another_request_is_not_forwarded(self):
        async def answer_other_request(request, responder):
            headers = Headers((("x-request-id", "id-9"), SEAL))
            await responder.send(Response(200, headers, b"secret"))

        async def scenario(deployment):
            self.set_behaviour(deployment, answer_other_request)
            response = await deployment.call("/unsafe/1")
            self.assertEqual(response.status, 502)
            self.assertNotIn(b"secret", response.body)

        self.run_scenario(scenario)

    def test_refusal_of_another_request_is_not_taken_for_this_one(self):
        async def refuse_other(request, responder):
            headers = Headers((("x-request-id", "other"), ("x-not-executed", "full")))
            await responder.send(Response(503, headers))

        async def scenario(deployment):
            self.set_behaviour(deployment, refuse_other)
            response = await deployment.call("/unsafe/1")
            self.assertEqual(response.status, 502)
            self.assertEqual(json.loads(response.body)["execution"], "unknown")

        self.run_scenario(scenario)

    def test_success_without_seal_is_not_forwarded(self):
        async def unsealed(request, responder):
            headers = Headers((("x-request-id", "id-1"),))
            await responder.send(Response(200, headers, b"wrong bytes"))

        async def scenario(deployment):
            self.set_behaviour(deployment, unsealed)
            self.assertEqual((await deployment.call("/unsafe/1")).status, 502)

        self.run_scenario(scenario)

    def test_call_to_a_hanging_runner_times_out(self):
        async def wait(request, responder):
            await trio.sleep_forever()

        async def scenario(deployment):
            self.set_behaviour(deployment, wait)
            response = await deployment.call("/short/1")
            self.assertEqual(response.status, 504)

        self.run_scenario(scenario)

    def test_runner_request_is_cancelled_when_the_caller_disconnects(self):
        async def wait(request, responder):
            started.set()
            await trio.sleep_forever()

        started = trio.Event()

        async def scenario(deployment):
            self.set_behaviour(deployment, wait)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(deployment.call, "/unsafe/1")
                await started.wait()
                nursery.cancel_scope.cancel()
            while sum(runner.cancelled_requests for runner in deployment.runners) == 0:
                await trio.sleep(0.02)

        self.run_scenario(scenario)


class TestStreams(RoutedTestCase):
    """Events arrive complete, once and in order, or the response is aborted."""

    def breaks_after(self, count: int):
        """Return a behaviour that drops the connection once, after ``count`` events."""
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

    def test_complete_stream(self):
        async def stream(request, responder):
            await responder.start(200, runner_headers(request))
            for event in EVENTS:
                await responder.write(event[:5])
                await responder.write(event[5:])
            await responder.finish()

        async def scenario(deployment):
            self.set_behaviour(deployment, stream)
            for path in ("/stream/1", "/resumed/1"):
                response = await deployment.call(path)
                self.assertEqual(response.body, b"".join(EVENTS))
                self.assertEqual(response.headers.get("x-response-seal"), "seal")

        self.run_scenario(scenario)

    def test_broken_stream_is_resumed_on_another_runner(self):
        async def scenario(deployment):
            self.set_behaviour(deployment, self.breaks_after(2))
            response = await deployment.call("/resumed/1")
            self.assertEqual(response.body, b"".join(EVENTS))
            resumed = [
                item.headers.get("last-event-id")
                for runner in deployment.runners
                for item in runner.requests
            ]
            self.assertCountEqual(resumed, [None, "2"])

        self.run_scenario(scenario)

    def test_broken_stream_that_is_not_resumable_is_aborted(self):
        async def scenario(deployment):
            self.set_behaviour(deployment, self.breaks_after(2))
            with self.assertRaises(ConnectionLost):
                await deployment.call("/stream/1")
            self.assertEqual(self.request_count(deployment), 1)

        self.run_scenario(scenario)


class TestControl(RoutedTestCase):
    """Control requests of operators and runners."""

    def test_highest_configuration_is_read_back_as_sent(self):
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

        self.run_scenario(scenario)

    def test_invalid_configuration_changes_nothing(self):
        async def scenario(deployment):
            broken = configuration(9)
            broken["routes"][0]["service"] = "nobody"
            put = await deployment.control("PUT", "config", broken)
            self.assertEqual(put.status, 400)
            self.assertIn(b"shares", put.body)
            read = await deployment.control("GET", "config")
            self.assertEqual(json.loads(read.body), configuration())

        self.run_scenario(scenario)

    def test_draining_runner_gets_no_new_requests(self):
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

        self.run_scenario(scenario)

    def test_unknown_paths_and_invalid_registration_are_refused(self):
        async def scenario(deployment):
            self.assertEqual((await deployment.control("GET", "nothing")).status, 404)
            state = await deployment.control("GET", "rollouts/desk")
            self.assertEqual(state.status, 404)
            put = await deployment.control("PUT", "instances/i-1", {"service": 1})
            self.assertEqual(put.status, 400)

        self.run_scenario(scenario)

    def test_deeply_nested_document_is_refused(self):
        """Such a document must not end the daemon."""
        body = b'{"unknown":' + b"[" * 100_000

        async def scenario(deployment):
            for method, path in (
                ("PUT", "config"),
                ("PUT", "instances/i-9"),
                ("POST", "rollouts"),
            ):
                request = Request(
                    method, f"/sassafraspin/{path}", CONTROL_HEADERS, body
                )
                response = await deployment.client.send(
                    deployment.listen.control, request
                )
                self.assertEqual(response.status, 400, path)
            response = await deployment.call("/safe/1")
            self.assertEqual(response.status, 200)

        self.run_scenario(scenario)


class TestReadiness(RoutedTestCase):
    """Readiness endpoint for the load balancer."""

    def test_ready_until_shutdown(self):
        async def scenario(deployment):
            client = HttpClient(TIMEOUTS)
            request = deployment.request("/any")
            response = await client.send(deployment.listen.readiness, request)
            self.assertEqual(response.status, 200)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(deployment.daemon.shut_down)
                await trio.testing.wait_all_tasks_blocked()
                self.assertFalse(deployment.daemon.is_ready)

        self.run_scenario(scenario)
