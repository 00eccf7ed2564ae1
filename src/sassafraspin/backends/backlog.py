"""Estimated backlog of prompts that a model engine has not yet prefilled."""

from dataclasses import dataclass

__all__ = ["PrefillBacklog"]


@dataclass(frozen=True)
class _Prompt:
    sent_at: float
    seconds: float


class PrefillBacklog:
    """Estimated time until an engine has prefilled the prompts that it was sent.

    Engines prefill prompts in the order of arrival, so a new one waits for all earlier
    ones. Load reports arrive too late for this, so the backlog is derived from the
    prompts that were sent and the measured speed. A first token shows that its prompt
    and all earlier ones are done, whatever was estimated.
    """

    def __init__(self) -> None:
        self._prompts: dict[str, _Prompt] = {}
        self._done_at = float("-inf")

    def wait(self, now: float) -> float:
        """Return the time until the engine would start a new prompt, in seconds."""
        return max(0.0, self._done_at - now)

    def add(self, key: str, seconds: float, now: float) -> None:
        """Add a prompt that is sent now and takes some time by itself."""
        self._prompts[key] = _Prompt(now, seconds)
        self._done_at = max(self._done_at, now) + seconds

    def finish(self, key: str, at: float) -> None:
        """Remove a prompt, prefilled at the given time, and all earlier ones."""
        if key not in self._prompts:
            return
        for earlier in list(self._prompts):
            del self._prompts[earlier]
            if earlier == key:
                break
        self._estimate(at)

    def cancel(self, key: str, now: float) -> None:
        """Remove a prompt of a request that has ended without an answer."""
        if self._prompts.pop(key, None) is not None:
            self._estimate(min(now, self._done_at))

    def _estimate(self, free_at: float) -> None:
        """Estimate when the remaining prompts are done, from when the engine is."""
        for prompt in self._prompts.values():
            free_at = max(free_at, prompt.sent_at) + prompt.seconds
        self._done_at = free_at
