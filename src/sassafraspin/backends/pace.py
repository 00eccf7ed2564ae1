"""Concurrency limit of a backend server that may not bear its full load yet."""

import math
from dataclasses import dataclass
from enum import StrEnum

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

    @property
    def limit(self) -> int:
        """Return the number of requests that may be in flight."""
        return self._limit

    @property
    def is_full(self) -> bool:
        """Return whether the limit has no effect."""
        return self._limit >= self._slots

    def set_slots(self, slots: int) -> None:
        """Follow a change of the server's slots; a full pace stays full."""
        if slots != self._slots:
            self._limit = slots if self.is_full else min(self._limit, slots)
            self._slots = slots

    def adopt(self, limit: int) -> None:
        """Continue with the limit of an earlier dispatcher."""
        self._limit = min(max(1, limit), self._slots)

    def restart(self, now: float) -> PaceChange:
        """Start small again: nobody knows what the server bears."""
        self._started_at = self._reduced_at = now
        return self._set(int(_START_SHARE * self._slots), PaceReason.STARTED)

    def restore(self, limit: int) -> PaceChange:
        """Undo a restart for which there was no reason."""
        return self._set(max(limit, self._limit), PaceReason.RESTORED)

    def record_answer(
        self, is_late: bool, sent_at: float, now: float
    ) -> PaceChange | None:
        """Record the begin of an answer to a request that was sent at ``sent_at``."""
        if self.is_full:
            return None
        if is_late:
            return self._reduce(sent_at, now, PaceReason.LATE)
        if sent_at < self._started_at:
            return None
        return self._set(self._limit + 1, PaceReason.ON_TIME)

    def record_failure(self, sent_at: float, now: float) -> PaceChange | None:
        """Record a failure or a refusal."""
        return None if self.is_full else self._reduce(sent_at, now, PaceReason.FAILED)

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
