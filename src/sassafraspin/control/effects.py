"""What a control replica asks its shell to do, in this order."""

from dataclasses import dataclass

from sassafraspin.control.messages import Entry, ReplicaMessage, Snapshot

__all__ = [
    "AppendToDisk",
    "ApplyEntry",
    "Effect",
    "RestoreState",
    "SaveSnapshot",
    "SaveTerm",
    "SendToReplica",
]


@dataclass(frozen=True)
class SaveTerm:
    """Make the term and the vote in it durable."""

    term: int
    voted_for: str | None


@dataclass(frozen=True)
class AppendToDisk:
    """Make entries durable, dropping any at or after ``first_index`` before."""

    first_index: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True)
class SaveSnapshot:
    """Make a snapshot durable and keep only the entries after it."""

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
    """Replace the state machine by the content of a snapshot."""

    index: int
    data: bytes


Effect = (
    SaveTerm | AppendToDisk | SaveSnapshot | SendToReplica | ApplyEntry | RestoreState
)
