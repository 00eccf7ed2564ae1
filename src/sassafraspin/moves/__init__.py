"""Moves: gradual rollouts of a service's traffic from one version to another."""

from sassafraspin.moves.evidence import Evidence, EvidenceSettings, Observation
from sassafraspin.moves.messages import MoveEvidence, MoveMessage
from sassafraspin.moves.move import Move, MovePhase, MoveSpec, RollbackReason
from sassafraspin.moves.store import (
    MoveAccepted,
    MoveDecision,
    MoveRefusal,
    MoveRefused,
    MoveStep,
    MoveStore,
)
from sassafraspin.moves.transitions import (
    RolloutSettings,
    decide_step,
    servers_needed,
)

__all__ = [
    "RolloutSettings",
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
    "RollbackReason",
    "decide_step",
    "servers_needed",
]
