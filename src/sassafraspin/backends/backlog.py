"""Prompts that a model engine has still to compute."""

__all__ = ["PrefillBacklog"]


class PrefillBacklog:
    """Time until an engine has computed the prompts that it was sent.

    Engines compute prompts in the order of arrival, so a new one waits for all that
    were sent before. Nothing is reported in time, so this is worked out from what was
    sent and how fast the engine was seen to be.
    """

    def __init__(self) -> None:
        self._done_at = float("-inf")

    def wait(self, now: float) -> float:
        """Return the seconds until a new prompt would be begun."""
        return max(0.0, self._done_at - now)

    def add(self, seconds: float, now: float) -> None:
        """Count a prompt that is sent now."""
        self._done_at = max(self._done_at, now) + seconds

    def take_off(self, seconds: float, now: float) -> None:
        """Take off what a request that ended early left to compute."""
        self._done_at = max(now, self._done_at - seconds)
