"""Memory of responses without a declared length (CONFIG, issue 54)."""

import unittest
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import contextmanager
from types import SimpleNamespace

import trio
import trio.testing

from sassafraspin.http import (
    Claim,
    ClientTimeouts,
    Headers,
    MemoryBudget,
    MemoryHold,
    MemoryKind,
    Request,
    Responder,
    Response,
)
from sassafraspin.http.body_budget import BodyBudget
from sassafraspin.http.client import OpenResponse
from sassafraspin.http.client_connection import (
    AnswerTooLarge,
    ClientLimits,
    ConnectionLost,
)
from sassafraspin.http.connection import ServerConnection
from sassafraspin.http.memory import BodyBuffer
from sassafraspin.settings import HttpLimits
from tests.routed_deployment import (
    RoutedDeployment,
    routed_deployment,
    runner_headers,
)

RESPONSE = MemoryKind.RESPONSE
LIMIT = 16_000_000
PART = 4_000_000
"""Part of the limit for responses, less than the largest legal response."""

PIECE = b"x" * 16_384
REPORT_BYTES = 40_000
GUARD_SECONDS = 300.0


def _run(scenario: Callable[[], Awaitable[None]]) -> None:
    async def run() -> None:
        with trio.fail_after(GUARD_SECONDS):
            await scenario()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


class Source:
    """A connection whose answer has a size, or no end, and no declared length.

    Parameters
    ----------
    size : float
        Bytes of the answer.
    declared : int
        Declared length, 0 without one.
    """

    def __init__(self, size: float, declared: int = 0) -> None:
        self._left = size
        self.declared_body_bytes = declared
        self.on_read: Callable[[], None] = int

    async def read_chunk(self) -> bytes | None:
        """Return the next piece, ``None`` after the last one."""
        await trio.lowlevel.checkpoint()
        self.on_read()
        if self._left <= 0:
            return None
        piece = PIECE[: int(min(self._left, len(PIECE)))]
        self._left -= len(piece)
        return piece


class Readers:
    """Reads answers at the same time, each until its caller has it.

    Parameters
    ----------
    budget : MemoryBudget
        Memory of the answers.
    """

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._bodies = BodyBudget(1 << 40)
        self._readers = 0
        self.outcomes: Counter[int | str] = Counter()
        self.largest_held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Return the bytes that are held for responses."""
        return self._budget.usage.held_bytes["response"]

    async def read(self, source: Source, seconds: float = 0.0) -> None:
        """Read an answer; its outcome is its size or the name of an error."""
        response = OpenResponse(
            200,
            Headers(),
            source,
            ClientTimeouts(),
            ClientLimits(),
            self._bodies,
            MemoryHold(self._budget),
        )
        source.on_read = self._record_held
        try:
            body = await response.read()
            self._record_held()
            await trio.sleep(seconds)
            self.outcomes[len(body)] += 1
        except ConnectionLost as error:
            self.outcomes[type(error).__name__] += 1
        finally:
            response.release()

    async def read_all(self, sources: list[Source], seconds: float = 0.0) -> None:
        """Read answers at the same time."""
        async with trio.open_nursery() as nursery:
            for source in sources:
                nursery.start_soon(self.read, source, seconds)

    def _record_held(self) -> None:
        self.largest_held_bytes = max(self.largest_held_bytes, self.held_bytes)


class TestGrowth(unittest.TestCase):
    """Answers of unknown length that are read at the same time."""

    def setUp(self):
        self.budget = MemoryBudget(LIMIT)
        self.readers = Readers(self.budget)

    @contextmanager
    def holding(self, size: int):
        """Hold bytes, as an answer does whose caller does not read it."""
        hold = MemoryHold(self.budget)
        self.assertTrue(hold.try_take(RESPONSE, size, Claim()))
        yield hold
        hold.release()

    def test_answer_is_read_beside_one_that_its_caller_does_not_read(self):
        # Guards against a small answer that waits for the largest legal size.
        async def scenario() -> None:
            with self.holding(REPORT_BYTES):
                with trio.move_on_after(60):
                    await self.readers.read(Source(REPORT_BYTES))

        _run(scenario)
        self.assertEqual(self.readers.outcomes, {REPORT_BYTES: 1})

    def test_many_small_answers_are_read_while_one_without_end_stalls(self):
        # Guards against one server that keeps all others from being answered.
        class Stalled(Source):
            async def read_chunk(self) -> bytes | None:
                if self._left <= 0:
                    await trio.sleep_forever()
                return await super().read_chunk()

        async def scenario() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.readers.read, Stalled(200_000))
                await trio.testing.wait_all_tasks_blocked()
                reports = [Source(REPORT_BYTES) for _ in range(100)]
                with trio.move_on_after(60):
                    await self.readers.read_all(reports)
                nursery.cancel_scope.cancel()

        _run(scenario)
        self.assertEqual(self.readers.outcomes, {REPORT_BYTES: 100})

    def test_answers_of_a_megabyte_at_once_are_all_read(self):
        # Guards against sound answers that are broken off as they block each other.
        sources = [Source(1_000_000) for _ in range(40)]
        _run(lambda: self.readers.read_all(sources, 0.1))
        self.assertEqual(self.readers.outcomes, {1_000_000: 40})
        self.assertLessEqual(self.readers.largest_held_bytes, PART)

    def test_answers_of_most_of_the_part_at_once_are_all_read(self):
        sources = [Source(2_900_000) for _ in range(10)]
        sources += [Source(REPORT_BYTES) for _ in range(40)]
        _run(lambda: self.readers.read_all(sources, 0.1))
        self.assertEqual(self.readers.outcomes, {2_900_000: 10, REPORT_BYTES: 40})
        self.assertLessEqual(self.readers.largest_held_bytes, PART)

    def test_declared_answers_beside_growing_ones_are_all_read(self):
        sources = [Source(300_000, 300_000) for _ in range(20)]
        sources += [Source(700_000) for _ in range(20)]
        _run(lambda: self.readers.read_all(sources, 0.1))
        self.assertEqual(self.readers.outcomes, {300_000: 20, 700_000: 20})
        self.assertLessEqual(self.readers.largest_held_bytes, PART)

    def test_answer_above_the_part_is_read_alone(self):
        # Guards against a small machine that refuses legal answers.
        async def scenario() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.readers.read, Source(REPORT_BYTES), 3.0)
                nursery.start_soon(self.readers.read, Source(6_000_000))
                await trio.sleep(1)
                nursery.start_soon(self.readers.read, Source(REPORT_BYTES))

        _run(scenario)
        self.assertEqual(self.readers.outcomes, {REPORT_BYTES: 2, 6_000_000: 1})

    def test_answers_that_all_wait_to_grow_end_one_by_one(self):
        # Guards against answers that wait for each other until their time is over.
        endless = [Source(float("inf")) for _ in range(12)]

        async def scenario() -> None:
            with trio.move_on_after(60):
                await self.readers.read_all(endless)

        _run(scenario)
        self.assertEqual(self.readers.outcomes, {AnswerTooLarge.__name__: 12})
        self.assertEqual(self.readers.held_bytes, 0)

    def test_sound_answers_are_read_beside_many_without_an_end(self):
        endless = [Source(float("inf")) for _ in range(12)]
        reports = [Source(REPORT_BYTES) for _ in range(50)]
        _run(lambda: self.readers.read_all(endless + reports))
        self.assertEqual(self.readers.outcomes[REPORT_BYTES], 50)

    def test_answer_that_is_cancelled_while_it_waits_returns_its_memory(self):
        async def scenario() -> None:
            with self.holding(PART - 100_000), trio.move_on_after(60):
                await self.readers.read(Source(1_000_000))

        _run(scenario)
        self.assertEqual(self.readers.held_bytes, 0)

    def test_answers_that_are_too_many_to_wait_were_run(self):
        # Guards against a refusal as not run after the server has answered.
        async def scenario() -> None:
            with self.holding(PART):
                async with trio.open_nursery() as nursery:
                    for _ in range(300):
                        nursery.start_soon(self.readers.read, Source(REPORT_BYTES))
                    await trio.testing.wait_all_tasks_blocked()
                    nursery.cancel_scope.cancel()

        _run(scenario)
        self.assertEqual(self.readers.outcomes, {AnswerTooLarge.__name__: 300 - 256})


class TestBodyBuffer(unittest.TestCase):
    """Bodies whose buffer grows more than once."""

    def test_content(self):
        buffer = BodyBuffer()
        data = bytes(number % 251 for number in range(1_000_000))
        for start in range(0, len(data), 10_000):
            piece = data[start : start + 10_000]
            if len(buffer) + len(piece) > buffer.capacity:
                buffer.expand(buffer.capacity + 65_536)
            buffer.append(piece)
        self.assertEqual(bytes(buffer.content()), data)


class UnreadStream:
    """A connection of a caller that sends a request and does not read."""

    def __init__(self) -> None:
        self._request = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
        self.socket = SimpleNamespace(
            getpeername=lambda: ("127.0.0.9", 1),
            is_readable=lambda: False,
            recv=self._receive_nothing,
        )

    async def _receive_nothing(self, size: int, flags: int) -> bytes:
        await trio.sleep_forever()

    async def receive_some(self, size: int) -> bytes:
        """Return the request, and wait without end afterwards."""
        await trio.lowlevel.checkpoint()
        if not self._request:
            await trio.sleep_forever()
        request, self._request = self._request, b""
        return request

    async def send_all(self, data: bytes) -> None:
        """Wait without end, as the caller does not read."""
        await trio.sleep_forever()

    def setsockopt(self, *option) -> None:
        """Accept any option."""


class TestUnreadAnswers(unittest.TestCase):
    """Answers whose callers do not read them."""

    def waited(self, size: int, is_framed: bool) -> float:
        """Return how long another answer waits for the memory of an unread one."""
        budget = MemoryBudget(LIMIT)
        ended = trio.Event()
        waited = 0.0

        async def answer(request: Request, responder: Responder) -> None:
            hold = MemoryHold(budget)
            hold.try_take(RESPONSE, PART, Claim())
            try:
                body = memoryview(bytes(size))
                await responder.send(Response(200, Headers(), body, is_framed, hold))
            finally:
                hold.release()

        async def serve() -> None:
            connection = ServerConnection(UnreadStream(), HttpLimits(), answer, budget)
            try:
                await connection.run()
            except* trio.BrokenResourceError:
                ended.set()

        async def scenario() -> None:
            nonlocal waited
            async with trio.open_nursery() as nursery:
                nursery.start_soon(serve)
                await trio.testing.wait_all_tasks_blocked()
                started_at = trio.current_time()
                await MemoryHold(budget).take(RESPONSE, REPORT_BYTES, Claim())
                waited = trio.current_time() - started_at
                await ended.wait()

        _run(scenario)
        return waited

    def test_unread_answer_ends_for_others(self):
        # Guards against answers of this size that hold memory for 20 s.
        self.assertLess(self.waited(REPORT_BYTES, True), 5)

    def test_unread_answer_without_a_declared_end_ends_for_others(self):
        self.assertLess(self.waited(REPORT_BYTES, False), 5)

    def test_large_unread_answer_ends_for_others(self):
        for is_framed in (True, False):
            self.assertLess(self.waited(1_000_000, is_framed), 5)


async def _send_chunks(
    request: Request, responder: Responder, status: int, size: int
) -> None:
    await responder.start(status, runner_headers(request))
    for start in range(0, size, len(PIECE)):
        await responder.write(PIECE[: min(len(PIECE), size - start)])
    await responder.finish()


class TestFailedAnswers(unittest.TestCase):
    """Answers of failed attempts, kept until another server has answered."""

    memory_bytes = 16_000_000
    """Memory of which the part for responses is less than the largest response."""

    def run_scenario(self, scenario, behaviour) -> None:
        """Run a scenario on two runners with one behaviour."""

        async def run() -> None:
            http = HttpLimits(memory_bytes=self.memory_bytes)
            with trio.fail_after(60):
                async with routed_deployment(http=http) as deployment:
                    for runner in deployment.runners:
                        runner.behaviour = behaviour
                    await scenario(deployment)

        trio.run(run)

    def test_retry_after_a_large_failed_answer_is_answered(self):
        # Guards against a request that waits for memory that it holds itself.
        sent = 0

        async def behave(request: Request, responder: Responder) -> None:
            nonlocal sent
            sent += 1
            await _send_chunks(
                request, responder, 500 if sent == 1 else 200, REPORT_BYTES
            )

        async def scenario(deployment: RoutedDeployment) -> None:
            response = await deployment.call("/safe/1", x_deadline_ms="10000")
            self.assertEqual((response.status, len(response.body)), (200, REPORT_BYTES))

        self.run_scenario(scenario, behave)

    def test_failed_answer_is_returned_if_no_other_server_answers(self):
        async def behave(request: Request, responder: Responder) -> None:
            await _send_chunks(request, responder, 500, REPORT_BYTES)

        async def scenario(deployment: RoutedDeployment) -> None:
            response = await deployment.call("/safe/1", x_deadline_ms="10000")
            self.assertEqual((response.status, len(response.body)), (500, REPORT_BYTES))

        self.run_scenario(scenario, behave)

    def test_failed_answer_makes_room_for_the_answers_of_others(self):
        # Guards against requests that wait for the memory of a failed answer.
        tries = Counter()
        has_retried, may_end = trio.Event(), trio.Event()

        async def behave(request: Request, responder: Responder) -> None:
            name = request.headers.get("x-request-id")
            tries[name] += 1
            if name == "other":
                body = bytes(3_000_000)
                await responder.send(Response(200, runner_headers(request), body))
            elif tries[name] == 1:
                await _send_chunks(request, responder, 500, 1_000_000)
            else:
                has_retried.set()
                await may_end.wait()
                headers = runner_headers(request).adding("x-not-executed", "busy")
                await responder.send(Response(503, headers))

        async def scenario(deployment: RoutedDeployment) -> None:
            responses = []

            async def call_failing() -> None:
                responses.append(await deployment.call("/safe/1", request_id="fails"))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(call_failing)
                await has_retried.wait()
                other = await deployment.call(
                    "/safe/1", request_id="other", x_deadline_ms="10000"
                )
                self.assertEqual((other.status, len(other.body)), (200, 3_000_000))
                may_end.set()
            self.assertEqual(responses[0].status, 502)
            self.assertIn(b"answer-lost", responses[0].body)

        self.run_scenario(scenario, behave)


if __name__ == "__main__":
    unittest.main()
