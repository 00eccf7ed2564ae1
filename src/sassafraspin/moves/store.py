"""Store of all moves, which validates declarations and transitions."""

from dataclasses import dataclass
from enum import StrEnum

from sassafraspin.moves.move import Move, MovePhase, MoveSpec, RollbackReason

__all__ = [
    "MoveAccepted",
    "MoveDecision",
    "MoveRefused",
    "MoveRefusal",
    "MoveStep",
    "MoveStore",
]

_MAX_FINAL_MOVES = 200

_NEXT_PHASES = {
    MovePhase.DECLARED: (MovePhase.LOADING,),
    MovePhase.LOADING: (MovePhase.SAMPLING,),
    MovePhase.SAMPLING: (MovePhase.RAMPING,),
    MovePhase.RAMPING: (MovePhase.RAMPING, MovePhase.SOAKING),
    MovePhase.SOAKING: (MovePhase.DONE,),
    MovePhase.ROLLING_BACK: (MovePhase.ROLLED_BACK,),
}


class MoveRefusal(StrEnum):
    """Why a declaration or a transition was refused."""

    NAME_TAKEN = "name-taken"
    SERVICE_BUSY = "service-busy"
    SAME_VERSION = "same-version"
    WRONG_VERSION = "wrong-version"
    UNKNOWN_MOVE = "unknown-move"
    ALREADY_ENDED = "already-ended"
    NOT_THE_PHASE = "not-the-phase"


@dataclass(frozen=True)
class MoveAccepted:
    """The declaration or transition was applied."""

    move: Move


@dataclass(frozen=True)
class MoveRefused:
    """The declaration or transition was not applied.

    Parameters
    ----------
    refusal : MoveRefusal
        Reason of the refusal.
    current : Move or None
        Existing move that caused the refusal, if any.
    """

    refusal: MoveRefusal
    current: Move | None = None


MoveDecision = MoveAccepted | MoveRefused


@dataclass(frozen=True)
class MoveStep:
    """A transition of a move, decided by the control leader.

    Parameters
    ----------
    name : str
        Name of the move.
    expected_phase : MovePhase
        Phase on which the decision was based; in any other phase it is refused.
    phase : MovePhase
        Phase to enter.
    share : float
        Share of requests that may go to the new version.
    reason : RollbackReason
        Reason of a rollback.
    detail : str
        Summary of the evidence for the decision.
    """

    name: str
    expected_phase: MovePhase
    phase: MovePhase
    share: float
    reason: RollbackReason
    detail: str


class MoveStore:
    """Moves by name, and the version in force of each service.

    At most one move runs per service. A move that has ended never changes again, so it
    has exactly one outcome.
    """

    def __init__(
        self, moves: tuple[Move, ...] = (), versions: dict[str, str] | None = None
    ) -> None:
        self._moves = {move.spec.name: move for move in moves}
        self._versions = dict(versions or {})

    @property
    def versions(self) -> dict[str, str]:
        """Return the version in force of each service with a completed move."""
        return dict(self._versions)

    def all_moves(self) -> tuple[Move, ...]:
        """Return all stored moves in the order of declaration."""
        return tuple(self._moves.values())

    def get(self, name: str) -> Move | None:
        """Return a move by name."""
        return self._moves.get(name)

    def running(self, service: str) -> Move | None:
        """Return the running move of a service, if any."""
        for move in self._moves.values():
            if move.spec.service == service and not move.phase.is_final:
                return move
        return None

    def declare(self, spec: MoveSpec, operator: str, at_ms: int) -> MoveDecision:
        """Accept or refuse a declaration."""
        if spec.name in self._moves:
            return MoveRefused(MoveRefusal.NAME_TAKEN, self._moves[spec.name])
        if spec.from_version == spec.to_version:
            return MoveRefused(MoveRefusal.SAME_VERSION)
        running = self.running(spec.service)
        if running is not None:
            return MoveRefused(MoveRefusal.SERVICE_BUSY, running)
        if self._versions.get(spec.service, spec.from_version) != spec.from_version:
            return MoveRefused(MoveRefusal.WRONG_VERSION)
        move = Move(
            spec,
            MovePhase.DECLARED,
            RollbackReason.NONE,
            "declared",
            operator,
            at_ms,
            at_ms,
        )
        self._moves[spec.name] = move
        self._evict_old()
        return MoveAccepted(move)

    def undo(self, name: str, operator: str, at_ms: int) -> MoveDecision:
        """Start the rollback of a running move at an operator's request."""
        move = self._moves.get(name)
        if move is None:
            return MoveRefused(MoveRefusal.UNKNOWN_MOVE)
        if move.phase.is_final:
            return MoveRefused(MoveRefusal.ALREADY_ENDED, move)
        if move.phase is MovePhase.ROLLING_BACK:
            return MoveAccepted(move)
        rolling_back = move.advanced(
            MovePhase.ROLLING_BACK,
            at_ms,
            f"undone by {operator}",
            reason=RollbackReason.OPERATOR,
        )
        self._moves[name] = rolling_back
        return MoveAccepted(rolling_back)

    def advance(self, step: MoveStep, at_ms: int) -> MoveDecision:
        """Apply a transition if the move is still in the expected phase."""
        move = self._moves.get(step.name)
        if move is None:
            return MoveRefused(MoveRefusal.UNKNOWN_MOVE)
        if move.phase is not step.expected_phase:
            return MoveRefused(MoveRefusal.NOT_THE_PHASE, move)
        if not _is_allowed_transition(move.phase, step.phase):
            return MoveRefused(MoveRefusal.NOT_THE_PHASE, move)
        reason = step.reason
        if step.phase is MovePhase.ROLLED_BACK:
            reason = move.reason
        advanced = move.advanced(step.phase, at_ms, step.detail, step.share, reason)
        self._moves[step.name] = advanced
        if advanced.phase is MovePhase.DONE:
            self._versions[move.spec.service] = move.spec.to_version
        return MoveAccepted(advanced)

    def _evict_old(self) -> None:
        final = [name for name, move in self._moves.items() if move.phase.is_final]
        for name in final[:-_MAX_FINAL_MOVES]:
            del self._moves[name]


def _is_allowed_transition(phase: MovePhase, following: MovePhase) -> bool:
    if following is MovePhase.ROLLING_BACK:
        return not phase.is_final and phase is not MovePhase.ROLLING_BACK
    return following in _NEXT_PHASES.get(phase, ())
