"""Settings, faults and outcome of a soak."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = [
    "CutLink",
    "DelayLink",
    "Direction",
    "Fault",
    "FreezeEngine",
    "FreezeInstance",
    "KillEngine",
    "KillInstance",
    "LoseDisk",
    "PutProfile",
    "ResetLink",
    "RestartAll",
    "SoakReport",
    "SoakSettings",
    "StopInstance",
    "Violation",
]


@dataclass(frozen=True)
class SoakSettings:
    """A soak run.

    Parameters
    ----------
    seed : int
        Seed of the faults and of the load.
    seconds : float
        Time in which faults begin; the load goes on a little longer.
    instances : int
        Daemons, the first three of them with control duty.
    engines : int
        Stand-in engines.
    requests_per_second : float
        Mean rate of the load.
    """

    seed: int
    seconds: float = 20.0
    instances: int = 4
    engines: int = 3
    requests_per_second: float = 20.0


class Direction(StrEnum):
    """Which way of a link is silent."""

    TO_INSTANCE = "to-instance"
    TO_CALLER = "to-caller"
    BOTH = "both"


@dataclass(frozen=True)
class _ProcessFault:
    """A fault of the process ``target`` that begins at ``at``."""

    at: float
    target: int
    seconds: float


@dataclass(frozen=True)
class KillInstance(_ProcessFault):
    """SIGKILL, and a new start after ``seconds``."""


@dataclass(frozen=True)
class FreezeInstance(_ProcessFault):
    """SIGSTOP, and SIGCONT after ``seconds``."""


@dataclass(frozen=True)
class StopInstance(_ProcessFault):
    """SIGTERM; a new start ``seconds`` after its end."""


@dataclass(frozen=True)
class RestartAll:
    """SIGTERM to every instance in turn, ``seconds`` apart, each started again."""

    at: float
    seconds: float


@dataclass(frozen=True)
class LoseDisk(_ProcessFault):
    """SIGKILL of a control instance; it starts ``seconds`` later with an empty disk."""


@dataclass(frozen=True)
class KillEngine(_ProcessFault):
    """SIGKILL of an engine, and a new start after ``seconds``."""


@dataclass(frozen=True)
class FreezeEngine(_ProcessFault):
    """SIGSTOP of an engine, and SIGCONT after ``seconds``."""


@dataclass(frozen=True)
class DelayLink:
    """Callers' bytes to and from an instance take ``delay`` longer."""

    at: float
    target: int
    seconds: float
    delay: float


@dataclass(frozen=True)
class CutLink:
    """Callers' bytes of an instance are held in one direction or both."""

    at: float
    target: int
    seconds: float
    direction: Direction


@dataclass(frozen=True)
class ResetLink:
    """Every caller's connection to an instance is reset."""

    at: float
    target: int


@dataclass(frozen=True)
class PutProfile:
    """An operator puts the next version of a profile through an instance."""

    at: float
    target: int


Fault = (
    KillInstance
    | FreezeInstance
    | StopInstance
    | RestartAll
    | LoseDisk
    | KillEngine
    | FreezeEngine
    | DelayLink
    | CutLink
    | ResetLink
    | PutProfile
)


@dataclass(frozen=True)
class Violation:
    """A promise that did not hold."""

    promise: str
    seen: str


@dataclass(frozen=True)
class SoakReport:
    """Outcome of a soak."""

    seed: int
    faults: tuple[str, ...]
    results: dict[str, int]
    acknowledged_version: int
    violations: tuple[Violation, ...]
    folder: str
