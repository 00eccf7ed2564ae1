"""What an instance knows and does while no dispatcher answers."""

import unittest

from sassafraspin.backends import Backend
from sassafraspin.daemon.dispatcher_health import DispatcherHealth
from sassafraspin.dispatch.directory import BackendDirectory, DirectoryFeed
from tests.pool_model import SERVICE, announcement


def backends(count: int) -> tuple[Backend, ...]:
    """Return announced servers."""
    return tuple(Backend(announcement(number), 0.0) for number in range(count))


class TestDispatcherHealth(unittest.TestCase):
    """A dispatcher is silent from one unanswered question until it is heard."""

    def test_silence(self):
        health = DispatcherHealth(0.08)
        health.note_waiting(0.04)
        self.assertFalse(health.is_silent)
        health.note_waiting(0.08)
        self.assertTrue(health.is_silent)
        health.note_answer()
        self.assertFalse(health.is_silent)


class TestDirectory(unittest.TestCase):
    """Every instance keeps the servers that the dispatcher tells of."""

    def setUp(self):
        self.feed = DirectoryFeed(1.0)
        self.directory = BackendDirectory(30.0)

    def tell(self, servers: tuple[Backend, ...], now: float) -> int:
        updates = self.feed.updates(servers, now)
        for update in updates:
            self.directory.take(update, now)
        return sum(len(update.announcements) for update in updates)

    def known(self) -> list[str]:
        return sorted(item.id for item in self.directory.of_service(SERVICE))

    def test_all_in_each_round_and_changes_at_once(self):
        servers = backends(7)
        self.assertEqual(self.tell(servers, 0.0), 7)
        self.assertEqual(self.tell(servers, 0.5), 0)
        servers[3].withdraw()
        self.assertEqual(self.tell(servers, 0.6), 1)
        self.assertEqual(len(self.known()), 6)
        self.assertEqual(self.tell(servers, 1.0), 7)

    def test_late_update_is_passed_over(self):
        newer = Backend(announcement(0, incarnation=2, leaving=True), 0.0)
        older = Backend(announcement(0, incarnation=1), 0.0)
        self.tell((newer,), 0.0)
        self.tell((older,), 1.0)
        self.assertEqual(self.known(), [])

    def test_server_that_nobody_tells_of_is_forgotten(self):
        first, second = backends(2)
        self.tell((first, second), 0.0)
        self.tell((second,), 31.0)
        self.assertEqual(self.known(), [second.announcement.id])
