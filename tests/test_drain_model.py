"""Backend servers that leave while faults happen, on the project's own classes.

Each run is virtual and depends on its seed only. ``python -m tests.drain_model`` plays
more seeds and all sequences.
"""

import random
import unittest
from collections.abc import Iterable

from tests.drain_deployment import Report
from tests.drain_model import (
    MUTATIONS,
    SCENARIOS,
    has_retirements,
    play,
    play_seed,
    play_sequence,
    sequences,
)

_SEEDS = range(6)
_SEQUENCE_LENGTHS = {2: 3, 3: 6, 4: 6}
"""Sample of the sequences of each length."""


class TestDrain(unittest.TestCase):
    """No server gets requests after it left, and all instances know their leader."""

    def assert_kept(self, reports: Iterable[tuple[str, Report]]) -> None:
        """Fail with the broken rules of all runs, and the trace of the first of them.

        Each report comes with the arguments that play it again.
        """
        broken = [item for item in reports if item[1].violations]
        if not broken:
            return
        lines = []
        for replay, report in broken:
            lines += [f"python -m tests.drain_model {replay}", *report.violations]
        trace = "\n".join(broken[0][1].trace)
        self.fail("\n".join([f"{len(broken)} runs broke rules:", *lines, trace]))

    def check_scenario(self, name: str, seeds: int = 1) -> None:
        """Play a written scenario."""
        self.assert_kept(
            (f"--scenario {name} --seeds 1 --first {seed}", play(seed, SCENARIOS[name]))
            for seed in range(seeds)
        )

    def test_leader_that_is_cut_from_control_instances_only(self):
        self.check_scenario("lure", seeds=3)

    def test_entry_that_is_cut_from_all(self):
        self.check_scenario("lone-entry")

    def test_entry_that_gets_only_short_messages(self):
        self.check_scenario("deaf-entry")

    def test_late_ready_at_a_new_leader(self):
        self.check_scenario("late-ready")

    def test_newcomer_that_asks_the_leader_that_was_cut_off(self):
        self.check_scenario("newcomer")

    def test_entry_that_all_control_instances_forgot(self):
        self.check_scenario("forgotten-entry")

    def test_random_faults(self):
        self.assert_kept(
            (f"--seeds 1 --first {seed}", play_seed(seed)) for seed in _SEEDS
        )

    def test_sequences_of_faults(self):
        generator = random.Random(28)
        sample = [
            steps
            for length, count in _SEQUENCE_LENGTHS.items()
            for steps in generator.sample(list(sequences(length)), count)
        ]
        self.assert_kept(
            (f"--steps {','.join(steps)}", play_sequence(steps)) for steps in sample
        )


class TestModel(unittest.TestCase):
    """The model itself."""

    def test_same_run_for_the_same_seed(self):
        steps = ("cut-peers", "leave", "kill-entry")
        first, second = play_sequence(steps), play_sequence(steps)
        self.assertEqual(first.trace, second.trace)


@unittest.skipUnless(has_retirements(), "there is nothing to mutate before the fix")
class TestMutations(unittest.TestCase):
    """Each defect that is put into the code breaks a rule."""

    def check_caught(self, name: str) -> None:
        """Play the scenario of a mutation."""
        mutation = MUTATIONS[name]
        report = play(0, mutation.scenario, name)
        broken = [line for line in report.violations if f" {mutation.rule}:" in line]
        self.assertTrue(broken, f"{name} was not found: {report.violations}")

    def test_standby_without_an_age_is_caught(self):
        self.check_caught("no-age")

    def test_announcements_without_an_order_are_caught(self):
        self.check_caught("no-order")

    def test_acknowledgement_at_once_is_caught(self):
        self.check_caught("answer-at-once")

    def test_leave_that_is_never_acknowledged_is_caught(self):
        self.check_caught("no-answer")

    def test_any_reply_as_contact_is_caught(self):
        self.check_caught("any-reply")


if __name__ == "__main__":
    unittest.main()
