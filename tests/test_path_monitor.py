"""Estimate of a partition, with times given by the tests."""

import random
import unittest

from sassafraspin.membership import Member
from sassafraspin.relay.choice import RelayChoice
from sassafraspin.relay.reachability import PathMonitor
from sassafraspin.settings import Address

FIRST, SECOND, THIRD = (Address(f"10.0.0.{number}", 80) for number in (1, 2, 3))


class TestPathMonitor(unittest.TestCase):
    """When an instance counts as partitioned from the backend servers."""

    def setUp(self):
        self.monitor = PathMonitor()

    def fail(self, target: Address, at: float, has_hung: bool = False) -> None:
        """Record a connection that failed 0.1 s after its start."""
        self.monitor.record_failure(target, at - 0.1, at, has_hung)

    def partition(self, has_hung: bool = False) -> None:
        self.fail(FIRST, 1.0, has_hung)
        self.fail(SECOND, 1.5, has_hung)

    def test_one_server_is_no_partition(self):
        for at in (1.0, 1.2, 1.4, 1.6):
            self.fail(FIRST, at)
        self.assertFalse(self.monitor.is_partitioned)
        self.assertTrue(self.monitor.has_failed(FIRST, 1.7))

    def test_two_servers_are_a_partition_since_the_first_failed(self):
        self.partition()
        self.assertTrue(self.monitor.is_partitioned)
        self.assertEqual(self.monitor.lost_at, 0.9)

    def test_success_between_two_failures(self):
        self.fail(FIRST, 1.0)
        self.monitor.record_success(THIRD, 1.2)
        self.fail(SECOND, 1.5)
        self.assertFalse(self.monitor.is_partitioned)

    def test_failures_long_apart(self):
        self.fail(FIRST, 1.0)
        self.fail(SECOND, 10.0)
        self.assertFalse(self.monitor.is_partitioned)
        self.assertFalse(self.monitor.has_failed(FIRST, 10.0))

    def test_partition_ends_with_the_second_success(self):
        self.partition()
        self.monitor.record_success(FIRST, 2.0)
        self.assertTrue(self.monitor.is_partitioned)
        self.monitor.record_success(SECOND, 2.3)
        self.assertFalse(self.monitor.is_partitioned)
        self.assertIsNone(self.monitor.lost_at)

    def test_failed_probe_between_two_successes(self):
        self.partition()
        self.monitor.record_success(FIRST, 2.0)
        self.monitor.record_failed_probe()
        self.monitor.record_success(FIRST, 2.6)
        self.assertTrue(self.monitor.is_partitioned)

    def test_open_connections_hang_once_a_probe_confirms_it(self):
        self.partition(has_hung=True)
        self.assertFalse(self.monitor.hangs)
        self.monitor.record_failed_probe()
        self.assertTrue(self.monitor.hangs)

    def test_refused_connections_say_nothing_of_open_ones(self):
        self.partition()
        self.monitor.record_failed_probe()
        self.assertFalse(self.monitor.hangs)

    def test_second_partition_is_not_confirmed_by_the_first(self):
        self.partition(has_hung=True)
        self.monitor.record_failed_probe()
        for at in (2.0, 2.3):
            self.monitor.record_success(FIRST, at)
        self.fail(FIRST, 3.0, has_hung=True)
        self.fail(SECOND, 3.0, has_hung=True)
        self.assertTrue(self.monitor.is_partitioned)
        self.assertFalse(self.monitor.hangs)


class TestRelayChoice(unittest.TestCase):
    """Order in which other instances are asked for a tunnel."""

    def setUp(self):
        self.choice = self.choice_among(["south"] * 5)

    def choice_among(self, regions: list[str]) -> RelayChoice:
        """Return the choice of an instance in the south."""
        members = [
            Member(f"front-{number}", 1, region, "a", f"10.0.1.{number}", 7400)
            for number, region in enumerate(regions, start=1)
        ]
        return RelayChoice("south", lambda: members, random.Random(1))

    def names(self, now: float, count: int = 5) -> list[str]:
        return [member.name for member in self.choice.candidates(now, count)]

    def test_one_that_worked_is_first_and_one_that_failed_is_last(self):
        self.choice.record_success("front-4", 1.0)
        self.choice.record_failure("front-2", 1.0)
        names = self.names(1.5)
        self.assertEqual((names[0], names[-1]), ("front-4", "front-2"))

    def test_one_that_failed_is_asked_again_later(self):
        for number in range(1, 5):
            self.choice.record_failure(f"front-{number}", 1.0)
        self.choice.record_failure("front-5", 2.5)
        self.assertNotIn("front-5", self.names(3.5, 4))

    def test_all_are_asked_in_turn(self):
        firsts = {self.names(1.0, 1)[0] for _ in range(100)}
        self.assertEqual(len(firsts), 5)

    def test_other_regions_are_asked_after_the_own_one(self):
        self.choice = self.choice_among(["north", "south", "north", "south"])
        names = self.names(1.0)
        self.assertCountEqual(names[:2], ["front-2", "front-4"])

    def test_other_regions_are_asked_before_those_that_failed(self):
        self.choice = self.choice_among(["north", "south"])
        self.choice.record_failure("front-2", 1.0)
        self.assertEqual(self.names(1.5), ["front-1", "front-2"])
