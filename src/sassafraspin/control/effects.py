"""Side effects that a control replica requests; the caller executes them in order."""

from dataclasses import dataclass
from enum import StrEnum

from sassafraspin.control.messages import Entry, ReplicaMessage, Snapshot

__all__ = [
    "AppendToDisk",
    "ApplyEntry",
    "Effect",
    "ReportRefusal",
    "RestoreState",
    "SaveSnapshot",
    "SaveTerm",
    "SendToReplica",
    "VoteRefusal",
]


class VoteRefusal(StrEnum):
    """Reason why a replica refuses its vote."""

    RECENT_LEADER = "recent-leader"
    OLDER_TERM = "older-term"
    SHORTER_LOG = "shorter-log"
    OTHER_VOTE = "other-vote"
    TIE = "tie"


@dataclass(frozen=True)
class SaveTerm:
    """Write the term, the vote in that term and whether the replica is recovering."""

    term: int
    voted_for: str | None
    recovering: bool = False


@dataclass(frozen=True)
class AppendToDisk:
    """Write entries durably, replacing any stored at or after ``first_index``."""

    first_index: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True)
class SaveSnapshot:
    """Write a snapshot durably and keep only the log entries after it."""

    snapshot: Snapshot
    entries: tuple[Entry, ...]


@dataclass(frozen=True)
class SendToReplica:
    """Send a message to another control replica."""

    name: str
    message: ReplicaMessage


@dataclass(frozen=True)
class ApplyEntry:
    """Apply a committed entry to the state machine."""

    index: int
    entry: Entry


@dataclass(frozen=True)
class RestoreState:
    """Restore the state machine from a snapshot."""

    index: int
    data: bytes


@dataclass(frozen=True)
class ReportRefusal:
    """Report that a vote was refused to a candidate; the time is monotonic seconds."""

    candidate: str
    term: int
    reason: VoteRefusal
    refused_at: float


Effect = (
    SaveTerm
    | AppendToDisk
    | SaveSnapshot
    | SendToReplica
    | ApplyEntry
    | RestoreState
    | ReportRefusal
)
