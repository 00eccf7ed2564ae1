"""Control quorum: a replicated log of profiles, routes, moves and membership views."""

from sassafraspin.control.commands import (
    AdvanceMove,
    ChangeView,
    Command,
    CommandOutcome,
    DeclareMove,
    EvacuateZone,
    IsolatePart,
    OutcomeKind,
    PutProfile,
    PutTable,
    ReadmitPart,
    ReinstateServer,
    ReopenZone,
    RetireServer,
    UndoMove,
)
from sassafraspin.control.config import Configuration
from sassafraspin.control.disk import ReplicaDisk
from sassafraspin.control.messages import ReplicaMessage, Voter
from sassafraspin.control.move_coordinator import MoveCoordinator
from sassafraspin.control.node import ControlNode, ControlNodeSettings, ProposalResult
from sassafraspin.control.replica import (
    ControlReplica,
    PersistentState,
    ReplicaTimings,
    Role,
)
from sassafraspin.control.state import ControlState

__all__ = [
    "AdvanceMove",
    "ChangeView",
    "Command",
    "CommandOutcome",
    "Configuration",
    "ControlNode",
    "ControlNodeSettings",
    "ControlReplica",
    "ControlState",
    "DeclareMove",
    "EvacuateZone",
    "IsolatePart",
    "MoveCoordinator",
    "OutcomeKind",
    "PersistentState",
    "ProposalResult",
    "PutProfile",
    "PutTable",
    "ReadmitPart",
    "ReplicaDisk",
    "ReplicaMessage",
    "ReinstateServer",
    "ReopenZone",
    "ReplicaTimings",
    "RetireServer",
    "Role",
    "UndoMove",
    "Voter",
]
