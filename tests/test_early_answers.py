"""Answers that backend servers begin before they have read the whole request."""

import enum
from dataclasses import dataclass, replace

import trio

from sassafraspin.http import BodyFraming, ConnectionLost
from tests.routed_deployment import FakeRunner, RoutedDeployment, routed_deployment
from tests.scripted_server import CHUNKED, Ending, Script, ScriptedServer, chunk, reset
from tests.test_broken_off_answers import (
    EVENTS,
    GUARD_SECONDS,
    IDENTITY,
    LAST_CHUNK,
    SUCCESS,
    UNFRAMED,
    Received,
    ScriptedTestCase,
)

UPLOAD_SIZES = (20_000, 3_000_000)
"""One that fits into the buffers of the operating system, and one that does not."""

PATHS = ("/safe/1", "/unsafe/1", "/stream/1", "/resumed/1")
PAUSE_SECONDS = 0.05


class EarlyEnding(enum.Enum):
    """What a server does after an answer to a request that it has not read."""

    RESET = "reset"
    CLOSED = "closed"
    HALF_CLOSED_THEN_RESET = "half-closed, then reset"
    LINGERING = "half-closed, and reads on"


@dataclass
class EarlyServer(ScriptedServer):
    """Sends its answer after the head of a request, without reading the body."""

    ending: EarlyEnding = EarlyEnding.RESET

    async def _serve(self, stream: trio.SocketStream) -> None:
        received = b""
        while b"\r\n\r\n" not in received:
            received += await stream.receive_some(1024)
        number = min(len(self.requests), len(self.scripts) - 1)
        self.requests.append(received.partition(b"\r\n\r\n")[0])
        await stream.send_all(self.scripts[number].data)
        await trio.sleep(PAUSE_SECONDS)
        match self.ending:
            case EarlyEnding.RESET:
                reset(stream)
            case EarlyEnding.CLOSED:
                await stream.aclose()
            case EarlyEnding.HALF_CLOSED_THEN_RESET:
                await stream.send_eof()
                reset(stream)
            case EarlyEnding.LINGERING:
                await stream.send_eof()
                while await stream.receive_some(65_536):
                    pass


async def upload(
    deployment: RoutedDeployment, path: str, size: int, expects: bool = False
) -> Received:
    """Send a long body and read the answer as far as it goes."""
    headers = {"expect": "100-continue"} if expects else {}
    request = deployment.request(path, **headers)
    request = replace(request, body=b"x" * size)
    body = b""
    is_broken = False
    async with deployment.client.open(deployment.listen.callers, request) as response:
        try:
            async for data in response.chunks():
                body += data
        except ConnectionLost:
            is_broken = True
        return Received(response.status, response.framing, body, is_broken)


class TestEarlyAnswers(ScriptedTestCase):
    """Part of an answer never looks complete to the caller."""

    def upload(
        self,
        path: str,
        size: int,
        ending: EarlyEnding,
        *data: bytes,
        expects: bool = False,
    ) -> Received:
        async def run() -> Received:
            scripts = [Script(item) for item in data]
            server = EarlyServer(scripts, port_count=2, ending=ending)
            with trio.fail_after(GUARD_SECONDS):
                async with trio.open_nursery() as servers:
                    await servers.start(server.run)
                    async with routed_deployment(runners=0) as deployment:
                        for number, address in enumerate(server.addresses):
                            await deployment.register(
                                FakeRunner(f"i-{number}", address)
                            )
                        received = await upload(deployment, path, size, expects)
                    servers.cancel_scope.cancel()
            return received

        return trio.run(run)

    def check_part_is_not_complete(self, ending: EarlyEnding, **options) -> None:
        part = SUCCESS + UNFRAMED + b"".join(EVENTS[:2])
        for path in PATHS:
            for size in UPLOAD_SIZES:
                with self.subTest(path=path, size=size):
                    received = self.upload(path, size, ending, part, **options)
                    is_success = 200 <= received.status < 300
                    self.assertTrue(not is_success or received.is_broken, received)

    def test_reset(self):
        self.check_part_is_not_complete(EarlyEnding.RESET)

    def test_close_with_unread_bytes(self):
        """The operating system resets such a connection."""
        self.check_part_is_not_complete(EarlyEnding.CLOSED)

    def test_reset_after_the_end_of_the_answer(self):
        self.check_part_is_not_complete(EarlyEnding.HALF_CLOSED_THEN_RESET)

    def test_reset_of_a_request_with_expectation(self):
        self.check_part_is_not_complete(EarlyEnding.RESET, expects=True)

    def test_answer_that_ends_in_order_is_not_framed_as_complete(self):
        """A server may end its answer and read the rest of the request afterwards."""
        body = b"".join(EVENTS)
        for path in PATHS:
            with self.subTest(path=path):
                received = self.upload(
                    path, 600_000, EarlyEnding.LINGERING, SUCCESS + UNFRAMED + body
                )
                expected = Received(200, BodyFraming.CONNECTION, body, False)
                self.assertEqual(received, expected)

    def test_stream_that_was_reset_goes_on_at_another_server(self):
        whole = SUCCESS + CHUNKED + chunk(b"".join(EVENTS[2:])) + LAST_CHUNK
        part = SUCCESS + UNFRAMED + b"".join(EVENTS[:2])
        received = self.upload("/resumed/1", 20_000, EarlyEnding.RESET, part, whole)
        self.assertEqual(received.body, b"".join(EVENTS))

    def test_declared_answer_that_ends_in_order_is_delivered(self):
        body = chunk(b"".join(EVENTS)) + LAST_CHUNK
        received = self.upload(
            "/stream/1", 600_000, EarlyEnding.LINGERING, SUCCESS + CHUNKED + body
        )
        self.assertEqual((received.status, received.is_broken), (200, False))
        self.assertEqual(received.body, b"".join(EVENTS))

    def test_short_declared_answer_is_broken(self):
        head = SUCCESS + b"content-length: 1000\r\n\r\n"
        for path in ("/unsafe/1", "/resumed/1"):
            for ending in EarlyEnding:
                with self.subTest(path=path, ending=ending):
                    received = self.upload(path, 600_000, ending, head + EVENTS[0])
                    is_success = 200 <= received.status < 300
                    self.assertTrue(not is_success or received.is_broken, received)


class TestStatuses(ScriptedTestCase):
    """Only statuses of RFC 9110, section 15, are passed on."""

    def check_lost(self, *answers: bytes) -> None:
        for answer in answers:
            for path in PATHS:
                with self.subTest(answer=answer, path=path):
                    received = self.receive(path, Script(answer, Ending.CLOSED))
                    self.assertEqual(received.status, 502)

    def test_statuses_that_do_not_exist(self):
        end = IDENTITY + b"content-length: 4\r\n\r\nbody"
        self.check_lost(
            *(
                b"HTTP/1.1 %s Odd\r\n" % status + end
                for status in (b"000", b"099", b"20", b"2000", b"600", b"799", b"999")
            )
        )

    def test_refusal_with_a_status_that_does_not_exist(self):
        """It promises nothing: the request may have run."""
        head = b"HTTP/1.1 600 Odd\r\n" + IDENTITY + b"x-not-executed: 1\r\n"
        self.check_lost(head + b"content-length: 0\r\n\r\n")

    def test_informational_status_is_no_answer(self):
        end = IDENTITY + b"\r\n"
        self.check_lost(
            b"HTTP/1.1 100 Continue\r\n" + end,
            b"HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\n" + end + b"body",
            b"HTTP/1.1 103 Early Hints\r\n" + end,
            b"HTTP/1.1 199 Odd\r\n" + end + b"body",
        )
