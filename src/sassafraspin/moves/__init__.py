"""Moves: gradual rollouts of a service's traffic from one version to another."""

from sassafraspin.moves.evidence import Evidence, EvidenceSettings, Observation
from sassafraspin.moves.messages import MoveEvidence, MoveMessage
from sassafraspin.moves.move import Move, MovePhase, MoveSpec, TakeBackReason
from sassafraspin.moves.store import (
    MoveAccepted,
    MoveDecision,
    MoveRefusal,
    MoveRefused,
    MoveStep,
    MoveStore,
)
from sassafraspin.moves.transitions import (
    DirectorSettings,
    decide_step,
    servers_needed,
)

__all__ = [
    "DirectorSettings",
    "Evidence",
    "EvidenceSettings",
    "Move",
    "MoveAccepted",
    "MoveDecision",
    "MoveEvidence",
    "MoveMessage",
    "MovePhase",
    "MoveRefusal",
    "MoveRefused",
    "MoveSpec",
    "MoveStep",
    "MoveStore",
    "Observation",
    "TakeBackReason",
    "decide_step",
    "servers_needed",
]
