"""Sequential comparison of a new version with the old one, after every request."""

import math
from collections import deque
from dataclasses import dataclass
from statistics import median

from sassafraspin.moves.move import RollbackReason

__all__ = ["Evidence", "EvidenceSettings", "Observation", "ShiryaevRobertsTest"]

_MAX_LOG_STATISTIC = 200.0
_MAX_BASELINE_RATE = 0.9

_ALL_ROUTES = "all routes"
"""Name of the test over all routes, which detects a general regression sooner than the
tests for single routes."""


@dataclass(frozen=True)
class EvidenceSettings:
    """Parameters of the comparison between two versions.

    Parameters
    ----------
    false_alarm : float
        Maximum probability that a version that is no worse than the old one is rolled
        back within ``horizon`` requests, for each route and kind of regression.
    horizon : int
        Number of requests for which ``false_alarm`` holds.
    failure_margin, slow_margin : float
        Tolerated increase of the share of failed or slow requests over the old
        version.
    slow_factors : tuple of float
        A request is slow if its time, relative to the prediction for its size and
        server, exceeds the old version's median by the first factor. A test for each
        factor: with the larger one, the spread between the servers does not hide a
        regression by several times.
    slow_slack : float
        Additional time that a request may take, in seconds. On requests of a few
        milliseconds, delays of a busy machine would otherwise count against the new
        version.
    estimate_factor : float
        Tolerated error of the estimated answer length: a request whose length is not
        known yet counts as slow only if its time so far exceeds the limit by this
        factor.
    """

    false_alarm: float = 0.01
    horizon: int = 500
    failure_margin: float = 0.005
    slow_margin: float = 0.05
    slow_factors: tuple[float, ...] = (1.25, 3.0)
    slow_slack: float = 0.05
    estimate_factor: float = 2.0

    @property
    def threshold(self) -> float:
        """Return the value of the test statistic that triggers a rollback."""
        return self.horizon / self.false_alarm


@dataclass(frozen=True)
class Observation:
    """Outcome of one request.

    Parameters
    ----------
    route : str
        Kind of call.
    hardware : str
        Hardware generation of the server; times are compared within a generation.
    failed : bool
        Whether the request failed.
    relative_time : float or None
        Time divided by the predicted time; ``None`` if the request failed. For an
        unfinished request, the time so far.
    nominal_seconds : float
        Time predicted from the size of the request and the server, in seconds.
    limits_counted : int
        Number of slow limits, in ascending order, for which the request was counted
        while it was running.
    """

    route: str
    hardware: str
    failed: bool
    relative_time: float | None
    nominal_seconds: float = math.inf
    limits_counted: int = 0


class ShiryaevRobertsTest:
    """Sequential test whether the rate of bad events exceeds a baseline.

    For each alternative rate, the statistic is updated with ``R = (R + 1) * LR``, where
    ``LR`` is the likelihood ratio of the event. Under the baseline, ``R - n`` is a
    martingale, so the probability that ``R`` reaches ``c`` within ``n`` events is at
    most ``n/c``, however often ``R`` is checked. A regression that begins late is
    detected as fast as one that exists from the start.
    """

    _ALTERNATIVES = (0.02, 0.08, 0.25, 0.6, 0.95)

    def __init__(self) -> None:
        self._log_statistics = [-math.inf] * len(self._ALTERNATIVES)

    @property
    def statistic(self) -> float:
        """Return the mean statistic over the alternatives."""
        return sum(math.exp(value) for value in self._log_statistics) / len(
            self._log_statistics
        )

    def observe(self, is_bad: bool, baseline: float) -> None:
        """Update the statistic with one event.

        Parameters
        ----------
        is_bad : bool
            Whether the event is a bad one.
        baseline : float
            Tolerated rate of bad events, between 0 and 1.
        """
        for position, weight in enumerate(self._ALTERNATIVES):
            rate = baseline + (1 - baseline) * weight
            if is_bad:
                log_ratio = math.log(rate / baseline)
            else:
                log_ratio = math.log((1 - rate) / (1 - baseline))
            grown = _log_add_one(self._log_statistics[position])
            self._log_statistics[position] = min(grown + log_ratio, _MAX_LOG_STATISTIC)


def _log_add_one(log_value: float) -> float:
    """Return ``log(exp(log_value) + 1)``."""
    if log_value == -math.inf:
        return 0.0
    high = max(log_value, 0.0)
    return high + math.log(math.exp(log_value - high) + math.exp(-high))


class _FailureBaseline:
    """Recent failure rate of the old version on one route."""

    _WINDOW = 1000

    def __init__(self) -> None:
        self._failed: deque[bool] = deque(maxlen=self._WINDOW)

    def add(self, failed: bool) -> None:
        """Add a request of the old version."""
        self._failed.append(failed)

    def rate(self) -> float:
        """Return the smoothed failure rate, which is never 0."""
        return (sum(self._failed) + 0.5) / (len(self._failed) + 20)


class _TimeBaseline:
    """Recent request times of the old version on one route and hardware generation.

    The window is short because the load changes during a move. Each slow limit has its
    own times: a running request is added to those of the limits that it exceeds.
    """

    _WINDOW = 100
    _MIN_TIMES = 8

    def __init__(self) -> None:
        self._times: deque[float] = deque(maxlen=self._WINDOW)
        self._times_without_slack: deque[float] = deque(maxlen=self._WINDOW)

    @property
    def is_usable(self) -> bool:
        """Return whether there are enough times to compare with."""
        return len(self._times) >= self._MIN_TIMES

    def add(self, relative_time: float, slack: float) -> None:
        """Add a request of the old version; ``slack`` is relative as well."""
        self._times.append(relative_time)
        self._times_without_slack.append(relative_time - slack)

    def slow_limit(self, factor: float) -> float:
        """Return the time above which a request counts as slow."""
        return factor * median(self._times)

    def slow_rate(self, limit: float) -> float:
        """Return the smoothed share of the old version's requests over a limit.

        As for the new version, the slack is subtracted from each time.
        """
        slow = sum(value > limit for value in self._times_without_slack)
        return (slow + 1) / (len(self._times) + 10)


class Evidence:
    """Compares a new version with the old one, by route and over all routes.

    Parameters
    ----------
    settings : EvidenceSettings
        Parameters of the comparison.
    """

    def __init__(self, settings: EvidenceSettings | None = None) -> None:
        self._settings = settings or EvidenceSettings()
        self._failures: dict[str, _FailureBaseline] = {}
        self._times: dict[tuple[str, str, float], _TimeBaseline] = {}
        self._failure_tests: dict[str, ShiryaevRobertsTest] = {}
        self._slow_tests: dict[tuple[str, float], ShiryaevRobertsTest] = {}
        self._new_ended = 0
        self._new_failed = 0
        self._new_slow = 0
        self._reason = RollbackReason.NONE
        self._detail = ""

    @property
    def ended(self) -> int:
        """Return the number of observed requests of the new version."""
        return self._new_ended

    @property
    def reason(self) -> RollbackReason:
        """Return why the new version has to be rolled back, ``NONE`` if it has not."""
        return self._reason

    @property
    def detail(self) -> str:
        """Return the request counts at the verdict, or the current ones without one."""
        if self._reason is not RollbackReason.NONE:
            return self._detail
        return (
            f"{self._new_ended} ended, {self._new_failed} failed, {self._new_slow} slow"
        )

    def observe_old(self, observation: Observation) -> None:
        """Add a request of the old version to the baseline."""
        self._failure_baseline(observation).add(observation.failed)
        if observation.relative_time is not None:
            for factor in self._settings.slow_factors[observation.limits_counted :]:
                self._add_time(observation, observation.relative_time, factor)

    def observe_new(self, observation: Observation) -> None:
        """Test a request of the new version against the baseline."""
        self._new_ended += 1
        self._new_failed += observation.failed
        route = observation.route
        reference = self._failure_baseline(observation)
        baseline = reference.rate() + self._settings.failure_margin
        for group in (route, _ALL_ROUTES):
            test = self._failure_tests.setdefault(group, ShiryaevRobertsTest())
            test.observe(observation.failed, min(baseline, _MAX_BASELINE_RATE))
            self._check_threshold(test, RollbackReason.FAILURES, group)
        if observation.relative_time is not None:
            for factor in self._settings.slow_factors[observation.limits_counted :]:
                self._test_time(observation, observation.relative_time, factor)

    def observe_unfinished(self, observation: Observation, is_new: bool) -> int:
        """Count a running or cancelled request for the slow limits that it exceeds.

        Without it, the slowest requests would not count before they end, and not at
        all if their callers leave. The rule is the same for both versions.

        Parameters
        ----------
        observation : Observation
            The request so far.
        is_new : bool
            Whether the new version serves it.

        Returns
        -------
        int
            Number of limits for which it was counted, now or before.
        """
        counted = observation.limits_counted
        value = observation.relative_time
        if value is None:
            return counted
        for factor in self._settings.slow_factors[counted:]:
            if not self._is_slow(observation, value, factor):
                break
            if is_new:
                self._test_time(observation, value, factor)
            else:
                self._add_time(observation, value, factor)
            counted += 1
        return counted

    def _add_time(self, observation: Observation, value: float, factor: float) -> None:
        slack = self._relative_slack(observation)
        self._time_baseline(observation, factor).add(value, slack)

    def _is_slow(self, observation: Observation, value: float, factor: float) -> bool:
        reference = self._time_baseline(observation, factor)
        if not reference.is_usable:
            return False
        return value - self._relative_slack(observation) > reference.slow_limit(factor)

    def _test_time(self, observation: Observation, value: float, factor: float) -> None:
        reference = self._time_baseline(observation, factor)
        if not reference.is_usable:
            return
        is_slow = self._is_slow(observation, value, factor)
        if factor == self._settings.slow_factors[0]:
            self._new_slow += is_slow
        limit = reference.slow_limit(factor)
        baseline = reference.slow_rate(limit) + self._settings.slow_margin
        for group in (observation.route, _ALL_ROUTES):
            test = self._slow_tests.setdefault((group, factor), ShiryaevRobertsTest())
            test.observe(is_slow, min(baseline, _MAX_BASELINE_RATE))
            self._check_threshold(test, RollbackReason.SLOWNESS, group)

    def _check_threshold(
        self, test: ShiryaevRobertsTest, reason: RollbackReason, route: str
    ) -> None:
        if self._reason is not RollbackReason.NONE:
            return
        if test.statistic < self._settings.threshold:
            return
        self._reason = reason
        self._detail = (
            f"{reason} on {route}: {self._new_ended} ended, "
            f"{self._new_failed} failed, {self._new_slow} slow"
        )

    def _relative_slack(self, observation: Observation) -> float:
        return self._settings.slow_slack / observation.nominal_seconds

    def _failure_baseline(self, observation: Observation) -> _FailureBaseline:
        return self._failures.setdefault(observation.route, _FailureBaseline())

    def _time_baseline(self, observation: Observation, factor: float) -> _TimeBaseline:
        group = (observation.route, observation.hardware, factor)
        return self._times.setdefault(group, _TimeBaseline())
