"""Beliefs without an end: joining members, old announcements, old routes."""

import unittest
from dataclasses import replace

import trio

from sassafraspin.backends import Retirement
from sassafraspin.control import Configuration, RetireServer
from sassafraspin.control.transit import LARGE_BYTES
from sassafraspin.membership import (
    HeartbeatReply,
    Member,
    MemberHeartbeat,
    MemberLease,
    MemberTable,
    MemberTimings,
    View,
)
from sassafraspin.routed.problems import NotCurrent
from tests.routed_deployment import configuration
from tests.routed_model import (
    ENTRIES,
    SERVICE,
    RoutedModel,
    routed_model,
    run_in_virtual_time,
)
from tests.test_config_transfer import MEMBER, SingleLeader

HEARTBEAT_SECONDS = 0.5
STEP_SECONDS = 0.05
LEASE_SECONDS = MemberTimings().lease
SERVER = "i1"

MAX_USE_SECONDS = 2.0
"""Time after the acknowledgement for which a server that leaves still serves."""

MAX_APPLY_SECONDS = 2.0
"""Time after the acknowledgement of a routing table until it is in force."""


class ModelMember:
    """A member that reports to a leader; messages take no time unless they are lost.

    Parameters
    ----------
    leader : SingleLeader
        The leader.
    member : Member
        The member, with its incarnation.
    """

    def __init__(self, leader: SingleLeader, member: Member) -> None:
        self.leader = leader
        self.identity = member.identity
        self.configuration = Configuration()
        self.lease = MemberLease(member, ("c0",), HEARTBEAT_SECONDS, MemberTimings())
        self.loses_pushes = False
        self.loses_all = False

    @property
    def may_use_the_server(self) -> bool:
        """Return whether the member may dispatch alone without the retirement."""
        state = self.configuration.state
        if state.retirements.find(SERVER) is not None:
            return False
        # As StandbyScope does.
        is_member = state.view.contains(self.identity)
        return is_member and self.lease.may_act_alone(self.leader.now)

    def tick(self) -> None:
        """Send the heartbeat that is due, and handle its reply."""
        index = self.configuration.index
        view = self.configuration.state.view
        sent = self.lease.tick(index, 0, view, self.leader.now)
        if sent is None or self.loses_all:
            return
        node = self.leader.node
        reply = node.heartbeat(self.identity, sent.heartbeat, self.leader.now)
        update = reply.update
        if update is not None and update.size >= LARGE_BYTES:
            raise AssertionError("the updates of this scenario are small")
        self._receive(reply)

    def receive_push(self, reply: HeartbeatReply) -> None:
        """Handle a message that the leader sends unasked."""
        if not self.loses_pushes:
            self._receive(reply)

    def _receive(self, reply: HeartbeatReply) -> None:
        if reply.update is not None:
            self.configuration.apply_update(reply.update)
            self.lease.on_update(self.configuration.index, reply.update.last_index)
        index, now = self.configuration.index, self.leader.now
        if reply.sent_at > 0:
            self.lease.on_reply("c0", reply, index, now)
        else:
            self.lease.on_announcement("c0", reply, index, now)


class Cluster:
    """A leader and the processes of one other instance."""

    def __init__(self) -> None:
        self.leader = SingleLeader()
        self.running: list[ModelMember] = []
        self._pushed_index = self.leader.configuration.index

    def start(self, member: Member) -> ModelMember:
        """Start a process of the instance."""
        process = ModelMember(self.leader, member)
        self.running = [process]
        return process

    def advance(self, seconds: float) -> None:
        """Let time pass: the leader ticks and pushes, the processes report."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.leader.advance(STEP_SECONDS)
            self._push()
            for process in self.running:
                process.tick()

    def retire(self) -> int:
        """Retire the server; return the index from which on it is not used."""
        command = RetireServer("retire", 0, Retirement(SERVER, 1, 2))
        self.leader.node.propose(command, lambda result: None, self.leader.now)
        return self.leader.configuration.index

    def seconds_until_acknowledged(self, index: int) -> float:
        """Wait until no member may act without it, as ``ServerRetirement`` does."""
        since = self.leader.now
        while not self.leader.node.is_in_force(index, since, self.leader.now):
            self.advance(STEP_SECONDS)
        return self.leader.now - since

    def _push(self) -> None:
        """Push as ``ControlService`` does: to the members of the view."""
        node, index = self.leader.node, self.leader.configuration.index
        if index == self._pushed_index:
            return
        for member in self.leader.configuration.state.view.members:
            identity = member.identity
            update = node.push_update(identity, self._pushed_index, self.leader.now)
            for process in self.running:
                process.receive_push(node.announcement(update))
        self._pushed_index = index


class TestRestartedMember(unittest.TestCase):
    """A process that was started again is not in the view before the old one ends."""

    def test_member_that_joins_after_an_acknowledgement_does_not_act_without_it(self):
        cluster = Cluster()
        cluster.start(MEMBER)
        cluster.advance(2.0)
        cluster.running.clear()
        cluster.advance(0.4)
        process = cluster.start(replace(MEMBER, incarnation=2))
        cluster.advance(2.35)
        index = cluster.retire()
        process.loses_pushes = True
        cluster.seconds_until_acknowledged(index)
        acknowledged_at = cluster.leader.now
        while not process.lease.is_held(cluster.leader.now):
            self.assertLess(cluster.leader.now, acknowledged_at + LEASE_SECONDS)
            cluster.advance(STEP_SECONDS)
        process.loses_all = True
        used_after = []
        while cluster.leader.now < acknowledged_at + 2 * LEASE_SECONDS:
            if process.may_use_the_server:
                used_after.append(round(cluster.leader.now - acknowledged_at, 2))
            cluster.advance(STEP_SECONDS)
        self.assertEqual(used_after, [])

    def test_member_whose_earlier_incarnation_had_a_higher_number_is_waited_for(self):
        """The clock of its machine was set back before it was started again."""
        earlier = replace(MEMBER, incarnation=9)
        table = MemberTable(MemberTimings(), 0.0)
        view = View(1, 0, (earlier,))
        leaving = MemberHeartbeat(None, 5, 0, True, 4.0)
        table.grant(earlier.identity, leaving, view, 4.0)
        reported = MemberHeartbeat(MEMBER, 5, 0, False, 4.5)
        table.grant(MEMBER.identity, reported, view, 4.5)
        view = table.plan_view(view, 4.6)
        self.assertEqual(view.members, (MEMBER,))
        self.assertGreater(table.grant(MEMBER.identity, reported, view, 5.0), 0)
        self.assertEqual(table.lagging_members(6, view), [MEMBER.name])
        self.assertLess(table.reached_index(view), 6)


class TestOutdatedControlNames(unittest.TestCase):
    """A member that was away while a control instance was replaced."""

    def test_leader_that_was_not_a_control_instance_before_is_asked(self):
        lease = MemberLease(MEMBER, ("c1", "c2", "c3"), 0.5, MemberTimings())
        view = View(1, 0, (replace(MEMBER, name="c4"),))
        now, asked = 10.0, set()
        while now < 30.0:
            sent = lease.tick(5, 0, view, now)
            if sent is not None:
                asked.add(sent.name)
                sent_at = sent.heartbeat.sent_at
                reply = HeartbeatReply("c4", 0, 90, sent_at, None, (), 7)
                if sent.name in ("c2", "c3"):
                    lease.on_reply(sent.name, reply, 5, now)
            now += 0.1
        self.assertEqual(lease.leader, "c4")
        self.assertIn("c4", asked)


class TestServerThatNumbersAnew(unittest.TestCase):
    """A server whose announcements have lower numbers than those known of it."""

    def test_acknowledged_leave_with_a_lower_number_ends_the_use(self):
        async def leave(model: RoutedModel) -> int:
            document = {
                "service": SERVICE,
                "address": "10.0.1.1:8000",
                "zone": "a",
                "version": "v1",
                "slots": 20,
                "state": "draining",
                "sequence": 1,
                "born": 0,
            }
            path = f"instances/{SERVER}"
            response = await model.control(model.leader(), "PUT", path, document)
            return response.status

        async def scenario():
            async with routed_model((SERVER, "i2")) as model:
                model.stop_server(SERVER)
                is_acknowledged = await leave(model) == 200
                await trio.sleep(MAX_USE_SECONDS)
                used = await model.used_servers(ENTRIES, 3.0)
                self.assertFalse(is_acknowledged and SERVER in used)

        run_in_virtual_time(scenario)


class TestStalledStream(unittest.TestCase):
    """An instance that gets no large updates, but hears the leader."""

    def test_routes_that_were_replaced_are_not_used(self):
        async def scenario():
            async with routed_model() as model:
                send = model._send

                def lose_large_updates(source, target, message) -> None:
                    update = getattr(message, "update", None)
                    is_large = update is not None and update.size >= LARGE_BYTES
                    if target != "e0" or not is_large:
                        send(source, target, message)

                model._send = lose_large_updates
                table = configuration(2)
                table["tenants"] = [
                    {"name": f"account-{number}", "api_keys": [f"key-{number}"]}
                    for number in range(500)
                ]
                response = await model.control(model.leader(), "PUT", "config", table)
                self.assertEqual(response.status, 200)
                await trio.sleep(5 * MAX_APPLY_SECONDS)
                with self.assertRaises(NotCurrent):
                    model.runtimes["e0"].routing_view.index()

        run_in_virtual_time(scenario)


if __name__ == "__main__":
    unittest.main()
