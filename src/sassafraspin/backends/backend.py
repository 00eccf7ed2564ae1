"""State of one backend server, as known to the dispatcher of its service."""

import math
from collections import Counter, deque
from dataclasses import dataclass

from sassafraspin.backends.announcement import Announcement
from sassafraspin.backends.backlog import PrefillBacklog
from sassafraspin.backends.pace import Pace, PaceChange
from sassafraspin.backends.parts import HeldParts
from sassafraspin.backends.prefixes import PrefixCacheView
from sassafraspin.backends.rate_limit import RateLimit
from sassafraspin.backends.speed import SpeedEstimate, TypicalOverhead

__all__ = ["Backend", "Reservation"]

_FAILURES_BEFORE_EJECTION = 3
_MAX_FAILURES = 16
"""Latest failures without a success in between whose reporters are remembered."""

_BASE_EJECTION_SECONDS = 2.0
_MAX_EJECTION_SECONDS = 60.0
_MS_PER_SECOND = 1000


@dataclass(frozen=True)
class Reservation:
    """Capacity of a backend server reserved for one granted request.

    Parameters
    ----------
    grant_id : str
        Identifier of the grant.
    tokens : int
        KV memory reserved, in tokens.
    gap : float
        Longest pause between events that the request allows, in seconds; 0 for any.
    """

    grant_id: str
    tokens: int
    gap: float = 0.0


class Backend:
    """Announcement, reservations, measured speed and health of a backend server.

    Parameters
    ----------
    announcement : Announcement
        First announcement.
    now : float
        Monotonic time in seconds.
    overhead : TypicalOverhead or None
        Overhead of the servers of its service, ``None`` if it is alone.
    """

    def __init__(
        self,
        announcement: Announcement,
        now: float,
        overhead: TypicalOverhead | None = None,
    ) -> None:
        self._announcement = announcement
        self._expires_at = now + announcement.ttl_ms / 1000
        self._reservations: dict[str, Reservation] = {}
        self._reserved_tokens = 0
        self._gaps: Counter[float] = Counter()
        self._cache = PrefixCacheView()
        self._cache.apply_report(announcement.cache)
        self._parts = HeldParts()
        self._speed = SpeedEstimate(
            announcement.prefill_tokens_per_second,
            announcement.decode_tokens_per_second,
            overhead,
        )
        self._backlog = PrefillBacklog()
        self._failures: deque[str] = deque(maxlen=_MAX_FAILURES)
        self._ejections = 0
        self._ejected_until = float("-inf")
        self._ejected_for: list[str] = []
        self._limit_before_ejection = announcement.slots
        self._withdrawn = False
        self._is_evacuated = False
        self._rate_limit: RateLimit | None = None
        self._pace = Pace(announcement.slots)
        self._cold_until = now + announcement.cold_ms / _MS_PER_SECOND
        self._cold_limit: RateLimit | None = None

    @property
    def announcement(self) -> Announcement:
        """Return the latest announcement."""
        return self._announcement

    @property
    def cache(self) -> PrefixCacheView:
        """Return the estimated content of the prefix cache."""
        return self._cache

    @property
    def parts(self) -> HeldParts:
        """Return the estimated parts of prompts in the prefix cache."""
        return self._parts

    @property
    def speed(self) -> SpeedEstimate:
        """Return the estimated speed."""
        return self._speed

    @property
    def backlog(self) -> PrefillBacklog:
        """Return the estimated time until all prompts sent so far are prefilled."""
        return self._backlog

    @property
    def rate_limit(self) -> RateLimit | None:
        """Return the limit that the server has named, ``None`` if it has none."""
        return self._rate_limit

    @property
    def named_rate_limit(self) -> float | None:
        """Return the limit over all instances, in requests a second, or ``None``."""
        return None if self._rate_limit is None else self._rate_limit.named

    @property
    def pace(self) -> Pace:
        """Return the limit of the requests in flight."""
        return self._pace

    @property
    def slot_limit(self) -> int:
        """Return the number of slots that may be in use at the present pace."""
        return min(self._announcement.slots, self._pace.limit)

    @property
    def cold_limit(self) -> RateLimit | None:
        """Return the limit while the server is cold, ``None`` if it has none."""
        return self._cold_limit

    @property
    def is_rate_limited(self) -> bool:
        """Return whether any rate limit is in force."""
        return self._rate_limit is not None or self._cold_limit is not None

    @property
    def request_rate(self) -> float:
        """Return the requests a second that the limits in force allow."""
        return min((limit.rate for limit in self._limits), default=math.inf)

    @property
    def _limits(self) -> tuple[RateLimit, ...]:
        limits = (self._rate_limit, self._cold_limit)
        return tuple(limit for limit in limits if limit is not None)

    @property
    def reservations(self) -> tuple[Reservation, ...]:
        """Return the reservations of requests that are granted and not released."""
        return tuple(self._reservations.values())

    @property
    def busy_slots(self) -> int:
        """Return the number of granted requests."""
        return len(self._reservations)

    @property
    def shortest_gap(self) -> float:
        """Return the shortest pause that a granted request allows, 0 for any."""
        return min(self._gaps, default=0.0)

    @property
    def reserved_tokens(self) -> int:
        """Return the KV memory reserved for granted requests, in tokens."""
        return self._reserved_tokens

    def apply_announcement(self, announcement: Announcement, now: float) -> None:
        """Apply an announcement unless it is older than the current one.

        A higher incarnation means that the server has restarted: its prefix cache and
        backlog are empty, and earlier failures, a withdrawal and a rate limit no longer
        count.
        """
        if self._is_outdated(announcement):
            return
        self._cold_until = now + announcement.cold_ms / _MS_PER_SECOND
        self._pace.set_slots(announcement.slots)
        if announcement.incarnation > self._announcement.incarnation:
            self._cache = PrefixCacheView()
            self._parts = HeldParts()
            self._backlog = PrefillBacklog()
            self._failures.clear()
            self._ejected_until = float("-inf")
            self._withdrawn = False
            self._rate_limit = None
        self._announcement = announcement
        self._expires_at = now + announcement.ttl_ms / 1000
        self._cache.apply_report(announcement.cache)

    def _is_outdated(self, announcement: Announcement) -> bool:
        """Return whether the current announcement is newer.

        Servers that do not number their announcements leave until they restart: another
        announcement of the same incarnation may have been delayed.
        """
        known = self._announcement
        if announcement.order != known.order:
            return announcement.order < known.order
        return known.leaving and not announcement.leaving

    @property
    def is_withdrawn(self) -> bool:
        """Return whether ``withdraw`` was called in this incarnation.

        The announcement's ``leaving`` is what the server reports about itself.
        """
        return self._withdrawn

    def withdraw(self) -> None:
        """Accept no new requests until the server restarts, whatever it announces.

        Called when the server is withdrawn through the control API.
        """
        self._withdrawn = True

    @property
    def is_evacuated(self) -> bool:
        """Return whether the server gets no new requests as its zone is evacuated."""
        return self._is_evacuated

    def set_evacuated(self, is_evacuated: bool) -> bool:
        """Set whether the server gets no new requests as its zone is evacuated.

        Returns whether an evacuation has ended.
        """
        has_ended = self._is_evacuated and not is_evacuated
        self._is_evacuated = is_evacuated
        return has_ended

    def limit_rate(self, rate_limit: RateLimit | None) -> None:
        """Set or end the rate limit until the server restarts."""
        self._rate_limit = rate_limit

    def limit_cold_rate(self, rate_limit: RateLimit | None) -> None:
        """Set or end the rate limit that holds while the server is cold."""
        self._cold_limit = rate_limit

    def is_cold(self, now: float) -> bool:
        """Return whether the server is still slow after its start."""
        return now < self._cold_until

    def cold_seconds(self, now: float) -> float:
        """Return how much longer the server is slow after its start, in seconds."""
        return max(0.0, self._cold_until - now)

    def restart_pace(self, now: float) -> PaceChange:
        """Let the server bear little at first, as after a start."""
        return self._pace.restart(now)

    def restore_pace(self) -> PaceChange:
        """Let the server bear what it did before an ejection without a reason."""
        return self._pace.restore(self._limit_before_ejection)

    def allows_request(self, now: float) -> bool:
        """Return whether the rate limits allow another request now."""
        return not self.is_rate_limited or all(
            limit.allows_request(now) for limit in self._limits
        )

    def count_request(self, now: float) -> None:
        """Count a request that is sent now against the rate limits."""
        for limit in self._limits:
            limit.count_request(now)

    def usable_slots(self, now: float) -> int:
        """Return the number of busy slots and of those that may be used now."""
        levels = (int(limit.level(now)) for limit in self._limits)
        level = min(levels, default=self.slot_limit)
        return min(self.slot_limit, self.busy_slots + level)

    def request_level(self, now: float) -> float:
        """Return the number of requests that the limits in force allow now."""
        return min((limit.level(now) for limit in self._limits), default=math.inf)

    def is_expired(self, now: float) -> bool:
        """Return whether the time to live of the latest announcement has ended."""
        return now >= self._expires_at

    def takes_requests(self, now: float) -> bool:
        """Return whether the server is there, does not leave, and its zone is open."""
        is_leaving = self._withdrawn or self._announcement.leaving
        is_closed = is_leaving or self._is_evacuated
        return not is_closed and not self.is_expired(now)

    def accepts_work(self, now: float) -> bool:
        """Return whether new requests may be sent.

        After an ejection, the server gets one request at a time until one succeeds.
        """
        if not self.takes_requests(now) or now < self._ejected_until:
            return False
        is_probing = self._ejections > 0 and self._has_failed_often
        return not (is_probing and self._reservations)

    def has_room(self, tokens: int) -> bool:
        """Return whether a slot and KV memory for ``tokens`` are free.

        An idle server has room for any request, even a larger one than its KV memory.
        Services that are not model engines announce 0 KV tokens: only slots count.
        """
        if self.busy_slots >= self.slot_limit:
            return False
        if self._announcement.kv_tokens == 0 or not self._reservations:
            return True
        return self.reserved_tokens + tokens <= self._announcement.kv_tokens

    def reserve(self, reservation: Reservation) -> None:
        """Reserve capacity for a granted request."""
        self._reservations[reservation.grant_id] = reservation
        self._pace.record_use(self.busy_slots)
        self._reserved_tokens += reservation.tokens
        if reservation.gap:
            self._gaps[reservation.gap] += 1

    def release(self, grant_id: str) -> Reservation | None:
        """Release the capacity reserved for a request."""
        reservation = self._reservations.pop(grant_id, None)
        if reservation is not None:
            self._reserved_tokens -= reservation.tokens
            self._remove_gap(reservation.gap)
        return reservation

    def _remove_gap(self, gap: float) -> None:
        self._gaps[gap] -= 1
        if self._gaps[gap] <= 0:
            del self._gaps[gap]

    def record_success(self) -> None:
        """Record an answered request, which resets the failure counters."""
        self._failures.clear()
        self._ejections = 0

    def record_failure(
        self, now: float, may_eject: bool = True, reporter: str = ""
    ) -> bool:
        """Record a failed request; return whether the server was ejected for it.

        A server is ejected after several failures without a success in between.
        ``may_eject`` is false while too many servers of the service are ejected; the
        failure is counted nevertheless. ``reporter`` is the entry instance.
        """
        self._failures.append(reporter)
        if not self._has_failed_often or not may_eject:
            return False
        self._ejections += 1
        duration = min(
            _BASE_EJECTION_SECONDS * 2 ** (self._ejections - 1), _MAX_EJECTION_SECONDS
        )
        self._ejected_until = now + duration
        self._ejected_for = list(self._failures)
        self._limit_before_ejection = self._pace.limit
        return True

    def withdraw_failures(self, reporter: str, now: float) -> bool:
        """Forget what an entry instance reported; return whether it ends an ejection.

        It does if too few failures remain.
        """
        kept = [item for item in self._failures if item != reporter]
        self._failures = deque(kept, maxlen=_MAX_FAILURES)
        self._ejected_for = [item for item in self._ejected_for if item != reporter]
        if len(self._ejected_for) >= _FAILURES_BEFORE_EJECTION:
            return False
        was_ejected = self.is_ejected(now)
        self._ejections = 0
        self._ejected_until = float("-inf")
        return was_ejected

    @property
    def _has_failed_often(self) -> bool:
        return len(self._failures) >= _FAILURES_BEFORE_EJECTION

    def is_ejected(self, now: float) -> bool:
        """Return whether the server gets no requests because of recent failures."""
        return now < self._ejected_until
