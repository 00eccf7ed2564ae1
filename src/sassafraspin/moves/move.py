"""A move: the declared rollout of a new version of a service."""

from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Annotated

from sassafraspin.settings import FORBID_UNKNOWN_FIELDS, Constraint, Name

__all__ = ["Move", "MovePhase", "MoveSpec", "RollbackReason"]


class MovePhase(StrEnum):
    """Phases of a move, in order.

    ``DONE`` and ``ROLLED_BACK`` are final. ``ROLLING_BACK`` may be entered from any
    other phase that is not final and leads only to ``ROLLED_BACK``.
    """

    DECLARED = "declared"
    LOADING = "loading"
    SAMPLING = "sampling"
    RAMPING = "ramping"
    SOAKING = "soaking"
    DONE = "done"
    ROLLING_BACK = "taking-back"
    ROLLED_BACK = "taken-back"

    @property
    def is_final(self) -> bool:
        """Return whether the move has ended."""
        return self in (MovePhase.DONE, MovePhase.ROLLED_BACK)

    @property
    def admits_new_version(self) -> bool:
        """Return whether requests may go to the new version."""
        return self in _ADMITTING


_ADMITTING = (
    MovePhase.SAMPLING,
    MovePhase.RAMPING,
    MovePhase.SOAKING,
    MovePhase.DONE,
)


class RollbackReason(StrEnum):
    """Why a move was rolled back."""

    NONE = "none"
    FAILURES = "failures"
    SLOWNESS = "slowness"
    DEADLINE = "deadline"
    NOT_LOADED = "not-loaded"
    OPERATOR = "operator"


@dataclass(frozen=True)
class MoveSpec:
    """Specification of a move, declared by an operator as a JSON document.

    Parameters
    ----------
    name : str
        Name of the move; a name cannot be used twice.
    service : str
        Service whose traffic is moved.
    from_version, to_version : str
        Version in force and version to roll out.
    finish_within_ms : int
        Time from acceptance to the deadline, in milliseconds.
    exposed_requests : int
        Maximum number of requests sent to the new version in the sampling phase.
    exposed_share : float
        Share of the service's requests that go to the new version in the sampling
        phase.
    soak_ms : int
        Minimum duration of the soak phase, in milliseconds.
    runners : int
        Minimum number of backend servers (runners) that have to load the new version.
    """

    __pydantic_config__ = FORBID_UNKNOWN_FIELDS

    name: Name
    service: Name
    from_version: Name
    to_version: Name
    finish_within_ms: Annotated[int, Constraint(ge=1_000, le=604_800_000)]
    exposed_requests: Annotated[int, Constraint(ge=1, le=100_000)] = 20
    exposed_share: Annotated[float, Constraint(gt=0, le=0.5)] = 0.05
    soak_ms: Annotated[int, Constraint(ge=0, le=86_400_000)] = 60_000
    runners: Annotated[int, Constraint(ge=1, le=1_000)] = 1


@dataclass(frozen=True)
class Move:
    """A declared move and its progress.

    Parameters
    ----------
    spec : MoveSpec
        Specification.
    phase : MovePhase
        Current phase.
    reason : RollbackReason
        Why the move was rolled back, if it was.
    detail : str
        Summary of the evidence for the last transition, for operators.
    operator : str
        Operator who declared the move.
    declared_at_ms, phase_since_ms : int
        Wall clock times in milliseconds since the Unix epoch.
    share : float
        Share of requests that may go to the new version.
    """

    spec: MoveSpec
    phase: MovePhase
    reason: RollbackReason
    detail: str
    operator: str
    declared_at_ms: int
    phase_since_ms: int
    share: float = 0.0

    @property
    def deadline_ms(self) -> int:
        """Return the wall clock time by which the move has to end."""
        return self.declared_at_ms + self.spec.finish_within_ms

    def advanced(
        self,
        phase: MovePhase,
        at_ms: int,
        detail: str,
        share: float = 0.0,
        reason: RollbackReason = RollbackReason.NONE,
    ) -> "Move":
        """Return a copy of the move in another phase."""
        return replace(
            self,
            phase=phase,
            phase_since_ms=at_ms,
            detail=detail,
            share=share,
            reason=reason,
        )
