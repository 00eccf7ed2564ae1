"""Speed estimate of a backend server."""

import math

__all__ = ["SpeedEstimate", "TypicalOverhead"]

_SMOOTHING = 0.2
_FIRST_SMOOTHING = 0.5
_FIRST_SAMPLES = 6
_MAX_STEP_RATIO = 4.0
"""Largest ratio between a sample of the prefill rate and the estimate that counts."""

_MIN_PREFILL_TOKENS = 256

_OVERHEAD_SCALE_SECONDS = 0.03
"""Prefill time from which on a measurement says more about the rate than about the
overhead, while the overhead is not known to be longer."""

_MAX_OVERHEAD_STEP_SECONDS = 0.05
"""Largest deviation of a measurement that counts for the overhead: a prompt that was
not found in the cache, or waited for an unknown one, takes longer by much more."""

_MIN_DECODE_TOKENS = 4

_LONG_PROMPT_TOKENS = 48_000.0
"""Prompt length at which attention, whose cost grows with the square of the length,
takes as long as the rest of the prefill. Derived from the users' engine data sheets."""


class TypicalOverhead:
    """Smoothed overhead of the servers of a service, in seconds.

    A dispatcher that has just started, and a standby that sends few requests to each
    server, learn it sooner than that of each server.
    """

    def __init__(self) -> None:
        self._seconds = 0.0

    @property
    def seconds(self) -> float:
        """Return the estimate."""
        return self._seconds

    def adapt(self, step: float) -> None:
        """Change the estimate."""
        self._seconds = max(0.0, self._seconds + step)


class SpeedEstimate:
    """Smoothed prefill and decode rates of one request, in tokens per second.

    The overhead is the part of the time to first token that does not depend on the
    prompt, in seconds: transfer, the decode steps that a prompt waits for, and those of
    the first event.

    Parameters
    ----------
    prefill_rate, decode_rate : float
        Initial estimates.
    typical_overhead : TypicalOverhead or None
        Overhead of similar servers, used until enough is measured; ``None`` if there
        are none.
    """

    def __init__(
        self,
        prefill_rate: float,
        decode_rate: float,
        typical_overhead: TypicalOverhead | None = None,
    ) -> None:
        self._prefill_rate = prefill_rate
        self._decode_rate = decode_rate
        self._typical_overhead = typical_overhead or TypicalOverhead()
        self._overhead: float | None = None
        self._samples = 0

    @property
    def prefill_rate(self) -> float:
        """Return the prefill rate of short prompts, in tokens per second."""
        return self._prefill_rate

    @property
    def decode_rate(self) -> float:
        """Return the decode rate, in tokens per second."""
        return self._decode_rate

    @property
    def overhead(self) -> float:
        """Return the time to first token without the prefill, in seconds."""
        if self._overhead is None:
            return self._typical_overhead.seconds
        return self._overhead

    def prefill_seconds(self, tokens: int) -> float:
        """Return the expected prefill time of a prompt, in seconds."""
        return _prefill_cost(tokens) / self._prefill_rate

    def seconds(self, prefill_tokens: int, answer_tokens: int) -> float:
        """Return the expected time of a request on an idle server, in seconds."""
        decode = answer_tokens / self._decode_rate
        return self.overhead + self.prefill_seconds(prefill_tokens) + decode

    def first_token_seconds(self, prefill_tokens: int) -> float:
        """Return the expected time to first token on an idle server, in seconds."""
        prefill = self.prefill_seconds(prefill_tokens)
        return self.overhead + prefill + 1 / self._decode_rate

    def observe_first_token(
        self,
        tokens: int,
        expected: float,
        measured: float,
        rate: float,
        overhead: float = 0.0,
        is_stream: bool = True,
    ) -> None:
        """Update the prefill rate and the overhead with a time to first token.

        The estimate without the overhead scales with the rate, the prompts before it
        included, so that the ratio of the two times corrects the rate whether or not
        the prompt had to wait. The longer the prefill, the more the deviation is
        attributed to the rate instead of the overhead.

        Parameters
        ----------
        tokens : int
            Tokens of the prompt that were expected to be prefilled; few of them say
            little about the rate.
        expected, measured : float
            Estimated and measured time to first token, in seconds.
        rate, overhead : float
            Prefill rate and overhead that the estimate was made with.
        is_stream : bool
            Whether the first token was measured. Otherwise, the complete answer was,
            which tells nothing about the overhead.
        """
        step = 1 / self._decode_rate
        prefill = expected - step - overhead
        if prefill <= 0:
            return
        scale = max(overhead, _OVERHEAD_SCALE_SECONDS)
        # Squares, as in least squares: with a linear share, hundreds of requests are
        # needed to tell the two apart.
        share = prefill**2 / (prefill**2 + scale**2)
        is_first = self._samples < _FIRST_SAMPLES
        weight = _FIRST_SMOOTHING if is_first else _SMOOTHING
        self._samples += 1
        if is_stream:
            self._observe_overhead(1 - share, measured - expected)
        if tokens < _MIN_PREFILL_TOKENS:
            return
        # A prompt that was found in the cache takes little more than a decode step.
        ratio = prefill / max(measured - step - overhead, 0.1 * measured, 1e-6)
        sample = rate * min(max(ratio, 1 / _MAX_STEP_RATIO), _MAX_STEP_RATIO)
        # The geometric mean: rates that are too high and too low weigh the same.
        change = math.log(sample / self._prefill_rate)
        self._prefill_rate *= math.exp(share * weight * change)

    def _observe_overhead(self, share: float, deviation: float) -> None:
        limit = _MAX_OVERHEAD_STEP_SECONDS
        step = _SMOOTHING * share * min(max(deviation, -limit), limit)
        self._typical_overhead.adapt(step)
        if self._samples >= _FIRST_SAMPLES:
            self._overhead = max(0.0, self.overhead + step)

    def observe_decode(self, tokens: int, seconds: float) -> None:
        """Update the decode rate with an answer."""
        if tokens >= _MIN_DECODE_TOKENS and seconds > 0:
            self._decode_rate += _SMOOTHING * (tokens / seconds - self._decode_rate)


def _prefill_cost(tokens: int) -> float:
    """Return the prefill cost of a prompt, in equivalent tokens of a short prompt."""
    return tokens * (1 + tokens / _LONG_PROMPT_TOKENS)
