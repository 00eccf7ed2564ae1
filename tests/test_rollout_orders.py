"""Answers to operators' orders for each outcome in the control log."""

import json
import unittest
from types import SimpleNamespace
from unittest import mock

import trio

from sassafraspin.control import (
    CommandOutcome,
    Configuration,
    ControlState,
    DeclareMove,
    OutcomeKind,
)
from sassafraspin.daemon.problems import Conflict, ControlUnavailable
from sassafraspin.daemon.proposals import require_in_force
from sassafraspin.moves import MoveRefusal
from sassafraspin.routed.operations import Operations
from tests.routed_deployment import RoutedDeployment
from tests.test_routed_daemon import RoutedTestCase


class TestOrdersOfOneService(RoutedTestCase):
    """Orders for rollouts of a service while one of them runs, and after it."""

    async def order(self, deployment: RoutedDeployment, target: str) -> int:
        document = {"service": "desk", "target": target, "duration_s": 60}
        response = await deployment.control("POST", "rollouts", document)
        return response.status

    async def target(self, deployment: RoutedDeployment) -> str:
        """Return the version that the status of the rollout names."""
        response = await deployment.control("GET", "rollouts/desk")
        return json.loads(response.body)["target"]

    def test_order_for_another_version_is_refused_while_a_rollout_runs(self):
        # Guards against acknowledging an order that has no effect.
        async def scenario(deployment):
            self.assertEqual(await self.order(deployment, "v2"), 200)
            self.assertEqual(await self.order(deployment, "v3"), 409)
            self.assertEqual(await self.target(deployment), "v2")

        self.run_scenario(scenario)

    def test_retried_order_is_acknowledged_again(self):
        # Guards against refusing an order that was accepted.
        async def scenario(deployment):
            for _ in range(2):
                self.assertEqual(await self.order(deployment, "v2"), 200)

        self.run_scenario(scenario)

    def test_same_order_sent_twice_at_once_is_acknowledged_twice(self):
        # Guards against refusing the second copy of an order that is accepted.
        async def scenario(deployment):
            statuses: list[int] = []

            async def send() -> None:
                statuses.append(await self.order(deployment, "v2"))

            async with trio.open_nursery() as nursery:
                for _ in range(4):
                    nursery.start_soon(send)
            self.assertEqual(statuses, [200] * 4)
            self.assertEqual(await self.target(deployment), "v2")

        self.run_scenario(scenario)

    def test_unknown_outcome_is_answered(self):
        # Guards against a connection that closes without an answer.
        async def propose(client, command):
            return None

        async def scenario(deployment):
            name = "sassafraspin.daemon.proposals.ProposalClient.propose"
            with mock.patch(name, propose), trio.move_on_after(0.5):
                await self.order(deployment, "v2")
                self.fail("the order was answered with another status than 503")
            response = await deployment.control("GET", "rollouts/desk")
            self.assertEqual(response.status, 404)

        self.run_scenario(scenario)


class ScriptedProposals:
    """Applies commands to a state, after an event that comes in between."""

    def __init__(self, state: ControlState, interrupt) -> None:
        self._state = state
        self._interrupt = interrupt

    async def propose(self, command: DeclareMove) -> CommandOutcome | None:
        """Apply a command and return its outcome."""
        interrupt, self._interrupt = self._interrupt, None
        if interrupt is not None:
            interrupt()
        return self._state.apply(self._state.index + 1, command)


class TestVersionInForce(unittest.TestCase):
    """Orders decided against the version in force, which may just have changed."""

    def setUp(self):
        self.configuration = Configuration()
        self.state = self.configuration.state

    def operations(self, interrupt=None) -> Operations:
        """Return operations for a service whose servers have version v1."""
        node = SimpleNamespace(configuration=self.configuration)
        dispatch = SimpleNamespace(version_of=lambda service: "v1")
        proposals = ScriptedProposals(self.state, interrupt)
        with mock.patch("sassafraspin.routed.operations.ServerRetirement"):
            return Operations(node, None, proposals, dispatch, None)

    def test_order_for_the_version_in_force_is_refused(self):
        # Guards against acknowledging a rollout that no status will ever name.
        with self.assertRaises(Conflict):
            trio.run(self.operations().start_rollout, "desk", "v1", 60.0)

    def test_order_starts_from_the_version_in_force(self):
        # Guards against dropping an order for a version that was read too early.
        def end_another() -> None:
            self.state.moves._versions["desk"] = "v2"

        operations = self.operations(end_another)
        trio.run(operations.start_rollout, "desk", "v3", 60.0)
        [move] = self.state.moves.all_moves()
        self.assertEqual((move.spec.from_version, move.spec.to_version), ("v2", "v3"))


class TestRequireInForce(unittest.TestCase):
    """Every kind of outcome has one answer."""

    def test_each_kind(self):
        # Guards against taking any known outcome for an acceptance.
        for kind in OutcomeKind:
            outcome = CommandOutcome(kind, MoveRefusal.SERVICE_BUSY)
            if kind in (OutcomeKind.ACCEPTED, OutcomeKind.UNCHANGED):
                self.assertIs(require_in_force(outcome), outcome)
            else:
                with self.assertRaises(Conflict):
                    require_in_force(outcome)
        with self.assertRaises(ControlUnavailable):
            require_in_force(None)


if __name__ == "__main__":
    unittest.main()
