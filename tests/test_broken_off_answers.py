"""Answers of backend servers that end with their connection, complete or not."""

import unittest
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from unittest import mock

import trio

from sassafraspin.http import BodyFraming, ConnectionLost
from sassafraspin.telemetry.events import TryEnded
from tests.routed_deployment import FakeRunner, RoutedDeployment, routed_deployment
from tests.scripted_server import CHUNKED, Ending, Script, ScriptedServer, chunk

GUARD_SECONDS = 60.0

IDENTITY = b"x-request-id: id-1\r\nx-response-seal: seal\r\n"
SUCCESS = b"HTTP/1.1 200 OK\r\n" + IDENTITY
FAILURE = b"HTTP/1.1 500 Failed\r\n" + IDENTITY
LAST_CHUNK = b"0\r\n\r\n"
UNFRAMED = b"\r\n"
EVENTS = [b"id: %d\ndata: e%d\n\n" % (number, number) for number in range(1, 6)]


@dataclass(frozen=True)
class Received:
    """What a caller got: status, framing, the body, and whether its end was broken."""

    status: int
    framing: BodyFraming
    body: bytes
    is_broken: bool


async def receive(
    deployment: RoutedDeployment, path: str, has_begun: trio.Event | None = None
) -> Received:
    """Send a call and read its answer as far as it goes; report its first bytes."""
    body = b""
    is_broken = False
    request = deployment.request(path)
    async with deployment.client.open(deployment.listen.callers, request) as response:
        try:
            async for data in response.chunks():
                body += data
                if has_begun is not None:
                    has_begun.set()
        except ConnectionLost:
            is_broken = True
        return Received(response.status, response.framing, body, is_broken)


class ScriptedTestCase(unittest.TestCase):
    """Calls through a routed daemon to two servers that follow one list of scripts.

    Tasks in the nursery ``callers`` go on until the daemon has stopped.
    """

    def run_scenario(
        self,
        scripts: Sequence[Script],
        scenario: Callable[[RoutedDeployment, ScriptedServer], Awaitable[None]],
    ) -> None:
        async def run() -> None:
            server = ScriptedServer(scripts, port_count=2)
            with trio.fail_after(GUARD_SECONDS):
                async with trio.open_nursery() as servers:
                    await servers.start(server.run)
                    await run_daemon(server)
                    servers.cancel_scope.cancel()

        async def run_daemon(server: ScriptedServer) -> None:
            async with (
                trio.open_nursery() as self.callers,
                routed_deployment(runners=0) as deployment,
            ):
                for number, address in enumerate(server.addresses):
                    await deployment.register(FakeRunner(f"i-{number}", address))
                await scenario(deployment, server)

        with mock.patch("sassafraspin.routed.exchange.log_event") as log:
            trio.run(run)
        self.tries = [call.args[0] for call in log.call_args_list]

    def receive(self, path: str, *scripts: Script) -> Received:
        """Return what a caller gets when the servers follow the scripts."""
        received = []

        async def scenario(deployment, server):
            received.append(await receive(deployment, path))
            self.requests = server.requests

        self.run_scenario(scripts, scenario)
        return received[0]


class TestLoggedFraming(ScriptedTestCase):
    """The log tells how a server declared the end of its answer."""

    def check_logged(self, head_and_body: bytes, framing: BodyFraming) -> None:
        async def scenario(deployment, server):
            await deployment.call("/stream/1")

        self.run_scenario([Script(SUCCESS + head_and_body)], scenario)
        [ended] = self.tries
        self.assertIsInstance(ended, TryEnded)
        self.assertEqual(ended.framing, framing.value)

    def test_chunked(self):
        body = chunk(EVENTS[0]) + LAST_CHUNK
        self.check_logged(CHUNKED + body, BodyFraming.CHUNKED)

    def test_length(self):
        length = b"content-length: %d\r\n\r\n" % len(EVENTS[0])
        self.check_logged(length + EVENTS[0], BodyFraming.LENGTH)

    def test_connection(self):
        self.check_logged(UNFRAMED + EVENTS[0], BodyFraming.CONNECTION)


class TestStreamsWithoutDeclaredEnd(ScriptedTestCase):
    """Streams that end with their connection claim no more than their server did."""

    def test_stream_that_may_be_short_is_not_framed_as_complete(self):
        script = Script(SUCCESS + UNFRAMED + b"".join(EVENTS[:3]))
        expected = Received(200, BodyFraming.CONNECTION, b"".join(EVENTS[:3]), False)
        for path in ("/stream/1", "/resumed/1"):
            self.assertEqual(self.receive(path, script), expected, path)

    def test_stream_of_an_http_1_0_server_is_not_framed_as_complete(self):
        head = SUCCESS.replace(b"HTTP/1.1", b"HTTP/1.0")
        received = self.receive("/stream/1", Script(head + UNFRAMED + EVENTS[0]))
        expected = Received(200, BodyFraming.CONNECTION, EVENTS[0], False)
        self.assertEqual(received, expected)

    def test_reset_stream_is_broken_for_the_caller(self):
        data = SUCCESS + UNFRAMED + b"".join(EVENTS[:3])
        received = self.receive("/stream/1", Script(data, Ending.RESET))
        self.assertTrue(received.is_broken)

    def test_stream_that_ends_inside_an_event_is_broken_for_the_caller(self):
        for framing in (UNFRAMED, CHUNKED):
            body = EVENTS[0] + EVENTS[1][:9]
            if framing == CHUNKED:
                body = chunk(body) + LAST_CHUNK
            received = self.receive("/stream/1", Script(SUCCESS + framing + body))
            self.assertTrue(received.is_broken, framing)
            self.assertEqual(self.tries[-1].end, "failed", framing)

    def test_stream_that_ends_inside_an_event_is_resumed(self):
        received = self.receive(
            "/resumed/1",
            Script(SUCCESS + UNFRAMED + b"".join(EVENTS[:2]) + EVENTS[2][:9]),
            Script(SUCCESS + CHUNKED + chunk(b"".join(EVENTS[2:])) + LAST_CHUNK),
        )
        self.assertEqual((received.body, received.is_broken), (b"".join(EVENTS), False))
        self.assertIn(b"last-event-id: 2", self.requests[1].lower())

    def test_stream_that_ends_before_its_first_event_is_lost(self):
        received = self.receive("/stream/1", Script(SUCCESS + UNFRAMED))
        self.assertEqual(received.status, 502)

    def test_stream_that_ends_before_its_first_event_is_retried(self):
        whole = chunk(b"".join(EVENTS)) + LAST_CHUNK
        received = self.receive(
            "/resumed/1",
            Script(SUCCESS + UNFRAMED),
            Script(SUCCESS + CHUNKED + whole),
        )
        self.assertEqual((received.status, received.body), (200, b"".join(EVENTS)))

    def test_framed_stream_that_goes_on_unframed_is_not_completed(self):
        broken = Script(SUCCESS + CHUNKED + chunk(EVENTS[0]), Ending.RESET)
        resumed = Script(SUCCESS + UNFRAMED + b"".join(EVENTS[1:4]))
        received = self.receive("/resumed/1", broken, resumed)
        self.assertEqual(received.body, b"".join(EVENTS[:4]))
        self.assertTrue(received.is_broken)

    def test_unframed_stream_that_goes_on_framed_is_complete(self):
        broken = Script(SUCCESS + UNFRAMED + EVENTS[0], Ending.RESET)
        whole = chunk(b"".join(EVENTS[1:])) + LAST_CHUNK
        received = self.receive("/resumed/1", broken, Script(SUCCESS + CHUNKED + whole))
        self.assertEqual((received.body, received.is_broken), (b"".join(EVENTS), False))

    def test_events_with_other_line_ends_are_whole(self):
        for line_end in (b"\r\n", b"\r"):
            events = b"".join(EVENTS).replace(b"\n", line_end)
            for path in ("/stream/1", "/resumed/1"):
                script = Script(SUCCESS + UNFRAMED + events)
                expected = Received(200, BodyFraming.CONNECTION, events, False)
                self.assertEqual(self.receive(path, script), expected, path)


class TestOtherAnswersAfterAStream(ScriptedTestCase):
    """What the next server answers after a stream broke off, if no events follow."""

    first_head = b"content-type: text/event-stream\r\n"

    def receive_after_stream(self, framing: bytes, answer: Script) -> Received:
        """Return what a caller gets if another answer follows the first event."""
        event = chunk(EVENTS[0]) if framing == CHUNKED else EVENTS[0]
        broken = Script(SUCCESS + self.first_head + framing + event, Ending.RESET)
        return self.receive("/resumed/1", broken, answer)

    def assert_unchanged(self, answer: bytes) -> None:
        """Check that nothing of an answer reaches the caller, and no end does."""
        for framing in (CHUNKED, UNFRAMED):
            with self.subTest(framing=framing, answer=answer[:90]):
                received = self.receive_after_stream(framing, Script(answer))
                self.assertEqual(received.body, EVENTS[0])
                self.assertTrue(received.is_broken)

    def test_errors(self):
        body = b"content-length: 6\r\n\r\nfailed"
        for status in (b"500 Failed", b"502 Bad", b"503 Busy", b"404 Gone"):
            head = b"HTTP/1.1 " + status + b"\r\n" + IDENTITY
            self.assert_unchanged(head + body)
            self.assert_unchanged(head + b"x-not-executed: 1\r\n" + body)

    def test_head_without_end(self):
        self.assert_unchanged(SUCCESS + b"content-type: text/ev")

    def test_document_of_another_media_type(self):
        document = b'{"error": "none"}'
        for framing in (
            b"content-length: %d\r\n\r\n" % len(document) + document,
            CHUNKED + chunk(document) + LAST_CHUNK,
            UNFRAMED + document,
        ):
            head = SUCCESS + b"content-type: application/json\r\n"
            self.assert_unchanged(head + framing)

    def test_document_that_breaks_off_is_not_followed_by_a_stream(self):
        document = Script(
            SUCCESS + b"content-type: application/json\r\n" + CHUNKED + chunk(b"{"),
            Ending.RESET,
        )
        whole = chunk(b"".join(EVENTS)) + LAST_CHUNK
        stream = Script(SUCCESS + self.first_head + CHUNKED + whole)
        received = self.receive("/resumed/1", document, stream)
        self.assertEqual((received.body, received.is_broken), (b"{", True))

    def test_events_of_the_same_media_type_follow(self):
        rest = chunk(b"".join(EVENTS[1:])) + LAST_CHUNK
        for content_type in (b"text/event-stream; charset=utf-8", b"Text/Event-Stream"):
            head = SUCCESS + b"content-type: " + content_type + b"\r\n" + CHUNKED
            received = self.receive_after_stream(CHUNKED, Script(head + rest))
            expected = (b"".join(EVENTS), False)
            self.assertEqual((received.body, received.is_broken), expected)


class TestCutHeads(ScriptedTestCase):
    """A server that stops in the middle of the head of its answer."""

    def test_no_head_that_is_cut_looks_like_an_answer(self):
        heads = (
            SUCCESS + b"content-length: 6\r\n\r\n",
            SUCCESS + b"content-type: text/event-stream\r\n" + CHUNKED,
        )
        for head in heads:
            for ending in (Ending.CLOSED, Ending.RESET):
                scripts = [Script(head[:end], ending) for end in range(1, len(head), 3)]
                with self.subTest(head=head, ending=ending):
                    self.assert_not_answered(scripts)

    def assert_not_answered(self, scripts: list[Script]) -> None:
        """Check that no call is answered with a success, whatever its route."""

        async def scenario(deployment, server):
            for number in range(len(scripts)):
                path = ("/unsafe/1", "/stream/1")[number % 2]
                received.append(await receive(deployment, path))

        received: list[Received] = []
        self.run_scenario(scripts, scenario)
        for answer in received:
            self.assertIn(answer.status, (502, 503))


class TestAnswersWithoutDeclaredEnd(ScriptedTestCase):
    """Plain answers that end with their connection are not given a length."""

    def test_success_that_may_be_short_is_not_given_a_length(self):
        received = self.receive("/safe/1", Script(SUCCESS + UNFRAMED + b"answer"))
        expected = Received(200, BodyFraming.CONNECTION, b"answer", False)
        self.assertEqual(received, expected)

    def test_failure_that_may_be_short_is_not_given_a_length(self):
        received = self.receive("/unsafe/1", Script(FAILURE + UNFRAMED + b"failed"))
        expected = Received(500, BodyFraming.CONNECTION, b"failed", False)
        self.assertEqual(received, expected)

    def test_reset_answer_is_lost(self):
        script = Script(SUCCESS + UNFRAMED + b"answer", Ending.RESET)
        self.assertEqual(self.receive("/unsafe/1", script).status, 502)


class TestBrokenOffConnections(ScriptedTestCase):
    """The log tells whether the server ended the connection of a lost answer."""

    def check_broken_off(
        self, expected: tuple[str, bool], data: bytes, ending: Ending
    ) -> None:
        self.receive("/stream/1", Script(data, ending))
        self.assertEqual((self.tries[-1].end, self.tries[-1].broken_off), expected)

    def test_connection_that_ends_early(self):
        for data in (b"", SUCCESS[:9], SUCCESS + CHUNKED + chunk(EVENTS[0])):
            for ending in (Ending.CLOSED, Ending.RESET):
                self.check_broken_off(("failed", True), data, ending)

    def test_stream_without_declared_end_that_ends_inside_an_event(self):
        data = SUCCESS + UNFRAMED + EVENTS[0][:9]
        self.check_broken_off(("failed", True), data, Ending.CLOSED)

    def test_invalid_answer(self):
        for data in (b"no HTTP\r\n\r\n", b"HTTP/1.1 200 OK\r\n\r\n"):
            self.check_broken_off(("failed", False), data, Ending.OPEN)

    def test_complete_answer(self):
        data = SUCCESS + CHUNKED + chunk(EVENTS[0]) + LAST_CHUNK
        self.check_broken_off(("answered", False), data, Ending.CLOSED)


class TestEncodedAnswers(ScriptedTestCase):
    """A caller that asked for no encoding does not get an encoded body."""

    def test_encoded_answer_is_lost(self):
        body = b"content-encoding: gzip\r\ncontent-length: 6\r\n\r\nanswer"
        for path in ("/unsafe/1", "/stream/1"):
            received = self.receive(path, Script(SUCCESS + body))
            self.assertEqual(received.status, 502, path)

    def test_safe_call_with_an_encoded_answer_is_retried(self):
        encoded = b"content-encoding: br\r\ncontent-length: 6\r\n\r\nencode"
        plain = b"content-encoding: identity\r\ncontent-length: 6\r\n\r\nanswer"
        received = self.receive(
            "/safe/1", Script(SUCCESS + encoded), Script(SUCCESS + plain)
        )
        self.assertEqual((received.status, received.body), (200, b"answer"))


class TestEndOfTheEntryInstance(ScriptedTestCase):
    """An answer that we broke off ourselves does not look complete."""

    def test_stopped_instance_resets_an_unframed_answer(self):
        script = Script(SUCCESS + UNFRAMED + EVENTS[0], Ending.OPEN)
        received = []

        async def scenario(deployment, server):
            self.callers.start_soon(collect, deployment)
            await has_begun.wait()

        async def collect(deployment):
            answer = await receive(deployment, "/stream/1", has_begun)
            received.append(answer)

        has_begun = trio.Event()
        self.run_scenario([script], scenario)
        self.assertEqual(received[0].framing, BodyFraming.CONNECTION)
        self.assertTrue(received[0].is_broken)

    def test_caller_of_http_1_0_sees_that_a_framed_stream_was_broken_off(self):
        script = Script(SUCCESS + CHUNKED + chunk(EVENTS[0]), Ending.RESET)

        async def scenario(deployment, server):
            address = deployment.listen.callers
            stream = await trio.open_tcp_stream(address.host, address.port)
            await stream.send_all(
                b"POST /stream/1 HTTP/1.0\r\nhost: mill.example\r\n"
                b"x-request-id: id-1\r\nauthorization: Token key\r\n"
                b"content-length: 0\r\n\r\n"
            )
            with self.assertRaises(trio.BrokenResourceError):
                while await stream.receive_some(4096):
                    pass

        self.run_scenario([script], scenario)
