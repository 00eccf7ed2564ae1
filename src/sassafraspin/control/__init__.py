"""Control quorum: a replicated log of profiles, routes, moves and membership views."""

from sassafraspin.control.commands import (
    AdvanceMove,
    ChangeView,
    Command,
    CommandOutcome,
    DeclareMove,
    OutcomeKind,
    PutProfile,
    PutTable,
    UndoMove,
)
from sassafraspin.control.config import Configuration
from sassafraspin.control.disk import ReplicaDisk
from sassafraspin.control.duty import ControlDuty, ControlDutySettings, ProposalEnd
from sassafraspin.control.messages import ReplicaMessage, Voter
from sassafraspin.control.move_duty import MoveDuty
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
    "ControlDuty",
    "ControlDutySettings",
    "ControlReplica",
    "ControlState",
    "DeclareMove",
    "MoveDuty",
    "OutcomeKind",
    "PersistentState",
    "ProposalEnd",
    "PutProfile",
    "PutTable",
    "ReplicaDisk",
    "ReplicaMessage",
    "ReplicaTimings",
    "Role",
    "UndoMove",
    "Voter",
]
