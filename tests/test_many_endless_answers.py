"""Faulty servers that send many answers without end at the same time."""

import unittest

import trio

from sassafraspin.http import ClientTimeouts, Headers, HttpClient
from sassafraspin.http.body_budget import BodyBudget
from sassafraspin.http.client import OpenResponse
from sassafraspin.http.client_connection import AnswerTooLarge, ClientLimits
from sassafraspin.http.messages import Request
from tests.scripted_server import CHUNKED, Ending, Script, ScriptedServer, chunk

PIECE = b"x" * 16_384
LIMITS = ClientLimits(body_bytes=400_000, all_bodies_bytes=1_000_000)
FAULTY_ANSWERS = 12


class Source:
    """A connection whose answer has a number of pieces, or no end."""

    declared_body_bytes = 0

    def __init__(self, pieces: float) -> None:
        self._pieces = pieces
        self.held_bytes = 0

    async def read_chunk(self) -> bytes | None:
        """Return the next piece, ``None`` after the last one."""
        await trio.lowlevel.checkpoint()
        if self._pieces <= 0:
            return None
        self._pieces -= 1
        self.held_bytes += len(PIECE)
        return PIECE


class TestManyEndlessAnswers(unittest.TestCase):
    """Bodies that are read as a whole at the same time."""

    def setUp(self):
        self.budget = BodyBudget(LIMITS.all_bodies_bytes)
        self.largest_held_bytes = 0
        self.sources: list[Source] = []
        self.outcomes: dict[Source, int | None] = {}

    async def read(self, source: Source) -> None:
        """Read the answer of a source; its outcome is the size, ``None`` if refused."""
        self.sources.append(source)
        response = OpenResponse(
            200, Headers(), source, ClientTimeouts(), LIMITS, self.budget
        )
        try:
            self.outcomes[source] = len(await response.read())
        except AnswerTooLarge:
            self.outcomes[source] = None
        source.held_bytes = 0

    def read_all(self, *sources: Source) -> None:
        """Read answers at the same time, and watch the bytes that they hold."""

        async def watch() -> None:
            while len(self.outcomes) < len(sources):
                held = sum(source.held_bytes for source in self.sources)
                self.largest_held_bytes = max(self.largest_held_bytes, held)
                await trio.lowlevel.checkpoint()

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch)
                for source in sources:
                    nursery.start_soon(self.read, source)

        trio.run(run)

    def test_memory_of_all_answers_is_bounded(self):
        # Guards against running out of memory by answers that are each within bounds.
        faulty = [Source(float("inf")) for _ in range(FAULTY_ANSWERS)]
        self.read_all(*faulty)
        self.assertEqual([self.outcomes[source] for source in faulty], [None] * 12)
        in_transit = FAULTY_ANSWERS * len(PIECE)
        self.assertLess(
            self.largest_held_bytes, LIMITS.all_bodies_bytes + 2 * in_transit
        )

    def test_smaller_answers_are_read_meanwhile(self):
        # Guards against faulty servers that take the memory from sound answers.
        faulty = [Source(float("inf")) for _ in range(FAULTY_ANSWERS)]
        sound = [Source(4), Source(0), Source(2)]
        self.read_all(*faulty, *sound)
        sizes = [self.outcomes[source] for source in sound]
        self.assertEqual(sizes, [4 * len(PIECE), 0, 2 * len(PIECE)])

    def test_answers_one_after_the_other_share_nothing(self):
        # Guards against memory that stays counted after an answer was read.
        for _ in range(FAULTY_ANSWERS):
            source = Source(20)
            self.outcomes.clear()
            self.read_all(source)
            self.assertEqual(self.outcomes[source], 20 * len(PIECE))


class TestClient(unittest.TestCase):
    """The budget of a client, shared by all of its connections."""

    def test_endless_answers_end_and_sound_ones_are_returned(self):
        # Guards against a budget that each connection has for itself.
        head = b"HTTP/1.1 200 OK\r\n"
        large = head + CHUNKED + chunk(PIECE) * 20
        limits = ClientLimits(body_bytes=400_000, all_bodies_bytes=400_000)
        outcomes: list[str] = []

        async def send(client: HttpClient, server: ScriptedServer) -> None:
            request = Request("GET", "/", Headers((("host", "runner"),)))
            try:
                await client.send(server.addresses[0], request)
            except AnswerTooLarge:
                outcomes.append("too large")

        async def run() -> None:
            server = ScriptedServer([Script(large, Ending.OPEN)])
            client = HttpClient(ClientTimeouts(), limits)
            with trio.fail_after(30):
                async with trio.open_nursery() as nursery:
                    await nursery.start(server.run)
                    async with trio.open_nursery() as calls:
                        for _ in range(3):
                            calls.start_soon(send, client, server)
                        while len(outcomes) < 2:
                            await trio.sleep(0.01)
                        calls.cancel_scope.cancel()
                    nursery.cancel_scope.cancel()
            client.close()

        trio.run(run)
        self.assertEqual(outcomes, ["too large"] * 2)


if __name__ == "__main__":
    unittest.main()
