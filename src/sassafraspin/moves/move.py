"""The move: a declared change of a service's traffic to a new version."""

from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Annotated

from pydantic import ConfigDict, Field

from sassafraspin.settings import Name

__all__ = ["Move", "MovePhase", "MoveSpec", "TakeBackReason"]


class MovePhase(StrEnum):
    """Phases of a move, in the order they are passed.

    ``DONE`` and ``TAKEN_BACK`` are final. ``TAKING_BACK`` is entered from any phase
    that is not final and leads only to ``TAKEN_BACK``.
    """

    DECLARED = "declared"
    LOADING = "loading"
    SAMPLING = "sampling"
    RAMPING = "ramping"
    SOAKING = "soaking"
    DONE = "done"
    TAKING_BACK = "taking-back"
    TAKEN_BACK = "taken-back"

    @property
    def is_final(self) -> bool:
        """Return whether the move has ended."""
        return self in (MovePhase.DONE, MovePhase.TAKEN_BACK)

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


class TakeBackReason(StrEnum):
    """Why a move was undone."""

    NONE = "none"
    FAILURES = "failures"
    SLOWNESS = "slowness"
    DEADLINE = "deadline"
    NOT_LOADED = "not-loaded"
    OPERATOR = "operator"


@dataclass(frozen=True)
class MoveSpec:
    """What an operator declares; a JSON file in the operators' version control.

    Parameters
    ----------
    name : str
        Name of the move, unique for good.
    service : str
        Service whose traffic moves.
    from_version, to_version : str
        Version in force and version to move to.
    finish_within_ms : int
        Time from acceptance to the deadline, in milliseconds.
    exposed_requests : int
        Requests that the new version may be shown before its first verdict.
    exposed_share : float
        Share of the service's requests that go to the new version while it is
        being sampled.
    soak_ms : int
        Time at full traffic before the move is done, in milliseconds.
    runners : int
        Backend servers that are ordered to load the new version if fewer announce
        it.
    """

    __pydantic_config__ = ConfigDict(extra="forbid")

    name: Name
    service: Name
    from_version: Name
    to_version: Name
    finish_within_ms: Annotated[int, Field(ge=1_000, le=604_800_000)]
    exposed_requests: Annotated[int, Field(ge=1, le=100_000)] = 20
    exposed_share: Annotated[float, Field(gt=0, le=0.5)] = 0.05
    soak_ms: Annotated[int, Field(ge=0, le=86_400_000)] = 60_000
    runners: Annotated[int, Field(ge=1, le=1_000)] = 1


@dataclass(frozen=True)
class Move:
    """A declared move and how far it has come.

    Parameters
    ----------
    spec : MoveSpec
        What was declared.
    phase : MovePhase
        Current phase.
    reason : TakeBackReason
        Why the move was undone, if it was.
    detail : str
        Figures behind the last transition, for operators.
    operator : str
        Who declared the move.
    declared_at_ms, phase_since_ms : int
        Wall clock times in milliseconds since 1970.
    share : float
        Share of requests that may go to the new version.
    """

    spec: MoveSpec
    phase: MovePhase
    reason: TakeBackReason
    detail: str
    operator: str
    declared_at_ms: int
    phase_since_ms: int
    share: float = 0.0

    @property
    def deadline_ms(self) -> int:
        """Return the wall clock time by which the move has ended."""
        return self.declared_at_ms + self.spec.finish_within_ms

    def advanced(
        self,
        phase: MovePhase,
        at_ms: int,
        detail: str,
        share: float = 0.0,
        reason: TakeBackReason = TakeBackReason.NONE,
    ) -> "Move":
        """Return the move in another phase."""
        return replace(
            self,
            phase=phase,
            phase_since_ms=at_ms,
            detail=detail,
            share=share,
            reason=reason,
        )
