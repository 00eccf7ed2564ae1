"""All messages exchanged between instances."""

import msgspec

from sassafraspin.admission import UsageReport
from sassafraspin.backends import Announcement
from sassafraspin.control.commands import Command, CommandOutcome
from sassafraspin.control.messages import ReplicaMessage
from sassafraspin.discovery import DiscoveryMessage
from sassafraspin.dispatch import DispatchMessage
from sassafraspin.dispatch.budget import RetryReport
from sassafraspin.dispatch.directory_messages import (
    DirectoryListing,
    DirectoryQuery,
    DirectoryUpdate,
)
from sassafraspin.isolation import CrashReport
from sassafraspin.ledger import LedgerMessage
from sassafraspin.membership import MembershipMessage
from sassafraspin.moves import MoveMessage

__all__ = ["LeaveConfirmed", "PeerMessage", "Propose", "ProposeReply"]


class Propose(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Asks the control leader to commit a command."""

    command: Command


class ProposeReply(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Reply to ``Propose``.

    ``outcome`` is ``None`` if the receiver is not the leader or does not know it.
    """

    change_id: str
    outcome: CommandOutcome | None


class LeaveConfirmed(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Tells that a dispatcher gives no new slot of a server that leaves.

    ``incarnation`` and ``sequence`` are those of the announcement that it confirms.
    """

    server: str
    incarnation: int
    sequence: int

    @classmethod
    def of(cls, announcement: Announcement) -> "LeaveConfirmed":
        """Return the confirmation of an announcement."""
        return cls(announcement.id, announcement.incarnation, announcement.sequence)


PeerMessage = (
    MembershipMessage
    | DispatchMessage
    | ReplicaMessage
    | LedgerMessage
    | MoveMessage
    | DiscoveryMessage
    | RetryReport
    | DirectoryUpdate
    | DirectoryQuery
    | DirectoryListing
    | UsageReport
    | CrashReport
    | Propose
    | ProposeReply
    | LeaveConfirmed
)
