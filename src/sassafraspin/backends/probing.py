"""Concurrency limit of a server that fails if it refuses too many requests."""

import math
from collections import deque

__all__ = ["BurstLimit", "LimitProbe"]

_WINDOW_SECONDS = 1.0
"""Time in which a server counts its refusals."""

_BUDGET_SHARE = 0.5
"""Part of the tolerated refusals that may be used. The rest is left for requests that
are on their way when the first refusal is reported."""

_REPEAT_SHARE = 0.25
"""Part of the limit by which it falls further if a server that has just refused a
request refuses one again: it has less room than it had in use."""

_REFUSALS_PER_PROBE = 2.0
"""Refusals that a probe may cost, as others are on their way when it is refused."""

_MIN_INTERVAL_SECONDS = 1.0
_MAX_INTERVAL_SECONDS = 8.0
_LONGEST_INTERVAL_SECONDS = 60.0
"""Interval between probes if hardly any refusal is tolerated."""


def _interval_for(refusals: float, budget: float) -> float:
    """Return the time for which a budget in refusals a second allows some refusals."""
    if budget <= 0:
        return _LONGEST_INTERVAL_SECONDS
    interval = max(refusals / budget, _MIN_INTERVAL_SECONDS)
    return min(interval, _LONGEST_INTERVAL_SECONDS)


class LimitProbe:
    """Finds how many requests a server takes at a time, with few refusals.

    A refusal lowers the limit to the number of requests that the server held. Further
    refusals of requests that were sent before it was known belong to the same event.
    The limit is probed, by one request more, after answers to requests that were sent
    when it was reached. The interval between two probes doubles while they are refused.

    Parameters
    ----------
    tolerance : float
        Refusals a second that the server tolerates from this dispatcher.
    """

    def __init__(self, tolerance: float) -> None:
        self._budget = _BUDGET_SHARE * tolerance
        self._min_interval = _interval_for(_REFUSALS_PER_PROBE, self._budget)
        self._max_interval = max(self._min_interval, _MAX_INTERVAL_SECONDS)
        self.restart()

    def restart(self) -> None:
        """Forget the refusals of an earlier process of the server."""
        self._refused_at: deque[float] = deque()
        self._event_refusals = 0
        self._reduced_at = -math.inf
        self._raised_at = -math.inf
        self._probe_at = -math.inf
        self._interval = self._min_interval
        self._resume_at = -math.inf

    @property
    def has_refused(self) -> bool:
        """Return whether the server has refused a request since it started."""
        return self._reduced_at > -math.inf

    @property
    def resume_at(self) -> float:
        """Return the time until which the server gets no requests.

        It lies ahead if the server refused the only request that it had, or if it may
        get one request only and no other refusal may follow in the same second.
        """
        return self._resume_at

    def after_refusal(
        self, limit: int, in_flight: int, others: int, sent_at: float, now: float
    ) -> int:
        """Return the limit after a refusal.

        Parameters
        ----------
        limit : int
            Limit in force.
        in_flight : int
            Requests in flight when the refused one was sent, with that one; 0 if it
            is not known.
        others : int
            Requests in flight that have not been refused so far.
        sent_at, now : float
            Monotonic times of the grant and of the report, in seconds.
        """
        is_new = sent_at >= self._reduced_at
        self._event_refusals = 1 if is_new else self._event_refusals + 1
        level = max(in_flight - self._event_refusals, others, 1)
        reduced = min(limit, level)
        if is_new:
            is_repeated = now - self._reduced_at < _WINDOW_SECONDS
            if is_repeated:
                reduced -= max(1, int(_REPEAT_SHARE * reduced))
            elif self._raised_at > self._reduced_at:
                self._interval = min(2 * self._interval, self._max_interval)
            self._reduced_at = now
        if self._is_budget_used(now) and is_new:
            reduced //= 2
        self._probe_at = now + self._interval
        reduced = max(1, reduced)
        if is_new and reduced == 1 and (limit == 1 or self._budget <= 1):
            self._resume_at = now + self._interval
        return reduced

    def _is_budget_used(self, now: float) -> bool:
        """Count a refusal; return whether no more may follow in this window."""
        self._refused_at.append(now)
        while self._refused_at[0] <= now - _WINDOW_SECONDS:
            self._refused_at.popleft()
        return len(self._refused_at) >= self._budget

    def after_answer(
        self, limit: int, in_flight: int, sent_at: float, now: float
    ) -> int:
        """Return the limit after an answer to a request that was sent at ``sent_at``.

        ``in_flight`` is the number of requests that were in flight then, with this one.
        """
        changed_at = max(self._reduced_at, self._raised_at)
        if in_flight < limit or sent_at < changed_at:
            return limit
        if self._raised_at > self._reduced_at:
            self._interval = self._min_interval
        if now < self._probe_at:
            return limit
        self._raised_at = now
        if self.has_refused:
            self._probe_at = now + self._interval
        return limit + 1


class BurstLimit:
    """Lets no more requests reach a server at once than it could refuse.

    What a server took long ago says little about the room that it has now. So the
    requests in flight may exceed those of the last interval by no more than the
    refusals that are tolerated in it.

    Parameters
    ----------
    tolerance : float
        Refusals a second that the server tolerates from this dispatcher.
    now : float
        Monotonic time in seconds.
    """

    def __init__(self, tolerance: float, now: float) -> None:
        budget = _BUDGET_SHARE * tolerance
        self._interval = _interval_for(1.0, budget)
        self._growth = max(1, int(budget))
        self._peak = 0
        self._earlier_peak = 0
        self._limit: float = math.inf
        self._next_at = now + self._interval

    @property
    def limit(self) -> float:
        """Return the requests that may be in flight, infinity if any number may."""
        return self._limit

    def record_use(self, in_flight: int) -> None:
        """Record the number of requests in flight after one was sent."""
        self._peak = max(self._peak, in_flight)

    def restart(self, in_flight: int, now: float) -> None:
        """Count only the requests that are in flight after a pause."""
        self._peak = self._earlier_peak = in_flight
        self._next_at = now
        self.advance(in_flight, now)

    def advance(self, in_flight: int, now: float) -> None:
        """Begin the next interval if it is due."""
        if now < self._next_at:
            return
        self._next_at = now + self._interval
        self._limit = max(self._peak, self._earlier_peak) + self._growth
        self._earlier_peak, self._peak = self._peak, in_flight
