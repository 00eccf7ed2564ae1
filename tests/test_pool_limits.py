"""Rate limits in the pool of one dispatcher."""

import unittest

from sassafraspin.backends import RateLimit
from sassafraspin.dispatch import RefusalReason
from sassafraspin.dispatch.directory import BackendDirectory
from sassafraspin.dispatch.directory_publisher import DirectoryPublisher
from tests.pool_model import PoolModel, announcement

SHORT_ANSWER_TOKENS = 1


class TestRateLimit(unittest.TestCase):
    """Token bucket of one server."""

    def count(self, limit: RateLimit, start: float, seconds: float) -> int:
        """Use a limit as much as it allows, every 10 ms; return how often."""
        used = 0
        for step in range(int(seconds * 100)):
            now = start + step / 100
            while limit.allows_request(now):
                limit.count_request(now)
                used += 1
        return used

    def test_nothing_may_be_sent_at_first(self):
        self.assertFalse(RateLimit(1_000.0, 1.0, 5.0).allows_request(5.0))

    def test_rate_holds_in_each_window(self):
        for rate in (0.1, 2.7, 40.0):
            limit = RateLimit(rate, 1.0, 0.0)
            for window in range(10):
                used = self.count(limit, 4.0 * window, 4.0)
                self.assertLessEqual(used, 4.0 * rate + 1)

    def test_unused_requests_do_not_add_up(self):
        limit = RateLimit(2.7, 1.0, 0.0)
        limit.level(3_600.0)
        self.assertLessEqual(self.count(limit, 3_600.0, 4.0), 4.0 * 2.7 + 1)

    def test_share_of_a_limit(self):
        limits = [RateLimit(2.7, 1 / 200, 0.0) for _ in range(200)]
        used = sum(self.count(limit, 0.0, 40.0) for limit in limits)
        self.assertLessEqual(used, 40.0 * 2.7)


class TestLimitedPools(unittest.TestCase):
    """What a dispatcher does with the limits that servers name."""

    def setUp(self):
        self.model = PoolModel(servers=2)

    def limit_of(self, number: int) -> float | None:
        limit = self.model.pool.server(f"runner-{number}").rate_limit
        return None if limit is None else limit.named

    def ask_for(self, number: int) -> str:
        """Return the grant of a request that may use one server only."""
        before = {grant.grant_id for grant in self.model.grants_of(number)}
        self.model.ask(0, SHORT_ANSWER_TOKENS, avoid=(f"runner-{1 - number}",))
        after = {grant.grant_id for grant in self.model.grants_of(number)}
        [grant_id] = after - before
        return grant_id

    def test_lower_limit_applies_at_once(self):
        self.model.name_limit(0, 8.0)
        self.model.name_limit(0, 2.0)
        self.assertEqual(self.limit_of(0), 2.0)

    def test_answer_to_an_earlier_request_ends_no_limit(self):
        earlier = self.ask_for(0)
        self.model.name_limit(0, 8.0)
        self.model.name_limit(0, None, earlier)
        self.assertEqual(self.limit_of(0), 8.0)
        self.model.name_limit(0, 9.0, earlier)
        self.assertEqual(self.limit_of(0), 8.0)

    def test_answer_to_a_later_request_ends_the_limit(self):
        self.model.name_limit(0, 8.0)
        self.model.advance(1.0)
        self.model.name_limit(0, None, self.ask_for(0))
        self.assertIsNone(self.limit_of(0))

    def test_answer_to_a_later_request_raises_the_limit(self):
        self.model.name_limit(0, 8.0)
        self.model.advance(1.0)
        self.model.name_limit(0, 9.0, self.ask_for(0))
        self.assertEqual(self.limit_of(0), 9.0)

    def test_answer_that_is_unknown_ends_no_limit(self):
        self.model.name_limit(0, 8.0)
        self.model.name_limit(0, None, "unknown")
        self.assertEqual(self.limit_of(0), 8.0)

    def test_announcement_does_not_end_a_limit_and_a_restart_does(self):
        self.model.name_limit(0, 8.0)
        self.model.announce(0)
        self.assertEqual(self.limit_of(0), 8.0)
        self.model.announce(0, incarnation=2)
        self.assertIsNone(self.limit_of(0))
        self.model.name_limit(0, 8.0)
        self.assertIsNone(self.limit_of(0))

    def test_other_servers_serve_what_a_limit_excludes(self):
        self.model.name_limit(0, 0.1)
        for _ in range(20):
            self.model.ask(0, SHORT_ANSWER_TOKENS)
            self.model.advance(0.2)
        self.assertEqual(self.model.refused, [])
        self.assertEqual(len(self.model.granted), 20)

    def test_requests_wait_for_limited_servers_in_order_of_tiers(self):
        for number in range(2):
            self.model.name_limit(number, 1.0)
        low = self.model.ask(2, SHORT_ANSWER_TOKENS)
        high = self.model.ask(0, SHORT_ANSWER_TOKENS)
        self.model.advance(3.0)
        granted = self.model.granted
        self.assertLess(granted.index(high.request_id), granted.index(low.request_id))

    def test_requests_beyond_all_limits_are_refused_at_once(self):
        for number in range(2):
            self.model.name_limit(number, 1.0)
        for _ in range(12):
            self.model.ask(0, SHORT_ANSWER_TOKENS, deadline_ms=4_000)
        refused = len(self.model.refused)
        self.assertGreaterEqual(refused, 4)
        for item in self.model.refused:
            self.assertIn(
                item.reason, (RefusalReason.TOO_LATE, RefusalReason.OVERLOADED)
            )
            self.assertEqual(item.at, self.model.now)

    def test_refused_callers_are_told_when_a_limit_allows_more(self):
        for number in range(2):
            self.model.name_limit(number, 0.1)
        self.model.ask(0, SHORT_ANSWER_TOKENS, deadline_ms=2_000)
        [refusal] = self.model.refusals
        self.assertGreater(refusal.retry_after_ms, 2_000)
        self.assertLessEqual(refusal.retry_after_ms, 10_000)

    def test_limit_of_one_server_leaves_the_others_their_slots(self):
        self.model.name_limit(0, 0.1)
        status = self.model.pool.status(self.model.now)
        self.assertEqual(status.slots, 2)


class TestPublishedLimits(unittest.TestCase):
    """Limits in the directory that all instances keep."""

    def setUp(self):
        self.model = PoolModel(servers=1)
        self.directory = BackendDirectory(60.0)
        self.publisher = DirectoryPublisher(self.directory)
        self.others = BackendDirectory(60.0)

    def publish(self) -> None:
        backends = self.model.pool.backends
        for update in self.publisher.updates(backends, self.model.now):
            self.others.apply(update, self.model.now)

    def test_limit_is_published_until_it_ends(self):
        self.publish()
        before = self.others.digest
        self.model.name_limit(0, 2.7)
        self.publish()
        self.assertEqual(self.others.find("runner-0").rate_limit, 2.7)
        self.assertNotEqual(self.others.digest, before)
        self.model.announce(0)
        self.publish()
        self.assertEqual(self.others.find("runner-0").rate_limit, 2.7)
        self.model.announce(0, incarnation=2)
        self.publish()
        self.assertIsNone(self.others.find("runner-0").rate_limit)

    def test_successor_starts_with_the_limit_and_nothing_to_send(self):
        self.model.name_limit(0, 2.7)
        self.publish()
        successor = PoolModel(servers=0)
        known = tuple(self.others.of_service(announcement(0).service))
        successor.pool.replace_servers(known, successor.now)
        successor.ask(0, SHORT_ANSWER_TOKENS)
        self.assertEqual(successor.granted, [])
        successor.advance(1.0)
        self.assertEqual(len(successor.granted), 1)
