"""The control quorum: a replicated log of profiles, moves and views."""

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
    ReplicaImage,
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
    "ProposalEnd",
    "PutProfile",
    "PutTable",
    "ReplicaDisk",
    "ReplicaImage",
    "ReplicaMessage",
    "ReplicaTimings",
    "Role",
    "UndoMove",
    "Voter",
]
