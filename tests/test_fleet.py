"""Large fleets keep their leader: what it sends does not hold up its heartbeats.

``python -m tests.fleet_model`` plays more sizes and seeds.
"""

import unittest

from tests.fleet_model import FleetReport, FleetShape, play_fleet

ELECTION_TIMEOUT_SECONDS = 0.4
"""Election timeout of the instances in the model."""

MAX_BYTES_PER_MEMBER = 1_000
"""What a leader that takes over sends in its first second, by member."""


MAX_LIMIT_SECONDS = 3.0
"""Time within which every instance in touch has to obey a rate limit."""


class TestLimitsInLargeFleets(unittest.TestCase):
    """A rate limit that one instance was told is known to all."""

    def test_limit_is_known_to_all_in_time(self):
        for instances in (10, 200):
            with self.subTest(instances=instances):
                shape = FleetShape(instances, 162, seconds=12.0, name_limit_at=8.0)
                seconds = play_fleet(shape).limit_known_seconds
                self.assertIsNotNone(seconds)
                self.assertLess(seconds, MAX_LIMIT_SECONDS)


MAX_FIRST_DIRECTORY_BYTES = 2_000_000
"""2 MB/s are a sixth of the link of a control instance."""


class TestLeaderOfLargeFleets(unittest.TestCase):
    """One leader while nothing fails, and the next one soon after it froze."""

    def play(self, shape: FleetShape) -> FleetReport:
        report = play_fleet(shape)
        self.assertLess(report.longest_queue_seconds, ELECTION_TIMEOUT_SECONDS / 2)
        self.assertEqual(report.dropped_messages, 0)
        self.assertEqual(report.complete_directories, shape.instances)
        return report

    def test_leader_stays_when_servers_announce_themselves(self):
        for instances in (24, 200):
            with self.subTest(instances=instances):
                report = self.play(FleetShape(instances, 162, seconds=12.0))
                self.assertEqual(len(report.terms), 1)
                self.assertEqual(report.seconds_without_leader, 0.0)

    def test_leader_that_freezes_is_followed_by_one_that_stays(self):
        shape = FleetShape(200, 162, seconds=12.0, freeze_leader_at=7.0)
        report = self.play(shape)
        self.assertEqual(len(report.terms), 2)
        self.assertLess(report.seconds_without_leader, 2 * ELECTION_TIMEOUT_SECONDS)
        self.assertLess(
            report.first_second_bytes, MAX_BYTES_PER_MEMBER * shape.instances
        )

    def test_a_new_leader_sends_no_more_for_more_servers(self):
        shapes = [
            FleetShape(88, servers, seconds=12.0, freeze_leader_at=7.0)
            for servers in (15, 600)
        ]
        few, many = map(self.play, shapes)
        self.assertEqual((len(few.terms), len(many.terms)), (2, 2))
        self.assertLess(many.first_second_bytes, 2 * few.first_second_bytes)

    def test_a_new_leader_goes_on_with_the_first_directory_within_its_budget(self):
        """Seeds in which some instances lack most servers when the leader freezes."""
        for seed in (3, 63):
            shape = FleetShape(
                88,
                600,
                seconds=10.0,
                freeze_leader_at=7.0,
                freezes_when_complete=False,
                seed=seed,
            )
            with self.subTest(seed=seed):
                report = self.play(shape)
                self.assertEqual(len(report.terms), 2)
                self.assertLess(report.first_second_bytes, MAX_FIRST_DIRECTORY_BYTES)
