"""Pace of the servers of one service: when it starts anew, and what changes it."""

import math

from sassafraspin.backends import Announcement, Backend, PaceChange
from sassafraspin.dispatch.grants import Grant
from sassafraspin.telemetry.events import (
    OverloadToleranceChanged,
    ServerPaced,
    log_event,
)

__all__ = ["ServerPacing"]

_FIRST_REGISTRATIONS_SECONDS = 5.0
"""Time after the start of a dispatcher in which all servers register with it. Those
that it does not know from its predecessor have not started just now."""

_MIN_COLD_SECONDS = 0.5
"""A shorter cold time is the rest of one that has ended here already, as registrations
take time to arrive."""

_LATE_RATIO = 2.0
"""Ratio between the measured and the estimated time to first token from which on a
server that made its caller wait beyond the objective is overloaded. Below it, the
request was late when it was sent, or the server is slow but steady."""

_MS_PER_SECOND = 1000


class ServerPacing:
    """Lets a server that may not bear its full load yet have few requests in flight.

    That is a server that has just started, is back after a silence or an ejection, has
    turned cold, or whose zone was evacuated.

    Parameters
    ----------
    is_enabled : bool
        Whether servers are paced.
    now : float
        Monotonic time at which the dispatcher starts, in seconds.
    """

    def __init__(self, is_enabled: bool, now: float) -> None:
        self._is_enabled = is_enabled
        self._starts_at = now + _FIRST_REGISTRATIONS_SECONDS

    def on_new_server(self, backend: Backend, now: float) -> None:
        """Pace a server that has registered for the first time."""
        if now >= self._starts_at or backend.is_cold(now):
            self.restart(backend, now)

    def on_announcement(
        self,
        backend: Backend,
        before: Announcement,
        was_expired: bool,
        was_cold: bool,
        now: float,
    ) -> None:
        """Pace a known server that has started again, or is back or cold."""
        has_restarted = backend.announcement.incarnation > before.incarnation
        turned_cold = not was_cold and backend.cold_seconds(now) >= _MIN_COLD_SECONDS
        if has_restarted or was_expired or turned_cold:
            self.restart(backend, now)

    def restart(self, backend: Backend, now: float) -> None:
        """Pace a server from the start."""
        if self._is_enabled or backend.pace.tolerance is not None:
            self._log(backend, backend.restart_pace(now))

    def restore(self, backend: Backend) -> None:
        """Undo the restart after an ejection for which there was no reason."""
        if self._is_enabled:
            self._log(backend, backend.restore_pace())

    def record_first_token(
        self, backend: Backend, grant: Grant, seconds: float, now: float
    ) -> None:
        """Adapt the pace to the time to first token of a request, once a request."""
        if grant.has_paced:
            return
        grant.has_paced = True
        is_late = _is_late(grant, seconds)
        change = backend.pace.record_answer(
            is_late, grant.granted_at, now, grant.in_flight
        )
        self._log(backend, change)

    def record_failure(self, backend: Backend, grant: Grant, now: float) -> None:
        """Adapt the pace to a failure or a refusal."""
        self._log(backend, backend.pace.record_failure(grant.granted_at, now))

    def follow_tolerance(
        self, backend: Backend, tolerance: float | None, share: float, now: float
    ) -> None:
        """Follow what a server says about the refusals that it tolerates."""
        announcement = backend.announcement
        log_event(
            OverloadToleranceChanged(
                announcement.id, announcement.incarnation, tolerance
            )
        )
        self._log(backend, backend.pace.set_tolerance(tolerance, share, now))

    def record_refusal(self, backend: Backend, grant: Grant, now: float) -> None:
        """Adapt the pace of a server that had no room and tolerates few refusals."""
        change = backend.pace.record_refusal(
            grant.in_flight, backend.busy_slots, grant.granted_at, now
        )
        self._log(backend, change)

    def _log(self, backend: Backend, change: PaceChange | None) -> None:
        if change is None:
            return
        announcement = backend.announcement
        log_event(
            ServerPaced(
                announcement.id,
                announcement.incarnation,
                change.limit,
                change.slots,
                change.reason.value,
            )
        )


def _is_late(grant: Grant, seconds: float) -> bool:
    """Return whether the caller waited too long, as the server bears too little.

    Services without a first token are judged by failures alone: nobody estimates the
    time that one of their requests takes.
    """
    objective = grant.request.first_token_within_ms / _MS_PER_SECOND
    limit = max(objective, _LATE_RATIO * grant.expected_first_token)
    return seconds > (limit if objective else math.inf)
