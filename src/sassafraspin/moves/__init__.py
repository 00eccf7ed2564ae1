"""Moves of a service's traffic from one version to another."""

from sassafraspin.moves.move import Move, MovePhase, MoveSpec, TakeBackReason
from sassafraspin.moves.store import (
    MoveAccepted,
    MoveDecision,
    MoveRefusal,
    MoveRefused,
    MoveStep,
    MoveStore,
)

__all__ = [
    "Move",
    "MoveAccepted",
    "MoveDecision",
    "MovePhase",
    "MoveRefusal",
    "MoveRefused",
    "MoveSpec",
    "MoveStep",
    "MoveStore",
    "TakeBackReason",
]
