"""Hypothesis settings of the state machine tests.

They are derandomized, so that every run executes the same examples.
"""

from hypothesis import HealthCheck, Phase, settings

__all__ = ["fuzz_settings"]


def fuzz_settings(examples: int, steps: int) -> settings:
    """Return settings for ``examples`` runs of at most ``steps`` rules each."""
    return settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=examples,
        stateful_step_count=steps,
        phases=[Phase.generate],
        report_multiple_bugs=False,
        suppress_health_check=list(HealthCheck),
    )
