"""Aggregate of one backend server as its dispatcher sees it."""

from dataclasses import dataclass

from sassafraspin.backends.announcement import Announcement
from sassafraspin.backends.backlog import PrefillBacklog
from sassafraspin.backends.prefixes import PrefixCacheView
from sassafraspin.backends.speed import SpeedEstimate

__all__ = ["Backend", "Reservation"]

_FAILURES_TO_EJECT = 3
_EJECT_SECONDS = 2.0
_MAX_EJECT_SECONDS = 60.0


@dataclass(frozen=True)
class Reservation:
    """Room taken at a backend server by one granted request.

    Parameters
    ----------
    grant_id : str
        Identity of the grant.
    tokens : int
        KV memory reserved, in tokens.
    """

    grant_id: str
    tokens: int


class Backend:
    """Announced facts, reservations, learned speed and health of a backend server.

    Parameters
    ----------
    announcement : Announcement
        First announcement.
    now : float
        Monotonic time in seconds.
    """

    def __init__(self, announcement: Announcement, now: float) -> None:
        self._announcement = announcement
        self._expires_at = now + announcement.ttl_ms / 1000
        self._reservations: dict[str, Reservation] = {}
        self._reserved_tokens = 0
        self._cache = PrefixCacheView()
        self._cache.take_report(announcement.cache)
        self._speed = SpeedEstimate(
            announcement.prefill_tokens_per_second,
            announcement.decode_tokens_per_second,
        )
        self._backlog = PrefillBacklog()
        self._failures = 0
        self._ejections = 0
        self._ejected_until = float("-inf")
        self._withdrawn = False

    @property
    def announcement(self) -> Announcement:
        """Return the newest announcement."""
        return self._announcement

    @property
    def cache(self) -> PrefixCacheView:
        """Return the view of the prefix cache."""
        return self._cache

    @property
    def speed(self) -> SpeedEstimate:
        """Return the learned speed."""
        return self._speed

    @property
    def backlog(self) -> PrefillBacklog:
        """Return the prompts that it has still to compute."""
        return self._backlog

    @property
    def reservations(self) -> tuple[Reservation, ...]:
        """Return the room taken by requests that are granted and not released."""
        return tuple(self._reservations.values())

    @property
    def busy_slots(self) -> int:
        """Return the number of granted requests."""
        return len(self._reservations)

    @property
    def reserved_tokens(self) -> int:
        """Return the KV memory taken by granted requests, in tokens."""
        return self._reserved_tokens

    def take_announcement(self, announcement: Announcement, now: float) -> None:
        """Take in a newer announcement; an older one is dropped."""
        if announcement.order < self._announcement.order:
            return
        if announcement.incarnation > self._announcement.incarnation:
            self._cache = PrefixCacheView()
            self._backlog = PrefillBacklog()
            self._failures = 0
            self._ejected_until = float("-inf")
            self._withdrawn = False
        self._announcement = announcement
        self._expires_at = now + announcement.ttl_ms / 1000
        self._cache.take_report(announcement.cache)

    @property
    def is_withdrawn(self) -> bool:
        """Return whether the backend server has said that it stops for good."""
        return self._withdrawn

    def withdraw(self) -> None:
        """Take no new requests until the backend server starts again."""
        self._withdrawn = True

    def is_expired(self, now: float) -> bool:
        """Return whether the time to live has run out."""
        return now >= self._expires_at

    def accepts_work(self, now: float) -> bool:
        """Return whether new requests may be sent at all."""
        if self._withdrawn or self._announcement.leaving or self.is_expired(now):
            return False
        if now < self._ejected_until:
            return False
        is_on_trial = self._ejections > 0 and self._failures >= _FAILURES_TO_EJECT
        return not (is_on_trial and self._reservations)

    def has_room(self, tokens: int) -> bool:
        """Return whether a slot and KV memory for ``tokens`` are free."""
        if self.busy_slots >= self._announcement.slots:
            return False
        if self._announcement.kv_tokens == 0 or not self._reservations:
            return True
        return self.reserved_tokens + tokens <= self._announcement.kv_tokens

    def reserve(self, reservation: Reservation) -> None:
        """Take room for a granted request."""
        self._reservations[reservation.grant_id] = reservation
        self._reserved_tokens += reservation.tokens

    def release(self, grant_id: str) -> Reservation | None:
        """Give the room of a request back."""
        reservation = self._reservations.pop(grant_id, None)
        if reservation is not None:
            self._reserved_tokens -= reservation.tokens
        return reservation

    def note_success(self) -> None:
        """Record that a request was answered."""
        self._failures = 0
        self._ejections = 0

    def note_failure(self, now: float, may_eject: bool = True) -> bool:
        """Record a failed request; return whether the server is ejected now."""
        self._failures += 1
        if self._failures < _FAILURES_TO_EJECT or not may_eject:
            return False
        self._ejections += 1
        pause = min(_EJECT_SECONDS * 2 ** (self._ejections - 1), _MAX_EJECT_SECONDS)
        self._ejected_until = now + pause
        return True

    def is_ejected(self, now: float) -> bool:
        """Return whether the server rests after failures."""
        return now < self._ejected_until
