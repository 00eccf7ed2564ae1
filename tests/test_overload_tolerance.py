"""Limit of servers that say how many refusals a second they tolerate."""

import unittest

from sassafraspin.backends.probing import BurstLimit, LimitProbe
from sassafraspin.dispatch import ReleaseResult, SlotRelease
from sassafraspin.dispatch.directory import BackendDirectory
from sassafraspin.dispatch.directory_publisher import DirectoryPublisher
from sassafraspin.http import Headers
from sassafraspin.platform.adapter import PlatformAdapter
from tests.pool_model import SERVICE, announcement
from tests.test_pace import SLOTS, PacedPool

TOLERANCE = 8.0
LIMIT = 10
NOW = 1.0


class TestLimitProbe(unittest.TestCase):
    """What refusals and answers say about the room of a server."""

    def setUp(self):
        self.probe = LimitProbe(TOLERANCE)

    def refuse(self, limit: int, in_flight: int, at: float, sent_before=0.01) -> int:
        """Return the limit after a refusal of the last of the requests in flight."""
        return self.probe.after_refusal(
            limit, in_flight, in_flight - 1, at - sent_before, at
        )

    def test_lone_refusal_lowers_the_limit_by_one(self):
        """A sound server that is full for a moment must not lose half of its load."""
        self.assertEqual(self.refuse(LIMIT, LIMIT, 1.0), LIMIT - 1)

    def test_requests_that_were_sent_together_are_one_event(self):
        limit = LIMIT
        for number, in_flight in enumerate(range(6, LIMIT + 1)):
            limit = self.probe.after_refusal(
                limit, in_flight, LIMIT - 1 - number, 1.0, 1.01
            )
        self.assertEqual(limit, 5)

    def test_refusal_below_the_new_limit_lowers_it_further(self):
        """A server that works off its queue would refuse once for each answer."""
        limit = self.refuse(LIMIT, LIMIT, 1.0)
        self.assertEqual(self.refuse(limit, limit, 1.1), 6)

    def test_as_many_refusals_as_may_be_halve_the_limit(self):
        limit = 100
        for number in range(3):
            limit = self.refuse(limit, limit, 1.0 + 0.1 * number)
        self.assertGreater(limit, 50)
        self.assertLess(self.refuse(limit, limit, 1.3), limit // 2)

    def test_one_request_remains_and_waits_after_a_refusal(self):
        self.assertEqual(self.refuse(1, 1, 1.0), 1)
        self.assertGreaterEqual(self.probe.resume_at, 1.0 + 2 / TOLERANCE)

    def test_server_that_tolerates_one_refusal_gets_nothing_for_a_while(self):
        self.probe = LimitProbe(1.0)
        self.refuse(2, 2, 1.0)
        self.assertGreaterEqual(self.probe.resume_at, 3.0)

    def test_server_that_tolerates_none_is_hardly_probed(self):
        self.probe = LimitProbe(0.0)
        limit = self.refuse(LIMIT, LIMIT, 1.0)
        self.assertEqual(self.probe.after_answer(limit, limit, 59.0, 60.0), limit)
        self.assertEqual(self.probe.after_answer(limit, limit, 61.0, 62.0), limit + 1)

    def test_limit_is_probed_by_one_request_at_intervals(self):
        limit = self.refuse(LIMIT, LIMIT, 1.0)
        raised_at = []
        for tenths in range(11, 61):
            now = tenths / 10
            raised = self.probe.after_answer(limit, limit, now - 0.05, now)
            self.assertLessEqual(raised, limit + 1)
            if raised > limit:
                raised_at.append(now)
            limit = raised
        self.assertEqual(raised_at, [2.0, 3.0, 4.0, 5.0, 6.0])

    def test_refused_probes_become_rarer(self):
        limit, now = 5, 1.0
        limit = self.refuse(limit, limit, now)
        pauses = []
        for _ in range(5):
            since = now
            while limit < 5:
                now += 0.1
                limit = self.probe.after_answer(limit, limit, now - 0.05, now)
            pauses.append(round(now - since))
            limit = self.refuse(limit, limit, now + 0.05)
        self.assertEqual(pauses, [1, 2, 4, 8, 8])

    def test_answers_to_requests_from_before_the_refusal_do_not_raise_it(self):
        limit = self.refuse(LIMIT, LIMIT, 1.0)
        self.assertEqual(self.probe.after_answer(limit, LIMIT, 0.9, 9.0), limit)

    def test_server_that_is_not_used_to_its_limit_is_not_probed(self):
        limit = self.refuse(LIMIT, LIMIT, 1.0)
        self.assertEqual(self.probe.after_answer(limit, limit - 1, 8.0, 9.0), limit)


class TestBurstLimit(unittest.TestCase):
    """How many more requests than lately a server may get."""

    def test_use_may_rise_by_what_may_be_refused_in_a_second(self):
        burst = BurstLimit(TOLERANCE, 0.0)
        limits = []
        for second in range(1, 5):
            burst.advance(0, float(second))
            limits.append(burst.limit)
            burst.record_use(int(burst.limit))
        self.assertEqual(limits, [4, 8, 12, 16])

    def test_use_of_a_moment_ago_still_counts(self):
        burst = BurstLimit(TOLERANCE, 0.0)
        burst.record_use(LIMIT)
        burst.advance(0, 1.0)
        burst.advance(0, 2.0)
        self.assertEqual(burst.limit, LIMIT + 4)
        burst.advance(0, 3.0)
        self.assertEqual(burst.limit, 4)

    def test_instances_that_share_few_refusals_grow_in_turn(self):
        burst = BurstLimit(TOLERANCE / 16, 0.0)
        burst.advance(1, 3.9)
        burst.advance(1, 4.0)
        burst.advance(1, 7.9)
        self.assertEqual(burst.limit, 1)
        burst.advance(1, 8.0)
        self.assertEqual(burst.limit, 2)


class TestPool(PacedPool):
    """A pool whose server may say how many refusals it tolerates."""

    def answer(
        self,
        now: float,
        result: ReleaseResult = ReleaseResult.ANSWERED,
        tolerance: float | None = TOLERANCE,
    ) -> None:
        """End the oldest request; one that was not run lacked room."""
        grant = self.grants.pop(0)
        release = SlotRelease(
            SERVICE,
            grant.request_id,
            grant.grant_id,
            grant.backend_id,
            result,
            100,
            100,
            lacked_room=result is ReleaseResult.NOT_SENT,
            overload_tolerance=tolerance,
        )
        self.record(self.pool.release(release, now))

    def refuse(self, now: float, tolerance: float | None = TOLERANCE) -> None:
        """Let the server refuse the newest request."""
        self.grants.insert(0, self.grants.pop())
        self.answer(now, ReleaseResult.NOT_SENT, tolerance)

    @property
    def pace(self):
        """Return the pace of the server."""
        return self.pool.server("runner-1").pace

    def learn(self) -> None:
        """Let the server turn a request away, and all know that it is sensitive."""
        self.fill(NOW)
        self.refuse(NOW + 0.1)
        self.assertEqual((self.pace.limit, self.busy), (SLOTS - 1, SLOTS - 1))

    def test_refusal_lowers_the_limit(self):
        self.learn()
        self.fill(NOW + 0.1)
        self.assertEqual(self.busy, SLOTS - 1)

    def test_refusals_do_not_eject_it(self):
        self.learn()
        for _ in range(3):
            self.refuse(NOW + 0.1)
        backend = self.pool.server("runner-1")
        self.assertFalse(backend.is_ejected(NOW + 0.2))

    def test_server_that_does_not_say_so_is_used_as_before(self):
        self.fill(NOW)
        self.refuse(NOW + 0.1, tolerance=None)
        self.fill(NOW + 0.1)
        self.assertEqual(self.busy, SLOTS)

    def test_refusal_of_a_cold_server_says_nothing_about_its_room(self):
        self.fill(NOW)
        self.answer(NOW + 0.1)
        self.pool.announce(self.server(sequence=1, cold_ms=3_000), NOW + 0.2)
        limit = self.pace.limit
        self.refuse(NOW + 0.3)
        self.assertEqual(self.pace.limit, limit)

    def test_answer_without_the_statement_ends_it(self):
        self.learn()
        self.fill(NOW + 0.2)
        self.answer(NOW + 0.3)
        self.fill(NOW + 0.3)
        while len(self.grants) > 1:
            self.answer(NOW + 0.4)
        self.answer(NOW + 0.5, tolerance=None)
        self.assertIsNone(self.pace.tolerance)
        self.assertEqual(self.fill(NOW + 0.5), SLOTS)

    def test_server_that_starts_without_the_statement_still_starts_slowly(self):
        """Its first answer says that it is sound, not that it bears its full load."""
        self.learn()
        while self.grants:
            self.answer(NOW + 0.2)
        self.pool.announce(self.server(incarnation=2), NOW + 1.0)
        self.fill(NOW + 1.0)
        self.answer(NOW + 1.1, tolerance=None)
        self.assertIsNone(self.pace.tolerance)
        self.assertLess(self.pace.limit, SLOTS // 2)

    def test_answer_to_an_older_request_does_not_end_it(self):
        self.learn()
        self.answer(NOW + 0.2, tolerance=None)
        self.assertEqual(self.pace.tolerance, TOLERANCE)

    def test_failure_without_an_answer_does_not_end_it(self):
        self.learn()
        while self.grants:
            self.answer(NOW + 0.2)
        self.fill(NOW + 0.3)
        self.answer(NOW + 0.4, ReleaseResult.FAILED, tolerance=None)
        self.assertEqual(self.pace.tolerance, TOLERANCE)

    def test_new_process_of_the_server_starts_with_few_requests(self):
        self.learn()
        while self.grants:
            self.answer(NOW + 0.2)
        self.pool.announce(self.server(incarnation=2), NOW + 1.0)
        self.assertEqual(self.fill(NOW + 1.0), 2)
        self.assertEqual(self.pace.tolerance, TOLERANCE)

    def test_server_with_another_name_starts_so_too(self):
        """A server that failed is mostly back under another name."""
        self.learn()
        for number in (1, 2):
            address = announcement(1).address
            self.pool.announce(
                announcement(number + 1, slots=SLOTS, address=address, incarnation=2),
                NOW + 1.0,
            )
        pace = self.pool.server("runner-3").pace
        self.assertEqual((pace.limit, pace.tolerance), (2, TOLERANCE))

    def successor(self, now: float, **fields) -> None:
        """Let another dispatcher continue with what this one has published."""
        publisher = DirectoryPublisher(BackendDirectory(30.0))
        others = BackendDirectory(30.0)
        for update in publisher.updates(self.pool.backends, now):
            others.apply(update, now)
        self.open_pool(tuple(others.known_servers(SERVICE, now)), now)

    def test_successor_continues_with_the_limit(self):
        self.learn()
        self.successor(NOW + 0.2)
        self.assertEqual(self.pace.tolerance, TOLERANCE)
        for seconds in (1.0, 2.0):
            self.pool.tick(NOW + seconds)
            busy = self.fill(NOW + seconds)
        self.assertEqual(busy, SLOTS - 1)

    def test_successor_waits_for_reports_of_requests_in_flight(self):
        """The server holds those that the predecessor granted."""
        self.learn()
        self.successor(NOW + 0.2)
        self.assertEqual(self.fill(NOW + 0.2), 0)

    def test_successor_does_not_fill_the_server_at_once(self):
        """It may have got less room while nothing was granted."""
        self.learn()
        self.successor(NOW + 0.2)
        self.pool.tick(NOW + 1.0)
        self.assertLessEqual(self.fill(NOW + 1.0), TOLERANCE / 2)


class TestAdapter(unittest.TestCase):
    """What the headers of answers say about the room of a server."""

    def read(self, status: int, *headers: tuple[str, str]):
        adapter = PlatformAdapter(3_000)
        return adapter.read_response(status, Headers(headers))

    def test_tolerance_is_read_from_any_answer(self):
        for status in (200, 500, 503):
            answer = self.read(status, ("server-brittle", "8"))
            self.assertEqual(answer.notice.overload_tolerance, 8.0)

    def test_odd_values_are_ignored(self):
        for text in ("", "-1", "nan", "many", "1e999"):
            answer = self.read(200, ("server-brittle", text))
            self.assertIsNone(answer.notice.overload_tolerance)

    def test_misdirected_request_was_answered_by_another_server(self):
        answer = self.read(421, ("server-brittle", "8"))
        self.assertIsNone(answer.notice.overload_tolerance)
        self.assertFalse(answer.lacked_room)

    def test_refusals_for_want_of_room(self):
        not_run = ("x-not-executed", "1")
        self.assertTrue(self.read(503, not_run).lacked_room)
        for status, *headers in (
            (503,),
            (429, not_run),
            (503, not_run, ("server-limit", "2")),
            (503, not_run, ("server-leaving", "1")),
        ):
            with self.subTest(status=status, headers=headers):
                self.assertFalse(self.read(status, *headers).lacked_room)
