"""What the control leader concludes from the reports of the members."""

import math
import unittest

from sassafraspin.membership import (
    Member,
    MemberHeartbeat,
    MemberIdentity,
    MemberTable,
    MemberTimings,
    View,
)


def member(name: str, incarnation: int) -> Member:
    """Return an instance."""
    return Member(name, incarnation, "south", "a", "10.0.0.1", 7400)


class TestReachedIndex(unittest.TestCase):
    """The index up to which all members that may act have applied the configuration."""

    def setUp(self):
        self.timings = MemberTimings()
        self.table = MemberTable(self.timings, 0.0)
        self.view = View(1, 1, (member("m1", 5), member("m2", 5)))

    def report(
        self, name: str, incarnation: int, index: int, now: float, leaving=False
    ) -> None:
        """Receive the heartbeat of an instance."""
        heartbeat = MemberHeartbeat(None, index, 0, leaving, now)
        identity = MemberIdentity(name, incarnation)
        self.table.grant(identity, heartbeat, self.view, now)

    def test_silent_member_is_waited_for_until_its_lease_has_ended(self):
        self.report("m1", 5, 10, 1.0)
        self.assertEqual(self.table.reached_index(self.view), 0)
        self.assertEqual(self.table.lagging_members(10, self.view), ["m2"])
        lease = self.timings.max_lease_duration
        self.assertFalse(self.table.has_outlived_leases(1.0, 1.0 + lease))
        self.assertTrue(self.table.has_outlived_leases(1.0, 1.1 + lease))

    def test_member_that_leaves_or_has_restarted_is_not_waited_for(self):
        self.report("m1", 5, 10, 1.0, leaving=True)
        self.report("m2", 5, 7, 1.0)
        self.report("m2", 6, 0, 2.0)
        self.assertEqual(self.table.reached_index(self.view), math.inf)

    def test_member_whose_clock_was_set_back_before_it_started_is_waited_for(self):
        self.report("m1", 5, 10, 1.0)
        self.report("m2", 9, 10, 1.0)
        self.report("m2", 5, 7, 2.0)
        self.assertEqual(self.table.reached_index(self.view), 7)


if __name__ == "__main__":
    unittest.main()
