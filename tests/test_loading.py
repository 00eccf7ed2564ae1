"""Orders to load a new version."""

import unittest
from dataclasses import replace

from sassafraspin.backends import Backend
from sassafraspin.dispatch.loading import LoadPlanner
from sassafraspin.moves import (
    DirectorSettings,
    Move,
    MovePhase,
    MoveSpec,
    TakeBackReason,
)
from tests.pool_model import announcement

NOW = 100.0
SPEC = MoveSpec("move", "model", "v1", "v2", 60_000, runners=2)
MOVE = Move(SPEC, MovePhase.LOADING, TakeBackReason.NONE, "", "ayse", 0, 0)


class TestLoadPlanner(unittest.TestCase):
    """One order at a time, with the fencing number, not before it is allowed."""

    def setUp(self):
        self.backends = tuple(Backend(announcement(n), NOW) for n in range(4))
        self.planner = LoadPlanner(7, NOW, 5.0, DirectorSettings())

    def plan(self, now: float, move: Move | None = MOVE):
        return self.planner.plan(move, self.backends, now)

    def load(self, backend_id: str) -> None:
        """Let a server announce that it has loaded the version."""
        for backend in self.backends:
            if backend.announcement.id == backend_id:
                told = replace(backend.announcement, versions=("v1", "v2"))
                backend.take_announcement(told, NOW)

    def test_carries_the_fencing_number(self):
        self.assertEqual(self.plan(NOW).fencing, 7)

    def test_waits_for_older_leases(self):
        planner = LoadPlanner(7, NOW + 3.0, 5.0, DirectorSettings())
        self.assertIsNone(planner.plan(MOVE, self.backends, NOW + 2.9))
        self.assertIsNotNone(planner.plan(MOVE, self.backends, NOW + 3.0))

    def test_one_at_a_time_at_the_weight_stores_rate(self):
        first = self.plan(NOW)
        self.assertIsNone(self.plan(NOW + 1.0))
        self.load(first.backend_id)
        self.planner.note_ended(NOW + 2.0)
        self.assertIsNone(self.plan(NOW + 6.9))
        second = self.plan(NOW + 7.0)
        self.assertNotEqual(second.backend_id, first.backend_id)

    def test_stops_when_enough_have_it(self):
        for backend_id in ("runner-0", "runner-1"):
            self.load(backend_id)
        self.assertIsNone(self.plan(NOW))

    def test_no_order_outside_a_move(self):
        for move in (None, replace(MOVE, phase=MovePhase.TAKING_BACK)):
            self.assertIsNone(self.plan(NOW, move))
