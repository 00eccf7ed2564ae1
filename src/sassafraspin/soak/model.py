"""Settings, faults and report of a soak run."""

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
    """Settings of a soak run.

    Parameters
    ----------
    seed : int
        Random seed of the faults and of the load.
    seconds : float
        Period in which faults start and the load is sent; a fault or a request may
        end later.
    instances : int
        Number of daemons; the first three are control instances.
    engines : int
        Number of stand-in engines.
    requests_per_second : float
        Mean rate of the load.
    """

    seed: int
    seconds: float = 20.0
    instances: int = 4
    engines: int = 3
    requests_per_second: float = 20.0


class Direction(StrEnum):
    """Direction in which a link passes no bytes."""

    TO_INSTANCE = "to-instance"
    TO_CALLER = "to-caller"
    BOTH = "both"


@dataclass(frozen=True)
class _ProcessFault:
    """A fault of the process ``target``, ``at`` seconds after the start."""

    at: float
    target: int
    seconds: float


@dataclass(frozen=True)
class KillInstance(_ProcessFault):
    """Kill an instance with SIGKILL; restart it after ``seconds``."""


@dataclass(frozen=True)
class FreezeInstance(_ProcessFault):
    """Suspend an instance with SIGSTOP; resume it after ``seconds``."""


@dataclass(frozen=True)
class StopInstance(_ProcessFault):
    """Stop an instance with SIGTERM; restart it ``seconds`` after its exit."""


@dataclass(frozen=True)
class RestartAll:
    """Rolling restart: stop each instance in turn, restart it after ``seconds``."""

    at: float
    seconds: float


@dataclass(frozen=True)
class LoseDisk(_ProcessFault):
    """Kill a control instance, delete its data and restart it after ``seconds``."""


@dataclass(frozen=True)
class KillEngine(_ProcessFault):
    """Kill an engine with SIGKILL; restart it after ``seconds``."""


@dataclass(frozen=True)
class FreezeEngine(_ProcessFault):
    """Suspend an engine with SIGSTOP; resume it after ``seconds``."""


@dataclass(frozen=True)
class DelayLink:
    """Delay the traffic between callers and an instance by ``delay`` seconds.

    The delay ends after ``seconds``.
    """

    at: float
    target: int
    seconds: float
    delay: float


@dataclass(frozen=True)
class CutLink:
    """Block the traffic between callers and an instance in one or both directions.

    The traffic passes again after ``seconds``.
    """

    at: float
    target: int
    seconds: float
    direction: Direction


@dataclass(frozen=True)
class ResetLink:
    """Reset all connections between callers and an instance."""

    at: float
    target: int


@dataclass(frozen=True)
class PutProfile:
    """Store the next version of a profile through an instance; not a fault."""

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
    """A violated invariant (``promise``) and the observation that shows it."""

    promise: str
    seen: str


@dataclass(frozen=True)
class SoakReport:
    """Outcome of a soak run."""

    seed: int
    faults: tuple[str, ...]
    results: dict[str, int]
    acknowledged_version: int
    violations: tuple[Violation, ...]
    folder: str
