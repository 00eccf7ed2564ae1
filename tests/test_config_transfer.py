"""Transfer of the configuration to members, and its cost for control instances."""

import random
import unittest

import msgspec

from sassafraspin.control import (
    ChangeView,
    Configuration,
    ControlNode,
    ControlNodeSettings,
    PutTable,
    ReplicaDisk,
    ReplicaTimings,
)
from sassafraspin.control.commands import encode_command
from sassafraspin.control.messages import AppendRequest, InstallSnapshot
from sassafraspin.membership import (
    HeartbeatReply,
    Member,
    MemberHeartbeat,
    MemberIdentity,
    MemberTimings,
    PackedUpdate,
    View,
    unpack_update,
)
from sassafraspin.routes import CallerLimits, DeclaredTable, RoutingTable
from tests.quorum_model import QuorumModel
from tests.simulation import MemoryFiles

TABLE_BYTES = 40_000
MAX_LOG_BYTES = 8 * 1024 * 1024
MAX_COMMIT_SECONDS = 2.0
MAX_REPLY_BYTES = 256 * 1024

MEMBER = Member("m1", 1, "south", "a", "10.0.0.9", 7400)
IDENTITY = MemberIdentity("m1", 1)


def table_change(version: int, size: int = TABLE_BYTES) -> PutTable:
    """Return a change to a routing table whose document has ``size`` bytes."""
    table = RoutingTable(version, (), (), (), CallerLimits())
    document = random.Random(version).randbytes(size)
    return PutTable(f"table-{version}", 0, DeclaredTable(table, document))


class SingleLeader:
    """A control quorum of one instance that leads, with a clock set by the test."""

    def __init__(self) -> None:
        self.now = 0.0
        settings = ControlNodeSettings(
            "c0", ("c0",), ReplicaTimings(), MemberTimings(), 1_000
        )
        self.configuration = Configuration()
        self.node = ControlNode(
            settings,
            ReplicaDisk(MemoryFiles()),
            self.configuration,
            lambda target, message: None,
            random.Random(1),
            self.now,
            lambda: 0,
        )
        while not self.node.leads(self.now):
            self.advance(0.1)

    def advance(self, seconds: float) -> None:
        """Advance the clock and run the periodic work."""
        self.now += seconds
        self.node.tick(self.now)

    def change(self, count: int, size: int = TABLE_BYTES) -> None:
        """Apply changes of the routing table."""
        routing = self.configuration.state.routing
        first = 1 if routing is None else routing.table.version + 1
        for version in range(first, first + count):
            self.node.propose(
                table_change(version, size), lambda result: None, self.now
            )

    def heartbeat(self, index: int) -> HeartbeatReply:
        """Return the reply to a member whose configuration is at ``index``."""
        heartbeat = MemberHeartbeat(MEMBER, index, 0, False, self.now)
        return self.node.heartbeat(IDENTITY, heartbeat, self.now)


def encoded_size(reply: HeartbeatReply) -> int:
    """Return the bytes of a reply on the wire."""
    return len(msgspec.msgpack.encode(reply))


class TestHeartbeatReplies(unittest.TestCase):
    """Configuration sent in reply to heartbeats."""

    def test_repeated_heartbeats_of_a_starting_member_do_not_multiply_updates(self):
        leader = SingleLeader()
        leader.change(40)
        sent = 0
        for _ in range(30):
            sent += encoded_size(leader.heartbeat(0))
            leader.advance(0.1)
        self.assertLess(sent, 8 * len(leader.configuration.state.to_bytes()))

    def test_member_without_history_gets_the_state_and_not_each_change(self):
        leader = SingleLeader()
        leader.change(40)
        member = Configuration()
        sent = 0
        for _ in range(50):
            reply = leader.heartbeat(member.index)
            sent += encoded_size(reply)
            if reply.update is not None:
                member.apply_update(reply.update)
            leader.advance(0.1)
        self.assertEqual(member.index, leader.configuration.index)
        self.assertEqual(member.state.to_bytes(), leader.configuration.state.to_bytes())
        self.assertLess(sent, 2 * len(leader.configuration.state.to_bytes()))

    def test_replies_are_bounded_however_far_a_member_is_behind(self):
        leader = SingleLeader()
        leader.change(400, size=4_000)
        for index in (0, 1, 200, leader.configuration.index - 1):
            leader.advance(10.0)
            self.assertLess(encoded_size(leader.heartbeat(index)), MAX_REPLY_BYTES)

    def test_lost_update_is_sent_again(self):
        leader = SingleLeader()
        leader.change(3)
        self.assertIsNotNone(leader.heartbeat(0).update)
        repeated = 0
        for _ in range(20):
            leader.advance(0.1)
            repeated += leader.heartbeat(0).update is not None
        self.assertGreaterEqual(repeated, 2)

    def test_followers_send_no_configuration(self):
        model = QuorumModel(3)
        model.run(5.0)
        leader = model.leader()
        model.propose(leader.name)
        model.run(2.0)
        for node in model.nodes.values():
            heartbeat = MemberHeartbeat(MEMBER, 0, 0, False, 0.0)
            reply = node.control.heartbeat(IDENTITY, heartbeat, node.clock.now())
            self.assertEqual(reply.update is not None, node is leader)


class TestReplication(unittest.TestCase):
    """Log entries sent from the leader to the other voters."""

    def test_entries_on_a_slow_stream_are_sent_once(self):
        model = QuorumModel(3)
        model.run(5.0)
        leader = model.leader()
        sent: dict[str, int] = {}
        deliver = model.network._deliver
        send = model.network.send

        def send_slowly(source: str, target: str, message: object) -> None:
            if isinstance(message, AppendRequest) and message.entries:
                sent[target] = sent.get(target, 0) + len(message.entries)
                model.schedule(0.5, lambda: deliver(source, target, message))
            else:
                send(source, target, message)

        model.network.send = send_slowly
        decided = []
        leader.control.propose(table_change(1), decided.append, leader.clock.now())
        model.run(3.0)
        self.assertEqual([item.outcome.kind for item in decided], ["accepted"])
        self.assertEqual(sent, dict.fromkeys(model.nodes.keys() - {leader.name}, 1))

    def test_commits_with_a_bare_majority_survive_the_loss_of_datagrams(self):
        for seed in range(3):
            self.assertLess(max(self.commit_times(0.03, seed)), MAX_COMMIT_SECONDS)

    def commit_times(self, loss: float, seed: int) -> list[float]:
        """Return the seconds that commits take while two of five voters are down."""
        model = QuorumModel(5, seed=seed)
        model.run(5.0)
        leader = model.leader()
        for name in [name for name in model.nodes if name != leader.name][:2]:
            model.crash(name)
        model.run(2.0)
        generator = random.Random(seed)
        send = model.network.send

        def send_with_loss(source: str, target: str, message: object) -> None:
            if generator.random() >= loss:
                send(source, target, message)

        model.network.send = send_with_loss
        times = []
        for _ in range(30):
            before = len(model.acknowledged)
            started_at = model.network.now
            model.propose(model.leader().name)
            while len(model.acknowledged) == before:
                model.run(0.05)
                if model.network.now > started_at + MAX_COMMIT_SECONDS:
                    break
            times.append(model.network.now - started_at)
            model.run(0.3)
        return times

    def test_leader_keeps_its_lease_while_the_majority_needs_a_snapshot(self):
        model = QuorumModel(3)
        model.run(5.0)
        leader = model.leader()
        behind, other = [name for name in model.nodes if name != leader.name]
        model.crash(behind)
        for _ in range(10):
            model.propose(leader.name)
            model.run(0.3)
        deliver = model.network._deliver
        send = model.network.send

        def send_slowly(source: str, target: str, message: object) -> None:
            if isinstance(message, InstallSnapshot):
                model.schedule(4.0, lambda: deliver(source, target, message))
            else:
                send(source, target, message)

        model.network.send = send_slowly
        model.crash(other)
        model.restart(behind)
        without_leader = 0
        for _ in range(80):
            model.run(0.1)
            without_leader += model.leader() is None
        self.assertLess(without_leader, 12)


class TestLogSize(unittest.TestCase):
    """Memory and disk of the control log under many changes of a large table."""

    def test_log_is_compacted_before_large_tables_fill_the_disk(self):
        leader = SingleLeader()
        for _ in range(20):
            leader.change(20)
            self.assertLess(leader.node.replica.log.bytes, MAX_LOG_BYTES)
            self.assertLess(leader.configuration.retained_bytes, MAX_LOG_BYTES)

    def test_state_of_declared_routes_does_not_grow_with_each_view(self):
        sizes = []
        for count in (1, 60):
            configuration = Configuration(view_retention_ms=0)
            for number in range(1, count + 1):
                members = tuple(
                    Member(f"m{name}", number, "s", "a", "h", 7400)
                    for name in range(60)
                )
                command = ChangeView(f"v{number}", number, View(number, 0, members))
                configuration.apply(number, encode_command(command))
            sizes.append(len(configuration.state.to_bytes()))
        self.assertLess(sizes[1], 2 * sizes[0])


class TestPackedUpdates(unittest.TestCase):
    """Compressed updates, and members that do not understand them."""

    def views(self) -> SingleLeader:
        """Return a leader after sixty changes of a view with sixty members."""
        leader = SingleLeader()
        for number in range(60):
            members = tuple(
                Member(f"m{name}", 1 + number * (name == number), "s", "a", "h", 7400)
                for name in range(60)
            )
            view = View(leader.configuration.state.view.number + 1, 0, members)
            command = ChangeView(f"view-{view.number}", 0, view)
            leader.node.propose(command, lambda result: None, leader.now)
        return leader

    def reply(self, leader: SingleLeader, accepts_packed: bool) -> HeartbeatReply:
        heartbeat = MemberHeartbeat(
            MEMBER, 0, 0, False, leader.now, accepts_packed=accepts_packed
        )
        return leader.node.heartbeat(IDENTITY, heartbeat, leader.now)

    def test_repeated_views_take_a_fraction_of_their_bytes(self):
        plain = self.reply(self.views(), False)
        packed = self.reply(self.views(), True)
        self.assertLess(10 * encoded_size(packed), encoded_size(plain))
        self.assertEqual(unpack_update(packed.update), plain.update)

    def test_builds_that_do_not_know_packed_updates_get_plain_ones(self):
        heartbeat = msgspec.msgpack.encode(MemberHeartbeat(MEMBER, 0, 0, False, 0.0))
        *old_fields, accepts_packed = msgspec.msgpack.decode(heartbeat)
        self.assertIs(accepts_packed, False)
        decoded = msgspec.msgpack.decode(
            msgspec.msgpack.encode(old_fields), type=MemberHeartbeat
        )
        self.assertFalse(decoded.accepts_packed)
        self.assertNotIsInstance(self.reply(self.views(), False).update, PackedUpdate)

    def test_damaged_update_is_ignored(self):
        packed = self.reply(self.views(), True).update
        member = Configuration()
        for data in (b"", packed.data[:-9], b"x" + packed.data, packed.data[::-1]):
            member.apply_update(PackedUpdate(packed.last_index, data))
        self.assertEqual(member.index, 0)
