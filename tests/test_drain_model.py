"""Backend servers that leave while faults happen, on the project's own classes."""

import unittest

from tests.drain_model import DrainModel, Report, lure


class TestDrain(unittest.TestCase):
    """No server gets requests after it left, and all instances know their leader."""

    def assert_kept(self, report: Report, name: str) -> None:
        """Fail with the trace of a run if it broke a rule."""
        if report.violations:
            trace = "\n".join(report.trace)
            broken = "\n".join(report.violations)
            self.fail(f"{name} broke rules:\n{broken}\nTrace:\n{trace}")

    def test_leader_that_is_cut_from_control_instances_only(self):
        for seed in range(3):
            with self.subTest(seed=seed):
                model = DrainModel(seed, calls_per_second=10.0)
                self.assert_kept(model.run(lure), f"seed {seed}")


if __name__ == "__main__":
    unittest.main()
