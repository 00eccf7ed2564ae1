"""Which control leader the instances follow, and whom the leader keeps in the view."""

import unittest

import msgspec
import trio

from sassafraspin.membership import (
    HeartbeatReply,
    MemberIdentity,
    MemberLease,
    MemberTimings,
    View,
)
from sassafraspin.rpc.datagrams import MAX_DATAGRAM_BYTES
from tests.routed_deployment import configuration
from tests.routed_model import CONTROL, ENTRIES, routed_model, run_in_virtual_time
from tests.test_config_transfer import MEMBER

MAX_SEARCH_SECONDS = 0.3
TICK_SECONDS = 0.05


def others(name: str) -> tuple[str, ...]:
    """Return the other control instances."""
    return tuple(item for item in CONTROL if item != name)


class TestSearch(unittest.TestCase):
    """A member that follows no leader asks one control instance after the other."""

    def test_control_instance_without_a_leader_does_not_keep_a_member(self):
        lease = MemberLease(MEMBER, CONTROL, 0.5, MemberTimings())
        now, asked_at = 10.0, None
        while lease.leader is None and now < 20.0:
            sent = lease.tick(0, 0, View(), now)
            now += TICK_SECONDS
            if sent is None:
                continue
            asked_at = asked_at or now
            leader = "c2" if sent.name == "c2" else None
            reply = HeartbeatReply(leader, 0, 0, sent.heartbeat.sent_at, None)
            lease.on_reply(sent.name, reply, 0, now)
        self.assertEqual(lease.leader, "c2")
        self.assertLessEqual(now - asked_at, MAX_SEARCH_SECONDS)


class TestLease(unittest.TestCase):
    """A lease is granted in time, whatever else the leader sends."""

    def test_lease_does_not_wait_for_a_large_update(self):
        async def scenario():
            async with routed_model() as model:
                leader = model.leader()
                large = configuration(2)
                large["tenants"] = [
                    {"name": f"account-{number}", "api_keys": [f"key-{number}"]}
                    for number in range(500)
                ]
                model.cut((leader,), ("e0",))
                await model.control(leader, "PUT", "config", large)
                await trio.sleep(1.0)
                model.blocked_links.clear()
                model.delivered.clear()
                index = model.runtimes[leader].node.configuration.index
                await model.seconds_until(
                    lambda: model.runtimes["e0"].node.configuration.index >= index
                )
            sizes = [
                len(msgspec.msgpack.encode(message))
                for _, target, message in model.delivered
                if target == "e0"
                and isinstance(message, HeartbeatReply)
                and message.lease_ms > 0
            ]
            self.assertTrue(sizes)
            self.assertLess(max(sizes), MAX_DATAGRAM_BYTES)

        run_in_virtual_time(scenario)


class TestChangeOfLeader(unittest.TestCase):
    """Instances that a new leader can reach follow it and stay in the view."""

    def test_leader_cut_off_from_its_quorum_does_not_keep_its_members(self):
        async def scenario():
            async with routed_model() as model:
                old = model.leader()
                model.cut((old,), others(old))
                new = await model.wait_for_leader(other_than=old)
                waited = await model.seconds_until(
                    lambda: all(model.followed_leader(e) == new for e in ENTRIES)
                )
                self.assertLessEqual(waited, MAX_SEARCH_SECONDS)

        run_in_virtual_time(scenario)

    def test_new_leader_keeps_the_members_that_it_reaches(self):
        async def scenario():
            async with routed_model() as model:
                old = model.leader()
                model.cut((old,), others(old))
                new = await model.wait_for_leader(other_than=old)
                reached = {new, *others(old), *ENTRIES}
                for _ in range(80):
                    await trio.sleep(0.1)
                    view = model.runtimes[new].node.view
                    self.assertLessEqual(reached, {item.name for item in view.members})

        run_in_virtual_time(scenario)

    def test_new_leader_announces_itself_to_members_whose_questions_are_lost(self):
        async def scenario():
            async with routed_model() as model:
                old = model.leader()
                model.blocked_links |= {
                    (entry, name) for entry in ENTRIES for name in others(old)
                }
                model.stop(old)
                new = await model.wait_for_leader(other_than=old)
                waited = await model.seconds_until(
                    lambda: all(model.followed_leader(e) == new for e in ENTRIES)
                )
                self.assertLessEqual(waited, MAX_SEARCH_SECONDS)

        run_in_virtual_time(scenario)

    def test_instances_stop_dispatching_by_themselves_once_there_is_a_leader(self):
        async def scenario():
            async with routed_model(("i1",)) as model:
                old = model.leader()
                running = (*others(old), *ENTRIES)
                model.stop(old)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(model.used_servers, running, 20.0)
                    await model.wait_for_leader(other_than=old)
                    waited = await model.seconds_until(
                        lambda: not any(map(model.uses_standby, running))
                    )
                    nursery.cancel_scope.cancel()
                self.assertLessEqual(waited, MAX_SEARCH_SECONDS)

        run_in_virtual_time(scenario)

    def test_late_reply_of_an_earlier_leader_does_not_bring_it_back(self):
        async def scenario():
            async with routed_model() as model:
                old = model.leader()
                late = [
                    message
                    for source, target, message in model.delivered
                    if (source, target) == (old, "e0")
                    and isinstance(message, HeartbeatReply)
                    and message.sent_at > 0
                ][-1]
                model.stop(old)
                new = await model.wait_for_leader(other_than=old)
                await model.seconds_until(lambda: model.followed_leader("e0") == new)
                model.runtimes["e0"].receive(MemberIdentity(old, 1), late)
                self.assertEqual(model.followed_leader("e0"), new)

        run_in_virtual_time(scenario)
