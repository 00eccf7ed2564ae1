"""Voters whose machines are taken away for good, and their successors."""

import unittest
from dataclasses import replace

from sassafraspin.platform.boot import decode_boot_settings
from tests.quorum_model import SPARE_TIMINGS, QuorumModel

SPARE = "s0"

BOOT = b"""
node_name = "front-a-1"
ip = "10.0.0.1"
zone = "a"
region = "south"
internal_ports = [7600, 7615]
seeds = ["10.0.0.1:8229"]
bootstrap = true
[listen]
front = "10.0.0.1:8221"
readiness = "10.0.0.1:8224"
control = "10.0.0.1:8229"
[bounds]
catch_up_s = 4
"""


class HandoverTestCase(unittest.TestCase):
    """A quorum of three with a spare, and an acknowledged change."""

    def start(self, seed: int) -> None:
        self.model = QuorumModel(3, seed=seed, spares=1)
        self.model.run(4.0)
        self.change()
        self.assertEqual(len(self.model.acknowledged), 1)

    def change(self) -> None:
        leader = self.model.leader()
        self.assertIsNotNone(leader, "no leader")
        self.model.propose(leader.name)
        self.model.run(1.0)

    def voters(self) -> set[str]:
        """Return the names of the voters according to the leader."""
        replica = self.model.leader().control.replica
        return {voter.name for voter in replica.log.voters}

    def follower(self) -> str:
        leader = self.model.leader().name
        return next(name for name in ("c0", "c1", "c2") if name != leader)

    def lose_power_and_disk(self, removed: str) -> None:
        """Cut all power; another voter loses its disk, and all but one return."""
        victim = next(name for name in sorted(self.voters()) if name != removed)
        for name in self.model.nodes:
            self.model.crash(name)
        self.model.nodes[victim].files.erase()
        del self.model.nodes[removed]
        for name in self.model.nodes:
            self.model.restart(name)
        self.model.run(8.0)


class TestPlannedRemoval(HandoverTestCase):
    """The successor starts first; then the machine shuts down and never returns."""

    def test_place_of_a_leaving_follower_is_handed_over(self):
        # Guards against a voter that ends while its successor is none yet.
        for seed in range(5):
            self.start(seed)
            leaving = self.follower()
            self.model.leave(leaving)
            self.model.run(1.0)
            self.assertIn(SPARE, self.voters())
            self.assertNotIn(leaving, self.voters())

    def test_place_of_a_leaving_leader_is_handed_over(self):
        # Guards against a leader that ends as a voter; it leads on until then.
        for seed in range(5):
            self.start(seed)
            leaving = self.model.leader().name
            self.model.leave(leaving)
            self.model.run(1.0)
            leader = self.model.leader()
            self.assertEqual(leader.name, leaving)
            self.assertIn(leaving, leader.control.announcement().voters)
            self.assertIn(SPARE, self.voters())
            self.assertNotIn(leaving, self.voters())
            self.model.crash(leaving)
            self.model.run(3.0)
            self.change()

    def test_voter_that_leaves_without_a_successor_stays(self):
        # Guards against fewer voters during a rolling restart.
        self.start(1)
        self.model.crash(SPARE)
        self.model.run(3.0)
        self.model.leave(self.follower())
        self.model.run(3.0)
        self.assertEqual(self.voters(), {"c0", "c1", "c2"})

    def test_leaving_spare_gets_no_place(self):
        # Guards against a handover to an instance that ends as well.
        self.start(1)
        self.model.leave(SPARE)
        self.model.run(0.5)
        self.model.leave(self.follower())
        self.model.run(1.5)
        self.assertEqual(self.voters(), {"c0", "c1", "c2"})

    def test_change_survives_the_loss_of_a_disk_right_after_the_removal(self):
        # Guards against a quorum that is lost with the machine after the removed one.
        for seed in range(5):
            for is_leader in (True, False):
                with self.subTest(seed=seed, is_leader=is_leader):
                    self.start(seed)
                    leader = self.model.leader().name
                    removed = leader if is_leader else self.follower()
                    self.model.leave(removed)
                    self.model.run(2.2)
                    before = set(self.model.acknowledged)
                    self.lose_power_and_disk(removed)
                    self.change()
                    self.assertGreater(set(self.model.acknowledged), before)


class TestSuddenRemoval(HandoverTestCase):
    """A machine is gone without notice; its successor has some time to catch up."""

    def test_change_survives_a_loss_at_the_end_of_the_time_to_catch_up(self):
        # Guards against a successor that is no voter yet when it has to be one.
        settings = decode_boot_settings(BOOT, "boot").control
        timings = replace(
            SPARE_TIMINGS,
            election_timeout=settings.election_timeout_ms / 1000,
            heartbeat=settings.election_timeout_ms / 4000,
            replace_after=settings.replace_after_ms / 1000,
            lost_after=settings.lost_after_ms / 1000,
        )
        for seed in range(5):
            with self.subTest(seed=seed):
                self.model = QuorumModel(3, seed=seed, spares=1, timings=timings)
                self.model.run(4.0)
                self.model.crash(SPARE)
                self.change()
                removed = self.model.leader().name
                self.model.crash(removed)
                self.model.restart(SPARE)
                self.model.run(4.0)
                self.lose_power_and_disk(removed)
                self.change()
                self.assertEqual(len(self.model.acknowledged), 2)


if __name__ == "__main__":
    unittest.main()
