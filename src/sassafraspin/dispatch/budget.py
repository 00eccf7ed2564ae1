"""Retry budget: limits how many requests are retried on another backend server.

A dispatcher reports what it has used to the instances that may take over, together
with a reserve that it may use until its next report. A successor counts both.
"""

import math
from collections import deque
from dataclasses import dataclass

import msgspec

from sassafraspin.settings import DispatchSettings

__all__ = ["RetryBudget", "RetryHistory", "RetryLog", "RetryReport", "ServiceRetries"]

_MS_PER_SECOND = 1000

_RESERVE_FRACTION = 0.125
"""Fraction of the budget that may be used between two reports."""

_LOG_MAX_AGE_SECONDS = 3.0
"""Maximum age of the last report for a successor to continue from it."""


class ServiceRetries(msgspec.Struct, frozen=True, array_like=True):
    """Requests for one service since the previous report, and the reserve."""

    first_attempts: int
    retries: int
    reserved: int


class RetryReport(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """What a dispatcher has used of the retry budget of each service."""

    services: dict[str, ServiceRetries]


@dataclass(frozen=True)
class _Count:
    at: float
    number: int


class _CountWindow:
    """Sum of counts in a sliding window.

    Parameters
    ----------
    seconds : float
        Length of the window.
    counts : tuple of _Count
        Initial counts, oldest first.
    """

    def __init__(self, seconds: float, counts: tuple[_Count, ...] = ()) -> None:
        self._seconds = seconds
        self._counts = deque(counts)
        self._sum = sum(item.number for item in counts)

    def add(self, number: int, now: float) -> None:
        if number:
            self._counts.append(_Count(now, number))
            self._sum += number

    def refund(self) -> None:
        """Remove one, of the newest counts."""
        for position in range(len(self._counts) - 1, -1, -1):
            count = self._counts[position]
            if count.number > 0:
                self._counts[position] = _Count(count.at, count.number - 1)
                self._sum -= 1
                return

    def total(self, now: float) -> int:
        while self._counts and self._counts[0].at < now - self._seconds:
            self._sum -= self._counts.popleft().number
        return self._sum

    def counts(self, now: float) -> tuple[_Count, ...]:
        self.total(now)
        return tuple(self._counts)


@dataclass(frozen=True)
class RetryHistory:
    """Use of a budget by earlier dispatchers.

    Parameters
    ----------
    first_attempts, retries : tuple
        Reported counts, oldest first.
    reserve : _Count
        What the previous dispatcher may have used since its last report.
    known_since : float
        Monotonic time since which the use is known, in seconds. There is no allowance
        until it is known for a whole window.
    """

    first_attempts: tuple[_Count, ...] = ()
    retries: tuple[_Count, ...] = ()
    reserve: _Count = _Count(-math.inf, 0)
    known_since: float = -math.inf


@dataclass
class _ServiceLog:
    first_attempts: _CountWindow
    retries: _CountWindow
    reserved: int = 0
    reported_at: float = -math.inf


class RetryLog:
    """Use of the retry budgets as reported by the dispatchers.

    Parameters
    ----------
    settings : DispatchSettings
        Length of the window.
    """

    def __init__(self, settings: DispatchSettings) -> None:
        self._seconds = _window_seconds(settings)
        self._services: dict[str, _ServiceLog] = {}

    def add_report(self, report: RetryReport, now: float) -> None:
        """Add the counts of a report."""
        for service, used in report.services.items():
            log = self._services.get(service)
            if log is None:
                log = _ServiceLog(
                    _CountWindow(self._seconds), _CountWindow(self._seconds)
                )
                self._services[service] = log
            log.first_attempts.add(used.first_attempts, now)
            log.retries.add(used.retries, now)
            log.reserved = used.reserved
            log.reported_at = now

    def history(self, service: str, now: float) -> RetryHistory:
        """Return what a dispatcher that takes over now has to count."""
        log = self._services.get(service)
        if log is None or now - log.reported_at > _LOG_MAX_AGE_SECONDS:
            return RetryHistory(known_since=now)
        return RetryHistory(
            log.first_attempts.counts(now),
            log.retries.counts(now),
            _Count(now, log.reserved),
        )


class RetryBudget:
    """Limits retries to a share of the first attempts in a sliding window.

    Parameters
    ----------
    settings : DispatchSettings
        Length of the window, share of first attempts, and retries always allowed.
    history : RetryHistory or None
        Use by earlier dispatchers. If it is given, the use has to be reported, and no
        retry is allowed before the first report. ``None`` for a budget of its own.
    """

    def __init__(
        self, settings: DispatchSettings, history: RetryHistory | None = None
    ) -> None:
        seconds = _window_seconds(settings)
        known = history or RetryHistory()
        self._settings = settings
        self._seconds = seconds
        self._known_since = known.known_since
        self._first_attempts = _CountWindow(seconds, known.first_attempts)
        self._retries = _CountWindow(seconds, known.retries)
        self._reserve = math.inf if history is None else 0
        self._unreported_first_attempts = 0
        # A reserve that is taken over is reported as used: the log keeps only one.
        self._unreported_retries = known.reserve.number
        self._retries.add(known.reserve.number, known.reserve.at)

    def record_first_attempt(self, now: float) -> None:
        """Count the first attempt of a request."""
        self._first_attempts.add(1, now)
        self._unreported_first_attempts += 1

    def record_retry(self, now: float) -> None:
        """Count a retry, also one that another dispatcher has allowed."""
        self._retries.add(1, now)
        self._unreported_retries += 1

    def refund(self, is_retry: bool) -> None:
        """Take back an attempt that reached no server."""
        if is_retry:
            self._retries.refund()
            self._unreported_retries -= 1
        else:
            self._first_attempts.refund()
            self._unreported_first_attempts -= 1

    def try_acquire(self, now: float) -> bool:
        """Count a retry if the budget allows it; return whether it does."""
        if self._unreported_retries + 1 > self._reserve:
            return False
        if self._retries.total(now) + 1 > self._limit(now):
            return False
        self.record_retry(now)
        return True

    def report(self, now: float) -> ServiceRetries:
        """Return the use since the previous report, and reserve what may follow."""
        reserve = math.ceil(_RESERVE_FRACTION * self._limit(now))
        used = ServiceRetries(
            self._unreported_first_attempts, self._unreported_retries, reserve
        )
        self._reserve = reserve
        self._unreported_first_attempts = self._unreported_retries = 0
        return used

    def _limit(self, now: float) -> float:
        is_known = now - self._known_since >= self._seconds
        allowance = self._settings.retry_allowance if is_known else 0
        return allowance + self._settings.retry_share * self._first_attempts.total(now)


def _window_seconds(settings: DispatchSettings) -> float:
    return settings.retry_window_ms / _MS_PER_SECOND
