"""Speed estimate of a backend server."""

__all__ = ["SpeedEstimate"]

_SMOOTHING = 0.2
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

    def observe_prefill(self, tokens: int, seconds: float) -> None:
        """Update the prefill rate with a prompt that did not wait for others.

        ``seconds`` is the time to first token, so one decode step is subtracted.
        """
        prefill_time = seconds - 1 / self._decode_rate
        if tokens >= _MIN_PREFILL_TOKENS and prefill_time > 0:
            rate = _prefill_cost(tokens) / prefill_time
            self._prefill_rate += _SMOOTHING * (rate - self._prefill_rate)

    def observe_decode(self, tokens: int, seconds: float) -> None:
        """Update the decode rate with an answer."""
        if tokens >= _MIN_DECODE_TOKENS and seconds > 0:
            self._decode_rate += _SMOOTHING * (tokens / seconds - self._decode_rate)


def _prefill_cost(tokens: int) -> float:
    """Return the prefill cost of a prompt, in equivalent tokens of a short prompt."""
    return tokens * (1 + tokens / _LONG_PROMPT_TOKENS)
