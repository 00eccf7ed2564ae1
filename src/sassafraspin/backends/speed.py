"""Learned speed of a backend server."""

__all__ = ["SpeedEstimate"]

_SMOOTHING = 0.2
_MIN_PREFILL_TOKENS = 32
_MIN_DECODE_TOKENS = 4


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
        """Return the prefill rate in tokens a second."""
        return self._prefill_rate

    @property
    def decode_rate(self) -> float:
        """Return the decode rate in tokens a second."""
        return self._decode_rate

    def seconds(self, prefill_tokens: int, answer_tokens: int) -> float:
        """Return the expected time for a request, in seconds."""
        return prefill_tokens / self._prefill_rate + answer_tokens / self._decode_rate

    def observe(
        self,
        prefill_tokens: int,
        first_token_seconds: float,
        answer_tokens: int,
        decode_seconds: float,
    ) -> None:
        """Correct the estimate by one answered request."""
        if prefill_tokens >= _MIN_PREFILL_TOKENS and first_token_seconds > 0:
            rate = prefill_tokens / first_token_seconds
            self._prefill_rate += _SMOOTHING * (rate - self._prefill_rate)
        if answer_tokens >= _MIN_DECODE_TOKENS and decode_seconds > 0:
            rate = answer_tokens / decode_seconds
            self._decode_rate += _SMOOTHING * (rate - self._decode_rate)
