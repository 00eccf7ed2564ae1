"""Backend servers that leave, as the daemon for profiles acknowledges it."""

import unittest
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from unittest import mock

import trio

from sassafraspin.backends import Announcement, Backend, Retirement, RetirementStore
from sassafraspin.daemon.leaves import AnnouncementReceiver
from sassafraspin.daemon.messages import LeaveConfirmed
from sassafraspin.dispatch import AnnounceBackend
from sassafraspin.http import HttpServer, Response, as_handler
from sassafraspin.loopback import free_ports
from sassafraspin.settings import Address, HttpLimits
from sassafraspin.standins.announcer import Announcer
from sassafraspin.standins.model import AnnouncerSettings
from tests.pool_model import PoolModel
from tests.profile_cluster import ProfileCluster, announcement, profile_cluster

RUNNER = "runner-1"


class ClusterTestCase(unittest.TestCase):
    """Runs a scenario against three daemons that all have the control role."""

    def run_scenario(
        self, scenario: Callable[[ProfileCluster], Awaitable[None]]
    ) -> None:
        async def run() -> None:
            with trio.fail_after(60):
                async with profile_cluster() as cluster:
                    await scenario(cluster)

        trio.run(run)


class TestAcknowledgement(ClusterTestCase):
    """A leave is acknowledged when the dispatcher sends the server nothing new."""

    def test_leave_that_the_dispatcher_does_not_get_is_not_acknowledged(self):
        async def scenario(cluster):
            dispatcher = await cluster.dispatcher()
            other = cluster.other_than(dispatcher)
            await cluster.announce_until_acknowledged(dispatcher, announcement(1))
            await dispatcher.wait_accepting()
            cluster.is_lost = lambda source, target, message: (
                source != target and isinstance(message, AnnounceBackend)
            )
            response = await cluster.announce(other, announcement(2, leaving=True))
            self.assertEqual(dispatcher.accepting, (RUNNER,))
            self.assertEqual(response.status, 503)
            self.assertIsNotNone(response.headers.get("retry-after"))

        self.run_scenario(scenario)

    def test_leave_is_acknowledged_after_the_dispatcher_has_it(self):
        async def scenario(cluster):
            dispatcher = await cluster.dispatcher()
            other = cluster.other_than(dispatcher)
            await cluster.announce_until_acknowledged(dispatcher, announcement(1))
            await dispatcher.wait_accepting()
            self.assertEqual(dispatcher.accepting, (RUNNER,))
            lost = []

            def lose_first(source, target, message):
                is_forwarded = source != target and isinstance(message, AnnounceBackend)
                if is_forwarded and not lost:
                    lost.append(message)
                    return True
                return False

            cluster.is_lost = lose_first
            response = await cluster.announce(other, announcement(2, leaving=True))
            self.assertLess(response.status, 300)
            self.assertEqual(dispatcher.accepting, ())

        self.run_scenario(scenario)

    def test_instance_without_a_lease_acknowledges_nothing(self):
        async def scenario(cluster):
            dispatcher = await cluster.dispatcher()
            other = cluster.other_than(dispatcher)
            cluster.cut_off(other)
            while other.daemon.is_ready:
                await trio.sleep(0.02)
            for document in (announcement(1), announcement(2, leaving=True)):
                response = await cluster.announce(other, document)
                self.assertEqual(response.status, 503)

        self.run_scenario(scenario)


class TestNextDispatcher(ClusterTestCase):
    """A dispatcher that follows another one knows which servers have left."""

    def test_older_announcement_does_not_bring_a_server_back(self):
        async def scenario(cluster):
            dispatcher = await cluster.dispatcher()
            await cluster.announce_until_acknowledged(dispatcher, announcement(1))
            await dispatcher.wait_accepting()
            await cluster.announce_until_acknowledged(
                dispatcher, announcement(2, leaving=True)
            )
            cluster.end(dispatcher)
            follower = await cluster.dispatcher()
            # An instance that was suspended forwards it late.
            await cluster.announce(follower, announcement(1))
            for _ in range(10):
                self.assertEqual(follower.accepting, ())
                await trio.sleep(0.02)

        self.run_scenario(scenario)


class FakeDispatch:
    """Keeps the last announcement of each server, for one dispatched service."""

    def __init__(self) -> None:
        self.known: dict[str, Announcement] = {}

    def announce(self, announcement: Announcement) -> bool:
        self.known[announcement.id] = announcement
        return True

    def announcement_of(self, backend_id: str) -> Announcement | None:
        return self.known.get(backend_id)

    def backends(self) -> tuple[Backend, ...]:
        return tuple(Backend(item, 0.0) for item in self.known.values())


class TestAnnouncementReceiver(unittest.TestCase):
    """A dispatcher confirms a leave once it is in the control log."""

    def setUp(self):
        self.retirements = RetirementStore()
        self.sent = []
        state = SimpleNamespace(retirements=self.retirements)
        node = SimpleNamespace(
            configuration=SimpleNamespace(state=state),
            lease=SimpleNamespace(leader="leader"),
            send=lambda target, message: self.sent.append((target, message)),
        )
        self.dispatch = FakeDispatch()
        self.receiver = AnnouncementReceiver(node, self.dispatch)

    def receive(self, *announcements: Announcement) -> list:
        """Return the messages that are sent for announcements of an instance."""
        self.sent.clear()
        for item in announcements:
            self.receiver.receive("entry", item)
        return list(self.sent)

    def retire(self, sequence: int) -> None:
        """Apply the log entry that retires the server."""
        self.retirements.retire(Retirement(RUNNER, 1, sequence), sequence)

    def test_leave_is_confirmed_after_it_is_in_the_log(self):
        leave = announcement(2, leaving=True)
        (proposal,) = self.receive(leave)
        self.assertEqual(proposal[0], "leader")
        self.assertEqual(proposal[1].command.retirement, Retirement(RUNNER, 1, 2))
        self.retire(2)
        self.assertEqual(self.receive(leave), [("entry", LeaveConfirmed.of(leave))])

    def test_repeated_leave_is_proposed_once(self):
        self.receive(announcement(2, leaving=True))
        self.retire(2)
        repeat = announcement(3, leaving=True)
        self.assertEqual(self.receive(repeat), [("entry", LeaveConfirmed.of(repeat))])

    def test_second_leave_is_not_confirmed_by_the_first_retirement(self):
        self.receive(announcement(2, leaving=True))
        self.retire(2)
        second = announcement(4, leaving=True)
        (proposal, again) = self.receive(announcement(3), second, second)
        self.assertEqual(proposal[1].command.retirement, Retirement(RUNNER, 1, 4))
        self.assertEqual(again, proposal)

    def test_announcement_from_before_the_retirement_is_ignored(self):
        self.retire(2)
        self.receive(announcement(1))
        self.assertEqual(self.dispatch.known, {})

    def test_new_pool_does_not_rely_on_an_earlier_leave(self):
        self.receive(announcement(2, leaving=True))
        self.retire(2)
        self.dispatch.known.clear()
        (proposal,) = self.receive(announcement(8, leaving=True))
        self.assertEqual(proposal[1].command.retirement, Retirement(RUNNER, 1, 8))


class TestAnnouncementsWithoutNumber(unittest.TestCase):
    """Announcements of an incarnation that does not number them."""

    def test_late_announcement_does_not_end_a_leave(self):
        model = PoolModel(servers=0)
        model.announce(0, sequence=0)
        model.announce(0, sequence=0, leaving=True)
        model.announce(0, sequence=0)
        self.assertEqual(model.pool.status(model.now).accepting, 0)

    def test_restart_ends_a_leave(self):
        model = PoolModel(servers=0)
        model.announce(0, sequence=0, leaving=True)
        model.announce(0, sequence=0, incarnation=2)
        self.assertEqual(model.pool.status(model.now).accepting, 1)


class TestAnnouncer(unittest.TestCase):
    """A stand-in server asks another instance if one can't acknowledge."""

    def test_announcement_answered_with_503_goes_to_the_next_instance(self):
        async def run() -> None:
            statuses = {}
            with trio.fail_after(10):
                async with trio.open_nursery() as nursery:
                    targets = []
                    for port, status in zip(free_ports(2), (503, 202), strict=True):
                        target = Address("127.0.0.1", port)

                        async def answer(request, status=status, target=target):
                            statuses[target] = status
                            return Response(status)

                        server = HttpServer(target, HttpLimits(), as_handler(answer))
                        await nursery.start(server.serve)
                        targets.append(target)
                    settings = AnnouncerSettings(tuple(targets), "token")
                    first = mock.Mock(randrange=lambda count: 0)
                    await Announcer(settings, announcement, first).announce()
                    nursery.cancel_scope.cancel()
            self.assertEqual(list(statuses.values()), [503, 202])

        trio.run(run)


if __name__ == "__main__":
    unittest.main()
