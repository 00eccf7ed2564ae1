"""Slot requests of an entry instance: repeats, back-off and the standby."""

import unittest
from types import SimpleNamespace

import trio
import trio.testing

from sassafraspin.daemon.slots import SlotClient
from sassafraspin.dispatch import (
    RefusalReason,
    SlotGrant,
    SlotRefusal,
    SlotRequest,
    SlotWaiting,
)
from sassafraspin.settings import DispatchSettings


def slot_request(deadline_ms: int = 5_000) -> SlotRequest:
    """Return a request for a slot."""
    return SlotRequest("s:1", "s", "a", "p", "/r", 0, 1, 1, deadline_ms, False)


def grant() -> SlotGrant:
    """Return the grant that answers ``slot_request()``."""
    return SlotGrant("s:1", "g-1", "b", "::1", 1, "v1", 1_000)


class FakeNode:
    """Records sent messages with their virtual time; has a configurable leader."""

    def __init__(self) -> None:
        self.name = "entry"
        self.settings = SimpleNamespace(
            dispatch=DispatchSettings(slot_repeat_ms=40, standby_after_ms=80)
        )
        self.lease = SimpleNamespace(leader="leader-1", search_leader=lambda: None)
        self.view = SimpleNamespace(number=1)
        self.sent: list[tuple[float, str, object]] = []

    def now(self) -> float:
        return trio.current_time()

    def dispatcher_of(self, service: str) -> str | None:
        return self.lease.leader

    def send(self, peer: str, message: object) -> None:
        self.sent.append((self.now(), peer, message))

    def sent_requests(self) -> list[tuple[float, str]]:
        """Return the time and target of each slot request sent."""
        return [
            (at, peer)
            for at, peer, message in self.sent
            if isinstance(message, SlotRequest)
        ]


class FakeStandby:
    """A local dispatcher that records messages and never grants a slot."""

    def __init__(self) -> None:
        self.received: list[object] = []

    def receive(self, source: str, message: object) -> None:
        self.received.append(message)


class TestRequestRepeats(unittest.TestCase):
    """Repeats back off while a request is queued and restart on a new dispatcher."""

    def run_scenario(self, scenario) -> FakeNode:
        """Run a scenario against a client in virtual time."""

        async def run():
            self.node = FakeNode()
            self.standby = FakeStandby()
            self.client = SlotClient(self.node, self.standby)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.client.acquire, slot_request())
                await scenario()
                self.client.receive("leader-1", grant())
                nursery.cancel_scope.deadline = trio.current_time() + 1

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        return self.node

    async def wait_and_answer(self, seconds: float, answered: bool) -> None:
        """Advance time; the dispatcher acknowledges each request, or none."""
        acknowledged_count = 0
        for _ in range(round(seconds / 0.01)):
            sent_count = len(self.node.sent_requests())
            if answered and sent_count > acknowledged_count:
                acknowledged_count = sent_count
                self.client.receive("leader-1", SlotWaiting("s:1"))
            await trio.sleep(0.01)

    def test_queued_request_backs_off(self):
        node = self.run_scenario(lambda: self.wait_and_answer(4.0, answered=True))
        self.assertLessEqual(len(node.sent_requests()), 11)
        self.assertGreaterEqual(len(node.sent_requests()), 5)

    def test_unanswered_request_is_repeated_soon(self):
        node = self.run_scenario(lambda: self.wait_and_answer(0.1, answered=False))
        times = [at for at, _ in node.sent_requests()]
        self.assertAlmostEqual(times[1] - times[0], 0.04, delta=0.001)

    def test_request_goes_to_new_dispatcher_at_once(self):
        async def scenario():
            await self.wait_and_answer(2.0, answered=True)
            self.node.lease.leader = "leader-2"
            self.client.tick()
            await trio.sleep(0.001)
            self.assertEqual(self.node.sent_requests()[-1][1], "leader-2")

        self.run_scenario(scenario)

    def test_regained_dispatcher_is_kept_though_the_standby_had_refused(self):
        async def scenario():
            refusal = SlotRefusal("s:1", RefusalReason.NOT_DISPATCHER, 200)
            while not self.client.uses_standby:
                await trio.sleep(0.01)
            for _ in range(100):
                self.client.receive("entry", refusal)
                await trio.sleep(0.01)
            self.client.on_dispatcher_active()
            for _ in range(20):
                await trio.sleep(0.01)
                self.assertFalse(self.client.uses_standby)
                self.client.receive("leader-1", SlotWaiting("s:1"))

        self.run_scenario(scenario)

    def test_request_goes_to_standby_when_dispatcher_is_silent(self):
        async def scenario():
            await self.wait_and_answer(2.0, answered=True)
            async with trio.open_nursery() as nursery:
                second = slot_request()
                nursery.start_soon(self.client.acquire, _with_other_id(second))
                await trio.sleep(0.15)
                forwarded = [
                    item.request_id
                    for item in self.standby.received
                    if isinstance(item, SlotRequest)
                ]
                self.assertIn("s:1", forwarded)
                nursery.cancel_scope.cancel()

        self.run_scenario(scenario)


def _with_other_id(request: SlotRequest) -> SlotRequest:
    return SlotRequest("s:2", *list(_field_values(request))[1:])


def _field_values(request: SlotRequest):
    return (getattr(request, name) for name in request.__struct_fields__)
