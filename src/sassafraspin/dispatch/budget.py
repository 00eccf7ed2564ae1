"""Retry budget: limits how many requests are retried on another backend server."""

from collections import deque

from sassafraspin.settings import DispatchSettings

__all__ = ["RetryBudget"]

_MS_PER_SECOND = 1000


class RetryBudget:
    """Limits retries to a share of the first attempts in a sliding window.

    Parameters
    ----------
    settings : DispatchSettings
        Length of the window, share of first attempts, and retries always allowed.
    """

    def __init__(self, settings: DispatchSettings) -> None:
        self._settings = settings
        self._first_attempts: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_first_attempt(self, now: float) -> None:
        """Count the first attempt of a request."""
        self._first_attempts.append(now)
        self._drop_expired(now)

    def try_acquire(self, now: float) -> bool:
        """Count a retry if the budget allows it; return whether it does."""
        self._drop_expired(now)
        share = self._settings.retry_share * len(self._first_attempts)
        if len(self._retries) + 1 > share + self._settings.retry_allowance:
            return False
        self._retries.append(now)
        return True

    def _drop_expired(self, now: float) -> None:
        begin = now - self._settings.retry_window_ms / _MS_PER_SECOND
        for times in (self._first_attempts, self._retries):
            while times and times[0] < begin:
                times.popleft()
