"""Answers whose connection to the engine is closed or stops delivering data."""

import json
import tempfile
import unittest
from pathlib import Path

import msgspec
import trio
import trio.testing

from sassafraspin.daemon import Daemon
from sassafraspin.http import ClientTimeouts, Headers, HttpClient, Request
from sassafraspin.loopback import free_ports
from sassafraspin.profiles import Profile
from sassafraspin.settings import Address, load_settings
from sassafraspin.standins import AnnouncerSettings, EngineServer, EngineSettings
from tests.deployment import (
    BACKEND_TOKEN,
    CALLER_TOKEN,
    OPERATOR_TOKEN,
    Deployment,
)
from tests.pool_model import announcement

HOST = "127.0.0.1"
TOKENS = 30


class FaultyProxy:
    """TCP proxy between an entry instance and an engine, with injected faults.

    Parameters
    ----------
    engine : int
        Port of the engine.
    failing_connections : int
        Number of connections that fail, counted from the first.
    silent : bool
        Whether a failing connection stays open without forwarding data, instead of
        being closed.
    stops_listening : bool
        Whether the proxy refuses new connections after a failure.
    """

    def __init__(
        self, engine: int, failing_connections: int, silent: bool, stops_listening: bool
    ) -> None:
        [self.port] = free_ports(1)
        self._engine_port = engine
        self._failing_connections = failing_connections
        self._silent = silent
        self._stops_listening = stops_listening
        self._accept_scope = trio.CancelScope()
        self.bytes_before_failure = 1500

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Accept connections until cancelled."""
        listeners = await trio.open_tcp_listeners(self.port, host=HOST)
        async with trio.open_nursery() as nursery:
            task_status.started()
            with self._accept_scope:
                await trio.serve_listeners(
                    self._serve, listeners, handler_nursery=nursery
                )
            for listener in listeners:
                await listener.aclose()

    async def _serve(self, caller: trio.SocketStream) -> None:
        engine = await trio.open_tcp_stream(HOST, self._engine_port)
        fails = self._failing_connections > 0
        self._failing_connections -= 1
        async with trio.open_nursery() as nursery, caller, engine:
            nursery.start_soon(self._forward, caller, engine, None)
            limit = self.bytes_before_failure if fails else None
            await self._forward(engine, caller, limit)
            nursery.cancel_scope.cancel()

    async def _forward(self, source, target, limit: int | None) -> None:
        forwarded = 0
        try:
            while data := await source.receive_some(256):
                forwarded += len(data)
                if limit is not None and forwarded > limit:
                    if self._silent:
                        await trio.sleep_forever()
                    if self._stops_listening:
                        self._accept_scope.cancel()
                        await trio.testing.wait_all_tasks_blocked(0.05)
                    return
                await target.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return


class TestStreams(unittest.TestCase):
    """A caller receives the complete answer or an explicit error."""

    streamed = True
    idempotent = False
    executions = 1

    def request_complete(self, idempotent: bool) -> bytes:
        """Return the unstreamed answer when the first server closes its connection."""
        self.streamed = False
        self.idempotent = idempotent
        self.executions = 2 if idempotent else 1
        return self.request_stream(failing_connections=1, stops_listening=True)

    def request_stream(
        self,
        failing_connections: int,
        silent: bool = False,
        stops_listening: bool = False,
    ) -> bytes:
        """Return the data a caller receives when connections to the engine fail."""
        with tempfile.TemporaryDirectory() as folder:
            return trio.run(
                self._run_request,
                Path(folder),
                failing_connections,
                silent,
                stops_listening,
            )

    async def _run_request(
        self,
        folder: Path,
        failing_connections: int,
        silent: bool,
        stops_listening: bool,
    ) -> bytes:
        deployment = Deployment.create(
            folder, dispatch={"progress_timeout_ms": 400}, readiness_grace_ms=0
        )
        instance = deployment.instances[0]
        settings = load_settings(instance.file).ok
        [engine_port] = free_ports(1)
        faulty_proxy = FaultyProxy(
            engine_port, failing_connections, silent, stops_listening
        )
        faulty_proxy.bytes_before_failure = 1500 if self.streamed else 0
        spare_proxy = FaultyProxy(engine_port, 0, False, False)
        self.client = HttpClient(ClientTimeouts())
        self.operators = Address(HOST, instance.operators_port)
        async with trio.open_nursery() as nursery:
            daemon = Daemon(settings, folder, 1)
            await nursery.start(daemon.run)
            await nursery.start(faulty_proxy.run)
            await nursery.start(spare_proxy.run)
            engine = EngineServer(_engine_settings(engine_port))
            await nursery.start(engine.run)
            while not daemon.status().pools:
                await trio.sleep(0.02)
            await self._put_profile()
            await self._announce(faulty_proxy.port, 1)
            await self._announce(spare_proxy.port, 2)
            received = await self._send_call(Address(HOST, instance.callers_port))
            self.assertEqual(engine.executions.count().executions, self.executions)
            nursery.cancel_scope.cancel()
        self.client.close()
        return received

    async def _put_profile(self) -> None:
        profile = Profile(
            "quick-question",
            1,
            "sorter-model",
            0,
            20_000,
            TOKENS,
            idempotent=self.idempotent,
        )
        headers = _headers(OPERATOR_TOKEN)
        target = "/v1/profiles/quick-question"
        request = Request("PUT", target, headers, msgspec.json.encode(profile))
        response = await self.client.send(self.operators, request)
        self.assertEqual(response.status, 200, response.body)

    async def _announce(self, port: int, number: int) -> None:
        """Announce the engine once per proxy, under different identifiers.

        The first has the higher decode rate, so the dispatcher prefers it.
        """
        announced = announcement(
            number,
            service="sorter-model",
            address=Address(HOST, port),
            decode_tokens_per_second=100.0 / number,
        )
        body = msgspec.json.encode(announced)
        headers = _headers(BACKEND_TOKEN)
        request = Request("POST", "/v1/backend-servers", headers, body)
        response = await self.client.send(self.operators, request)
        self.assertEqual(response.status, 202, response.body)

    async def _send_call(self, callers: Address) -> bytes:
        body = {"messages": [{"role": "user", "content": "lot 7?"}]}
        body["stream"] = self.streamed
        body["max_tokens"] = TOKENS
        request = Request(
            "POST",
            "/v1/chat/completions",
            _headers(CALLER_TOKEN),
            json.dumps(body).encode(),
        )
        received = b""
        async with self.client.open(callers, request) as response:
            try:
                async for chunk in response.chunks():
                    received += chunk
            except Exception as error:  # noqa: BLE001
                received += type(error).__name__.encode()
        return received

    def assert_complete_stream(self, received: bytes) -> None:
        data = [
            line.removeprefix(b"data: ")
            for line in received.split(b"\n")
            if line.startswith(b"data: ")
        ]
        self.assertEqual(data[-1], b"[DONE]")
        contents = [
            json.loads(item)["choices"][0]["delta"]["content"].strip()
            for item in data[:-1]
        ]
        numbers = [int(word.partition(".")[2]) for word in contents]
        self.assertEqual(numbers, list(range(TOKENS)))

    def test_without_fault(self):
        self.assert_complete_stream(self.request_stream(failing_connections=0))

    def test_cut_connection_is_resumed(self):
        self.assert_complete_stream(self.request_stream(failing_connections=1))

    def test_two_cuts_are_resumed(self):
        self.assert_complete_stream(self.request_stream(failing_connections=2))

    def test_silent_connection_is_resumed(self):
        self.assert_complete_stream(
            self.request_stream(failing_connections=1, silent=True)
        )

    def test_unreachable_engine_does_not_cause_a_second_execution(self):
        received = self.request_stream(failing_connections=1, stops_listening=True)
        self.assertIn(b'"execution":"unknown"', received)
        self.assertTrue(received.endswith(b"ConnectionLost"), received[-200:])

    def test_idempotent_call_is_retried_on_another_server(self):
        body = self.request_complete(idempotent=True)
        self.assertEqual(len(json.loads(body)["choices"]), 1)

    def test_non_idempotent_call_is_not_retried(self):
        body = self.request_complete(idempotent=False)
        self.assertEqual(json.loads(body)["execution"], "unknown")

    def test_lost_stream_is_reported_to_the_caller(self):
        received = self.request_stream(failing_connections=9)
        self.assertNotIn(b"[DONE]", received)
        self.assertIn(b'"execution":"unknown"', received)
        self.assertTrue(received.endswith(b"ConnectionLost"), received[-200:])


def _engine_settings(port: int) -> EngineSettings:
    [unused_port] = free_ports(1)
    return EngineSettings(
        id="runner-1",
        service="sorter-model",
        listen=Address(HOST, port),
        availability_zone="marmara-1",
        announcer=AnnouncerSettings((Address(HOST, unused_port),), BACKEND_TOKEN),
        decode_tokens_per_second=500.0,
    )


def _headers(token: str) -> Headers:
    return Headers(
        (
            ("host", "test"),
            ("authorization", f"Bearer {token}"),
            ("content-type", "application/json"),
        )
    )
