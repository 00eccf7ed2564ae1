"""Speed estimate of a backend server."""

import math

__all__ = ["SpeedEstimate"]

_SMOOTHING = 0.2
_FIRST_SMOOTHING = 0.5
_FIRST_SAMPLES = 6
_MAX_STEP_RATIO = 4.0
"""Largest ratio between a sample of the prefill rate and the estimate that counts."""

_MIN_PREFILL_TOKENS = 256
_MIN_DECODE_TOKENS = 4

_LONG_PROMPT_TOKENS = 48_000.0
"""Prompt length at which attention, whose cost grows with the square of the length,
takes as long as the rest of the prefill. Derived from the users' engine data sheets."""


class SpeedEstimate:
    """Smoothed prefill and decode rates of one request, in tokens per second.

    Parameters
    ----------
    prefill_rate, decode_rate : float
        Initial estimates.
    """

    def __init__(self, prefill_rate: float, decode_rate: float) -> None:
        self._prefill_rate = prefill_rate
        self._decode_rate = decode_rate
        self._samples = 0

    @property
    def prefill_rate(self) -> float:
        """Return the prefill rate of short prompts, in tokens per second."""
        return self._prefill_rate

    @property
    def decode_rate(self) -> float:
        """Return the decode rate, in tokens per second."""
        return self._decode_rate

    def prefill_seconds(self, tokens: int) -> float:
        """Return the expected prefill time of a prompt, in seconds."""
        return _prefill_cost(tokens) / self._prefill_rate

    def seconds(self, prefill_tokens: int, answer_tokens: int) -> float:
        """Return the expected time of a request on an idle server, in seconds."""
        return self.prefill_seconds(prefill_tokens) + answer_tokens / self._decode_rate

    def observe_first_token(
        self, tokens: int, expected: float, measured: float, rate: float
    ) -> None:
        """Update the prefill rate with the time to first token of a request.

        The estimate scales with the rate, the prompts before it included, so that the
        ratio of the two times corrects the rate whether or not the prompt had to wait.

        Parameters
        ----------
        tokens : int
            Length of the prompt; short ones say little about the rate.
        expected, measured : float
            Estimated and measured time to first token, in seconds.
        rate : float
            Prefill rate that the estimate was made with.
        """
        step = 1 / self._decode_rate
        if tokens < _MIN_PREFILL_TOKENS or expected <= step:
            return
        # A prompt that was found in the cache takes little more than a decode step.
        ratio = (expected - step) / max(measured - step, 0.1 * measured, 1e-6)
        sample = rate * min(max(ratio, 1 / _MAX_STEP_RATIO), _MAX_STEP_RATIO)
        is_first = self._samples < _FIRST_SAMPLES
        weight = _FIRST_SMOOTHING if is_first else _SMOOTHING
        self._samples += 1
        # The geometric mean: rates that are too high and too low weigh the same.
        self._prefill_rate *= math.exp(weight * math.log(sample / self._prefill_rate))

    def observe_decode(self, tokens: int, seconds: float) -> None:
        """Update the decode rate with an answer."""
        if tokens >= _MIN_DECODE_TOKENS and seconds > 0:
            self._decode_rate += _SMOOTHING * (tokens / seconds - self._decode_rate)


def _prefill_cost(tokens: int) -> float:
    """Return the prefill cost of a prompt, in equivalent tokens of a short prompt."""
    return tokens * (1 + tokens / _LONG_PROMPT_TOKENS)
