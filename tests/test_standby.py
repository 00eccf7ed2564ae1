"""Local fallback dispatch and the backend directory while no dispatcher responds."""

import random
import unittest
from collections import Counter
from types import SimpleNamespace

from sassafraspin.admission import WithinLimits
from sassafraspin.backends import (
    Backend,
    Evacuation,
    EvacuationStore,
    RetirementStore,
)
from sassafraspin.daemon.dispatcher_health import DispatcherHealth
from sassafraspin.dispatch.budget import RetryBudget
from sassafraspin.dispatch.directory import (
    BackendDirectory,
)
from sassafraspin.dispatch.directory_publisher import (
    DirectoryPublisher,
)
from sassafraspin.membership import Member, View
from sassafraspin.routed.standby_scope import StandbyScope
from sassafraspin.routes import DeclaredTable
from sassafraspin.settings import DispatchSettings
from tests.pool_model import SERVICE, announcement
from tests.test_limits import request
from tests.test_routes import account, table


def backends(count: int) -> tuple[Backend, ...]:
    """Return announced backend servers."""
    return tuple(Backend(announcement(number), 0.0) for number in range(count))


class TestDispatcherHealth(unittest.TestCase):
    """A dispatcher is silent (unresponsive) from a timeout until its next answer."""

    def test_silent_until_the_next_answer(self):
        health = DispatcherHealth(0.08)
        health.record_silence(0.04)
        self.assertFalse(health.is_silent)
        health.record_silence(0.08)
        self.assertTrue(health.is_silent)
        health.record_answer()
        self.assertFalse(health.is_silent)


class TestStandbyScope(unittest.TestCase):
    """Ten instances that dispatch independently stay near the global limits."""

    def setUp(self):
        self.directory = BackendDirectory(30.0)
        DirectoryPublisher(self.directory).updates(
            (Backend(announcement(0, slots=7), 0.0),), 0.0
        )
        members = tuple(Member(f"m{n}", 1, "r", "z", "::1", 1) for n in range(10))
        capped = account(rate_per_second=100.0, burst=500.0)
        self.evacuations = EvacuationStore()
        state = SimpleNamespace(
            view=View(1, 1, members),
            evacuations=self.evacuations,
            retirements=RetirementStore(),
            routing=DeclaredTable(table(accounts=(capped,)), b""),
        )
        leader_scope = SimpleNamespace(
            known_backends=lambda service: tuple(self.directory.of_service(service))
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
                leader_scope,
                self.directory,
                lambda: True,
                random.Random(member.name),
            )
            for member in members
        ]
        self.scope = self.scopes[0]

    def test_retry_budget_is_shared(self):
        budget = RetryBudget(self.scope.settings())
        taken = sum(budget.try_acquire(0.0) for _ in range(100))
        self.assertLessEqual(10 * taken, 48)

    def test_slots_are_shared(self):
        """Together the instances use each slot once, and each instance has some."""
        DirectoryPublisher(self.directory).updates(
            tuple(Backend(announcement(n, slots=7 + n), 0.0) for n in range(9)), 0.0
        )
        used = Counter()
        for scope in self.scopes:
            servers = scope.known_backends(SERVICE)
            self.assertTrue(servers)
            used.update({server.id: server.slots for server in servers})
        self.assertEqual(used, {f"runner-{n}": 7 + n for n in range(9)})

    def test_each_instance_has_a_slot_with_fewer_slots_than_instances(self):
        """With ten instances and seven slots, each instance uses one slot.

        Together they use three more than there are, so that all of them serve callers.
        """
        used = [
            sum(s.slots for s in scope.known_backends(SERVICE)) for scope in self.scopes
        ]
        self.assertEqual(used, [1] * 10)

    def test_each_instance_has_a_slot_outside_of_evacuated_zones(self):
        """Otherwise all callers of some instances are refused for an evacuation."""
        DirectoryPublisher(self.directory).updates(
            tuple(
                Backend(announcement(n, slots=5, availability_zone=f"z{n}"), 0.0)
                for n in range(2)
            ),
            0.0,
        )
        before = self.scope.backends_revision()
        self.evacuations.begin(Evacuation("z0", 1))
        self.assertNotEqual(self.scope.backends_revision(), before)
        for scope in self.scopes:
            zones = {s.availability_zone for s in scope.known_backends(SERVICE)}
            self.assertIn("z1", zones)

    def test_refusal_by_a_part_of_a_cap_holds_for_a_short_time(self):
        """A dispatcher that knows the whole usage is there again within a second."""
        caps = self.scope.limits()
        refused = []
        for _ in range(200):
            answer = caps.admit(request(400), 100.0)
            if not isinstance(answer, WithinLimits):
                refused.append(answer.retry_after)
        self.assertTrue(refused)
        self.assertLessEqual(max(refused), 1.0)

    def test_usage_caps_are_shared(self):
        """Ten instances together exceed a cap by at most two requests.

        Requests of 400 tokens exceed the 130 tokens that each instance may use of it.
        """
        for tokens in (10, 400):
            used = 0
            for scope in self.scopes:
                caps = scope.limits()
                for tick in range(800):
                    admitted = caps.admit(request(tokens), 100 + tick / 100)
                    used += tokens * isinstance(admitted, WithinLimits)
            cap = 100 * 8 + 500
            self.assertLessEqual(used, cap + 2 * tokens)
            # Small requests leave part of the cap unused: the window starts with half
            # of the burst, and a request that the random draw rejects is charged the
            # rest of the local share.
            self.assertGreaterEqual(used, 0.3 * cap)
