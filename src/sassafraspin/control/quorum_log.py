"""Log of the control quorum: voters, what is known of them, and refused votes."""

from sassafraspin.control.effects import ReportRefusal
from sassafraspin.control.messages import Voter
from sassafraspin.control.quorum import Quorum, VoterState
from sassafraspin.control.replica import ControlReplica
from sassafraspin.telemetry.events import (
    QuorumChanged,
    ReplicaStarted,
    VoteRefused,
    log_event,
)

__all__ = ["QuorumLog"]

_MIN_INTERVAL_SECONDS = 1.0
_REPEAT_REFUSAL_SECONDS = 5.0

_DISK_ID_LENGTH = 8


class QuorumLog:
    """Logs changes of the quorum, bounded in lines a second.

    Parameters
    ----------
    replica : ControlReplica
        The replica to observe.
    """

    def __init__(self, replica: ControlReplica) -> None:
        self._replica = replica
        self._next_at = float("-inf")
        self._logged: QuorumChanged | None = None
        self._refused_at: dict[tuple[str, str], float] = {}
        log_event(
            ReplicaStarted(
                replica.disk_id[:_DISK_ID_LENGTH],
                replica.term,
                replica.log.last_index,
                replica.is_recovering,
                _labels(replica.log.voters),
            )
        )

    def observe(self, now: float) -> None:
        """Log the quorum if it has changed.

        Changes that are no change of the voters wait until the last line is old enough.
        """
        known = self._logged
        voters = _labels(self._replica.log.voters)
        has_other_voters = known is None or known.voters != voters
        if now < self._next_at and not has_other_voters:
            return
        event = self._current(now)
        if not has_other_voters and _content(event) == _content(known):
            return
        self._logged = event
        self._next_at = now + _MIN_INTERVAL_SECONDS
        log_event(event)

    def record_refusal(self, refusal: ReportRefusal) -> None:
        """Log a refused vote, unless the same one was logged a short time ago."""
        key = refusal.candidate, refusal.reason.value
        last_at = self._refused_at.get(key, float("-inf"))
        if refusal.refused_at - last_at < _REPEAT_REFUSAL_SECONDS:
            return
        self._refused_at[key] = refusal.refused_at
        log_event(
            VoteRefused(
                refusal.candidate,
                refusal.term,
                self._replica.term,
                refusal.reason.value,
            )
        )

    def _current(self, now: float) -> QuorumChanged:
        replica = self._replica
        voters = replica.log.voters
        states = replica.voter_states(now)
        tolerated = None
        if states is not None:
            lost = [
                voter
                for voter, state in states.items()
                if state is VoterState.DISK_LOST
            ]
            tolerated = Quorum(voters, lost=lost).tolerated_losses
        return QuorumChanged(
            replica.role.value,
            replica.term,
            _labels(voters),
            {voter.name: state.value for voter, state in (states or {}).items()},
            tolerated,
        )


def _content(event: QuorumChanged) -> tuple:
    """Return the fields that have to change for another line; the term is not one."""
    return event.role, event.voters, event.states, event.tolerated


def _labels(voters: tuple[Voter, ...]) -> tuple[str, ...]:
    return tuple(f"{voter.name}/{voter.disk_id[:_DISK_ID_LENGTH]}" for voter in voters)
