"""Tests of the orders to load a new version."""

import unittest
from dataclasses import replace

from sassafraspin.backends import Backend
from sassafraspin.dispatch.loading import LoadPlanner
from sassafraspin.moves import (
    Move,
    MovePhase,
    MoveSpec,
    RollbackReason,
    RolloutSettings,
)
from tests.pool_model import announcement

NOW = 100.0
SPEC = MoveSpec("move", "model", "v1", "v2", 60_000, runners=2)
MOVE = Move(SPEC, MovePhase.LOADING, RollbackReason.NONE, "", "ayse", 0, 0)


class TestLoadPlanner(unittest.TestCase):
    """Orders of the planner: fencing, rate, start time and end."""

    def setUp(self):
        self.backends = tuple(Backend(announcement(n), NOW) for n in range(4))
        self.planner = LoadPlanner(7, NOW, 5.0, RolloutSettings())

    def plan(self, now: float, move: Move | None = MOVE):
        return self.planner.plan(move, self.backends, now)

    def load(self, backend_id: str) -> None:
        """Announce that a server has loaded the new version."""
        for backend in self.backends:
            if backend.announcement.id == backend_id:
                loaded = replace(backend.announcement, versions=("v1", "v2"))
                backend.apply_announcement(loaded, NOW)

    def test_order_carries_the_fencing_token(self):
        self.assertEqual(self.plan(NOW).fencing, 7)

    def test_no_order_before_older_leases_have_expired(self):
        planner = LoadPlanner(7, NOW + 3.0, 5.0, RolloutSettings())
        self.assertIsNone(planner.plan(MOVE, self.backends, NOW + 2.9))
        self.assertIsNotNone(planner.plan(MOVE, self.backends, NOW + 3.0))

    def test_one_order_at_a_time_with_the_minimum_interval(self):
        first = self.plan(NOW)
        self.assertIsNone(self.plan(NOW + 1.0))
        self.load(first.backend_id)
        self.planner.record_order_ended(NOW + 2.0)
        self.assertIsNone(self.plan(NOW + 6.9))
        second = self.plan(NOW + 7.0)
        self.assertNotEqual(second.backend_id, first.backend_id)

    def test_no_order_once_enough_servers_have_loaded_the_version(self):
        for backend_id in ("runner-0", "runner-1"):
            self.load(backend_id)
        self.assertIsNone(self.plan(NOW))

    def test_no_order_outside_a_move(self):
        for move in (None, replace(MOVE, phase=MovePhase.ROLLING_BACK)):
            self.assertIsNone(self.plan(NOW, move))
