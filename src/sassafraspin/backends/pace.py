"""Concurrency limit of a backend server that may not bear its full load yet."""

import math
from dataclasses import dataclass
from enum import StrEnum

from sassafraspin.backends.probing import BurstLimit, LimitProbe

__all__ = ["Pace", "PaceChange", "PaceReason"]

_START_SHARE = 0.25
"""Share of the slots that a server gets at first. The answers to so few requests show
whether it bears more."""


class PaceReason(StrEnum):
    """Why the pace of a server changed."""

    STARTED = "started"
    ON_TIME = "on-time"
    LATE = "late"
    FAILED = "failed"
    REFUSED = "refused"
    RESTORED = "restored"


@dataclass(frozen=True)
class PaceChange:
    """A change of the limit; it has no effect once it has reached ``slots``."""

    limit: int
    slots: int
    reason: PaceReason


class Pace:
    """Adaptive limit of the requests in flight at one server.

    It starts small, grows by one with each answer that is on time, which doubles it
    with each round of answers, and is halved by an answer that is late or a failure.
    Answers to requests that were sent before the last halving do not halve it again.
    Those to requests that were sent before it was restarted do not raise it either.
    Once it has reached the slots it has no effect, until it is restarted.

    If the server has named how many refusals it tolerates, only refusals reduce it,
    and it grows as ``LimitProbe`` decides.

    Parameters
    ----------
    slots : int
        Maximum number of concurrent requests of the server.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._limit = slots
        self._started_at = -math.inf
        self._reduced_at = -math.inf
        self._tolerance: float | None = None
        self._tolerance_set_at = -math.inf
        self._probe: LimitProbe | None = None
        self._burst: BurstLimit | None = None
        self._is_paused = False
        self._paused_until = -math.inf

    @property
    def limit(self) -> int:
        """Return the number of requests that may be in flight, 0 during a pause."""
        if self._is_paused:
            return 0
        if self._burst is None:
            return self._limit
        return int(min(self._limit, self._burst.limit))

    @property
    def published_limit(self) -> int:
        """Return the limit to publish, 0 if it has no effect."""
        return 0 if self._limit >= self._slots else self._limit

    @property
    def tolerance(self) -> float | None:
        """Return the refusals a second that the server tolerates from all instances.

        It is ``None`` if the server has not named any number.
        """
        return self._tolerance

    @property
    def tolerance_set_at(self) -> float:
        """Return the monotonic time at which the tolerance was set or ended."""
        return self._tolerance_set_at

    @property
    def is_full(self) -> bool:
        """Return whether the limit has no effect."""
        return self.limit >= self._slots

    def set_slots(self, slots: int) -> None:
        """Follow a change of the server's slots; a full pace stays full."""
        if slots != self._slots:
            is_full = self._limit >= self._slots
            self._limit = slots if is_full else min(self._limit, slots)
            self._slots = slots

    def adopt(self, limit: int) -> None:
        """Continue with the limit of an earlier dispatcher.

        It does not replace one that this dispatcher finds out from refusals.
        """
        if self._probe is None:
            self._limit = min(max(1, limit), self._slots)

    def set_tolerance(
        self, tolerance: float | None, share: float, now: float
    ) -> PaceChange | None:
        """Follow what the server says about the refusals a second that it tolerates.

        When it names none any more, a limit found from refusals ends. One that it has
        since its start grows on with each answer.

        Parameters
        ----------
        tolerance : float or None
            Refusals a second over all instances, ``None`` if none are named any more.
        share : float
            Part of them that may be used here.
        now : float
            Monotonic time in seconds.
        """
        self._tolerance = tolerance
        self._tolerance_set_at = now
        if tolerance is not None:
            self._probe = LimitProbe(share * tolerance)
            self._burst = BurstLimit(share * tolerance, now)
            return None
        has_refused = self._probe is not None and self._probe.has_refused
        self._probe = self._burst = None
        self._is_paused = False
        if self.is_full or not has_refused:
            return None
        return self._set(self._slots, PaceReason.RESTORED)

    def pause(self, until: float) -> None:
        """Allow no requests until some time, other than those in flight."""
        self._is_paused = True
        self._paused_until = until

    def record_use(self, in_flight: int) -> None:
        """Record the number of requests in flight after one was sent."""
        if self._burst is not None:
            self._burst.record_use(in_flight)

    def advance(self, in_flight: int, now: float) -> None:
        """End a pause that is over, and follow how much the server is used."""
        has_ended = self._is_paused and now >= self._paused_until
        if has_ended:
            self._is_paused = False
        if self._burst is None:
            return
        if has_ended:
            self._burst.restart(in_flight, now)
        else:
            self._burst.advance(in_flight, now)

    def restart(self, now: float) -> PaceChange:
        """Start small again: nobody knows what the server bears."""
        self._started_at = self._reduced_at = now
        self._is_paused = False
        if self._probe is not None:
            self._probe.restart()
        return self._set(int(_START_SHARE * self._slots), PaceReason.STARTED)

    def restore(self, limit: int) -> PaceChange:
        """Undo a restart for which there was no reason."""
        return self._set(max(limit, self._limit), PaceReason.RESTORED)

    def record_answer(
        self, is_late: bool, sent_at: float, now: float, in_flight: int = 0
    ) -> PaceChange | None:
        """Record the begin of an answer to a request that was sent at ``sent_at``.

        ``in_flight`` is the number of requests that were in flight then, with this one.
        """
        if self.is_full:
            return None
        if self._probe is not None:
            limit = self._probe.after_answer(self._limit, in_flight, sent_at, now)
            is_raised = limit > self._limit and not is_late
            return self._set(limit, PaceReason.ON_TIME) if is_raised else None
        if is_late:
            return self._reduce(sent_at, now, PaceReason.LATE)
        if sent_at < self._started_at:
            return None
        return self._set(self._limit + 1, PaceReason.ON_TIME)

    def record_failure(self, sent_at: float, now: float) -> PaceChange | None:
        """Record a failure or a refusal."""
        if self.is_full or self._probe is not None:
            return None
        return self._reduce(sent_at, now, PaceReason.FAILED)

    def record_refusal(
        self, in_flight: int, others: int, sent_at: float, now: float
    ) -> PaceChange | None:
        """Record that a server that tolerates few refusals lacked room for a request.

        Parameters
        ----------
        in_flight : int
            Requests in flight when it was sent, with this one; 0 if it is not known.
        others : int
            Requests in flight now.
        sent_at, now : float
            Monotonic times of the grant and of the report, in seconds.
        """
        if self._probe is None:
            return None
        limit = self._probe.after_refusal(self._limit, in_flight, others, sent_at, now)
        if self._probe.resume_at > now:
            self.pause(self._probe.resume_at)
        if limit == self._limit:
            return None
        return self._set(limit, PaceReason.REFUSED)

    def _reduce(
        self, sent_at: float, now: float, reason: PaceReason
    ) -> PaceChange | None:
        if sent_at < self._reduced_at:
            return None
        self._reduced_at = now
        return self._set(self._limit // 2, reason)

    def _set(self, limit: int, reason: PaceReason) -> PaceChange:
        self._limit = min(max(1, limit), self._slots)
        return PaceChange(self._limit, self._slots, reason)
