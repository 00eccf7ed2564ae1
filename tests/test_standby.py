"""What an instance knows and does while no dispatcher answers."""

import random
import unittest
from collections import Counter
from types import SimpleNamespace

from sassafraspin.admission import WithinLimits
from sassafraspin.backends import Backend
from sassafraspin.daemon.dispatcher_health import DispatcherHealth
from sassafraspin.dispatch.budget import RetryBudget
from sassafraspin.dispatch.directory import BackendDirectory, DirectoryFeed
from sassafraspin.membership import Member, View
from sassafraspin.routed.standby_scope import StandbyScope
from sassafraspin.routes import DeclaredTable
from sassafraspin.settings import DispatchSettings
from tests.pool_model import SERVICE, announcement
from tests.test_limits import request
from tests.test_routes import account, table


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


class TestStandbyScope(unittest.TestCase):
    """Ten instances that decide apart stay within what one may do."""

    def setUp(self):
        self.directory = BackendDirectory(30.0)
        for update in DirectoryFeed(1.0).updates(
            (Backend(announcement(0, slots=7), 0.0),), 0.0
        ):
            self.directory.take(update, 0.0)
        members = tuple(Member(f"m{n}", 1, "r", "z", "::1", 1) for n in range(10))
        capped = account(rate_per_second=100.0, burst=500.0)
        state = SimpleNamespace(
            view=View(1, 1, members),
            routing=DeclaredTable(table(accounts=(capped,)), b""),
        )
        self.scopes = [
            StandbyScope(
                SimpleNamespace(
                    name=member.name,
                    now=lambda: 100.0,
                    view=state.view,
                    configuration=SimpleNamespace(state=state),
                    settings=SimpleNamespace(
                        dispatch=DispatchSettings(retry_allowance=48)
                    ),
                ),
                None,
                self.directory,
                lambda: True,
                random.Random(member.name),
            )
            for member in members
        ]
        self.scope = self.scopes[0]

    def test_repeats(self):
        budget = RetryBudget(self.scope.settings())
        taken = sum(budget.take(0.0) for _ in range(100))
        self.assertLessEqual(10 * taken, 48)

    def test_slots(self):
        """The instances together use each slot once, and each of them has one."""
        for update in DirectoryFeed(1.0).updates(
            tuple(Backend(announcement(n, slots=7 + n), 0.0) for n in range(9)), 0.0
        ):
            self.directory.take(update, 0.0)
        used = Counter()
        for scope in self.scopes:
            servers = scope.known_backends(SERVICE)
            self.assertTrue(servers)
            used.update({server.id: server.slots for server in servers})
        self.assertEqual(used, {f"runner-{n}": 7 + n for n in range(9)})

    def test_each_instance_has_a_slot_though_there_are_few(self):
        """One server of seven slots and ten instances: three slots more are used."""
        used = [
            sum(s.slots for s in scope.known_backends(SERVICE)) for scope in self.scopes
        ]
        self.assertEqual(used, [1] * 10)

    def test_usage_caps(self):
        """Ten instances together keep a cap, also of requests above their share."""
        for tokens in (10, 400):
            used = 0
            for scope in self.scopes:
                caps = scope.limits()
                for tick in range(800):
                    admitted = caps.admit(request(tokens), 100 + tick / 100)
                    used += tokens * isinstance(admitted, WithinLimits)
            whole = 100 * 8 + 500
            self.assertLessEqual(used, whole + 2 * tokens)
            self.assertGreaterEqual(used, 0.3 * whole)


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

    def test_server_that_is_gone_is_told_at_once(self):
        servers = backends(7)
        self.tell(servers, 0.0)
        self.tell(servers[:6], 0.1)
        self.assertEqual(len(self.known()), 6)

    def test_lost_news_of_a_gone_server_comes_again(self):
        servers = backends(2)
        self.tell(servers, 0.0)
        self.feed.updates(servers[:1], 0.1)
        self.tell(servers[:1], 1.0)
        self.assertEqual(self.known(), ["runner-0"])

    def test_server_that_came_back_is_kept(self):
        again = Backend(announcement(0, incarnation=2), 0.0)
        self.tell(backends(1), 0.0)
        self.tell((), 0.1)
        self.tell((again,), 0.2)
        self.tell((again,), 1.0)
        self.assertEqual(self.known(), ["runner-0"])

    def test_learned_speed_is_told_when_it_has_changed(self):
        (server,) = backends(1)
        self.tell((server,), 0.0)
        for _ in range(60):
            server.speed.observe_prefill(2_000, 0.1)
        self.assertEqual(self.tell((server,), 0.1), 1)
        self.assertEqual(self.tell((server,), 0.2), 0)

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
