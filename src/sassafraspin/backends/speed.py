"""Learned speed of a backend server."""

__all__ = ["SpeedEstimate"]

_SMOOTHING = 0.2
_MIN_PREFILL_TOKENS = 256
_MIN_DECODE_TOKENS = 4

_LONG_PROMPT_TOKENS = 48_000.0
"""Length at which attention takes as long as all else that a prompt needs; its cost
grows with the square of the length. From the engines on the users' sheets."""


class SpeedEstimate:
    """Smoothed prefill and decode rates, in tokens a second for one request.

    Parameters
    ----------
    prefill_rate, decode_rate : float
        First guesses.
    """

    def __init__(self, prefill_rate: float, decode_rate: float) -> None:
        self._prefill_rate = prefill_rate
        self._decode_rate = decode_rate

    @property
    def prefill_rate(self) -> float:
        """Return the prefill rate of short prompts in tokens a second."""
        return self._prefill_rate

    @property
    def decode_rate(self) -> float:
        """Return the decode rate in tokens a second."""
        return self._decode_rate

    def prefill_seconds(self, tokens: int) -> float:
        """Return the expected time to compute a prompt, in seconds."""
        return _work(tokens) / self._prefill_rate

    def seconds(self, prefill_tokens: int, answer_tokens: int) -> float:
        """Return the expected time for a request, in seconds."""
        return self.prefill_seconds(prefill_tokens) + answer_tokens / self._decode_rate

    def observe_prefill(self, tokens: int, seconds: float) -> None:
        """Correct the prefill rate by a prompt that did not wait for others.

        The time reaches to the first token, so one step of decoding is taken off.
        """
        alone = seconds - 1 / self._decode_rate
        if tokens >= _MIN_PREFILL_TOKENS and alone > 0:
            rate = _work(tokens) / alone
            self._prefill_rate += _SMOOTHING * (rate - self._prefill_rate)

    def observe_decode(self, tokens: int, seconds: float) -> None:
        """Correct the decode rate by an answer."""
        if tokens >= _MIN_DECODE_TOKENS and seconds > 0:
            self._decode_rate += _SMOOTHING * (tokens / seconds - self._decode_rate)


def _work(tokens: int) -> float:
    """Return the work of a prompt, in tokens of a short one."""
    return tokens * (1 + tokens / _LONG_PROMPT_TOKENS)
