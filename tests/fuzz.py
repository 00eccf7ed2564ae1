"""Settings of the state machines: derandomized, so each run has the same verdict."""

from hypothesis import HealthCheck, Phase, settings

__all__ = ["fuzz_settings"]


def fuzz_settings(examples: int, steps: int) -> settings:
    """Return settings for ``examples`` runs of up to ``steps`` rules each."""
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
