"""Tests of server selection and queueing for requests with a first-token objective."""

import random
import unittest
from dataclasses import dataclass

from sassafraspin.admission import AccountLimits
from sassafraspin.backends import Announcement, PrefillBacklog, SpeedEstimate
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


def slot_request(identity: str, prompt: int, answer: int = 50, tier: int = 0, **fields):
    """Return a slot request whose first token is due within 500 ms.

    Tier 0 has the highest priority.
    """
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


class ServerSelectionTestCase(unittest.TestCase):
    """A pool with two servers of four slots."""

    def setUp(self):
        self.pool = self.make_pool(
            tuple(
                announcement(
                    number,
                    slots=4,
                    prefill_tokens_per_second=40_000.0,
                    decode_tokens_per_second=100.0,
                )
                for number in range(2)
            )
        )

    def make_pool(self, known: tuple[Announcement, ...]) -> Pool:
        """Return a pool that starts with known servers."""
        return Pool(
            SERVICE,
            DispatchSettings(),
            AccountLimits(()),
            VersionGate("v1", random.Random(1)),
            random.Random(1),
            "term",
            0.0,
            known,
        )

    def ask(self, request: SlotRequest, now: float):
        """Request a slot and return the last message sent in response."""
        effects = self.pool.request("entry-1", request, now)
        answers = [effect.message for effect in effects]
        return answers[-1]


class TestPrefillBacklog(unittest.TestCase):
    """Prompts are prefilled one after the other."""

    def test_prompts_add_up(self):
        backlog = PrefillBacklog()
        backlog.add("a", 0.5, 10.0)
        backlog.add("b", 0.25, 10.1)
        self.assertAlmostEqual(backlog.wait(10.1), 0.65)
        self.assertEqual(backlog.wait(11.0), 0.0)

    def test_prompt_of_a_cancelled_request_is_subtracted(self):
        backlog = PrefillBacklog()
        backlog.add("a", 0.4, 10.0)
        backlog.add("b", 0.1, 10.0)
        backlog.cancel("a", 10.0)
        self.assertAlmostEqual(backlog.wait(10.0), 0.1)

    def test_first_token_ends_its_prompt_and_all_earlier_ones(self):
        backlog = PrefillBacklog()
        for number in range(4):
            backlog.add(f"r{number}", 1.0, 10.0)
        backlog.finish("r2", 10.5)
        self.assertAlmostEqual(backlog.wait(10.5), 1.0)
        backlog.finish("r1", 11.0)
        self.assertAlmostEqual(backlog.wait(11.0), 0.5)
        backlog.finish("r3", 11.2)
        self.assertEqual(backlog.wait(11.2), 0.0)

    def test_later_prompt_does_not_start_before_it_is_sent(self):
        backlog = PrefillBacklog()
        backlog.add("a", 1.0, 10.0)
        backlog.add("b", 0.5, 10.8)
        backlog.finish("a", 10.2)
        self.assertAlmostEqual(backlog.wait(10.9), 0.4)


class TestSpeedEstimate(unittest.TestCase):
    """Rates are estimated from measurements."""

    def test_prefill_rate_converges(self):
        speed = SpeedEstimate(10_000.0, 100.0)
        # Time to first token of 2,000 tokens at 25,000 tokens per second: the prefill,
        # 2/48 longer because of attention (see _LONG_PROMPT_TOKENS), and a decode step.
        measured = 2_000 * (1 + 2 / 48) / 25_000 + 0.01
        for _ in range(60):
            expected = speed.prefill_seconds(2_000) + 0.01
            speed.observe_first_token(2_000, expected, measured, speed.prefill_rate)
        self.assertAlmostEqual(speed.prefill_rate, 25_000, delta=250)

    def test_prefill_time_grows_faster_than_prompt_length(self):
        speed = SpeedEstimate(40_000.0, 100.0)
        short, long = speed.prefill_seconds(4_000), speed.prefill_seconds(40_000)
        self.assertGreater(long, 15 * short)


class TestServerSelection(ServerSelectionTestCase):
    """Selection of the server by its prefill backlog."""

    def test_server_with_a_long_prompt_is_avoided(self):
        first = self.ask(slot_request("long", 20_000), 1.0)
        self.assertGreater(first.expected_first_ms, 400)
        for number in range(3):
            grant = self.ask(slot_request(f"short-{number}", 200), 1.0 + number / 100)
            self.assertNotEqual(grant.backend_id, first.backend_id)
            self.assertLess(grant.expected_first_ms, 100)

    def test_prompts_are_spread_by_prefill_backlog(self):
        grants = [self.ask(slot_request(f"r{n}", 4_000), 1.0) for n in range(6)]
        by_server = [grant.backend_id for grant in grants]
        self.assertEqual(sorted(map(by_server.count, set(by_server))), [3, 3])


class TestFailures(unittest.TestCase):
    """Ejection of failing servers must not overload the remaining ones."""

    def test_share_of_ejected_servers_is_limited_when_all_fail(self):
        """Each request fails with probability 0.45, so that all servers fail at times.

        If most of them were ejected at once, some of the requests would get no slot.
        """
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
        for n in range(400):
            now = 1.0 + n / 100
            (effect,) = pool.request("entry-1", slot_request(f"r{n}", 10, 5), now)[-1:]
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


class TestWaiting(ServerSelectionTestCase):
    """Queueing or refusal of a request, depending on when the next slot is free."""

    def occupy(self, durations: list[float]) -> list[SlotGrant]:
        """Occupy slots with requests of tier 2 of the given durations, in seconds.

        The number of answer tokens follows from the decode rate of 100 per second.
        """
        return [
            self.ask(
                slot_request(
                    f"low-{n}", 10, int(100 * duration), 2, deadline_ms=60_000
                ),
                1.0,
            )
            for n, duration in enumerate(durations)
        ]

    def test_high_priority_request_waits_for_the_next_slot(self):
        grants = self.occupy([0.2, *([5.0] * 7)])
        urgent = self.ask(slot_request("urgent", 500, tier=0), 1.0)
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
        # 1.2 - 1.0 is slightly below 0.2 in floating point, and waited_ms is truncated.
        self.assertEqual(effects[0].message.waited_ms, 199)

    def test_request_is_refused_at_once_if_no_slot_becomes_free_in_time(self):
        self.occupy([5.0] * 8)
        refusal = self.ask(slot_request("late", 500, tier=0), 1.0)
        self.assertIsInstance(refusal, SlotRefusal)

    def test_low_priority_is_refused_if_higher_tiers_get_the_next_slots(self):
        self.occupy([0.2, 0.3, *([5.0] * 6)])
        for number in range(2):
            waiting = self.ask(slot_request(f"urgent-{number}", 500, tier=0), 1.0)
            self.assertIsInstance(waiting, SlotWaiting)
        refusal = self.ask(slot_request("low", 500, tier=3), 1.0)
        self.assertIsInstance(refusal, SlotRefusal)

    def test_late_request_waits_if_its_deadline_allows(self):
        self.occupy([1.0, *([5.0] * 7)])
        late = self.ask(slot_request("late", 500, tier=0), 1.0)
        self.assertIsInstance(late, SlotWaiting)

    def test_request_on_time_is_served_before_a_late_one(self):
        grants = self.occupy([1.0, 1.3, *([5.0] * 6)])
        self.ask(slot_request("late", 500, tier=0), 1.0)
        self.ask(slot_request("soon", 500, tier=0), 1.9)
        self.assertEqual(self.end(grants[0], 2.0), ["soon"])
        self.assertEqual(self.end(grants[1], 2.3), ["late"])

    def test_request_that_becomes_late_is_served_after_one_on_time(self):
        grants = self.occupy([0.2, 0.4, *([5.0] * 6)])
        self.ask(slot_request("first", 500, tier=0), 1.0)
        self.pool.tick(1.6)
        self.ask(slot_request("second", 500, tier=0), 1.7)
        self.assertEqual(self.end(grants[0], 1.8), ["second"])
        self.assertEqual(self.end(grants[1], 1.8), ["first"])

    def test_request_is_refused_if_its_caller_disconnects_before_a_slot_is_free(self):
        self.occupy([1.2, *([5.0] * 7)])
        refusal = self.ask(
            slot_request("disconnects", 500, tier=0, leaves_within_ms=1_000), 1.0
        )
        self.assertIsInstance(refusal, SlotRefusal)
        self.assertGreaterEqual(refusal.retry_after_ms, 1_000)

    def test_waiting_request_is_refused_before_its_caller_disconnects(self):
        self.occupy([0.3, *([5.0] * 7)])
        self.ask(
            slot_request("disconnects", 4_000, tier=0, leaves_within_ms=1_000), 1.0
        )
        [effect] = self.pool.tick(1.95)
        self.assertIsInstance(effect.message, SlotRefusal)

    def test_no_request_is_queued_as_late_after_a_recent_timeout(self):
        [first, *_] = self.occupy([0.5, *([5.0] * 7)])
        self.ask(slot_request("timed-out", 500, tier=1, leaves_within_ms=1_200), 1.0)
        self.ask(slot_request("urgent", 500, 150, tier=0), 1.4)
        self.assertEqual(self.end(first, 1.5), ["urgent"])
        [effect] = self.pool.tick(2.2)
        self.assertEqual(effect.message.request_id, "timed-out")
        refusal = self.ask(
            slot_request("blocked", 500, tier=1, leaves_within_ms=5_000), 2.3
        )
        self.assertIsInstance(refusal, SlotRefusal)
        later = self.ask(
            slot_request("waits", 500, tier=1, leaves_within_ms=5_000), 3.4
        )
        self.assertIsInstance(later, SlotWaiting)

    def end(self, grant: SlotGrant, now: float) -> list[str]:
        """Release a slot; return the identifiers of the requests granted for it."""
        effects = self.pool.release(_answered(grant), now)
        messages = [item.message for item in effects]
        return [item.request_id for item in messages if isinstance(item, SlotGrant)]


class TestDiscovery(ServerSelectionTestCase):
    """A dispatcher that knows no servers waits for them to announce themselves."""

    def test_requests_wait_while_servers_announce_themselves(self):
        pool = self.make_pool(())
        pool.announce(announcement(0, slots=1), 0.2)
        answers = [
            pool.request("entry-1", slot_request(f"r{n}", 500), 0.3)[-1].message
            for n in range(20)
        ]
        self.assertFalse([item for item in answers if isinstance(item, SlotRefusal)])
        pool.tick(1.0)
        granted = []
        for number in range(1, 20):
            granted += pool.announce(announcement(number, slots=1), 1.1)
        self.assertEqual(len(granted), 19)


class LoadTestCase(ServerSelectionTestCase):
    """Simulates load on two servers with four slots each.

    A request occupies a slot for 0.2 s, so the capacity is 40 requests per second.
    """

    def simulate(self, arrivals: list[float], **fields) -> "LoadResult":
        """Send requests at the given times and return their results."""
        pending = [(at, f"r{n}") for n, at in enumerate(arrivals)]
        arrived_at = {name: at for at, name in pending}
        result = LoadResult({}, {})
        running: list[tuple[float, SlotGrant]] = []
        now = pending[0][0]
        while now < arrivals[-1] + 8.0:
            now += 0.005
            effects = list(self.pool.tick(now))
            for grant in [item for at, item in running if at <= now]:
                effects += self.pool.release(_answered(grant), now)
            running = [(at, item) for at, item in running if at > now]
            while pending and pending[0][0] <= now:
                request = slot_request(pending.pop(0)[1], 10, answer=20, **fields)
                effects += self.pool.request("entry-1", request, now)
            for message in (item.message for item in effects):
                if isinstance(message, SlotGrant):
                    running.append((now + 0.2, message))
                    result.granted[message.request_id] = (
                        now - arrived_at[message.request_id]
                    )
                elif isinstance(message, SlotRefusal):
                    result.refused[message.request_id] = (
                        now - arrived_at[message.request_id]
                    )
        return result


@dataclass(frozen=True)
class LoadResult:
    """Time until the grant or the refusal of each request, in seconds."""

    granted: dict[str, float]
    refused: dict[str, float]


def _answered(grant: SlotGrant) -> SlotRelease:
    return SlotRelease(
        SERVICE,
        grant.request_id,
        grant.grant_id,
        grant.backend_id,
        ReleaseResult.ANSWERED,
        10,
        200,
        20,
    )


class TestPeak(LoadTestCase):
    """Load of 60 requests per second for 3 s, then 20, with capacity for 40.

    Requests of the peak whose deadlines allow it are answered after the peak, and
    requests that arrive after the peak are answered on time.
    """

    def arrivals(self) -> list[float]:
        """Return the arrival times of the requests."""
        peak = [10 + number / 60 for number in range(180)]
        return peak + [13 + number / 20 for number in range(80)]

    def test_requests_of_a_peak_are_answered_after_it(self):
        result = self.simulate(self.arrivals())
        self.assertEqual(result.refused, {})
        self.assertEqual(len(result.granted), 260)

    def test_requests_after_the_peak_are_on_time(self):
        result = self.simulate(self.arrivals())
        after = [result.granted[f"r{number}"] for number in range(180, 260)]
        on_time = sum(wait <= 0.4 for wait in after)
        self.assertGreaterEqual(on_time, 76)


class TestSustainedOverload(LoadTestCase):
    """Load of 80 requests per second for 10 s, with capacity for 40.

    Half of the requests cannot be answered; most of those are refused at once.
    """

    def test_most_refusals_are_immediate(self):
        arrivals = [10 + number / 80 for number in range(800)]
        result = self.simulate(arrivals, leaves_within_ms=2_000)
        late_refusals = [name for name, wait in result.refused.items() if wait > 0.5]
        self.assertGreater(len(result.granted), 380)
        self.assertLess(len(late_refusals), 0.25 * len(result.refused))

    def test_requests_are_refused_before_the_caller_disconnects(self):
        arrivals = [10 + number / 80 for number in range(800)]
        result = self.simulate(arrivals, leaves_within_ms=2_000)
        self.assertLess(max(result.refused.values()), 1.95)
