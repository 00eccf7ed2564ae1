"""Budget of requests that are sent to another backend server after a first one."""

from collections import deque

from sassafraspin.settings import DispatchSettings

__all__ = ["RetryBudget"]

_MS_PER_SECOND = 1000


class RetryBudget:
    """Bounds repeats by a share of the first sends in a sliding window.

    Parameters
    ----------
    settings : DispatchSettings
        Length of the window, share and allowance.
    """

    def __init__(self, settings: DispatchSettings) -> None:
        self._settings = settings
        self._firsts: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def note_first(self, now: float) -> None:
        """Count the first send of a request."""
        self._firsts.append(now)
        self._forget_old(now)

    def take(self, now: float) -> bool:
        """Count a repeat if the budget has room for it."""
        self._forget_old(now)
        share = self._settings.retry_share * len(self._firsts)
        if len(self._repeats) + 1 > share + self._settings.retry_allowance:
            return False
        self._repeats.append(now)
        return True

    def _forget_old(self, now: float) -> None:
        begin = now - self._settings.retry_window_ms / _MS_PER_SECOND
        for times in (self._firsts, self._repeats):
            while times and times[0] < begin:
                times.popleft()
