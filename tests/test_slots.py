"""An entry instance's questions to the dispatcher."""

import unittest
from types import SimpleNamespace

import trio
import trio.testing

from sassafraspin.daemon.slots import SlotClient
from sassafraspin.dispatch import SlotGrant, SlotRequest, SlotWaiting
from sassafraspin.settings import DispatchSettings


def question(deadline_ms: int = 5_000) -> SlotRequest:
    """Return a question for a slot."""
    return SlotRequest("s:1", "s", "a", "p", "/r", 0, 1, 1, deadline_ms, False)


def grant() -> SlotGrant:
    """Return the answer to it."""
    return SlotGrant("s:1", "g-1", "b", "::1", 1, "v1", 1_000)


class FakeNode:
    """Notes what is sent, at virtual times, and names a leader."""

    def __init__(self) -> None:
        self.name = "entry"
        self.settings = SimpleNamespace(
            dispatch=DispatchSettings(slot_repeat_ms=40, standby_after_ms=80)
        )
        self.lease = SimpleNamespace(leader="leader-1")
        self.view = SimpleNamespace(number=1)
        self.sent: list[tuple[float, str, object]] = []

    def now(self) -> float:
        return trio.current_time()

    def dispatcher_of(self, service: str) -> str | None:
        return self.lease.leader

    def send(self, peer: str, message: object) -> None:
        self.sent.append((self.now(), peer, message))

    def questions(self) -> list[tuple[float, str]]:
        """Return when and whom the questions went to."""
        return [
            (at, peer)
            for at, peer, message in self.sent
            if isinstance(message, SlotRequest)
        ]


class FakeStandby:
    """A dispatcher in the same process that lets everything wait."""

    def __init__(self) -> None:
        self.received: list[object] = []

    def receive(self, source: str, message: object) -> None:
        self.received.append(message)


class TestQuestions(unittest.TestCase):
    """A waiting request asks seldom, and at once where another one decides."""

    def play(self, scenario) -> FakeNode:
        """Run a scenario with a client in virtual time."""

        async def run():
            self.node = FakeNode()
            self.standby = FakeStandby()
            self.client = SlotClient(self.node, self.standby)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.client.acquire, question())
                await scenario()
                self.client.receive("leader-1", grant())
                nursery.cancel_scope.deadline = trio.current_time() + 1

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        return self.node

    async def wait(self, seconds: float, answered: bool) -> None:
        """Let time pass; the dispatcher answers each question or none."""
        known = 0
        for _ in range(round(seconds / 0.01)):
            asked = len(self.node.questions())
            if answered and asked > known:
                known = asked
                self.client.receive("leader-1", SlotWaiting("s:1"))
            await trio.sleep(0.01)

    def test_waiting_request_asks_seldom(self):
        node = self.play(lambda: self.wait(4.0, answered=True))
        self.assertLessEqual(len(node.questions()), 11)
        self.assertGreaterEqual(len(node.questions()), 5)

    def test_unanswered_question_is_repeated_soon(self):
        node = self.play(lambda: self.wait(0.1, answered=False))
        times = [at for at, _ in node.questions()]
        self.assertAlmostEqual(times[1] - times[0], 0.04, delta=0.001)

    def test_new_dispatcher_is_asked_at_once(self):
        async def scenario():
            await self.wait(2.0, answered=True)
            self.node.lease.leader = "leader-2"
            self.client.tick()
            await trio.sleep(0.001)
            self.assertEqual(self.node.questions()[-1][1], "leader-2")

        self.play(scenario)

    def test_standby_is_asked_at_once_when_the_dispatcher_is_silent(self):
        async def scenario():
            await self.wait(2.0, answered=True)
            async with trio.open_nursery() as nursery:
                other = question()
                nursery.start_soon(self.client.acquire, _renamed(other))
                await trio.sleep(0.15)
                waiting = [
                    item.request_id
                    for item in self.standby.received
                    if isinstance(item, SlotRequest)
                ]
                self.assertIn("s:1", waiting)
                nursery.cancel_scope.cancel()

        self.play(scenario)


def _renamed(request: SlotRequest) -> SlotRequest:
    return SlotRequest("s:2", *list(_values(request))[1:])


def _values(request: SlotRequest):
    return (getattr(request, name) for name in request.__struct_fields__)
