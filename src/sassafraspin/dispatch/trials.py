"""Trials of requests under which servers may have crashed.

Such a request runs at one server at a time, apart from other suspects. An innocent one
is cleared by its answer, and a harmful one crashes one server at each trial.
"""

from collections.abc import Sequence

from sassafraspin.backends import Backend
from sassafraspin.dispatch.grants import Grant, GrantTable
from sassafraspin.dispatch.messages import SlotRequest
from sassafraspin.isolation import Harmful, Suspected, Suspects, Unsuspected

__all__ = ["Trials"]

_TRIAL_SECONDS = 1.0
"""A request that has run for longer did not crash its server when it began to run."""

_STRICT_CRASHES = 2
"""Crashes from which a suspect waits for a server that runs no other one."""

_SPACED_CRASHES = 3
_BASE_SPACING_SECONDS = 3.0
_SPACING_FACTOR = 4.0
_MAX_SPACING_SECONDS = 60.0
"""Interval between the trials of a request: the base after ``_SPACED_CRASHES`` crashes,
and longer by the factor after each further one."""

_MAX_STARTS = 1_024


class Trials:
    """Decides when and where suspects may run.

    Parameters
    ----------
    suspects : Suspects
        Knows which signatures are suspected.
    grants : GrantTable
        Slots in use.
    now : float
        Monotonic time in seconds.
    """

    def __init__(self, suspects: Suspects, grants: GrantTable, now: float) -> None:
        self._suspects = suspects
        self._grants = grants
        self._opened_at = now
        self._starts: dict[str, float] = {}
        self._strict_trials: dict[str, Grant] = {}

    def is_suspect(self, request: SlotRequest) -> bool:
        """Return whether servers may have crashed under equal requests."""
        suspicion = self._suspects.suspicion(request.signature)
        return not isinstance(suspicion, Unsuspected)

    def pause(self, request: SlotRequest, now: float) -> float:
        """Return the time until a suspect may run again, in seconds."""
        match self._suspects.suspicion(request.signature):
            case Suspected(crashes) if crashes >= _SPACED_CRASHES:
                started_at = self._starts.get(request.signature, self._opened_at)
                return max(0.0, started_at + _spacing(crashes) - now)
            case Harmful():
                return _MAX_SPACING_SECONDS
            case _:
                return 0.0

    def may_start(self, request: SlotRequest, now: float) -> bool:
        """Return whether a request may run now, at a server that ``choose`` returns."""
        if not self.is_suspect(request):
            return True
        running = self._grants.of_signature(request.signature)
        if any(_has_just_begun(grant, now) for grant in running):
            return False
        return self.pause(request, now) <= 0

    def choose(
        self, candidates: Sequence[Backend], request: SlotRequest, now: float
    ) -> list[Backend]:
        """Return the servers that a request may use.

        A suspect goes to the servers that run least and no other suspect. Other
        requests avoid servers with a suspect of several crashes, if they can.
        """
        match self._suspects.suspicion(request.signature):
            case Suspected(crashes):
                apart = [item for item in candidates if not self._tries(item, now)]
                if not apart and crashes < _STRICT_CRASHES:
                    apart = list(candidates)
                least = min((item.busy_slots for item in apart), default=0)
                return [item for item in apart if item.busy_slots == least]
            case Harmful():
                return []
            case _:
                tried = self._servers_on_trial(now)
                others = [
                    item for item in candidates if item.announcement.id not in tried
                ]
                return others or list(candidates)

    def record_start(self, grant: Grant, now: float) -> None:
        """Record that a request is sent to a server."""
        match self._suspects.suspicion(grant.request.signature):
            case Suspected(crashes):
                self._starts.pop(grant.request.signature, None)
                self._starts[grant.request.signature] = now
                if len(self._starts) > _MAX_STARTS:
                    del self._starts[next(iter(self._starts))]
                if crashes >= _STRICT_CRASHES:
                    self._strict_trials[grant.grant_id] = grant

    def _tries(self, backend: Backend, now: float) -> bool:
        """Return whether a suspect has just begun to run at a server."""
        for reservation in backend.reservations:
            grant = self._grants.get(reservation.grant_id)
            if grant is None or not _has_just_begun(grant, now):
                continue
            if self.is_suspect(grant.request):
                return True
        return False

    def _servers_on_trial(self, now: float) -> set[str]:
        """Return the servers at which a suspect of several crashes has just begun."""
        if not self._strict_trials:
            return set()
        self._strict_trials = {
            grant_id: grant
            for grant_id, grant in self._strict_trials.items()
            if grant_id in self._grants and _has_just_begun(grant, now)
        }
        return {grant.message.backend_id for grant in self._strict_trials.values()}


def _spacing(crashes: int) -> float:
    exponent = crashes - _SPACED_CRASHES
    spacing = _BASE_SPACING_SECONDS * _SPACING_FACTOR**exponent
    return min(_MAX_SPACING_SECONDS, spacing)


def _has_just_begun(grant: Grant, now: float) -> bool:
    return now - grant.granted_at < _TRIAL_SECONDS
