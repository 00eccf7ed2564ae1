"""Members and their leases while the configuration changes in series."""

import unittest

from sassafraspin.control import ChangeView, Configuration
from sassafraspin.control.transfers import ConfigTransfers
from sassafraspin.membership import (
    HeartbeatReply,
    Member,
    MemberHeartbeat,
    MemberIdentity,
    MemberLease,
    MemberTimings,
    View,
)
from tests.test_config_transfer import IDENTITY, MEMBER, SingleLeader, table_change

HEARTBEAT_SECONDS = 0.5
MAX_STALE_SECONDS = 2.0
LINK_BYTES_PER_SECOND = 625_000


class UpdatedMember:
    """A member with its lease, and the leader that updates it."""

    def __init__(self) -> None:
        self.leader = SingleLeader()
        self.configuration = Configuration()
        self.lease = MemberLease(MEMBER, ("c0",), HEARTBEAT_SECONDS, MemberTimings())
        self.inbox: list[tuple[float, HeartbeatReply]] = []
        self.leader.change(1, 500)
        for _ in range(20):
            self.advance()

    def advance(self, delay: float = 0.0) -> None:
        """Advance by 0.1 s; replies with an update arrive after ``delay``."""
        self.leader.advance(0.1)
        due = [item for item in self.inbox if item[0] <= self.leader.now]
        for item in due:
            self.inbox.remove(item)
            self.receive(item[1])
        sent = self.lease.tick(
            self.configuration.index, 0, self.configuration.state.view, self.leader.now
        )
        if sent is None:
            return
        reply = self.leader.node.heartbeat(IDENTITY, sent.heartbeat, self.leader.now)
        wait = 0.0 if reply.update is None else delay
        self.inbox.append((self.leader.now + wait, reply))

    def change(self, size: int = 500) -> HeartbeatReply | None:
        """Apply a change at the leader and return its push to the member."""
        pushed_index = self.leader.configuration.index
        self.leader.change(1, size)
        return self.push(pushed_index)

    def push(self, pushed_index: int) -> HeartbeatReply | None:
        """Return the push of the changes after an index, if there is one."""
        leader = self.leader
        update = leader.node.push_update(IDENTITY, pushed_index, leader.now)
        if update is None:
            return None
        return HeartbeatReply("c0", 0, leader.configuration.index, 0.0, update, ())

    def receive(self, reply: HeartbeatReply) -> None:
        """Handle a reply or a push as the daemons do."""
        if reply.update is not None:
            self.configuration.apply_update(reply.update)
            self.lease.on_update(self.configuration.index, reply.update.last_index)
        if reply.sent_at > 0:
            index = self.configuration.index
            self.lease.on_reply("c0", reply, index, self.leader.now)


class TestSeriesOfChanges(unittest.TestCase):
    """A member stays current while changes follow each other closely."""

    def test_one_lost_push_in_a_series_of_changes_is_repaired_within_2_s(self):
        for gap in (0.1, 0.2, 0.3):
            with self.subTest(gap=gap):
                member = UpdatedMember()
                lost_index = member.leader.configuration.index + 1
                lost_at = member.leader.now
                for number in range(int(10 / gap)):
                    push = member.change()
                    if number and push is not None:
                        member.receive(push)
                    for _ in range(round(gap / 0.1)):
                        member.advance()
                    if member.configuration.index >= lost_index:
                        break
                waited = member.leader.now - lost_at
                self.assertLessEqual(waited, MAX_STALE_SECONDS)

    def test_member_is_confirmed_during_a_series_that_arrives_late(self):
        member = UpdatedMember()
        worst = 0.0
        for _ in range(100):
            push = member.change(2_000)
            if push is not None:
                member.inbox.append((member.leader.now + 0.35, push))
            member.advance(delay=0.35)
            age = member.lease.configuration_age(member.leader.now)
            worst = max(worst, age)
        self.assertLess(worst, MAX_STALE_SECONDS)

    def test_member_behind_what_a_new_leader_assumes_catches_up(self):
        member = UpdatedMember()
        leader = member.leader
        leader.change(3, 500)
        leader.node._transfers = ConfigTransfers(leader.configuration)
        wanted = leader.configuration.index
        started_at = leader.now
        for _ in range(30):
            push = member.change()
            if push is not None:
                member.receive(push)
            for _ in range(3):
                member.advance()
            if member.configuration.index >= wanted:
                break
        self.assertLessEqual(leader.now - started_at, MAX_STALE_SECONDS)

    def test_large_update_on_a_slow_link_is_sent_once(self):
        leader = SingleLeader()
        leader.change(1, 420_000)
        sent = []
        arrives_at = None
        while arrives_at is None or leader.now < arrives_at:
            reply = leader.heartbeat(1)
            if reply.update is not None:
                sent.append(reply.update.size)
                arrives_at = leader.now + sent[0] / LINK_BYTES_PER_SECOND
            leader.advance(0.1)
        self.assertEqual(len(sent), 1)


class TestRestartedMember(unittest.TestCase):
    """A member that restarts while the view holds its old incarnation."""

    def test_pushes_to_the_old_incarnation_repeat_nothing_to_the_new_one(self):
        leader = SingleLeader()
        view = View(1, 0, (MEMBER,))
        leader.node.propose(ChangeView("v1", 0, view), lambda result: None, leader.now)
        leader.change(20, 4_000)
        record = Member("m1", 2, "south", "a", "10.0.0.9", 7400)
        sent = []
        for step in range(30):
            heartbeat = MemberHeartbeat(record, 0, 0, False, leader.now)
            reply = leader.node.heartbeat(
                MemberIdentity("m1", 2), heartbeat, leader.now
            )
            if reply.update is not None:
                sent.append(reply.update.size)
            if step % 2:
                pushed_index = leader.configuration.index
                change = table_change(1_000 + step, 100)
                leader.node.propose(change, lambda result: None, leader.now)
                leader.node.push_update(IDENTITY, pushed_index, leader.now)
            leader.advance(0.1)
        self.assertLess(len(sent), 8)


class TestRestarts(unittest.TestCase):
    """Members that are started again while the leader stays the same."""

    def test_member_whose_clock_was_set_back_before_it_started_gets_updates(self):
        leader = SingleLeader()
        leader.change(1, 500)
        heartbeat = MemberHeartbeat(None, 0, 0, False, 0.0, True)
        later, earlier = MemberIdentity("m1", 9), MemberIdentity("m1", 5)
        leader.node.heartbeat(later, heartbeat, leader.now)
        reply = leader.node.heartbeat(earlier, heartbeat, leader.now)
        self.assertIsNone(reply.update)
        for _ in range(25):
            leader.advance(0.1)
        reply = leader.node.heartbeat(earlier, heartbeat, leader.now)
        self.assertIsNotNone(reply.update)


class TestConfirmation(unittest.TestCase):
    """Replies that confirm the configuration of a member."""

    def test_late_reply_of_a_follower_does_not_confirm_an_older_index(self):
        lease = MemberLease(MEMBER, ("c0", "c1"), HEARTBEAT_SECONDS, MemberTimings())
        view = View(1, 0, (MEMBER,))
        first = lease.tick(90, 0, view, 10.0)
        lease.tick(90, 0, view, 11.5)
        last = lease.tick(90, 0, view, 13.0)
        follower, leader = first.name, ({"c0", "c1"} - {first.name}).pop()
        current = HeartbeatReply(leader, 0, 95, last.heartbeat.sent_at, None)
        lease.on_reply(leader, current, 90, 13.1)
        announced = HeartbeatReply(leader, 0, 95, 0.0, None)
        lease.on_announcement(leader, announced, 90, 13.1)
        late = HeartbeatReply(leader, 0, 90, first.heartbeat.sent_at, None)
        lease.on_reply(follower, late, 90, 13.2)
        self.assertEqual(lease.configuration_age(13.2), float("inf"))
