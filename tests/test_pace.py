"""Pace of servers that have just started, came back, or were ejected."""

import random
import unittest

from sassafraspin.admission import AccountLimits
from sassafraspin.backends import Pace, PaceReason
from sassafraspin.dispatch import (
    FirstTokenNotice,
    ReleaseResult,
    SlotGrant,
    SlotRelease,
    SlotRequest,
)
from sassafraspin.dispatch.directory import BackendDirectory
from sassafraspin.dispatch.directory_publisher import DirectoryPublisher
from sassafraspin.dispatch.pool import Pool
from sassafraspin.dispatch.versions import VersionGate
from sassafraspin.settings import DispatchSettings
from tests.pool_model import SERVICE, announcement

SLOTS = 8
SETTINGS = DispatchSettings(paces_servers=True)
STARTED = 10.0
"""Time at which all servers of a deployment have registered for long."""


class TestPace(unittest.TestCase):
    """Limit of the requests in flight at one server."""

    def setUp(self):
        self.pace = Pace(SLOTS)

    def test_known_server_has_no_limit(self):
        self.assertTrue(self.pace.is_full)
        self.assertIsNone(self.pace.record_failure(1.0, 2.0))
        self.assertEqual(self.pace.limit, SLOTS)

    def test_rounds_of_answers_on_time_double_it(self):
        """A server that answers well must not be left idle."""
        self.pace.restart(0.0)
        limits = []
        for number in range(1, 4):
            limits.append(self.pace.limit)
            for _ in range(self.pace.limit):
                self.pace.record_answer(False, number, number + 0.5)
        self.assertEqual(limits, [2, 4, 8])
        self.assertTrue(self.pace.is_full)

    def test_late_answer_halves_it_once_a_round(self):
        """Requests that were sent together are late for the same reason."""
        self.pace.restart(0.0)
        for _ in range(4):
            self.pace.record_answer(False, 1.0, 1.5)
        self.assertEqual(self.pace.limit, 6)
        change = self.pace.record_answer(True, 2.0, 3.0)
        self.assertEqual((change.limit, change.reason), (3, PaceReason.LATE))
        self.assertIsNone(self.pace.record_answer(True, 2.0, 3.1))
        self.assertIsNone(self.pace.record_failure(2.5, 3.2))
        self.assertEqual(self.pace.limit, 3)

    def test_answers_to_requests_from_before_the_restart_do_not_raise_it(self):
        """They were sent to a server that was warm, and say nothing about it now."""
        self.pace.restart(5.0)
        for _ in range(SLOTS):
            self.pace.record_answer(False, 4.0, 5.5)
        self.assertEqual(self.pace.limit, 2)

    def test_one_request_is_always_allowed(self):
        self.pace = Pace(1)
        self.pace.restart(0.0)
        self.assertEqual(self.pace.limit, 1)
        self.pace = Pace(3)
        self.pace.restart(0.0)
        for number in range(1, 9):
            self.pace.record_failure(number, number + 0.5)
        self.assertEqual(self.pace.limit, 1)

    def test_more_slots_do_not_limit_a_server_at_full_pace(self):
        self.pace.set_slots(2 * SLOTS)
        self.assertEqual(self.pace.limit, 2 * SLOTS)
        self.pace.restart(0.0)
        self.pace.set_slots(2)
        self.assertEqual(self.pace.limit, 2)


class PacedPool(unittest.TestCase):
    """A pool with one server, and a queue of requests for it."""

    def setUp(self):
        self.open_pool()
        self.pool.announce(self.server(), 0.0)

    def open_pool(self, known=(), now: float = 0.0) -> None:
        """Open the pool of a dispatcher that starts with some known servers."""
        self.pool = Pool(
            SERVICE,
            SETTINGS,
            AccountLimits(()),
            VersionGate("v1", random.Random(1)),
            random.Random(1),
            "d",
            now,
            known,
        )
        self.count = 0
        self.grants: list[SlotGrant] = []

    def server(self, **fields):
        """Return the announcement of the server."""
        return announcement(1, **{"slots": SLOTS, "ttl_ms": 4_000, **fields})

    def record(self, effects) -> None:
        """Remember the grants among the effects."""
        for effect in effects:
            if isinstance(effect.message, SlotGrant):
                self.grants.append(effect.message)

    def fill(self, now: float, answer_tokens: int = 10) -> int:
        """Ask for more slots than there are; return the number of busy ones."""
        for _ in range(SLOTS + 1):
            self.count += 1
            request = SlotRequest(
                f"{SERVICE}:{self.count}", SERVICE, "a", "p", "/r", 0, 500,
                answer_tokens, 60_000, False, first_token_within_ms=500,
            )  # fmt: skip
            self.record(self.pool.request("e1", request, now))
        return self.busy

    @property
    def busy(self) -> int:
        """Return the number of requests in flight at the server."""
        return self.pool.server("runner-1").busy_slots

    def end(
        self,
        now: float,
        first_token_ms: int = 100,
        result: ReleaseResult = ReleaseResult.ANSWERED,
    ) -> None:
        """End the oldest request."""
        grant = self.grants.pop(0)
        release = SlotRelease(
            SERVICE,
            grant.request_id,
            grant.grant_id,
            grant.backend_id,
            result,
            first_token_ms,
            first_token_ms,
        )
        self.record(self.pool.release(release, now))


class TestServersThatGetAPace(PacedPool):
    """Which servers begin with few requests."""

    def test_servers_of_a_deployment_that_starts_do_not(self):
        self.assertEqual(self.fill(1.0), SLOTS)

    def test_servers_that_a_new_dispatcher_does_not_know_yet(self):
        """Its predecessor may have known few of them when a deployment starts."""
        self.open_pool((announcement(2, slots=1),), 1.0)
        self.pool.announce(self.server(), 2.0)
        self.fill(2.0)
        self.assertEqual(self.busy, SLOTS)

    def test_server_whose_last_cold_moments_are_reported_late(self):
        self.pool.announce(self.server(sequence=1), 1.0)
        self.pool.announce(self.server(sequence=2, cold_ms=2), 2.0)
        self.assertEqual(self.fill(2.1), SLOTS)

    def test_server_that_is_added_later(self):
        self.open_pool((announcement(2, slots=1),))
        self.pool.announce(self.server(), STARTED)
        self.fill(STARTED)
        self.assertEqual(self.busy, 2)

    def test_server_that_was_started_again(self):
        self.pool.announce(self.server(incarnation=2), STARTED)
        self.assertEqual(self.fill(STARTED), 2)

    def test_server_that_was_silent(self):
        self.pool.tick(STARTED)
        self.pool.announce(self.server(sequence=1), STARTED)
        self.assertEqual(self.fill(STARTED), 2)

    def test_server_that_turns_cold(self):
        self.pool.announce(self.server(sequence=1), 1.0)
        self.pool.announce(self.server(sequence=2, cold_ms=3_000), 2.0)
        self.assertEqual(self.fill(2.0), 2)

    def test_server_whose_zone_was_evacuated(self):
        self.pool.close_zones(frozenset({"z"}), 1.0)
        self.pool.close_zones(frozenset(), 2.0)
        self.assertEqual(self.fill(2.0), 2)

    def test_server_that_was_ejected(self):
        self.fill(1.0)
        for _ in range(3):
            self.end(1.5, result=ReleaseResult.FAILED)
        self.pool.announce(self.server(sequence=1), 3.0)
        while self.grants:
            self.end(3.0, result=ReleaseResult.CANCELLED)
        self.pool.announce(self.server(sequence=2), 4.0)
        self.fill(4.0)
        self.assertLessEqual(self.busy, 2)

    def test_server_of_a_deployment_that_does_not_pace(self):
        self.pool = Pool(
            SERVICE,
            DispatchSettings(),
            AccountLimits(()),
            VersionGate("v1", random.Random(1)),
            random.Random(1),
            "d",
            0.0,
        )
        self.pool.announce(self.server(), 0.0)
        self.pool.announce(self.server(incarnation=2), STARTED)
        self.assertEqual(self.fill(STARTED), SLOTS)


class TestExpectedWait(PacedPool):
    """Estimates while a server has more requests in flight than its pace allows."""

    def test_excess_of_one_server_does_not_hide_free_slots_of_another(self):
        """A request that could start at once would be refused as too late."""
        self.fill(3.0, answer_tokens=500)
        self.pool.announce(announcement(2, slots=4, ttl_ms=4_000), 3.0)
        self.pool.announce(self.server(sequence=1, cold_ms=3_000), 3.1)
        request = SlotRequest(
            f"{SERVICE}:late", SERVICE, "a", "p", "/r", 0, 10, 10, 1_000, False,
            start_within_ms=400,
        )  # fmt: skip
        (effect,) = self.pool.request("e1", request, 3.2)
        self.assertIsInstance(effect.message, SlotGrant)
        self.assertEqual(effect.message.backend_id, "runner-2")


class TestRamp(PacedPool):
    """A server that was started again under load."""

    def setUp(self):
        super().setUp()
        self.pool.announce(self.server(incarnation=2), STARTED)
        self.fill(STARTED)

    def test_healthy_server_gets_all_its_slots(self):
        now = STARTED
        for _ in range(2 * SLOTS):
            now += 0.1
            self.end(now)
            self.fill(now)
        self.assertEqual(self.busy, SLOTS)

    def test_slow_but_steady_server_gets_all_its_slots(self):
        """It misses no objective, though it takes four times what was estimated."""
        now = STARTED
        for _ in range(2 * SLOTS):
            now += 0.4
            self.end(now, first_token_ms=400)
            self.pool.announce(self.server(incarnation=2, sequence=int(now)), now)
            self.fill(now)
        self.assertEqual(self.busy, SLOTS)

    def test_overloaded_server_gets_fewer_requests(self):
        self.end(STARTED + 0.1)
        self.end(STARTED + 0.2)
        self.assertEqual(self.busy, 4)
        self.end(STARTED + 3.0, first_token_ms=3_000)
        self.assertEqual(self.pool.server("runner-1").pace.limit, 2)

    def test_first_token_of_a_long_answer_counts_before_its_end(self):
        """Otherwise a server with long answers would be left idle until they end."""
        for grant in list(self.grants):
            self.assertTrue(grant.reports_first_token)
            notice = FirstTokenNotice(SERVICE, grant.grant_id, 100)
            self.record(self.pool.record_first_token(notice, STARTED + 0.1))
            self.record(self.pool.record_first_token(notice, STARTED + 0.2))
        self.assertEqual(self.busy, 4)

    def test_failures_and_refusals_reduce_it(self):
        self.end(STARTED + 0.1)
        self.end(STARTED + 0.2)
        self.end(STARTED + 0.3, result=ReleaseResult.NOT_SENT)
        self.assertEqual(self.pool.server("runner-1").pace.limit, 2)

    def test_successor_continues_the_pace(self):
        """A leader that is lost during the ramp must not let the server be flooded."""
        directory = BackendDirectory(30.0)
        publisher = DirectoryPublisher(directory)
        updates = publisher.updates(self.pool.backends, STARTED)
        others = BackendDirectory(30.0)
        for update in updates:
            others.apply(update, STARTED)
        self.open_pool(tuple(others.known_servers(SERVICE, STARTED)), STARTED)
        self.assertEqual(self.fill(STARTED), 2)

    def test_pace_is_published_when_it_changes(self):
        directory = BackendDirectory(30.0)
        publisher = DirectoryPublisher(directory)
        publisher.updates(self.pool.backends, STARTED)
        self.end(STARTED + 0.1)
        publisher.updates(self.pool.backends, STARTED + 0.1)
        self.assertEqual(directory.find("runner-1").pace, 3)
