"""Placing and queueing of requests whose first token is due soon."""

import random
import unittest

from sassafraspin.admission import AccountLimits
from sassafraspin.backends import PrefillBacklog, SpeedEstimate
from sassafraspin.dispatch import (
    ReleaseResult,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
    SlotWaiting,
)
from sassafraspin.dispatch.pool import Pool
from sassafraspin.dispatch.versions import VersionGate
from sassafraspin.settings import DispatchSettings
from tests.pool_model import SERVICE, announcement


def stream(identity: str, prompt: int, answer: int = 50, tier: int = 0, **fields):
    """Return a question for a slot whose first token is due in half a second."""
    return SlotRequest(
        **{
            "request_id": identity,
            "service": SERVICE,
            "client_account": "a",
            "profile": "p",
            "route": "/r",
            "tier": tier,
            "prompt_tokens": prompt,
            "answer_tokens": answer,
            "deadline_ms": 6_000,
            "cancellable": False,
            "start_within_ms": 400,
            "first_token_within_ms": 500,
            **fields,
        }
    )


class PlacingTestCase(unittest.TestCase):
    """A pool with two servers of four slots."""

    def setUp(self):
        self.pool = Pool(
            SERVICE,
            DispatchSettings(),
            AccountLimits(()),
            VersionGate("v1", random.Random(1)),
            random.Random(1),
            "term",
            0.0,
        )
        for number in range(2):
            self.pool.announce(
                announcement(
                    number,
                    slots=4,
                    prefill_tokens_per_second=40_000.0,
                    decode_tokens_per_second=100.0,
                ),
                0.0,
            )

    def ask(self, request: SlotRequest, now: float):
        """Return what the pool answers at once."""
        effects = self.pool.request("entry-1", request, now)
        answers = [effect.message for effect in effects]
        return answers[-1]


class TestPrefillBacklog(unittest.TestCase):
    """Prompts are computed one after the other."""

    def test_prompts_add_up(self):
        backlog = PrefillBacklog()
        backlog.add(0.5, 10.0)
        backlog.add(0.25, 10.1)
        self.assertAlmostEqual(backlog.wait(10.1), 0.65)
        self.assertEqual(backlog.wait(11.0), 0.0)

    def test_prompt_of_a_cancelled_request_is_taken_off(self):
        backlog = PrefillBacklog()
        backlog.add(0.5, 10.0)
        backlog.take_off(0.4, 10.0)
        self.assertAlmostEqual(backlog.wait(10.0), 0.1)


class TestSpeedEstimate(unittest.TestCase):
    """Rates are learned from what is observed."""

    def test_prefill_rate_converges(self):
        speed = SpeedEstimate(10_000.0, 100.0)
        for _ in range(60):
            speed.observe_prefill(2_000, 2_000 * (1 + 2 / 48) / 25_000 + 0.01)
        self.assertAlmostEqual(speed.prefill_rate, 25_000, delta=250)

    def test_long_prompts_cost_more_than_their_share(self):
        speed = SpeedEstimate(40_000.0, 100.0)
        short, long = speed.prefill_seconds(4_000), speed.prefill_seconds(40_000)
        self.assertGreater(long, 15 * short)


class TestPlacing(PlacingTestCase):
    """The server that brings the first token soonest is chosen when time is short."""

    def test_server_that_computes_a_long_prompt_is_passed_over(self):
        first = self.ask(stream("long", 20_000), 1.0)
        self.assertGreater(first.expected_first_ms, 400)
        for number in range(3):
            grant = self.ask(stream(f"short-{number}", 200), 1.0 + number / 100)
            self.assertNotEqual(grant.backend_id, first.backend_id)
            self.assertLess(grant.expected_first_ms, 100)

    def test_prompts_are_spread_by_what_is_left_to_compute(self):
        grants = [self.ask(stream(f"r{n}", 4_000), 1.0) for n in range(6)]
        by_server = [grant.backend_id for grant in grants]
        self.assertEqual(sorted(map(by_server.count, set(by_server))), [3, 3])


class TestFailures(unittest.TestCase):
    """Servers that fail rest, but never so many that the others are swamped."""

    def test_some_servers_stay_when_all_of_them_fail(self):
        generator = random.Random(1)
        pool = Pool(
            SERVICE,
            DispatchSettings(),
            AccountLimits(()),
            VersionGate("v1", random.Random(1)),
            random.Random(1),
            "term",
            0.0,
        )
        for number in range(9):
            pool.announce(announcement(number, slots=7), 0.0)
        granted = 0
        for number in range(400):
            now = 1.0 + number / 100
            (effect,) = pool.request("entry-1", stream(f"r{number}", 10, 5), now)[-1:]
            if not isinstance(effect.message, SlotGrant):
                continue
            granted += 1
            grant = effect.message
            failed = generator.random() < 0.45
            result = ReleaseResult.FAILED if failed else ReleaseResult.ANSWERED
            release = SlotRelease(
                SERVICE, grant.request_id, grant.grant_id, grant.backend_id, result
            )
            pool.release(release, now)
        self.assertEqual(granted, 400)


class TestWaiting(PlacingTestCase):
    """A request waits for the next slot and is not refused for all work ahead."""

    def fill(self, seconds: list[float]) -> list[SlotGrant]:
        """Fill every slot with work of low urgency that ends after some seconds."""
        return [
            self.ask(stream(f"low-{n}", 10, int(100 * end), 2, deadline_ms=60_000), 1.0)
            for n, end in enumerate(seconds)
        ]

    def test_urgent_request_waits_for_the_next_slot(self):
        grants = self.fill([0.2, *([5.0] * 7)])
        urgent = self.ask(stream("urgent", 500, tier=0), 1.0)
        self.assertIsInstance(urgent, SlotWaiting)
        release = SlotRelease(
            SERVICE,
            "low-0",
            grants[0].grant_id,
            grants[0].backend_id,
            ReleaseResult.ANSWERED,
            10,
            200,
            20,
        )
        effects = self.pool.release(release, 1.2)
        granted = [item.message.request_id for item in effects]
        self.assertEqual(granted, ["urgent"])
        self.assertEqual(effects[0].message.waited_ms, 199)

    def test_request_is_refused_at_once_if_no_slot_ends_in_time(self):
        self.fill([5.0] * 8)
        refusal = self.ask(stream("late", 500, tier=0), 1.0)
        self.assertIsInstance(refusal, SlotRefusal)

    def test_low_urgency_is_refused_when_higher_tiers_take_the_next_slots(self):
        self.fill([0.2, 0.3, *([5.0] * 6)])
        for number in range(2):
            waiting = self.ask(stream(f"urgent-{number}", 500, tier=0), 1.0)
            self.assertIsInstance(waiting, SlotWaiting)
        refusal = self.ask(stream("low", 500, tier=3), 1.0)
        self.assertIsInstance(refusal, SlotRefusal)
