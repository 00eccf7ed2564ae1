"""Estimated backlog of prompts that a model engine has not yet prefilled."""

__all__ = ["PrefillBacklog"]


class PrefillBacklog:
    """Estimated time until an engine has prefilled the prompts that it was sent.

    Engines prefill prompts in the order of arrival, so a new one waits for all earlier
    ones. Load reports arrive too late for this, so the backlog is derived from the
    prompts that were sent and the measured speed.
    """

    def __init__(self) -> None:
        self._done_at = float("-inf")

    def wait(self, now: float) -> float:
        """Return the time until the engine would start a new prompt, in seconds."""
        return max(0.0, self._done_at - now)

    def add(self, seconds: float, now: float) -> None:
        """Add the prefill time of a prompt that is sent now."""
        self._done_at = max(self._done_at, now) + seconds

    def subtract(self, seconds: float, now: float) -> None:
        """Subtract the remaining prefill time of a request that ended early."""
        self._done_at = max(now, self._done_at - seconds)
