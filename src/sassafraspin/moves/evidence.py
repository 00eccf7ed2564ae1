"""Evidence for and against a new version, tested after every request."""

import math
from collections import deque
from dataclasses import dataclass
from statistics import median

from sassafraspin.moves.move import TakeBackReason

__all__ = ["Evidence", "EvidenceSettings", "Observation", "ShiryaevRobertsTest"]

_MAX_LOG = 200.0
_MAX_BASELINE = 0.9

_ALL_ROUTES = "all routes"
"""Group of the test over all requests, which finds what is bad everywhere sooner."""


@dataclass(frozen=True)
class EvidenceSettings:
    """How the comparison of two versions decides.

    Parameters
    ----------
    false_alarm : float
        Bound on the probability that a version no worse than the old one is taken
        back within ``horizon`` requests, for each route and kind of badness.
    horizon : int
        Requests over which the bound holds.
    failure_margin, slow_margin : float
        By how much the share of failed or slow requests may exceed the old one's.
    slow_factor : float
        A request is slow if its time, relative to what its size and server predict,
        exceeds the old version's median by this factor.
    slow_slack : float
        Seconds that a request may take on top, so that the delays of a busy machine
        do not count against a version on requests that take a few milliseconds.
    """

    false_alarm: float = 0.01
    horizon: int = 500
    failure_margin: float = 0.005
    slow_margin: float = 0.05
    slow_factor: float = 1.25
    slow_slack: float = 0.05

    @property
    def threshold(self) -> float:
        """Return the value of the test statistic that takes a version back."""
        return self.horizon / self.false_alarm


@dataclass(frozen=True)
class Observation:
    """One ended request.

    Parameters
    ----------
    route : str
        Kind of call.
    hardware : str
        Hardware generation of the server; times are compared within one.
    failed : bool
        Whether it failed.
    relative_time : float or None
        Time divided by what its size and server predict; ``None`` if it failed.
    nominal_seconds : float
        What its size and server predict.
    """

    route: str
    hardware: str
    failed: bool
    relative_time: float | None
    nominal_seconds: float = math.inf


class ShiryaevRobertsTest:
    """Sequential test that the rate of a bad event exceeds a baseline.

    For each alternative rate the statistic is ``R = (R + 1) * LR`` with the
    likelihood ratio of the event. Under the baseline ``R - n`` is a martingale, so
    the probability that ``R`` reaches ``c`` within ``n`` events is at most ``n/c``,
    however often it is looked at; and badness that begins late is found as fast as
    one that was there from the start.
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
        """Take in one event.

        Parameters
        ----------
        is_bad : bool
            Whether the bad event happened.
        baseline : float
            Rate that is still allowed, between 0 and 1.
        """
        for position, weight in enumerate(self._ALTERNATIVES):
            rate = baseline + (1 - baseline) * weight
            if is_bad:
                log_ratio = math.log(rate / baseline)
            else:
                log_ratio = math.log((1 - rate) / (1 - baseline))
            grown = _log_add_one(self._log_statistics[position])
            self._log_statistics[position] = min(grown + log_ratio, _MAX_LOG)


def _log_add_one(log_value: float) -> float:
    """Return ``log(exp(log_value) + 1)``."""
    if log_value == -math.inf:
        return 0.0
    high = max(log_value, 0.0)
    return high + math.log(math.exp(log_value - high) + math.exp(-high))


class _FailureReference:
    """How often the old version failed lately on one route."""

    _WINDOW = 1000

    def __init__(self) -> None:
        self._failed: deque[bool] = deque(maxlen=self._WINDOW)

    def add(self, failed: bool) -> None:
        """Take in a request of the old version."""
        self._failed.append(failed)

    def rate(self) -> float:
        """Return a cautious estimate of the failure rate."""
        return (sum(self._failed) + 0.5) / (len(self._failed) + 20)


class _TimeReference:
    """How long the old version took lately on one route and hardware generation.

    The window is short, because the load changes while a move runs.
    """

    _WINDOW = 100
    _LEAST_TIMES = 8

    def __init__(self) -> None:
        self._times: deque[float] = deque(maxlen=self._WINDOW)
        self._times_without_slack: deque[float] = deque(maxlen=self._WINDOW)

    @property
    def is_usable(self) -> bool:
        """Return whether there are enough times to compare with."""
        return len(self._times) >= self._LEAST_TIMES

    def add(self, relative_time: float, slack: float) -> None:
        """Take in a request of the old version; ``slack`` is relative as well."""
        self._times.append(relative_time)
        self._times_without_slack.append(relative_time - slack)

    def slow_limit(self, factor: float) -> float:
        """Return the time above which a request counts as slow."""
        return factor * median(self._times)

    def slow_rate(self, limit: float) -> float:
        """Return a cautious estimate of the old version's own share over a limit."""
        slow = sum(value > limit for value in self._times_without_slack)
        return (slow + 1) / (len(self._times) + 10)


class Evidence:
    """Compares a new version with the old one, by route and in all, at the same time.

    Parameters
    ----------
    settings : EvidenceSettings
        How the comparison decides.
    """

    def __init__(self, settings: EvidenceSettings | None = None) -> None:
        self._settings = settings or EvidenceSettings()
        self._failures: dict[str, _FailureReference] = {}
        self._times: dict[tuple[str, str], _TimeReference] = {}
        self._failure_tests: dict[str, ShiryaevRobertsTest] = {}
        self._slow_tests: dict[str, ShiryaevRobertsTest] = {}
        self._new_ended = 0
        self._new_failed = 0
        self._new_slow = 0
        self._reason = TakeBackReason.NONE
        self._detail = ""

    @property
    def ended(self) -> int:
        """Return how many requests of the new version have ended."""
        return self._new_ended

    @property
    def reason(self) -> TakeBackReason:
        """Return why the new version is bad; ``NONE`` as long as it is not."""
        return self._reason

    @property
    def detail(self) -> str:
        """Return the figures behind the verdict, or those so far."""
        if self._reason is not TakeBackReason.NONE:
            return self._detail
        return (
            f"{self._new_ended} ended, {self._new_failed} failed, {self._new_slow} slow"
        )

    def observe_old(self, observation: Observation) -> None:
        """Take in a request of the old version."""
        self._failures_of(observation).add(observation.failed)
        if observation.relative_time is not None:
            slack = self._relative_slack(observation)
            self._times_of(observation).add(observation.relative_time, slack)

    def observe_new(self, observation: Observation) -> None:
        """Take in a request of the new version and test it."""
        self._new_ended += 1
        self._new_failed += observation.failed
        route = observation.route
        reference = self._failures_of(observation)
        baseline = reference.rate() + self._settings.failure_margin
        for group in (route, _ALL_ROUTES):
            test = self._failure_tests.setdefault(group, ShiryaevRobertsTest())
            test.observe(observation.failed, min(baseline, _MAX_BASELINE))
            self._judge(test, TakeBackReason.FAILURES, group)
        if observation.relative_time is not None:
            self._test_time(observation, observation.relative_time)

    def _test_time(self, observation: Observation, value: float) -> None:
        reference = self._times_of(observation)
        if not reference.is_usable:
            return
        limit = reference.slow_limit(self._settings.slow_factor)
        is_slow = value - self._relative_slack(observation) > limit
        self._new_slow += is_slow
        baseline = reference.slow_rate(limit) + self._settings.slow_margin
        for group in (observation.route, _ALL_ROUTES):
            test = self._slow_tests.setdefault(group, ShiryaevRobertsTest())
            test.observe(is_slow, min(baseline, _MAX_BASELINE))
            self._judge(test, TakeBackReason.SLOWNESS, group)

    def _judge(
        self, test: ShiryaevRobertsTest, reason: TakeBackReason, route: str
    ) -> None:
        if self._reason is not TakeBackReason.NONE:
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

    def _failures_of(self, observation: Observation) -> _FailureReference:
        return self._failures.setdefault(observation.route, _FailureReference())

    def _times_of(self, observation: Observation) -> _TimeReference:
        group = (observation.route, observation.hardware)
        return self._times.setdefault(group, _TimeReference())
